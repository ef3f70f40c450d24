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

const testTimeout = 10 * time.Second

// target is a server that echoes received bytes and records them.
type target struct {
	net.Listener
	received chan string // bytes of each read, from any connection
}

func startEchoServer(t *testing.T, address string) *target {
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
				b := make([]byte, readSize)
				for {
					n, err := c.Read(b)
					if err != nil {
						return
					}
					e.received <- string(b[:n])
					c.Write(b[:n])
				}
			}()
		}
	}()
	t.Cleanup(func() { l.Close() })
	return e
}

func newLinkToEcho(t *testing.T) (*Link, *target) {
	t.Helper()
	e := startEchoServer(t, "127.0.0.1:0")
	l, err := New(e.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, e
}

func mustDial(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c.(*net.TCPConn)
}

func mustWrite(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func expectRead(t *testing.T, c net.Conn, text string) {
	t.Helper()
	b := make([]byte, len(text))
	if n, err := io.ReadFull(c, b); err != nil || string(b) != text {
		t.Fatalf("%q %v, want %q", b[:n], err, text)
	}
}

// expectReceived fails unless the target receives a text, on all connections together.
func (e *target) expectReceived(t *testing.T, text string) {
	t.Helper()
	var b string
	for len(b) < len(text) {
		select {
		case s := <-e.received:
			b += s
		case <-time.After(testTimeout):
			t.Fatalf("%q came, want %q", b, text)
		}
	}
	if b != text {
		t.Fatalf("%q came, want %q", b, text)
	}
}

// waitForHits polls until a hit count reaches n, because no event reports it.
func waitForHits(t *testing.T, of func() map[string]int, kind Kind, n int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); of()[string(kind)] < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s has hit count %d, want %d", kind, of()[string(kind)], n)
		}
	}
}

func expectClosed(t *testing.T, c net.Conn) {
	t.Helper()
	if n, err := c.Read(make([]byte, 1)); n > 0 || err != io.EOF && !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("read %d bytes, %v: the connection isn't closed", n, err)
	}
}

func TestBytesPassWithoutFault(t *testing.T) {
	l, _ := newLinkToEcho(t)
	c := mustDial(t, l.Address())
	data := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	go func() { c.Write(data); c.CloseWrite() }()
	if echoed, err := io.ReadAll(c); err != nil || !bytes.Equal(echoed, data) {
		t.Errorf("%d bytes of %d came back: %v", len(echoed), len(data), err)
	}
	if n := len(l.HitCounts()); n > 0 {
		t.Error(l.HitCounts())
	}
}

func TestCutClosesOpenAndNewConnections(t *testing.T) {
	l, _ := newLinkToEcho(t)
	c := mustDial(t, l.Address())
	mustWrite(t, c, "a")
	expectRead(t, c, "a")
	l.SetFault(Fault{Kind: Cut})
	expectClosed(t, c)
	if late, err := net.Dial("tcp", l.Address()); err == nil { // the reset may come before or after
		late.SetDeadline(time.Now().Add(testTimeout))
		expectClosed(t, late)
		late.Close()
	} else if !errors.Is(err, syscall.ECONNRESET) {
		t.Error(err)
	}
	waitForHits(t, l.HitCounts, Cut, 2)
	l.SetFault(Fault{})
	c = mustDial(t, l.Address())
	mustWrite(t, c, "b")
	expectRead(t, c, "b")
}

func TestSilentCutHoldsBytesUntilHealed(t *testing.T) {
	l, e := newLinkToEcho(t)
	c := mustDial(t, l.Address())
	mustWrite(t, c, "a")
	expectRead(t, c, "a")
	e.expectReceived(t, "a")
	l.SetFault(Fault{Kind: Cut, Silent: true})
	mustWrite(t, c, "b")
	late := mustDial(t, l.Address())
	mustWrite(t, late, "c")
	waitForHits(t, l.HitCounts, Cut, 2)
	if len(e.received) > 0 {
		t.Error("bytes passed a silent cut")
	}
	l.SetFault(Fault{})
	expectRead(t, c, "b")
	expectRead(t, late, "c")
}

func TestOneWay(t *testing.T) {
	l, e := newLinkToEcho(t)
	c := mustDial(t, l.Address())
	l.SetFault(Fault{Kind: OneWay, Direction: FromTarget, Hold: true})
	mustWrite(t, c, "a")
	e.expectReceived(t, "a")
	waitForHits(t, l.HitCounts, OneWay, 1)
	l.SetFault(Fault{})
	expectRead(t, c, "a")
	l.SetFault(Fault{Kind: OneWay, Direction: FromTarget}) // dropped, not held
	mustWrite(t, c, "b")
	e.expectReceived(t, "b")
	waitForHits(t, l.HitCounts, OneWay, 2)
	l.SetFault(Fault{})
	expectClosed(t, c)
	c = mustDial(t, l.Address())
	mustWrite(t, c, "c")
	expectRead(t, c, "c")
	e.expectReceived(t, "c")
	l.SetFault(Fault{Kind: OneWay, Direction: ToTarget})
	mustWrite(t, c, "d")
	waitForHits(t, l.HitCounts, OneWay, 3)
	if len(e.received) > 0 {
		t.Error("bytes passed in the dropped direction")
	}
}

