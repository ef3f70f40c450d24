package resultcache

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Config{Seed: 20261202, Checks: 400})
}

// asker is one query as the model knows it: which changes of its tables and which purges
// were over when it was asked.
type modelRequest struct {
	*Request
	receivedAt time.Duration
	leading    bool
	// what the engine that runs it read
	startedAt time.Duration
	index     uint64
	mutations [4]int
}

// world is all that really happened.
type model struct {
	t                 *rapid.T
	c                 *Cache
	now               time.Duration
	index             uint64
	mutations         [4]int // begun and ended, by table group
	mutationsInFlight []int64
	invalidations     []invalidation
	outstanding       []*modelRequest // neither answered nor left
	served            int
}

type invalidation struct {
	index uint64
	scope fleet.Scope
}

// page is what an engine tells: who asked, and when it read what.
type answerPage struct {
	team, statement string
	startedAt       time.Duration
	index           uint64
	mutations       [4]int
}

func (w *model) startFlight(x *modelRequest) {
	x.leading, x.startedAt, x.index, x.mutations = true, w.now, w.index, w.mutations
}

func (w *model) answerPages(x *modelRequest) [][]byte {
	return [][]byte{fmt.Appendf(nil, "%s|%s|%d|%d|%v", x.Team, x.Statement, x.startedAt, x.index, x.mutations[:])}
}

// sees judges an answer that the cache gave to somebody who didn't run it.
func (w *model) checkAnswer(x *modelRequest, pages [][]byte) {
	w.served++
	var p answerPage
	var l string
	parts := splitPage(string(pages[0]))
	p.team, p.statement, l = parts[0], parts[1], parts[4]
	fmt.Sscan(parts[2], (*int64)(&p.startedAt))
	fmt.Sscan(parts[3], &p.index)
	fmt.Sscanf(l, "[%d %d %d %d]", &p.mutations[0], &p.mutations[1], &p.mutations[2], &p.mutations[3])
	if p.team != x.Team || p.statement != string(x.Statement) {
		w.t.Fatalf("%s asked %s and was answered what %s asked, %s", x.Team, x.Statement, p.team, p.statement)
	}
	if x.receivedAt >= p.startedAt+w.c.Freshness {
		w.t.Fatalf("asked at %v and answered from %v", x.receivedAt, p.startedAt)
	}
	for i := range 4 { // every load taken before it was asked
		if (len(x.Tables) == 0 || slices.Contains(x.Tables, int64(i))) && p.mutations[i] < x.mutationsBefore()[i] {
			w.t.Fatalf("answered past a load of %d: %v of %v", i, p.mutations, x.mutationsBefore())
		}
	}
	for _, d := range w.invalidations {
		if p.index < d.index && d.scope.Matches(x.Team, x.Tables, p.startedAt.Milliseconds()) {
			w.t.Fatalf("answered with what was drawn before a purge: %d, %d", p.index, d.index)
		}
	}
}

func (x *modelRequest) mutationsBefore() [4]int { return x.CallerData.([4]int) }

func splitPage(s string) (l []string) {
	for len(l) < 4 {
		i := slices.Index([]byte(s), '|')
		l, s = append(l, s[:i]), s[i+1:]
	}
	return append(l, s)
}

func (w *model) find(a *Request) *modelRequest {
	i := slices.IndexFunc(w.outstanding, func(x *modelRequest) bool { return x.Request == a })
	if i < 0 || w.outstanding[i].leading && a.flight == nil {
		w.t.Fatal("one is named that doesn't follow")
	}
	return w.outstanding[i]
}

// changed: a load of a table group, or of any, began or ended.
func (w *model) countMutation(n int64) {
	for i := range w.mutations {
		if n < 0 || int64(i) == n {
			w.mutations[i]++
		}
	}
}

func (w *model) removeOutstanding(x *modelRequest) {
	w.outstanding = slices.DeleteFunc(w.outstanding, func(y *modelRequest) bool { return x == y })
}

func (w *model) check() {
	count, size := 0, int64(0)
	for _, l := range w.c.entries {
		for _, k := range l {
			count, size = count+1, size+k.size
		}
	}
	byTeam, n := int64(0), 0
	for _, t := range w.c.tenants {
		byTeam += t.bytes
		for e := t.lru.First(); e != nil; e = e.Next() {
			n++
		}
	}
	if c, b, _ := w.c.Usage(); c != count || b != size || byTeam != size || n != count || c > w.c.MaxEntries || b > w.c.MaxBytes {
		w.t.Fatalf("%d answers of %d bytes, told %d of %d, by team %d of %d", count, size, c, b, n, byTeam)
	}
	for _, x := range w.outstanding {
		if !x.leading && x.flight == nil && w.now < x.Deadline {
			w.t.Fatal("one follows nobody and was not told")
		}
	}
}

