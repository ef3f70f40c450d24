package scheduler

import (
	"maps"
	"slices"
	"testing"
)

func TestSchedulerRequestsListSentOnRequest(t *testing.T) {
	h := newHarness(t, 1, map[string]string{"list.how": "asked"})
	h.advance(300 * ms)
	if len(h.actions) != 1 || h.actions[0] != "subscribe" {
		t.Fatal(h.actions)
	}
	h.s.ListRefused(h.now)
	h.advance(2 * sec)
	if len(h.actions) < 2 {
		t.Fatal("list not requested again after a refusal")
	}
}

// New settings change the groups' limits and the tenants' quotas. Queued queries keep their place,
// get the new objective and count to their tenant by its name.
func TestUpdateSettingsKeepsQueuedQueries(t *testing.T) {
	given := testSettings(map[string]string{"teams": "2", "team.0.name": "a", "team.0.quota": "4",
		"team.1.name": "b", "team.1.quota": "6"})
	s := New(&recordingActions{}, 7, given)
	s.QueryArrived(ms, "q", 0, 1, 5*sec, 1, -1, 0, 0)
	q, b := s.queries["q"], s.tenants[1]
	next := maps.Clone(given)
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
