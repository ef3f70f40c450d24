package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// controlledEngine is an engine on plain sockets. It runs each query until the test finishes the query, and
// reports each result that it has written.
type controlledEngine struct {
	net.Listener
	mu        sync.Mutex
	submitted []*http.Request
	finished  map[string]bool
	heldPolls map[string]int // polls that wait for the result, by trace
	written   chan string    // the trace of each result that was written
}

// pollHold is how long controlledEngine holds a poll of a query that still runs.
const pollHold = 250 * time.Millisecond

func newControlledEngine(t *testing.T) *controlledEngine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &controlledEngine{Listener: l, finished: map[string]bool{}, heldPolls: map[string]int{},
		written: make(chan string, 4096)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *controlledEngine) serve(c net.Conn) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Req")
		if id == "" {
			id, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/o/"), "/")
		}
		answer := "HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n"
		switch {
		case r.URL.Path == "/stats":
			answer = "HTTP/1.1 200 x\r\nX-Load: inflight:1;util:0.1\r\nContent-Length: 0\r\n\r\n"
		case r.Method == "POST":
			s.mu.Lock()
			s.submitted = append(s.submitted, r)
			s.mu.Unlock()
		case r.Method == "DELETE" || r.Method == "PUT":
			answer = "HTTP/1.1 204 x\r\n\r\n"
		default:
			if s.holdPoll(id) {
				answer = fmt.Sprintf("HTTP/1.1 200 x\r\nChunks: 1\r\nElapsed-Work: 5\r\nHigh-Water: 5\r\nContent-Length: %d\r\n\r\n%s\ta\tb\n",
					len(id)+5, id)
			}
		}
		_, err = io.WriteString(c, answer)
		if strings.HasPrefix(answer, "HTTP/1.1 200 x\r\nChunks") {
			s.written <- id
		}
		if err != nil {
			return
		}
	}
}

// holdPoll waits until the query is finished or pollHold has passed, and reports whether it is finished.
func (s *controlledEngine) holdPoll(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldPolls[id]++
	defer func() { s.heldPolls[id]-- }()
	for heldSince := time.Now(); !s.finished[id] && time.Since(heldSince) < pollHold; {
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
		s.mu.Lock()
	}
	return s.finished[id]
}

// finishHeld finishes a query if a poll of it is held, so that the result is written without a further
// request. It reports whether it did.
func (s *controlledEngine) finishHeld(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heldPolls[tracePrefix+id] == 0 {
		return false
	}
	s.finished[tracePrefix+id] = true
	return true
}

// waitForResult returns once the query's result was written to the controller's connection.
func (s *controlledEngine) waitForResult(t *testing.T, id string) {
	t.Helper()
	for wait := time.After(waitLimit); ; {
		select {
		case written := <-s.written:
			if written == tracePrefix+id {
				return
			}
		case <-wait:
			t.Fatalf("the engine did not write the result of query %s", id)
		}
	}
}

func (s *controlledEngine) finish(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.finished[tracePrefix+id] = true
	}
}

// submissions returns the submissions of a query so far.
func (s *controlledEngine) submissions(id string) (l []*http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.submitted {
		if r.Header.Get("X-Req") == tracePrefix+id {
			l = append(l, r)
		}
	}
	return l
}

func (s *controlledEngine) waitForSubmissions(t *testing.T, id string, n int) {
	t.Helper()
	for wait := time.Now(); len(s.submissions(id)) < n; time.Sleep(time.Millisecond) {
		if time.Since(wait) > waitLimit {
			t.Fatalf("query %s was not submitted %d times", id, n)
		}
	}
}

// pause stops the process until the returned function is called, like a stalled machine.
func (c *controller) pause() (resume func()) {
	c.t.Helper()
	c.signal(syscall.SIGSTOP)
	for wait := time.Now(); ; time.Sleep(time.Millisecond) {
		stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
		if i := strings.LastIndex(string(stat), ") "); i > 0 && stat[i+2] == 'T' {
			return func() { c.signal(syscall.SIGCONT) }
		}
		if time.Since(wait) > waitLimit {
			c.t.Fatal("the process did not stop")
		}
	}
}

