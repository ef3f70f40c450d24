package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// Core is one controller's part in the fleet.
type Core struct {
	b     Begin
	now   time.Duration
	out   []Effect
	state *statemachine.State
	bad   fleet.Remedied // what keeps this controller from ever serving

	vote     *consensus.Core // nil: it only follows
	voters   []consensus.Voter
	log      []consensus.Record // since a little before the last snapshot, for those who follow
	term     uint64             // of the last record applied
	kept     int                // records since the last snapshot
	storing  []*storing
	spoken   time.Duration      // when agreement last heard of another voter
	outvoted bool               // others vote by now, and the record up to here doesn't tell yet
	hard     []byte             // what it voted for last, as agreement has it
	agreeing []consensus.Effect // not performed yet
	inside   bool
	coming   uint64 // the last record that is stored or being stored, where it only follows

	gatherer *gatherer // nil: this controller is no relay
	roster   roster
	begun    bool                // the first event has come: before it there is no clock
	latest   *consensus.Snapshot // of the state, for those far behind; nil: none was asked for yet

	member
	leading
	asks   []*asking
	Counts map[string]int // of what was refused or odd, for the status
}

// storing is one write that the disk has not told of yet.
type storing struct {
	kept *consensus.Kept
	then func()
}

// asking is an ask that waits for its word.
type asking struct {
	ask    *fleet.Ask
	handle uint64 // 0: the reducer's
	until  time.Duration
	next   time.Duration // when it is passed on again
}

// New makes a controller's part and what it does first.
func New(b Begin) (*Core, []Effect, error) {
	b.Lease, b.LeaseBound = orForever(b.Lease), orForever(b.LeaseBound)
	if b.LeaseBound == fleet.Forever {
		b.LeaseBound = b.Lease
	}
	if b.KeepAtMost == 0 {
		b.KeepAtMost = 2000
	}
	c := &Core{b: b, state: statemachine.NewState(), Counts: map[string]int{}}
	c.member.start()
	c.enrolAll()
	c.startRelay()
	c.voters = b.Voters
	if s := b.Kept.Snapshot; s != nil {
		state, err := statemachine.DecodeState(s.Data)
		if err != nil {
			return nil, nil, err
		}
		c.state, c.term = state, s.Term
	}
	c.coming, c.hard = c.state.Index, b.Kept.Hard
	// A snapshot that doesn't tell who votes was taken while it followed. What the disk
	// holds after it may be agreement's and not decided yet, if it ever voted.
	followed := b.Kept.Snapshot != nil && len(b.Kept.Snapshot.Conf) == 0
	if named := c.votes(); followed && b.Kept.Hard != nil {
		c.say(false, "what was kept after %d is asked for anew", c.state.Index)
	} else if (named || b.Kept.Hard != nil) && !followed {
		voters := b.Voters
		if !named || b.Kept.Hard != nil { // the log tells
			voters = nil
		}
		if err := c.voteWith(b.Kept, voters); err != nil {
			return nil, nil, err
		}
	} else {
		for _, r := range b.Kept.Records {
			c.coming = max(c.coming, r.Index)
			c.apply(r)
		}
	}
	c.bury()
	c.resume()
	c.settle()
	return c, c.out, nil
}

func orForever(lease time.Duration) time.Duration {
	if lease == 0 {
		return fleet.Forever
	}
	return lease
}

// voteWith begins to vote.
func (c *Core) voteWith(kept consensus.Kept, voters []consensus.Voter) error {
	vote, effects, err := consensus.New(consensus.Begin{Self: c.b.Self.Name, Voters: voters, Kept: kept, Seed: c.b.Seed, Election: c.b.Election,
		Heartbeat: c.b.Heartbeat})
	if err != nil {
		return err
	}
	c.vote = vote
	c.agreed(effects)
	return nil
}

