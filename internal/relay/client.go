package relay

import (
	"cmp"
	"slices"
	"time"

	"railrelay.dev/railrelay/decide"
	"railrelay.dev/railrelay/internal/clients"
	"railrelay.dev/railrelay/internal/conn"
	"railrelay.dev/railrelay/internal/must"
)

const (
	openMost   = 32              // queries open on one connection, by the protocol
	idleMost   = 6 * time.Second // clients close theirs after 4 s; one kept for good is let go
	wholeMost  = 2 * time.Second // a message takes no longer, from connecting or from its first byte
	faultsMost = openMost        // calls on one connection that can't be used
	heardMost  = 4 * openMost    // messages on one connection between two sweeps
)

// client is one connection from a client.
type client struct {
	*Relay
	link   *Link
	open   []*query      // in the order taken
	stuck  time.Duration // since when it has taken nothing of what is written, -1: it has
	unread int           // what was unread then
	begun  time.Duration // since when a whole message is waited for, -1: none is under way
	spoke  bool          // there was one
	idle   time.Duration // since when nothing is open
	faults int
	heard  int // messages since the last sweep
}

// query is one thing taken, until it is answered and nothing of it is out.
type query struct {
	id                string
	from              *client
	msg               uint32
	group             *group
	key               *key
	statement         []byte
	takenAt           time.Duration
	deadline          time.Duration
	priority, grantMB int
	subs              []*submission
	answered          bool
}

func (r *Relay) accept(l *Link) {
	c := &client{Relay: r, link: l, stuck: -1, begun: r.now, idle: r.now}
	l.got, l.ended = c.got, c.ended
	r.clients = append(r.clients, c)
	r.tally.connections++
	r.makeWay(c)
}

// makeWay: where there are too many, those go first that have long said nothing
// whole, then those idle, the longest first, then those whose call may be on its
// way, and the newcomer only if all others have something open: connections
// that cost their owners nothing must not keep out those that mean to ask.
func (r *Relay) makeWay(newcomer *client) {
	rank := func(c *client) int {
		switch {
		case len(c.open) > 0:
			return 4
		case c == newcomer:
			return 3
		case c.begun >= 0 && r.now-c.begun < onTheWay:
			return 2
		case c.spoke:
			return 1
		}
		return 0
	}
	open, first := 0, newcomer
	for _, x := range r.clients {
		if x.link.closed {
			continue
		}
		open++
		if a, b := rank(x), rank(first); a < b || a == b && x.idle < first.idle {
			first = x
		}
	}
	if open > r.clientsMost {
		r.tally.turnedOff++
		r.shut(first.link, false)
	}
}

func (c *client) got() {
	whole := false
	for !c.link.closed {
		n, err := clients.Read(c.link.In.Bytes(), c.messageMost, c)
		switch {
		case err != nil:
			c.tally.malformed++
			c.end(true)
			return
		case n > 0:
			whole, c.spoke = true, true
			c.link.In.Drop(n)
			if c.heard++; c.heard > heardMost { // it would have all the others wait
				c.tally.turnedOff++
				c.end(true)
			}
			continue
		case len(c.link.In.Bytes()) == 0:
			c.begun = -1
		case whole || c.begun < 0:
			c.begun = c.now
		}
		return
	}
}

// end closes the connection from our side; what was open on it is lost to it.
func (c *client) end(gently bool) {
	c.shut(c.link, gently)
	c.allLeft()
}

func (c *client) ended() {
	c.link.In = conn.Buffer{} // what is due for its queries may outlive it
	c.clients = slices.DeleteFunc(c.clients, func(x *client) bool { return x == c })
	c.allLeft()
}

func (c *client) allLeft() {
	for len(c.open) > 0 {
		c.Left(c.open[0].msg)
	}
}

func (c *client) find(msg uint32) *query {
	for _, q := range c.open {
		if q.msg == msg {
			return q
		}
	}
	return nil
}

func (c *client) answer(p []byte) { c.write(c.link, p) }

func (c *client) Query(msg uint32, name, id []byte, patience time.Duration, k []byte, keyed bool, statement []byte) {
	g := c.groups[string(name)]
	switch {
	case c.find(msg) != nil:
		// answers could no longer be told apart
		c.tally.malformed++
		c.end(false)
		return
	case g == nil:
		c.Wrong(msg, "no such method")
		return
	case g.timeout > 0 && patience > g.timeout:
		c.Wrong(msg, "no such patience")
		return
	case g.inOrder && !keyed:
		c.Wrong(msg, "no entity")
		return
	case c.queries[string(id)] != nil:
		c.Wrong(msg, "this trace is in hand")
		return
	case len(c.open) >= openMost:
		c.Wrong(msg, "too many are open")
		c.end(true)
		return
	case c.inHand+len(statement) > c.inHandMost:
		c.Wrong(msg, "too much is in hand") // the memory is all there is
		return
	}
	c.inHand += len(statement)
	q := &query{id: string(id), from: c, msg: msg, group: g, statement: append([]byte{}, statement...),
		takenAt: c.now, deadline: c.now + patience, priority: -1}
	number := int64(-1)
	if g.inOrder {
		q.key = c.keys.take(string(k))
		number = q.key.number
	}
	c.open, c.queries[q.id] = append(c.open, q), q
	c.tally.taken++
	c.asked = c.now
	// once all that has come is read: what is taken back in one breath goes nowhere
	c.soon(func() {
		if !q.answered {
			c.gate.Take(c.now, q.id, g.index, q.deadline-c.now, clients.Tables(q.statement), number, 0, 0)
		}
	})
}

