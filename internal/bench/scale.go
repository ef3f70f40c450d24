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

// Scale configures a run of a fleet that is too large to run as processes on one machine. Some
// controllers are real processes that connect to all engines. The others are hollow (package hollow).
// The run measures the fleet at rest, during policy changes, and during policy changes with faults.
//
// With LinkDelays, proxies (package faultproxy) between the real controllers add the latency between
// their zones and regions. A hollow controller delays what it sends and receives in its own process.
// Opening a connection takes no extra time, nor do operators' requests and the messages between
// controllers and engines. Byte counts are those of the connections between peers, including HTTP
// headers and excluding TCP headers.
type Scale struct {
	Program      string // the controller; railrelay-fleet must be in the same directory
	BenchProgram string // the program that runs hollow controllers; "": the running executable
	Controllers  int
	Real         int // real controllers, including the voters
	Voters       int
	Relays       int // real controllers that relay the lease renewals of others; 0: all renew with the leader
	Engines      int
	Seed         uint64
	Lease        time.Duration
	Settle       time.Duration // time between the start of the fleet and the first measurement
	Rest         time.Duration // duration of the measurement at rest
	Changes      int           // policy changes at rest
	LargeChanges int           // those of Changes whose policy has LargeBytes
	PolicyBytes  int
	LargeBytes   int
	Faults       []string // keys of scaleFaults, in the order in which they are injected
	Compare      int      // controllers in each fleet that compares hollow with real ones; 0: no comparison
	LinkDelays   bool     // add the latencies between regions and zones
	SetAside     bool     // voters have the role control, on machines set aside for it; relays always do
	Detail       bool     // has no effect
	// Record receives the results. It may be nil.
	Record func([]ScaleRow) error
}

// ScaleRow is one result of a run, for one role at one fleet size.
type ScaleRow struct {
	Role  string
	What  string
	Size  int
	Seed  uint64
	Value float64
	Unit  string
}

const (
	scaleServeTimeout   = 90 * time.Second
	scaleOutcomeTimeout = 60 * time.Second
	scaleLeaderTimeout  = 60 * time.Second
	scalePollInterval   = 50 * time.Millisecond
)

// Run runs the fleet and prints the results. The last line begins with "measured ". The error says
// which invariant was violated, if any was.
func (s Scale) Run(ctx context.Context, out io.Writer) error {
	if err := s.validate(); err != nil {
		return err
	}
	result := &scaleResult{Scale: s}
	if s.Compare > 0 {
		ratio, err := s.compareHollowWithReal(ctx, out)
		if err != nil {
			return fmt.Errorf("compare hollow with real controllers: %w", err)
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

// runPhases starts the fleet, runs all phases and stops the fleet.
func (s Scale) runPhases(ctx context.Context, out io.Writer, result *scaleResult) error {
	startedAt := time.Now()
	f, err := s.startFleet(ctx, scaleFleetCount.Add(1))
	if err != nil {
		return err
	}
	defer f.close()
	result.StartTime = time.Since(startedAt)
	fmt.Fprintf(out,
		"%d controllers (%d real, %d hollow, %d voters), %d engines, lease %v: all serve after %.1f s\n",
		s.Controllers, s.Real, s.Controllers-s.Real, s.Voters, s.Engines, s.Lease, result.StartTime.Seconds())
	sleep(ctx, s.Settle)
	snapshots := make([]scaleSnapshot, 0, len(s.Faults)+3)
	addSnapshot := func() error {
		snapshot, err := f.takeSnapshot()
		snapshots = append(snapshots, snapshot)
		return err
	}
	if err := addSnapshot(); err != nil {
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
		if err := addSnapshot(); err != nil {
			return err
		}
		phase, err := f.runFaultPhase(name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		phase.print(out)
		result.Phases = append(result.Phases, phase)
	}
	if err := addSnapshot(); err != nil {
		return err
	}
	result.WholeRun = f.usageOver(snapshots...)
	result.WholeRun.print(out, "over the whole run")
	result.Processes, result.MemoryMB = f.processTotals()
	if err := f.recheckOutcomes(); err != nil {
		return err
	}
	result.Violations = f.checker.findViolations()
	result.Duration = time.Since(startedAt)
	return nil
}

// sleep waits for a duration, or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// hasSlowDisk returns whether the run slows down a voter's disk. The voter must be hollow for that.
func (s Scale) hasSlowDisk() bool { return slices.Contains(s.Faults, slowDiskFault) }

// isReal returns whether the controller with an index is a real process. With a slow disk the last voter
// is hollow, and the controller after the real ones is real in its place.
func (s Scale) isReal(i int) bool {
	if !s.hasSlowDisk() {
		return i < s.Real
	}
	return i <= s.Real && i != s.Voters-1
}

// benchProgram returns the program that runs hollow controllers.
func (s Scale) benchProgram() (string, error) {
	if s.BenchProgram != "" {
		return s.BenchProgram, nil
	}
	return os.Executable()
}

// newRand returns a random generator that depends only on the seed and the stream.
func (s Scale) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }
