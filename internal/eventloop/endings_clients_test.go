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

// waiting is where a query waits, and what lets it go on from there.
type waiting struct {
	options options
	// waits leaves query 1 of a client waiting; the returned lets what it waits for happen.
	waits func(y *yard, c *asker) (open func())
}

var queues = map[string]waiting{
	"for an engine": {options{state: "DRAINING"}, func(y *yard, c *asker) func() {
		watch, _ := y.feed.watch()
		c.ask("squall", 1, 15*time.Second)
		return func() { io.WriteString(watch, listed(2, false, entry("e1", y.engine, "SERVING"))+"\n") }
	}},
	"in a chain": {options{}, func(y *yard, c *asker) func() {
		first := y.client()
		first.ask("haul", 90, 15*time.Second)
		y.engine.heard.wait(1, "POST "+id(90))
		c.ask("haul", 1, 15*time.Second)
		return func() { y.engine.over(id(90)); first.finished(90) }
	}},
	"in its key's line": {options{}, func(y *yard, c *asker) func() {
		first := y.client()
		first.ask("entry", 90, 15*time.Second, "entity", "k")
		y.engine.heard.wait(1, "POST "+id(90))
		c.ask("entry", 1, 15*time.Second, "entity", "k")
		return func() { y.engine.over(id(90)); first.finished(90) }
	}},
	"for a connection": {options{facts: map[string]string{"connect.timeout": "8000"}}, func(y *yard, c *asker) func() {
		c.ask("squall", 1, 15*time.Second)
		y.log.wait(1, "dialled for POST", id(1))
		return func() { y.engine = newGate(y.t, y.engine.Listener) }
	}},
}

// inEachQueue has query 1 of a client wait in each place in turn, and hands over how that client goes
// and what lets the query go on.
func inEachQueue(t *testing.T, play func(t *testing.T, y *yard, c *asker, goes func(*asker), open func())) {
	for where, w := range queues {
		for how, goes := range gone {
			t.Run(where+", "+how, func(t *testing.T) {
				t.Parallel()
				o := w.options
				if where == "for a connection" {
					o.engine = jammed(t)
				}
				y := newYard(t, o)
				if y.engine == nil {
					y.engine = &gate{Listener: o.engine, heard: newRecord(t)}
				}
				c := y.client()
				open := w.waits(y, c)
				y.log.wait(1, "taken", id(1))
				play(t, y, c, goes, open)
			})
		}
	}
}

// However a client goes, nothing begins for a query of its that waits, wherever it does, once what
// it waited for comes. A half-close counts as going: nobody who still wants an answer sends one.
func TestClientGoneWhileItsQueryWaits(t *testing.T) {
	inEachQueue(t, func(t *testing.T, y *yard, c *asker, goes func(*asker), open func()) {
		goes(c)
		y.log.wait(1, "closed: left", id(1))
		open()
		b := y.client() // one that comes after it goes, so that the way was open
		b.ask("squall", 2, 15*time.Second)
		y.engine.heard.wait(1, "POST "+id(2))
		y.engine.over(id(2))
		b.finished(2)
		y.ends()
		if n := y.engine.heard.has("POST " + id(1)); n > 0 {
			t.Fatalf("sent %d times for a client that was gone", n)
		}
	})
}

// The other order: it has begun as its client goes. It is given up at its engine, and nothing more begins.
func TestClientGoneOnceItsQueryRuns(t *testing.T) {
	inEachQueue(t, func(t *testing.T, y *yard, c *asker, goes func(*asker), open func()) {
		open()
		y.engine.heard.wait(1, "POST "+id(1))
		goes(c)
		y.log.wait(1, "closed: left", id(1))
		y.engine.heard.wait(1, "DELETE "+id(1))
		y.ends()
		if n := y.engine.heard.has("POST " + id(1)); n != 1 {
			t.Fatalf("sent %d times", n)
		}
	})
}