// votes: this controller is named to vote, by the record or, before that tells, by the set-up.
func (c *Core) votes() bool {
	if len(c.state.Voters) > 0 {
		return slices.ContainsFunc(c.state.Voters, func(v string) bool { n, _ := statemachine.VoterOf(v); return n == c.b.Self.Name })
	}
	return slices.ContainsFunc(c.b.Voters, func(v consensus.Voter) bool { return v.Name == c.b.Self.Name })
}

// Step takes an event and gives the effects it leads to, valid until the next.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.now = max(now, c.now)
	if !c.begun {
		c.begun = true
		c.enrolAll() // what was kept holds names that were forgotten until now
	}
	c.out = nil
	switch ev.Kind {
	case Came:
		c.came(ev.Message)
	case Stored:
		c.stored()
	case Checked:
		c.checked(ev)
	case Reported:
		c.reported(ev.Report)
	case Asked:
		c.asked(ev.Ask, ev.Handle)
	case Gone:
		c.asks = slices.DeleteFunc(c.asks, func(a *asking) bool { return a.handle == ev.Handle })
	}
	c.settle()
	return c.out
}

// settle does what is due and what has become possible.
func (c *Core) settle() {
	if c.vote != nil && c.now >= c.vote.Due() {
		c.agreed(c.vote.Step(c.now, consensus.Event{Kind: consensus.Tick}))
	}
	if c.vote != nil && !c.voting(c.b.Self.Name) {
		c.retire()
	}
	c.takeUp()
	c.grant()
	c.drive()
	c.follow()
	c.answer()
	c.gather()
	c.renew()
	c.compact()
	c.wake()
}

func (c *Core) do(e Effect) { c.out = append(c.out, e) }

func (c *Core) say(loud bool, form string, args ...any) {
	c.do(Effect{Kind: Say, Loud: loud, Line: fmt.Sprintf(form, args...)})
}

func (c *Core) wrong(err fleet.Remedied) {
	c.do(Effect{Kind: Say, Loud: true, Err: err, Line: err.Error()})
}

// wake asks to be woken when the next thing is due.
func (c *Core) wake() {
	at := c.renewAt
	if c.vote != nil {
		at = min(at, c.vote.Due())
	}
	if c.leads && c.busy() {
		if drive := c.driven + c.b.Heartbeat/2; drive > c.now {
			at = min(at, drive)
		} else { // it waits for a confirmation
			at = min(at, c.now+c.b.Heartbeat/4)
		}
	}
	if c.leads && len(c.queue) > 0 && len(c.asking) == 0 {
		at = min(at, c.leading.confirmed+c.together())
	}
	at = min(at, c.gatherDue())
	if c.passesOn() && c.behind { // one that lacks more than a message holds
		at = c.now
	}
	for _, a := range c.asks {
		at = min(at, a.until, a.next)
	}
	c.do(Effect{Kind: Wake, Within: max(0, at-c.now)})
}

// send passes a message on; one to itself comes at once.
func (c *Core) send(to, address string, m *Message) {
	m.From, m.To, m.Disk = c.b.Self.Name, to, c.b.Self.Disk
	if to == c.b.Self.Name {
		c.came(m)
		return
	}
	if address != "" {
		c.do(Effect{Kind: Send, To: to, Address: address, Message: m})
	}
}

// addressOf is where a controller is reached.
func (c *Core) addressOf(name string) string {
	if m := c.state.Members[name]; m != nil && m.Peer != "" {
		return m.Peer
	}
	for _, v := range c.voters {
		if v.Name == name {
			return v.Address
		}
	}
	return ""
}

