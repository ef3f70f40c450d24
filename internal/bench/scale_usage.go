package bench

import (
	"fmt"
	"io"
	"time"

	"railrelay.dev/railrelay/internal/emulator/hollow"
)

// scaleSnapshot is what every controller has used up to a moment.
type scaleSnapshot struct {
	at     time.Time
	leader string
	usage  map[string]scaleControllerUsage
}

// scaleControllerUsage is what one controller has used since it was started. A hollow one has an
// equal part of its process.
type scaleControllerUsage struct {
	processUsage
	pid    int // its process's id: another one has begun to count anew
	counts hollow.Counts
}

// takeSnapshot sees what all have used. Who can't be asked is left out.
func (f *scaleFleet) takeSnapshot() (sight scaleSnapshot, err error) {
	sight = scaleSnapshot{usage: map[string]scaleControllerUsage{}}
	leader, err := f.findLeader()
	if err != nil {
		return sight, err
	}
	sight.at, sight.leader = time.Now(), leader.name
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
			return sight, err
		}
		sight.usage[m.name] = scaleControllerUsage{processUsage: used, pid: m.process.command.Process.Pid, counts: *hollow.ParseCounts(status.Counts, "wire_")}
	}
	f.countRound++
	for _, p := range f.hollowProcesses {
		counts, err := p.collectCounts(f.countRound)
		if err != nil {
			return sight, err
		}
		used, err := readProcessUsage(p.command.Process.Pid)
		if err != nil {
			return sight, err
		}
		n := len(p.names)
		share := processUsage{used.CPU / time.Duration(n), used.ResidentMB / float64(n)}
		for name, c := range counts {
			sight.usage[name] = scaleControllerUsage{processUsage: share, pid: p.command.Process.Pid, counts: *c}
		}
	}
	return sight, nil
}

// scaleRate is what a controller spends a second.
type scaleRate struct {
	BytesOut, BytesIn       float64 // of connections, with HTTP's headers
	FramesOut, FramesIn     float64 // bytes of frames alone
	MessagesOut, MessagesIn float64
	CPU                     float64 // milliseconds
	MemoryMB                float64 // resident at the end
}

// bytes are sent and received ones together.
func (r scaleRate) bytes() float64 { return r.BytesOut + r.BytesIn }

// scaleUsage is what controllers spent in a span, by roles.
type scaleUsage struct {
	Duration    time.Duration
	Controllers int       // controllers that ran for at least one stretch of it
	Leader      scaleRate // whoever led, over the stretches that it led
	LeaderName  string
	Voter       scaleRate // the mean of those that don't lead
	Relay       scaleRate // the worst, by each figure
	Mean        scaleRate // of controllers without another role; CPU and MB of real ones
	Worst       scaleRate // of all that aren't on machines set aside, by each figure; CPU and MB of real ones
}

// scaleRateTotal sums what one controller spent over the stretches in which it was seen.
type scaleRateTotal struct {
	seconds float64
	sum     scaleRate // not divided by the seconds yet; MB is the most
}

func (t *scaleRateTotal) add(rate scaleRate, seconds float64) {
	t.seconds += seconds
	most := max(t.sum.MemoryMB, rate.MemoryMB)
	for i, x := range rate.fields() {
		*t.sum.fields()[i] += *x * seconds
	}
	t.sum.MemoryMB = most
}

// rate is the mean over the stretches.
func (t *scaleRateTotal) rate() scaleRate {
	if t.seconds == 0 {
		return scaleRate{}
	}
	mean, most := t.sum, t.sum.MemoryMB
	for _, x := range mean.fields() {
		*x /= t.seconds
	}
	mean.MemoryMB = most
	return mean
}

// rateBetween is what a member spent between two sights; false if it wasn't seen at both or
// was started anew in between.
func (m *scaleMember) rateBetween(a, b scaleSnapshot) (rate scaleRate, seen bool) {
	x, was := a.usage[m.name]
	y, is := b.usage[m.name]
	if !was || !is || x.pid != y.pid || y.counts.BytesOut < x.counts.BytesOut {
		return rate, false
	}
	return rateOf(x, y, b.at.Sub(a.at)), true
}

