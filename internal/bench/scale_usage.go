package bench

import (
	"fmt"
	"io"
	"time"

	"railrelay.dev/railrelay/internal/emulator/hollow"
)

// scaleSight is what every controller has used up to a moment.
type scaleSight struct {
	at     time.Time
	leader string
	used   map[string]scaleUse
}

// scaleUse is what one controller has used since it was started. A hollow one has an
// equal part of its process.
type scaleUse struct {
	processUsage
	run    int // its process's id: another one has begun to count anew
	counts hollow.Counts
}

// look sees what all have used. Who can't be asked is left out.
func (f *scaleFleet) look() (sight scaleSight, err error) {
	sight = scaleSight{used: map[string]scaleUse{}}
	leader, err := f.leader()
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
		sight.used[m.name] = scaleUse{processUsage: used, run: m.process.command.Process.Pid, counts: *hollow.ParseCounts(status.Counts, "wire_")}
	}
	f.round++
	for _, p := range f.hollows {
		counts, err := p.counts(f.round)
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
			sight.used[name] = scaleUse{processUsage: share, run: p.command.Process.Pid, counts: *c}
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
	MB                      float64 // resident at the end
}

// bytes are sent and received ones together.
func (r scaleRate) bytes() float64 { return r.BytesOut + r.BytesIn }

// scaleSpent is what controllers spent in a span, by roles.
type scaleSpent struct {
	Span       time.Duration
	Seen       int       // controllers that ran for at least one stretch of it
	Leader     scaleRate // whoever led, over the stretches that it led
	LeaderName string
	Voter      scaleRate // the mean of those that don't lead
	Relay      scaleRate // the worst, by each figure
	Mean       scaleRate // of controllers without another role; CPU and MB of real ones
	Worst      scaleRate // of all that aren't on machines set aside, by each figure; CPU and MB of real ones
}

// scaleTotal sums what one controller spent over the stretches in which it was seen.
type scaleTotal struct {
	seconds float64
	sum     scaleRate // not divided by the seconds yet; MB is the most
}

func (t *scaleTotal) add(rate scaleRate, seconds float64) {
	t.seconds += seconds
	most := max(t.sum.MB, rate.MB)
	for i, x := range rate.fields() {
		*t.sum.fields()[i] += *x * seconds
	}
	t.sum.MB = most
}

// rate is the mean over the stretches.
func (t *scaleTotal) rate() scaleRate {
	if t.seconds == 0 {
		return scaleRate{}
	}
	mean, most := t.sum, t.sum.MB
	for _, x := range mean.fields() {
		*x /= t.seconds
	}
	mean.MB = most
	return mean
}

// stretch is what a member spent between two sights; false if it wasn't seen at both or
// was started anew in between.
func (m *scaleMember) stretch(a, b scaleSight) (rate scaleRate, seen bool) {
	x, was := a.used[m.name]
	y, is := b.used[m.name]
	if !was || !is || x.run != y.run || y.counts.BytesOut < x.counts.BytesOut {
		return rate, false
	}
	return rateOf(x, y, b.at.Sub(a.at)), true
}

