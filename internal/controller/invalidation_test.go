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

// keeps is a world whose controller keeps results and answers, alone or in a fleet.
func keeps(t *testing.T, word *fleet.ServingState, change ...func(*controller.Config)) *spooled {
	d := disk.New()
	return keepsOn(t, d, disk.NewIndex(d), word, change...)
}

func keepsOn(t *testing.T, d *disk.Disk, x *disk.Index, word *fleet.ServingState, change ...func(*controller.Config)) *spooled {
	small := limits()
	small.MaxMemoryBytes = 200 << 10
	return newSpooled(t, d, x, small, nil, func(m *controller.Config) {
		l := resultcache.DefaultLimits()
		m.CacheLimits = &l
		m.FieldNames.Customer = "team" // whose a call is, believed from anybody
		if word != nil {
			m.Fleet = &controller.FleetConfig{ServingState: word}
		}
		for _, do := range change {
			do(m)
		}
	})
}

func (s *spooled) of(c *world.Client, team string, tables int64, more ...string) *world.Asked {
	s.serial++
	return c.Ask(fmt.Sprintf("%016x", s.serial), "report", "", 12*time.Second,
		engine.Work{Threads: 1, CPU: 200 * time.Millisecond, MemoryMB: 10, Rows: 3000, Tables: tables}, append(more, "team", team)...)
}

// purge asks for one and gives what was told; nil while nothing was.
func (s *spooled) purge(c *world.Client, fields ...string) *client.Answer {
	a := &client.Answer{Msg: 0}
	c.Purge(func(ans client.Answer) { *a = ans }, fields...)
	return a
}

// mark is how a query's rows begin on disk.
func mark(a *world.Asked) []byte { return []byte(engine.Row(a.ID, 0)) }

// A team has its kept results gone: its tokens open nothing at once, a page being read
// then comes out no more, and "purged" is told once no byte is on disk. The others' stay.
func TestInvalidationWithoutPeers(t *testing.T) {
	s := keeps(t, nil)
	c := s.client()
	theirs, other, elsewhere := s.of(c, "linz", 3, "pages", "1"), s.of(c, "steyr", 3, "pages", "1"), s.of(c, "linz", 4, "pages", "1")
	s.Until(2 * time.Second)
	for i := range 30 { // what is kept in memory goes to disk
		s.of(c, "steyr", int64(10+i), "pages", "1")
	}
	s.Until(6 * time.Second)
	if len(s.d.Holds(mark(theirs))) == 0 || pagesOf(theirs) < 3 {
		t.Fatal("it isn't on disk")
	}
	page := func(a *world.Asked, n int) *client.Answer {
		ans := &client.Answer{Kind: -1}
		c.Page(a.Paging["token"], n, func(x client.Answer) { *ans = x }, "team", a.Team)
		return ans
	}
	s.Disk = 20 * time.Millisecond
	under := page(theirs, 2)
	s.Until(s.Now + time.Millisecond) // it is being read from disk
	if under.Kind != -1 {
		t.Fatal("the page was in memory")
	}
	done := s.purge(c, "patience", "5000", "tables", "3", "team", "linz")
	s.Until(s.Now + time.Millisecond)
	late := page(theirs, 1)
	s.Until(s.Now + time.Second)
	if under.Kind != client.Killed || late.Kind != client.Killed || under.Why != late.Why {
		t.Fatalf("read after its purge: %+v %+v", under, late)
	}
	if n := done.About; n["state"] != "purged" || n["results"] != "1" || n["id"] == "" {
		t.Fatalf("told %+v", done)
	}
	if l := s.d.Holds(mark(theirs)); len(l) > 0 {
		t.Fatal("purged is told, and it is in ", l)
	}
	for _, a := range []*world.Asked{other, elsewhere} {
		if ans := page(a, 1); s.ran(time.Second) && ans.Kind != client.Finished {
			t.Fatalf("another's went, too: %+v", ans)
		}
	}
	again := s.purge(c, "patience", "100", "id", done.About["id"], "team", "linz")
	foreign := s.purge(c, "patience", "100", "id", done.About["id"], "team", "steyr")
	s.Until(s.Now + time.Second)
	if again.About["state"] != "purged" || again.About["bytes"] != done.About["bytes"] || foreign.Kind != client.Killed {
		t.Fatalf("asked again: %+v, by another team: %+v", again, foreign)
	}
}

