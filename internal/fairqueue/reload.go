package fairqueue

import (
	"time"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

func (c *Core) reshape(shape Shape) {
	if shape.Age <= 0 {
		shape.Age = DefaultAge
	}
	if shape.Waiting <= 0 {
		shape.Waiting = DefaultWaiting
	}
	if shape.Overrun <= 1 {
		shape.Overrun = DefaultOverrun
	}
	if shape.Tell <= 0 {
		shape.Tell = DefaultTell
	}
	c.shape, c.plans, c.children = shape, nil, nil
	c.plan(shape.Teams, "", -1)
	named := false
	for _, p := range c.plans {
		named = named || p.leaf && p.Name == shape.Default
	}
	if !named { // whoever belongs to no team
		c.plan([]Team{{Name: "others", Weight: 1}}, "", -1)
	}
	c.who = newWho(&c.shape, c.plans)
	if c.lanes == nil {
		c.lanes = make([]lane, len(shape.Lanes))
		c.pairs = make([][2]float64, len(shape.Lanes)*len(shape.Lanes))
	}
	for i, l := range shape.Lanes {
		c.lanes[i].Lane = l
	}
	c.root.heaps[within], c.root.heaps[beyond] = make([]heap, len(c.lanes)), make([]heap, len(c.lanes))
	c.root.ready = make([]int, len(c.lanes))
	c.root.backlog = make([]float64, len(c.lanes))
	c.root.clocks = make([]clock, len(c.lanes)+1)
}

func (c *Core) plan(l []Team, path string, parent int) {
	for _, t := range l {
		at := len(c.plans)
		c.plans = append(c.plans, plan{Team: t, path: path + t.Name, parent: parent, leaf: len(t.Teams) == 0})
		c.children = append(c.children, nil)
		if parent >= 0 {
			c.children[parent] = append(c.children[parent], at)
		}
		c.plan(t.Teams, path+t.Name+"/", at)
	}
}

// Reload follows another shape with the same lanes. What waits or runs goes on
// with its age, in its team if that is still there and else as the default team's;
// teams keep what they were charged and their budgets' state.
func (c *Core) Reload(now time.Duration, shape Shape) {
	c.at(now)
	var all []*Waiter
	for i := range c.lanes {
		for e := c.lanes[i].byAge.First(); e != nil; e = e.Next() {
			all = append(all, e.Value)
		}
	}
	queued := len(all)
	for e := c.running.First(); e != nil; e = e.Next() {
		all = append(all, e.Value)
	}
	type kept struct {
		lead     []float64
		tokens   float64
		tokensAt time.Duration
		counts   Counts
		cost     []mean
		rate     []rate
	}
	had := map[string]kept{}
	names := make([]string, len(c.plans))
	for i := range c.plans {
		p := &c.plans[i]
		names[i] = p.Name
		if n := p.at; n != nil {
			lead := make([]float64, len(n.tags))
			for k := range lead {
				lead[k] = n.tags[k] - n.parent.mean(k)
			}
			had[p.path] = kept{lead, n.tokens, n.tokensAt, n.counts, n.cost, n.rate}
		}
	}
	for len(c.debtors) > 0 {
		c.payAll(time.Hour)
	}
	c.idle, c.refills, c.nodes = intrusivelist.List[node]{}, nil, 0
	c.root = &node{weight: 1}
	c.reshape(shape)
	for i := range c.lanes {
		c.lanes[i].teams, c.lanes[i].profile = 0, profile{}
	}
	for i := range c.plans {
		p := &c.plans[i]
		was, ok := had[p.path]
		if !ok {
			continue
		}
		n := c.node(i)
		n.tags, n.counts, n.tokensAt = was.lead, was.counts, was.tokensAt
		if n.budget > 0 {
			n.tokens = min(n.burst, was.tokens)
		}
		if p.leaf && was.cost != nil {
			n.cost, n.rate = was.cost, was.rate
		}
	}
	var offered []*Waiter
	for i, w := range all {
		team, ok := c.who.names[names[w.Team]]
		if !ok {
			team = c.who.usual
		}
		w.Team, w.leaf = team, c.node(team)
		n := w.leaf
		c.occupy(n)
		if i >= queued {
			continue
		}
		n.waiting++
		w.ahead = n.backlog[w.Lane]
		c.queue(w)
		if w.inLeaf {
			offered = append(offered, w)
		}
		w.inTurn, w.inLeaf = intrusivelist.Element[Waiter]{}, false
	}
	// only now: one that is offered may bring back those parked behind it, which must
	// be in their new teams by then
	for _, w := range offered {
		if !w.inLeaf {
			c.offer(w)
		}
	}
	for i := range c.plans { // a budget used up before is so still
		if n := c.plans[i].at; n != nil && n.budget > 0 {
			c.refill(n)
			c.judge(n)
		}
	}
}
