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

// modelRequest is a request with the state of the model when it was received.
type modelRequest struct {
	*Request
	receivedAt time.Duration
	leading    bool
	// the state that the engine read
	startedAt time.Duration
	index     uint64
	mutations [4]int
}

// model records the true order of requests, mutations and invalidations.
type model struct {
	t                 *rapid.T
	c                 *Cache
	now               time.Duration
	index             uint64
	mutations         [4]int // starts and ends of mutations, by table group
	mutationsInFlight []int64
	invalidations     []invalidation
	outstanding       []*modelRequest // neither answered nor abandoned
	served            int
}

type invalidation struct {
	index uint64
	scope fleet.Scope
}

// answerPage is the content of an answer: the request, and the state that the engine read.
type answerPage struct {
	tenant, statement string
	startedAt         time.Duration
	index             uint64
	mutations         [4]int
}

func (w *model) startFlight(x *modelRequest) {
	x.leading, x.startedAt, x.index, x.mutations = true, w.now, w.index, w.mutations
}

func (w *model) answerPages(x *modelRequest) [][]byte {
	return [][]byte{fmt.Appendf(nil, "%s|%s|%d|%d|%v", x.Tenant, x.Statement, x.startedAt, x.index,
		x.mutations[:])}
}

// checkAnswer checks an answer that came from the cache or from another request's flight.
func (w *model) checkAnswer(x *modelRequest, pages [][]byte) {
	w.served++
	var p answerPage
	var l string
	parts := splitPage(string(pages[0]))
	p.tenant, p.statement, l = parts[0], parts[1], parts[4]
	fmt.Sscan(parts[2], (*int64)(&p.startedAt))
	fmt.Sscan(parts[3], &p.index)
	fmt.Sscanf(l, "[%d %d %d %d]", &p.mutations[0], &p.mutations[1], &p.mutations[2], &p.mutations[3])
	if p.tenant != x.Tenant || p.statement != string(x.Statement) {
		w.t.Fatalf("%s requested %s and got the answer of %s to %s", x.Tenant, x.Statement, p.tenant, p.statement)
	}
	if x.receivedAt >= p.startedAt+w.c.Freshness {
		w.t.Fatalf("requested at %v and answered with the state of %v", x.receivedAt, p.startedAt)
	}
	for i := range 4 { // mutations before the request must be visible
		if (len(x.Tables) == 0 || slices.Contains(x.Tables, int64(i))) && p.mutations[i] < x.mutationsBefore()[i] {
			w.t.Fatalf("the answer misses a mutation of table %d: %v of %v", i, p.mutations, x.mutationsBefore())
		}
	}
	for _, d := range w.invalidations {
		if p.index < d.index && d.scope.Matches(x.Tenant, x.Tables, p.startedAt.Milliseconds()) {
			w.t.Fatalf("the answer was read before an invalidation: %d, %d", p.index, d.index)
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
		w.t.Fatal("a request is returned that doesn't follow a flight")
	}
	return w.outstanding[i]
}

// countMutation counts a start or end of a mutation of a table group; negative: of all groups.
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
	byTenant, n := int64(0), 0
	for _, t := range w.c.tenants {
		byTenant += t.bytes
		for e := t.lru.First(); e != nil; e = e.Next() {
			n++
		}
	}
	if c, b, _ := w.c.Usage(); c != count || b != size || byTenant != size || n != count || c > w.c.MaxEntries ||
		b > w.c.MaxBytes {
		w.t.Fatalf("the cache has %d answers of %d bytes, but reports %d of %d, and by tenant %d of %d", count,
			size, c, b, n, byTenant)
	}
	for _, x := range w.outstanding {
		if !x.leading && x.flight == nil && w.now < x.Deadline {
			w.t.Fatal("a follower lost its flight and was not returned")
		}
	}
}

