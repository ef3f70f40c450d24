// Package spool manages the results that clients read page by page. It decides which results are
// admitted, which of their pages stay in memory and which go to disk, when fetching a result from
// its engine has to wait for space, which results are evicted, and which result a token opens. The
// package is a pure core: no I/O, clock or goroutine. It submits disk operations as DiskTasks and
// is called back when they are done.
//
// A result is received page by page from its engine, then committed, then read by its client. With
// a disk, a result of more than one page is committed once the disk holds all of its pages. Times
// are durations since the start unless a name ends in UnixMillis; sizes are bytes.
package spool

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

// Limits bounds the spool. All fields must be set except MaxDiskBytes and MaxTenantBytes.
type Limits struct {
	MaxMemoryBytes   int64         // pages in memory, including those being written to disk
	MaxDiskBytes     int64         // pages on disk; 0: no disk, and results are lost when the process ends
	MaxResults       int           // results at the same time
	MaxResultBytes   int64         // size of one result
	TenantShare      float64       // fraction of the space beyond which a tenant's results are evicted first
	MaxTenantResults int           // results of one tenant at the same time
	MaxTenantBytes   int64         // all results of one tenant; 0: no limit but TenantShare, when space is short
	IdleTimeout      time.Duration // a result expires this long after its last read
	MaxAge           time.Duration // and at the latest this long after its commit
	PageBytes        int           // pages from the engine are merged up to this size
	MaxWritingBytes  int64         // page bytes being written to disk at the same time
	MaxReads         int           // pages being read from disk at the same time
}

// DefaultLimits returns the limits for settings that are not given.
func DefaultLimits() Limits {
	return Limits{MaxMemoryBytes: 16 << 20, MaxResults: 10_000, MaxResultBytes: 1 << 30, TenantShare: 0.25,
		MaxTenantResults: 1000, IdleTimeout: 15 * time.Minute,
		MaxAge: 2 * time.Hour, PageBytes: 32 << 10, MaxWritingBytes: 4 << 20, MaxReads: 64}
}

// DiskTask is an operation that the caller performs on the disk. The caller fills in the outcome
// and calls OnDone exactly once, also after a failure.
type DiskTask struct {
	Pages    []Page
	Metadata *Metadata // of a result that is complete with Pages; nil: none
	Drop     []uint64  // IDs of results to delete
	// Erase asks to erase the results that were dropped before. The task is done once the disk holds no
	// byte of them.
	Erase bool
	Fetch *Fetch
	Keys  []byte // the encoded keyring to store

	// The outcome, filled in by the caller.
	Err         error
	FetchedPage []byte // the body of the page that Fetch names
	BytesOnDisk int64  // including dropped results that are not compacted yet
	OnDone      func(now time.Duration)
}

// Page is a page to write.
type Page struct {
	ResultID uint64
	Number   uint32
	Body     []byte
}

// Metadata describes a complete result.
type Metadata struct {
	ResultID                             uint64
	Query, Tenant                        string
	CreatedUnixMillis, ExpiresUnixMillis int64
	PageRows                             []uint32
	InvalidationTag
}

// InvalidationTag holds what a purge matches a result by.
type InvalidationTag struct {
	Owner    string  // the data owner, if the tenant doesn't identify it
	LogIndex uint64  // index in the fleet's log when the query was received
	Tables   []int64 // table groups that the query reads; empty: unknown
}

// Fetch names a page to read from disk.
type Fetch struct {
	ResultID uint64
	Page     int
}

// StoredResult is a result that was on disk at the start.
type StoredResult struct {
	Metadata
	PageBytes []uint32 // size of each page
}

// RefusalError is the reason why a paged query is not admitted, or why its result is rejected.
type RefusalError string

func (r RefusalError) Error() string { return string(r) }

// recordOverheadBytes is the space that a page takes on disk beside its body.
const recordOverheadBytes = 32

// Core is the spool of one controller. It is used by one goroutine.
type Core struct {
	Limits
	keys               *Keyring
	startUnixMillis    int64
	lastID             uint64
	now                time.Duration
	submit             func(*DiskTask)
	results            map[uint64]*Result // committed, by ID
	receiving          map[*Result]bool   // not committed yet
	serial             uint64
	nothingEvictableAt time.Duration // when the last scan found nothing to evict
	nothingEvictable   bool
	tenants            map[string]*tenant
	count              int // results, including those being received
	memoryBytes        int64
	diskBytes          int64
	deadBytes          int64 // on disk, of dropped results that are not compacted yet
	writingBytes       int64
	activeReads        int
	cachedLRU          intrusivelist.List[Result] // pages both in memory and on disk; least recently read first
	spaceWaiters       []func()                   // called in this order
	lastSweep          time.Duration

	// MayServe reports whether an owner's data of these tables may be served here. It is called
	// before a page is served, and again once the page was read from disk, since the rules may have
	// changed meanwhile. nil: all data may be served.
	MayServe func(owner string, tables []int64) bool
	Counts   Counts
}

