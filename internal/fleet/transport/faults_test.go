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

func newFaultyPair(t *testing.T, o Options) (a, b *testPeer, link *faultproxy.Link) {
	t.Helper()
	a, b = newPeerPair(t, o, Options{Timeout: o.Timeout})
	link, err := faultproxy.New(b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { link.Close() })
	return a, b, link
}

func TestADuplicateConnectionIsAReplay(t *testing.T) {
	a, b, l := newFaultyPair(t, Options{})
	l.Set(faultproxy.Fault{Kind: faultproxy.Double})
	for i := range 5 {
		a.Send("b", l.Address(), &node.Message{Consensus: []byte(fmt.Sprint(i))})
		b.expectMessage(t, "a", fmt.Sprint(i))
		a.waitForCount(t, "sent", i+1)
	}
	expectRejection[*ReplayError](t, b.rejections)
	b.waitForCount(t, "refused_replay", 5)
	if c := b.Counts(); c["got"] != 5 || l.Struck()["double"] < 5 {
		t.Error(c, l.Struck())
	}
}

func TestAFrameThatStallsIsCutAndTheNextPasses(t *testing.T) {
	a, b, l := newFaultyPair(t, Options{Timeout: 50 * time.Millisecond})
	l.Set(faultproxy.Fault{Kind: faultproxy.Stall, Way: faultproxy.There, After: 2000}) // a hello passes
	a.Send("b", l.Address(), &node.Message{Consensus: make([]byte, 5000)})
	a.waitForCount(t, "lost", 1)
	b.waitForCount(t, "cut", 1)
	l.Set(faultproxy.Fault{Kind: faultproxy.Reset})
	a.Send("b", l.Address(), &node.Message{Consensus: []byte("after")})
	b.expectMessage(t, "a", "after")
}

// Whatever a link does, nothing comes that wasn't sent, nothing is refused but replays,
// and once it has healed messages pass.
func TestFaultsByChance(t *testing.T) {
	a, b, l := newFaultyPair(t, Options{Timeout: 50 * time.Millisecond})
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
		a.waitForCount(t, "bytes_out", before+1)
	}
	l.Set(faultproxy.Fault{})
	say("healed")
	for last := ""; last != "healed"; {
		select {
		case m := <-b.received:
			if last = string(m.Consensus); !sent[last] {
				t.Fatalf("%q was never sent", last)
			}
		case <-time.After(testTimeout):
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
	a, b := newPeerPair(t, o("a"), o("b"))
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
	a.expectMessage(t, "b", "other way")
	a.waitForCount(t, "failed", 1)
	m.Heal()
	a.Send("b", toB, &node.Message{Consensus: []byte("now")})
	for text := ""; text != "now"; {
		select {
		case m := <-b.received:
			text = string(m.Consensus)
		case <-time.After(testTimeout):
			t.Fatal(a.Counts())
		}
	}
}
