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
	Limits spool.Limits
	Keys   *spool.Keyring
	First  uint64 // number for its results
	// Restore hands over what the disk held; nil if there is none.
	Restore func(each func(f *spool.Found)) error
}

// paging keeps results for clients that read them page by page. Without a spool it
// is nil, and costs nothing.
type resultPaging struct {
	*Controller
	core          *spool.Core
	restoredIndex uint64 // place in the record of what the disk held
}

func newResultPaging(c *Controller, s *SpoolConfig) *resultPaging {
	p := &resultPaging{Controller: c}
	p.core = spool.New(s.Limits, s.Keys, c.StartedAt.UnixMilli(), s.First, func(w *spool.Work) {
		c.emit(Effect{Kind: SubmitSpoolWork, SpoolWork: w})
	})
	if s.Restore != nil {
		if err := s.Restore(func(f *spool.Found) {
			p.restoredIndex = max(p.restoredIndex, f.Index)
			p.core.Restore(f)
		}); err != nil {
			c.logMessage(true, "what was spooled can't be read: "+err.Error())
		}
	}
	p.sweep()
	return p
}

func (p *resultPaging) sweep() {
	p.runAfter(time.Second, p.sweep)
	p.core.Sweep(p.now)
}

// teamOf is whose a call is, as the spool's limits and tokens have it.
func (c *Controller) tenantOf(from From) string {
	if c.fairQueue == nil {
		return ""
	}
	return c.fairQueue.queue.Team(c.fairQueue.queue.Whose(from.Address, from.Fields.Get(c.fairQueue.fieldNames.Tenant)))
}

// wants notes that a query's client reads page by page; where it can't be kept it is
// deferred, before anything of it is sent.
func (p *resultPaging) reserve(q *query, from From) {
	if len(from.Fields.Get(p.FieldNames.Paged)) == 0 {
		return
	}
	kept, err := p.core.Enter(p.now, q.id, p.tenantOf(from), p.resultTag(q, from))
	if err != nil {
		p.logAbout(q.logFields(), "deferred: "+err.Error())
		p.answerDeferred(q, noSpaceRetryAfter)
		return
	}
	q.spooled = kept
}

// tag is what a purge finds a query's result by.
func (p *resultPaging) resultTag(q *query, from From) spool.Tag {
	t := spool.Tag{Index: p.invalidation.currentIndex(), Tables: allTables(q.statement)}
	if owner := p.dataOwner(from); p.fairQueue == nil {
		t.Owner = owner
	}
	return t
}

// spoolPause is named to those for whom there was no place: results go as they are read.
const noSpaceRetryAfter = time.Second

// over gives back what a query that is over was kept for.
func (p *resultPaging) queryOver(q *query) {
	if q.spooled != nil {
		p.core.Drop(p.now, q.spooled)
		q.spooled = nil
	}
}

// take takes a page of a submission's result from its engine.
func (p *resultPaging) addPage(s *attempt, number, of int, rows []byte) {
	if s.result == nil {
		s.result, s.pageCount = p.core.Again(p.now, s.query.spooled), of
	}
	verdict, err := p.core.Add(p.now, s.result, rows, uint32(bytes.Count(rows, []byte("\n"))), s.deadline)
	switch verdict {
	case spool.Never:
		p.discard(s)
		p.releaseAtEngine(s)
		if !s.query.answered {
			p.answerKilled(s.query, err.Error())
		}
		s.finish(scheduler.Finished)
	case spool.Wait:
		// its engine keeps it for as long as it is asked for
		asked := false
		again := func() {
			if !asked && !s.ended {
				asked = true
				s.poll(number)
			}
		}
		at := p.timers.Add(p.now+engineRetention/2, again)
		p.core.Room(func() {
			p.timers.Drop(at)
			p.runSoon(again)
		})
	default:
		s.spooledPages++
		if s.spooledPages < s.pageCount {
			s.poll(s.spooledPages)
			return
		}
		p.releaseAtEngine(s)
		p.retain(s)
	}
}

// release ends the query at its engine, which has nothing more to give.
func (p *resultPaging) releaseAtEngine(s *attempt) {
	s.released = true
	p.cancelAtEngine(s, func() {})
}

// whole answers once the result is promised.
func (p *resultPaging) retain(s *attempt) {
	if !p.mayRetain(s.query) { // it might have been when it began
		p.discard(s)
		if !s.query.answered {
			p.answerKilled(s.query, "its result may not be kept here any more")
		}
		s.finish(scheduler.Finished)
		return
	}
	p.core.Whole(p.now, s.result, func(err error) {
		r := s.result
		switch {
		case s.ended: // given up meanwhile
			p.runSoon(func() { p.core.Drop(p.now, r) })
		case err != nil:
			p.logAbout(s.logFields(), "its result can't be kept: "+err.Error())
			s.result = nil
			if !s.query.answered {
				p.answerKilled(s.query, fmt.Sprintf("the result of %d bytes can't be kept: %v", r.Bytes(), err))
			}
			s.finish(scheduler.Finished)
		default:
			s.resultPromised = true
			token := p.core.Token(r)
			p.core.First(p.now, r, func(body []byte, err error) {
				p.answerFirstPage(s, r, token, body, err)
			})
		}
	})
}

