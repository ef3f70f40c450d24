package eventloop

import (
	"io"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/emulator/client"
)

// A shutdown answers the queries that were accepted before it, defers or ignores later ones without
// sending them to an engine, closes idle connections and doesn't wait for their clients. A second
// shutdown request and a reload during the shutdown have no effect.
func TestShutdownAnswersAcceptedQueries(t *testing.T) {
	t.Parallel()
	h := startHarness(t, harnessOptions{})
	idle, busy := h.connect(), h.connect()
	busy.query("squall", 1, 15*time.Second)
	h.engine.calls.wait(1, "POST "+traceID(1))
	h.request(controller.ShutdownRequested)
	idle.query("squall", 2, 15*time.Second) // on an idle connection, while the shutdown begins
	h.engine.calls.wait(1, "POST "+traceID(2))
	h.request(controller.ShutdownRequested)
	h.request(controller.ConfigurationReloaded)
	h.engine.finish(traceID(2))
	idle.expectResult(2)
	late := h.connect()
	for n := 3; ; n++ { // until the controller defers one
		late.query("squall", n, 15*time.Second)
		h.engine.finish(traceID(n))
		a, ok := late.readAnswer()
		if !ok {
			t.Fatal("exited before a query was answered")
		}
		time.Sleep(4 * time.Millisecond) // a higher rate would hit the flood limit
		if a.Kind == client.Deferred {
			if h.engine.calls.count("POST "+traceID(n)) > 0 {
				t.Fatal("deferred, but sent to the engine")
			}
			break
		}
	}
	h.engine.finish(traceID(1))
	busy.expectResult(1)
	for _, c := range []*testClient{idle, busy, late} {
		if _, ok := c.readAnswer(); ok {
			t.Fatal("an answer without a query")
		}
	}
	h.waitForExit() // although no client has closed its side
}

// A shutdown completes although the engines don't respond, with a query in each state of a submission.
// Each query is answered before the timeout of its client.
func TestShutdownWhileEnginesHang(t *testing.T) {
	t.Parallel()
	fullListener := listenWithFullBacklog(t)
	h := startHarness(t, harnessOptions{settings: map[string]string{"connect.timeout": "8000"},
		moreEndpoints: []string{endpoint("e2", fullListener, "DRAINING")}})
	watch, _ := h.discovery.awaitSubscription()
	c := h.connect()
	patience := 900 * time.Millisecond
	from := time.Now()
	h.engine.hold("POST", traceID(1)) // written, no response
	c.query("squall", 1, patience)
	c.query("entry", 2, patience, "entity", "k") // runs
	h.engine.calls.wait(1, "POST "+traceID(1))
	h.engine.calls.wait(1, "GET "+traceID(2))
	c.query("entry", 3, patience, "entity", "k") // waits behind query 2, which has the same key
	partial := h.engine.hold("POST", traceID(4)) // half a response
	c.query("squall", 4, patience)
	h.engine.calls.wait(1, "POST "+traceID(4))
	partial <- "HTTP/1.1 200 x\r\nChunks: 1\r\nConte"
	io.WriteString(watch, endpointEvent(2, false, endpoint("e1", h.engine, "DRAINING"),
		endpoint("e2", fullListener, "SERVING"))+"\n")
	h.log.wait(0, "")
	c.query("squall", 5, patience) // its connection is never established
	h.log.wait(1, "dialled for POST", traceID(5))
	h.request(controller.ShutdownRequested)
	for range 5 {
		a, ok := c.readAnswer()
		if !ok || a.Kind == client.Finished {
			t.Fatalf("%v %+v", ok, a)
		}
		if a.Kind == client.Deferred && a.Msg == 2 {
			t.Fatal("deferred although it runs")
		}
	}
	if took := time.Since(from); took > patience+time.Second {
		t.Fatalf("the last answer came after %v", took)
	}
	h.waitForExit()
}

