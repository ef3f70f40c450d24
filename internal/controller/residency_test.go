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

// newResidencyHarness returns a harness whose engines are at sites a, b and c in turn, and whose controller
// is at site. The field "who" of a call names its tenant.
func newResidencyHarness(t interface{ Fatalf(string, ...any) }, engines int, site string,
	more map[string]string) *harness {
	f := map[string]string{"locations": "a,b,c", "own.location": fmt.Sprint(strings.Index("abc", site)),
		"teams": "2", "team.0.name": "bank",
		"team.1.name": "shop", "team.0.quota": "1000", "team.1.quota": "1000"}
	maps.Copy(f, more)
	return newFleetHarness(t, engines, f, func(m *Config) { m.FieldNames.Customer = "who" })
}

func (h *harness) siteOf(e *engine) string {
	return h.controller.servingLease.residency.siteName(e.location)
}

// openRules opens a policy version with the given rules.
func (h *harness) openRules(version uint64, rules ...residency.Rule) {
	h.deliverOrder(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever, ConfinedLeaseEnd: fleet.Forever})
	h.deliverOrder(fleet.Order{Kind: fleet.ActivatePolicy, Version: version,
		Policy: &Policy{Version: version, Rules: rules}})
}

// fleetRequests returns the requests that the controller has made to the fleet.
func (h *harness) fleetRequests() (requests []*fleet.Request) {
	for _, p := range h.reports {
		if p.Kind == fleet.RequestMade {
			requests = append(requests, p.Request)
		}
	}
	return requests
}

