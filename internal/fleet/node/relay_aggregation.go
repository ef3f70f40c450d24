package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// renewalAggregator is a relay's state of the controllers that it covers. It grants no lease
// itself: a lease is forwarded only if the leader has answered a message that was sent after the
// controller requested the lease.
//
// A message has the changes since the previous message, its base. If the leader doesn't have the
// base, it answers with Resync, and the next message is a full one.
type renewalAggregator struct {
	incarnation uint64 // of the relay

	// The controllers covered.
	controllers map[string]*relayedController
	silentSince map[string]time.Duration // uncovered since the last message, by their last renewal

	// The messages sent to the leader.
	leader        string // the leader that the messages are sent to
	lastSeq       uint64 // of the last message
	lastFullSeq   uint64 // of the last full message
	leaderHasUpTo uint64 // the leader is assumed to have all messages up to this Seq; 0: none

	// When to send the next message.
	sentAt          time.Duration
	urgent          bool // a change that the leader must learn soon
	renewalsWaiting bool // a controller has sent a renewal since the last message

	// Whether the leader answers.
	awaitingAnswer   bool          // no message sent since unansweredSince was answered
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

// maxPendingRequests bounds the lease requests that are remembered of one controller.
const maxPendingRequests = 16

// relayedController is one controller that the relay covers.
type relayedController struct {
	follower
	disk         string
	renewal      *LeaseRenewal // the last one received
	changedInSeq uint64        // the first message with the current renewal
	// pendingRequests are the lease requests without a forwarded lease, oldest first, at most
	// one for each message.
	pendingRequests []pendingRequest
}

// pendingRequest is a lease request.
type pendingRequest struct {
	firstSeq   uint64 // the first message that covers the request
	renewalSeq uint64
	sentAt     int64 // by the controller's clock
}

// addRequest adds a lease request. It replaces an earlier one for the same message.
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

// takeGranted removes the requests that a message covered and returns the newest of them.
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

// addRenewal adds a controller's renewal. It returns nil if the renewal is late or duplicated.
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

// expire uncovers the controllers that have sent no renewal for longer than a span, and drops
// their lease requests.
func (g *renewalAggregator) expire(now, span time.Duration) {
	for name, from := range g.controllers {
		if now-from.heardAt > span {
			g.silentSince[name] = from.heardAt
			delete(g.controllers, name)
			g.urgent = true
		}
	}
}

// setLeader sets the leader that messages are sent to. A new leader gets a full message first.
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

// nextMessage returns the next message: the changes since the last one, or a full message if the
// leader has none.
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
	if g.leaderHasUpTo == 0 { // a full message names every covered controller, so it needs no Silent
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

// due returns when the next message is due: soon after an urgent change, a period after the last
// message if a renewal waits, else fleet.Forever.
func (g *renewalAggregator) due(soon, period time.Duration) time.Duration {
	switch {
	case g.urgent:
		return g.sentAt + soon
	case g.renewalsWaiting:
		return g.sentAt + period
	}
	return fleet.Forever
}

// handleAnswer handles the leader's answer and returns the resulting grants, sorted by controller
// name.
func (g *renewalAggregator) handleAnswer(from string, a *RelayedGrants) (grants []addressedGrant) {
	if a.Incarnation != g.incarnation || a.Seq > g.lastSeq {
		return nil
	}
	g.awaitingAnswer = false
	g.unansweredLogged = false
	if a.Resync {
		if from == g.leader && a.Seq > g.lastFullSeq { // no full message was sent since
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

// addressedGrant is a grant with the name and peer address of its controller.
type addressedGrant struct {
	name, address string
	grant         *LeaseGrant
}

// withheldReasons returns the controllers that get no lease, with the reason; "": not in the log
// yet. The next message names each of them again.
func (g *renewalAggregator) withheldReasons(a *RelayedGrants) map[string]string {
	withheld := make(map[string]string, len(a.Withheld))
	for _, w := range a.Withheld {
		withheld[w.Name] = w.RefusedReason
		g.resend(w.Name)
	}
	return withheld
}

// resend makes the next message name a controller.
func (g *renewalAggregator) resend(name string) {
	if from := g.controllers[name]; from != nil {
		from.changedInSeq = g.lastSeq + 1
		g.urgent = true
	}
}

// grantFor returns the grant for a controller that follows from the leader's answer, nil if the
// answer covers none of its requests.
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
