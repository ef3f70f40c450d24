package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fleet"
)

// scalePhase is a stretch of a run with changes of policy in it.
type scalePhase struct {
	Name    string
	Fault   bool
	Changes []scaleChange
	Serving []float64     // share of hollow controllers that serve, each second from its begin
	Back    time.Duration // from its begin until all serve again; 0: none was away
	Cost    changeCost    // of one change; only where nothing else went on
}

// scaleChange is one change that was asked for.
type scaleChange struct {
	ID    string
	Bytes int
	Word  string
	Told  time.Duration // from being asked for until the word, asking again included
	Begun time.Duration // until the last hollow one that serves had begun by it
	Asks  int           // it took
}

// policyText makes a policy of about so many bytes; the serial keeps each different.
func policyText(serial, size int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "fairness:\n  teams:\n    - {name: a, weight: %d}\n    - {name: b, weight: 1}\n", serial+1)
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "    - {name: team-%d, weight: %d}\n", i, (serial+i)%9+1)
	}
	return b.Bytes()
}

// spoiltText is a policy that no real controller can take.
func spoiltText(serial int) []byte {
	return fmt.Appendf(nil, "groups: [{name: nobody-%d, value: 2}]\n", serial)
}

const (
	askPatience = 2 * time.Second // of one ask for a change
	askPause    = 20 * time.Millisecond
)

// apply makes an ask of a policy's text.
func (f *scaleFleet) apply(text []byte) *fleet.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serial++
	a := &fleet.Request{Kind: "apply", ID: fmt.Sprintf("change-%d-%d", f.Seed, f.serial), RequestedBy: "the laboratory", BaseVersion: f.version, Policy: text,
		WaitMs: askPatience.Milliseconds()}
	f.asked = append(f.asked, a)
	f.judge.asked(a.ID, xxhash.Sum64(text))
	return a
}

// change asks for a policy of a size and waits until it is in force, asking again here
// and there where no word comes.
func (f *scaleFleet) change(size int) (scaleChange, error) {
	text := policyText(f.serial, size)
	a := f.apply(text)
	c, version, err := f.settle(a)
	if err != nil {
		return c, err
	}
	if c.Word != "in force" {
		return c, fmt.Errorf("%s is %s", a.ID, c.Word)
	}
	f.mu.Lock()
	f.version, f.policy = version, text
	f.mu.Unlock()
	f.sampleReal()
	return c, nil
}

// settle asks until there is a word.
func (f *scaleFleet) settle(a *fleet.Request) (c scaleChange, version uint64, err error) {
	c = scaleChange{ID: a.ID, Bytes: len(a.Policy)}
	begin := time.Now()
	for time.Since(begin) < scaleWordWithin && f.ctx.Err() == nil {
		m := f.nextAsker()
		c.Asks++
		r, err := m.process.sendRequest(f.ctx, a)
		if err != nil {
			sleep(f.ctx, askPause)
			continue
		}
		if r.Outcome == "unknown" {
			continue
		}
		now := time.Now()
		f.judge.told(toldWord{a.ID, m.name, r.Outcome, r.Version, now})
		c.Word, c.Told = r.Outcome, now.Sub(begin)
		if r.Outcome != "in force" && r.Outcome != "settled" {
			return c, 0, nil
		}
		c.Word = "in force"
		if last := f.judge.lastBegin(r.Version); !last.IsZero() {
			c.Begun = last.Sub(begin)
		}
		return c, r.Version, nil
	}
	return c, 0, fmt.Errorf("no word on %s came within %v, of %d asks", a.ID, scaleWordWithin, c.Asks)
}

// nextAsker takes turns among the real ones that can be asked.
func (f *scaleFleet) nextAsker() *scaleMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.real {
		f.asker++
		if m := f.real[f.asker%len(f.real)]; m.process.isResponsive() {
			return m
		}
	}
	return f.real[0]
}

// sampleReal sees once how each real one serves.
func (f *scaleFleet) sampleReal() {
	for _, m := range f.real {
		if m.process.isResponsive() {
			f.sample(f.ctx, m.name, m.process.operatorClient)
		}
	}
}

// sample sees how one serves, if it can be asked.
func (f *scaleFleet) sample(ctx context.Context, name string, asks operatorClient) {
	asked := time.Now()
	r, err := asks.sendRequest(ctx, &fleet.Request{Kind: "status", WaitMs: 500})
	if err != nil || r.Status == nil {
		return
	}
	s := r.Status
	f.judge.sampled(servingSample{name, asked, time.Now(), s.Serves, s.Version, s.LeaseRemainingMs})
}

