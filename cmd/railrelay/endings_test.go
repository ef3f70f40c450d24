package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// slow is an engine on bare sockets that runs queries until it is told to end them, and keeps when it
// has written what.
type slow struct {
	net.Listener
	mu    sync.Mutex
	posts []*http.Request
	over  map[string]bool
	wrote chan string // the id of each good end that is out
}

func newSlow(t *testing.T) *slow {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &slow{Listener: l, over: map[string]bool{}, wrote: make(chan string, 4096)}
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

func (s *slow) serve(c net.Conn) {
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
			s.posts = append(s.posts, r)
			s.mu.Unlock()
		case r.Method == "DELETE" || r.Method == "PUT":
			answer = "HTTP/1.1 204 x\r\n\r\n"
		default:
			for wait := time.Now(); !s.is(id) && time.Since(wait) < 250*time.Millisecond; {
				time.Sleep(time.Millisecond)
			}
			if s.is(id) {
				answer = fmt.Sprintf("HTTP/1.1 200 x\r\nChunks: 1\r\nElapsed-Work: 5\r\nHigh-Water: 5\r\nContent-Length: %d\r\n\r\n%s\ta\tb\n", len(id)+5, id)
			}
		}
		_, err = io.WriteString(c, answer)
		if strings.HasPrefix(answer, "HTTP/1.1 200 x\r\nChunks") {
			s.wrote <- id
		}
		if err != nil {
			return
		}
	}
}

func (s *slow) is(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over[id]
}

func (s *slow) end(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.over[pad+id] = true
	}
}

// sent is the submissions of a query so far.
func (s *slow) sent(id string) (l []*http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.posts {
		if r.Header.Get("X-Req") == pad+id {
			l = append(l, r)
		}
	}
	return l
}

func (s *slow) hears(t *testing.T, id string, n int) {
	t.Helper()
	for wait := time.Now(); len(s.sent(id)) < n; time.Sleep(time.Millisecond) {
		if time.Since(wait) > patienceMost {
			t.Fatalf("query %s never came %d times", id, n)
		}
	}
}

// halt stops the process, as a machine may, until the returned is called.
func (c *controller) halt() (goOn func()) {
	c.t.Helper()
	c.signal(syscall.SIGSTOP)
	for wait := time.Now(); ; time.Sleep(time.Millisecond) {
		stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
		if i := strings.LastIndex(string(stat), ") "); i > 0 && stat[i+2] == 'T' {
			return func() { c.signal(syscall.SIGCONT) }
		}
		if time.Since(wait) > patienceMost {
			c.t.Fatal("it runs on")
		}
	}
}

// ready asks until it says so.
func (c *client) ready() bool {
	c.n++
	io.WriteString(c, "\x94\x00"+string([]byte{c.n})+fix("alive")+"\x91\x80")
	_, said := c.answer()
	return said == "c3"
}

// The process stands still while a client hangs up whose query waits for its key's turn, and while
// that turn comes. What it reads first as it goes on must not matter: nothing begins for who is gone.
func TestAClientThatLeftWhileWeStoodStill(t *testing.T) {
	e, f := newSlow(t), newFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.Addr().String(), "SERVING"))
	warm := c.client()
	for i := range 6 { // connections at rest, so that what begins begins at once
		warm.ask("lookup", fmt.Sprintf("80%02d", i), "15000", "")
		e.hears(t, fmt.Sprintf("80%02d", i), 1)
	}
	for i := range 6 {
		e.end(fmt.Sprintf("80%02d", i))
	}
	for range 6 {
		warm.answer()
	}
	for i := range 6 {
		key, runs, waits, next := fmt.Sprint("k", i), fmt.Sprintf("%03d1", i), fmt.Sprintf("%03d2", i), fmt.Sprintf("%03d3", i)
		a := c.client()
		a.ask("load", runs, "15000", key)
		e.hears(t, runs, 1)
		b := c.client()
		b.ask("load", waits, "15000", key)
		if !b.ready() { // and so what it asked before was read
			t.Fatal("not ready")
		}
		goOn := c.halt()
		e.end(runs)
		for id := range e.wrote { // its answer lies in the kernel, before the end of the other's connection
			if id == pad+runs {
				break
			}
		}
		b.Close()
		time.Sleep(150 * time.Millisecond) // the stall itself: what begins after it begins too late
		goOn()
		a.expect(1, pad+runs)
		z := c.client()
		e.end(next)
		z.ask("load", next, "15000", key)
		z.expect(1, pad+next)
		if n := len(e.sent(waits)); n > 0 {
			t.Fatalf("round %d: sent %d times for a client that had hung up", i, n)
		}
		for _, x := range []*client{a, z} {
			x.Close()
		}
	}
}

