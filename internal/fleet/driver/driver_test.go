package driver

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/node"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

// fakeCore records the events that it gets, and returns the effects that step returns.
type fakeCore struct {
	events chan node.Event
	step   func(ev node.Event) []node.Effect
}

func (c *fakeCore) Step(_ time.Duration, ev node.Event) []node.Effect {
	c.events <- ev
	return c.step(ev)
}

// waitFor returns the next event of a kind, skipping others.
func (c *fakeCore) waitFor(t *testing.T, kind node.EventKind) node.Event {
	t.Helper()
	for timeout := time.After(testTimeout); ; {
		select {
		case ev := <-c.events:
			if ev.Kind == kind {
				return ev
			}
		case <-timeout:
			t.Fatal("the core got no event of kind ", kind)
		}
	}
}

// fakeStore records the writes and returns err from each.
type fakeStore struct {
	err    error
	writes chan consensus.PersistentState
}

func (s *fakeStore) Write(state consensus.PersistentState) error { s.writes <- state; return s.err }

// fakePeers drops all messages, and has one nonzero counter.
type fakePeers struct{}

func (fakePeers) Send(string, string, *node.Message) {}
func (fakePeers) Counts() map[string]int             { return map[string]int{"refused_stranger": 3} }

// syncBuffer is a bytes.Buffer for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *syncBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// startDriver runs a driver with a fake core, store and peers until the test ends.
func startDriver(t *testing.T, step func(ev node.Event) []node.Effect, writeErr error) (
	*Driver, *fakeCore, *syncBuffer) {
	core, log := &fakeCore{make(chan node.Event, 10_000), step}, &syncBuffer{}
	d := newDriver(core, []node.Effect{{Kind: node.SetTimer, Delay: time.Hour}}, &Options{StartTime: time.Now(), Log: zerolog.New(log),
		CheckPolicy: func(validationKey string, text []byte, policyContext PolicyContext) PolicyVerdict {
			return PolicyVerdict{Reason: validationKey + string(text) + policyContext.Policy.(string)}
		}})
	d.store, d.peers = &fakeStore{writeErr, make(chan consensus.PersistentState, 100)}, fakePeers{}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return d, core, log
}

func TestEffectsArePerformedAndResultsReturnAsEvents(t *testing.T) {
	d, core, _ := startDriver(t, func(ev node.Event) []node.Effect {
		switch ev.Kind {
		case node.MessageReceived:
			return []node.Effect{
				{Kind: node.OrderController, Order: fleet.Order{Kind: fleet.ActivatePolicy, Policy: "now"}},
				{Kind: node.Persist, Writes: &consensus.PersistentState{}},
				{Kind: node.ValidatePolicy, ValidationKey: "c1", PolicyText: []byte("x")},
				{Kind: node.SetTimer}}
		case node.OperatorRequested:
			if ev.Request.Kind == "status" {
				return []node.Effect{{Kind: node.Respond, Handle: ev.Handle, Response: &fleet.Response{Outcome: "status", Status: &fleet.Status{}}}}
			}
		}
		return nil
	}, nil)
	d.receiveMessage(&node.Message{From: "b"})
	core.waitFor(t, node.MessageReceived)
	kinds := map[node.EventKind]bool{}
	for range 3 {
		ev := <-core.events
		if kinds[ev.Kind] = true; ev.Kind == node.PolicyValidated && ev.Reason != "c1xnow" {
			t.Errorf("the check of the policy returned %+v", ev)
		}
	}
	if !kinds[node.WritesPersisted] || !kinds[node.PolicyValidated] || !kinds[node.TimerFired] {
		t.Fatal("events after the effects: ", kinds)
	}
	r := d.Request(context.Background(), &fleet.Request{Kind: "status"})
	if r.Status == nil || r.Status.Counts["wire_refused_stranger"] != 3 {
		t.Fatalf("%+v", r)
	}
	ctx, stop := context.WithCancel(context.Background())
	answer := make(chan *fleet.Response)
	go func() { answer <- d.Request(ctx, &fleet.Request{Kind: "apply", ID: "a1"}) }()
	requested := core.waitFor(t, node.OperatorRequested)
	for requested.Request.Kind != "apply" {
		requested = core.waitFor(t, node.OperatorRequested)
	}
	stop()
	if r := <-answer; r.Outcome != "unknown" || r.ExitStatus() != 4 || r.ID != "a1" || r.Remedy == "" {
		t.Fatalf("%+v", r)
	}
	if gone := core.waitFor(t, node.RequesterGone); gone.Handle != requested.Handle {
		t.Fatalf("the abandoned request has handle %d, want %d", gone.Handle, requested.Handle)
	}
}