// pauseAndFinish stops the process like pause, while the engine holds a poll of the query, and then finishes
// the query. A process that is stopped between two polls sends no request that the result could answer, so
// it is resumed and stopped again.
func (c *controller) pauseAndFinish(e *controlledEngine, id string) (resume func()) {
	c.t.Helper()
	for wait := time.Now(); ; time.Sleep(time.Millisecond) {
		resume = c.pause()
		if e.finishHeld(id) {
			return resume
		}
		resume()
		if time.Since(wait) > waitLimit {
			c.t.Fatalf("the process was never stopped during a poll of query %s", id)
		}
	}
}

// ready reports whether the controller answers an alive call with true.
func (c *client) ready() bool {
	c.lastMessage++
	io.WriteString(c, "\x94\x00"+string([]byte{c.lastMessage})+fixString("alive")+"\x91\x80")
	_, response := c.answer()
	return response == "c3"
}

// A client with a query queued behind another of the same key disconnects while the process is paused.
// The first query's result arrives in the same pause. Whichever event the process reads first, it must
// not submit the queued query.
func TestQueuedQueryOfDisconnectedClientIsNotSentAfterPause(t *testing.T) {
	e, f := newControlledEngine(t), newFakeFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.Addr().String(), "SERVING"))
	warm := c.client()
	for i := range 6 { // idle engine connections, so that a query is submitted at once
		warm.query("lookup", fmt.Sprintf("80%02d", i), "15000", "")
		e.waitForSubmissions(t, fmt.Sprintf("80%02d", i), 1)
	}
	for i := range 6 {
		e.finish(fmt.Sprintf("80%02d", i))
	}
	for range 6 {
		warm.answer()
	}
	for i := range 6 {
		key, runs, waits, next := fmt.Sprint("k", i), fmt.Sprintf("%03d1", i), fmt.Sprintf("%03d2", i),
			fmt.Sprintf("%03d3", i)
		a := c.client()
		a.query("load", runs, "15000", key)
		e.waitForSubmissions(t, runs, 1)
		b := c.client()
		b.query("load", waits, "15000", key)
		if !b.ready() { // the response shows that the earlier call was read
			t.Fatal("not ready")
		}
		resume := c.pauseAndFinish(e, runs)
		e.waitForResult(t, runs) // the result is in the socket buffer before the other client disconnects
		b.Close()
		time.Sleep(150 * time.Millisecond) // the pause under test
		resume()
		a.expect(1, tracePrefix+runs)
		z := c.client()
		e.finish(next)
		z.query("load", next, "15000", key)
		z.expect(1, tracePrefix+next)
		if n := len(e.submissions(waits)); n > 0 {
			t.Fatalf("round %d: submitted %d times for a disconnected client", i, n)
		}
		for _, x := range []*client{a, z} {
			x.Close()
		}
	}
}

// A client sends a query and disconnects while the process is paused. The process must not submit the
// query.
func TestQueryOfDisconnectedClientIsNotSentAfterPause(t *testing.T) {
	e, f := newControlledEngine(t), newFakeFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.Addr().String(), "SERVING"))
	resume := c.pause()
	for i := range 20 {
		a := c.client()
		a.query("lookup", fmt.Sprintf("%04d", i), "15000", "")
		a.Close()
	}
	resume()
	z := c.client()
	e.finish("9999")
	z.query("lookup", "9999", "15000", "")
	z.expect(1, tracePrefix+"9999")
	for i := range 20 {
		if n := len(e.submissions(fmt.Sprintf("%04d", i))); n > 0 {
			t.Fatalf("query %d was submitted for a disconnected client", i)
		}
	}
}