func (c *client) Alive(msg uint32) {
	c.tally.alive++
	c.answer(clients.Alive(nil, msg, c.feed.listed))
}

func (c *client) Left(msg uint32) {
	if q := c.find(msg); q != nil {
		c.tally.left++
		c.close(q)
		c.soon(func() { c.gate.ClientLeft(c.now, q.id) })
	}
}

func (c *client) Wrong(msg uint32, why string) {
	c.tally.malformed++
	if c.find(msg) != nil {
		c.end(false)
		return
	}
	c.answer(clients.Killed(nil, msg, why))
	if c.faults++; c.faults > faultsMost {
		c.end(true)
	}
}

// close marks the query answered, or no answer owed.
func (r *Relay) close(q *query) bool {
	if !must.Hold(!q.answered, "one final answer a query") {
		return false
	}
	q.answered = true
	q.from.open = slices.DeleteFunc(q.from.open, func(x *query) bool { return x == q })
	q.from.idle = r.now
	r.drop(q)
	return true
}

func (r *Relay) finished(q *query, pages [][]byte) {
	if r.close(q) {
		r.tally.finished++
		q.from.answer(clients.Answer(nil, q.msg, pages))
	}
}

func (r *Relay) deferred(q *query, comeBack time.Duration) {
	if !q.answered && r.close(q) {
		r.tally.deferred++
		q.from.answer(clients.Deferred(nil, q.msg, comeBack))
	}
}

func (r *Relay) killed(q *query, why string) {
	if !q.answered && r.close(q) {
		r.tally.killed++
		q.from.answer(clients.Killed(nil, q.msg, why))
	}
}

// drop forgets a query once it is answered and nothing of it is out.
func (r *Relay) drop(q *query) {
	if !q.answered {
		return
	}
	for _, s := range q.subs {
		if !s.told {
			return
		}
	}
	if r.queries[q.id] == q {
		// the decisions may still have a word on it in this very step
		r.soon(func() {
			if r.queries[q.id] == q {
				delete(r.queries, q.id)
				r.inHand -= len(q.statement)
				q.statement, q.subs = nil, nil // what is due for it may outlive it
				if q.key != nil {
					r.keys.release(q.key, r.now)
				}
			}
		})
	}
}

// sweepClients ends those that don't take what is written to them, each may
// hold some and all together a part of the memory; those that begin what they
// don't end, or nothing; and those idle for longer than clients keep theirs.
func (r *Relay) sweepClients() {
	r.unread = 0
	var worst *client
	for _, c := range slices.Clone(r.clients) {
		p := c.link.pending
		r.unread += p
		c.heard = 0
		switch {
		case p == 0:
			c.stuck = -1
		case c.stuck < 0 || p < c.unread:
			c.stuck = r.now
		}
		c.unread = p
		switch {
		case c.link.closed:
			continue
		case c.stuck >= 0 && r.now-c.stuck > stuckMost, c.begun >= 0 && r.now-c.begun > wholeMost:
			r.tally.turnedOff++
			c.end(false)
		case c.begun < 0 && len(c.open) == 0 && p == 0 && r.now-c.idle > idleMost:
			r.tally.idled++
			c.end(true)
		case worst == nil || p > worst.link.pending:
			worst = c
		}
	}
	if r.unread > r.unreadMost && worst != nil {
		r.tally.turnedOff++
		worst.end(false)
	}
}

// relieve ends the client with the most of an unread message under way, or else
// the engine's line, where all buffers together hold more than their part of the
// memory. What fits a buffer that any connection may keep is not to blame.
func (r *Relay) relieve() {
	var worst *client
	most := conn.Keeps
	for _, c := range r.clients {
		if !c.link.closed && c.begun >= 0 && c.link.held > most {
			worst, most = c, c.link.held
		}
	}
	if worst != nil {
		r.tally.turnedOff++
		worst.end(false)
		return
	}
	var line *line
	for _, l := range r.pool.lines {
		if !l.link.closed && l.link.held > most {
			line, most = l, l.link.held
		}
	}
	if line != nil {
		r.shut(line.link, false)
	}
}

const stuckMost = 10 * time.Second

// keyring gives keys numbers: the decisions know keys by number, and unequal
// ones must stay unequal. A number is used again once its key has rested.
type keyring struct {
	byName map[string]*key
	free   []int64
	next   int64
}

type key struct {
	name   string
	number int64
	open   int
	since  time.Duration
}

func newKeyring() keyring { return keyring{byName: map[string]*key{}} }

func (k *keyring) take(name string) *key {
	have := k.byName[name]
	if have == nil {
		have = &key{name: name, number: k.next}
		if last := len(k.free) - 1; last >= 0 {
			have.number, k.free = k.free[last], k.free[:last]
		} else {
			k.next++
		}
		k.byName[name] = have
	}
	have.open++
	return have
}

func (k *keyring) release(have *key, now time.Duration) {
	have.open--
	have.since = now
}

func (k *keyring) sweep(before time.Duration) {
	var gone []*key
	for _, have := range k.byName {
		if have.open == 0 && have.since < before {
			gone = append(gone, have)
		}
	}
	slices.SortFunc(gone, func(a, b *key) int { return cmp.Compare(a.number, b.number) })
	for _, have := range gone {
		delete(k.byName, have.name)
		k.free = append(k.free, have.number)
	}
}

var _ clients.Hearer = (*client)(nil)
var _ decide.Actor = (*Relay)(nil)
