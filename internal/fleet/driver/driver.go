// Package driver performs the effects that a controller's fleet node requests, and passes the
// results back to the node as events. It does all I/O (the store, the connections to peers and
// operators, the clock) and makes no decisions.
//
// The core (package node), the store and the policy checks have one goroutine each; the
// connections of peers and operators have theirs in package transport. The queues between the
// goroutines are bounded:
//
//   - messages from peers: a full queue drops the message and counts it; the sender retries
//   - writes: consensus has one write in progress at a time, so the queue of length one is never full
//   - policy checks: a controller that was down gets the committed changes all at once; checks
//     that exceed the queue wait at the core, at most one for each change since the last snapshot
//   - reports of the controller: the controller fills the queue and never blocks on it
//   - orders for the controller: consecutive lease renewals that wait are merged into the last one;
//     at maxPendingOrders the core receives only abandoned requests until there is room, so that
//     its leases expire meanwhile, which is safe
//   - requests of operators: beyond the limit the response says that the outcome is unknown
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
	maxQueuedMessages  = 4096 // messages from peers for the core
	maxPendingOrders   = 256  // orders for the controller; a full queue blocks most events
	maxQueuedReports   = 256  // reports of the controller for the core
	maxQueuedRequests  = 64   // requests of operators for the core
	maxOpenRequests    = 1024 // requests of operators that wait for their response
	maxQueuedChecks    = 4    // policy texts to check
	failureLogInterval = time.Minute

	// committedKeyPrefix begins the validation key of the committed policy. Package node has the same.
	committedKeyPrefix = "in force "
)

// stateMachine is the part of node.Core that Driver uses.
type stateMachine interface {
	Step(now time.Duration, ev node.Event) []node.Effect
}

// persister stores the state that must survive a restart. Write returns once the state is synced to
// disk; after an error nothing more is written.
type persister interface {
	Write(consensus.PersistentState) error
}

// peerSender sends messages to peers, and returns the counters of the connections.
type peerSender interface {
	Send(to, address string, m *node.Message)
	Counts() map[string]int
}

// PolicyContext is the fleet state that a policy text is checked against, beside the configuration.
type PolicyContext struct {
	Policy    any // the latest policy known to be in force; nil: that of the configuration
	Bindings  []fleet.Binding
	Committed bool // the text is the policy in force, which can't be withdrawn any more
}

// policyCheck is a policy text to check.
type policyCheck struct {
	validationKey string
	text          []byte
	context       PolicyContext
}

// PolicyVerdict is the result of checking a policy text.
type PolicyVerdict struct {
	Reason       string // why this controller can't serve by the policy; "": it can
	Policy       any
	WatchedRules []fleet.EmergencyRule
	// ResidencyRulesUnknown: the policy leaves the residency rules to the configurations of the
	// controllers, which this process doesn't know.
	ResidencyRulesUnknown bool
	PurgeScopes           []fleet.Scope
	Voters                []string
}

// Driver connects one controller's fleet node to the store, the peers, the operators and the clock.
type Driver struct {
	core           stateMachine
	initialEffects []node.Effect // requested by the core when it was created
	store          persister
	peers          peerSender
	checkPolicy    func(validationKey string, text []byte, context PolicyContext) PolicyVerdict
	log            zerolog.Logger
	started        time.Time // origin of the core's time
	name           string    // of this controller

	// Queues to and from the core's goroutine. The package comment says what happens when a queue
	// is full.
	messages  chan *node.Message
	reports   chan fleet.Report
	orders    chan fleet.Order
	requests  chan pendingRequest
	abandoned chan uint64 // handles of requests whose callers have given up
	writes    chan *consensus.PersistentState
	written   chan error
	checks    chan policyCheck
	checked   chan node.Event

	closeAll        func() error  // closes the listeners and the store
	reloadKeys      func() error  // rereads the key file
	droppedMessages atomic.Int64  // messages from peers that found the queue full
	coreEnded       chan struct{} // closed once the core's goroutine has ended

	// Owned by the core's goroutine.
	pendingOrders []fleet.Order
	// pendingChecks are the checks that don't fit into the queue. A start replays many changes at
	// once; if the core blocked until the queue had room, it would deadlock with checkLoop, which
	// waits for the core to receive a result. There is at most one for each change since the
	// last snapshot.
	pendingChecks []policyCheck
	policyContext PolicyContext
	openRequests  map[uint64]chan *fleet.Response // by handle
	lastHandle    uint64
	timer         *time.Timer
	storeFailure  fleet.ErrorWithRemedy // not nil: the store failed, and this controller no longer participates
}

