package faultproxy

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

const soon = 10 * time.Second

// target takes connections and tells of what each sent; it sends back what it gets.
type target struct {
	net.Listener
	took chan string // each piece that came, by any connection
}

func echo(t *testing.T, address string) *target {
	t.Helper()
	now := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, now) })
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	e := &target{l, make(chan string, 1024)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := make([]byte, chunk)
				for {
					n, err := c.Read(b)
					if err != nil {
						return
					}
					e.took <- string(b[:n])
					c.Write(b[:n])
				}
			}()
		}
	}()
	t.Cleanup(func() { l.Close() })
	return e
}

func links(t *testing.T) (*Link, *target) {
	t.Helper()
	e := echo(t, "127.0.0.1:0")
	l, err := New(e.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, e
}

func dial(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(soon))
	return c.(*net.TCPConn)
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func reads(t *testing.T, c net.Conn, text string) {
	t.Helper()
	b := make([]byte, len(text))
	if n, err := io.ReadFull(c, b); err != nil || string(b) != text {
		t.Fatalf("%q %v, want %q", b[:n], err, text)
	}
}

// takes reads from all connections together until so much came.
func (e *target) takes(t *testing.T, text string) {
	t.Helper()
	var b string
	for len(b) < len(text) {
		select {
		case s := <-e.took:
			b += s
		case <-time.After(soon):
			t.Fatalf("%q came, want %q", b, text)
		}
	}
	if b != text {
		t.Fatalf("%q came, want %q", b, text)
	}
}

// struck waits for a count: it has no event.
func struck(t *testing.T, of func() map[string]int, kind Kind, n int) {
	t.Helper()
	for end := time.Now().Add(soon); of()[string(kind)] < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s struck %d times, want %d", kind, of()[string(kind)], n)
		}
	}
}

func closed(t *testing.T, c net.Conn) {
	t.Helper()
	if n, err := c.Read(make([]byte, 1)); n > 0 || err != io.EOF && !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("%d bytes, %v: it isn't closed", n, err)
	}
}

func TestWhatPassesWithoutFault(t *testing.T) {
	l, _ := links(t)
	c := dial(t, l.Address())
	data := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	go func() { c.Write(data); c.CloseWrite() }()
	if back, err := io.ReadAll(c); err != nil || !bytes.Equal(back, data) {
		t.Errorf("%d bytes of %d came back: %v", len(back), len(data), err)
	}
	if n := len(l.HitCounts()); n > 0 {
		t.Error(l.HitCounts())
	}
}

func TestCutClosesWhatStandsAndWhatComes(t *testing.T) {
	l, _ := links(t)
	c := dial(t, l.Address())
	write(t, c, "a")
	reads(t, c, "a")
	l.SetFault(Fault{Kind: Cut})
	closed(t, c)
	if late, err := net.Dial("tcp", l.Address()); err == nil { // the reset may come before or after
		late.SetDeadline(time.Now().Add(soon))
		closed(t, late)
		late.Close()
	} else if !errors.Is(err, syscall.ECONNRESET) {
		t.Error(err)
	}
	struck(t, l.HitCounts, Cut, 2)
	l.SetFault(Fault{})
	c = dial(t, l.Address())
	write(t, c, "b")
	reads(t, c, "b")
}

func TestASilentCutHoldsAllUntilItHeals(t *testing.T) {
	l, e := links(t)
	c := dial(t, l.Address())
	write(t, c, "a")
	reads(t, c, "a")
	e.takes(t, "a")
	l.SetFault(Fault{Kind: Cut, Silent: true})
	write(t, c, "b")
	late := dial(t, l.Address())
	write(t, late, "c")
	struck(t, l.HitCounts, Cut, 2)
	if len(e.took) > 0 {
		t.Error("something passed")
	}
	l.SetFault(Fault{})
	reads(t, c, "b")
	reads(t, late, "c")
}

