package controller

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/gaissmai/bart"

	"railrelay.dev/railrelay/internal/bytebuf"
	"railrelay.dev/railrelay/internal/msgpackrpc"
)

// The platform's figures, for whoever has no others.
const (
	openMost   = 32              // queries open on one connection, by the protocol
	idleMost   = 6 * time.Second // clients close theirs after 4 s; one kept for good is let go
	wholeMost  = 2 * time.Second // a message takes no longer, from connecting or from its first byte
	faultsMost = openMost        // calls on one connection that can't be used
	heardMost  = 4 * openMost    // messages on one connection between two sweeps
)

// ClientLimits are what is expected of the connections from some addresses. A figure
// of 0 is the platform's.
type ClientLimits struct {
	From     []netip.Prefix
	Open     int           // queries open on one connection
	Messages int           // on one connection in a quarter of a second
	Idle     time.Duration // one with nothing open is closed after
	Whole    time.Duration // a message takes no longer, from connecting or from its first byte
}

func (m ClientLimits) orPlatform() ClientLimits {
	m.Open, m.Messages = cmp.Or(m.Open, openMost), cmp.Or(m.Messages, heardMost)
	m.Idle, m.Whole = cmp.Or(m.Idle, idleMost), cmp.Or(m.Whole, wholeMost)
	return m
}

// manners finds those that hold for an address: the narrowest set it is in.
type manners struct {
	all  []ClientLimits
	sets *bart.Table[int] // nil: there are none
}

func newManners(l []ClientLimits) manners {
	m := manners{all: []ClientLimits{ClientLimits{}.orPlatform()}}
	for _, x := range l {
		if m.sets == nil {
			m.sets = &bart.Table[int]{}
		}
		m.all = append(m.all, x.orPlatform())
		for _, p := range x.From {
			m.sets.Insert(p.Masked(), len(m.all)-1)
		}
	}
	return m
}

func (m *manners) of(a netip.Addr) *ClientLimits {
	if m.sets != nil && a.IsValid() {
		if i, ok := m.sets.Lookup(a.Unmap()); ok {
			return &m.all[i]
		}
	}
	return &m.all[0]
}

// crowd is the connections of clients, and the bounds on them.
type crowd struct {
	clients     []*client
	clientsMost int
	manners     manners
	unread      int // bytes that clients have not taken yet
	unreadMost  int
	swept       time.Duration
}

// client is one connection from a client.
type client struct {
	*Controller
	link   *Connection
	wants  *ClientLimits
	open   []*asking     // in the order taken
	stuck  time.Duration // since when it has taken nothing of what is written, -1: it has
	unread int           // what was unread then
	begun  time.Duration // since when a whole message is waited for, -1: none is under way
	spoke  bool          // there was one
	idle   time.Duration // since when nothing is open
	faults int
	heard  int // messages since the last sweep
	pages  int // being read from the spool
}

// asking is what a query of a MessagePack connection belongs to.
type asking struct {
	c   *client
	msg uint32
	q   *query
}

func (r *Controller) accept(l *Connection) {
	c := &client{Controller: r, link: l, wants: r.manners.of(l.From), stuck: -1, begun: r.now, idle: r.now}
	l.got, l.last, l.ended = c.got, c.allLeft, c.ended
	r.clients = append(r.clients, c)
	r.tally.connections++
	r.makeWay(c)
}

