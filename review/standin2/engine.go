package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a sound engine that speaks the HTTP protocol of the pages. A statement tells what it takes:
// "... /* ms=200 rows=3 */".
type engine struct {
	id      string
	address string
	w       *world

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	queries  map[string]*run

	// spoil may write something else in place of a good answer, and then returns true.
	spoil func(e *engine, out *outlet, r *run, page int, good []byte) bool
}

// outlet writes to a connection, in order: what comes late delays what is written behind it.
type outlet struct {
	net.Conn
	order sync.Mutex
}

func (o *outlet) write(p []byte) bool {
	o.order.Lock()
	defer o.order.Unlock()
	_, err := o.Write(p)
	return err == nil
}

// run is one query at an engine.
type run struct {
	id, class, body string
	started, ends   time.Time
	askedAt         time.Time
	asking          int
	state           string // running, done, gone
	changed         chan struct{}
	pages           [][]byte
	work            time.Duration
}

func newEngine(w *world, id string) *engine {
	e := &engine{id: id, w: w, conns: map[net.Conn]bool{}, queries: map[string]*run{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.cannot("listen: %v", err)
	}
	e.address = l.Addr().String()
	e.serve(l)
	return e
}

func (e *engine) serve(l net.Listener) {
	e.mu.Lock()
	e.listener = l
	e.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			if e.listener != l {
				e.mu.Unlock()
				c.Close()
				return
			}
			e.conns[c] = true
			e.mu.Unlock()
			go e.connection(c)
		}
	}()
}

func (e *engine) connection(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		c.Close()
	}()
	in, out := bufio.NewReader(c), &outlet{Conn: c}
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		firstByte := time.Now()
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) != 3 {
			e.w.broke("void", "engine %s got a line that is no request: %q", e.id, line)
			return
		}
		head := map[string]string{}
		for {
			l, err := in.ReadString('\n')
			if err != nil {
				return
			}
			l = strings.TrimRight(l, "\r\n")
			if l == "" {
				break
			}
			n, v, _ := strings.Cut(l, ":")
			head[strings.ToLower(n)] = strings.TrimSpace(v)
		}
		length, _ := strconv.Atoi(head["content-length"])
		body := make([]byte, length)
		for at := 0; at < length; {
			n, err := in.Read(body[at:])
			if err != nil {
				return
			}
			at += n
		}
		if !e.handle(out, words[0], words[1], head, string(body), firstByte) {
			return
		}
	}
}

func answer(status int, fields string, body []byte) []byte {
	texts := map[int]string{200: "OK", 202: "Accepted", 204: "No Content", 500: "Error", 503: "Unavailable",
		504: "Late"}
	p := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s", status, texts[status], fields)
	if status != 204 {
		p = fmt.Appendf(p, "Content-Length: %d\r\n", len(body))
	}
	return append(append(p, "\r\n"...), body...)
}

func (e *engine) handle(out *outlet, method, path string, head map[string]string, body string,
	firstByte time.Time) bool {
	parts := strings.Split(strings.Trim(path, "/"), "/")
	switch {
	case path == "/ping", path == "/stats":
		e.mu.Lock()
		n := 0
		for _, r := range e.queries {
			if r.state == "running" {
				n++
			}
		}
		busy := min(1, float64(n)/8)
		e.mu.Unlock()
		return out.write(answer(200, fmt.Sprintf("X-Load: inflight:%d;util:%.2f\r\n", n, busy), nil))
	case method == "POST" && path == "/o":
		id := head["x-req"]
		e.w.submitted(e, id, head, body, firstByte)
		e.mu.Lock()
		r := e.queries[id]
		if r == nil {
			r = e.begin(id, head["x-class"], body)
		}
		e.mu.Unlock()
		return e.await(out, r, id)
	case method == "GET" && len(parts) == 3:
		page, _ := strconv.Atoi(parts[2])
		e.mu.Lock()
		r := e.queries[parts[1]]
		e.mu.Unlock()
		if page == 0 {
			return e.await(out, r, parts[1])
		}
		if r == nil || r.state != "done" || page >= len(r.pages) {
			return out.write(answer(500, "", nil))
		}
		e.mu.Lock()
		r.askedAt = time.Now()
		e.mu.Unlock()
		return e.good(out, r, page, answer(200, fmt.Sprintf("Chunk: %d\r\n", page), r.pages[page]))
	case method == "PUT" && len(parts) == 2:
		return out.write(answer(204, "", nil))
	case method == "DELETE" && len(parts) == 2:
		e.mu.Lock()
		r := e.queries[parts[1]]
		if r != nil && r.state == "running" {
			e.endLocked(r, "gone")
		}
		delete(e.queries, parts[1])
		e.mu.Unlock()
		e.w.record("engine %s told to drop %s", e.id, parts[1])
		return out.write(answer(204, "", nil))
	}
	return out.write(answer(500, "", nil))
}

