package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func near(t *testing.T, what string, got, want, within float64) {
	t.Helper()
	if math.Abs(got-want) > within {
		t.Errorf("%s: %v, not %v", what, got, want)
	}
}

// ends plays a model on and tells when each query ended well.
func ends(m *Model, until time.Duration) map[string]float64 {
	at := map[string]float64{}
	m.OnEnd = func(id string, as Outcome, now time.Duration) {
		if as == Succeeded {
			at[id] = now.Seconds()
		}
	}
	for now := m.now; now < until; now += 100 * time.Millisecond {
		for id := range m.sessions {
			m.Poll(now, id)
		}
	}
	return at
}

func figures() Config {
	f := DefaultConfig()
	f.Cores = 2
	return f
}

func work(threads float64, cpu time.Duration) Work { return Work{Threads: threads, CPU: cpu, Rows: 1} }

func TestSessionsShareCoresByPriority(t *testing.T) {
	m := NewModel(figures(), 0, false)
	for i, rank := range []int{0, 1, 2, 3} { // 1 : 4 : 8 : 16 of two cores, nobody over one thread's worth
		m.Submit(0, fmt.Sprint(rank), work(2, 10*time.Second), rank, 0, time.Hour)
		if i == 3 {
			for k, want := range []float64{2. / 29, 8. / 29, 16. / 29, 32. / 29} {
				got := m.sessions[fmt.Sprint(k)].rate * 2 // of two threads
				near(t, fmt.Sprint("cores of rank ", k), got, want, 1e-9)
			}
		}
	}
	m = NewModel(figures(), 0, false)
	m.Submit(0, "one", work(1, time.Second), 1, 0, time.Hour)
	m.Submit(0, "two", work(1, time.Second), 1, 0, time.Hour)
	m.Submit(0, "low", work(1, time.Second), 0, 0, time.Hour)
	at := ends(m, 4*time.Second)
	near(t, "one ends", at["one"], 1.125, 0.01) // 8/9 of a core each, the low one 2/9
	near(t, "low ends", at["low"], 1.875, 0.01)
	m.Submit(10*time.Second, "a", work(1, 2*time.Second), 1, 0, time.Hour)
	m.SetPriority(10*time.Second, "a", 3)
	if m.sessions["a"].rank != 3 {
		t.Error("its priority stays")
	}
}

func TestLoadsLockTheirTables(t *testing.T) {
	m := NewModel(figures(), 0, false)
	load := func(id string, tables int64) {
		m.Submit(m.now, id, Work{Threads: 1, CPU: time.Second, TableGroup: tables, Load: true}, 1, 0, time.Hour)
	}
	load("l1", 7)
	load("l2", 7)
	load("l3", 8)
	m.Submit(0, "reader", Work{Threads: 1, CPU: 100 * time.Millisecond, TableGroup: 7, WaitsForLoad: true}, 1, 0, time.Hour)
	m.Submit(0, "other", Work{Threads: 1, CPU: 100 * time.Millisecond, TableGroup: 7}, 1, 0, time.Hour)
	at := ends(m, 6*time.Second)
	if at["l2"] < at["l1"]+0.99 || at["reader"] < at["l2"] || at["other"] > 0.5 || at["l3"] > 1.2 {
		t.Fatal(at)
	}
	_, n := m.Poll(m.now, "none")
	if n.Kind != "" {
		t.Fatal("a note on nothing")
	}
	load("l4", 9)
	load("l5", 9)
	m.Advance(m.now + 500*time.Millisecond)
	m.noteNow(t, "l5", "stall")
	m.noteNow(t, "l4", "advance")
}

func (m *Model) noteNow(t *testing.T, id, want string) {
	t.Helper()
	m.sessions[id].noteAt = m.now - m.NoteInterval
	if _, n := m.Poll(m.now, id); n.Kind != want {
		t.Errorf("%s: a note of %q, not %q", id, n.Kind, want)
	}
}

