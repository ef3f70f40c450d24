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

// scalePhase is a part of a run in which the policy is changed.
type scalePhase struct {
	Name          string
	IsFault       bool
	Changes       []scaleChange
	ServingShares []float64     // share of the hollow controllers that serve, at each full second of the phase
	RecoveryTime  time.Duration // from the start of the fault until all controllers serve again
	CostPerChange changeCost    // only in a phase without a fault
}

// scaleChange is the result of one policy change.
type scaleChange struct {
	ID           string
	PolicyBytes  int
	Outcome      string
	OutcomeAfter time.Duration // from the first request until the outcome was reported
	ServedAfter  time.Duration // from the first request until the last hollow controller served under it
	Requests     int           // number of requests until the outcome was reported
}

// policyText returns a policy of at least size bytes. Policies with different serials differ.
func policyText(serial, size int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "fairness:\n  teams:\n    - {name: a, weight: %d}\n    - {name: b, weight: 1}\n", serial+1)
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "    - {name: team-%d, weight: %d}\n", i, (serial+i)%9+1)
	}
	return b.Bytes()
}

// invalidPolicyText returns a policy that every real controller rejects.
func invalidPolicyText(serial int) []byte {
	return fmt.Appendf(nil, "groups: [{name: nobody-%d, value: 2}]\n", serial)
}

const (
	scaleChangeWait    = 2 * time.Second // for which a controller waits for an outcome before it answers
	scaleRetryInterval = 20 * time.Millisecond
)

// newChangeRequest returns a request for a policy with a new ID, based on the version in force.
func (f *scaleFleet) newChangeRequest(text []byte) *fleet.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changeCount++
	request := &fleet.Request{Kind: "apply", ID: fmt.Sprintf("change-%d-%d", f.Seed, f.changeCount),
		RequestedBy: "the laboratory", BaseVersion: f.version, Policy: text,
		WaitMs: scaleChangeWait.Milliseconds()}
	f.changeRequests = append(f.changeRequests, request)
	f.checker.addChange(request.ID, xxhash.Sum64(text))
	return request
}

// changePolicy requests a policy of a size and waits until it is in force.
func (f *scaleFleet) changePolicy(size int) (scaleChange, error) {
	text := policyText(f.changeCount, size)
	request := f.newChangeRequest(text)
	change, version, err := f.requestUntilOutcome(request)
	if err != nil {
		return change, err
	}
	if change.Outcome != "in force" {
		return change, fmt.Errorf("%s is %s", request.ID, change.Outcome)
	}
	f.mu.Lock()
	f.version, f.policy = version, text
	f.mu.Unlock()
	f.sampleAllReal()
	return change, nil
}

// requestUntilOutcome sends a request to one real controller after the other, until one of them knows
// the outcome.
func (f *scaleFleet) requestUntilOutcome(request *fleet.Request) (
	change scaleChange, version uint64, err error,
) {
	change = scaleChange{ID: request.ID, PolicyBytes: len(request.Policy)}
	startedAt := time.Now()
	for time.Since(startedAt) < scaleOutcomeTimeout && f.ctx.Err() == nil {
		m := f.nextReal()
		change.Requests++
		response, err := m.process.sendRequest(f.ctx, request)
		if err != nil {
			sleep(f.ctx, scaleRetryInterval)
			continue
		}
		if response.Outcome == "unknown" {
			continue
		}
		now := time.Now()
		f.checker.addOutcome(observedOutcome{request.ID, m.name, response.Outcome, response.Version, now})
		change.Outcome, change.OutcomeAfter = response.Outcome, now.Sub(startedAt)
		if response.Outcome != "in force" && response.Outcome != "settled" {
			return change, 0, nil
		}
		change.Outcome = "in force"
		if last := f.checker.lastStart(response.Version); !last.IsZero() {
			change.ServedAfter = last.Sub(startedAt)
		}
		return change, response.Version, nil
	}
	return change, 0, fmt.Errorf("no outcome of %s within %v and %d requests", request.ID, scaleOutcomeTimeout,
		change.Requests)
}

// nextReal returns the next real controller, in turn, that accepts requests. If none does, it returns the
// first real controller.
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

// sampleAllReal samples the status of each real controller once.
func (f *scaleFleet) sampleAllReal() {
	for _, m := range f.real {
		if m.process.isResponsive() {
			f.sampleStatus(f.ctx, m.name, m.process.operatorClient)
		}
	}
}

// sampleStatus requests a controller's status and adds it to the checker. A failed request adds nothing.
func (f *scaleFleet) sampleStatus(ctx context.Context, name string, client operatorClient) {
	requestedAt := time.Now()
	response, err := client.sendRequest(ctx, &fleet.Request{Kind: "status", WaitMs: 500})
	if err != nil || response.Status == nil {
		return
	}
	s := response.Status
	f.checker.addSample(servingSample{name, requestedAt, time.Now(), s.Serves, s.Version, s.LeaseRemainingMs})
}

