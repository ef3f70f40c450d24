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

const soon = 10 * time.Second // what a test waits for at most

// end is one controller of a test.
type end struct {
	*PeerTransport
	address string
	got     chan *node.Message
	refused chan fleet.ErrorWithRemedy
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func open1(t *testing.T, o Options) *end {
	t.Helper()
	e := &end{got: make(chan *node.Message, 4096), refused: make(chan fleet.ErrorWithRemedy, 64)}
	if o.Listener == nil {
		o.Listener = listen(t, "127.0.0.1:0")
	}
	if o.Fleet == "" {
		o.Fleet = "north"
	}
	if o.Keys == nil {
		o.Keys = Keys{keyA}
	}
	o.OnMessage = func(m *node.Message) { e.got <- m }
	o.OnRejected = func(err fleet.ErrorWithRemedy, _ string) { e.refused <- err }
	e.address = o.Listener.Addr().String()
	var err error
	if e.PeerTransport, err = Open(o); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Close() })
	return e
}

// pair makes a and b; the leak check runs after both were closed.
func pair(t *testing.T, a, b Options) (*end, *end) {
	t.Helper()
	now := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, now) })
	a.Self, b.Self = "a", "b"
	return open1(t, a), open1(t, b)
}

func (e *end) say(to *end, text string) {
	e.Send(to.options.Self, to.address, &node.Message{Consensus: []byte(text)})
}

func (e *end) hears(t *testing.T, from, text string) {
	t.Helper()
	select {
	case m := <-e.got:
		if m.From != from || m.To != e.options.Self || string(m.Consensus) != text {
			t.Fatalf("%q from %s for %s, want %q from %s", m.Consensus, m.From, m.To, text, from)
		}
	case <-time.After(soon):
		t.Fatalf("%q never came: %v", text, e.Counts())
	}
}

func refusal[E fleet.ErrorWithRemedy](t *testing.T, refused chan fleet.ErrorWithRemedy) E {
	t.Helper()
	select {
	case err := <-refused:
		typed, ok := err.(E)
		if !ok {
			t.Fatalf("%T: %v", err, err)
		}
		return typed
	case <-time.After(soon):
		t.Fatal("nothing was refused")
	}
	panic("unreachable")
}

// until waits for a count, by looking: counts have no event.
func (e *end) until(t *testing.T, name string, n int) {
	t.Helper()
	for end := time.Now().Add(soon); e.Counts()[name] < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s stays under %d: %v", name, n, e.Counts())
		}
	}
}

// post sends a frame by hand.
func post(t *testing.T, e *end, keys Keys, f *frame) *http.Response {
	t.Helper()
	body := encode(f)
	return raw(t, e, body, keys.sign(forFrame, body))
}

func raw(t *testing.T, e *end, body, sum []byte) *http.Response {
	t.Helper()
	r, _ := http.NewRequest(http.MethodPost, "http://"+e.address+pathFleet, bytes.NewReader(body))
	r.Header.Set(headerMAC, hex.EncodeToString(sum))
	r.Close = true
	a, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, a.Body)
	a.Body.Close()
	return a
}

func message(from, to, text string) []byte {
	return encode(&node.Message{From: from, To: to, Consensus: []byte(text)})
}

func TestMessagesGoBothWaysInOrder(t *testing.T) {
	a, b := pair(t, Options{}, Options{})
	for i := range 100 {
		a.say(b, fmt.Sprint(i))
	}
	for i := range 100 {
		b.hears(t, "a", fmt.Sprint(i))
	}
	b.say(a, "back")
	a.hears(t, "b", "back")
	a.until(t, "sent", 100)
	if c := b.Counts(); c["got"] != 100 || c["bytes_in"] == 0 || len(a.refused)+len(b.refused) > 0 {
		t.Error(c, a.Counts())
	}
}

func TestAStrangerIsRefused(t *testing.T) {
	a, b := pair(t, Options{Keys: Keys{keyB}}, Options{})
	a.say(b, "let me in")
	refusal[*UnauthenticatedError](t, b.refused)
	if err := refusal[*PeerRejectedError](t, a.refused); err.Status != http.StatusForbidden {
		t.Error(err)
	}
	a.say(b, "and again")
	b.until(t, "refused_stranger", 2)
	if len(b.refused) > 0 || len(b.got) > 0 {
		t.Errorf("said twice within a minute, or taken: %v", b.Counts())
	}
}