// Asked and hung up while we stood still: both are there as it goes on, and nothing begins.
func TestAskedAndGoneWhileWeStoodStill(t *testing.T) {
	e, f := newSlow(t), newFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.Addr().String(), "SERVING"))
	goOn := c.halt()
	for i := range 20 {
		a := c.client()
		a.ask("lookup", fmt.Sprintf("%04d", i), "15000", "")
		a.Close()
	}
	goOn()
	z := c.client()
	e.end("9999")
	z.ask("lookup", "9999", "15000", "")
	z.expect(1, pad+"9999")
	for i := range 20 {
		if n := len(e.sent(fmt.Sprintf("%04d", i))); n > 0 {
			t.Fatalf("query %d was sent for a client that had hung up", i)
		}
	}
}

// Many controllers are started at once, with the feed away, engines that hang, and idle clients that
// took every place before: nine in ten are ready within 10 s, for nothing that the list known at the
// start tells is waited for. Then a feed that comes back is heard by each.
func TestManyAreReadyWhateverElseIsDown(t *testing.T) {
	const many = 60
	away, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := away.Addr().String()
	away.Close()
	hangs, err := net.Listen("tcp", "127.0.0.1:0") // comes up and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer hangs.Close()
	from := time.Now()
	took := make([]time.Duration, many)
	all := make([]*controller, many)
	var wg sync.WaitGroup
	for i := range all {
		all[i] = start(t, address, 96, "127.0.0.1:0", entry("e1", hangs.Addr().String(), "SERVING"))
		wg.Go(func() {
			for range 60 { // they say nothing, and took their place before any other
				if x, err := net.Dial("tcp", all[i].address); err == nil {
					defer x.Close()
				}
			}
			for a := all[i].client(); !a.ready(); a = all[i].client() {
				a.Close()
			}
			took[i] = time.Since(from)
		})
	}
	wg.Wait()
	if slices.Sort(took); took[many*9/10] > 10*time.Second {
		t.Fatalf("nine in ten were ready after %v", took[many*9/10])
	}
	back, err := net.Listen("tcp", address)
	if err != nil {
		t.Skip("its address was taken meanwhile: ", err)
	}
	defer back.Close()
	for range all {
		back.(*net.TCPListener).SetDeadline(time.Now().Add(patienceMost))
		x, err := back.Accept()
		if err != nil {
			t.Fatal("not all ask for the list: ", err)
		}
		defer x.Close()
	}
}

