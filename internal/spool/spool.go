// Package spool decides what becomes of results that clients read page by page:
// which are let in, what of them stays in memory and what goes to disk, when drawing
// a result from its engine has to wait, which are given up for room, and whose token
// opens what. It is a pure core: no I/O, no clock, no goroutine. What is to be done to
// the disk it hands out as Work, and hears of when it is done.
//
// Times are spans since the start, sizes bytes. A result is taken in while its engine
// hands out its pages, then promised (on disk whole, where there is one), then read.
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

// Limits are the spool's figures. All must be set but Disk.
type Limits struct {
	MaxMemoryBytes  int64         // pages in memory, those on their way to disk too
	MaxDiskBytes    int64         // pages on disk, 0: there is no disk, and no result outlives the program
	MaxResults      int           // at once
	MaxResultBytes  int64         // one result
	TeamShare       float64       // part of the room that a team may have before it is the first to lose some
	MaxTeamResults  int           // of one team at once
	MaxTeamBytes    int64         // of one team, 0: only its share counts, and that where room is short
	IdleTimeout     time.Duration // a result lives since it was last read
	MaxAge          time.Duration // and no longer than this from when it was promised
	PageBytes       int           // pages from the engine are joined up to this size
	MaxWritingBytes int64         // being written at once
	MaxReads        int           // pages being read from disk at once
}

// DefaultLimits are the figures where the set-up says nothing.
func DefaultLimits() Limits {
	return Limits{MaxMemoryBytes: 16 << 20, MaxResults: 10_000, MaxResultBytes: 1 << 30, TeamShare: 0.25, MaxTeamResults: 1000, IdleTimeout: 15 * time.Minute,
		MaxAge: 2 * time.Hour, PageBytes: 32 << 10, MaxWritingBytes: 4 << 20, MaxReads: 64}
}

// DiskTask is one thing for the edge to do to the disk. Done is to be called once with
// what came of it, whatever that is.
type DiskTask struct {
	Pages    []Page
	Metadata *Metadata
	Drop     []uint64
	// Erase is done once no byte of what was dropped before is on disk any more.
	Erase bool
	Fetch *Fetch
	Keys  []byte // the keyring's text, to be kept

	Err         error
	FetchedPage []byte // fetched
	BytesOnDisk int64  // on disk, all that is dead counted
	OnDone      func(now time.Duration)
}

// Page is one to be written.
type Page struct {
	ResultID uint64
	Number   uint32
	Body     []byte
}

// Metadata is a result that is whole.
type Metadata struct {
	ResultID                 uint64
	Query, Team              string
	CreatedWall, ExpiresWall int64 // milliseconds since 1970
	PageRows                 []uint32
	InvalidationTag
}

// InvalidationTag is what a purge finds a result by.
type InvalidationTag struct {
	Owner    string  // whose it is, where its team doesn't tell
	LogIndex uint64  // of the record when its query was taken
	Tables   []int64 // groups of tables that it reads, none: it can't be told
}

// Fetch is a page to be read.
type Fetch struct {
	ResultID uint64
	Page     int
}

// StoredResult is a result that the disk held at the start.
type StoredResult struct {
	Metadata
	PageBytes []uint32 // by page
}

// RefusalError is why a call for pages isn't taken, or a result is killed.
type RefusalError string

func (r RefusalError) Error() string { return string(r) }

// recordCost is what a page takes on disk beyond what it holds.
const recordOverheadBytes = 32

// Core is one controller's spool.
type Core struct {
	Limits
	keys               *Keyring
	startWall          int64 // milliseconds since 1970 at the start
	lastID             uint64
	now                time.Duration
	submit             func(*DiskTask)
	results            map[uint64]*Result
	receiving          map[*Result]bool
	serial             uint64
	nothingEvictableAt time.Duration // when nothing was found to evict
	nothingEvictable   bool
	teams              map[string]*team
	count              int // results and those let in to become one
	memoryBytes        int64
	diskBytes          int64
	deadBytes          int64 // on disk, as last told
	writingBytes       int64
	activeReads        int
	cachedLRU          intrusivelist.List[Result] // with pages in memory that are on disk too, the longest unread first
	spaceWaiters       []func()                   // wait for room, in turn
	lastSweep          time.Duration

	// MayServe is asked before a page is handed out, and again once it was read from disk:
	// what is kept of these tables may be served here. nil: all may.
	MayServe func(owner string, tables []int64) bool
	// Counts is what happened so far.
	Counts Counts
}

// Counts are counted since the start.
type Counts struct {
	Admitted, Committed, Refused, TooLarge, Failed     int
	NoRoom                                             int
	PagesServed, PagesFromDisk, BadTokens, FailedReads int
	Evicted, Expired, EvictedAfterRead, Waited         int
	Purged                                             int
	BytesIn                                            int64
}

type team struct {
	name    string
	results int
	bytes   int64
}

