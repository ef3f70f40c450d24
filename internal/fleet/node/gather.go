package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Gather is a relay's message to the leader: what has changed in the renewals of all
// controllers that ask through it. It asks for a lease for each controller that the
// relay covers, also for those that it doesn't name because nothing of them changed.
type Gather struct {
	Boot uint64 `cbor:"Boot"` // of the relay's run
	Seq  uint64 `cbor:"Seq"`  // from 1, within the relay's run
	// Base is the gather that went before: this one tells all that has changed since. A
	// leader that lacks it asks for everything. 0: this is everything, and replaces what
	// was told.
	Base    uint64         `cbor:"Base,omitempty"`
	Renews  []GatheredFrom `cbor:"Renews,omitempty"`
	Silents []Silent       `cbor:"Silents,omitempty"`
}

// GatheredFrom is a controller's last renewal, which is news to the leader.
type GatheredFrom struct {
	Name  string `cbor:"Name"`
	Disk  string `cbor:"Disk"`
	Renew *Renew `cbor:"Renew"`
}

// Silent is a controller that is covered no more: it hasn't asked for a while.
type Silent struct {
	Name string `cbor:"Name"`
	Ago  int64  `cbor:"Ago"` // nanoseconds by the relay's clock since it last asked
}

// Gathered is the leader's answer to a Gather.
type Gathered struct {
	Boot   uint64 `cbor:"Boot"` // as in the Gather
	Seq    uint64 `cbor:"Seq"`
	Given  bool   `cbor:"Given"`  // each controller covered by that gather may be granted its lease
	Resync bool   `cbor:"Resync"` // the leader doesn't have the gather's base: all must be told anew
	Index  uint64 `cbor:"Index"`  // the leases count once the record up to here is applied
	Leader string `cbor:"Leader"` // who to tell instead, "": not known
	// Withheld are covered controllers that must not be granted a lease.
	Withheld []Withheld `cbor:"Withheld,omitempty"`
	// Again are covered controllers whose renewal must be told once more: another relay
	// has told of them since.
	Again []string            `cbor:"Again,omitempty"`
	Waits map[string][]string `cbor:"Waits,omitempty"` // as in a Grant
}

// Withheld is a controller that is given no lease.
type Withheld struct {
	Name string `cbor:"Name"`
	Why  string `cbor:"Why"` // refused for good; "": it isn't in the record yet
}

// gatherer is a relay's memory of the controllers that ask through it. It grants
// nothing: a lease is passed on only where the leader's answer is to a gather that was
// sent after the controller had asked.
type gatherer struct {
	boot         uint64
	seq          uint64 // of the last gather that was sent
	told         uint64 // the leader is taken to have all up to this gather; 0: nothing
	everything   uint64 // the last gather that told everything
	leader       string // whom that was told
	controllers  map[string]*gathered
	silents      map[string]time.Duration // who fell silent since the last gather, and when it had asked last
	sentAt       time.Duration
	unanswered   bool // no gather since the one at unansweredAt was answered
	unansweredAt time.Duration
	urgent       bool // something was told that the leader should know soon
	waiting      bool // some controller has asked since the last gather
	complained   bool // it was said that the leader doesn't answer
}

// gathered is one controller that asks through a relay.
type gathered struct {
	follower
	disk    string
	renew   *Renew
	changed uint64 // the first gather that tells its present state
	// unanswered are its asks that no lease was passed on for, oldest first.
	unanswered []unanswered
}

// unanswered is an ask for a lease, with the first gather that it is part of.
type unanswered struct {
	gather uint64
	seq    uint64
	sent   int64
}

// unansweredMost bounds the asks that are remembered of a controller.
const unansweredMost = 16

func newGatherer(boot uint64) *gatherer {
	return &gatherer{boot: boot, controllers: map[string]*gathered{}, silents: map[string]time.Duration{}}
}

// renewed takes a controller's renewal. It returns nil where that is late or doubled.
func (g *gatherer) renewed(now time.Duration, name, disk string, r *Renew) *gathered {
	from := g.controllers[name]
	next := g.seq + 1
	switch {
	case from == nil:
		from = &gathered{}
		g.controllers[name] = from
		delete(g.silents, name)
		from.changed = next
	case from.renew.Boot == r.Boot && r.Seq <= from.renew.Seq:
		return nil
	case from.renew.Boot != r.Boot:
		from.unanswered, from.next, from.changed = nil, 0, next
	case from.disk != disk || from.renew.Member != r.Member || from.renew.differs(r):
		from.changed = next
	}
	g.urgent = g.urgent || from.changed == next
	g.waiting = true
	from.disk, from.renew, from.heard = disk, r, now
	from.ask(unanswered{gather: next, seq: r.Seq, sent: r.Sent})
	return from
}

