package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// engine stands in for an executor: HTTP/1.1, one call at a time on each connection.
type engine struct {
	listener net.Listener
	record   *record
	name     string
	workTime func(class, statement string) time.Duration
	// copyAfter, if set, tells for an answer that ends a query after how long a second copy of it follows;
	// 0: none does.
	copyAfter func() time.Duration
	// endless, if set, tells whether an answer that ends a query is spoilt: it never ends.
	endless func() bool

	mu      sync.Mutex
	queries map[string]*run
	begun   map[string]int // how often each query was begun
	copies  int
	spoilt  int // answers that never end
	// finished are the queries that ran to their end.
	finished map[string]bool
	beginsAt map[string]time.Time // when each query was begun first
	lines    map[*line]bool
	gone     bool // the process has ended
}

// run is one query at the engine.
type run struct {
	done    chan struct{} // closed at its end
	given   bool          // given up
	askedAt time.Time
	asking  int
	rows    string
	begunAt time.Time
	takes   time.Duration
	notedAt time.Time
}

const (
	holdsFor  = 250 * time.Millisecond
	keepsFor  = 2 * time.Second
	keptAfter = 5 * time.Second // how long a finished query is kept
	noteEach  = 2 * time.Second
)

func startEngine(r *record, name string,
	workTime func(class, statement string) time.Duration) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{listener: listener, record: r, name: name, workTime: workTime, queries: map[string]*run{},
		begun: map[string]int{}, finished: map[string]bool{}, beginsAt: map[string]time.Time{},
		lines: map[*line]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

func (e *engine) address() string { return e.listener.Addr().String() }

// line is one connection; writes of late copies and of answers must not mix.
type line struct {
	net.Conn
	mu sync.Mutex
}

func (l *line) send(text string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := io.WriteString(l.Conn, text)
	return err
}

func (e *engine) serve(conn net.Conn) {
	l := &line{Conn: conn}
	e.mu.Lock()
	e.lines[l] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.lines, l)
		e.mu.Unlock()
		conn.Close()
	}()
	in := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(15 * time.Second))
		call, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(call.Body)
		if err != nil {
			return
		}
		text, ends := e.answer(call, string(body))
		if ends && e.endless != nil && e.endless() {
			e.neverEnd(l, call.URL.Path)
			return
		}
		if l.send(text) != nil {
			return
		}
		if ends && e.copyAfter != nil {
			if after := e.copyAfter(); after > 0 {
				e.mu.Lock()
				e.copies++
				e.mu.Unlock()
				e.record.line("%s will copy its answer to %s after %v", e.name, call.URL.Path, after)
				time.AfterFunc(after, func() { l.send(text) })
			}
		}
	}
}

// neverEnd sends a chunked answer whose trailer goes on until the other side closes, or for 2 s.
func (e *engine) neverEnd(l *line, path string) {
	e.mu.Lock()
	e.spoilt++
	e.mu.Unlock()
	e.record.line("%s begins an answer to %s that never ends", e.name, path)
	l.send("HTTP/1.1 200 OK\r\nChunks: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
	sent := 0
	noise := strings.Repeat("X-More: "+strings.Repeat("z", 1000)+"\r\n", 16)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		if l.send(noise) != nil {
			break
		}
		sent += len(noise)
	}
	e.record.line("%s ends that answer after %d bytes", e.name, sent)
}

func response(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status),
		headers, len(body), body)
}

