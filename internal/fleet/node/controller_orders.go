package node

import (
	"fmt"
	"maps"
	"slices"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// controllerState is what this process's request side (package controller) was told by
// orders, and what it has confirmed by reports, which the next renewal tells the leader.
//
// Of a configuration change it goes through these states, by fenceOrderedFor,
// orderedVersion and servedVersion:
//
//	serving    orderedVersion = servedVersion = the committed version
//	fencing    fenceOrderedFor = the change, until it is reported closed
//	fenced     fenceConfirmedFor = the change: nothing is decided by the old version
//	opening    orderedVersion = the committed version, until it is reported opened
//	serving    as above, by the new version, or by the old one if the change was aborted
type controllerState struct {
	// Policies.
	policies    map[uint64]*validatedPolicy // that can be served by, by version
	validations map[string]*validation      // by change; that of the committed policy has a key of its own

	// Fences and versions.
	fenceOrderedFor   string // the change that it was ordered to stop for, "": none
	fenceConfirmedFor string // the change that it has stopped for
	orderedVersion    uint64 // that it was ordered to decide by, 0: none
	servedVersion     uint64 // that it has confirmed

	// Invalidations, each by its ID.
	viewIndex            uint64 // of the state that it was shown last, 0: none was
	invalidationsOrdered map[string]bool
	tombstoned           map[string]bool                     // their results no longer come out here
	erased               map[string]fleet.InvalidationCounts // gone from memory and disk here

	// The engines that it sees.
	servingSites    []string // zones with engines that serve
	attemptsOutside int      // attempts of confined tenants outside their zones
}

func newControllerState() controllerState {
	return controllerState{
		policies:             map[uint64]*validatedPolicy{},
		validations:          map[string]*validation{},
		invalidationsOrdered: map[string]bool{},
		tombstoned:           map[string]bool{},
		erased:               map[string]fleet.InvalidationCounts{},
	}
}

func (c *Core) orderController(order fleet.Order) {
	c.emit(Effect{Kind: OrderController, Order: order})
}

// orderOutstanding orders what the state asks for and the request side was not told yet.
// Before the first lease of this incarnation it is told nothing: the state may be old.
func (c *Core) orderOutstanding() {
	if !c.caughtUp || c.stateError != nil {
		return
	}
	change := c.state.ChangeUnderWay()
	fencing := change != nil && change.Phase == statemachine.Fencing
	if fencing && c.fenceOrderedFor != change.ID {
		c.orderFence(change.ID)
	}
	if c.orderedVersion != 0 && c.orderedVersion != c.state.Version {
		// a snapshot went past the fence: the lease to come is not for the old version
		c.orderFence(fmt.Sprintf("version %d", c.state.Version))
	}
	c.orderInvalidations()

	committed, pending := c.committedPolicy()
	if pending { // the next policy is validated against it
		return
	}
	if change != nil && c.validations[change.ID] == nil {
		c.validatePolicy(change.ID, change.Version, change.Policy)
	}
	if fencing || c.orderedVersion == c.state.Version || committed == nil {
		return
	}
	c.orderOpen(committed)
}

// orderFence has the request side stop deciding by the version before a change.
func (c *Core) orderFence(change string) {
	c.fenceOrderedFor = change
	c.orderedVersion = 0
	c.servedVersion = 0
	c.orderController(fleet.Order{Kind: fleet.FencePolicy, ChangeID: change})
}

// orderOpen has the request side decide by the committed policy.
func (c *Core) orderOpen(committed *validatedPolicy) {
	c.orderedVersion = c.state.Version
	c.servedVersion = 0
	c.fenceOrderedFor = ""
	c.fenceConfirmedFor = ""
	maps.DeleteFunc(c.policies, func(v uint64, _ *validatedPolicy) bool { return v < c.orderedVersion })
	maps.DeleteFunc(c.validations, func(_ string, v *validation) bool { return v.version < c.orderedVersion })
	c.orderController(fleet.Order{
		Kind:    fleet.ActivatePolicy,
		Version: c.orderedVersion,
		Policy:  committed.policy,
	})
}

// orderInvalidations orders each invalidation once, and shows the state that it is part of.
func (c *Core) orderInvalidations() {
	if c.viewIndex == 0 { // invalidations are measured by the first view
		c.orderView()
	}
	for _, id := range sorted(c.state.Purges) {
		c.orderInvalidation(c.state.Purges[id])
	}
	// the state forgets old ones in time
	maps.DeleteFunc(c.invalidationsOrdered, func(id string, _ bool) bool { return c.state.Purges[id] == nil })
	if c.state.ViewIndex > c.viewIndex {
		c.orderView()
	}
}

// orderView shows the request side the state.
func (c *Core) orderView() {
	c.viewIndex = max(1, c.state.Index)
	c.orderController(fleet.Order{Kind: fleet.ViewChanged, View: c.state.View()})
}

// orderInvalidation orders an invalidation once. One that doesn't concern this
// controller's zone is reported as done: nothing of it is here.
func (c *Core) orderInvalidation(run *statemachine.Purge) {
	ordered := c.invalidationsOrdered[run.ID]
	if run.Stage == fleet.EntryErased {
		if ordered {
			delete(c.tombstoned, run.ID)
			delete(c.erased, run.ID)
		}
		return
	}
	if ordered {
		return
	}
	c.invalidationsOrdered[run.ID] = true
	if slices.Contains(run.Scope.OutsideSites, c.config.Self.Site) {
		c.tombstoned[run.ID] = true
		c.erased[run.ID] = fleet.InvalidationCounts{}
		c.unreported = true
		return
	}
	scope := run.Scope
	c.orderController(fleet.Order{Kind: fleet.InvalidateData, ID: run.ID, Scope: &scope, Index: run.LogIndex})
}

// controllerReported takes a report of the request side. What is new to the leader is
// reported by a renewal at once.
func (c *Core) controllerReported(r fleet.Report) {
	switch r.Kind {
	case fleet.PolicyFenced:
		if r.ChangeID == c.fenceOrderedFor {
			c.fenceConfirmedFor = r.ChangeID
			c.unreported = true
		}
	case fleet.PolicyActivated:
		if r.Version == c.orderedVersion {
			c.servedVersion = r.Version
			c.attemptsOutside = r.AttemptsOutside // by this version: the figure of the one before is of no use
			c.unreported = true
		}
	case fleet.DataTombstoned:
		c.unreported = c.unreported || !c.tombstoned[r.ID]
		c.tombstoned[r.ID] = true
	case fleet.DataErased:
		if _, had := c.erased[r.ID]; !had {
			c.erased[r.ID] = r.Counts
			c.unreported = true
		}
	case fleet.SitesServing:
		anyOutsideChanged := (c.attemptsOutside == 0) != (r.AttemptsOutside == 0)
		if anyOutsideChanged || !slices.Equal(c.servingSites, r.ServingSites) {
			c.unreported = true
		}
		c.servingSites = r.ServingSites
		c.attemptsOutside = r.AttemptsOutside
	case fleet.RequestMade:
		if r.Request != nil {
			c.operatorRequested(r.Request, 0)
		}
	}
}