// ask remembers an ask for a lease: the newest one for each gather.
func (f *gathered) ask(u unanswered) {
	last := len(f.unanswered) - 1
	if last >= 0 && f.unanswered[last].gather == u.gather {
		f.unanswered[last] = u
		return
	}
	if len(f.unanswered) == unansweredMost {
		f.unanswered = slices.Delete(f.unanswered, 0, 1)
	}
	f.unanswered = append(f.unanswered, u)
}

// granted takes the newest ask that a gather covered, and forgets those before it.
func (f *gathered) granted(gather uint64) (ask unanswered, asked bool) {
	n := 0
	for n < len(f.unanswered) && f.unanswered[n].gather <= gather {
		n++
	}
	if n == 0 {
		return unanswered{}, false
	}
	ask = f.unanswered[n-1]
	f.unanswered = slices.Delete(f.unanswered, 0, n)
	return ask, true
}

// expire covers those no more that haven't asked for longer than a span. Their asks are
// forgotten: no gather after this one has them.
func (g *gatherer) expire(now, span time.Duration) {
	for name, from := range g.controllers {
		if now-from.heard > span {
			g.silents[name] = from.heard
			delete(g.controllers, name)
			g.urgent = true
		}
	}
}

// follows turns to another leader, who has nothing of what was told to the last one.
func (g *gatherer) follows(leader string) {
	if g.leader != leader {
		g.leader, g.told, g.urgent = leader, 0, true
	}
}

// next makes the next gather: all that has changed since the last one.
func (g *gatherer) next(now time.Duration) *Gather {
	g.seq++
	g.sentAt, g.urgent, g.waiting = now, false, false
	if !g.unanswered {
		g.unanswered, g.unansweredAt = true, now
	}
	message := &Gather{Boot: g.boot, Seq: g.seq, Base: g.told}
	for _, name := range sorted(g.controllers) {
		from := g.controllers[name]
		if from.changed > g.told {
			message.Renews = append(message.Renews, GatheredFrom{Name: name, Disk: from.disk, Renew: from.renew})
		}
	}
	if g.told == 0 { // who isn't named is covered no more
		g.everything = g.seq
	} else {
		for _, name := range sorted(g.silents) {
			message.Silents = append(message.Silents, Silent{Name: name, Ago: int64(now - g.silents[name])})
		}
	}
	clear(g.silents)
	g.told = g.seq
	return message
}

// answered takes the leader's answer and gives the grants that follow from it, by the
// controllers' names in order.
func (g *gatherer) answered(from string, a *Gathered) (grants []grantTo) {
	if a.Boot != g.boot || a.Seq > g.seq {
		return nil
	}
	g.unanswered, g.complained = false, false
	if a.Resync {
		if from == g.leader && a.Seq > g.everything { // it isn't on its way yet
			g.told, g.urgent = 0, true
		}
		return nil
	}
	if !a.Given {
		return nil
	}
	withheld := g.withhold(a)
	for _, name := range sorted(g.controllers) {
		grant := g.grant(name, a, withheld)
		if grant != nil {
			grants = append(grants, grantTo{name: name, address: g.controllers[name].renew.Member.Peer, grant: grant})
		}
	}
	for _, w := range a.Withheld {
		if w.Why != "" {
			delete(g.controllers, w.Name)
		}
	}
	for _, name := range a.Again {
		g.tellAgain(name)
	}
	return grants
}

// grantTo is a grant on its way to a controller.
type grantTo struct {
	name, address string
	grant         *Grant
}

// withhold are those that aren't granted a lease, by name. One that isn't in the record
// yet is told to the leader once more.
func (g *gatherer) withhold(a *Gathered) map[string]string {
	withheld := make(map[string]string, len(a.Withheld))
	for _, w := range a.Withheld {
		withheld[w.Name] = w.Why
		g.tellAgain(w.Name)
	}
	return withheld
}

// tellAgain has the next gather name a controller.
func (g *gatherer) tellAgain(name string) {
	if from := g.controllers[name]; from != nil {
		from.changed = g.seq + 1
		g.urgent = true
	}
}

// grant is what a controller is told of the leader's answer, nil: nothing.
func (g *gatherer) grant(name string, a *Gathered, withheld map[string]string) *Grant {
	ask, asked := g.controllers[name].granted(a.Seq)
	if !asked {
		return nil
	}
	grant := &Grant{Seq: ask.seq, Sent: ask.sent, Boot: g.controllers[name].renew.Boot, Leader: a.Leader}
	why, withhold := withheld[name]
	switch {
	case !withhold:
		grant.Given, grant.Index, grant.Waits = true, a.Index, a.Waits
	case why != "":
		grant.Why = why
	}
	return grant
}

// due is when the next gather is to be sent: soon after news, else once in a period.
func (g *gatherer) due(soon, period time.Duration) time.Duration {
	switch {
	case g.urgent:
		return g.sentAt + soon
	case g.waiting:
		return g.sentAt + period
	}
	return fleet.Forever
}
