// Package scheduler holds the decisions of a railrelay gateway, all in this file. New (door.go) makes a Gateway
// from an Actor, a seed and a map of settings; an adapter calls the methods of Gate, each with the time since
// the start, and the Gateway acts through its Actor before it returns. Nothing blocks or reads a clock.
//
// The ordinary path follows Gargamel (docs/design.md): loads go into a chain per table group, the rest into
// a queue per resource group, release lets them out in arrival order and pick draws an engine. submit is the
// only way to an engine and asks maySend and allowed, which hold the rules; giveUp the only way to an answer.
package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	chainWindow    = 10 * time.Second // a chain ended this recently goes on at its engine
	threadsPerCore = 2.0              // all gateways together
	pressedAt      = 5.0              // latency over its best that counts as pressure
	reportKeeps    = 1 * time.Second
	grantOver      = 1.25 // memory granted over the estimate
	tick           = 100 * time.Millisecond
	flowSpan       = 5 * time.Second // over which rates are taken
)

// ---- engines coming and going

// restarted: a new process under a known id; what was learned is void, and it is cold from its start on.
func (g *Scheduler) restarted(e *engine, started time.Duration) {
	g.forget(e)
	e.started, e.coldFrom, e.coldUntil = started, started, max(e.coldUntil, started+g.facts.span("cold.span", 0))
}

// ---- queries

func (g *Scheduler) take(q *query) {
	rg := q.rg
	if g.closing { // refused at once: its client can go elsewhere, and the end comes
		g.giveUp(q)
		return
	}
	if q.work > 0 && !g.facts.yes("answers.cost") {
		rg.work.add(q.work, 200)
	}
	q.aim = g.now + rg.target + seconds(rg.stretch*g.lone(q))
	g.workRate += g.usual(rg)
	rg.taken++
	q.team.took++
	g.meanWork.add(g.usual(rg), 100)
	g.probeLeft = min(g.probeLeft+1.5, 6)
	// the guard of rule 1: whatever else goes wrong, the answer is out in time
	g.of(q, q.deadline-2*g.facts.span("tick", 5*time.Millisecond), func() { g.giveUp(q) })
	g.of(q, q.aim, func() { g.late(q) })
	if line := g.line(q); line != nil {
		if line.line = append(line.line, q); line.line[0] != q {
			g.behind(q, line)
			return
		}
	}
	g.begin(q)
}

// late: past its target, which is a sign in itself where no note tells why.
func (g *Scheduler) late(q *query) {
	quiet := g.facts.span("note.period", 0)*3/2 + 300*time.Millisecond // none is sure to come before
	for _, s := range q.subs {
		if !s.ended && (g.facts.span("note.period", 0) <= 0 || quiet > q.deadline-q.takenAt) {
			g.stands(s)
		}
	}
	g.setTerms(q)
}

// behind: what those before it in its key's line should take alone leaves it no time. Given up at once
// it comes back in its own time; a long line kept is given up in one moment when its head ends late, and
// clients, who space a key's queries, send the last with most of their time gone: queries were lost so.
func (g *Scheduler) behind(q *query, line *keyLine) {
	before := 0.0
	for _, x := range line.line[:len(line.line)-1] {
		before += g.expect(x)
	}
	if g.now+seconds(before) > g.latest(q) {
		g.giveUp(q)
	}
}

func (g *Scheduler) begin(q *query) {
	if q.over {
		return
	}
	if line := g.line(q); line != nil && g.now < line.restUntil {
		g.of(q, line.restUntil, func() { g.begin(q) })
		return
	}
	if q.rg.load {
		g.join(q)
	} else {
		g.enqueue(q)
	}
}

// join is the paper's classifier: behind the running link, or at the head of a chain.
func (g *Scheduler) join(q *query) {
	c := g.chains[q.tables]
	if c == nil {
		c = &chain{}
		g.chains[q.tables] = c
	}
	q.chain = c
	if c.link == nil {
		g.lead(c, q)
		return
	}
	c.held = append(c.held, q)
	g.of(q, g.now+short(time.Second, q.rg.target/3), func() {
		if c.drop(q) {
			c.link = q
			g.enqueue(q)
		}
	})
}

func (g *Scheduler) lead(c *chain, q *query) {
	c.link = q
	recent := c.engine != nil && c.ended && g.now-c.endedAt < chainWindow
	if !recent || !g.hasRoom(c.engine, q) || !g.submit(q, c.engine) {
		g.enqueue(q)
	}
}

