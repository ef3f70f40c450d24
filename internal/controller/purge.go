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
type purges struct {
	*Controller
	serial uint64
	place  uint64            // in the record: what is asked for now is asked for after it
	here   map[string]*purge // without peers, by id
	past   []string          // ids of here, the oldest first
	waits  map[string][]*purgeCall
	unsaid map[string]*fleet.Ask // that the record is not known to have yet: asked for until it has
	links  map[handed]bool       // that kept bytes were handed to, some of which may not be out
	swept  int                   // how many were left of them
	// Counts of purges are counted since the start.
	ordered, done, called int
}

// purge is one of this controller alone.
type purge struct {
	team   string
	done   bool
	counts fleet.Counts
}

// purgeCall is a client's that waits for its answer.
type purgeCall struct {
	c     *client
	msg   uint32
	id    string
	team  string
	by    time.Duration
	until *timerqueue.Item // that time
	over  bool
}

// handed is a connection that kept bytes of a team were written to.
type handed struct {
	link *Connection
	team string
}

const (
	// purgesPast bounds the purges that a controller without peers can still tell of.
	purgesPast = 1024
	// purgesMost bounds the calls of one team that wait on one controller.
	purgesMost = 16
	// leavesWithin is how long what was handed out before a purge may take to leave
	// this program; its connection is ended then.
	leavesWithin = 250 * time.Millisecond
	leavesEvery  = 2 * time.Millisecond
)

func newPurges(r *Controller) *purges {
	return &purges{Controller: r, here: map[string]*purge{}, waits: map[string][]*purgeCall{}, unsaid: map[string]*fleet.Ask{}, links: map[handed]bool{}}
}

// index is the place in the record after which a query that comes now is taken.
func (p *purges) index() uint64 {
	if p.warrant != nil {
		return max(p.place, p.warrant.picture.Index)
	}
	return p.place
}

// barred: nothing that is kept may be served now, for it may be gone elsewhere.
func (p *purges) barred() bool { return p.warrant != nil && p.warrant.may(true) == 0 }

// owner is whose a call is: its team, or its customer where there are no teams.
func (r *Controller) owner(from From) string {
	if r.fair == nil && r.Words.Whose != "" {
		if name := string(from.Fields.Get(r.Words.Whose)); name != "" {
			return name
		}
	}
	return r.teamOf(from)
}

// serving does what writes of what is kept: it goes out only while the lease holds, by
// the clock as it is then.
func (p *purges) serving(do func()) {
	p.serves = true
	do()
	p.serves = false
}

// hands notes that kept bytes were handed to a query's client.
func (p *purges) hands(q *query) {
	if a, ok := q.asker.(*asking); ok {
		team := ""
		if q.memo != nil && q.memo.ask != nil {
			team = q.memo.ask.Team
		}
		p.handsOut(a.c.link, team)
	}
}

// handsOut: kept bytes of a team, "" if it isn't known, are on their way out by a link.
func (p *purges) handsOut(l *Connection, team string) {
	if len(p.links) >= 2*p.swept+64 {
		p.flushed(nil)
		p.swept = len(p.links)
	}
	if l.pending > 0 {
		p.links[handed{l, team}] = true
	}
}

// flushed: nothing is on its way out any more of a team, or of any for nil.
func (p *purges) flushed(team *string) bool {
	out := true
	for h := range p.links {
		if h.link.pending == 0 {
			delete(p.links, h)
		} else if team == nil || h.team == "" || h.team == *team {
			out = false
		}
	}
	return out
}

// leave calls then once all that was handed out of a team is out. A client that doesn't
// take it in time gets no more of it.
func (p *purges) leave(team string, until time.Duration, then func()) {
	switch {
	case p.flushed(&team):
		then()
		return
	case p.now >= until:
		for h := range p.links {
			if h.team == "" || h.team == team {
				p.tally.turnedOff++
				p.shut(h.link, false)
				delete(p.links, h)
			}
		}
		then()
		return
	}
	p.after(leavesEvery, func() { p.leave(team, until, then) })
}

