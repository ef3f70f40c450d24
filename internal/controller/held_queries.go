package controller

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/scheduler"
)

// While this controller is paused, queries wait in one of three places. A query that arrives during the
// pause is held before admission (heldQueries). An admitted query stays with the scheduler, which is paused,
// too. An attempt whose engine is already chosen is blocked before its first byte (blockedAttempts). Anything
// that has waited for MaxHold is deferred.

const (
	// maxHeldQueries bounds the queries held before admission; further queries are deferred at once. The
	// fields of their calls have the same byte limit as all statements.
	maxHeldQueries = 8192
	// heldAnswerMargin is how long before its deadline a held query is deferred, so that the answer reaches
	// the client in time.
	heldAnswerMargin = 10 * time.Millisecond
	// maxAnsweredHeld is how many answered queries heldQueries may contain, in addition to as many as are
	// still waiting, before they are removed.
	maxAnsweredHeld = 64
)

// pendingAdmission is a query that arrived while the controller was paused.
type pendingAdmission struct {
	query *query
	from  CallOrigin
}

// admit checks whether an arriving query may proceed. A query that cannot be decided now is held unchanged,
// and admitted by the policy version in force at its release. It reports whether the query may proceed.
func (l *servingLease) admit(q *query, from CallOrigin) bool {
	q.confined = l.residency.attachResidency(q, from) ||
		l.IsConfined != nil && l.IsConfined(q.residency.tenant, q.tableGroup)
	if l.servingVersion(q.confined) == 0 || q.key != nil && l.isKeyHeld(q.key) {
		l.hold(q, from)
		return false
	}
	return l.residency.checkAdmission(q, from)
}

// isKeyHeld reports whether a query of this key is held. Later queries of the key must not overtake it.
func (l *servingLease) isKeyHeld(k *orderKey) bool {
	return l.heldCount > 0 && slices.ContainsFunc(l.heldQueries, func(h *pendingAdmission) bool {
		return h.query.held && h.query.key == k
	})
}

// hold makes a query wait for admission, or defers it at once if too many are waiting.
func (l *servingLease) hold(q *query, from CallOrigin) {
	if len(l.heldQueries) > 2*l.heldCount+maxAnsweredHeld || l.heldFieldBytes > l.maxStatementBytes {
		l.removeAnsweredHeld()
	}
	if l.heldCount >= maxHeldQueries || l.heldFieldBytes > l.maxStatementBytes {
		l.deferUnsent(q)
		return
	}
	l.heldTotal++
	q.held = true
	l.heldCount++
	from.Fields = from.Fields.Clone() // the call's bytes are in its connection's buffer
	l.heldFieldBytes += from.Fields.Size()
	l.heldQueries = append(l.heldQueries, &pendingAdmission{q, from})
	q.waitTimer = l.timers.Add(min(q.receivedAt+l.MaxHold, q.deadline-heldAnswerMargin), func() {
		if q.held {
			l.deferUnsent(q)
		}
	})
}

func (l *servingLease) removeAnsweredHeld() {
	l.heldQueries = slices.DeleteFunc(l.heldQueries, func(h *pendingAdmission) bool { return !h.query.held })
	l.heldFieldBytes = 0
	for _, h := range l.heldQueries {
		l.heldFieldBytes += h.from.Fields.Size()
	}
}

// endHold records that a query is no longer held, for any reason.
func (l *servingLease) endHold(q *query) {
	q.held = false
	l.heldCount--
	l.longestHold = max(l.longestHold, l.now-q.receivedAt)
	l.timers.Cancel(q.waitTimer)
	q.waitTimer = nil
}

// releaseHeld releases the work that may be decided again, the furthest advanced first: attempts whose engine
// was chosen, then the scheduler's queries, then the queries held before admission.
func (l *servingLease) releaseHeld() {
	attempts := l.blockedAttempts
	l.blockedAttempts = nil
	for _, a := range attempts {
		a.send() // blocked again if its query is confined and confined queries are still paused
	}
	if !l.paused() {
		l.scheduler.SetPaused(l.now, false)
	}
	held := l.heldQueries
	l.heldQueries = nil
	l.heldFieldBytes = 0
	for _, h := range held {
		if h.query.held {
			l.readmit(h)
		}
	}
}

// readmit dispatches a held query again, by the current settings. It kills a query whose timeout is longer
// than its group allows now.
func (l *servingLease) readmit(h *pendingAdmission) {
	q := h.query
	l.endHold(q)
	q.customer = l.customerIndex(h.from)
	if q.group.timeout > 0 && q.deadline-q.receivedAt > q.group.timeout {
		l.answerKilled(q, timeoutTooLong)
		return
	}
	l.dispatch(q, h.from)
}