func (g *Scheduler) linkEnded(q *query) {
	c := q.chain
	if c == nil || c.drop(q) || c.link != q {
		return
	}
	c.link, c.ended, c.endedAt = nil, true, g.now
	if len(c.held) > 0 {
		next := c.held[0]
		c.drop(next)
		g.lead(c, next)
	}
}

func (g *Scheduler) enqueue(q *query) {
	if q.next == nil {
		q.next = func(e *engine) bool { return g.submit(q, e) }
	}
	q.rg.insert(q)
}

// release lets held queries go, the group with the most value for its work first, each in arrival order. A
// head that no engine may take whatever its room is passed over: it must not hold up those that one may.
func (g *Scheduler) release() {
	for _, rg := range g.ranked {
		var shut []int64 // tables that no clear engine is left for, asked once a round: queues get long
		rg.full = false
		for i := 0; i < len(rg.queue); {
			q := rg.queue[i]
			if !q.over && g.hopeless(q, len(rg.queue) > i+1) {
				g.giveUp(q)
			}
			if q.over {
				rg.remove(q)
				continue
			}
			if len(q.subs) == 0 && slices.Contains(shut, q.shuts) {
				i++
				continue
			}
			e, barred := g.pick(q)
			switch {
			case e != nil && q.next(e):
				rg.remove(q)
			case e == nil && !barred && !q.narrow: // one that few engines may take holds up only its like
				g.thin(rg)
				rg.full, i = true, len(rg.queue)
			default:
				shut = append(shut, q.shuts)
				i++
			}
		}
	}
}

// thin: a queue that is more than can be begun in time gives up at once what costs most for its
// worth. In plain arrival order a long query would take the room of several that are worth as much.
func (g *Scheduler) thin(rg *resourceGroup) {
	work := 0.0
	for _, q := range rg.queue {
		work += g.lone(q) * rg.threads
	}
	for len(rg.queue) > 1 && work > g.rate(rg.begun)*rg.target.Seconds()/4 {
		dearest := slices.MaxFunc(rg.queue, func(a, b *query) int { return cmp.Compare(g.dear(a), g.dear(b)) })
		if g.dear(dearest) <= g.usual(rg)/rg.threads { // all alike: arrival order is as good
			return
		}
		work -= g.lone(dearest) * rg.threads
		g.giveUp(dearest)
		rg.remove(dearest)
	}
}

// dear is what a query takes for its worth: less is had of a team that is over its share.
func (g *Scheduler) dear(q *query) float64 {
	if len(q.subs) > 0 {
		return 0 // begun once: what was done would be lost
	}
	return g.lone(q) / (1 - g.over(q.team)*(1-g.facts.num("over.worth", 1)))
}

// over is the part of a team's queries that go beyond its share, as far as one's own tell: against
// the quotas' even part, and against how busy one is in the long run, as traffic isn't even.
func (g *Scheduler) over(t *team) float64 {
	return max(0, 1-t.quota*max(1, g.busy.or(1))/max(0.01, g.rate(t.took)))
}

func (g *Scheduler) rate(of float64) float64 {
	return of / min(flowSpan, max(time.Second, g.now)).Seconds()
}

// hopeless: what can't earn its keep is given up before it takes room from what can; what is worth
// nothing late isn't sat on till its client leaves, though nobody waits behind it.
func (g *Scheduler) hopeless(q *query, backlog bool) bool {
	return g.left(q) < g.lone(q)/2 || backlog && g.now > g.latest(q) ||
		q.rg.lateShare <= 0 && g.now+seconds(g.lone(q)) > q.aim
}

// latest is when a query has to start at the latest to be done when it should be.
func (g *Scheduler) latest(q *query) time.Duration {
	by := min(q.aim, q.deadline)   // some come with less time than is aimed for
	if q.rg.leaving.value > 0.05 { // clients that hang up early, whatever they said they would wait
		by = min(by, q.takenAt+seconds(q.rg.patience.value))
	}
	return by - seconds(1.25*g.expect(q))
}

// ---- which engine

func (g *Scheduler) ready(e *engine) bool {
	return e.state == EngineActive && !(e.silent && g.looks) && g.now >= e.restUntil
}

