package bench

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/feed"
	"railrelay.dev/railrelay/internal/emulator/world"
	"railrelay.dev/railrelay/internal/historycheck"
)

type fleetController struct {
	*fleetRun
	number            int
	controller        *controller.Controller
	history           historycheck.History
	conns             map[*controller.Connection]*fleetConn
	stalledUntil      time.Duration
	pendingDeliveries []func() // what came while it stood still
	timerSerial       int
	discoveryConn     *fleetConn
	lastEvent         int
	clientConn        *fleetConn
	clientInput       []byte
	openQueries       map[uint32]*world.Query
	links             []*fleetLink
}

func (c *fleetController) queryByID(id string) *world.Query {
	for _, a := range c.openQueries {
		if a.ID == id {
			return a
		}
	}
	return nil
}

func (f *fleetRun) startController(n int) {
	c := &fleetController{fleetRun: f, number: n, conns: map[*controller.Connection]*fleetConn{}, openQueries: map[uint32]*world.Query{}, stalledUntil: -1, lastEvent: f.discoveryLog.LastEvent()}
	facts := map[string]string{}
	for k, v := range f.settings {
		facts[k] = v
	}
	facts["own.number"] = strconv.Itoa(n)
	ms := func(name string) time.Duration { return time.Duration(settingNumber(facts[name])) * time.Millisecond }
	c.history = historycheck.History{KeyRest: ms("key.rest"), RestAfterFailure: true,
		DrainGrace:         ms("drain.grace"),
		MaxSubmissions:     int(settingNumber(facts["submissions.most"])),
		ForbidSecondCopies: facts["may.copy"] != "true"}
	for i := range int(settingNumber(facts["groups"])) {
		at := fmt.Sprintf("group.%d.", i)
		c.history.AddGroup(facts[at+"name"], facts[at+"effect"], facts[at+"in-order"] == "true")
	}
	for range f.EngineCount {
		c.links = append(c.links, &fleetLink{latency: time.Duration(100+f.rng.IntN(2000)) * time.Microsecond})
	}
	f.controllers = append(f.controllers, c)
	r, effects := controller.New(controller.Config{Seed: f.rng.Uint64(), MemoryMB: 256, MaxDescriptors: 512, DiscoveryAddress: "feed", InitialEndpoints: f.discoveryLog.ConfigurationJSON(), Settings: facts,
		StartedAt: time.UnixMilli(fleetEpochMs), ClientLimits: []controller.ClientLimits{{Prefixes: ClientPrefixes, MaxOpenQueries: 100_000, MaxMessagesPerSweep: 100_000, IdleTimeout: time.Minute}}})
	c.controller = r
	c.perform(effects)
}

// ensureClientConnected has the clients' connection stand: one that says nothing is ended.
func (c *fleetController) ensureClientConnected() {
	if c.clientConn == nil || c.clientConn.closed {
		c.clientConn = &fleetConn{connection: &controller.Connection{RemoteAddress: ClientAddress}, isClient: true}
		c.conns[c.clientConn.connection] = c.clientConn
		end := c.clientConn
		c.deliver(func() { c.step(controller.Event{Kind: controller.ClientAccepted, Connection: end.connection}) })
	}
}

func settingNumber(text string) float64 {
	x, _ := strconv.ParseFloat(text, 64)
	return x
}