func TestSlowAndDelayAddLatency(t *testing.T) {
	l, _ := newLinkToEcho(t)
	c := mustDial(t, l.Address())
	for _, f := range []Fault{
		{Kind: Slow, Direction: ToTarget, Rate: 10000},
		{Kind: Delay, Direction: FromTarget, Latency: 100 * time.Millisecond, Jitter: time.Millisecond},
	} {
		l.SetFault(f)
		began := time.Now()
		mustWrite(t, c, string(make([]byte, 1000)))
		expectRead(t, c, string(make([]byte, 1000)))
		if took := time.Since(began); took < 100*time.Millisecond {
			t.Errorf("%s: %v", f.Kind, took)
		}
		waitForHits(t, l.HitCounts, f.Kind, 1)
	}
	l.SetFault(Fault{Kind: Delay, Latency: time.Hour})
	mustWrite(t, c, "x")
	waitForHits(t, l.HitCounts, Delay, 2)
	l.SetFault(Fault{}) // delayed bytes pass at once
	expectRead(t, c, "x")
}

func TestResetClosesOnlyOpenConnections(t *testing.T) {
	l, _ := newLinkToEcho(t)
	c := mustDial(t, l.Address())
	mustWrite(t, c, "a")
	expectRead(t, c, "a")
	l.SetFault(Fault{Kind: Reset})
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Error(err)
	}
	c = mustDial(t, l.Address())
	mustWrite(t, c, "b")
	expectRead(t, c, "b")
	waitForHits(t, l.HitCounts, Reset, 1)
}

func TestStallStopsAfterAfterBytes(t *testing.T) {
	l, e := newLinkToEcho(t)
	c := mustDial(t, l.Address())
	l.SetFault(Fault{Kind: Stall, Direction: ToTarget, AfterBytes: 3})
	mustWrite(t, c, "abcdef")
	expectRead(t, c, "abc")
	e.expectReceived(t, "abc")
	waitForHits(t, l.HitCounts, Stall, 1)
	other := mustDial(t, l.Address())
	mustWrite(t, other, "xyz") // each connection has its own limit
	expectRead(t, other, "xyz")
	l.SetFault(Fault{})
	expectRead(t, c, "def")
}

func TestDuplicateSendsAgainAfterTheResponse(t *testing.T) {
	l, e := newLinkToEcho(t)
	l.SetFault(Fault{Kind: Duplicate})
	c := mustDial(t, l.Address())
	mustWrite(t, c, "once")
	expectRead(t, c, "once")
	e.expectReceived(t, "onceonce")
	mustWrite(t, c, "more")
	expectRead(t, c, "more")
	e.expectReceived(t, "moremore")
	waitForHits(t, l.HitCounts, Duplicate, 2)
	c.CloseWrite()
	expectClosed(t, c) // no response of the duplicate connection was forwarded
}

func TestCloseWithHeldConnections(t *testing.T) {
	l, _ := newLinkToEcho(t)
	l.SetFault(Fault{Kind: Cut, Silent: true})
	for range 3 {
		mustWrite(t, mustDial(t, l.Address()), "held")
	}
	waitForHits(t, l.HitCounts, Cut, 3)
} // the cleanup closes the link and checks for leaked goroutines

func TestMeshCutsPairs(t *testing.T) {
	names := []string{"a", "b", "c"}
	m := NewMesh(names...)
	for _, n := range names {
		m.SetTarget(n, startEchoServer(t, "127.0.0.1:0").Addr().String())
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
			if (i+j)%2 == 0 { // selects the link by the source address
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
			c.SetDeadline(time.Now().Add(testTimeout))
			conns[pair{from, to}] = c
		}
	}
	ask := func(cut func(pair) bool, step string) {
		n, before := 0, map[pair]int{}
		for p, c := range conns {
			before[p] = m.Link(p.from, p.to).HitCounts()[string(Cut)]
			mustWrite(t, c, step)
		}
		for p, c := range conns {
			if cut(p) {
				waitForHits(t, m.Link(p.from, p.to).HitCounts, Cut, before[p]+1)
				n++
			} else {
				expectRead(t, c, step)
			}
		}
		m.Heal()
		for p, c := range conns {
			if cut(p) {
				expectRead(t, c, step)
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
	expectClosed(t, mustDial(t, front)) // from an unknown source address
}

func TestScriptStepsFollowEvents(t *testing.T) {
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

func TestDecisionPassesNoMoreBytesThanWait(t *testing.T) {
	kinds := map[Kind]bool{}
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		f := RandomFault(r)
		kinds[f.Kind] = true
		n := rapid.IntRange(1, readSize).Draw(t, "n")
		passed := rapid.Int64Range(0, 5000).Draw(t, "passed")
		for _, way := range []Direction{ToTarget, FromTarget} {
			v := f.decide(way, n, passed, f.drawDelay(r), 0)
			switch {
			case v.passNow < 0 || v.passNow > n || v.wait < 0 || v.drop && v.passNow > 0:
				t.Fatalf("%+v: decision %+v for %d bytes", f, v, n)
			case f.Direction != Both && f.Direction != way && v != decision{passNow: n}:
				t.Fatalf("%+v affects the other direction: %+v", f, v)
			case f.Kind == Stall && v.passNow > 0 && passed+int64(v.passNow) > f.AfterBytes &&
				(f.Direction == Both || f.Direction == way):
				t.Fatalf("%+v lets %d pass after %d", f, v.passNow, passed)
			}
		}
	})
	if len(kinds) != 7 {
		t.Error("RandomFault didn't draw all kinds:", kinds)
	}
}
