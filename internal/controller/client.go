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
	maxOpenQueries      = 32                 // queries open on one connection, by the protocol
	clientIdleTimeout   = 6 * time.Second    // clients close theirs after 4 s; one kept for good is let go
	messageTimeout      = 2 * time.Second    // a message takes no longer, from connecting or from its first byte
	maxBadCalls         = maxOpenQueries     // calls on one connection that can't be used
	maxMessagesPerSweep = 4 * maxOpenQueries // messages on one connection between two sweeps
)

// ClientLimits are what is expected of the connections from some addresses. A figure
// of 0 is the platform's.
type ClientLimits struct {
	Prefixes         []netip.Prefix
	OpenQueries      int           // queries open on one connection
	MessagesPerSweep int           // on one connection in a quarter of a second
	IdleTimeout      time.Duration // one with nothing open is closed after
	MessageTimeout   time.Duration // a message takes no longer, from connecting or from its first byte
}

func (m ClientLimits) withDefaults() ClientLimits {
	m.OpenQueries, m.MessagesPerSweep = cmp.Or(m.OpenQueries, maxOpenQueries), cmp.Or(m.MessagesPerSweep, maxMessagesPerSweep)
	m.IdleTimeout, m.MessageTimeout = cmp.Or(m.IdleTimeout, clientIdleTimeout), cmp.Or(m.MessageTimeout, messageTimeout)
	return m
}

// manners finds those that hold for an address: the narrowest set it is in.
type clientLimitTable struct {
	limits   []ClientLimits
	prefixes *bart.Table[int] // nil: there are none
}

func newClientLimitTable(l []ClientLimits) clientLimitTable {
	m := clientLimitTable{limits: []ClientLimits{ClientLimits{}.withDefaults()}}
	for _, x := range l {
		if m.prefixes == nil {
			m.prefixes = &bart.Table[int]{}
		}
		m.limits = append(m.limits, x.withDefaults())
		for _, p := range x.Prefixes {
			m.prefixes.Insert(p.Masked(), len(m.limits)-1)
		}
	}
	return m
}

func (m *clientLimitTable) find(a netip.Addr) *ClientLimits {
	if m.prefixes != nil && a.IsValid() {
		if i, ok := m.prefixes.Lookup(a.Unmap()); ok {
			return &m.limits[i]
		}
	}
	return &m.limits[0]
}

// crowd is the connections of clients, and the bounds on them.
type clientTable struct {
	clients        []*client
	maxClients     int
	clientLimits   clientLimitTable
	unreadBytes    int // bytes that clients have not taken yet
	maxUnreadBytes int
	sweptAt        time.Duration
}

// client is one connection from a client.
type client struct {
	*Controller
	connection         *Connection
	limits             *ClientLimits
	calls              []*rpcCall    // in the order taken
	stalledSince       time.Duration // since when it has taken nothing of what is written, -1: it has
	unreadAtSweep      int           // what was unread then
	messageSince       time.Duration // since when a whole message is waited for, -1: none is under way
	hasSpoken          bool          // there was one
	idleSince          time.Duration // since when nothing is open
	badCalls           int
	messagesSinceSweep int // messages since the last sweep
	pageReads          int // being read from the spool
}

// asking is what a query of a MessagePack connection belongs to.
type rpcCall struct {
	client    *client
	messageID uint32
	query     *query
}

func (r *Controller) acceptClient(l *Connection) {
	c := &client{Controller: r, connection: l, limits: r.clientLimits.find(l.RemoteAddress), stalledSince: -1, messageSince: r.now, idleSince: r.now}
	l.onBytes, l.onEndOfStream, l.onClosed = c.readCalls, c.abandonAllCalls, c.connectionClosed
	r.clients = append(r.clients, c)
	r.counters.connections++
	r.evictClient(c)
}

// makeWay: where there are too many, those go first that have long said nothing
// whole, then those idle, the longest first, then those whose call may be on its
// way, and the newcomer only if all others have something open: connections
// that cost their owners nothing must not keep out those that mean to ask.
func (r *Controller) evictClient(newcomer *client) {
	rank := func(c *client) int {
		switch {
		case len(c.calls) > 0, c.connection.unwrittenBytes > 0 && (c.stalledSince < 0 || r.now-c.stalledSince < messageTimeout):
			return 4
		case c == newcomer:
			return 3
		case c.messageSince >= 0 && r.now-c.messageSince < networkDelay:
			return 2
		case c.hasSpoken:
			return 1
		}
		return 0
	}
	open, first := 0, newcomer
	for _, x := range r.clients {
		if x.connection.closed {
			continue
		}
		open++
		if a, b := rank(x), rank(first); a < b || a == b && x.idleSince < first.idleSince {
			first = x
		}
	}
	if open > r.maxClients {
		r.counters.disconnected++
		// gently: it may have been answered a moment ago, and ask again just now
		r.closeWithin(first.connection, true, networkDelay)
	}
}

