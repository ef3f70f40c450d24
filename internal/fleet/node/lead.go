package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// leading is what only counts while this controller leads.
type leading struct {
	leads  bool
	since  time.Duration // it leads
	steady bool          // it has applied all that was decided before it led
	peers  map[string]*peer
	names  []string // of peers, in order
	handle uint64
	asking []renewal // in the confirmation that is under way
	queue  []renewal // for the next
	tried  map[string]time.Duration
	waits  map[string][]string // by run: who is waited for
	lost   map[string]time.Duration
	found  map[string]time.Duration
	seenAt map[string]time.Duration // changes, since when this controller has known of them

	covers map[coverKey]*cover // what relays have told

	confirmed time.Duration // when a confirmation was last asked for
	stirred   bool          // something came that may move what is under way
	driven    time.Duration
	behind    bool // some follower may lack something
}

// peer is a controller as its last Renew told.
type peer struct {
	follower
	boot uint64
	// runs has the last Seq of each of its runs. What an earlier one said may come
	// late, even first; it is still true, and must not shut out the present one.
	runs  map[uint64]uint64
	asked time.Duration // when it asked for the last lease that it was given here or may still be; neverAsked: it wasn't
	r     *Renew
}

// renewal is a Renew or a relay's Gather that waits for a confirmation.
type renewal struct {
	name     string
	at       time.Duration
	r        *Renew
	gather   *Gather
	covers   *cover
	withheld map[string]string // by the gather's controllers: why they are given no lease
}

// led: who leads has changed.
func (c *Core) led(leader string) {
	if leader != "" || c.vote != nil {
		c.leader = leader
	}
	leads := leader == c.b.Self.Name
	if leads == c.leads {
		return
	}
	c.leading = leading{leads: leads, since: c.now, handle: c.handle, peers: map[string]*peer{}, tried: map[string]time.Duration{},
		waits: map[string][]string{}, lost: map[string]time.Duration{}, found: map[string]time.Duration{}, seenAt: map[string]time.Duration{},
		covers: map[coverKey]*cover{}}
	c.startRelay()
	c.say(true, "leads: %v", leads)
	c.renewAt, c.stirred, c.behind = c.now, true, true
	if leads { // what was decided before must be applied before anything is driven
		c.confirm()
	}
}

// confirm asks the other voters whether this controller still leads. A lease that is
// granted on it counts from before it was asked: whoever is elected later knows how
// long to wait for it.
func (c *Core) confirm() {
	c.handle++
	c.asking, c.queue = c.queue, nil
	for _, q := range c.asking { // it may be given one that knows only what is decided by now
		if q.covers != nil {
			q.covers.asked = q.at
		} else {
			c.peers[q.name].asked = q.at
		}
	}
	c.leading.confirmed = c.now
	c.agreed(c.vote.Step(c.now, consensus.Event{Kind: consensus.Confirm, Handle: c.handle}))
}

// renewed: a controller asks for a lease and tells of itself.
func (c *Core) renewed(from, disk string, r *Renew) {
	answer := func(g *Grant) {
		g.Seq, g.Sent, g.Boot = r.Seq, r.Sent, r.Boot
		c.send(from, r.Member.Peer, &Message{Grant: g})
	}
	if c.relays() {
		c.gatherFrom(from, disk, r)
		return
	}
	if !c.leads {
		answer(&Grant{Leader: c.otherLeader()})
		return
	}
	if p := c.peers[from]; p != nil && r.Seq <= p.runs[r.Boot] && c.identity(from, disk) == "" {
		return // late, or doubled
	}
	why, known := c.admit(from, disk, r, toldOnce)
	if why != "" {
		answer(&Grant{Why: why})
		return
	}
	p := c.peers[from]
	p.told(r, c.now, c.every())
	c.behind = c.behind || p.next <= c.state.Index
	if !known {
		answer(&Grant{Leader: c.b.Self.Name})
		return
	}
	c.enqueue(renewal{name: from, at: c.now, r: r})
}

// otherLeader is who leads in place of this controller, "": that isn't known, as where it
// led itself until a moment ago.
func (c *Core) otherLeader() string {
	if c.leader == c.b.Self.Name {
		return ""
	}
	return c.leader
}