// pendingRequest is an operator's request that waits for its response.
type pendingRequest struct {
	operatorRequest *fleet.Request
	response        chan *fleet.Response
	handle          chan uint64
	abandoned       *atomic.Bool // the caller has given up
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
		requests:       make(chan pendingRequest, maxQueuedRequests),
		abandoned:      make(chan uint64, maxQueuedRequests),
		writes:         make(chan *consensus.PersistentState, 1),
		written:        make(chan error, 1),
		checks:         make(chan policyCheck, maxQueuedChecks),
		checked:        make(chan node.Event),
		openRequests:   map[uint64]chan *fleet.Response{},
		coreEnded:      make(chan struct{}),
	}
}

// Orders returns the channel of orders for the controller, in the sequence in which the fleet node
// issued them.
func (d *Driver) Orders() <-chan fleet.Order { return d.orders }

// Reports returns the channel to which the controller sends its reports.
func (d *Driver) Reports() chan<- fleet.Report { return d.reports }

// receiveMessage queues a message from a peer for the core, or drops it if the queue is full.
func (d *Driver) receiveMessage(m *node.Message) {
	select {
	case d.messages <- m:
	default:
		d.droppedMessages.Add(1)
	}
}

// Request passes an operator's request to the core and waits for the response. If ctx or the core's
// goroutine ends first, or too many requests wait, the outcome in the response is "unknown".
func (d *Driver) Request(ctx context.Context, request *fleet.Request) *fleet.Response {
	r := pendingRequest{request, make(chan *fleet.Response, 1), make(chan uint64, 1), &atomic.Bool{}}
	select {
	case d.requests <- r:
	default:
		return unknownOutcome(request.ID, &BusyError{})
	}
	select {
	case response := <-r.response:
		return response
	case <-ctx.Done():
	case <-d.coreEnded:
	}
	r.abandoned.Store(true) // before reading the handle: the core reads r.abandoned after it sends the handle
	select {
	case handle := <-r.handle:
		select {
		case d.abandoned <- handle:
		case <-d.coreEnded:
		}
	default:
	}
	return unknownOutcome(request.ID, &RequestTimeoutError{request.Kind, request.ID})
}

// unknownOutcome returns the response to a request whose outcome isn't known yet.
func unknownOutcome(requestID string, err fleet.ErrorWithRemedy) *fleet.Response {
	return &fleet.Response{ID: requestID, Outcome: "unknown", Reason: err.Error(), Remedy: err.Remedy()}
}

// run runs the goroutines of the core, the store and the policy checks until ctx ends.
func (d *Driver) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.writeLoop(ctx) })
	group.Go(func() error { return d.checkLoop(ctx) })
	group.Go(func() error { return d.coreLoop(ctx) })
	return group.Wait()
}

// writeLoop writes persistent state to the store.
func (d *Driver) writeLoop(ctx context.Context) error {
	for {
		select {
		case state := <-d.writes:
			d.written <- d.store.Write(*state) // doesn't block: one write is in progress at a time
		case <-ctx.Done():
			return nil
		}
	}
}

// checkLoop checks policy texts and passes the results to the core.
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

// validate checks a policy text and returns the event with the result.
func (d *Driver) validate(check policyCheck) node.Event {
	verdict := d.checkPolicy(check.validationKey, check.text, check.context)
	return node.Event{
		Kind:                  node.PolicyValidated,
		ValidationKey:         check.validationKey,
		Reason:                verdict.Reason,
		Policy:                verdict.Policy,
		EmergencyRules:        verdict.WatchedRules,
		PurgeScopes:           verdict.PurgeScopes,
		Voters:                verdict.Voters,
		ResidencyRulesUnknown: verdict.ResidencyRulesUnknown,
	}
}

// coreLoop feeds events to the core and performs the effects. Only its goroutine calls the core and
// accesses the fields that the core's goroutine owns.
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

// nextEvent waits until it can send a pending order or check, or receives an input. isForCore reports
// whether event is to be passed to the core. While maxPendingOrders orders or more wait for the
// controller, nextEvent receives only from d.abandoned. If the committed policy passes its check,
// nextEvent also stores the policy in policyContext, for later checks.
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
		if strings.HasPrefix(event.ValidationKey, committedKeyPrefix) && event.Reason == "" {
			d.policyContext.Policy = event.Policy
		}
		return event, true
	case <-ctx.Done():
		return node.Event{}, false
	}
}

// openRequest returns the event that passes an operator's request to the core, unless the store has
// failed, too many requests are open, or the caller has given up.
func (d *Driver) openRequest(r pendingRequest) (node.Event, bool) {
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
	return node.Event{Kind: node.OperatorRequested, Request: r.operatorRequest, Handle: d.lastHandle}, true
}

// closeRequest removes a request whose caller has given up, and returns the event that tells the core.
func (d *Driver) closeRequest(handle uint64) (node.Event, bool) {
	if d.openRequests[handle] == nil {
		return node.Event{}, false
	}
	delete(d.openRequests, handle)
	return node.Event{Kind: node.RequesterGone, Handle: handle}, true
}

