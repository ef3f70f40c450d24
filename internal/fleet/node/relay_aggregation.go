package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// gatherer is a relay's memory of the controllers that ask through it. It grants
// nothing: a lease is passed on only where the leader's answer is to a gather that was
// sent after the controller had asked.
type renewalAggregator struct {
	incarnation      uint64
	lastSeq          uint64 // of the last gather that was sent
	leaderHasUpTo    uint64 // the leader is taken to have all up to this gather; 0: nothing
	lastFullSeq      uint64 // the last gather that told everything
	leader           string // whom that was told
	controllers      map[string]*relayedController
	silentSince      map[string]time.Duration // who fell silent since the last gather, and when it had asked last
	sentAt           time.Duration
	awaitingAnswer   bool // no gather since the one at unansweredAt was answered
	unansweredSince  time.Duration
	urgent           bool // something was told that the leader should know soon
	renewalsWaiting  bool // some controller has asked since the last gather
	unansweredLogged bool // it was said that the leader doesn't answer
}

func newRenewalAggregator(boot uint64) *renewalAggregator {
	return &renewalAggregator{incarnation: boot, controllers: map[string]*relayedController{}, silentSince: map[string]time.Duration{}}
}

// gathered is one controller that asks through a relay.
type relayedController struct {
	follower
	disk         string
	renewal      *LeaseRenewal
	changedInSeq uint64 // the first gather that tells its present state
	// unanswered are its asks that no lease was passed on for, oldest first.
	pendingRequests []pendingRequest
}

// ask remembers an ask for a lease: the newest one for each gather.
func (f *relayedController) addRequest(u pendingRequest) {
	last := len(f.pendingRequests) - 1
	if last >= 0 && f.pendingRequests[last].firstSeq == u.firstSeq {
		f.pendingRequests[last] = u
		return
	}
	if len(f.pendingRequests) == maxPendingRequests {
		f.pendingRequests = slices.Delete(f.pendingRequests, 0, 1)
	}
	f.pendingRequests = append(f.pendingRequests, u)
}

// granted takes the newest ask that a gather covered, and forgets those before it.
func (f *relayedController) takeGranted(gather uint64) (ask pendingRequest, asked bool) {
	n := 0
	for n < len(f.pendingRequests) && f.pendingRequests[n].firstSeq <= gather {
		n++
	}
	if n == 0 {
		return pendingRequest{}, false
	}
	ask = f.pendingRequests[n-1]
	f.pendingRequests = slices.Delete(f.pendingRequests, 0, n)
	return ask, true
}

// unanswered is an ask for a lease, with the first gather that it is part of.
type pendingRequest struct {
	firstSeq   uint64
	renewalSeq uint64
	sent       int64
}

// unansweredMost bounds the asks that are remembered of a controller.
const maxPendingRequests = 16

// renewed takes a controller's renewal. It returns nil where that is late or doubled.
func (g *renewalAggregator) addRenewal(now time.Duration, name, disk string, r *LeaseRenewal) *relayedController {
	from := g.controllers[name]
	next := g.lastSeq + 1
	switch {
	case from == nil:
		from = &relayedController{}
		g.controllers[name] = from
		delete(g.silentSince, name)
		from.changedInSeq = next
	case from.renewal.Incarnation == r.Incarnation && r.Seq <= from.renewal.Seq:
		return nil
	case from.renewal.Incarnation != r.Incarnation:
		from.pendingRequests, from.nextIndex, from.changedInSeq = nil, 0, next
	case from.disk != disk || from.renewal.Member != r.Member || from.renewal.differs(r):
		from.changedInSeq = next
	}
	g.urgent = g.urgent || from.changedInSeq == next
	g.renewalsWaiting = true
	from.disk, from.renewal, from.heardAt = disk, r, now
	from.addRequest(pendingRequest{firstSeq: next, renewalSeq: r.Seq, sent: r.SentAt})
	return from
}

// expire covers those no more that haven't asked for longer than a span. Their asks are
// forgotten: no gather after this one has them.
func (g *renewalAggregator) expire(now, span time.Duration) {
	for name, from := range g.controllers {
		if now-from.heardAt > span {
			g.silentSince[name] = from.heardAt
			delete(g.controllers, name)
			g.urgent = true
		}
	}
}

