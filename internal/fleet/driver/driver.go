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
	maxQueuedMessages  = 4096 // of peers that wait for the core
	maxPendingOrders   = 256  // that wait for the reducer before the core takes nothing in
	maxQueuedReports   = 256  // of the reducer that wait for the core
	maxQueuedRequests  = 64   // that wait for the core
	maxOpenRequests    = 1024 // asks that wait for their answer
	maxQueuedChecks    = 4    // policies that wait to be checked
	failureLogInterval = time.Minute

	committedPolicyPrefix = "in force " // begins the name under which node has the policy in force checked
)

// stateMachine is package node's Core, as far as it is used here.
type stateMachine interface {
	Step(now time.Duration, ev node.Event) []node.Effect
}

// persister keeps what must survive a restart. Write returns once it is synced; after an error
// nothing more is written.
type persister interface {
	Write(consensus.PersistentState) error
}

// peerSender sends messages to peers.
type peerSender interface {
	Send(to, address string, m *node.Message)
	Counts() map[string]int
}

// PolicyContext is what a policy's text is checked against, beside the set-up.
type PolicyContext struct {
	Policy    any // in force, as far as is known here; nil: the set-up's own
	Bindings  []fleet.Binding
	Committed bool // the text is that of the policy in force: it can't be withdrawn any more
}

// policyCheck is a policy's text to be checked.
type policyCheck struct {
	changeID string
	text     []byte
	context  PolicyContext
}

// PolicyVerdict is what the check of a policy's text came to.
type PolicyVerdict struct {
	Reason       string // it can't be taken here
	Policy       any
	WatchedRules []fleet.EmergencyRule
	// RulesUnknown: it leaves the placement rules to the controllers' own set-ups, which
	// this process doesn't know.
	ResidencyRulesUnknown bool
	PurgeScopes           []fleet.Scope
	Voters                []string
}

// Driver runs one controller's part in the fleet.
type Driver struct {
	core           stateMachine
	initialEffects []node.Effect // what the core asked for when it was made
	store          persister
	peers          peerSender
	checkPolicy    func(change string, text []byte, context PolicyContext) PolicyVerdict
	log            zerolog.Logger
	started        time.Time // what the core's times count from
	name           string    // this controller's

	// Into the core's goroutine, and out of it. What happens when one is full stands in the
	// package's comment.
	messages  chan *node.Message
	reports   chan fleet.Report
	orders    chan fleet.Order
	requests  chan request
	abandoned chan uint64 // handles of requests whose callers have given up
	writes    chan *consensus.PersistentState
	written   chan error
	checks    chan policyCheck
	checked   chan node.Event

	closeAll        func() error  // the listeners and the store
	reloadKeys      func() error  // reads the key file again
	droppedMessages atomic.Int64  // of peers: the queue was full
	coreEnded       chan struct{} // closed once the core's goroutine has ended

	// Owned by the core's goroutine.
	pendingOrders []fleet.Order
	// pendingChecks are the checks that the queue has no room for: a start replays one change
	// after another, and a core that waited for room would wait for itself. They are no more
	// than the changes since the last snapshot.
	pendingChecks []policyCheck
	policyContext PolicyContext
	openRequests  map[uint64]chan *fleet.Response // by handle
	lastHandle    uint64
	timer         *time.Timer
	storeFailure  fleet.ErrorWithRemedy // not nil: the store failed, and nothing is taken part in any more
}

// request is an operator's request that waits for its response.
type request struct {
	ask       *fleet.Request
	response  chan *fleet.Response
	handle    chan uint64
	abandoned *atomic.Bool // its caller has given up
}