// changesAtRest asks for changes one after the other, some of them large, and for one
// that must be withdrawn.
func (f *scaleFleet) changesAtRest(out io.Writer, rest scaleSpent) (phases []scalePhase, err error) {
	for _, part := range []struct {
		name     string
		n, bytes int
	}{{"changes at rest", f.Changes - f.Large, f.PolicyBytes}, {"large changes at rest", f.Large, f.LargeBytes}} {
		if part.n == 0 {
			continue
		}
		phase := scalePhase{Name: part.name}
		before, err := f.look()
		if err != nil {
			return phases, err
		}
		for range part.n {
			c, err := f.change(part.bytes)
			if err != nil {
				return phases, err
			}
			phase.Changes = append(phase.Changes, c)
		}
		after, err := f.look()
		if err != nil {
			return phases, err
		}
		phase.Cost = costOfChange(f.spentOver(before, after), rest, part.n)
		phase.print(out)
		phases = append(phases, phase)
	}
	return phases, f.spoiltChange()
}

// changeCost is what one change takes of a controller, beyond what it spends at rest. Its
// figures are sums, not rates; none where that can't be told.
type changeCost struct {
	Leader, Voter scaleRate // none where another one led at the end than at the begin
	Controller    scaleRate // the mean of those without a role
	LeaderLost    bool
}

// costOfChange takes what was spent at rest from what was spent while so many changes went on.
func costOfChange(spent, rest scaleSpent, changes int) changeCost {
	each := func(busy, idle scaleRate) (cost scaleRate) {
		for i, x := range busy.fields() {
			*cost.fields()[i] = (*x - *idle.fields()[i]) * spent.Span.Seconds() / float64(changes)
		}
		cost.MB = busy.MB
		return cost
	}
	cost := changeCost{Controller: each(spent.Mean, rest.Mean), LeaderLost: spent.Leader == scaleRate{}}
	if !cost.LeaderLost {
		cost.Leader, cost.Voter = each(spent.Leader, rest.Leader), each(spent.Voter, rest.Voter)
	}
	return cost
}

// spoiltChange asks for a policy that real controllers can't take: it must be withdrawn.
func (f *scaleFleet) spoiltChange() error {
	c, _, err := f.settle(f.apply(spoiltText(f.serial)))
	if err == nil && c.Word == "in force" {
		err = fmt.Errorf("%s is in force though nobody real can take it", c.ID)
	}
	return err
}

const askedAgainAt = 3 // real controllers

// askAgain asks some real ones for the words on all changes once more, and all for the
// policy that is in force.
func (f *scaleFleet) askAgain() error {
	for _, a := range f.asked {
		for range askedAgainAt {
			m := f.nextAsker()
			r, err := m.process.sendRequest(f.ctx, &fleet.Request{Kind: "status", ID: a.ID, WaitMs: 1000})
			if err != nil {
				return fmt.Errorf("%s can't be asked again for %s: %w", m.name, a.ID, err)
			}
			f.judge.told(toldWord{a.ID, m.name, r.Outcome, r.Version, time.Now()})
		}
	}
	for _, m := range f.real {
		r, err := m.process.sendRequest(f.ctx, &fleet.Request{Kind: "policy", WaitMs: 1000})
		if err != nil {
			return fmt.Errorf("%s can't be asked for the policy: %w", m.name, err)
		}
		if r.Version != f.version || !bytes.Equal(r.Policy, f.policy) {
			return fmt.Errorf("%s has version %d of the policy at the end, and %d is in force", m.name, r.Version, f.version)
		}
	}
	return nil
}

// tolds are the times until the word, in order.
func (p scalePhase) tolds() (l []time.Duration) {
	for _, c := range p.Changes {
		l = append(l, c.Told)
	}
	slices.Sort(l)
	return l
}

// quantile is the value that the part q of a sorted list is at or under.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted)) + 0.999999)
	return sorted[max(0, min(len(sorted), rank)-1)]
}

func (p scalePhase) print(out io.Writer) {
	l := p.tolds()
	fmt.Fprintf(out, "%s: %d changes, asked until told in force %.0f ms median, %.0f p99, %.0f most", p.Name, len(l), toMilliseconds(quantile(l, 0.5)),
		toMilliseconds(quantile(l, 0.99)), toMilliseconds(quantile(l, 1)))
	if p.Fault {
		fmt.Fprintf(out, "; all serve again after %.1f s; share of hollow ones that served, each second:", p.Back.Seconds())
		for _, share := range p.Serving {
			fmt.Fprintf(out, " %.3f", share)
		}
	}
	if c := p.Cost; !p.Fault {
		line := func(r scaleRate) string {
			return fmt.Sprintf("%.0f bytes out, %.0f in, %.1f ms of CPU", r.BytesOut, r.BytesIn, r.CPU)
		}
		leader := line(c.Leader)
		if c.LeaderLost {
			leader = "can't be told, another one leads by now"
		}
		fmt.Fprintf(out, "\n  one costs, beyond rest: the leader %s; a controller in the mean %s, %.1f MB by then", leader, line(c.Controller), c.Controller.MB)
	}
	fmt.Fprintln(out)
}
