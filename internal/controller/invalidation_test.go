package controller_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/disk"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/world"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/residency"
	"railrelay.dev/railrelay/internal/resultcache"
)

// newRetainingWorld returns a world whose controller retains results and answers. The controller has peers if
// state isn't nil.
func newRetainingWorld(t *testing.T, state *fleet.ServingState,
	change ...func(*controller.Config)) *spoolWorld {
	d := disk.New()
	return newRetainingWorldOn(t, d, disk.NewIndex(d), state, change...)
}

// newRetainingWorldOn is newRetainingWorld with a given disk and index.
func newRetainingWorldOn(t *testing.T, d *disk.Disk, x *disk.Index, state *fleet.ServingState,
	change ...func(*controller.Config)) *spoolWorld {
	small := testLimits()
	small.MaxMemoryBytes = 200 << 10
	return newSpoolWorld(t, d, x, small, nil, func(m *controller.Config) {
		l := resultcache.DefaultLimits()
		m.CacheLimits = &l
		m.FieldNames.Customer = "team" // names the data's owner; trusted from any address
		if state != nil {
			m.Fleet = &controller.FleetConfig{ServingState: state}
		}
		for _, do := range change {
			do(m)
		}
	})
}

// sendAs sends a query of a tenant over a table group.
func (s *spoolWorld) sendAs(c *world.Client, tenant string, tables int64, more ...string) *world.Query {
	s.serial++
	return c.Submit(fmt.Sprintf("%016x", s.serial), "report", "", 12*time.Second,
		engine.Work{Threads: 1, CPU: 200 * time.Millisecond, MemoryMB: 10, Rows: 3000, TableGroup: tables},
		append(more, "team", tenant)...)
}

// purge calls for an invalidation. The returned answer is filled in when it arrives.
func (s *spoolWorld) purge(c *world.Client, fields ...string) *client.Answer {
	a := &client.Answer{Msg: 0}
	c.Purge(func(ans client.Answer) { *a = ans }, fields...)
	return a
}

// firstRow returns the first row of a query's result, by which the result is found on disk.
func firstRow(a *world.Query) []byte { return []byte(engine.Row(a.ID, 0)) }

// From the start of an invalidation the tenant's tokens must be invalid, and a page that is being read
// from disk must not be served. "purged" may be answered only once no byte is on disk. Results of other
// tenants and over other tables must stay.
func TestInvalidationWithoutPeers(t *testing.T) {
	s := newRetainingWorld(t, nil)
	c := s.client()
	theirs, other, elsewhere := s.sendAs(c, "linz", 3, "pages", "1"), s.sendAs(c, "steyr", 3, "pages", "1"),
		s.sendAs(c, "linz", 4, "pages", "1")
	s.RunUntil(2 * time.Second)
	for i := range 30 { // so that results move from memory to disk
		s.sendAs(c, "steyr", int64(10+i), "pages", "1")
	}
	s.RunUntil(6 * time.Second)
	if len(s.disk.FilesContaining(firstRow(theirs))) == 0 || pageCount(theirs) < 3 {
		t.Fatal("the result isn't on disk")
	}
	page := func(a *world.Query, n int) *client.Answer {
		ans := &client.Answer{Kind: -1}
		c.Page(a.Paging["token"], n, func(x client.Answer) { *ans = x }, "team", a.Tenant)
		return ans
	}
	s.DiskLatency = 20 * time.Millisecond
	during := page(theirs, 2)
	s.RunUntil(s.Now + time.Millisecond) // the page is being read from disk
	if during.Kind != -1 {
		t.Fatal("the page was in memory")
	}
	done := s.purge(c, "patience", "5000", "tables", "3", "team", "linz")
	s.RunUntil(s.Now + time.Millisecond)
	late := page(theirs, 1)
	s.RunUntil(s.Now + time.Second)
	if during.Kind != client.Killed || late.Kind != client.Killed || during.Reason != late.Reason {
		t.Fatalf("pages answered after the invalidation: %+v %+v", during, late)
	}
	if n := done.Fields; n["state"] != "purged" || n["results"] != "1" || n["id"] == "" {
		t.Fatalf("answer of the invalidation: %+v", done)
	}
	if l := s.disk.FilesContaining(firstRow(theirs)); len(l) > 0 {
		t.Fatal("answered purged, but the result is still in ", l)
	}
	for _, a := range []*world.Query{other, elsewhere} {
		if ans := page(a, 1); s.advance(time.Second) && ans.Kind != client.Finished {
			t.Fatalf("another result was invalidated as well: %+v", ans)
		}
	}
	again := s.purge(c, "patience", "100", "id", done.Fields["id"], "team", "linz")
	foreign := s.purge(c, "patience", "100", "id", done.Fields["id"], "team", "steyr")
	s.RunUntil(s.Now + time.Second)
	if again.Fields["state"] != "purged" || again.Fields["bytes"] != done.Fields["bytes"] ||
		foreign.Kind != client.Killed {
		t.Fatalf("state for the same team: %+v, for another team: %+v", again, foreign)
	}
}

