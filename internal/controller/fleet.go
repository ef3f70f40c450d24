package controller

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// FleetConfig is what a controller with peers starts with.
type FleetConfig struct {
	Word *fleet.Word
	// HoldMost is the longest that a query is held while this controller may not
	// decide, before it is deferred. 0: holdMost.
	HoldMost time.Duration
	// Back is the time to come back that is named to those, where one may be
	// named, and within the longest that clients follow. 0: backAfter.
	Back time.Duration
	// Bound tells whether a query of a team, over a group of tables (-1: not
	// known), needs the lease of bound teams. nil: none does.
	Bound func(team string, tables int64) bool
}

const (
	holdMost  = 2 * time.Second
	backAfter = time.Second
	// heldMost bounds the queries held before they were judged at all; more are
	// deferred at once. Their statements are bounded with all others' in hand, and
	// their calls' further fields by the same figure.
	heldMost = 8192
	// answerBy is before the queue timeout of one that is held: its answer has to
	// reach its client in time.
	answerBy = 10 * time.Millisecond
	// idleEvery is how often it is looked whether what was being written is out.
	idleEvery = time.Millisecond
	// untoldEvery is how often what the fleet had no room for is told again.
	untoldEvery = 10 * time.Millisecond
	sitesEvery  = time.Second
)

// Policy is what of the set-up the whole fleet shares, as an Open order brings it.
type Policy struct {
	Version uint64
	// Fair are the teams, nil to leave them as they are.
	Fair *fairqueue.Shape
	// Facts are the groups' limits and the customers' shares in the decisions'
	// words; other settings in it are passed over. nil leaves them as they are.
	Facts map[string]string
	// Rules are those of placement, for who looks after them.
	Rules any
}

// purging has what is kept of a team go. Without one a purge finds nothing.
type purging interface {
	// drop: nothing in scope that was asked for before index comes out any more;
	// Unreached and then Wiped are reported once that is so.
	drop(id string, scope *fleet.Scope, index uint64)
	// answered: what was asked of the fleet by a Wanted came to this. False: it
	// wasn't asked for here.
	answered(id string, reply *fleet.Reply) bool
}

// warrant is this controller's part in the fleet as far as its queries go: by which
// version they are decided, and what is held while they may not be. Without peers
// it is nil, and costs nothing.
type warrant struct {
	*Controller
	FleetConfig
	purging purging // nil: nothing is kept of teams
	placing *placement
	picture *fleet.Picture

	version uint64           // last opened
	shutFor string           // the change that it is shut for, until that is told
	since   [2]time.Duration // since when nothing may be decided, and nothing of bound teams; -1: it may
	ends    *timerqueue.Item // the lease
	lapses  *timerqueue.Item // what is held too long is given up
	held    []*unjudged      // in the order in which they came
	waiting int              // of those, how many are still to be answered
	fields  int              // bytes of theirs
	parked  []*submission    // chosen by the decisions and not let go
	untold  []fleet.Report   // the fleet had no room. As many as orders are under way at the most
	retells bool             // they are about to be told again
	sites   []string         // last told

	// counts
	holds, deferredFor, refusedWrites, switches int
	longest                                     time.Duration
}

// unjudged is a query that came while nothing might be decided.
type unjudged struct {
	q    *query
	from From
}

func newWarrant(r *Controller, f *FleetConfig) *warrant {
	w := &warrant{Controller: r, FleetConfig: *f, picture: &fleet.Picture{}, since: [2]time.Duration{-1, -1}}
	w.HoldMost, w.Back = cmp.Or(w.HoldMost, holdMost), cmp.Or(w.Back, backAfter)
	w.placing = newPlacement(w)
	w.look()
	w.tellSites()
	return w
}

// may is the version to decide by, 0 if nothing may be decided.
func (w *warrant) may(bound bool) uint64 { return w.Word.May(w.now, bound) }