// timerFired returns the timer event for the core, or logs the failure again if the store has failed.
func (d *Driver) timerFired() (node.Event, bool) {
	if d.storeFailure != nil {
		d.logFailure()
		return node.Event{}, false
	}
	return node.Event{Kind: node.TimerFired}, true
}

// writeEnded returns the event of a completed write, or handles the failure of the store.
func (d *Driver) writeEnded(err error) (node.Event, bool) {
	if err != nil {
		d.stopParticipating(withRemedy(err))
		return node.Event{}, false
	}
	return node.Event{Kind: node.WritesPersisted}, true
}

// perform carries out the effects that the core requested.
func (d *Driver) perform(ctx context.Context, effects []node.Effect) {
	for i := range effects {
		effect := &effects[i]
		switch effect.Kind {
		case node.Send:
			d.peers.Send(effect.To, effect.Address, effect.Message)
		case node.Persist:
			d.writes <- effect.Writes // doesn't block: consensus has one write in progress at a time
		case node.ValidatePolicy:
			policyContext := d.policyContext
			policyContext.Committed = strings.HasPrefix(effect.ValidationKey, committedKeyPrefix)
			d.pendingChecks = append(d.pendingChecks,
				policyCheck{effect.ValidationKey, effect.PolicyText, policyContext})
		case node.OrderController:
			d.queueOrder(effect.Order)
		case node.Respond:
			if response := d.openRequests[effect.Handle]; response != nil {
				delete(d.openRequests, effect.Handle)
				response <- d.copyForCaller(effect.Response)
			}
		case node.SetTimer:
			d.timer.Reset(effect.Delay)
		case node.LogMessage:
			event := d.log.Info()
			if effect.LogAlways {
				event = d.log.Log()
			}
			if effect.Err != nil {
				event = event.Str("error", effect.Err.Error()).Str("remedy", effect.Err.Remedy())
			}
			event.Msg("fleet: " + effect.LogText)
		}
	}
}

// queueOrder appends an order to the pending orders. If the last pending order and the new one both
// renew the lease, the new one replaces the last, so that a slow controller doesn't accumulate
// renewals. Merging renewals never lengthens a lease. queueOrder also stores the policy of
// ActivatePolicy and the bindings of ViewChanged in policyContext, for later policy checks.
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

// copyForCaller copies the parts of a response that the core may still modify, so that the caller's
// goroutine can read the response. It adds the counters of the driver and its connections to a status.
func (d *Driver) copyForCaller(r *fleet.Response) *fleet.Response {
	if r.Status == nil {
		return r
	}
	copied, status := *r, *r.Status
	status.Counts = maps.Clone(status.Counts)
	copied.Status = d.addCounters(&status)
	return &copied
}

// addCounters adds the counters of the driver and its connections to s.
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

// stopParticipating takes this controller out of the fleet after a failed write. State that isn't on
// disk must not be sent to peers, so the controller neither votes, grants leases nor serves until it
// is restarted. The failure is logged again every failureLogInterval.
func (d *Driver) stopParticipating(err fleet.ErrorWithRemedy) {
	d.storeFailure = err
	// revoke the lease: a lease without an end would never expire
	d.queueOrder(fleet.Order{Kind: fleet.LeaseRenewed})
	// fence the policy: no change has the ID "the disk", which only names the cause
	d.queueOrder(fleet.Order{Kind: fleet.FencePolicy, ChangeID: "the disk"})
	for handle, response := range d.openRequests {
		delete(d.openRequests, handle)
		response <- d.failedOutcome("")
	}
	d.logFailure()
}

// logFailure logs the store's failure and sets the timer to log it again.
func (d *Driver) logFailure() {
	d.log.Log().Str("error", d.storeFailure.Error()).Str("remedy", d.storeFailure.Remedy()).
		Msg("fleet: the store failed; this controller no longer serves or votes")
	d.timer.Reset(failureLogInterval)
}

// rejectRequest responds to a request that isn't passed to the core.
func (d *Driver) rejectRequest(r pendingRequest) {
	if d.storeFailure != nil {
		r.response <- d.failedOutcome(r.operatorRequest.ID)
		return
	}
	r.response <- unknownOutcome(r.operatorRequest.ID, &BusyError{})
}

// failedOutcome returns the response of a controller whose store has failed. The outcome is
// "unknown", never a refusal, because other controllers may know that the request took effect.
func (d *Driver) failedOutcome(requestID string) *fleet.Response {
	response := unknownOutcome(requestID, d.storeFailure)
	response.Status = d.addCounters(&fleet.Status{Name: d.name})
	return response
}

// withRemedy returns err itself if it has a remedy, and else wraps it in a WriteError.
func withRemedy(err error) fleet.ErrorWithRemedy {
	if r, ok := err.(fleet.ErrorWithRemedy); ok {
		return r
	}
	return &WriteError{err}
}