// pick draws an engine, odds in step with room; barred: not for room that none is found.
func (g *Scheduler) pick(q *query) (found *engine, barred bool) {
	if !g.maySend(q) {
		return nil, true
	}
	var clear, named, blocked, unseen []*engine
	barred, hold := true, 0
	weigh := func(e *engine) {
		if !g.allowed(q, e) {
			return
		}
		barred = false
		locked := (q.rg.waits || q.rg.load) && g.loadRuns(e, q.tables)
		switch room := g.hasRoom(e, q); {
		case room && (locked || e == q.avoid):
			blocked = append(blocked, e)
		case room && g.names(q, e):
			named = append(named, e)
		case room:
			clear = append(clear, e)
		case !locked && g.ready(e):
			hold++ // better held for this one than standing still behind a load
		}
	}
	for _, e := range g.on() {
		if g.known(e) {
			weigh(e)
		} else if e.state == EngineActive && g.now >= e.restUntil {
			unseen = append(unseen, e) // a silent one too: this is how it is heard again
			if g.names(q, e) && g.ready(e) && !g.lately(e) && !g.loadRuns(e, q.tables) && g.allowed(q, e) {
				named = append(named, e) // the chance alone leaves room there: no look is paid for
			}
		}
	}
	// among many, own queries tell nothing of an engine: some unseen are looked at first, and sent to if seen
	want := 2
	if g.light(q.rg) {
		want = 1
	}
	if len(named) == 0 && len(clear) < want && len(unseen) > 0 {
		waits := slices.ContainsFunc(q.looks, func(e *engine) bool { return e.probing })
		if waits && g.now < q.lookedAt+50*time.Millisecond {
			return nil, false
		}
		g.rng.shuffle(unseen)
		slices.SortStableFunc(unseen, func(a, b *engine) int { return cmp.Compare(g.away(q, a), g.away(q, b)) })
		again := g.now > q.lookedAt+short(250*time.Millisecond, q.rg.timeout/6)
		if g.probeLeft >= 1 && (q.looks == nil || len(clear) == 0 && again) {
			q.looks, q.lookedAt = nil, g.now
			for _, e := range unseen {
				if len(clear)+len(q.looks) < want && g.probeLeft >= 1 && g.allowed(q, e) {
					g.probeLeft--
					g.look(e)
					q.looks = append(q.looks, e)
				}
			}
			if len(q.looks) > 0 {
				return nil, false
			}
		}
		for i := 0; len(clear) == 0 && g.probeLeft < 1 && i < len(unseen) && i < 4; i++ {
			weigh(unseen[i])
		}
	}
	if len(clear)+len(named) == 0 {
		if len(blocked) > 0 && hold >= len(blocked) {
			return nil, true // it waits for a load, not for its turn: others may pass
		}
		clear = blocked
	}
	if len(named) > 0 {
		clear = named
	}
	if slices.ContainsFunc(clear, func(e *engine) bool { return g.away(q, e) == 0 }) {
		clear = slices.DeleteFunc(clear, func(e *engine) bool { return g.away(q, e) > 0 })
	}
	return g.rng.draw(clear, g.room), barred && len(unseen) == 0
}

// away: a light query goes to another location only for want of room; heavy ones, few, even the load out.
func (g *Scheduler) away(q *query, e *engine) int {
	if e.home || !g.light(q.rg) {
		return 0
	}
	return 1
}

// known: a report tells how full it is, or there is nothing to be had by looking.
func (g *Scheduler) known(e *engine) bool {
	return !g.looks || e.report != nil && g.now-e.reportAt < reportKeeps
}

// hasRoom: the thread bound, which binds only under pressure.
func (g *Scheduler) hasRoom(e *engine, q *query) bool {
	if !g.ready(e) || e.stood > 0 && (len(e.out) > 0 || !g.light(q.rg)) {
		return false // what stood still is tried with one light query first
	}
	// the bound's split: each group leaves a part to those worth more for their
	// work, or long queries would hold all of it whenever a short one comes
	part := 1 - 0.1*float64(slices.Index(g.ranked, q.rg))
	bound, ram := threadsPerCore*e.cores*g.share*part, e.ram*g.share
	switch {
	case len(e.out) == 0 && bound >= 1 && g.dealt(e, bound/q.rg.threads),
		e.threads+q.rg.threads <= bound && e.memory+g.needs(q) <= ram:
		return true
	case g.pressed(e, q):
		return false
	}
	// among many one's part is less than a query: it binds in the mean, once most are full; all would go to few
	threads, _, count, cores := g.sums()
	return g.counts && g.fillSeen.or(0) < 0.75 || count == 0 || g.light(q.rg) ||
		threads+q.rg.threads <= threadsPerCore*cores*g.share*part
}

// dealt: where a query is larger than one's part of an engine, all gateways with one each there would be
// several times its bound. So many as fit are dealt among them by number.
func (g *Scheduler) dealt(e *engine, part float64) bool {
	n := max(1, g.facts.num("gateways", 1))
	return math.Mod(float64(e.mark)+g.facts.num("own.number", 0), n) < math.Round(n*part)
}