func (s *spooled) ran(d time.Duration) bool {
	s.Until(s.Now + d)
	return true
}

// What is being taken in when a purge comes is not kept; its query may come again.
func TestInvalidationWhileResultIsSpooled(t *testing.T) {
	s := keeps(t, nil)
	c := s.client()
	a := s.of(c, "linz", 3, "pages", "1")
	s.Until(100 * time.Millisecond)
	done := s.purge(c, "patience", "5000", "team", "linz")
	s.Until(3 * time.Second)
	if a.Answer != client.Deferred || !a.Answered || done.About["state"] != "purged" {
		t.Fatalf("%v, %+v", a.Answer, done)
	}
	if held, _, _ := s.R.SpoolUsage(); held != 0 || s.keeper.Live() != 0 {
		t.Fatal("it is kept")
	}
	if b := s.of(c, "linz", 3, "pages", "1"); s.ran(3*time.Second) && pagesOf(b) < 2 {
		t.Fatal("nothing is kept any more")
	}
}

// In a fleet a purge is what the record orders: unreached and wiped are reported in
// turn, what a client asked for is handed on and answered by the fleet's word.
func TestInvalidationInAFleet(t *testing.T) {
	word := &fleet.ServingState{}
	s := keeps(t, word)
	c := s.client()
	s.Order(fleet.Order{Kind: fleet.ActivatePolicy, Version: 1})
	s.Order(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever, ConfinedLeaseEnd: 4 * time.Second})
	a := s.of(c, "linz", 3, "pages", "1")
	whole := s.of(c, "linz", 3)
	s.Until(3 * time.Second)
	if pagesOf(a) < 2 || len(whole.Rows) == 0 {
		t.Fatal("nothing is kept")
	}
	s.Order(fleet.Order{Kind: fleet.ViewChanged, View: &fleet.View{Index: 7}})
	later := s.of(c, "linz", 3, "pages", "1")
	s.Until(3900 * time.Millisecond)
	asks := []*client.Answer{s.purge(c, "patience", "1000", "team", "linz"), s.purge(c, "patience", "9000", "id", "p1", "team", "linz")}
	s.Until(4100 * time.Millisecond) // the lease of bound teams is over
	barred, cached := &client.Answer{}, s.of(c, "linz", 3)
	c.Page(a.Paging["token"], 1, func(ans client.Answer) { *barred = ans }, "team", "linz")
	s.Until(4200 * time.Millisecond)
	if barred.Kind != client.Deferred || cached.Answered && cached.Answer == client.Finished && bytes.Equal(cached.Rows, whole.Rows) {
		t.Fatalf("served without a lease: %+v", barred)
	}
	s.Reports = slices.DeleteFunc(s.Reports, func(p fleet.Report) bool { return p.Kind == fleet.SitesServing || p.Kind == fleet.PolicyActivated })
	if len(s.Reports) != 2 || s.Reports[0].Request.Kind != "purge" || s.Reports[0].Request.Scope.Team != "linz" || s.Reports[1].Request.Kind != "status" ||
		s.Reports[1].Request.ID != "p1" || s.Reports[1].Request.Team != "linz" {
		t.Fatalf("the fleet isn't asked: %+v", s.Reports)
	}
	first := s.Reports[0].Request.ID
	s.Order(fleet.Order{Kind: fleet.InvalidateData, ID: first, Scope: &fleet.Scope{Team: "linz"}, Index: 7})
	s.Until(4800 * time.Millisecond)
	l := slices.DeleteFunc(s.Reports[2:], func(p fleet.Report) bool { return p.Kind == fleet.SitesServing })
	if len(l) != 2 || l[0].Kind != fleet.DataTombstoned || l[1].Kind != fleet.DataErased || l[0].ID != first || l[1].Counts.Results != 1 || l[1].Counts.Answers != 1 {
		t.Fatalf("reported %+v", l)
	}
	s.Until(4880 * time.Millisecond)
	s.Order(fleet.Order{Kind: fleet.RequestAnswered, ID: first, Response: &fleet.Response{ID: first, Outcome: "unknown", Stage: fleet.EntryTombstone, Outstanding: []string{"b", "c"}}})
	s.Order(fleet.Order{Kind: fleet.RequestAnswered, ID: "p1", Response: &fleet.Response{ID: "p1", Outcome: "purged", Counts: &fleet.InvalidationCounts{Results: 4}}})
	s.Until(5 * time.Second)
	if n := asks[0].About; n["state"] != "not yet" || n["outstanding"] != "b,c" || n["id"] != first {
		t.Errorf("at the end of its patience: %+v", asks[0])
	}
	if n := asks[1].About; n["state"] != "purged" || n["results"] != "4" {
		t.Errorf("by id: %+v", asks[1])
	}
	n := len(s.Reports)
	lost := s.purge(c, "patience", "100", "team", "linz") // no majority takes it: it is asked for again
	s.Until(s.Now + 80*time.Millisecond)
	s.Order(fleet.Order{Kind: fleet.RequestAnswered, ID: s.Reports[n].Request.ID, Response: &fleet.Response{Outcome: "unknown"}})
	s.Until(s.Now + 10*time.Millisecond)
	if len(s.Reports) < n+2 || s.Reports[n+1].Request == nil || s.Reports[n+1].Request.ID != s.Reports[n].Request.ID || lost.About["stage"] != "not recorded" {
		t.Errorf("not recorded: %+v, %+v", lost, s.Reports[n:])
	}
	silent := s.purge(c, "patience", "300", "team", "linz") // the fleet says nothing
	s.Order(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever, ConfinedLeaseEnd: fleet.Forever})
	gone, stays := &client.Answer{}, &client.Answer{}
	c.Page(a.Paging["token"], 1, func(ans client.Answer) { *gone = ans }, "team", "linz")
	c.Page(later.Paging["token"], 1, func(ans client.Answer) { *stays = ans }, "team", "linz")
	s.Until(6 * time.Second)
	if gone.Kind != client.Killed || stays.Kind != client.Finished {
		t.Errorf("what was asked for before: %+v, after: %+v", gone, stays)
	}
	if silent.About["state"] != "not yet" {
		t.Errorf("without a word: %+v", silent)
	}
}

