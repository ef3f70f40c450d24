package spool

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Config{Seed: 20261201, Checks: 300})
}

func secrets(seed uint64) func() []byte {
	rng := rand.New(rand.NewPCG(seed, 4))
	return func() []byte {
		p := make([]byte, 32)
		for i := range p {
			p[i] = byte(rng.Uint32())
		}
		return p
	}
}

func newKeyring(t interface{ Fatal(...any) }) *Keyring {
	k, err := NewKeyring(nil, time.Hour, 1_700_000_000_000, secrets(1))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// committedResult is the model's record of a committed result.
type committedResult struct {
	r           *Result
	token       string
	tenant      string
	pages       [][]byte
	read        map[int]bool
	readAt      time.Duration
	committedAt time.Duration
}

// model runs random operations on a spool whose disk tasks complete later, and checks its limits.
type model struct {
	t          *rapid.T
	c          *Core
	now        time.Duration
	work       []*DiskTask
	disk       map[uint64]map[int][]byte
	incoming   []*incomingResult
	committed  map[uint64]*committedResult
	writesFail bool
	index      uint64 // of the last purge
	purged     int
}

type incomingResult struct {
	r               *Result
	tenant          string
	bytes           []byte
	waiting         bool
	commitRequested bool // Commit was called
}

func (b *model) perform(w *DiskTask) {
	for _, p := range w.Pages {
		if b.disk[p.ResultID] == nil {
			b.disk[p.ResultID] = map[int][]byte{}
		}
		b.disk[p.ResultID][int(p.Number)] = bytes.Clone(p.Body)
	}
	if b.writesFail && len(w.Pages) > 0 {
		w.Err = errors.New("no space")
	}
	for _, id := range w.Drop {
		if h := b.committed[id]; h != nil {
			b.checkEvictable(h)
			delete(b.committed, id)
		}
		delete(b.disk, id)
	}
	if f := w.Fetch; f != nil {
		p, ok := b.disk[f.ResultID][f.Page]
		if !ok {
			b.t.Fatal("a page is read that is not on disk")
		}
		w.FetchedPage = p
	}
	for _, l := range b.disk {
		for _, p := range l {
			w.BytesOnDisk += int64(len(p)) + recordOverheadBytes
		}
	}
	w.OnDone(b.now)
}

// purge checks that no result of a scope is found from the call on, and that the disk holds none once
// erased is called.
func (b *model) purge(s *fleet.Scope) {
	b.index++
	var purgedIDs []uint64
	unreachable := false
	b.c.Purge(b.now, s, b.index, func() { unreachable = true }, func(n fleet.InvalidationCounts) {
		b.purged += int(n.Results)
		for _, id := range purgedIDs {
			if b.disk[id] != nil {
				b.t.Fatal("erased was called with a purged result left on disk")
			}
		}
	})
	if !unreachable {
		b.t.Fatal("Purge returned without calling unreachable")
	}
	for id, h := range b.committed {
		if h.r.purged {
			purgedIDs = append(purgedIDs, id)
			delete(b.committed, id)
			b.c.ReadPage(b.now, []byte(h.token), h.tenant, 0, func(_ []byte, err error) {
				if err != ErrPageNotFound {
					b.t.Fatal("a token opens a purged result: ", err)
				}
			})
		}
	}
	for _, l := range []map[uint64]*Result{b.c.results} {
		for _, r := range l {
			if s.Matches(r.tenant.name, r.tag.Tables, r.createdUnixMillis) {
				b.t.Fatal("a result in the scope is left after the purge")
			}
		}
	}
}

// checkEvictable checks that a dropped result was purged or expired, or that none or all of its pages after
// the first were read.
func (b *model) checkEvictable(h *committedResult) {
	within := b.now < min(h.readAt+b.c.IdleTimeout, h.committedAt+b.c.MaxAge)
	if !h.r.purged && within && len(h.read) > 0 && len(h.read) < len(h.pages)-1 {
		b.t.Fatalf("dropped while it was being read: %d of %d pages", len(h.read), len(h.pages))
	}
}

func (b *model) check() {
	memory, disk, count := int64(0), int64(0), 0
	see := func(r *Result) {
		for _, p := range r.pages {
			if p.body != nil {
				memory += int64(p.size)
			}
		}
		disk += r.onDisk
		count++
	}
	for r := range b.c.receiving {
		see(r)
	}
	for _, r := range b.c.results {
		see(r)
	}
	results, m, d := b.c.Usage()
	if results != count || m != memory || d != disk {
		b.t.Fatalf("the spool holds %d results, %d and %d bytes, and reports %d, %d, %d", count, memory, disk,
			results, m, d)
	}
	if m > b.c.MaxMemoryBytes || d > b.c.MaxDiskBytes || count > b.c.MaxResults+len(b.c.receiving) {
		b.t.Fatalf("over a limit: %d results, %d of %d in memory, %d of %d on disk", count, m, b.c.MaxMemoryBytes,
			d, b.c.MaxDiskBytes)
	}
	for name, tenant := range b.c.tenants {
		n, size := 0, int64(0)
		for _, l := range []map[*Result]bool{b.c.receiving} {
			for r := range l {
				if r.tenant == tenant {
					n, size = n+1, size+r.bytes
				}
			}
		}
		for _, r := range b.c.results {
			if r.tenant == tenant {
				n, size = n+1, size+r.bytes
			}
		}
		if size > b.c.MaxTenantBytes {
			b.t.Fatalf("team %s has %d bytes of %d", name, size, b.c.MaxTenantBytes)
		}
		if n != tenant.results || size != tenant.bytes {
			b.t.Fatalf("team %s has %d results of %d bytes, not %d of %d", name, n, size, tenant.results, tenant.bytes)
		}
	}
}

func TestModel(t *testing.T) {
	committed, evicted, waited, served, purged := 0, 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{MaxMemoryBytes: 4000, MaxDiskBytes: 20_000, MaxResults: 12, MaxResultBytes: 9000,
			TenantShare: 0.3, MaxTenantResults: 6, MaxTenantBytes: 14_000, IdleTimeout: 20 * time.Second,
			MaxAge: time.Minute, PageBytes: 300, MaxWritingBytes: 400, MaxReads: 4}
		if rapid.Bool().Draw(t, "no disk") {
			l.MaxDiskBytes = 0
		}
		b := &model{t: t, disk: map[uint64]map[int][]byte{}, committed: map[uint64]*committedResult{}}
		b.c = New(l, newKeyring(t), 1_700_000_000_000, 1<<32, func(w *DiskTask) { b.work = append(b.work, w) })
		add := func(k *incomingResult) {
			p := bytes.Repeat([]byte{byte('a' + len(k.bytes)%26)}, rapid.IntRange(1, 400).Draw(t, "size"))
			v, err := b.c.AddPage(b.now, k.r, p, 1,
				b.now+rapid.SampledFrom([]time.Duration{time.Second, 15 * time.Second}).Draw(t, "until"))
			if err != nil != (v == PageRefused) {
				t.Fatal("AddPage must return an error exactly if it refuses the page")
			}
			switch v {
			case PageAccepted:
				k.bytes = append(k.bytes, p...)
			case WaitForSpace:
				k.waiting = true
				b.c.OnSpace(func() { k.waiting = false })
			case PageRefused:
				b.c.Drop(b.now, k.r)
				k.r = nil
			}
		}
		for range 250 {
			b.now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			b.writesFail = rapid.IntRange(0, 30).Draw(t, "fails") == 0
			switch x := rapid.IntRange(0, 12).Draw(t, "what"); {
			case x == 0:
				tenant := []string{"linz", "steyr", "enns"}[rapid.IntRange(0, 2).Draw(t, "team")]
				if r, err := b.c.Admit(b.now, fmt.Sprint("q", len(b.incoming)), tenant,
					InvalidationTag{LogIndex: b.index, Tables: []int64{int64(len(b.incoming) % 3)}}); err == nil {
					b.incoming = append(b.incoming, &incomingResult{r: r, tenant: tenant})
				}
			case x < 6 && len(b.incoming) > 0:
				k := b.incoming[rapid.IntRange(0, len(b.incoming)-1).Draw(t, "take")]
				if k.r != nil && k.r.purged && !k.commitRequested {
					if v, err := b.c.AddPage(b.now, k.r, []byte("x"), 1, b.now); v != PageRefused || err != ErrPurged {
						t.Fatal("AddPage accepts a page of a purged result: ", v, err)
					}
					k.r = nil
				} else if k.r != nil && !k.waiting && !k.commitRequested {
					add(k)
				}
			case x == 6 && len(b.incoming) > 0:
				k := b.incoming[rapid.IntRange(0, len(b.incoming)-1).Draw(t, "take")]
				if k.r == nil || k.r.purged || k.commitRequested || len(k.bytes) == 0 {
					break
				}
				k.commitRequested = true
				b.c.Commit(b.now, k.r, func(err error) {
					if err != nil {
						return
					}
					committed++
					h := &committedResult{r: k.r, token: b.c.Token(k.r), tenant: k.tenant,
						read: map[int]bool{}, readAt: b.now,
						committedAt: k.r.createdAt}
					from := 0
					for i := range k.r.pages {
						h.pages = append(h.pages, k.bytes[from:from+int(k.r.pages[i].size)])
						from += int(k.r.pages[i].size)
					}
					if from != len(k.bytes) {
						t.Fatal("bytes are lost")
					}
					if len(h.pages) > 1 {
						b.committed[k.r.id] = h
					}
				})
			case x == 7 && len(b.incoming) > 0:
				if k := b.incoming[rapid.IntRange(0, len(b.incoming)-1).Draw(t, "take")]; k.r != nil &&
					!k.commitRequested {
					b.c.Drop(b.now, k.r)
					k.r = nil
				}
			case x < 10 && len(b.committed) > 0:
				var h *committedResult
				n := rapid.IntRange(0, len(b.committed)-1).Draw(t, "whole")
				for id := uint64(0); id < 1<<40 && h == nil; id++ { // the n-th by ID
					if x := b.committed[1<<32+id]; x != nil {
						if n--; n < 0 {
							h = x
						}
					}
				}
				i := rapid.IntRange(0, len(h.pages)-1).Draw(t, "page")
				live := !h.r.dropped && b.now < min(h.readAt+l.IdleTimeout, h.committedAt+l.MaxAge)
				called := false
				b.c.ReadPage(b.now, []byte(h.token), h.tenant, i, func(p []byte, err error) {
					called = true
					switch {
					case err == nil && h.r.purged:
						t.Fatal("a page is served after its result was purged")
					case err == nil && !bytes.Equal(p, h.pages[i]):
						t.Fatalf("page %d differs from the page that was added", i)
					case err == nil:
						served++
						if h.readAt = b.now; i > 0 {
							h.read[i] = true
						}
					case err == ErrPageNotFound && live && !h.r.purged:
						t.Fatal("a result that has not expired is not found")
					}
				})
				if live {
					h.readAt = b.now
				} else if !called {
					t.Fatal("an expired result is read")
				}
			case x == 12 && rapid.IntRange(0, 3).Draw(t, "purge") == 0:
				b.purge(&fleet.Scope{Tenant: "linz", Tables: []int64{int64(rapid.IntRange(0, 2).Draw(t, "table"))}})
			case len(b.work) > 0:
				w := b.work[0]
				b.work = b.work[1:]
				b.perform(w)
			default:
				b.c.Sweep(b.now)
			}
			b.check()
		}
		for len(b.work) > 0 {
			w := b.work[0]
			b.work = b.work[1:]
			b.perform(w)
			b.check()
		}
		purged += b.purged
		evicted += b.c.Counts.Evicted + b.c.Counts.EvictedAfterRead
		waited += b.c.Counts.Waited
		for _, k := range b.incoming { // drop what was never committed
			if k.r != nil && !k.r.complete {
				b.c.Drop(b.now, k.r)
			}
		}
		b.now += l.MaxAge
		b.c.Sweep(b.now)
		b.check()
		if n, m, d := b.c.Usage(); n != 0 || m != 0 || d != 0 {
			t.Fatalf("left after all results expired: %d results, %d and %d bytes", n, m, d)
		}
	})
	if purged < 20 || committed < 50 || evicted < 20 || waited < 20 || served < 50 {
		t.Fatalf("the random steps reached too few cases: purged %d committed %d evicted %d waited %d served %d",
			purged, committed, evicted, waited, served)
	}
}

