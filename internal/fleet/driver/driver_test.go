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

const patienceMost = 20 * time.Second

// script is a core of our own: what it does with an event is in do.
type script struct {
	seen chan node.Event
	do   func(ev node.Event) []node.Effect
}

func (s *script) Step(_ time.Duration, ev node.Event) []node.Effect {
	s.seen <- ev
	return s.do(ev)
}

func (s *script) saw(t *testing.T, kind node.EventKind) node.Event {
	t.Helper()
	for wait := time.After(patienceMost); ; {
		select {
		case ev := <-s.seen:
			if ev.Kind == kind {
				return ev
			}
		case <-wait:
			t.Fatal("the core never saw ", kind)
		}
	}
}

type paper struct {
	err    error
	writes chan consensus.PersistentState
}

func (p *paper) Write(k consensus.PersistentState) error { p.writes <- k; return p.err }

type mute struct{}

func (mute) Send(string, string, *node.Message) {}
func (mute) Counts() map[string]int             { return map[string]int{"refused_stranger": 3} }

type noted struct {
	mu sync.Mutex
	bytes.Buffer
}

func (n *noted) Write(p []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Buffer.Write(p)
}

func (n *noted) text() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.String()
}

func play(t *testing.T, do func(ev node.Event) []node.Effect, disk error) (*Driver, *script, *noted) {
	s, log := &script{make(chan node.Event, 10_000), do}, &noted{}
	e := newDriver(s, []node.Effect{{Kind: node.SetTimer, Delay: time.Hour}}, &Options{StartTime: time.Now(), Log: zerolog.New(log),
		CheckPolicy: func(change string, text []byte, have PolicyContext) PolicyVerdict {
			return PolicyVerdict{Reason: change + string(text) + have.Policy.(string)}
		}})
	e.store, e.peers = &paper{disk, make(chan consensus.PersistentState, 100)}, mute{}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return e, s, log
}

func TestWhatIsAskedForIsDoneAndComesBack(t *testing.T) {
	e, s, _ := play(t, func(ev node.Event) []node.Effect {
		switch ev.Kind {
		case node.MessageReceived:
			return []node.Effect{{Kind: node.OrderController, Order: fleet.Order{Kind: fleet.ActivatePolicy, Policy: "now"}}, {Kind: node.Persist, Writes: &consensus.PersistentState{}}, {Kind: node.ValidatePolicy, ChangeID: "c1", PolicyText: []byte("x")}, {Kind: node.SetTimer}}
		case node.OperatorRequested:
			if ev.Request.Kind == "status" {
				return []node.Effect{{Kind: node.Respond, Handle: ev.Handle, Response: &fleet.Response{Outcome: "status", Status: &fleet.Status{}}}}
			}
		}
		return nil
	}, nil)
	e.receiveMessage(&node.Message{From: "b"})
	s.saw(t, node.MessageReceived)
	kinds := map[node.EventKind]bool{}
	for range 3 {
		ev := <-s.seen
		if kinds[ev.Kind] = true; ev.Kind == node.PolicyValidated && ev.Reason != "c1xnow" {
			t.Errorf("%+v", ev)
		}
	}
	if !kinds[node.WritesPersisted] || !kinds[node.PolicyValidated] || !kinds[node.TimerFired] {
		t.Fatal(kinds)
	}
	r := e.Request(context.Background(), &fleet.Request{Kind: "status"})
	if r.Status == nil || r.Status.Counts["wire_refused_stranger"] != 3 {
		t.Fatalf("%+v", r)
	}
	ctx, stop := context.WithCancel(context.Background())
	answer := make(chan *fleet.Response)
	go func() { answer <- e.Request(ctx, &fleet.Request{Kind: "apply", ID: "a1"}) }()
	asked := s.saw(t, node.OperatorRequested)
	for asked.Request.Kind != "apply" {
		asked = s.saw(t, node.OperatorRequested)
	}
	stop()
	if r := <-answer; r.Outcome != "unknown" || r.ExitStatus() != 4 || r.ID != "a1" || r.Remedy == "" {
		t.Fatalf("%+v", r)
	}
	if gone := s.saw(t, node.RequesterGone); gone.Handle != asked.Handle {
		t.Fatal(gone.Handle)
	}
}

