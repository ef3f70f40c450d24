package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/msgpackrpc"
	"railrelay.dev/railrelay/internal/resultcache"
	"railrelay.dev/railrelay/internal/spool"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// purges has what is kept of a team go: results and cached answers, here where the
// controller has no peers, else as the fleet orders it. Where nothing is kept it is
// nil, and costs nothing.
type invalidation struct {
	*Controller
	serial           uint64
	logIndex         uint64                        // in the record: what is asked for now is asked for after it
	local            map[string]*localInvalidation // without peers, by id
	localOrder       []string                      // ids of here, the oldest first
	callers          map[string][]*invalidationCall
	unconfirmed      map[string]*fleet.Ask  // that the record is not known to have yet: asked for until it has
	retainedWrites   map[retainedWrite]bool // that kept bytes were handed to, some of which may not be out
	writesAfterSweep int                    // how many were left of them
	// Counts of purges are counted since the start.
	started, completed, clientCalls int
}

// purge is one of this controller alone.
type localInvalidation struct {
	team   string
	done   bool
	counts fleet.Counts
}

// purgeCall is a client's that waits for its answer.
type invalidationCall struct {
	c        *client
	msg      uint32
	id       string
	team     string
	answerBy time.Duration
	timer    *timerqueue.Item // that time
	answered bool
}

// handed is a connection that kept bytes of a team were written to.
type retainedWrite struct {
	link *Connection
	team string
}

const (
	// purgesPast bounds the purges that a controller without peers can still tell of.
	maxLocalInvalidations = 1024
	// purgesMost bounds the calls of one team that wait on one controller.
	maxCallsPerTenant = 16
	// leavesWithin is how long what was handed out before a purge may take to leave
	// this program; its connection is ended then.
	flushTimeout      = 250 * time.Millisecond
	flushPollInterval = 2 * time.Millisecond
)

func newInvalidation(c *Controller) *invalidation {
	return &invalidation{Controller: c, local: map[string]*localInvalidation{}, callers: map[string][]*invalidationCall{}, unconfirmed: map[string]*fleet.Ask{}, retainedWrites: map[retainedWrite]bool{}}
}

// index is the place in the record after which a query that comes now is taken.
func (p *invalidation) currentIndex() uint64 {
	if p.servingLease != nil {
		return max(p.logIndex, p.servingLease.fleetView.Index)
	}
	return p.logIndex
}

// barred: nothing that is kept may be served now, for it may be gone elsewhere.
func (p *invalidation) servingBarred() bool {
	return p.servingLease != nil && p.servingLease.servingVersion(true) == 0
}

// owner is whose a call is: its team, or its customer where there are no teams.
func (c *Controller) dataOwner(from From) string {
	if c.fairQueue == nil && c.FieldNames.Customer != "" {
		if name := string(from.Fields.Get(c.FieldNames.Customer)); name != "" {
			return name
		}
	}
	return c.tenantOf(from)
}

// serving does what writes of what is kept: it goes out only while the lease holds, by
// the clock as it is then.
func (p *invalidation) markRetained(do func()) {
	p.writingRetained = true
	do()
	p.writingRetained = false
}

// hands notes that kept bytes were handed to a query's client.
func (p *invalidation) noteRetainedAnswer(q *query) {
	if a, ok := q.owner.(*rpcCall); ok {
		team := ""
		if q.cacheState != nil && q.cacheState.ask != nil {
			team = q.cacheState.ask.Team
		}
		p.noteRetainedWrite(a.client.connection, team)
	}
}

// handsOut: kept bytes of a team, "" if it isn't known, are on their way out by a link.
func (p *invalidation) noteRetainedWrite(conn *Connection, team string) {
	if len(p.retainedWrites) >= 2*p.writesAfterSweep+64 {
		p.writesFlushed(nil)
		p.writesAfterSweep = len(p.retainedWrites)
	}
	if conn.unwrittenBytes > 0 {
		p.retainedWrites[retainedWrite{conn, team}] = true
	}
}

// flushed: nothing is on its way out any more of a team, or of any for nil.
func (p *invalidation) writesFlushed(team *string) bool {
	out := true
	for h := range p.retainedWrites {
		if h.link.unwrittenBytes == 0 {
			delete(p.retainedWrites, h)
		} else if team == nil || h.team == "" || h.team == *team {
			out = false
		}
	}
	return out
}

// leave calls then once all that was handed out of a team is out. A client that doesn't
// take it in time gets no more of it.
func (p *invalidation) awaitWritesFlushed(team string, until time.Duration, then func()) {
	switch {
	case p.writesFlushed(&team):
		then()
		return
	case p.now >= until:
		for h := range p.retainedWrites {
			if h.team == "" || h.team == team {
				p.counters.disconnected++
				p.closeConnection(h.link, false)
				delete(p.retainedWrites, h)
			}
		}
		then()
		return
	}
	p.runAfter(flushPollInterval, func() { p.awaitWritesFlushed(team, until, then) })
}

