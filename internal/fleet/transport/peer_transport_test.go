package transport

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"go.uber.org/goleak"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/node"
)

const testTimeout = 10 * time.Second

// testPeer is a PeerTransport that records the messages and rejections it gets.
type testPeer struct {
	*PeerTransport
	address    string
	received   chan *node.Message
	rejections chan fleet.ErrorWithRemedy
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// openTestPeer opens a peer on a free local port, unless the options name a listener.
func openTestPeer(t *testing.T, options Options) *testPeer {
	t.Helper()
	peer := &testPeer{received: make(chan *node.Message, 4096), rejections: make(chan fleet.ErrorWithRemedy, 64)}
	if options.Listener == nil {
		options.Listener = listen(t, "127.0.0.1:0")
	}
	if options.Fleet == "" {
		options.Fleet = "north"
	}
	if options.Keys == nil {
		options.Keys = Keys{keyA}
	}
	options.OnMessage = func(m *node.Message) { peer.received <- m }
	options.OnRejected = func(err fleet.ErrorWithRemedy, _ string) { peer.rejections <- err }
	peer.address = options.Listener.Addr().String()
	var err error
	if peer.PeerTransport, err = Open(options); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return peer
}

// newPeerPair opens the peers a and b. It checks for leaked goroutines after both are closed.
func newPeerPair(t *testing.T, a, b Options) (*testPeer, *testPeer) {
	t.Helper()
	running := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, running) })
	a.Self, b.Self = "a", "b"
	return openTestPeer(t, a), openTestPeer(t, b)
}

// send sends a message with the given text.
func (p *testPeer) send(to *testPeer, text string) {
	p.Send(to.options.Self, to.address, &node.Message{Consensus: []byte(text)})
}

// expectMessage checks the sender, recipient and text of the next message.
func (p *testPeer) expectMessage(t *testing.T, from, text string) {
	t.Helper()
	select {
	case m := <-p.received:
		if m.From != from || m.To != p.options.Self || string(m.Consensus) != text {
			t.Fatalf("%q from %s for %s, want %q from %s", m.Consensus, m.From, m.To, text, from)
		}
	case <-time.After(testTimeout):
		t.Fatalf("message %q never arrived: %v", text, p.Counts())
	}
}

// expectRejection returns the next rejection, which must have the type E.
func expectRejection[E fleet.ErrorWithRemedy](t *testing.T, rejections chan fleet.ErrorWithRemedy) E {
	t.Helper()
	select {
	case err := <-rejections:
		typed, ok := err.(E)
		if !ok {
			t.Fatalf("%T: %v", err, err)
		}
		return typed
	case <-time.After(testTimeout):
		t.Fatal("nothing was rejected")
	}
	panic("unreachable")
}

// waitForCount polls until a counter reaches n.
func (p *testPeer) waitForCount(t *testing.T, name string, n int) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); p.Counts()[name] < n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("counter %s stays under %d: %v", name, n, p.Counts())
		}
	}
}

// postFrame posts a frame, signed with keys, without a PeerTransport.
func postFrame(t *testing.T, peer *testPeer, keys Keys, f *frame) *http.Response {
	t.Helper()
	body := encode(f)
	return postRaw(t, peer, body, keys.sign(purposeFrame, body))
}

// postRaw posts a body with a MAC.
func postRaw(t *testing.T, peer *testPeer, body, sum []byte) *http.Response {
	t.Helper()
	r, _ := http.NewRequest(http.MethodPost, "http://"+peer.address+pathFrame, bytes.NewReader(body))
	r.Header.Set(headerMAC, hex.EncodeToString(sum))
	r.Close = true
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response
}

// encodeMessage returns an encoded message.
func encodeMessage(from, to, text string) []byte {
	return encode(&node.Message{From: from, To: to, Consensus: []byte(text)})
}

func TestMessagesArriveInOrderInBothDirections(t *testing.T) {
	a, b := newPeerPair(t, Options{}, Options{})
	for i := range 100 {
		a.send(b, fmt.Sprint(i))
	}
	for i := range 100 {
		b.expectMessage(t, "a", fmt.Sprint(i))
	}
	b.send(a, "back")
	a.expectMessage(t, "b", "back")
	a.waitForCount(t, "sent", 100)
	if counts := b.Counts(); counts["got"] != 100 || counts["bytes_in"] == 0 ||
		len(a.rejections)+len(b.rejections) > 0 {
		t.Error(counts, a.Counts())
	}
}

func TestFrameWithUnknownKeyIsRejected(t *testing.T) {
	a, b := newPeerPair(t, Options{Keys: Keys{keyB}}, Options{})
	a.send(b, "let me in")
	expectRejection[*UnauthenticatedError](t, b.rejections)
	if err := expectRejection[*PeerRejectedError](t, a.rejections); err.Status != http.StatusForbidden {
		t.Error(err)
	}
	a.send(b, "and again")
	b.waitForCount(t, "refused_stranger", 2)
	if len(b.rejections) > 0 || len(b.received) > 0 {
		t.Errorf("reported twice within a minute, or accepted: %v", b.Counts())
	}
}

