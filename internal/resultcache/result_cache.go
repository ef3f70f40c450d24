// Package resultcache is a bounded cache of finished answers of read-only queries. An entry is
// found by tenant, resource group and statement, byte for byte, and is fresh for as long as the
// set-up says. Of many equal requests at once one leads and the others follow: one run at an
// engine, a flight, answers them all. The package is a pure core: no I/O, no clock, no
// goroutine. Times are spans since the start unless a name says wall (milliseconds since
// 1970), sizes bytes.
//
// Two things end entries and flights alike: a mutation of their tables, from when it was received
// until nothing of it is in flight any more, and an invalidation. A flight that either struck
// still answers its leader, whose request came before; it is not cached, and no later
// request is answered from it.
//
// The caller sees to it that only read-only queries come here, without an idempotency key and
// without an order by key.
package resultcache

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

// Request is one query that asks for an answer. What is in it must not change while it follows or
// leads.
type Request struct {
	Team         string
	Group        int
	Statement    []byte
	Tables       []int64       // all that it reads; none: they can't be told
	LogIndex     uint64        // of the log when its query was received
	ReceivedWall int64         // and when that was
	Deadline     time.Duration // its deadline: from then on it leads no flight
	CallerData   any           // the caller's

	flight *flight // that it leads or follows; nil: none
}

// flight is one run at an engine, and the requests that wait for it.
type flight struct {
	hash      uint64
	serial    uint64 // in the order in which flights began
	leader    *Request
	followers []*Request

	startedAt   time.Duration
	startedWall int64
	logIndex    uint64 // of the log when it began
	invalidated bool   // by a mutation or an invalidation: not to be cached, and nobody else follows it
}

// entry is one cached answer.
type entry struct {
	hash      uint64
	tenant    *tenant
	group     int
	statement []byte
	tables    []int64 // none: they can't be told
	pages     [][]byte
	size      int64

	expiresAt   time.Duration
	startedWall int64  // when its flight began
	logIndex    uint64 // of the log then

	lastUse    uint64 // the higher the later
	lruElement intrusivelist.Element[entry]
}

type tenant struct {
	name  string
	bytes int64
	lru   intrusivelist.List[entry] // the longest unused first; never empty
}

// Counts are counted since the start.
type Counts struct {
	Hits, Followed, Led, Bypassed       int // what became of those who asked
	Cached, TooLarge, Invalidated       int // what became of runs that finished
	Evicted, Expired, RemovedByMutation int // what became of answers that were kept
	Purged                              int
}

// Cache is one controller's. It is used by one goroutine.
type Cache struct {
	Limits
	Counts Counts

	now       time.Duration // the latest that it was told
	startWall int64
	logIndex  uint64 // the latest that it was told
	serial    uint64 // of flights and uses

	// Cached answers.
	entries map[uint64][]*entry // by hash
	tenants map[string]*tenant  // that have entries
	bytes   int64
	count   int

	// Runs at engines.
	joinable map[uint64][]*flight // that may be followed, by hash
	flights  map[*flight]bool     // those and the others

	// Queries in flight that change tables.
	mutations        map[int64]int // by table group
	unknownMutations int           // whose tables can't be told
}

// New makes one. wall is the start in milliseconds since 1970. Its error is an Unusable.
func New(l Limits, wall int64) (*Cache, error) {
	if err := l.Check(); err != nil {
		return nil, err
	}
	return &Cache{
		Limits:    l,
		startWall: wall,
		entries:   map[uint64][]*entry{},
		tenants:   map[string]*tenant{},
		joinable:  map[uint64][]*flight{},
		flights:   map[*flight]bool{},
		mutations: map[int64]int{},
	}, nil
}

// Usage is what is cached, and how many flights there are.
func (c *Cache) Usage() (count int, bytes int64, runs int) { return c.count, c.bytes, len(c.flights) }

func (c *Cache) advance(now time.Duration) { c.now = max(c.now, now) }