// enqueue has a renewal confirmed with the next ones. Of a relay's gathers the last one
// stands for those before it.
func (c *Core) enqueue(next renewal) {
	if next.covers != nil {
		c.queue = slices.DeleteFunc(c.queue, func(q renewal) bool { return q.covers == next.covers })
	}
	c.queue = append(c.queue, next)
}

// peerOf is what is known of a controller, made where there is nothing yet.
func (c *Core) peerOf(name string) *peer {
	p := c.peers[name]
	if p == nil {
		p = &peer{runs: map[uint64]uint64{}, asked: neverAsked}
		c.peers[name] = p
		c.names = append(c.names, name)
		slices.Sort(c.names)
	}
	return p
}

// together is how long renewals gather for one confirmation: a thousand controllers
// would otherwise have the voters confirm a thousand times a second.
func (c *Core) together() time.Duration { return min(5*time.Millisecond, c.every()/10) }

// differs: a Renew tells something else than the one before.
func (r *Renew) differs(o *Renew) bool {
	return r.Version != o.Version || r.Closed != o.Closed || (r.Outside == 0) != (o.Outside == 0) || len(r.Ready) != len(o.Ready) ||
		!slices.Equal(r.Sites, o.Sites) || !maps.Equal(r.Ready, o.Ready) || !slices.Equal(r.Unreached, o.Unreached) || !maps.Equal(r.Wiped, o.Wiped)
}

// grant has what waits for a lease confirmed, when it is time.
func (c *Core) grant() {
	if c.leads {
		c.expireCovers()
	}
	if c.leads && len(c.queue) > 0 && len(c.asking) == 0 && c.now >= c.leading.confirmed+c.together() {
		c.confirm()
	}
}

func (c *Core) confirmed(handle, index uint64) {
	if handle != c.handle || !c.leads {
		return
	}
	c.steady = c.steady || c.state.Index >= index
	asked := c.asking
	c.asking = nil
	for _, q := range asked {
		if q.gather != nil {
			c.grantGather(q, index)
			continue
		}
		p := c.peers[q.name]
		if m := c.state.Members[q.name]; m == nil || m.Forgotten || p.boot != q.r.Boot {
			continue
		}
		c.send(q.name, q.r.Member.Peer, &Message{Grant: &Grant{Seq: q.r.Seq, Sent: q.r.Sent, Boot: q.r.Boot, Given: true, Index: index,
			Leader: c.b.Self.Name, Waits: c.few()}})
	}
	if !c.steady {
		c.confirm()
	}
}

func (c *Core) denied(handle uint64) {
	if handle != c.handle {
		return
	}
	c.asking = nil
	if c.leads && !c.steady {
		c.once("confirm", c.confirm)
	}
}

// longer is a span by the slowest clock that is allowed for.
func (c *Core) longer(span time.Duration) time.Duration {
	if span == fleet.Forever {
		return span
	}
	return time.Duration(float64(span) * (1 + 2*c.b.Drift))
}

// few are those who are waited for, some of each run.
func (c *Core) few() map[string][]string {
	if len(c.waits) == 0 {
		return nil
	}
	m := map[string][]string{}
	for id, l := range c.waits {
		if len(m) < 32 {
			m[id] = l[:min(len(l), 16)]
		}
	}
	return m
}

// mayHold: a controller may hold a lease of this length by what is known here. Leases
// that an earlier leader gave are over once their length has passed since this one leads.
func (c *Core) mayHold(name string, lease time.Duration) bool {
	m := c.state.Members[name]
	switch {
	case m != nil && m.Forgotten:
		return c.forgottenMayHold(name, lease)
	case lease == fleet.Forever:
		return m != nil
	}
	ends := c.since + c.longer(lease)
	if p := c.peers[name]; p != nil && p.asked >= 0 {
		ends = max(ends, p.asked+c.longer(lease))
	}
	if at := c.coveredAt(name); at >= 0 {
		ends = max(ends, at+c.longer(lease))
	}
	return c.now < ends
}

// bound is the lease by which bound teams and kept results are served.
func (c *Core) bound() time.Duration { return min(c.b.Lease, c.b.LeaseBound) }

