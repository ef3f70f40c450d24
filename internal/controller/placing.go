package controller

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/msgpackrpc"
	"railrelay.dev/railrelay/internal/residency"
	"railrelay.dev/railrelay/internal/scheduler"
)

// placement holds queries to where their teams' data may be: when they are taken, when
// they are handed on to the decisions, and at each submission by the rules as they are then.
type placement struct {
	*warrant
	core  *residency.Core
	names []string // of locations, by their places in the settings
	stamp uint64   // of the rules that all in hand was last judged by

	asks map[string]*binding // of the fleet, by id

	// counts
	bound, conflicts, directed, bindings, barred int
}

// binding is what a load needs in the record before it may be sent; all loads that need
// the same wait for one.
type binding struct {
	need  *fleet.Binding
	again time.Duration // before it is asked for once more
}

// placed is what is known of where one query may be.
type placed struct {
	team    string
	told    bool // its statement was looked at: the team was bound at some time
	read    []int64
	written []int64
	all     []int64
	known   bool

	verdict residency.Verdict
	stamp   uint64
	noted   int // submissions, when the last was noted as sent
}

func newPlacement(w *warrant) *placement {
	p := &placement{warrant: w, names: strings.Split(w.Facts["locations"], ","), asks: map[string]*binding{}}
	site := ""
	if at := w.Facts["own.location"]; at != "" {
		i, _ := strconv.Atoi(at)
		site = p.site(i)
	}
	p.core = residency.New(site)
	p.stamp = p.core.Stamp()
	return p
}

func (p *placement) site(place int) string {
	if place < 0 || place >= len(p.names) {
		return ""
	}
	return p.names[place]
}

// verdict judges a query by the rules as they are now.
func (p *placement) judged(q *query) *residency.Verdict {
	x := q.place
	if x.stamp == p.core.Stamp() {
		return &x.verdict
	}
	if !x.told && p.core.Bound(x.team) {
		x.tell(q)
	}
	x.stamp, x.verdict = p.core.Stamp(), p.core.Judge(x.team, x.all, x.known)
	return &x.verdict
}

// tell looks at its statement, for as long as it is there.
func (x *placed) tell(q *query) {
	x.told = true
	x.read, x.written, x.known = msgpackrpc.AllTables(q.statement)
	x.all = slices.Concat(x.read, x.written)
	if len(q.statement) == 0 || q.group.load && len(x.written) == 0 {
		x.known = false // it is forgotten, or loads into what can't be told: the strictest
	}
}

// binds: it needs the lease of bound teams. It is asked before enters.
func (p *placement) binds(q *query, from From) bool {
	q.place = &placed{team: p.whose(q, from), known: true}
	return p.judged(q).Bound
}

func (p *placement) enters(q *query, from From) bool {
	v := p.judged(q)
	if !v.Bound {
		return true
	}
	p.bound++
	if !p.fits(q, v) {
		return false
	}
	need, err := p.needs(q)
	if err != nil {
		p.conflicts++
		p.killed(q, err.Error())
		return false
	}
	if need != nil {
		p.ask(need)
	}
	if unrecorded(need, err) {
		p.hold(q, from) // release tries it again once the record has it
		return false
	}
	return true
}

// fits answers a query that may not be here or nowhere at all. Nothing of it was sent.
func (p *placement) fits(q *query, v *residency.Verdict) bool {
	switch {
	case v.Conflict != nil:
		p.conflicts++
		p.killed(q, v.Conflict.Error())
	case !v.Take:
		p.direct(q, v)
	}
	return !q.answered
}

// needs is what must be recorded before it may be sent, nil: nothing.
func (p *placement) needs(q *query) (*fleet.Binding, error) {
	x := q.place
	readOnly := p.Facts["group."+strconv.Itoa(q.group.index)+".effect"] == "read-only"
	if !q.group.load && len(x.written) == 0 && (x.known || readOnly) {
		return nil, nil
	}
	return p.core.Needs(x.team, x.read, x.written, x.known)
}

// direct defers a query, and tells its client which controllers may take it.
func (p *placement) direct(q *query, v *residency.Verdict) {
	p.directed++
	var may []string
	for _, m := range p.picture.Members {
		if !m.Forgotten && m.Clients != "" && slices.Contains(v.Takers, m.Site) {
			may = append(may, m.Clients)
		}
	}
	p.sayOf(q.about(), (&residency.Outside{Team: q.place.team, Site: p.core.Site(), Rules: v.Rules, Controllers: may}).Error())
	if q.answered || !p.close(q, fairqueue.Deferred) {
		return
	}
	p.tally.deferred++
	if a, ok := q.asker.(directed); ok && len(may) > 0 {
		a.directed(p.pause(), may)
		return
	}
	q.asker.deferred(p.pause())
}

// directed is an asker that can be told of other controllers.
type directed interface {
	directed(comeBack time.Duration, controllers []string)
}

// ask has the record take a binding, once.
func (p *placement) ask(need *fleet.Binding) {
	// the same everywhere and after a restart: an id of another binding would be taken as told already
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %v %v", need.Team, need.Tables, need.From))
	id := fmt.Sprintf("bind-%x", sum[:16])
	if p.asks[id] != nil {
		return
	}
	b := &binding{need: need}
	p.asks[id] = b
	p.bindings++
	p.want(id, b)
}

// bindWait is how long the fleet looks for an answer before it says that it isn't known yet.
const bindWait = 2 * time.Second

func (p *placement) want(id string, b *binding) {
	p.report(fleet.Report{Kind: fleet.Wanted, ID: id, Ask: &fleet.Ask{Kind: "bind", ID: id, By: p.core.Site(), Team: b.need.Team,
		Tables: b.need.Tables, From: b.need.From, Wait: bindWait.Milliseconds()}})
}