// light groups take less than the mean of the work: they fill no engine.
func (g *Scheduler) light(rg *resourceGroup) bool { return g.usual(rg) < g.meanWork.value }

func (g *Scheduler) lately(e *engine) bool { return e.fullAt > 0 && g.now-e.fullAt < 2*time.Second }

func (g *Scheduler) pressed(e *engine, q *query) bool {
	// with a small share of one's own the bound rations next to nothing: an engine is used while it has room
	full := max(0.7, 0.85-0.5*g.share)
	if !g.looks && (g.counts || g.fillSeen.count == 0) && q.rg == g.ranked[0] && g.light(q.rg) {
		full *= 2 // a guess or an old count doesn't turn away what costs least for its worth; busy cores do
	}
	return g.lately(e) || e.slow > pressedAt || g.filled(e) > full
}

// ownShare is one's own part of all work: by what was out of late against what engines report to hold. Where
// nothing tells, an even part in the mean: what was left of it of late goes on top within a second, the more
// so the more of it one query takes, as few go up and down far more than many.
func (g *Scheduler) ownShare() float64 {
	n := max(1, g.facts.num("gateways", 1))
	threads, _, _, cores := g.sums()
	if even := threadsPerCore * cores / n; !g.looks && g.fillSeen.count == 0 {
		left := min(1, g.lump/max(1, even)) * max(0, 1-g.recent.or(threads)/max(1, even))
		return min(1, (1+flowSpan.Seconds()*left)/n)
	} else if g.allHeld.count == 0 {
		return 1 / n
	}
	return min(1, max(0.25/n, g.usualCount.or(1)/max(1, g.warm)/g.allHeld.value))
}

// filled guesses how full an engine is with the work of all gateways; 1 is full: by its report, whichever is
// nearest its end, and what was sent since; else as those seen of late, or as if all did as this one.
func (g *Scheduler) filled(e *engine) float64 {
	most := threadsPerCore * e.cores * g.able(e)
	if e.report != nil && g.now-e.reportAt < reportKeeps {
		return max(g.memoryOn(e), (g.heldOn(e)+g.since(e.threads-e.threadsAtReport))/most)
	}
	if g.fillSeen.count > 0 {
		return g.fillSeen.value + e.threads/most
	}
	g.on()
	others := (1/g.share - 1) * e.cores * g.able(e) / max(1, g.cores)
	return max((e.threads+g.usualThreads.value*others)/most, (e.memory+g.usualMemory.value*others)/e.ram)
}

// heldOn is the threads on an engine seen: of the queries it tells of, or, where it tells of none, of
// its busy cores. Taken as none, an engine looked the emptier the more of one's own stood still there.
func (g *Scheduler) heldOn(e *engine) float64 {
	if held, told := e.report["held"]; told {
		return held * max(1, g.usualThreads.value/max(0.1, g.usualCount.value))
	}
	most := 0.0 // a query is more than one's part of an engine: the largest says nothing of the others'
	for _, s := range e.out {
		most = max(most, s.threads)
	}
	return max(e.report["cores"]*threadsPerCore*e.cores, (e.threads-most)/g.share)
}

// memoryOn is the same for memory alone, of an engine seen.
func (g *Scheduler) memoryOn(e *engine) float64 {
	held := g.heldOn(e) * g.usualMemory.value / max(0.1, g.usualThreads.value)
	return (held + g.since(e.memory-e.memoryAtReport)) / e.ram
}

// since guesses what all gateways sent to an engine since its report, by one's own: they look as often, and
// each that looked at it while a report keeps saw the same room and fills it alike.
func (g *Scheduler) since(own float64) float64 {
	part := min(1, g.rate(g.looked)*reportKeeps.Seconds()/max(1, float64(len(g.on())))) // of engines, seen
	return own + max(0, own)*part*(max(1, g.facts.num("gateways", 1))-1)
}

func (g *Scheduler) room(e *engine) float64 {
	return e.cores * g.able(e) * max(0.02, 1-g.filled(e)) / e.slow
}

// ---- what it takes

// lone is the time a query should take alone, in seconds.
func (g *Scheduler) lone(q *query) float64 {
	work := q.work
	if work <= 0 {
		work = q.rg.work.or(q.rg.guess())
	} else if !q.told { // estimates lie too high or too low by group
		work *= q.rg.off.or(1)
	}
	return work / q.rg.threads
}

// needs is the memory a query should need, in MB; 0 while nothing is known.
func (g *Scheduler) needs(q *query) float64 { return cmp.Or(q.memory, q.rg.need.or(0)) }