// missing are controllers that may serve and of which something isn't known yet. A
// control process decides nothing by a policy, whatever lease it holds.
func (c *Core) missing(lease time.Duration, done func(*Renew) bool) (l []string) {
	for _, name := range c.awaited() {
		if c.state.Members[name].Control || !c.mayHold(name, lease) {
			continue
		}
		if p := c.peers[name]; p == nil || p.r == nil || !done(p.r) {
			l = append(l, name)
		}
	}
	return l
}

// busy: something is under way that time alone may move.
func (c *Core) busy() bool {
	return !c.steady || len(c.waits) > 0 || len(c.queue) > 0 || c.state.Under() != nil || len(c.watched()) > 0 || len(c.state.Emergencies) > 0
}

// once keeps what is proposed again and again a little apart: it may be under way.
func (c *Core) once(what string, do func()) {
	if at, had := c.tried[what]; !had || c.now-at >= 2*c.b.Election {
		c.tried[what] = c.now
		do()
	}
}

func (c *Core) propose(e *fleet.Entry) {
	if e == nil || !c.leads {
		return
	}
	c.agreed(c.vote.Step(c.now, consensus.Event{Kind: consensus.Propose, Data: statemachine.Encode(e)}))
}

// drive moves on what is under way, while this controller leads.
func (c *Core) drive() {
	if !c.leads || c.vote == nil {
		return
	}
	if !c.steady && len(c.asking) == 0 {
		c.once("confirm", c.confirm)
	}
	if !c.steady || c.bad != nil || !c.stirred && c.now < c.driven+c.b.Heartbeat/2 {
		return
	}
	c.stirred, c.driven = false, c.now
	clear(c.waits)
	c.driveChange()
	for _, id := range sorted(c.state.Purges) {
		c.drivePurge(c.state.Purges[id])
	}
	for _, w := range c.watched() {
		c.watch(w)
	}
	c.outlived()
	c.finish()
	if c.state.Under() == nil && len(c.state.Voters) > 0 {
		c.reelect()
	}
}

func (c *Core) driveChange() {
	u := c.state.Under()
	if u == nil {
		return
	}
	if _, had := c.seenAt[u.ID]; !had {
		c.seenAt[u.ID] = c.now
	}
	withdraw := func(why string) {
		c.once("withdraw "+u.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Withdraw, ID: u.ID, Why: why}) })
	}
	most := time.Duration(u.AtMost) * time.Millisecond
	late := u.AtMost > 0 && c.now-c.seenAt[u.ID] >= most
	switch u.Phase {
	case statemachine.Proposed:
		for _, name := range c.members() {
			if p := c.peers[name]; p != nil && p.r != nil && p.r.Ready[u.ID] != "" {
				withdraw(name + " can't take it: " + p.r.Ready[u.ID])
				return
			}
		}
		wait := c.missing(c.b.Lease, func(r *Renew) bool { _, ok := r.Ready[u.ID]; return ok })
		if late && len(wait) > 0 {
			withdraw(fmt.Sprintf("not checked by %s within %v", list(wait), most))
			return
		}
		k := c.checks[u.ID]
		if k != nil && k.done && k.why != "" { // a control process, which isn't waited for
			withdraw(c.b.Self.Name + " can't take it: " + k.why)
			return
		}
		if len(wait) == 0 && k != nil && k.done {
			c.once("close "+u.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Close, ID: u.ID, Scopes: k.scopes, Voters: k.voters}) })
		}
		c.wait(u.ID, wait)
	case statemachine.Closing:
		wait := c.missing(c.b.Lease, func(r *Renew) bool { return r.Closed == u.ID })
		if late && len(wait) > 0 {
			withdraw(fmt.Sprintf("not stopped by %s within %v", list(wait), most))
			return
		}
		if barrierPassed(wait) {
			c.once("force "+u.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Force, ID: u.ID}) })
		}
		c.wait(u.ID, wait)
	case statemachine.Decided:
		// one that was down while it was checked and can't take it serves nothing by it
		wait := c.missing(c.b.Lease, func(r *Renew) bool { return r.Version >= u.Version || r.Ready[u.ID] != "" })
		if barrierPassed(wait) {
			c.once("settle "+u.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Settle, ID: u.ID}) })
		}
		c.wait(u.ID, wait)
	}
}

func (c *Core) wait(id string, l []string) {
	if len(l) > 0 {
		c.waits[id] = l
	}
}

