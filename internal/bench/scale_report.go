package bench

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// scaleResult is what a run came to.
type scaleResult struct {
	Scale
	StartTime   time.Duration // from the first start until all serve
	Rest        scaleUsage
	WholeRun    scaleUsage
	Phases      []scalePhase
	Violations  scaleViolations
	HollowRatio float64 // 0: not compared
	Processes   int
	MemoryMB    float64 // of all processes together
	Duration    time.Duration
}

func ownPID() int { return os.Getpid() }

// outcomeTimes are the times of all changes until their word, in order.
func (r *scaleResult) outcomeTimes() (l []time.Duration) {
	for _, p := range r.Phases {
		l = append(l, p.outcomeTimes()...)
	}
	slices.Sort(l)
	return l
}

// countFaultPhases counts the phases with a fault in which something was changed.
func (r *scaleResult) countFaultPhases() (n int) {
	for _, p := range r.Phases {
		if p.IsFault && len(p.Changes) > 0 {
			n++
		}
	}
	return n
}

// print says what was broken, and everything in one line.
func (r *scaleResult) print(out io.Writer) {
	for _, what := range r.Violations.Descriptions {
		fmt.Fprintln(out, what)
	}
	v, l := r.Violations, r.outcomeTimes()
	fmt.Fprintf(out, "judged %d spans, %d samples of real ones, %d words; took %.1f s\n", v.Spans, v.Samples, v.Outcomes, r.Duration.Seconds())
	fmt.Fprintf(out, "measured controllers=%d real=%d hollow=%d engines=%d processes=%d memory_mb=%.0f changes=%d faults=%d in_force_p99_ms=%.0f in_force_worst_ms=%.0f "+
		"controller_bytes=%.0f controller_cpu_ms=%.1f controller_mb=%.1f leader_bytes=%.0f leader_cpu_ms=%.1f hollow_real=%.3f mixed=%d half=%d false_word=%d served_after=%d\n",
		r.Controllers, r.Real, r.Controllers-r.Real, r.Engines, r.Processes, r.MemoryMB, len(l), r.countFaultPhases(), toMilliseconds(quantile(l, 0.99)), toMilliseconds(quantile(l, 1)),
		r.WholeRun.Worst.bytes(), r.WholeRun.Worst.CPU, r.WholeRun.Worst.MemoryMB, r.WholeRun.Leader.bytes(), r.WholeRun.Leader.CPU, r.HollowRatio,
		v.Mixed, v.Half, v.FalseWord, v.ServedAfter)
}

// violationError is an error where anything was.
func (r *scaleResult) violationError() error {
	if v := r.Violations; v.Mixed+v.Half+v.FalseWord+v.ServedAfter > 0 {
		return fmt.Errorf("the run broke what must hold: %s", strings.Join(v.Descriptions[:min(3, len(v.Descriptions))], "; "))
	}
	return nil
}

// rows are the figures for docs/capacity.csv.
func (r *scaleResult) rows() (rows []ScaleRow) {
	add := func(role, what string, value float64, unit string) {
		rows = append(rows, ScaleRow{role, what, r.Controllers, r.Seed, value, unit})
	}
	for _, when := range []struct {
		name  string
		spent scaleUsage
	}{{"at rest", r.Rest}, {"whole run", r.WholeRun}} {
		for _, role := range []struct {
			name string
			rate scaleRate
		}{{"leader", when.spent.Leader}, {"voter", when.spent.Voter}, {"relay", when.spent.Relay}, {"controller mean", when.spent.Mean}, {"controller worst", when.spent.Worst}} {
			if role.rate == (scaleRate{}) {
				continue
			}
			add(role.name, when.name+" sent", role.rate.BytesOut, "bytes/s")
			add(role.name, when.name+" received", role.rate.BytesIn, "bytes/s")
			add(role.name, when.name+" messages sent", role.rate.MessagesOut, "1/s")
			add(role.name, when.name+" messages received", role.rate.MessagesIn, "1/s")
			add(role.name, when.name+" CPU", role.rate.CPU, "ms/s")
			add(role.name, when.name+" memory", role.rate.MemoryMB, "MB")
		}
	}
	for _, p := range r.Phases {
		l := p.outcomeTimes()
		if len(l) == 0 {
			continue
		}
		add("operator", p.Name+", told in force, median", toMilliseconds(quantile(l, 0.5)), "ms")
		add("operator", p.Name+", told in force, p99", toMilliseconds(quantile(l, 0.99)), "ms")
		add("operator", p.Name+", told in force, most", toMilliseconds(quantile(l, 1)), "ms")
		if !p.IsFault {
			for _, role := range []struct {
				name string
				cost scaleRate
			}{{"leader", p.CostPerChange.Leader}, {"voter", p.CostPerChange.Voter}, {"controller mean", p.CostPerChange.Controller}} {
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