// advance lets time pass. It returns true, so that a condition can begin with it.
func (s *spoolWorld) advance(d time.Duration) bool {
	s.RunUntil(s.Now + d)
	return true
}

// A result that is being spooled when an invalidation arrives must be dropped. Its query must be deferred,
// and be able to succeed when it is repeated.
func TestInvalidationWhileResultIsSpooled(t *testing.T) {
	s := newRetainingWorld(t, nil)
	c := s.client()
	a := s.sendAs(c, "linz", 3, "pages", "1")
	s.RunUntil(100 * time.Millisecond)
	done := s.purge(c, "patience", "5000", "team", "linz")
	s.RunUntil(3 * time.Second)
	if a.Answer != client.Deferred || !a.Answered || done.Fields["state"] != "purged" {
		t.Fatalf("%v, %+v", a.Answer, done)
	}
	if held, _, _ := s.Controller.SpoolUsage(); held != 0 || s.keeper.LiveBytes() != 0 {
		t.Fatal("the result is retained")
	}
	if b := s.sendAs(c, "linz", 3, "pages", "1"); s.advance(3*time.Second) && pageCount(b) < 2 {
		t.Fatal("the result of the repeated query isn't retained")
	}
}

// With peers the controller must pass a client's call on to the fleet and answer it with the fleet's
// reply, and invalidate only on an order, reporting DataTombstoned and then DataErased.
func TestInvalidationInAFleet(t *testing.T) {
	state := &fleet.ServingState{}
	s := newRetainingWorld(t, state)
	c := s.client()
	s.SendOrder(fleet.Order{Kind: fleet.ActivatePolicy, Version: 1})
	s.SendOrder(fleet.Order{
		Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever, ConfinedLeaseEnd: 4 * time.Second,
	})
	a := s.sendAs(c, "linz", 3, "pages", "1")
	whole := s.sendAs(c, "linz", 3)
	s.RunUntil(3 * time.Second)
	if pageCount(a) < 2 || len(whole.Rows) == 0 {
		t.Fatal("nothing is retained")
	}
	s.SendOrder(fleet.Order{Kind: fleet.ViewChanged, View: &fleet.View{Index: 7}})
	later := s.sendAs(c, "linz", 3, "pages", "1")
	s.RunUntil(3900 * time.Millisecond)
	answers := []*client.Answer{s.purge(c, "patience", "1000", "team", "linz"),
		s.purge(c, "patience", "9000", "id", "p1", "team", "linz")}
	s.RunUntil(4100 * time.Millisecond) // the lease of confined tenants has ended
	barred, cached := &client.Answer{}, s.sendAs(c, "linz", 3)
	c.Page(a.Paging["token"], 1, func(ans client.Answer) { *barred = ans }, "team", "linz")
	s.RunUntil(4200 * time.Millisecond)
	if barred.Kind != client.Deferred || cached.Answered && cached.Answer == client.Finished &&
		bytes.Equal(cached.Rows, whole.Rows) {
		t.Fatalf("retained data served without a lease: %+v", barred)
	}
	s.Reports = slices.DeleteFunc(s.Reports, func(p fleet.Report) bool {
		return p.Kind == fleet.SitesServing || p.Kind == fleet.PolicyActivated
	})
	if len(s.Reports) != 2 || s.Reports[0].Request.Kind != "purge" ||
		s.Reports[0].Request.Scope.Tenant != "linz" || s.Reports[1].Request.Kind != "status" ||
		s.Reports[1].Request.ID != "p1" || s.Reports[1].Request.Tenant != "linz" {
		t.Fatalf("requests to the fleet: %+v", s.Reports)
	}
	first := s.Reports[0].Request.ID
	s.SendOrder(fleet.Order{Kind: fleet.InvalidateData, ID: first, Index: 7,
		Scope: &fleet.Scope{Tenant: "linz"}})
	s.RunUntil(4800 * time.Millisecond)
	reports := slices.DeleteFunc(s.Reports[2:], func(p fleet.Report) bool {
		return p.Kind == fleet.SitesServing
	})
	if len(reports) != 2 || reports[0].Kind != fleet.DataTombstoned || reports[1].Kind != fleet.DataErased ||
		reports[0].ID != first || reports[1].Counts.Results != 1 || reports[1].Counts.Answers != 1 {
		t.Fatalf("reported %+v", reports)
	}
	s.RunUntil(4880 * time.Millisecond)
	s.SendOrder(fleet.Order{Kind: fleet.RequestAnswered, ID: first,
		Response: &fleet.Response{ID: first, Outcome: "unknown", Stage: fleet.EntryTombstone,
			Outstanding: []string{"b", "c"}}})
	s.SendOrder(fleet.Order{Kind: fleet.RequestAnswered, ID: "p1",
		Response: &fleet.Response{ID: "p1", Outcome: "purged", Counts: &fleet.InvalidationCounts{Results: 4}}})
	s.RunUntil(5 * time.Second)
	if n := answers[0].Fields; n["state"] != "not yet" || n["outstanding"] != "b,c" || n["id"] != first {
		t.Errorf("answer at the deadline: %+v", answers[0])
	}
	if n := answers[1].Fields; n["state"] != "purged" || n["results"] != "4" {
		t.Errorf("answer to a call by id: %+v", answers[1])
	}
	n := len(s.Reports)
	lost := s.purge(c, "patience", "100", "team", "linz") // without a majority: the request must be repeated
	s.RunUntil(s.Now + 80*time.Millisecond)
	s.SendOrder(fleet.Order{Kind: fleet.RequestAnswered, ID: s.Reports[n].Request.ID,
		Response: &fleet.Response{Outcome: "unknown"}})
	s.RunUntil(s.Now + 10*time.Millisecond)
	if len(s.Reports) < n+2 || s.Reports[n+1].Request == nil ||
		s.Reports[n+1].Request.ID != s.Reports[n].Request.ID || lost.Fields["stage"] != "not recorded" {
		t.Errorf("invalidation that isn't logged: %+v, %+v", lost, s.Reports[n:])
	}
	silent := s.purge(c, "patience", "300", "team", "linz") // the fleet doesn't answer
	s.SendOrder(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever, ConfinedLeaseEnd: fleet.Forever})
	gone, stays := &client.Answer{}, &client.Answer{}
	c.Page(a.Paging["token"], 1, func(ans client.Answer) { *gone = ans }, "team", "linz")
	c.Page(later.Paging["token"], 1, func(ans client.Answer) { *stays = ans }, "team", "linz")
	s.RunUntil(6 * time.Second)
	if gone.Kind != client.Killed || stays.Kind != client.Finished {
		t.Errorf("page of a result from before the invalidation: %+v, from after: %+v", gone, stays)
	}
	if silent.Fields["state"] != "not yet" {
		t.Errorf("without a reply of the fleet: %+v", silent)
	}
}

