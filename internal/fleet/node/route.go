package node

import (
	"slices"
	"time"
)

// routes is how a controller asks for its lease: through one of its relays, by their
// places in Begin.Relays, or, past the last one, of the leader itself.
type routes struct {
	current int
	tried   int           // others that were asked since the current one last answered
	retryAt time.Duration // when the first relay is asked once more, while another is current
}

// answered: an answer came by a route. Unless something was unanswered, one by a later
// route is that of an ask which the current route has answered, too.
func (r *routes) answered(route int, now time.Duration, unanswered bool, retry time.Duration) {
	r.tried = 0
	if route < r.current || unanswered {
		if r.current == 0 && route != 0 {
			r.retryAt = now + retry
		}
		r.current = route
	}
}

// routeOf is the route by which a controller's answer comes.
func (c *Core) routeOf(from string) int {
	for i, relay := range c.b.Relays {
		if relay.Name == from {
			return i
		}
	}
	return len(c.b.Relays)
}

// upstreams are whom the next renewal goes to: by the current route; while that doesn't
// answer, by another one besides; and from time to time by the first, if it isn't current.
func (c *Core) upstreams() (to []Upstream) {
	switch {
	case c.vote != nil || c.leads:
		return c.direct()
	case c.b.Relay && c.unanswered() && len(c.voters) > 0: // many wait for it to find who leads now
		return append(c.direct(), c.nextVoter())
	case len(c.b.Relays) == 0:
		return c.direct()
	}
	to = c.by(c.routes.current)
	if c.unanswered() {
		others := len(c.b.Relays)
		step := 1 + c.routes.tried%others
		c.routes.tried++
		to = append(to, c.by((c.routes.current+step)%(others+1))...)
	}
	if c.routes.current != 0 && c.now >= c.routes.retryAt {
		c.routes.retryAt = c.now + relayRetryEach*c.every()
		if !slices.Contains(to, c.b.Relays[0]) {
			to = append(to, c.b.Relays[0])
		}
	}
	return to
}

// unanswered: the last renewal should have been answered by now.
func (c *Core) unanswered() bool { return c.askedAt > 0 && c.now-c.askedAt >= c.every()/2 }

// relayInUse is the relay that answers renewals, nil: the leader is asked itself.
func (c *Core) relayInUse() *Upstream {
	if c.vote != nil || c.routes.current >= len(c.b.Relays) {
		return nil
	}
	return &c.b.Relays[c.routes.current]
}

// by is whom a route leads to.
func (c *Core) by(route int) []Upstream {
	if route < len(c.b.Relays) {
		return []Upstream{c.b.Relays[route]}
	}
	return c.direct()
}

// direct is the leader or, where that isn't known or doesn't answer, a voter that may know.
func (c *Core) direct() []Upstream {
	known := c.leader != "" && (c.askedAt == 0 || c.now-c.askedAt <= 3*c.every())
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
	c.hint++
	name := c.voters[c.hint%len(c.voters)].Name
	return Upstream{Name: name, Address: c.addressOf(name)}
}
