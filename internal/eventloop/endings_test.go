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

// At the end of the program a client that rests hears that nothing more comes, and isn't waited
// for; what is asked before is answered, what comes late is turned away or not taken, and nothing of
// it is sent on. Being told twice, and to read the configuration anew meanwhile, changes nothing.
func TestTheEndOfAController(t *testing.T) {
	t.Parallel()
	y := newYard(t, options{})
	rests, asks := y.client(), y.client()
	asks.ask("squall", 1, 15*time.Second)
	y.engine.heard.wait(1, "POST "+id(1))
	y.tell(controller.ShutdownRequested)
	rests.ask("squall", 2, 15*time.Second) // on a connection that rested, as the word comes
	y.engine.heard.wait(1, "POST "+id(2))
	y.tell(controller.ShutdownRequested)
	y.tell(controller.ConfigurationReloaded)
	y.engine.over(id(2))
	rests.finished(2)
	late := y.client()
	for n := 3; ; n++ { // until it turns them away
		late.ask("squall", n, 15*time.Second)
		y.engine.over(id(n))
		a, ok := late.answer()
		if !ok {
			t.Fatal("ended with a query in hand")
		}
		time.Sleep(4 * time.Millisecond) // more at a time would be a flood
		if a.Kind == client.Deferred {
			if y.engine.heard.has("POST "+id(n)) > 0 {
				t.Fatal("deferred, and sent")
			}
			break
		}
	}
	y.engine.over(id(1))
	asks.finished(1)
	for _, c := range []*asker{rests, asks, late} {
		if _, ok := c.answer(); ok {
			t.Fatal("an answer that nobody asked for")
		}
	}
	y.gone() // though none of the three has closed its side
}

// Engines hang with a query in each state of a submission as the word to stop comes: each has its
// answer before its client gives up, and the end comes.
func TestTheEndWhileEnginesHang(t *testing.T) {
	t.Parallel()
	jam := jammed(t)
	y := newYard(t, options{facts: map[string]string{"connect.timeout": "8000"}, more: []string{entry("e2", jam, "DRAINING")}})
	watch, _ := y.feed.watch()
	c := y.client()
	patience := 900 * time.Millisecond
	from := time.Now()
	y.engine.hold("POST", id(1)) // written, and no answer
	c.ask("squall", 1, patience)
	c.ask("entry", 2, patience, "entity", "k") // runs
	y.engine.heard.wait(1, "POST "+id(1))
	y.engine.heard.wait(1, "GET "+id(2))
	c.ask("entry", 3, patience, "entity", "k") // waits for its key's turn
	half := y.engine.hold("POST", id(4))       // half an answer
	c.ask("squall", 4, patience)
	y.engine.heard.wait(1, "POST "+id(4))
	half <- "HTTP/1.1 200 x\r\nChunks: 1\r\nConte"
	io.WriteString(watch, listed(2, false, entry("e1", y.engine, "DRAINING"), entry("e2", jam, "SERVING"))+"\n")
	y.log.wait(0, "")
	c.ask("squall", 5, patience) // its connection doesn't come up
	y.log.wait(1, "dialled for POST", id(5))
	y.tell(controller.ShutdownRequested)
	for range 5 {
		a, ok := c.answer()
		if !ok || a.Kind == client.Finished {
			t.Fatalf("%v %+v", ok, a)
		}
		if a.Kind == client.Deferred && a.Msg == 2 {
			t.Fatal("deferred, and it runs")
		}
	}
	if took := time.Since(from); took > patience+time.Second {
		t.Fatalf("the last answer after %v", took)
	}
	y.gone()
}

// A drain told while a connection to its engine comes up: nothing is sent on it. Told once the query
// runs there, that goes on to its end.
func TestADrainCrossesAConnectionComingUp(t *testing.T) {
	for _, first := range []string{"drain", "connection"} {
		t.Run(first+" first", func(t *testing.T) {
			t.Parallel()
			jam := jammed(t)
			y := newYard(t, options{engine: jam, facts: map[string]string{"connect.timeout": "8000"}})
			watch, _ := y.feed.watch()
			c := y.client()
			c.ask("squall", 1, 12*time.Second)
			y.log.wait(1, "dialled for POST", id(1))
			other := newGate(t, nil)
			drains := listed(2, false, entry("e1", jam, "DRAINING"), entry("e2", other, "SERVING")) + "\n"
			if first == "drain" {
				io.WriteString(watch, drains)
				b := y.client() // goes to the other, so the drain was heard
				b.ask("squall", 2, 12*time.Second)
				other.heard.wait(1, "POST "+id(2))
				other.over(id(1))
				other.over(id(2))
				b.finished(2)
				y.engine = newGate(t, jam)
				c.finished(1)
				y.ends()
				if y.engine.heard.has("POST") > 0 || other.heard.has("POST "+id(1)) != 1 {
					t.Fatal("sent to an engine that was told to drain")
				}
				return
			}
			y.engine = newGate(t, jam)
			y.engine.heard.wait(1, "POST "+id(1))
			io.WriteString(watch, drains)
			b := y.client()
			b.ask("squall", 2, 12*time.Second)
			other.heard.wait(1, "POST "+id(2))
			other.over(id(2))
			b.finished(2)
			y.engine.over(id(1))
			c.finished(1)
			y.ends()
		})
	}
}