func hashOf(a *Request) uint64 {
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

// LookupResult is what becomes of who asks.
type LookupResult int

const (
	Bypass LookupResult = iota // it goes its way: nothing here is for it, and it owes nothing
	Hit                        // answered
	Lead                       // it goes its way, and what comes of it is to be told by Complete or Leave
	Follow                     // it waits until another's Complete or Leave names it, or leaves by Leave
)

// Lookup takes a request. With Hit come the pages, which must not be changed.
func (c *Cache) Lookup(now time.Duration, r *Request) (LookupResult, [][]byte) {
	c.advance(now)
	c.logIndex = max(c.logIndex, r.LogIndex)
	if c.isChanging(r.Tables) {
		c.Counts.Bypassed++
		return Bypass, nil
	}
	hash := hashOf(r)
	if e := c.freshEntry(hash, r); e != nil {
		c.Counts.Hits++
		c.touch(e)
		return Hit, e.pages
	}
	for _, f := range c.joinable[hash] {
		tooOld := c.now-f.startedAt >= c.Freshness // its answer will be older than answers may be
		if !tooOld && f.leader.equal(r) {
			c.Counts.Followed++
			r.flight = f
			f.followers = append(f.followers, r)
			return Follow, nil
		}
	}
	c.startFlight(r, hash)
	return Lead, nil
}

// freshEntry finds the answer to a request; nil: there is none. One that has expired is removed.
func (c *Cache) freshEntry(hash uint64, r *Request) *entry {
	for _, e := range c.entries[hash] {
		if e.tenant.name != r.Team || e.group != r.Group || !bytes.Equal(e.statement, r.Statement) {
			continue
		}
		if c.now >= e.expiresAt {
			c.Counts.Expired++
			c.remove(e)
			return nil
		}
		return e
	}
	return nil
}

// equal reports whether two requests have the same answer.
func (r *Request) equal(o *Request) bool {
	return r.Team == o.Team && r.Group == o.Group && bytes.Equal(r.Statement, o.Statement)
}

func (c *Cache) startFlight(leader *Request, hash uint64) {
	c.Counts.Led++
	c.serial++
	f := &flight{
		hash:        hash,
		serial:      c.serial,
		leader:      leader,
		startedAt:   c.now,
		startedWall: c.startWall + c.now.Milliseconds(),
		logIndex:    c.logIndex,
		invalidated: c.isChanging(leader.Tables),
	}
	leader.flight = f
	c.flights[f] = true
	if !f.invalidated {
		c.joinable[hash] = append(c.joinable[hash], f)
	}
}

// Complete tells that a request that leads has its answer, which must not be changed any more. It
// names all that followed and are answered by it, too.
func (c *Cache) Complete(now time.Duration, r *Request, pages [][]byte) (followers []*Request) {
	c.advance(now)
	f := r.flight
	if f == nil || f.leader != r {
		return nil
	}
	r.flight = nil
	c.endFlight(f)
	followers = f.followers
	f.followers = nil
	for _, o := range followers {
		o.flight = nil
	}
	if f.invalidated {
		c.Counts.Invalidated++
	} else {
		c.insert(f, r, pages)
	}
	return followers
}

// Abandon tells that a request wants no answer any more, or got another than a finished one. If it
// led, the next that follows leads: that one is named and has to go its way now.
func (c *Cache) Abandon(now time.Duration, r *Request) (next *Request) {
	c.advance(now)
	f := r.flight
	if f == nil {
		return nil
	}
	r.flight = nil
	if f.leader != r {
		f.followers = slices.DeleteFunc(f.followers, func(o *Request) bool { return o == r })
		return nil
	}
	c.endFlight(f)
	return c.promote(f)
}

// promote has the first follower whose deadline isn't over lead a new flight. The others follow
// it; those whose deadline is over stay until they leave. It gives the new leader, nil if
// there is none.
func (c *Cache) promote(f *flight) (leader *Request) {
	i := slices.IndexFunc(f.followers, func(o *Request) bool { return c.now < o.Deadline })
	if i < 0 {
		for _, o := range f.followers {
			o.flight = nil
		}
		return nil
	}
	leader = f.followers[i]
	rest := slices.Delete(f.followers, i, i+1)
	f.followers = nil
	c.startFlight(leader, f.hash)
	leader.flight.followers = rest
	for _, o := range rest {
		o.flight = leader.flight
	}
	return leader
}

func (c *Cache) endFlight(f *flight) {
	delete(c.flights, f)
	c.closeToFollowers(f)
}

// closeToFollowers has no further request follow a flight.
func (c *Cache) closeToFollowers(f *flight) {
	rest := slices.DeleteFunc(c.joinable[f.hash], func(x *flight) bool { return x == f })
	if len(rest) == 0 {
		delete(c.joinable, f.hash)
	} else {
		c.joinable[f.hash] = rest
	}
}

// Sweep is to be called now and then: it removes what has expired.
func (c *Cache) Sweep(now time.Duration) {
	c.advance(now)
	for _, e := range c.entriesWhere(func(e *entry) bool { return c.now >= e.expiresAt }) {
		c.Counts.Expired++
		c.remove(e)
	}
}

// CountersText tells the counters.
func (c *Cache) CountersText() string {
	n := &c.Counts
	count, size, flights := c.Usage()
	return fmt.Sprintf("; answers kept %d bytes %d being drawn %d", count, size, flights) +
		fmt.Sprintf(", hits %d followed %d led %d passed %d", n.Hits, n.Followed, n.Led, n.Bypassed) +
		fmt.Sprintf(", kept %d large %d struck %d", n.Cached, n.TooLarge, n.Invalidated) +
		fmt.Sprintf(", evicted %d expired %d loaded %d purged %d", n.Evicted, n.Expired, n.RemovedByMutation, n.Purged)
}
