package controller

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/residency"
)

// placedStage has engines at sites a, b and c in turn and itself stands at one; a call's
// field who names its team.
func placedStage(t interface{ Fatalf(string, ...any) }, engines int, site string, more map[string]string) *harness {
	f := map[string]string{"locations": "a,b,c", "own.location": fmt.Sprint(strings.Index("abc", site)), "teams": "2", "team.0.name": "bank",
		"team.1.name": "shop", "team.0.quota": "1000", "team.1.quota": "1000"}
	maps.Copy(f, more)
	return withPeers(t, engines, f, func(m *Config) { m.FieldNames.Customer = "who" })
}

func (s *harness) siteOf(e *engine) string {
	return s.controller.servingLease.residency.siteName(e.location)
}

// rules opens a version with rules.
func (s *harness) rules(version uint64, rules ...residency.Rule) {
	s.order(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever, ConfinedLeaseEnd: fleet.Forever})
	s.order(fleet.Order{Kind: fleet.ActivatePolicy, Version: version, Policy: &Policy{Version: version, Rules: rules}})
}

func (s *harness) wanted() (l []*fleet.Request) {
	for _, p := range s.reports {
		if p.Kind == fleet.RequestMade {
			l = append(l, p.Request)
		}
	}
	return l
}

func TestConfinedQueryStaysInItsSites(t *testing.T) {
	s := placedStage(t, 6, "a", nil)
	s.rules(1, residency.Rule{Name: "only-b", Team: "bank", Tables: []int64{1}, Engines: []string{"b"}, Controllers: []string{"a"}})
	c := s.connect()
	for i := range 6 {
		a := s.sendQuery(c, "lookup", "", 5*time.Second, 1, "who", "bank")
		if h := s.waitForCall("POST", a.id); h.engine.site != "b" {
			t.Fatalf("%d went to %s", i, h.engine.site)
		}
	}
	if a := s.sendQuery(c, "lookup", "", 5*time.Second, 1, "who", "shop"); s.waitForCall("POST", a.id) == nil {
		t.Fatal("another team's is held")
	}
	// none inside: held while there is time, and never across
	for _, m := range s.sortedEngines() {
		if m.site == "b" {
			s.order(fleet.Order{Kind: fleet.ViewChanged, View: &fleet.View{}})
			m.state = "DRAINING"
			s.listEngines(m.endpointJSON(0))
		}
	}
	a := s.sendQuery(c, "lookup", "", time.Second, 1, "who", "bank")
	s.runUntil(a.deadline)
	if a.answer != "deferred" || len(a.runs) > 0 {
		t.Fatal(a.answer, len(a.runs))
	}
}

func TestConflictingQueryIsKilledAndForeignQueryRedirected(t *testing.T) {
	s := placedStage(t, 3, "a", nil)
	s.rules(1, residency.Rule{Name: "in-a", Team: "bank", Tables: []int64{1}, Engines: []string{"a"}},
		residency.Rule{Name: "in-b", Team: "bank", Tables: []int64{2}, Engines: []string{"b"}})
	s.order(fleet.Order{Kind: fleet.ViewChanged, View: &fleet.View{Members: []fleet.Member{{Name: "x", Site: "b", ClientAddress: "10.9.9.9:6565"},
		{Name: "y", Site: "b", ClientAddress: "10.9.9.8:6565", Forgotten: true}, {Name: "z", Site: "c", ClientAddress: "10.9.9.7:6565"}}}})
	c := s.connect()
	s.statement = "select * from d_1.x join d_2.y using (id)"
	both := s.sendQuery(c, "lookup", "", 5*time.Second, 0, "who", "bank")
	s.statement = ""
	other := s.sendQuery(c, "lookup", "", 5*time.Second, 2, "who", "bank")
	if both.answer != "killed" || !bytes.Contains(both.answerBytes, []byte("in-a and in-b")) {
		t.Fatalf("%q", both.answerBytes)
	}
	if other.answer != "deferred" || !bytes.Contains(other.answerBytes, []byte("10.9.9.9:6565")) || bytes.Contains(other.answerBytes, []byte("10.9.9.8")) ||
		bytes.Contains(other.answerBytes, []byte("10.9.9.7")) {
		t.Fatalf("%q", other.answerBytes)
	}
	s.statement = "select * from orders"
	if a := s.sendQuery(c, "lookup", "", 5*time.Second, 0, "who", "bank"); a.answer != "killed" {
		t.Fatal("what can't be told touches both", a.answer)
	}
}

