package controller

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// FleetConfig is what a controller with peers starts with.
type FleetConfig struct {
	Word *fleet.Word
	// HoldMost is the longest that a query is held while this controller may not
	// decide, before it is deferred. 0: holdMost.
	MaxHold time.Duration
	// Back is the time to come back that is named to those, where one may be
	// named, and within the longest that clients follow. 0: backAfter.
	RetryAfter time.Duration
	// Bound tells whether a query of a team, over a group of tables (-1: not
	// known), needs the lease of bound teams. nil: none does.
	Bound func(team string, tables int64) bool
}

const (
	defaultMaxHold    = 2 * time.Second
	defaultRetryAfter = time.Second
	// heldMost bounds the queries held before they were judged at all; more are
	// deferred at once. Their statements are bounded with all others' in hand, and
	// their calls' further fields by the same figure.
	maxHeldQueries = 8192
	// answerBy is before the queue timeout of one that is held: its answer has to
	// reach its client in time.
	heldAnswerMargin = 10 * time.Millisecond
	// idleEvery is how often it is looked whether what was being written is out.
	writesIdlePollInterval = time.Millisecond
	// untoldEvery is how often what the fleet had no room for is told again.
	reportRetryInterval = 10 * time.Millisecond
	sitesReportInterval = time.Second
)

// Policy is what of the set-up the whole fleet shares, as an Open order brings it.
type Policy struct {
	Version uint64
	// Fair are the teams, nil to leave them as they are.
	Fair *fairqueue.Shape
	// Facts are the groups' limits and the customers' shares in the decisions'
	// words; other settings in it are passed over. nil leaves them as they are.
	Facts map[string]string
	// Rules are those of placement, for who looks after them.
	Rules any
}

// purging has what is kept of a team go. Without one a purge finds nothing.
type invalidator interface {
	// drop: nothing in scope that was asked for before index comes out any more;
	// Unreached and then Wiped are reported once that is so.
	invalidate(id string, scope *fleet.Scope, index uint64)
	// answered: what was asked of the fleet by a Wanted came to this. False: it
	// wasn't asked for here.
	fleetAnswered(id string, reply *fleet.Reply) bool
}

// warrant is this controller's part in the fleet as far as its queries go: by which
// version they are decided, and what is held while they may not be. Without peers
// it is nil, and costs nothing.
type servingLease struct {
	*Controller
	FleetConfig
	invalidator invalidator // nil: nothing is kept of teams
	residency   *residencyState
	fleetView   *fleet.Picture

	policyVersion        uint64              // last opened
	fencingChange        string              // the change that it is shut for, until that is told
	pausedSince          [2]time.Duration    // since when nothing may be decided, and nothing of bound teams; -1: it may
	leaseTimer           *timerqueue.Item    // the lease
	holdTimer            *timerqueue.Item    // what is held too long is given up
	heldQueries          []*pendingAdmission // in the order in which they came
	heldCount            int                 // of those, how many are still to be answered
	heldFieldBytes       int                 // bytes of theirs
	blockedAttempts      []*attempt          // chosen by the decisions and not let go
	unsentReports        []fleet.Report      // the fleet had no room. As many as orders are under way at the most
	reportRetryScheduled bool                // they are about to be told again
	reportedSites        []string            // last told

	// counts
	heldTotal, deferredHeld, rejectedWrites, policySwitches int
	longestHold                                             time.Duration
}

// unjudged is a query that came while nothing might be decided.
type pendingAdmission struct {
	q    *query
	from From
}

func newServingLease(c *Controller, f *FleetConfig) *servingLease {
	w := &servingLease{Controller: c, FleetConfig: *f, fleetView: &fleet.Picture{}, pausedSince: [2]time.Duration{-1, -1}}
	w.MaxHold, w.RetryAfter = cmp.Or(w.MaxHold, defaultMaxHold), cmp.Or(w.RetryAfter, defaultRetryAfter)
	w.residency = newResidencyState(w)
	w.updateServing()
	w.reportSitesPeriodically()
	return w
}

// may is the version to decide by, 0 if nothing may be decided.
func (w *servingLease) servingVersion(bound bool) uint64 { return w.Word.May(w.now, bound) }

