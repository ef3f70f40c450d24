package node

import (
	"slices"
	"time"
)

// The leader's side of relays. A relay covers controllers; a gather asks for a lease for
// all of them. Who is covered is taken to have asked when the relay's last gather came,
// which is never before it did: so a change waits for it at least as long as its lease.

// coverKey names one run of a relay: one that was started anew, or is still about
// beside its successor, covers for itself.
type relayIncarnation struct {
	relay       string
	incarnation uint64
}

// cover is what one run of a relay has told.
type relayCoverage struct {
	lastSeq      uint64 // of the last gather that was taken
	controllers  map[string]bool
	resend       map[string]bool // covered, and to be told once more
	heardAt      time.Duration   // when the last gather came
	leaseAskedAt time.Duration   // when the last gather came that was granted or may be
}

// neverAsked is the time of an ask that never was.
const neverAsked time.Duration = -1

// gatheredBy takes a relay's gather.
func (c *Core) receiveRelayedRenewals(relay string, g *RelayedRenewals) {
	answer := &RelayedGrants{Incarnation: g.Incarnation, Seq: g.Seq}
	if !c.isLeader {
		answer.Leader = c.otherLeader()
		c.send(relay, c.addressOf(relay), &Message{RelayedGrants: answer})
		return
	}
	key := relayIncarnation{relay, g.Incarnation}
	covers := c.coverage[key]
	if g.BaseSeq > 0 && (covers == nil || covers.lastSeq < g.BaseSeq) {
		answer.Resync, answer.Leader = true, c.config.Self.Name
		c.send(relay, c.addressOf(relay), &Message{RelayedGrants: answer})
		return
	}
	if covers == nil {
		covers = &relayCoverage{controllers: map[string]bool{}, resend: map[string]bool{}, leaseAskedAt: neverAsked}
		c.coverage[key] = covers
	}
	if g.Seq <= covers.lastSeq {
		return // late, or doubled
	}
	withheld := c.updateCoverage(covers, g)
	c.awaitConfirmation(unconfirmedRenewal{name: relay, receivedAt: c.now, relayed: g, coverage: covers, withheld: withheld})
}

// take brings a cover up to a gather. withheld are those that the gather tells of and
// that aren't covered, by their names: why, "": not in the record yet.
func (c *Core) updateCoverage(covers *relayCoverage, g *RelayedRenewals) (withheld map[string]string) {
	if g.BaseSeq == 0 {
		c.uncoverUnnamed(covers, g)
	}
	for _, s := range g.Silent {
		ago := time.Duration(float64(s.SilentFor) * (1 - 2*c.config.ClockDrift))
		c.uncover(covers, s.Name, c.now-max(0, ago))
	}
	withheld = map[string]string{}
	for _, from := range g.Renewals {
		why, known := c.admitRenewal(from.Name, from.Disk, from.Renewal, acceptRepeats)
		if !known {
			c.uncover(covers, from.Name, covers.heardAt)
			withheld[from.Name] = why
			continue
		}
		covers.controllers[from.Name] = true
		delete(covers.resend, from.Name)
		c.peers[from.Name].nextIndex = 0 // the relay passes the record on to it
	}
	covers.lastSeq, covers.heardAt = g.Seq, c.now
	return withheld
}

// replace uncovers those that a gather of everything doesn't name.
func (c *Core) uncoverUnnamed(covers *relayCoverage, g *RelayedRenewals) {
	named := make(map[string]bool, len(g.Renewals))
	for _, from := range g.Renewals {
		named[from.Name] = true
	}
	for _, name := range sorted(covers.controllers) {
		if !named[name] {
			c.uncover(covers, name, covers.heardAt)
		}
	}
}

// uncover takes a controller out of a cover. asked is the latest time at which it may
// have asked for a lease that it was given through it. What this relay told of it last
// may be older than what another did, which is asked to tell it again.
func (c *Core) uncover(covers *relayCoverage, name string, asked time.Duration) {
	if !covers.controllers[name] {
		return
	}
	delete(covers.controllers, name)
	delete(covers.resend, name)
	for _, other := range c.coverage {
		if other.controllers[name] {
			other.resend[name] = true
		}
	}
	if p := c.peers[name]; p != nil {
		p.leaseAskedAt = max(p.leaseAskedAt, asked)
	}
}

// expireCovers forgets relays that weren't heard of for so long that no lease that they
// passed on can last.
func (c *Core) expireCoverage() {
	for key, covers := range c.coverage {
		if c.now-covers.heardAt <= max(followerSilentAfter, 2*c.bySlowestClock(min(c.config.Lease, maxFiniteLease))) {
			continue
		}
		for _, name := range sorted(covers.controllers) {
			c.uncover(covers, name, covers.heardAt)
		}
		delete(c.coverage, key)
	}
}

// maxFiniteLease stands for a lease without an end where a span is computed with it.
const maxFiniteLease = time.Hour

// coveredAt is when a controller last asked through any relay, as far as it may have
// been given a lease for it; neverAsked: it didn't.
func (c *Core) coveredLeaseAskedAt(name string) time.Duration {
	at := neverAsked
	for _, covers := range c.coverage {
		if covers.controllers[name] {
			at = max(at, covers.leaseAskedAt)
		}
	}
	return at
}

// heardOf is when a controller was last heard of, by itself or through a relay.
func (c *Core) lastHeardOf(name string) time.Duration {
	at := c.peers[name].heardAt
	for _, covers := range c.coverage {
		if covers.controllers[name] {
			at = max(at, covers.heardAt)
		}
	}
	return at
}

// grantGather answers a gather once a majority has confirmed that this controller leads.
func (c *Core) grantRelayed(q unconfirmedRenewal, index uint64) {
	answer := &RelayedGrants{Incarnation: q.relayed.Incarnation, Seq: q.relayed.Seq, Granted: true, RequiredIndex: index, Leader: c.config.Self.Name, WaitingFor: c.waitingForExcerpt()}
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

// forgotten are covered controllers whose name is forgotten by now, in order.
func (c *Core) forgottenAmong(covers *relayCoverage) (names []string) {
	for name := range covers.controllers {
		if c.state.Members[name].Forgotten {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
