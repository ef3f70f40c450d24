package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// Scale is a run of a fleet at a size that one machine couldn't hold as processes: some
// controllers are real, in front of all engines, the others hollow (package hollow). It is
// looked at while it rests, while the policy changes, and while it changes during faults.
//
// With Linked, what two processes say to each other passes proxies (package link) that
// take the time of the zones and regions between them; what a hollow controller says or is
// told waits that long in its own process. Connecting takes no time, nor do operators' asks
// and what passes between controllers and engines. Bytes are those of connections between
// peers, with HTTP's headers and without TCP's.
type Scale struct {
	Program     string // railrelay-fleet must stand beside it
	Laboratory  string // this program, which runs hollow controllers; "": as it was started
	Controllers int
	Real        int // of them, voters among these
	Voters      int
	Relays      int // real ones that gather the renewals of others; 0: all ask the leader
	Engines     int
	Seed        uint64
	Lease       time.Duration
	Settle      time.Duration // waited after all serve, before anything is measured
	Rest        time.Duration // looked at while nothing happens
	Changes     int           // asked for at rest
	Large       int           // of these, with LargeBytes
	PolicyBytes int
	LargeBytes  int
	Faults      []string // names of scaleFaults, in this order
	Compare     int      // controllers by which hollow ones are held against real ones; 0: they aren't
	Linked      bool     // links take the times of regions and zones
	SetAside    bool     // voters have the role control, on machines set aside for it; relays always do
	Detail      bool     // say more of each part
	// Record is given the figures; may be nil.
	Record func([]ScaleRow) error
}

// ScaleRow is one figure of a run: of a role, at a size.
type ScaleRow struct {
	Role  string
	What  string
	Size  int
	Seed  uint64
	Value float64
	Unit  string
}

// Times that scale runs wait at the most.
const (
	scaleServeWithin  = 90 * time.Second
	scaleWordWithin   = 60 * time.Second
	scaleReturnWithin = 60 * time.Second
	scalePollPause    = 50 * time.Millisecond
)

// Run plays it and prints what was seen; the last line begins with measured.
func (s Scale) Run(ctx context.Context, out io.Writer) error {
	if err := s.check(); err != nil {
		return err
	}
	result := &scaleResult{Scale: s}
	if s.Compare > 0 {
		ratio, err := s.compare(ctx, out)
		if err != nil {
			return fmt.Errorf("hollow against real: %w", err)
		}
		result.HollowReal = ratio
	}
	if err := s.play(ctx, out, result); err != nil {
		return err
	}
	result.print(out)
	if s.Record != nil {
		if err := s.Record(result.rows()); err != nil {
			return err
		}
	}
	return result.broken()
}

// play starts the fleet, goes through all phases and ends it.
func (s Scale) play(ctx context.Context, out io.Writer, result *scaleResult) error {
	began := time.Now()
	f, err := s.begin(ctx, scaleFleets.Add(1))
	if err != nil {
		return err
	}
	defer f.close()
	result.Serve = time.Since(began)
	fmt.Fprintf(out, "%d controllers (%d real, %d hollow, %d vote), %d engines, lease %v: all serve %.1f s after the first was started\n",
		s.Controllers, s.Real, s.Controllers-s.Real, s.Voters, s.Engines, s.Lease, result.Serve.Seconds())
	sleep(ctx, s.Settle)
	sights := make([]scaleSight, 0, len(s.Faults)+3)
	see := func() error {
		sight, err := f.look()
		sights = append(sights, sight)
		return err
	}
	if err := see(); err != nil {
		return err
	}
	if result.Rest, err = f.restFor(s.Rest); err != nil {
		return err
	}
	result.Rest.print(out, "at rest")
	if result.Phases, err = f.changesAtRest(out, result.Rest); err != nil {
		return err
	}
	for _, name := range s.Faults {
		if err := see(); err != nil {
			return err
		}
		phase, err := f.playFault(name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		phase.print(out)
		result.Phases = append(result.Phases, phase)
	}
	if err := see(); err != nil {
		return err
	}
	result.Whole = f.spentOver(sights...)
	result.Whole.print(out, "over the whole run")
	result.Processes, result.MemoryMB = f.processes()
	if err := f.askAgain(); err != nil {
		return err
	}
	result.Verdict = f.judge.verdict()
	result.Took = time.Since(began)
	return nil
}

// sleep waits, or until ctx is over.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}

// slowDisk: a voter's disk is slowed down, which only a hollow one's can be.
func (s Scale) slowDisk() bool { return slices.Contains(s.Faults, slowDiskFault) }

// isReal: the controller at an index is a process. With a slow disk the last voter is
// hollow, and the next controller is a process in its place.
func (s Scale) isReal(i int) bool {
	if !s.slowDisk() {
		return i < s.Real
	}
	return i <= s.Real && i != s.Voters-1
}

// laboratory is the program that runs hollow controllers.
func (s Scale) laboratory() (string, error) {
	if s.Laboratory != "" {
		return s.Laboratory, nil
	}
	return os.Executable()
}

func (s Scale) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }
