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
	Program      string // railrelay-fleet must stand beside it
	BenchProgram string // this program, which runs hollow controllers; "": as it was started
	Controllers  int
	Real         int // of them, voters among these
	Voters       int
	Relays       int // real ones that gather the renewals of others; 0: all ask the leader
	Engines      int
	Seed         uint64
	Lease        time.Duration
	Settle       time.Duration // waited after all serve, before anything is measured
	Rest         time.Duration // looked at while nothing happens
	Changes      int           // asked for at rest
	LargeChanges int           // of these, with LargeBytes
	PolicyBytes  int
	LargeBytes   int
	Faults       []string // names of scaleFaults, in this order
	Compare      int      // controllers by which hollow ones are held against real ones; 0: they aren't
	LinkDelays   bool     // links take the times of regions and zones
	SetAside     bool     // voters have the role control, on machines set aside for it; relays always do
	Detail       bool     // say more of each part
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
	scaleServeTimeout   = 90 * time.Second
	scaleOutcomeTimeout = 60 * time.Second
	scaleLeaderTimeout  = 60 * time.Second
	scalePollInterval   = 50 * time.Millisecond
)

// Run plays it and prints what was seen; the last line begins with measured.
func (s Scale) Run(ctx context.Context, out io.Writer) error {
	if err := s.validate(); err != nil {
		return err
	}
	result := &scaleResult{Scale: s}
	if s.Compare > 0 {
		ratio, err := s.compareHollowWithReal(ctx, out)
		if err != nil {
			return fmt.Errorf("hollow against real: %w", err)
		}
		result.HollowRatio = ratio
	}
	if err := s.runPhases(ctx, out, result); err != nil {
		return err
	}
	result.print(out)
	if s.Record != nil {
		if err := s.Record(result.rows()); err != nil {
			return err
		}
	}
	return result.violationError()
}

// runPhases starts the fleet, goes through all phases and ends it.
func (s Scale) runPhases(ctx context.Context, out io.Writer, result *scaleResult) error {
	began := time.Now()
	f, err := s.startFleet(ctx, scaleFleetCount.Add(1))
	if err != nil {
		return err
	}
	defer f.close()
	result.StartTime = time.Since(began)
	fmt.Fprintf(out, "%d controllers (%d real, %d hollow, %d vote), %d engines, lease %v: all serve %.1f s after the first was started\n",
		s.Controllers, s.Real, s.Controllers-s.Real, s.Voters, s.Engines, s.Lease, result.StartTime.Seconds())
	sleep(ctx, s.Settle)
	sights := make([]scaleSnapshot, 0, len(s.Faults)+3)
	see := func() error {
		sight, err := f.takeSnapshot()
		sights = append(sights, sight)
		return err
	}
	if err := see(); err != nil {
		return err
	}
	if result.Rest, err = f.measureRest(s.Rest); err != nil {
		return err
	}
	result.Rest.print(out, "at rest")
	if result.Phases, err = f.measureChangesAtRest(out, result.Rest); err != nil {
		return err
	}
	for _, name := range s.Faults {
		if err := see(); err != nil {
			return err
		}
		phase, err := f.runFaultPhase(name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		phase.print(out)
		result.Phases = append(result.Phases, phase)
	}
	if err := see(); err != nil {
		return err
	}
	result.WholeRun = f.usageOver(sights...)
	result.WholeRun.print(out, "over the whole run")
	result.Processes, result.MemoryMB = f.processTotals()
	if err := f.recheckOutcomes(); err != nil {
		return err
	}
	result.Violations = f.checker.findViolations()
	result.Duration = time.Since(began)
	return nil
}

// sleep waits, or until ctx is over.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}

// hasSlowDisk: a voter's disk is slowed down, which only a hollow one's can be.
func (s Scale) hasSlowDisk() bool { return slices.Contains(s.Faults, slowDiskFault) }

// isReal: the controller at an index is a process. With a slow disk the last voter is
// hollow, and the next controller is a process in its place.
func (s Scale) isReal(i int) bool {
	if !s.hasSlowDisk() {
		return i < s.Real
	}
	return i <= s.Real && i != s.Voters-1
}

// benchProgram is the program that runs hollow controllers.
func (s Scale) benchProgram() (string, error) {
	if s.BenchProgram != "" {
		return s.BenchProgram, nil
	}
	return os.Executable()
}

func (s Scale) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }
