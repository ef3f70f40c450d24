package node

import (
	"slices"
	"time"
)

const (
	// firstRelayRetryIntervals, renewal intervals, is how often the first relay is asked
	// once more while another route is current.
	firstRelayRetryIntervals = 16
	// leaderUnansweredIntervals, renewal intervals without an answer: then the leader that
	// is known is taken to lead no longer.
	leaderUnansweredIntervals = 3
	// overduePerInterval: an answer is overdue after such a part of a renewal interval.
	overduePerInterval = 2
)

// routes is how a controller asks for its lease: through one of its relays, by their
// places in Config.Relays, or, past the last one, of the leader itself.
type routes struct {
	current           int
	alternativesTried int           // since the current one last answered
	firstRetryAt      time.Duration // when the first relay is asked once more, while another is current
}

// recordAnswer takes note of an answer by a route, which becomes the current one.
// Unless a renewal was unanswered, an answer by a later route is to a renewal that the
// current one has answered, too, and changes nothing.
func (r *routes) recordAnswer(route int, now time.Duration, unanswered bool, retryFirstAfter time.Duration) {
	r.alternativesTried = 0
	if route < r.current || unanswered {
		if r.current == 0 && route != 0 {
			r.firstRetryAt = now + retryFirstAfter
		}
		r.current = route
	}
}

// routeOf is the route by which an answer of a controller comes.
func (c *Core) routeOf(from string) int {
	for i, relay := range c.config.Relays {
		if relay.Name == from {
			return i
		}
	}
	return len(c.config.Relays)
}

// upstreams are whom the next renewal is sent to: by the current route; while that doesn't
// answer, by another one besides; and from time to time by the first, if it isn't current.
func (c *Core) upstreams() (to []Upstream) {
	switch {
	case c.consensus != nil || c.isLeader:
		return c.directUpstreams()
	case c.config.IsRelay && c.renewalOverdue() && len(c.voters) > 0:
		// many controllers wait for this one to find the leader
		return append(c.directUpstreams(), c.nextVoter())
	case len(c.config.Relays) == 0:
		return c.directUpstreams()
	}
	to = c.upstreamsBy(c.routes.current)
	if c.renewalOverdue() {
		others := len(c.config.Relays)
		step := 1 + c.routes.alternativesTried%others
		c.routes.alternativesTried++
		to = append(to, c.upstreamsBy((c.routes.current+step)%(others+1))...)
	}
	if c.routes.current != 0 && c.now >= c.routes.firstRetryAt {
		c.routes.firstRetryAt = c.now + firstRelayRetryIntervals*c.renewalInterval()
		if !slices.Contains(to, c.config.Relays[0]) {
			to = append(to, c.config.Relays[0])
		}
	}
	return to
}

// renewalOverdue reports whether a renewal should have been answered by now.
func (c *Core) renewalOverdue() bool {
	return c.unansweredSince > 0 && c.now-c.unansweredSince >= c.renewalInterval()/overduePerInterval
}

// currentRelay is the relay that answers renewals, nil: the leader is asked directly.
func (c *Core) currentRelay() *Upstream {
	if c.consensus != nil || c.routes.current >= len(c.config.Relays) {
		return nil
	}
	return &c.config.Relays[c.routes.current]
}

// upstreamsBy is whom a route leads to.
func (c *Core) upstreamsBy(route int) []Upstream {
	if route < len(c.config.Relays) {
		return []Upstream{c.config.Relays[route]}
	}
	return c.directUpstreams()
}

// directUpstreams is the leader or, where that isn't known or doesn't answer, a voter that
// may know it.
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

// nextVoter is another voter each time, in turn. There must be some.
func (c *Core) nextVoter() Upstream {
	c.voterHint++
	name := c.voters[c.voterHint%len(c.voters)].Name
	return Upstream{Name: name, Address: c.addressOf(name)}
}
