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

func expectNear(t *testing.T, name string, got, want, within float64) {
	t.Helper()
	if math.Abs(got-want) > within {
		t.Errorf("%s: got %v, want %v", name, got, want)
	}
}

// endTimes advances a model up to a time, polling every query, and returns when each query succeeded,
// in seconds.
func endTimes(m *Model, until time.Duration) map[string]float64 {
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

func testConfig() Config {
	f := DefaultConfig()
	f.Cores = 2
	return f
}

func newWork(threads float64, cpu time.Duration) Work {
	return Work{Threads: threads, CPU: cpu, Rows: 1}
}

func TestSessionsShareCoresByPriority(t *testing.T) {
	m := NewModel(testConfig(), 0, false)
	for i, rank := range []int{0, 1, 2, 3} { // weights 1 : 4 : 8 : 16 on two cores; no query exceeds its threads
		m.Submit(0, fmt.Sprint(rank), newWork(2, 10*time.Second), rank, 0, time.Hour)
		if i == 3 {
			for k, want := range []float64{2. / 29, 8. / 29, 16. / 29, 32. / 29} {
				got := m.sessions[fmt.Sprint(k)].progressRate * 2 // two threads each
				expectNear(t, fmt.Sprint("cores of rank ", k), got, want, 1e-9)
			}
		}
	}
	m = NewModel(testConfig(), 0, false)
	m.Submit(0, "one", newWork(1, time.Second), 1, 0, time.Hour)
	m.Submit(0, "two", newWork(1, time.Second), 1, 0, time.Hour)
	m.Submit(0, "low", newWork(1, time.Second), 0, 0, time.Hour)
	at := endTimes(m, 4*time.Second)
	expectNear(t, "one ends", at["one"], 1.125, 0.01) // 8/9 of a core for each of these, 2/9 for low
	expectNear(t, "low ends", at["low"], 1.875, 0.01)
	m.Submit(10*time.Second, "a", newWork(1, 2*time.Second), 1, 0, time.Hour)
	m.SetPriority(10*time.Second, "a", 3)
	if m.sessions["a"].priority != 3 {
		t.Error("SetPriority had no effect")
	}
}

func TestLoadsLockTheirTables(t *testing.T) {
	m := NewModel(testConfig(), 0, false)
	load := func(id string, tables int64) {
		m.Submit(m.now, id, Work{Threads: 1, CPU: time.Second, TableGroup: tables, Load: true}, 1, 0, time.Hour)
	}
	load("l1", 7)
	load("l2", 7)
	load("l3", 8)
	reader := Work{Threads: 1, CPU: 100 * time.Millisecond, TableGroup: 7, WaitsForLoad: true}
	m.Submit(0, "reader", reader, 1, 0, time.Hour)
	m.Submit(0, "other", Work{Threads: 1, CPU: 100 * time.Millisecond, TableGroup: 7}, 1, 0, time.Hour)
	at := endTimes(m, 6*time.Second)
	if at["l2"] < at["l1"]+0.99 || at["reader"] < at["l2"] || at["other"] > 0.5 || at["l3"] > 1.2 {
		t.Fatal(at)
	}
	_, n := m.Poll(m.now, "none")
	if n.Kind != "" {
		t.Fatal("an unknown query has a progress note")
	}
	load("l4", 9)
	load("l5", 9)
	m.Advance(m.now + 500*time.Millisecond)
	m.noteNow(t, "l5", "stall")
	m.noteNow(t, "l4", "advance")
}

func (m *Model) noteNow(t *testing.T, id, want string) {
	t.Helper()
	m.sessions[id].lastNoteAt = m.now - m.NoteInterval
	if _, n := m.Poll(m.now, id); n.Kind != want {
		t.Errorf("%s: progress note %q, want %q", id, n.Kind, want)
	}
}

func TestColdStartSwappingBadPlanAndAbandonment(t *testing.T) {
	m := NewModel(testConfig(), 0, true)
	m.Submit(0, "cold", newWork(2, 2*time.Second), 1, 0, time.Hour)
	// The engine starts with a third of its cores.
	expectNear(t, "end on a cold engine", endTimes(m, 10*time.Second)["cold"], 2.7, 0.2)
	m = NewModel(testConfig(), 0, false)
	m.Submit(0, "big", Work{Threads: 2, CPU: 2 * time.Second, MemoryMB: 1.5 * m.MemoryMB}, 1, 0, time.Hour)
	// The slowdown is 1 + 4 x 0.5.
	expectNear(t, "end while swapping", endTimes(m, 10*time.Second)["big"], 3, 0.01)
	m = NewModel(testConfig(), 0, false)
	m.Submit(0, "bad", Work{Threads: 1, CPU: 100 * time.Millisecond, PlanFactor: 20}, 1, 0, time.Hour)
	expectNear(t, "end with a bad plan", endTimes(m, 5*time.Second)["bad"], 2, 0.01)
	m.Submit(m.now, "alone", newWork(1, time.Hour), 1, 0, time.Hour)
	m.Advance(m.now + m.AbandonAfter - time.Millisecond)
	if o, _ := m.Poll(m.now, "alone"); o != Running {
		t.Fatal("the query was abandoned before AbandonAfter")
	}
	m.Advance(m.now + m.AbandonAfter + time.Millisecond)
	if len(m.active) != 0 {
		t.Fatal("the query still runs after AbandonAfter without a poll")
	}
	m.Submit(m.now, "late", newWork(1, time.Hour), 1, 0, time.Second)
	m.Advance(m.now + 1100*time.Millisecond)
	if o, _ := m.Poll(m.now, "late"); o != Failed {
		t.Fatal("the query still runs after its deadline")
	}
	for i := range m.MaxQueries {
		m.Submit(m.now, fmt.Sprint("n", i), newWork(1, time.Hour), 1, 0, time.Hour)
	}
	if m.Submit(m.now, "more", newWork(1, time.Hour), 1, 0, time.Hour) {
		t.Fatal("more than MaxQueries were accepted")
	}
}

func TestPauseAndRestart(t *testing.T) {
	m := NewModel(testConfig(), 0, false)
	m.Submit(0, "a", newWork(1, time.Second), 1, 0, time.Hour)
	m.Advance(500 * time.Millisecond)
	m.Pause(500 * time.Millisecond)
	m.Resume(5 * time.Second)
	expectNear(t, "end after the pause", endTimes(m, 8*time.Second)["a"], 5.5, 0.01)
	m.Submit(8*time.Second, "b", newWork(1, time.Second), 1, 0, time.Hour)
	m.Restart(8100 * time.Millisecond)
	if o, _ := m.Poll(8100*time.Millisecond, "b"); o != Failed || m.warmFraction() > m.ColdCapacity+0.01 {
		t.Fatal("after a restart the query is known or the engine is warm")
	}
}

// newConnection opens a connection and returns it with a buffer that collects the responses.
func newConnection(s *Server) (*Conn, *bytes.Buffer) {
	var out bytes.Buffer
	c := &Conn{Write: func(p []byte) { out.Write(p) }}
	s.Accept(c)
	return c, &out
}

func newRequest(method, path string, fields map[string]string, body []byte) []byte {
	text := method + " " + path + " HTTP/1.1\r\nHost: e\r\n"
	for n, v := range fields {
		text += n + ": " + v + "\r\n"
	}
	return append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", text, len(body)), body...)
}

func TestServerImplementsTheProtocol(t *testing.T) {
	s := NewServer(NewModel(testConfig(), 0, false))
	c, out := newConnection(s)
	w := Work{Threads: 1, CPU: 300 * time.Millisecond, MemoryMB: 64, TableGroup: 3, Rows: 1000, PlanFactor: 1}
	if got := ParseStatement("", Statement(w)); got != w {
		t.Fatalf("ParseStatement returned %+v, want %+v", got, w)
	}
	post := newRequest("POST", "/o",
		map[string]string{"X-Req": "aa", "X-Class": "g", "X-Wait-Ms": "5000", "Pool-Rank": "2"}, Statement(w))
	for _, b := range post { // byte by byte
		s.Receive(0, c, []byte{b})
	}
	if out.Len() > 0 {
		t.Fatal("the submission was answered before PollTimeout: ", out.String())
	}
	at, ok := s.NextDue()
	if !ok || at > 250*time.Millisecond {
		t.Fatal("the first response is due only at ", at)
	}
	s.ProcessDue(250 * time.Millisecond)
	if !strings.HasPrefix(out.String(), "HTTP/1.1 202") {
		t.Fatal(out.String())
	}
	out.Reset()
	s.Receive(260*time.Millisecond, c, newRequest("GET", "/o/aa/0", nil, nil))
	s.ProcessDue(time.Second)
	first := out.String()
	if !strings.HasPrefix(first, "HTTP/1.1 200") || !strings.Contains(first, "Elapsed-Work: 300.000") ||
		!strings.Contains(first, "High-Water: 64") {
		t.Fatal(first)
	}
	var pages int
	fmt.Sscanf(first[strings.Index(first, "Chunks:"):], "Chunks: %d", &pages)
	rows := first[strings.Index(first, "\r\n\r\n")+4:]
	for p := 1; p < pages; p++ {
		out.Reset()
		s.Receive(time.Second, c, newRequest("GET", fmt.Sprintf("/o/aa/%d", p), nil, nil))
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
		"HTTP/1.1 204":           newRequest("DELETE", "/o/aa", nil, nil),
		"HTTP/1.1 500":           newRequest("GET", "/o/zz/1", nil, nil),
		"X-Load: outstanding:0;": newRequest("GET", "/stats", nil, nil), "504": newRequest("POST", "/o", nil, nil),
	} {
		out.Reset()
		if s.Receive(time.Second, c, c2); !strings.Contains(out.String(), text) {
			t.Errorf("%q: %q", c2, out.String())
		}
	}
	s.ExternalLoad = func() (int, float64) { return 5, 0.25 }
	out.Reset()
	s.Receive(time.Second, c, newRequest("GET", "/stats", nil, nil))
	if !strings.Contains(out.String(), "X-Load: outstanding:5;utilization:0.2500;") {
		t.Fatalf("%q", out.String())
	}
	s.SetUnreachable(time.Second, true)
	out.Reset()
	if s.Receive(time.Second, c, newRequest("GET", "/ping", nil, nil)); out.Len() > 0 {
		t.Fatal("an unreachable engine sent a response")
	}
	if _, due := s.NextDue(); due {
		t.Fatal("an unreachable engine has a response due")
	}
	closed := false
	c.Close = func() { closed = true }
	if s.Reset(2*time.Second, true); !closed || len(s.connections) > 0 {
		t.Fatal("a connection is open after a reset")
	}
}

func TestTrafficByKind(t *testing.T) {
	s := NewServer(NewModel(testConfig(), 0, false))
	c, out := newConnection(s)
	length := 0
	ask := func(now time.Duration, call []byte) int {
		before := out.Len()
		length = len(call)
		s.Receive(now, c, call)
		return out.Len() - before
	}
	answer := ask(0, newRequest("GET", "/stats", nil, nil))
	if got := s.Traffic(); got.Requests[Probes] != 1 || got.BytesIn[Probes] != length ||
		got.BytesOut[Probes] != answer || got.Open != 1 || got.Opened != 1 {
		t.Fatalf("%+v after a probe of %d and %d bytes", got, length, answer)
	}
	w := Work{Threads: 1, CPU: 300 * time.Millisecond, Rows: 2}
	ask(0, newRequest("POST", "/o", map[string]string{"X-Req": "aa", "X-Wait-Ms": "5000"}, Statement(w)))
	queryBytes, before := length, out.Len()
	s.ProcessDue(250 * time.Millisecond) // the query still runs
	pollBytes := out.Len() - before
	ask(260*time.Millisecond, newRequest("GET", "/o/aa/0", nil, nil))
	pollRequestBytes, before := length, out.Len()
	s.ProcessDue(time.Second) // the result, as the response to a poll
	resultBytes := out.Len() - before
	controlResponseBytes := ask(time.Second, newRequest("DELETE", "/o/aa", nil, nil))
	controlRequestBytes := length
	got := s.Traffic()
	if got.BytesIn[Queries] != queryBytes || got.BytesOut[Polls] != pollBytes ||
		got.BytesIn[Polls] != pollRequestBytes || got.BytesOut[Queries] != resultBytes ||
		got.BytesIn[ControlCalls] != controlRequestBytes || got.BytesOut[ControlCalls] != controlResponseBytes ||
		got.Requests[Queries] != 1 || got.Requests[Polls] != 1 || got.Requests[ControlCalls] != 1 {
		t.Errorf("%+v, want queries %d %d, polls %d %d, control calls %d %d", got, queryBytes, resultBytes,
			pollRequestBytes, pollBytes, controlRequestBytes, controlResponseBytes)
	}
	s.Reset(2*time.Second, false)
	s.Accept(&Conn{})
	if sum := s.Traffic().Add(got); sum.Opened != 3 || sum.Open != 2 ||
		sum.BytesIn[Polls] != 2*pollRequestBytes || sum.BytesOut[ControlCalls] != 2*controlResponseBytes ||
		sum.Requests[Probes] != 2 {
		t.Errorf("%+v", sum)
	}
}

func TestListenerServesQueriesOverTCP(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	l, err := Listen(context.Background(), "127.0.0.1:0", testConfig(), false)
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