// If an engine starts to drain while a connection to it is being established, no query is sent on that
// connection. A query that already runs on a draining engine runs to its end.
func TestDrainWhileConnecting(t *testing.T) {
	for _, first := range []string{"drain", "connection"} {
		t.Run(first+" first", func(t *testing.T) {
			t.Parallel()
			fullListener := listenWithFullBacklog(t)
			h := startHarness(t, harnessOptions{engineListener: fullListener,
				settings: map[string]string{"connect.timeout": "8000"}})
			watch, _ := h.discovery.awaitSubscription()
			c := h.connect()
			c.query("squall", 1, 12*time.Second)
			h.log.wait(1, "dialled for POST", traceID(1))
			other := startEngine(t, nil)
			drain := endpointEvent(2, false, endpoint("e1", fullListener, "DRAINING"),
				endpoint("e2", other, "SERVING")) + "\n"
			if first == "drain" {
				io.WriteString(watch, drain)
				b := h.connect() // goes to the other engine, which shows that the drain was processed
				b.query("squall", 2, 12*time.Second)
				other.calls.wait(1, "POST "+traceID(2))
				other.finish(traceID(1))
				other.finish(traceID(2))
				b.expectResult(2)
				h.engine = startEngine(t, fullListener)
				c.expectResult(1)
				h.shutDown()
				if h.engine.calls.count("POST") > 0 || other.calls.count("POST "+traceID(1)) != 1 {
					t.Fatal("sent to a draining engine")
				}
				return
			}
			h.engine = startEngine(t, fullListener)
			h.engine.calls.wait(1, "POST "+traceID(1))
			io.WriteString(watch, drain)
			b := h.connect()
			deadline := time.Now().Add(testTimeout)
			for n := 2; other.calls.count("POST") == 0; n++ { // until a query shows that the drain was processed
				if time.Now().After(deadline) {
					t.Fatal("no query is sent to the other engine")
				}
				h.engine.finish(traceID(n))
				other.finish(traceID(n))
				b.query("squall", n, 12*time.Second)
				b.expectResult(n)
			}
			h.engine.finish(traceID(1))
			c.expectResult(1)
			h.shutDown()
		})
	}
}

// The controller subscribes again, from the event after the last one that it received, when a
// discovery connection stalls without being closed, stalls in the middle of a line, or is closed. It
// then follows the events of the new subscription.
func TestResubscribesToStalledOrClosedDiscovery(t *testing.T) {
	for _, how := range []string{"silent", "half a line", "dies"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			other := startEngine(t, nil)
			h := startHarness(t, harnessOptions{moreEndpoints: []string{endpoint("e2", other, "SERVING")}})
			watch, subscription := h.discovery.awaitSubscription()
			if subscription != "SUB 1" {
				t.Fatal(subscription)
			}
			io.WriteString(watch, endpointEvent(2, false, endpoint("e3", other, "DELETED"))+"\n2\n")
			switch how {
			case "half a line":
				io.WriteString(watch, `{"n":3,"members":{"rev`)
			case "dies":
				watch.Close()
			}
			watch, subscription = h.discovery.awaitSubscription()
			if subscription != "SUB 2" {
				t.Fatal(subscription)
			}
			// Heartbeat 4 announces an event that the controller hasn't received, so the controller closes
			// the connection as soon as it has read the drain.
			io.WriteString(watch, endpointEvent(3, false, endpoint("e1", h.engine, "DRAINING"))+"\n4\n")
			written := time.Now()
			drainRead := make(chan struct{})
			go func() {
				io.Copy(io.Discard, watch)
				close(drainRead)
			}()
			c := h.connect()
			for n, sentAfterRead := 1, 0; sentAfterRead < 11; n++ {
				wasRead := isClosed(drainRead)
				if wasRead {
					sentAfterRead++
				} else if time.Since(written) > testTimeout {
					t.Fatal("the drain was never read")
				}
				c.query("squall", n, 10*time.Second)
				other.finish(traceID(n))
				h.engine.finish(traceID(n))
				c.expectResult(n)
				postedAt, posted := h.engine.lastPost(traceID(n))
				if posted && wasRead {
					t.Fatal("sent to a draining engine after the controller had read the drain")
				}
				if after := postedAt.Sub(written); posted && after > drainGrace {
					t.Fatalf("sent to a draining engine %v after the drain, the grace is %v", after, drainGrace)
				}
			}
			if _, subscription = h.discovery.awaitSubscription(); subscription != "SUB 3" {
				t.Fatalf("asked again with %q, want SUB 3: the drain was not read", subscription)
			}
			h.shutDown()
		})
	}
}

