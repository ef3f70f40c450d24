package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Growth looks at what time does to a fleet, not size: a record of members that came and
// went, and of changes of policy.
type Growth struct {
	Program string
	Members int // that came and were forgotten
	Changes int
	Steps   int // it is looked at so many times on the way
	Lease   time.Duration
	Seed    uint64 // only noted with the figures
	Record  func([]ScaleRow) error
}

// GrowthResult is what a voter with a record is like.
type GrowthResult struct {
	Members, Changes int
	LogEntries       int
	SnapshotBytes    int
	FileBytes        int64         // of the record on disk, once it serves
	StartTime        time.Duration // from being started until it serves
	MemoryMB         float64       // resident once it serves
	ChangeTime       time.Duration // a change, from being asked for until the word
}

const entriesBetweenSnapshots = 50_000

// Run builds the record step by step and starts a voter from it at each.
func (g Growth) Run(ctx context.Context, out io.Writer) error {
	if g.Steps < 1 || g.Members < 0 || g.Changes < 0 {
		return &ScaleSizeError{"growth steps", g.Steps, "is under 1, or members or changes are under 0"}
	}
	address, end, err := listenIdleEngine(ctx)
	if err != nil {
		return err
	}
	defer end()
	b, err := newRecordBuilder(soleVoter)
	if err != nil {
		return err
	}
	var rows []ScaleRow
	members, changes := 0, 0
	for step := 0; step <= g.Steps; step++ {
		for goal := g.Members * step / g.Steps; members < goal; members++ {
			if err := b.joinAndForget(); err != nil {
				return err
			}
			if err := b.compactAfter(entriesBetweenSnapshots); err != nil {
				return err
			}
		}
		for goal := g.Changes * step / g.Steps; changes < goal; changes++ {
			if err := b.commitPolicyChange(); err != nil {
				return err
			}
			if err := b.compactAfter(entriesBetweenSnapshots); err != nil {
				return err
			}
		}
		grown, err := g.measure(ctx, address, b)
		if err != nil {
			return err
		}
		grown.Members, grown.Changes = members, changes
		fmt.Fprintf(out, "%d members that came and went, %d changes: %d entries, snapshot %d bytes, file %d bytes, serves after %.2f s, %.1f MB, a change in %.0f ms\n",
			members, changes, grown.LogEntries, grown.SnapshotBytes, grown.FileBytes, grown.StartTime.Seconds(), grown.MemoryMB, toMilliseconds(grown.ChangeTime))
		rows = append(rows, g.rows(grown)...)
	}
	if g.Record != nil {
		return g.Record(rows)
	}
	return nil
}

// measure starts a voter from the record as it is.
func (g Growth) measure(ctx context.Context, feedAddress string, b *recordBuilder) (grown GrowthResult, err error) {
	if err := b.compact(); err != nil {
		return grown, err
	}
	grown.LogEntries, grown.SnapshotBytes = int(b.state.Index), len(b.persisted.Snapshot.Data)
	f, took, err := IdleFleet{Program: g.Program, Lease: g.Lease}.startFromRecord(ctx, feedAddress, b.persisted)
	if err != nil {
		return grown, err
	}
	defer f.close()
	p := f.controllers[0]
	grown.StartTime = took
	used, err := readProcessUsage(p.command.Process.Pid)
	if err != nil {
		return grown, err
	}
	grown.MemoryMB = used.ResidentMB
	asked := time.Now()
	r, err := p.sendRequest(ctx, &fleet.Request{Kind: "apply", ID: "grown", BaseVersion: b.state.Version, Policy: policyText(1, 1000), WaitMs: idleFleetChangeTimeout.Milliseconds()})
	if err != nil {
		return grown, err
	}
	if r.Outcome != "in force" {
		return grown, fmt.Errorf("a change is %s: %s", r.Outcome, r.Reason)
	}
	grown.ChangeTime = time.Since(asked)
	grown.FileBytes, err = directorySize(p.directory)
	return grown, err
}

// directorySize is what a directory's files have together.
func directorySize(directory string) (sum int64, err error) {
	entries, err := os.ReadDir(directory)
	for _, e := range entries {
		about, statErr := os.Stat(filepath.Join(directory, e.Name()))
		if statErr != nil {
			return 0, statErr
		}
		sum += about.Size()
	}
	return sum, err
}

// rows are its figures; their size is the number of members that came and went.
func (g Growth) rows(x GrowthResult) (rows []ScaleRow) {
	add := func(what string, value float64, unit string) {
		rows = append(rows, ScaleRow{"voter", fmt.Sprintf("grown by %d changes, %s", x.Changes, what), x.Members, g.Seed, value, unit})
	}
	add("snapshot", float64(x.SnapshotBytes), "bytes")
	add("record file", float64(x.FileBytes), "bytes")
	add("start until it serves", toMilliseconds(x.StartTime), "ms")
	add("memory", x.MemoryMB, "MB")
	add("a change told in force", toMilliseconds(x.ChangeTime), "ms")
	return rows
}