// expect is the time it should take as things are, in seconds.
func (g *Scheduler) expect(q *query) float64 { return g.lone(q) * max(1, q.rg.stretchy.or(1)) }

// learn takes one ratio of time taken to time alone, of a submission at e.
func (g *Scheduler) learn(s *submission, ratio float64) {
	rg := s.q.rg
	rg.stretchy.add(min(ratio, 20), 60)
	if rg.floor == 0 || ratio < rg.floor { // slowly up and quickly down, to stay near the best
		rg.floor = max(0.01, ratio, 0.8*rg.floor+0.2*ratio)
	} else {
		rg.floor += (ratio - rg.floor) * 0.01
	}
	s.e.slow += (min(10, max(0.3, ratio/rg.floor)) - s.e.slow) * 0.1
}

// ---- the rules on what may be sent, all in one place

// maySend asks what is the same for all engines.
func (g *Scheduler) maySend(q *query) bool {
	f, l := g.facts, g.line(q)
	switch {
	case q.over || g.now >= q.deadline, // 1
		q.out > 0 && !f.yes("may.copy") || !g.mayRepeat(q),                   // 2
		l != nil && (l.line[0] != q || g.now < l.restUntil && l.restBy != q): // 5
		return false
	}
	return len(q.subs) == 0 || g.affords() // 7
}

// affords: the submission budget has one more.
func (g *Scheduler) affords() bool {
	f, span := g.facts, g.facts.span("budget.span", 0)
	most := f.num("budget.least", 0) + f.num("budget.share", 0)*float64(within(&g.taken, g.now-span))
	return span <= 0 || float64(within(&g.extras, g.now-span)+1) <= most
}

func (g *Scheduler) allowed(q *query, e *engine) bool {
	rg := q.rg
	switch {
	case e.state != EngineActive, // 3: not even within the grace
		q.inside != nil && !slices.Contains(q.inside, strconv.Itoa(e.location)),
		len(rg.kinds) > 0 && !slices.Contains(rg.kinds, strconv.Itoa(e.kind)):
		return false // 6
	}
	for _, s := range q.mayHaveRun() { // 2
		near := rg.scope == "all" || s.e == e || rg.scope == "location" && s.e.location == e.location ||
			rg.scope == "cell" && s.e.cell == e.cell
		if rg.effect != "read-only" && !near {
			return false
		}
	}
	return g.now >= e.coldUntil || g.coldFits(q, e) // 4
}

func (rg *resourceGroup) guess() float64 { return rg.target.Seconds() / 2 * rg.threads }

// usual is a group's ordinary work, corrected by its best times where estimates are off.
func (g *Scheduler) usual(rg *resourceGroup) float64 {
	work := rg.work.or(rg.guess())
	if rg.floor > 0 && !g.facts.yes("answers.cost") {
		work *= rg.floor
	}
	return work
}

// able is the part of its capacity that an engine has at the least.
func (g *Scheduler) able(e *engine) float64 {
	if g.now >= e.coldUntil {
		return 1
	}
	from := g.facts.num("cold.from", 0.2)
	age, span := max(0, g.now-e.coldFrom), max(time.Second, g.facts.span("cold.span", 0))
	return from + (1-from)*min(1, age.Seconds()/span.Seconds())
}

// names: among many, a cold engine that a light query's chance allows gets the query. Drawn for among all
// others besides, next to nothing would go there, while what is warm is full. Heavy queries are drawn for: it
// stands one or two in a window, and several gateways may send at once; so are groups little is known of.
func (g *Scheduler) names(q *query, e *engine) bool {
	return g.now < e.coldUntil && g.facts.num("gateways", 1) > 1 && g.light(q.rg) && q.rg.work.count >= 10
}

// coldFits keeps all gateways together under what a cold engine stands, however many they are and however
// unevenly traffic lies: each query may go there by a chance that in sum, were all who may to go, makes a
// part of the limit; a smaller one of heavy queries, none while two pass it. Its own sum holds the busiest.
func (g *Scheduler) coldFits(q *query, e *engine) bool {
	f, window := g.facts, g.facts.span("cold.window", time.Second)
	limit := f.num("cold.multiple", 1) * g.able(e) * 0.85 * e.cores * window.Seconds()
	work, most, part := g.usual(q.rg), 0.33, 0.3
	if f.num("gateways", 1) <= 1 {
		most, part = 0.7, math.Inf(1)
	} else if !g.light(q.rg) {
		part = 0.1
	}
	// the fleet does at most its cores' work; of that, so much is of this group
	ofGroup := work * q.rg.taken / max(0.1, g.workRate)
	chance := part * limit / window.Seconds() / (max(1, g.cores) * ofGroup)
	draw := float64((uint32(q.seq)*2654435761^e.mark)*2246822519>>8) / (1 << 24)
	// a few that were small say little: no less than would be guessed of a group not known yet
	work = max(work, q.rg.guess()) * (1 + 1/math.Sqrt(max(1, q.rg.work.count)))
	return draw < chance && e.coldSum(g.now-window)+work <= most*limit
}