func TestOneWay(t *testing.T) {
	l, e := links(t)
	c := dial(t, l.Address())
	l.SetFault(Fault{Kind: OneWay, Direction: FromTarget, Hold: true})
	write(t, c, "a")
	e.takes(t, "a")
	struck(t, l.HitCounts, OneWay, 1)
	l.SetFault(Fault{})
	reads(t, c, "a")
	l.SetFault(Fault{Kind: OneWay, Direction: FromTarget}) // lost, not held
	write(t, c, "b")
	e.takes(t, "b")
	struck(t, l.HitCounts, OneWay, 2)
	l.SetFault(Fault{})
	closed(t, c)
	c = dial(t, l.Address())
	write(t, c, "c")
	reads(t, c, "c")
	e.takes(t, "c")
	l.SetFault(Fault{Kind: OneWay, Direction: ToTarget})
	write(t, c, "d")
	struck(t, l.HitCounts, OneWay, 3)
	if len(e.took) > 0 {
		t.Error("it passed")
	}
}

func TestSlowAndDelayTakeTheirTime(t *testing.T) {
	l, _ := links(t)
	c := dial(t, l.Address())
	for _, f := range []Fault{
		{Kind: Slow, Direction: ToTarget, Rate: 10000},
		{Kind: Delay, Direction: FromTarget, Latency: 100 * time.Millisecond, Jitter: time.Millisecond},
	} {
		l.SetFault(f)
		began := time.Now()
		write(t, c, string(make([]byte, 1000)))
		reads(t, c, string(make([]byte, 1000)))
		if took := time.Since(began); took < 100*time.Millisecond {
			t.Errorf("%s: %v", f.Kind, took)
		}
		struck(t, l.HitCounts, f.Kind, 1)
	}
	l.SetFault(Fault{Kind: Delay, Latency: time.Hour})
	write(t, c, "x")
	struck(t, l.HitCounts, Delay, 2)
	l.SetFault(Fault{}) // what waits waits no more
	reads(t, c, "x")
}

func TestResetStrikesWhatStands(t *testing.T) {
	l, _ := links(t)
	c := dial(t, l.Address())
	write(t, c, "a")
	reads(t, c, "a")
	l.SetFault(Fault{Kind: Reset})
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Error(err)
	}
	c = dial(t, l.Address())
	write(t, c, "b")
	reads(t, c, "b")
	struck(t, l.HitCounts, Reset, 1)
}

func TestStallStopsInTheMiddle(t *testing.T) {
	l, e := links(t)
	c := dial(t, l.Address())
	l.SetFault(Fault{Kind: Stall, Direction: ToTarget, AfterBytes: 3})
	write(t, c, "abcdef")
	reads(t, c, "abc")
	e.takes(t, "abc")
	struck(t, l.HitCounts, Stall, 1)
	other := dial(t, l.Address())
	write(t, other, "xyz") // up to there each passes
	reads(t, other, "xyz")
	l.SetFault(Fault{})
	reads(t, c, "def")
}

func TestDoubleComesOnceMoreAfterTheAnswer(t *testing.T) {
	l, e := links(t)
	l.SetFault(Fault{Kind: Duplicate})
	c := dial(t, l.Address())
	write(t, c, "once")
	reads(t, c, "once")
	e.takes(t, "onceonce")
	write(t, c, "more")
	reads(t, c, "more")
	e.takes(t, "moremore")
	struck(t, l.HitCounts, Duplicate, 2)
	c.CloseWrite()
	closed(t, c) // of the twin's answers none came
}

func TestCloseWithAllHeld(t *testing.T) {
	l, _ := links(t)
	l.SetFault(Fault{Kind: Cut, Silent: true})
	for range 3 {
		write(t, dial(t, l.Address()), "held")
	}
	struck(t, l.HitCounts, Cut, 3)
} // the clean-up closes the link and looks for goroutines

