package controller

import (
	"cmp"
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// FleetConfig is the initial configuration of a controller with peers.
type FleetConfig struct {
	// ServingState holds the policy version and the lease by which queries are decided. The node's
	// goroutine and the controller's share it.
	ServingState *fleet.ServingState
	// MaxHold is the longest time for which a query is held while this controller is paused; the
	// query is deferred then. 0 means 2 s.
	MaxHold time.Duration
	// RetryAfter is the retry delay of deferred queries, if clients may be told one. The longest
	// delay that clients follow limits it. 0 means 1 s.
	RetryAfter time.Duration
	// IsConfined reports whether a query of a tenant over a table group, -1 if the group is unknown,
	// needs the lease of confined tenants. nil: no query does.
	IsConfined func(tenant string, tables int64) bool
}

const (
	defaultMaxHold    = 2 * time.Second
	defaultRetryAfter = time.Second
	// writesIdlePollInterval is the interval at which a fenced controller checks whether attempts are
	// still being written to engines.
	writesIdlePollInterval = time.Millisecond
)

// notPaused is the value of pausedSince and confinedPausedSince while serving.
const notPaused time.Duration = -1

// servingLease applies the fleet's policy version and serving lease to this controller's queries.
// Queries, and attempts not yet sent, wait while the controller is paused. A controller without peers
// has no servingLease.
//
// A query is confined if data residency rules apply to its tenant and tables, or if FleetConfig.IsConfined
// says so. Tenants with such queries are called confined, and their confined queries have a shorter lease of
// their own. There are therefore two states, one for all queries and one for confined ones, each with these
// transitions:
//
//	serving -> paused   a FencePolicy order fences the version, or the lease ends
//	paused  -> serving  an open version and a valid lease, after an ActivatePolicy or LeaseRenewed order
//
// Only the controller goroutine accesses its fields, except ServingState.
type servingLease struct {
	*Controller
	FleetConfig

	// the parts that carry out the fleet's orders
	invalidator invalidator // nil if the controller retains no data
	residency   *residencyState
	fleetView   *fleet.View // latest view; never nil

	// version and lease
	policyVersion       uint64            // latest opened version; 0 if there is none
	fencingChange       string            // change whose fence has not been reported yet; "" if there is none
	pausedSince         time.Duration     // start of the pause of all queries, or notPaused
	confinedPausedSince time.Duration     // start of the pause of confined queries, or notPaused
	leaseTimer          *timerqueue.Timer // fires at the end of a lease

	// queries and attempts that wait while paused
	heldQueries     []*pendingAdmission // in the order of arrival; some may be answered
	heldCount       int                 // number of heldQueries without an answer
	heldFieldBytes  int                 // size of the call fields in heldQueries
	blockedAttempts []*attempt          // attempts with an engine, in the order of their start
	holdTimer       *timerqueue.Timer   // fires when MaxHold is over

	// reports to the fleet
	unsentReports        []fleet.Report // rejected reports, at most as many as orders under way
	reportRetryScheduled bool
	reportedSites        []string // in the latest report

	// counts since the start
	heldTotal      int
	deferredHeld   int
	rejectedWrites int
	policySwitches int
	longestHold    time.Duration
}

// newServingLease returns the servingLease of a controller with peers. The controller starts paused unless
// ServingState has an open version and a valid lease. newServingLease also starts the periodic reports of the
// locations with active engines.
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

// Values of the parameter of servingVersion.
const (
	confinedQueries   = true
	unconfinedQueries = false
)

// servingVersion returns the policy version by which queries are decided, or 0 while paused: for confined
// queries if confined is set, otherwise for all others.
func (l *servingLease) servingVersion(confined bool) uint64 {
	return l.ServingState.ServingVersion(l.now, confined)
}

// handleFleetOrder carries out an order of the fleet. Orders arrive in the order of the log. A fence pauses
// queries at once and is reported once no attempt is being written. ViewChanged and RequestAnswered only
// deliver the latest view and the reply to a request.
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
		l.handleInvalidation(o)
	case fleet.ViewChanged:
		if l.paging != nil && l.fleetView.Index == 0 { // the first view since the start
			l.paging.core.ReconcileLogIndex(o.View.Index)
		}
		l.fleetView = o.View
		l.residency.viewChanged(o.View)
	case fleet.RequestAnswered:
		// both handle every reply: a client's call may carry the id of a binding request
		l.residency.fleetAnswered(o.ID, o.Response)
		if l.invalidator != nil {
			l.invalidator.fleetAnswered(o.ID, o.Response)
		}
	}
}

