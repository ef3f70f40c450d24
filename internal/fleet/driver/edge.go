// Package driver performs what a controller's part in the fleet asks for, and brings back
// what came of it: it knows the disk, the peers' wire, the operators' listener and the
// clock, and decides nothing.
//
// One goroutine has each duty: the core (Serve), the disk, the policies' checks; the
// peers' and operators' connections have theirs in package transport. What joins them is
// bounded:
//
//   - messages of peers: a full ring drops the message, which counts; whoever sent it
//     asks again;
//   - writes: agreement has one under way at a time, so the ring of one is never full;
//   - checks: what was decided while a controller was away comes all at once, so what the
//     ring has no room for waits with the core, no more than changes since the last snapshot;
//   - reports by the reducer: the ring is the reducer's to fill, which never waits for it;
//   - orders for the reducer: where they pile up, leases that were renewed twice are told
//     once, and past the bound the core takes nothing in until there is room: its leases
//     run out meanwhile, which is the safe side;
//   - asks by operators: past the bound they are told that it isn't known yet.
package driver

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/node"
)

const (
	messagesMost = 4096 // of peers that wait for the core
	ordersMost   = 256  // that wait for the reducer before the core takes nothing in
	reportsMost  = 256  // of the reducer that wait for the core
	asksMost     = 64   // that wait for the core
	openMost     = 1024 // asks that wait for their answer
	checksMost   = 4    // policies that wait to be checked
	complainMost = time.Minute

	inForce = "in force " // begins the name under which node has the policy in force checked
)

// core is package node's, as far as it is used here.
type core interface {
	Step(now time.Duration, ev node.Event) []node.Effect
}

// keeper keeps what must survive. Write returns once it is synced; after an error
// nothing more is written.
type keeper interface {
	Write(consensus.Kept) error
}

// wire sends to peers.
type wire interface {
	Send(to, address string, m *node.Message)
	Counts() map[string]int
}

// Have is what a policy's text is checked against, beside the set-up.
type Have struct {
	Policy   any // in force, as far as is known here; nil: the set-up's own
	Bindings []fleet.Binding
	Decided  bool // the text is that of the policy in force: it can't be withdrawn any more
}

// toCheck is a policy's text to be checked.
type toCheck struct {
	change string
	text   []byte
	have   Have
}

// Checked is what became of a policy's text.
type Checked struct {
	Why     string // it can't be taken here
	Policy  any
	Watched []fleet.Watched
	// RulesUnknown: it leaves the placement rules to the controllers' own set-ups, which
	// this process doesn't know.
	RulesUnknown bool
	Scopes       []fleet.Scope
	Voters       []string
}

// Edge is one controller's part in the fleet, running.
type Edge struct {
	core    core
	first   []node.Effect
	disk    keeper
	wire    wire
	check   func(change string, text []byte, have Have) Checked
	log     zerolog.Logger
	started time.Time
	name    string

	messages chan *node.Message
	reports  chan fleet.Report
	orders   chan fleet.Order
	asks     chan asked
	gone     chan uint64
	stores   chan *consensus.Kept
	stored   chan error
	checks   chan toCheck
	checked  chan node.Event

	close   func() error // the listeners and the disk
	keys    func() error // reads the key file again
	dropped atomic.Int64
	ended   chan struct{} // once the core is done

	// of the core's goroutine
	pending []fleet.Order
	// toCheck are the checks that the ring has no room for: a start replays a change after
	// another, and a core that waited for the ring would wait for itself. They are no more
	// than the changes since the last snapshot.
	toCheck []toCheck
	have    Have
	open    map[uint64]chan *fleet.Reply
	handle  uint64
	timer   *time.Timer
	failed  fleet.Remedied // the disk: nothing is taken part in any more
}

// asked is an ask that waits for its answer.
type asked struct {
	ask    *fleet.Ask
	answer chan *fleet.Reply
	handle chan uint64
	left   *atomic.Bool // who asked waits no more
}

func newEdge(c core, first []node.Effect, o *Options) *Edge {
	return &Edge{core: c, first: first, check: o.Check, log: o.Log, started: o.Started, name: o.Begin.Self.Name,
		messages: make(chan *node.Message, messagesMost), reports: make(chan fleet.Report, reportsMost), orders: make(chan fleet.Order),
		asks: make(chan asked, asksMost), gone: make(chan uint64, asksMost), stores: make(chan *consensus.Kept, 1), stored: make(chan error, 1),
		checks: make(chan toCheck, checksMost), checked: make(chan node.Event), open: map[uint64]chan *fleet.Reply{}, ended: make(chan struct{})}
}

// Orders are for the reducer, in the order in which they came.
func (e *Edge) Orders() <-chan fleet.Order { return e.orders }

// Reports take what the reducer tells.
func (e *Edge) Reports() chan<- fleet.Report { return e.reports }

// got takes a peer's message, or drops it.
func (e *Edge) got(m *node.Message) {
	select {
	case e.messages <- m:
	default:
		e.dropped.Add(1)
	}
}

