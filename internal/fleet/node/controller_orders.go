package node

import (
	"fmt"
	"maps"
	"slices"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// controllerState has the orders that the request side of this process (package controller) was
// given, and the reports by which it confirmed them. The next renewal reports them to the leader.
//
// During a policy change the request side passes through these states:
//
//	serving       orderedVersion = servedVersion = the committed version
//	fencing       fenceOrderedFor = the change, until PolicyFenced is reported
//	fenced        fenceConfirmedFor = the change: nothing is decided by the old version
//	activating    orderedVersion = the committed version, until PolicyActivated is reported
//	serving       as above, by the new version, or by the old one if the change was aborted
type controllerState struct {
	// Policies.
	policies    map[uint64]*validatedPolicy // policies that this controller can serve by, by version
	validations map[string]*validation      // by change ID; see committedKeyPrefix for the committed policy

	// Fences and versions.
	fenceOrderedFor   string // the change for which a fence was ordered, "": none
	fenceConfirmedFor string // the change for which the fence is confirmed
	orderedVersion    uint64 // the version ordered to decide by, 0: none
	servedVersion     uint64 // the version confirmed

	// Invalidations, by ID.
	viewIndex            uint64 // of the last View ordered, 0: none was
	invalidationsOrdered map[string]bool
	tombstoned           map[string]bool                     // data no longer served here
	erased               map[string]fleet.InvalidationCounts // data erased from memory and disk here

	// The last SitesServing report.
	servingSites    []string // sites with engines that serve
	attemptsOutside int      // attempts of confined tenants outside their sites
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

// orderOutstanding gives the request side every order that follows from the state and that it
// wasn't given yet. It requests the validations of the committed policy and of the change under way.
// Before the first lease of this incarnation there are neither, since the state may be out of date.
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
		// a snapshot skipped the fence: the next lease isn't valid for the old version
		c.orderFence(fmt.Sprintf("version %d", c.state.Version))
	}
	c.orderInvalidations()

	committed, pending := c.committedPolicy()
	if pending { // a change is validated only after the committed policy
		return
	}
	if change != nil && c.validations[change.ID] == nil {
		c.validatePolicy(change.ID, change.Version, change.Policy)
	}
	if fencing || c.orderedVersion == c.state.Version || committed == nil {
		return
	}
	c.orderActivation(committed)
}

// orderFence orders the request side to stop deciding by the version before a change.
func (c *Core) orderFence(changeID string) {
	c.fenceOrderedFor = changeID
	c.orderedVersion = 0
	c.servedVersion = 0
	c.orderController(fleet.Order{Kind: fleet.FencePolicy, ChangeID: changeID})
}

// orderActivation orders the request side to decide by the committed policy.
func (c *Core) orderActivation(committed *validatedPolicy) {
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

// orderInvalidations orders each invalidation once, and the View if it changed.
func (c *Core) orderInvalidations() {
	if c.viewIndex == 0 { // invalidations refer to log indexes of a view
		c.orderView()
	}
	for _, id := range sorted(c.state.Purges) {
		c.orderInvalidation(c.state.Purges[id])
	}
	// the state forgets old invalidations
	maps.DeleteFunc(c.invalidationsOrdered, func(id string, _ bool) bool { return c.state.Purges[id] == nil })
	if c.state.ViewIndex > c.viewIndex {
		c.orderView()
	}
}

// orderView gives the request side the current View.
func (c *Core) orderView() {
	c.viewIndex = max(1, c.state.Index)
	c.orderController(fleet.Order{Kind: fleet.ViewChanged, View: c.state.View()})
}

// orderInvalidation orders an invalidation once. If the invalidation excludes this controller's
// site, it is reported as done, since none of its data is here. Once the log has the data as erased
// everywhere, this controller's reports on the invalidation are deleted.
func (c *Core) orderInvalidation(purge *statemachine.Purge) {
	ordered := c.invalidationsOrdered[purge.ID]
	if purge.Stage == fleet.EntryErased {
		if ordered {
			delete(c.tombstoned, purge.ID)
			delete(c.erased, purge.ID)
		}
		return
	}
	if ordered {
		return
	}
	c.invalidationsOrdered[purge.ID] = true
	if slices.Contains(purge.Scope.OutsideSites, c.config.Self.Site) {
		c.tombstoned[purge.ID] = true
		c.erased[purge.ID] = fleet.InvalidationCounts{}
		c.unreported = true
		return
	}
	scope := purge.Scope
	c.orderController(fleet.Order{Kind: fleet.InvalidateData, ID: purge.ID, Scope: &scope,
		Index: purge.LogIndex})
}

// controllerReported handles a report of the request side. A renewal reports a change to the
// leader at once.
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
			c.attemptsOutside = r.AttemptsOutside // by this version; the previous count is obsolete
			c.unreported = true
		}
	case fleet.DataTombstoned:
		c.unreported = c.unreported || !c.tombstoned[r.ID]
		c.tombstoned[r.ID] = true
	case fleet.DataErased:
		if _, recorded := c.erased[r.ID]; !recorded {
			c.erased[r.ID] = r.Counts
			c.unreported = true
		}
	case fleet.SitesServing:
		outsideChanged := (c.attemptsOutside == 0) != (r.AttemptsOutside == 0)
		if outsideChanged || !slices.Equal(c.servingSites, r.ServingSites) {
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