func (g *Scheduler) submit(q *query, e *engine) bool {
	if !g.maySend(q) || !g.allowed(q, e) {
		return false
	}
	g.setTerms(q)
	q.rg.begun += g.lone(q) * q.rg.threads
	s := g.sent(q, e, g.needs(q), g.usual(q.rg))
	s.then = g.afterEnd
	g.act.Submit(q.id, e.id, q.deadline-g.now)
	return true
}

// setTerms: priority by the order of groups, the least once the target runtime has
// passed; all the memory there is where asking costs nothing, else by estimate.
func (g *Scheduler) setTerms(q *query) {
	if q.over {
		return
	}
	prio, grant := 1, 0
	switch {
	case g.now >= q.aim:
		prio = 0
	case !g.facts.yes("may.prioritise"):
	case q.rg == g.ranked[0]:
		prio = 3
	default:
		prio = 2
	}
	if heeded := g.facts.yes("may.grant"); heeded && g.facts.text["memory.short"] == "swap" {
		grant = int(g.facts.num("grant.most", 0) * g.facts.itemNum("kind.memory", 0))
	} else if heeded {
		grant = int(q.memory * grantOver)
	}
	if prio != q.priority || grant != q.grant {
		q.priority, q.grant = prio, grant
		g.act.Terms(q.id, prio, grant)
	}
}

// ---- what comes back

func (g *Scheduler) ended(s *submission, took time.Duration, over bool, work, memoryMB float64) {
	q := s.q
	if s.outcome != Cancelled && s.outcome != TimedOut && s.outcome != NeverSent {
		g.heard(s.e)
	}
	if s.outcome == Finished {
		s.e.doneAt[q.tables], s.e.doneLast, s.e.stood = g.now, g.now, 0
		q.rg.slots.add(took.Seconds()*q.rg.threads, 100)
		if work > 0 {
			if q.work > 0 {
				q.rg.off.add(work/q.work, 200)
			}
			q.work, q.told = work, true
			q.rg.work.add(work, 200)
			q.rg.need.add(memoryMB, 200)
		}
		if !s.stuck && (q.work > 0 || !g.facts.yes("answers.cost")) {
			g.learn(s, took.Seconds()/g.lone(q))
		}
	}
	if line := g.line(q); line != nil && s.outcome.mayLinger() {
		line.restUntil, line.restBy = g.now+g.facts.span("key.rest", 0), q
	}
	if over || s.outcome == Finished {
		q.rg.leaving.add(0, 100)
		g.finish(q)
	} else if !q.over {
		s.then(s)
	}
	g.settle(q)
}

// afterEnd is what an end other than an answer leads to.
func (g *Scheduler) afterEnd(s *submission) {
	q, e := s.q, s.e
	switch s.outcome {
	case Rejected:
		e.fullAt, e.restUntil = g.now, g.now+short(250*time.Millisecond, q.rg.timeout/6)
	case Unreachable:
		e.restUntil = g.now + time.Second
	case ConnectionReset:
		e.restUntil = g.now + 500*time.Millisecond
	}
	q.avoid = e
	switch { // a further submission only if the time left exceeds what it should take
	case q.out > 0:
	case g.left(q) <= g.expect(q) || !g.mayRepeat(q):
		g.giveUp(q)
	default:
		g.enqueue(q)
	}
}

// harmless: what was sent so far leaves room for a repeat somewhere, by rule 2.
func (g *Scheduler) harmless(q *query) bool {
	ran := q.mayHaveRun()
	return len(ran) == 0 || q.rg.effect == "read-only" ||
		q.rg.effect == "tokened" && g.now-ran[0].at < q.rg.window
}

// beginsBy: one may have waited for its connection past what it was decided on. What is tokened is repeated
// within the window only, from the first that may have run.
func (g *Scheduler) beginsBy(s *submission) time.Duration {
	ran, rg := s.q.mayHaveRun(), s.q.rg
	if s.q.over || s.e.state != EngineActive {
		return 0
	} else if rg.effect == "tokened" && ran[0] != s {
		return min(s.q.deadline, ran[0].at+rg.window)
	}
	return s.q.deadline
}

