package fairqueue

import (
	"time"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

// applyConfig sets the configuration, with defaults for zero values, and builds the tenant tree without
// state. Lanes keep their state.
func (fq *Queue) applyConfig(config Config) {
	if config.AgeingLimit <= 0 {
		config.AgeingLimit = DefaultAgeingLimit
	}
	if config.MaxWaiting <= 0 {
		config.MaxWaiting = DefaultMaxWaiting
	}
	if config.OverrunFactor <= 1 {
		config.OverrunFactor = DefaultOverrunFactor
	}
	if config.NotifyThreshold <= 0 {
		config.NotifyThreshold = DefaultNotifyThreshold
	}
	fq.config, fq.tenants, fq.children = config, nil, nil
	fq.addTenants(config.Tenants, "", -1)
	hasDefault := false
	for _, record := range fq.tenants {
		hasDefault = hasDefault || record.isLeaf && record.Name == config.DefaultTenant
	}
	if !hasDefault { // adds a tenant for the calls that no other tenant owns
		fq.addTenants([]Tenant{{Name: "others", Weight: 1}}, "", -1)
	}
	fq.resolver = newTenantResolver(&fq.config, fq.tenants)
	if fq.lanes == nil {
		fq.lanes = make([]laneState, len(config.Lanes))
		fq.laneRatios = make([][2]float64, len(config.Lanes)*len(config.Lanes))
	}
	for i, l := range config.Lanes {
		fq.lanes[i].Lane = l
	}
	fq.root.heaps[withinQuota] = make([]virtualStartHeap, len(fq.lanes))
	fq.root.heaps[beyondQuota] = make([]virtualStartHeap, len(fq.lanes))
	fq.root.eligible = make([]int, len(fq.lanes))
	fq.root.backlog = make([]float64, len(fq.lanes))
	fq.root.virtualClocks = make([]virtualClock, len(fq.lanes)+1)
}

// addTenants appends tenants and, recursively, their children to the tenant list.
func (fq *Queue) addTenants(tenants []Tenant, prefix string, parent int) {
	for _, tenant := range tenants {
		index := len(fq.tenants)
		fq.tenants = append(fq.tenants, tenantRecord{
			Tenant: tenant,
			path:   prefix + tenant.Name,
			parent: parent,
			isLeaf: len(tenant.Children) == 0,
		})
		fq.children = append(fq.children, nil)
		if parent >= 0 {
			fq.children[parent] = append(fq.children[parent], index)
		}
		fq.addTenants(tenant.Children, prefix+tenant.Name+"/", index)
	}
}

// Reload replaces the configuration by one with the same lanes. Waiting and running queries
// keep their age and their tenant, or move to the default tenant if theirs was removed. Tenants keep
// their leads over their siblings, their token buckets, counts and measurements. Charges and corrections
// that are not yet in the virtual start times are dropped.
func (fq *Queue) Reload(now time.Duration, config Config) {
	fq.advance(now)
	var queries []*Query
	for i := range fq.lanes {
		for e := fq.lanes[i].waitingByAge.First(); e != nil; e = e.Next() {
			queries = append(queries, e.Value)
		}
	}
	waiting := len(queries)
	for e := fq.running.First(); e != nil; e = e.Next() {
		queries = append(queries, e.Value)
	}
	names := make([]string, len(fq.tenants))
	for i := range fq.tenants {
		names[i] = fq.tenants[i].Name
	}
	saved := fq.saveStates()
	for len(fq.deferredChargeNodes) > 0 {
		fq.settleDeferredCharges(time.Hour)
	}
	fq.idleNodes = intrusivelist.List[node]{}
	fq.overQuotaNodes = nil
	fq.nodeCount = 0
	fq.root = &node{weight: 1}
	fq.applyConfig(config)
	for i := range fq.lanes {
		fq.lanes[i].eligibleTenants = 0
		fq.lanes[i].sample = competitorSample{}
	}
	fq.restoreStates(saved)
	fq.reassign(queries, waiting, names)
	for i := range fq.tenants { // a quota stays exhausted over a reload
		if n := fq.tenants[i].state; n != nil && n.quota > 0 {
			fq.refill(n)
			fq.updateQuotaBand(n)
		}
	}
}

// savedState is the state that a tenant keeps over a reload.
type savedState struct {
	leads        []float64 // virtual start less the parent's virtual time, by clock
	tokens       float64
	tokensAt     time.Duration
	counts       Counts
	meanWork     []runningMean
	arrivalRates []arrivalRate
}

// saveStates returns the state of all tenants by path.
func (fq *Queue) saveStates() map[string]savedState {
	saved := map[string]savedState{}
	for i := range fq.tenants {
		n := fq.tenants[i].state
		if n == nil {
			continue
		}
		leads := make([]float64, len(n.virtualStart))
		for clock := range leads {
			leads[clock] = n.virtualStart[clock] - n.parent.virtualTime(clock)
		}
		saved[fq.tenants[i].path] = savedState{leads, n.tokens, n.tokensAt, n.counts, n.meanWork, n.arrivalRates}
	}
	return saved
}

// restoreStates restores the saved state of the tenants that are still configured.
func (fq *Queue) restoreStates(saved map[string]savedState) {
	for i := range fq.tenants {
		record := &fq.tenants[i]
		state, ok := saved[record.path]
		if !ok {
			continue
		}
		n := fq.node(i)
		n.virtualStart = state.leads
		n.counts = state.counts
		n.tokensAt = state.tokensAt
		if n.quota > 0 {
			n.tokens = min(n.burst, state.tokens)
		}
		if record.isLeaf && state.meanWork != nil {
			n.meanWork = state.meanWork
			n.arrivalRates = state.arrivalRates
		}
	}
}

// reassign assigns queries to the new tenants by the old tenants' names. The first waitingCount queries
// are waiting, the others run.
func (fq *Queue) reassign(queries []*Query, waitingCount int, tenantNames []string) {
	var eligible []*Query
	for i, q := range queries {
		tenant, ok := fq.resolver.byName[tenantNames[q.Tenant]]
		if !ok {
			tenant = fq.resolver.defaultTenant
		}
		q.Tenant = tenant
		q.leaf = fq.node(tenant)
		leaf := q.leaf
		fq.addActive(leaf)
		if i >= waitingCount {
			continue
		}
		leaf.waiting++
		q.workAhead = leaf.backlog[q.Lane]
		fq.addBacklog(q)
		if q.eligible {
			eligible = append(eligible, q)
		}
		q.queueElement = intrusivelist.Element[Query]{}
		q.eligible = false
	}
	// All queries need their new tenant first, because makeEligible may also unpark later queries of
	// the chain.
	for _, q := range eligible {
		if !q.eligible {
			fq.makeEligible(q)
		}
	}
}