func (e *engine) good(out *outlet, r *run, page int, p []byte) bool {
	return e.spoil != nil && e.spoil(e, out, r, page, p) || out.write(p)
}

// begin starts a query; e.mu is held.
func (e *engine) begin(id, class, body string) *run {
	r := &run{id: id, class: class, body: body, started: time.Now(), askedAt: time.Now(), state: "running",
		changed: make(chan struct{})}
	ms, rows, wide := takes(body)
	r.work = time.Duration(ms) * time.Millisecond
	r.pages = pagesOf(id, rows, wide)
	e.queries[id] = r
	e.w.ranStart(e, r)
	go e.execute(r)
	return r
}

func (e *engine) execute(r *run) {
	end := time.NewTimer(r.work)
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-end.C:
			e.mu.Lock()
			if r.state == "running" {
				e.endLocked(r, "done")
			}
			e.mu.Unlock()
		case <-tick.C:
		}
		e.mu.Lock()
		if r.asking == 0 && time.Since(r.askedAt) > 2*time.Second {
			if r.state == "running" {
				e.w.record("engine %s gives up %s: nobody asks", e.id, r.id)
				e.endLocked(r, "gone")
			}
			if e.queries[r.id] == r {
				delete(e.queries, r.id)
			}
		}
		gone := e.queries[r.id] != r
		e.mu.Unlock()
		if gone {
			return
		}
	}
}

func (e *engine) endLocked(r *run, state string) {
	r.state = state
	r.ends = time.Now()
	close(r.changed)
	r.changed = make(chan struct{})
	e.w.ranEnd(e, r, state)
}

// await holds a call until the query ends, a note is due or 250 ms have passed.
func (e *engine) await(out *outlet, r *run, id string) bool {
	if r == nil {
		return out.write(answer(500, "", nil))
	}
	e.mu.Lock()
	r.asking++
	changed, state := r.changed, r.state
	e.mu.Unlock()
	if state == "running" {
		select {
		case <-changed:
		case <-time.After(250 * time.Millisecond):
		}
	}
	e.mu.Lock()
	r.asking--
	r.askedAt = time.Now()
	state = r.state
	e.mu.Unlock()
	switch state {
	case "done":
		p := answer(200, fmt.Sprintf("Chunks: %d\r\nElapsed-Work: %d\r\nHigh-Water: 64\r\n", len(r.pages),
			r.work.Milliseconds()), r.pages[0])
		return e.good(out, r, 0, p)
	case "running":
		done := float64(time.Since(r.started)) / float64(r.work+1)
		return out.write(answer(202, fmt.Sprintf("X-Cache: advance\r\nReading: %.3f\r\n", min(0.99, done)), nil))
	}
	return out.write(answer(500, "", nil))
}

// takes reads the milliseconds, the rows and the width of a row from a statement.
func takes(body string) (ms, rows, wide int) {
	rows = 1
	_, text, _ := strings.Cut(body, "/*")
	for _, pair := range strings.Fields(text) {
		n, v, _ := strings.Cut(pair, "=")
		x, _ := strconv.Atoi(v)
		switch n {
		case "ms":
			ms = x
		case "rows":
			rows = x
		case "wide":
			wide = x
		}
	}
	return ms, rows, wide
}

// pagesOf returns the pages of a query's result, which follows from its id.
func pagesOf(id string, rows, wide int) [][]byte {
	pages := [][]byte{{}}
	for i := range rows {
		row := fmt.Sprintf("%s\t%s%d\t%d\n", id, strings.Repeat("x", wide), i, i*i)
		at := len(pages) - 1
		if len(pages[at]) > 0 && len(pages[at])+len(row) > 6000 {
			pages = append(pages, nil)
			at++
		}
		pages[at] = append(pages[at], row...)
	}
	return pages
}

func resultOf(id, body string) string {
	_, rows, wide := takes(body)
	out := ""
	for _, p := range pagesOf(id, rows, wide) {
		out += string(p)
	}
	return out
}
