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
	isLeader      bool
	leaderSince   time.Duration // it leads
	ready         bool          // it has applied all that was decided before it led
	peers         map[string]*peer
	peerNames     []string // of peers, in order
	confirmHandle uint64
	confirming    []unconfirmedRenewal // in the confirmation that is under way
	toConfirm     []unconfirmedRenewal // for the next
	lastTried     map[string]time.Duration
	waitingFor    map[string][]string // by run: who is waited for
	lostSince     map[string]time.Duration
	foundSince    map[string]time.Duration
	changeSeenAt  map[string]time.Duration // changes, since when this controller has known of them

	coverage map[relayIncarnation]*relayCoverage // what relays have told

	confirmAskedAt  time.Duration // when a confirmation was last asked for
	reevaluate      bool          // something came that may move what is under way
	evaluatedAt     time.Duration
	followersBehind bool // some follower may lack something
}

// peer is a controller as its last Renew told.
type peer struct {
	follower
	incarnation uint64
	// runs has the last Seq of each of its runs. What an earlier one said may come
	// late, even first; it is still true, and must not shut out the present one.
	lastSeq      map[uint64]uint64
	leaseAskedAt time.Duration // when it asked for the last lease that it was given here or may still be; neverAsked: it wasn't
	renewal      *LeaseRenewal
}

// renewal is a Renew or a relay's Gather that waits for a confirmation.
type unconfirmedRenewal struct {
	name       string
	receivedAt time.Duration
	renewal    *LeaseRenewal
	relayed    *RelayedRenewals
	coverage   *relayCoverage
	withheld   map[string]string // by the gather's controllers: why they are given no lease
}

// led: who leads has changed.
func (c *Core) leaderChanged(leader string) {
	if leader != "" || c.consensus != nil {
		c.leader = leader
	}
	leads := leader == c.config.Self.Name
	if leads == c.isLeader {
		return
	}
	c.leading = leading{isLeader: leads, leaderSince: c.now, confirmHandle: c.confirmHandle, peers: map[string]*peer{}, lastTried: map[string]time.Duration{},
		waitingFor: map[string][]string{}, lostSince: map[string]time.Duration{}, foundSince: map[string]time.Duration{}, changeSeenAt: map[string]time.Duration{},
		coverage: map[relayIncarnation]*relayCoverage{}}
	c.resetAggregator()
	c.logf(true, "leads: %v", leads)
	c.renewAt, c.reevaluate, c.followersBehind = c.now, true, true
	if leads { // what was decided before must be applied before anything is driven
		c.confirmLeadership()
	}
}

// confirm asks the other voters whether this controller still leads. A lease that is
// granted on it counts from before it was asked: whoever is elected later knows how
// long to wait for it.
func (c *Core) confirmLeadership() {
	c.confirmHandle++
	c.confirming, c.toConfirm = c.toConfirm, nil
	for _, q := range c.confirming { // it may be given one that knows only what is decided by now
		if q.coverage != nil {
			q.coverage.leaseAskedAt = q.receivedAt
		} else {
			c.peers[q.name].leaseAskedAt = q.receivedAt
		}
	}
	c.leading.confirmAskedAt = c.now
	c.performConsensus(c.consensus.Step(c.now, consensus.Event{Kind: consensus.ConfirmLeadership, Handle: c.confirmHandle}))
}

// renewed: a controller asks for a lease and tells of itself.
func (c *Core) receiveRenewal(from, disk string, r *LeaseRenewal) {
	answer := func(g *LeaseGrant) {
		g.Seq, g.SentAt, g.Incarnation = r.Seq, r.SentAt, r.Incarnation
		c.send(from, r.Member.Peer, &Message{Grant: g})
	}
	if c.aggregates() {
		c.aggregateRenewal(from, disk, r)
		return
	}
	if !c.isLeader {
		answer(&LeaseGrant{Leader: c.otherLeader()})
		return
	}
	if p := c.peers[from]; p != nil && r.Seq <= p.lastSeq[r.Incarnation] && c.refusalReason(from, disk) == "" {
		return // late, or doubled
	}
	why, known := c.admitRenewal(from, disk, r, ignoreRepeats)
	if why != "" {
		answer(&LeaseGrant{RefusedReason: why})
		return
	}
	p := c.peers[from]
	p.updateFrom(r, c.now, c.renewalInterval())
	c.followersBehind = c.followersBehind || p.nextIndex <= c.state.Index
	if !known {
		answer(&LeaseGrant{Leader: c.config.Self.Name})
		return
	}
	c.awaitConfirmation(unconfirmedRenewal{name: from, receivedAt: c.now, renewal: r})
}

