package eventloop

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/emulator/client"
)

// queueCase is a place where a query can wait inside a controller.
type queueCase struct {
	options harnessOptions
	// enqueue sends query 1, which then waits. The returned function lets the query continue.
	enqueue func(h *harness, c *testClient) (release func())
}

var queueCases = map[string]queueCase{
	"for an engine": {harnessOptions{engineState: "DRAINING"}, func(h *harness, c *testClient) func() {
		watch, _ := h.discovery.awaitSubscription()
		c.query("squall", 1, 15*time.Second)
		return func() { io.WriteString(watch, endpointEvent(2, false, endpoint("e1", h.engine, "SERVING"))+"\n") }
	}},
	"in a chain": {harnessOptions{}, func(h *harness, c *testClient) func() {
		first := h.connect()
		first.query("haul", 90, 15*time.Second)
		h.engine.calls.wait(1, "POST "+traceID(90))
		c.query("haul", 1, 15*time.Second)
		return func() { h.engine.finish(traceID(90)); first.expectResult(90) }
	}},
	"behind its key": {harnessOptions{}, func(h *harness, c *testClient) func() {
		first := h.connect()
		first.query("entry", 90, 15*time.Second, "entity", "k")
		h.engine.calls.wait(1, "POST "+traceID(90))
		c.query("entry", 1, 15*time.Second, "entity", "k")
		return func() { h.engine.finish(traceID(90)); first.expectResult(90) }
	}},
	"for a connection": {harnessOptions{settings: map[string]string{"connect.timeout": "8000"}},
		func(h *harness, c *testClient) func() {
			c.query("squall", 1, 15*time.Second)
			h.log.wait(1, "dialled for POST", traceID(1))
			return func() { h.engine = startEngine(h.t, h.engine.Listener) }
		}},
}

// forEachQueue runs a subtest for each place where a query can wait and each way in which a client can
// disconnect. In each of them query 1 of the client c waits until release is called.
func forEachQueue(t *testing.T,
	run func(t *testing.T, h *harness, c *testClient, disconnect func(*testClient), release func())) {
	for queueName, queue := range queueCases {
		for mode, disconnect := range disconnects {
			t.Run(queueName+", "+mode, func(t *testing.T) {
				t.Parallel()
				opts := queue.options
				if queueName == "for a connection" {
					opts.engineListener = listenWithFullBacklog(t)
				}
				h := startHarness(t, opts)
				if h.engine == nil {
					h.engine = &fakeEngine{Listener: opts.engineListener, calls: newLineRecorder(t)}
				}
				c := h.connect()
				release := queue.enqueue(h, c)
				h.log.wait(1, "received", traceID(1))
				run(t, h, c, disconnect, release)
			})
		}
	}
}

// A waiting query of a client that has disconnected is never sent to an engine, wherever the query
// waits and however the client disconnected. A half-close counts as a disconnect, since no client that
// still wants an answer sends one.
func TestDisconnectWhileQueryWaits(t *testing.T) {
	forEachQueue(t, func(t *testing.T, h *harness, c *testClient, disconnect func(*testClient), release func()) {
		disconnect(c)
		h.log.wait(1, "closed: left", traceID(1))
		release()
		other := h.connect() // completes, which shows that the first query could have been sent
		other.query("squall", 2, 15*time.Second)
		h.engine.calls.wait(1, "POST "+traceID(2))
		h.engine.finish(traceID(2))
		other.expectResult(2)
		h.shutDown()
		if n := h.engine.calls.count("POST " + traceID(1)); n > 0 {
			t.Fatalf("sent %d times after its client disconnected", n)
		}
	})
}

// A query that runs when its client disconnects is cancelled at its engine, and is not sent again.
func TestDisconnectWhileQueryRuns(t *testing.T) {
	forEachQueue(t, func(t *testing.T, h *harness, c *testClient, disconnect func(*testClient), release func()) {
		release()
		h.engine.calls.wait(1, "POST "+traceID(1))
		disconnect(c)
		h.log.wait(1, "closed: left", traceID(1))
		h.engine.calls.wait(1, "DELETE "+traceID(1))
		h.shutDown()
		if n := h.engine.calls.count("POST " + traceID(1)); n != 1 {
			t.Fatalf("sent %d times", n)
		}
	})
}