// With every descriptor for engines in use a query waits for one; its client goes meanwhile.
func TestClientGoneWhileItWaitsForADescriptor(t *testing.T) {
	t.Parallel()
	for range 8 { // an engine's line is not held up for more than 400 ms: where we were too slow, again
		y := newYard(t, options{sockets: 27}) // two for engines
		first := y.client()
		for n := 90; n < 92; n++ {
			y.engine.hold("POST", id(n))
			first.ask("squall", n, 15*time.Second)
			y.engine.heard.wait(1, "POST "+id(n))
		}
		c := y.client()
		c.ask("squall", 1, 15*time.Second)
		y.log.wait(1, "taken", id(1))
		c.Close()
		y.log.wait(1, "closed: left", id(1))
		late := y.engine.heard.has("POST " + id(1))
		y.engine.over(id(90))
		y.engine.over(id(91))
		for range 2 {
			if a, ok := first.answer(); !ok || a.Kind != client.Finished {
				t.Fatalf("%v %+v", ok, a)
			}
		}
		y.ends()
		if late == 0 {
			if n := y.engine.heard.has("POST " + id(1)); n > 0 {
				t.Fatalf("sent %d times", n)
			}
			return
		}
	}
	t.Fatal("its query never waited")
}

// A word of a client that was read and is not stepped yet goes before what would begin for it, and
// what lies in a queue to be written asks for its permit right before its first byte.
func TestWhatAClientSaysGoesBeforeWhatBeginsForIt(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		l := &loop{group: &errgroup.Group{}, wires: map[*controller.Connection]*wire{}, later: map[*wire][]func(){}, start: time.Now()}
		engine, client := newWire(&controller.Connection{}, nil), newWire(&controller.Connection{}, nil)
		l.wires[engine.link], l.wires[client.link] = engine, client
		client.unheard.Store(true)
		permit := controller.NewWritePermit(time.Hour)
		l.perform([]controller.Effect{{Kind: controller.Write, Connection: engine.link, Bytes: []byte("POST"), Permit: permit, Client: client.link}})
		if len(engine.queue) > 0 {
			t.Fatal("queued before its client was heard")
		}
		if leaves {
			permit.Revoke()
		}
		l.heard(client)
		if string(engine.queue) != "POST" || len(engine.guards) != 1 || engine.guards[0].permit != permit {
			t.Fatalf("%q, %d guards", engine.queue, len(engine.guards))
		}
		if engine.guards[0].permit.ValidAt(0) == leaves {
			t.Fatal("the permit doesn't tell whether its client left")
		}
	}
}

func TestAPermitIsAskedRightBeforeTheFirstByte(t *testing.T) {
	now := time.Now().Add(-time.Minute)
	for what, p := range map[string]*controller.WritePermit{"it holds": controller.NewWritePermit(time.Hour), "revoked": controller.NewWritePermit(time.Hour), "over": controller.NewWritePermit(30 * time.Second)} {
		if what == "revoked" {
			p.Revoke()
		}
		out, kinds := sends(t, now, "starts ", guard{permit: p}, nil)
		if what == "it holds" {
			if out != "free starts free too" {
				t.Fatalf("%q, %v", out, kinds)
			}
		} else if out != "free " || len(kinds) != 3 || kinds[1] != controller.WriteRejected || kinds[2] != controller.ConnectionClosed {
			t.Fatalf("%s: %q, %v", what, out, kinds)
		}
	}
}

