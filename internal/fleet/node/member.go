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
	leader             string // who leads, as far as is known
	voterHint          int    // whom to ask while nobody is known to lead
	routes             routes // through which relay it asks
	renewalSeq         uint64
	renewAt            time.Duration
	unansweredSince    time.Duration
	unreported         bool // something of the below has changed since it was last told
	caughtUp           bool // a lease was given in this run: what came before is known
	leaseUntil         time.Duration
	confinedLeaseUntil time.Duration // the same for bound teams
	pendingLeases      []pendingLease
	leaderWaitsFor     map[string][]string // by run: who is waited for, as the leader told last
	refusedReason      string

	policies             map[uint64]*validatedPolicy // by version: what the set-up made of it
	validations          map[string]*validation      // by change; that in force has a key of its own
	fenceOrderedFor      string                      // the reducer was told to stop for this change
	orderedVersion       uint64                      // the version that it was told to decide by, 0: none
	servedVersion        uint64                      // and said it does
	fenceConfirmedFor    string                      // the change it said it stopped for
	viewIndex            uint64                      // the state that its picture is of
	invalidationsOrdered map[string]bool             // purges that it was told
	tombstoned           map[string]bool             // of those, whose results don't come out any more
	erased               map[string]fleet.Counts
	servingSites         []string
	attemptsOutside      int
}

// pending is a lease that counts once the record up to index is applied.
type pendingLease struct {
	askedAt time.Duration
	index   uint64
}

// taken is a policy as the set-up has it. The sum is its text's: what was withdrawn had
// the same version.
type validatedPolicy struct {
	checksum     uint64
	policy       any
	watchedRules []fleet.Watched
	// rulesUnknown: there may be rules that watched doesn't name
	residencyRulesUnknown bool
}

// checking is a policy that the set-up is asked about.
type validation struct {
	version     uint64
	checksum    uint64
	done        bool
	reason      string
	purgeScopes []fleet.Scope
	voters      []string
}

func (m *member) init() {
	m.leaderWaitsFor, m.policies = map[string][]string{}, map[uint64]*validatedPolicy{}
	m.validations, m.invalidationsOrdered, m.tombstoned, m.erased = map[string]*validation{}, map[string]bool{}, map[string]bool{}, map[string]fleet.Counts{}
}

// every is how often a lease is asked for: the shorter one must go on, too.
func (c *Core) renewalInterval() time.Duration {
	span := c.shorterLease()
	if span == fleet.Forever {
		return 500 * time.Millisecond
	}
	return max(10*time.Millisecond, min(span/4, 500*time.Millisecond))
}

// renew asks for the lease when it is time, or tells at once what is new.
func (c *Core) renewLease() {
	if c.refusedReason != "" {
		c.renewAt = c.now + time.Minute
		return
	}
	if c.now < c.renewAt && !c.unreported {
		return
	}
	if c.isLeader { // a late word of another leader must not have it ask elsewhere
		c.leader = c.config.Self.Name
	}
	if c.leader == c.config.Self.Name && !c.isLeader { // another may not have heard yet that it leads no more
		c.leader = ""
	}
	upstreams := c.upstreams()
	if len(upstreams) == 0 {
		return
	}
	c.unreported = false
	c.renewAt = c.now + c.renewalInterval()
	if c.unansweredSince == 0 {
		c.unansweredSince = c.now
	}
	c.renewalSeq++
	r := &LeaseRenewal{Member: c.config.Self, Incarnation: c.config.Incarnation, Seq: c.renewalSeq, SentAt: int64(c.now), AppliedIndex: c.state.Index, Votes: c.consensus != nil, PolicyVersion: c.servedVersion, FencedFor: c.fenceConfirmedFor,
		ServingSites: c.servingSites, AttemptsOutside: c.attemptsOutside}
	if u := c.state.ChangeUnderWay(); u != nil {
		if k := c.validations[u.ID]; k != nil && k.done {
			r.ValidationResults = map[string]string{u.ID: k.reason}
		}
	}
	r.Tombstoned = append(r.Tombstoned, sorted(c.tombstoned)...)
	r.Erased = maps.Clone(c.erased)
	for _, to := range upstreams {
		c.send(to.Name, to.Address, &Message{Renewal: r})
	}
}

