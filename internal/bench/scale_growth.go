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

// Growth measures how the fleet's log affects a voter as it grows with time: with members that joined and
// left, and with policy changes.
type Growth struct {
	Program string
	Members int // members that joined and were forgotten
	Changes int
	Steps   int // number of log sizes, after the empty log, at which a voter is measured
	Lease   time.Duration
	Seed    uint64 // only recorded with the results
	Record  func([]ScaleRow) error
}

// GrowthResult is the result for a voter that started from a log of one size.
type GrowthResult struct {
	Members, Changes int
	LogEntries       int
	SnapshotBytes    int
	FileBytes        int64         // of the log's files, after the voter has started
	StartTime        time.Duration // until the voter serves
	MemoryMB         float64       // resident, once the voter serves
	ChangeTime       time.Duration // of a policy change, from the request until it is in force
}

const entriesBetweenSnapshots = 50_000

// Run builds the log in steps. After each step it starts a voter from the log and measures it.
func (g Growth) Run(ctx context.Context, out io.Writer) error {
	if g.Steps < 1 || g.Members < 0 || g.Changes < 0 {
		return &ScaleSizeError{"growth steps", g.Steps, "is less than 1, or members or changes are negative"}
	}
	feedAddress, closeEngine, err := listenIdleEngine(ctx)
	if err != nil {
		return err
	}
	defer closeEngine()
	builder, err := newRecordBuilder(soleVoter)
	if err != nil {
		return err
	}
	var rows []ScaleRow
	members, changes := 0, 0
	for step := 0; step <= g.Steps; step++ {
		for goal := g.Members * step / g.Steps; members < goal; members++ {
			if err := builder.joinAndForget(); err != nil {
				return err
			}
			if err := builder.compactAfter(entriesBetweenSnapshots); err != nil {
				return err
			}
		}
		for goal := g.Changes * step / g.Steps; changes < goal; changes++ {
			if err := builder.commitPolicyChange(); err != nil {
				return err
			}
			if err := builder.compactAfter(entriesBetweenSnapshots); err != nil {
				return err
			}
		}
		result, err := g.measure(ctx, feedAddress, builder)
		if err != nil {
			return err
		}
		result.Members, result.Changes = members, changes
		fmt.Fprintf(out,
			"members %d, changes %d, entries %d, snapshot %d B, file %d B, start %.2f s, %.1f MB, change %.0f ms\n",
			members, changes, result.LogEntries, result.SnapshotBytes, result.FileBytes,
			result.StartTime.Seconds(), result.MemoryMB, toMilliseconds(result.ChangeTime))
		rows = append(rows, g.rows(result)...)
	}
	if g.Record != nil {
		return g.Record(rows)
	}
	return nil
}

// measure starts a voter from the present log and measures it.
func (g Growth) measure(ctx context.Context, feedAddress string, builder *recordBuilder) (
	result GrowthResult, err error,
) {
	if err := builder.compact(); err != nil {
		return result, err
	}
	result.LogEntries, result.SnapshotBytes = int(builder.state.Index), len(builder.persisted.Snapshot.Data)
	f, took, err := IdleFleet{Program: g.Program, Lease: g.Lease}.startFromRecord(ctx, feedAddress,
		builder.persisted)
	if err != nil {
		return result, err
	}
	defer f.close()
	p := f.controllers[0]
	result.StartTime = took
	used, err := readProcessUsage(p.command.Process.Pid)
	if err != nil {
		return result, err
	}
	result.MemoryMB = used.ResidentMB
	requestedAt := time.Now()
	response, err := p.sendRequest(ctx, &fleet.Request{Kind: "apply", ID: "grown",
		BaseVersion: builder.state.Version, Policy: policyText(1, 1000),
		WaitMs: idleFleetChangeTimeout.Milliseconds()})
	if err != nil {
		return result, err
	}
	if response.Outcome != "in force" {
		return result, fmt.Errorf("policy change is %s: %s", response.Outcome, response.Reason)
	}
	result.ChangeTime = time.Since(requestedAt)
	result.FileBytes, err = directorySize(p.directory)
	return result, err
}

// directorySize returns the sum of the sizes of a directory's files.
func directorySize(directory string) (sum int64, err error) {
	entries, err := os.ReadDir(directory)
	for _, e := range entries {
		info, statErr := os.Stat(filepath.Join(directory, e.Name()))
		if statErr != nil {
			return 0, statErr
		}
		sum += info.Size()
	}
	return sum, err
}

// rows returns the rows of a result. Their size is the number of members that joined and were forgotten.
func (g Growth) rows(result GrowthResult) (rows []ScaleRow) {
	add := func(what string, value float64, unit string) {
		rows = append(rows, ScaleRow{"voter", fmt.Sprintf("grown by %d changes, %s", result.Changes, what),
			result.Members, g.Seed, value, unit})
	}
	add("snapshot", float64(result.SnapshotBytes), "bytes")
	add("record file", float64(result.FileBytes), "bytes")
	add("start until it serves", toMilliseconds(result.StartTime), "ms")
	add("memory", result.MemoryMB, "MB")
	add("a change told in force", toMilliseconds(result.ChangeTime), "ms")
	return rows
}
