package node

import (
	"slices"
	"time"
)

const (
	// firstRelayRetryIntervals is in renewal intervals: so often the first relay is tried again
	// while another route is current.
	firstRelayRetryIntervals = 16
	// leaderUnansweredIntervals is in renewal intervals: after so long without an answer, the
	// known leader is assumed to have lost its leadership.
	leaderUnansweredIntervals = 3
	// overduePerInterval: an answer is overdue after 1/overduePerInterval of a renewal interval.
	overduePerInterval = 2
)

// routes selects where a controller sends its renewals. A route is an index in Config.Relays;
// the index after the last relay is the direct route to the leader.
type routes struct {
	current           int
	alternativesTried int           // since the current route last answered
	firstRetryAt      time.Duration // when to try the first relay again, while another route is current
}

// recordAnswer records an answer by a route and makes that route the current one. An answer by
// a later route changes nothing unless a renewal was unanswered, since the current route has
// answered the same renewal.
func (r *routes) recordAnswer(route int, now time.Duration, unanswered bool, retryFirstAfter time.Duration) {
	r.alternativesTried = 0
	if route < r.current || unanswered {
		if r.current == 0 && route != 0 {
			r.firstRetryAt = now + retryFirstAfter
		}
		r.current = route
	}
}

// routeOf returns the route of an answer by its sender.
func (c *Core) routeOf(from string) int {
	for i, relay := range c.config.Relays {
		if relay.Name == from {
			return i
		}
	}
	return len(c.config.Relays)
}

// upstreams returns where the next renewal is sent: by the current route, by one more route while
// the current one doesn't answer, and at times by the first relay if it isn't the current route.
// Voters, leaders and controllers without relays send their renewals directly, as does a relay
// whose renewal is overdue, which also sends it to a voter.
func (c *Core) upstreams() (to []Upstream) {
	switch {
	case c.consensus != nil || c.isLeader:
		return c.directUpstreams()
	case c.config.IsRelay && c.renewalOverdue() && len(c.voters) > 0:
		// many controllers wait for this relay to find the leader
		return append(c.directUpstreams(), c.nextVoter())
	case len(c.config.Relays) == 0:
		return c.directUpstreams()
	}
	to = c.upstreamsBy(c.routes.current)
	if c.renewalOverdue() {
		alternatives := len(c.config.Relays)
		step := 1 + c.routes.alternativesTried%alternatives
		c.routes.alternativesTried++
		to = append(to, c.upstreamsBy((c.routes.current+step)%(alternatives+1))...)
	}
	if c.routes.current != 0 && c.now >= c.routes.firstRetryAt {
		c.routes.firstRetryAt = c.now + firstRelayRetryIntervals*c.renewalInterval()
		if !slices.Contains(to, c.config.Relays[0]) {
			to = append(to, c.config.Relays[0])
		}
	}
	return to
}

// renewalOverdue reports whether the answer to a renewal is overdue.
func (c *Core) renewalOverdue() bool {
	return c.unansweredSince > 0 && c.now-c.unansweredSince >= c.renewalInterval()/overduePerInterval
}

// currentRelay returns the relay of the current route, nil if that is the direct route.
func (c *Core) currentRelay() *Upstream {
	if c.consensus != nil || c.routes.current >= len(c.config.Relays) {
		return nil
	}
	return &c.config.Relays[c.routes.current]
}

// upstreamsBy returns the upstreams of a route.
func (c *Core) upstreamsBy(route int) []Upstream {
	if route < len(c.config.Relays) {
		return []Upstream{c.config.Relays[route]}
	}
	return c.directUpstreams()
}

// directUpstreams returns the leader or, if the leader is unknown or doesn't answer, a voter that
// may know the leader.
func (c *Core) directUpstreams() []Upstream {
	answers := c.unansweredSince == 0 ||
		c.now-c.unansweredSince <= leaderUnansweredIntervals*c.renewalInterval()
	switch {
	case c.leader != "" && answers:
		return []Upstream{{Name: c.leader, Address: c.addressOf(c.leader)}}
	case len(c.voters) == 0:
		return nil
	}
	return []Upstream{c.nextVoter()}
}

// nextVoter returns the voters in turn, one each call. There must be at least one voter.
func (c *Core) nextVoter() Upstream {
	c.voterTurn++
	name := c.voters[c.voterTurn%len(c.voters)].Name
	return Upstream{Name: name, Address: c.addressOf(name)}
}