// ordered does what the fleet orders, in the order in which the record has it.
func (w *servingLease) handleFleetOrder(o *fleet.Order) {
	switch o.Kind {
	case fleet.Shut:
		w.Word.Set(0)
		w.fencingChange = o.Change
		w.updateServing()
		w.reportFencedOnceIdle()
	case fleet.Open:
		w.openPolicy(o)
	case fleet.Renewed:
		w.Word.Lease(o.Until, o.UntilBound)
		w.scheduleLeaseCheck()
		w.updateServing()
	case fleet.Drop:
		if w.invalidator != nil {
			w.invalidator.invalidate(o.ID, o.Scope, o.Index)
			return
		}
		w.report(fleet.Report{Kind: fleet.Unreached, ID: o.ID})
		w.report(fleet.Report{Kind: fleet.Wiped, ID: o.ID})
	case fleet.Pictured:
		if w.paging != nil && w.fleetView.Index == 0 { // the first of this run
			w.paging.core.Recorded(o.Picture.Index)
		}
		w.fleetView = o.Picture
		w.residency.viewChanged(o.Picture)
	case fleet.Answered:
		// both, whatever the first says: a client may ask for any id, a binding's too
		w.residency.fleetAnswered(o.ID, o.Reply)
		if w.invalidator != nil {
			w.invalidator.fleetAnswered(o.ID, o.Reply)
		}
	}
}

// shutting tells that it is shut once nothing is being written. What is written later,
// though it was asked for before, asks the word first and is refused.
func (w *servingLease) reportFencedOnceIdle() {
	switch {
	case w.fencingChange == "":
	case !w.Word.Idle():
		w.runAfter(writesIdlePollInterval, w.reportFencedOnceIdle)
	default:
		w.report(fleet.Report{Kind: fleet.Closed, Change: w.fencingChange})
		w.fencingChange = ""
	}
}

// open takes a version over before anything is decided by it. The one it had is
// opened again where a change was withdrawn.
func (w *servingLease) openPolicy(o *fleet.Order) {
	w.fencingChange = ""
	if o.Version != w.policyVersion {
		if w.policyVersion != 0 {
			w.policySwitches++
		}
		w.policyVersion = o.Version
		if p, ok := o.Policy.(*Policy); ok && p != nil {
			w.applyPolicy(p)
		}
	}
	w.Word.Set(o.Version)
	w.report(fleet.Report{Kind: fleet.Opened, Version: o.Version, Outside: w.residency.countOutside()})
	w.updateServing()
}

func (w *servingLease) applyPolicy(p *Policy) {
	if p.Facts != nil {
		w.applyFleetSettings(p.Facts)
	}
	switch {
	case w.fairQueue == nil:
	case p.Fair != nil:
		w.fairQueue.reload(p.Fair)
	case p.Facts != nil:
		w.fairQueue.reload(w.fairQueue.tenants) // its lanes are the groups
	}
	w.residency.policyOpened(p)
}

// shared tells whether a setting is the fleet's to change while it runs.
func isFleetSetting(name string) bool {
	group, isGroup := strings.CutPrefix(name, "group.")
	_, what, _ := strings.Cut(group, ".")
	return isGroup && slices.Contains([]string{"value", "target", "timeout", "stretch", "late-share"}, what) ||
		strings.HasPrefix(name, "team.") || name == "threads" || name == "teams" || name == "over.worth"
}

// retell takes over other limits of groups and other shares of customers.
func (c *Controller) applyFleetSettings(facts map[string]string) {
	next := maps.Clone(c.Settings)
	maps.DeleteFunc(next, func(name, _ string) bool { return isFleetSetting(name) })
	for name, value := range facts {
		if isFleetSetting(name) {
			next[name] = value
		}
	}
	c.Settings = next
	for _, g := range c.groups {
		g.readSettings(c)
		c.longestQueryTimeout = max(c.longestQueryTimeout, g.timeout)
	}
	c.readCustomers()
	c.scheduler.UpdateSettings(c.now, next)
}

// watchLease looks again when the lease ends, if nothing else has by then.
func (w *servingLease) scheduleLeaseCheck() {
	w.timers.Drop(w.leaseTimer)
	w.leaseTimer = nil
	until, bound := w.Word.Until()
	if bound > w.now {
		until = min(until, bound)
	}
	if until > w.now && until < fleet.Forever {
		w.leaseTimer = w.timers.Add(until, func() {
			w.updateServing()
			w.scheduleLeaseCheck()
		})
	}
}

// look notes whether anything may be decided now, and by that holds what there is
// or lets it go. It is asked before every event: a lease ends without one.
func (w *servingLease) updateServing() {
	opened, shut := false, false
	for i := range w.pausedSince {
		switch may := w.servingVersion(i == 1) != 0; {
		case !may && w.pausedSince[i] < 0:
			w.pausedSince[i], shut = w.now, true
			if i == 0 {
				w.scheduler.SetPaused(w.now, true)
			}
		case may && w.pausedSince[i] >= 0:
			w.pausedSince[i], opened = -1, true
		}
	}
	if opened || shut {
		w.scheduleHoldExpiry()
	}
	if opened {
		w.releaseHeld()
	}
}

// stands: nothing may be decided, whoever asks.
func (w *servingLease) paused() bool { return w.pausedSince[0] >= 0 }

