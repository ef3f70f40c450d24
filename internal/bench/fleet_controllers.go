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
	n       int
	r       *controller.Controller
	history historycheck.History
	ends    map[*controller.Connection]*fleetEnd
	stalled time.Duration
	waiting []func() // what came while it stood still
	woken   int
	feed    *fleetEnd
	fed     int
	client  *fleetEnd
	in      []byte
	open    map[uint32]*world.Query
	ways    []*fleetWay
}

func (c *fleetController) asked(id string) *world.Query {
	for _, a := range c.open {
		if a.ID == id {
			return a
		}
	}
	return nil
}

func (f *fleetRun) start(n int) {
	c := &fleetController{fleetRun: f, n: n, ends: map[*controller.Connection]*fleetEnd{}, open: map[uint32]*world.Query{}, stalled: -1, fed: f.log.LastEvent()}
	facts := map[string]string{}
	for k, v := range f.facts {
		facts[k] = v
	}
	facts["own.number"] = strconv.Itoa(n)
	ms := func(name string) time.Duration { return time.Duration(number(facts[name])) * time.Millisecond }
	c.history = historycheck.History{KeyRest: ms("key.rest"), RestAfterFailure: true,
		DrainGrace:         ms("drain.grace"),
		MaxSubmissions:     int(number(facts["submissions.most"])),
		ForbidSecondCopies: facts["may.copy"] != "true"}
	for i := range int(number(facts["groups"])) {
		at := fmt.Sprintf("group.%d.", i)
		c.history.AddGroup(facts[at+"name"], facts[at+"effect"], facts[at+"in-order"] == "true")
	}
	for range f.Engines {
		c.ways = append(c.ways, &fleetWay{delay: time.Duration(100+f.rng.IntN(2000)) * time.Microsecond})
	}
	f.all = append(f.all, c)
	r, effects := controller.New(controller.Config{Seed: f.rng.Uint64(), MemoryMB: 256, MaxDescriptors: 512, DiscoveryAddress: "feed", InitialEndpoints: f.log.ConfigurationJSON(), Settings: facts,
		StartedAt: time.UnixMilli(fleetEpoch), ClientLimits: []controller.ClientLimits{{Prefixes: ClientPrefixes, MaxOpenQueries: 100_000, MaxMessagesPerSweep: 100_000, IdleTimeout: time.Minute}}})
	c.r = r
	c.perform(effects)
}

// connects has the clients' connection stand: one that says nothing is ended.
func (c *fleetController) connects() {
	if c.client == nil || c.client.gone {
		c.client = &fleetEnd{link: &controller.Connection{RemoteAddress: ClientAddress}, client: true}
		c.ends[c.client.link] = c.client
		end := c.client
		c.deliver(func() { c.step(controller.Event{Kind: controller.ClientAccepted, Connection: end.link}) })
	}
}

func number(text string) float64 {
	x, _ := strconv.ParseFloat(text, 64)
	return x
}

// asks has clients ask at a rate. Queries of one key come 60 ms apart at the least.
func (c *fleetController) asks(kinds []WorkloadGroup, rate float64) {
	var next func()
	msg := uint32(0)
	last := map[string]time.Duration{}
	next = func() {
		if c.now >= c.Long {
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
		id := fmt.Sprintf("%04x%012x", c.n, msg)
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
		c.fleetRun.at(at, func() {
			a := &world.Query{ID: id, Group: k.Name, Msg: m, SubmittedAt: c.now, Deadline: c.now + patience,
				Work: work}
			c.open[m], c.byID[id] = a, c
			c.out.Asked++
			c.connects()
			end := c.client
			p := client.AppendQuery(nil, m, k.Name, engine.Statement(work), fields...)
			c.deliver(func() {
				// taken once it is read: a patience that passed while it stood still is the client's
				c.history.Received(c.now, id, k.Name, key, max(a.Deadline, c.now)+c.stood(a.SubmittedAt))
				began := time.Now()
				c.gets(end, p)
				c.out.Arrivals += time.Since(began)
			})
		})
		c.after(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	c.after(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

// stood is how much later than it came something was read.
func (c *fleetController) stood(at time.Duration) time.Duration { return c.now - at }

// deliver has something come to the controller, now or once it goes on.
func (c *fleetController) deliver(do func()) {
	if c.now < c.stalled {
		c.waiting = append(c.waiting, do)
		return
	}
	do()
}

func (c *fleetController) event(ev controller.Event) { c.deliver(func() { c.step(ev) }) }

func (c *fleetController) step(ev controller.Event) { c.perform(c.r.Step(c.now, ev)) }

func (c *fleetController) gets(e *fleetEnd, p []byte) {
	for len(p) > 0 && !e.gone {
		n := copy(e.link.Received.FreeSpace(), p)
		p = p[n:]
		c.step(controller.Event{Kind: controller.BytesReceived, Connection: e.link, ByteCount: n})
	}
}

func (c *fleetController) perform(effects []controller.Effect) {
	for _, fx := range effects {
		e := c.ends[fx.Connection]
		switch fx.Kind {
		case controller.Dial:
			c.dial(fx.Connection, fx.Address, fx.Timeout)
		case controller.Write:
			if e == nil || e.gone {
				break
			}
			p := bytes.Clone(fx.Bytes)
			if e.e != nil {
				c.writes(e, p)
				break
			}
			c.after(0, func() { c.wrote(e, len(p)) })
			if e.client {
				c.hears(p)
			} else if !e.up {
				e.up = true
				n, _ := feed.ParseSubscription(p)
				c.fed, c.feed = min(n, c.fed), e
				c.follows(e, c.Lag/4)
				c.beat(e)
			}
		case controller.Close:
			if e != nil {
				e.aborted = e.aborted || fx.Abort
				c.after(0, func() { c.lose(e) })
			}
		case controller.SetTimer:
			c.woken++
			mine := c.woken
			c.after(fx.Timeout, func() {
				c.deliver(func() {
					if mine == c.woken {
						c.step(controller.Event{Kind: controller.TimerFired})
					}
				})
			})
		}
	}
}

// hears is a client's side of what a controller writes.
func (c *fleetController) hears(p []byte) {
	c.in = append(c.in, p...)
	for {
		ans, n, err := client.Read(c.in)
		if err != nil {
			c.history.AddFault(c.now, err.Error())
			return
		}
		if n == 0 {
			return
		}
		c.in = bytes.Clone(c.in[n:])
		if ans.Kind == client.WaitNotice {
			continue
		}
		a := c.open[ans.Msg]
		if a == nil {
			c.history.AddFault(c.now, fmt.Sprintf("rule 1: an answer to %d that nobody waits for", ans.Msg))
			continue
		}
		c.say("%s answered: %d", a.ID, ans.Kind)
		delete(c.open, ans.Msg)
		at := c.now
		if c.now-c.stalled < 50*time.Millisecond { // nothing can be answered while it stands still
			at = min(at, a.Deadline)
		}
		c.history.Answered(at, a.ID, historycheck.Answer(ans.Kind), ans.Rows, world.ExpectedRows(a))
	}
}

func (c *fleetController) goesOn() {
	if c.now < c.stalled {
		return
	}
	waiting := c.waiting
	c.waiting = nil
	for _, do := range waiting {
		do()
	}
}