// measureChangesAtRest changes the policy several times, also to large policies, and checks that an
// invalid policy is withdrawn.
func (f *scaleFleet) measureChangesAtRest(out io.Writer, rest scaleUsage) (phases []scalePhase, err error) {
	for _, part := range []struct {
		name     string
		n, bytes int
	}{{"changes at rest", f.Changes - f.LargeChanges, f.PolicyBytes},
		{"large changes at rest", f.LargeChanges, f.LargeBytes}} {
		if part.n == 0 {
			continue
		}
		phase := scalePhase{Name: part.name}
		before, err := f.takeSnapshot()
		if err != nil {
			return phases, err
		}
		for range part.n {
			change, err := f.changePolicy(part.bytes)
			if err != nil {
				return phases, err
			}
			phase.Changes = append(phase.Changes, change)
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

// changeCost is what one change costs a controller in addition to its usage at rest. Its figures are sums,
// not rates, except MemoryMB, which is the memory after the changes.
type changeCost struct {
	Leader, Voter scaleRate // zero if LeaderChanged
	Controller    scaleRate // mean of the controllers without a role
	LeaderChanged bool      // no controller was the leader at both the start and the end
}

// costOfChange returns the cost of one change from the usage during a number of changes and the usage
// at rest.
func costOfChange(during, rest scaleUsage, changes int) changeCost {
	perChange := func(busy, idle scaleRate) (cost scaleRate) {
		for i, x := range busy.fields() {
			*cost.fields()[i] = (*x - *idle.fields()[i]) * during.Duration.Seconds() / float64(changes)
		}
		cost.MemoryMB = busy.MemoryMB
		return cost
	}
	cost := changeCost{Controller: perChange(during.Mean, rest.Mean),
		LeaderChanged: during.Leader == scaleRate{}}
	if !cost.LeaderChanged {
		cost.Leader, cost.Voter = perChange(during.Leader, rest.Leader), perChange(during.Voter, rest.Voter)
	}
	return cost
}

// checkInvalidPolicyWithdrawn requests a policy that real controllers reject. It returns an error if the
// policy is in force nevertheless.
func (f *scaleFleet) checkInvalidPolicyWithdrawn() error {
	change, _, err := f.requestUntilOutcome(f.newChangeRequest(invalidPolicyText(f.changeCount)))
	if err == nil && change.Outcome == "in force" {
		err = fmt.Errorf("%s is in force, although real controllers reject its policy", change.ID)
	}
	return err
}

const outcomeRechecks = 3 // real controllers that are asked for the outcome of each change at the end

// recheckOutcomes asks several real controllers for the outcome of each change once more, and checks
// that each real controller has the policy that is in force.
func (f *scaleFleet) recheckOutcomes() error {
	for _, request := range f.changeRequests {
		for range outcomeRechecks {
			m := f.nextReal()
			response, err := m.process.sendRequest(f.ctx, &fleet.Request{Kind: "status", ID: request.ID, WaitMs: 1000})
			if err != nil {
				return fmt.Errorf("ask %s for the outcome of %s: %w", m.name, request.ID, err)
			}
			f.checker.addOutcome(observedOutcome{request.ID, m.name, response.Outcome, response.Version, time.Now()})
		}
	}
	for _, m := range f.real {
		response, err := m.process.sendRequest(f.ctx, &fleet.Request{Kind: "policy", WaitMs: 1000})
		if err != nil {
			return fmt.Errorf("ask %s for the policy: %w", m.name, err)
		}
		if response.Version != f.version || !bytes.Equal(response.Policy, f.policy) {
			return fmt.Errorf("%s has policy version %d at the end; version %d is in force", m.name, response.Version,
				f.version)
		}
	}
	return nil
}

// outcomeTimes returns the times until the outcomes of the changes were reported, in ascending order.
func (p scalePhase) outcomeTimes() (times []time.Duration) {
	for _, change := range p.Changes {
		times = append(times, change.OutcomeAfter)
	}
	slices.Sort(times)
	return times
}

// quantile returns the nearest-rank quantile of a sorted list, or 0 for an empty list.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted)) + 0.999999)
	return sorted[max(0, min(len(sorted), rank)-1)]
}

func (p scalePhase) print(out io.Writer) {
	times := p.outcomeTimes()
	fmt.Fprintf(out, "%s: %d changes, in force after %.0f ms median, %.0f p99, %.0f maximum", p.Name,
		len(times), toMilliseconds(quantile(times, 0.5)),
		toMilliseconds(quantile(times, 0.99)), toMilliseconds(quantile(times, 1)))
	if p.IsFault {
		fmt.Fprintf(out, "; all serve again after %.1f s; share of hollow controllers that serve, at each second:",
			p.RecoveryTime.Seconds())
		for _, share := range p.ServingShares {
			fmt.Fprintf(out, " %.3f", share)
		}
	}
	if cost := p.CostPerChange; !p.IsFault {
		line := func(r scaleRate) string {
			return fmt.Sprintf("%.0f bytes out, %.0f in, %.1f ms of CPU", r.BytesOut, r.BytesIn, r.CPU)
		}
		leader := line(cost.Leader)
		if cost.LeaderChanged {
			leader = "unknown, because the leader has changed"
		}
		fmt.Fprintf(out, "\n  cost of one change: leader %s; controller, mean %s, %.1f MB at the end", leader,
			line(cost.Controller), cost.Controller.MemoryMB)
	}
	fmt.Fprintln(out)
}
