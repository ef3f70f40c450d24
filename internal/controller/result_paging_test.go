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

// spooled is a world whose controller keeps results.
type spooled struct {
	*world.World
	t        *testing.T
	d        *disk.Disk
	x        *disk.Index
	keeper   *resultstore.Keeper
	finished map[string]time.Duration // at engines
	released map[string]time.Duration
	serial   int
}

func limits() spool.Limits {
	l := spool.DefaultLimits()
	l.MaxMemoryBytes, l.MaxDiskBytes, l.PageBytes, l.MaxWritingBytes = 1<<20, 8<<20, 16<<10, 128<<10
	return l
}

func newSpooled(t *testing.T, d *disk.Disk, x *disk.Index, l spool.Limits, shape *fairqueue.Config, change ...func(*controller.Config)) *spooled {
	keeper, err := resultstore.NewKeeper(d, x, resultstore.Terms{SegmentBytes: 256 << 10})
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
	if err := keeper.KeepKeys(keys.Encode()); err != nil {
		t.Fatal(err)
	}
	figures := engine.Usual()
	means := controller.Config{MemoryMB: 64, MaxDescriptors: 4096, Settings: bench.Facts(bench.Usual(), figures), Tenants: shape, StartedAt: time.UnixMilli(0),
		FieldNames: controller.FieldNames{Tenant: "team", Paged: "pages"},
		Spool:      &controller.SpoolConfig{Limits: l, Keys: keys, FirstResultID: keeper.First(), Restore: keeper.Restore}}
	for _, do := range change {
		do(&means)
	}
	s := &spooled{t: t, d: d, x: x, keeper: keeper, finished: map[string]time.Duration{}, released: map[string]time.Duration{}}
	s.World = world.New(5, []engine.Figures{figures, figures}, means)
	s.Keeper, s.Disk = keeper, time.Millisecond
	for _, e := range s.Engines {
		e.Released = func(id string, at time.Duration) {
			if _, again := s.released[id]; !again {
				s.released[id] = at
			}
		}
		ended := e.Ended
		e.Ended = func(id string, how engine.Outcome, at time.Duration) {
			if ended(id, how, at); how == engine.Good {
				s.finished[id] = at
			}
		}
	}
	return s
}

func fresh(t *testing.T) *spooled {
	d := disk.New()
	return newSpooled(t, d, disk.NewIndex(d), limits(), nil)
}

func (s *spooled) ask(c *world.Client, rows int, more ...string) *world.Asked {
	s.serial++
	return c.Ask(fmt.Sprintf("%016x", s.serial), "report", "", 12*time.Second,
		engine.Work{Threads: 1, CPU: 20 * time.Millisecond, MemoryMB: 10, Rows: rows}, append(more, "pages", "1")...)
}

func (s *spooled) client() *world.Client { return s.Connect("c", bench.Home) }

func pagesOf(a *world.Asked) int {
	n, _ := strconv.Atoi(a.Paging["pages"])
	return n
}

// reads asks for all further pages, in the order given, and compares all with what engines make.
func (s *spooled) reads(c *world.Client, a *world.Asked, order []int) {
	s.t.Helper()
	n := pagesOf(a)
	parts := make([][]byte, n)
	parts[0] = a.Rows
	left := 0
	for _, i := range order {
		left++
		c.Page(a.Paging["token"], i, func(ans client.Answer) {
			left--
			if ans.Kind != client.Finished {
				s.t.Errorf("page %d of %d: %v %s", i, n, ans.Kind, ans.Why)
			}
			parts[i] = ans.Rows
		})
		if left >= 20 { // a few at once
			s.Until(s.Now + 300*time.Millisecond)
		}
	}
	s.Until(s.Now + 2*time.Second)
	if all := bytes.Join(parts, nil); left > 0 || !bytes.Equal(all, world.Rows(a)) || strconv.Itoa(len(all)) != a.Paging["bytes"] ||
		strconv.Itoa(bytes.Count(all, []byte("\n"))) != a.Paging["rows"] {
		s.t.Errorf("%d bytes of %d, %s told, %d pages unanswered", len(all), len(world.Rows(a)), a.Paging["bytes"], left)
	}
	for _, p := range parts {
		if len(p) > 0 && p[len(p)-1] != '\n' {
			s.t.Error("a page ends within a row")
		}
	}
}

