package node

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// member is the part that every controller has: its lease, what its reducer was told,
// and what it tells the leader of itself.
type member struct {
	leader     string // who leads, as far as is known
	hint       int    // whom to ask while nobody is known to lead
	routes     routes // through which relay it asks
	seq        uint64
	renewAt    time.Duration
	askedAt    time.Duration
	news       bool // something of the below has changed since it was last told
	caught     bool // a lease was given in this run: what came before is known
	until      time.Duration
	untilBound time.Duration // the same for bound teams
	pending    []pending
	told       map[string][]string // by run: who is waited for, as the leader told last
	refused    string

	policies map[uint64]*taken    // by version: what the set-up made of it
	checks   map[string]*checking // by change; that in force has a key of its own
	shutFor  string               // the reducer was told to stop for this change
	open     uint64               // the version that it was told to decide by, 0: none
	opened   uint64               // and said it does
	closed   string               // the change it said it stopped for
	seen     uint64               // the state that its picture is of
	dropped  map[string]bool      // purges that it was told
	here     map[string]bool      // of those, whose results don't come out any more
	wiped    map[string]fleet.Counts
	sites    []string
	outside  int
}

// pending is a lease that counts once the record up to index is applied.
type pending struct {
	sent  time.Duration
	index uint64
}

// taken is a policy as the set-up has it. The sum is its text's: what was withdrawn had
// the same version.
type taken struct {
	sum     uint64
	policy  any
	watched []fleet.Watched
	// rulesUnknown: there may be rules that watched doesn't name
	rulesUnknown bool
}

// checking is a policy that the set-up is asked about.
type checking struct {
	version uint64
	sum     uint64
	done    bool
	why     string
	scopes  []fleet.Scope
	voters  []string
}

func (m *member) start() {
	m.told, m.policies = map[string][]string{}, map[uint64]*taken{}
	m.checks, m.dropped, m.here, m.wiped = map[string]*checking{}, map[string]bool{}, map[string]bool{}, map[string]fleet.Counts{}
}

// every is how often a lease is asked for: the shorter one must go on, too.
func (c *Core) every() time.Duration {
	span := c.bound()
	if span == fleet.Forever {
		return 500 * time.Millisecond
	}
	return max(10*time.Millisecond, min(span/4, 500*time.Millisecond))
}

// renew asks for the lease when it is time, or tells at once what is new.
func (c *Core) renew() {
	if c.refused != "" {
		c.renewAt = c.now + time.Minute
		return
	}
	if c.now < c.renewAt && !c.news {
		return
	}
	if c.leads { // a late word of another leader must not have it ask elsewhere
		c.leader = c.b.Self.Name
	}
	if c.leader == c.b.Self.Name && !c.leads { // another may not have heard yet that it leads no more
		c.leader = ""
	}
	upstreams := c.upstreams()
	if len(upstreams) == 0 {
		return
	}
	c.news = false
	c.renewAt = c.now + c.every()
	if c.askedAt == 0 {
		c.askedAt = c.now
	}
	c.seq++
	r := &Renew{Member: c.b.Self, Boot: c.b.Boot, Seq: c.seq, Sent: int64(c.now), Applied: c.state.Index, Votes: c.vote != nil, Version: c.opened, Closed: c.closed,
		Sites: c.sites, Outside: c.outside}
	if u := c.state.Under(); u != nil {
		if k := c.checks[u.ID]; k != nil && k.done {
			r.Ready = map[string]string{u.ID: k.why}
		}
	}
	r.Unreached = append(r.Unreached, sorted(c.here)...)
	r.Wiped = maps.Clone(c.wiped)
	for _, to := range upstreams {
		c.send(to.Name, to.Address, &Message{Renew: r})
	}
}