func (c *Core) came(m *Message) {
	if have := c.state.Members[m.From]; have != nil && m.Renew == nil && (have.Forgotten || have.Disk != "" && have.Disk != m.Disk) {
		// one that lost its disk may have forgotten what it voted for
		c.Counts["of another disk"]++
		return
	}
	switch {
	case len(m.Agree) > 0 && c.vote == nil:
		c.outvoted = false // it is counted among those who vote
	case len(m.Agree) > 0 && c.vote != nil:
		c.spoken = c.now
		c.agreed(c.vote.Step(c.now, consensus.Event{Kind: consensus.Message, From: m.From, Bytes: m.Agree}))
	case m.Renew != nil:
		c.renewed(m.From, m.Disk, m.Renew)
	case m.Grant != nil:
		c.granted(m.From, m.Grant)
	case m.Follow != nil:
		c.followed(m.From, m.Follow)
	case m.Gather != nil:
		c.gatheredBy(m.From, m.Gather)
	case m.Gathered != nil:
		c.gatheredAnswer(m.From, m.Gathered)
	case m.Lacks != nil:
		if f := c.followerOf(m.From); f != nil {
			f.next, c.behind = m.Lacks.From, true
		}
	case m.Ask != nil && c.leads:
		c.propose(c.entryOf(m.Ask))
	case m.Ask != nil && c.relays():
		c.pass(m.Ask)
	}
}

// store has something written before what follows from it.
func (c *Core) store(kept *consensus.Kept, then func()) {
	c.storing = append(c.storing, &storing{kept, then})
	if len(c.storing) == 1 {
		c.do(Effect{Kind: Store, Kept: kept})
	}
}

func (c *Core) stored() {
	if len(c.storing) == 0 {
		return
	}
	s := c.storing[0]
	c.storing = c.storing[1:]
	if len(c.storing) > 0 {
		c.do(Effect{Kind: Store, Kept: c.storing[0].kept})
	}
	s.then()
}

// agreed performs what agreement asks for, in its order: what comes of an effect waits
// until those before it are done.
func (c *Core) agreed(effects []consensus.Effect) {
	c.agreeing = append(c.agreeing, effects...)
	if c.inside {
		return
	}
	c.inside = true
	defer func() { c.inside = false }()
	for len(c.agreeing) > 0 {
		e := c.agreeing[0]
		c.agreeing = c.agreeing[1:]
		switch e.Kind {
		case consensus.Send:
			c.send(e.To, c.addressOf(e.To), &Message{Agree: e.Bytes})
		case consensus.Store:
			if e.Kept.Hard != nil {
				c.hard = e.Kept.Hard
			}
			vote := c.vote
			c.store(e.Kept, func() {
				if vote == nil || c.vote != vote { // it votes no more
					return
				}
				c.agreed(c.vote.Step(c.now, consensus.Event{Kind: consensus.Stored}))
			})
		case consensus.Decided:
			c.apply(e.Record)
		case consensus.Restored:
			c.restore(e.Snapshot)
		case consensus.Confirmed:
			c.confirmed(e.Handle, e.Index)
		case consensus.Denied:
			c.denied(e.Handle)
		case consensus.Led:
			c.led(e.Leader)
		case consensus.Voting:
			c.kept = max(c.kept, c.b.KeepAtMost) // who votes anew is given a snapshot that names it
			c.voters = e.Voters
		}
	}
}

// apply takes the next record. What it asks of the reducer is worked out afterwards,
// from the state alone, so that a snapshot leads to the same.
func (c *Core) apply(r consensus.Record) {
	if r.Index <= c.state.Index || c.bad != nil {
		return
	}
	data := r.Data
	if r.Conf {
		data = nil
	}
	before, members := c.state.Version, len(c.state.Members)
	if err := c.state.Apply(r.Index, data); err != nil {
		c.bad = err.(fleet.Remedied)
		c.wrong(c.bad)
		return
	}
	c.enrol(members)
	c.term = r.Term
	c.log = append(c.log, r)
	c.kept++
	if c.state.Version != before {
		c.say(true, "policy: version %d is in force", c.state.Version)
	}
	c.moved()
}

func (c *Core) restore(s *consensus.Snapshot) {
	if s == nil || s.Index <= c.state.Index || c.bad != nil {
		return
	}
	state, err := statemachine.DecodeState(s.Data)
	if err != nil {
		c.bad = err.(fleet.Remedied)
		c.wrong(c.bad)
		return
	}
	c.state, c.term, c.log, c.kept = state, s.Term, nil, 0
	c.enrolAll()
	c.coming = max(c.coming, s.Index)
	c.moved()
}