// follows turns to another leader, who has nothing of what was told to the last one.
func (g *renewalAggregator) setLeader(leader string) {
	if g.leader != leader {
		g.leader, g.leaderHasUpTo, g.urgent = leader, 0, true
	}
}

// next makes the next gather: all that has changed since the last one.
func (g *renewalAggregator) nextMessage(now time.Duration) *RelayedRenewals {
	g.lastSeq++
	g.sentAt, g.urgent, g.renewalsWaiting = now, false, false
	if !g.awaitingAnswer {
		g.awaitingAnswer, g.unansweredSince = true, now
	}
	message := &RelayedRenewals{Incarnation: g.incarnation, Seq: g.lastSeq, BaseSeq: g.leaderHasUpTo}
	for _, name := range sorted(g.controllers) {
		from := g.controllers[name]
		if from.changedInSeq > g.leaderHasUpTo {
			message.Renewals = append(message.Renewals, RelayedRenewal{Name: name, Disk: from.disk, Renewal: from.renewal})
		}
	}
	if g.leaderHasUpTo == 0 { // who isn't named is covered no more
		g.lastFullSeq = g.lastSeq
	} else {
		for _, name := range sorted(g.silentSince) {
			message.Silent = append(message.Silent, SilentController{Name: name, SilentFor: int64(now - g.silentSince[name])})
		}
	}
	clear(g.silentSince)
	g.leaderHasUpTo = g.lastSeq
	return message
}

// due is when the next gather is to be sent: soon after news, else once in a period.
func (g *renewalAggregator) due(soon, period time.Duration) time.Duration {
	switch {
	case g.urgent:
		return g.sentAt + soon
	case g.renewalsWaiting:
		return g.sentAt + period
	}
	return fleet.Forever
}

// answered takes the leader's answer and gives the grants that follow from it, by the
// controllers' names in order.
func (g *renewalAggregator) handleAnswer(from string, a *RelayedGrants) (grants []addressedGrant) {
	if a.Incarnation != g.incarnation || a.Seq > g.lastSeq {
		return nil
	}
	g.awaitingAnswer, g.unansweredLogged = false, false
	if a.Resync {
		if from == g.leader && a.Seq > g.lastFullSeq { // it isn't on its way yet
			g.leaderHasUpTo, g.urgent = 0, true
		}
		return nil
	}
	if !a.Granted {
		return nil
	}
	withheld := g.withheldReasons(a)
	for _, name := range sorted(g.controllers) {
		grant := g.grantFor(name, a, withheld)
		if grant != nil {
			grants = append(grants, addressedGrant{name: name, address: g.controllers[name].renewal.Member.Peer, grant: grant})
		}
	}
	for _, w := range a.Withheld {
		if w.RefusedReason != "" {
			delete(g.controllers, w.Name)
		}
	}
	for _, name := range a.Resend {
		g.resend(name)
	}
	return grants
}

// grantTo is a grant on its way to a controller.
type addressedGrant struct {
	name, address string
	grant         *LeaseGrant
}

// withhold are those that aren't granted a lease, by name. One that isn't in the record
// yet is told to the leader once more.
func (g *renewalAggregator) withheldReasons(a *RelayedGrants) map[string]string {
	withheld := make(map[string]string, len(a.Withheld))
	for _, w := range a.Withheld {
		withheld[w.Name] = w.RefusedReason
		g.resend(w.Name)
	}
	return withheld
}

// tellAgain has the next gather name a controller.
func (g *renewalAggregator) resend(name string) {
	if from := g.controllers[name]; from != nil {
		from.changedInSeq = g.lastSeq + 1
		g.urgent = true
	}
}

// grant is what a controller is told of the leader's answer, nil: nothing.
func (g *renewalAggregator) grantFor(name string, a *RelayedGrants, withheld map[string]string) *LeaseGrant {
	ask, asked := g.controllers[name].takeGranted(a.Seq)
	if !asked {
		return nil
	}
	grant := &LeaseGrant{Seq: ask.renewalSeq, SentAt: ask.sent, Incarnation: g.controllers[name].renewal.Incarnation, Leader: a.Leader}
	why, withhold := withheld[name]
	switch {
	case !withhold:
		grant.Granted, grant.RequiredIndex, grant.WaitingFor = true, a.RequiredIndex, a.WaitingFor
	case why != "":
		grant.RefusedReason = why
	}
	return grant
}