func (p *resultPaging) answerFirstPage(s *attempt, r *spool.Result, token string, body []byte, err error) {
	switch {
	case s.query.answered, s.ended:
		p.runSoon(func() { p.core.Drop(p.now, r) }) // another was first, its client left, or its time was over
	case err != nil:
		p.answerKilled(s.query, "its result can't be read: "+err.Error())
		p.runSoon(func() { p.core.Drop(p.now, r) })
	case p.closeQuery(s.query, fairqueue.Finished):
		p.counters.finished++
		s.query.owner.paged(body, msgpackrpc.Paging{Pages: r.Pages(), Bytes: r.Bytes(), Rows: r.Rows(), Token: token, Lasts: p.core.Kept(r)})
	}
	if !s.ended {
		s.finish(scheduler.Finished)
	}
}

// drop gives up what a submission took in.
func (p *resultPaging) discard(s *attempt) {
	if s.result != nil && !s.resultPromised {
		p.core.Drop(p.now, s.result)
		s.result = nil
	}
}

// did: work on the disk is done.
func (p *resultPaging) workDone(w *spool.Work) {
	if w.Err != nil && w.Fetch == nil {
		p.logMessage(true, "the spool's disk: "+w.Err.Error())
	} else if w.Err != nil {
		p.logMessage(true, fmt.Sprintf("the spool's disk: page %d of result %016x: %v", w.Fetch.Page, w.Fetch.Result, w.Err))
	}
	w.Done(p.now)
}

func (p *resultPaging) countersText() string {
	n := &p.core.Counts
	results, memory, disk := p.core.Held()
	return fmt.Sprintf("; spool holds %d results, bytes %d in memory %d on disk, promised %d refused %d too large %d without room %d not kept %d, pages %d from disk %d bad tokens %d spoilt %d, evicted %d expired %d read out %d, waited %d",
		results, memory, disk, n.Promised, n.Refused, n.TooLarge, n.NoRoom, n.Failed, n.Pages, n.FromDisk, n.BadTokens, n.Spoilt,
		n.Evicted, n.Expired, n.ReadOut, n.Waited)
}

// Page is a client's call for a page of a result that was promised.
func (cl *client) Page(msg uint32, token []byte, number int, all msgpackrpc.Fields) {
	if cl.paging == nil {
		cl.Wrong(msg, "no such method")
		return
	}
	if cl.pageReads >= cl.limits.OpenQueries {
		cl.reply(msgpackrpc.Deferred(nil, msg, busyRetryAfter))
		return
	}
	if cl.invalidation.servingBarred() {
		cl.reply(msgpackrpc.Deferred(nil, msg, cl.servingLease.retryAfter()))
		return
	}
	cl.pageReads++
	from := From{cl.connection.RemoteAddress, all}
	owner, team := cl.dataOwner(from), cl.tenantOf(from)
	var tables []int64
	if cl.servingLease != nil {
		tables = cl.paging.core.Tagged(token, team).Tables
	}
	outside := func() bool { // the rules may have been others when it was kept
		return cl.servingLease != nil && !cl.servingLease.residency.mayServe(owner, tables)
	}
	cl.paging.core.Read(cl.now, token, team, number, func(body []byte, err error) {
		cl.pageReads--
		cl.idleSince = cl.now
		switch {
		case cl.connection.closed:
		case cl.invalidation.servingBarred():
			cl.reply(msgpackrpc.Deferred(nil, msg, cl.servingLease.retryAfter()))
		case err == spool.ErrBusy:
			cl.reply(msgpackrpc.Deferred(nil, msg, busyRetryAfter))
		case err != nil || outside():
			cl.reply(msgpackrpc.Killed(nil, msg, spool.ErrNone.Error()))
		default:
			cl.invalidation.markRetained(func() { cl.reply(msgpackrpc.Answer(nil, msg, [][]byte{body})) })
			cl.invalidation.noteRetainedWrite(cl.connection, owner)
		}
	})
}

const busyRetryAfter = 100 * time.Millisecond

// SpoolUsage is what the spool holds: results, and bytes in memory and on disk; nothing
// without one. It is for reports, between two steps.
func (c *Controller) SpoolUsage() (results int, memory, disk int64) {
	if c.paging == nil {
		return 0, 0, 0
	}
	return c.paging.core.Held()
}
