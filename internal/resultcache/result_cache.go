// Package resultcache is a bounded cache of complete answers to read-only queries. The key of an
// entry is its tenant, resource group and exact statement, and the entry is fresh for a configured
// time. Of equal requests at the same time, one leads and the others follow: one execution at an
// engine, called a flight, answers all of them. The package is a pure core: no I/O, clock or
// goroutine. Times are durations since the start unless a name ends in UnixMillis; sizes are bytes.
//
// Entries and flights are invalidated by a mutation of their tables, from when it was received until
// no attempt of it is in flight any more, and by an invalidation. An invalidated flight still answers
// its leader, whose request came before; its answer is not cached, and no later request gets it. The
// followers of the flight keep following it after a mutation, and leave it after an invalidation.
//
// The caller must pass only read-only queries, without an idempotency key and without ordering by key.
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

// Request is one query's request for an answer. Its fields must not change while it leads or follows a
// flight.
type Request struct {
	Tenant             string
	Group              int
	Statement          []byte
	Tables             []int64       // all tables that the query reads; empty: unknown
	LogIndex           uint64        // index in the fleet's log when the query was received
	ReceivedUnixMillis int64         // when the query was received
	Deadline           time.Duration // from then on the request can't become a leader
	CallerData         any           // not used by the cache

	flight *flight // that the request leads or follows; nil: none
}

// flight is one execution at an engine and the requests that wait for it.
type flight struct {
	hash      uint64
	serial    uint64 // order in which flights began
	leader    *Request
	followers []*Request

	startedAt         time.Duration
	startedUnixMillis int64
	logIndex          uint64 // index in the fleet's log when the flight began
	// invalidated is set by a mutation or an invalidation: the answer is not cached, nor given to later
	// requests.
	invalidated bool
}

// entry is one cached answer.
type entry struct {
	hash      uint64
	tenant    *tenant
	group     int
	statement []byte
	tables    []int64 // empty: unknown
	pages     [][]byte
	size      int64

	expiresAt         time.Duration
	startedUnixMillis int64  // when its flight began
	logIndex          uint64 // index in the fleet's log when its flight began

	lastUse    uint64 // value of Cache.serial at the last use
	lruElement intrusivelist.Element[entry]
}

type tenant struct {
	name  string
	bytes int64
	lru   intrusivelist.List[entry] // least recently used first; never empty
}

// Counts holds event counters since the start.
type Counts struct {
	Hits, Followed, Led, Bypassed       int // results of Lookup
	Cached, TooLarge, Invalidated       int // answers of completed flights
	Evicted, Expired, RemovedByMutation int // entries removed, by reason; Expired: also answers not cached
	Purged                              int // entries removed by Invalidate
}

// Cache is the result cache of one controller. It is used by one goroutine.
type Cache struct {
	Limits
	Counts Counts

	now             time.Duration // latest time passed in by the caller
	startUnixMillis int64
	logIndex        uint64 // latest index passed in by the caller
	serial          uint64 // last number given to a flight or a use

	// Cached answers.
	entries map[uint64][]*entry // by hash
	tenants map[string]*tenant  // with entries, by name
	bytes   int64
	count   int

	// Executions at engines.
	joinable map[uint64][]*flight // flights that accept followers, by hash
	flights  map[*flight]bool     // all flights

	// Mutations in flight.
	mutations        map[int64]int // number by table group
	unknownMutations int           // number with unknown tables
}

// New returns an empty cache. startUnixMillis is the Unix time of the start. The error is an *Unusable.
func New(l Limits, startUnixMillis int64) (*Cache, error) {
	if err := l.Check(); err != nil {
		return nil, err
	}
	return &Cache{
		Limits:          l,
		startUnixMillis: startUnixMillis,
		entries:         map[uint64][]*entry{},
		tenants:         map[string]*tenant{},
		joinable:        map[uint64][]*flight{},
		flights:         map[*flight]bool{},
		mutations:       map[int64]int{},
	}, nil
}

// Usage returns the number and size of the cached answers, and the number of flights.
func (c *Cache) Usage() (count int, bytes int64, flights int) {
	return c.count, c.bytes, len(c.flights)
}

// advance moves the clock forward to now, and never back.
func (c *Cache) advance(now time.Duration) { c.now = max(c.now, now) }