// Names, sizes, limits and effects in the settings are random, as those of an unknown customer. The test
// checks the requests to engines and the responses to clients against these settings.
func TestServesRandomSettings(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 2))
	letters := []rune("abcxyzäß -._")
	name := func() string {
		if words := []string{"zone", "inline", "none", "read_like", "all"}; rng.IntN(3) == 0 {
			return words[rng.IntN(len(words))]
		}
		s := "q"
		for range 2 + rng.IntN(6) {
			s += string(letters[rng.IntN(len(letters))])
		}
		return s + "e"
	}
	for round := range 4 {
		readGroup, keyedGroup, writeGroup := name(), name()+"m", name()+"o"
		site, kind := name()+"s", name()+"k"
		limit, window, rest, pause := 400+rng.IntN(3000), 150+rng.IntN(200), 20+rng.IntN(200), 10+rng.IntN(300)
		text := fmt.Sprintf(`{"balancers":%d,"me":0,"zones":[%q],"my_zone":%q,"kinds":[%q],"quantum_ms":5.0,"discovery":"pushed",
			"allowed":{"may_cancel":true,"may_probe":false,"second_copies":false,"max_attempts":%d,"connect_timeout_ms":%d,"keepalive_ms":%d,
			"retry_after":true,"max_retry_after_ms":%d},"report":{"how":"off","fields":[]},
			"obligations":{"drain_grace_ms":%d,"key_rest_ms":%d,"cold_from":0.4,"warm_after_ms":500,"tip_multiple":2,"fall_ms":300},
			"family_info":{"writes_tables":[false,false,false],"threads_by_class":[1,1,2],"class_waits":[false,false,false],"kind_cores":[%d],
			"ram_of_kind_mb":[900.0],"memory_heeded":false,"lanes_count":false,"note_period_ms":0,"cost_in_answers":false,"out_of_memory":"trim"},
			"classes":[{"name":%q,"effect":"non_idempotent","fifo_by_key":true,"importance":2,"objective_ms":%d,"deadline_ms":%d,"key_scope":"all"},
			{"name":%q,"effect":"read_like","importance":1,"objective_ms":%d,"deadline_ms":%d,"key_scope":"all"},
			{"name":%q,"effect":"idempotency_key","window_ms":%d,"importance":3,"objective_ms":%d,"deadline_ms":%d,"key_scope":"all"}]}`,
			1, site, site, kind, 2+rng.IntN(3), 100+rng.IntN(400), 500+rng.IntN(9000), pause, 100+rng.IntN(900), rest, 4+rng.IntN(20),
			writeGroup, limit/2, limit, readGroup, limit/3, limit, keyedGroup, window, limit/2, limit)
		e, f := newControlledEngine(t), newFakeFeed(t)
		serving := strings.NewReplacer(`"here"`, fmt.Sprintf("%q", site), `"std"`, fmt.Sprintf("%q", kind)).
			Replace(entry("e1", e.Addr().String(), "SERVING"))
		c := startWith(t, text, 24+rng.IntN(200), f.Addr().String(), 64+rng.IntN(300), "127.0.0.1:0", serving)
		timeout := fmt.Sprint(limit)
		a := c.client()
		calls := []string{readGroup, keyedGroup, writeGroup}
		for i, group := range calls {
			id := fmt.Sprintf("%d%03d", round, i)
			e.finish(id)
			a.queryWithFields(group, id, timeout, "entity", "k", "nonce", "n"+id)
			a.expect(byte(i+1), tracePrefix+id)
			l := e.submissions(id)
			if len(l) != 1 || l[0].Header.Get("X-Class") != group {
				t.Fatalf("round %d, %q: %d times, %v", round, group, len(l), l)
			}
			if token := l[0].Header.Get("Idempotency-Key"); (group == keyedGroup) != (token == "n"+id) {
				t.Fatalf("round %d, %q: token %q", round, group, token)
			}
		}
		if a.queryWithFields("lookup", "aaaa", timeout, "entity",
			"k"); a.nextAnswer() != "Failed why no such method" {
			t.Fatalf("round %d: a resource group that isn't in the settings was served", round)
		}
		// The second query of a key is not submitted before the first has ended.
		first, second := fmt.Sprintf("%d100", round), fmt.Sprintf("%d101", round)
		b := c.client()
		b.queryWithFields(writeGroup, first, timeout, "entity", "z")
		b.queryWithFields(writeGroup, second, timeout, "entity", "z")
		e.waitForSubmissions(t, first, 1)
		if !c.client().ready() || len(e.submissions(second)) > 0 {
			t.Fatalf("round %d: out of order", round)
		}
		e.finish(first, second)
		b.expect(1, tracePrefix+first)
		if response := b.nextAnswer(); !strings.HasPrefix(response, tracePrefix+second) &&
			!strings.HasPrefix(response, "Throttled") {
			t.Fatalf("round %d: %q", round, response)
		}
		// The pause in a deferral is at most the one in the settings.
		feed := <-f.connections
		io.WriteString(feed, event(2, false, strings.Replace(serving, "SERVING", "DRAINING", 1))+"\n")
		d := c.client()
		for i := 0; ; i++ {
			id := fmt.Sprintf("%d2%02d", round, i)
			e.finish(id)
			d.queryWithFields(readGroup, id, timeout)
			response := d.nextAnswer()
			if len(e.submissions(id)) > 0 {
				continue // submitted before the controller read the event
			}
			var ms int
			if n, _ := fmt.Sscanf(response, "Throttled pause %d", &ms); !strings.HasPrefix(response, "Throttled") ||
				n == 1 && ms > pause {
				t.Fatalf("round %d: %q, and at most %d ms are allowed", round, response, pause)
			}
			break
		}
		c.signal(syscall.SIGTERM)
		if err := <-c.exited; err != nil {
			t.Fatal(err)
		}
	}
}