// Ask has the fleet do what is asked, and waits for the word on it. If ctx ends first,
// or too many wait, the word is that it isn't known yet.
func (e *Edge) Ask(ctx context.Context, ask *fleet.Ask) *fleet.Reply {
	a := asked{ask, make(chan *fleet.Reply, 1), make(chan uint64, 1), &atomic.Bool{}}
	select {
	case e.asks <- a:
	default:
		return unknown(ask.ID, &BusyError{})
	}
	select {
	case r := <-a.answer:
		return r
	case <-ctx.Done():
	case <-e.ended:
	}
	a.left.Store(true) // first: the core looks at it after it has given the handle
	select {
	case h := <-a.handle:
		select {
		case e.gone <- h:
		case <-e.ended:
		}
	default:
	}
	return unknown(ask.ID, &PatienceError{ask.Kind, ask.ID})
}

// unknown is the word on what nothing is known of yet.
func unknown(id string, err fleet.Remedied) *fleet.Reply {
	return &fleet.Reply{ID: id, Word: "unknown", Why: err.Error(), Remedy: err.Remedy()}
}

// serve is the core's goroutine, with those of the disk and of checks.
func (e *Edge) serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for {
			select {
			case k := <-e.stores:
				e.stored <- e.disk.Write(*k) // there is one at a time: it has room
			case <-ctx.Done():
				return nil
			}
		}
	})
	group.Go(func() error {
		for {
			select {
			case f := <-e.checks:
				c := e.check(f.change, f.text, f.have)
				ev := node.Event{Kind: node.PolicyValidated, ChangeID: f.change, Reason: c.Why, Policy: c.Policy, WatchedRules: c.Watched, PurgeScopes: c.Scopes, Voters: c.Voters,
					ResidencyRulesUnknown: c.RulesUnknown}
				select {
				case e.checked <- ev:
				case <-ctx.Done():
					return nil
				}
			case <-ctx.Done():
				return nil
			}
		}
	})
	group.Go(func() error {
		defer close(e.ended)
		e.timer = time.NewTimer(time.Hour)
		defer e.timer.Stop()
		e.perform(ctx, e.first)
		for ctx.Err() == nil {
			e.step(ctx)
		}
		return nil
	})
	return group.Wait()
}

// step takes one thing in and performs what comes of it.
func (e *Edge) step(ctx context.Context) {
	messages, reports, asks, timer, stored, checked := e.messages, e.reports, e.asks, e.timer.C, e.stored, e.checked
	var orders chan fleet.Order
	var order fleet.Order
	if len(e.pending) > 0 {
		orders, order = e.orders, e.pending[0]
	}
	var checks chan toCheck
	var first toCheck
	if len(e.toCheck) > 0 {
		checks, first = e.checks, e.toCheck[0]
	}
	if len(e.pending) >= ordersMost {
		messages, reports, asks, timer, stored, checked = nil, nil, nil, nil, nil, nil
	}
	var ev node.Event
	select {
	case orders <- order:
		e.pending = e.pending[1:]
		return
	case checks <- first:
		e.toCheck = e.toCheck[1:]
		return
	case m := <-messages:
		ev = node.Event{Kind: node.MessageReceived, Message: m}
	case r := <-reports:
		ev = node.Event{Kind: node.ControllerReported, Report: r}
	case a := <-asks:
		if e.failed != nil || len(e.open) >= openMost {
			e.refuse(a)
			return
		}
		e.handle++
		e.open[e.handle] = a.answer
		a.handle <- e.handle
		if a.left.Load() {
			delete(e.open, e.handle)
			return
		}
		ev = node.Event{Kind: node.OperatorRequested, Ask: a.ask, Handle: e.handle}
	case h := <-e.gone:
		if e.open[h] == nil {
			return
		}
		delete(e.open, h)
		ev = node.Event{Kind: node.RequesterGone, Handle: h}
	case <-timer:
		if e.failed != nil {
			e.complain()
			return
		}
		ev = node.Event{Kind: node.TimerFired}
	case err := <-stored:
		if err != nil {
			e.fail(remedied(err))
			return
		}
		ev = node.Event{Kind: node.WritesPersisted}
	case ev = <-checked:
		if strings.HasPrefix(ev.ChangeID, inForce) && ev.Reason == "" {
			e.have.Policy = ev.Policy
		}
	case <-ctx.Done():
		return
	}
	if e.failed == nil {
		e.perform(ctx, e.core.Step(time.Since(e.started), ev))
	}
}