// usageOver holds each sight against the next. A controller's figures are over the
// stretches in which it ran from begin to end, the leader's over those that it led.
func (f *scaleFleet) usageOver(sights ...scaleSnapshot) scaleUsage {
	last := sights[len(sights)-1]
	spent := scaleUsage{Duration: last.at.Sub(sights[0].at), LeaderName: last.leader}
	var leading scaleRateTotal
	var voters, plain, plainReal []scaleRate
	for _, m := range f.members {
		var total scaleRateTotal
		for i := 1; i < len(sights); i++ {
			a, b := sights[i-1], sights[i]
			rate, seen := m.rateBetween(a, b)
			if !seen {
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
		spent.Controllers++
		rate := total.rate()
		switch {
		case m.isVoter && m.name == last.leader:
		case m.isVoter && m.process != nil: // a hollow one has no CPU and memory of its own
			voters = append(voters, rate)
		case m.isVoter:
		case m.isRelay:
			spent.Relay = maxRate(spent.Relay, rate)
		default:
			plain = append(plain, rate)
			if m.process != nil {
				plainReal = append(plainReal, rate)
			}
		}
		if f.isSetAside(m) {
			continue
		}
		if m.process == nil { // its part of a process that has many is no figure of one
			rate.CPU, rate.MemoryMB = 0, 0
		}
		spent.Worst = maxRate(spent.Worst, rate)
	}
	spent.Leader = leading.rate()
	spent.Voter, spent.Mean = meanRate(voters), meanRate(plain)
	realMean := meanRate(plainReal)
	spent.Mean.CPU, spent.Mean.MemoryMB = realMean.CPU, realMean.MemoryMB
	return spent
}

func rateOf(a, b scaleControllerUsage, span time.Duration) scaleRate {
	seconds := span.Seconds()
	each := func(x, y int) float64 { return float64(y-x) / seconds }
	return scaleRate{
		BytesOut: each(a.counts.BytesOut, b.counts.BytesOut), BytesIn: each(a.counts.BytesIn, b.counts.BytesIn),
		FramesOut: each(a.counts.FramesOut, b.counts.FramesOut), FramesIn: each(a.counts.FramesIn, b.counts.FramesIn),
		MessagesOut: each(a.counts.MessagesOut, b.counts.MessagesOut), MessagesIn: each(a.counts.MessagesIn, b.counts.MessagesIn),
		CPU: toMilliseconds(b.CPU-a.CPU) / seconds, MemoryMB: b.ResidentMB}
}

// fields are all figures, for sums and the like.
func (r *scaleRate) fields() []*float64 {
	return []*float64{&r.BytesOut, &r.BytesIn, &r.FramesOut, &r.FramesIn, &r.MessagesOut, &r.MessagesIn, &r.CPU, &r.MemoryMB}
}

// maxRate takes the greater of each figure; bytes out and in are those of the greater sum.
func maxRate(a, b scaleRate) scaleRate {
	most := a
	for i, x := range b.fields() {
		own := most.fields()[i]
		*own = max(*own, *x)
	}
	most.BytesOut, most.BytesIn = a.BytesOut, a.BytesIn
	if b.bytes() > a.bytes() {
		most.BytesOut, most.BytesIn = b.BytesOut, b.BytesIn
	}
	return most
}

func meanRate(l []scaleRate) (mean scaleRate) {
	for _, r := range l {
		for i, x := range r.fields() {
			*mean.fields()[i] += *x / float64(len(l))
		}
	}
	return mean
}

// measureRest looks at the fleet while nothing happens.
func (f *scaleFleet) measureRest(span time.Duration) (scaleUsage, error) {
	before, err := f.takeSnapshot()
	if err != nil {
		return scaleUsage{}, err
	}
	sleep(f.ctx, span)
	after, err := f.takeSnapshot()
	if err != nil {
		return scaleUsage{}, err
	}
	return f.usageOver(before, after), f.ctx.Err()
}

// processTotals counts the run's processes with this one, and the memory of all.
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

func (s scaleUsage) print(out io.Writer, when string) {
	fmt.Fprintf(out, "%s, %.1f s, %d controllers seen, a second:\n", when, s.Duration.Seconds(), s.Controllers)
	line := func(role string, r scaleRate) {
		if r == (scaleRate{}) {
			return
		}
		fmt.Fprintf(out, "  %-18s %8.0f bytes out %8.0f in (frames %8.0f %8.0f), %7.1f messages out %7.1f in, %6.1f ms of CPU, %5.1f MB\n", role,
			r.BytesOut, r.BytesIn, r.FramesOut, r.FramesIn, r.MessagesOut, r.MessagesIn, r.CPU, r.MemoryMB)
	}
	line("leader "+s.LeaderName, s.Leader)
	line("voters, mean", s.Voter)
	line("relays, worst", s.Relay)
	line("controllers, mean", s.Mean)
	line("worst not aside", s.Worst)
}