// otherLeader is who leads in place of this controller, "": that isn't known, as where it
// led itself until a moment ago.
func (c *Core) otherLeader() string {
	if c.leader == c.config.Self.Name {
		return ""
	}
	return c.leader
}

// enqueue has a renewal confirmed with the next ones. Of a relay's gathers the last one
// stands for those before it.
func (c *Core) awaitConfirmation(next unconfirmedRenewal) {
	if next.coverage != nil {
		c.toConfirm = slices.DeleteFunc(c.toConfirm, func(q unconfirmedRenewal) bool { return q.coverage == next.coverage })
	}
	c.toConfirm = append(c.toConfirm, next)
}

// peerOf is what is known of a controller, made where there is nothing yet.
func (c *Core) ensurePeer(name string) *peer {
	p := c.peers[name]
	if p == nil {
		p = &peer{lastSeq: map[uint64]uint64{}, leaseAskedAt: neverAsked}
		c.peers[name] = p
		c.peerNames = append(c.peerNames, name)
		slices.Sort(c.peerNames)
	}
	return p
}

// together is how long renewals gather for one confirmation: a thousand controllers
// would otherwise have the voters confirm a thousand times a second.
func (c *Core) batchingDelay() time.Duration { return min(5*time.Millisecond, c.renewalInterval()/10) }

// differs: a Renew tells something else than the one before.
func (r *LeaseRenewal) differs(o *LeaseRenewal) bool {
	return r.PolicyVersion != o.PolicyVersion || r.FencedFor != o.FencedFor || (r.AttemptsOutside == 0) != (o.AttemptsOutside == 0) || len(r.ValidationResults) != len(o.ValidationResults) ||
		!slices.Equal(r.ServingSites, o.ServingSites) || !maps.Equal(r.ValidationResults, o.ValidationResults) || !slices.Equal(r.Tombstoned, o.Tombstoned) || !maps.Equal(r.Erased, o.Erased)
}

// grant has what waits for a lease confirmed, when it is time.
func (c *Core) confirmWaitingRenewals() {
	if c.isLeader {
		c.expireCoverage()
	}
	if c.isLeader && len(c.toConfirm) > 0 && len(c.confirming) == 0 && c.now >= c.leading.confirmAskedAt+c.batchingDelay() {
		c.confirmLeadership()
	}
}

func (c *Core) leadershipConfirmed(handle, index uint64) {
	if handle != c.confirmHandle || !c.isLeader {
		return
	}
	c.ready = c.ready || c.state.Index >= index
	asked := c.confirming
	c.confirming = nil
	for _, q := range asked {
		if q.relayed != nil {
			c.grantRelayed(q, index)
			continue
		}
		p := c.peers[q.name]
		if m := c.state.Members[q.name]; m == nil || m.Forgotten || p.incarnation != q.renewal.Incarnation {
			continue
		}
		c.send(q.name, q.renewal.Member.Peer, &Message{Grant: &LeaseGrant{Seq: q.renewal.Seq, SentAt: q.renewal.SentAt, Incarnation: q.renewal.Incarnation, Granted: true, RequiredIndex: index,
			Leader: c.config.Self.Name, WaitingFor: c.waitingForExcerpt()}})
	}
	if !c.ready {
		c.confirmLeadership()
	}
}

func (c *Core) leadershipDenied(handle uint64) {
	if handle != c.confirmHandle {
		return
	}
	c.confirming = nil
	if c.isLeader && !c.ready {
		c.throttle("confirm", c.confirmLeadership)
	}
}

// longer is a span by the slowest clock that is allowed for.
func (c *Core) bySlowestClock(span time.Duration) time.Duration {
	if span == fleet.Forever {
		return span
	}
	return time.Duration(float64(span) * (1 + 2*c.config.ClockDrift))
}

// few are those who are waited for, some of each run.
func (c *Core) waitingForExcerpt() map[string][]string {
	if len(c.waitingFor) == 0 {
		return nil
	}
	m := map[string][]string{}
	for id, l := range c.waitingFor {
		if len(m) < 32 {
			m[id] = l[:min(len(l), 16)]
		}
	}
	return m
}

// mayHold: a controller may hold a lease of this length by what is known here. Leases
// that an earlier leader gave are over once their length has passed since this one leads.
func (c *Core) mayHoldLease(name string, lease time.Duration) bool {
	m := c.state.Members[name]
	switch {
	case m != nil && m.Forgotten:
		return c.forgottenMayHoldLease(name, lease)
	case lease == fleet.Forever:
		return m != nil
	}
	ends := c.leaderSince + c.bySlowestClock(lease)
	if p := c.peers[name]; p != nil && p.leaseAskedAt >= 0 {
		ends = max(ends, p.leaseAskedAt+c.bySlowestClock(lease))
	}
	if at := c.coveredLeaseAskedAt(name); at >= 0 {
		ends = max(ends, at+c.bySlowestClock(lease))
	}
	return c.now < ends
}