// A load that takes bound tables into others is sent once the record has it, others of
// its key stay behind it, and then the tables are bound.
func TestLoadIsSentOnceItsBindingIsLogged(t *testing.T) {
	s := placedStage(t, 3, "a", nil)
	s.rules(1, residency.Rule{Name: "r", Team: "bank", Tables: []int64{1}, Engines: []string{"a"}, Follows: true})
	c := s.connect()
	s.statement = "insert into d_5.x select * from d_1.y"
	first := s.sendQuery(c, "load", "k", 9*time.Second, 0, "who", "bank")
	alike := s.sendQuery(c, "load", "j", 9*time.Second, 0, "who", "bank")
	s.statement = "insert into d_9.x values (1)"
	behind := s.sendQuery(c, "load", "k", 9*time.Second, 0, "who", "bank")
	s.runUntil(s.now + 300*time.Millisecond)
	asks := s.wanted()
	if len(asks) != 1 || !slices.Equal(asks[0].Tables, []int64{5}) || !slices.Equal(asks[0].SourceTables, []int64{1}) || asks[0].Kind != "bind" {
		t.Fatalf("%+v", asks)
	}
	if len(first.runs)+len(alike.runs)+len(behind.runs) > 0 {
		t.Fatal("sent before the record has it")
	}
	s.order(fleet.Order{Kind: fleet.RequestAnswered, ID: asks[0].ID, Response: &fleet.Response{ID: asks[0].ID, Outcome: "unknown"}})
	s.runUntil(s.now + 200*time.Millisecond)
	if again := s.wanted(); len(again) != 2 || again[1].ID != asks[0].ID || len(first.runs) > 0 {
		t.Fatalf("asked again by its id: %+v", again)
	}
	s.order(fleet.Order{Kind: fleet.RequestAnswered, ID: asks[0].ID, Response: &fleet.Response{ID: asks[0].ID, Outcome: "bound"}})
	s.respond(s.waitForCall("POST", first.id), "ok")
	s.waitForCall("POST", alike.id)
	s.waitForCall("POST", behind.id) // posted checks the key's order
	s.statement = ""
	if h := s.waitForCall("POST", s.sendQuery(c, "lookup", "", 9*time.Second, 5, "who", "bank").id); h.engine.site != "a" {
		t.Fatal("bound, and at", h.engine.site)
	}
	// who never hears of it is deferred in time, and may come again
	s.statement = "insert into d_6.x select * from d_5.y"
	late := s.sendQuery(c, "load", "l", time.Second, 0, "who", "bank")
	s.runUntil(late.deadline)
	if late.answer != "deferred" || len(late.runs) > 0 {
		t.Fatal(late.answer)
	}
}

// A load that runs when a rule comes to follow what it takes along is recorded too.
func TestNewRuleBindsTablesOfARunningLoad(t *testing.T) {
	s := placedStage(t, 3, "a", nil)
	s.rules(1)
	s.statement = "insert into d_5.x select * from d_1.y"
	a := s.sendQuery(s.connect(), "load", "k", 9*time.Second, 0, "who", "bank")
	s.respond(s.waitForCall("POST", a.id), "runs")
	s.rules(2, residency.Rule{Name: "r", Team: "bank", Tables: []int64{1}, Engines: []string{"a", "b"}, Controllers: []string{"a"}, Follows: true})
	if asks := s.wanted(); len(asks) != 1 || !slices.Equal(asks[0].Tables, []int64{5}) || len(a.runs) != 1 || a.answer != "" {
		t.Fatalf("%+v %q", asks, a.answer)
	}
}

func TestEmergencyAllowsMoreSitesAndIsListed(t *testing.T) {
	s := placedStage(t, 1, "a", map[string]string{"locations": "b,a", "own.location": "1"})
	s.rules(1, residency.Rule{Name: "r", Team: "bank", Engines: []string{"a"}, Emergency: residency.Emergency{Sites: []string{"b"}, After: time.Second}})
	a := s.sendQuery(s.connect(), "lookup", "", 5*time.Second, 1, "who", "bank")
	s.runUntil(s.now + 100*time.Millisecond)
	if len(a.runs) > 0 {
		t.Fatal("across")
	}
	s.order(fleet.Order{Kind: fleet.ViewChanged, View: &fleet.View{Emergencies: map[string]uint64{"r": 9}}})
	h := s.waitForCall("POST", a.id)
	if l, n := s.controller.EmergencyCrossings(); n != 1 || l[0] != (residency.EmergencyCrossing{Query: a.id, Team: "bank", Rule: "r", Site: "b"}) {
		t.Fatal(l, n)
	}
	s.respond(h, "runs")
	s.runUntil(1050 * time.Millisecond) // sites are told each second
	if p := s.lastSites(); p.AttemptsOutside != 1 {
		t.Fatalf("%+v", p)
	}
}

func (s *harness) lastSites() (last fleet.Report) {
	for _, p := range s.reports {
		if p.Kind == fleet.SitesServing {
			last = p
		}
	}
	return last
}