func newDriver(core stateMachine, initialEffects []node.Effect, o *Options) *Driver {
	return &Driver{
		core:           core,
		initialEffects: initialEffects,
		checkPolicy:    o.CheckPolicy,
		log:            o.Log,
		started:        o.StartTime,
		name:           o.Node.Self.Name,
		messages:       make(chan *node.Message, maxQueuedMessages),
		reports:        make(chan fleet.Report, maxQueuedReports),
		orders:         make(chan fleet.Order),
		requests:       make(chan request, maxQueuedRequests),
		abandoned:      make(chan uint64, maxQueuedRequests),
		writes:         make(chan *consensus.PersistentState, 1),
		written:        make(chan error, 1),
		checks:         make(chan policyCheck, maxQueuedChecks),
		checked:        make(chan node.Event),
		openRequests:   map[uint64]chan *fleet.Response{},
		coreEnded:      make(chan struct{}),
	}
}

// Orders are for the controller, in the order in which they were given.
func (d *Driver) Orders() <-chan fleet.Order { return d.orders }

// Reports take what the controller reports.
func (d *Driver) Reports() chan<- fleet.Report { return d.reports }

// receiveMessage queues a peer's message, or drops it.
func (d *Driver) receiveMessage(m *node.Message) {
	select {
	case d.messages <- m:
	default:
		d.droppedMessages.Add(1)
	}
}

// Request has the fleet do what is asked, and waits for the outcome. If ctx ends first, or
// too many wait, the outcome is that it isn't known yet.
func (d *Driver) Request(ctx context.Context, ask *fleet.Request) *fleet.Response {
	a := request{ask, make(chan *fleet.Response, 1), make(chan uint64, 1), &atomic.Bool{}}
	select {
	case d.requests <- a:
	default:
		return unknownOutcome(ask.ID, &BusyError{})
	}
	select {
	case r := <-a.response:
		return r
	case <-ctx.Done():
	case <-d.coreEnded:
	}
	a.abandoned.Store(true) // first: the core looks at it after it has given the handle
	select {
	case h := <-a.handle:
		select {
		case d.abandoned <- h:
		case <-d.coreEnded:
		}
	default:
	}
	return unknownOutcome(ask.ID, &RequestTimeoutError{ask.Kind, ask.ID})
}

// unknownOutcome is the response to a request whose outcome isn't known yet.
func unknownOutcome(id string, err fleet.ErrorWithRemedy) *fleet.Response {
	return &fleet.Response{ID: id, Outcome: "unknown", Reason: err.Error(), Remedy: err.Remedy()}
}

// run starts the goroutines of the core, the store and the policy checks, and waits for them.
func (d *Driver) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.writeLoop(ctx) })
	group.Go(func() error { return d.checkLoop(ctx) })
	group.Go(func() error { return d.coreLoop(ctx) })
	return group.Wait()
}

// writeLoop is the store's goroutine.
func (d *Driver) writeLoop(ctx context.Context) error {
	for {
		select {
		case k := <-d.writes:
			d.written <- d.store.Write(*k) // one write is under way at a time: there is room
		case <-ctx.Done():
			return nil
		}
	}
}