// granted: the leader's word on a Renew.
func (c *Core) granted(from string, g *Grant) {
	if g.Boot != c.b.Boot || g.Seq > c.seq {
		return
	}
	if g.Why != "" {
		c.unwanted(g.Why)
		return
	}
	if route := c.routeOf(from); g.Given || route == len(c.b.Relays) { // one that is no relay only names the leader
		c.routes.answered(route, c.now, c.askedAt > 0, relayRetryEach*c.every())
		c.askedAt = 0
	}
	if !g.Given {
		if g.Leader == c.b.Self.Name { // it led, and another may not know better yet
			return
		}
		if g.Leader != c.leader && (c.vote == nil || g.Leader != "") || c.leader == "" {
			if c.leader = g.Leader; c.leader != "" && c.leader != from {
				c.renewAt = c.now
			}
		}
		return
	}
	if c.vote == nil {
		c.leader = cmp.Or(g.Leader, from)
	}
	c.told = g.Waits
	c.pending = append(c.pending, pending{time.Duration(g.Sent), g.Index})
	c.lease()
}

// unwanted: this name or disk never serves again. What it holds ends now, since a lease
// without an end wouldn't by itself.
func (c *Core) unwanted(why string) {
	if c.refused != "" {
		return
	}
	c.refused = why
	c.wrong(&fleet.UnwantedError{Name: c.b.Self.Name, Why: why})
	c.pending, c.until, c.untilBound = nil, 0, 0
	c.do(Effect{Kind: Order, Order: fleet.Order{Kind: fleet.Renewed}})
}

// lease makes those leases count whose record is applied. It counts from when it was
// asked for, by this controller's own clock.
func (c *Core) lease() {
	until, bound := c.until, c.untilBound // apart: the one may have no end, and the other must go on
	c.pending = slices.DeleteFunc(c.pending, func(p pending) bool {
		if p.index > c.state.Index {
			return c.b.Lease != fleet.Forever && c.now-p.sent > c.b.Lease
		}
		until, bound = max(until, c.ends(p.sent, c.b.Lease)), max(bound, c.ends(p.sent, c.b.LeaseBound))
		return true
	})
	if until <= c.until && bound <= c.untilBound || c.bad != nil || c.refused != "" {
		return
	}
	if !c.caught {
		c.caught = true
		c.say(false, "the record is caught up with, at %d", c.state.Index)
	}
	c.until, c.untilBound = until, bound
	c.reconcile() // before the lease: what is forbidden by now must be known first
	c.do(Effect{Kind: Order, Order: fleet.Order{Kind: fleet.Renewed, Until: until, UntilBound: bound}})
}

func (c *Core) ends(from, span time.Duration) time.Duration {
	if span == fleet.Forever {
		return fleet.Forever
	}
	return from + span
}

// serves: it holds a lease and decides by the version in force.
func (c *Core) serves() bool {
	return c.now < c.until && c.opened == c.state.Version && c.shutFor == ""
}

// reconcile tells the reducer what the state asks for and it was not told yet. Before
// this run's first lease it is told nothing: what is known may be old.
func (c *Core) reconcile() {
	u := c.state.Under()
	if !c.caught || c.bad != nil {
		return
	}
	if u != nil && u.Phase == statemachine.Closing {
		if c.shutFor != u.ID {
			c.shutFor, c.open, c.opened = u.ID, 0, 0
			c.do(Effect{Kind: Order, Order: fleet.Order{Kind: fleet.Shut, Change: u.ID}})
		}
	}
	if c.open != 0 && c.open != c.state.Version { // a snapshot went past the close: the lease to come is not for the old one
		c.shutFor, c.open, c.opened = fmt.Sprintf("version %d", c.state.Version), 0, 0
		c.do(Effect{Kind: Order, Order: fleet.Order{Kind: fleet.Shut, Change: c.shutFor}})
	}
	if c.seen == 0 { // nothing is taken yet, and purges are measured by it
		c.pictured()
	}
	for _, id := range sorted(c.state.Purges) {
		c.purge(c.state.Purges[id])
	}
	// the record knows old ones no more, and neither need this
	maps.DeleteFunc(c.dropped, func(id string, _ bool) bool { return c.state.Purges[id] == nil })
	if c.state.Seen > c.seen {
		c.pictured()
	}
	have, sum := c.policies[c.state.Version], xxhash.Sum64(c.state.Policy)
	if c.open != c.state.Version && (have == nil || have.sum != sum) {
		have = nil
		key := fmt.Sprintf("in force %d %x", c.state.Version, sum)
		if c.checks[key] == nil {
			c.check(key, c.state.Version, c.state.Policy)
		}
		if !c.checks[key].done {
			return // the next is held against it
		}
	}
	if u != nil && c.checks[u.ID] == nil {
		c.check(u.ID, u.Version, u.Policy)
	}
	if u != nil && u.Phase == statemachine.Closing || c.open == c.state.Version || have == nil {
		return
	}
	c.open, c.opened, c.shutFor, c.closed = c.state.Version, 0, "", ""
	maps.DeleteFunc(c.policies, func(v uint64, _ *taken) bool { return v < c.open })
	maps.DeleteFunc(c.checks, func(id string, k *checking) bool { return k.version < c.open })
	c.do(Effect{Kind: Order, Order: fleet.Order{Kind: fleet.Open, Version: c.open, Policy: have.policy}})
}