// ready: it takes queries and has them answered. A switch lasts a moment, and is no
// reason for clients to go elsewhere; a lease that is gone is.
func (w *servingLease) acceptsQueries() bool {
	until, _ := w.Word.Until()
	return !w.paused() || w.policyVersion != 0 && w.now < until && w.now-w.pausedSince[0] < w.MaxHold
}

// enters is where every query passes that has come. One that can't be judged now
// is kept as it is, and judged by the version that it is let go by.
func (w *servingLease) admit(q *query, from From) bool {
	q.confined = w.residency.isBound(q, from) || w.Bound != nil && w.Bound(q.residency.tenant, q.tableGroup)
	if w.servingVersion(q.confined) == 0 || q.key != nil && w.heldBehindKey(q.key) {
		w.hold(q, from)
		return false
	}
	return w.residency.checkAdmission(q, from)
}

// whose is the team of a call, or the customer where there are no teams.
func (w *servingLease) residencyTenantOf(q *query, from From) string {
	if w.fairQueue == nil && q.customer >= 0 && q.customer < len(w.customers) {
		return w.customers[q.customer]
	}
	return w.tenantOf(from)
}

// behind: one of its key is held, and mustn't be overtaken by it.
func (w *servingLease) heldBehindKey(k *orderKey) bool {
	return w.heldCount > 0 && slices.ContainsFunc(w.heldQueries, func(h *pendingAdmission) bool { return h.q.blocked && h.q.key == k })
}

func (w *servingLease) hold(q *query, from From) {
	if len(w.heldQueries) > 2*w.heldCount+64 || w.heldFieldBytes > w.maxStatementBytes {
		w.heldQueries = slices.DeleteFunc(w.heldQueries, func(h *pendingAdmission) bool { return !h.q.blocked })
		w.heldFieldBytes = 0
		for _, h := range w.heldQueries {
			w.heldFieldBytes += h.from.Fields.Size()
		}
	}
	if w.heldCount >= maxHeldQueries || w.heldFieldBytes > w.maxStatementBytes {
		w.deferUnsent(q)
		return
	}
	w.heldTotal++
	q.blocked = true
	w.heldCount++
	from.Fields = from.Fields.Clone() // the call lies in its connection's buffer
	w.heldFieldBytes += from.Fields.Size()
	w.heldQueries = append(w.heldQueries, &pendingAdmission{q, from})
	q.waitTimer = w.timers.Add(min(q.receivedAt+w.MaxHold, q.deadline-heldAnswerMargin), func() {
		if q.blocked {
			w.deferUnsent(q)
		}
	})
}

// unheld: it is held no more, whatever becomes of it.
func (w *servingLease) endHold(q *query) {
	q.blocked = false
	w.heldCount--
	w.longestHold = max(w.longestHold, w.now-q.receivedAt)
	w.timers.Drop(q.waitTimer)
	q.waitTimer = nil
}

// release lets go what may be decided again: first what the decisions had chosen
// for, then what they hold, then what came since.
func (w *servingLease) releaseHeld() {
	parked := w.blockedAttempts
	w.blockedAttempts = nil
	for _, s := range parked {
		s.send() // which is parked again if it is of a bound team, and those still may not
	}
	if !w.paused() {
		w.scheduler.SetPaused(w.now, false)
	}
	all := w.heldQueries
	w.heldQueries, w.heldFieldBytes = nil, 0
	for _, h := range all {
		if !h.q.blocked {
			continue
		}
		q := h.q
		w.endHold(q)
		q.customer = w.customerIndex(h.from)
		if q.group.timeout > 0 && q.deadline-q.receivedAt > q.group.timeout {
			w.answerKilled(q, "no such patience")
			continue
		}
		w.dispatch(q, h.from, q.keyNumber)
	}
}

// lets tells whether a submission may go now. One that may not waits; one whose engine
// was chosen before what is in force now goes back to the decisions if that bars it.
func (w *servingLease) permitSend(s *attempt) bool {
	by := w.servingVersion(s.query.confined)
	switch {
	case by == 0:
		w.blockedAttempts = append(w.blockedAttempts, s)
		return false
	case !w.residency.allowsSend(s.query, s.engine):
		s.finish(scheduler.NeverSent)
		return false
	}
	s.policyVersion = by
	return true
}

// lapseLater has what is held given up when it has been held for too long.
func (w *servingLease) scheduleHoldExpiry() {
	w.timers.Drop(w.holdTimer)
	w.holdTimer = nil
	at := fleet.Forever
	for _, since := range w.pausedSince {
		if since >= 0 {
			at = min(at, max(since+w.MaxHold, w.now+w.MaxHold/4))
		}
	}
	if at < fleet.Forever {
		w.holdTimer = w.timers.Add(at, w.expireHeld)
	}
}

