package relay

import (
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/decide"
	"railrelay.dev/railrelay/internal/must"
	"railrelay.dev/railrelay/internal/terms"
)

func (r *Relay) Submit(id, engine string, within time.Duration) {
	q, e := r.queries[id], r.engines[engine]
	if !must.Hold(q != nil && e != nil, "submissions name what is known") {
		return
	}
	r.submit(q, e, within)
}

func (r *Relay) Cancel(id string, try int) {
	if q := r.queries[id]; q != nil && try >= 0 && try < len(q.subs) {
		r.withdraw(q.subs[try], decide.Cancelled)
	}
}

func (r *Relay) Terms(id string, priority, grantMB int) {
	if q := r.queries[id]; q != nil {
		q.priority, q.grantMB = priority, grantMB
		for _, s := range q.subs {
			r.rank(s)
		}
	}
}

func (r *Relay) Defer(id string, comeBack time.Duration) {
	if q := r.queries[id]; q != nil {
		if r.fair != nil && q.turn != nil {
			comeBack = max(comeBack, r.fair.pause(r.fair.core.Back(r.now, q.turn)))
		}
		r.deferred(q, comeBack)
	}
}

func (r *Relay) Kill(id string) {
	if q := r.queries[id]; q != nil {
		r.killed(q, "not done")
	}
}

func (r *Relay) Probe(engine string) {
	if e := r.engines[engine]; must.Hold(e != nil, "probes name what is known") {
		r.probe(e)
	}
}

func (r *Relay) Subscribe() {}

func (r *Relay) Wake(in time.Duration, tag int) {
	r.after(in, func() { r.gate.Woken(r.now, tag) })
}

func (r *Relay) Log(line string) { r.say(false, line) }

var _ decide.Actor = (*Relay)(nil)

// place is where a name stands in one of the settings' lists, which is how the
// decisions know it; -1 if it is in none.
func (r *Relay) place(facts, name string) int {
	return slices.Index(strings.Split(r.Facts[facts], ","), terms.Plain(name))
}
