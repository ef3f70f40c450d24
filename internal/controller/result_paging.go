package controller

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/msgpackrpc"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/spool"
)

// SpoolConfig is the initial configuration of the spool.
type SpoolConfig struct {
	Limits        spool.Limits
	Keys          *spool.Keyring
	FirstResultID uint64 // the ids of later results count up from it
	// Restore calls each with every result found on disk; nil if there is no disk.
	Restore func(each func(f *spool.StoredResult)) error
}

// resultPaging retains results for clients that read them page by page. It is nil if no spool is
// configured. Only the controller goroutine accesses its fields.
type resultPaging struct {
	*Controller
	core          *spool.Core
	restoredIndex uint64 // highest log index of a result found on disk
}

const (
	spoolSweepInterval = time.Second
	// noSpaceRetryAfter is the retry delay if the spool is full. Space is freed as results are read.
	noSpaceRetryAfter = time.Second
	// busyRetryAfter is the retry delay if a page can't be read now.
	busyRetryAfter = 100 * time.Millisecond
)

func newResultPaging(c *Controller, s *SpoolConfig) *resultPaging {
	p := &resultPaging{Controller: c}
	p.core = spool.New(s.Limits, s.Keys, c.StartedAt.UnixMilli(), s.FirstResultID, func(w *spool.DiskTask) {
		c.emit(Effect{Kind: SubmitSpoolWork, SpoolWork: w})
	})
	if s.Restore != nil {
		p.restore(s)
	}
	p.sweep()
	return p
}

func (p *resultPaging) restore(s *SpoolConfig) {
	err := s.Restore(func(f *spool.StoredResult) {
		p.restoredIndex = max(p.restoredIndex, f.LogIndex)
		p.core.Restore(f)
	})
	if err != nil {
		p.logMessage(warningLevel, "can't restore spooled results: "+err.Error())
	}
}

func (p *resultPaging) sweep() {
	p.runAfter(spoolSweepInterval, p.sweep)
	p.core.Sweep(p.now)
}

// tenantOf returns the tenant of a call, to which the spool's limits and tokens apply; "" if no
// tenants are configured.
func (c *Controller) tenantOf(from CallOrigin) string {
	if c.fairQueue == nil {
		return ""
	}
	named := from.Fields.Get(c.fairQueue.fieldNames.Tenant)
	return c.fairQueue.queue.TenantName(c.fairQueue.queue.TenantOf(from.Address, named))
}

// reserve reserves spool space for a query whose client reads page by page. If there is none, the
// query is deferred before it is sent.
func (p *resultPaging) reserve(q *query, from CallOrigin) {
	if len(from.Fields.Get(p.FieldNames.Paged)) == 0 {
		return
	}
	spooled, err := p.core.Admit(p.now, q.id, p.tenantOf(from), p.resultTag(q, from))
	if err != nil {
		p.logWithFields(q.logFields(), "deferred: "+err.Error())
		p.answerDeferred(q, noSpaceRetryAfter)
		return
	}
	q.spooled = spooled
}

// resultTag returns the tag by which an invalidation finds a query's result.
func (p *resultPaging) resultTag(q *query, from CallOrigin) spool.InvalidationTag {
	t := spool.InvalidationTag{LogIndex: p.invalidation.currentIndex(), Tables: allTables(q.statement)}
	if p.fairQueue == nil {
		t.Owner = p.dataOwner(from)
	}
	return t
}

// queryOver releases the space reserved for a query that is over.
func (p *resultPaging) queryOver(q *query) {
	if q.spooled != nil {
		p.core.Drop(p.now, q.spooled)
		q.spooled = nil
	}
}

