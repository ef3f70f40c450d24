package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// engineProcess is an engine that can be killed. Another one may then take its address. It knows only the
// queries that were submitted to it, and each of them takes runTime.
type engineProcess struct {
	server  *http.Server
	address string

	mu        sync.Mutex
	startedAt map[string]time.Time // of the queries that run or are done, by trace
	submitted []string
}

// runTime is how long an engineProcess runs each query.
const runTime = 400 * time.Millisecond

func startEngineProcess(t *testing.T, address string) *engineProcess {
	t.Helper()
	var listener net.Listener
	var err error
	for wait := time.Now(); ; time.Sleep(time.Millisecond) {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		if time.Since(wait) > waitLimit {
			t.Fatal(err)
		}
	}
	e := &engineProcess{address: listener.Addr().String(), startedAt: map[string]time.Time{}}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go e.server.Serve(listener)
	t.Cleanup(e.kill)
	return e
}

// kill closes the listener and all connections, as the end of a process does.
func (e *engineProcess) kill() { e.server.Close() }

func (e *engineProcess) serve(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	trace := r.Header.Get("X-Req")
	if trace == "" {
		trace, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/o/"), "/")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.URL.Path == "/stats":
		w.Header().Set("X-Load", "inflight:1;util:0.1")
		return
	case r.Method == "POST":
		e.submitted = append(e.submitted, trace)
		e.startedAt[trace] = time.Now()
	case r.Method == "DELETE":
		delete(e.startedAt, trace)
		w.WriteHeader(204)
		return
	case r.Method == "PUT":
		w.WriteHeader(204)
		return
	}
	at, known := e.startedAt[trace]
	if !known {
		w.WriteHeader(500)
		return
	}
	if left := runTime - time.Since(at); left > 0 {
		e.mu.Unlock()
		time.Sleep(min(left, pollHold))
		e.mu.Lock()
	}
	if time.Since(at) < runTime {
		w.WriteHeader(202)
		return
	}
	w.Header().Set("Chunks", "1")
	fmt.Fprintf(w, "%s\ta\tb\n", trace)
}

// An engine's process ends, and one with another id comes up at its address before or after the endpoint list
// tells. What ran on the old process must not run a second time if it changes data, and every client gets the
// answer to its own query.
func TestLoadsDoNotRunAgainOnProcessAtOldAddress(t *testing.T) {
	for _, toldAfter := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
		t.Run(toldAfter.String(), func(t *testing.T) {
			old, f := startEngineProcess(t, "127.0.0.1:0"), newFakeFeed(t)
			c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", old.address, "SERVING"))
			feed := <-f.connections
			replaced := make(chan *engineProcess, 1)
			go func() {
				time.Sleep(700 * time.Millisecond)
				old.kill()
				replaced <- startEngineProcess(t, old.address)
				time.Sleep(toldAfter)
				io.WriteString(feed, event(2, false, entry("e1", old.address, "DELETED"),
					entry("e2", old.address, "SERVING"))+"\n")
			}()
			var group sync.WaitGroup
			refused := make([][]string, 6)
			for n := range refused {
				group.Go(func() { refused[n] = c.sendInTurn([]string{"lookup", "load"}[n%2], n, 3*time.Second) })
			}
			group.Wait()
			next := <-replaced
			submissions := map[string]int{}
			for _, trace := range append(old.submitted, next.submitted...) {
				submissions[trace]++
				isLoad := strings.Contains("135", strings.TrimPrefix(trace, tracePrefix)[:1])
				if isLoad && submissions[trace] > 1 {
					t.Errorf("load %s was submitted %d times", trace, submissions[trace])
				}
				if isLoad && slices.Contains(slices.Concat(refused...), trace) {
					t.Errorf("load %s was refused though it may have run", trace)
				}
			}
			if len(old.submitted) == 0 || len(next.submitted) == 0 {
				t.Fatalf("%d and %d submissions: the test proves nothing", len(old.submitted), len(next.submitted))
			}
		})
	}
}

// sendInTurn sends queries of a group for a while, each after the answer to the one before. Their ids start
// with the client's number. Each must be answered with its own result or, if its engine has ended, fail or be
// refused. It returns the traces of those that were refused.
func (c *controller) sendInTurn(group string, number int, lasts time.Duration) (refused []string) {
	client := c.client()
	for i, until := 0, time.Now().Add(lasts); time.Now().Before(until); i++ {
		id := fmt.Sprintf("%d%03x", number, i)
		client.lastMessage = 0
		client.query(group, id, "9000", fmt.Sprint("k", number))
		_, answer := client.answer()
		switch {
		case strings.HasPrefix(answer, "Throttled"):
			refused = append(refused, tracePrefix+id)
		case !strings.HasPrefix(answer, tracePrefix+id) && answer != "Failed why not done":
			c.t.Errorf("%s %s: answer %q", group, id, answer)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return refused
}
