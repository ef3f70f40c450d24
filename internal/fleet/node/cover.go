package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// The leader's side of relays. A relay covers controllers; a gather asks for a lease for
// all of them. Who is covered is taken to have asked when the relay's last gather came,
// which is never before it did: so a change waits for it at least as long as its lease.

// coverKey names one run of a relay: one that was started anew, or is still about
// beside its successor, covers for itself.
type coverKey struct {
	relay string
	boot  uint64
}

// cover is what one run of a relay has told.
type cover struct {
	seq         uint64 // of the last gather that was taken
	controllers map[string]bool
	again       map[string]bool // covered, and to be told once more
	heard       time.Duration   // when the last gather came
	asked       time.Duration   // when the last gather came that was granted or may be
}

// gatheredBy takes a relay's gather.
func (c *Core) gatheredBy(relay string, g *Gather) {
	answer := &Gathered{Boot: g.Boot, Seq: g.Seq}
	if !c.leads {
		answer.Leader = c.otherLeader()
		c.send(relay, c.addressOf(relay), &Message{Gathered: answer})
		return
	}
	key := coverKey{relay, g.Boot}
	covers := c.covers[key]
	if g.Base > 0 && (covers == nil || covers.seq < g.Base) {
		answer.Resync, answer.Leader = true, c.b.Self.Name
		c.send(relay, c.addressOf(relay), &Message{Gathered: answer})
		return
	}
	if covers == nil {
		covers = &cover{controllers: map[string]bool{}, again: map[string]bool{}, asked: neverAsked}
		c.covers[key] = covers
	}
	if g.Seq <= covers.seq {
		return // late, or doubled
	}
	withheld := c.take(covers, g)
	c.enqueue(renewal{name: relay, at: c.now, gather: g, covers: covers, withheld: withheld})
}

// neverAsked is the time of an ask that never was.
const neverAsked time.Duration = -1

// take brings a cover up to a gather. withheld are those that the gather tells of and
// that aren't covered, by their names: why, "": not in the record yet.
func (c *Core) take(covers *cover, g *Gather) (withheld map[string]string) {
	if g.Base == 0 {
		c.replace(covers, g)
	}
	for _, s := range g.Silents {
		ago := time.Duration(float64(s.Ago) * (1 - 2*c.b.Drift))
		c.uncover(covers, s.Name, c.now-max(0, ago))
	}
	withheld = map[string]string{}
	for _, from := range g.Renews {
		why, known := c.admit(from.Name, from.Disk, from.Renew, retold)
		if !known {
			c.uncover(covers, from.Name, covers.heard)
			withheld[from.Name] = why
			continue
		}
		covers.controllers[from.Name] = true
		delete(covers.again, from.Name)
		c.peers[from.Name].next = 0 // the relay passes the record on to it
	}
	covers.seq, covers.heard = g.Seq, c.now
	return withheld
}

// replace uncovers those that a gather of everything doesn't name.
func (c *Core) replace(covers *cover, g *Gather) {
	named := make(map[string]bool, len(g.Renews))
	for _, from := range g.Renews {
		named[from.Name] = true
	}
	for _, name := range sorted(covers.controllers) {
		if !named[name] {
			c.uncover(covers, name, covers.heard)
		}
	}
}

// uncover takes a controller out of a cover. asked is the latest time at which it may
// have asked for a lease that it was given through it. What this relay told of it last
// may be older than what another did, which is asked to tell it again.
func (c *Core) uncover(covers *cover, name string, asked time.Duration) {
	if !covers.controllers[name] {
		return
	}
	delete(covers.controllers, name)
	delete(covers.again, name)
	for _, other := range c.covers {
		if other.controllers[name] {
			other.again[name] = true
		}
	}
	if p := c.peers[name]; p != nil {
		p.asked = max(p.asked, asked)
	}
}

// expireCovers forgets relays that weren't heard of for so long that no lease that they
// passed on can last.
func (c *Core) expireCovers() {
	for key, covers := range c.covers {
		if c.now-covers.heard <= max(followsFor, 2*c.longer(min(c.b.Lease, maxFiniteLease))) {
			continue
		}
		for _, name := range sorted(covers.controllers) {
			c.uncover(covers, name, covers.heard)
		}
		delete(c.covers, key)
	}
}

