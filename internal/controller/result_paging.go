package controller

import (
	"bytes"
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/msgpackrpc"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/spool"
)

// SpoolConfig is what the program starts the spool with.
type SpoolConfig struct {
	Limits        spool.Limits
	Keys          *spool.Keyring
	FirstResultID uint64 // number of its first result
	// Restore hands over what the disk held; nil if there is none.
	Restore func(each func(f *spool.StoredResult)) error
}

// resultPaging retains results for clients that read them page by page. Without a spool it is
// nil. All fields are the controller goroutine's.
type resultPaging struct {
	*Controller
	core          *spool.Core
	restoredIndex uint64 // the latest index in the log of what the disk held
}

const (
	spoolSweepInterval = time.Second
	// noSpaceRetryAfter is told to those for whom there was no space: results go as they are read.
	noSpaceRetryAfter = time.Second
	// busyRetryAfter is told to those whose page can't be read now.
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
		p.logMessage(true, "what was spooled can't be read: "+err.Error())
	}
}

func (p *resultPaging) sweep() {
	p.runAfter(spoolSweepInterval, p.sweep)
	p.core.Sweep(p.now)
}

// tenantOf is the tenant of a call, as the spool's limits and tokens have it; "" where there are
// no tenants.
func (c *Controller) tenantOf(from CallOrigin) string {
	if c.fairQueue == nil {
		return ""
	}
	named := from.Fields.Get(c.fairQueue.fieldNames.Tenant)
	return c.fairQueue.queue.TenantName(c.fairQueue.queue.TenantOf(from.Address, named))
}

// reserve takes space for a query whose client reads page by page. Where there is none the query
// is deferred, before anything of it is sent.
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

// resultTag is what an invalidation finds a query's result by.
func (p *resultPaging) resultTag(q *query, from CallOrigin) spool.InvalidationTag {
	t := spool.InvalidationTag{LogIndex: p.invalidation.currentIndex(), Tables: allTables(q.statement)}
	if p.fairQueue == nil {
		t.Owner = p.dataOwner(from)
	}
	return t
}

// queryOver gives back the space of a query that is over.
func (p *resultPaging) queryOver(q *query) {
	if q.spooled != nil {
		p.core.Drop(p.now, q.spooled)
		q.spooled = nil
	}
}

// addPage spools a page of an attempt's result from its engine.
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
		p.pollOnceRoom(a, number)
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

// pollOnceRoom polls for a page again once the spool has room for it, and before its engine, which
// keeps the result for as long as it is polled, would forget it.
func (p *resultPaging) pollOnceRoom(a *attempt, page int) {
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

// releaseAtEngine lets the engine forget the query: all its pages were read.
func (p *resultPaging) releaseAtEngine(a *attempt) {
	a.released = true
	p.cancelAtEngine(a, func() {})
}

// retain promises a complete result to its client: it is answered once the disk has it.
func (p *resultPaging) retain(a *attempt) {
	if !p.mayRetain(a.query) { // it might have been when it began
		p.discard(a)
		if !a.query.answered {
			p.answerKilled(a.query, "its result may not be kept here any more")
		}
		a.finish(scheduler.Finished)
		return
	}
	p.core.Commit(p.now, a.result, func(err error) { p.retained(a, err) })
}

// retained answers once the spool has a complete result, or could not write it.
func (p *resultPaging) retained(a *attempt, err error) {
	r := a.result
	switch {
	case a.ended: // given up meanwhile
		p.enqueueCallback(func() { p.core.Drop(p.now, r) })
	case err != nil:
		p.logWithFields(a.logFields(), "its result can't be kept: "+err.Error())
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

func (p *resultPaging) answerFirstPage(a *attempt, r *spool.Result, token string, body []byte, err error) {
	drop := func() { p.core.Drop(p.now, r) }
	switch {
	case a.query.answered, a.ended: // another was first, its client left, or its time was over
		p.enqueueCallback(drop)
	case err != nil:
		p.answerKilled(a.query, "its result can't be read: "+err.Error())
		p.enqueueCallback(drop)
	case p.closeQuery(a.query, fairqueue.Finished):
		p.counters.finished++
		a.query.owner.paged(body, msgpackrpc.Paging{
			Pages: r.Pages(),
			Bytes: r.Bytes(),
			Rows:  r.Rows(),
			Token: token,
			Lasts: p.core.TimeToLive(r),
		})
	}
	if !a.ended {
		a.finish(scheduler.Finished)
	}
}

// discard gives up the pages of an attempt whose result isn't promised.
func (p *resultPaging) discard(a *attempt) {
	if a.result != nil && !a.resultPromised {
		p.core.Drop(p.now, a.result)
		a.result = nil
	}
}

// workDone takes work that the disk has done.
func (p *resultPaging) workDone(w *spool.DiskTask) {
	switch {
	case w.Err == nil:
	case w.Fetch == nil:
		p.logMessage(true, "the spool's disk: "+w.Err.Error())
	default:
		p.logMessage(true, fmt.Sprintf("the spool's disk: page %d of result %016x: %v",
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
		fmt.Sprintf(", pages %d from disk %d bad tokens %d spoilt %d", n.PagesServed, n.PagesFromDisk, n.BadTokens, n.FailedReads) +
		fmt.Sprintf(", evicted %d expired %d read out %d, waited %d", n.Evicted, n.Expired, n.EvictedAfterRead, n.Waited)
}

// Page is a client's call for a page of a result that was promised.
func (cl *client) Page(msg uint32, token []byte, number int, all msgpackrpc.Fields) {
	switch {
	case cl.paging == nil:
		cl.Wrong(msg, "no such method")
		return
	case cl.pageReads >= cl.limits.MaxOpenQueries:
		cl.reply(msgpackrpc.Deferred(nil, msg, busyRetryAfter))
		return
	case cl.invalidation.servingBarred():
		cl.reply(msgpackrpc.Deferred(nil, msg, cl.servingLease.retryAfter()))
		return
	}
	cl.pageReads++
	from := CallOrigin{cl.connection.RemoteAddress, all}
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

// answerPage answers with a page of a result of a data owner, over these tables.
func (cl *client) answerPage(msg uint32, owner string, tables []int64, body []byte, err error) {
	forbidden := func() bool { // the rules may have been others when it was retained
		return cl.servingLease != nil && !cl.servingLease.residency.mayServe(owner, tables)
	}
	switch {
	case cl.invalidation.servingBarred():
		cl.reply(msgpackrpc.Deferred(nil, msg, cl.servingLease.retryAfter()))
	case err == spool.ErrTooManyReads:
		cl.reply(msgpackrpc.Deferred(nil, msg, busyRetryAfter))
	case err != nil || forbidden():
		cl.reply(msgpackrpc.Killed(nil, msg, spool.ErrPageNotFound.Error()))
	default:
		cl.invalidation.markRetained(func() { cl.reply(msgpackrpc.Answer(nil, msg, [][]byte{body})) })
		cl.invalidation.noteRetainedWrite(cl.connection, owner)
	}
}

// SpoolUsage is what the spool holds: results, and bytes in memory and on disk; 0 without a
// spool. It is for reports, between two steps.
func (c *Controller) SpoolUsage() (results int, memory, disk int64) {
	if c.paging == nil {
		return 0, 0, 0
	}
	return c.paging.core.Usage()
}