// pictured shows the reducer the state.
func (c *Core) pictured() {
	c.seen = max(1, c.state.Index)
	c.do(Effect{Kind: Order, Order: fleet.Order{Kind: fleet.Pictured, Picture: c.state.Picture()}})
}

// watched are the rules in force that name further sites.
func (c *Core) watched() []fleet.Watched {
	if have := c.policies[c.state.Version]; have != nil && c.open == c.state.Version {
		return have.watched
	}
	return nil
}

// rulesUnknown: rules may be in force that this process doesn't know.
func (c *Core) rulesUnknown() bool {
	have := c.policies[c.state.Version]
	return have != nil && have.rulesUnknown
}

// check has a policy held against this controller's own set-up.
func (c *Core) check(change string, version uint64, text []byte) {
	c.checks[change] = &checking{version: version, sum: xxhash.Sum64(text)}
	c.do(Effect{Kind: Check, Change: change, Text: text})
}

func (c *Core) checked(ev Event) {
	k := c.checks[ev.Change]
	if k == nil || k.done {
		return
	}
	k.done, k.why, k.scopes, k.voters = true, ev.Why, ev.Scopes, ev.Voters
	c.news, c.stirred = true, true
	if ev.Why == "" {
		c.policies[k.version] = &taken{sum: k.sum, policy: ev.Policy, watched: ev.Watched, rulesUnknown: ev.RulesUnknown}
	} else if strings.HasPrefix(ev.Change, "in force ") {
		c.wrong(&fleet.UnfitError{Version: k.version, Why: ev.Why})
	}
	c.reconcile()
}

// purge tells the reducer of a purge once, and says for those that don't concern this
// controller that there is nothing of them here.
func (c *Core) purge(r *statemachine.Run) {
	if r.Stage == fleet.Erased {
		if c.dropped[r.ID] {
			delete(c.here, r.ID)
			delete(c.wiped, r.ID)
		}
		return
	}
	if c.dropped[r.ID] {
		return
	}
	c.dropped[r.ID] = true
	if len(r.Scope.Outside) > 0 && slices.Contains(r.Scope.Outside, c.b.Self.Site) {
		c.here[r.ID], c.wiped[r.ID], c.news = true, fleet.Counts{}, true
		return
	}
	scope := r.Scope
	c.do(Effect{Kind: Order, Order: fleet.Order{Kind: fleet.Drop, ID: r.ID, Scope: &scope, Index: r.At}})
}

func (c *Core) reported(r fleet.Report) {
	switch r.Kind {
	case fleet.Closed:
		if r.Change == c.shutFor {
			c.closed, c.news = r.Change, true
		}
	case fleet.Opened:
		if r.Version == c.open { // with what runs outside by this version: that by the one before is of no use
			c.opened, c.outside, c.news = r.Version, r.Outside, true
		}
	case fleet.Unreached:
		c.news = c.news || !c.here[r.ID]
		c.here[r.ID] = true
	case fleet.Wiped:
		if _, had := c.wiped[r.ID]; !had {
			c.wiped[r.ID], c.news = r.Counts, true
		}
	case fleet.Sites:
		if !slices.Equal(c.sites, r.Sites) || (c.outside == 0) != (r.Outside == 0) {
			c.news = true
		}
		c.sites, c.outside = r.Sites, r.Outside
	case fleet.Wanted:
		if r.Ask != nil {
			c.asked(r.Ask, 0)
		}
	}
}
