// Package resultcache is a bounded cache of finished answers of read-only queries. What is
// kept is found by team, resource group and statement, byte for byte, and is fresh for
// as long as the set-up says. Of many who ask the same at once one leads and the others
// follow: one run at an engine answers them all. It is a pure core: no I/O, no clock,
// no goroutine. Times are spans since the start unless a name says wall (milliseconds
// since 1970), sizes bytes.
//
// Two things end what is kept and what is being drawn alike: a load of its tables, from
// when it was taken until nothing of it is out any more, and a purge. A run that either
// struck still answers whoever leads it, who asked its engine before; it is not kept,
// and nobody is answered from it who comes after.
//
// Whose queries may come here is the caller's to see to: read-only ones, without a
// token and without an order by key.
package resultcache

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/intrusivelist"
)

// Limits are the cache's figures. All must be set but Groups.
type Limits struct {
	Fresh  time.Duration // an answer is served for so long from when its run began
	Memory int64         // of all that is kept, statements too
	Count  int           // answers kept at once
	Answer int64         // a larger one is not kept
	Team   float64       // part of Memory that a team may have before its answers are the first to go
	Groups []string      // whose answers are kept; none: of all that are read-only
}

// Usual are the figures where the set-up says nothing.
func Usual() Limits {
	return Limits{Fresh: 10 * time.Second, Memory: 16 << 20, Count: 10_000, Answer: 1 << 20, Team: 0.25}
}

// Unusable is a figure that no cache can be made with.
type Unusable struct{ Figure, Why string }

func (e *Unusable) Error() string { return "answers: " + e.Figure + " " + e.Why }

// Remedy says what an operator can do.
func (e *Unusable) Remedy() string {
	return "set answers." + e.Figure + " in the set-up, or leave answers out: then every query goes to an engine"
}

// Errors is one of each type that this package gives.
func Errors() []fleet.Remedied {
	return []fleet.Remedied{&Unusable{"fresh", "is 0s: nothing could ever be served"}}
}

// Check says what is wrong with the figures, nil if nothing is.
func (l Limits) Check() error {
	switch {
	case l.Fresh <= 0:
		return &Unusable{"fresh", fmt.Sprintf("is %v: nothing could ever be served", l.Fresh)}
	case l.Memory <= 0:
		return &Unusable{"memory_mb", "leaves no room for any answer"}
	case l.Count <= 0:
		return &Unusable{"count", fmt.Sprintf("is %d: nothing could ever be kept", l.Count)}
	case l.Answer <= 0:
		return &Unusable{"answer_kb", "leaves no room for any answer"}
	case !(l.Team > 0) || l.Team > 1:
		return &Unusable{"team_share", fmt.Sprintf("is %v, and must be over 0 and up to 1", l.Team)}
	}
	return nil
}

// overhead is what an answer takes beside its pages and statement.
const overhead = 256

// Ask is one query that asks. What is in it must not change until it is out.
type Ask struct {
	Team      string
	Group     int
	Statement []byte
	Tables    []int64       // all that it reads; none: it can't be told
	Index     uint64        // of the record when its query was taken
	Wall      int64         // and when that was
	Until     time.Duration // it wants no answer later: it leads nobody from then on
	Of        any           // the caller's

	run *run
}

// run is what is being drawn, and who waits for it.
type run struct {
	hash      uint64
	serial    uint64
	lead      *Ask
	followers []*Ask
	began     time.Duration
	wall      int64
	index     uint64
	struck    bool // by a load or a purge: not to be kept, and nobody else follows it
}

// kept is one answer.
type kept struct {
	hash      uint64
	team      *team
	group     int
	statement []byte
	tables    []int64
	pages     [][]byte
	size      int64
	ends      time.Duration
	wall      int64                       // when its run began
	index     uint64                      // of the record then
	used      uint64                      // the higher the later
	inUse     intrusivelist.Element[kept] // of its team's byUse
}

type team struct {
	name  string
	bytes int64
	byUse intrusivelist.List[kept] // the longest unused first
}