// purge has all of a scope go that was asked for before a place in the record.
func (p *invalidation) apply(s *fleet.Scope, index uint64, unreached func(), wiped func(fleet.Counts)) {
	p.logIndex = max(p.logIndex, index)
	var found fleet.Counts
	if p.caching != nil {
		var next []*resultcache.Ask
		found, next = p.caching.core.Drop(p.now, s, index)
		for _, a := range next {
			p.caching.promote(a)
		}
	}
	out, wipes := false, false
	end := func() {
		if out && wipes {
			wiped(found)
		}
	}
	gone := func() {
		p.awaitWritesFlushed(s.Team, p.now+flushTimeout, func() {
			unreached()
			out = true
			end()
		})
	}
	erased := func(n fleet.Counts) {
		found.Add(n)
		wipes = true
		end()
	}
	if p.paging == nil {
		gone()
		erased(fleet.Counts{})
		return
	}
	p.paging.core.Purge(p.now, s, index, gone, erased)
	p.paging.answerInvalidated()
}

// purged answers the queries whose results a purge took before they were whole. One
// that may be sent again is deferred: nothing that it asked for can be kept any more.
func (p *resultPaging) answerInvalidated() {
	for _, q := range p.queriesWhere(func(q *query) bool {
		if q.answered || q.spooled == nil {
			return false
		}
		taken := q.spooled.Purged()
		for _, s := range q.attempts {
			taken = taken || s.result != nil && s.result.Purged()
		}
		return taken
	}) {
		sent := false
		for _, s := range q.attempts {
			sent = sent || s.sent
		}
		if q.group.readOnly || !sent {
			p.logAbout(q.logFields(), "deferred: "+spool.ErrPurged.Error())
			p.answerDeferred(q, noSpaceRetryAfter)
		} else {
			p.answerKilled(q, spool.ErrPurged.Error())
		}
		p.runSoon(func() { p.scheduler.ClientLeft(p.now, q.id) })
	}
}

// those are the queries for which something holds, in the order in which they came.
func (c *Controller) queriesWhere(holds func(q *query) bool) (l []*query) {
	for _, q := range c.queries {
		if holds(q) {
			l = append(l, q)
		}
	}
	slices.SortFunc(l, func(a, b *query) int {
		return cmp.Or(cmp.Compare(a.receivedAt, b.receivedAt), strings.Compare(a.id, b.id))
	})
	return l
}

// drop is the fleet's order.
func (p *invalidation) invalidate(id string, s *fleet.Scope, index uint64) {
	p.started++
	p.logMessage(false, "purge "+id+" of team "+s.Team+" begins")
	p.apply(s, index, func() {
		p.servingLease.report(fleet.Report{Kind: fleet.Unreached, ID: id})
	}, func(n fleet.Counts) {
		p.completed++
		p.logCompleted(id, s.Team, n)
		p.servingLease.report(fleet.Report{Kind: fleet.Wiped, ID: id, Counts: n})
	})
}

func (p *invalidation) logCompleted(id, team string, n fleet.Counts) {
	p.logAbout(LogFields{Tenant: team}, fmt.Sprintf("purge %s is done here: %d results and %d answers, %d bytes", id, n.Results, n.Answers, n.Bytes))
}

// Purge is a client's call to have what is kept of its team go, or, with an id, for how
// far a purge has come.
func (cl *client) Purge(msg uint32, call msgpackrpc.Purge, all msgpackrpc.Fields) {
	p := cl.invalidation
	if p == nil {
		cl.Wrong(msg, "no such method")
		return
	}
	team := cl.dataOwner(From{cl.connection.RemoteAddress, all})
	waiting := 0
	for _, l := range p.callers {
		for _, x := range l {
			if x.team == team {
				waiting++
			}
		}
	}
	if cl.pageReads >= cl.limits.OpenQueries || waiting >= maxCallsPerTenant || len(p.unconfirmed) >= maxLocalInvalidations {
		cl.reply(msgpackrpc.Deferred(nil, msg, noSpaceRetryAfter))
		return
	}
	x := &invalidationCall{c: cl, msg: msg, id: string(call.ID), team: team}
	fresh := x.id == ""
	if fresh {
		x.id = p.newID(team)
	}
	p.clientCalls++
	cl.pageReads++
	p.callers[x.id] = append(p.callers[x.id], x)
	x.answerBy = cl.now + max(0, call.Patience-answerMargin)
	x.timer = cl.timers.Add(x.answerBy, func() { p.answerState(x, statePending, "", nil, nil) })
	switch {
	case p.servingLease != nil:
		a := &fleet.Ask{Kind: "status", ID: x.id, By: team, Team: team, Wait: max(1, (call.Patience - 2*answerMargin).Milliseconds())}
		if fresh {
			a.Kind, a.Scope = "purge", &fleet.Scope{Team: team, Tables: call.Tables, Before: call.Before}
			p.unconfirmed[x.id] = a
		}
		p.servingLease.report(fleet.Report{Kind: fleet.Wanted, Ask: a})
	case fresh:
		p.startLocal(x.id, &fleet.Scope{Team: team, Tables: call.Tables, Before: call.Before})
	default:
		p.answerLocalCallers(x.id)
	}
}