func TestColdCrowdedBadAndForgotten(t *testing.T) {
	m := NewModel(figures(), 0, true)
	m.Submit(0, "cold", work(2, 2*time.Second), 1, 0, time.Hour)
	near(t, "a cold one ends", ends(m, 10*time.Second)["cold"], 2.7, 0.2) // from a third of its cores, rising
	m = NewModel(figures(), 0, false)
	m.Submit(0, "big", Work{Threads: 2, CPU: 2 * time.Second, MemoryMB: 1.5 * m.MemoryMB}, 1, 0, time.Hour)
	near(t, "swapping", ends(m, 10*time.Second)["big"], 3, 0.01) // 1 + 4 x 0.5 times slower
	m = NewModel(figures(), 0, false)
	m.Submit(0, "bad", Work{Threads: 1, CPU: 100 * time.Millisecond, PlanFactor: 20}, 1, 0, time.Hour)
	near(t, "a bad plan", ends(m, 5*time.Second)["bad"], 2, 0.01)
	m.Submit(m.now, "alone", work(1, time.Hour), 1, 0, time.Hour)
	m.Advance(m.now + m.AbandonAfter - time.Millisecond)
	if o, _ := m.Poll(m.now, "alone"); o != Running {
		t.Fatal("forgotten too soon")
	}
	m.Advance(m.now + m.AbandonAfter + time.Millisecond)
	if len(m.active) != 0 {
		t.Fatal("it runs on for nobody")
	}
	m.Submit(m.now, "late", work(1, time.Hour), 1, 0, time.Second)
	m.Advance(m.now + 1100*time.Millisecond)
	if o, _ := m.Poll(m.now, "late"); o != Failed {
		t.Fatal("it outlives its client")
	}
	for i := range m.MaxQueries {
		m.Submit(m.now, fmt.Sprint("n", i), work(1, time.Hour), 1, 0, time.Hour)
	}
	if m.Submit(m.now, "more", work(1, time.Hour), 1, 0, time.Hour) {
		t.Fatal("it has room without end")
	}
}

func TestPauseAndRestart(t *testing.T) {
	m := NewModel(figures(), 0, false)
	m.Submit(0, "a", work(1, time.Second), 1, 0, time.Hour)
	m.Advance(500 * time.Millisecond)
	m.Pause(500 * time.Millisecond)
	m.Resume(5 * time.Second)
	near(t, "after the pause", ends(m, 8*time.Second)["a"], 5.5, 0.01)
	m.Submit(8*time.Second, "b", work(1, time.Second), 1, 0, time.Hour)
	m.Restart(8100 * time.Millisecond)
	if o, _ := m.Poll(8100*time.Millisecond, "b"); o != Failed || m.able() > m.ColdCapacity+0.01 {
		t.Fatal("it remembers, or is warm")
	}
}

// wire is a connection with what came out of it.
func wire(s *Server) (*Conn, *bytes.Buffer) {
	var out bytes.Buffer
	c := &Conn{Write: func(p []byte) { out.Write(p) }}
	s.Accept(c)
	return c, &out
}

func call(method, path string, fields map[string]string, body []byte) []byte {
	text := method + " " + path + " HTTP/1.1\r\nHost: e\r\n"
	for n, v := range fields {
		text += n + ": " + v + "\r\n"
	}
	return append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", text, len(body)), body...)
}

func TestTheProtocolOverBytes(t *testing.T) {
	s := NewServer(NewModel(figures(), 0, false))
	c, out := wire(s)
	w := Work{Threads: 1, CPU: 300 * time.Millisecond, MemoryMB: 64, TableGroup: 3, Rows: 1000, PlanFactor: 1}
	if got := ParseStatement("", Statement(w)); got != w {
		t.Fatalf("a statement tells %+v of %+v", got, w)
	}
	post := call("POST", "/o", map[string]string{"X-Req": "aa", "X-Class": "g", "X-Wait-Ms": "5000", "Pool-Rank": "2"}, Statement(w))
	for _, b := range post { // byte by byte
		s.Receive(0, c, []byte{b})
	}
	if out.Len() > 0 {
		t.Fatal("answered at once: ", out.String())
	}
	at, ok := s.NextDue()
	if !ok || at > 250*time.Millisecond {
		t.Fatal("news are due after ", at)
	}
	s.ProcessDue(250 * time.Millisecond)
	if !strings.HasPrefix(out.String(), "HTTP/1.1 202") {
		t.Fatal(out.String())
	}
	out.Reset()
	s.Receive(260*time.Millisecond, c, call("GET", "/o/aa/0", nil, nil))
	s.ProcessDue(time.Second)
	first := out.String()
	if !strings.HasPrefix(first, "HTTP/1.1 200") || !strings.Contains(first, "Elapsed-Work: 300.000") || !strings.Contains(first, "High-Water: 64") {
		t.Fatal(first)
	}
	var pages int
	fmt.Sscanf(first[strings.Index(first, "Chunks:"):], "Chunks: %d", &pages)
	rows := first[strings.Index(first, "\r\n\r\n")+4:]
	for p := 1; p < pages; p++ {
		out.Reset()
		s.Receive(time.Second, c, call("GET", fmt.Sprintf("/o/aa/%d", p), nil, nil))
		if _, body, _ := strings.Cut(out.String(), "\r\n\r\n"); len(body) <= s.PageBytes {
			rows += body
		}
	}
	want := ""
	for i := range 1000 {
		want += Row("aa", i)
	}
	if pages < 2 || rows != want {
		t.Fatalf("%d pages, %d bytes of %d", pages, len(rows), len(want))
	}
	for text, c2 := range map[string][]byte{
		"HTTP/1.1 204": call("DELETE", "/o/aa", nil, nil), "HTTP/1.1 500": call("GET", "/o/zz/1", nil, nil),
		"X-Load: outstanding:0;": call("GET", "/stats", nil, nil), "504": call("POST", "/o", nil, nil),
	} {
		out.Reset()
		if s.Receive(time.Second, c, c2); !strings.Contains(out.String(), text) {
			t.Errorf("%q: %q", c2, out.String())
		}
	}
	s.ExternalLoad = func() (int, float64) { return 5, 0.25 }
	out.Reset()
	if s.Receive(time.Second, c, call("GET", "/stats", nil, nil)); !strings.Contains(out.String(), "X-Load: outstanding:5;utilization:0.2500;") {
		t.Fatalf("%q", out.String())
	}
	s.SetUnreachable(time.Second, true)
	out.Reset()
	if s.Receive(time.Second, c, call("GET", "/ping", nil, nil)); out.Len() > 0 {
		t.Fatal("it speaks though it is cut off")
	}
	if _, due := s.NextDue(); due {
		t.Fatal("it has something due though it is cut off")
	}
	closed := false
	c.Close = func() { closed = true }
	if s.Reset(2*time.Second, true); !closed || len(s.conns) > 0 {
		t.Fatal("its connections outlive it")
	}
}