// A watch that falls silent, though nothing was closed, is asked for anew by the number that is due,
// after the last event had; so is one that comes back after its address was dead. What it tells then holds.
func TestAWatchThatFallsSilentOrDies(t *testing.T) {
	for _, how := range []string{"silent", "half a line", "dies"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			other := newGate(t, nil)
			y := newYard(t, options{more: []string{entry("e2", other, "SERVING")}})
			watch, said := y.feed.watch()
			if said != "SUB 1" {
				t.Fatal(said)
			}
			io.WriteString(watch, listed(2, false, entry("e3", other, "DELETED"))+"\n2\n")
			switch how {
			case "half a line":
				io.WriteString(watch, `{"n":3,"members":{"rev`)
			case "dies":
				watch.Close()
			}
			watch, said = y.feed.watch()
			if said != "SUB 2" {
				t.Fatal(said)
			}
			// Heartbeat 4 tells of an event that is missing, so the controller closes the connection as
			// soon as it has read the drain.
			io.WriteString(watch, listed(3, false, entry("e1", y.engine, "DRAINING"))+"\n4\n")
			written := time.Now()
			drainRead := make(chan struct{})
			go func() {
				io.Copy(io.Discard, watch)
				close(drainRead)
			}()
			c := y.client()
			for n, sentAfterRead := 1, 0; sentAfterRead < 11; n++ {
				wasRead := isClosed(drainRead)
				if wasRead {
					sentAfterRead++
				} else if time.Since(written) > patienceMost {
					t.Fatal("the drain was never read")
				}
				c.ask("squall", n, 10*time.Second)
				other.over(id(n))
				y.engine.over(id(n))
				c.finished(n)
				postedAt, posted := y.engine.posted(id(n))
				if posted && wasRead {
					t.Fatal("sent to an engine after the controller had read that it drains")
				}
				if after := postedAt.Sub(written); posted && after > drainGrace {
					t.Fatalf("sent to a draining engine %v after the drain, the grace is %v", after, drainGrace)
				}
			}
			if _, said = y.feed.watch(); said != "SUB 3" {
				t.Fatalf("asked again with %q, want SUB 3: the drain was not read", said)
			}
			y.ends()
		})
	}
}

// An engine ends the connection in the midst of its answer, or right behind it: the client has it
// whole, and once.
func TestAnEngineResetsInItsAnswer(t *testing.T) {
	for what, says := range map[string][]string{
		"before":  {"reset"},
		"half":    {good(id(1))[:60], "reset"},
		"close":   {good(id(1))[:60], "close"},
		"no word": {"close"},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			y := newYard(t, options{})
			c := y.client()
			held := y.engine.hold("POST", id(1))
			c.ask("squall", 1, 10*time.Second)
			y.engine.heard.wait(1, "POST "+id(1))
			y.engine.over(id(1))
			for _, s := range says {
				held <- s
			}
			c.finished(1)
			y.ends()
			if _, ok := c.answer(); ok {
				t.Fatal("a second answer")
			}
			if n := y.engine.heard.has("POST " + id(1)); n != 1 {
				t.Fatalf("sent %d times", n)
			}
		})
	}
}

// A second copy of an answer, at once or after its line was let go, answers nobody else.
func TestALateSecondAnswer(t *testing.T) {
	t.Parallel()
	y := newYard(t, options{})
	c := y.client()
	held := y.engine.hold("GET", id(1))
	c.ask("squall", 1, 10*time.Second)
	y.engine.heard.wait(1, "GET "+id(1))
	held <- good(id(1)) + good(id(1)) + "HTTP"
	y.engine.over(id(1))
	c.finished(1)
	for n := 2; n < 8; n++ {
		c.ask("squall", n, 10*time.Second)
		y.engine.over(id(n))
		c.finished(n)
	}
	held <- "/1.1 200 late\r\n"
	c.ask("squall", 9, 10*time.Second)
	y.engine.over(id(9))
	c.finished(9)
	y.ends()
}

