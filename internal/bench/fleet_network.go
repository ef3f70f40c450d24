package bench

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/emulator/engine"
)

// fleetLink is the network between a controller and an engine's place. What is written into
// a cut lies there until it heals, or its line is aborted.
type fleetLink struct {
	cuts    int
	held    []func()
	latency time.Duration
}

type fleetSubmission struct {
	at         time.Duration
	work       float64
	startKnown bool
}

type fleetConn struct {
	connection              *controller.Connection
	engine                  *fleetEngine
	link                    *fleetLink
	engineConn              *engine.Conn
	closed                  bool // for the controller
	aborted                 bool
	dropNextAnswer          bool // the next answer is lost
	isDiscovery, subscribed bool
	isClient                bool
}

func (c *fleetController) reportWritten(e *fleetConn, n int) {
	if !e.closed {
		c.deliverEvent(controller.Event{Kind: controller.BytesWritten, Connection: e.connection, ByteCount: n})
	}
}

func (c *fleetController) closeConn(e *fleetConn) {
	if e.closed {
		return
	}
	e.closed = true
	delete(c.conns, e.connection)
	if e.engineConn != nil {
		e.link.transmit(func() bool { return true }, func() { e.engine.Server.Disconnected(e.engineConn) })
	}
	c.deliverEvent(controller.Event{Kind: controller.ConnectionClosed, Connection: e.connection})
}

// transmit has something cross, or lie until the cut heals, if it is still wanted then.
func (w *fleetLink) transmit(wanted func() bool, do func()) {
	if w.cuts == 0 {
		do()
		return
	}
	w.held = append(w.held, func() {
		if wanted() {
			do()
		}
	})
}

func (c *fleetController) dial(link *controller.Connection, address string, within time.Duration) {
	e := &fleetConn{connection: link}
	c.conns[link] = e
	if address == "feed" {
		e.isDiscovery = true
		c.scheduleAfter(time.Millisecond, func() { c.deliverEvent(controller.Event{Kind: controller.Connected, Connection: link}) })
		return
	}
	to := c.enginesByAddress[address]
	fail := func(kind controller.EventKind, at time.Duration) {
		c.scheduleAfter(at, func() {
			if e.closed { // it was closed before
				return
			}
			delete(c.conns, link)
			e.closed = true
			c.deliverEvent(controller.Event{Kind: kind, Connection: link})
		})
	}
	way := c.links[to.slot]
	switch {
	case to.Unreachable() || way.cuts > 0:
		fail(controller.ConnectTimedOut, within)
		return
	case to.down:
		fail(controller.ConnectRefused, 2*way.latency)
		return
	}
	e.engine, e.link = to, way
	e.engineConn = &engine.Conn{
		Write: func(p []byte) {
			p = bytes.Clone(p)
			if e.dropNextAnswer {
				e.dropNextAnswer = false
				return
			}
			c.scheduleAfter(way.latency, func() {
				way.transmit(func() bool { return !e.closed }, func() {
					c.deliver(func() { c.receive(e, p) })
				})
			})
		},
		Close: func() {
			c.scheduleAfter(way.latency, func() { way.transmit(func() bool { return !e.closed }, func() { c.closeConn(e) }) })
		},
	}
	c.scheduleAfter(2*way.latency, func() {
		if !e.closed {
			to.Accept(e.engineConn)
			c.deliverEvent(controller.Event{Kind: controller.Connected, Connection: link})
		}
	})
}

// sendRequest brings a call to an engine, unless something befalls it.
func (c *fleetController) sendRequest(e *fleetConn, p []byte) {
	head, _, _ := strings.Cut(string(p), "\r\n")
	words := strings.Fields(head)
	id := ""
	if words[0] == "POST" {
		_, rest, _ := strings.Cut(string(p), "X-Req: ")
		id, _, _ = strings.Cut(rest, "\r\n")
		c.history.Sent(c.now, id, e.engine.ID)
	} else if parts := strings.Split(words[1], "/"); len(parts) > 2 {
		id = parts[2]
	}
	c.tracef("controller %d writes %s %s to %s", c.number, words[0], id, e.engine.ID)
	wrote := func() { c.scheduleAfter(0, func() { c.reportWritten(e, len(p)) }) }
	ill := ""
	if c.rng.Float64() < c.RequestFaultRate && c.now < c.LoadDuration {
		ill = []string{"before", "under", "after", "lost", "garbled"}[c.rng.IntN(5)]
		c.result.FaultCounts[ill]++
		c.tracef("%s befalls it", ill)
	}
	reset := func() { // whatever is still on its way is not sent again
		e.aborted = true
		c.closeConn(e)
	}
	switch ill {
	case "before":
		c.scheduleAfter(0, reset)
		return
	case "under":
		p = p[:len(p)/2]
		wrote()
		c.scheduleAfter(2*e.link.latency, reset)
	case "after":
		wrote()
		c.scheduleAfter(e.link.latency+time.Microsecond, reset)
	case "lost":
		e.dropNextAnswer = true
		wrote()
	case "garbled":
		wrote()
		c.scheduleAfter(e.link.latency*2, func() {
			e.link.transmit(func() bool { return !e.closed }, func() { c.deliver(func() { c.receive(e, []byte("HTTP/1.1 2x0 what\r\n\r\n")) }) })
		})
	default:
		wrote()
	}
	c.scheduleAfter(e.link.latency, func() {
		lay := e.link.cuts > 0
		e.link.transmit(func() bool { return !e.aborted }, func() {
			if lay && e.closed && words[0] == "POST" {
				c.result.LateDeliveries++
			}
			e.engine.handleRequest(c, e, words[0], id, p)
		})
	})
}

func (c *fleetController) sendDiscoveryEvents(e *fleetConn, in time.Duration) {
	c.scheduleAfter(in, func() {
		if e.closed {
			return
		}
		from := c.lastEvent
		if from > 0 && c.rng.IntN(3) == 0 {
			from-- // doubled
		}
		lines, since := c.discoveryLog.EventsSince(from), c.lastEvent
		c.lastEvent = c.discoveryLog.LastEvent()
		last := c.lastEvent
		c.deliver(func() {
			for n := since; n < last; n++ {
				if t := c.logEvents[n]; t.engine != nil {
					c.history.SetServing(c.now, t.engine.ID, t.serving)
					if t.upSinceMs == t.engine.UpSinceMs && t.serving {
						t.engine.startKnownBy[c.number] = true
					}
				}
			}
			c.receive(e, lines)
		})
	})
}

func (c *fleetController) scheduleHeartbeat(e *fleetConn) {
	c.scheduleAfter(time.Second, func() {
		if !e.closed {
			p := append(strconv.AppendInt(nil, int64(c.lastEvent), 10), '\n')
			c.deliver(func() { c.receive(e, p) })
			c.scheduleHeartbeat(e)
		}
	})
}
