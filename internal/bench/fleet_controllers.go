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

// fleetController is a controller of a simulated fleet, with its connections and its clients. history checks
// the controller's behaviour.
type fleetController struct {
	*fleetRun
	number            int
	controller        *controller.Controller
	history           historycheck.History
	conns             map[*controller.Connection]*fleetConn
	stalledUntil      time.Duration
	pendingDeliveries []func() // held back while the controller is stalled
	timerGeneration   int      // number of SetTimer effects; each one replaces the timer before it
	discoveryConn     *fleetConn
	lastEvent         int // number of the latest discovery event that was sent to the controller
	clientConn        *fleetConn
	clientInput       []byte
	openQueries       map[uint32]*world.Query // by message number
	links             []*fleetLink            // by engine slot
}

// queryByID returns the unanswered query with an ID, or nil if there is none.
func (c *fleetController) queryByID(id string) *world.Query {
	for _, q := range c.openQueries {
		if q.ID == id {
			return q
		}
	}
	return nil
}

func (f *fleetRun) startController(number int) {
	c := &fleetController{
		fleetRun:     f,
		number:       number,
		conns:        map[*controller.Connection]*fleetConn{},
		openQueries:  map[uint32]*world.Query{},
		stalledUntil: -1,
		lastEvent:    f.discoveryLog.LastEvent(),
	}
	settings := map[string]string{}
	for name, value := range f.settings {
		settings[name] = value
	}
	settings["own.number"] = strconv.Itoa(number)
	milliseconds := func(name string) time.Duration {
		return time.Duration(settingNumber(settings[name])) * time.Millisecond
	}
	c.history = historycheck.History{
		KeyRest:            milliseconds("key.rest"),
		RestAfterFailure:   true,
		DrainGrace:         milliseconds("drain.grace"),
		MaxSubmissions:     int(settingNumber(settings["submissions.most"])),
		ForbidSecondCopies: settings["may.copy"] != "true",
	}
	for i := range int(settingNumber(settings["groups"])) {
		prefix := fmt.Sprintf("group.%d.", i)
		inOrder := settings[prefix+"in-order"] == "true"
		c.history.AddGroup(settings[prefix+"name"], settings[prefix+"effect"], inOrder)
	}
	for range f.EngineCount {
		latency := time.Duration(100+f.rng.IntN(2000)) * time.Microsecond
		c.links = append(c.links, &fleetLink{latency: latency})
	}
	f.controllers = append(f.controllers, c)
	limits := controller.ClientLimits{
		Prefixes:            ClientPrefixes,
		MaxOpenQueries:      100_000,
		MaxMessagesPerSweep: 100_000,
		IdleTimeout:         time.Minute,
	}
	simulated, effects := controller.New(controller.Config{
		Seed:             f.rng.Uint64(),
		MemoryMB:         256,
		MaxDescriptors:   512,
		DiscoveryAddress: "feed",
		InitialEndpoints: f.discoveryLog.ConfigurationJSON(),
		Settings:         settings,
		StartedAt:        time.UnixMilli(fleetEpochMs),
		ClientLimits:     []controller.ClientLimits{limits},
	})
	c.controller = simulated
	c.perform(effects)
}

// ensureClientConnected opens the clients' connection if none is open. The controller closes the connection
// when it has been idle for long.
func (c *fleetController) ensureClientConnected() {
	if c.clientConn == nil || c.clientConn.closed {
		conn := &fleetConn{connection: &controller.Connection{RemoteAddress: ClientAddress}, isClient: true}
		c.clientConn = conn
		c.conns[conn.connection] = conn
		c.deliverEvent(controller.Event{Kind: controller.ClientAccepted, Connection: conn.connection})
	}
}

// settingNumber returns the number in the text of a setting, or 0 if the text is not a number.
func settingNumber(text string) float64 {
	x, _ := strconv.ParseFloat(text, 64)
	return x
}

// fleetKeySpacing is the shortest time between two queries of the same key.
const fleetKeySpacing = 60 * time.Millisecond

// scheduleQueries makes the clients send queries at a rate, in queries per second.
func (c *fleetController) scheduleQueries(groups []WorkloadGroup, rate float64) {
	var sendNext func()
	lastMsg := uint32(0)
	lastSent := map[string]time.Duration{} // by key
	sendNext = func() {
		if c.now >= c.LoadDuration {
			return
		}
		x, group := c.rng.Float64(), groups[0]
		for _, candidate := range groups {
			if group = candidate; x < candidate.Share {
				break
			}
			x -= candidate.Share
		}
		lastMsg++
		msg := lastMsg
		id := fmt.Sprintf("%04x%012x", c.number, msg)
		work := engine.Work{Threads: group.Threads, MemoryMB: group.MemoryMB,
			TableGroup: int64(c.rng.IntN(20)), Load: group.Load, Rows: group.Rows}
		logCPU := c.rng.NormFloat64()*group.CPUSigma - group.CPUSigma*group.CPUSigma/2
		work.CPU = time.Duration(float64(group.CPU) * math.Exp(logCPU))
		work.Disk = time.Duration(float64(work.CPU) / group.Threads * group.DiskPerCPU)
		patience := group.Patience/2 + time.Duration(c.rng.Int64N(int64(group.Patience/2)))
		fields := []string{"trace", id, "patience", fmt.Sprint(patience.Milliseconds())}
		key, at := "", c.now
		if group.Load {
			key = fmt.Sprintf("k%d", c.rng.IntN(4))
			fields = append(fields, "entity", key)
			at = max(c.now, lastSent[key]+fleetKeySpacing)
			lastSent[key] = at
		}
		c.scheduleAt(at, func() {
			q := &world.Query{ID: id, Group: group.Name, Msg: msg, SubmittedAt: c.now,
				Deadline: c.now + patience, Work: work}
			c.openQueries[msg], c.controllersByQuery[id] = q, c
			c.result.Queries++
			c.ensureClientConnected()
			conn := c.clientConn
			message := client.AppendQuery(nil, msg, group.Name, engine.Statement(work), fields...)
			c.deliver(func() {
				// The controller measures the patience from the time at which it reads the query, so
				// a stall before that time moves the deadline.
				deadline := max(q.Deadline, c.now) + c.readDelay(q.SubmittedAt)
				c.history.Received(c.now, id, group.Name, key, deadline)
				began := time.Now()
				c.receive(conn, message)
				c.result.ArrivalTime += time.Since(began)
			})
		})
		c.scheduleAfter(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), sendNext)
	}
	c.scheduleAfter(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), sendNext)
}