func TestAForgedAnswerCountsForNothing(t *testing.T) {
	l := listen(t, "127.0.0.1:0")
	forger := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(headerBoot, "7")
		rw.Header().Set(headerMAC, hex.EncodeToString(Keys{keyB}.sign(forAnswer, nil)))
		rw.WriteHeader(http.StatusNoContent)
	})}
	go forger.Serve(l)
	a, _ := pair(t, Options{}, Options{})
	t.Cleanup(func() { forger.Close() })
	a.Send("c", l.Addr().String(), &node.Message{})
	refusal[*UnauthenticatedError](t, a.refused)
	a.until(t, "lost", 1)
	if c := a.Counts(); c["sent"] != 0 {
		t.Error(c)
	}
}

func TestAReplayIsRefusedAndToldFromWhatIsNew(t *testing.T) {
	_, b := pair(t, Options{}, Options{})
	f := &frame{Fleet: "north", From: "c", To: "b", SenderIncarnation: 4, ReceiverIncarnation: b.Incarnation(), Seq: 1}
	f.Messages = append(f.Messages, message("c", "b", "once"))
	if a := post(t, b, Keys{keyA}, f); a.StatusCode != http.StatusNoContent {
		t.Fatal(a.Status)
	}
	b.hears(t, "c", "once")
	if a := post(t, b, Keys{keyA}, f); a.StatusCode != http.StatusForbidden {
		t.Error(a.Status)
	}
	refusal[*ReplayError](t, b.refused)
	for seq, want := range map[uint64]int{3000: 204, 3000 - windowSize: 403} {
		f.Seq = max(seq, 3000) // the newest first, whatever the map's order
		post(t, b, Keys{keyA}, f)
		f.Seq = seq - 1
		if a := post(t, b, Keys{keyA}, f); seq != 3000 && a.StatusCode != want {
			t.Errorf("number %d after 3000: %s", f.Seq, a.Status)
		}
	}
	if c := b.Counts(); c["refused_replay"] < 3 {
		t.Error(c)
	}
}

func TestOthersFramesAreRefused(t *testing.T) {
	_, b := pair(t, Options{}, Options{})
	good := frame{Fleet: "north", From: "c", To: "b", SenderIncarnation: 4, ReceiverIncarnation: b.Incarnation(), Seq: 1}
	f := good
	f.Fleet = "south"
	post(t, b, Keys{keyA}, &f)
	refusal[*OtherFleetError](t, b.refused)
	f = good
	f.To = "d"
	if a := post(t, b, Keys{keyA}, &f); a.StatusCode != http.StatusMisdirectedRequest {
		t.Error(a.Status)
	}
	refusal[*WrongRecipientError](t, b.refused)
	f = good
	f.Messages = append(f.Messages, message("c", "b", "fine"), message("d", "b", "not its own"))
	if a := post(t, b, Keys{keyA}, &f); a.StatusCode != http.StatusBadRequest {
		t.Error(a.Status)
	}
	refusal[*MalformedError](t, b.refused)
	junk := []byte{0xff, 0, 1}
	raw(t, b, junk, Keys{keyA}.sign(forFrame, junk))
	refusal[*MalformedError](t, b.refused)
	if len(b.got) > 0 {
		t.Error("some of it was handed on")
	}
}

func TestTooLargeIsNotReadAndNotSent(t *testing.T) {
	a, b := pair(t, Options{}, Options{})
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /fleet HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n", MaxFrameBytes+1)
	head := make([]byte, len("HTTP/1.1 413"))
	c.SetReadDeadline(time.Now().Add(soon))
	if _, err := io.ReadFull(c, head); err != nil || string(head) != "HTTP/1.1 413" {
		t.Errorf("%q %v", head, err)
	}
	refusal[*TooLargeError](t, b.refused)
	a.Send("b", b.address, &node.Message{Consensus: make([]byte, MaxFrameBytes)})
	refusal[*TooLargeError](t, a.refused)
}

func TestAfterARestartOldFramesAreRefusedAndNewOnesCome(t *testing.T) {
	a, b := pair(t, Options{}, Options{})
	a.say(b, "before")
	b.hears(t, "a", "before")
	a.until(t, "sent", 1) // an answer that the restart cuts off would have it sent twice
	old := &frame{Fleet: "north", From: "a", To: "b", SenderIncarnation: a.Incarnation(), ReceiverIncarnation: b.Incarnation(), Seq: 2}
	old.Messages = append(old.Messages, message("a", "b", "recorded"))
	b.Close()
	b2 := open1(t, Options{Self: "b", Listener: listen(t, b.address)})
	answer := post(t, b2, Keys{keyA}, old)
	if answer.StatusCode != http.StatusConflict || answer.Header.Get(headerBoot) != strconv.FormatUint(b2.Incarnation(), 16) {
		t.Error(answer.Status, answer.Header)
	}
	refusal[*StaleIncarnationError](t, b2.refused)
	a.say(b2, "after")
	b2.hears(t, "a", "after")
	if len(b2.got) > 0 {
		t.Error("the recorded frame was taken")
	}
}