func (g *Scheduler) mayRepeat(q *query) bool {
	return len(q.subs) < int(g.facts.num("submissions.most", 1)) && g.harmless(q)
}

// giveUp answers at once: a deferral where trying again is harmless, else a kill.
func (g *Scheduler) giveUp(q *query) {
	if q.over || q.begun {
		return
	}
	if g.harmless(q) && (q.rg.effect != "tokened" || q.rg.scope == "all" || len(q.mayHaveRun()) == 0) {
		g.act.Defer(q.id, short(g.comeBack, q.rg.timeout/2))
	} else {
		g.act.Kill(q.id)
	}
	g.finish(q)
	g.settle(q)
}

func (g *Scheduler) abandoned(q *query) { // the client left before its time
	q.rg.leaving.add(1, 100)
	q.rg.patience.add((g.now - q.takenAt).Seconds(), 30)
	g.finish(q)
	g.settle(q)
}

// finish marks the end; work still out for it is called off where that helps.
func (g *Scheduler) finish(q *query) {
	if q.over {
		return
	}
	q.over = true
	for _, s := range q.subs {
		if !s.ended && g.facts.yes("may.cancel") {
			g.act.Cancel(q.id, s.try)
		}
	}
}

func (g *Scheduler) heard(e *engine) {
	if e.silent && g.now-e.heardAt > 4*time.Second {
		// it may be a new process that the list doesn't name yet, and is warmed up as one, at the cost of some room
		e.coldFrom, e.coldUntil = g.now, max(e.coldUntil, g.now+g.facts.span("cold.span", 0))
		g.act.Log("engine " + e.id + " heard again, taken as cold")
	}
	e.silent, e.heardAt = false, g.now
}

// unanswered: a look that came to nothing, by a crash, a cut link or a stall; the list tells late, if at all.
func (g *Scheduler) unanswered(e *engine) {
	e.report, e.restUntil = nil, max(e.restUntil, g.now+2*time.Second)
}

// reported: cold engines, nearly empty and looked at most while there are some, say nothing of
// how full the others are; with theirs in the mean all gateways took warm ones for half empty.
func (g *Scheduler) reported(e *engine, report map[string]float64) {
	if g.now < e.coldUntil {
		return
	}
	g.fillSeen.add(g.filled(e), 20)
	g.seenAt = g.now
	if held := report["held"]; held > 0 {
		g.allHeld.add(held, 60)
	}
}

// noted: progress far behind what a fresh submission would need is a bad plan, a slow or a crowded engine;
// all are met by moving the query, where that stops the work left behind.
func (g *Scheduler) noted(s *submission, sign NoteKind, x float64) {
	g.heard(s.e)
	s.notedAt = g.now
	if sign == WaitsForLoad {
		g.shut(s, g.facts.span("note.period", time.Second)*2)
	} else if sign == Progress && x > 0 {
		s.share, s.shareAt = x, g.now
		g.move(s, g.remains(s))
	}
}

// stands: no note tells why a submission is late. Others have come back from there since: it waits for
// a load. None has: the engine is past its memory, does next to nothing, and has idle cores to show,
// by which all would draw it before any other.
func (g *Scheduler) stands(s *submission) {
	if s.e.doneLast > s.at {
		s.e.locked(s.q.tables, g.now+2*time.Second)
		return
	}
	if e := s.e; g.now >= e.restUntil {
		e.slow += (10 - e.slow) * 0.3
		e.restUntil = g.now + short(2*time.Second, 2*s.q.rg.timeout)<<min(e.stood, 3)
		e.stood++
	}
	g.move(s, math.Inf(1))
}

func (g *Scheduler) shut(s *submission, span time.Duration) {
	s.stuck = true
	s.e.locked(s.q.tables, g.now+span)
	g.move(s, math.Inf(1))
}

// remains is the time it should still take, by its last note or what was expected.
func (g *Scheduler) remains(s *submission) float64 {
	if s.share <= 0 {
		return max(1, g.expect(s.q)-(g.now-s.at).Seconds())
	}
	return (s.shareAt-s.at).Seconds()/s.share - (g.now - s.at).Seconds()
}