// A query that waits for a free engine descriptor is never sent if its client disconnects meanwhile.
func TestDisconnectWhileQueryWaitsForDescriptor(t *testing.T) {
	t.Parallel()
	for range 8 { // a descriptor is in use for 400 ms at most: if the test was too slow, it tries again
		h := startHarness(t, harnessOptions{maxDescriptors: 27}) // leaves two for engines
		first := h.connect()
		for n := 90; n < 92; n++ {
			h.engine.hold("POST", traceID(n))
			first.query("squall", n, 15*time.Second)
			h.engine.calls.wait(1, "POST "+traceID(n))
		}
		c := h.connect()
		c.query("squall", 1, 15*time.Second)
		h.log.wait(1, "received", traceID(1))
		c.Close()
		h.log.wait(1, "closed: left", traceID(1))
		late := h.engine.calls.count("POST " + traceID(1))
		h.engine.finish(traceID(90))
		h.engine.finish(traceID(91))
		for range 2 {
			if a, ok := first.readAnswer(); !ok || a.Kind != client.Finished {
				t.Fatalf("%v %+v", ok, a)
			}
		}
		h.shutDown()
		if late == 0 {
			if n := h.engine.calls.count("POST " + traceID(1)); n > 0 {
				t.Fatalf("sent %d times", n)
			}
			return
		}
	}
	t.Fatal("the query never waited for a descriptor")
}

// A write for a client waits until the controller has processed the client's pending input, and
// queued data keeps its write permit, so that the permit is still checked before the first byte.
func TestClientInputIsProcessedBeforeWritesForTheClient(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		l := &loop{group: &errgroup.Group{}, connections: map[*controller.Connection]*connection{},
			deferredWrites: map[*connection][]func(){}, start: time.Now()}
		engine, client := newConnection(&controller.Connection{}, nil), newConnection(&controller.Connection{}, nil)
		l.connections[engine.handle], l.connections[client.handle] = engine, client
		client.hasUnprocessedInput.Store(true)
		permit := controller.NewWritePermit(time.Hour)
		l.perform([]controller.Effect{{Kind: controller.Write, Connection: engine.handle, Bytes: []byte("POST"),
			Permit: permit, Client: client.handle}})
		l.runDeferredWrites(client) // the controller has processed a part of the input
		if len(engine.writeQueue) > 0 {
			t.Fatal("queued before the client's input was processed")
		}
		if leaves {
			permit.Revoke()
		}
		client.hasUnprocessedInput.Store(false)
		l.runDeferredWrites(client)
		if string(engine.writeQueue) != "POST" || len(engine.conditions) != 1 ||
			engine.conditions[0].permit != permit {
			t.Fatalf("%q, %d guards", engine.writeQueue, len(engine.conditions))
		}
		if engine.conditions[0].permit.ValidAt(0) == leaves {
			t.Fatal("the permit doesn't show whether the client has left")
		}
	}
}

func TestWritePermitIsCheckedBeforeTheFirstByte(t *testing.T) {
	now := time.Now().Add(-time.Minute)
	for what, p := range map[string]*controller.WritePermit{"it holds": controller.NewWritePermit(time.Hour),
		"revoked": controller.NewWritePermit(time.Hour), "over": controller.NewWritePermit(30 * time.Second)} {
		if what == "revoked" {
			p.Revoke()
		}
		out, kinds := writeConditionally(t, now, "starts ", writeCondition{permit: p}, nil)
		if what == "it holds" {
			if out != "free starts free too" {
				t.Fatalf("%q, %v", out, kinds)
			}
		} else if out != "free " || len(kinds) != 3 || kinds[1] != controller.WriteRejected ||
			kinds[2] != controller.ConnectionClosed {
			t.Fatalf("%s: %q, %v", what, out, kinds)
		}
	}
}

