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

// deployed is how the program is built wherever it is: in deploy, by make and here.
const deployed = "CGO_ENABLED=1 go build -ldflags=-linkmode=external"

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "railrelay")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "railrelay")
	flags := strings.Fields(deployed)
	build := exec.Command("go", append(flags[2:], "-race=false", "-tags", "debug", "-o", program, ".")...)
	build.Env = append(os.Environ(), flags[0])
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const patienceMost = 20 * time.Second // for what has to come; only a fault makes a test wait so long

// stand is an engine of our own: what it does with a statement is in do.
type stand struct {
	*httptest.Server
	told chan string // every call, as it comes
	do   func(s *stand, w http.ResponseWriter, r *http.Request, id string)
	end  chan struct{} // ends what is held
}

func newStand(t *testing.T, do func(*stand, http.ResponseWriter, *http.Request, string)) *stand {
	s := &stand{told: make(chan string, 4096), do: do, end: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Req")
		if id == "" {
			id, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/o/"), "/")
		}
		body, _ := io.ReadAll(r.Body)
		id = strings.ReplaceAll(id, pad, "")
		s.told <- r.Method + " " + strings.ReplaceAll(r.URL.Path, pad, "") + " " + id + " " + string(body)
		switch {
		case r.URL.Path == "/stats":
			w.Header().Set("X-Load", "inflight:1;util:0.1")
		case r.Method == "DELETE" || r.Method == "PUT":
			w.WriteHeader(204)
		default:
			s.do(s, w, r, id)
		}
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *stand) address() string { return s.Listener.Addr().String() }

// serves answers with two pages, after a 202; held until end is closed if holds.
func serves(holds bool) func(*stand, http.ResponseWriter, *http.Request, string) {
	return func(s *stand, w http.ResponseWriter, r *http.Request, id string) {
		switch {
		case r.Method == "POST":
			w.WriteHeader(202)
			return
		case strings.HasSuffix(r.URL.Path, "/1"):
			w.Header().Set("Chunk", "1")
			fmt.Fprintf(w, "%s\tsecond\tpage\n", id)
			return
		case holds:
			select {
			case <-s.end:
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

// feed is a list of our own.
type feed struct {
	net.Listener
	lines chan string   // the SUB lines that came
	conns chan net.Conn // and on what
}

func newFeed(t *testing.T) *feed {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &feed{l, make(chan string, 64), make(chan net.Conn, 64)}
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
					f.conns <- c
					f.lines <- strings.TrimSpace(line)
				}
			}()
		}
	}()
	return f
}

func entry(id, address, state string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"here","flavor":"std","cell":1,"phase":%q,"size":1,"up_since_ms":0}`, id, address, state)
}

func event(n int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"n":%d,"members":{"revision":%d,"complete":%v,"members":[%s]}}`, n, n, whole, strings.Join(entries, ","))
}

func (s *stand) hears(t *testing.T, what string) string {
	t.Helper()
	for wait := time.After(patienceMost); ; {
		select {
		case call := <-s.told:
			if strings.HasPrefix(call, what) {
				return call
			}
		case <-wait:
			t.Fatalf("the engine never heard %q", what)
		}
	}
}
