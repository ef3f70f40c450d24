// Package eventloop connects a controller to the network, the clock and the disk. It passes events
// to the controller, performs the effects that the controller returns, and reports their outcome as
// further events. It doesn't interpret the bytes that it reads and writes.
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

// loop is the state of an event loop. One goroutine, run, owns the controller; the others read from
// and write to connections and the disk, and send events to run.
type loop struct {
	ctx         context.Context
	group       *errgroup.Group
	events      chan event
	connections map[*controller.Connection]*connection
	// deferredWrites are the writes held back until a client's pending input is processed, by client.
	deferredWrites map[*connection][]func()
	wakeAt         time.Duration // when the timer is due, since start
	log            zerolog.Logger
	start          time.Time
	timer          *time.Timer
	clientSlots    chan struct{}           // holds one element per client connection; its capacity is the limit
	store          *resultstore.SpoolStore // nil without a spool on disk
	spoolWork      spoolWorkQueue
	servingState   *fleet.ServingState // nil outside a fleet
	fleetChannels  FleetChannels
	// declinedCloses are the connections whose close was declined, to be handed back to the controller.
	declinedCloses []*controller.Connection
	// rejectedReports are the reports that the channel had no room for, to be handed back to the controller.
	rejectedReports []*fleet.Report
}

// FleetChannels connects the controller with the fleet member in the same process. The zero value
// is for a controller outside a fleet.
type FleetChannels struct {
	Orders  <-chan fleet.Order  // sending blocks until the controller takes the order
	Reports chan<- fleet.Report // never blocks: a report that finds it full is rejected
}

// event is an event for the controller. For ClientAccepted, accepted is the new connection.
type event struct {
	controller.Event
	accepted *connection
}

