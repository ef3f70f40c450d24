package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var program string

// buildCommand builds the program in deploy, in the Makefile and in these tests.
const buildCommand = "CGO_ENABLED=1 go build -ldflags=-linkmode=external"

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "railrelay")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "railrelay")
	flags := strings.Fields(buildCommand)
	build := exec.Command("go", append(flags[2:], "-race=false", "-tags", "debug", "-o", program, ".")...)
	build.Env = append(os.Environ(), flags[0])
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const waitLimit = 20 * time.Second // reached only in a failing test

// fakeEngine is an HTTP server that acts as an engine. serve handles submissions and polls.
type fakeEngine struct {
	*httptest.Server
	calls   chan string // every request in order
	serve   func(s *fakeEngine, w http.ResponseWriter, r *http.Request, id string)
	release chan struct{} // closed to finish blocked queries
}

func newFakeEngine(t *testing.T,
	serve func(*fakeEngine, http.ResponseWriter, *http.Request, string)) *fakeEngine {
	s := &fakeEngine{calls: make(chan string, 4096), serve: serve, release: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Req")
		if id == "" {
			id, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/o/"), "/")
		}
		body, _ := io.ReadAll(r.Body)
		id = strings.ReplaceAll(id, tracePrefix, "")
		s.calls <- r.Method + " " + strings.ReplaceAll(r.URL.Path, tracePrefix, "") + " " + id + " " + string(body)
		switch {
		case r.URL.Path == "/stats":
			w.Header().Set("X-Load", "inflight:1;util:0.1")
		case r.Method == "DELETE" || r.Method == "PUT":
			w.WriteHeader(204)
		default:
			s.serve(s, w, r, id)
		}
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *fakeEngine) address() string { return s.Listener.Addr().String() }

// twoPages accepts a submission with status 202 and answers polls with a result of two pages. If blocks
// is set, the query runs until release is closed.
func twoPages(blocks bool) func(*fakeEngine, http.ResponseWriter, *http.Request, string) {
	return func(s *fakeEngine, w http.ResponseWriter, r *http.Request, id string) {
		switch {
		case r.Method == "POST":
			w.WriteHeader(202)
			return
		case strings.HasSuffix(r.URL.Path, "/1"):
			w.Header().Set("Chunk", "1")
			fmt.Fprintf(w, "%s\tsecond\tpage\n", id)
			return
		case blocks:
			select {
			case <-s.release:
			case <-time.After(100 * time.Millisecond):
				w.Header().Set("X-Cache", "advance")
				w.Header().Set("Reading", "0.1")
				w.WriteHeader(202)
				return
			}
		}
		w.Header().Set("Chunks", "2")
		w.Header().Set("Elapsed-Work", "12")
		w.Header().Set("High-Water", "8")
		fmt.Fprintf(w, "%s\tfirst\tpage\n", id)
	}
}

// fakeFeed is a server that acts as the feed of the engine list.
type fakeFeed struct {
	net.Listener
	subscriptions chan string   // the SUB lines received
	connections   chan net.Conn // their connections
}

func newFakeFeed(t *testing.T) *fakeFeed {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeFeed{l, make(chan string, 64), make(chan net.Conn, 64)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				line, err := bufio.NewReader(c).ReadString('\n')
				if err == nil {
					f.connections <- c
					f.subscriptions <- strings.TrimSpace(line)
				}
			}()
		}
	}()
	return f
}

func entry(id, address, state string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"here","flavor":"std","cell":1,"phase":%q,"size":1,"up_since_ms":0}`,
		id, address, state)
}

func event(n int, complete bool, entries ...string) string {
	return fmt.Sprintf(`{"n":%d,"members":{"revision":%d,"complete":%v,"members":[%s]}}`,
		n, n, complete, strings.Join(entries, ","))
}

func (s *fakeEngine) waitForCall(t *testing.T, what string) string {
	t.Helper()
	for wait := time.After(waitLimit); ; {
		select {
		case call := <-s.calls:
			if strings.HasPrefix(call, what) {
				return call
			}
		case <-wait:
			t.Fatalf("the engine never received %q", what)
		}
	}
}