// bound is the lease by which bound teams and kept results are served.
func (c *Core) shorterLease() time.Duration { return min(c.config.Lease, c.config.ConfinedLease) }

// missing are controllers that may serve and of which something isn't known yet. A
// control process decides nothing by a policy, whatever lease it holds.
func (c *Core) unconfirmedHolders(lease time.Duration, done func(*LeaseRenewal) bool) (l []string) {
	for _, name := range c.possibleHolders() {
		if c.state.Members[name].Control || !c.mayHoldLease(name, lease) {
			continue
		}
		if p := c.peers[name]; p == nil || p.renewal == nil || !done(p.renewal) {
			l = append(l, name)
		}
	}
	return l
}

// busy: something is under way that time alone may move.
func (c *Core) hasWork() bool {
	return !c.ready || len(c.waitingFor) > 0 || len(c.toConfirm) > 0 || c.state.ChangeUnderWay() != nil || len(c.watchedRules()) > 0 || len(c.state.Emergencies) > 0
}

// once keeps what is proposed again and again a little apart: it may be under way.
func (c *Core) throttle(what string, do func()) {
	if at, had := c.lastTried[what]; !had || c.now-at >= 2*c.config.ElectionTimeout {
		c.lastTried[what] = c.now
		do()
	}
}

func (c *Core) propose(e *fleet.Entry) {
	if e == nil || !c.isLeader {
		return
	}
	c.performConsensus(c.consensus.Step(c.now, consensus.Event{Kind: consensus.Propose, Data: statemachine.EncodeEntry(e)}))
}

// drive moves on what is under way, while this controller leads.
func (c *Core) driveWork() {
	if !c.isLeader || c.consensus == nil {
		return
	}
	if !c.ready && len(c.confirming) == 0 {
		c.throttle("confirm", c.confirmLeadership)
	}
	if !c.ready || c.stateError != nil || !c.reevaluate && c.now < c.evaluatedAt+c.config.HeartbeatInterval/2 {
		return
	}
	c.reevaluate, c.evaluatedAt = false, c.now
	clear(c.waitingFor)
	c.driveChange()
	for _, id := range sorted(c.state.Purges) {
		c.driveInvalidation(c.state.Purges[id])
	}
	for _, w := range c.watchedRules() {
		c.watchRule(w)
	}
	c.endObsoleteEmergencies()
	c.finishChanges()
	if c.state.ChangeUnderWay() == nil && len(c.state.Voters) > 0 {
		c.alignVoters()
	}
}

func (c *Core) driveChange() {
	u := c.state.ChangeUnderWay()
	if u == nil {
		return
	}
	if _, had := c.changeSeenAt[u.ID]; !had {
		c.changeSeenAt[u.ID] = c.now
	}
	withdraw := func(why string) {
		c.throttle("withdraw "+u.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Withdraw, ID: u.ID, Why: why}) })
	}
	most := time.Duration(u.TimeoutMillis) * time.Millisecond
	late := u.TimeoutMillis > 0 && c.now-c.changeSeenAt[u.ID] >= most
	switch u.Phase {
	case statemachine.Proposed:
		for _, name := range c.memberNames() {
			if p := c.peers[name]; p != nil && p.renewal != nil && p.renewal.ValidationResults[u.ID] != "" {
				withdraw(name + " can't take it: " + p.renewal.ValidationResults[u.ID])
				return
			}
		}
		wait := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool { _, ok := r.ValidationResults[u.ID]; return ok })
		if late && len(wait) > 0 {
			withdraw(fmt.Sprintf("not checked by %s within %v", nameList(wait), most))
			return
		}
		k := c.validations[u.ID]
		if k != nil && k.done && k.reason != "" { // a control process, which isn't waited for
			withdraw(c.config.Self.Name + " can't take it: " + k.reason)
			return
		}
		if len(wait) == 0 && k != nil && k.done {
			c.throttle("close "+u.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Close, ID: u.ID, Scopes: k.purgeScopes, Voters: k.voters}) })
		}
		c.setWaitingFor(u.ID, wait)
	case statemachine.Closing:
		wait := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool { return r.FencedFor == u.ID })
		if late && len(wait) > 0 {
			withdraw(fmt.Sprintf("not stopped by %s within %v", nameList(wait), most))
			return
		}
		if barrierPassed(wait) {
			c.throttle("force "+u.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Force, ID: u.ID}) })
		}
		c.setWaitingFor(u.ID, wait)
	case statemachine.Decided:
		// one that was down while it was checked and can't take it serves nothing by it
		wait := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool { return r.PolicyVersion >= u.Version || r.ValidationResults[u.ID] != "" })
		if barrierPassed(wait) {
			c.throttle("settle "+u.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Settle, ID: u.ID}) })
		}
		c.setWaitingFor(u.ID, wait)
	}
}