// Serve runs a controller that accepts clients on the listener, until the controller exits or ctx
// ends. The channel requests delivers the operator's requests, such as a shutdown, as events. The store is
// nil without a spool on disk, and fleetChannels is empty outside a fleet.
func Serve(ctx context.Context, listener net.Listener, config controller.Config,
	store *resultstore.SpoolStore, fleetChannels FleetChannels, requests <-chan controller.Event,
	log zerolog.Logger) error {
	group, ctx := errgroup.WithContext(ctx)
	ctx, cancel := context.WithCancel(ctx)
	l := &loop{ctx: ctx, group: group, events: make(chan event),
		connections: map[*controller.Connection]*connection{}, deferredWrites: map[*connection][]func(){}, log: log,
		start: config.StartedAt, timer: time.NewTimer(time.Hour),
		clientSlots: make(chan struct{}, config.MaxClientConnections()), store: store, fleetChannels: fleetChannels}
	if config.Fleet != nil {
		l.servingState = config.Fleet.ServingState
	}
	if store != nil {
		l.spoolWork.ready = make(chan struct{}, 1)
		group.Go(l.runSpoolWriter)
	}
	log.Info().Str("address", listener.Addr().String()).Msg("listening")
	group.Go(func() error { return l.accept(listener) })
	group.Go(func() error {
		defer listener.Close()
		defer cancel()
		return l.run(config, requests)
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// run owns the controller: it passes events to the controller until the controller exits.
func (l *loop) run(config controller.Config, requests <-chan controller.Event) error {
	defer func() {
		for _, conn := range l.connections {
			conn.close()
		}
	}()
	core, effects := controller.New(config)
	done := l.perform(effects)
	for !done {
		// Hand back the rejected reports. The controller doesn't resend them in the same step, so this loop ends.
		for len(l.rejectedReports) > 0 {
			report := l.rejectedReports[0]
			l.rejectedReports = l.rejectedReports[1:]
			done = l.stepCore(core, controller.Event{Kind: controller.FleetReportRejected, Report: report}) || done
		}
		var ev event
		select {
		case ev = <-l.events:
		case <-l.timer.C:
			ev.Kind = controller.TimerFired
		case ev.Event = <-requests:
		case order := <-l.fleetChannels.Orders:
			ev.Kind, ev.Order = controller.FleetOrderReceived, &order
		case <-l.ctx.Done():
			return l.ctx.Err()
		}
		if now := time.Since(l.start); l.wakeAt > 0 && now > l.wakeAt+maxTimerDelay {
			done = l.processBacklog(core, ev)
			ev = event{Event: controller.Event{Kind: controller.TimerFired}}
		}
		done = l.step(core, ev) || done
	}
	l.closeConnections()
	return nil
}

// step passes an event to the controller and performs the effects. For a client's BytesReceived, it first
// reads the further bytes that have arrived. Afterwards it makes the writes that waited for the event's
// connection, and gives the receive buffer back to the reading goroutine. It adds accepted connections to
// l.connections and removes closed ones. It reports whether the controller exits.
func (l *loop) step(core *controller.Controller, ev event) (done bool) {
	if ev.accepted != nil {
		l.connections[ev.Connection] = ev.accepted
	}
	conn := l.connections[ev.Connection]
	if ev.Kind == controller.BytesReceived && conn != nil && conn.isClient {
		ev.ByteCount, ev.EndOfStream = conn.readAvailable(ev.ByteCount)
	}
	if conn != nil && (ev.Kind == controller.BytesReceived || ev.Kind == controller.ConnectionClosed) {
		conn.hasUnprocessedInput.Store(false)
	}
	if ev.Kind == controller.ConnectionClosed || ev.Kind == controller.ConnectRefused ||
		ev.Kind == controller.ConnectTimedOut {
		delete(l.connections, ev.Connection)
	}
	done = l.stepCore(core, ev.Event)
	if ev.Kind == controller.BytesReceived || ev.Kind == controller.ConnectionClosed {
		l.runDeferredWrites(conn)
	}
	if conn != nil && ev.Kind == controller.BytesReceived {
		conn.bufferReleased <- struct{}{}
	}
	return done
}

// stepCore passes an event to the controller and performs the effects. Closes that were declined go back to
// the controller before any other event.
func (l *loop) stepCore(core *controller.Controller, event controller.Event) (done bool) {
	done = l.perform(core.Step(time.Since(l.start), event))
	for len(l.declinedCloses) > 0 {
		declined := controller.Event{Kind: controller.CloseDeclined, Connection: l.declinedCloses[0],
			Backlogged: event.Backlogged} // timers that wait for a backlog wait on
		l.declinedCloses = l.declinedCloses[1:]
		done = l.perform(core.Step(time.Since(l.start), declined)) || done
	}
	return done
}

// runDeferredWrites makes the writes to engines that wait until the controller has processed this client's
// input, once none is pending. More than one read may take longer than a query may begin after its client has
// disconnected.
func (l *loop) runDeferredWrites(client *connection) {
	if len(l.deferredWrites[client]) == 0 || client.hasPendingInput() {
		return
	}
	for _, write := range l.deferredWrites[client] {
		write()
	}
	delete(l.deferredWrites, client)
}

// processBacklog runs after the process was stopped or starved of processor time. It passes pending
// input to the controller before the overdue timers: a client may have disconnected long ago, and an
// answer that would count as late may have arrived unread. The sleep lets the reading goroutines run
// until each blocks on sending its event. ev is the event that run has just received, of any kind; the
// controller gets it first. A TimerFired is dropped, because the caller passes one afterwards.
func (l *loop) processBacklog(core *controller.Controller, ev event) (done bool) {
	time.Sleep(time.Millisecond)
	for n := 0; ; n++ {
		if ev.Kind != controller.TimerFired {
			ev.Backlogged = true
			done = l.step(core, ev) || done
		}
		if n > len(l.connections) { // more than one event per connection: the timers have waited long enough
			return done
		}
		select {
		case ev = <-l.events:
		default:
			return done
		}
	}
}

// maxTimerDelay is how late a timer event may be before the process counts as having been stopped.
// It is a fraction of the 0.1 s after a client's leaving within which work for it may still begin.
const maxTimerDelay = 25 * time.Millisecond

// closeConnections closes engine and discovery connections at once, and client connections gracefully,
// because an answer may still be in transit. It waits until every client connection is closed, by the
// client or after finalWriteTimeout. The wait ends after twice that time in any case: the second half is
// for the connections' goroutines to report that they have closed. The controller gets no further input.
func (l *loop) closeConnections() {
	remaining := 0
	for handle, conn := range l.connections {
		if conn.isClient {
			remaining++
			conn.closeGracefully(finalWriteTimeout)
		} else {
			delete(l.connections, handle)
			conn.close()
		}
	}
	for timeout := time.After(2 * finalWriteTimeout); remaining > 0; {
		select {
		case ev := <-l.events:
			switch conn := l.connections[ev.Connection]; {
			case ev.accepted != nil:
				ev.accepted.close()
			case conn == nil:
			case ev.Kind == controller.BytesReceived:
				conn.bufferReleased <- struct{}{}
			case ev.Kind == controller.ConnectionClosed:
				delete(l.connections, ev.Connection)
				remaining--
			}
		case <-timeout:
			return
		}
	}
}

// finalWriteTimeout is how long clients have to read their last answers when the program ends.
const finalWriteTimeout = 200 * time.Millisecond

// perform carries out the controller's effects. It reports whether Exit is among them.
func (l *loop) perform(effects []controller.Effect) (done bool) {
	for _, effect := range effects {
		conn := l.connections[effect.Connection]
		switch effect.Kind {
		case controller.Dial:
			l.dial(effect.Connection, effect.Address, effect.Timeout)
		case controller.Write:
			if conn == nil {
				break
			}
			condition, bytes := writeCondition{policyVersion: effect.PolicyVersion, confined: effect.Confined,
				retained: effect.RetainedData && l.servingState != nil, permit: effect.Permit}, effect.Bytes
			if client := l.connections[effect.Client]; client != nil && client.hasPendingInput() {
				// The client's pending input, perhaps a cancellation or its end, goes to the controller first.
				l.deferredWrites[client] = append(l.deferredWrites[client], func() { conn.enqueue(bytes, condition) })
			} else {
				conn.enqueue(bytes, condition)
			}
		case controller.Close:
			if conn != nil && effect.IfIdle {
				if !conn.closeIfIdle(effect.Timeout) {
					l.declinedCloses = append(l.declinedCloses, effect.Connection)
				}
			} else if conn != nil && effect.Graceful {
				conn.closeGracefully(effect.Timeout)
			} else if conn != nil {
				conn.terminate(effect.Abort)
			}
		case controller.SetTimer:
			l.timer.Reset(effect.Timeout)
			l.wakeAt = time.Since(l.start) + effect.Timeout
		case controller.LogMessage:
			if effect.Warning { // an entry without a level is written at every configured log level
				withLogFields(l.log.Log(), effect.Fields).Msg(effect.Text)
			} else if effect.Trace {
				withLogFields(l.log.Debug(), effect.Fields).Msg(effect.Text)
			} else {
				withLogFields(l.log.Info(), effect.Fields).Msg(effect.Text)
			}
		case controller.LogCounters:
			l.log.Log().Float64("cpu_ms_a_query",
				processCPUMillis()/float64(max(1, effect.QueryCount))).Msg(effect.Text)
		case controller.SubmitSpoolWork:
			l.submitSpoolWork(effect.SpoolWork)
		case controller.ReportToFleet:
			l.sendReport(effect.Report)
		case controller.Exit:
			done = true
		}
	}
	return done
}

// sendReport sends a report to the fleet member. Once a report found the channel full, later ones aren't
// tried either but are rejected behind it, so that reports stay in order.
func (l *loop) sendReport(report *fleet.Report) {
	if len(l.rejectedReports) == 0 {
		select {
		case l.fleetChannels.Reports <- *report:
			return
		default:
		}
	}
	l.rejectedReports = append(l.rejectedReports, report)
}

// withLogFields adds the non-empty fields to a log entry. The keys are part of the log's format, so a tenant
// is still logged as team and an attempt as try.
func withLogFields(entry *zerolog.Event, fields controller.LogFields) *zerolog.Event {
	for _, field := range [...][2]string{{"query", fields.Query}, {"group", fields.Group},
		{"team", fields.Tenant}, {"engine", fields.Engine}} {
		if field[1] != "" {
			entry = entry.Str(field[0], field[1])
		}
	}
	if fields.Attempt > 0 {
		entry = entry.Int("try", fields.Attempt)
	}
	return entry
}

// sendEvent passes an event to run, and returns false if the loop has ended.
func (l *loop) sendEvent(kind controller.EventKind, conn *connection, byteCount int) bool {
	ev := event{Event: controller.Event{Kind: kind, Connection: conn.handle, ByteCount: byteCount}}
	if kind == controller.ClientAccepted {
		ev.accepted = conn
	}
	select {
	case l.events <- ev:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// processCPUMillis returns the processor time that the process has used, in milliseconds.
func processCPUMillis() float64 {
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return float64(used.Utime.Nano()+used.Stime.Nano()) / float64(time.Millisecond)
}