// A query that crosses our close of a connection at rest: read after we shut it, it is not sent on,
// and the connection still ends well; read before, it is answered whole.
func TestAQueryCrossesOurClose(t *testing.T) {
	t.Parallel()
	y := newYard(t, options{manners: []controller.ClientLimits{{Prefixes: loopback, IdleTimeout: time.Millisecond}}})
	after := y.client()
	if _, ok := after.answer(); ok {
		t.Fatal("an answer to nothing")
	}
	after.ask("squall", 1, 5*time.Second) // it hears that we shut it, and asks all the same
	before := y.client()
	before.ask("squall", 2, 5*time.Second)
	y.engine.heard.wait(1, "POST "+id(2))
	y.engine.over(id(2))
	before.finished(2)
	if _, ok := before.answer(); ok { // it rests then, and is ended
		t.Fatal("a second answer")
	}
	for n := 10; n < 40; n++ { // and as it falls: written once an instant, whatever the sweep does just then
		c := y.client()
		time.Sleep(time.Duration(n*9) * time.Millisecond / 2)
		c.msgs++
		c.Write(client.AppendQuery(nil, c.msgs, "squall", []byte("SELECT 1 FROM sales_3.x"), "trace", id(n), "patience", "5000"))
		y.engine.over(id(n))
		if a, ok := c.answer(); ok != (y.engine.heard.has("POST "+id(n)) == 1) || ok && a.Kind != client.Finished {
			t.Fatalf("query %d: sent %d times, answered: %v %+v", n, y.engine.heard.has("POST "+id(n)), ok, a)
		}
		c.Close()
	}
	y.ends()
	if y.engine.heard.has("POST "+id(1)) > 0 {
		t.Fatal("what came after we shut the connection was sent on")
	}
}

// An answer larger than what the kernels hold comes whole though its connection is closed behind
// it and its client has written what nobody reads: closed at once, the connection would be reset.
func TestAnAnswerIsNotResetAway(t *testing.T) {
	t.Parallel()
	ours, theirs := pair(t)
	defer theirs.Close()
	l := &loop{ctx: t.Context(), group: &errgroup.Group{}, events: make(chan event), start: time.Now()}
	w := newWire(&controller.Connection{}, ours)
	w.client = true
	ours.(*net.TCPConn).SetWriteBuffer(4 << 20)
	size := 3 << 20
	w.write([]byte(strings.Repeat("x", size)), guard{})
	ended, out := make(chan struct{}), make(chan struct{})
	go func() {
		for ev := range l.events {
			if ev.Kind == controller.BytesReceived {
				w.turn <- struct{}{}
			} else if ev.Kind == controller.BytesWritten {
				close(out)
			} else if ev.Kind == controller.ConnectionClosed {
				close(ended)
				return
			}
		}
	}()
	w.closeGently(patienceMost)
	go l.serve(w)
	<-out // all of it lies in the kernels
	select {
	case <-ended: // closed for good behind it
	case <-time.After(50 * time.Millisecond):
	}
	if _, err := io.WriteString(theirs, "one more query"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // whatever that does to the connection
	theirs.SetReadDeadline(time.Now().Add(patienceMost))
	n, err := io.Copy(io.Discard, theirs)
	if n != int64(size) || err != nil {
		t.Fatalf("%d bytes of %d, %v", n, size, err)
	}
	theirs.Close()
	<-ended
}

// Idle clients fill all that clients may hold while the feed is away: who asks displaces one that
// rests, engines get theirs, and the feed is heard once it is back.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	t.Parallel()
	away := listen(t)
	address := away.Addr().String()
	away.Close()
	y := newYard(t, options{sockets: 96, feed: address})
	var idle []*asker
	for range 60 { // clients may hold a third
		idle = append(idle, y.client())
	}
	asks := y.client()
	asks.ask("squall", 1, 10*time.Second)
	y.engine.heard.wait(1, "POST "+id(1))
	y.engine.over(id(1))
	asks.finished(1)
	if _, err := asks.Write(client.AppendAliveRequest(nil, 77)); err != nil {
		t.Fatal(err)
	}
	if a, ok := asks.answer(); !ok || !a.Ready {
		t.Fatalf("not ready: %v %+v", ok, a)
	}
	back, err := net.Listen("tcp", address)
	if err != nil {
		t.Skip("its address was taken meanwhile: ", err)
	}
	y.feed = newWatched(t, back)
	watch, said := y.feed.watch()
	if said != "SUB 1" {
		t.Fatal(said)
	}
	other := newGate(t, nil)
	io.WriteString(watch, listed(2, false, entry("e1", y.engine, "DELETED"), entry("e2", other, "SERVING"))+"\n")
	for n := 2; other.heard.has("POST") == 0; n++ {
		asks.ask("squall", n, 10*time.Second)
		other.over(id(n))
		y.engine.over(id(n))
		asks.finished(n)
	}
	y.ends()
	for _, c := range idle {
		c.Close()
	}
}