// The client receives one complete answer although the engine resets or closes the connection before
// or in the middle of its response to the submission.
func TestEngineDisconnectsDuringResponse(t *testing.T) {
	for name, responses := range map[string][]string{
		"before":  {"reset"},
		"half":    {resultResponse(traceID(1))[:60], "reset"},
		"close":   {resultResponse(traceID(1))[:60], "close"},
		"no word": {"close"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, harnessOptions{})
			c := h.connect()
			held := h.engine.hold("POST", traceID(1))
			c.query("squall", 1, 10*time.Second)
			h.engine.calls.wait(1, "POST "+traceID(1))
			h.engine.finish(traceID(1))
			for _, s := range responses {
				held <- s
			}
			c.expectResult(1)
			h.shutDown()
			if _, ok := c.readAnswer(); ok {
				t.Fatal("a second answer")
			}
			if n := h.engine.calls.count("POST " + traceID(1)); n != 1 {
				t.Fatalf("sent %d times", n)
			}
		})
	}
}

// A duplicate of a response, at once or later on an idle connection, is never used for another query.
func TestDuplicateResponseIsIgnored(t *testing.T) {
	t.Parallel()
	h := startHarness(t, harnessOptions{})
	c := h.connect()
	held := h.engine.hold("GET", traceID(1))
	c.query("squall", 1, 10*time.Second)
	h.engine.calls.wait(1, "GET "+traceID(1))
	held <- resultResponse(traceID(1)) + resultResponse(traceID(1)) + "HTTP"
	h.engine.finish(traceID(1))
	c.expectResult(1)
	for n := 2; n < 8; n++ {
		c.query("squall", n, 10*time.Second)
		h.engine.finish(traceID(n))
		c.expectResult(n)
	}
	held <- "/1.1 200 late\r\n"
	c.query("squall", 9, 10*time.Second)
	h.engine.finish(traceID(9))
	c.expectResult(9)
	h.shutDown()
}

// A cancellation that arrives close to the end of its query, before or after, doesn't disturb the next
// query on the connection. One that arrives before a retry prevents the retry.
func TestCancelRacesWithEndAndRetry(t *testing.T) {
	t.Run("the end", func(t *testing.T) {
		t.Parallel()
		h := startHarness(t, harnessOptions{})
		for n := 1; n <= 20; n++ {
			c := h.connect()
			held := h.engine.hold("GET", traceID(n))
			c.query("squall", n, 10*time.Second)
			h.engine.calls.wait(1, "GET "+traceID(n))
			if n%2 == 0 {
				held <- resultResponse(traceID(n))
				c.cancel()
			} else {
				c.cancel()
				held <- resultResponse(traceID(n))
			}
			c.query("squall", 100+n, 10*time.Second)
			h.engine.finish(traceID(100 + n))
			a, ok := c.readAnswer()
			if ok && a.Msg == 1 {
				a, ok = c.readAnswer()
			}
			if !ok || a.Msg != 2 || a.Kind != client.Finished {
				t.Fatalf("%v %+v", ok, a)
			}
			c.Close()
		}
		h.shutDown()
	})
	t.Run("a repeat", func(t *testing.T) {
		t.Parallel()
		other := startEngine(t, nil)
		h := startHarness(t, harnessOptions{engineState: "DRAINING"})
		watch, _ := h.discovery.awaitSubscription()
		io.WriteString(watch, endpointEvent(2, false, endpoint("e1", h.engine, "SERVING"))+"\n")
		c := h.connect()
		held := h.engine.hold("POST", traceID(1))
		c.query("squall", 1, 10*time.Second)
		h.engine.calls.wait(1, "POST "+traceID(1))
		io.WriteString(watch, endpointEvent(3, false, endpoint("e1", h.engine, "DRAINING"))+"\n")
		held <- statusResponse(503, "X-Not-Run: 1\r\n") // the query waits for another engine, and there is none yet
		h.log.wait(1, "reported", "full", traceID(1))
		c.cancel()
		h.log.wait(1, "closed: left", traceID(1))
		io.WriteString(watch, endpointEvent(4, false, endpoint("e2", other, "SERVING"))+"\n")
		c.query("squall", 2, 10*time.Second)
		other.calls.wait(1, "POST "+traceID(2))
		other.finish(traceID(2))
		c.expectResult(2)
		h.shutDown()
		if other.calls.count("POST "+traceID(1)) > 0 {
			t.Fatal("a cancelled query was retried")
		}
	})
}