// readDelay returns the time since a message arrived.
func (c *fleetController) readDelay(arrived time.Duration) time.Duration { return c.now - arrived }

// deliver calls do, which hands an event or data to the controller. If the controller is stalled, deliver
// calls do at the end of the stall.
func (c *fleetController) deliver(do func()) {
	if c.now < c.stalledUntil {
		c.pendingDeliveries = append(c.pendingDeliveries, do)
		return
	}
	do()
}

func (c *fleetController) deliverEvent(event controller.Event) {
	c.deliver(func() { c.step(event) })
}

func (c *fleetController) step(event controller.Event) {
	c.perform(c.controller.Step(c.now, event))
}

// receive hands bytes from a connection to the controller.
func (c *fleetController) receive(conn *fleetConn, data []byte) {
	for len(data) > 0 && !conn.closed {
		n := copy(conn.connection.Received.FreeSpace(), data)
		data = data[n:]
		event := controller.Event{Kind: controller.BytesReceived, Connection: conn.connection, ByteCount: n}
		c.step(event)
	}
}

// perform carries out the effects that a step of the controller returned.
func (c *fleetController) perform(effects []controller.Effect) {
	for _, effect := range effects {
		conn := c.conns[effect.Connection]
		switch effect.Kind {
		case controller.Dial:
			c.dial(effect.Connection, effect.Address, effect.Timeout)
		case controller.Write:
			if conn == nil || conn.closed {
				break
			}
			data := bytes.Clone(effect.Bytes)
			if conn.engine != nil {
				c.sendRequest(conn, data)
				break
			}
			c.scheduleAfter(0, func() { c.reportWritten(conn, len(data)) })
			if conn.isClient {
				c.readAnswers(data)
			} else if !conn.subscribed {
				conn.subscribed = true
				n, _ := feed.ParseSubscription(data)
				c.lastEvent, c.discoveryConn = min(n, c.lastEvent), conn
				c.sendDiscoveryEvents(conn, c.MaxDiscoveryLag/4)
				c.scheduleHeartbeat(conn)
			}
		case controller.Close:
			if conn != nil {
				conn.aborted = conn.aborted || effect.Abort
				c.scheduleAfter(0, func() { c.closeConn(conn) })
			}
		case controller.SetTimer:
			c.timerGeneration++
			generation := c.timerGeneration
			c.scheduleAfter(effect.Timeout, func() {
				c.deliver(func() {
					if generation == c.timerGeneration {
						c.step(controller.Event{Kind: controller.TimerFired})
					}
				})
			})
		}
	}
}

// fleetStallGrace is the time after a stall in which an answer still counts as sent by its deadline.
const fleetStallGrace = 50 * time.Millisecond

// readAnswers decodes the bytes that the controller writes to its clients, and checks the answers.
func (c *fleetController) readAnswers(data []byte) {
	c.clientInput = append(c.clientInput, data...)
	for {
		answer, n, err := client.Read(c.clientInput)
		if err != nil {
			c.history.AddFault(c.now, err.Error())
			return
		}
		if n == 0 {
			return
		}
		c.clientInput = bytes.Clone(c.clientInput[n:])
		if answer.Kind == client.WaitNotice {
			continue
		}
		q := c.openQueries[answer.Msg]
		if q == nil {
			c.history.AddFault(c.now, fmt.Sprintf("rule 1: answer to message %d, which no query awaits", answer.Msg))
			continue
		}
		c.tracef("%s answered: %d", q.ID, answer.Kind)
		delete(c.openQueries, answer.Msg)
		at := c.now
		if c.now-c.stalledUntil < fleetStallGrace { // a stalled controller can't answer
			at = min(at, q.Deadline)
		}
		c.history.Answered(at, q.ID, historycheck.Answer(answer.Kind), answer.Rows, world.ExpectedRows(q))
	}
}

// resume makes the deliveries that were held back during a stall. It does nothing if a longer stall of the
// controller still lasts.
func (c *fleetController) resume() {
	if c.now < c.stalledUntil {
		return
	}
	pending := c.pendingDeliveries
	c.pendingDeliveries = nil
	for _, do := range pending {
		do()
	}
}