// makeWay: where there are too many, those go first that have long said nothing
// whole, then those idle, the longest first, then those whose call may be on its
// way, and the newcomer only if all others have something open: connections
// that cost their owners nothing must not keep out those that mean to ask.
func (r *Controller) makeWay(newcomer *client) {
	rank := func(c *client) int {
		switch {
		case len(c.open) > 0, c.link.pending > 0 && (c.stuck < 0 || r.now-c.stuck < wholeMost):
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
		// gently: it may have been answered a moment ago, and ask again just now
		r.shutWithin(first.link, true, onTheWay)
	}
}

func (c *client) got() {
	whole := false
	for !c.link.closed {
		var hearer msgpackrpc.Hearer = c
		if c.heard >= c.wants.Messages { // one more and all the others would have to wait
			hearer = &flooding{c}
		}
		n, err := msgpackrpc.Read(c.link.In.Bytes(), c.messageMost, hearer)
		switch {
		case err != nil:
			c.tally.malformed++
			c.end(true)
			return
		case n > 0:
			whole, c.spoke, c.idle = true, true, c.now
			c.link.In.Drop(n)
			if c.heard++; c.heard > c.wants.Messages {
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

// flooding tells a connection that is about to be closed why.
type flooding struct{ *client }

func (f *flooding) tell(msg uint32) {
	if f.find(msg) == nil {
		f.answer(msgpackrpc.Killed(nil, msg, "more than "+strconv.Itoa(f.wants.Messages)+" messages in "+sweepEvery.String()+
			" on one connection: it is closed"))
	}
}

func (f *flooding) Query(msg uint32, _, _ []byte, _ time.Duration, _ []byte, _ bool, _ []byte, _ msgpackrpc.Fields) {
	f.tell(msg)
}
func (f *flooding) Page(msg uint32, _ []byte, _ int, _ msgpackrpc.Fields)     { f.tell(msg) }
func (f *flooding) Purge(msg uint32, _ msgpackrpc.Purge, _ msgpackrpc.Fields) { f.tell(msg) }
func (f *flooding) Alive(msg uint32)                                          { f.tell(msg) }
func (f *flooding) Wrong(msg uint32, _ string)                                { f.tell(msg) }
func (f *flooding) Left(msg uint32)                                           { f.client.Left(msg) }

// end closes the connection from our side; what was open on it is lost to it.
func (c *client) end(gently bool) {
	c.shut(c.link, gently)
	c.allLeft()
}

func (c *client) ended() {
	c.link.In = bytebuf.Buffer{} // what is due for its queries may outlive it
	c.clients = slices.DeleteFunc(c.clients, func(x *client) bool { return x == c })
	c.allLeft()
}

func (c *client) allLeft() {
	for len(c.open) > 0 {
		c.Left(c.open[0].msg)
	}
}

func (c *client) find(msg uint32) *asking {
	for _, a := range c.open {
		if a.msg == msg {
			return a
		}
	}
	return nil
}

func (c *client) answer(p []byte) { c.write(c.link, p) }

func (c *client) Query(msg uint32, name, id []byte, patience time.Duration, k []byte, keyed bool, statement []byte, all msgpackrpc.Fields) {
	switch {
	case c.find(msg) != nil:
		// answers could no longer be told apart
		c.tally.malformed++
		c.end(true)
		return
	case len(c.open) >= c.wants.Open:
		if why := c.unfit(string(name), string(id), patience, keyed, len(statement), From{c.link.From, all}); why != "" {
			c.Wrong(msg, why)
			return
		}
		c.Wrong(msg, "too many are open")
		c.end(true)
		return
	}
	a := &asking{c: c, msg: msg}
	q, why := c.take(a, string(name), string(id), patience, k, keyed, statement, From{c.link.From, all})
	switch why {
	case "":
	case tooMuch: // counted as a fault it would in the end cost what else is open on the connection
		c.tally.deferred++
		c.answer(msgpackrpc.Deferred(nil, msg, min(c.span("return.most"), patience/2)))
		return
	default:
		c.Wrong(msg, why)
		return
	}
	a.q = q
	c.open = append(c.open, a)
}

func (a *asking) finished(pages [][]byte) { a.c.answer(msgpackrpc.Answer(nil, a.msg, pages)) }

func (a *asking) paged(first []byte, rest msgpackrpc.Paging) {
	a.c.answer(msgpackrpc.Paged(nil, a.msg, first, rest))
}

func (a *asking) deferred(comeBack time.Duration) {
	a.c.answer(msgpackrpc.Deferred(nil, a.msg, comeBack))
}

func (a *asking) directed(comeBack time.Duration, controllers []string) {
	a.c.answer(msgpackrpc.Directed(nil, a.msg, comeBack, controllers))
}

func (a *asking) killed(why string) { a.c.answer(msgpackrpc.Killed(nil, a.msg, why)) }

func (a *asking) told(wait time.Duration) { a.c.answer(msgpackrpc.Told(nil, a.msg, wait)) }

func (a *asking) from() *Connection { return a.c.link }

func (a *asking) closed() {
	a.c.open = slices.DeleteFunc(a.c.open, func(x *asking) bool { return x == a })
	a.c.idle = a.c.now
}

func (c *client) Alive(msg uint32) {
	c.tally.alive++
	c.answer(msgpackrpc.Alive(nil, msg, c.feed.listed && (c.warrant == nil || c.warrant.acceptsQueries())))
}

func (c *client) Left(msg uint32) {
	if a := c.find(msg); a != nil {
		c.Controller.left(a.q)
	}
}

func (c *client) Wrong(msg uint32, why string) {
	c.tally.malformed++
	if c.find(msg) != nil {
		c.end(true)
		return
	}
	c.answer(msgpackrpc.Killed(nil, msg, why))
	if c.faults++; c.faults > faultsMost {
		c.end(true)
	}
}

// sweepClients ends those that don't take what is written to them, each may
// hold some and all together a part of the memory; those that begin what they
// don't end, or nothing; and those idle for longer than clients keep theirs.
func (r *Controller) sweepClients() {
	r.unread = 0
	// nobody is to blame for what we stood still ourselves: what came meanwhile is not read yet
	stood := r.now - r.swept - sweepEvery
	if r.swept = r.now; stood < sweepEvery {
		stood = 0
	}
	var worst *client
	for _, c := range slices.Clone(r.clients) {
		if c.idle += stood; c.begun >= 0 {
			c.begun += stood
		}
		if c.stuck >= 0 {
			c.stuck += stood
		}
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
		case c.stuck >= 0 && r.now-c.stuck > stuckMost, c.begun >= 0 && r.now-c.begun > c.wants.Whole:
			r.tally.turnedOff++
			c.end(c.stuck < 0) // who takes nothing is not waited for
		case c.begun < 0 && len(c.open) == 0 && c.pages == 0 && p == 0 && r.now-c.idle > c.wants.Idle:
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
func (r *Controller) relieve() {
	var worst *client
	most := bytebuf.Keeps
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
		r.cut(line)
	}
}

const stuckMost = 10 * time.Second

var _ msgpackrpc.Hearer = (*client)(nil)
var _ asker = (*asking)(nil)
