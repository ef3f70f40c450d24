package controller

import (
	"cmp"
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// FleetConfig is what a controller with peers starts with.
type FleetConfig struct {
	// ServingState is what may be decided now. The node's goroutine and the controller's share it.
	ServingState *fleet.ServingState
	// MaxHold is the longest that a query waits while this controller may not decide, before
	// it is deferred. 0: 2 s.
	MaxHold time.Duration
	// RetryAfter is the time to come back that the deferred are told, where one may be told and
	// within the longest that clients follow. 0: 1 s.
	RetryAfter time.Duration
	// IsConfined tells whether a query of a tenant, over a group of tables (-1: not
	// known), needs the lease of confined tenants. nil: none does.
	IsConfined func(tenant string, tables int64) bool
}

const (
	defaultMaxHold    = 2 * time.Second
	defaultRetryAfter = time.Second
	// writesIdlePollInterval is how often a fenced controller looks whether what was being
	// written is out.
	writesIdlePollInterval = time.Millisecond
)

// notPaused stands for no time in pausedSince and confinedPausedSince.
const notPaused time.Duration = -1

// servingLease is this controller's part in the fleet as far as its queries go: by which policy
// version they are decided, and what waits while they may not be. Without peers it is nil.
//
// Confined tenants (those under data residency rules) have a shorter lease of their own, so there
// are two states, one for all queries and one for theirs, each with these transitions:
//
//	serving -> paused   a Shut order fences the version, or the lease ends
//	paused  -> serving  an Open order brings a version, or the lease is renewed; both must hold
//
// All fields are the controller goroutine's but Word.
type servingLease struct {
	*Controller
	FleetConfig

	// The parts that act on the fleet's orders.
	invalidator invalidator // nil: nothing is retained of tenants
	residency   *residencyState
	fleetView   *fleet.View // the latest; never nil

	// The version and the lease.
	policyVersion       uint64            // last opened, 0: none
	fencingChange       string            // the change that it is fenced for, until that is reported; "": none
	pausedSince         time.Duration     // nothing may be decided; or notPaused
	confinedPausedSince time.Duration     // nothing of confined tenants may be decided; or notPaused
	leaseTimer          *timerqueue.Timer // the end of the lease

	// What waits while paused.
	heldQueries     []*pendingAdmission // in the order in which they came; some may be answered
	heldCount       int                 // of heldQueries that are still to be answered
	heldFieldBytes  int                 // of the fields of the calls in heldQueries
	blockedAttempts []*attempt          // whose engine was chosen, in the order of the choice
	holdTimer       *timerqueue.Timer   // what waits for too long is deferred then

	// Reports to the fleet.
	unsentReports        []fleet.Report // there was no room; at the most as many as orders are under way
	reportRetryScheduled bool
	reportedSites        []string // last reported

	// Counts since the start.
	heldTotal      int
	deferredHeld   int
	rejectedWrites int
	policySwitches int
	longestHold    time.Duration
}

func newServingLease(c *Controller, f *FleetConfig) *servingLease {
	l := &servingLease{
		Controller:          c,
		FleetConfig:         *f,
		fleetView:           &fleet.View{},
		pausedSince:         notPaused,
		confinedPausedSince: notPaused,
	}
	l.MaxHold = cmp.Or(l.MaxHold, defaultMaxHold)
	l.RetryAfter = cmp.Or(l.RetryAfter, defaultRetryAfter)
	l.residency = newResidencyState(l)
	l.updateServing()
	l.reportSitesPeriodically()
	return l
}

// servingVersion is the version to decide by, 0 if nothing may be decided.
func (l *servingLease) servingVersion(confined bool) uint64 {
	return l.ServingState.ServingVersion(l.now, confined)
}

// handleFleetOrder does what the fleet orders. Orders come in the order of the log.
func (l *servingLease) handleFleetOrder(o *fleet.Order) {
	switch o.Kind {
	case fleet.FencePolicy:
		l.ServingState.SetVersion(0)
		l.fencingChange = o.ChangeID
		l.updateServing()
		l.reportFencedOnceIdle()
	case fleet.ActivatePolicy:
		l.openPolicy(o)
	case fleet.LeaseRenewed:
		l.ServingState.SetLease(o.LeaseEnd, o.ConfinedLeaseEnd)
		l.scheduleLeaseCheck()
		l.updateServing()
	case fleet.InvalidateData:
		l.orderInvalidation(o)
	case fleet.ViewChanged:
		if l.paging != nil && l.fleetView.Index == 0 { // the first of this run
			l.paging.core.ReconcileLogIndex(o.View.Index)
		}
		l.fleetView = o.View
		l.residency.viewChanged(o.View)
	case fleet.RequestAnswered:
		// both, whatever the first says: a client may ask for any id, a binding's too
		l.residency.fleetAnswered(o.ID, o.Response)
		if l.invalidator != nil {
			l.invalidator.fleetAnswered(o.ID, o.Response)
		}
	}
}

func (l *servingLease) orderInvalidation(o *fleet.Order) {
	if l.invalidator != nil {
		l.invalidator.invalidate(o.ID, o.Scope, o.Index)
		return
	}
	l.report(fleet.Report{Kind: fleet.DataTombstoned, ID: o.ID})
	l.report(fleet.Report{Kind: fleet.DataErased, ID: o.ID})
}

// reportFencedOnceIdle reports that the old version is fenced once nothing is being written.
// What is written later, though it was decided before, asks Word first and is rejected.
func (l *servingLease) reportFencedOnceIdle() {
	switch {
	case l.fencingChange == "":
	case !l.ServingState.WritesFinished():
		l.runAfter(writesIdlePollInterval, l.reportFencedOnceIdle)
	default:
		l.report(fleet.Report{Kind: fleet.PolicyFenced, ChangeID: l.fencingChange})
		l.fencingChange = ""
	}
}

// scheduleLeaseCheck updates the serving state when the lease ends, if nothing else has by then.
func (l *servingLease) scheduleLeaseCheck() {
	l.timers.Cancel(l.leaseTimer)
	l.leaseTimer = nil
	until, untilConfined := l.ServingState.LeaseEnds()
	if untilConfined > l.now {
		until = min(until, untilConfined)
	}
	if until > l.now && until < fleet.Forever {
		l.leaseTimer = l.timers.Add(until, func() {
			l.updateServing()
			l.scheduleLeaseCheck()
		})
	}
}

// servingChange is what became of a serving state: see servingLease.
type servingChange int

const (
	servingUnchanged servingChange = iota
	servingPaused
	servingResumed
)

// updateServing notes whether anything may be decided now, and holds or releases what there is
// accordingly. It runs before every event, since a lease ends without one.
func (l *servingLease) updateServing() {
	all := l.noteServing(&l.pausedSince, l.servingVersion(false) != 0)
	if all == servingPaused {
		l.scheduler.SetPaused(l.now, true)
	}
	confined := l.noteServing(&l.confinedPausedSince, l.servingVersion(true) != 0)
	if all != servingUnchanged || confined != servingUnchanged {
		l.scheduleHoldExpiry()
	}
	if all == servingResumed || confined == servingResumed {
		l.releaseHeld()
	}
}

func (l *servingLease) noteServing(pausedSince *time.Duration, serving bool) servingChange {
	switch {
	case !serving && *pausedSince == notPaused:
		*pausedSince = l.now
		return servingPaused
	case serving && *pausedSince != notPaused:
		*pausedSince = notPaused
		return servingResumed
	}
	return servingUnchanged
}

// paused reports whether nothing may be decided, of any tenant.
func (l *servingLease) paused() bool { return l.pausedSince != notPaused }

// acceptsQueries reports whether clients may expect answers here, as health checks are told. A
// change of policy lasts a moment and is no reason to go elsewhere; a lost lease is.
func (l *servingLease) acceptsQueries() bool {
	until, _ := l.ServingState.LeaseEnds()
	return !l.paused() || l.policyVersion != 0 && l.now < until && l.now-l.pausedSince < l.MaxHold
}

func (l *servingLease) countersText() string {
	return fmt.Sprintf("; fleet version %d switches %d, held %d in all %d longest s %.3f"+
		" deferred for want of a lease %d, writes refused %d",
		l.servingVersion(false), l.policySwitches, l.heldCount, l.heldTotal, l.longestHold.Seconds(),
		l.deferredHeld, l.rejectedWrites) + l.residency.countersText()
}