// Counts are counted since the start.
type Counts struct {
	Hits, Followed, Led, Passed int // what became of those who asked
	Kept, Large, Struck         int // what became of runs that finished
	Evicted, Expired, Loaded    int // what became of answers that were kept
	Purged                      int
}

// Cache is one controller's.
type Cache struct {
	Limits
	Counts Counts

	now    time.Duration
	wall   int64 // at the start
	index  uint64
	serial uint64
	bytes  int64
	count  int
	kept   map[uint64][]*kept
	runs   map[uint64][]*run // that may be followed
	all    map[*run]bool     // and those that may not
	teams  map[string]*team
	loads  map[int64]int // in hand, by table group
	blind  int           // in hand whose tables can't be told
}

// New makes one. wall is the start in milliseconds since 1970. Its error is an Unusable.
func New(l Limits, wall int64) (*Cache, error) {
	if err := l.Check(); err != nil {
		return nil, err
	}
	return &Cache{Limits: l, wall: wall, kept: map[uint64][]*kept{}, runs: map[uint64][]*run{}, all: map[*run]bool{},
		teams: map[string]*team{}, loads: map[int64]int{}}, nil
}

// Held is what is kept, and how many runs are being drawn.
func (c *Cache) Held() (count int, bytes int64, runs int) { return c.count, c.bytes, len(c.all) }

func (c *Cache) at(now time.Duration) { c.now = max(c.now, now) }

func hashOf(a *Ask) uint64 {
	var d xxhash.Digest
	d.Reset()
	var p [16]byte
	binary.LittleEndian.PutUint64(p[:], uint64(a.Group))
	binary.LittleEndian.PutUint64(p[8:], uint64(len(a.Team)))
	d.Write(p[:])
	d.WriteString(a.Team)
	d.Write(a.Statement)
	return d.Sum64()
}

// Verdict is what becomes of who asks.
type Verdict int

const (
	Pass   Verdict = iota // it goes its way: nothing here is for it, and it owes nothing
	Hit                   // answered
	Lead                  // it goes its way, and what comes of it is to be told by Finished or Left
	Follow                // it waits until another's Finished or Left names it, or leaves by Left
)

// Ask takes who asks in. With Hit come the pages, which must not be changed.
func (c *Cache) Ask(now time.Duration, a *Ask) (Verdict, [][]byte) {
	c.at(now)
	c.index = max(c.index, a.Index)
	if c.loading(a.Tables) { // what it reads is being changed
		c.Counts.Passed++
		return Pass, nil
	}
	h := hashOf(a)
	for _, k := range c.kept[h] {
		if k.team.name != a.Team || k.group != a.Group || !bytes.Equal(k.statement, a.Statement) {
			continue
		}
		if c.now >= k.ends {
			c.Counts.Expired++
			c.drop(k)
			break
		}
		c.Counts.Hits++
		c.touch(k)
		return Hit, k.pages
	}
	for _, r := range c.runs[h] {
		if l := r.lead; l.Team == a.Team && l.Group == a.Group && bytes.Equal(l.Statement, a.Statement) {
			if c.now-r.began >= c.Fresh { // what it will tell is older than answers may be
				continue
			}
			c.Counts.Followed++
			a.run = r
			r.followers = append(r.followers, a)
			return Follow, nil
		}
	}
	c.lead(a, h)
	return Lead, nil
}

func (c *Cache) lead(a *Ask, h uint64) {
	c.Counts.Led++
	c.serial++
	r := &run{hash: h, serial: c.serial, lead: a, began: c.now, wall: c.wall + c.now.Milliseconds(), index: c.index}
	a.run, c.all[r] = r, true
	if r.struck = c.loading(a.Tables); !r.struck {
		c.runs[h] = append(c.runs[h], r)
	}
}

// Finished tells that who leads has its answer, which must not be changed any more. It
// names all that followed and are answered by it, too.
func (c *Cache) Finished(now time.Duration, a *Ask, pages [][]byte) (others []*Ask) {
	c.at(now)
	r := a.run
	if r == nil || r.lead != a {
		return nil
	}
	a.run = nil
	c.out(r)
	others, r.followers = r.followers, nil
	for _, o := range others {
		o.run = nil
	}
	if r.struck {
		c.Counts.Struck++
	} else {
		c.keep(r, a, pages)
	}
	return others
}