func (c *Core) setWaitingFor(id string, l []string) {
	if len(l) > 0 {
		c.waitingFor[id] = l
	}
}

// drivePurge moves a purge on: first nobody who may serve has it any more, then no disk.
func (c *Core) driveInvalidation(run *statemachine.PurgeRun) {
	switch run.Stage {
	case "":
		wait := c.unconfirmedHolders(c.shorterLease(), func(r *LeaseRenewal) bool { return slices.Contains(r.Tombstoned, run.ID) })
		if len(wait) == 0 {
			c.throttle("unreachable "+run.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Unreachable, ID: run.ID}) })
		}
		c.setWaitingFor(run.ID, wait)
	case fleet.Unreachable:
		sum, wait := c.erasureOutstanding(run.ID)
		if len(wait) == 0 {
			c.throttle("erased "+run.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Erased, ID: run.ID, Counts: &sum}) })
		}
		c.setWaitingFor(run.ID, wait)
	}
}

// watch sees whether a rule's sites have engines at all, by what all controllers see.
func (c *Core) watchRule(w fleet.Watched) {
	heard, inside := 0, false
	for _, name := range c.peerNames {
		p := c.peers[name]
		if p.renewal == nil || c.now-c.lastHeardOf(name) > max(2*time.Second, 4*c.renewalInterval()) || p.renewal.ServingSites == nil {
			continue
		}
		heard++
		for _, s := range p.renewal.ServingSites {
			inside = inside || slices.Contains(w.Inside, s)
		}
	}
	if heard == 0 {
		delete(c.lostSince, w.Rule)
		delete(c.foundSince, w.Rule)
		return
	}
	_, on := c.state.Emergencies[w.Rule]
	since, other := c.lostSince, c.foundSince
	if inside {
		since, other = c.foundSince, c.lostSince
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
		c.throttle("calm "+w.Rule, func() { c.propose(&fleet.Entry{Kind: fleet.Calm, Name: w.Rule, Scope: scope}) })
	} else {
		c.throttle("emergency "+w.Rule, func() { c.propose(&fleet.Entry{Kind: fleet.Emergency, Name: w.Rule}) })
	}
}

// outlived ends emergencies whose rule is in force no more: nobody watches for their end,
// and a rule of that name to come would begin with its boundary open. A control process
// that doesn't know the controllers' own rules can't tell, and leaves that to a leader
// that does.
func (c *Core) endObsoleteEmergencies() {
	if c.orderedVersion != c.state.Version || c.residencyRulesUnknown() {
		return
	}
	watched := c.watchedRules()
	for _, name := range sorted(c.state.Emergencies) {
		if !slices.ContainsFunc(watched, func(w fleet.Watched) bool { return w.Rule == name }) {
			c.throttle("calm "+name, func() { c.propose(&fleet.Entry{Kind: fleet.Calm, Name: name}) })
		}
	}
}

// finish tells when what a tighter policy left outside is over.
func (c *Core) finishChanges() {
	for _, id := range sorted(c.state.Changes) {
		ch := c.state.Changes[id]
		if ch.Phase != statemachine.InForce || ch.Settled {
			continue
		}
		done := true
		for _, r := range c.state.Purges {
			done = done && (r.PartOf != id || r.Stage == fleet.Erased)
		}
		wait := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool { return r.PolicyVersion >= ch.Version && r.AttemptsOutside == 0 })
		c.setWaitingFor(id, wait)
		if done && len(wait) == 0 {
			c.throttle("finish "+id, func() { c.propose(&fleet.Entry{Kind: fleet.Finish, ID: id}) })
		}
	}
}

// reelect brings those who vote in line with the record.
func (c *Core) alignVoters() {
	var want []consensus.Voter
	for _, v := range c.state.Voters {
		name, address := statemachine.SplitVoter(v)
		want = append(want, consensus.Voter{Name: name, Address: address})
	}
	same := len(want) == len(c.voters)
	for _, v := range want {
		same = same && slices.Contains(c.voters, v)
	}
	if !same {
		c.throttle("voters", func() {
			c.performConsensus(c.consensus.Step(c.now, consensus.Event{Kind: consensus.ChangeVoters, Voters: want}))
		})
	}
}

func nameList(l []string) string {
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