// Result is one that is being taken in or was promised.
type Result struct {
	id            uint64
	serial        uint64 // in which they came
	query         string
	team          *team
	tag           InvalidationTag
	createdWall   int64 // when its taking in began, or it was promised, in milliseconds since 1970
	purged        bool
	pages         []page // while taken in, and as long as any is in memory
	pageChecksum  uint64
	bytes         int64
	rows          int64
	onDisk        int64 // what it takes there
	inMemory      int64
	pageCount     int
	complete      bool
	dropped       bool
	pendingWrites int // pages on their way to disk
	failure       error
	onCommitted   func(error)
	pendingReads  int // pages being read from disk
	readPages     []uint64
	unreadCount   int
	createdAt     time.Duration
	lastReadAt    time.Duration
	expiresAt     time.Duration
	expiresWall   int64
	lruElement    intrusivelist.Element[Result] // of the core's byRead
	inLRU         bool
	readPastFirst bool // it was asked for pages beyond the first
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

// sums is a sum of what pages hold, for the token.
func checksumPages(bytes, rows func(i int) uint32, count int) uint64 {
	d := xxhash.New()
	var p []byte
	for i := range count {
		p = binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(p[:0], bytes(i)), rows(i))
		d.Write(p)
	}
	return d.Sum64()
}

// New makes a spool. wall is the start in milliseconds since 1970, first the first
// number for its results, do where work goes.
func New(l Limits, keys *Keyring, wall int64, first uint64, do func(*DiskTask)) *Core {
	return &Core{Limits: l, keys: keys, startWall: wall, lastID: first, submit: do, results: map[uint64]*Result{}, receiving: map[*Result]bool{}, teams: map[string]*team{}}
}

func (c *Core) advance(now time.Duration) { c.now = max(c.now, now) }

// Restore takes in what the disk held at the start. Its life goes on as the clock on
// the wall has it, but lasts no longer than a new one's, whatever that clock says.
func (c *Core) Restore(f *StoredResult) {
	r := &Result{id: f.ResultID, query: f.Query, team: c.teamOf(f.Team), pageCount: len(f.PageRows), complete: true, tag: f.InvalidationTag, createdWall: f.CreatedWall}
	r.pageChecksum = checksumPages(func(i int) uint32 { return f.PageBytes[i] }, func(i int) uint32 { return f.PageRows[i] }, r.pageCount)
	for i, rows := range f.PageRows {
		r.bytes += int64(f.PageBytes[i])
		r.rows += int64(rows)
		r.onDisk += int64(f.PageBytes[i]) + recordOverheadBytes
	}
	r.unreadCount = max(0, r.pageCount-1)
	r.expiresWall = f.ExpiresWall
	r.expiresAt = min(time.Duration(f.ExpiresWall-c.startWall)*time.Millisecond, c.MaxAge)
	r.lastReadAt = 0
	c.results[r.id] = r
	c.count++
	c.diskBytes += r.onDisk
	r.team.results++
	r.team.bytes += r.bytes
}

func (c *Core) teamOf(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{name: name}
		c.teams[name] = t
	}
	return t
}

func (c *Core) forgetTeam(t *team) {
	if t.results == 0 && t.bytes == 0 {
		delete(c.teams, t.name)
	}
}

// Usage is what the spool holds, for the log and for tests.
func (c *Core) Usage() (results int, memory, disk int64) { return c.count, c.memoryBytes, c.diskBytes }

// Admit lets a call for pages in, before anything of it is sent, or says why not.
func (c *Core) Admit(now time.Duration, query, teamName string, tag InvalidationTag) (*Result, error) {
	c.advance(now)
	t := c.teamOf(teamName)
	if t.results >= c.MaxTeamResults && !c.evictOne(t, afterRead|expired) {
		c.Counts.Refused++
		c.forgetTeam(t)
		return nil, RefusalError("too many results of its team are kept")
	}
	if c.count >= c.MaxResults && !c.evictOne(nil, afterRead|expired|overShare) {
		c.Counts.Refused++
		c.forgetTeam(t)
		return nil, RefusalError("too many results are kept")
	}
	c.Counts.Admitted++
	return c.begin(query, t, tag), nil
}

// AdmitAgain begins the same result for another submission that hands it out.
func (c *Core) AdmitAgain(now time.Duration, r *Result) *Result {
	c.advance(now)
	again := c.begin(r.query, r.team, r.tag)
	if r.purged {
		again.purged, again.failure = true, ErrPurged
	}
	return again
}

func (c *Core) begin(query string, t *team, tag InvalidationTag) *Result {
	c.count++
	t.results++
	c.teams[t.name] = t
	c.serial++
	r := &Result{query: query, team: t, serial: c.serial, tag: tag, createdWall: c.startWall + c.now.Milliseconds()}
	c.receiving[r] = true
	return r
}

// AddOutcome is what becomes of a page that came from an engine.
type AddOutcome int

const (
	PageAccepted AddOutcome = iota // ask for the next
	WaitForSpace                   // there is no room yet: hand it over again when told
	PageRefused                    // there can't be: Killed has why
)