// answer returns the answer to a call, and whether it is a query's good end.
func (e *engine) answer(call *http.Request, body string) (text string, ends bool) {
	path := strings.Split(strings.Trim(call.URL.Path, "/"), "/")
	switch {
	case call.URL.Path == "/ping", call.URL.Path == "/stats":
		e.mu.Lock()
		held := 0
		for _, q := range e.queries {
			if !isClosed(q.done) {
				held++
			}
		}
		e.mu.Unlock()
		load := fmt.Sprintf("X-Load: outstanding:%d;utilization:%.2f\r\n", held, min(1, float64(held)/8))
		return response(200, load, ""), false
	case call.Method == "POST":
		id := call.Header.Get("X-Req")
		e.begin(id, call.Header.Get("X-Class"), body)
		return e.news(id)
	case call.Method == "GET" && len(path) == 3 && path[2] == "0":
		return e.news(path[1])
	case call.Method == "DELETE" && len(path) == 2:
		e.giveUp(path[1], "deleted")
		return "HTTP/1.1 204 No Content\r\n\r\n", false
	case call.Method == "PUT":
		return "HTTP/1.1 204 No Content\r\n\r\n", false
	}
	return response(500, "", ""), false
}

// begin starts a query.
func (e *engine) begin(id, class, statement string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queries[id] != nil || e.gone {
		return
	}
	if e.begun[id] == 0 {
		e.beginsAt[id] = time.Now()
	}
	now := time.Now()
	q := &run{done: make(chan struct{}), askedAt: now, begunAt: now, notedAt: now,
		takes: e.workTime(class, statement), rows: id + "\t" + class + "\t" + e.name + "\n"}
	e.queries[id] = q
	e.begun[id]++
	e.record.line("%s begins %s %s", e.name, id, class)
	time.AfterFunc(q.takes, func() { e.finish(id, q) })
	e.watch(id, q)
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (e *engine) finish(id string, q *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.given || isClosed(q.done) || e.gone {
		return
	}
	e.record.line("%s ends %s", e.name, id)
	e.finished[id] = true
	close(q.done)
	time.AfterFunc(keptAfter, func() {
		e.mu.Lock()
		delete(e.queries, id)
		e.mu.Unlock()
	})
}

// end ends the engine as a process ends: connections are reset, and what it ran is gone.
func (e *engine) end() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	for l := range e.lines {
		if tcp, ok := l.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		l.Conn.Close()
	}
	for id, q := range e.queries {
		if !isClosed(q.done) {
			e.record.line("%s ends its process while it runs %s", e.name, id)
		}
	}
}

// watch gives a query up that nobody asked for in 2 s.
func (e *engine) watch(id string, q *run) {
	time.AfterFunc(keepsFor/4, func() {
		e.mu.Lock()
		unasked := q.asking == 0 && time.Since(q.askedAt) > keepsFor
		over := q.given || isClosed(q.done)
		e.mu.Unlock()
		switch {
		case over:
		case unasked:
			e.giveUp(id, "unasked for 2 s")
		default:
			e.watch(id, q)
		}
	})
}

func (e *engine) giveUp(id, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := e.queries[id]
	if q == nil || q.given {
		return
	}
	if !isClosed(q.done) {
		e.record.line("%s stops %s: %s", e.name, id, why)
		close(q.done)
	}
	q.given = true
	delete(e.queries, id)
}

// news answers with a query's end, or after 250 ms with a note, if one is due, or nothing.
func (e *engine) news(id string) (text string, ends bool) {
	e.mu.Lock()
	q := e.queries[id]
	if q == nil {
		e.mu.Unlock()
		return response(500, "", ""), false
	}
	q.asking++
	e.mu.Unlock()
	over := false
	select {
	case <-q.done:
		over = true
	case <-time.After(holdsFor):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	q.asking--
	q.askedAt = time.Now()
	switch {
	case q.given:
		return response(500, "", ""), false
	case over:
		return response(200, "Chunks: 1\r\nElapsed-Work: 20\r\nHigh-Water: 8\r\n", q.rows), true
	}
	note := ""
	if time.Since(q.notedAt) >= noteEach {
		q.notedAt = time.Now()
		note = fmt.Sprintf("X-Cache: advance\r\nReading: %.3f\r\n", min(0.99, float64(time.Since(q.begunAt))/
			float64(q.takes)))
	}
	return response(202, note, ""), false
}