// lapse gives up what waits for its turn, with the decisions, or with its engine
// chosen. Nothing of it was sent, or what was sent is proven never to have run.
func (w *servingLease) expireHeld() {
	long := func(q *query) bool {
		since := w.pausedSince[0]
		if q.confined {
			since = w.pausedSince[1]
		}
		return since >= 0 && w.now-since >= w.MaxHold
	}
	for _, s := range w.blockedAttempts {
		if !s.ended && long(s.query) && s.query.mayHaveRun() {
			w.withdrawAttempt(s, scheduler.NeverSent)
		}
	}
	w.blockedAttempts = slices.DeleteFunc(w.blockedAttempts, func(s *attempt) bool { return s.ended })
	var late []*query
	for _, q := range w.queries {
		if !q.answered && !q.blocked && long(q) && !q.mayHaveRun() {
			late = append(late, q)
		}
	}
	slices.SortFunc(late, func(a, b *query) int {
		return cmp.Or(cmp.Compare(a.receivedAt, b.receivedAt), strings.Compare(a.id, b.id))
	})
	for _, q := range late {
		w.deferUnsent(q)
	}
	w.scheduleHoldExpiry()
}

// mayRun: something of it was sent and isn't proven never to have run.
func (q *query) mayHaveRun() bool {
	return slices.ContainsFunc(q.attempts, func(s *attempt) bool {
		return s.sent && !(s.outcomeKnown && s.outcome.NeverRan())
	})
}

// putOff defers a query of which nothing has run.
func (w *servingLease) deferUnsent(q *query) {
	w.deferredHeld++
	w.logAbout(q.logFields(), "deferred: this controller may not decide now")
	subs := q.attempts
	w.answerDeferred(q, w.retryAfter())
	w.runSoon(func() { w.scheduler.QueryDropped(w.now, q.id) })
	for _, s := range subs {
		if !s.sent {
			w.withdrawAttempt(s, scheduler.NeverSent)
		}
	}
}

// pause is the time to come back that may be named.
func (w *servingLease) retryAfter() time.Duration {
	if w.Settings["may.name-return"] != "true" {
		return 0
	}
	return min(w.RetryAfter, w.durationSetting("return.most"))
}

// shutDown gives up what is held: the program ends.
func (w *servingLease) deferAllHeld() {
	for _, h := range w.heldQueries {
		if h.q.blocked {
			w.deferUnsent(h.q)
		}
	}
	w.heldQueries, w.heldFieldBytes = nil, 0
}

// report tells the fleet's side something, after all that it wasn't told yet.
func (w *servingLease) report(p fleet.Report) {
	switch {
	case len(w.unsentReports) == 0:
		w.emit(Effect{Kind: ReportToFleet, Report: &p})
	case p.Kind != fleet.Sites: // those come again
		w.unsentReports = append(w.unsentReports, p)
	}
}

// noRoom: a report found none, and is told again.
func (w *servingLease) reportRejected(p *fleet.Report) {
	if p.Kind == fleet.Sites {
		return
	}
	w.unsentReports = append(w.unsentReports, *p)
	if !w.reportRetryScheduled {
		w.reportRetryScheduled = true
		w.runAfter(reportRetryInterval, func() {
			l := w.unsentReports
			w.unsentReports, w.reportRetryScheduled = nil, false
			for _, p := range l {
				w.report(p)
			}
		})
	}
}

// tellSites tells each second where there are engines that serve.
func (w *servingLease) reportSitesPeriodically() {
	w.runAfter(sitesReportInterval, w.reportSitesPeriodically)
	w.reportedSites = w.servingSites()
	w.reportSites(w.reportedSites)
}

// listed: the list has changed, and perhaps which sites serve.
func (w *servingLease) endpointsChanged() {
	if l := w.servingSites(); !slices.Equal(l, w.reportedSites) {
		w.reportedSites = l
		w.reportSites(l)
	}
}

func (w *servingLease) reportSites(sites []string) {
	w.report(fleet.Report{Kind: fleet.Sites, Sites: sites, Outside: w.residency.countOutside()})
}

// serving are the locations that have engines which take queries, by the list.
func (w *servingLease) servingSites() (l []string) {
	has := map[int]bool{}
	for _, e := range w.engines {
		if e.state == scheduler.EngineActive {
			has[e.location] = true
		}
	}
	for i, name := range strings.Split(w.Settings["locations"], ",") {
		if has[i] {
			l = append(l, name)
		}
	}
	return l
}

func (w *servingLease) text() string {
	return fmt.Sprintf("; fleet version %d switches %d, held %d in all %d longest s %.3f deferred for want of a lease %d, writes refused %d",
		w.servingVersion(false), w.policySwitches, w.heldCount, w.heldTotal, w.longestHold.Seconds(), w.deferredHeld, w.rejectedWrites) + w.residency.text()
}
