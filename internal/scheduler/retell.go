package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// What a controller with peers needs beyond the Gate: nothing here decides.

// NeverRan holds for the outcomes that prove that nothing of it ran.
func (o Outcome) NeverRan() bool { return o.neverRan() }

// Hold has nothing held let go until it is told otherwise: what comes back meanwhile
// waits in its queue, and whoever waits is given up at the end of its time as ever.
func (g *Scheduler) SetPaused(now time.Duration, on bool) {
	if g.now = now; g.paused != on {
		g.paused = on
		g.finishEvent()
	}
}

// Dropped tells that a query was answered by its adapter, and nothing of it has run. Its
// client has not left, so nothing is learned of how long clients wait.
func (g *Scheduler) QueryDropped(now time.Duration, id string) {
	g.now = now
	if q := g.queries[id]; q != nil {
		g.end(q)
		g.releaseEnded(q)
		g.finishEvent()
	}
}

// Retell reads anew what of the settings may change while it runs: groups' value,
// target, timeout, stretch, late share and threads, and the teams with their shares.
// What waits stays where it is in its queue; what was not sent yet aims at the new
// target. Teams are known again by name; nobody's share holds for those that went.
func (g *Scheduler) UpdateSettings(now time.Duration, given map[string]string) {
	g.now = now
	old, f := g.settings, newFacts(given)
	g.settings = f
	for i, rg := range g.groups {
		x := newGroup(f, i)
		rg.priorityWeight, rg.lateValueShare, rg.objective, rg.timeout, rg.objectiveStretch, rg.threads = x.priorityWeight, x.lateValueShare, x.objective, x.timeout, x.objectiveStretch, x.threads
		g.retention = max(g.retention, rg.timeout+f.span("key.rest", 0))
	}
	at := func(i int) string { return "team." + strconv.Itoa(i) + "." }
	was := map[string]*tenant{}
	for i, t := range g.tenants {
		was[old.text[at(i)+"name"]] = t
		t.quota = math.Inf(1)
	}
	g.tenants = nil
	for i := range int(f.num("teams", 0)) {
		t := was[f.text[at(i)+"name"]]
		if t == nil {
			t = &tenant{}
		}
		if t.quota = f.num(at(i)+"quota", 0) / max(1, f.num("gateways", 1)); t.quota <= 0 {
			t.quota = math.Inf(1) // no share any more, and some of its queries wait
		}
		g.tenants = append(g.tenants, t)
	}
	var unsent []*query
	for _, q := range g.queries {
		if len(q.attempts) == 0 && !q.ended {
			unsent = append(unsent, q)
		}
	}
	slices.SortFunc(unsent, func(a, b *query) int { return cmp.Compare(a.seq, b.seq) })
	for _, q := range unsent {
		q.objectiveAt = q.arrivedAt + q.group.objective + seconds(q.group.objectiveStretch*g.estimatedSoloSeconds(q))
		g.atTime(q, q.objectiveAt, func() { g.objectivePassed(q) })
	}
}