func TestMeshCutsPairs(t *testing.T) {
	names := []string{"a", "b", "c"}
	m := NewMesh(names...)
	for _, n := range names {
		m.SetTarget(n, echo(t, "127.0.0.1:0").Addr().String())
	}
	t.Cleanup(m.Close)
	type pair struct{ from, to string }
	conns := map[pair]net.Conn{}
	for i, from := range names {
		for j, to := range names {
			if from == to {
				continue
			}
			address, err := m.Address(from, to)
			if (i+j)%2 == 0 { // the other way to be told apart: by where it comes from
				address, err = m.SharedAddress(to)
			}
			if err != nil {
				t.Fatal(err)
			}
			d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(m.SourceAddress(from))}}
			c, err := d.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			c.SetDeadline(time.Now().Add(soon))
			conns[pair{from, to}] = c
		}
	}
	ask := func(cut func(pair) bool, step string) {
		n, before := 0, map[pair]int{}
		for p, c := range conns {
			before[p] = m.Link(p.from, p.to).HitCounts()[string(Cut)]
			write(t, c, step)
		}
		for p, c := range conns {
			if cut(p) {
				struck(t, m.Link(p.from, p.to).HitCounts, Cut, before[p]+1)
				n++
			} else {
				reads(t, c, step)
			}
		}
		m.Heal()
		for p, c := range conns {
			if cut(p) {
				reads(t, c, step)
			}
		}
		if n == 0 != (step == "none") {
			t.Errorf("%s: %d pairs were cut", step, n)
		}
	}
	ask(func(pair) bool { return false }, "none")
	m.Cut("a", "b")
	ask(func(p pair) bool { return p.from+p.to == "ab" || p.from+p.to == "ba" }, "pair")
	m.Isolate("c")
	ask(func(p pair) bool { return p.from == "c" || p.to == "c" }, "alone")
	m.Play(&Script{Steps: []Step{{Event: "now", From: "a", To: "c", Fault: Fault{Kind: Cut, Silent: true}}}}, "now")
	ask(func(p pair) bool { return p.from+p.to == "ac" }, "scripted")
	if m.HitCounts()[string(Cut)] < 7 {
		t.Error(m.HitCounts())
	}
	front, _ := m.SharedAddress("a")
	closed(t, dial(t, front)) // from no process
}

func TestAScriptGoesByEvents(t *testing.T) {
	s := Script{Steps: []Step{
		{Event: "decided", Nth: 2, Fault: Fault{Kind: Cut}}, {To: "b", Fault: Fault{Kind: Slow}},
		{Event: "decided", Fault: Fault{Kind: Reset}}, {Event: "led", Fault: Fault{}},
	}}
	var got []Kind
	for _, e := range []string{"led", "decided", "led", "decided", "x", "decided", "decided", "led", "led"} {
		got = append(got, Kind(e))
		for _, step := range s.OnEvent(e) {
			got = append(got, "!"+step.Fault.Kind)
		}
	}
	want := []Kind{"led", "decided", "led", "decided", "!cut", "!slow", "x", "decided", "!reset", "decided", "led", "!", "led"}
	if !slices.Equal(got, want) {
		t.Error(got)
	}
}

func TestAFaultNeverTakesMoreThanThereIs(t *testing.T) {
	kinds := map[Kind]bool{}
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		f := RandomFault(r)
		kinds[f.Kind] = true
		n := rapid.IntRange(1, chunk).Draw(t, "n")
		passed := rapid.Int64Range(0, 5000).Draw(t, "passed")
		for _, way := range []Direction{ToTarget, FromTarget} {
			v := f.over(way, n, passed, f.late(r), 0)
			switch {
			case v.take < 0 || v.take > n || v.wait < 0 || v.drop && v.take > 0:
				t.Fatalf("%+v: %+v of %d", f, v, n)
			case f.Direction != Both && f.Direction != way && v != verdict{take: n}:
				t.Fatalf("%+v strikes the other way: %+v", f, v)
			case f.Kind == Stall && v.take > 0 && passed+int64(v.take) > f.AfterBytes && (f.Direction == Both || f.Direction == way):
				t.Fatalf("%+v lets %d pass after %d", f, v.take, passed)
			}
		}
	})
	if len(kinds) != 7 {
		t.Error("not all kinds are drawn:", kinds)
	}
}