// plain is a query whose client asks for no pages.
const plain = "00000000000000aa"

func (s *spooled) done() {
	s.t.Helper()
	for _, f := range s.History.Done(s.Now) {
		s.t.Error("broken: ", f)
	}
	for id, at := range s.finished {
		if id == plain {
			continue
		}
		if r, ok := s.released[id]; !ok || r > at+time.Second {
			s.t.Errorf("%s finished at %v and its engine was released at %v", id, at, r)
		}
	}
}

func from1(n int) (l []int) {
	for i := 1; i < n; i++ {
		l = append(l, i)
	}
	return l
}

func TestResultIsReadPageByPage(t *testing.T) {
	s := fresh(t)
	c := s.client()
	a, one := s.ask(c, 4000), s.ask(c, 3)
	whole := c.Ask(plain, "report", "", 12*time.Second, engine.Work{Threads: 1, CPU: time.Millisecond, Rows: 2000})
	s.Until(2 * time.Second)
	if !a.Answered || pagesOf(a) < 5 || a.Paging["token"] == "" {
		t.Fatal("not answered by pages: ", a.Answered, a.Paging)
	}
	if one.Paging["token"] != "" || pagesOf(one) != 1 || !bytes.Equal(one.Rows, world.Rows(one)) {
		t.Fatal("one page needs no token: ", one.Paging)
	}
	if !bytes.Equal(whole.Rows, world.Rows(whole)) {
		t.Fatal("who asks for no pages gets one answer")
	}
	order := from1(pagesOf(a))
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	s.reads(c, a, order)
	// it goes after page two and is back minutes later on another connection
	b := s.ask(c, 4000)
	s.Until(s.Now + 2*time.Second)
	c.Page(b.Paging["token"], 1, func(client.Answer) {})
	s.Until(s.Now + time.Second)
	c.Drop()
	s.Until(s.Now + 7*time.Minute)
	s.reads(s.client(), b, from1(pagesOf(b)))
	s.Until(s.Now + 16*time.Minute) // past its life
	late := ""
	s.client().Page(b.Paging["token"], 1, func(ans client.Answer) { late = ans.Why })
	s.Until(s.Now + time.Second)
	if late != "no such page" {
		t.Error("past its life: ", late)
	}
	s.Until(s.Now + 3*time.Second)
	if s.keeper.Live() != 0 {
		t.Errorf("%d bytes are left behind", s.keeper.Live())
	}
	s.done()
}

func TestResultLargerThanTheSpool(t *testing.T) {
	s := fresh(t)
	c := s.client()
	a := s.ask(c, 400_000) // 10 MB
	killed := ""
	c.Heard = func(_ *world.Asked, ans client.Answer) { killed = ans.Why }
	s.Until(15 * time.Second)
	if !a.Answered || a.Answer != client.Killed || !strings.Contains(killed, "too large") || !strings.Contains(killed, "7864320") {
		t.Fatal(a.Answered, a.Answer, killed)
	}
	if s.keeper.Live() != 0 {
		t.Errorf("%d bytes are left behind", s.keeper.Live())
	}
	s.done()
}

