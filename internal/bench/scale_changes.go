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
	Name          string
	IsFault       bool
	Changes       []scaleChange
	ServingShares []float64     // share of hollow controllers that serve, each second from its begin
	RecoveryTime  time.Duration // from its begin until all serve again; 0: none was away
	CostPerChange changeCost    // of one change; only where nothing else went on
}

// scaleChange is one change that was asked for.
type scaleChange struct {
	ID           string
	PolicyBytes  int
	Outcome      string
	OutcomeAfter time.Duration // from being asked for until the word, asking again included
	ServedAfter  time.Duration // until the last hollow one that serves had begun by it
	Requests     int           // it took
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

// invalidPolicyText is a policy that no real controller can take.
func invalidPolicyText(serial int) []byte {
	return fmt.Appendf(nil, "groups: [{name: nobody-%d, value: 2}]\n", serial)
}

const (
	scaleChangeWait    = 2 * time.Second // of one ask for a change
	scaleRetryInterval = 20 * time.Millisecond
)

// newChangeRequest makes an ask of a policy's text.
func (f *scaleFleet) newChangeRequest(text []byte) *fleet.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changeCount++
	a := &fleet.Request{Kind: "apply", ID: fmt.Sprintf("change-%d-%d", f.Seed, f.changeCount), RequestedBy: "the laboratory", BaseVersion: f.version, Policy: text,
		WaitMs: scaleChangeWait.Milliseconds()}
	f.changeRequests = append(f.changeRequests, a)
	f.checker.addChange(a.ID, xxhash.Sum64(text))
	return a
}

// changePolicy asks for a policy of a size and waits until it is in force, asking again here
// and there where no word comes.
func (f *scaleFleet) changePolicy(size int) (scaleChange, error) {
	text := policyText(f.changeCount, size)
	a := f.newChangeRequest(text)
	c, version, err := f.requestUntilOutcome(a)
	if err != nil {
		return c, err
	}
	if c.Outcome != "in force" {
		return c, fmt.Errorf("%s is %s", a.ID, c.Outcome)
	}
	f.mu.Lock()
	f.version, f.policy = version, text
	f.mu.Unlock()
	f.sampleAllReal()
	return c, nil
}

// requestUntilOutcome asks until there is a word.
func (f *scaleFleet) requestUntilOutcome(a *fleet.Request) (c scaleChange, version uint64, err error) {
	c = scaleChange{ID: a.ID, PolicyBytes: len(a.Policy)}
	begin := time.Now()
	for time.Since(begin) < scaleOutcomeTimeout && f.ctx.Err() == nil {
		m := f.nextReal()
		c.Requests++
		r, err := m.process.sendRequest(f.ctx, a)
		if err != nil {
			sleep(f.ctx, scaleRetryInterval)
			continue
		}
		if r.Outcome == "unknown" {
			continue
		}
		now := time.Now()
		f.checker.addOutcome(observedOutcome{a.ID, m.name, r.Outcome, r.Version, now})
		c.Outcome, c.OutcomeAfter = r.Outcome, now.Sub(begin)
		if r.Outcome != "in force" && r.Outcome != "settled" {
			return c, 0, nil
		}
		c.Outcome = "in force"
		if last := f.checker.lastStart(r.Version); !last.IsZero() {
			c.ServedAfter = last.Sub(begin)
		}
		return c, r.Version, nil
	}
	return c, 0, fmt.Errorf("no word on %s came within %v, of %d asks", a.ID, scaleOutcomeTimeout, c.Requests)
}

// nextReal takes turns among the real ones that can be asked.
func (f *scaleFleet) nextReal() *scaleMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.real {
		f.requestCount++
		if m := f.real[f.requestCount%len(f.real)]; m.process.isResponsive() {
			return m
		}
	}
	return f.real[0]
}

// sampleAllReal sees once how each real one serves.
func (f *scaleFleet) sampleAllReal() {
	for _, m := range f.real {
		if m.process.isResponsive() {
			f.sampleStatus(f.ctx, m.name, m.process.operatorClient)
		}
	}
}

// sampleStatus sees how one serves, if it can be asked.
func (f *scaleFleet) sampleStatus(ctx context.Context, name string, asks operatorClient) {
	asked := time.Now()
	r, err := asks.sendRequest(ctx, &fleet.Request{Kind: "status", WaitMs: 500})
	if err != nil || r.Status == nil {
		return
	}
	s := r.Status
	f.checker.addSample(servingSample{name, asked, time.Now(), s.Serves, s.Version, s.LeaseRemainingMs})
}