// The reducer takes nothing for a while: leases are told once, the order of all else is
// kept, and past the bound the core takes nothing in, so that its leases run out.
func TestAReducerThatTakesNoOrders(t *testing.T) {
	n := uint64(0)
	e, s, _ := play(t, func(ev node.Event) []node.Effect {
		n++
		return []node.Effect{{Kind: node.OrderController, Order: fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: time.Duration(n)}},
			{Kind: node.OrderController, Order: fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: time.Duration(n) + 1}},
			{Kind: node.OrderController, Order: fleet.Order{Kind: fleet.ActivatePolicy, Version: n}}}
	}, nil)
	for range maxPendingOrders {
		e.receiveMessage(&node.Message{})
	}
	for range maxPendingOrders / 2 { // two orders stay of the three of each
		s.saw(t, node.MessageReceived)
	}
	select {
	case <-s.seen:
		t.Fatal("it takes in more than the reducer takes")
	case <-time.After(20 * time.Millisecond):
	}
	for i := uint64(1); i <= maxPendingOrders; i++ {
		lease, open := <-e.Orders(), <-e.Orders()
		if lease.Kind != fleet.LeaseRenewed || lease.LeaseEnd != time.Duration(i)+1 || open.Kind != fleet.ActivatePolicy || open.Version != i {
			t.Fatal(i, lease, open)
		}
	}
	for range maxQueuedMessages + maxPendingOrders {
		e.receiveMessage(&node.Message{})
	}
	if d := e.droppedMessages.Load(); d < 1 || d > maxPendingOrders {
		t.Errorf("%d messages dropped", d)
	}
}

// Without its disk a controller decides nothing, even by a lease without an end, and
// whoever asks is told why and what to do, never that it won't be done.
func TestADiskThatFails(t *testing.T) {
	e, s, log := play(t, func(ev node.Event) []node.Effect {
		if ev.Kind == node.MessageReceived {
			return []node.Effect{{Kind: node.OrderController, Order: fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever}}, {Kind: node.Persist, Writes: &consensus.PersistentState{}}}
		}
		return nil
	}, errors.New("no space left on device"))
	e.receiveMessage(&node.Message{})
	s.saw(t, node.MessageReceived)
	word := &fleet.ServingState{}
	word.SetVersion(1)
	for shut := false; !shut; {
		switch o := <-e.Orders(); o.Kind {
		case fleet.LeaseRenewed:
			word.SetLease(o.LeaseEnd, o.ConfinedLeaseEnd)
		case fleet.FencePolicy:
			shut = true
		}
	}
	if word.ServingVersion(time.Second, false) != 0 {
		t.Error("the lease stands")
	}
	for _, kind := range []string{"status", "apply"} {
		r := e.Request(context.Background(), &fleet.Request{Kind: kind, ID: "x"})
		if r.Outcome != "unknown" || !strings.Contains(r.Reason, "no space left") || r.Remedy == "" || r.Status == nil {
			t.Errorf("%+v", r)
		}
	}
	e.receiveMessage(&node.Message{})
	e.reports <- fleet.Report{}
	e.reports <- fleet.Report{}
	if len(s.seen) > 0 {
		t.Error("it goes on taking part")
	}
	if !strings.Contains(log.text(), "serves nothing") || !strings.Contains(log.text(), "remedy") {
		t.Error(log.text())
	}
}

// Who was away for many changes is asked to check them all in one breath.
func TestManyPoliciesToCheckAtOnce(t *testing.T) {
	const many = 3 * maxQueuedChecks
	e, s, _ := play(t, func(ev node.Event) (l []node.Effect) {
		if ev.Kind == node.MessageReceived {
			l = append(l, node.Effect{Kind: node.OrderController, Order: fleet.Order{Kind: fleet.ActivatePolicy, Policy: "now"}})
			for range many {
				l = append(l, node.Effect{Kind: node.ValidatePolicy, ChangeID: "c"})
			}
		}
		return l
	}, nil)
	e.receiveMessage(&node.Message{})
	for range many {
		s.saw(t, node.PolicyValidated)
	}
}

// A check is told whether its policy is in force already: that one can't be withdrawn.
func TestACheckKnowsWhatIsDecided(t *testing.T) {
	haves := make(chan PolicyContext, 2)
	e, _, _ := play(t, func(ev node.Event) []node.Effect {
		if ev.Kind != node.MessageReceived {
			return nil
		}
		return []node.Effect{{Kind: node.ValidatePolicy, ChangeID: "in force 3 abc"}, {Kind: node.ValidatePolicy, ChangeID: "c4"}}
	}, nil)
	e.checkPolicy = func(_ string, _ []byte, have PolicyContext) PolicyVerdict {
		haves <- have
		return PolicyVerdict{}
	}
	e.receiveMessage(&node.Message{From: "b"})
	for _, want := range []bool{true, false} {
		select {
		case have := <-haves:
			if have.Committed != want {
				t.Errorf("decided: %v, want %v", have.Committed, want)
			}
		case <-time.After(patienceMost):
			t.Fatal("no check is asked for")
		}
	}
}