// permitSend reports whether an attempt may be sent now. While the controller is paused, the attempt waits.
// An attempt whose engine the policy in force forbids is returned to the scheduler as never sent.
func (l *servingLease) permitSend(a *attempt) bool {
	version := l.servingVersion(a.query.confined)
	switch {
	case version == 0:
		l.blockedAttempts = append(l.blockedAttempts, a)
		return false
	case !l.residency.allowsSend(a.query, a.engine):
		a.finish(scheduler.NeverSent)
		return false
	}
	a.policyVersion = version
	return true
}

// scheduleHoldExpiry sets the timer that defers the queries which have waited for MaxHold.
func (l *servingLease) scheduleHoldExpiry() {
	l.timers.Cancel(l.holdTimer)
	l.holdTimer = nil
	at := fleet.Forever
	for _, since := range []time.Duration{l.pausedSince, l.confinedPausedSince} {
		if since != notPaused {
			// at least a quarter of MaxHold from now, so that the timer does not fire in rapid succession
			at = min(at, max(since+l.MaxHold, l.now+l.MaxHold/4))
		}
	}
	if at < fleet.Forever {
		l.holdTimer = l.timers.Add(at, l.expireHeld)
	}
}

// expireHeld defers the queries that have waited for MaxHold in the fair queue, with the scheduler or with a
// chosen engine, unless an attempt of theirs may have run. Of a query that may have run, only the blocked
// attempt is withdrawn. Queries held before admission have timers of their own.
func (l *servingLease) expireHeld() {
	for _, a := range l.blockedAttempts {
		if !a.ended && l.holdExpired(a.query) && a.query.mayHaveRun() {
			l.withdrawAttempt(a, scheduler.NeverSent)
		}
	}
	l.blockedAttempts = slices.DeleteFunc(l.blockedAttempts, func(a *attempt) bool { return a.ended })
	expired := l.findQueries(func(q *query) bool {
		return !q.answered && !q.held && l.holdExpired(q) && !q.mayHaveRun()
	})
	for _, q := range expired {
		l.deferUnsent(q)
	}
	l.scheduleHoldExpiry()
}

// holdExpired reports whether queries of this kind, confined or not, have been paused for MaxHold.
func (l *servingLease) holdExpired(q *query) bool {
	since := l.pausedSince
	if q.confined {
		since = l.confinedPausedSince
	}
	return since != notPaused && l.now-since >= l.MaxHold
}

// mayHaveRun reports whether an attempt of the query was sent and is not proven never to have run.
func (q *query) mayHaveRun() bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool {
		return a.sent && !(a.outcomeKnown && a.outcome.NeverRan())
	})
}

// findQueries returns the queries that fulfil a condition, in order of arrival.
func (c *Controller) findQueries(holds func(q *query) bool) (queries []*query) {
	for _, q := range c.queries {
		if holds(q) {
			queries = append(queries, q)
		}
	}
	slices.SortFunc(queries, func(a, b *query) int {
		return cmp.Or(cmp.Compare(a.receivedAt, b.receivedAt), strings.Compare(a.id, b.id))
	})
	return queries
}

// deferUnsent defers a query of which no attempt has run, tells the scheduler to drop the query, and
// withdraws its unsent attempts.
func (l *servingLease) deferUnsent(q *query) {
	l.deferredHeld++
	l.logWithFields(q.logFields(), "deferred: this controller is paused")
	attempts := q.attempts
	l.answerDeferred(q, l.retryAfter())
	l.enqueueCallback(func() { l.scheduler.QueryDropped(l.now, q.id) })
	l.withdrawUnsent(attempts)
}

func (l *servingLease) withdrawUnsent(attempts []*attempt) {
	for _, a := range attempts {
		if !a.sent {
			l.withdrawAttempt(a, scheduler.NeverSent)
		}
	}
}

// retryAfter returns the retry delay for deferred clients; 0 if the platform does not allow one.
func (l *servingLease) retryAfter() time.Duration {
	if l.Settings["may.name-return"] != settingTrue {
		return 0
	}
	return min(l.RetryAfter, l.durationSetting("return.most"))
}

// deferAllHeld defers the queries held before admission, because the program is about to end.
func (l *servingLease) deferAllHeld() {
	for _, h := range l.heldQueries {
		if h.query.held {
			l.deferUnsent(h.query)
		}
	}
	l.heldQueries = nil
	l.heldFieldBytes = 0
}
