package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// renewalAggregator is a relay's memory of the controllers that ask through it. It grants
// nothing: a lease is passed on only where the leader's answer is to a message that was
// sent after the controller had asked.
//
// A message has what changed since the one before (its base). One that the leader lacks
// the base of is answered by Resync, and the next message is full.
type renewalAggregator struct {
	incarnation uint64 // of the relay

	// The controllers covered.
	controllers map[string]*relayedController
	silentSince map[string]time.Duration // no longer covered since the last message, by when each last asked

	// What the leader has.
	leader        string // to whom messages go
	lastSeq       uint64 // of the last message
	lastFullSeq   uint64 // of the last full message
	leaderHasUpTo uint64 // the leader is taken to have all up to this message; 0: nothing

	// When to send the next message.
	sentAt          time.Duration
	urgent          bool // a change that the leader should know soon
	renewalsWaiting bool // some controller has asked since the last message

	// Whether the leader answers.
	awaitingAnswer   bool          // no message since the one at unansweredSince was answered
	unansweredSince  time.Duration // valid while awaitingAnswer
	unansweredLogged bool
}

func newRenewalAggregator(incarnation uint64) *renewalAggregator {
	return &renewalAggregator{
		incarnation: incarnation,
		controllers: map[string]*relayedController{},
		silentSince: map[string]time.Duration{},
	}
}

// maxPendingRequests bounds the requests for a lease that are remembered of a controller.
const maxPendingRequests = 16

// relayedController is one controller that asks through a relay.
type relayedController struct {
	follower
	disk         string
	renewal      *LeaseRenewal // its last one
	changedInSeq uint64        // the first message that has its present state
	// pendingRequests are those that no lease was passed on for, oldest first, at most
	// one for each message.
	pendingRequests []pendingRequest
}

// pendingRequest is a request for a lease, with the first message that it is part of.
type pendingRequest struct {
	firstSeq   uint64
	renewalSeq uint64
	sentAt     int64 // by the controller's clock
}

// addRequest remembers a request for a lease: the newest one for each message.
func (f *relayedController) addRequest(r pendingRequest) {
	last := len(f.pendingRequests) - 1
	if last >= 0 && f.pendingRequests[last].firstSeq == r.firstSeq {
		f.pendingRequests[last] = r
		return
	}
	if len(f.pendingRequests) == maxPendingRequests {
		f.pendingRequests = slices.Delete(f.pendingRequests, 0, 1)
	}
	f.pendingRequests = append(f.pendingRequests, r)
}

// takeGranted takes the newest request that a message covered, and forgets those before it.
func (f *relayedController) takeGranted(seq uint64) (request pendingRequest, covered bool) {
	n := 0
	for n < len(f.pendingRequests) && f.pendingRequests[n].firstSeq <= seq {
		n++
	}
	if n == 0 {
		return pendingRequest{}, false
	}
	request = f.pendingRequests[n-1]
	f.pendingRequests = slices.Delete(f.pendingRequests, 0, n)
	return request, true
}

// addRenewal takes a controller's renewal. It returns nil where that is late or doubled.
func (g *renewalAggregator) addRenewal(
	now time.Duration, name, disk string, r *LeaseRenewal,
) *relayedController {
	from := g.controllers[name]
	next := g.lastSeq + 1
	switch {
	case from == nil:
		from = &relayedController{changedInSeq: next}
		g.controllers[name] = from
		delete(g.silentSince, name)
	case from.renewal.Incarnation == r.Incarnation && r.Seq <= from.renewal.Seq:
		return nil
	case from.renewal.Incarnation != r.Incarnation:
		from.pendingRequests = nil
		from.nextIndex = 0
		from.changedInSeq = next
	case from.disk != disk || from.renewal.Member != r.Member || from.renewal.differs(r):
		from.changedInSeq = next
	}
	g.urgent = g.urgent || from.changedInSeq == next
	g.renewalsWaiting = true
	from.disk = disk
	from.renewal = r
	from.heardAt = now
	from.addRequest(pendingRequest{firstSeq: next, renewalSeq: r.Seq, sentAt: r.SentAt})
	return from
}

// expire ends the coverage of controllers that haven't asked for longer than a span. Their
// requests are forgotten: no message after this has them.
func (g *renewalAggregator) expire(now, span time.Duration) {
	for name, from := range g.controllers {
		if now-from.heardAt > span {
			g.silentSince[name] = from.heardAt
			delete(g.controllers, name)
			g.urgent = true
		}
	}
}