// queryWithFields sends a query with additional fields.
func (c *client) queryWithFields(group, id, timeout string, extra ...string) {
	c.t.Helper()
	c.lastMessage++
	body := "SELECT * FROM sales_17.orders"
	fields := append([]string{"trace", tracePrefix + id, "patience", timeout}, extra...)
	p := "\x94\x00" + string([]byte{c.lastMessage}) + str8(group) + "\x92" +
		string([]byte{byte(0x80 | len(fields)/2)})
	for _, x := range fields {
		p += str8(x)
	}
	if _, err := io.WriteString(c, p+"\xc4"+string([]byte{byte(len(body))})+body); err != nil {
		c.t.Fatal(err)
	}
}

func str8(s string) string { return "\xd9" + string([]byte{byte(len(s))}) + s }

func (c *client) nextAnswer() string {
	_, response := c.answer()
	return response
}

// The process is paused for longer than the timeout of an engine's response, and the response arrives
// during the pause. The controller must use the response, and must not close the connection as if the
// engine were silent.
func TestResponseReceivedDuringPauseIsUsed(t *testing.T) {
	e, f := newControlledEngine(t), newFakeFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.Addr().String(), "SERVING"))
	a := c.client()
	for i := range 8 {
		a.query("lookup", fmt.Sprintf("%04d", i), "15000", "")
		e.waitForSubmissions(t, fmt.Sprintf("%04d", i), 1)
	}
	resume := c.pause()
	time.Sleep(700 * time.Millisecond) // longer than a poll (250 ms) and its response timeout (400 ms)
	resume()
	for i := range 8 {
		e.finish(fmt.Sprintf("%04d", i))
	}
	for range 8 {
		a.answer()
	}
	c.signal(syscall.SIGUSR1)
	if counters := fmt.Sprint(c.waitForLog("taken 8 finished 8")["message"]); !strings.Contains(counters,
		" asked again 0 ") {
		t.Fatal(counters)
	}
}
