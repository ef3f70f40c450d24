package bench

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/emulator/engine"
)

// fleetWay is the network between a controller and an engine's place. What is written into
// a cut lies there until it heals, or its line is aborted.
type fleetWay struct {
	cut   int
	lying []func()
	delay time.Duration
}

type fleetSent struct {
	at   time.Duration
	work float64
	told bool
}

type fleetEnd struct {
	link     *controller.Connection
	e        *fleetEngine
	way      *fleetWay
	conn     *engine.Conn
	gone     bool // for the controller
	aborted  bool
	mute     bool // the next answer is lost
	feed, up bool
	client   bool
}

func (c *fleetController) wrote(e *fleetEnd, n int) {
	if !e.gone {
		c.event(controller.Event{Kind: controller.BytesWritten, Connection: e.link, ByteCount: n})
	}
}

func (c *fleetController) lose(e *fleetEnd) {
	if e.gone {
		return
	}
	e.gone = true
	delete(c.ends, e.link)
	if e.conn != nil {
		e.way.pass(func() bool { return true }, func() { e.e.Server.Disconnected(e.conn) })
	}
	c.event(controller.Event{Kind: controller.ConnectionClosed, Connection: e.link})
}

// pass has something cross, or lie until the cut heals, if it is still wanted then.
func (w *fleetWay) pass(wanted func() bool, do func()) {
	if w.cut == 0 {
		do()
		return
	}
	w.lying = append(w.lying, func() {
		if wanted() {
			do()
		}
	})
}

func (c *fleetController) dial(link *controller.Connection, address string, within time.Duration) {
	e := &fleetEnd{link: link}
	c.ends[link] = e
	if address == "feed" {
		e.feed = true
		c.after(time.Millisecond, func() { c.event(controller.Event{Kind: controller.Connected, Connection: link}) })
		return
	}
	to := c.byAddr[address]
	fail := func(kind controller.EventKind, at time.Duration) {
		c.after(at, func() {
			if e.gone { // it was closed before
				return
			}
			delete(c.ends, link)
			e.gone = true
			c.event(controller.Event{Kind: kind, Connection: link})
		})
	}
	way := c.ways[to.place]
	switch {
	case to.Unreachable() || way.cut > 0:
		fail(controller.ConnectTimedOut, within)
		return
	case to.down:
		fail(controller.ConnectRefused, 2*way.delay)
		return
	}
	e.e, e.way = to, way
	e.conn = &engine.Conn{
		Write: func(p []byte) {
			p = bytes.Clone(p)
			if e.mute {
				e.mute = false
				return
			}
			c.after(way.delay, func() {
				way.pass(func() bool { return !e.gone }, func() {
					c.deliver(func() { c.gets(e, p) })
				})
			})
		},
		Close: func() {
			c.after(way.delay, func() { way.pass(func() bool { return !e.gone }, func() { c.lose(e) }) })
		},
	}
	c.after(2*way.delay, func() {
		if !e.gone {
			to.Accept(e.conn)
			c.event(controller.Event{Kind: controller.Connected, Connection: link})
		}
	})
}

// writes brings a call to an engine, unless something befalls it.
func (c *fleetController) writes(e *fleetEnd, p []byte) {
	head, _, _ := strings.Cut(string(p), "\r\n")
	words := strings.Fields(head)
	id := ""
	if words[0] == "POST" {
		_, rest, _ := strings.Cut(string(p), "X-Req: ")
		id, _, _ = strings.Cut(rest, "\r\n")
		c.history.Sent(c.now, id, e.e.ID)
	} else if parts := strings.Split(words[1], "/"); len(parts) > 2 {
		id = parts[2]
	}
	c.say("controller %d writes %s %s to %s", c.n, words[0], id, e.e.ID)
	wrote := func() { c.after(0, func() { c.wrote(e, len(p)) }) }
	ill := ""
	if c.rng.Float64() < c.Calls && c.now < c.Long {
		ill = []string{"before", "under", "after", "lost", "garbled"}[c.rng.IntN(5)]
		c.out.Took[ill]++
		c.say("%s befalls it", ill)
	}
	reset := func() { // whatever is still on its way is not sent again
		e.aborted = true
		c.lose(e)
	}
	switch ill {
	case "before":
		c.after(0, reset)
		return
	case "under":
		p = p[:len(p)/2]
		wrote()
		c.after(2*e.way.delay, reset)
	case "after":
		wrote()
		c.after(e.way.delay+time.Microsecond, reset)
	case "lost":
		e.mute = true
		wrote()
	case "garbled":
		wrote()
		c.after(e.way.delay*2, func() {
			e.way.pass(func() bool { return !e.gone }, func() { c.deliver(func() { c.gets(e, []byte("HTTP/1.1 2x0 what\r\n\r\n")) }) })
		})
	default:
		wrote()
	}
	c.after(e.way.delay, func() {
		lay := e.way.cut > 0
		e.way.pass(func() bool { return !e.aborted }, func() {
			if lay && e.gone && words[0] == "POST" {
				c.out.Late++
			}
			e.e.comes(c, e, words[0], id, p)
		})
	})
}

func (c *fleetController) follows(e *fleetEnd, in time.Duration) {
	c.after(in, func() {
		if e.gone {
			return
		}
		from := c.fed
		if from > 0 && c.rng.IntN(3) == 0 {
			from-- // doubled
		}
		lines, since := c.log.EventsSince(from), c.fed
		c.fed = c.log.LastEvent()
		last := c.fed
		c.deliver(func() {
			for n := since; n < last; n++ {
				if t := c.told[n]; t.e != nil {
					c.history.SetServing(c.now, t.e.ID, t.on)
					if t.up == t.e.UpSinceMs && t.on {
						t.e.toldTo[c.n] = true
					}
				}
			}
			c.gets(e, lines)
		})
	})
}

func (c *fleetController) beat(e *fleetEnd) {
	c.after(time.Second, func() {
		if !e.gone {
			p := append(strconv.AppendInt(nil, int64(c.fed), 10), '\n')
			c.deliver(func() { c.gets(e, p) })
			c.beat(e)
		}
	})
}