// While the controller receives no orders, waiting lease renewals are merged and the sequence of
// the other orders is kept. At maxPendingOrders the core processes no more events, so that its
// leases expire.
func TestCorePausesWhileControllerReceivesNoOrders(t *testing.T) {
	n := uint64(0)
	d, core, _ := startDriver(t, func(ev node.Event) []node.Effect {
		n++
		return []node.Effect{{Kind: node.OrderController, Order: fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: time.Duration(n)}},
			{Kind: node.OrderController, Order: fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: time.Duration(n) + 1}},
			{Kind: node.OrderController, Order: fleet.Order{Kind: fleet.ActivatePolicy, Version: n}}}
	}, nil)
	for range maxPendingOrders {
		d.receiveMessage(&node.Message{})
	}
	for range maxPendingOrders / 2 { // each event leaves two of its three orders
		core.waitFor(t, node.MessageReceived)
	}
	select {
	case <-core.events:
		t.Fatal("the core got an event while maxPendingOrders orders were pending")
	case <-time.After(20 * time.Millisecond):
	}
	for i := uint64(1); i <= maxPendingOrders; i++ {
		lease, open := <-d.Orders(), <-d.Orders()
		if lease.Kind != fleet.LeaseRenewed || lease.LeaseEnd != time.Duration(i)+1 || open.Kind != fleet.ActivatePolicy || open.Version != i {
			t.Fatal(i, lease, open)
		}
	}
	for range maxQueuedMessages + maxPendingOrders {
		d.receiveMessage(&node.Message{})
	}
	if d := d.droppedMessages.Load(); d < 1 || d > maxPendingOrders {
		t.Errorf("%d messages dropped", d)
	}
}

// After its store fails, a controller doesn't serve, even by a lease without an end. Requests get the
// outcome "unknown" with the error and a remedy, never a refusal.
func TestControllerStopsParticipatingAfterStoreFails(t *testing.T) {
	d, core, log := startDriver(t, func(ev node.Event) []node.Effect {
		if ev.Kind == node.MessageReceived {
			return []node.Effect{{Kind: node.OrderController, Order: fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever}}, {Kind: node.Persist, Writes: &consensus.PersistentState{}}}
		}
		return nil
	}, errors.New("no space left on device"))
	d.receiveMessage(&node.Message{})
	core.waitFor(t, node.MessageReceived)
	servingState := &fleet.ServingState{}
	servingState.SetVersion(1)
	for fenced := false; !fenced; {
		switch o := <-d.Orders(); o.Kind {
		case fleet.LeaseRenewed:
			servingState.SetLease(o.LeaseEnd, o.ConfinedLeaseEnd)
		case fleet.FencePolicy:
			fenced = true
		}
	}
	if servingState.ServingVersion(time.Second, false) != 0 {
		t.Error("the controller still serves by the lease")
	}
	for _, kind := range []string{"status", "apply"} {
		r := d.Request(context.Background(), &fleet.Request{Kind: kind, ID: "x"})
		if r.Outcome != "unknown" || !strings.Contains(r.Reason, "no space left") || r.Remedy == "" || r.Status == nil {
			t.Errorf("%+v", r)
		}
	}
	d.receiveMessage(&node.Message{})
	d.reports <- fleet.Report{}
	d.reports <- fleet.Report{}
	if len(core.events) > 0 {
		t.Error("the core got an event after the store had failed")
	}
	if !strings.Contains(log.text(), "no longer serves") || !strings.Contains(log.text(), "remedy") {
		t.Error(log.text())
	}
}

// A controller that missed many changes must check all their policies at once. More checks than the
// queue holds must not block the core.
func TestMoreChecksThanTheQueueHolds(t *testing.T) {
	const checks = 3 * maxQueuedChecks
	d, core, _ := startDriver(t, func(ev node.Event) (effects []node.Effect) {
		if ev.Kind == node.MessageReceived {
			effects = append(effects, node.Effect{Kind: node.OrderController, Order: fleet.Order{Kind: fleet.ActivatePolicy, Policy: "now"}})
			for range checks {
				effects = append(effects, node.Effect{Kind: node.ValidatePolicy, ValidationKey: "c"})
			}
		}
		return effects
	}, nil)
	d.receiveMessage(&node.Message{})
	for range checks {
		core.waitFor(t, node.PolicyValidated)
	}
}

// A policy in force can't be withdrawn any more, so a check must know whether it checks such a policy.
func TestPolicyContextTellsCommittedPolicies(t *testing.T) {
	contexts := make(chan PolicyContext, 2)
	d, _, _ := startDriver(t, func(ev node.Event) []node.Effect {
		if ev.Kind != node.MessageReceived {
			return nil
		}
		return []node.Effect{{Kind: node.ValidatePolicy, ValidationKey: "in force 3 abc"},
			{Kind: node.ValidatePolicy, ValidationKey: "c4"}}
	}, nil)
	d.checkPolicy = func(_ string, _ []byte, policyContext PolicyContext) PolicyVerdict {
		contexts <- policyContext
		return PolicyVerdict{}
	}
	d.receiveMessage(&node.Message{From: "b"})
	for _, want := range []bool{true, false} {
		select {
		case policyContext := <-contexts:
			if policyContext.Committed != want {
				t.Errorf("Committed is %v, want %v", policyContext.Committed, want)
			}
		case <-time.After(testTimeout):
			t.Fatal("no policy was checked")
		}
	}
}
