package node

import (
	"slices"
	"time"
)

// routes is how a controller asks for its lease: through one of its relays, by their
// places in Begin.Relays, or, past the last one, of the leader itself.
type routes struct {
	current           int
	alternativesTried int           // others that were asked since the current one last answered
	firstRetryAt      time.Duration // when the first relay is asked once more, while another is current
}

// answered: an answer came by a route. Unless something was unanswered, one by a later
// route is that of an ask which the current route has answered, too.
func (r *routes) recordAnswer(route int, now time.Duration, unanswered bool, retry time.Duration) {
	r.alternativesTried = 0
	if route < r.current || unanswered {
		if r.current == 0 && route != 0 {
			r.firstRetryAt = now + retry
		}
		r.current = route
	}
}

// routeOf is the route by which a controller's answer comes.
func (c *Core) routeOf(from string) int {
	for i, relay := range c.config.Relays {
		if relay.Name == from {
			return i
		}
	}
	return len(c.config.Relays)
}

// upstreams are whom the next renewal goes to: by the current route; while that doesn't
// answer, by another one besides; and from time to time by the first, if it isn't current.
func (c *Core) upstreams() (to []Upstream) {
	switch {
	case c.consensus != nil || c.isLeader:
		return c.directUpstreams()
	case c.config.IsRelay && c.renewalOverdue() && len(c.voters) > 0: // many wait for it to find who leads now
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

// unanswered: the last renewal should have been answered by now.
func (c *Core) renewalOverdue() bool {
	return c.unansweredSince > 0 && c.now-c.unansweredSince >= c.renewalInterval()/2
}

// relayInUse is the relay that answers renewals, nil: the leader is asked itself.
func (c *Core) currentRelay() *Upstream {
	if c.consensus != nil || c.routes.current >= len(c.config.Relays) {
		return nil
	}
	return &c.config.Relays[c.routes.current]
}

// by is whom a route leads to.
func (c *Core) upstreamsBy(route int) []Upstream {
	if route < len(c.config.Relays) {
		return []Upstream{c.config.Relays[route]}
	}
	return c.directUpstreams()
}

// direct is the leader or, where that isn't known or doesn't answer, a voter that may know.
func (c *Core) directUpstreams() []Upstream {
	known := c.leader != "" && (c.unansweredSince == 0 || c.now-c.unansweredSince <= 3*c.renewalInterval())
	switch {
	case known:
		return []Upstream{{Name: c.leader, Address: c.addressOf(c.leader)}}
	case len(c.voters) == 0:
		return nil
	}
	return []Upstream{c.nextVoter()}
}

// nextVoter is another voter each time. There must be some.
func (c *Core) nextVoter() Upstream {
	c.voterHint++
	name := c.voters[c.voterHint%len(c.voters)].Name
	return Upstream{Name: name, Address: c.addressOf(name)}
}