// Counts holds event counters since the start. Refused counts queries that Admit rejected; NoRoom counts
// pages that were refused since no space could become free, and Waited those told to wait for space.
// Failed counts results of which a write failed.
type Counts struct {
	Admitted, Committed, Refused, TooLarge, Failed     int
	NoRoom                                             int
	PagesServed, PagesFromDisk, BadTokens, FailedReads int
	Evicted, Expired, EvictedAfterRead, Waited         int
	Purged                                             int
	BytesIn                                            int64
}

type tenant struct {
	name    string
	results int
	bytes   int64
}

// Result is a result that is being received or was committed.
type Result struct {
	id                uint64
	serial            uint64 // order of admission
	query             string
	tenant            *tenant
	tag               InvalidationTag
	createdUnixMillis int64 // of the admission, then of the commit
	purged            bool
	pages             []page // while it is received, and as long as any page is in memory
	pageChecksum      uint64
	bytes             int64
	rows              int64
	onDisk            int64 // bytes on disk, with the overhead of records
	inMemory          int64
	pageCount         int
	complete          bool
	dropped           bool
	pendingWrites     int // write tasks that are not done
	failure           error
	onCommitted       func(error) // set while a commit is in progress
	pendingReads      int         // read tasks that are not done
	readPages         []uint64    // bitmap of the pages that were read, except the first
	unreadCount       int         // pages after the first that were never read
	createdAt         time.Duration
	lastReadAt        time.Duration
	expiresAt         time.Duration
	expiresUnixMillis int64
	lruElement        intrusivelist.Element[Result] // in Core.cachedLRU
	inLRU             bool
	// requestedByToken is set once its client has asked for a page by token, be it the first or another.
	requestedByToken bool
}

type page struct {
	body  []byte // nil: on disk only
	size  uint32
	rows  uint32
	state pageState
}

type pageState uint8

const (
	inMemory pageState = iota
	writing
	onDisk
)

// checksumPages is a checksum of the sizes and row counts of all pages. Tokens contain it.
func checksumPages(bytes, rows func(i int) uint32, count int) uint64 {
	d := xxhash.New()
	var p []byte
	for i := range count {
		p = binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(p[:0], bytes(i)), rows(i))
		d.Write(p)
	}
	return d.Sum64()
}

// New returns an empty spool. startUnixMillis is the Unix time of the start, first+1 is the ID of the
// first new result, and submit receives the disk tasks.
func New(l Limits, keys *Keyring, startUnixMillis int64, first uint64, submit func(*DiskTask)) *Core {
	return &Core{Limits: l, keys: keys, startUnixMillis: startUnixMillis, lastID: first, submit: submit,
		results: map[uint64]*Result{}, receiving: map[*Result]bool{}, tenants: map[string]*tenant{}}
}

func (c *Core) advance(now time.Duration) { c.now = max(c.now, now) }

// Restore adds a result that was on disk at the start. It expires at the stored Unix time, but
// no later than a new result would, so that a changed clock can't extend its life.
func (c *Core) Restore(f *StoredResult) {
	r := &Result{id: f.ResultID, query: f.Query, tenant: c.findOrAddTenant(f.Tenant), pageCount: len(f.PageRows),
		complete: true, tag: f.InvalidationTag, createdUnixMillis: f.CreatedUnixMillis}
	r.pageChecksum = checksumPages(func(i int) uint32 { return f.PageBytes[i] },
		func(i int) uint32 { return f.PageRows[i] }, r.pageCount)
	for i, rows := range f.PageRows {
		r.bytes += int64(f.PageBytes[i])
		r.rows += int64(rows)
		r.onDisk += int64(f.PageBytes[i]) + recordOverheadBytes
	}
	r.unreadCount = max(0, r.pageCount-1)
	r.expiresUnixMillis = f.ExpiresUnixMillis
	r.expiresAt = min(time.Duration(f.ExpiresUnixMillis-c.startUnixMillis)*time.Millisecond, c.MaxAge)
	r.lastReadAt = 0
	c.results[r.id] = r
	c.count++
	c.diskBytes += r.onDisk
	r.tenant.results++
	r.tenant.bytes += r.bytes
}