// addPage spools a page of an attempt's result that was received from its engine, and polls the next page, or
// retains the result after the last page. A page that the spool refuses kills the query.
func (p *resultPaging) addPage(a *attempt, number, of int, rows []byte) {
	if a.result == nil {
		a.result = p.core.AdmitAgain(p.now, a.query.spooled)
		a.pageCount = of
	}
	rowCount := uint32(bytes.Count(rows, []byte("\n")))
	verdict, err := p.core.AddPage(p.now, a.result, rows, rowCount, a.deadline)
	switch verdict {
	case spool.PageRefused:
		p.discard(a)
		p.releaseAtEngine(a)
		if !a.query.answered {
			p.answerKilled(a.query, err.Error())
		}
		a.finish(scheduler.Finished)
	case spool.WaitForSpace:
		p.pollWhenRoom(a, number)
	default:
		a.spooledPages++
		if a.spooledPages < a.pageCount {
			a.poll(a.spooledPages)
			return
		}
		p.releaseAtEngine(a)
		p.retain(a)
	}
}

// pollWhenRoom polls for a page again once the spool has room for the page. It polls earlier if the
// engine, which retains a result only while it is polled, would drop the result.
func (p *resultPaging) pollWhenRoom(a *attempt, page int) {
	polled := false
	poll := func() {
		if !polled && !a.ended {
			polled = true
			a.poll(page)
		}
	}
	timer := p.timers.Add(p.now+engineRetention/2, poll)
	p.core.OnSpace(func() {
		p.timers.Cancel(timer)
		p.enqueueCallback(poll)
	})
}

// releaseAtEngine tells the engine to drop the result, all pages of which were read.
func (p *resultPaging) releaseAtEngine(a *attempt) {
	a.released = true
	p.cancelAtEngine(a, func() {})
}

// retain makes a complete result durable. The client is answered once the result is on disk.
func (p *resultPaging) retain(a *attempt) {
	if !p.mayRetain(a.query) { // the rules may have changed since the query was admitted
		p.discard(a)
		if !a.query.answered {
			p.answerKilled(a.query, "its result may not be kept here any more")
		}
		a.finish(scheduler.Finished)
		return
	}
	p.core.Commit(p.now, a.result, func(err error) { p.retentionEnded(a, err) })
}

// retentionEnded answers the query once its result is on disk, or could not be written.
func (p *resultPaging) retentionEnded(a *attempt, err error) {
	r := a.result
	switch {
	case a.ended: // withdrawn during the write
		p.enqueueCallback(func() { p.core.Drop(p.now, r) })
	case err != nil:
		p.logWithFields(a.logFields(), "can't retain the result: "+err.Error())
		a.result = nil
		if !a.query.answered {
			p.answerKilled(a.query, fmt.Sprintf("the result of %d bytes can't be kept: %v", r.Bytes(), err))
		}
		a.finish(scheduler.Finished)
	default:
		a.resultPromised = true
		token := p.core.Token(r)
		p.core.ReadFirstPage(p.now, r, func(body []byte, err error) {
			p.answerFirstPage(a, r, token, body, err)
		})
	}
}

// answerFirstPage answers a query with the first page of its retained result, and ends the attempt. A result
// that the client does not get is dropped.
func (p *resultPaging) answerFirstPage(a *attempt, r *spool.Result, token string, body []byte, err error) {
	drop := func() { p.core.Drop(p.now, r) }
	switch {
	case a.query.answered, a.ended: // another attempt was first, the client left, or the time was up
		p.enqueueCallback(drop)
	case err != nil:
		p.answerKilled(a.query, "its result can't be read: "+err.Error())
		p.enqueueCallback(drop)
	case p.closeQuery(a.query, fairqueue.Finished):
		p.counters.finished++
		a.query.owner.paged(body, msgpackrpc.PageInfo{
			Pages:    r.Pages(),
			Bytes:    r.Bytes(),
			Rows:     r.Rows(),
			Token:    token,
			Lifetime: p.core.TimeToLive(r),
		})
	}
	if !a.ended {
		a.finish(scheduler.Finished)
	}
}

// discard drops the spooled pages of an attempt whose result isn't promised to the client.
func (p *resultPaging) discard(a *attempt) {
	if a.result != nil && !a.resultPromised {
		p.core.Drop(p.now, a.result)
		a.result = nil
	}
}

