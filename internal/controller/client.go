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

func (c *Controller) acceptClient(conn *Connection) {
	cl := &client{Controller: c, connection: conn, limits: c.clientLimits.find(conn.RemoteAddress), stalledSince: -1, messageSince: c.now, idleSince: c.now}
	conn.onBytes, conn.onEndOfStream, conn.onClosed = cl.readCalls, cl.abandonAllCalls, cl.connectionClosed
	c.clients = append(c.clients, cl)
	c.counters.connections++
	c.evictClient(cl)
}

// makeWay: where there are too many, those go first that have long said nothing
// whole, then those idle, the longest first, then those whose call may be on its
// way, and the newcomer only if all others have something open: connections
// that cost their owners nothing must not keep out those that mean to ask.
func (c *Controller) evictClient(newcomer *client) {
	rank := func(cl *client) int {
		switch {
		case len(cl.calls) > 0, cl.connection.unwrittenBytes > 0 && (cl.stalledSince < 0 || c.now-cl.stalledSince < messageTimeout):
			return 4
		case cl == newcomer:
			return 3
		case cl.messageSince >= 0 && c.now-cl.messageSince < networkDelay:
			return 2
		case cl.hasSpoken:
			return 1
		}
		return 0
	}
	open, first := 0, newcomer
	for _, x := range c.clients {
		if x.connection.closed {
			continue
		}
		open++
		if a, b := rank(x), rank(first); a < b || a == b && x.idleSince < first.idleSince {
			first = x
		}
	}
	if open > c.maxClients {
		c.counters.disconnected++
		// gently: it may have been answered a moment ago, and ask again just now
		c.closeWithin(first.connection, true, networkDelay)
	}
}

func (cl *client) readCalls() {
	whole := false
	for !cl.connection.closed {
		var hearer msgpackrpc.Hearer = cl
		if cl.messagesSinceSweep >= cl.limits.MessagesPerSweep { // one more and all the others would have to wait
			hearer = &floodingClient{cl}
		}
		n, err := msgpackrpc.Read(cl.connection.Received.Bytes(), cl.maxMessageBytes, hearer)
		switch {
		case err != nil:
			cl.counters.malformed++
			cl.disconnect(true)
			return
		case n > 0:
			whole, cl.hasSpoken, cl.idleSince = true, true, cl.now
			cl.connection.Received.Drop(n)
			if cl.messagesSinceSweep++; cl.messagesSinceSweep > cl.limits.MessagesPerSweep {
				cl.counters.disconnected++
				cl.disconnect(true)
			}
			continue
		case len(cl.connection.Received.Bytes()) == 0:
			cl.messageSince = -1
		case whole || cl.messageSince < 0:
			cl.messageSince = cl.now
		}
		return
	}
}

// flooding tells a connection that is about to be closed why.
type floodingClient struct{ *client }

