package bench

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/feed"
)

type fleetEngine struct {
	*engine.Server
	feed.Engine
	f        *fleetRun
	place    int
	down     bool
	dead     bool // for good: another has its place
	sluggish time.Duration
	untaken  map[string]*bool // calls that came whole and were not taken up yet
	wakeAt   time.Duration
	cold     time.Duration // since when, -1: it is warm from the start
	toldTo   map[int]bool  // controllers that were told of this start
	sent     []fleetSent
}

// The rule's budget of a cold engine has "a little slack for chance"; it isn't told how much.
const coldSlack = 0.15

func (f *fleetRun) add(place int, cold bool) *fleetEngine {
	figures := engine.DefaultConfig()
	figures.DiskParallelism = 16
	e := &fleetEngine{Server: engine.NewServer(engine.NewModel(figures, f.now, cold)), f: f, place: place, wakeAt: -1, cold: -1,
		untaken: map[string]*bool{}, toldTo: map[int]bool{}}
	at := strings.Split(f.facts["locations"], ",")
	e.Engine = feed.Engine{ID: fmt.Sprintf("e%d", len(f.engines)), HostPort: fmt.Sprintf("10.0.%d.%d:6565", place/200, place%200+1),
		Locality: at[place%len(at)], Flavor: "std", Cell: place, Phase: "SERVING", Size: 1}
	if cold {
		e.cold, e.UpSinceMs = f.now, fleetEpoch+f.now.Milliseconds()
	}
	e.OnSubmit = func(id, _ string, _ int, at time.Duration) {
		f.say("%s begins at %s", id, e.ID)
		if c := f.byID[id]; c != nil {
			c.history.Started(at, id, e.ID)
			if a := c.asked(id); a != nil && f.facts["group.0.locations"] != "" && a.Group == "lookup" && e.Locality != "here" {
				c.history.AddFault(at, "rule 6: "+id+" at "+e.Locality)
			}
		}
	}
	e.OnEnd = func(id string, as engine.Outcome, at time.Duration) {
		f.say("%s ended at %s: %d", id, e.ID, as)
		if c := f.byID[id]; c != nil {
			c.history.Ended(at, id, e.ID, as == engine.Succeeded)
		}
	}
	f.engines = append(f.engines, e)
	f.byAddr[e.HostPort] = e
	return e
}

// comes: a call is there whole; a sluggish engine takes up later what starts a query, whether
// its line stands then or not, unless the query was given up meanwhile.
func (e *fleetEngine) comes(c *fleetController, from *fleetEnd, method, id string, p []byte) {
	if e.dead || e.down {
		return
	}
	f := e.f
	switch method {
	case "POST":
		if f.now < e.sluggish && !e.Unreachable() {
			taken := new(bool)
			e.untaken[id] = taken
			f.say("%s lies at %s", id, e.ID)
			f.after(time.Duration(100+f.rng.IntN(1800))*time.Millisecond, func() {
				if e.untaken[id] == taken {
					delete(e.untaken, id)
					if !e.dead && !e.down {
						e.takes(c, from, id, p)
					}
				}
			})
			return
		}
		e.takes(c, from, id, p)
		return
	case "DELETE":
		if !e.Unreachable() {
			delete(e.untaken, id)
		}
	}
	e.Receive(f.now, from.conn, p)
	e.wake()
}

func (e *fleetEngine) takes(c *fleetController, from *fleetEnd, id string, p []byte) {
	conn, f := from.conn, e.f
	if from.gone {
		conn = &engine.Conn{Write: func([]byte) {}}
		e.Accept(conn)
		f.out.Late++
		f.say("%s is taken up at %s though its line is gone", id, e.ID)
	}
	if e.cold >= 0 {
		e.counts(c, p)
	}
	e.Receive(f.now, conn, p)
	if from.gone {
		e.Server.Disconnected(conn)
	}
	e.wake()
}

// counts what a cold engine is sent against what the rule lets it be sent in a window: only
// where two thirds came from those who were told of its start.
func (e *fleetEngine) counts(c *fleetController, p []byte) {
	f := e.f
	window, span := time.Duration(number(f.facts["cold.window"]))*time.Millisecond, time.Duration(number(f.facts["cold.span"]))*time.Millisecond
	if f.now >= e.cold+span {
		return
	}
	_, body, _ := bytes.Cut(p, []byte("\r\n\r\n"))
	work := e.ParseWork("", body).CPU.Seconds()
	e.sent = append(e.sent, fleetSent{f.now, work, e.toldTo[c.n]})
	f.out.ColdWork += work
	for e.sent[0].at <= f.now-window {
		e.sent = e.sent[1:]
	}
	all, told := 0.0, 0.0
	for _, s := range e.sent {
		if all += s.work; s.told {
			told += s.work
		}
	}
	from := number(f.facts["cold.from"])
	able := from + (1-from)*(f.now-e.cold).Seconds()/span.Seconds()
	part := all / (number(f.facts["cold.multiple"]) * able * 0.85 * e.Cores * window.Seconds())
	if told >= all*2/3 {
		f.out.ColdWorst = max(f.out.ColdWorst, part)
		if part > 1 {
			f.out.ColdOver++
		}
		if part > 1+coldSlack {
			c.history.AddFault(f.now, fmt.Sprintf("rule 4: %s was sent %.2f times what it stands", e.ID, part))
		}
	}
}

// coldUse is what cold engines could do while there was load.
func (f *fleetRun) coldUse() {
	span, from := time.Duration(number(f.facts["cold.span"]))*time.Millisecond, number(f.facts["cold.from"])
	for _, e := range f.engines {
		for at := e.cold; e.cold >= 0 && at < min(f.Long, e.cold+span); at += 100 * time.Millisecond {
			f.out.ColdAble += (from + (1-from)*(at-e.cold).Seconds()/span.Seconds()) * e.Cores * 0.85 * 0.1
		}
	}
}

func (e *fleetEngine) wake() {
	at, ok := e.NextDue()
	if !ok || e.wakeAt >= 0 && e.wakeAt <= at {
		return
	}
	e.wakeAt = at
	e.f.at(at, func() {
		if e.wakeAt == at {
			e.wakeAt = -1
			e.ProcessDue(e.f.now)
			e.wake()
		}
	})
}

// tell adds an event to the list; each controller hears of it in its own time, at times twice.
func (f *fleetRun) tell(e *fleetEngine, phase string) {
	e.Phase = phase
	f.log.Append(false, e.Engine)
	f.told = append(f.told, fleetTold{e, phase == "SERVING", e.UpSinceMs})
	for _, c := range f.all {
		f.after(time.Duration(f.rng.Int64N(int64(f.Lag)+1)), func() {
			if c.feed != nil && !c.feed.gone {
				c.follows(c.feed, 0)
			}
		})
	}
}

func (e *fleetEngine) dies() {
	e.down = true
	clear(e.untaken)
	e.Reset(e.f.now, true)
}

// back: a new and cold process is there; the list tells late.
func (e *fleetEngine) back() {
	e.down, e.cold, e.UpSinceMs = false, e.f.now, fleetEpoch+e.f.now.Milliseconds()
	e.toldTo, e.sent = map[int]bool{}, nil
	e.Restart(e.f.now)
	e.f.tell(e, "SERVING")
}
