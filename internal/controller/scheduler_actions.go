package controller

import (
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/invariant"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/settings"
)

// The methods of scheduler.Actions carry out what the scheduler decides. None of them calls the scheduler
// back at once: what comes of them is reported by callbacks before the step ends, or by later events.
var _ scheduler.Actions = (*Controller)(nil)

// notDone is the answer to a query that may have run, or that no engine was found for in time.
const notDone = "not done"

// SendAttempt starts an attempt of a query.
func (c *Controller) SendAttempt(id, engine string, within time.Duration) {
	q, e := c.queries[id], c.engines[engine]
	if !invariant.Check(q != nil && e != nil, "submissions name what is known") {
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

// SetLimits sets a query's priority and memory grant. Attempts that run are told the priority; the grant is
// that of attempts to come.
func (c *Controller) SetLimits(id string, priority, grantMB int) {
	q := c.queries[id]
	if q == nil {
		return
	}
	q.priority = priority
	q.memoryGrantMB = grantMB
	for _, s := range q.attempts {
		c.sendPriority(s)
	}
}

// DeferQuery answers a query that has not run, and names the time after which it may come again, or the fair
// queue's estimate if that is longer.
func (c *Controller) DeferQuery(id string, retryAfter time.Duration) {
	q := c.queries[id]
	if q == nil {
		return
	}
	if c.fairQueue != nil && q.fairEntry != nil {
		retryAfter = max(retryAfter, c.fairQueue.retryAfter(c.fairQueue.queue.RetryAfter(c.now, q.fairEntry)))
	}
	c.answerDeferred(q, retryAfter)
}

// FailQuery answers a query that can't be finished.
func (c *Controller) FailQuery(id string) {
	q := c.queries[id]
	if q != nil {
		c.answerKilled(q, notDone)
	}
}

// CheckHealth sends a health check to an engine.
func (c *Controller) CheckHealth(engine string) {
	e := c.engines[engine]
	if invariant.Check(e != nil, "probes name what is known") {
		c.checkHealth(e)
	}
}

// RequestEndpoints does nothing: the controller follows the endpoint list by itself.
func (c *Controller) RequestEndpoints() {}

// SetTimer calls the scheduler back after a time.
func (c *Controller) SetTimer(in time.Duration, tag int) {
	c.runAfter(in, func() { c.scheduler.TimerFired(c.now, tag) })
}

// Log logs a line at info level.
func (c *Controller) Log(line string) { c.logMessage(false, line) }

// settingIndex is the index of a name in a setting that is a list, by which the scheduler knows it; -1 if
// it is not in the list.
func (c *Controller) settingIndex(setting, name string) int {
	return slices.Index(strings.Split(c.Settings[setting], ","), settings.SanitizeName(name))
}
