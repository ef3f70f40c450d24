package controller

import (
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/invariant"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/settings"
)

func (c *Controller) Submit(id, engine string, within time.Duration) {
	q, e := c.queries[id], c.engines[engine]
	if !invariant.Hold(q != nil && e != nil, "submissions name what is known") {
		return
	}
	c.startAttempt(q, e, within)
}

func (c *Controller) Cancel(id string, try int) {
	if q := c.queries[id]; q != nil && try >= 0 && try < len(q.attempts) {
		c.withdrawAttempt(q.attempts[try], scheduler.Cancelled)
	}
}

func (c *Controller) Terms(id string, priority, grantMB int) {
	if q := c.queries[id]; q != nil {
		q.priority, q.memoryGrantMB = priority, grantMB
		for _, s := range q.attempts {
			c.sendPriority(s)
		}
	}
}

func (c *Controller) Defer(id string, comeBack time.Duration) {
	if q := c.queries[id]; q != nil {
		if c.fairQueue != nil && q.waiter != nil {
			comeBack = max(comeBack, c.fairQueue.retryAfter(c.fairQueue.queue.Back(c.now, q.waiter)))
		}
		c.answerDeferred(q, comeBack)
	}
}

func (c *Controller) Kill(id string) {
	if q := c.queries[id]; q != nil {
		c.answerKilled(q, "not done")
	}
}

func (c *Controller) Probe(engine string) {
	if e := c.engines[engine]; invariant.Hold(e != nil, "probes name what is known") {
		c.checkHealth(e)
	}
}

func (c *Controller) Subscribe() {}

func (c *Controller) Wake(in time.Duration, tag int) {
	c.runAfter(in, func() { c.scheduler.TimerFired(c.now, tag) })
}

func (c *Controller) Log(line string) { c.logMessage(false, line) }

var _ scheduler.Actions = (*Controller)(nil)

// place is where a name stands in one of the settings' lists, which is how the
// decisions know it; -1 if it is in none.
func (c *Controller) settingIndex(facts, name string) int {
	return slices.Index(strings.Split(c.Settings[facts], ","), settings.Plain(name))
}