// findOrAddTenant returns the tenant of a name, and adds the tenant if it has no results yet.
func (c *Core) findOrAddTenant(name string) *tenant {
	t := c.tenants[name]
	if t == nil {
		t = &tenant{name: name}
		c.tenants[name] = t
	}
	return t
}

// removeTenantIfEmpty forgets a tenant that has no results.
func (c *Core) removeTenantIfEmpty(t *tenant) {
	if t.results == 0 && t.bytes == 0 {
		delete(c.tenants, t.name)
	}
}

// Usage returns the number of results and their bytes in memory and on disk.
func (c *Core) Usage() (results int, memory, disk int64) { return c.count, c.memoryBytes, c.diskBytes }

// Admit begins the result of a paged query before the query is sent to an engine. The error is a
// RefusalError if there are too many results.
func (c *Core) Admit(now time.Duration, query, tenantName string, tag InvalidationTag) (*Result, error) {
	c.advance(now)
	t := c.findOrAddTenant(tenantName)
	if t.results >= c.MaxTenantResults && !c.evictOne(t, afterRead|expired) {
		c.Counts.Refused++
		c.removeTenantIfEmpty(t)
		return nil, RefusalError("too many results of this team are retained")
	}
	if c.count >= c.MaxResults && !c.evictOne(nil, afterRead|expired|overShare) {
		c.Counts.Refused++
		c.removeTenantIfEmpty(t)
		return nil, RefusalError("too many results are retained")
	}
	c.Counts.Admitted++
	return c.begin(query, t, tag), nil
}

// AdmitAgain begins another result for the same query, for a further attempt that returns pages. If r
// was purged, the new result fails with ErrPurged.
func (c *Core) AdmitAgain(now time.Duration, r *Result) *Result {
	c.advance(now)
	again := c.begin(r.query, r.tenant, r.tag)
	if r.purged {
		again.purged, again.failure = true, ErrPurged
	}
	return again
}

func (c *Core) begin(query string, t *tenant, tag InvalidationTag) *Result {
	c.count++
	t.results++
	c.tenants[t.name] = t
	c.serial++
	r := &Result{query: query, tenant: t, serial: c.serial, tag: tag,
		createdUnixMillis: c.startUnixMillis + c.now.Milliseconds()}
	c.receiving[r] = true
	return r
}

// AddOutcome tells what happened to a page from an engine.
type AddOutcome int

const (
	PageAccepted AddOutcome = iota // the next page may be fetched
	WaitForSpace                   // add the page again once OnSpace calls back
	PageRefused                    // the error says why; the result can't be completed
)

// AddPage adds a page from the engine and copies its body. It returns PageRefused if the result has
// failed or would be too large. If there is no space for the page, AddPage returns WaitForSpace, or
// PageRefused if no space can become free by the time given in until. It refuses such a page at once,
// since another result may wait for the space that this result holds.
func (c *Core) AddPage(now time.Duration, r *Result, body []byte, rows uint32,
	until time.Duration) (AddOutcome, error) {
	c.advance(now)
	if r.failure != nil {
		return PageRefused, r.failure
	}
	size := int64(len(body))
	if total := r.bytes + size; total > c.sizeLimit() {
		c.Counts.TooLarge++
		return PageRefused, RefusalError(fmt.Sprintf(
			"the result is too large: over %d bytes, and at most %d are allowed", total, c.sizeLimit()))
	}
	if !c.makeSpace(r, size) {
		if !c.spaceMayCome(until, r) {
			c.Counts.NoRoom++
			return PageRefused, RefusalError(fmt.Sprintf(
				"there is no room for more than %d bytes of the result: other results hold %d bytes",
				r.bytes, c.diskBytes-r.onDisk))
		}
		c.Counts.Waited++
		return WaitForSpace, nil
	}
	c.Counts.BytesIn += size
	r.bytes += size
	r.rows += int64(rows)
	r.tenant.bytes += size
	c.memoryBytes += size
	r.inMemory += size
	if n := len(r.pages); n > 0 && r.pages[n-1].state == inMemory &&
		len(r.pages[n-1].body)+len(body) <= c.PageBytes {
		p := &r.pages[n-1]
		p.body = append(p.body, body...)
		p.size += uint32(size)
		p.rows += rows
	} else {
		r.pages = append(r.pages, page{
			body: append(make([]byte, 0, max(len(body), min(c.PageBytes, 4*len(body)))), body...),
			size: uint32(size), rows: rows})
	}
	if c.MaxDiskBytes > 0 {
		c.spill(r)
	}
	return PageAccepted, nil
}