func (c *client) readCalls() {
	whole := false
	for !c.connection.closed {
		var hearer msgpackrpc.Hearer = c
		if c.messagesSinceSweep >= c.limits.MessagesPerSweep { // one more and all the others would have to wait
			hearer = &floodingClient{c}
		}
		n, err := msgpackrpc.Read(c.connection.Received.Bytes(), c.maxMessageBytes, hearer)
		switch {
		case err != nil:
			c.counters.malformed++
			c.disconnect(true)
			return
		case n > 0:
			whole, c.hasSpoken, c.idleSince = true, true, c.now
			c.connection.Received.Drop(n)
			if c.messagesSinceSweep++; c.messagesSinceSweep > c.limits.MessagesPerSweep {
				c.counters.disconnected++
				c.disconnect(true)
			}
			continue
		case len(c.connection.Received.Bytes()) == 0:
			c.messageSince = -1
		case whole || c.messageSince < 0:
			c.messageSince = c.now
		}
		return
	}
}

// flooding tells a connection that is about to be closed why.
type floodingClient struct{ *client }

func (f *floodingClient) explain(msg uint32) {
	if f.findCall(msg) == nil {
		f.reply(msgpackrpc.Killed(nil, msg, "more than "+strconv.Itoa(f.limits.MessagesPerSweep)+" messages in "+sweepEvery.String()+
			" on one connection: it is closed"))
	}
}

func (f *floodingClient) Query(msg uint32, _, _ []byte, _ time.Duration, _ []byte, _ bool, _ []byte, _ msgpackrpc.Fields) {
	f.explain(msg)
}
func (f *floodingClient) Page(msg uint32, _ []byte, _ int, _ msgpackrpc.Fields)     { f.explain(msg) }
func (f *floodingClient) Purge(msg uint32, _ msgpackrpc.Purge, _ msgpackrpc.Fields) { f.explain(msg) }
func (f *floodingClient) Alive(msg uint32)                                          { f.explain(msg) }
func (f *floodingClient) Wrong(msg uint32, _ string)                                { f.explain(msg) }
func (f *floodingClient) Left(msg uint32)                                           { f.client.Left(msg) }

// end closes the connection from our side; what was open on it is lost to it.
func (c *client) disconnect(gently bool) {
	c.closeConnection(c.connection, gently)
	c.abandonAllCalls()
}

func (c *client) connectionClosed() {
	c.connection.Received = bytebuf.Buffer{} // what is due for its queries may outlive it
	c.clients = slices.DeleteFunc(c.clients, func(x *client) bool { return x == c })
	c.abandonAllCalls()
}

func (c *client) abandonAllCalls() {
	for len(c.calls) > 0 {
		c.Left(c.calls[0].messageID)
	}
}

func (c *client) findCall(msg uint32) *rpcCall {
	for _, a := range c.calls {
		if a.messageID == msg {
			return a
		}
	}
	return nil
}

func (c *client) reply(p []byte) { c.write(c.connection, p) }

func (c *client) Query(msg uint32, name, id []byte, patience time.Duration, k []byte, keyed bool, statement []byte, all msgpackrpc.Fields) {
	switch {
	case c.findCall(msg) != nil:
		// answers could no longer be told apart
		c.counters.malformed++
		c.disconnect(true)
		return
	case len(c.calls) >= c.limits.OpenQueries:
		if why := c.validateCall(string(name), string(id), patience, keyed, len(statement), From{c.connection.RemoteAddress, all}); why != "" {
			c.Wrong(msg, why)
			return
		}
		c.Wrong(msg, "too many are open")
		c.disconnect(true)
		return
	}
	a := &rpcCall{client: c, messageID: msg}
	q, why := c.receiveQuery(a, string(name), string(id), patience, k, keyed, statement, From{c.connection.RemoteAddress, all})
	switch why {
	case "":
	case statementMemoryFull: // counted as a fault it would in the end cost what else is open on the connection
		c.counters.deferred++
		c.reply(msgpackrpc.Deferred(nil, msg, min(c.durationSetting("return.most"), patience/2)))
		return
	default:
		c.Wrong(msg, why)
		return
	}
	a.query = q
	c.calls = append(c.calls, a)
}

func (a *rpcCall) finished(pages [][]byte) {
	a.client.reply(msgpackrpc.Answer(nil, a.messageID, pages))
}

