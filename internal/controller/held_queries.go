package controller

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/scheduler"
)

// What can't be decided while this controller is paused waits in one of three places: a query
// that came since is held before admission (heldQueries); one that was admitted stays with the
// scheduler, which is paused, too; an attempt whose engine was chosen already is blocked before
// its first byte (blockedAttempts). What waits for MaxHold is deferred.

const (
	// maxHeldQueries bounds the queries held before admission; further ones are deferred at
	// once. The bytes of their calls' fields are bounded like those of all statements.
	maxHeldQueries = 8192
	// heldAnswerMargin is how long before its deadline a held query is deferred: the answer
	// has to reach its client in time.
	heldAnswerMargin = 10 * time.Millisecond
	// maxAnsweredHeld is how many answered queries heldQueries may have, beside as many as
	// still wait, before they are removed.
	maxAnsweredHeld = 64
)

// pendingAdmission is a query that came while nothing could be decided.
type pendingAdmission struct {
	query *query
	from  CallOrigin
}

// admit takes every query that comes. One that can't be decided now is held as it is, and
// admitted by the version in force when it is released. It reports whether the query goes on.
func (l *servingLease) admit(q *query, from CallOrigin) bool {
	q.confined = l.residency.isBound(q, from) || l.Bound != nil && l.Bound(q.residency.tenant, q.tableGroup)
	if l.servingVersion(q.confined) == 0 || q.key != nil && l.isKeyHeld(q.key) {
		l.hold(q, from)
		return false
	}
	return l.residency.checkAdmission(q, from)
}

// isKeyHeld reports whether a query of this key is held, which later ones must not overtake.
func (l *servingLease) isKeyHeld(k *orderKey) bool {
	return l.heldCount > 0 && slices.ContainsFunc(l.heldQueries, func(h *pendingAdmission) bool {
		return h.query.held && h.query.key == k
	})
}

// hold has a query wait for admission, or defers it at once where too many wait.
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
	from.Fields = from.Fields.Clone() // the call lies in its connection's buffer
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

// endHold notes that a query is held no longer, whatever becomes of it.
func (l *servingLease) endHold(q *query) {
	q.held = false
	l.heldCount--
	l.longestHold = max(l.longestHold, l.now-q.receivedAt)
	l.timers.Cancel(q.waitTimer)
	q.waitTimer = nil
}

// releaseHeld lets go what may be decided again, in the order of its progress: attempts whose
// engine was chosen, then what the scheduler has, then the queries that came since.
func (l *servingLease) releaseHeld() {
	attempts := l.blockedAttempts
	l.blockedAttempts = nil
	for _, a := range attempts {
		a.send() // blocked again if its query is confined, and those still may not go
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

// readmit sends a held query on its way again, by the settings as they are now.
func (l *servingLease) readmit(h *pendingAdmission) {
	q := h.query
	l.endHold(q)
	q.customer = l.customerIndex(h.from)
	if q.group.timeout > 0 && q.deadline-q.receivedAt > q.group.timeout {
		l.answerKilled(q, "no such patience")
		return
	}
	l.dispatch(q, h.from)
}

// permitSend reports whether an attempt may be sent now. Where nothing may be decided it waits.
// One whose engine the policy in force forbids goes back to the scheduler as never sent.
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

// scheduleHoldExpiry sets the timer by which what waits is deferred for having waited too long.
func (l *servingLease) scheduleHoldExpiry() {
	l.timers.Cancel(l.holdTimer)
	l.holdTimer = nil
	at := fleet.Forever
	for _, since := range []time.Duration{l.pausedSince, l.confinedPausedSince} {
		if since != notPaused {
			// at the least a quarter of MaxHold from now, so that it doesn't fire in a row
			at = min(at, max(since+l.MaxHold, l.now+l.MaxHold/4))
		}
	}
	if at < fleet.Forever {
		l.holdTimer = l.timers.Add(at, l.expireHeld)
	}
}

// expireHeld gives up what has waited for MaxHold in the fair queue, with the scheduler or with
// its engine chosen. Nothing of it was sent, or what was sent is proven never to have run. (Queries
// held before admission have timers of their own.)
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

// holdExpired reports whether queries like this one have been paused for MaxHold.
func (l *servingLease) holdExpired(q *query) bool {
	since := l.pausedSince
	if q.confined {
		since = l.confinedPausedSince
	}
	return since != notPaused && l.now-since >= l.MaxHold
}

// mayHaveRun reports whether something of a query was sent and isn't proven never to have run.
func (q *query) mayHaveRun() bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool {
		return a.sent && !(a.outcomeKnown && a.outcome.NeverRan())
	})
}

// findQueries are the queries for which a condition holds, in the order in which they came.
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

// deferUnsent defers a query of which nothing has run.
func (l *servingLease) deferUnsent(q *query) {
	l.deferredHeld++
	l.logWithFields(q.logFields(), "deferred: this controller may not decide now")
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

// retryAfter is the time to come back that deferred clients are told; 0 where none may be told.
func (l *servingLease) retryAfter() time.Duration {
	if l.Settings["may.name-return"] != "true" {
		return 0
	}
	return min(l.RetryAfter, l.durationSetting("return.most"))
}

// deferAllHeld defers the queries held before admission: the program ends.
func (l *servingLease) deferAllHeld() {
	for _, h := range l.heldQueries {
		if h.query.held {
			l.deferUnsent(h.query)
		}
	}
	l.heldQueries = nil
	l.heldFieldBytes = 0
}