// Left tells that an ask wants no answer any more, or got another than finished. If it
// led, who follows next leads: that one is named and has to go its way now.
func (c *Cache) Left(now time.Duration, a *Ask) (next *Ask) {
	c.at(now)
	r := a.run
	if r == nil {
		return nil
	}
	a.run = nil
	if r.lead != a {
		r.followers = slices.DeleteFunc(r.followers, func(o *Ask) bool { return o == a })
		return nil
	}
	c.out(r)
	return c.next(r)
}

// next has the first follower whose time isn't over lead a run anew. The others follow it;
// those whose time is over stay until they leave.
func (c *Cache) next(r *run) (next *Ask) {
	i := slices.IndexFunc(r.followers, func(o *Ask) bool { return c.now < o.Until })
	if i < 0 {
		for _, o := range r.followers {
			o.run = nil
		}
		return nil
	}
	next = r.followers[i]
	rest := slices.Delete(r.followers, i, i+1)
	r.followers = nil
	c.lead(next, r.hash)
	next.run.followers = rest
	for _, o := range rest {
		o.run = next.run
	}
	return next
}

// out ends a run.
func (c *Cache) out(r *run) {
	delete(c.all, r)
	c.hide(r)
}

// hide has nobody follow a run any more.
func (c *Cache) hide(r *run) {
	l := slices.DeleteFunc(c.runs[r.hash], func(x *run) bool { return x == r })
	if c.runs[r.hash] = l; len(l) == 0 {
		delete(c.runs, r.hash)
	}
}

func (c *Cache) keep(r *run, a *Ask, pages [][]byte) {
	size := int64(overhead + len(a.Statement) + 24*len(pages))
	for _, p := range pages {
		size += int64(cap(p))
	}
	if size > c.Answer || size > c.Memory {
		c.Counts.Large++
		return
	}
	if c.now >= r.began+c.Fresh {
		c.Counts.Expired++
		return
	}
	for c.bytes+size > c.Memory || c.count >= c.Count {
		c.Counts.Evicted++
		c.drop(c.leastUsed())
	}
	t := c.teams[a.Team]
	if t == nil {
		t = &team{name: a.Team}
		c.teams[a.Team] = t
	}
	k := &kept{hash: r.hash, team: t, group: a.Group, statement: a.Statement, tables: a.Tables, pages: pages, size: size,
		ends: r.began + c.Fresh, wall: r.wall, index: r.index}
	c.Counts.Kept++
	c.kept[r.hash] = append(c.kept[r.hash], k)
	c.bytes += size
	c.count++
	t.bytes += size
	c.link(k)
}

// leastUsed is who goes first: the longest unused of teams over their share, or of all.
func (c *Cache) leastUsed() (least *kept) {
	over := false
	for _, t := range c.teams {
		o := float64(t.bytes) > c.Team*float64(c.Memory)
		if least == nil || o && !over || o == over && t.byUse.First().Value.used < least.used {
			least, over = t.byUse.First().Value, o
		}
	}
	return least
}

func (c *Cache) link(k *kept) {
	c.serial++
	k.used = c.serial
	t := k.team
	t.byUse.Append(&k.inUse, k)
}

func (c *Cache) touch(k *kept) {
	k.team.byUse.Remove(&k.inUse)
	c.link(k)
}

func (c *Cache) drop(k *kept) {
	k.team.byUse.Remove(&k.inUse)
	c.bytes -= k.size
	c.count--
	if k.team.bytes -= k.size; k.team.byUse.First() == nil {
		delete(c.teams, k.team.name)
	}
	l := slices.DeleteFunc(c.kept[k.hash], func(x *kept) bool { return x == k })
	if c.kept[k.hash] = l; len(l) == 0 {
		delete(c.kept, k.hash)
	}
}