func TestConfinedQueryStaysInItsSites(t *testing.T) {
	s := newResidencyHarness(t, 6, "a", nil)
	s.openRules(1, residency.Rule{Name: "only-b", Tenant: "bank", Tables: []int64{1}, EngineSites: []string{"b"},
		ControllerSites: []string{"a"}})
	c := s.connect()
	for i := range 6 {
		a := s.sendQuery(c, "lookup", "", 5*time.Second, 1, "who", "bank")
		if h := s.waitForCall("POST", a.id); h.engine.site != "b" {
			t.Fatalf("query %d was sent to site %s, want b", i, h.engine.site)
		}
	}
	if a := s.sendQuery(c, "lookup", "", 5*time.Second, 1, "who", "shop"); s.waitForCall("POST", a.id) == nil {
		t.Fatal("another tenant's query is held")
	}
	// without an engine at an allowed site the query is held until its deadline, and never sent elsewhere
	for _, m := range s.sortedEngines() {
		if m.site == "b" {
			s.deliverOrder(fleet.Order{Kind: fleet.ViewChanged, View: &fleet.View{}})
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
	s := newResidencyHarness(t, 3, "a", nil)
	s.openRules(1, residency.Rule{Name: "in-a", Tenant: "bank", Tables: []int64{1}, EngineSites: []string{"a"}},
		residency.Rule{Name: "in-b", Tenant: "bank", Tables: []int64{2}, EngineSites: []string{"b"}})
	s.deliverOrder(fleet.Order{Kind: fleet.ViewChanged,
		View: &fleet.View{Members: []fleet.Member{{Name: "x", Site: "b", ClientAddress: "10.9.9.9:6565"},
			{Name: "y", Site: "b", ClientAddress: "10.9.9.8:6565", Forgotten: true},
			{Name: "z", Site: "c", ClientAddress: "10.9.9.7:6565"}}}})
	c := s.connect()
	s.statement = "select * from d_1.x join d_2.y using (id)"
	both := s.sendQuery(c, "lookup", "", 5*time.Second, 0, "who", "bank")
	s.statement = ""
	other := s.sendQuery(c, "lookup", "", 5*time.Second, 2, "who", "bank")
	if both.answer != "killed" || !bytes.Contains(both.answerBytes, []byte("in-a and in-b")) {
		t.Fatalf("%q", both.answerBytes)
	}
	if other.answer != "deferred" || !bytes.Contains(other.answerBytes, []byte("10.9.9.9:6565")) ||
		bytes.Contains(other.answerBytes, []byte("10.9.9.8")) ||
		bytes.Contains(other.answerBytes, []byte("10.9.9.7")) {
		t.Fatalf("%q", other.answerBytes)
	}
	s.statement = "select * from orders"
	if a := s.sendQuery(c, "lookup", "", 5*time.Second, 0, "who", "bank"); a.answer != "killed" {
		t.Fatal("a query with unknown tables must conflict with both rules:", a.answer)
	}
}

// A load that reads bound tables binds the tables that it writes. The load must be sent only once the log
// has the binding, later loads with its key must wait behind it, and queries of the written tables must be
// confined from then on.
func TestLoadIsSentOnceItsBindingIsLogged(t *testing.T) {
	s := newResidencyHarness(t, 3, "a", nil)
	s.openRules(1, residency.Rule{Name: "r", Tenant: "bank", Tables: []int64{1}, EngineSites: []string{"a"},
		FollowsLoads: true})
	c := s.connect()
	s.statement = "insert into d_5.x select * from d_1.y"
	first := s.sendQuery(c, "load", "k", 9*time.Second, 0, "who", "bank")
	alike := s.sendQuery(c, "load", "j", 9*time.Second, 0, "who", "bank")
	s.statement = "insert into d_9.x values (1)"
	behind := s.sendQuery(c, "load", "k", 9*time.Second, 0, "who", "bank")
	s.runUntil(s.now + 300*time.Millisecond)
	requests := s.fleetRequests()
	if len(requests) != 1 || !slices.Equal(requests[0].Tables, []int64{5}) ||
		!slices.Equal(requests[0].SourceTables, []int64{1}) || requests[0].Kind != "bind" {
		t.Fatalf("%+v", requests)
	}
	if len(first.runs)+len(alike.runs)+len(behind.runs) > 0 {
		t.Fatal("sent before the record has it")
	}
	s.deliverOrder(fleet.Order{Kind: fleet.RequestAnswered, ID: requests[0].ID,
		Response: &fleet.Response{ID: requests[0].ID, Outcome: "unknown"}})
	s.runUntil(s.now + 200*time.Millisecond)
	if again := s.fleetRequests(); len(again) != 2 || again[1].ID != requests[0].ID || len(first.runs) > 0 {
		t.Fatalf("request not repeated with the same id: %+v", again)
	}
	s.deliverOrder(fleet.Order{Kind: fleet.RequestAnswered, ID: requests[0].ID,
		Response: &fleet.Response{ID: requests[0].ID, Outcome: "bound"}})
	s.respond(s.waitForCall("POST", first.id), "ok")
	s.waitForCall("POST", alike.id)
	s.waitForCall("POST", behind.id) // the harness checks the order within a key
	s.statement = ""
	if h := s.waitForCall("POST",
		s.sendQuery(c, "lookup", "", 9*time.Second, 5, "who", "bank").id); h.engine.site != "a" {
		t.Fatal("query of a bound table sent to site", h.engine.site)
	}
	// a load whose binding is never answered is deferred before its deadline
	s.statement = "insert into d_6.x select * from d_5.y"
	late := s.sendQuery(c, "load", "l", time.Second, 0, "who", "bank")
	s.runUntil(late.deadline)
	if late.answer != "deferred" || len(late.runs) > 0 {
		t.Fatal(late.answer)
	}
}

// If a new rule binds the tables that a running load reads, the tables that it writes must be bound as well.
func TestNewRuleBindsTablesOfARunningLoad(t *testing.T) {
	s := newResidencyHarness(t, 3, "a", nil)
	s.openRules(1)
	s.statement = "insert into d_5.x select * from d_1.y"
	a := s.sendQuery(s.connect(), "load", "k", 9*time.Second, 0, "who", "bank")
	s.respond(s.waitForCall("POST", a.id), "runs")
	s.openRules(2, residency.Rule{Name: "r", Tenant: "bank", Tables: []int64{1}, EngineSites: []string{"a", "b"},
		ControllerSites: []string{"a"}, FollowsLoads: true})
	if requests := s.fleetRequests(); len(requests) != 1 || !slices.Equal(requests[0].Tables, []int64{5}) ||
		len(a.runs) != 1 || a.answer != "" {
		t.Fatalf("%+v %q", requests, a.answer)
	}
}

func TestEmergencyAllowsMoreSitesAndIsListed(t *testing.T) {
	s := newResidencyHarness(t, 1, "a", map[string]string{"locations": "b,a", "own.location": "1"})
	s.openRules(1, residency.Rule{Name: "r", Tenant: "bank", EngineSites: []string{"a"},
		Emergency: residency.Emergency{Sites: []string{"b"}, After: time.Second}})
	a := s.sendQuery(s.connect(), "lookup", "", 5*time.Second, 1, "who", "bank")
	s.runUntil(s.now + 100*time.Millisecond)
	if len(a.runs) > 0 {
		t.Fatal("sent to another site before the emergency")
	}
	s.deliverOrder(fleet.Order{Kind: fleet.ViewChanged,
		View: &fleet.View{Emergencies: map[string]uint64{"r": 9}}})
	h := s.waitForCall("POST", a.id)
	if l, n := s.controller.EmergencyCrossings(); n != 1 ||
		l[0] != (residency.EmergencyCrossing{Query: a.id, Tenant: "bank", Rule: "r", Site: "b"}) {
		t.Fatal(l, n)
	}
	s.respond(h, "runs")
	s.runUntil(1050 * time.Millisecond) // sites are reported every second
	if p := s.lastSitesReport(); p.AttemptsOutside != 1 {
		t.Fatalf("%+v", p)
	}
}

func (h *harness) lastSitesReport() (last fleet.Report) {
	for _, p := range h.reports {
		if p.Kind == fleet.SitesServing {
			last = p
		}
	}
	return last
}

// Under random changes of engines and rules, no confined query may be sent to an engine that the rules in
// force at that time forbid.
func TestConfinedQueriesAreNeverSentOutside(t *testing.T) {
	sent := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newResidencyHarness(t, 6, "a", nil)
		drawRules := func() (rules []residency.Rule) {
			for i, tables := range [][]int64{{1}, {2}, nil} {
				if rapid.Bool().Draw(t, "rule") {
					engineSites := rapid.SampledFrom([][]string{{"a"}, {"b"}, {"a", "b"}, {"b", "c"}}).Draw(t, "engines")
					rules = append(rules, residency.Rule{Name: fmt.Sprint("r", i), Tenant: "bank", Tables: tables,
						ControllerSites: []string{"a"}, EngineSites: engineSites})
				}
			}
			return rules
		}
		current := drawRules()
		s.openRules(1, current...)
		seen := map[*fakeRun]bool{}
		checkSent := func() {
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
					c.SetRules(current)
					if v := c.Decide("bank", []int64{int64(x.query.messageID % 3)},
						true); !v.AllowsEngineSite(x.engine.site) {
						t.Fatalf("query %s sent to site %s by rules %+v", a.id, x.engine.site, current)
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
					a := s.sendQuery(c, rapid.SampledFrom([]string{"lookup", "report"}).Draw(t, "group"), "", 3*time.Second,
						(c.messageCount+1)%3, "who", who)
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
				s.deliverOrder(fleet.Order{Kind: fleet.FencePolicy, ChangeID: "c"})
				s.runUntil(s.now + rapid.SampledFrom([]time.Duration{0, 30 * time.Millisecond}).Draw(t, "switch"))
				checkSent()
				current = drawRules()
				s.openRules(version, current...)
			case 6:
				m := s.sortedEngines()[rapid.IntRange(0, 5).Draw(t, "engine")]
				if m.state = "DRAINING"; rapid.Bool().Draw(t, "back") {
					m.state = "SERVING"
				}
				s.listEngines(m.endpointJSON(0))
			}
			s.runUntil(s.now + rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond,
				400 * time.Millisecond}).Draw(t, "later"))
			checkSent()
		}
	})
	if sent < 1000 {
		t.Fatalf("only %d attempts of confined queries, want at least 1000", sent)
	}
}