func (f *floodingClient) explain(msg uint32) {
	if f.findCall(msg) == nil {
		f.reply(msgpackrpc.Killed(nil, msg, "more than "+strconv.Itoa(f.limits.MessagesPerSweep)+" messages in "+sweepInterval.String()+
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
func (cl *client) disconnect(gently bool) {
	cl.closeConnection(cl.connection, gently)
	cl.abandonAllCalls()
}

func (cl *client) connectionClosed() {
	cl.connection.Received = bytebuf.Buffer{} // what is due for its queries may outlive it
	cl.clients = slices.DeleteFunc(cl.clients, func(x *client) bool { return x == cl })
	cl.abandonAllCalls()
}

func (cl *client) abandonAllCalls() {
	for len(cl.calls) > 0 {
		cl.Left(cl.calls[0].messageID)
	}
}

func (cl *client) findCall(msg uint32) *rpcCall {
	for _, a := range cl.calls {
		if a.messageID == msg {
			return a
		}
	}
	return nil
}

func (cl *client) reply(p []byte) { cl.write(cl.connection, p) }

func (cl *client) Query(msg uint32, name, id []byte, patience time.Duration, k []byte, keyed bool, statement []byte, all msgpackrpc.Fields) {
	switch {
	case cl.findCall(msg) != nil:
		// answers could no longer be told apart
		cl.counters.malformed++
		cl.disconnect(true)
		return
	case len(cl.calls) >= cl.limits.OpenQueries:
		if why := cl.validateCall(string(name), string(id), patience, keyed, len(statement), From{cl.connection.RemoteAddress, all}); why != "" {
			cl.Wrong(msg, why)
			return
		}
		cl.Wrong(msg, "too many are open")
		cl.disconnect(true)
		return
	}
	a := &rpcCall{client: cl, messageID: msg}
	q, why := cl.receiveQuery(a, string(name), string(id), patience, k, keyed, statement, From{cl.connection.RemoteAddress, all})
	switch why {
	case "":
	case statementMemoryFull: // counted as a fault it would in the end cost what else is open on the connection
		cl.counters.deferred++
		cl.reply(msgpackrpc.Deferred(nil, msg, min(cl.durationSetting("return.most"), patience/2)))
		return
	default:
		cl.Wrong(msg, why)
		return
	}
	a.query = q
	cl.calls = append(cl.calls, a)
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

func (cl *client) Alive(msg uint32) {
	cl.counters.aliveCalls++
	cl.reply(msgpackrpc.Alive(nil, msg, cl.discovery.listed && (cl.servingLease == nil || cl.servingLease.acceptsQueries())))
}

func (cl *client) Left(msg uint32) {
	if a := cl.findCall(msg); a != nil {
		cl.Controller.clientGone(a.query)
	}
}

func (cl *client) Wrong(msg uint32, why string) {
	cl.counters.malformed++
	if cl.findCall(msg) != nil {
		cl.disconnect(true)
		return
	}
	cl.reply(msgpackrpc.Killed(nil, msg, why))
	if cl.badCalls++; cl.badCalls > maxBadCalls {
		cl.disconnect(true)
	}
}

// sweepClients ends those that don't take what is written to them, each may
// hold some and all together a part of the memory; those that begin what they
// don't end, or nothing; and those idle for longer than clients keep theirs.
func (c *Controller) sweepClients() {
	c.unreadBytes = 0
	// nobody is to blame for what we stood still ourselves: what came meanwhile is not read yet
	stood := c.now - c.sweptAt - sweepInterval
	if c.sweptAt = c.now; stood < sweepInterval {
		stood = 0
	}
	var worst *client
	for _, cl := range slices.Clone(c.clients) {
		if cl.idleSince += stood; cl.messageSince >= 0 {
			cl.messageSince += stood
		}
		if cl.stalledSince >= 0 {
			cl.stalledSince += stood
		}
		p := cl.connection.unwrittenBytes
		c.unreadBytes += p
		cl.messagesSinceSweep = 0
		switch {
		case p == 0:
			cl.stalledSince = -1
		case cl.stalledSince < 0 || p < cl.unreadAtSweep:
			cl.stalledSince = c.now
		}
		cl.unreadAtSweep = p
		switch {
		case cl.connection.closed:
			continue
		case cl.stalledSince >= 0 && c.now-cl.stalledSince > stallTimeout, cl.messageSince >= 0 && c.now-cl.messageSince > cl.limits.MessageTimeout:
			c.counters.disconnected++
			cl.disconnect(cl.stalledSince < 0) // who takes nothing is not waited for
		case cl.messageSince < 0 && len(cl.calls) == 0 && cl.pageReads == 0 && p == 0 && c.now-cl.idleSince > cl.limits.IdleTimeout:
			c.counters.idleClosed++
			cl.disconnect(true)
		case worst == nil || p > worst.connection.unwrittenBytes:
			worst = cl
		}
	}
	if c.unreadBytes > c.maxUnreadBytes && worst != nil {
		c.counters.disconnected++
		worst.disconnect(false)
	}
}

// relieve ends the client with the most of an unread message under way, or else
// the engine's line, where all buffers together hold more than their part of the
// memory. What fits a buffer that any connection may keep is not to blame.
func (c *Controller) relieveBuffers() {
	var worst *client
	most := bytebuf.Keeps
	for _, cl := range c.clients {
		if !cl.connection.closed && cl.messageSince >= 0 && cl.connection.bufferBytes > most {
			worst, most = cl, cl.connection.bufferBytes
		}
	}
	if worst != nil {
		c.counters.disconnected++
		worst.disconnect(false)
		return
	}
	var line *engineConnection
	for _, l := range c.pool.connections {
		if !l.connection.closed && l.connection.bufferBytes > most {
			line, most = l, l.connection.bufferBytes
		}
	}
	if line != nil {
		c.cutConnection(line)
	}
}

const stallTimeout = 10 * time.Second

var _ msgpackrpc.Hearer = (*client)(nil)
var _ queryOwner = (*rpcCall)(nil)