// ordered does what the fleet orders, in the order in which the record has it.
func (w *warrant) ordered(o *fleet.Order) {
	switch o.Kind {
	case fleet.Shut:
		w.Word.Set(0)
		w.shutFor = o.Change
		w.look()
		w.shutting()
	case fleet.Open:
		w.open(o)
	case fleet.Renewed:
		w.Word.Lease(o.Until, o.UntilBound)
		w.watchLease()
		w.look()
	case fleet.Drop:
		if w.purging != nil {
			w.purging.drop(o.ID, o.Scope, o.Index)
			return
		}
		w.report(fleet.Report{Kind: fleet.Unreached, ID: o.ID})
		w.report(fleet.Report{Kind: fleet.Wiped, ID: o.ID})
	case fleet.Pictured:
		if w.paging != nil && w.picture.Index == 0 { // the first of this run
			w.paging.core.Recorded(o.Picture.Index)
		}
		w.picture = o.Picture
		w.placing.pictured(o.Picture)
	case fleet.Answered:
		// both, whatever the first says: a client may ask for any id, a binding's too
		w.placing.answered(o.ID, o.Reply)
		if w.purging != nil {
			w.purging.answered(o.ID, o.Reply)
		}
	}
}

// shutting tells that it is shut once nothing is being written. What is written later,
// though it was asked for before, asks the word first and is refused.
func (w *warrant) shutting() {
	switch {
	case w.shutFor == "":
	case !w.Word.Idle():
		w.after(idleEvery, w.shutting)
	default:
		w.report(fleet.Report{Kind: fleet.Closed, Change: w.shutFor})
		w.shutFor = ""
	}
}

// open takes a version over before anything is decided by it. The one it had is
// opened again where a change was withdrawn.
func (w *warrant) open(o *fleet.Order) {
	w.shutFor = ""
	if o.Version != w.version {
		if w.version != 0 {
			w.switches++
		}
		w.version = o.Version
		if p, ok := o.Policy.(*Policy); ok && p != nil {
			w.takeOver(p)
		}
	}
	w.Word.Set(o.Version)
	w.report(fleet.Report{Kind: fleet.Opened, Version: o.Version, Outside: w.placing.outside()})
	w.look()
}

func (w *warrant) takeOver(p *Policy) {
	if p.Facts != nil {
		w.retell(p.Facts)
	}
	switch {
	case w.fair == nil:
	case p.Fair != nil:
		w.fair.reload(p.Fair)
	case p.Facts != nil:
		w.fair.reload(w.fair.shape) // its lanes are the groups
	}
	w.placing.opened(p)
}

// shared tells whether a setting is the fleet's to change while it runs.
func shared(name string) bool {
	group, isGroup := strings.CutPrefix(name, "group.")
	_, what, _ := strings.Cut(group, ".")
	return isGroup && slices.Contains([]string{"value", "target", "timeout", "stretch", "late-share"}, what) ||
		strings.HasPrefix(name, "team.") || name == "threads" || name == "teams" || name == "over.worth"
}

// retell takes over other limits of groups and other shares of customers.
func (r *Controller) retell(facts map[string]string) {
	next := maps.Clone(r.Facts)
	maps.DeleteFunc(next, func(name, _ string) bool { return shared(name) })
	for name, value := range facts {
		if shared(name) {
			next[name] = value
		}
	}
	r.Facts = next
	for _, g := range r.groups {
		g.read(r)
		r.longest = max(r.longest, g.timeout)
	}
	r.named()
	r.gate.UpdateSettings(r.now, next)
}

// watchLease looks again when the lease ends, if nothing else has by then.
func (w *warrant) watchLease() {
	w.due.Drop(w.ends)
	w.ends = nil
	until, bound := w.Word.Until()
	if bound > w.now {
		until = min(until, bound)
	}
	if until > w.now && until < fleet.Forever {
		w.ends = w.due.Add(until, func() {
			w.look()
			w.watchLease()
		})
	}
}

// look notes whether anything may be decided now, and by that holds what there is
// or lets it go. It is asked before every event: a lease ends without one.
func (w *warrant) look() {
	opened, shut := false, false
	for i := range w.since {
		switch may := w.may(i == 1) != 0; {
		case !may && w.since[i] < 0:
			w.since[i], shut = w.now, true
			if i == 0 {
				w.gate.SetPaused(w.now, true)
			}
		case may && w.since[i] >= 0:
			w.since[i], opened = -1, true
		}
	}
	if opened || shut {
		w.lapseLater()
	}
	if opened {
		w.release()
	}
}

