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
	if shape.NotifyChange <= 0 {
		shape.NotifyChange = DefaultNotifyChange
	}
	f.config, f.tenants, f.children = shape, nil, nil
	f.addTenants(shape.Tenants, "", -1)
	named := false
	for _, p := range f.tenants {
		named = named || p.isLeaf && p.Name == shape.DefaultTenant
	}
	if !named { // whoever belongs to no team
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
	f.root.heaps[withinQuota], f.root.heaps[beyondQuota] = make([]heap, len(f.lanes)), make([]heap, len(f.lanes))
	f.root.eligible = make([]int, len(f.lanes))
	f.root.backlog = make([]float64, len(f.lanes))
	f.root.virtualClocks = make([]virtualClock, len(f.lanes)+1)
}

func (f *Queue) addTenants(l []Tenant, path string, parent int) {
	for _, t := range l {
		at := len(f.tenants)
		f.tenants = append(f.tenants, tenantRecord{Tenant: t, path: path + t.Name, parent: parent, isLeaf: len(t.Children) == 0})
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
func (f *Queue) Reload(now time.Duration, shape Config) {
	f.advance(now)
	var all []*Query
	for i := range f.lanes {
		for e := f.lanes[i].byAge.First(); e != nil; e = e.Next() {
			all = append(all, e.Value)
		}
	}
	queued := len(all)
	for e := f.running.First(); e != nil; e = e.Next() {
		all = append(all, e.Value)
	}
	type kept struct {
		lead     []float64
		tokens   float64
		tokensAt time.Duration
		counts   Counts
		cost     []runningMean
		rate     []arrivalRate
	}
	had := map[string]kept{}
	names := make([]string, len(f.tenants))
	for i := range f.tenants {
		p := &f.tenants[i]
		names[i] = p.Name
		if n := p.state; n != nil {
			lead := make([]float64, len(n.virtualStart))
			for k := range lead {
				lead[k] = n.virtualStart[k] - n.parent.virtualTime(k)
			}
			had[p.path] = kept{lead, n.tokens, n.tokensAt, n.counts, n.usualCosts, n.arrivalRates}
		}
	}
	for len(f.debtors) > 0 {
		f.settleDebts(time.Hour)
	}
	f.idle, f.refills, f.nodeCount = intrusivelist.List[node]{}, nil, 0
	f.root = &node{weight: 1}
	f.applyConfig(shape)
	for i := range f.lanes {
		f.lanes[i].eligibleTenants, f.lanes[i].profile = 0, rivalProfile{}
	}
	for i := range f.tenants {
		p := &f.tenants[i]
		was, ok := had[p.path]
		if !ok {
			continue
		}
		n := f.node(i)
		n.virtualStart, n.counts, n.tokensAt = was.lead, was.counts, was.tokensAt
		if n.quota > 0 {
			n.tokens = min(n.burst, was.tokens)
		}
		if p.isLeaf && was.cost != nil {
			n.usualCosts, n.arrivalRates = was.cost, was.rate
		}
	}
	var offered []*Query
	for i, q := range all {
		team, ok := f.resolver.byName[names[q.Tenant]]
		if !ok {
			team = f.resolver.defaultTenant
		}
		q.Tenant, q.leaf = team, f.node(team)
		n := q.leaf
		f.addActive(n)
		if i >= queued {
			continue
		}
		n.waiting++
		q.workAhead = n.backlog[q.Lane]
		f.addBacklog(q)
		if q.eligible {
			offered = append(offered, q)
		}
		q.turnElement, q.eligible = intrusivelist.Element[Query]{}, false
	}
	// only now: one that is offered may bring back those parked behind it, which must
	// be in their new teams by then
	for _, q := range offered {
		if !q.eligible {
			f.makeEligible(q)
		}
	}
	for i := range f.tenants { // a budget used up before is so still
		if n := f.tenants[i].state; n != nil && n.quota > 0 {
			f.refill(n)
			f.updateQuotaBand(n)
		}
	}
}
