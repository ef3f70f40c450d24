package controller

import (
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/invariant"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/settings"
)

func (r *Controller) Submit(id, engine string, within time.Duration) {
	q, e := r.queries[id], r.engines[engine]
	if !invariant.Hold(q != nil && e != nil, "submissions name what is known") {
		return
	}
	r.startAttempt(q, e, within)
}

func (r *Controller) Cancel(id string, try int) {
	if q := r.queries[id]; q != nil && try >= 0 && try < len(q.attempts) {
		r.withdrawAttempt(q.attempts[try], scheduler.Cancelled)
	}
}

func (r *Controller) Terms(id string, priority, grantMB int) {
	if q := r.queries[id]; q != nil {
		q.priority, q.memoryGrantMB = priority, grantMB
		for _, s := range q.attempts {
			r.sendPriority(s)
		}
	}
}

func (r *Controller) Defer(id string, comeBack time.Duration) {
	if q := r.queries[id]; q != nil {
		if r.fairQueue != nil && q.waiter != nil {
			comeBack = max(comeBack, r.fairQueue.retryAfter(r.fairQueue.queue.Back(r.now, q.waiter)))
		}
		r.answerDeferred(q, comeBack)
	}
}

func (r *Controller) Kill(id string) {
	if q := r.queries[id]; q != nil {
		r.answerKilled(q, "not done")
	}
}

func (r *Controller) Probe(engine string) {
	if e := r.engines[engine]; invariant.Hold(e != nil, "probes name what is known") {
		r.checkHealth(e)
	}
}

func (r *Controller) Subscribe() {}

func (r *Controller) Wake(in time.Duration, tag int) {
	r.runAfter(in, func() { r.scheduler.Woken(r.now, tag) })
}

func (r *Controller) Log(line string) { r.logMessage(false, line) }

var _ scheduler.Actions = (*Controller)(nil)

// place is where a name stands in one of the settings' lists, which is how the
// decisions know it; -1 if it is in none.
func (r *Controller) settingIndex(facts, name string) int {
	return slices.Index(strings.Split(r.Settings[facts], ","), settings.Plain(name))
}
