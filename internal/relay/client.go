package relay

import (
	"cmp"
	"slices"
	"time"

	"railrelay.dev/railrelay/decide"
	"railrelay.dev/railrelay/internal/clients"
	"railrelay.dev/railrelay/internal/must"
)

const openMost = 32 // queries open on one connection, by the protocol

// client is one connection from a client.
type client struct {
	*Relay
	link   *Link
	open   []*query      // in the order taken
	stuck  time.Duration // since when it has taken nothing of what is written, -1: it has
	unread int           // what was unread then
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
	c := &client{Relay: r, link: l, stuck: -1}
	l.got, l.ended = c.got, c.ended
	r.clients = append(r.clients, c)
	r.tally.connections++
	if len(r.clients) > r.clientsMost {
		r.tally.turnedOff++
		r.shut(l, false)
	}
}

func (c *client) got() {
	for !c.link.closed {
		n, err := clients.Read(c.link.In.Bytes(), c.messageMost, c)
		if err != nil {
			c.tally.malformed++
			c.end(true)
			return
		}
		if n == 0 {
			return
		}
		c.link.In.Drop(n)
	}
}

// end closes the connection from our side; what was open on it is lost to it.
func (c *client) end(gently bool) {
	c.shut(c.link, gently)
	c.allLeft()
}

func (c *client) ended() {
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
	case c.queries[string(id)] != nil:
		c.Wrong(msg, "this trace is in hand")
		return
	case len(c.open) >= openMost:
		c.Wrong(msg, "too many are open")
		return
	case c.inHand+len(statement) > c.inHandMost:
		c.Wrong(msg, "too much is in hand") // the memory is all there is
		return
	}
	c.inHand += len(statement)
	q := &query{id: string(id), from: c, msg: msg, group: g, statement: append([]byte{}, statement...),
		takenAt: c.now, deadline: c.now + patience, priority: -1}
	number := int64(-1)
	if keyed {
		q.key = c.keys.take(string(k))
		number = q.key.number
	}
	c.open, c.queries[q.id] = append(c.open, q), q
	c.tally.taken++
	c.gate.Take(c.now, q.id, g.index, patience, clients.Tables(q.statement), number, 0, 0)
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
}

// close marks the query answered, or no answer owed.
func (r *Relay) close(q *query) bool {
	if !must.Hold(!q.answered, "one final answer a query") {
		return false
	}
	q.answered = true
	q.from.open = slices.DeleteFunc(q.from.open, func(x *query) bool { return x == q })
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
				if q.key != nil {
					r.keys.release(q.key, r.now)
				}
			}
		})
	}
}

// sweepClients ends those that don't take what is written to them: each may
// hold some, all together a part of the memory, and none for longer than a
// client waits for any answer.
func (r *Relay) sweepClients() {
	r.unread = 0
	var worst *client
	for _, c := range r.clients {
		p := c.link.pending
		r.unread += p
		switch {
		case p == 0:
			c.stuck = -1
		case c.stuck < 0 || p < c.unread:
			c.stuck = r.now
		case r.now-c.stuck > stuckMost && !c.link.closed:
			r.tally.turnedOff++
			c.end(false)
		}
		c.unread = p
		if !c.link.closed && (worst == nil || p > worst.link.pending) {
			worst = c
		}
	}
	if r.unread > r.unreadMost && worst != nil {
		r.tally.turnedOff++
		worst.end(false)
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