// name is one that no other purge has: it is drawn from what can't come twice.
func (p *invalidation) newID(team string) string {
	p.serial++
	draw := uint64(p.StartedAt.UnixNano())
	if p.DrawUnique != nil {
		draw = p.DrawUnique()
	}
	return fmt.Sprintf("%016x%016x", draw, xxhash.Sum64String(fmt.Sprint(team, p.serial, p.now, p.StartedAt.UnixNano())))
}

// alone is a purge where there are no peers.
func (p *invalidation) startLocal(id string, s *fleet.Scope) {
	x := &localInvalidation{team: s.Team}
	p.local[id] = x
	if p.localOrder = append(p.localOrder, id); len(p.localOrder) > maxLocalInvalidations {
		delete(p.local, p.localOrder[0])
		p.localOrder = p.localOrder[1:]
	}
	p.started++
	p.apply(s, p.logIndex+1, func() {}, func(n fleet.Counts) {
		p.completed++
		x.done, x.counts = true, n
		p.logCompleted(id, s.Team, n)
		p.answerLocalCallers(id)
	})
}

// state answers those who ask for a purge of this controller alone, if there is a word.
func (p *invalidation) answerLocalCallers(id string) {
	x := p.local[id]
	for _, w := range p.waitingCallers(id) {
		switch {
		case x == nil || x.team != w.team:
			p.finishCall(w, msgpackrpc.Killed(nil, w.msg, unknownInvalidationText))
		case x.done:
			p.answerState(w, "purged", "", &x.counts, nil)
		}
	}
}

// unknownPurge is all that is told of an id that is none of the team's.
const unknownInvalidationText = "no purge of this team has this id: ask for one without an id"

func (p *invalidation) waitingCallers(id string) []*invalidationCall {
	return slices.Clone(p.callers[id])
}

// answered: the fleet's word on what was asked for here.
func (p *invalidation) fleetAnswered(id string, r *fleet.Reply) bool {
	l := p.waitingCallers(id)
	again := p.unconfirmed[id]
	if again != nil && r.Word == "unknown" && r.Stage == "" {
		a := *again // its word may have been told already: that it is asked for holds
		a.Wait = confirmationWait.Milliseconds()
		p.servingLease.report(fleet.Report{Kind: fleet.Wanted, Ask: &a})
	} else {
		delete(p.unconfirmed, id)
	}
	for _, x := range l {
		switch {
		case r.Word == "purged":
			p.answerState(x, r.Word, "", r.Counts, nil)
		case r.Word == "unknown" && (r.Stage == "" || r.Stage == fleet.Purge || r.Stage == fleet.Unreachable || r.Stage == fleet.Erased):
			if p.now >= x.answerBy-4*answerMargin { // each who asks has a word of its own, and it comes right before
				p.answerState(x, statePending, cmp.Or(stageNames[r.Stage], stageNames[""]), nil, r.Outstanding)
			}
		case r.Word == "refused" && r.Why != "":
			p.finishCall(x, msgpackrpc.Killed(nil, x.msg, r.Why))
		default:
			p.finishCall(x, msgpackrpc.Killed(nil, x.msg, unknownInvalidationText))
		}
	}
	return len(l) > 0 || again != nil
}

const statePending = "not yet"

// stages are what is told of how far a purge has come. One that isn't recorded is asked
// for on and on by the controller that it was asked of, and by no other.
var stageNames = map[string]string{"": "not recorded", fleet.Purge: "recorded", fleet.Unreachable: "unreachable", fleet.Erased: "erased"}

// unsaidFor is how long the fleet may take for a word on what it is asked for again.
const confirmationWait = 5 * time.Second

func (p *invalidation) answerState(x *invalidationCall, word, stage string, n *fleet.Counts, outstanding []string) {
	fields := []string{"id", x.id, "state", word}
	if n != nil {
		for _, f := range []struct {
			name string
			n    int64
		}{{"results", n.Results}, {"answers", n.Answers}, {"bytes", n.Bytes}} {
			fields = append(fields, f.name, strconv.FormatInt(f.n, 10))
		}
	}
	if stage != "" {
		fields = append(fields, "stage", stage)
	}
	if len(outstanding) > 0 {
		fields = append(fields, "outstanding", strings.Join(outstanding, ","))
	}
	p.finishCall(x, msgpackrpc.Purged(nil, x.msg, fields...))
}

// over answers a call.
func (p *invalidation) finishCall(x *invalidationCall, answer []byte) {
	if x.answered {
		return
	}
	x.answered = true
	p.timers.Drop(x.timer)
	l := slices.DeleteFunc(p.callers[x.id], func(y *invalidationCall) bool { return x == y })
	if p.callers[x.id] = l; len(l) == 0 {
		delete(p.callers, x.id)
	}
	x.c.pageReads--
	x.c.idleSince = p.now
	if !x.c.connection.closed {
		x.c.reply(answer)
	}
}

func (p *invalidation) text() string {
	return fmt.Sprintf("; purges %d done %d asked for by clients %d", p.started, p.completed, p.clientCalls)
}