func TestAKeyIsReplacedWithoutABreak(t *testing.T) {
	a, b := pair(t, Options{}, Options{})
	for i, step := range []struct{ a, b Keys }{
		{Keys{keyA}, Keys{keyA, keyB}}, {Keys{keyA, keyB}, Keys{keyA, keyB}},
		{Keys{keyB, keyA}, Keys{keyA, keyB}}, {Keys{keyB, keyA}, Keys{keyB, keyA}}, {Keys{keyB}, Keys{keyB, keyA}},
	} {
		if a.SetKeys(step.a) != nil || b.SetKeys(step.b) != nil {
			t.Fatal(i)
		}
		a.say(b, fmt.Sprint("to b ", i))
		b.hears(t, "a", fmt.Sprint("to b ", i))
		b.say(a, fmt.Sprint("to a ", i))
		a.hears(t, "b", fmt.Sprint("to a ", i))
	}
	a.until(t, "sent", 5)
	if a.SetKeys(nil) == nil || a.SetKeys(Keys{keyA[:16]}) == nil {
		t.Error("no key or a short one was set")
	}
	b.SetKeys(Keys{keyA})
	a.say(b, "by the new key")
	refusal[*UnauthenticatedError](t, b.refused)
}

func TestAPeerThatIsDownGetsTheNewestWhenItIsUp(t *testing.T) {
	a, b := pair(t, Options{}, Options{})
	b.Close()
	for i := range maxQueuedMessages + 50 {
		a.say(b, fmt.Sprint(i))
	}
	a.until(t, "failed", 3)
	a.until(t, "dropped", 50)
	b2 := open1(t, Options{Self: "b", Listener: listen(t, b.address)})
	for i := range maxQueuedMessages {
		b2.hears(t, "a", fmt.Sprint(i+50))
	}
	a.until(t, "sent", maxQueuedMessages)
	if c := a.Counts(); c["dropped"] != 50 || c["lost"] != 0 {
		t.Error(c)
	}
}

func TestARingIsBoundInBytes(t *testing.T) {
	a, b := pair(t, Options{}, Options{})
	b.Close()
	for range 12 {
		a.Send("b", b.address, &node.Message{Consensus: make([]byte, 8<<20)})
	}
	a.until(t, "dropped", 4)
	a.mu.Lock()
	p := a.peers["b"]
	a.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queuedBytes > MaxFrameBytes {
		t.Error(p.queuedBytes, "bytes wait")
	}
}

func TestAFrameCutInTheMiddleHandsOnNothing(t *testing.T) {
	a, b := pair(t, Options{}, Options{})
	f := &frame{Fleet: "north", From: "a", To: "b", SenderIncarnation: 3, ReceiverIncarnation: b.Incarnation(), Seq: 1}
	f.Messages = append(f.Messages, message("a", "b", "whole"))
	body := encode(f)
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /fleet HTTP/1.1\r\nHost: b\r\nFleet-Mac: %x\r\nContent-Length: %d\r\n\r\n%s",
		Keys{keyA}.sign(forFrame, body), len(body), body[:len(body)-1])
	c.Close()
	b.until(t, "cut", 1)
	a.say(b, "after")
	b.hears(t, "a", "after")
}

func TestAPeerThatTakesAndDoesNotAnswer(t *testing.T) {
	l := listen(t, "127.0.0.1:0") // connections are taken by the system, nobody reads them
	a, b := pair(t, Options{Timeout: 30 * time.Millisecond}, Options{})
	t.Cleanup(func() { l.Close() })
	a.Send("c", l.Addr().String(), &node.Message{})
	a.say(b, "past it")
	b.hears(t, "a", "past it")
	a.until(t, "lost", 1)
}

func TestIdlePeersCostNoGoroutine(t *testing.T) {
	a, b := pair(t, Options{IdleTimeout: 20 * time.Millisecond}, Options{})
	running := func() bool {
		a.mu.Lock()
		p := a.peers["b"]
		a.mu.Unlock()
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.running
	}
	for i := range 3 {
		a.say(b, fmt.Sprint(i))
		b.hears(t, "a", fmt.Sprint(i))
		for end := time.Now().Add(soon); running(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("its goroutine never ends")
			}
		}
	}
	b.Close()
	a.say(b, "to nobody")
	a.until(t, "dropped", 1)
}