func TestModel(t *testing.T) {
	total, hits, invalidated, purged := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c, err := New(Limits{Freshness: 3 * time.Second, MaxBytes: 4000, MaxEntries: 8, MaxAnswerBytes: 600,
			TenantShare: 0.4}, 0)
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
				x := &modelRequest{receivedAt: w.now, Request: &Request{
					Tenant: rapid.SampledFrom([]string{"linz", "steyr"}).Draw(t, "team"), Group: n % 2, LogIndex: w.index,
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
						t.Fatal("Bypass without a mutation in flight")
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
				s := fleet.Scope{Tenant: "linz", Tables: tableList(int64(rapid.IntRange(-1, 3).Draw(t, "table")))}
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
		invalidated, purged = invalidated+c.Counts.Invalidated, purged+c.Counts.Purged
	})
	t.Logf("served %d, of them %d cached; invalidated flights %d, purged entries %d", total, hits, invalidated,
		purged)
	if hits < 500 || total-hits < 200 || invalidated < 100 || purged < 100 {
		t.Fatalf("the random steps reached too few cases: %d served, %d of them cached, %d invalidated, %d purged",
			total, hits, invalidated, purged)
	}
}

func tableList(n int64) []int64 {
	if n < 0 {
		return nil
	}
	return []int64{n}
}

// An answer that an engine read before an invalidation and that completes after it is not cached,
// and its follower gets a new flight.
func TestInvalidationDuringFlight(t *testing.T) {
	c, _ := New(DefaultLimits(), 0)
	ask := func() *Request {
		return &Request{Tenant: "linz", Statement: []byte("select 1"), Tables: []int64{3}, Deadline: time.Minute}
	}
	first, second := ask(), ask()
	v1, _ := c.Lookup(0, first)
	v2, _ := c.Lookup(0, second)
	if v1 != Lead || v2 != Follow {
		t.Fatal(v1, v2)
	}
	_, next := c.Invalidate(1, &fleet.Scope{Tenant: "linz", Tables: []int64{3}}, 1)
	if followers := c.Complete(2, first, [][]byte{[]byte("old")}); len(followers) > 0 {
		t.Error("a follower got an answer from before the invalidation")
	}
	if n, _, _ := c.Usage(); n > 0 {
		t.Error("an answer from before the invalidation is cached")
	}
	if len(next) != 1 || next[0] != second {
		t.Error("the follower is not returned as a new leader")
	}
	if v, _ := c.Lookup(3, ask()); v == Hit {
		t.Error("an answer from before the invalidation is served after it")
	}
}

// A tenant over its share loses its own least recently used answers first.
func TestEvictionPrefersTenantOverShare(t *testing.T) {
	l := Limits{Freshness: time.Minute, MaxBytes: 4 * (entryOverheadBytes + 24 + 10 + 100), MaxEntries: 100,
		MaxAnswerBytes: 1000, TenantShare: 0.5}
	c, _ := New(l, 0)
	put := func(tenant string, n int) LookupResult {
		a := &Request{Tenant: tenant, Statement: fmt.Appendf(nil, "select %03d", n), Tables: []int64{1},
			Deadline: time.Hour}
		v, _ := c.Lookup(0, a)
		c.Complete(0, a, [][]byte{make([]byte, 100)})
		return v
	}
	put("steyr", 0)
	for n := range 6 {
		put("linz", n)
	}
	if put("steyr", 0) != Hit || put("linz", 5) != Hit || put("linz", 0) != Lead {
		t.Error("the evicted answer is not the least recently used one of the tenant over its share")
	}
}

func TestInvalidLimitsAreRejected(t *testing.T) {
	for _, l := range []Limits{{}, {Freshness: 1}, {Freshness: 1, MaxBytes: 1},
		{Freshness: 1, MaxBytes: 1, MaxEntries: 1},
		{Freshness: 1, MaxBytes: 1, MaxEntries: 1, MaxAnswerBytes: 1, TenantShare: 2}} {
		_, err := New(l, 0)
		var u *Unusable
		if !errors.As(err, &u) || u.Remedy() == "" {
			t.Errorf("%+v: %v", l, err)
		}
	}
}