func (a *rpcCall) paged(first []byte, rest msgpackrpc.Paging) {
	a.client.reply(msgpackrpc.Paged(nil, a.messageID, first, rest))
}

func (a *rpcCall) deferred(comeBack time.Duration) {
	a.client.reply(msgpackrpc.Deferred(nil, a.messageID, comeBack))
}

func (a *rpcCall) directed(comeBack time.Duration, controllers []string) {
	a.client.reply(msgpackrpc.Directed(nil, a.messageID, comeBack, controllers))
}

func (a *rpcCall) killed(why string) { a.client.reply(msgpackrpc.Killed(nil, a.messageID, why)) }

func (a *rpcCall) notifyWait(wait time.Duration) {
	a.client.reply(msgpackrpc.Told(nil, a.messageID, wait))
}

func (a *rpcCall) connection() *Connection { return a.client.connection }

func (a *rpcCall) closed() {
	a.client.calls = slices.DeleteFunc(a.client.calls, func(x *rpcCall) bool { return x == a })
	a.client.idleSince = a.client.now
}

func (c *client) Alive(msg uint32) {
	c.counters.aliveCalls++
	c.reply(msgpackrpc.Alive(nil, msg, c.discovery.listed && (c.warrant == nil || c.warrant.acceptsQueries())))
}

func (c *client) Left(msg uint32) {
	if a := c.findCall(msg); a != nil {
		c.Controller.clientGone(a.query)
	}
}

func (c *client) Wrong(msg uint32, why string) {
	c.counters.malformed++
	if c.findCall(msg) != nil {
		c.disconnect(true)
		return
	}
	c.reply(msgpackrpc.Killed(nil, msg, why))
	if c.badCalls++; c.badCalls > maxBadCalls {
		c.disconnect(true)
	}
}

// sweepClients ends those that don't take what is written to them, each may
// hold some and all together a part of the memory; those that begin what they
// don't end, or nothing; and those idle for longer than clients keep theirs.
func (r *Controller) sweepClients() {
	r.unreadBytes = 0
	// nobody is to blame for what we stood still ourselves: what came meanwhile is not read yet
	stood := r.now - r.sweptAt - sweepEvery
	if r.sweptAt = r.now; stood < sweepEvery {
		stood = 0
	}
	var worst *client
	for _, c := range slices.Clone(r.clients) {
		if c.idleSince += stood; c.messageSince >= 0 {
			c.messageSince += stood
		}
		if c.stalledSince >= 0 {
			c.stalledSince += stood
		}
		p := c.connection.unwrittenBytes
		r.unreadBytes += p
		c.messagesSinceSweep = 0
		switch {
		case p == 0:
			c.stalledSince = -1
		case c.stalledSince < 0 || p < c.unreadAtSweep:
			c.stalledSince = r.now
		}
		c.unreadAtSweep = p
		switch {
		case c.connection.closed:
			continue
		case c.stalledSince >= 0 && r.now-c.stalledSince > stallTimeout, c.messageSince >= 0 && r.now-c.messageSince > c.limits.MessageTimeout:
			r.counters.disconnected++
			c.disconnect(c.stalledSince < 0) // who takes nothing is not waited for
		case c.messageSince < 0 && len(c.calls) == 0 && c.pageReads == 0 && p == 0 && r.now-c.idleSince > c.limits.IdleTimeout:
			r.counters.idleClosed++
			c.disconnect(true)
		case worst == nil || p > worst.connection.unwrittenBytes:
			worst = c
		}
	}
	if r.unreadBytes > r.maxUnreadBytes && worst != nil {
		r.counters.disconnected++
		worst.disconnect(false)
	}
}

// relieve ends the client with the most of an unread message under way, or else
// the engine's line, where all buffers together hold more than their part of the
// memory. What fits a buffer that any connection may keep is not to blame.
func (r *Controller) relieveBuffers() {
	var worst *client
	most := bytebuf.Keeps
	for _, c := range r.clients {
		if !c.connection.closed && c.messageSince >= 0 && c.connection.bufferBytes > most {
			worst, most = c, c.connection.bufferBytes
		}
	}
	if worst != nil {
		r.counters.disconnected++
		worst.disconnect(false)
		return
	}
	var line *engineConnection
	for _, l := range r.pool.connections {
		if !l.connection.closed && l.connection.bufferBytes > most {
			line, most = l, l.connection.bufferBytes
		}
	}
	if line != nil {
		r.cutConnection(line)
	}
}

const stallTimeout = 10 * time.Second

var _ msgpackrpc.Hearer = (*client)(nil)
var _ queryOwner = (*rpcCall)(nil)
