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

// What a rule forbids to keep here is answered whole and not cached, and what was kept
// before the rule is read no more, though it is not purged yet.
func TestNothingIsRetainedWhereARuleForbidsIt(t *testing.T) {
	s := keeps(t, &fleet.ServingState{}, func(m *controller.Config) {
		m.Settings["teams"], m.Settings["team.0.name"], m.Settings["team.0.quota"], m.Settings["own.location"] = "1", "linz", "1000", "0"
	})
	here, _, _ := strings.Cut(s.R.Settings["locations"], ",")
	open := func(version uint64, rules ...residency.Rule) {
		s.Order(fleet.Order{Kind: fleet.ActivatePolicy, Version: version, Policy: &controller.Policy{Version: version, Rules: rules}})
	}
	s.Order(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever, ConfinedLeaseEnd: fleet.Forever})
	open(1, residency.Rule{Name: "r", Team: "linz", Engines: []string{here}})
	c := s.client()
	page := func(token string) *client.Answer {
		ans := &client.Answer{Kind: -1}
		c.Page(token, 1, func(x client.Answer) { *ans = x }, "team", "linz")
		s.ran(time.Second)
		return ans
	}
	kept := s.of(c, "linz", 3, "pages", "1")
	if s.ran(2*time.Second) && page(kept.Paging["token"]).Kind != client.Finished {
		t.Fatal("it isn't kept to begin with")
	}
	s.of(c, "linz", 4)
	s.ran(2 * time.Second)
	if s.of(c, "linz", 4); s.ran(time.Second) && s.R.ResultCache().Counts.Hits != 1 {
		t.Fatalf("%+v", s.R.ResultCache().Counts)
	}
	open(2, residency.Rule{Name: "r", Team: "linz", Tables: []int64{3, 4}, Engines: []string{here}, Keep: []string{}})
	if ans := page(kept.Paging["token"]); ans.Kind != client.Killed {
		t.Fatalf("a page came, or nothing did: kind %v", ans.Kind)
	}
	whole, again := s.of(c, "linz", 3, "pages", "1"), s.of(c, "linz", 4)
	s.ran(3 * time.Second)
	if whole.Answer != client.Finished || pagesOf(whole) > 0 || len(whole.Rows) == 0 || again.Answer != client.Finished {
		t.Fatalf("%v %v of %v bytes, %v", whole.Answer, whole.Paging, len(whole.Rows), again.Answer)
	}
	if n := s.R.ResultCache().Counts.Hits; n != 1 {
		t.Fatalf("%d answered from the cache", n)
	}
	if free := s.of(c, "linz", 5, "pages", "1"); s.ran(2*time.Second) && pagesOf(free) < 2 {
		t.Fatal("tables that no rule binds are kept no more")
	}
}