// The report that a version is open must state how many attempts run outside the version's rules.
func TestAttemptsOutsideAreReportedWithTheVersion(t *testing.T) {
	s := newResidencyHarness(t, 3, "a", nil)
	s.openRules(1)
	a := s.sendQuery(s.connect(), "lookup", "", 9*time.Second, 1, "who", "bank")
	at := s.waitForCall("POST", a.id).engine.site
	within := slices.DeleteFunc([]string{"a", "b", "c"}, func(x string) bool { return x == at })
	s.openRules(2, residency.Rule{Name: "r", Tenant: "bank", EngineSites: within,
		ControllerSites: []string{"a"}})
	for _, p := range s.reports {
		if p.Kind == fleet.PolicyActivated && p.Version == 2 && p.AttemptsOutside != 1 {
			t.Errorf("%+v", p)
		}
	}
}

// The fleet's reply to a binding request must reach the waiting loads even if a client's call for an
// invalidation carries the same id.
func TestClientCannotConsumeABindingsReply(t *testing.T) {
	s := newResidencyHarness(t, 3, "a", nil)
	s.openRules(1, residency.Rule{Name: "r", Tenant: "bank", Tables: []int64{1}, EngineSites: []string{"a"},
		FollowsLoads: true})
	s.controller.invalidation = newInvalidation(s.controller)
	s.controller.servingLease.invalidator = s.controller.invalidation
	c := s.connect()
	s.statement = "insert into d_5.x select * from d_1.y"
	a := s.sendQuery(c, "load", "k", 9*time.Second, 0, "who", "bank")
	s.runUntil(s.now + 10*time.Millisecond)
	id := s.fleetRequests()[0].ID
	x := &invalidationCall{client: s.controller.clients[0], id: id, answerBy: s.now + time.Minute}
	s.controller.invalidation.pendingCalls[id] = []*invalidationCall{x}
	s.deliverOrder(fleet.Order{Kind: fleet.RequestAnswered, ID: id,
		Response: &fleet.Response{ID: id, Outcome: "bound"}})
	s.waitForCall("POST", a.id)
}
