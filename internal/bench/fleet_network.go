package bench

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/emulator/engine"
)

// fleetLink is the network between a controller and an engine slot. Data that is sent while the link is cut
// is held until the link is restored. After a cut, a held request arrives unless its connection was aborted,
// and a held response arrives unless its connection was closed.
type fleetLink struct {
	cuts    int // number of cuts in force, which may overlap
	held    []func()
	latency time.Duration
}

// fleetSubmission is the submission of a query to a cold engine.
type fleetSubmission struct {
	at         time.Duration
	work       float64 // core-seconds
	startKnown bool    // the controller had been told of the engine's start
}

// fleetConn is a connection of a controller to an engine, the discovery service or the clients.
type fleetConn struct {
	connection     *controller.Connection
	engine         *fleetEngine
	link           *fleetLink
	engineConn     *engine.Conn
	closed         bool // the controller's end of the connection is closed
	aborted        bool // requests that haven't arrived yet are lost
	dropNextAnswer bool
	isDiscovery    bool
	subscribed     bool
	isClient       bool
}

// reportWritten confirms to the controller that n bytes were written.
func (c *fleetController) reportWritten(conn *fleetConn, n int) {
	if !conn.closed {
		c.deliverEvent(controller.Event{Kind: controller.BytesWritten, Connection: conn.connection, ByteCount: n})
	}
}

func (c *fleetController) closeConn(conn *fleetConn) {
	if conn.closed {
		return
	}
	conn.closed = true
	delete(c.conns, conn.connection)
	if conn.engineConn != nil {
		always := func() bool { return true }
		conn.link.transmit(always, func() { conn.engine.Server.Disconnected(conn.engineConn) })
	}
	c.deliverEvent(controller.Event{Kind: controller.ConnectionClosed, Connection: conn.connection})
}

// transmit calls deliver at once if the link is not cut. Otherwise it waits until the link is restored, and
// then calls deliver if wanted returns true.
func (l *fleetLink) transmit(wanted func() bool, deliver func()) {
	if l.cuts == 0 {
		deliver()
		return
	}
	l.held = append(l.held, func() {
		if wanted() {
			deliver()
		}
	})
}

func (c *fleetController) dial(connection *controller.Connection, address string, timeout time.Duration) {
	conn := &fleetConn{connection: connection}
	c.conns[connection] = conn
	if address == "feed" {
		conn.isDiscovery = true
		c.scheduleAfter(time.Millisecond, func() {
			c.deliverEvent(controller.Event{Kind: controller.Connected, Connection: connection})
		})
		return
	}
	target := c.enginesByAddress[address]
	fail := func(kind controller.EventKind, delay time.Duration) {
		c.scheduleAfter(delay, func() {
			if conn.closed { // the controller closed it before the dial failed
				return
			}
			delete(c.conns, connection)
			conn.closed = true
			c.deliverEvent(controller.Event{Kind: kind, Connection: connection})
		})
	}
	link := c.links[target.slot]
	switch {
	case target.Unreachable() || link.cuts > 0:
		fail(controller.ConnectTimedOut, timeout)
		return
	case target.down:
		fail(controller.ConnectRefused, 2*link.latency)
		return
	}
	conn.engine, conn.link = target, link
	open := func() bool { return !conn.closed }
	conn.engineConn = &engine.Conn{
		Write: func(data []byte) {
			data = bytes.Clone(data)
			if conn.dropNextAnswer {
				conn.dropNextAnswer = false
				return
			}
			c.scheduleAfter(link.latency, func() {
				link.transmit(open, func() {
					c.deliver(func() { c.receive(conn, data) })
				})
			})
		},
		Close: func() {
			c.scheduleAfter(link.latency, func() { link.transmit(open, func() { c.closeConn(conn) }) })
		},
	}
	c.scheduleAfter(2*link.latency, func() {
		if !conn.closed {
			target.Accept(conn.engineConn)
			c.deliverEvent(controller.Event{Kind: controller.Connected, Connection: connection})
		}
	})
}

// These are the faults of single requests to engines.
const (
	fleetResetBeforeRequest = "before"  // the connection is reset before the request is sent
	fleetResetDuringRequest = "under"   // the connection is reset after half of the request
	fleetResetAfterRequest  = "after"   // the connection is reset once the request has arrived
	fleetAnswerLost         = "lost"    // the engine's next answer is dropped
	fleetAnswerGarbled      = "garbled" // a malformed answer arrives
)