func TestForgedResponseIsRejected(t *testing.T) {
	l := listen(t, "127.0.0.1:0")
	forger := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(headerIncarnation, "7")
		rw.Header().Set(headerMAC, hex.EncodeToString(Keys{keyB}.sign(purposeFrameResponse, nil)))
		rw.WriteHeader(http.StatusNoContent)
	})}
	go forger.Serve(l)
	a, _ := newPeerPair(t, Options{}, Options{})
	t.Cleanup(func() { forger.Close() })
	a.Send("c", l.Addr().String(), &node.Message{})
	expectRejection[*UnauthenticatedError](t, a.rejections)
	a.waitForCount(t, "lost", 1)
	if counts := a.Counts(); counts["sent"] != 0 {
		t.Error(counts)
	}
}

func TestReplayIsRejectedAndNewFrameAccepted(t *testing.T) {
	_, b := newPeerPair(t, Options{}, Options{})
	f := &frame{Fleet: "north", From: "c", To: "b",
		SenderIncarnation: 4, ReceiverIncarnation: b.Incarnation(), Seq: 1}
	f.Messages = append(f.Messages, encodeMessage("c", "b", "once"))
	if response := postFrame(t, b, Keys{keyA}, f); response.StatusCode != http.StatusNoContent {
		t.Fatal(response.Status)
	}
	b.expectMessage(t, "c", "once")
	if response := postFrame(t, b, Keys{keyA}, f); response.StatusCode != http.StatusForbidden {
		t.Error(response.Status)
	}
	expectRejection[*ReplayError](t, b.rejections)
	for seq, want := range map[uint64]int{3000: 204, 3000 - replayWindowSize: 403} {
		// Both numbers are at most 3000, so that 3000 arrives first in any order of the map.
		f.Seq = max(seq, 3000)
		postFrame(t, b, Keys{keyA}, f)
		f.Seq = seq - 1
		if response := postFrame(t, b, Keys{keyA}, f); seq != 3000 && response.StatusCode != want {
			t.Errorf("number %d after 3000: %s", f.Seq, response.Status)
		}
	}
	if counts := b.Counts(); counts["refused_replay"] < 3 {
		t.Error(counts)
	}
}

func TestMisaddressedAndMalformedFramesAreRejected(t *testing.T) {
	_, b := newPeerPair(t, Options{}, Options{})
	valid := frame{Fleet: "north", From: "c", To: "b",
		SenderIncarnation: 4, ReceiverIncarnation: b.Incarnation(), Seq: 1}
	f := valid
	f.Fleet = "south"
	postFrame(t, b, Keys{keyA}, &f)
	expectRejection[*OtherFleetError](t, b.rejections)
	f = valid
	f.To = "d"
	if response := postFrame(t, b, Keys{keyA}, &f); response.StatusCode != http.StatusMisdirectedRequest {
		t.Error(response.Status)
	}
	expectRejection[*WrongRecipientError](t, b.rejections)
	f = valid
	f.Messages = append(f.Messages, encodeMessage("c", "b", "fine"), encodeMessage("d", "b", "not its own"))
	if response := postFrame(t, b, Keys{keyA}, &f); response.StatusCode != http.StatusBadRequest {
		t.Error(response.Status)
	}
	expectRejection[*MalformedError](t, b.rejections)
	junk := []byte{0xff, 0, 1}
	postRaw(t, b, junk, Keys{keyA}.sign(purposeFrame, junk))
	expectRejection[*MalformedError](t, b.rejections)
	if len(b.received) > 0 {
		t.Error("a message of a rejected frame was delivered")
	}
}

func TestTooLargeFrameIsNeitherReadNorSent(t *testing.T) {
	a, b := newPeerPair(t, Options{}, Options{})
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /fleet HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n", MaxFrameBytes+1)
	head := make([]byte, len("HTTP/1.1 413"))
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(conn, head); err != nil || string(head) != "HTTP/1.1 413" {
		t.Errorf("%q %v", head, err)
	}
	expectRejection[*TooLargeError](t, b.rejections)
	a.Send("b", b.address, &node.Message{Consensus: make([]byte, MaxFrameBytes)})
	expectRejection[*TooLargeError](t, a.rejections)
}

func TestFramesForEarlierIncarnationAreRejectedAfterRestart(t *testing.T) {
	a, b := newPeerPair(t, Options{}, Options{})
	a.send(b, "before")
	b.expectMessage(t, "a", "before")
	a.waitForCount(t, "sent", 1) // without the response, a would send the message again after the restart
	old := &frame{Fleet: "north", From: "a", To: "b",
		SenderIncarnation: a.Incarnation(), ReceiverIncarnation: b.Incarnation(), Seq: 2}
	old.Messages = append(old.Messages, encodeMessage("a", "b", "recorded"))
	b.Close()
	b2 := openTestPeer(t, Options{Self: "b", Listener: listen(t, b.address)})
	response := postFrame(t, b2, Keys{keyA}, old)
	if response.StatusCode != http.StatusConflict ||
		response.Header.Get(headerIncarnation) != strconv.FormatUint(b2.Incarnation(), 16) {
		t.Error(response.Status, response.Header)
	}
	expectRejection[*StaleIncarnationError](t, b2.rejections)
	a.send(b2, "after")
	b2.expectMessage(t, "a", "after")
	if len(b2.received) > 0 {
		t.Error("the replayed frame was accepted")
	}
}