// stands: nothing may be decided, whoever asks.
func (w *warrant) stands() bool { return w.since[0] >= 0 }

// ready: it takes queries and has them answered. A switch lasts a moment, and is no
// reason for clients to go elsewhere; a lease that is gone is.
func (w *warrant) ready() bool {
	until, _ := w.Word.Until()
	return !w.stands() || w.version != 0 && w.now < until && w.now-w.since[0] < w.HoldMost
}

// enters is where every query passes that has come. One that can't be judged now
// is kept as it is, and judged by the version that it is let go by.
func (w *warrant) enters(q *query, from From) bool {
	q.bound = w.placing.binds(q, from) || w.Bound != nil && w.Bound(q.place.team, q.tables)
	if w.may(q.bound) == 0 || q.key != nil && w.behind(q.key) {
		w.hold(q, from)
		return false
	}
	return w.placing.enters(q, from)
}

// whose is the team of a call, or the customer where there are no teams.
func (w *warrant) whose(q *query, from From) string {
	if w.fair == nil && q.customer >= 0 && q.customer < len(w.customers) {
		return w.customers[q.customer]
	}
	return w.teamOf(from)
}

// behind: one of its key is held, and mustn't be overtaken by it.
func (w *warrant) behind(k *key) bool {
	return w.waiting > 0 && slices.ContainsFunc(w.held, func(h *unjudged) bool { return h.q.waits && h.q.key == k })
}

func (w *warrant) hold(q *query, from From) {
	if len(w.held) > 2*w.waiting+64 || w.fields > w.inHandMost {
		w.held = slices.DeleteFunc(w.held, func(h *unjudged) bool { return !h.q.waits })
		w.fields = 0
		for _, h := range w.held {
			w.fields += h.from.Fields.Size()
		}
	}
	if w.waiting >= heldMost || w.fields > w.inHandMost {
		w.putOff(q)
		return
	}
	w.holds++
	q.waits = true
	w.waiting++
	from.Fields = from.Fields.Clone() // the call lies in its connection's buffer
	w.fields += from.Fields.Size()
	w.held = append(w.held, &unjudged{q, from})
	q.latest = w.due.Add(min(q.takenAt+w.HoldMost, q.deadline-answerBy), func() {
		if q.waits {
			w.putOff(q)
		}
	})
}

// unheld: it is held no more, whatever becomes of it.
func (w *warrant) unheld(q *query) {
	q.waits = false
	w.waiting--
	w.longest = max(w.longest, w.now-q.takenAt)
	w.due.Drop(q.latest)
	q.latest = nil
}

// release lets go what may be decided again: first what the decisions had chosen
// for, then what they hold, then what came since.
func (w *warrant) release() {
	parked := w.parked
	w.parked = nil
	for _, s := range parked {
		s.start() // which is parked again if it is of a bound team, and those still may not
	}
	if !w.stands() {
		w.gate.SetPaused(w.now, false)
	}
	all := w.held
	w.held, w.fields = nil, 0
	for _, h := range all {
		if !h.q.waits {
			continue
		}
		q := h.q
		w.unheld(q)
		q.customer = w.customer(h.from)
		if q.group.timeout > 0 && q.deadline-q.takenAt > q.group.timeout {
			w.killed(q, "no such patience")
			continue
		}
		w.enter(q, h.from, q.number)
	}
}

// lets tells whether a submission may go now. One that may not waits; one whose engine
// was chosen before what is in force now goes back to the decisions if that bars it.
func (w *warrant) lets(s *submission) bool {
	by := w.may(s.q.bound)
	switch {
	case by == 0:
		w.parked = append(w.parked, s)
		return false
	case !w.placing.allows(s.q, s.e):
		s.end(scheduler.NeverSent)
		return false
	}
	s.version = by
	return true
}

// lapseLater has what is held given up when it has been held for too long.
func (w *warrant) lapseLater() {
	w.due.Drop(w.lapses)
	w.lapses = nil
	at := fleet.Forever
	for _, since := range w.since {
		if since >= 0 {
			at = min(at, max(since+w.HoldMost, w.now+w.HoldMost/4))
		}
	}
	if at < fleet.Forever {
		w.lapses = w.due.Add(at, w.lapse)
	}
}