// A rule that a result lies outside of bars its pages at once, and not for ever.
func TestPagesObeyResidencyRules(t *testing.T) {
	s := keeps(t, &fleet.ServingState{})
	c := s.client()
	s.Order(fleet.Order{Kind: fleet.ActivatePolicy, Version: 1})
	s.Order(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever, ConfinedLeaseEnd: fleet.Forever})
	a := s.of(c, "linz", 3, "pages", "1")
	s.Until(3 * time.Second)
	for i, want := range []client.Kind{client.Finished, client.Killed, client.Finished} {
		var rules []residency.Rule
		if i == 1 { // this controller stands nowhere
			rules = []residency.Rule{{Name: "inside", Team: "linz", Tables: []int64{3}, Engines: []string{"here"}, Controllers: []string{"here"}, Keep: []string{"here"}}}
		}
		s.Order(fleet.Order{Kind: fleet.ActivatePolicy, Version: uint64(i + 2), Policy: &controller.Policy{Version: uint64(i + 2), Rules: rules}})
		got := client.Kind(-1)
		c.Page(a.Paging["token"], 1, func(ans client.Answer) { got = ans.Kind }, "team", "linz")
		s.Until(s.Now + time.Second)
		if got != want {
			t.Errorf("by rules %v: %v", rules, got)
		}
	}
}