// granted: the leader's word on a Renew.
func (c *Core) receiveGrant(from string, g *LeaseGrant) {
	if g.Incarnation != c.config.Incarnation || g.Seq > c.renewalSeq {
		return
	}
	if g.RefusedReason != "" {
		c.stopForGood(g.RefusedReason)
		return
	}
	if route := c.routeOf(from); g.Granted || route == len(c.config.Relays) { // one that is no relay only names the leader
		c.routes.recordAnswer(route, c.now, c.unansweredSince > 0, firstRelayRetryIntervals*c.renewalInterval())
		c.unansweredSince = 0
	}
	if !g.Granted {
		if g.Leader == c.config.Self.Name { // it led, and another may not know better yet
			return
		}
		if g.Leader != c.leader && (c.consensus == nil || g.Leader != "") || c.leader == "" {
			if c.leader = g.Leader; c.leader != "" && c.leader != from {
				c.renewAt = c.now
			}
		}
		return
	}
	if c.consensus == nil {
		c.leader = cmp.Or(g.Leader, from)
	}
	c.leaderWaitsFor = g.WaitingFor
	c.pendingLeases = append(c.pendingLeases, pendingLease{time.Duration(g.SentAt), g.RequiredIndex})
	c.activateLeases()
}

// unwanted: this name or disk never serves again. What it holds ends now, since a lease
// without an end wouldn't by itself.
func (c *Core) stopForGood(why string) {
	if c.refusedReason != "" {
		return
	}
	c.refusedReason = why
	c.logError(&fleet.UnwantedError{Name: c.config.Self.Name, Why: why})
	c.pendingLeases, c.leaseUntil, c.confinedLeaseUntil = nil, 0, 0
	c.emit(Effect{Kind: OrderController, Order: fleet.Order{Kind: fleet.Renewed}})
}

// lease makes those leases count whose record is applied. It counts from when it was
// asked for, by this controller's own clock.
func (c *Core) activateLeases() {
	until, bound := c.leaseUntil, c.confinedLeaseUntil // apart: the one may have no end, and the other must go on
	c.pendingLeases = slices.DeleteFunc(c.pendingLeases, func(p pendingLease) bool {
		if p.index > c.state.Index {
			return c.config.Lease != fleet.Forever && c.now-p.askedAt > c.config.Lease
		}
		until, bound = max(until, c.leaseEnd(p.askedAt, c.config.Lease)), max(bound, c.leaseEnd(p.askedAt, c.config.ConfinedLease))
		return true
	})
	if until <= c.leaseUntil && bound <= c.confinedLeaseUntil || c.stateError != nil || c.refusedReason != "" {
		return
	}
	if !c.caughtUp {
		c.caughtUp = true
		c.logf(false, "the record is caught up with, at %d", c.state.Index)
	}
	c.leaseUntil, c.confinedLeaseUntil = until, bound
	c.orderOutstanding() // before the lease: what is forbidden by now must be known first
	c.emit(Effect{Kind: OrderController, Order: fleet.Order{Kind: fleet.Renewed, Until: until, UntilBound: bound}})
}

func (c *Core) leaseEnd(from, span time.Duration) time.Duration {
	if span == fleet.Forever {
		return fleet.Forever
	}
	return from + span
}

// serves: it holds a lease and decides by the version in force.
func (c *Core) serves() bool {
	return c.now < c.leaseUntil && c.servedVersion == c.state.Version && c.fenceOrderedFor == ""
}

// reconcile tells the reducer what the state asks for and it was not told yet. Before
// this run's first lease it is told nothing: what is known may be old.
func (c *Core) orderOutstanding() {
	u := c.state.ChangeUnderWay()
	if !c.caughtUp || c.stateError != nil {
		return
	}
	if u != nil && u.Phase == statemachine.Closing {
		if c.fenceOrderedFor != u.ID {
			c.fenceOrderedFor, c.orderedVersion, c.servedVersion = u.ID, 0, 0
			c.emit(Effect{Kind: OrderController, Order: fleet.Order{Kind: fleet.Shut, Change: u.ID}})
		}
	}
	if c.orderedVersion != 0 && c.orderedVersion != c.state.Version { // a snapshot went past the close: the lease to come is not for the old one
		c.fenceOrderedFor, c.orderedVersion, c.servedVersion = fmt.Sprintf("version %d", c.state.Version), 0, 0
		c.emit(Effect{Kind: OrderController, Order: fleet.Order{Kind: fleet.Shut, Change: c.fenceOrderedFor}})
	}
	if c.viewIndex == 0 { // nothing is taken yet, and purges are measured by it
		c.orderView()
	}
	for _, id := range sorted(c.state.Purges) {
		c.orderInvalidation(c.state.Purges[id])
	}
	// the record knows old ones no more, and neither need this
	maps.DeleteFunc(c.invalidationsOrdered, func(id string, _ bool) bool { return c.state.Purges[id] == nil })
	if c.state.ViewIndex > c.viewIndex {
		c.orderView()
	}
	have, sum := c.policies[c.state.Version], xxhash.Sum64(c.state.Policy)
	if c.orderedVersion != c.state.Version && (have == nil || have.checksum != sum) {
		have = nil
		key := fmt.Sprintf("in force %d %x", c.state.Version, sum)
		if c.validations[key] == nil {
			c.validatePolicy(key, c.state.Version, c.state.Policy)
		}
		if !c.validations[key].done {
			return // the next is held against it
		}
	}
	if u != nil && c.validations[u.ID] == nil {
		c.validatePolicy(u.ID, u.Version, u.Policy)
	}
	if u != nil && u.Phase == statemachine.Closing || c.orderedVersion == c.state.Version || have == nil {
		return
	}
	c.orderedVersion, c.servedVersion, c.fenceOrderedFor, c.fenceConfirmedFor = c.state.Version, 0, "", ""
	maps.DeleteFunc(c.policies, func(v uint64, _ *validatedPolicy) bool { return v < c.orderedVersion })
	maps.DeleteFunc(c.validations, func(id string, k *validation) bool { return k.version < c.orderedVersion })
	c.emit(Effect{Kind: OrderController, Order: fleet.Order{Kind: fleet.Open, Version: c.orderedVersion, Policy: have.policy}})
}