// sendRequest sends a request to an engine, or applies one of the faults to it.
func (c *fleetController) sendRequest(conn *fleetConn, request []byte) {
	head, _, _ := strings.Cut(string(request), "\r\n")
	words := strings.Fields(head)
	method, id := words[0], ""
	if method == "POST" {
		_, rest, _ := strings.Cut(string(request), "X-Req: ")
		id, _, _ = strings.Cut(rest, "\r\n")
		c.history.Sent(c.now, id, conn.engine.ID)
	} else if parts := strings.Split(words[1], "/"); len(parts) > 2 {
		id = parts[2]
	}
	c.tracef("controller %d sends %s %s to %s", c.number, method, id, conn.engine.ID)
	link := conn.link
	confirmWritten := func() { c.scheduleAfter(0, func() { c.reportWritten(conn, len(request)) }) }
	fault := ""
	if c.rng.Float64() < c.RequestFaultRate && c.now < c.LoadDuration {
		fault = []string{fleetResetBeforeRequest, fleetResetDuringRequest, fleetResetAfterRequest,
			fleetAnswerLost, fleetAnswerGarbled}[c.rng.IntN(5)]
		c.result.FaultCounts[fault]++
		c.tracef("fault of the request: %s", fault)
	}
	reset := func() { // also drops the requests that have not arrived yet
		conn.aborted = true
		c.closeConn(conn)
	}
	switch fault {
	case fleetResetBeforeRequest:
		c.scheduleAfter(0, reset)
		return
	case fleetResetDuringRequest:
		request = request[:len(request)/2]
		confirmWritten()
		c.scheduleAfter(2*link.latency, reset)
	case fleetResetAfterRequest:
		confirmWritten()
		c.scheduleAfter(link.latency+time.Microsecond, reset)
	case fleetAnswerLost:
		conn.dropNextAnswer = true
		confirmWritten()
	case fleetAnswerGarbled:
		confirmWritten()
		c.scheduleAfter(link.latency*2, func() {
			link.transmit(func() bool { return !conn.closed }, func() {
				c.deliver(func() { c.receive(conn, []byte("HTTP/1.1 2x0 what\r\n\r\n")) })
			})
		})
	default:
		confirmWritten()
	}
	c.scheduleAfter(link.latency, func() {
		wasHeld := link.cuts > 0
		link.transmit(func() bool { return !conn.aborted }, func() {
			if wasHeld && conn.closed && method == "POST" {
				c.result.LateDeliveries++
			}
			conn.engine.handleRequest(c, conn, method, id, request)
		})
	})
}

// sendDiscoveryEvents sends, after a delay, the discovery events that the controller hasn't been sent yet. In
// one of three cases, at random, it also repeats the latest event that the controller was sent.
func (c *fleetController) sendDiscoveryEvents(conn *fleetConn, delay time.Duration) {
	c.scheduleAfter(delay, func() {
		if conn.closed {
			return
		}
		from := c.lastEvent
		if from > 0 && c.rng.IntN(3) == 0 {
			from-- // repeats the latest event that was sent
		}
		lines, first := c.discoveryLog.EventsSince(from), c.lastEvent
		c.lastEvent = c.discoveryLog.LastEvent()
		last := c.lastEvent
		c.deliver(func() {
			for n := first; n < last; n++ {
				if event := c.logEvents[n]; event.engine != nil {
					c.history.SetServing(c.now, event.engine.ID, event.serving)
					if event.upSinceMs == event.engine.UpSinceMs && event.serving {
						event.engine.startKnownBy[c.number] = true
					}
				}
			}
			c.receive(conn, lines)
		})
	})
}

// scheduleHeartbeat sends the number of the latest event every second, until the connection is closed.
func (c *fleetController) scheduleHeartbeat(conn *fleetConn) {
	c.scheduleAfter(time.Second, func() {
		if !conn.closed {
			line := append(strconv.AppendInt(nil, int64(c.lastEvent), 10), '\n')
			c.deliver(func() { c.receive(conn, line) })
			c.scheduleHeartbeat(conn)
		}
	})
}