// checkLoop is the goroutine of policy checks.
func (d *Driver) checkLoop(ctx context.Context) error {
	for {
		select {
		case check := <-d.checks:
			select {
			case d.checked <- d.validate(check):
			case <-ctx.Done():
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// validate checks a policy's text and gives the event that tells the core.
func (d *Driver) validate(check policyCheck) node.Event {
	verdict := d.checkPolicy(check.changeID, check.text, check.context)
	return node.Event{
		Kind:                  node.PolicyValidated,
		ChangeID:              check.changeID,
		Reason:                verdict.Reason,
		Policy:                verdict.Policy,
		EmergencyRules:        verdict.WatchedRules,
		PurgeScopes:           verdict.PurgeScopes,
		Voters:                verdict.Voters,
		ResidencyRulesUnknown: verdict.ResidencyRulesUnknown,
	}
}

// coreLoop is the core's goroutine: it alone calls the core and uses the fields that are
// listed as its own.
func (d *Driver) coreLoop(ctx context.Context) error {
	defer close(d.coreEnded)
	d.timer = time.NewTimer(time.Hour)
	defer d.timer.Stop()
	d.perform(ctx, d.initialEffects)
	for ctx.Err() == nil {
		event, isForCore := d.nextEvent(ctx)
		if isForCore && d.storeFailure == nil {
			d.perform(ctx, d.core.Step(time.Since(d.started), event))
		}
	}
	return nil
}

// nextEvent waits for one thing: room for an order or a check that waits, or something
// that has come. It reports whether that is an event for the core. While too many orders
// wait for the controller nothing is taken in.
func (d *Driver) nextEvent(ctx context.Context) (event node.Event, isForCore bool) {
	messages, reports, requests := d.messages, d.reports, d.requests
	timer, written, checked := d.timer.C, d.written, d.checked
	if len(d.pendingOrders) >= maxPendingOrders {
		messages, reports, requests = nil, nil, nil
		timer, written, checked = nil, nil, nil
	}
	var orders chan fleet.Order
	var order fleet.Order
	if len(d.pendingOrders) > 0 {
		orders, order = d.orders, d.pendingOrders[0]
	}
	var checks chan policyCheck
	var check policyCheck
	if len(d.pendingChecks) > 0 {
		checks, check = d.checks, d.pendingChecks[0]
	}
	select {
	case orders <- order:
		d.pendingOrders = d.pendingOrders[1:]
		return node.Event{}, false
	case checks <- check:
		d.pendingChecks = d.pendingChecks[1:]
		return node.Event{}, false
	case m := <-messages:
		return node.Event{Kind: node.MessageReceived, Message: m}, true
	case r := <-reports:
		return node.Event{Kind: node.ControllerReported, Report: r}, true
	case r := <-requests:
		return d.openRequest(r)
	case handle := <-d.abandoned:
		return d.closeRequest(handle)
	case <-timer:
		return d.timerFired()
	case err := <-written:
		return d.writeEnded(err)
	case event = <-checked:
		if strings.HasPrefix(event.ChangeID, committedPolicyPrefix) && event.Reason == "" {
			d.policyContext.Policy = event.Policy
		}
		return event, true
	case <-ctx.Done():
		return node.Event{}, false
	}
}

// openRequest passes an operator's request on to the core, unless too many are open or its
// caller has given up meanwhile.
func (d *Driver) openRequest(r request) (node.Event, bool) {
	if d.storeFailure != nil || len(d.openRequests) >= maxOpenRequests {
		d.rejectRequest(r)
		return node.Event{}, false
	}
	d.lastHandle++
	d.openRequests[d.lastHandle] = r.response
	r.handle <- d.lastHandle
	if r.abandoned.Load() {
		delete(d.openRequests, d.lastHandle)
		return node.Event{}, false
	}
	return node.Event{Kind: node.OperatorRequested, Request: r.ask, Handle: d.lastHandle}, true
}

// closeRequest forgets a request whose caller has given up.
func (d *Driver) closeRequest(handle uint64) (node.Event, bool) {
	if d.openRequests[handle] == nil {
		return node.Event{}, false
	}
	delete(d.openRequests, handle)
	return node.Event{Kind: node.RequesterGone, Handle: handle}, true
}

func (d *Driver) timerFired() (node.Event, bool) {
	if d.storeFailure != nil {
		d.logFailure()
		return node.Event{}, false
	}
	return node.Event{Kind: node.TimerFired}, true
}

func (d *Driver) writeEnded(err error) (node.Event, bool) {
	if err != nil {
		d.stopParticipating(withRemedy(err))
		return node.Event{}, false
	}
	return node.Event{Kind: node.WritesPersisted}, true
}

func (d *Driver) perform(ctx context.Context, effects []node.Effect) {
	for i := range effects {
		f := &effects[i]
		switch f.Kind {
		case node.Send:
			d.peers.Send(f.To, f.Address, f.Message)
		case node.Persist:
			d.writes <- f.Writes // agreement has one under way at a time: there is room
		case node.ValidatePolicy:
			have := d.policyContext
			have.Committed = strings.HasPrefix(f.ChangeID, committedPolicyPrefix)
			d.pendingChecks = append(d.pendingChecks, policyCheck{f.ChangeID, f.PolicyText, have})
		case node.OrderController:
			d.queueOrder(f.Order)
		case node.Respond:
			if to := d.openRequests[f.Handle]; to != nil {
				delete(d.openRequests, f.Handle)
				to <- d.copyForCaller(f.Response)
			}
		case node.SetTimer:
			d.timer.Reset(f.Delay)
		case node.LogMessage:
			line := d.log.Info()
			if f.LogAlways {
				line = d.log.Log()
			}
			if f.Err != nil {
				line = line.Str("error", f.Err.Error()).Str("remedy", f.Err.Remedy())
			}
			line.Msg("fleet: " + f.LogText)
		}
	}
}

// queueOrder puts an order behind those that wait. A lease that nobody has looked at yet is
// replaced by the next: it is never longer by that, and none waits behind a thousand.
func (d *Driver) queueOrder(o fleet.Order) {
	n := len(d.pendingOrders)
	lastIsLease := n > 0 && d.pendingOrders[n-1].Kind == fleet.LeaseRenewed
	if lastIsLease && o.Kind == fleet.LeaseRenewed {
		d.pendingOrders[n-1] = o
		return
	}
	switch o.Kind {
	case fleet.ActivatePolicy:
		d.policyContext.Policy = o.Policy
	case fleet.ViewChanged:
		d.policyContext.Bindings = o.View.Bindings
	}
	d.pendingOrders = append(d.pendingOrders, o)
}

// copyForCaller copies of a response what the core goes on changing, for another goroutine.
func (d *Driver) copyForCaller(r *fleet.Response) *fleet.Response {
	if r.Status == nil {
		return r
	}
	reply, status := *r, *r.Status
	status.Counts = maps.Clone(status.Counts)
	reply.Status = d.addCounters(&status)
	return &reply
}

// addCounters adds what the driver itself has counted.
func (d *Driver) addCounters(s *fleet.Status) *fleet.Status {
	if s.Counts == nil {
		s.Counts = map[string]int{}
	}
	for name, n := range d.peers.Counts() {
		if n > 0 {
			s.Counts["wire_"+name] += n
		}
	}
	if n := int(d.droppedMessages.Load()); n > 0 {
		s.Counts["messages_dropped"] += n
	}
	return s
}

// stopParticipating ends this controller's part: what isn't on disk must not be told to anybody, so
// it votes, grants and serves no more until it is started again. It says so for good.
func (d *Driver) stopParticipating(err fleet.ErrorWithRemedy) {
	d.storeFailure = err
	// a lease without an end wouldn't run out by itself
	d.queueOrder(fleet.Order{Kind: fleet.LeaseRenewed})
	d.queueOrder(fleet.Order{Kind: fleet.FencePolicy, ChangeID: "the disk"})
	for h, to := range d.openRequests {
		delete(d.openRequests, h)
		to <- d.failedOutcome("")
	}
	d.logFailure()
}

// logFailure logs why nothing goes on, and again in a while.
func (d *Driver) logFailure() {
	d.log.Log().Str("error", d.storeFailure.Error()).Str("remedy", d.storeFailure.Remedy()).
		Msg("fleet: this controller serves nothing and votes no more")
	d.timer.Reset(failureLogInterval)
}

// rejectRequest answers a request that isn't passed on.
func (d *Driver) rejectRequest(a request) {
	if d.storeFailure != nil {
		a.response <- d.failedOutcome(a.ask.ID)
		return
	}
	a.response <- unknownOutcome(a.ask.ID, &BusyError{})
}

// failedOutcome is the response of a controller whose disk has failed. Others may know more of
// what was asked, so it is never that it won't be.
func (d *Driver) failedOutcome(id string) *fleet.Response {
	r := unknownOutcome(id, d.storeFailure)
	r.Status = d.addCounters(&fleet.Status{Name: d.name})
	return r
}

// withRemedy makes sure that an operator is told what to do.
func withRemedy(err error) fleet.ErrorWithRemedy {
	if r, ok := err.(fleet.ErrorWithRemedy); ok {
		return r
	}
	return &WriteError{err}
}