// handleInvalidation carries out an order to invalidate data. A controller that retains no data reports at
// once that the data is tombstoned and erased.
func (l *servingLease) handleInvalidation(o *fleet.Order) {
	if l.invalidator != nil {
		l.invalidator.invalidate(o.ID, o.Scope, o.Index)
		return
	}
	l.report(fleet.Report{Kind: fleet.DataTombstoned, ID: o.ID})
	l.report(fleet.Report{Kind: fleet.DataErased, ID: o.ID})
}

// reportFencedOnceIdle reports that the old version is fenced once no attempt is being written to an engine,
// and checks that every writesIdlePollInterval. ServingState rejects later writes of attempts that were
// decided by the old version.
//
// It reports the change of the latest fence, and nothing if a version was opened in the meantime.
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

// scheduleLeaseCheck replaces the timer that updates the serving states at the end of a lease. The timer is
// set for the end of the lease, or of the confined tenants' lease if that has not ended and ends earlier.
// There is none if the lease has ended or never ends.
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

// servingChange is a transition of a serving state, see servingLease.
type servingChange int

const (
	servingUnchanged servingChange = iota
	servingPaused
	servingResumed
)

// updateServing updates both serving states. When the state for all queries becomes paused, it pauses the
// scheduler. When confined queries alone are paused, the scheduler goes on; permitSend blocks their attempts.
// When either state is serving again, releaseHeld releases the waiting work and resumes the scheduler.
//
// updateServing runs before every event, because the timer of scheduleLeaseCheck runs only after an event
// that arrives when the lease has already ended.
func (l *servingLease) updateServing() {
	all := l.updatePausedSince(&l.pausedSince, l.servingVersion(unconfinedQueries) != 0)
	if all == servingPaused {
		l.scheduler.SetPaused(l.now, true)
	}
	confined := l.updatePausedSince(&l.confinedPausedSince, l.servingVersion(confinedQueries) != 0)
	if all != servingUnchanged || confined != servingUnchanged {
		l.scheduleHoldExpiry()
	}
	if all == servingResumed || confined == servingResumed {
		l.releaseHeld()
	}
}

// updatePausedSince sets the start of a pause to now or to notPaused when its serving state changes, and
// returns the transition.
func (l *servingLease) updatePausedSince(pausedSince *time.Duration, serving bool) servingChange {
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

// paused reports whether the queries of all tenants are paused, not only those of confined tenants.
func (l *servingLease) paused() bool { return l.pausedSince != notPaused }

// acceptsQueries reports whether clients should send queries here, for the response to their health checks.
// A paused controller still accepts queries for up to MaxHold while it has a valid lease, because a change of
// policy takes only a moment. It accepts none after the loss of the lease or before the first version is
// opened.
func (l *servingLease) acceptsQueries() bool {
	until, _ := l.ServingState.LeaseEnds()
	return !l.paused() || l.policyVersion != 0 && l.now < until && l.now-l.pausedSince < l.MaxHold
}

// countersText returns the part of the counters line on the fleet. "fleet version" is the version by which
// queries of tenants that are not confined are decided, 0 while paused.
func (l *servingLease) countersText() string {
	return fmt.Sprintf("; fleet version %d switches %d, held %d in all %d longest s %.3f"+
		" deferred for want of a lease %d, writes refused %d",
		l.servingVersion(unconfinedQueries), l.policySwitches, l.heldCount, l.heldTotal, l.longestHold.Seconds(),
		l.deferredHeld, l.rejectedWrites) + l.residency.countersText()
}
