package fairqueue

import (
	"time"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

func (f *Queue) applyConfig(shape Config) {
	if shape.AgeingLimit <= 0 {
		shape.AgeingLimit = DefaultAgeingLimit
	}
	if shape.MaxWaiting <= 0 {
		shape.MaxWaiting = DefaultMaxWaiting
	}
	if shape.OverrunFactor <= 1 {
		shape.OverrunFactor = DefaultOverrunFactor
	}
	if shape.NotifyThreshold <= 0 {
		shape.NotifyThreshold = DefaultNotifyThreshold
	}
	f.config, f.tenants, f.children = shape, nil, nil
	f.addTenants(shape.Tenants, "", -1)
	named := false
	for _, p := range f.tenants {
		named = named || p.isLeaf && p.Name == shape.DefaultTenant
	}
	if !named { // a tenant for the calls that belong to no other
		f.addTenants([]Tenant{{Name: "others", Weight: 1}}, "", -1)
	}
	f.resolver = newTenantResolver(&f.config, f.tenants)
	if f.lanes == nil {
		f.lanes = make([]lane, len(shape.Lanes))
		f.laneRatios = make([][2]float64, len(shape.Lanes)*len(shape.Lanes))
	}
	for i, l := range shape.Lanes {
		f.lanes[i].Lane = l
	}
	f.root.heaps[withinQuota] = make([]heap, len(f.lanes))
	f.root.heaps[beyondQuota] = make([]heap, len(f.lanes))
	f.root.eligible = make([]int, len(f.lanes))
	f.root.backlog = make([]float64, len(f.lanes))
	f.root.virtualClocks = make([]virtualClock, len(f.lanes)+1)
}

func (f *Queue) addTenants(l []Tenant, path string, parent int) {
	for _, t := range l {
		at := len(f.tenants)
		f.tenants = append(f.tenants, tenantRecord{
			Tenant: t,
			path:   path + t.Name,
			parent: parent,
			isLeaf: len(t.Children) == 0,
		})
		f.children = append(f.children, nil)
		if parent >= 0 {
			f.children[parent] = append(f.children[parent], at)
		}
		f.addTenants(t.Children, path+t.Name+"/", at)
	}
}

// Reload follows another configuration with the same lanes. Waiting and running queries keep
// their age and their tenant, or become the default tenant's if theirs is gone. Tenants keep
// their charges and the state of their token buckets.
func (f *Queue) Reload(now time.Duration, config Config) {
	f.advance(now)
	var queries []*Query
	for i := range f.lanes {
		for e := f.lanes[i].byAge.First(); e != nil; e = e.Next() {
			queries = append(queries, e.Value)
		}
	}
	waiting := len(queries)
	for e := f.running.First(); e != nil; e = e.Next() {
		queries = append(queries, e.Value)
	}
	names := make([]string, len(f.tenants))
	for i := range f.tenants {
		names[i] = f.tenants[i].Name
	}
	kept := f.keptStates()
	for len(f.debtors) > 0 {
		f.settleDebts(time.Hour)
	}
	f.idle = intrusivelist.List[node]{}
	f.refills = nil
	f.nodeCount = 0
	f.root = &node{weight: 1}
	f.applyConfig(config)
	for i := range f.lanes {
		f.lanes[i].eligibleTenants = 0
		f.lanes[i].profile = rivalProfile{}
	}
	f.restoreStates(kept)
	f.reassign(queries, waiting, names)
	for i := range f.tenants { // a quota used up before is so still
		if n := f.tenants[i].state; n != nil && n.quota > 0 {
			f.refill(n)
			f.updateQuotaBand(n)
		}
	}
}

// keptState is what a tenant keeps over a reload.
type keptState struct {
	lead     []float64 // of virtual start over the parent's virtual time, by lane
	tokens   float64
	tokensAt time.Duration
	counts   Counts
	cost     []runningMean
	rate     []arrivalRate
}

// keptStates collects the state of all tenants by path.
func (f *Queue) keptStates() map[string]keptState {
	kept := map[string]keptState{}
	for i := range f.tenants {
		n := f.tenants[i].state
		if n == nil {
			continue
		}
		lead := make([]float64, len(n.virtualStart))
		for k := range lead {
			lead[k] = n.virtualStart[k] - n.parent.virtualTime(k)
		}
		kept[f.tenants[i].path] = keptState{lead, n.tokens, n.tokensAt, n.counts, n.usualCosts, n.arrivalRates}
	}
	return kept
}

// restoreStates gives the tenants that are still configured their state again.
func (f *Queue) restoreStates(kept map[string]keptState) {
	for i := range f.tenants {
		p := &f.tenants[i]
		was, ok := kept[p.path]
		if !ok {
			continue
		}
		n := f.node(i)
		n.virtualStart = was.lead
		n.counts = was.counts
		n.tokensAt = was.tokensAt
		if n.quota > 0 {
			n.tokens = min(n.burst, was.tokens)
		}
		if p.isLeaf && was.cost != nil {
			n.usualCosts = was.cost
			n.arrivalRates = was.rate
		}
	}
}

// reassign puts queries, of which the first so many wait, into their tenants by name.
func (f *Queue) reassign(queries []*Query, waiting int, names []string) {
	var eligible []*Query
	for i, q := range queries {
		tenant, ok := f.resolver.byName[names[q.Tenant]]
		if !ok {
			tenant = f.resolver.defaultTenant
		}
		q.Tenant = tenant
		q.leaf = f.node(tenant)
		n := q.leaf
		f.addActive(n)
		if i >= waiting {
			continue
		}
		n.waiting++
		q.workAhead = n.backlog[q.Lane]
		f.addBacklog(q)
		if q.eligible {
			eligible = append(eligible, q)
		}
		q.turnElement = intrusivelist.Element[Query]{}
		q.eligible = false
	}
	// Only after all have their tenant: one made eligible may bring back those parked behind it.
	for _, q := range eligible {
		if !q.eligible {
			f.makeEligible(q)
		}
	}
}