// A request isn't written while input from its engine is unprocessed. That input may be a duplicate of
// the last response, and would be taken for the response to this request.
func TestRequestIsNotWrittenAfterUnsolicitedInput(t *testing.T) {
	t.Parallel()
	ours, theirs := connectionPair(t)
	defer theirs.Close()
	l := &loop{ctx: t.Context(), group: &errgroup.Group{}, events: make(chan event), start: time.Now()}
	w := newConnection(&controller.Connection{}, ours)
	io.WriteString(theirs, resultResponse(traceID(1)))
	go l.serve(w)
	first := <-l.events // read, but not processed
	w.enqueue([]byte("POST"), writeCondition{})
	var kinds []controller.EventKind
	for kinds = append(kinds, first.Kind); kinds[len(kinds)-1] != controller.ConnectionClosed; {
		ev := <-l.events
		kinds = append(kinds, ev.Kind)
		if ev.Kind == controller.WriteRejected {
			w.bufferReleased <- struct{}{}
		}
	}
	if len(kinds) != 3 || kinds[0] != controller.BytesReceived || kinds[1] != controller.WriteRejected {
		t.Fatal(kinds)
	}
	theirs.SetReadDeadline(time.Now().Add(testTimeout))
	if n, _ := theirs.Read(make([]byte, 9)); n > 0 {
		t.Fatal("the request was written")
	}
}

// A slow client still receives its whole answer when the program exits while the answer is in transit
// and the client sends another query.
func TestSlowClientReceivesWholeAnswerAtExit(t *testing.T) {
	t.Parallel()
	h := startHarness(t, harnessOptions{})
	c := h.connect()
	c.SetReadBuffer(4 << 10)
	held := h.engine.hold("POST", traceID(1))
	c.query("squall", 1, 10*time.Second)
	h.engine.calls.wait(1, "POST "+traceID(1))
	page := strings.Repeat(traceID(1)+"\tof\tit\n", 260)
	first := resultResponse(traceID(1))
	_, body, _ := strings.Cut(first, "\r\n\r\n")
	h.engine.setPageRows(page)
	held <- strings.Replace(first, "Chunks: 1", "Chunks: 9", 1)
	h.log.wait(1, "closed: finished", traceID(1))
	h.request(controller.ShutdownRequested)
	h.log.wait(1, "taken 1 finished 1") // the counters, which are logged at the exit
	c.query("squall", 2, 10*time.Second)
	a, ok := c.readAnswer()
	if want := body + strings.Repeat(page, 8); !ok || string(a.Rows) != want {
		t.Fatalf("%v, %d bytes of %d", ok, len(a.Rows), len(want))
	}
	h.waitForExit()
	if h.engine.calls.count("POST "+traceID(2)) > 0 {
		t.Fatal("a query that arrived after the shutdown was sent to the engine")
	}
}

// The program exits only after a query that was cancelled at the last moment is cancelled at its
// engine, too. Otherwise the engine would continue to run the query.
func TestExitWaitsForCancellationAtEngine(t *testing.T) {
	t.Parallel()
	// The idle timeout is short, so that the cancellation needs a new connection.
	h := startHarness(t, harnessOptions{settings: map[string]string{"idle.most": "100"}})
	c, late := h.connect(), h.connect()
	c.query("squall", 1, 15*time.Second)
	h.engine.calls.wait(1, "GET "+traceID(1))
	h.request(controller.ShutdownRequested)
	for n := 2; ; n++ {
		late.query("squall", n, 15*time.Second)
		h.engine.finish(traceID(n))
		if a, ok := late.readAnswer(); !ok || a.Kind == client.Deferred {
			break
		}
		time.Sleep(4 * time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond) // from here on the shutdown waits for this query only
	c.cancel()
	h.waitForExit()
	if h.engine.calls.count("DELETE "+traceID(1)) == 0 {
		t.Fatal("the query was not cancelled at its engine")
	}
}
