package controller_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/bench"
	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/disk"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/world"
	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/resultstore"
	"railrelay.dev/railrelay/internal/spool"
)

// spoolWorld is a world whose controller retains results in a spool.
type spoolWorld struct {
	*world.World
	t        *testing.T
	disk     *disk.Disk
	index    *disk.Index
	keeper   *resultstore.SpoolStore
	finished map[string]time.Duration // when a query finished at its engine, by id
	released map[string]time.Duration // when its engine was told to drop the result, by id
	serial   int                      // of the latest query
}

// testLimits returns limits at which results of a few MB are written to disk.
func testLimits() spool.Limits {
	l := spool.DefaultLimits()
	l.MaxMemoryBytes, l.MaxDiskBytes, l.PageBytes, l.MaxWritingBytes = 1<<20, 8<<20, 16<<10, 128<<10
	return l
}

// newSpoolWorld returns a world with two engines, whose controller restores its spool from the given disk.
func newSpoolWorld(t *testing.T, d *disk.Disk, x *disk.Index, l spool.Limits, tenants *fairqueue.Config,
	change ...func(*controller.Config)) *spoolWorld {
	keeper, err := resultstore.NewSpoolStore(d, x, resultstore.Options{SegmentBytes: 256 << 10})
	if err != nil {
		t.Fatal(err)
	}
	text, err := keeper.Keys()
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(uint64(len(text)), 3))
	keys, err := spool.NewKeyring(text, 24*time.Hour, 0, func() []byte {
		p := make([]byte, 32)
		for i := range p {
			p[i] = byte(rng.Uint32())
		}
		return p
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := keeper.SaveKeys(keys.Encode()); err != nil {
		t.Fatal(err)
	}
	figures := engine.DefaultConfig()
	config := controller.Config{MemoryMB: 64, MaxDescriptors: 4096,
		Settings: bench.ControllerSettings(bench.DefaultWorkload(), figures), Tenants: tenants,
		StartedAt:  time.UnixMilli(0),
		FieldNames: controller.FieldNames{Tenant: "team", Paged: "pages"},
		Spool: &controller.SpoolConfig{Limits: l, Keys: keys, FirstResultID: keeper.FirstResultID(),
			Restore: keeper.Restore}}
	for _, do := range change {
		do(&config)
	}
	s := &spoolWorld{t: t, disk: d, index: x, keeper: keeper, finished: map[string]time.Duration{},
		released: map[string]time.Duration{}}
	s.World = world.New(5, []engine.Config{figures, figures}, config)
	s.SpoolStore, s.DiskLatency = keeper, time.Millisecond
	for _, e := range s.Engines {
		e.OnRelease = func(id string, at time.Duration) {
			if _, again := s.released[id]; !again {
				s.released[id] = at
			}
		}
		ended := e.OnEnd
		e.OnEnd = func(id string, how engine.Outcome, at time.Duration) {
			if ended(id, how, at); how == engine.Succeeded {
				s.finished[id] = at
			}
		}
	}
	return s
}

// newDefaultSpoolWorld returns a spoolWorld with an empty disk and no tenants.
func newDefaultSpoolWorld(t *testing.T) *spoolWorld {
	d := disk.New()
	return newSpoolWorld(t, d, disk.NewIndex(d), testLimits(), nil)
}

// ask sends a query whose result has the given number of rows and is read page by page.
func (s *spoolWorld) ask(c *world.Client, rows int, more ...string) *world.Query {
	s.serial++
	return c.Submit(fmt.Sprintf("%016x", s.serial), "report", "", 12*time.Second,
		engine.Work{Threads: 1, CPU: 20 * time.Millisecond, MemoryMB: 10, Rows: rows},
		append(more, "pages", "1")...)
}

func (s *spoolWorld) client() *world.Client { return s.Connect("c", bench.ClientAddress) }

// pageCount returns the number of pages of a result, or 0 if it was answered in one piece.
func pageCount(a *world.Query) int {
	n, _ := strconv.Atoi(a.Paging["pages"])
	return n
}

// checkPages reads the pages after the first in the given order, and checks that all pages together are
// the rows that the engine produced.
func (s *spoolWorld) checkPages(c *world.Client, a *world.Query, order []int) {
	s.t.Helper()
	n := pageCount(a)
	parts := make([][]byte, n)
	parts[0] = a.Rows
	left := 0
	for _, i := range order {
		left++
		c.Page(a.Paging["token"], i, func(ans client.Answer) {
			left--
			if ans.Kind != client.Finished {
				s.t.Errorf("page %d of %d: %v %s", i, n, ans.Kind, ans.Reason)
			}
			parts[i] = ans.Rows
		})
		if left >= 20 { // bounds the concurrent calls
			s.RunUntil(s.Now + 300*time.Millisecond)
		}
	}
	s.RunUntil(s.Now + 2*time.Second)
	if all := bytes.Join(parts, nil); left > 0 || !bytes.Equal(all, world.ExpectedRows(a)) ||
		strconv.Itoa(len(all)) != a.Paging["bytes"] ||
		strconv.Itoa(bytes.Count(all, []byte("\n"))) != a.Paging["rows"] {
		s.t.Errorf("%d bytes of %d, %s announced, %d pages unanswered", len(all), len(world.ExpectedRows(a)),
			a.Paging["bytes"], left)
	}
	for _, p := range parts {
		if len(p) > 0 && p[len(p)-1] != '\n' {
			s.t.Error("a page ends within a row")
		}
	}
}

// unpagedQueryID is the id of a query whose client doesn't read page by page.
const unpagedQueryID = "00000000000000aa"

// checkEnd checks the history of all queries, and that engines were told in time to drop finished results.
func (s *spoolWorld) checkEnd() {
	s.t.Helper()
	for _, f := range s.History.Finish(s.Now) {
		s.t.Error("invariant violated: ", f)
	}
	for id, at := range s.finished {
		if id == unpagedQueryID {
			continue
		}
		if r, ok := s.released[id]; !ok || r > at+time.Second {
			s.t.Errorf("query %s finished at %v, its engine was told to drop the result at %v", id, at, r)
		}
	}
}

// pagesAfterFirst returns the numbers of all pages of n but the first.
func pagesAfterFirst(n int) (pages []int) {
	for i := 1; i < n; i++ {
		pages = append(pages, i)
	}
	return pages
}

func TestResultIsReadPageByPage(t *testing.T) {
	s := newDefaultSpoolWorld(t)
	c := s.client()
	a, one := s.ask(c, 4000), s.ask(c, 3)
	whole := c.Submit(unpagedQueryID, "report", "", 12*time.Second,
		engine.Work{Threads: 1, CPU: time.Millisecond, Rows: 2000})
	s.RunUntil(2 * time.Second)
	if !a.Answered || pageCount(a) < 5 || a.Paging["token"] == "" {
		t.Fatal("not answered page by page: ", a.Answered, a.Paging)
	}
	if one.Paging["token"] != "" || pageCount(one) != 1 || !bytes.Equal(one.Rows, world.ExpectedRows(one)) {
		t.Fatal("a result of one page must have no token: ", one.Paging)
	}
	if !bytes.Equal(whole.Rows, world.ExpectedRows(whole)) {
		t.Fatal("a result that isn't read page by page must be answered in one piece")
	}
	order := pagesAfterFirst(pageCount(a))
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	s.checkPages(c, a, order)
	// the client disconnects after the second page and reads on minutes later on another connection
	b := s.ask(c, 4000)
	s.RunUntil(s.Now + 2*time.Second)
	c.Page(b.Paging["token"], 1, func(client.Answer) {})
	s.RunUntil(s.Now + time.Second)
	c.Disconnect()
	s.RunUntil(s.Now + 7*time.Minute)
	s.checkPages(s.client(), b, pagesAfterFirst(pageCount(b)))
	s.RunUntil(s.Now + 16*time.Minute) // until the result has expired
	late := ""
	s.client().Page(b.Paging["token"], 1, func(ans client.Answer) { late = ans.Reason })
	s.RunUntil(s.Now + time.Second)
	if late != "no such page" {
		t.Error("page of an expired result: ", late)
	}
	s.RunUntil(s.Now + 3*time.Second)
	if s.keeper.LiveBytes() != 0 {
		t.Errorf("%d bytes are left behind", s.keeper.LiveBytes())
	}
	s.checkEnd()
}

func TestResultLargerThanTheSpool(t *testing.T) {
	s := newDefaultSpoolWorld(t)
	c := s.client()
	a := s.ask(c, 400_000) // 10 MB
	killed := ""
	c.OnAnswer = func(_ *world.Query, ans client.Answer) { killed = ans.Reason }
	s.RunUntil(15 * time.Second)
	if !a.Answered || a.Answer != client.Killed || !strings.Contains(killed, "too large") ||
		!strings.Contains(killed, "7864320") {
		t.Fatal(a.Answered, a.Answer, killed)
	}
	if s.keeper.LiveBytes() != 0 {
		t.Errorf("%d bytes are left behind", s.keeper.LiveBytes())
	}
	s.checkEnd()
}

// A result that is abandoned while it is being spooled must leave nothing in memory or on disk, whatever
// the reason.
func TestAbandonedResultLeavesNothingBehind(t *testing.T) {
	for name, trouble := range map[string]func(s *spoolWorld, c *world.Client, a *world.Query){
		"the client cancels":  func(s *spoolWorld, c *world.Client, a *world.Query) { c.Cancel(a) },
		"the client vanishes": func(s *spoolWorld, c *world.Client, a *world.Query) { c.Disconnect() },
		"the engine dies": func(s *spoolWorld, c *world.Client, a *world.Query) {
			for _, e := range s.Engines {
				e.Crash(time.Minute)
			}
		},
		"the engine goes silent": func(s *spoolWorld, c *world.Client, a *world.Query) {
			for _, e := range s.Engines {
				e.MakeUnreachable()
			}
		},
		"the disk is full": func(s *spoolWorld, c *world.Client, a *world.Query) {
			s.disk.PartialWrites = true
			s.disk.InjectError = func(verb, _ string) error {
				if verb == "write" {
					return syscall.ENOSPC
				}
				return nil
			}
		},
		"the disk refuses a sync": func(s *spoolWorld, c *world.Client, a *world.Query) {
			s.disk.InjectError = func(verb, _ string) error {
				if verb == "sync" {
					return syscall.EIO
				}
				return nil
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newDefaultSpoolWorld(t)
			c := s.client()
			a := s.ask(c, 120_000) // 3 MB, written to disk as it arrives
			s.RunUntil(100 * time.Millisecond)
			if s.keeper.TotalBytes() == 0 || a.Answered {
				t.Fatal("nothing was written to disk yet, or the query was answered already")
			}
			trouble(s, c, a)
			s.RunUntil(20 * time.Second)
			s.disk.InjectError = nil
			s.RunUntil(40 * time.Second)
			if !a.Answered && !a.Cancelled {
				t.Error("no answer")
			}
			if a.Answered && a.Answer == client.Finished {
				t.Error("finished despite the fault")
			}
			if held, _, _ := s.Controller.SpoolUsage(); held != 0 || s.keeper.LiveBytes() != 0 {
				t.Errorf("%d results and %d bytes are left behind", held, s.keeper.LiveBytes())
			}
			for _, f := range s.History.Finish(s.Now) {
				t.Error("invariant violated: ", f)
			}
			c = s.client() // the controller goes on serving
			if name != "the engine goes silent" && name != "the engine dies" {
				b := s.ask(c, 4000)
				s.RunUntil(s.Now + 3*time.Second)
				s.checkPages(c, b, pagesAfterFirst(pageCount(b)))
			}
		})
	}
}

// After a crash between any two writes, the restarted controller must serve every promised result by its
// old token, and must not restore more results than there were queries.
func TestPromisedResultsSurviveARestart(t *testing.T) {
	s := newDefaultSpoolWorld(t)
	c := s.client()
	var asked []*world.Query
	promisedAt := map[*world.Query]int{}
	c.OnAnswer = func(a *world.Query, _ client.Answer) { promisedAt[a] = s.disk.StepCount() }
	for range 8 {
		asked = append(asked, s.ask(c, 3000))
		s.RunUntil(s.Now + 40*time.Millisecond)
	}
	s.RunUntil(s.Now + 3*time.Second)
	steps := s.disk.StepCount()
	served := 0
	for k := 0; k <= steps; k += max(1, steps/40) {
		d := s.disk.AfterCrash(k, disk.TornWrite)
		next := newSpoolWorld(t, d, s.index.AfterCrash(k, d), testLimits(), nil)
		nc := next.client()
		for _, a := range asked {
			if at, was := promisedAt[a]; was && at <= k {
				next.checkPages(nc, a, pagesAfterFirst(pageCount(a)))
				served++
			}
		}
		next.RunUntil(next.Now + time.Second)
		if held, _, _ := next.Controller.SpoolUsage(); held > len(asked) {
			t.Fatalf("%d results of %d", held, len(asked))
		}
	}
	if served < 20 {
		t.Fatal("too few results were promised before a crash: ", served)
	}
	s.checkEnd()
}

// A result must be complete even if its engine drains, corrupts responses or resets its connections while the
// result is being read.
func TestPagesOfADrainingOrGarblingEngine(t *testing.T) {
	for name, trouble := range map[string]func(s *spoolWorld){
		"drains": func(s *spoolWorld) {
			for _, e := range s.Engines {
				s.SetPhase(e, "DRAINING")
			}
		},
		"garbles": func(s *spoolWorld) {
			for _, e := range s.Engines {
				e.TruncatedPages = 3
			}
		},
		"ends its connections": func(s *spoolWorld) {
			for _, e := range s.Engines {
				e.Reset(s.Now, false)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newDefaultSpoolWorld(t)
			c := s.client()
			a := s.ask(c, 120_000)
			s.RunUntil(100 * time.Millisecond)
			trouble(s)
			s.RunUntil(8 * time.Second)
			if a.Answer != client.Finished || !a.Answered {
				t.Fatal("not finished: ", a.Answered, a.Answer)
			}
			s.checkPages(s.client(), a, pagesAfterFirst(pageCount(a)))
			s.checkEnd()
		})
	}
}

// A mutating query whose result can't be written to disk must be killed and never be sent again.
func TestMutatingQueryIsNotRetriedAfterSpoolFailure(t *testing.T) {
	s := newDefaultSpoolWorld(t)
	c := s.client()
	s.serial++
	a := c.Submit(fmt.Sprintf("%016x", s.serial), "load", "k", 12*time.Second,
		engine.Work{Threads: 1, CPU: 20 * time.Millisecond, MemoryMB: 10, Rows: 120_000, Load: true}, "pages", "1")
	s.RunUntil(100 * time.Millisecond)
	s.disk.InjectError = func(verb, _ string) error {
		if verb == "write" {
			return syscall.ENOSPC
		}
		return nil
	}
	s.RunUntil(20 * time.Second)
	if !a.Answered || a.Answer != client.Killed || s.History.StartedRuns != 1 {
		t.Error(a.Answered, a.Answer, s.History.StartedRuns)
	}
	s.checkEnd()
}

func TestCorruptPageIsNeverServed(t *testing.T) {
	s := newDefaultSpoolWorld(t)
	c := s.client()
	a := s.ask(c, 120_000) // most of its pages are only on disk
	s.RunUntil(5 * time.Second)
	names, _ := s.disk.List()
	for _, name := range names {
		if strings.HasSuffix(name, ".seg") {
			f, _ := s.disk.Open(name)
			size, _ := f.Size()
			for at := int64(100); at < size; at += 9000 {
				s.disk.FlipBit(name, at, 3)
			}
		}
	}
	corrupt, good, want := 0, 0, world.ExpectedRows(a)
	for i := range pageCount(a) {
		c.Page(a.Paging["token"], i, func(ans client.Answer) {
			if ans.Kind == client.Finished && !bytes.Contains(want, ans.Rows) {
				t.Error("a corrupt page was served")
			}
			if ans.Kind == client.Killed {
				corrupt++
			} else {
				good++
			}
		})
		s.RunUntil(s.Now + 10*time.Millisecond)
	}
	s.RunUntil(s.Now + time.Second)
	if corrupt < 50 {
		t.Errorf("%d corrupt pages, %d good ones, want at least 50 corrupt", corrupt, good)
	}
	if !strings.Contains(strings.Join(s.LogLines, "\n"), "the page is spoilt") {
		t.Error("corrupt pages weren't logged")
	}
	s.checkEnd()
}

// With a thousand slow readers the spool's memory must stay within its limit, and engines must be released.
func TestThousandSlowPageReaders(t *testing.T) {
	d := disk.New()
	l := testLimits()
	l.MaxDiskBytes, l.TenantShare = 256<<20, 1
	s := newSpoolWorld(t, d, disk.NewIndex(d), l, nil)
	var all []*world.Query
	maxMemory := int64(0)
	for range 1000 {
		c := s.client()
		a := s.ask(c, 1500)
		all = append(all, a)
		next := 1
		var read func()
		read = func() {
			if next < pageCount(a) {
				c.Page(a.Paging["token"], next, func(client.Answer) { s.ScheduleAfter(16*time.Second, read) }) // 1 KB/s
				next++
			}
		}
		c.OnAnswer = func(*world.Query, client.Answer) { s.ScheduleAfter(time.Second, read) }
		s.RunUntil(s.Now + 10*time.Millisecond)
		_, memory, _ := s.Controller.SpoolUsage()
		maxMemory = max(maxMemory, memory)
	}
	s.RunUntil(s.Now + 30*time.Second)
	answered := 0
	for _, a := range all {
		if a.Answered && a.Answer == client.Finished {
			answered++
		}
	}
	if _, memory, _ := s.Controller.SpoolUsage(); memory > l.MaxMemoryBytes || maxMemory > l.MaxMemoryBytes {
		t.Errorf("%d bytes in memory, limit %d", max(memory, maxMemory), l.MaxMemoryBytes)
	}
	if answered < 990 {
		t.Errorf("%d of 1000 queries finished, want at least 990", answered)
	}
	s.checkEnd()
}

// A client that reads pages as fast as they come keeps its connection. It was once closed at its 129th
// message in 250 ms.
func TestQuickPageReaderKeepsItsConnection(t *testing.T) {
	const parallelReads = 16
	d := disk.New()
	s := newSpoolWorld(t, d, disk.NewIndex(d), testLimits(), nil)
	c := s.client()
	a := s.ask(c, 70000)
	s.RunUntil(s.Now + 5*time.Second)
	pages, next, got := pageCount(a), 1, 0
	if pages < 150 { // the limit is 128 messages
		t.Fatalf("%d pages, too few for this test", pages)
	}
	var read func()
	read = func() {
		if next >= pages {
			return
		}
		next++
		c.Page(a.Paging["token"], next-1, func(answer client.Answer) {
			if answer.Kind == client.Finished {
				got++
			}
			read()
		})
	}
	for range parallelReads {
		read()
	}
	s.RunUntil(s.Now + 3*time.Second)
	if got != pages-1 {
		t.Errorf("%d of %d pages were read", got, pages-1)
	}
	s.checkEnd()
}

// A page token must be valid only for the tenant that it was issued to, and the work of a spooled query
// must be charged to its tenant.
func TestPageTokensAndChargesAreByTenant(t *testing.T) {
	d := disk.New()
	tenants := &fairqueue.Config{Tenants: bench.DefaultTenants(), TrustedAddresses: bench.ClientPrefixes}
	s := newSpoolWorld(t, d, disk.NewIndex(d), testLimits(), tenants)
	c := s.client()
	a := s.ask(c, 3000, "team", "gauges-1")
	s.RunUntil(3 * time.Second)
	got := map[string]client.Kind{}
	for _, tenant := range []string{"gauges-1", "gauges-2", ""} {
		c.Page(a.Paging["token"], 1, func(ans client.Answer) { got[tenant] = ans.Kind }, "team", tenant)
	}
	s.RunUntil(s.Now + time.Second)
	if got["gauges-1"] != client.Finished || got["gauges-2"] != client.Killed || got[""] != client.Killed {
		t.Error(got)
	}
	charged := 0.0
	s.Controller.EachTenant(func(path string, _ int, n fairqueue.Counts) {
		if strings.HasSuffix(path, "gauges-1") {
			charged = n.ChargedThreadSeconds
		}
	})
	if charged < 0.015 || charged > 0.03 {
		t.Errorf("%v thread seconds charged, want about 0.02", charged)
	}
	s.checkEnd()
}