// those are the answers kept for which something holds, in the order of their last use.
func (c *Cache) those(holds func(k *kept) bool) (l []*kept) {
	for _, t := range c.teams {
		for e := t.byUse.First(); e != nil; e = e.Next() {
			if k := e.Value; holds(k) {
				l = append(l, k)
			}
		}
	}
	slices.SortFunc(l, func(a, b *kept) int { return cmp.Compare(a.used, b.used) })
	return l
}

// strike has what is being drawn not kept and followed by nobody else, where something
// holds for it. They come in the order in which they began.
func (c *Cache) strike(holds func(r *run) bool) (l []*run) {
	for r := range c.all {
		if holds(r) {
			r.struck = true
			c.hide(r)
			l = append(l, r)
		}
	}
	slices.SortFunc(l, func(a, b *run) int { return cmp.Compare(a.serial, b.serial) })
	return l
}

// meets: one of two lists of tables has what the other has, too; where one can't be
// told it may.
func meets(a, b []int64) bool { return len(a) == 0 || len(b) == 0 || fleet.Meet(a, b) }

// loading: something in hand changes some of these tables.
func (c *Cache) loading(tables []int64) bool {
	return c.blind > 0 || len(tables) == 0 && len(c.loads) > 0 || slices.ContainsFunc(tables, func(t int64) bool { return c.loads[t] > 0 })
}

// Loading tells that a query that changes tables was taken; none: it isn't known which.
// Until Loaded nothing of these is served or kept. Runs of these tables are kept no more; who
// leads or follows one asked before the load and is answered by it.
func (c *Cache) Loading(now time.Duration, tables []int64) {
	c.at(now)
	c.add(tables, 1)
	for _, k := range c.those(func(k *kept) bool { return meets(k.tables, tables) }) {
		c.Counts.Loaded++
		c.drop(k)
	}
	c.strike(func(r *run) bool { return meets(r.lead.Tables, tables) })
}

// Loaded tells that nothing of a query that changes tables is out any more.
func (c *Cache) Loaded(now time.Duration, tables []int64) {
	c.at(now)
	c.add(tables, -1)
}

func (c *Cache) add(tables []int64, n int) {
	if len(tables) == 0 {
		c.blind += n
	}
	for _, t := range tables {
		if c.loads[t] += n; c.loads[t] <= 0 {
			delete(c.loads, t)
		}
	}
}

// Drop purges: what is kept of a scope goes at once, and what was asked for before a
// place in the record is neither kept nor served to who follows it, or comes later.
// Those named followed such a run and have to go their way now.
func (c *Cache) Drop(now time.Duration, s *fleet.Scope, index uint64) (found fleet.Counts, next []*Ask) {
	c.at(now)
	c.index = max(c.index, index)
	for _, k := range c.those(func(k *kept) bool { return k.index < index && s.Means(k.team.name, k.tables, k.wall) }) {
		c.Counts.Purged++
		found.Answers++
		found.Bytes += k.size
		c.drop(k)
	}
	askedBefore := func(r *run) bool { // nobody is served from such a run any more
		return r.index < index && s.Means(r.lead.Team, r.lead.Tables, r.wall)
	}
	for _, r := range c.strike(askedBefore) {
		if n := c.next(r); n != nil {
			next = append(next, n)
		}
	}
	return found, next
}

// Sweep is due now and then: what is fresh no more goes.
func (c *Cache) Sweep(now time.Duration) {
	c.at(now)
	for _, k := range c.those(func(k *kept) bool { return c.now >= k.ends }) {
		c.Counts.Expired++
		c.drop(k)
	}
}

// Text tells the counters.
func (c *Cache) Text() string {
	n := &c.Counts
	count, size, runs := c.Held()
	return fmt.Sprintf("; answers kept %d bytes %d being drawn %d, hits %d followed %d led %d passed %d, kept %d large %d struck %d, evicted %d expired %d loaded %d purged %d",
		count, size, runs, n.Hits, n.Followed, n.Led, n.Passed, n.Kept, n.Large, n.Struck, n.Evicted, n.Expired, n.Loaded, n.Purged)
}
