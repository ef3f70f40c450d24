package controller_test

import (
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/residency"
)

// If a rule forbids retaining data on this controller, results are answered in one piece and not cached. Data
// that was retained before the rule must not be served any more, even before it is invalidated.
func TestNothingIsRetainedWhereARuleForbidsIt(t *testing.T) {
	s := newRetainingWorld(t, &fleet.ServingState{}, func(m *controller.Config) {
		m.Settings["teams"], m.Settings["team.0.name"], m.Settings["team.0.quota"],
			m.Settings["own.location"] = "1", "linz", "1000", "0"
	})
	here, _, _ := strings.Cut(s.Controller.Settings["locations"], ",")
	open := func(version uint64, rules ...residency.Rule) {
		s.SendOrder(fleet.Order{Kind: fleet.ActivatePolicy, Version: version,
			Policy: &controller.Policy{Version: version, Rules: rules}})
	}
	s.SendOrder(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever, ConfinedLeaseEnd: fleet.Forever})
	open(1, residency.Rule{Name: "r", Tenant: "linz", EngineSites: []string{here}})
	c := s.client()
	page := func(token string) *client.Answer {
		ans := &client.Answer{Kind: -1}
		c.Page(token, 1, func(x client.Answer) { *ans = x }, "team", "linz")
		s.advance(time.Second)
		return ans
	}
	kept := s.sendAs(c, "linz", 3, "pages", "1")
	if s.advance(2*time.Second) && page(kept.Paging["token"]).Kind != client.Finished {
		t.Fatal("the result isn't retained before the rule")
	}
	s.sendAs(c, "linz", 4)
	s.advance(2 * time.Second)
	if s.sendAs(c, "linz", 4); s.advance(time.Second) && s.Controller.ResultCache().Counts.Hits != 1 {
		t.Fatalf("%+v", s.Controller.ResultCache().Counts)
	}
	open(2, residency.Rule{Name: "r", Tenant: "linz", Tables: []int64{3, 4}, EngineSites: []string{here},
		RetentionSites: []string{}})
	if ans := page(kept.Paging["token"]); ans.Kind != client.Killed {
		t.Fatalf("a page was served, or the call wasn't answered: kind %v", ans.Kind)
	}
	whole, again := s.sendAs(c, "linz", 3, "pages", "1"), s.sendAs(c, "linz", 4)
	s.advance(3 * time.Second)
	if whole.Answer != client.Finished || pageCount(whole) > 0 || len(whole.Rows) == 0 ||
		again.Answer != client.Finished {
		t.Fatalf("answered %v, paging %v, %v bytes; the next was answered %v", whole.Answer, whole.Paging,
			len(whole.Rows), again.Answer)
	}
	if n := s.Controller.ResultCache().Counts.Hits; n != 1 {
		t.Fatalf("%d queries answered from the cache, want 1", n)
	}
	if free := s.sendAs(c, "linz", 5, "pages", "1"); s.advance(2*time.Second) && pageCount(free) < 2 {
		t.Fatal("a result over tables that no rule binds isn't retained")
	}
}