// What is given up while it is drawn leaves nothing behind, whoever gave it up.
func TestAbandonedResultLeavesNothingBehind(t *testing.T) {
	for name, trouble := range map[string]func(s *spooled, c *world.Client, a *world.Asked){
		"the client cancels":  func(s *spooled, c *world.Client, a *world.Asked) { c.Leave(a) },
		"the client vanishes": func(s *spooled, c *world.Client, a *world.Asked) { c.Drop() },
		"the engine dies": func(s *spooled, c *world.Client, a *world.Asked) {
			for _, e := range s.Engines {
				e.Crash(time.Minute)
			}
		},
		"the engine goes silent": func(s *spooled, c *world.Client, a *world.Asked) {
			for _, e := range s.Engines {
				e.Vanish()
			}
		},
		"the disk is full": func(s *spooled, c *world.Client, a *world.Asked) {
			s.d.Half = true
			s.d.Fail = func(verb, _ string) error {
				if verb == "write" {
					return syscall.ENOSPC
				}
				return nil
			}
		},
		"the disk refuses a sync": func(s *spooled, c *world.Client, a *world.Asked) {
			s.d.Fail = func(verb, _ string) error {
				if verb == "sync" {
					return syscall.EIO
				}
				return nil
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := fresh(t)
			c := s.client()
			a := s.ask(c, 120_000) // 3 MB: to disk as it comes
			s.Until(100 * time.Millisecond)
			if s.keeper.Total() == 0 || a.Answered {
				t.Fatal("it is not under way")
			}
			trouble(s, c, a)
			s.Until(20 * time.Second)
			s.d.Fail = nil
			s.Until(40 * time.Second)
			if !a.Answered && !a.Left {
				t.Error("no answer")
			}
			if a.Answered && a.Answer == client.Finished {
				t.Error("finished all the same")
			}
			if held, _, _ := s.R.SpoolUsage(); held != 0 || s.keeper.Live() != 0 {
				t.Errorf("%d results and %d bytes are left behind", held, s.keeper.Live())
			}
			for _, f := range s.History.Done(s.Now) {
				t.Error("broken: ", f)
			}
			c = s.client() // it goes on
			if name != "the engine goes silent" && name != "the engine dies" {
				b := s.ask(c, 4000)
				s.Until(s.Now + 3*time.Second)
				s.reads(c, b, from1(pagesOf(b)))
			}
		})
	}
}

// The program ends between any two writes; the next one serves what was promised, by
// the tokens of the one before, and nothing that was not.
func TestPromisedResultsSurviveARestart(t *testing.T) {
	s := fresh(t)
	c := s.client()
	var asked []*world.Asked
	promisedAt := map[*world.Asked]int{}
	c.Heard = func(a *world.Asked, _ client.Answer) { promisedAt[a] = s.d.Steps() }
	for range 8 {
		asked = append(asked, s.ask(c, 3000))
		s.Until(s.Now + 40*time.Millisecond)
	}
	s.Until(s.Now + 3*time.Second)
	steps := s.d.Steps()
	served := 0
	for k := 0; k <= steps; k += max(1, steps/40) {
		d := s.d.After(k, disk.Torn)
		next := newSpooled(t, d, s.x.After(k, d), limits(), nil)
		nc := next.client()
		for _, a := range asked {
			if at, was := promisedAt[a]; was && at <= k {
				next.reads(nc, a, from1(pagesOf(a)))
				served++
			}
		}
		next.Until(next.Now + time.Second)
		if held, _, _ := next.R.SpoolUsage(); held > len(asked) {
			t.Fatalf("%d results of %d", held, len(asked))
		}
	}
	if served < 20 {
		t.Fatal("the cuts say nothing: ", served)
	}
	s.done()
}

// An engine that drains hands out what it has; one whose answers are spoilt is asked again.
func TestPagesOfADrainingOrGarblingEngine(t *testing.T) {
	for name, trouble := range map[string]func(s *spooled){
		"drains": func(s *spooled) {
			for _, e := range s.Engines {
				s.Tell(e, "DRAINING")
			}
		},
		"garbles": func(s *spooled) {
			for _, e := range s.Engines {
				e.Spoil = 3
			}
		},
		"ends its connections": func(s *spooled) {
			for _, e := range s.Engines {
				e.Reset(s.Now, false)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := fresh(t)
			c := s.client()
			a := s.ask(c, 120_000)
			s.Until(100 * time.Millisecond)
			trouble(s)
			s.Until(8 * time.Second)
			if a.Answer != client.Finished || !a.Answered {
				t.Fatal("not finished: ", a.Answered, a.Answer)
			}
			s.reads(s.client(), a, from1(pagesOf(a)))
			s.done()
		})
	}
}

// A mutating query whose result can't be kept is killed, and never run again.
func TestMutatingQueryIsNotRetriedAfterSpoolFailure(t *testing.T) {
	s := fresh(t)
	c := s.client()
	s.serial++
	a := c.Ask(fmt.Sprintf("%016x", s.serial), "load", "k", 12*time.Second,
		engine.Work{Threads: 1, CPU: 20 * time.Millisecond, MemoryMB: 10, Rows: 120_000, Load: true}, "pages", "1")
	s.Until(100 * time.Millisecond)
	s.d.Fail = func(verb, _ string) error {
		if verb == "write" {
			return syscall.ENOSPC
		}
		return nil
	}
	s.Until(20 * time.Second)
	if !a.Answered || a.Answer != client.Killed || s.History.Sent != 1 {
		t.Error(a.Answered, a.Answer, s.History.Sent)
	}
	s.done()
}

