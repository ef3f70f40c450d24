// Package eventloop performs the effects that the reducer asks for and brings back
// what came of them as events. It knows connections and the clock, and nothing
// of what is said on them.
package eventloop

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/resultstore"
)

// loop is the one goroutine that owns the reducer, with those that read and
// write for it.
type loop struct {
	ctx    context.Context
	group  *errgroup.Group
	events chan event
	wires  map[*controller.Connection]*wire
	later  map[*wire][]func() // writes that wait for what has come from a client to be stepped
	wakeAt time.Duration      // when the reducer is to be woken, since the start
	log    zerolog.Logger
	start  time.Time
	timer  *time.Timer
	room   chan struct{}           // one a client's connection: there are never more than it holds
	disk   *resultstore.SpoolStore // nil: there is no spool on disk
	work   backlog
	word   *fleet.ServingState // nil: there are no peers
	peers  FleetChannels
	untold []*fleet.Report // found no room, for the reducer to keep
}

// FleetChannels joins the reducer and the fleet's side, which runs beside it.
type FleetChannels struct {
	Orders  <-chan fleet.Order  // a full one makes the fleet's side wait
	Reports chan<- fleet.Report // nobody waits for it: what finds no room goes back to the reducer
}

// event is one for the reducer, with its link's connection where that is new.
type event struct {
	controller.Event
	wire *wire
}