// commitTwoPages adds and commits a result of two pages.
func commitTwoPages(t testing.TB, c *Core, tenant string) (*Result, string) {
	r, err := c.Admit(c.now, "q", tenant, InvalidationTag{})
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if v, err := c.AddPage(c.now, r, bytes.Repeat([]byte("x"), c.PageBytes), 1,
			c.now+time.Second); v != PageAccepted {
			t.Fatal(v, err)
		}
	}
	token := ""
	c.Commit(c.now, r, func(err error) {
		if err != nil {
			t.Fatal(err)
		}
		token = c.Token(r)
	})
	return r, token
}

func newMemoryCore(t testing.TB) *Core {
	l := DefaultLimits()
	l.PageBytes = 100
	return New(l, newKeyring(t), 1_700_000_000_000, 1<<32,
		func(w *DiskTask) { t.Fatal("a disk task without a disk") })
}

// A system clock that was set back or forward doesn't make a restored result live longer than a new one.
func TestClockChangeDoesNotExtendResultLife(t *testing.T) {
	for _, off := range []time.Duration{-48 * time.Hour, -time.Minute, 0, time.Hour, 48 * time.Hour} {
		l := DefaultLimits()
		l.MaxDiskBytes = 1 << 30
		createdUnixMillis := int64(1_700_000_000_000)
		c := New(l, newKeyring(t), createdUnixMillis+off.Milliseconds(), 2<<32, func(w *DiskTask) { w.OnDone(0) })
		c.Restore(&StoredResult{Metadata{ResultID: 1, Query: "q", Tenant: "linz",
			CreatedUnixMillis: createdUnixMillis,
			ExpiresUnixMillis: createdUnixMillis + l.MaxAge.Milliseconds(),
			PageRows:          []uint32{1, 1}}, []uint32{10, 10}})
		r := c.results[1]
		left := c.TimeToLive(r)
		if want := min(l.IdleTimeout, max(0, l.MaxAge-max(0, off))); left > l.IdleTimeout ||
			off <= 0 && left != want || off > l.MaxAge && left > 0 {
			t.Errorf("clock off by %v: the result lives for another %v", off, left)
		}
	}
}