// purge has all of a scope go that was asked for before a place in the record.
func (p *purges) purge(s *fleet.Scope, index uint64, unreached func(), wiped func(fleet.Counts)) {
	p.place = max(p.place, index)
	var found fleet.Counts
	if p.caching != nil {
		var next []*resultcache.Ask
		found, next = p.caching.core.Drop(p.now, s, index)
		for _, a := range next {
			p.caching.leads(a)
		}
	}
	out, wipes := false, false
	end := func() {
		if out && wipes {
			wiped(found)
		}
	}
	gone := func() {
		p.leave(s.Team, p.now+leavesWithin, func() {
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
	p.paging.purged()
}

// purged answers the queries whose results a purge took before they were whole. One
// that may be sent again is deferred: nothing that it asked for can be kept any more.
func (p *paging) purged() {
	for _, q := range p.those(func(q *query) bool {
		if q.answered || q.kept == nil {
			return false
		}
		taken := q.kept.Purged()
		for _, s := range q.subs {
			taken = taken || s.result != nil && s.result.Purged()
		}
		return taken
	}) {
		sent := false
		for _, s := range q.subs {
			sent = sent || s.sent
		}
		if q.group.readOnly || !sent {
			p.sayOf(q.about(), "deferred: "+spool.ErrPurged.Error())
			p.deferred(q, spoolPause)
		} else {
			p.killed(q, spool.ErrPurged.Error())
		}
		p.soon(func() { p.gate.ClientLeft(p.now, q.id) })
	}
}

// those are the queries for which something holds, in the order in which they came.
func (r *Controller) those(holds func(q *query) bool) (l []*query) {
	for _, q := range r.queries {
		if holds(q) {
			l = append(l, q)
		}
	}
	slices.SortFunc(l, func(a, b *query) int { return cmp.Or(cmp.Compare(a.takenAt, b.takenAt), strings.Compare(a.id, b.id)) })
	return l
}

// drop is the fleet's order.
func (p *purges) drop(id string, s *fleet.Scope, index uint64) {
	p.ordered++
	p.say(false, "purge "+id+" of team "+s.Team+" begins")
	p.purge(s, index, func() {
		p.warrant.report(fleet.Report{Kind: fleet.Unreached, ID: id})
	}, func(n fleet.Counts) {
		p.done++
		p.sayPurged(id, s.Team, n)
		p.warrant.report(fleet.Report{Kind: fleet.Wiped, ID: id, Counts: n})
	})
}

func (p *purges) sayPurged(id, team string, n fleet.Counts) {
	p.sayOf(LogFields{Team: team}, fmt.Sprintf("purge %s is done here: %d results and %d answers, %d bytes", id, n.Results, n.Answers, n.Bytes))
}

// Purge is a client's call to have what is kept of its team go, or, with an id, for how
// far a purge has come.
func (c *client) Purge(msg uint32, call msgpackrpc.Purge, all msgpackrpc.Fields) {
	p := c.purges
	if p == nil {
		c.Wrong(msg, "no such method")
		return
	}
	team := c.owner(From{c.link.From, all})
	waiting := 0
	for _, l := range p.waits {
		for _, x := range l {
			if x.team == team {
				waiting++
			}
		}
	}
	if c.pages >= c.wants.Open || waiting >= purgesMost || len(p.unsaid) >= purgesPast {
		c.answer(msgpackrpc.Deferred(nil, msg, spoolPause))
		return
	}
	x := &purgeCall{c: c, msg: msg, id: string(call.ID), team: team}
	fresh := x.id == ""
	if fresh {
		x.id = p.name(team)
	}
	p.called++
	c.pages++
	p.waits[x.id] = append(p.waits[x.id], x)
	x.by = c.now + max(0, call.Patience-answerBefore)
	x.until = c.due.Add(x.by, func() { p.tell(x, notYet, "", nil, nil) })
	switch {
	case p.warrant != nil:
		a := &fleet.Ask{Kind: "status", ID: x.id, By: team, Team: team, Wait: max(1, (call.Patience - 2*answerBefore).Milliseconds())}
		if fresh {
			a.Kind, a.Scope = "purge", &fleet.Scope{Team: team, Tables: call.Tables, Before: call.Before}
			p.unsaid[x.id] = a
		}
		p.warrant.report(fleet.Report{Kind: fleet.Wanted, Ask: a})
	case fresh:
		p.alone(x.id, &fleet.Scope{Team: team, Tables: call.Tables, Before: call.Before})
	default:
		p.state(x.id)
	}
}

// name is one that no other purge has: it is drawn from what can't come twice.
func (p *purges) name(team string) string {
	p.serial++
	draw := uint64(p.Started.UnixNano())
	if p.Draw != nil {
		draw = p.Draw()
	}
	return fmt.Sprintf("%016x%016x", draw, xxhash.Sum64String(fmt.Sprint(team, p.serial, p.now, p.Started.UnixNano())))
}

// alone is a purge where there are no peers.
func (p *purges) alone(id string, s *fleet.Scope) {
	x := &purge{team: s.Team}
	p.here[id] = x
	if p.past = append(p.past, id); len(p.past) > purgesPast {
		delete(p.here, p.past[0])
		p.past = p.past[1:]
	}
	p.ordered++
	p.purge(s, p.place+1, func() {}, func(n fleet.Counts) {
		p.done++
		x.done, x.counts = true, n
		p.sayPurged(id, s.Team, n)
		p.state(id)
	})
}

// state answers those who ask for a purge of this controller alone, if there is a word.
func (p *purges) state(id string) {
	x := p.here[id]
	for _, w := range p.waiting(id) {
		switch {
		case x == nil || x.team != w.team:
			p.over(w, msgpackrpc.Killed(nil, w.msg, unknownPurge))
		case x.done:
			p.tell(w, "purged", "", &x.counts, nil)
		}
	}
}

// unknownPurge is all that is told of an id that is none of the team's.
const unknownPurge = "no purge of this team has this id: ask for one without an id"

func (p *purges) waiting(id string) []*purgeCall { return slices.Clone(p.waits[id]) }

// answered: the fleet's word on what was asked for here.
func (p *purges) answered(id string, r *fleet.Reply) bool {
	l := p.waiting(id)
	again := p.unsaid[id]
	if again != nil && r.Word == "unknown" && r.Stage == "" {
		a := *again // its word may have been told already: that it is asked for holds
		a.Wait = unsaidFor.Milliseconds()
		p.warrant.report(fleet.Report{Kind: fleet.Wanted, Ask: &a})
	} else {
		delete(p.unsaid, id)
	}
	for _, x := range l {
		switch {
		case r.Word == "purged":
			p.tell(x, r.Word, "", r.Counts, nil)
		case r.Word == "unknown" && (r.Stage == "" || r.Stage == fleet.Purge || r.Stage == fleet.Unreachable || r.Stage == fleet.Erased):
			if p.now >= x.by-4*answerBefore { // each who asks has a word of its own, and it comes right before
				p.tell(x, notYet, cmp.Or(stages[r.Stage], stages[""]), nil, r.Outstanding)
			}
		case r.Word == "refused" && r.Why != "":
			p.over(x, msgpackrpc.Killed(nil, x.msg, r.Why))
		default:
			p.over(x, msgpackrpc.Killed(nil, x.msg, unknownPurge))
		}
	}
	return len(l) > 0 || again != nil
}

const notYet = "not yet"

// stages are what is told of how far a purge has come. One that isn't recorded is asked
// for on and on by the controller that it was asked of, and by no other.
var stages = map[string]string{"": "not recorded", fleet.Purge: "recorded", fleet.Unreachable: "unreachable", fleet.Erased: "erased"}

// unsaidFor is how long the fleet may take for a word on what it is asked for again.
const unsaidFor = 5 * time.Second

func (p *purges) tell(x *purgeCall, word, stage string, n *fleet.Counts, outstanding []string) {
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
	p.over(x, msgpackrpc.Purged(nil, x.msg, fields...))
}

// over answers a call.
func (p *purges) over(x *purgeCall, answer []byte) {
	if x.over {
		return
	}
	x.over = true
	p.due.Drop(x.until)
	l := slices.DeleteFunc(p.waits[x.id], func(y *purgeCall) bool { return x == y })
	if p.waits[x.id] = l; len(l) == 0 {
		delete(p.waits, x.id)
	}
	x.c.pages--
	x.c.idle = p.now
	if !x.c.link.closed {
		x.c.answer(answer)
	}
}

func (p *purges) text() string {
	return fmt.Sprintf("; purges %d done %d asked for by clients %d", p.ordered, p.done, p.called)
}
