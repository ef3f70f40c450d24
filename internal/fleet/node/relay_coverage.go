package node

import (
	"slices"
	"time"
)

// The leader's side of relays. A relay covers controllers; each of its messages requests a lease
// for all of them. The leader assumes that a covered controller requested its lease when the
// relay's last message was received. The controller never requested it later, so a change waits
// for the controller at least until its lease ends.

// neverAsked stands for the time of a lease request that was never made.
const neverAsked time.Duration = -1

// maxFiniteLease replaces a lease without an end in computations.
const maxFiniteLease = time.Hour

// relayIncarnation identifies one incarnation of a relay. Each incarnation covers controllers on
// its own, also while an old one still runs beside its successor.
type relayIncarnation struct {
	relay       string
	incarnation uint64
}

// relayCoverage is the state that one incarnation of a relay has reported.
type relayCoverage struct {
	lastSeq      uint64 // of the last accepted message
	controllers  map[string]bool
	resend       map[string]bool // covered controllers that the relay must report again
	heardAt      time.Duration   // when the last message was received
	leaseAskedAt time.Duration   // when the last granted or grantable message was received, or neverAsked
}

// receiveRelayedRenewals handles a relay's message.
func (c *Core) receiveRelayedRenewals(relay string, g *RelayedRenewals) {
	answer := &RelayedGrants{Incarnation: g.Incarnation, Seq: g.Seq}
	if !c.isLeader {
		answer.Leader = c.otherLeader()
		c.send(relay, c.addressOf(relay), &Message{RelayedGrants: answer})
		return
	}
	key := relayIncarnation{relay, g.Incarnation}
	coverage := c.coverage[key]
	if g.BaseSeq > 0 && (coverage == nil || coverage.lastSeq < g.BaseSeq) {
		answer.Resync = true
		answer.Leader = c.config.Self.Name
		c.send(relay, c.addressOf(relay), &Message{RelayedGrants: answer})
		return
	}
	if coverage == nil {
		coverage = &relayCoverage{
			controllers:  map[string]bool{},
			resend:       map[string]bool{},
			leaseAskedAt: neverAsked,
		}
		c.coverage[key] = coverage
	}
	if g.Seq <= coverage.lastSeq {
		return // late or duplicated
	}
	withheld := c.updateCoverage(coverage, g)
	c.awaitConfirmation(unconfirmedRenewal{
		name:       relay,
		receivedAt: c.now,
		relayed:    g,
		coverage:   coverage,
		withheld:   withheld,
	})
}

// updateCoverage updates a coverage from a message. withheld has the controllers that the message
// names and that aren't covered, with the reason; "": not in the log yet.
func (c *Core) updateCoverage(coverage *relayCoverage, g *RelayedRenewals) (withheld map[string]string) {
	if g.BaseSeq == 0 {
		c.uncoverUnnamed(coverage, g)
	}
	for _, s := range g.Silent {
		silentFor := time.Duration(float64(s.SilentFor) * (1 - 2*c.config.ClockDrift)) // lower bound
		c.uncover(coverage, s.Name, c.now-max(0, silentFor))
	}
	withheld = map[string]string{}
	for _, from := range g.Renewals {
		refusal, known := c.admitRenewal(from.Name, from.DiskID, from.Renewal, acceptRepeats)
		if !known {
			c.uncover(coverage, from.Name, coverage.heardAt)
			withheld[from.Name] = refusal
			continue
		}
		coverage.controllers[from.Name] = true
		delete(coverage.resend, from.Name)
		c.peers[from.Name].nextIndex = 0 // the relay sends it the log
	}
	coverage.lastSeq = g.Seq
	coverage.heardAt = c.now
	return withheld
}

// uncoverUnnamed uncovers the controllers that a full message doesn't name.
func (c *Core) uncoverUnnamed(coverage *relayCoverage, g *RelayedRenewals) {
	named := make(map[string]bool, len(g.Renewals))
	for _, from := range g.Renewals {
		named[from.Name] = true
	}
	for _, name := range sorted(coverage.controllers) {
		if !named[name] {
			c.uncover(coverage, name, coverage.heardAt)
		}
	}
}

// uncover removes a controller from a relay's coverage. askedAt is the latest time at which the
// controller may have requested a lease that the relay forwarded. Other relays that cover the
// controller must report it again, since this relay's last report may have been older than theirs.
func (c *Core) uncover(coverage *relayCoverage, name string, askedAt time.Duration) {
	if !coverage.controllers[name] {
		return
	}
	delete(coverage.controllers, name)
	delete(coverage.resend, name)
	for _, other := range c.coverage {
		if other.controllers[name] {
			other.resend[name] = true
		}
	}
	if p := c.peers[name]; p != nil {
		p.leaseAskedAt = max(p.leaseAskedAt, askedAt)
	}
}

// expireCoverage removes relays that were silent for so long that every lease that they forwarded
// has ended.
func (c *Core) expireCoverage() {
	lease := c.bySlowestClock(min(c.config.Lease, maxFiniteLease))
	keepFor := max(followerSilentAfter, 2*lease)
	for key, coverage := range c.coverage {
		if c.now-coverage.heardAt <= keepFor {
			continue
		}
		for _, name := range sorted(coverage.controllers) {
			c.uncover(coverage, name, coverage.heardAt)
		}
		delete(c.coverage, key)
	}
}

// coveredLeaseAskedAt returns the latest time at which a controller may have requested, through
// any relay, a lease that was or may be granted; neverAsked if there is none.
func (c *Core) coveredLeaseAskedAt(name string) time.Duration {
	at := neverAsked
	for _, coverage := range c.coverage {
		if coverage.controllers[name] {
			at = max(at, coverage.leaseAskedAt)
		}
	}
	return at
}

// lastHeardOf returns when a controller last sent a renewal, directly or through a relay.
func (c *Core) lastHeardOf(name string) time.Duration {
	at := c.peers[name].heardAt
	for _, coverage := range c.coverage {
		if coverage.controllers[name] {
			at = max(at, coverage.heardAt)
		}
	}
	return at
}

// grantRelayed answers a relay's message after a majority has confirmed the leadership.
func (c *Core) grantRelayed(q unconfirmedRenewal, index uint64) {
	answer := &RelayedGrants{
		Incarnation:   q.relayed.Incarnation,
		Seq:           q.relayed.Seq,
		Granted:       true,
		RequiredIndex: index,
		Leader:        c.config.Self.Name,
		WaitingFor:    c.waitingForSummary(),
	}
	for _, name := range sorted(q.withheld) {
		answer.Withheld = append(answer.Withheld, WithheldLease{Name: name, RefusedReason: q.withheld[name]})
	}
	for _, name := range c.forgottenAmong(q.coverage) {
		c.uncover(q.coverage, name, q.coverage.heardAt)
		answer.Withheld = append(answer.Withheld, WithheldLease{Name: name, RefusedReason: forgottenReason})
	}
	answer.Resend = sorted(q.coverage.resend)
	c.send(q.name, c.addressOf(q.name), &Message{RelayedGrants: answer})
}

// forgottenAmong returns the sorted names of covered controllers that are forgotten.
func (c *Core) forgottenAmong(coverage *relayCoverage) (names []string) {
	for name := range coverage.controllers {
		if c.state.Members[name].Forgotten {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