func TestModel(t *testing.T) {
	total, hits, struck, purged := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c, err := New(Limits{Freshness: 3 * time.Second, MaxBytes: 4000, MaxEntries: 8, MaxAnswerBytes: 600, TenantShare: 0.4}, 0)
		if err != nil {
			t.Fatal(err)
		}
		w := &model{t: t, c: c}
		lead := func(l ...*Request) {
			for _, a := range l {
				if a != nil {
					w.startFlight(w.find(a))
				}
			}
		}
		for range 120 {
			w.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			switch what := rapid.IntRange(0, 19).Draw(t, "what"); {
			case what < 9:
				n := rapid.IntRange(0, 5).Draw(t, "statement")
				x := &modelRequest{receivedAt: w.now, Request: &Request{Team: rapid.SampledFrom([]string{"linz", "steyr"}).Draw(t, "team"), Group: n % 2, LogIndex: w.index,
					Statement: fmt.Appendf(nil, "select %d", n), Deadline: w.now + 2*time.Second, CallerData: w.mutations}}
				if n < 4 {
					x.Tables = []int64{int64(n), int64((n + 1) % 4)}
				}
				v, pages := c.Lookup(w.now, x.Request)
				switch v {
				case Hit:
					hits++
					w.checkAnswer(x, pages)
				case Lead:
					w.startFlight(x)
					fallthrough
				case Follow:
					w.outstanding = append(w.outstanding, x)
				case Bypass:
					if len(w.mutationsInFlight) == 0 {
						t.Fatal("passed, and nothing is being loaded")
					}
				}
			case what < 15 && len(w.outstanding) > 0:
				x := w.outstanding[rapid.IntRange(0, len(w.outstanding)-1).Draw(t, "one")]
				w.removeOutstanding(x)
				if !x.leading || what == 14 || w.now >= x.Deadline {
					lead(c.Abandon(w.now, x.Request))
					break
				}
				pages := w.answerPages(x)
				for _, o := range c.Complete(w.now, x.Request, pages) {
					f := w.find(o)
					w.removeOutstanding(f)
					w.checkAnswer(f, pages)
				}
			case what < 16:
				n := int64(rapid.IntRange(-1, 3).Draw(t, "table"))
				w.mutationsInFlight = append(w.mutationsInFlight, n)
				w.countMutation(n)
				c.MutationStarted(w.now, tableList(n))
			case what < 18 && len(w.mutationsInFlight) > 0:
				c.MutationEnded(w.now, tableList(w.mutationsInFlight[0]))
				w.countMutation(w.mutationsInFlight[0])
				w.mutationsInFlight = w.mutationsInFlight[1:]
			case what < 19:
				s := fleet.Scope{Team: "linz", Tables: tableList(int64(rapid.IntRange(-1, 3).Draw(t, "table")))}
				if rapid.Bool().Draw(t, "before") {
					s.RetainedBeforeMs = max(1, (w.now - time.Second).Milliseconds())
				}
				w.index++
				w.invalidations = append(w.invalidations, invalidation{index: w.index, scope: s})
				_, next := c.Invalidate(w.now, &s, w.index)
				lead(next...)
			default:
				c.Sweep(w.now)
			}
			w.check()
		}
		total += w.served
		struck, purged = struck+c.Counts.Invalidated, purged+c.Counts.Purged
	})
	t.Logf("served %d, of them %d kept; struck %d, purged %d", total, hits, struck, purged)
	if hits < 500 || total-hits < 200 || struck < 100 || purged < 100 {
		t.Fatalf("too little arose: %d served, %d of them kept, %d struck, %d purged", total, hits, struck, purged)
	}
}

func tableList(n int64) []int64 {
	if n < 0 {
		return nil
	}
	return []int64{n}
}

// An answer drawn before a purge and ready after it is kept by nobody, and who followed
// it is answered anew.
func TestInvalidationDuringFlight(t *testing.T) {
	c, _ := New(DefaultLimits(), 0)
	ask := func() *Request {
		return &Request{Team: "linz", Statement: []byte("select 1"), Tables: []int64{3}, Deadline: time.Minute}
	}
	first, second := ask(), ask()
	v1, _ := c.Lookup(0, first)
	v2, _ := c.Lookup(0, second)
	if v1 != Lead || v2 != Follow {
		t.Fatal(v1, v2)
	}
	_, next := c.Invalidate(1, &fleet.Scope{Team: "linz", Tables: []int64{3}}, 1)
	if others := c.Complete(2, first, [][]byte{[]byte("old")}); len(others) > 0 {
		t.Error("a drawn answer is served over a purge")
	}
	if n, _, _ := c.Usage(); n > 0 {
		t.Error("a drawn answer is kept over a purge")
	}
	if len(next) != 1 || next[0] != second {
		t.Error("who followed doesn't go its way")
	}
	if v, _ := c.Lookup(3, ask()); v == Hit {
		t.Error("what was drawn before a purge is served after it")
	}
}

// A team beyond its share loses its own least used answers first.
func TestEvictionPrefersTenantOverShare(t *testing.T) {
	l := Limits{Freshness: time.Minute, MaxBytes: 4 * (entryOverheadBytes + 24 + 10 + 100), MaxEntries: 100, MaxAnswerBytes: 1000, TenantShare: 0.5}
	c, _ := New(l, 0)
	put := func(team string, n int) LookupResult {
		a := &Request{Team: team, Statement: fmt.Appendf(nil, "select %03d", n), Tables: []int64{1}, Deadline: time.Hour}
		v, _ := c.Lookup(0, a)
		c.Complete(0, a, [][]byte{make([]byte, 100)})
		return v
	}
	put("steyr", 0)
	for n := range 6 {
		put("linz", n)
	}
	if put("steyr", 0) != Hit || put("linz", 5) != Hit || put("linz", 0) != Lead {
		t.Error("not the least used of the team over its share went")
	}
}

func TestInvalidLimitsAreRejected(t *testing.T) {
	for _, l := range []Limits{{}, {Freshness: 1}, {Freshness: 1, MaxBytes: 1}, {Freshness: 1, MaxBytes: 1, MaxEntries: 1}, {Freshness: 1, MaxBytes: 1, MaxEntries: 1, MaxAnswerBytes: 1, TenantShare: 2}} {
		_, err := New(l, 0)
		var u *Unusable
		if !errors.As(err, &u) || u.Remedy() == "" {
			t.Errorf("%+v: %v", l, err)
		}
	}
}