// pictured shows the reducer the state.
func (c *Core) orderView() {
	c.viewIndex = max(1, c.state.Index)
	c.emit(Effect{Kind: OrderController, Order: fleet.Order{Kind: fleet.Pictured, Picture: c.state.Picture()}})
}

// watched are the rules in force that name further sites.
func (c *Core) watchedRules() []fleet.Watched {
	if have := c.policies[c.state.Version]; have != nil && c.orderedVersion == c.state.Version {
		return have.watchedRules
	}
	return nil
}

// rulesUnknown: rules may be in force that this process doesn't know.
func (c *Core) residencyRulesUnknown() bool {
	have := c.policies[c.state.Version]
	return have != nil && have.residencyRulesUnknown
}

// check has a policy held against this controller's own set-up.
func (c *Core) validatePolicy(change string, version uint64, text []byte) {
	c.validations[change] = &validation{version: version, checksum: xxhash.Sum64(text)}
	c.emit(Effect{Kind: ValidatePolicy, ChangeID: change, PolicyText: text})
}

func (c *Core) policyValidated(ev Event) {
	k := c.validations[ev.ChangeID]
	if k == nil || k.done {
		return
	}
	k.done, k.reason, k.purgeScopes, k.voters = true, ev.Reason, ev.PurgeScopes, ev.Voters
	c.unreported, c.reevaluate = true, true
	if ev.Reason == "" {
		c.policies[k.version] = &validatedPolicy{checksum: k.checksum, policy: ev.Policy, watchedRules: ev.WatchedRules, residencyRulesUnknown: ev.ResidencyRulesUnknown}
	} else if strings.HasPrefix(ev.ChangeID, "in force ") {
		c.logError(&fleet.UnfitError{Version: k.version, Why: ev.Reason})
	}
	c.orderOutstanding()
}

// purge tells the reducer of a purge once, and says for those that don't concern this
// controller that there is nothing of them here.
func (c *Core) orderInvalidation(r *statemachine.PurgeRun) {
	if r.Stage == fleet.Erased {
		if c.invalidationsOrdered[r.ID] {
			delete(c.tombstoned, r.ID)
			delete(c.erased, r.ID)
		}
		return
	}
	if c.invalidationsOrdered[r.ID] {
		return
	}
	c.invalidationsOrdered[r.ID] = true
	if len(r.Scope.Outside) > 0 && slices.Contains(r.Scope.Outside, c.config.Self.Site) {
		c.tombstoned[r.ID], c.erased[r.ID], c.unreported = true, fleet.Counts{}, true
		return
	}
	scope := r.Scope
	c.emit(Effect{Kind: OrderController, Order: fleet.Order{Kind: fleet.Drop, ID: r.ID, Scope: &scope, Index: r.LogIndex}})
}

func (c *Core) controllerReported(r fleet.Report) {
	switch r.Kind {
	case fleet.Closed:
		if r.Change == c.fenceOrderedFor {
			c.fenceConfirmedFor, c.unreported = r.Change, true
		}
	case fleet.Opened:
		if r.Version == c.orderedVersion { // with what runs outside by this version: that by the one before is of no use
			c.servedVersion, c.attemptsOutside, c.unreported = r.Version, r.Outside, true
		}
	case fleet.Unreached:
		c.unreported = c.unreported || !c.tombstoned[r.ID]
		c.tombstoned[r.ID] = true
	case fleet.Wiped:
		if _, had := c.erased[r.ID]; !had {
			c.erased[r.ID], c.unreported = r.Counts, true
		}
	case fleet.Sites:
		if !slices.Equal(c.servingSites, r.Sites) || (c.attemptsOutside == 0) != (r.Outside == 0) {
			c.unreported = true
		}
		c.servingSites, c.attemptsOutside = r.Sites, r.Outside
	case fleet.Wanted:
		if r.Ask != nil {
			c.operatorRequested(r.Ask, 0)
		}
	}
}