// A query that arrives while the controller closes an idle connection is either answered in full, if
// it was read before the close, or not sent to an engine at all. The connection isn't reset.
func TestQueryDuringCloseOfIdleConnection(t *testing.T) {
	t.Parallel()
	h := startHarness(t, harnessOptions{
		clientLimits: []controller.ClientLimits{{Prefixes: loopback, IdleTimeout: time.Millisecond}}})
	after := h.connect()
	if _, ok := after.readAnswer(); ok {
		t.Fatal("an answer without a query")
	}
	after.query("squall", 1, 5*time.Second) // the client has seen the close and sends a query all the same
	before := h.connect()
	before.query("squall", 2, 5*time.Second)
	h.engine.calls.wait(1, "POST "+traceID(2))
	h.engine.finish(traceID(2))
	before.expectResult(2)
	if _, ok := before.readAnswer(); ok { // the idle connection is closed
		t.Fatal("a second answer")
	}
	for n := 10; n < 40; n++ { // a query at many offsets from the sweep that closes idle connections
		c := h.connect()
		time.Sleep(time.Duration(n*9) * time.Millisecond / 2)
		c.lastMessage++
		c.Write(client.AppendQuery(nil, c.lastMessage, "squall", []byte("SELECT 1 FROM sales_3.x"),
			"trace", traceID(n), "patience", "5000"))
		h.engine.finish(traceID(n))
		if a, ok := c.readAnswer(); ok != (h.engine.calls.count("POST "+traceID(n)) == 1) ||
			ok && a.Kind != client.Finished {
			t.Fatalf("query %d: sent %d times, answered: %v %+v", n, h.engine.calls.count("POST "+traceID(n)), ok, a)
		}
		c.Close()
	}
	h.shutDown()
	if h.engine.calls.count("POST "+traceID(1)) > 0 {
		t.Fatal("a query that arrived after the close was sent to the engine")
	}
}

// A client receives the whole answer although the connection is closed after the answer and the
// client has sent input that is never processed. Closing the socket at once would reset the connection.
func TestAnswerIsDeliveredDespiteUnreadInput(t *testing.T) {
	t.Parallel()
	ours, theirs := connectionPair(t)
	defer theirs.Close()
	l := &loop{ctx: t.Context(), group: &errgroup.Group{}, events: make(chan event), start: time.Now()}
	w := newConnection(&controller.Connection{}, ours)
	w.isClient = true
	ours.(*net.TCPConn).SetWriteBuffer(4 << 20)
	size := 3 << 20
	w.enqueue([]byte(strings.Repeat("x", size)), writeCondition{})
	ended, out := make(chan struct{}), make(chan struct{})
	go func() {
		for ev := range l.events {
			if ev.Kind == controller.BytesReceived {
				w.bufferReleased <- struct{}{}
			} else if ev.Kind == controller.BytesWritten {
				close(out)
			} else if ev.Kind == controller.ConnectionClosed {
				close(ended)
				return
			}
		}
	}()
	w.closeGracefully(testTimeout)
	go l.serve(w)
	<-out // the whole answer is in the socket buffers
	select {
	case <-ended: // closed right after the answer
	case <-time.After(50 * time.Millisecond):
	}
	if _, err := io.WriteString(theirs, "one more query"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // gives the kernel time to react to the unread input
	theirs.SetReadDeadline(time.Now().Add(testTimeout))
	n, err := io.Copy(io.Discard, theirs)
	if n != int64(size) || err != nil {
		t.Fatalf("received %d bytes of %d: %v", n, size, err)
	}
	theirs.Close()
	<-ended
}

// Idle clients use up all client descriptors while discovery is down. A client that sends a query
// still displaces an idle one, engines keep their descriptors, and the controller reconnects to
// discovery once it is back.
func TestIdleClientsDontStarveOthersOfDescriptors(t *testing.T) {
	t.Parallel()
	unused := listen(t)
	address := unused.Addr().String()
	unused.Close()
	h := startHarness(t, harnessOptions{maxDescriptors: 96, discoveryAddress: address})
	var idle []*testClient
	for range 60 { // clients may use a third of the descriptors
		idle = append(idle, h.connect())
	}
	busy := h.connect()
	busy.query("squall", 1, 10*time.Second)
	h.engine.calls.wait(1, "POST "+traceID(1))
	h.engine.finish(traceID(1))
	busy.expectResult(1)
	if _, err := busy.Write(client.AppendAliveRequest(nil, 77)); err != nil {
		t.Fatal(err)
	}
	if a, ok := busy.readAnswer(); !ok || !a.Ready {
		t.Fatalf("not ready: %v %+v", ok, a)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Skip("another process took the discovery address: ", err)
	}
	h.discovery = startDiscovery(t, listener)
	watch, subscription := h.discovery.awaitSubscription()
	if subscription != "SUB 1" {
		t.Fatal(subscription)
	}
	second := startEngine(t, nil)
	io.WriteString(watch, endpointEvent(2, false, endpoint("e1", h.engine, "DELETED"),
		endpoint("e2", second, "SERVING"))+"\n")
	for n := 2; second.calls.count("POST") == 0; n++ {
		busy.query("squall", n, 10*time.Second)
		second.finish(traceID(n))
		h.engine.finish(traceID(n))
		busy.expectResult(n)
	}
	h.shutDown()
	for _, c := range idle {
		c.Close()
	}
}