// Settings of a customer that nobody knows: drawn names, sizes, limits and effects. What is judged is
// what engines see and clients hear, by those settings alone.
func TestSettingsNeverSeen(t *testing.T) {
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
		reads, marked, once := name(), name()+"m", name()+"o"
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
			once, limit/2, limit, reads, limit/3, limit, marked, window, limit/2, limit)
		e, f := newSlow(t), newFeed(t)
		at := strings.NewReplacer(`"here"`, fmt.Sprintf("%q", site), `"std"`, fmt.Sprintf("%q", kind)).Replace(entry("e1", e.Addr().String(), "SERVING"))
		c := startWith(t, text, 24+rng.IntN(200), f.Addr().String(), 64+rng.IntN(300), "127.0.0.1:0", at)
		patience := fmt.Sprint(limit)
		a := c.client()
		calls := []string{reads, marked, once}
		for i, group := range calls {
			id := fmt.Sprintf("%d%03d", round, i)
			e.end(id)
			a.askWith(group, id, patience, "entity", "k", "nonce", "n"+id)
			a.expect(byte(i+1), pad+id)
			l := e.sent(id)
			if len(l) != 1 || l[0].Header.Get("X-Class") != group {
				t.Fatalf("round %d, %q: %d times, %v", round, group, len(l), l)
			}
			if token := l[0].Header.Get("Idempotency-Key"); (group == marked) != (token == "n"+id) {
				t.Fatalf("round %d, %q: token %q", round, group, token)
			}
		}
		if a.askWith("lookup", "aaaa", patience, "entity", "k"); a.answered() != "Failed why no such method" {
			t.Fatalf("round %d: a group of another customer's is served", round)
		}
		// in order: the second of a key is not sent before the first is over
		first, second := fmt.Sprintf("%d100", round), fmt.Sprintf("%d101", round)
		b := c.client()
		b.askWith(once, first, patience, "entity", "z")
		b.askWith(once, second, patience, "entity", "z")
		e.hears(t, first, 1)
		if !c.client().ready() || len(e.sent(second)) > 0 {
			t.Fatalf("round %d: out of order", round)
		}
		e.end(first, second)
		b.expect(1, pad+first)
		if said := b.answered(); !strings.HasPrefix(said, pad+second) && !strings.HasPrefix(said, "Throttled") {
			t.Fatalf("round %d: %q", round, said)
		}
		// a deferral names no later time to come back than the settings allow
		list := <-f.conns
		io.WriteString(list, event(2, false, strings.Replace(at, "SERVING", "DRAINING", 1))+"\n")
		d := c.client()
		for i := 0; ; i++ {
			id := fmt.Sprintf("%d2%02d", round, i)
			e.end(id)
			d.askWith(reads, id, patience)
			said := d.answered()
			if len(e.sent(id)) > 0 {
				continue // it crossed the word
			}
			var ms int
			if n, _ := fmt.Sscanf(said, "Throttled pause %d", &ms); !strings.HasPrefix(said, "Throttled") || n == 1 && ms > pause {
				t.Fatalf("round %d: %q, and at most %d ms are allowed", round, said, pause)
			}
			break
		}
		c.signal(syscall.SIGTERM)
		if err := <-c.ended; err != nil {
			t.Fatal(err)
		}
	}
}

// askWith writes a call with more fields than ask.
func (c *client) askWith(group, id, patience string, more ...string) {
	c.t.Helper()
	c.n++
	body := "SELECT * FROM sales_17.orders"
	fields := append([]string{"trace", pad + id, "patience", patience}, more...)
	p := "\x94\x00" + string([]byte{c.n}) + long(group) + "\x92" + string([]byte{byte(0x80 | len(fields)/2)})
	for _, x := range fields {
		p += long(x)
	}
	if _, err := io.WriteString(c, p+"\xc4"+string([]byte{byte(len(body))})+body); err != nil {
		c.t.Fatal(err)
	}
}

func long(s string) string { return "\xd9" + string([]byte{byte(len(s))}) + s }

func (c *client) answered() string {
	_, said := c.answer()
	return said
}

// The process stands still for longer than an engine's answer may take, and the answer comes
// meanwhile: it is heard, and its line not cut as that of an engine that says nothing.
func TestAnAnswerThatCameWhileWeStoodStill(t *testing.T) {
	e, f := newSlow(t), newFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.Addr().String(), "SERVING"))
	a := c.client()
	for i := range 8 {
		a.ask("lookup", fmt.Sprintf("%04d", i), "15000", "")
		e.hears(t, fmt.Sprintf("%04d", i), 1)
	}
	goOn := c.halt()
	time.Sleep(700 * time.Millisecond) // 250 ms after which news come, 400 ms that they may take
	goOn()
	for i := range 8 {
		e.end(fmt.Sprintf("%04d", i))
	}
	for range 8 {
		a.answer()
	}
	c.signal(syscall.SIGUSR1)
	if said := fmt.Sprint(c.said("taken 8 finished 8")["message"]); !strings.Contains(said, " asked again 0 ") {
		t.Fatal(said)
	}
}