// scheduleQueries has clients ask at a rate. Queries of one key come 60 ms apart at the least.
func (c *fleetController) scheduleQueries(kinds []WorkloadGroup, rate float64) {
	var next func()
	msg := uint32(0)
	last := map[string]time.Duration{}
	next = func() {
		if c.now >= c.LoadDuration {
			return
		}
		x, k := c.rng.Float64(), kinds[0]
		for _, one := range kinds {
			if k = one; x < one.Share {
				break
			}
			x -= one.Share
		}
		msg++
		id := fmt.Sprintf("%04x%012x", c.number, msg)
		work := engine.Work{Threads: k.Threads, MemoryMB: k.MemoryMB, TableGroup: int64(c.rng.IntN(20)), Load: k.Load, Rows: k.Rows}
		work.CPU = time.Duration(float64(k.CPU) * math.Exp(c.rng.NormFloat64()*k.CPUSigma-k.CPUSigma*k.CPUSigma/2))
		work.Disk = time.Duration(float64(work.CPU) / k.Threads * k.DiskPerCPU)
		patience := k.Patience/2 + time.Duration(c.rng.Int64N(int64(k.Patience/2)))
		fields := []string{"trace", id, "patience", fmt.Sprint(patience.Milliseconds())}
		key, at := "", c.now
		if k.Load {
			key = fmt.Sprintf("k%d", c.rng.IntN(4))
			fields = append(fields, "entity", key)
			at = max(c.now, last[key]+60*time.Millisecond)
			last[key] = at
		}
		m := msg
		c.fleetRun.scheduleAt(at, func() {
			a := &world.Query{ID: id, Group: k.Name, Msg: m, SubmittedAt: c.now, Deadline: c.now + patience,
				Work: work}
			c.openQueries[m], c.controllersByQuery[id] = a, c
			c.result.Queries++
			c.ensureClientConnected()
			end := c.clientConn
			p := client.AppendQuery(nil, m, k.Name, engine.Statement(work), fields...)
			c.deliver(func() {
				// taken once it is read: a patience that passed while it stood still is the client's
				c.history.Received(c.now, id, k.Name, key, max(a.Deadline, c.now)+c.readDelay(a.SubmittedAt))
				began := time.Now()
				c.receive(end, p)
				c.result.ArrivalTime += time.Since(began)
			})
		})
		c.scheduleAfter(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	c.scheduleAfter(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

// readDelay is how much later than it came something was read.
func (c *fleetController) readDelay(at time.Duration) time.Duration { return c.now - at }

// deliver has something come to the controller, now or once it goes on.
func (c *fleetController) deliver(do func()) {
	if c.now < c.stalledUntil {
		c.pendingDeliveries = append(c.pendingDeliveries, do)
		return
	}
	do()
}

func (c *fleetController) deliverEvent(ev controller.Event) { c.deliver(func() { c.step(ev) }) }

func (c *fleetController) step(ev controller.Event) { c.perform(c.controller.Step(c.now, ev)) }

func (c *fleetController) receive(e *fleetConn, p []byte) {
	for len(p) > 0 && !e.closed {
		n := copy(e.connection.Received.FreeSpace(), p)
		p = p[n:]
		c.step(controller.Event{Kind: controller.BytesReceived, Connection: e.connection, ByteCount: n})
	}
}

func (c *fleetController) perform(effects []controller.Effect) {
	for _, fx := range effects {
		e := c.conns[fx.Connection]
		switch fx.Kind {
		case controller.Dial:
			c.dial(fx.Connection, fx.Address, fx.Timeout)
		case controller.Write:
			if e == nil || e.closed {
				break
			}
			p := bytes.Clone(fx.Bytes)
			if e.engine != nil {
				c.sendRequest(e, p)
				break
			}
			c.scheduleAfter(0, func() { c.reportWritten(e, len(p)) })
			if e.isClient {
				c.readAnswers(p)
			} else if !e.subscribed {
				e.subscribed = true
				n, _ := feed.ParseSubscription(p)
				c.lastEvent, c.discoveryConn = min(n, c.lastEvent), e
				c.sendDiscoveryEvents(e, c.MaxDiscoveryLag/4)
				c.scheduleHeartbeat(e)
			}
		case controller.Close:
			if e != nil {
				e.aborted = e.aborted || fx.Abort
				c.scheduleAfter(0, func() { c.closeConn(e) })
			}
		case controller.SetTimer:
			c.timerSerial++
			mine := c.timerSerial
			c.scheduleAfter(fx.Timeout, func() {
				c.deliver(func() {
					if mine == c.timerSerial {
						c.step(controller.Event{Kind: controller.TimerFired})
					}
				})
			})
		}
	}
}

// readAnswers is a client's side of what a controller writes.
func (c *fleetController) readAnswers(p []byte) {
	c.clientInput = append(c.clientInput, p...)
	for {
		ans, n, err := client.Read(c.clientInput)
		if err != nil {
			c.history.AddFault(c.now, err.Error())
			return
		}
		if n == 0 {
			return
		}
		c.clientInput = bytes.Clone(c.clientInput[n:])
		if ans.Kind == client.WaitNotice {
			continue
		}
		a := c.openQueries[ans.Msg]
		if a == nil {
			c.history.AddFault(c.now, fmt.Sprintf("rule 1: an answer to %d that nobody waits for", ans.Msg))
			continue
		}
		c.tracef("%s answered: %d", a.ID, ans.Kind)
		delete(c.openQueries, ans.Msg)
		at := c.now
		if c.now-c.stalledUntil < 50*time.Millisecond { // nothing can be answered while it stands still
			at = min(at, a.Deadline)
		}
		c.history.Answered(at, a.ID, historycheck.Answer(ans.Kind), ans.Rows, world.ExpectedRows(a))
	}
}

func (c *fleetController) resume() {
	if c.now < c.stalledUntil {
		return
	}
	waiting := c.pendingDeliveries
	c.pendingDeliveries = nil
	for _, do := range waiting {
		do()
	}
}