// A client takes its query back as its end comes, in both orders: no answer once it was taken back,
// and nothing more begins; as its repeat is about to begin, none does.
func TestACancelCrosses(t *testing.T) {
	t.Run("the end", func(t *testing.T) {
		t.Parallel()
		y := newYard(t, options{})
		for n := 1; n <= 20; n++ {
			c := y.client()
			held := y.engine.hold("GET", id(n))
			c.ask("squall", n, 10*time.Second)
			y.engine.heard.wait(1, "GET "+id(n))
			if n%2 == 0 {
				held <- good(id(n))
				c.cancel()
			} else {
				c.cancel()
				held <- good(id(n))
			}
			c.ask("squall", 100+n, 10*time.Second)
			y.engine.over(id(100 + n))
			a, ok := c.answer()
			if ok && a.Msg == 1 {
				a, ok = c.answer()
			}
			if !ok || a.Msg != 2 || a.Kind != client.Finished {
				t.Fatalf("%v %+v", ok, a)
			}
			c.Close()
		}
		y.ends()
	})
	t.Run("a repeat", func(t *testing.T) {
		t.Parallel()
		other := newGate(t, nil)
		y := newYard(t, options{state: "DRAINING"})
		watch, _ := y.feed.watch()
		io.WriteString(watch, listed(2, false, entry("e1", y.engine, "SERVING"))+"\n")
		c := y.client()
		held := y.engine.hold("POST", id(1))
		c.ask("squall", 1, 10*time.Second)
		y.engine.heard.wait(1, "POST "+id(1))
		io.WriteString(watch, listed(3, false, entry("e1", y.engine, "DRAINING"))+"\n")
		held <- word(503, "X-Not-Run: 1\r\n") // it would go elsewhere, but there is nowhere yet
		y.log.wait(1, "told", "full", id(1))
		c.cancel()
		y.log.wait(1, "closed: left", id(1))
		io.WriteString(watch, listed(4, false, entry("e2", other, "SERVING"))+"\n")
		c.ask("squall", 2, 10*time.Second)
		other.heard.wait(1, "POST "+id(2))
		other.over(id(2))
		c.finished(2)
		y.ends()
		if other.heard.has("POST "+id(1)) > 0 {
			t.Fatal("a repeat for a client that took its query back")
		}
	})
}

// An engine has said something that was not stepped yet as the next call is about to be written:
// a second copy of its last answer, which would pass for the answer to this one. It isn't written.
func TestWhatAnEngineSaidUnaskedAnswersNothing(t *testing.T) {
	t.Parallel()
	ours, theirs := pair(t)
	defer theirs.Close()
	l := &loop{ctx: t.Context(), group: &errgroup.Group{}, events: make(chan event), start: time.Now()}
	w := newWire(&controller.Connection{}, ours)
	io.WriteString(theirs, good(id(1)))
	go l.serve(w)
	first := <-l.events // read, and not stepped
	w.write([]byte("POST"), guard{})
	var kinds []controller.EventKind
	for kinds = append(kinds, first.Kind); kinds[len(kinds)-1] != controller.ConnectionClosed; {
		ev := <-l.events
		kinds = append(kinds, ev.Kind)
		if ev.Kind == controller.WriteRejected {
			w.turn <- struct{}{}
		}
	}
	if len(kinds) != 3 || kinds[0] != controller.BytesReceived || kinds[1] != controller.WriteRejected {
		t.Fatal(kinds)
	}
	theirs.SetReadDeadline(time.Now().Add(patienceMost))
	if n, _ := theirs.Read(make([]byte, 9)); n > 0 {
		t.Fatal("it was written")
	}
}

// The last answer is on its way to a client that is slow to take it, and asks for more, as the
// program ends: it comes whole.
func TestTheLastAnswerComesWhole(t *testing.T) {
	t.Parallel()
	y := newYard(t, options{})
	c := y.client()
	c.SetReadBuffer(4 << 10)
	held := y.engine.hold("POST", id(1))
	c.ask("squall", 1, 10*time.Second)
	y.engine.heard.wait(1, "POST "+id(1))
	page := strings.Repeat(id(1)+"\tof\tit\n", 260)
	first := good(id(1))
	_, body, _ := strings.Cut(first, "\r\n\r\n")
	y.engine.page(page)
	held <- strings.Replace(first, "Chunks: 1", "Chunks: 9", 1)
	y.log.wait(1, "closed: finished", id(1))
	y.tell(controller.ShutdownRequested)
	y.log.wait(1, "taken 1 finished 1") // the counters, with which it ends
	c.ask("squall", 2, 10*time.Second)
	a, ok := c.answer()
	if want := body + strings.Repeat(page, 8); !ok || string(a.Rows) != want {
		t.Fatalf("%v, %d bytes of %d", ok, len(a.Rows), len(want))
	}
	y.gone()
	if y.engine.heard.has("POST "+id(2)) > 0 {
		t.Fatal("what came after the end was sent on")
	}
}

// What is given up in the last moments of the program is ended at its engine, too, which else would
// work on for nobody.
func TestTheEndWaitsForWhatIsGivenUp(t *testing.T) {
	t.Parallel()
	y := newYard(t, options{facts: map[string]string{"idle.most": "100"}}) // so that it takes a connection of its own
	c, late := y.client(), y.client()
	c.ask("squall", 1, 15*time.Second)
	y.engine.heard.wait(1, "GET "+id(1))
	y.tell(controller.ShutdownRequested)
	for n := 2; ; n++ {
		late.ask("squall", n, 15*time.Second)
		y.engine.over(id(n))
		if a, ok := late.answer(); !ok || a.Kind == client.Deferred {
			break
		}
		time.Sleep(4 * time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond) // from here on the end waits for nothing else
	c.cancel()
	y.gone()
	if y.engine.heard.has("DELETE "+id(1)) == 0 {
		t.Fatal("its engine works on")
	}
}