// move calls a submission off for a fresh one, if what remains is long against that;
// one that can't be done in its client's time, for good: it holds what others could use.
func (g *Scheduler) move(s *submission, remains float64) {
	q, slow := s.q, !math.IsInf(remains, 1)
	fresh, far := g.expect(q), 3.0
	if q.work <= 0 {
		far = 6.0 // without an estimate a large query looks like a bad plan
	}
	if s.behind || q.over || q.rg.effect != "read-only" || !g.facts.yes("may.cancel") {
		return
	}
	// slow twice without an estimate: it is large, not its plan bad; and where all engines seen
	// are full it is slow everywhere: begun anew it would only lose what was done
	again := !slow || (q.work > 0 || !q.moved) && g.fillSeen.or(0) < 0.75
	again = again && g.left(q) > fresh && g.mayRepeat(q) && g.affords()
	if again && remains >= far*fresh {
		s.behind, q.moved = true, q.moved || slow
		g.act.Cancel(q.id, s.try)
	} else if slow && remains > 1.5*g.left(q) {
		g.giveUp(q)
	}
}

// ---- time

func (g *Scheduler) periodic() {
	g.act.Wake(tick, tickTag)
	// by value for the thread time a query was seen to take, which the bound rations
	slices.SortStableFunc(g.ranked, func(a, b *resourceGroup) int {
		x, y := a.value/a.slots.or(g.usual(a)), b.value/b.slots.or(g.usual(b))
		return cmp.Or(cmp.Compare(y, x), a.index-b.index)
	})
	g.stale = true // some are warm by now
	threads, memory, count, _ := g.sums()
	g.usualThreads.add(threads, 300)
	g.recent.add(threads, flowSpan.Seconds()/tick.Seconds())
	g.usualMemory.add(memory, 300)
	g.usualCount.add(count, 300)
	g.share = g.ownShare()
	if !g.looks && g.now-g.seenAt > reportKeeps {
		g.fillSeen.value *= 0.93 // who sends nothing is told nothing: full once would be full for good
	}
	for _, rg := range g.groups {
		rg.taken, rg.begun = rg.taken*0.995, rg.begun*(1-tick.Seconds()/flowSpan.Seconds())
	}
	g.workRate, g.looked = g.workRate*0.995, g.looked*(1-tick.Seconds()/flowSpan.Seconds())
	took, quota := 0.0, 0.0
	for _, t := range g.teams {
		t.took *= 1 - tick.Seconds()/flowSpan.Seconds()
		took, quota = took+g.rate(t.took), quota+t.quota
	}
	if quota > 0 && g.now > flowSpan {
		g.busy.add(took/quota, 600)
	}
	period := g.facts.span("note.period", 0)
	for _, e := range g.on() {
		e.slow += (1 - e.slow) * 0.01
		for _, s := range slices.Clone(e.out) {
			// the quickest thing out should have been heard of; covers machines gone, cut links and long stalls
			limit, mute := seconds(0.6+3*g.expect(s.q)), period*3/2+300*time.Millisecond
			if period > 0 && (mute < limit || !g.facts.yes("may.probe")) {
				limit = mute // a note is sure to come in this time, and no look can tell before
			}
			switch quiet := g.now - max(s.at, e.heardAt); {
			case e.silent:
				g.move(s, math.Inf(1))
			case period <= 0 && (g.now-s.at).Seconds() > 0.3+4*g.expect(s.q):
				g.stands(s)
			case period <= 0 && g.looks && !g.counts && (g.now-s.at).Seconds() > 0.3+g.expect(s.q):
				if !g.known(e) || e.reportAt < s.at {
					g.look(e)
				} else if e.report["cores"] < 0.5*g.fillSeen.value {
					g.stands(s)
				}
			case period > 0 && !s.stuck && g.now-max(s.at, s.notedAt) > mute:
				// others are answered and this isn't: it was lost, or what it reads hangs if none of that came back
				s.stuck = true
				e.slow += (10 - e.slow) * 0.1
				if e.doneAt[s.q.tables] <= s.at {
					g.shut(s, 10*time.Second)
				}
				g.move(s, math.Inf(1))
			case quiet > limit+500*time.Millisecond:
				e.silent, e.restUntil = true, g.now+2*time.Second
				g.act.Log("engine " + e.id + " silent, queries out: " + strconv.Itoa(len(e.out)))
			case quiet > limit:
				g.look(e) // a busy engine still answers this; only a stalled or lost one doesn't
			}
		}
	}
	if f := g.facts; f.text["list.how"] == "asked" && !g.subscribed &&
		g.now-g.askedAt > min(time.Second, f.span("list.ask-within", time.Second)/2) {
		g.askedAt = g.now
		g.act.Subscribe()
	}
}

func (g *Scheduler) look(e *engine) {
	if g.facts.yes("may.probe") && (!e.probing || g.now-e.probedAt > 300*time.Millisecond) {
		e.probing, e.probedAt, g.looked = true, g.now, g.looked+1
		g.act.Probe(e.id)
	}
}
