package bench

import (
	"fmt"
	"io"
	"time"

	"railrelay.dev/railrelay/internal/emulator/hollow"
)

// scaleSnapshot has the usage of the controllers up to a point in time.
type scaleSnapshot struct {
	at     time.Time
	leader string
	usage  map[string]scaleControllerUsage // by controller
}

// scaleControllerUsage is the usage of one controller since its start. A hollow controller has an equal
// share of its process's usage.
type scaleControllerUsage struct {
	processUsage
	pid    int // of the controller's process; a new process counts from zero
	counts hollow.Counts
}

// takeSnapshot returns the usage of all controllers that respond.
func (f *scaleFleet) takeSnapshot() (snapshot scaleSnapshot, err error) {
	snapshot = scaleSnapshot{usage: map[string]scaleControllerUsage{}}
	leader, err := f.findLeader()
	if err != nil {
		return snapshot, err
	}
	snapshot.at, snapshot.leader = time.Now(), leader.name
	for _, m := range f.real {
		if !m.process.isResponsive() {
			continue
		}
		status := m.process.status(f.ctx)
		if status.Name == "" {
			continue
		}
		used, err := readProcessUsage(m.process.command.Process.Pid)
		if err != nil {
			return snapshot, err
		}
		snapshot.usage[m.name] = scaleControllerUsage{processUsage: used, pid: m.process.command.Process.Pid,
			counts: *hollow.ParseCounts(status.Counts, "wire_")}
	}
	f.countRound++
	for _, p := range f.hollowProcesses {
		counts, err := p.collectCounts(f.countRound)
		if err != nil {
			return snapshot, err
		}
		used, err := readProcessUsage(p.command.Process.Pid)
		if err != nil {
			return snapshot, err
		}
		n := len(p.names)
		share := processUsage{used.CPU / time.Duration(n), used.ResidentMB / float64(n)}
		for name, c := range counts {
			snapshot.usage[name] = scaleControllerUsage{processUsage: share, pid: p.command.Process.Pid, counts: *c}
		}
	}
	return snapshot, nil
}

// scaleRate is the usage of a controller per second.
type scaleRate struct {
	BytesOut, BytesIn       float64 // of connections, including HTTP headers
	FramesOut, FramesIn     float64 // bytes of frames only
	MessagesOut, MessagesIn float64
	CPU                     float64 // milliseconds
	MemoryMB                float64 // resident at the end, not a rate
}

// bytes returns the sum of the bytes sent and received.
func (r scaleRate) bytes() float64 { return r.BytesOut + r.BytesIn }

// scaleUsage is the usage of the controllers during an interval, by role.
type scaleUsage struct {
	Duration    time.Duration
	Controllers int       // controllers that ran between at least two consecutive snapshots
	Leader      scaleRate // over the time between snapshots with the same leader
	LeaderName  string    // at the end
	Voter       scaleRate // mean of the real voters except the leader
	Relay       scaleRate // maximum of each figure
	Mean        scaleRate // of controllers without a role; CPU and MemoryMB of the real ones
	Worst       scaleRate // maximum of each figure of controllers not set aside; CPU and MemoryMB of real ones
}

// scaleRateTotal sums the usage of one controller over the intervals in which it ran.
type scaleRateTotal struct {
	seconds float64
	sum     scaleRate // of rates times seconds; MemoryMB is the maximum
}

func (t *scaleRateTotal) add(rate scaleRate, seconds float64) {
	t.seconds += seconds
	maxMemoryMB := max(t.sum.MemoryMB, rate.MemoryMB)
	for i, x := range rate.fields() {
		*t.sum.fields()[i] += *x * seconds
	}
	t.sum.MemoryMB = maxMemoryMB
}

// rate returns the mean over the intervals.
func (t *scaleRateTotal) rate() scaleRate {
	if t.seconds == 0 {
		return scaleRate{}
	}
	mean, maxMemoryMB := t.sum, t.sum.MemoryMB
	for _, x := range mean.fields() {
		*x /= t.seconds
	}
	mean.MemoryMB = maxMemoryMB
	return mean
}

// rateBetween returns a member's usage between two snapshots. It returns false if the member is missing in
// one of them or was restarted between them.
func (m *scaleMember) rateBetween(a, b scaleSnapshot) (rate scaleRate, ok bool) {
	x, inFirst := a.usage[m.name]
	y, inSecond := b.usage[m.name]
	if !inFirst || !inSecond || x.pid != y.pid || y.counts.BytesOut < x.counts.BytesOut {
		return rate, false
	}
	return rateOf(x, y, b.at.Sub(a.at)), true
}