// Pages of a result must not be served while a rule forbids retaining it on this controller, and must be
// served again once the rule is gone.
func TestPagesObeyResidencyRules(t *testing.T) {
	s := newRetainingWorld(t, &fleet.ServingState{})
	c := s.client()
	s.SendOrder(fleet.Order{Kind: fleet.ActivatePolicy, Version: 1})
	s.SendOrder(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever, ConfinedLeaseEnd: fleet.Forever})
	a := s.sendAs(c, "linz", 3, "pages", "1")
	s.RunUntil(3 * time.Second)
	for i, want := range []client.Kind{client.Finished, client.Killed, client.Finished} {
		var rules []residency.Rule
		if i == 1 { // the controller has no site, so it isn't at an allowed one
			rules = []residency.Rule{{Name: "inside", Tenant: "linz", Tables: []int64{3},
				EngineSites: []string{"here"}, ControllerSites: []string{"here"}, RetentionSites: []string{"here"}}}
		}
		s.SendOrder(fleet.Order{Kind: fleet.ActivatePolicy, Version: uint64(i + 2),
			Policy: &controller.Policy{Version: uint64(i + 2), Rules: rules}})
		got := client.Kind(-1)
		c.Page(a.Paging["token"], 1, func(ans client.Answer) { got = ans.Kind }, "team", "linz")
		s.RunUntil(s.Now + time.Second)
		if got != want {
			t.Errorf("with rules %v: answered %v", rules, got)
		}
	}
}