func BenchmarkRead(b *testing.B) {
	c := newMemoryCore(b)
	_, good := commitTwoPages(b, c, "linz")
	token := []byte(good)
	for b.Loop() {
		c.ReadPage(c.now, token, "linz", 1, func([]byte, error) {})
	}
}

// Results that are being received and together fill the disk must not wait for each other forever: a
// result that can't get space before its deadline is refused, so that the others can complete.
func TestFullDiskRefusesInsteadOfDeadlock(t *testing.T) {
	l := Limits{MaxMemoryBytes: 20_000, MaxDiskBytes: 40_000, MaxResults: 100, MaxResultBytes: 30_000,
		TenantShare: 1, MaxTenantResults: 100, IdleTimeout: time.Hour, MaxAge: time.Hour,
		PageBytes: 1000, MaxWritingBytes: 10_000, MaxReads: 4}
	var work []*DiskTask
	c := New(l, newKeyring(t), 0, 1<<32, func(w *DiskTask) { work = append(work, w) })
	perform := func() {
		for len(work) > 0 {
			w := work[0]
			work = work[1:]
			w.OnDone(c.now)
		}
	}
	var results []*Result
	for i := range 10 {
		r, err := c.Admit(c.now, fmt.Sprint(i), "linz", InvalidationTag{})
		if err != nil {
			t.Fatal(err)
		}
		results = append(results, r)
	}
	finished, refused := 0, 0
	for range 1000 {
		for i, r := range results {
			if r == nil {
				continue
			}
			switch v, err := c.AddPage(c.now, r, make([]byte, 1000), 1, c.now+10*time.Second); {
			case v == PageRefused:
				c.Drop(c.now, r)
				results[i] = nil
				refused++
				if !bytes.Contains([]byte(err.Error()), []byte("no room")) {
					t.Fatal(err)
				}
			case v == PageAccepted && r.bytes >= 9000:
				results[i] = nil
				c.Commit(c.now, r, func(err error) {
					if err != nil {
						t.Error(err)
					}
					finished++
				})
			}
		}
		perform()
	}
	if finished != 4 || refused != 6 { // 4 of them fit
		t.Fatalf("%d finished and %d refused of 10", finished, refused)
	}
}