// hashOf returns the hash of the key of a request: tenant, resource group and statement.
func hashOf(r *Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:], uint64(r.Group))
	binary.LittleEndian.PutUint64(head[8:], uint64(len(r.Tenant)))
	d.Write(head[:])
	d.WriteString(r.Tenant)
	d.Write(r.Statement)
	return d.Sum64()
}

// LookupResult tells how a request gets its answer.
type LookupResult int

const (
	Bypass LookupResult = iota // from an engine, without the cache
	Hit                        // from the cache, at once
	Lead                       // from an engine; the caller must end the flight by Complete or Abandon
	Follow                     // from the leader: wait until Complete, Abandon or Invalidate returns the request
)

// Lookup looks up the answer to a request. With Hit it returns the pages, which must not be modified.
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
		tooOld := c.now-f.startedAt >= c.Freshness // its answer would have expired already
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

// freshEntry returns the entry of a request, nil if there is none. It removes an expired entry.
func (c *Cache) freshEntry(hash uint64, r *Request) *entry {
	for _, e := range c.entries[hash] {
		if e.tenant.name != r.Tenant || e.group != r.Group || !bytes.Equal(e.statement, r.Statement) {
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

// equal reports whether two requests have the same key.
func (r *Request) equal(o *Request) bool {
	return r.Tenant == o.Tenant && r.Group == o.Group && bytes.Equal(r.Statement, o.Statement)
}

func (c *Cache) startFlight(leader *Request, hash uint64) {
	c.Counts.Led++
	c.serial++
	f := &flight{
		hash:              hash,
		serial:            c.serial,
		leader:            leader,
		startedAt:         c.now,
		startedUnixMillis: c.startUnixMillis + c.now.Milliseconds(),
		logIndex:          c.logIndex,
		invalidated:       c.isChanging(leader.Tables),
	}
	leader.flight = f
	c.flights[f] = true
	if !f.invalidated {
		c.joinable[hash] = append(c.joinable[hash], f)
	}
}

// Complete ends the flight of a leader with its answer, which must not be modified any more, and
// caches the answer unless the flight was invalidated or the answer is too large or too old. It
// returns the followers, which the caller must answer with the same pages. It does nothing if the
// request leads no flight.
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

// Abandon ends a request that no longer wants an answer or got no complete one. If the request led a
// flight, its next follower leads a new one: Abandon returns this follower, which the caller must
// send to an engine.
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

// promote makes the first follower whose deadline has not passed the leader of a new flight, and
// returns it. The other followers follow the new flight, also those whose deadline has passed, until
// they are abandoned. Without a follower that can lead it returns nil, and no follower has a flight.
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

// endFlight removes a flight. Its followers stay in f.followers.
func (c *Cache) endFlight(f *flight) {
	delete(c.flights, f)
	c.closeToFollowers(f)
}

// closeToFollowers prevents further requests from following a flight.
func (c *Cache) closeToFollowers(f *flight) {
	rest := slices.DeleteFunc(c.joinable[f.hash], func(x *flight) bool { return x == f })
	if len(rest) == 0 {
		delete(c.joinable, f.hash)
	} else {
		c.joinable[f.hash] = rest
	}
}

// Sweep removes the expired entries. The caller runs it periodically.
func (c *Cache) Sweep(now time.Duration) {
	c.advance(now)
	for _, e := range c.entriesWhere(func(e *entry) bool { return c.now >= e.expiresAt }) {
		c.Counts.Expired++
		c.remove(e)
	}
}

// CountersText returns usage and counters as they are logged.
func (c *Cache) CountersText() string {
	n := &c.Counts
	count, size, flights := c.Usage()
	return fmt.Sprintf("; answers kept %d bytes %d being drawn %d", count, size, flights) +
		fmt.Sprintf(", hits %d followed %d led %d passed %d", n.Hits, n.Followed, n.Led, n.Bypassed) +
		fmt.Sprintf(", kept %d large %d struck %d", n.Cached, n.TooLarge, n.Invalidated) +
		fmt.Sprintf(", evicted %d expired %d loaded %d purged %d", n.Evicted, n.Expired, n.RemovedByMutation,
			n.Purged)
}