// Equal concurrent queries must share one run, and later ones must be answered from the cache while the
// answer is fresh. After a load of its tables or an invalidation, the next query must run on an engine
// again.
func TestConcurrentEqualQueriesShareOneRun(t *testing.T) {
	s := newRetainingWorld(t, nil)
	c := s.client()
	runs := func() int { return len(s.finished) }
	sendEqual := func(n int, tenant string, tables int64) (queries []*world.Query) {
		for range n {
			queries = append(queries, s.sendAs(c, tenant, tables))
		}
		s.RunUntil(s.Now + 2*time.Second)
		for _, a := range queries {
			if !a.Answered || a.Answer != client.Finished || !bytes.Equal(a.Rows, queries[0].Rows) {
				t.Fatalf("one of %d equal queries: answered %v, %v", n, a.Answered, a.Answer)
			}
		}
		return queries
	}
	first := sendEqual(20, "linz", 3)
	if runs() != 1 {
		t.Fatalf("%d runs for 20 equal concurrent queries", runs())
	}
	if again := sendEqual(5, "linz", 3); runs() != 1 || !bytes.Equal(again[0].Rows, first[0].Rows) {
		t.Fatal("the answer isn't cached, runs: ", runs())
	}
	if other := sendEqual(1, "steyr", 3); runs() != 2 || bytes.Equal(other[0].Rows, first[0].Rows) {
		t.Fatal("answer of another team served, runs: ", runs())
	}
	s.serial++
	load := c.Submit(fmt.Sprintf("%016x", s.serial), "load", "k", 12*time.Second,
		engine.Work{Threads: 1, CPU: 10 * time.Millisecond, Rows: 1, TableGroup: 3, Load: true}, "team", "steyr")
	s.RunUntil(s.Now + 2*time.Second)
	if n := runs(); load.Answer != client.Finished || n != 3 {
		t.Fatal("the load didn't run: ", load.Answer, n)
	}
	if after := sendEqual(2, "linz", 3); runs() != 4 || bytes.Equal(after[0].Rows, first[0].Rows) {
		t.Fatal("answer from before a load served, runs: ", runs())
	}
	done := s.purge(c, "patience", "1000", "team", "linz")
	if sendEqual(1, "linz", 3); runs() != 5 || done.Fields["answers"] != "1" {
		t.Fatalf("answer from before an invalidation served: %d runs, %+v", runs(), done)
	}
	// when the leader's client leaves, a follower becomes the leader
	equal := []*world.Query{s.sendAs(c, "linz", 8), s.sendAs(c, "linz", 8), s.sendAs(c, "linz", 8)}
	s.RunUntil(s.Now + 50*time.Millisecond)
	c.Cancel(equal[0])
	s.RunUntil(s.Now + 2*time.Second)
	if equal[1].Answer != client.Finished || !bytes.Equal(equal[1].Rows, world.ExpectedRows(equal[1])) ||
		!bytes.Equal(equal[2].Rows, equal[1].Rows) {
		t.Fatal("no follower became the leader")
	}
	if line := s.Controller.ResultCache().CountersText(); !strings.Contains(line, "hits 5 followed 22") {
		t.Error(line)
	}
}

// A result that was retained after one invalidation must be removed by the next, even with a restart between.
func TestInvalidationWithoutPeersAfterARestart(t *testing.T) {
	s := newRetainingWorld(t, nil)
	c := s.client()
	first := s.purge(c, "patience", "1000", "team", "linz")
	s.RunUntil(time.Second)
	kept := s.sendAs(c, "linz", 3, "pages", "1")
	s.RunUntil(4 * time.Second)
	if first.Fields["state"] != "purged" || kept.Paging["token"] == "" {
		t.Fatalf("%+v %+v", first, kept.Paging)
	}
	steps := s.disk.StepCount()
	d := s.disk.AfterCrash(steps, disk.TornWrite)
	next := newRetainingWorldOn(t, d, s.index.AfterCrash(steps, d), nil)
	if n, _, _ := next.Controller.SpoolUsage(); n != 1 {
		t.Fatalf("%d results after a restart, want 1", n)
	}
	a := next.purge(next.client(), "patience", "1000", "team", "linz")
	next.RunUntil(next.Now + time.Second)
	n, _, _ := next.Controller.SpoolUsage()
	if a.Fields["state"] != "purged" || a.Fields["results"] != "1" || n != 0 {
		t.Errorf("%+v, %d results left", a.Fields, n)
	}
}

// Results that a controller retained without peers, or by another log, must be removed by the first
// invalidation of its fleet.
func TestInvalidationOfResultsByAnotherLog(t *testing.T) {
	s := newRetainingWorld(t, nil)
	c := s.client()
	for range 5 {
		s.purge(c, "patience", "1000", "team", "linz")
		s.RunUntil(s.Now + 100*time.Millisecond)
	}
	s.sendAs(c, "linz", 3, "pages", "1")
	s.RunUntil(s.Now + 4*time.Second)
	steps := s.disk.StepCount()
	d := s.disk.AfterCrash(steps, disk.TornWrite)
	next := newRetainingWorldOn(t, d, s.index.AfterCrash(steps, d), &fleet.ServingState{})
	if n, _, _ := next.Controller.SpoolUsage(); n != 1 {
		t.Fatalf("%d results after a restart, want 1", n)
	}
	next.SendOrder(fleet.Order{Kind: fleet.ViewChanged, View: &fleet.View{Index: 3}})
	next.SendOrder(fleet.Order{Kind: fleet.InvalidateData, ID: "p", Index: 3,
		Scope: &fleet.Scope{Tenant: "linz"}})
	next.RunUntil(next.Now + time.Second)
	if n, _, _ := next.Controller.SpoolUsage(); n != 0 {
		t.Errorf("%d results left", n)
	}
}