func TestKeyIsReplacedWithoutInterruption(t *testing.T) {
	a, b := newPeerPair(t, Options{}, Options{})
	for i, step := range []struct{ a, b Keys }{
		{Keys{keyA}, Keys{keyA, keyB}}, {Keys{keyA, keyB}, Keys{keyA, keyB}},
		{Keys{keyB, keyA}, Keys{keyA, keyB}}, {Keys{keyB, keyA}, Keys{keyB, keyA}}, {Keys{keyB}, Keys{keyB, keyA}},
	} {
		if a.SetKeys(step.a) != nil || b.SetKeys(step.b) != nil {
			t.Fatal(i)
		}
		a.send(b, fmt.Sprint("to b ", i))
		b.expectMessage(t, "a", fmt.Sprint("to b ", i))
		b.send(a, fmt.Sprint("to a ", i))
		a.expectMessage(t, "b", fmt.Sprint("to a ", i))
	}
	a.waitForCount(t, "sent", 5)
	if a.SetKeys(nil) == nil || a.SetKeys(Keys{keyA[:16]}) == nil {
		t.Error("SetKeys accepted no key or a short key")
	}
	b.SetKeys(Keys{keyA})
	a.send(b, "by the new key")
	expectRejection[*UnauthenticatedError](t, b.rejections)
}

func TestRestartedPeerGetsNewestQueuedMessages(t *testing.T) {
	a, b := newPeerPair(t, Options{}, Options{})
	b.Close()
	for i := range maxQueuedMessages + 50 {
		a.send(b, fmt.Sprint(i))
	}
	a.waitForCount(t, "failed", 3)
	a.waitForCount(t, "dropped", 50)
	b2 := openTestPeer(t, Options{Self: "b", Listener: listen(t, b.address)})
	for i := range maxQueuedMessages {
		b2.expectMessage(t, "a", fmt.Sprint(i+50))
	}
	a.waitForCount(t, "sent", maxQueuedMessages)
	if counts := a.Counts(); counts["dropped"] != 50 || counts["lost"] != 0 {
		t.Error(counts)
	}
}

func TestQueueIsBoundedInBytes(t *testing.T) {
	a, b := newPeerPair(t, Options{}, Options{})
	b.Close()
	for range 12 {
		a.Send("b", b.address, &node.Message{Consensus: make([]byte, 8<<20)})
	}
	a.waitForCount(t, "dropped", 4)
	a.mu.Lock()
	p := a.peers["b"]
	a.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queuedBytes > MaxFrameBytes {
		t.Error(p.queuedBytes, "bytes are queued")
	}
}

func TestTruncatedFrameDeliversNothing(t *testing.T) {
	a, b := newPeerPair(t, Options{}, Options{})
	f := &frame{Fleet: "north", From: "a", To: "b",
		SenderIncarnation: 3, ReceiverIncarnation: b.Incarnation(), Seq: 1}
	f.Messages = append(f.Messages, encodeMessage("a", "b", "whole"))
	body := encode(f)
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST /fleet HTTP/1.1\r\nHost: b\r\nFleet-Mac: %x\r\nContent-Length: %d\r\n\r\n%s",
		Keys{keyA}.sign(purposeFrame, body), len(body), body[:len(body)-1])
	conn.Close()
	b.waitForCount(t, "cut", 1)
	a.send(b, "after")
	b.expectMessage(t, "a", "after")
}

func TestPeerThatAcceptsButNeverResponds(t *testing.T) {
	l := listen(t, "127.0.0.1:0") // the system accepts connections, but nothing reads them
	a, b := newPeerPair(t, Options{Timeout: 30 * time.Millisecond}, Options{})
	t.Cleanup(func() { l.Close() })
	a.Send("c", l.Addr().String(), &node.Message{})
	a.send(b, "past it")
	b.expectMessage(t, "a", "past it")
	a.waitForCount(t, "lost", 1)
}

func TestIdlePeerHasNoGoroutine(t *testing.T) {
	a, b := newPeerPair(t, Options{IdleTimeout: 20 * time.Millisecond}, Options{})
	running := func() bool {
		a.mu.Lock()
		p := a.peers["b"]
		a.mu.Unlock()
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.running
	}
	for i := range 3 {
		a.send(b, fmt.Sprint(i))
		b.expectMessage(t, "a", fmt.Sprint(i))
		for deadline := time.Now().Add(testTimeout); running(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the goroutine of the idle peer never ends")
			}
		}
	}
	b.Close()
	a.send(b, "to nobody")
	a.waitForCount(t, "dropped", 1)
}
