package controller

import (
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/invariant"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/settings"
)

// The methods of scheduler.Actions carry out the scheduler's decisions. None of them calls the scheduler
// directly: results are reported by callbacks before the step ends, or by later events.
var _ scheduler.Actions = (*Controller)(nil)

// notDone tells a client that its query failed: the query may have run and must not be resent, or the
// scheduler doesn't know its group. The text is part of the protocol's answers.
const notDone = "not done"

// SendAttempt starts an attempt of a query at an engine. The attempt is withdrawn unless its answer arrives
// within the given time, or by the query's deadline if that time is 0.
func (c *Controller) SendAttempt(id, engine string, within time.Duration) {
	q, e := c.queries[id], c.engines[engine]
	if !invariant.Check(q != nil && e != nil, "attempts name a known query and engine") {
		return
	}
	c.startAttempt(q, e, within)
}

// CancelAttempt withdraws an attempt of a query, by its number.
func (c *Controller) CancelAttempt(id string, number int) {
	q := c.queries[id]
	if q != nil && number >= 0 && number < len(q.attempts) {
		c.withdrawAttempt(q.attempts[number], scheduler.Cancelled)
	}
}

// SetLimits sets a query's priority and memory grant. Running attempts are told the priority; the grant
// applies to attempts that start later.
func (c *Controller) SetLimits(id string, priority, grantMB int) {
	q := c.queries[id]
	if q == nil {
		return
	}
	q.priority = priority
	q.memoryGrantMB = grantMB
	for _, a := range q.attempts {
		c.sendPriority(a)
	}
}

// DeferQuery answers a query with a deferral. The client may resend the query after retryAfter, or after the
// fair queue's estimate if that is longer.
func (c *Controller) DeferQuery(id string, retryAfter time.Duration) {
	q := c.queries[id]
	if q == nil {
		return
	}
	if c.fairQueue != nil && q.fairEntry != nil {
		estimate := c.fairQueue.queue.RetryAfter(c.now, q.fairEntry)
		retryAfter = max(retryAfter, c.fairQueue.limitRetryAfter(estimate))
	}
	c.answerDeferred(q, retryAfter)
}

// FailQuery answers a query that cannot be finished and that the client must not resend.
func (c *Controller) FailQuery(id string) {
	q := c.queries[id]
	if q != nil {
		c.answerKilled(q, notDone)
	}
}

// CheckHealth sends a health check to an engine.
func (c *Controller) CheckHealth(engine string) {
	e := c.engines[engine]
	if invariant.Check(e != nil, "health checks name a known engine") {
		c.checkHealth(e)
	}
}

// RequestEndpoints does nothing: the controller watches the endpoint list by itself.
func (c *Controller) RequestEndpoints() {}

// SetTimer calls the scheduler back after a delay.
func (c *Controller) SetTimer(delay time.Duration, tag int) {
	c.runAfter(delay, func() { c.scheduler.TimerFired(c.now, tag) })
}

// Log logs a line at info level.
func (c *Controller) Log(line string) { c.logMessage(infoLevel, line) }

// settingIndex returns the index of a name in a comma-separated setting, by which the scheduler knows the
// name; -1 if the list does not contain it.
func (c *Controller) settingIndex(setting, name string) int {
	return slices.Index(strings.Split(c.Settings[setting], ","), settings.SanitizeName(name))
}