func TestCorruptPageIsNeverServed(t *testing.T) {
	s := fresh(t)
	c := s.client()
	a := s.ask(c, 120_000) // most of it is on disk only
	s.Until(5 * time.Second)
	names, _ := s.d.List()
	for _, name := range names {
		if strings.HasSuffix(name, ".seg") {
			f, _ := s.d.Open(name)
			size, _ := f.Size()
			for at := int64(100); at < size; at += 9000 {
				s.d.Flip(name, at, 3)
			}
		}
	}
	spoilt, good, want := 0, 0, world.Rows(a)
	for i := range pagesOf(a) {
		c.Page(a.Paging["token"], i, func(ans client.Answer) {
			if ans.Kind == client.Finished && !bytes.Contains(want, ans.Rows) {
				t.Error("a spoilt page is served")
			}
			if ans.Kind == client.Killed {
				spoilt++
			} else {
				good++
			}
		})
		s.Until(s.Now + 10*time.Millisecond)
	}
	s.Until(s.Now + time.Second)
	if spoilt < 50 {
		t.Errorf("%d pages spoilt, %d good", spoilt, good)
	}
	if !strings.Contains(strings.Join(s.Said, "\n"), "the page is spoilt") {
		t.Error("nothing in the log")
	}
	s.done()
}

// A thousand clients read slowly; memory stays within its bound and engines are free.
func TestThousandSlowPageReaders(t *testing.T) {
	d := disk.New()
	l := limits()
	l.MaxDiskBytes, l.TeamShare = 256<<20, 1
	s := newSpooled(t, d, disk.NewIndex(d), l, nil)
	var all []*world.Asked
	most := int64(0)
	for range 1000 {
		c := s.client()
		a := s.ask(c, 1500)
		all = append(all, a)
		next := 1
		var read func()
		read = func() {
			if next < pagesOf(a) {
				c.Page(a.Paging["token"], next, func(client.Answer) { s.After(16*time.Second, read) }) // 1 KB/s
				next++
			}
		}
		c.Heard = func(*world.Asked, client.Answer) { s.After(time.Second, read) }
		s.Until(s.Now + 10*time.Millisecond)
		_, memory, _ := s.R.SpoolUsage()
		most = max(most, memory)
	}
	s.Until(s.Now + 30*time.Second)
	answered := 0
	for _, a := range all {
		if a.Answered && a.Answer == client.Finished {
			answered++
		}
	}
	if _, memory, _ := s.R.SpoolUsage(); memory > l.MaxMemoryBytes || most > l.MaxMemoryBytes {
		t.Errorf("%d bytes in memory of %d", max(memory, most), l.MaxMemoryBytes)
	}
	if answered < 990 {
		t.Errorf("%d of 1000 finished", answered)
	}
	s.done()
}

// Teams' tokens open for their own team alone, and spooled work is charged as any other.
func TestPageTokensAndChargesAreByTenant(t *testing.T) {
	d := disk.New()
	shape := &fairqueue.Config{Tenants: bench.Teams(), TrustedAddresses: bench.Homes}
	s := newSpooled(t, d, disk.NewIndex(d), limits(), shape)
	c := s.client()
	a := s.ask(c, 3000, "team", "gauges-1")
	s.Until(3 * time.Second)
	got := map[string]client.Kind{}
	for _, team := range []string{"gauges-1", "gauges-2", ""} {
		c.Page(a.Paging["token"], 1, func(ans client.Answer) { got[team] = ans.Kind }, "team", team)
	}
	s.Until(s.Now + time.Second)
	if got["gauges-1"] != client.Finished || got["gauges-2"] != client.Killed || got[""] != client.Killed {
		t.Error(got)
	}
	charged := 0.0
	s.R.EachTenant(func(path string, _ int, n fairqueue.Counts) {
		if strings.HasSuffix(path, "gauges-1") {
			charged = n.ChargedThreadSeconds
		}
	})
	if charged < 0.015 || charged > 0.03 {
		t.Errorf("%v thread seconds charged, not 0.02", charged)
	}
	s.done()
}