// maxFiniteLease stands for a lease without an end where a span is computed with it.
const maxFiniteLease = time.Hour

// coveredAt is when a controller last asked through any relay, as far as it may have
// been given a lease for it; neverAsked: it didn't.
func (c *Core) coveredAt(name string) time.Duration {
	at := neverAsked
	for _, covers := range c.covers {
		if covers.controllers[name] {
			at = max(at, covers.asked)
		}
	}
	return at
}

// heardOf is when a controller was last heard of, by itself or through a relay.
func (c *Core) heardOf(name string) time.Duration {
	at := c.peers[name].heard
	for _, covers := range c.covers {
		if covers.controllers[name] {
			at = max(at, covers.heard)
		}
	}
	return at
}

// grantGather answers a gather once a majority has confirmed that this controller leads.
func (c *Core) grantGather(q renewal, index uint64) {
	answer := &Gathered{Boot: q.gather.Boot, Seq: q.gather.Seq, Given: true, Index: index, Leader: c.b.Self.Name, Waits: c.few()}
	for _, name := range sorted(q.withheld) {
		answer.Withheld = append(answer.Withheld, Withheld{Name: name, Why: q.withheld[name]})
	}
	for _, name := range c.forgotten(q.covers) {
		c.uncover(q.covers, name, q.covers.heard)
		answer.Withheld = append(answer.Withheld, Withheld{Name: name, Why: forgottenName})
	}
	answer.Again = sorted(q.covers.again)
	c.send(q.name, c.addressOf(q.name), &Message{Gathered: answer})
}

// forgotten are covered controllers whose name is forgotten by now, in order.
func (c *Core) forgotten(covers *cover) (names []string) {
	for name := range covers.controllers {
		if c.state.Members[name].Forgotten {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

const (
	forgottenName = "its name was forgotten: the disk that had it is taken for destroyed"
	foreignDisk   = "another disk has this name"
)

// identity says why a controller is refused for good, "": it isn't.
func (c *Core) identity(name, disk string) string {
	m := c.state.Members[name]
	switch {
	case m == nil:
		return ""
	case m.Forgotten:
		return forgottenName
	case m.Disk != disk:
		return foreignDisk
	}
	return ""
}

// retelling tells whether a renewal that was told before may be told again.
type retelling bool

const (
	toldOnce retelling = false // a controller's own: what comes again is late, or doubled
	retold   retelling = true  // a relay's, whose gathers come in order
)

// admit takes what a controller told of itself. It is known once the record has it; why
// is set where it is refused for good. What is older than what was told before is
// passed over.
func (c *Core) admit(name, disk string, r *Renew, may retelling) (why string, known bool) {
	if why = c.identity(name, disk); why != "" {
		return why, false
	}
	p := c.peerOf(name)
	last := p.runs[r.Boot]
	if r.Seq > last || may == retold && r.Seq == last && p.boot != r.Boot {
		c.update(p, r)
	}
	m := c.state.Members[name]
	member := r.Member
	if m != nil && !m.Control {
		member.Control = false // as the record has it, for good
	}
	if m == nil || *m != member {
		c.once("join "+name, func() { c.propose(&fleet.Entry{Kind: fleet.Join, ID: name, Name: name, Member: &member}) })
	}
	// changes don't wait for a control process: one that takes queries by now must be
	// in the record as what it is before it holds a lease
	return "", m != nil && m.Control == member.Control
}

// update has a renewal stand for what its controller said before.
func (c *Core) update(p *peer, r *Renew) {
	c.stirred = c.stirred || p.r == nil || p.boot != r.Boot || p.r.differs(r)
	if p.boot != 0 && p.boot != r.Boot {
		p.next = 0
	}
	p.runs[r.Boot] = r.Seq
	p.boot, p.heard, p.r, p.applied = r.Boot, c.now, r, r.Applied
}
