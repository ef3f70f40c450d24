package transport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/emulator/faultproxy"
	"railrelay.dev/railrelay/internal/fleet/node"
)

func between(t *testing.T, o Options) (a, b *end, l *faultproxy.Link) {
	t.Helper()
	a, b = pair(t, o, Options{Timeout: o.Timeout})
	l, err := faultproxy.New(b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return a, b, l
}

func TestADuplicateConnectionIsAReplay(t *testing.T) {
	a, b, l := between(t, Options{})
	l.Set(faultproxy.Fault{Kind: faultproxy.Double})
	for i := range 5 {
		a.Send("b", l.Address(), &node.Message{Consensus: []byte(fmt.Sprint(i))})
		b.hears(t, "a", fmt.Sprint(i))
		a.until(t, "sent", i+1)
	}
	refusal[*ReplayError](t, b.refused)
	b.until(t, "refused_replay", 5)
	if c := b.Counts(); c["got"] != 5 || l.Struck()["double"] < 5 {
		t.Error(c, l.Struck())
	}
}

func TestAFrameThatStallsIsCutAndTheNextPasses(t *testing.T) {
	a, b, l := between(t, Options{Timeout: 50 * time.Millisecond})
	l.Set(faultproxy.Fault{Kind: faultproxy.Stall, Way: faultproxy.There, After: 2000}) // a hello passes
	a.Send("b", l.Address(), &node.Message{Consensus: make([]byte, 5000)})
	a.until(t, "lost", 1)
	b.until(t, "cut", 1)
	l.Set(faultproxy.Fault{Kind: faultproxy.Reset})
	a.Send("b", l.Address(), &node.Message{Consensus: []byte("after")})
	b.hears(t, "a", "after")
}

// Whatever a link does, nothing comes that wasn't sent, nothing is refused but replays,
// and once it has healed messages pass.
func TestFaultsByChance(t *testing.T) {
	a, b, l := between(t, Options{Timeout: 50 * time.Millisecond})
	r := rand.New(rand.NewPCG(32, 1))
	sent := map[string]bool{}
	say := func(text string) {
		sent[text] = true
		a.Send("b", l.Address(), &node.Message{Consensus: []byte(text)})
	}
	for i := range 30 {
		l.Set(faultproxy.Draw(r))
		before := a.Counts()["bytes_out"]
		for j := range 10 {
			say(fmt.Sprintf("%d.%d", i, j))
		}
		a.until(t, "bytes_out", before+1)
	}
	l.Set(faultproxy.Fault{})
	say("healed")
	for last := ""; last != "healed"; {
		select {
		case m := <-b.got:
			if last = string(m.Consensus); !sent[last] {
				t.Fatalf("%q was never sent", last)
			}
		case <-time.After(soon):
			t.Fatal(a.Counts(), b.Counts(), l.Struck())
		}
	}
	for name, n := range b.Counts() {
		if len(name) > 8 && name[:8] == "refused_" && name != "refused_replay" {
			t.Error(name, n)
		}
	}
	if len(l.Struck()) < 5 {
		t.Error("few faults struck:", l.Struck())
	}
}

func TestThroughAMeshByOneAddressEach(t *testing.T) {
	m := faultproxy.NewMesh("a", "b")
	o := func(name string) Options {
		l, err := net.Listen("tcp", m.Source(name)+":0")
		if err != nil {
			t.Skip("not all of 127/8 is local here:", err)
		}
		return Options{Listener: l, LocalIP: net.ParseIP(m.Source(name)), Timeout: 50 * time.Millisecond}
	}
	a, b := pair(t, o("a"), o("b"))
	t.Cleanup(m.Close)
	m.Target("a", a.address)
	m.Target("b", b.address)
	toA, err := m.Front("a")
	if err != nil {
		t.Fatal(err)
	}
	toB, err := m.Front("b")
	if err != nil {
		t.Fatal(err)
	}
	m.Set("a", "b", faultproxy.Fault{Kind: faultproxy.Cut, Silent: true})
	a.Send("b", toB, &node.Message{Consensus: []byte("held up")})
	b.Send("a", toA, &node.Message{Consensus: []byte("other way")})
	a.hears(t, "b", "other way")
	a.until(t, "failed", 1)
	m.Heal()
	a.Send("b", toB, &node.Message{Consensus: []byte("now")})
	for text := ""; text != "now"; {
		select {
		case m := <-b.got:
			text = string(m.Consensus)
		case <-time.After(soon):
			t.Fatal(a.Counts())
		}
	}
}