// lapse gives up what waits for its turn, with the decisions, or with its engine
// chosen. Nothing of it was sent, or what was sent is proven never to have run.
func (w *warrant) lapse() {
	long := func(q *query) bool {
		since := w.since[0]
		if q.bound {
			since = w.since[1]
		}
		return since >= 0 && w.now-since >= w.HoldMost
	}
	for _, s := range w.parked {
		if !s.ended && long(s.q) && s.q.mayRun() {
			w.withdraw(s, scheduler.NeverSent)
		}
	}
	w.parked = slices.DeleteFunc(w.parked, func(s *submission) bool { return s.ended })
	var late []*query
	for _, q := range w.queries {
		if !q.answered && !q.waits && long(q) && !q.mayRun() {
			late = append(late, q)
		}
	}
	slices.SortFunc(late, func(a, b *query) int { return cmp.Or(cmp.Compare(a.takenAt, b.takenAt), strings.Compare(a.id, b.id)) })
	for _, q := range late {
		w.putOff(q)
	}
	w.lapseLater()
}

// mayRun: something of it was sent and isn't proven never to have run.
func (q *query) mayRun() bool {
	return slices.ContainsFunc(q.subs, func(s *submission) bool {
		return s.sent && !(s.certain && s.outcome.NeverRan())
	})
}

// putOff defers a query of which nothing has run.
func (w *warrant) putOff(q *query) {
	w.deferredFor++
	w.sayOf(q.about(), "deferred: this controller may not decide now")
	subs := q.subs
	w.deferred(q, w.pause())
	w.soon(func() { w.gate.QueryDropped(w.now, q.id) })
	for _, s := range subs {
		if !s.sent {
			w.withdraw(s, scheduler.NeverSent)
		}
	}
}

// pause is the time to come back that may be named.
func (w *warrant) pause() time.Duration {
	if w.Facts["may.name-return"] != "true" {
		return 0
	}
	return min(w.Back, w.span("return.most"))
}

// shutDown gives up what is held: the program ends.
func (w *warrant) shutDown() {
	for _, h := range w.held {
		if h.q.waits {
			w.putOff(h.q)
		}
	}
	w.held, w.fields = nil, 0
}

// report tells the fleet's side something, after all that it wasn't told yet.
func (w *warrant) report(p fleet.Report) {
	switch {
	case len(w.untold) == 0:
		w.do(Effect{Kind: ReportToFleet, Report: &p})
	case p.Kind != fleet.Sites: // those come again
		w.untold = append(w.untold, p)
	}
}

// noRoom: a report found none, and is told again.
func (w *warrant) noRoom(p *fleet.Report) {
	if p.Kind == fleet.Sites {
		return
	}
	w.untold = append(w.untold, *p)
	if !w.retells {
		w.retells = true
		w.after(untoldEvery, func() {
			l := w.untold
			w.untold, w.retells = nil, false
			for _, p := range l {
				w.report(p)
			}
		})
	}
}

// tellSites tells each second where there are engines that serve.
func (w *warrant) tellSites() {
	w.after(sitesEvery, w.tellSites)
	w.sites = w.serving()
	w.tellOf(w.sites)
}

// listed: the list has changed, and perhaps which sites serve.
func (w *warrant) listed() {
	if l := w.serving(); !slices.Equal(l, w.sites) {
		w.sites = l
		w.tellOf(l)
	}
}

func (w *warrant) tellOf(sites []string) {
	w.report(fleet.Report{Kind: fleet.Sites, Sites: sites, Outside: w.placing.outside()})
}

// serving are the locations that have engines which take queries, by the list.
func (w *warrant) serving() (l []string) {
	has := map[int]bool{}
	for _, e := range w.engines {
		if e.state == scheduler.EngineActive {
			has[e.location] = true
		}
	}
	for i, name := range strings.Split(w.Facts["locations"], ",") {
		if has[i] {
			l = append(l, name)
		}
	}
	return l
}

func (w *warrant) text() string {
	return fmt.Sprintf("; fleet version %d switches %d, held %d in all %d longest s %.3f deferred for want of a lease %d, writes refused %d",
		w.may(false), w.switches, w.waiting, w.holds, w.longest.Seconds(), w.deferredFor, w.refusedWrites) + w.placing.text()
}