// spentOver holds each sight against the next. A controller's figures are over the
// stretches in which it ran from begin to end, the leader's over those that it led.
func (f *scaleFleet) spentOver(sights ...scaleSight) scaleSpent {
	last := sights[len(sights)-1]
	spent := scaleSpent{Span: last.at.Sub(sights[0].at), LeaderName: last.leader}
	var leading scaleTotal
	var voters, plain, plainReal []scaleRate
	for _, m := range f.members {
		var total scaleTotal
		for i := 1; i < len(sights); i++ {
			a, b := sights[i-1], sights[i]
			rate, seen := m.stretch(a, b)
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
		spent.Seen++
		rate := total.rate()
		switch {
		case m.votes && m.name == last.leader:
		case m.votes && m.process != nil: // a hollow one has no CPU and memory of its own
			voters = append(voters, rate)
		case m.votes:
		case m.relay:
			spent.Relay = worse(spent.Relay, rate)
		default:
			plain = append(plain, rate)
			if m.process != nil {
				plainReal = append(plainReal, rate)
			}
		}
		if f.setAside(m) {
			continue
		}
		if m.process == nil { // its part of a process that has many is no figure of one
			rate.CPU, rate.MB = 0, 0
		}
		spent.Worst = worse(spent.Worst, rate)
	}
	spent.Leader = leading.rate()
	spent.Voter, spent.Mean = meanOf(voters), meanOf(plain)
	realMean := meanOf(plainReal)
	spent.Mean.CPU, spent.Mean.MB = realMean.CPU, realMean.MB
	return spent
}

func rateOf(a, b scaleUse, span time.Duration) scaleRate {
	seconds := span.Seconds()
	each := func(x, y int) float64 { return float64(y-x) / seconds }
	return scaleRate{
		BytesOut: each(a.counts.BytesOut, b.counts.BytesOut), BytesIn: each(a.counts.BytesIn, b.counts.BytesIn),
		FramesOut: each(a.counts.FramesOut, b.counts.FramesOut), FramesIn: each(a.counts.FramesIn, b.counts.FramesIn),
		MessagesOut: each(a.counts.MessagesOut, b.counts.MessagesOut), MessagesIn: each(a.counts.MessagesIn, b.counts.MessagesIn),
		CPU: toMilliseconds(b.CPU-a.CPU) / seconds, MB: b.ResidentMB}
}

// fields are all figures, for sums and the like.
func (r *scaleRate) fields() []*float64 {
	return []*float64{&r.BytesOut, &r.BytesIn, &r.FramesOut, &r.FramesIn, &r.MessagesOut, &r.MessagesIn, &r.CPU, &r.MB}
}

// worse takes the greater of each figure; bytes out and in are those of the greater sum.
func worse(a, b scaleRate) scaleRate {
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

func meanOf(l []scaleRate) (mean scaleRate) {
	for _, r := range l {
		for i, x := range r.fields() {
			*mean.fields()[i] += *x / float64(len(l))
		}
	}
	return mean
}

// restFor looks at the fleet while nothing happens.
func (f *scaleFleet) restFor(span time.Duration) (scaleSpent, error) {
	before, err := f.look()
	if err != nil {
		return scaleSpent{}, err
	}
	sleep(f.ctx, span)
	after, err := f.look()
	if err != nil {
		return scaleSpent{}, err
	}
	return f.spentOver(before, after), f.ctx.Err()
}

// processes counts the run's processes with this one, and the memory of all.
func (f *scaleFleet) processes() (n int, memoryMB float64) {
	add := func(pid int) {
		if used, err := readProcessUsage(pid); err == nil {
			n, memoryMB = n+1, memoryMB+used.ResidentMB
		}
	}
	add(ownProcess())
	for _, m := range f.real {
		if m.process.command != nil {
			add(m.process.command.Process.Pid)
		}
	}
	for _, p := range f.hollows {
		add(p.command.Process.Pid)
	}
	return n, memoryMB
}

func (s scaleSpent) print(out io.Writer, when string) {
	fmt.Fprintf(out, "%s, %.1f s, %d controllers seen, a second:\n", when, s.Span.Seconds(), s.Seen)
	line := func(role string, r scaleRate) {
		if r == (scaleRate{}) {
			return
		}
		fmt.Fprintf(out, "  %-18s %8.0f bytes out %8.0f in (frames %8.0f %8.0f), %7.1f messages out %7.1f in, %6.1f ms of CPU, %5.1f MB\n", role,
			r.BytesOut, r.BytesIn, r.FramesOut, r.FramesIn, r.MessagesOut, r.MessagesIn, r.CPU, r.MB)
	}
	line("leader "+s.LeaderName, s.Leader)
	line("voters, mean", s.Voter)
	line("relays, worst", s.Relay)
	line("controllers, mean", s.Mean)
	line("worst not aside", s.Worst)
}