// moved: the state has changed.
func (c *Core) moved() {
	c.stirred, c.behind = true, true
	c.bury()
	c.lease()
	c.reconcile()
}

// bury ends this controller's part where the record says that its disk is destroyed.
func (c *Core) bury() {
	if m := c.state.Members[c.b.Self.Name]; m != nil && m.Forgotten {
		c.unwanted("its name was forgotten: the disk that had it is taken for destroyed")
	}
}

// retire ends voting where the record names others. Not before agreement itself counts
// without this controller: until then it takes a majority of those who voted to change them.
func (c *Core) retire() {
	if len(c.state.Voters) > 0 && !c.votes() && !c.leads {
		c.vote, c.leader = nil, ""
		c.coming = c.state.Index
		c.say(true, "this controller votes no more")
	}
}

// takeUp begins to vote where the record names this controller, once nothing of what it
// followed is on its way to the disk.
func (c *Core) takeUp() {
	if c.vote != nil || c.outvoted || !c.votes() || len(c.storing) > 0 || c.bad != nil {
		return
	}
	c.say(true, "this controller votes from now on")
	if err := c.voteWith(consensus.Kept{Hard: consensus.Voted(c.hard)}, nil); err != nil {
		c.say(true, "it can't vote: %v", err)
	}
}

// compact has a snapshot replace a log that has grown.
func (c *Core) compact() {
	if c.kept < c.b.KeepAtMost || len(c.storing) > 0 || c.bad != nil {
		return
	}
	c.kept = 0
	s := c.newSnapshot()
	if c.vote != nil {
		c.agreed(c.vote.Step(c.now, consensus.Event{Kind: consensus.Compacted, Snapshot: s}))
	} else {
		c.store(&consensus.Kept{Snapshot: s}, func() {})
	}
	if over := len(c.log) - c.b.KeepAtMost; over > 0 {
		c.log = slices.Clone(c.log[over:])
	}
}

// Following.

// followed takes what the leader passes on to those who don't vote.
func (c *Core) followed(from string, f *Follow) {
	c.retire() // who leads passes the record on to those only who don't vote with it
	if c.vote != nil && !c.leads && f.Decided > c.state.Index && c.now-c.spoken > 2*c.b.Election {
		// It was voted out while it was away, and can't learn that from agreement.
		c.vote, c.leader, c.outvoted = nil, f.Leader, true
		c.coming = c.state.Index
		c.say(true, "this controller votes no more: others do by now")
	}
	if c.vote != nil {
		return
	}
	if f.Leader != "" {
		c.leader = f.Leader
	}
	if s := f.Snapshot; s != nil && s.Index > c.coming {
		c.coming = s.Index
		c.store(&consensus.Kept{Snapshot: s}, func() { c.restore(s) })
	}
	var fresh []consensus.Record
	for _, r := range f.Records {
		if r.Index == c.coming+1 {
			fresh = append(fresh, r)
			c.coming = r.Index
		}
	}
	if len(fresh) > 0 {
		c.store(&consensus.Kept{Records: fresh}, func() {
			for _, r := range fresh {
				c.apply(r)
			}
			c.news = true
		})
	} else if f.Decided > c.coming {
		c.send(from, c.addressOf(from), &Message{Lacks: &Lacks{From: c.coming + 1}})
	}
}

func (c *Core) voting(name string) bool {
	return slices.ContainsFunc(c.voters, func(v consensus.Voter) bool { return v.Name == name })
}

// State is what the record says here, for tests; it must not be changed.
func (c *Core) State() *statemachine.State { return c.state }

// Leads tells whether this controller leads, as far as it knows.
func (c *Core) Leads() bool { return c.leads }

func sorted[T any](m map[string]T) (l []string) {
	for k := range m {
		l = append(l, k)
	}
	slices.SortFunc(l, strings.Compare)
	return l
}