// Many who ask the same at once cost one run; so does whoever asks while it is fresh.
// A load of its tables, or a purge, makes the next go to an engine again.
func TestConcurrentEqualQueriesShareOneRun(t *testing.T) {
	s := keeps(t, nil)
	c := s.client()
	runs := func() int { return len(s.finished) }
	group := func(n int, team string, tables int64) (l []*world.Asked) {
		for range n {
			l = append(l, s.of(c, team, tables))
		}
		s.Until(s.Now + 2*time.Second)
		for _, a := range l {
			if !a.Answered || a.Answer != client.Finished || !bytes.Equal(a.Rows, l[0].Rows) {
				t.Fatalf("of %d one has %v %v", n, a.Answered, a.Answer)
			}
		}
		return l
	}
	first := group(20, "linz", 3)
	if runs() != 1 {
		t.Fatalf("%d runs for 20 who ask the same at once", runs())
	}
	if again := group(5, "linz", 3); runs() != 1 || !bytes.Equal(again[0].Rows, first[0].Rows) {
		t.Fatal("it isn't kept: ", runs())
	}
	if other := group(1, "steyr", 3); runs() != 2 || bytes.Equal(other[0].Rows, first[0].Rows) {
		t.Fatal("served across teams: ", runs())
	}
	s.serial++
	load := c.Ask(fmt.Sprintf("%016x", s.serial), "load", "k", 12*time.Second, engine.Work{Threads: 1, CPU: 10 * time.Millisecond, Rows: 1, Tables: 3, Load: true}, "team", "steyr")
	s.Until(s.Now + 2*time.Second)
	if n := runs(); load.Answer != client.Finished || n != 3 {
		t.Fatal("no load: ", load.Answer, n)
	}
	if after := group(2, "linz", 3); runs() != 4 || bytes.Equal(after[0].Rows, first[0].Rows) {
		t.Fatal("served past a load: ", runs())
	}
	done := s.purge(c, "patience", "1000", "team", "linz")
	if group(1, "linz", 3); runs() != 5 || done.About["answers"] != "1" {
		t.Fatalf("served past a purge: %d runs, %+v", runs(), done)
	}
	// the one that leads leaves, the next leads
	l := []*world.Asked{s.of(c, "linz", 8), s.of(c, "linz", 8), s.of(c, "linz", 8)}
	s.Until(s.Now + 50*time.Millisecond)
	c.Leave(l[0])
	s.Until(s.Now + 2*time.Second)
	if l[1].Answer != client.Finished || !bytes.Equal(l[1].Rows, world.Rows(l[1])) || !bytes.Equal(l[2].Rows, l[1].Rows) {
		t.Fatal("nobody leads once the first has left")
	}
	if line := s.R.ResultCache().CountersText(); !strings.Contains(line, "hits 5 followed 22") {
		t.Error(line)
	}
}

// What was kept after a purge goes by the next, also where the program was started anew between.
func TestInvalidationWithoutPeersAfterARestart(t *testing.T) {
	s := keeps(t, nil)
	c := s.client()
	first := s.purge(c, "patience", "1000", "team", "linz")
	s.Until(time.Second)
	kept := s.of(c, "linz", 3, "pages", "1")
	s.Until(4 * time.Second)
	if first.About["state"] != "purged" || kept.Paging["token"] == "" {
		t.Fatalf("%+v %+v", first, kept.Paging)
	}
	steps := s.d.Steps()
	d := s.d.After(steps, disk.Torn)
	next := keepsOn(t, d, s.x.After(steps, d), nil)
	if n, _, _ := next.R.SpoolUsage(); n != 1 {
		t.Fatalf("%d are kept over a start", n)
	}
	a := next.purge(next.client(), "patience", "1000", "team", "linz")
	next.Until(next.Now + time.Second)
	if n, _, _ := next.R.SpoolUsage(); a.About["state"] != "purged" || a.About["results"] != "1" || n != 0 {
		t.Errorf("%+v, %d left", a.About, n)
	}
}

// What a controller kept alone, or by another record, goes by the first purge of its fleet.
func TestInvalidationOfResultsByAnotherLog(t *testing.T) {
	s := keeps(t, nil)
	c := s.client()
	for range 5 {
		s.purge(c, "patience", "1000", "team", "linz")
		s.Until(s.Now + 100*time.Millisecond)
	}
	s.of(c, "linz", 3, "pages", "1")
	s.Until(s.Now + 4*time.Second)
	steps := s.d.Steps()
	d := s.d.After(steps, disk.Torn)
	next := keepsOn(t, d, s.x.After(steps, d), &fleet.ServingState{})
	if n, _, _ := next.R.SpoolUsage(); n != 1 {
		t.Fatalf("%d are kept over a start", n)
	}
	next.Order(fleet.Order{Kind: fleet.ViewChanged, View: &fleet.View{Index: 3}})
	next.Order(fleet.Order{Kind: fleet.InvalidateData, ID: "p", Index: 3, Scope: &fleet.Scope{Team: "linz"}})
	next.Until(next.Now + time.Second)
	if n, _, _ := next.R.SpoolUsage(); n != 0 {
		t.Errorf("%d left", n)
	}
}