// drivePurge moves a purge on: first nobody who may serve has it any more, then no disk.
func (c *Core) drivePurge(run *statemachine.Run) {
	switch run.Stage {
	case "":
		wait := c.missing(c.bound(), func(r *Renew) bool { return slices.Contains(r.Unreached, run.ID) })
		if len(wait) == 0 {
			c.once("unreachable "+run.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Unreachable, ID: run.ID}) })
		}
		c.wait(run.ID, wait)
	case fleet.Unreachable:
		sum, wait := c.erasure(run.ID)
		if len(wait) == 0 {
			c.once("erased "+run.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Erased, ID: run.ID, Counts: &sum}) })
		}
		c.wait(run.ID, wait)
	}
}

// watch sees whether a rule's sites have engines at all, by what all controllers see.
func (c *Core) watch(w fleet.Watched) {
	heard, inside := 0, false
	for _, name := range c.names {
		p := c.peers[name]
		if p.r == nil || c.now-c.heardOf(name) > max(2*time.Second, 4*c.every()) || p.r.Sites == nil {
			continue
		}
		heard++
		for _, s := range p.r.Sites {
			inside = inside || slices.Contains(w.Inside, s)
		}
	}
	if heard == 0 {
		delete(c.lost, w.Rule)
		delete(c.found, w.Rule)
		return
	}
	_, on := c.state.Emergencies[w.Rule]
	since, other := c.lost, c.found
	if inside {
		since, other = c.found, c.lost
	}
	delete(other, w.Rule)
	if _, had := since[w.Rule]; !had {
		since[w.Rule] = c.now
	}
	if on != inside || c.now-since[w.Rule] < w.After {
		return
	}
	if inside {
		scope := &fleet.Scope{Team: w.Team, Outside: w.Inside}
		c.once("calm "+w.Rule, func() { c.propose(&fleet.Entry{Kind: fleet.Calm, Name: w.Rule, Scope: scope}) })
	} else {
		c.once("emergency "+w.Rule, func() { c.propose(&fleet.Entry{Kind: fleet.Emergency, Name: w.Rule}) })
	}
}

// outlived ends emergencies whose rule is in force no more: nobody watches for their end,
// and a rule of that name to come would begin with its boundary open. A control process
// that doesn't know the controllers' own rules can't tell, and leaves that to a leader
// that does.
func (c *Core) outlived() {
	if c.open != c.state.Version || c.rulesUnknown() {
		return
	}
	watched := c.watched()
	for _, name := range sorted(c.state.Emergencies) {
		if !slices.ContainsFunc(watched, func(w fleet.Watched) bool { return w.Rule == name }) {
			c.once("calm "+name, func() { c.propose(&fleet.Entry{Kind: fleet.Calm, Name: name}) })
		}
	}
}

// finish tells when what a tighter policy left outside is over.
func (c *Core) finish() {
	for _, id := range sorted(c.state.Changes) {
		ch := c.state.Changes[id]
		if ch.Phase != statemachine.InForce || ch.Settled {
			continue
		}
		done := true
		for _, r := range c.state.Purges {
			done = done && (r.Settles != id || r.Stage == fleet.Erased)
		}
		wait := c.missing(c.b.Lease, func(r *Renew) bool { return r.Version >= ch.Version && r.Outside == 0 })
		c.wait(id, wait)
		if done && len(wait) == 0 {
			c.once("finish "+id, func() { c.propose(&fleet.Entry{Kind: fleet.Finish, ID: id}) })
		}
	}
}

// reelect brings those who vote in line with the record.
func (c *Core) reelect() {
	var want []consensus.Voter
	for _, v := range c.state.Voters {
		name, address := statemachine.VoterOf(v)
		want = append(want, consensus.Voter{Name: name, Address: address})
	}
	same := len(want) == len(c.voters)
	for _, v := range want {
		same = same && slices.Contains(c.voters, v)
	}
	if !same {
		c.once("voters", func() { c.agreed(c.vote.Step(c.now, consensus.Event{Kind: consensus.Voters, Voters: want})) })
	}
}

func list(l []string) string {
	text := ""
	for i, name := range l[:min(len(l), 5)] {
		if i > 0 {
			text += ", "
		}
		text += name
	}
	if len(l) > 5 {
		text += fmt.Sprintf(" and %d more", len(l)-5)
	}
	return text
}