// Commit completes a result whose last page was added. It calls tell once the result can be read by
// token, with nil, or once writing it to disk has failed. tell may be called before Commit returns, and
// is never called if the result is dropped first.
func (c *Core) Commit(now time.Duration, r *Result, tell func(error)) {
	c.advance(now)
	r.onCommitted = tell
	r.assignID(c)
	r.createdAt, r.expiresAt, r.createdUnixMillis = c.now, c.now+c.MaxAge, c.startUnixMillis+c.now.Milliseconds()
	r.expiresUnixMillis = c.startUnixMillis + r.expiresAt.Milliseconds()
	r.pageCount = len(r.pages)
	r.pageChecksum = checksumPages(func(i int) uint32 { return r.pages[i].size },
		func(i int) uint32 { return r.pages[i].rows }, r.pageCount)
	if c.MaxDiskBytes == 0 || r.pageCount == 1 { // the answer holds the only page
		c.finishWrites(r)
		return
	}
	rows := make([]uint32, r.pageCount)
	for i := range r.pages {
		rows[i] = r.pages[i].rows
	}
	c.write(r, r.pageCount, &Metadata{ResultID: r.id, Query: r.query, Tenant: r.tenant.name,
		CreatedUnixMillis: c.startUnixMillis + c.now.Milliseconds(), ExpiresUnixMillis: r.expiresUnixMillis,
		PageRows: rows, InvalidationTag: r.tag})
}

// assignID gives the result its ID, unless it has one.
func (r *Result) assignID(c *Core) {
	if r.id == 0 {
		c.lastID++
		r.id = c.lastID
	}
}

// releaseMemory releases all pages of a result from memory.
func (c *Core) releaseMemory(r *Result) {
	c.removeFromLRU(r)
	for i := range r.pages {
		c.releasePage(r, &r.pages[i])
	}
	r.pages = nil
}

// Pages returns the number of pages.
func (r *Result) Pages() int { return max(r.pageCount, len(r.pages)) }

// Bytes returns the size of all pages.
func (r *Result) Bytes() int64 { return r.bytes }

// Rows returns the number of rows.
func (r *Result) Rows() int64 { return r.rows }

// TimeToLive returns for how long after a read a result can be read again.
func (c *Core) TimeToLive(r *Result) time.Duration { return min(c.IdleTimeout, r.expiresAt-c.now) }

// Drop deletes a result, complete or not, from memory and from disk, and discards the callback of a
// commit in progress.
func (c *Core) Drop(now time.Duration, r *Result) {
	c.advance(now)
	if r.dropped {
		return
	}
	r.dropped = true
	delete(c.receiving, r)
	c.releaseMemory(r)
	c.nothingEvictable = false
	r.tenant.bytes -= r.bytes
	r.tenant.results--
	c.removeTenantIfEmpty(r.tenant)
	c.count--
	if c.results[r.id] == r {
		delete(c.results, r.id)
	}
	if r.onDisk > 0 {
		c.diskBytes -= r.onDisk
		c.deadBytes += r.onDisk
		r.onDisk = 0
		w := &DiskTask{Drop: []uint64{r.id}}
		w.OnDone = func(now time.Duration) {
			c.advance(now)
			c.deadBytes = max(0, w.BytesOnDisk-c.diskBytes)
			c.notifySpaceWaiters()
		}
		c.submit(w)
	}
	r.onCommitted = nil
	c.notifySpaceWaiters()
}

// Sweep drops expired results, rotates the token keys and notifies the results that wait for space, at
// most once a second. The caller runs it periodically.
func (c *Core) Sweep(now time.Duration) {
	c.advance(now)
	if c.now-c.lastSweep < time.Second {
		return
	}
	c.lastSweep = c.now
	var expiredResults []*Result
	for _, r := range c.results {
		if r.isIdle() && c.now >= r.expiry(c) {
			expiredResults = append(expiredResults, r)
		}
	}
	slices.SortFunc(expiredResults, func(a, b *Result) int { return cmp.Compare(a.id, b.id) })
	for _, r := range expiredResults {
		c.Counts.Expired++
		c.Drop(c.now, r)
	}
	c.rotateKeys()
	if len(c.spaceWaiters) > 0 {
		c.notifySpaceWaiters()
	}
}