// AddPage takes a page from the engine. The body is copied. Who waits for room until a
// time by which none can come is refused at once: the room it holds may be what
// another needs.
func (c *Core) AddPage(now time.Duration, r *Result, body []byte, rows uint32, until time.Duration) (AddOutcome, error) {
	c.advance(now)
	if r.failure != nil {
		return PageRefused, r.failure
	}
	size := int64(len(body))
	if total := r.bytes + size; total > c.sizeLimit() {
		c.Counts.TooLarge++
		return PageRefused, RefusalError(fmt.Sprintf("the result is too large: over %d bytes, more than the %d that one may have", total, c.sizeLimit()))
	}
	if !c.makeSpace(r, size) {
		if !c.spaceMayCome(until, r) {
			c.Counts.NoRoom++
			return PageRefused, RefusalError(fmt.Sprintf("there is no room for more than %d bytes of the result: %d are held by results that are read", r.bytes, c.diskBytes-r.onDisk))
		}
		c.Counts.Waited++
		return WaitForSpace, nil
	}
	c.Counts.BytesIn += size
	r.bytes += size
	r.rows += int64(rows)
	r.team.bytes += size
	c.memoryBytes += size
	r.inMemory += size
	if n := len(r.pages); n > 0 && r.pages[n-1].state == inMemory && len(r.pages[n-1].body)+len(body) <= c.PageBytes {
		p := &r.pages[n-1]
		p.body = append(p.body, body...)
		p.size += uint32(size)
		p.rows += rows
	} else {
		r.pages = append(r.pages, page{body: append(make([]byte, 0, max(len(body), min(c.PageBytes, 4*len(body)))), body...), size: uint32(size), rows: rows})
	}
	if c.MaxDiskBytes > 0 {
		c.spill(r)
	}
	return PageAccepted, nil
}

// Commit tells that the last page of a result was taken. tell hears whether it is promised,
// perhaps at once.
func (c *Core) Commit(now time.Duration, r *Result, tell func(error)) {
	c.advance(now)
	r.onCommitted = tell
	r.assignID(c)
	r.createdAt, r.expiresAt, r.createdWall = c.now, c.now+c.MaxAge, c.startWall+c.now.Milliseconds()
	r.expiresWall = c.startWall + r.expiresAt.Milliseconds()
	r.pageCount = len(r.pages)
	r.pageChecksum = checksumPages(func(i int) uint32 { return r.pages[i].size }, func(i int) uint32 { return r.pages[i].rows }, r.pageCount)
	if c.MaxDiskBytes == 0 || r.pageCount == 1 { // one page is all handed out with the answer
		c.finishWrites(r)
		return
	}
	rows := make([]uint32, r.pageCount)
	for i := range r.pages {
		rows[i] = r.pages[i].rows
	}
	c.write(r, r.pageCount, &Metadata{ResultID: r.id, Query: r.query, Team: r.team.name, CreatedWall: c.startWall + c.now.Milliseconds(), ExpiresWall: r.expiresWall, PageRows: rows, InvalidationTag: r.tag})
}

// number gives it the number that it has on disk.
func (r *Result) assignID(c *Core) {
	if r.id == 0 {
		c.lastID++
		r.id = c.lastID
	}
}

// forget frees the memory of a result that is on disk.
func (c *Core) releaseMemory(r *Result) {
	c.removeFromLRU(r)
	for i := range r.pages {
		c.releasePage(r, &r.pages[i])
	}
	r.pages = nil
}

// Pages is how many pages a result holds, beside its Bytes and Rows; Kept is how long it
// lasts unless it is read.
func (r *Result) Pages() int   { return max(r.pageCount, len(r.pages)) }
func (r *Result) Bytes() int64 { return r.bytes }
func (r *Result) Rows() int64  { return r.rows }

// TimeToLive is for how long a result can be asked for, from its last read.
func (c *Core) TimeToLive(r *Result) time.Duration { return min(c.IdleTimeout, r.expiresAt-c.now) }

// Drop gives a result up, whether it is whole or not.
func (c *Core) Drop(now time.Duration, r *Result) {
	c.advance(now)
	if r.dropped {
		return
	}
	r.dropped = true
	delete(c.receiving, r)
	c.releaseMemory(r)
	c.nothingEvictable = false
	r.team.bytes -= r.bytes
	r.team.results--
	c.forgetTeam(r.team)
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

// Sweep is due now and then: what is past its life goes, and keys are renewed.
func (c *Core) Sweep(now time.Duration) {
	c.advance(now)
	if c.now-c.lastSweep < time.Second {
		return
	}
	c.lastSweep = c.now
	var past []*Result
	for _, r := range c.results {
		if r.isIdle() && c.now >= r.expiry(c) {
			past = append(past, r)
		}
	}
	slices.SortFunc(past, func(a, b *Result) int { return cmp.Compare(a.id, b.id) })
	for _, r := range past {
		c.Counts.Expired++
		c.Drop(c.now, r)
	}
	c.rotateKeys()
	if len(c.spaceWaiters) > 0 {
		c.notifySpaceWaiters()
	}
}
