package bench

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// scaleResult has the results of a run.
type scaleResult struct {
	Scale
	StartTime   time.Duration // from the first start until all controllers serve
	Rest        scaleUsage
	WholeRun    scaleUsage
	Phases      []scalePhase
	Violations  scaleViolations
	HollowRatio float64 // of compareHollowWithReal; 0: not compared
	Processes   int
	MemoryMB    float64 // of all processes together
	Duration    time.Duration
}

func ownPID() int { return os.Getpid() }

// outcomeTimes returns the times until the outcomes of all changes were reported, in ascending order.
func (r *scaleResult) outcomeTimes() (times []time.Duration) {
	for _, p := range r.Phases {
		times = append(times, p.outcomeTimes()...)
	}
	slices.Sort(times)
	return times
}

// countFaultPhases returns the number of phases with both a fault and a policy change.
func (r *scaleResult) countFaultPhases() (n int) {
	for _, p := range r.Phases {
		if p.IsFault && len(p.Changes) > 0 {
			n++
		}
	}
	return n
}

// print prints the descriptions of violations and a line with all measurements.
func (r *scaleResult) print(out io.Writer) {
	for _, description := range r.Violations.Descriptions {
		fmt.Fprintln(out, description)
	}
	v, times := r.Violations, r.outcomeTimes()
	fmt.Fprintf(out, "checked %d spans, %d samples of real controllers, %d outcomes; took %.1f s\n",
		v.Spans, v.Samples, v.Outcomes, r.Duration.Seconds())
	fmt.Fprintf(out, "measured controllers=%d real=%d hollow=%d engines=%d processes=%d memory_mb=%.0f changes=%d faults=%d in_force_p99_ms=%.0f in_force_worst_ms=%.0f "+
		"controller_bytes=%.0f controller_cpu_ms=%.1f controller_mb=%.1f leader_bytes=%.0f leader_cpu_ms=%.1f "+
		"hollow_real=%.3f mixed=%d half=%d false_word=%d served_after=%d\n",
		r.Controllers, r.Real, r.Controllers-r.Real, r.Engines, r.Processes, r.MemoryMB, len(times),
		r.countFaultPhases(), toMilliseconds(quantile(times, 0.99)), toMilliseconds(quantile(times, 1)),
		r.WholeRun.Worst.bytes(), r.WholeRun.Worst.CPU, r.WholeRun.Worst.MemoryMB,
		r.WholeRun.Leader.bytes(), r.WholeRun.Leader.CPU, r.HollowRatio,
		v.Mixed, v.Half, v.FalseWord, v.ServedAfter)
}

// violationError returns an error that describes the first violations, or nil if there are none.
func (r *scaleResult) violationError() error {
	if v := r.Violations; v.Mixed+v.Half+v.FalseWord+v.ServedAfter > 0 {
		return fmt.Errorf("the run violated invariants: %s",
			strings.Join(v.Descriptions[:min(3, len(v.Descriptions))], "; "))
	}
	return nil
}

// rows returns the results as rows of docs/capacity.csv.
func (r *scaleResult) rows() (rows []ScaleRow) {
	add := func(role, what string, value float64, unit string) {
		rows = append(rows, ScaleRow{role, what, r.Controllers, r.Seed, value, unit})
	}
	for _, period := range []struct {
		name  string
		usage scaleUsage
	}{{"at rest", r.Rest}, {"whole run", r.WholeRun}} {
		for _, role := range []struct {
			name string
			rate scaleRate
		}{{"leader", period.usage.Leader}, {"voter", period.usage.Voter}, {"relay", period.usage.Relay},
			{"controller mean", period.usage.Mean}, {"controller worst", period.usage.Worst}} {
			if role.rate == (scaleRate{}) {
				continue
			}
			add(role.name, period.name+" sent", role.rate.BytesOut, "bytes/s")
			add(role.name, period.name+" received", role.rate.BytesIn, "bytes/s")
			add(role.name, period.name+" messages sent", role.rate.MessagesOut, "1/s")
			add(role.name, period.name+" messages received", role.rate.MessagesIn, "1/s")
			add(role.name, period.name+" CPU", role.rate.CPU, "ms/s")
			add(role.name, period.name+" memory", role.rate.MemoryMB, "MB")
		}
	}
	for _, p := range r.Phases {
		times := p.outcomeTimes()
		if len(times) == 0 {
			continue
		}
		add("operator", p.Name+", told in force, median", toMilliseconds(quantile(times, 0.5)), "ms")
		add("operator", p.Name+", told in force, p99", toMilliseconds(quantile(times, 0.99)), "ms")
		add("operator", p.Name+", told in force, most", toMilliseconds(quantile(times, 1)), "ms")
		if !p.IsFault {
			for _, role := range []struct {
				name string
				cost scaleRate
			}{{"leader", p.CostPerChange.Leader}, {"voter", p.CostPerChange.Voter},
				{"controller mean", p.CostPerChange.Controller}} {
				if role.cost == (scaleRate{}) {
					continue
				}
				add(role.name, p.Name+", one sends", role.cost.BytesOut, "bytes")
				add(role.name, p.Name+", one receives", role.cost.BytesIn, "bytes")
				add(role.name, p.Name+", one takes CPU", role.cost.CPU, "ms")
				add(role.name, p.Name+", memory after them", role.cost.MemoryMB, "MB")
			}
		}
		if p.CostPerChange.LeaderChanged {
			add("leader", p.Name+", lost meanwhile", 1, "1")
		}
		if p.IsFault {
			add("controller", p.Name+", all serve again", toMilliseconds(p.RecoveryTime), "ms")
		}
		if len(p.ServingShares) > 0 {
			add("controller", p.Name+", least share that served in a second", slices.Min(p.ServingShares), "1")
		}
	}
	add("fleet", "all serve after the first start", toMilliseconds(r.StartTime), "ms")
	if r.HollowRatio > 0 {
		add("hollow", "worst ratio of hollow to real", r.HollowRatio, "1")
	}
	return rows
}
