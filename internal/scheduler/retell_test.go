package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
)

// While it is held nothing goes, and all goes in its order afterwards.
func TestHeldLetsNothingGo(t *testing.T) {
	a := &quiet{}
	g := New(a, 7, plainFacts(map[string]string{"report.how": "off", "may.probe": ""}))
	g.ListStarted(0, true)
	g.EngineListed("e0", 0, 0, 0, EngineActive, 0, false)
	g.ListEnded()
	g.SetPaused(ms, true)
	for i := range 3 {
		g.QueryArrived(ms, fmt.Sprint("q", i), 0, -1, 5*sec, 1, -1, 0, 0)
	}
	g.TimerFired(50*ms, tickTag)
	if len(a.sent) > 0 {
		t.Fatal(a.sent)
	}
	g.QueryDropped(60*ms, "q1")
	if rg := g.groups[0]; rg.abandonRate.count > 0 {
		t.Fatal("it passes for one whose client left")
	}
	g.SetPaused(70*ms, false)
	if !slices.Equal(a.sent, []string{"q0", "q2"}) || len(g.queries) != 2 {
		t.Fatal(a.sent, len(g.queries))
	}
}

// Groups' limits and teams' shares are read anew; what waits stays, aims at the new
// target and counts to its team by name.
func TestRetoldKeepsWhatWaits(t *testing.T) {
	facts := plainFacts(map[string]string{"teams": "2", "team.0.name": "a", "team.0.quota": "4", "team.1.name": "b", "team.1.quota": "6"})
	g := New(&quiet{}, 7, facts)
	g.QueryArrived(ms, "q", 0, 1, 5*sec, 1, -1, 0, 0)
	q, b := g.queries["q"], g.tenants[1]
	next := maps.Clone(facts)
	maps.Copy(next, map[string]string{"teams": "1", "team.0.name": "b", "team.0.quota": "8", "group.0.target": "250", "group.0.stretch": "0",
		"group.0.value": "42", "group.0.effect": "mutating", "threads": "2,3,2"})
	g.UpdateSettings(2*ms, next)
	rg := g.groups[0]
	if rg.priorityWeight != 42 || rg.threads != 2 || rg.objective != 250*ms || rg.effect == "mutating" {
		t.Fatalf("%+v", rg)
	}
	if q.objectiveAt != q.arrivedAt+250*ms || !slices.Contains(rg.queue, q) {
		t.Fatal(q.objectiveAt)
	}
	if n := g.settings.ControllerCount; len(g.tenants) != 1 || q.tenant != b || g.tenant(0) != b || b.quota != 8/n || b.recentArrivals == 0 {
		t.Fatalf("%+v", b)
	}
}
