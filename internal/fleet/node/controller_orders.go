package node

import (
	"fmt"
	"maps"
	"slices"
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

func (m *member) init() {
	m.leaderWaitsFor, m.policies = map[string][]string{}, map[uint64]*validatedPolicy{}
	m.validations, m.invalidationsOrdered, m.tombstoned, m.erased = map[string]*validation{}, map[string]bool{}, map[string]bool{}, map[string]fleet.Counts{}
}

// reconcile tells the reducer what the state asks for and it was not told yet. Before
// this run's first lease it is told nothing: what is known may be old.
func (c *Core) orderOutstanding() {
	u := c.state.Under()
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
	if c.state.Seen > c.viewIndex {
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

// purge tells the reducer of a purge once, and says for those that don't concern this
// controller that there is nothing of them here.
func (c *Core) orderInvalidation(r *statemachine.Run) {
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
	c.emit(Effect{Kind: OrderController, Order: fleet.Order{Kind: fleet.Drop, ID: r.ID, Scope: &scope, Index: r.At}})
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