// Whatever engines and rules do, no bound query is at an engine where the rules, as they
// were when it was let go, forbid it.
func TestConfinedQueriesAreNeverSentOutside(t *testing.T) {
	sent := 0
	rapid.Check(t, func(t *rapid.T) {
		s := placedStage(t, 6, "a", nil)
		draws := func() (l []residency.Rule) {
			for i, tables := range [][]int64{{1}, {2}, nil} {
				if rapid.Bool().Draw(t, "rule") {
					l = append(l, residency.Rule{Name: fmt.Sprint("r", i), Team: "bank", Tables: tables, Controllers: []string{"a"},
						Engines: rapid.SampledFrom([][]string{{"a"}, {"b"}, {"a", "b"}, {"b", "c"}}).Draw(t, "engines")})
				}
			}
			return l
		}
		now := draws()
		s.rules(1, now...)
		seen := map[*fakeRun]bool{}
		look := func() {
			for _, a := range s.queries {
				for _, x := range a.runs {
					if seen[x] {
						continue
					}
					if seen[x] = true; a.key == "shop" {
						continue
					}
					sent++
					c := residency.New("a")
					c.SetRules(now)
					if v := c.Decide("bank", []int64{int64(x.query.messageID % 3)}, true); !v.AllowsEngineSite(x.engine.site) {
						t.Fatalf("%s at %s by %+v", a.id, x.engine.site, now)
					}
				}
			}
		}
		c := s.connect()
		for n, version := 0, uint64(1); n < 25; n++ {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2, 3:
				who := rapid.SampledFrom([]string{"bank", "shop"}).Draw(t, "who")
				if c.messageCount < 100 {
					a := s.sendQuery(c, rapid.SampledFrom([]string{"lookup", "report"}).Draw(t, "group"), "", 3*time.Second, (c.messageCount+1)%3, "who", who)
					a.key = who
				}
			case 4:
				for _, h := range s.pendingCalls {
					if h.run != nil && h.method == "GET" {
						s.respond(h, rapid.SampledFrom([]string{"ok", "lost"}).Draw(t, "how"))
						break
					}
				}
			case 5:
				version++
				s.order(fleet.Order{Kind: fleet.FencePolicy, ChangeID: "c"})
				s.runUntil(s.now + rapid.SampledFrom([]time.Duration{0, 30 * time.Millisecond}).Draw(t, "switch"))
				look()
				now = draws()
				s.rules(version, now...)
			case 6:
				m := s.sortedEngines()[rapid.IntRange(0, 5).Draw(t, "engine")]
				if m.state = "DRAINING"; rapid.Bool().Draw(t, "back") {
					m.state = "SERVING"
				}
				s.listEngines(m.endpointJSON(0))
			}
			s.runUntil(s.now + rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "later"))
			look()
		}
	})
	if sent < 1000 {
		t.Fatalf("only %d bound submissions: nothing was tried", sent)
	}
}

// With the word that it decides by a tighter rule goes how much runs outside of that.
func TestAttemptsOutsideAreReportedWithTheVersion(t *testing.T) {
	s := placedStage(t, 3, "a", nil)
	s.rules(1)
	a := s.sendQuery(s.connect(), "lookup", "", 9*time.Second, 1, "who", "bank")
	at := s.waitForCall("POST", a.id).engine.site
	within := slices.DeleteFunc([]string{"a", "b", "c"}, func(x string) bool { return x == at })
	s.rules(2, residency.Rule{Name: "r", Team: "bank", Engines: within, Controllers: []string{"a"}})
	for _, p := range s.reports {
		if p.Kind == fleet.PolicyActivated && p.Version == 2 && p.AttemptsOutside != 1 {
			t.Errorf("%+v", p)
		}
	}
}

// The answer to a binding reaches the loads that wait for it, also where a client asks for
// a purge by the same id.
func TestClientCannotConsumeABindingsReply(t *testing.T) {
	s := placedStage(t, 3, "a", nil)
	s.rules(1, residency.Rule{Name: "r", Team: "bank", Tables: []int64{1}, Engines: []string{"a"}, Follows: true})
	s.controller.invalidation = newInvalidation(s.controller)
	s.controller.servingLease.invalidator = s.controller.invalidation
	c := s.connect()
	s.statement = "insert into d_5.x select * from d_1.y"
	a := s.sendQuery(c, "load", "k", 9*time.Second, 0, "who", "bank")
	s.runUntil(s.now + 10*time.Millisecond)
	id := s.wanted()[0].ID
	x := &invalidationCall{client: s.controller.clients[0], id: id, answerBy: s.now + time.Minute}
	s.controller.invalidation.callers[id] = []*invalidationCall{x}
	s.order(fleet.Order{Kind: fleet.RequestAnswered, ID: id, Response: &fleet.Response{ID: id, Outcome: "bound"}})
	s.waitForCall("POST", a.id)
}
