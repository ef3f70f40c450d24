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

// newFaultyPair returns a pair of peers, and a link to b that injects faults.
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

func TestDuplicatedConnectionIsRejectedAsReplay(t *testing.T) {
	a, b, link := newFaultyPair(t, Options{})
	link.SetFault(faultproxy.Fault{Kind: faultproxy.Duplicate})
	for i := range 5 {
		a.Send("b", link.Address(), &node.Message{Consensus: []byte(fmt.Sprint(i))})
		b.expectMessage(t, "a", fmt.Sprint(i))
		a.waitForCount(t, "sent", i+1)
	}
	expectRejection[*ReplayError](t, b.rejections)
	b.waitForCount(t, "refused_replay", 5)
	if counts := b.Counts(); counts["got"] != 5 || link.HitCounts()["double"] < 5 {
		t.Error(counts, link.HitCounts())
	}
}

func TestStalledFrameTimesOutAndNextOneArrives(t *testing.T) {
	a, b, link := newFaultyPair(t, Options{Timeout: 50 * time.Millisecond})
	// lets a hello pass
	link.SetFault(faultproxy.Fault{Kind: faultproxy.Stall, Direction: faultproxy.ToTarget, AfterBytes: 2000})
	a.Send("b", link.Address(), &node.Message{Consensus: make([]byte, 5000)})
	a.waitForCount(t, "lost", 1)
	b.waitForCount(t, "cut", 1)
	link.SetFault(faultproxy.Fault{Kind: faultproxy.Reset})
	a.Send("b", link.Address(), &node.Message{Consensus: []byte("after")})
	b.expectMessage(t, "a", "after")
}

// Under random link faults, no message arrives that wasn't sent, and only replays are rejected.
// Messages arrive again once the link works.
func TestRandomLinkFaults(t *testing.T) {
	a, b, link := newFaultyPair(t, Options{Timeout: 50 * time.Millisecond})
	random := rand.New(rand.NewPCG(32, 1))
	sent := map[string]bool{}
	send := func(text string) {
		sent[text] = true
		a.Send("b", link.Address(), &node.Message{Consensus: []byte(text)})
	}
	for i := range 30 {
		link.SetFault(faultproxy.RandomFault(random))
		before := a.Counts()["bytes_out"]
		for j := range 10 {
			send(fmt.Sprintf("%d.%d", i, j))
		}
		a.waitForCount(t, "bytes_out", before+1)
	}
	link.SetFault(faultproxy.Fault{})
	send("healed")
	for last := ""; last != "healed"; {
		select {
		case m := <-b.received:
			if last = string(m.Consensus); !sent[last] {
				t.Fatalf("received message %q, which was never sent", last)
			}
		case <-time.After(testTimeout):
			t.Fatal(a.Counts(), b.Counts(), link.HitCounts())
		}
	}
	for name, n := range b.Counts() {
		if len(name) > 8 && name[:8] == "refused_" && name != "refused_replay" {
			t.Error(name, n)
		}
	}
	if len(link.HitCounts()) < 5 {
		t.Error("too few kinds of faults were injected:", link.HitCounts())
	}
}

func TestMeshCutsOneDirectionBySourceAddress(t *testing.T) {
	mesh := faultproxy.NewMesh("a", "b")
	options := func(name string) Options {
		listener, err := net.Listen("tcp", mesh.SourceAddress(name)+":0")
		if err != nil {
			t.Skip("this system can't listen on all addresses in 127/8:", err)
		}
		return Options{Listener: listener, LocalIP: net.ParseIP(mesh.SourceAddress(name)),
			Timeout: 50 * time.Millisecond}
	}
	a, b := newPeerPair(t, options("a"), options("b"))
	t.Cleanup(mesh.Close)
	mesh.SetTarget("a", a.address)
	mesh.SetTarget("b", b.address)
	toA, err := mesh.SharedAddress("a")
	if err != nil {
		t.Fatal(err)
	}
	toB, err := mesh.SharedAddress("b")
	if err != nil {
		t.Fatal(err)
	}
	mesh.SetFault("a", "b", faultproxy.Fault{Kind: faultproxy.Cut, Silent: true})
	a.Send("b", toB, &node.Message{Consensus: []byte("held up")})
	b.Send("a", toA, &node.Message{Consensus: []byte("other way")})
	a.expectMessage(t, "b", "other way")
	a.waitForCount(t, "failed", 1)
	mesh.Heal()
	a.Send("b", toB, &node.Message{Consensus: []byte("now")})
	for text := ""; text != "now"; {
		select {
		case mesh := <-b.received:
			text = string(mesh.Consensus)
		case <-time.After(testTimeout):
			t.Fatal(a.Counts())
		}
	}
}