// measureChangesAtRest asks for changes one after the other, some of them large, and for one
// that must be withdrawn.
func (f *scaleFleet) measureChangesAtRest(out io.Writer, rest scaleUsage) (phases []scalePhase, err error) {
	for _, part := range []struct {
		name     string
		n, bytes int
	}{{"changes at rest", f.Changes - f.LargeChanges, f.PolicyBytes}, {"large changes at rest", f.LargeChanges, f.LargeBytes}} {
		if part.n == 0 {
			continue
		}
		phase := scalePhase{Name: part.name}
		before, err := f.takeSnapshot()
		if err != nil {
			return phases, err
		}
		for range part.n {
			c, err := f.changePolicy(part.bytes)
			if err != nil {
				return phases, err
			}
			phase.Changes = append(phase.Changes, c)
		}
		after, err := f.takeSnapshot()
		if err != nil {
			return phases, err
		}
		phase.CostPerChange = costOfChange(f.usageOver(before, after), rest, part.n)
		phase.print(out)
		phases = append(phases, phase)
	}
	return phases, f.checkInvalidPolicyWithdrawn()
}

// changeCost is what one change takes of a controller, beyond what it spends at rest. Its
// figures are sums, not rates; none where that can't be told.
type changeCost struct {
	Leader, Voter scaleRate // none where another one led at the end than at the begin
	Controller    scaleRate // the mean of those without a role
	LeaderChanged bool
}

// costOfChange takes what was spent at rest from what was spent while so many changes went on.
func costOfChange(spent, rest scaleUsage, changes int) changeCost {
	each := func(busy, idle scaleRate) (cost scaleRate) {
		for i, x := range busy.fields() {
			*cost.fields()[i] = (*x - *idle.fields()[i]) * spent.Duration.Seconds() / float64(changes)
		}
		cost.MemoryMB = busy.MemoryMB
		return cost
	}
	cost := changeCost{Controller: each(spent.Mean, rest.Mean), LeaderChanged: spent.Leader == scaleRate{}}
	if !cost.LeaderChanged {
		cost.Leader, cost.Voter = each(spent.Leader, rest.Leader), each(spent.Voter, rest.Voter)
	}
	return cost
}

// checkInvalidPolicyWithdrawn asks for a policy that real controllers can't take: it must be withdrawn.
func (f *scaleFleet) checkInvalidPolicyWithdrawn() error {
	c, _, err := f.requestUntilOutcome(f.newChangeRequest(invalidPolicyText(f.changeCount)))
	if err == nil && c.Outcome == "in force" {
		err = fmt.Errorf("%s is in force though nobody real can take it", c.ID)
	}
	return err
}

const outcomeRechecks = 3 // real controllers

// recheckOutcomes asks some real ones for the words on all changes once more, and all for the
// policy that is in force.
func (f *scaleFleet) recheckOutcomes() error {
	for _, a := range f.changeRequests {
		for range outcomeRechecks {
			m := f.nextReal()
			r, err := m.process.sendRequest(f.ctx, &fleet.Request{Kind: "status", ID: a.ID, WaitMs: 1000})
			if err != nil {
				return fmt.Errorf("%s can't be asked again for %s: %w", m.name, a.ID, err)
			}
			f.checker.addOutcome(observedOutcome{a.ID, m.name, r.Outcome, r.Version, time.Now()})
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

// outcomeTimes are the times until the word, in order.
func (p scalePhase) outcomeTimes() (l []time.Duration) {
	for _, c := range p.Changes {
		l = append(l, c.OutcomeAfter)
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
	l := p.outcomeTimes()
	fmt.Fprintf(out, "%s: %d changes, asked until told in force %.0f ms median, %.0f p99, %.0f most", p.Name, len(l), toMilliseconds(quantile(l, 0.5)),
		toMilliseconds(quantile(l, 0.99)), toMilliseconds(quantile(l, 1)))
	if p.IsFault {
		fmt.Fprintf(out, "; all serve again after %.1f s; share of hollow ones that served, each second:", p.RecoveryTime.Seconds())
		for _, share := range p.ServingShares {
			fmt.Fprintf(out, " %.3f", share)
		}
	}
	if c := p.CostPerChange; !p.IsFault {
		line := func(r scaleRate) string {
			return fmt.Sprintf("%.0f bytes out, %.0f in, %.1f ms of CPU", r.BytesOut, r.BytesIn, r.CPU)
		}
		leader := line(c.Leader)
		if c.LeaderChanged {
			leader = "can't be told, another one leads by now"
		}
		fmt.Fprintf(out, "\n  one costs, beyond rest: the leader %s; a controller in the mean %s, %.1f MB by then", leader, line(c.Controller), c.Controller.MemoryMB)
	}
	fmt.Fprintln(out)
}