// usageOver returns the usage between the first and the last snapshot. The figures of a controller cover the
// intervals between consecutive snapshots in which it ran all the time, and those of the leader only the
// intervals that have the same leader at the start and the end.
func (f *scaleFleet) usageOver(snapshots ...scaleSnapshot) scaleUsage {
	last := snapshots[len(snapshots)-1]
	usage := scaleUsage{Duration: last.at.Sub(snapshots[0].at), LeaderName: last.leader}
	var leading scaleRateTotal
	var voters, withoutRole, realWithoutRole []scaleRate
	for _, m := range f.members {
		var total scaleRateTotal
		for i := 1; i < len(snapshots); i++ {
			a, b := snapshots[i-1], snapshots[i]
			rate, ok := m.rateBetween(a, b)
			if !ok {
				continue
			}
			total.add(rate, b.at.Sub(a.at).Seconds())
			if a.leader == m.name && b.leader == m.name {
				leading.add(rate, b.at.Sub(a.at).Seconds())
			}
		}
		if total.seconds == 0 {
			continue
		}
		usage.Controllers++
		rate := total.rate()
		switch {
		case m.isVoter && m.name == last.leader:
		case m.isVoter && m.process != nil: // a hollow voter has no CPU time and memory of its own
			voters = append(voters, rate)
		case m.isVoter:
		case m.isRelay:
			usage.Relay = maxRate(usage.Relay, rate)
		default:
			withoutRole = append(withoutRole, rate)
			if m.process != nil {
				realWithoutRole = append(realWithoutRole, rate)
			}
		}
		if f.isSetAside(m) {
			continue
		}
		if m.process == nil { // a share of a process with many controllers isn't the usage of one
			rate.CPU, rate.MemoryMB = 0, 0
		}
		usage.Worst = maxRate(usage.Worst, rate)
	}
	usage.Leader = leading.rate()
	usage.Voter, usage.Mean = meanRate(voters), meanRate(withoutRole)
	realMean := meanRate(realWithoutRole)
	usage.Mean.CPU, usage.Mean.MemoryMB = realMean.CPU, realMean.MemoryMB
	return usage
}

// rateOf returns the usage per second between two readings that are a duration apart.
func rateOf(a, b scaleControllerUsage, duration time.Duration) scaleRate {
	seconds := duration.Seconds()
	perSecond := func(x, y int) float64 { return float64(y-x) / seconds }
	return scaleRate{
		BytesOut:    perSecond(a.counts.BytesOut, b.counts.BytesOut),
		BytesIn:     perSecond(a.counts.BytesIn, b.counts.BytesIn),
		FramesOut:   perSecond(a.counts.FramesOut, b.counts.FramesOut),
		FramesIn:    perSecond(a.counts.FramesIn, b.counts.FramesIn),
		MessagesOut: perSecond(a.counts.MessagesOut, b.counts.MessagesOut),
		MessagesIn:  perSecond(a.counts.MessagesIn, b.counts.MessagesIn),
		CPU:         toMilliseconds(b.CPU-a.CPU) / seconds, MemoryMB: b.ResidentMB}
}

// fields returns pointers to all figures, for operations on each of them.
func (r *scaleRate) fields() []*float64 {
	return []*float64{&r.BytesOut, &r.BytesIn, &r.FramesOut, &r.FramesIn,
		&r.MessagesOut, &r.MessagesIn, &r.CPU, &r.MemoryMB}
}

// maxRate returns the maximum of each figure. BytesOut and BytesIn are both from the rate that has the
// greater sum of them.
func maxRate(a, b scaleRate) scaleRate {
	result := a
	for i, x := range b.fields() {
		field := result.fields()[i]
		*field = max(*field, *x)
	}
	result.BytesOut, result.BytesIn = a.BytesOut, a.BytesIn
	if b.bytes() > a.bytes() {
		result.BytesOut, result.BytesIn = b.BytesOut, b.BytesIn
	}
	return result
}

// meanRate returns the mean of each figure.
func meanRate(rates []scaleRate) (mean scaleRate) {
	for _, r := range rates {
		for i, x := range r.fields() {
			*mean.fields()[i] += *x / float64(len(rates))
		}
	}
	return mean
}

// measureRest measures the fleet for a duration in which nothing is changed.
func (f *scaleFleet) measureRest(duration time.Duration) (scaleUsage, error) {
	before, err := f.takeSnapshot()
	if err != nil {
		return scaleUsage{}, err
	}
	sleep(f.ctx, duration)
	after, err := f.takeSnapshot()
	if err != nil {
		return scaleUsage{}, err
	}
	return f.usageOver(before, after), f.ctx.Err()
}

// processTotals returns the number of processes of the run, including this one, and their total memory.
func (f *scaleFleet) processTotals() (n int, memoryMB float64) {
	add := func(pid int) {
		if used, err := readProcessUsage(pid); err == nil {
			n, memoryMB = n+1, memoryMB+used.ResidentMB
		}
	}
	add(ownPID())
	for _, m := range f.real {
		if m.process.command != nil {
			add(m.process.command.Process.Pid)
		}
	}
	for _, p := range f.hollowProcesses {
		add(p.command.Process.Pid)
	}
	return n, memoryMB
}

func (s scaleUsage) print(out io.Writer, period string) {
	fmt.Fprintf(out, "%s, %.1f s, %d controllers, per second:\n", period, s.Duration.Seconds(), s.Controllers)
	line := func(role string, r scaleRate) {
		if r == (scaleRate{}) {
			return
		}
		fmt.Fprintf(out,
			"  %-18s bytes %8.0f out %8.0f in (frames %8.0f %8.0f), messages %7.1f %7.1f, %6.1f ms CPU, %5.1f MB\n",
			role, r.BytesOut, r.BytesIn, r.FramesOut, r.FramesIn, r.MessagesOut, r.MessagesIn, r.CPU, r.MemoryMB)
	}
	line("leader "+s.LeaderName, s.Leader)
	line("voters, mean", s.Voter)
	line("relays, worst", s.Relay)
	line("controllers, mean", s.Mean)
	line("worst, not aside", s.Worst)
}