// The order of eviction: results whose pages after the first were all read, expired results, the largest
// results of a tenant over its share. A result that is being read and has not expired is never evicted.
func TestEvictionOrderSparesResultsBeingRead(t *testing.T) {
	l := Limits{MaxMemoryBytes: 100_000, MaxDiskBytes: 0, MaxResults: 100, MaxResultBytes: 50_000,
		TenantShare: 0.3, MaxTenantResults: 100, IdleTimeout: time.Minute, MaxAge: time.Hour,
		PageBytes: 1000, MaxWritingBytes: 10_000, MaxReads: 4}
	c := New(l, newKeyring(t), 1_700_000_000_000, 1<<32,
		func(*DiskTask) { t.Fatal("a disk task without a disk") })
	type retained struct {
		r     *Result
		token string
	}
	keep := func(tenant string, pages int) (k retained, v AddOutcome) {
		r, err := c.Admit(c.now, "q", tenant, InvalidationTag{})
		if err != nil {
			t.Fatal(err)
		}
		for range pages {
			if v, _ = c.AddPage(c.now, r, bytes.Repeat([]byte("y"), 1000), 1, c.now+time.Second); v != PageAccepted {
				c.Drop(c.now, r)
				return retained{}, v
			}
		}
		c.Commit(c.now, r, func(error) {})
		return retained{r, c.Token(r)}, PageAccepted
	}
	read := func(k retained, pages ...int) {
		for _, i := range pages {
			c.ReadPage(c.now, []byte(k.token), k.r.tenant.name, i, func(_ []byte, err error) {
				if err != nil {
					t.Fatal(err)
				}
			})
		}
	}
	old, _ := keep("enns", 20) // has expired when space is short
	c.now += 50 * time.Second
	reading, _ := keep("linz", 25) // the largest result of a tenant over its share, but being read
	unread, _ := keep("linz", 20)
	small, _ := keep("linz", 5)
	done, _ := keep("steyr", 25)
	read(reading, 1, 2)
	read(done, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24)
	c.now += 15 * time.Second
	all := []retained{done, old, unread}
	for n := range all {
		if _, v := keep(fmt.Sprint("wels ", n), 22); v != PageAccepted {
			t.Fatal("there is no space: ", v)
		}
		for i, k := range all {
			if k.r.dropped != (i <= n) {
				t.Fatalf("after %d more results, number %d of the order is dropped: %v", n+1, i+1, k.r.dropped)
			}
		}
		if reading.r.dropped || small.r.dropped {
			t.Fatal("a result being read, or a smaller one before the largest, was evicted")
		}
	}
	c.now += 2 * time.Minute // its client stopped reading and the result has expired
	c.Sweep(c.now)
	if !reading.r.dropped {
		t.Fatal("an expired result is kept")
	}
}