// answered: the record has a binding, or it isn't known yet, or it never will.
func (p *placement) answered(id string, reply *fleet.Reply) bool {
	b := p.asks[id]
	if b == nil {
		return false
	}
	switch reply.Word {
	case "bound":
		delete(p.asks, id)
		p.core.Recorded(*b.need)
		p.rejudge()
		p.soon(p.warrant.release)
	case "unknown":
		// asked again by the same id: the loads that wait for it have their own ends
		b.again = min(max(2*b.again, 50*time.Millisecond), time.Second)
		p.after(b.again, func() {
			if p.asks[id] == b {
				p.want(id, b)
			}
		})
	default:
		delete(p.asks, id)
		p.say(true, (&residency.Unbound{Team: b.need.Team, Tables: b.need.Tables, Why: cmp.Or(reply.Why, reply.Word)}).Error())
	}
	return true
}

func (p *placement) opened(policy *Policy) {
	rules, _ := policy.Rules.([]residency.Rule)
	p.core.Rules(rules)
	p.rejudge()
}

func (p *placement) pictured(picture *fleet.Picture) {
	p.core.Pictured(picture)
	p.rejudge()
}

// rejudge holds all that is in hand to rules that have changed. What runs goes on to its
// end, and what is kept is purged by the record; nothing new goes outside.
func (p *placement) rejudge() {
	if p.stamp == p.core.Stamp() {
		return
	}
	p.stamp = p.core.Stamp()
	var all []*query
	for _, q := range p.queries {
		if q.place != nil && !q.answered && !q.waits {
			all = append(all, q)
		}
	}
	slices.SortFunc(all, func(a, b *query) int { return cmp.Or(cmp.Compare(a.takenAt, b.takenAt), strings.Compare(a.id, b.id)) })
	for _, q := range all {
		v := p.judged(q)
		q.bound = v.Bound
		if !q.mayRun() {
			need, err := p.needs(q)
			if need != nil || err != nil { // its client comes again, and it is recorded then
				p.putOff(q)
				continue
			}
			if !p.fits(q, v) {
				p.soon(func() { p.gate.QueryDropped(p.now, q.id) })
				for _, s := range q.subs {
					if !s.sent {
						p.withdraw(s, scheduler.NeverSent)
					}
				}
				continue
			}
		}
		if need, _ := p.needs(q); need != nil {
			p.ask(need) // what it takes along may be there already
		}
		inside := p.inside(q)
		p.soon(func() { p.gate.ConfineQuery(p.now, q.id, inside) })
	}
}

// inside are the locations that a query may be sent to, by their places; nil: all.
func (p *placement) inside(q *query) []string {
	v := p.judged(q)
	if v.Conflict == nil && v.Take && v.Engines == nil {
		return nil
	}
	l := []string{}
	for i, name := range p.names {
		if v.Take && v.May(name) {
			l = append(l, strconv.Itoa(i))
		}
	}
	return l
}

// begins hands a query on to the decisions, or answers it: the rules may have changed
// while it waited for its turn.
func (p *placement) begins(q *query) {
	if q.place != nil && !p.fits(q, p.judged(q)) {
		return
	}
	var inside []string
	if q.place != nil {
		inside = p.inside(q)
	}
	p.gate.ConfinedQueryArrived(p.now, q.id, q.group.index, q.customer, q.deadline-p.now, q.tables, q.number, q.work, q.need, inside)
}

func (p *placement) allows(q *query, e *engine) bool {
	if q.place == nil {
		return true
	}
	v, site := p.judged(q), p.site(e.location)
	if v.Bound && (!v.Take || !v.May(site)) {
		p.barred++
		return false
	}
	if need, err := p.needs(q); v.Bound && unrecorded(need, err) {
		p.barred++ // a repeat, and a rule came since that follows what it takes along
		return false
	}
	if v.Bound && q.place.noted != len(q.subs) {
		q.place.noted = len(q.subs)
		if p.core.Sent(q.id, q.place.team, v, site) {
			p.sayOf(q.about(), "crosses to site "+site+": an emergency of its rules is on")
		}
	}
	return true
}

// keeps: this controller may keep its result or answer.
func (p *placement) keeps(q *query) bool { return q.place == nil || p.judged(q).Keep }

// serves: a kept result of these tables may be read here.
func (p *placement) serves(team string, tables []int64) bool {
	return p.core.Judge(team, tables, len(tables) > 0).Keep
}

func (p *placement) outside() (n int) {
	count := func(s *submission) {
		x := s.q.place
		if x == nil || !p.core.Bound(x.team) {
			return
		}
		if !x.told {
			x.tell(s.q)
		}
		if p.core.Outside(x.team, x.all, x.known, p.site(s.e.location)) {
			n++
		}
	}
	for _, q := range p.queries {
		for _, s := range q.subs {
			if s.sent && !s.certain {
				count(s)
			}
		}
	}
	for _, e := range p.engines {
		for _, s := range e.leaving {
			if s.certain { // told, and perhaps not over there yet
				count(s)
			}
		}
	}
	return n
}

func (p *placement) text() string {
	_, crossed := p.core.Crossed()
	return fmt.Sprintf("; placement bound %d, outside here %d, in conflict %d, barred %d, bindings %d, crossed %d",
		p.bound, p.directed, p.conflicts, p.barred, p.bindings, crossed)
}

// Crossed lists the latest queries that an emergency let over a boundary, and how many
// there were. It is for reports, between two steps.
func (r *Controller) Crossed() ([]residency.Crossing, int) {
	if r.warrant == nil || r.warrant.placing == nil {
		return nil, 0
	}
	return r.warrant.placing.core.Crossed()
}