// setLeader turns to another leader, who has nothing of what the last one was sent.
func (g *renewalAggregator) setLeader(leader string) {
	if g.leader != leader {
		g.leader = leader
		g.sendAll()
	}
}

// sendAll makes the next message a full one, to be sent soon.
func (g *renewalAggregator) sendAll() {
	g.leaderHasUpTo = 0
	g.urgent = true
}

// nextMessage makes the next message: all that has changed since the last one, or
// everything where the leader has nothing.
func (g *renewalAggregator) nextMessage(now time.Duration) *RelayedRenewals {
	g.lastSeq++
	g.sentAt = now
	g.urgent = false
	g.renewalsWaiting = false
	if !g.awaitingAnswer {
		g.awaitingAnswer = true
		g.unansweredSince = now
	}
	message := &RelayedRenewals{Incarnation: g.incarnation, Seq: g.lastSeq, BaseSeq: g.leaderHasUpTo}
	for _, name := range sorted(g.controllers) {
		from := g.controllers[name]
		if from.changedInSeq > g.leaderHasUpTo {
			renewal := RelayedRenewal{Name: name, DiskID: from.disk, Renewal: from.renewal}
			message.Renewals = append(message.Renewals, renewal)
		}
	}
	if g.leaderHasUpTo == 0 { // one that isn't named is no longer covered
		g.lastFullSeq = g.lastSeq
	} else {
		for _, name := range sorted(g.silentSince) {
			silentFor := int64(now - g.silentSince[name])
			message.Silent = append(message.Silent, SilentController{Name: name, SilentFor: silentFor})
		}
	}
	clear(g.silentSince)
	g.leaderHasUpTo = g.lastSeq
	return message
}

// due is when the next message is to be sent: soon after a change, else once in a period,
// Forever where nobody has asked.
func (g *renewalAggregator) due(soon, period time.Duration) time.Duration {
	switch {
	case g.urgent:
		return g.sentAt + soon
	case g.renewalsWaiting:
		return g.sentAt + period
	}
	return fleet.Forever
}

// handleAnswer takes the leader's answer and returns the grants that follow from it, by
// the controllers' names in order.
func (g *renewalAggregator) handleAnswer(from string, a *RelayedGrants) (grants []addressedGrant) {
	if a.Incarnation != g.incarnation || a.Seq > g.lastSeq {
		return nil
	}
	g.awaitingAnswer = false
	g.unansweredLogged = false
	if a.Resync {
		if from == g.leader && a.Seq > g.lastFullSeq { // no full one is on its way yet
			g.sendAll()
		}
		return nil
	}
	if !a.Granted {
		return nil
	}
	withheld := g.withheldReasons(a)
	for _, name := range sorted(g.controllers) {
		if grant := g.grantFor(name, a, withheld); grant != nil {
			address := g.controllers[name].renewal.Member.PeerAddress
			grants = append(grants, addressedGrant{name: name, address: address, grant: grant})
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

// addressedGrant is a grant on its way to a controller.
type addressedGrant struct {
	name, address string
	grant         *LeaseGrant
}

// withheldReasons are the controllers that aren't granted a lease, and why; "": they
// aren't in the log yet. The next message names each once more.
func (g *renewalAggregator) withheldReasons(a *RelayedGrants) map[string]string {
	withheld := make(map[string]string, len(a.Withheld))
	for _, w := range a.Withheld {
		withheld[w.Name] = w.RefusedReason
		g.resend(w.Name)
	}
	return withheld
}

// resend has the next message name a controller.
func (g *renewalAggregator) resend(name string) {
	if from := g.controllers[name]; from != nil {
		from.changedInSeq = g.lastSeq + 1
		g.urgent = true
	}
}

// grantFor is what a controller is told of the leader's answer, nil: nothing.
func (g *renewalAggregator) grantFor(name string, a *RelayedGrants, withheld map[string]string) *LeaseGrant {
	from := g.controllers[name]
	request, covered := from.takeGranted(a.Seq)
	if !covered {
		return nil
	}
	grant := &LeaseGrant{
		Seq:         request.renewalSeq,
		SentAt:      request.sentAt,
		Incarnation: from.renewal.Incarnation,
		Leader:      a.Leader,
	}
	reason, isWithheld := withheld[name]
	if isWithheld {
		grant.RefusedReason = reason
		return grant
	}
	grant.Granted = true
	grant.RequiredIndex = a.RequiredIndex
	grant.WaitingFor = a.WaitingFor
	return grant
}