func (e *Edge) perform(ctx context.Context, effects []node.Effect) {
	for i := range effects {
		f := &effects[i]
		switch f.Kind {
		case node.Send:
			e.wire.Send(f.To, f.Address, f.Message)
		case node.Persist:
			e.stores <- f.Writes // agreement has one under way at a time: there is room
		case node.ValidatePolicy:
			have := e.have
			have.Decided = strings.HasPrefix(f.ChangeID, inForce)
			e.toCheck = append(e.toCheck, toCheck{f.ChangeID, f.PolicyText, have})
		case node.OrderController:
			e.order(f.Order)
		case node.Respond:
			if to := e.open[f.Handle]; to != nil {
				delete(e.open, f.Handle)
				to <- e.told(f.Reply)
			}
		case node.SetTimer:
			e.timer.Reset(f.Delay)
		case node.LogMessage:
			line := e.log.Info()
			if f.Loud {
				line = e.log.Log()
			}
			if f.Err != nil {
				line = line.Str("error", f.Err.Error()).Str("remedy", f.Err.Remedy())
			}
			line.Msg("fleet: " + f.LogText)
		}
	}
}

// order puts an order behind those that wait. A lease that nobody has looked at yet is
// replaced by the next: it is never longer by that, and none waits behind a thousand.
func (e *Edge) order(o fleet.Order) {
	if n := len(e.pending); n > 0 && o.Kind == fleet.Renewed && e.pending[n-1].Kind == fleet.Renewed {
		e.pending[n-1] = o
		return
	}
	switch o.Kind {
	case fleet.Open:
		e.have.Policy = o.Policy
	case fleet.Pictured:
		e.have.Bindings = o.Picture.Bindings
	}
	e.pending = append(e.pending, o)
}

// told is a reply for another goroutine: what of it the core goes on changing is copied.
func (e *Edge) told(r *fleet.Reply) *fleet.Reply {
	if r.Status == nil {
		return r
	}
	reply, status := *r, *r.Status
	status.Counts = maps.Clone(status.Counts)
	reply.Status = e.counts(&status)
	return &reply
}

// counts adds what the edge itself has counted.
func (e *Edge) counts(s *fleet.Status) *fleet.Status {
	if s.Counts == nil {
		s.Counts = map[string]int{}
	}
	for name, n := range e.wire.Counts() {
		if n > 0 {
			s.Counts["wire_"+name] += n
		}
	}
	if n := int(e.dropped.Load()); n > 0 {
		s.Counts["messages_dropped"] += n
	}
	return s
}

// fail ends this controller's part: what isn't on disk must not be told to anybody, so
// it votes, grants and serves no more until it is started again. It says so for good.
func (e *Edge) fail(err fleet.Remedied) {
	e.failed = err
	// a lease without an end wouldn't run out by itself
	e.order(fleet.Order{Kind: fleet.Renewed})
	e.order(fleet.Order{Kind: fleet.Shut, Change: "the disk"})
	for h, to := range e.open {
		delete(e.open, h)
		to <- e.standing("")
	}
	e.complain()
}

// complain says why nothing goes on, and again in a while.
func (e *Edge) complain() {
	e.log.Log().Str("error", e.failed.Error()).Str("remedy", e.failed.Remedy()).Msg("fleet: this controller serves nothing and votes no more")
	e.timer.Reset(complainMost)
}

// refuse answers an ask that isn't passed on.
func (e *Edge) refuse(a asked) {
	if e.failed != nil {
		a.answer <- e.standing(a.ask.ID)
		return
	}
	a.answer <- unknown(a.ask.ID, &BusyError{})
}

// standing is the word of a controller whose disk has failed. Others may know more of
// what was asked, so it is never that it won't be.
func (e *Edge) standing(id string) *fleet.Reply {
	r := unknown(id, e.failed)
	r.Status = e.counts(&fleet.Status{Name: e.name})
	return r
}

// remedied makes sure that an operator is told what to do.
func remedied(err error) fleet.Remedied {
	if r, ok := err.(fleet.Remedied); ok {
		return r
	}
	return &DiskError{err}
}

// DiskError is a write of the record that failed for a reason that the disk's own
// errors don't name.
type DiskError struct{ Err error }

func (e *DiskError) Error() string { return fmt.Sprintf("the record can't be written: %v", e.Err) }

// Remedy says what to do.
func (e *DiskError) Remedy() string {
	return "see to the disk of the fleet's directory (room, rights, its own log), then start this controller again"
}

// Unwrap gives the cause.
func (e *DiskError) Unwrap() error { return e.Err }

// BusyError is an ask that found too many others waiting.
type BusyError struct{}

func (e *BusyError) Error() string { return "too many asks wait at this controller" }

// Remedy says what to do.
func (e *BusyError) Remedy() string {
	return "ask again by the same id, here in a while or another controller now"
}

// PatienceError is an ask whose word didn't come while it was waited for.
type PatienceError struct{ Kind, ID string }

func (e *PatienceError) Error() string {
	return "the word on " + e.Kind + " " + e.ID + " hasn't come yet"
}

// Remedy says what to do.
func (e *PatienceError) Remedy() string {
	return "ask again by the same id, of any controller: what was decided meanwhile is told then"
}

// Errors is one of each, for the test and the docs that walk all of them.
func Errors() []fleet.Remedied {
	return []fleet.Remedied{&DiskError{fmt.Errorf("no space left on device")}, &BusyError{}, &PatienceError{"apply", "a1"},
		&ListenError{"peers", "10.0.0.1:7600", fmt.Errorf("address already in use")}}
}
