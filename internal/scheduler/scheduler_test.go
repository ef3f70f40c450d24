package scheduler

import (
	"maps"
	"slices"
	"testing"
)

func TestSchedulerSubscribesToPolledList(t *testing.T) {
	h := newHarness(t, 1, map[string]string{"list.how": "asked"})
	h.advance(300 * ms)
	if len(h.actions) != 1 || h.actions[0] != "subscribe" {
		t.Fatal(h.actions)
	}
	h.s.ListRefused(h.now)
	h.advance(2 * sec)
	if len(h.actions) < 2 {
		t.Fatal("did not ask again after a refusal")
	}
}

// Groups' limits and teams' shares are read anew; what waits stays, aims at the new
// target and counts to its team by name.
func TestUpdateSettingsKeepsQueuedQueries(t *testing.T) {
	facts := testSettings(map[string]string{"teams": "2", "team.0.name": "a", "team.0.quota": "4",
		"team.1.name": "b", "team.1.quota": "6"})
	s := New(&recordingActions{}, 7, facts)
	s.QueryArrived(ms, "q", 0, 1, 5*sec, 1, -1, 0, 0)
	q, b := s.queries["q"], s.tenants[1]
	next := maps.Clone(facts)
	maps.Copy(next, map[string]string{"teams": "1", "team.0.name": "b", "team.0.quota": "8",
		"group.0.target": "250", "group.0.stretch": "0",
		"group.0.value": "42", "group.0.effect": "mutating", "threads": "2,3,2"})
	s.UpdateSettings(2*ms, next)
	rg := s.groups[0]
	if rg.priorityWeight != 42 || rg.threads != 2 || rg.objective != 250*ms || rg.effect == "mutating" {
		t.Fatalf("%+v", rg)
	}
	if q.objectiveAt != q.arrivedAt+250*ms || !slices.Contains(rg.queue, q) {
		t.Fatal(q.objectiveAt)
	}
	if n := s.settings.ControllerCount; len(s.tenants) != 1 || q.tenant != b || s.tenantByIndex(0) != b ||
		b.quota != 8/n || b.recentArrivals == 0 {
		t.Fatalf("%+v", b)
	}
}
