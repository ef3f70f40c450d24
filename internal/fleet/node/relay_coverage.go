package node

import (
	"slices"
	"time"
)

// The leader's side of relays. A relay covers controllers; each of its messages asks for a
// lease for all of them. A covered controller is taken to have asked when the relay's last
// message came, which is never before it did: so a change waits for it at least as long as
// its lease.

// neverAsked is the time of a request for a lease that never was.
const neverAsked time.Duration = -1

// maxFiniteLease stands for a lease without an end where a span is computed with it.
const maxFiniteLease = time.Hour

// relayIncarnation names one incarnation of a relay: one that was started anew, or still
// runs beside its successor, covers controllers on its own.
type relayIncarnation struct {
	relay       string
	incarnation uint64
}

// relayCoverage is what one incarnation of a relay has reported.
type relayCoverage struct {
	lastSeq      uint64 // of the last message that was taken
	controllers  map[string]bool
	resend       map[string]bool // covered, and to be reported once more
	heardAt      time.Duration   // when the last message came
	leaseAskedAt time.Duration   // when the last message came that was granted or may be, or neverAsked
}

// receiveRelayedRenewals takes a relay's message.
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
		return // late, or doubled
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

// updateCoverage brings a coverage up to a message. withheld are those that the message
// names and that aren't covered, by their names: why, "": not in the log yet.
func (c *Core) updateCoverage(coverage *relayCoverage, g *RelayedRenewals) (withheld map[string]string) {
	if g.BaseSeq == 0 {
		c.uncoverUnnamed(coverage, g)
	}
	for _, s := range g.Silent {
		silentFor := time.Duration(float64(s.SilentFor) * (1 - 2*c.config.ClockDrift)) // at least
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
		c.peers[from.Name].nextIndex = 0 // the relay sends the log to it
	}
	coverage.lastSeq = g.Seq
	coverage.heardAt = c.now
	return withheld
}

// uncoverUnnamed uncovers those that a full message doesn't name.
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

// uncover takes a controller out of a relay's coverage. askedAt is the latest time at which
// it may have asked for a lease that it was granted through it. What this relay reported
// of it last may be older than what another did, which is asked to report it again.
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

// expireCoverage forgets relays that weren't heard of for so long that no lease that they
// passed on can last.
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

// coveredLeaseAskedAt is when a controller last asked through any relay, as far as it may
// have been granted a lease for it; neverAsked: it didn't.
func (c *Core) coveredLeaseAskedAt(name string) time.Duration {
	at := neverAsked
	for _, coverage := range c.coverage {
		if coverage.controllers[name] {
			at = max(at, coverage.leaseAskedAt)
		}
	}
	return at
}

// lastHeardOf is when a controller was last heard of, directly or through a relay.
func (c *Core) lastHeardOf(name string) time.Duration {
	at := c.peers[name].heardAt
	for _, coverage := range c.coverage {
		if coverage.controllers[name] {
			at = max(at, coverage.heardAt)
		}
	}
	return at
}

// grantRelayed answers a relay's message once a majority has confirmed the leadership.
func (c *Core) grantRelayed(q unconfirmedRenewal, index uint64) {
	answer := &RelayedGrants{
		Incarnation:   q.relayed.Incarnation,
		Seq:           q.relayed.Seq,
		Granted:       true,
		RequiredIndex: index,
		Leader:        c.config.Self.Name,
		WaitingFor:    c.waitingForExcerpt(),
	}
	for _, name := range sorted(q.withheld) {
		answer.Withheld = append(answer.Withheld, WithheldLease{Name: name, RefusedReason: q.withheld[name]})
	}
	for _, name := range c.forgottenAmong(q.coverage) {
		c.uncover(q.coverage, name, q.coverage.heardAt)
		answer.Withheld = append(answer.Withheld, WithheldLease{Name: name, RefusedReason: forgottenName})
	}
	answer.Resend = sorted(q.coverage.resend)
	c.send(q.name, c.addressOf(q.name), &Message{RelayedGrants: answer})
}

// forgottenAmong are covered controllers whose name is forgotten by now, in order.
func (c *Core) forgottenAmong(coverage *relayCoverage) (names []string) {
	for name := range coverage.controllers {
		if c.state.Members[name].Forgotten {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