func TestTrafficByKind(t *testing.T) {
	s := NewServer(NewModel(figures(), 0, false))
	c, out := wire(s)
	length := 0
	ask := func(now time.Duration, call []byte) int {
		before := out.Len()
		length = len(call)
		s.Receive(now, c, call)
		return out.Len() - before
	}
	answer := ask(0, call("GET", "/stats", nil, nil))
	if got := s.Traffic(); got.Requests[Probes] != 1 || got.BytesIn[Probes] != length || got.BytesOut[Probes] != answer || got.Open != 1 || got.Opened != 1 {
		t.Fatalf("%+v after a probe of %d and %d bytes", got, length, answer)
	}
	w := Work{Threads: 1, CPU: 300 * time.Millisecond, Rows: 2}
	ask(0, call("POST", "/o", map[string]string{"X-Req": "aa", "X-Wait-Ms": "5000"}, Statement(w)))
	posted, before := length, out.Len()
	s.ProcessDue(250 * time.Millisecond) // it runs on: news
	told := out.Len() - before
	ask(260*time.Millisecond, call("GET", "/o/aa/0", nil, nil))
	asked, before := length, out.Len()
	s.ProcessDue(time.Second) // the result, as an answer to a call for news
	result := out.Len() - before
	done := ask(time.Second, call("DELETE", "/o/aa", nil, nil))
	ended := length
	got := s.Traffic()
	if got.BytesIn[Queries] != posted || got.BytesOut[Polls] != told || got.BytesIn[Polls] != asked || got.BytesOut[Queries] != result ||
		got.BytesIn[ControlCalls] != ended || got.BytesOut[ControlCalls] != done || got.Requests[Queries] != 1 || got.Requests[Polls] != 1 || got.Requests[ControlCalls] != 1 {
		t.Errorf("%+v: not queries %d %d, news %d %d, orders %d %d", got, posted, result, asked, told, ended, done)
	}
	s.Reset(2*time.Second, false)
	s.Accept(&Conn{})
	if sum := s.Traffic().Add(got); sum.Opened != 3 || sum.Open != 2 || sum.BytesIn[Polls] != 2*asked || sum.BytesOut[ControlCalls] != 2*done || sum.Requests[Probes] != 2 {
		t.Errorf("%+v", sum)
	}
}

func TestOnSockets(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	l, err := Listen(context.Background(), "127.0.0.1:0", figures(), false)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	w := Work{Threads: 1, CPU: 20 * time.Millisecond, Rows: 2}
	req, _ := http.NewRequest("POST", "http://"+l.Addr().String()+"/o", bytes.NewReader(Statement(w)))
	req.Header.Set("X-Req", "bb")
	req.Header.Set("X-Wait-Ms", "5000")
	r, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(r.Body)
	r.Body.Close()
	if r.StatusCode != 200 || string(body) != Row("bb", 0)+Row("bb", 1) {
		t.Fatalf("%d %q", r.StatusCode, body)
	}
	l.WithServer(func(_ time.Duration, s *Server) {
		if s.RequestCounts["POST"] != 1 {
			t.Error(s.RequestCounts)
		}
	})
}