// workDone handles the completion of work on the spool's disk.
func (p *resultPaging) workDone(w *spool.DiskTask) {
	switch {
	case w.Err == nil:
	case w.Fetch == nil:
		p.logMessage(warningLevel, "spool disk: "+w.Err.Error())
	default:
		p.logMessage(warningLevel, fmt.Sprintf("spool disk: page %d of result %016x: %v",
			w.Fetch.Page, w.Fetch.ResultID, w.Err))
	}
	w.OnDone(p.now)
}

func (p *resultPaging) countersText() string {
	n := &p.core.Counts
	results, memory, disk := p.core.Usage()
	return fmt.Sprintf("; spool holds %d results, bytes %d in memory %d on disk", results, memory, disk) +
		fmt.Sprintf(", promised %d refused %d too large %d without room %d not kept %d",
			n.Committed, n.Refused, n.TooLarge, n.NoRoom, n.Failed) +
		fmt.Sprintf(", pages %d from disk %d bad tokens %d spoilt %d", n.PagesServed, n.PagesFromDisk, n.BadTokens,
			n.FailedReads) +
		fmt.Sprintf(", evicted %d expired %d read out %d, waited %d", n.Evicted, n.Expired, n.EvictedAfterRead,
			n.Waited)
}

// Page handles a client's call for a page of a retained result.
func (cl *client) Page(msg uint32, token []byte, number int, fields msgpackrpc.Fields) {
	switch {
	case cl.paging == nil:
		cl.Invalid(msg, "no such method")
		return
	case cl.pageReads >= cl.limits.MaxOpenQueries:
		cl.reply(msgpackrpc.AppendDeferral(nil, msg, busyRetryAfter))
		return
	case cl.invalidation.servingBarred():
		cl.reply(msgpackrpc.AppendDeferral(nil, msg, cl.servingLease.retryAfter()))
		return
	}
	cl.pageReads++
	delay := cl.paceCall()
	if delay == 0 {
		cl.readPage(msg, token, number, fields)
		return
	}
	cl.counters.pacedCalls++
	token, fields = slices.Clone(token), fields.Clone() // they point into the connection's buffer
	cl.runAfter(delay, func() { cl.readPage(msg, token, number, fields) })
}

// readPage reads a page for a call that Page has accepted, and answers the call.
func (cl *client) readPage(msg uint32, token []byte, number int, fields msgpackrpc.Fields) {
	if cl.connection.closed {
		cl.pageReads--
		return
	}
	from := CallOrigin{cl.connection.RemoteAddress, fields}
	owner, tenant := cl.dataOwner(from), cl.tenantOf(from)
	var tables []int64
	if cl.servingLease != nil {
		tables = cl.paging.core.TagOf(token, tenant).Tables
	}
	cl.paging.core.ReadPage(cl.now, token, tenant, number, func(body []byte, err error) {
		cl.pageReads--
		cl.idleSince = cl.now
		if !cl.connection.closed {
			cl.answerPage(msg, owner, tables, body, err)
		}
	})
}

// answerPage answers a call with a page of a result that owner requested and that covers tables.
func (cl *client) answerPage(msg uint32, owner string, tables []int64, body []byte, err error) {
	forbidden := func() bool { // the rules may have changed since the result was retained
		return cl.servingLease != nil && !cl.servingLease.residency.mayServe(owner, tables)
	}
	switch {
	case cl.invalidation.servingBarred():
		cl.reply(msgpackrpc.AppendDeferral(nil, msg, cl.servingLease.retryAfter()))
	case err == spool.ErrTooManyReads:
		cl.reply(msgpackrpc.AppendDeferral(nil, msg, busyRetryAfter))
	case err != nil || forbidden():
		cl.reply(msgpackrpc.AppendFailure(nil, msg, spool.ErrPageNotFound.Error()))
	default:
		cl.invalidation.markRetained(func() { cl.reply(msgpackrpc.AppendResult(nil, msg, [][]byte{body})) })
		cl.invalidation.trackRetainedWrite(cl.connection, owner)
	}
}

// SpoolUsage returns the number of results in the spool and their bytes in memory and on disk, all 0
// without a spool. It must not be called during a Step.
func (c *Controller) SpoolUsage() (results int, memory, disk int64) {
	if c.paging == nil {
		return 0, 0, 0
	}
	return c.paging.core.Usage()
}