// Serve runs a controller on a listener until it is done or ctx ends. Peers are left
// empty where it has none.
func Serve(ctx context.Context, listener net.Listener, means controller.Config, disk *resultstore.SpoolStore, peers FleetChannels, asked <-chan controller.Event, log zerolog.Logger) error {
	group, ctx := errgroup.WithContext(ctx)
	ctx, cancel := context.WithCancel(ctx)
	l := &loop{ctx: ctx, group: group, events: make(chan event), wires: map[*controller.Connection]*wire{}, later: map[*wire][]func(){}, log: log,
		start: means.StartedAt, timer: time.NewTimer(time.Hour), room: make(chan struct{}, means.MaxClientConnections()), disk: disk, peers: peers}
	if means.Fleet != nil {
		l.word = means.Fleet.ServingState
	}
	if disk != nil {
		l.work.ready = make(chan struct{}, 1)
		group.Go(l.keep)
	}
	log.Info().Str("address", listener.Addr().String()).Msg("listening")
	group.Go(func() error { return l.accept(listener) })
	group.Go(func() error {
		defer listener.Close()
		defer cancel()
		return l.run(means, asked)
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (l *loop) run(means controller.Config, asked <-chan controller.Event) error {
	defer func() {
		for _, w := range l.wires {
			w.close()
		}
	}()
	r, effects := controller.New(means)
	done := l.perform(effects)
	for !done {
		for len(l.untold) > 0 { // it keeps these, and asks for none of them again at once
			p := l.untold[0]
			l.untold = l.untold[1:]
			done = l.perform(r.Step(time.Since(l.start), controller.Event{Kind: controller.FleetReportRejected, Report: p})) || done
		}
		var ev event
		select {
		case ev = <-l.events:
		case <-l.timer.C:
			ev.Kind = controller.TimerFired
		case ev.Event = <-asked:
		case o := <-l.peers.Orders:
			ev.Kind, ev.Order = controller.FleetOrderReceived, &o
		case <-l.ctx.Done():
			return l.ctx.Err()
		}
		if now := time.Since(l.start); l.wakeAt > 0 && now > l.wakeAt+stoodMost {
			done = l.meanwhile(r, ev)
			ev = event{Event: controller.Event{Kind: controller.TimerFired}}
		}
		done = l.step(r, ev) || done
	}
	l.finish()
	return nil
}

// step has the reducer hear an event and performs what it asks for.
func (l *loop) step(r *controller.Controller, ev event) (done bool) {
	if ev.wire != nil {
		l.wires[ev.Connection] = ev.wire
	}
	w := l.wires[ev.Connection]
	if ev.Kind == controller.BytesReceived && w != nil && w.client {
		ev.ByteCount, ev.EndOfStream = w.more(ev.ByteCount)
	}
	if w != nil && (ev.Kind == controller.BytesReceived || ev.Kind == controller.ConnectionClosed) {
		w.unheard.Store(false)
	}
	if ev.Kind == controller.ConnectionClosed || ev.Kind == controller.ConnectRefused || ev.Kind == controller.ConnectTimedOut {
		delete(l.wires, ev.Connection)
	}
	done = l.perform(r.Step(time.Since(l.start), ev.Event))
	if ev.Kind == controller.BytesReceived || ev.Kind == controller.ConnectionClosed {
		l.heard(w)
	}
	if w != nil && ev.Kind == controller.BytesReceived {
		w.turn <- struct{}{}
	}
	return done
}

// heard lets go what waited for a client's word to be stepped.
func (l *loop) heard(w *wire) {
	for _, do := range l.later[w] {
		do()
	}
	delete(l.later, w)
}

// meanwhile is for when we stood still ourselves, or had no processor: what came is heard before
// anything that is due is done. A client may have hung up long ago, and an answer that is held to
// be late lies here unread. The pause lets those that read run, who then wait with what they have.
func (l *loop) meanwhile(r *controller.Controller, ev event) (done bool) {
	time.Sleep(time.Millisecond)
	for n := 0; ; n++ {
		if ev.Kind != controller.TimerFired {
			ev.Backlogged = true
			done = l.step(r, ev) || done
		}
		if n > len(l.wires) { // more than one of each: what is due has waited long enough
			return done
		}
		select {
		case ev = <-l.events:
		default:
			return done
		}
	}
}

// stoodMost is how late we may be before we hold that we stood still: a part of the 0.1 s after
// which nothing may begin for a client that left.
const stoodMost = 25 * time.Millisecond

// finish ends what clients' connections there are gently: an answer may be on its way, and one
// that rests is not waited for. What still comes on them is not read any more.
func (l *loop) finish() {
	left := 0
	for link, w := range l.wires {
		if w.client {
			left++
			w.closeGently(finishMost)
		} else {
			delete(l.wires, link)
			w.close()
		}
	}
	for wait := time.After(2 * finishMost); left > 0; {
		select {
		case ev := <-l.events:
			switch w := l.wires[ev.Connection]; {
			case ev.wire != nil:
				ev.wire.close()
			case w == nil:
			case ev.Kind == controller.BytesReceived:
				w.turn <- struct{}{}
			case ev.Kind == controller.ConnectionClosed:
				delete(l.wires, ev.Connection)
				left--
			}
		case <-wait:
			return
		}
	}
}

// finishMost is for the last answers to come to clients that are there to read them.
const finishMost = 200 * time.Millisecond

func (l *loop) perform(effects []controller.Effect) (done bool) {
	for _, e := range effects {
		w := l.wires[e.Connection]
		switch e.Kind {
		case controller.Dial:
			l.dial(e.Connection, e.Address, e.Timeout)
		case controller.Write:
			if w == nil {
				break
			}
			g, bytes := guard{version: e.PolicyVersion, bound: e.Confined, kept: e.RetainedData && l.word != nil, permit: e.Permit}, e.Bytes
			if from := l.wires[e.Client]; from != nil && from.unheard.Load() {
				// its client has said something, perhaps that it leaves: that first
				l.later[from] = append(l.later[from], func() { w.write(bytes, g) })
			} else {
				w.write(bytes, g)
			}
		case controller.Close:
			if w != nil && e.Graceful {
				w.closeGently(e.Timeout)
			} else if w != nil {
				w.end(e.Abort)
			}
		case controller.SetTimer:
			l.timer.Reset(e.Timeout)
			l.wakeAt = time.Since(l.start) + e.Timeout
		case controller.LogMessage:
			if e.Warning {
				told(l.log.Log(), e.Fields).Msg(e.Text)
			} else if e.Trace {
				told(l.log.Debug(), e.Fields).Msg(e.Text)
			} else {
				told(l.log.Info(), e.Fields).Msg(e.Text)
			}
		case controller.LogCounters:
			l.log.Log().Float64("cpu_ms_a_query", cpuMs()/float64(max(1, e.QueryCount))).Msg(e.Text)
		case controller.SubmitSpoolWork:
			l.store(e.SpoolWork)
		case controller.ReportToFleet:
			l.report(e.Report)
		case controller.Exit:
			done = true
		}
	}
	return done
}

// report tells the fleet's side. Once one found no room none after it is told before it.
func (l *loop) report(p *fleet.Report) {
	if len(l.untold) == 0 {
		select {
		case l.peers.Reports <- *p:
			return
		default:
		}
	}
	l.untold = append(l.untold, p)
}

// told puts what a line is about into fields of its own.
func told(line *zerolog.Event, a controller.LogFields) *zerolog.Event {
	for _, f := range [...][2]string{{"query", a.Query}, {"group", a.Group}, {"team", a.Tenant}, {"engine", a.Engine}} {
		if f[1] != "" {
			line = line.Str(f[0], f[1])
		}
	}
	if a.Attempt > 0 {
		line = line.Int("try", a.Attempt)
	}
	return line
}

// tell hands an event to the reducer; false once it is gone.
func (l *loop) tell(kind controller.EventKind, w *wire, n int) bool {
	ev := event{Event: controller.Event{Kind: kind, Connection: w.link, ByteCount: n}}
	if kind == controller.ClientAccepted {
		ev.wire = w
	}
	select {
	case l.events <- ev:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// cpuMs is the processor time that the process has taken.
func cpuMs() float64 {
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return float64(used.Utime.Nano()+used.Stime.Nano()) / float64(time.Millisecond)
}
