package main

import (
	"bufio"
	"bytes"
	"debug/elf"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

var program string

// deployed is how the program is built wherever it is: in deploy, by make and here.
const deployed = "CGO_ENABLED=1 go build -ldflags=-linkmode=external"

// The platform loads a library into each controller and counts processes: a program
// linked statically, or one that starts others, is a refused start there.
func TestIsOneDynamicallyLinkedProcess(t *testing.T) {
	for file, line := range map[string]string{
		"../../deploy/balancer.toml": `build = "mkdir -p bin && ` + deployed + ` -o bin/ ./cmd/..."`,
		"../../Makefile":             "\tmkdir -p bin && " + deployed + " -o bin/ ./cmd/...\n",
	} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(text), line) {
			t.Errorf("%s doesn't build by %q", file, deployed)
		}
	}
	text, _ := os.ReadFile("../../deploy/balancer.toml")
	if !strings.Contains(string(text), "\nrun = \"exec bin/railrelay\"") {
		t.Error("run is not one exec of the program")
	}
	file, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	needs, err := file.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(needs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Fatalf("not linked against the C library: %v, %v", needs, err)
	}
	if file.Section(".interp") == nil {
		t.Fatal("no dynamic loader is named: nothing can be loaded into it")
	}
	e, f := newStand(t, serves(false)), newFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	a := c.client()
	a.ask("lookup", "0001", "9000", "")
	a.answer()
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", c.cmd.Process.Pid))
	if len(tasks) == 0 {
		t.Skip("this kernel doesn't tell a process's children")
	}
	for _, task := range tasks {
		if children, _ := os.ReadFile(task); len(children) > 0 {
			t.Fatalf("it started others: %s", children)
		}
	}
}

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

// controller is the program, started.
type controller struct {
	t       *testing.T
	cmd     *exec.Cmd
	address string
	lines   chan map[string]any
	ended   chan error
	config  string
	limit   string // what the shell does before
}

const settings = `{"balancers":1,"me":0,"zones":["here"],"kinds":["std"],"quantum_ms":5.0,"discovery":"pushed",
"allowed":{"may_cancel":true,"may_probe":true,"second_copies":true,"max_attempts":3,"connect_timeout_ms":250.0,"keepalive_ms":15000.0,
"retry_after":true,"max_retry_after_ms":1000.0},"report":{"how":"on_probe","fields":["outstanding","utilization"]},
"obligations":{"drain_grace_ms":1000.0,"key_rest_ms":300.0,"cold_from":0.3,"warm_after_ms":15000.0,"tip_multiple":3.0,"fall_ms":1000.0},
"family_info":{"writes_tables":[false,true],"threads_by_class":[1,2],"class_waits":[true,false],"kind_cores":[8],"ram_of_kind_mb":[16384.0],
"memory_heeded":true,"lanes_count":true,"note_period_ms":2000.0,"cost_in_answers":true,"out_of_memory":"swap","most_grant":0.4},
"classes":[{"name":"lookup","effect":"read_like","importance":1.0,"objective_ms":1000.0,"deadline_ms":15000.0,"aim_stretch":1.5,"key_scope":"all"},
{"name":"load","effect":"non_idempotent","importance":6.0,"objective_ms":3000.0,"deadline_ms":25000.0,"aim_stretch":2.5,"fifo_by_key":true,"key_scope":"all"}]}`

func start(t *testing.T, feed string, sockets int, listen string, entries ...string) *controller {
	t.Helper()
	return startWith(t, settings, 192, feed, sockets, listen, entries...)
}

func startWith(t *testing.T, settings string, memoryMB int, feed string, sockets int, listen string, entries ...string) *controller {
	t.Helper()
	c := &controller{t: t, config: filepath.Join(t.TempDir(), "config.json")}
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
		"feed":%q,"known":{"n":1,"events":[%s]},"settings":%s}`, memoryMB, sockets, feed, event(1, true, entries...), settings)
	if err := os.WriteFile(c.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c.begin(listen)
	t.Cleanup(func() { c.cmd.Process.Kill() })
	return c
}

func (c *controller) begin(listen string) {
	c.t.Helper()
	c.cmd = exec.Command("/bin/sh", "-c", c.limit+"exec "+program)
	c.cmd.Env = append(os.Environ(), "RAILRELAY_LOG=info", "ROUTER_NAME=n0", "ROUTER_CONFIG="+c.config, "ROUTER_LISTEN="+listen)
	out, err := c.cmd.StderrPipe()
	if err != nil {
		c.t.Fatal(err)
	}
	if err := c.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	lines, ended := make(chan map[string]any, 4096), make(chan error, 1)
	c.lines, c.ended = lines, ended
	go func() {
		for s := bufio.NewScanner(out); s.Scan(); {
			line := map[string]any{}
			if json.Unmarshal(s.Bytes(), &line) != nil {
				line["message"] = s.Text()
			}
			lines <- line
		}
		ended <- c.cmd.Wait()
	}()
	c.address = c.said("listening")["address"].(string)
}

func (c *controller) said(what string) map[string]any {
	c.t.Helper()
	last := ""
	for wait := time.After(patienceMost); ; {
		select {
		case line := <-c.lines:
			if last = fmt.Sprint(line["message"]); strings.Contains(last, what) {
				return line
			}
		case <-wait:
			c.t.Fatalf("it never said %q, but at last %q", what, last)
		}
	}
}

func (c *controller) signal(s os.Signal) {
	if err := c.cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

func fix(s string) string { return string([]byte{byte(0xa0 | len(s))}) + s }

// client speaks to the program, one call in hand at a time or more.
type client struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
	n  byte
}

func (c *controller) client() *client {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patienceMost))
	return &client{t: c.t, Conn: conn, in: bufio.NewReader(conn)}
}

// pad makes a trace of a test's short id; engines leave it out again.
const pad = "ffffffffffff"

func (c *client) ask(group, id, patience, key string) {
	c.n++
	id = pad + id
	body := "SELECT * FROM sales_17.orders"
	fields := "\x82"
	if key != "" {
		fields, key = "\x83", fix("entity")+fix(key)
	}
	p := "\x94\x00" + string([]byte{c.n}) + fix(group) + "\x92" + fields + fix("trace") + fix(id) + fix("patience") + fix(patience) +
		key + "\xc4" + string([]byte{byte(len(body))}) + body
	if _, err := io.WriteString(c, p); err != nil {
		c.t.Fatal(err)
	}
}

// servesBoth: a lookup and a load in order come back, one after the other.
func (c *controller) servesBoth() {
	c.t.Helper()
	a := c.client()
	a.ask("lookup", "0001", "9000", "")
	a.expect(1, "0001\tfirst")
	a.ask("load", "0002", "9000", "k")
	a.expect(2, "0002\tfirst")
}

// answer reads one: the message's number, and the error's name or the body.
func (c *client) answer() (byte, string) {
	c.t.Helper()
	head := make([]byte, 5)
	if _, err := io.ReadFull(c.in, head); err != nil {
		c.t.Fatal("no answer: ", err)
	}
	next := func() int {
		b, err := c.in.ReadByte()
		if err != nil {
			c.t.Fatal(err)
		}
		return int(b)
	}
	text := func(n int) string {
		p := make([]byte, n)
		if _, err := io.ReadFull(c.in, p); err != nil {
			c.t.Fatal(err)
		}
		return string(p)
	}
	if head[3] == 0xc0 {
		switch kind := next(); kind {
		case 0xc4:
			body := text(next())
			next() // no fields
			return head[2], body
		default:
			next()
			return head[2], fmt.Sprintf("%x", kind)
		}
	}
	name := text(int(head[4] & 0x1f))
	for fields := next() & 0x0f * 2; fields > 0; fields-- {
		name += " " + text(next()&0x1f)
	}
	next()
	return head[2], name
}

func (c *client) expect(n byte, want string) {
	c.t.Helper()
	if m, got := c.answer(); m != n || !strings.HasPrefix(got, want) {
		c.t.Fatalf("%d %q, not %d %q", m, got, n, want)
	}
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

func TestServesAndCounts(t *testing.T) {
	e, f := newStand(t, serves(false)), newFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	if line := <-f.lines; line != "SUB 1" {
		t.Fatal(line)
	}
	a := c.client()
	io.WriteString(a, "\x94\x00\x63"+fix("alive")+"\x91\x80")
	a.expect(0x63, "c3")
	a.ask("lookup", "aaaa", "5000", "k")
	a.expect(1, "aaaa\tfirst\tpage\naaaa\tsecond\tpage\n")
	a.ask("load", "bbbb", "5000", "k")
	a.expect(2, "bbbb\tfirst\tpage\nbbbb\tsecond\tpage\n")
	a.ask("nothing", "cccc", "5000", "k")
	a.expect(3, "Failed")
	if post := e.hears(t, "POST"); post != "POST /o aaaa SELECT * FROM sales_17.orders" {
		t.Fatal(post)
	}
	c.signal(syscall.SIGUSR1)
	counts := c.said("taken 2 finished 2")
	if counts["cpu_ms_a_query"] == nil || !strings.Contains(fmt.Sprint(counts["message"]), "did not hold 0") {
		t.Fatal(counts)
	}
	// a connection that speaks something else ends; the others live on
	b := c.client()
	io.WriteString(b, "GET / HTTP/1.1\r\n\r\n")
	if _, err := b.in.ReadByte(); err != io.EOF {
		t.Fatal("it goes on: ", err)
	}
	a.ask("lookup", "dddd", "5000", "k")
	a.expect(4, "dddd\tfirst")
}

func TestDefersCancelsAndDrains(t *testing.T) {
	e, f := newStand(t, serves(true)), newFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	list := <-f.conns
	a := c.client()
	a.ask("lookup", "aaaa", "5000", "")
	e.hears(t, "POST")
	io.WriteString(a, "\x93\x02"+fix("cancelRequest")+"\x91\x01")
	e.hears(t, "DELETE /o/aaaa")
	// the end of a connection is its client's leaving too
	b := c.client()
	b.ask("lookup", "bbbb", "5000", "")
	e.hears(t, "POST")
	b.Close()
	e.hears(t, "DELETE /o/bbbb")
	// an unreadable line costs the connection, and no event
	io.WriteString(list, "hello\n")
	list = <-f.conns
	if <-f.lines; <-f.lines != "SUB 1" {
		t.Fatal("it forgot what it knew")
	}
	io.WriteString(list, event(2, false, entry("e1", e.address(), "DRAINING"))+"\n2\n")
	list.Close()
	<-f.conns
	if line := <-f.lines; line != "SUB 2" {
		t.Fatal(line)
	}
	a.ask("lookup", "cccc", "400", "")
	a.expect(2, "Throttled pause")
	for len(e.told) > 0 {
		if call := <-e.told; strings.HasPrefix(call, "POST") {
			t.Fatal("sent to one that drains: ", call)
		}
	}
}

func TestEnginesThatFail(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	resets := newStand(t, func(s *stand, w http.ResponseWriter, r *http.Request, _ string) {
		if r.Method == "POST" {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(500)
	})
	cuts := newStand(t, func(s *stand, w http.ResponseWriter, r *http.Request, id string) {
		w.Header().Set("Chunks", "1")
		io.WriteString(w, "half a row")
	})
	e, f := newStand(t, serves(false)), newFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"), entry("e2", closed.Addr().String(), "SERVING"),
		entry("e3", resets.address(), "SERVING"), entry("e4", cuts.address(), "SERVING"))
	a := c.client()
	finished := 0
	for i := range 20 {
		a.ask("lookup", fmt.Sprintf("a%03d", i), "5000", "")
		if n, got := a.answer(); n != byte(i+1) || strings.Contains(got, "half") {
			t.Fatal(n, got)
		} else if strings.HasPrefix(got, fmt.Sprintf("a%03d\tfirst", i)) {
			finished++
		}
	}
	if finished < 10 {
		t.Fatal("finished only ", finished)
	}
	// a load that a reset engine may have run is not sent again
	for i := range 10 {
		a.ask("load", fmt.Sprintf("b%03d", i), "5000", fmt.Sprint(i))
		a.answer()
	}
	posts := map[string]int{}
	for _, s := range []*stand{resets, cuts, e} {
		for len(s.told) > 0 {
			if call := <-s.told; strings.HasPrefix(call, "POST /o b") {
				posts[call]++
			}
		}
	}
	if len(posts) < 5 {
		t.Fatal("few were sent: ", posts)
	}
	for call, n := range posts {
		if n > 1 {
			t.Fatal("sent again, and may have run: ", call)
		}
	}
}

func TestEndsWithWorkInHand(t *testing.T) {
	e, f := newStand(t, serves(true)), newFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	a := c.client()
	a.ask("lookup", "aaaa", "5000", "")
	e.hears(t, "POST")
	c.signal(syscall.SIGTERM)
	c.said("stopping")
	b := c.client() // they still come for a while
	b.ask("lookup", "bbbb", "5000", "")
	e.hears(t, "POST")
	close(e.end)
	a.expect(1, "aaaa\tfirst")
	b.expect(1, "bbbb\tfirst")
	c.said("taken 2 finished 2")
	if err := <-c.ended; err != nil {
		t.Fatal("it ended with ", err)
	}
	// and it starts from nothing under the same address, even after a kill
	c.begin(c.address)
	c.client().ask("lookup", "cccc", "5000", "")
	e.hears(t, "POST")
	c.signal(syscall.SIGKILL)
	<-c.ended
	c.begin(c.address)
	d := c.client()
	d.ask("lookup", "dddd", "5000", "")
	d.expect(1, "dddd\tfirst")
}

func TestReload(t *testing.T) {
	e, f, next := newStand(t, serves(true)), newFeed(t), newFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	old := <-f.conns
	<-f.lines
	io.WriteString(old, event(2, false, entry("e2", "127.0.0.1:1", "DELETED"))+"\n")
	a := c.client()
	a.ask("lookup", "aaaa", "5000", "")
	e.hears(t, "POST")
	good, err := os.ReadFile(c.config)
	if err != nil {
		t.Fatal(err)
	}
	// what can't be read, or names no feed, changes nothing
	for _, text := range []string{string(good[:len(good)/2]), "", strings.Replace(string(good), f.Addr().String(), "nowhere", 1)} {
		os.WriteFile(c.config, []byte(text), 0o600)
		c.signal(syscall.SIGHUP)
		c.said("kept as it was")
	}
	os.Remove(c.config)
	c.signal(syscall.SIGHUP)
	c.said("kept as it was")
	moved := strings.Replace(string(good), f.Addr().String(), next.Addr().String(), 1)
	os.WriteFile(c.config, []byte(strings.Replace(moved, "192", "96", 1)), 0o600)
	c.signal(syscall.SIGHUP)
	if what := c.said("can't be changed"); what["what"] != "limits" {
		t.Fatal(what)
	}
	c.said("read again")
	fresh := <-next.conns
	if line := <-next.lines; line != "SUB 2" {
		t.Fatal("it forgot what it knew, or asked for all: ", line)
	}
	if _, err := old.Read(make([]byte, 1)); err == nil {
		t.Fatal("the old connection is kept")
	}
	io.WriteString(fresh, event(3, false, entry("e1", e.address(), "DRAINING"))+"\n")
	for range 3 { // as often as it comes
		c.signal(syscall.SIGHUP)
		c.said("read again")
	}
	close(e.end)
	a.expect(1, "aaaa\tfirst") // what was open is served
	c.signal(syscall.SIGUSR1)
	c.said("list event 3 connections 2 faults 0 reloads 4")
}

func TestKeepsItsLimits(t *testing.T) {
	const sockets = 64
	e, f := newStand(t, serves(true)), newFeed(t)
	c := start(t, f.Addr().String(), sockets, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	var all []*client
	for range 4 {
		a := c.client()
		all = append(all, a)
		for i := range 30 {
			a.ask("lookup", fmt.Sprintf("%02d%02d", len(all), i), "15000", "")
		}
	}
	within := func() {
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid))
		if err != nil {
			t.Skip("no way to count descriptors here: ", err)
		}
		if len(fds) > sockets {
			t.Fatalf("%d descriptors of %d", len(fds), sockets)
		}
	}
	for range 8 {
		e.hears(t, "POST")
		within()
	}
	close(e.end)
	for _, a := range all {
		for range 30 {
			if _, got := a.answer(); strings.HasPrefix(got, "Failed") {
				t.Fatal(got)
			}
			within()
		}
	}
}

func TestOutOfDescriptors(t *testing.T) {
	e, f := newStand(t, serves(false)), newFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	c.signal(syscall.SIGKILL)
	<-c.ended
	c.limit = "ulimit -n 24; "
	c.begin("127.0.0.1:0")
	var all []net.Conn
	for range 40 {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, conn)
	}
	c.said("can't accept")
	for _, conn := range all {
		conn.Close()
	}
	a := c.client()
	a.ask("lookup", "aaaa", "5000", "")
	a.expect(1, "aaaa\tfirst")
}

func TestRudeClients(t *testing.T) {
	e, f := newStand(t, serves(false)), newFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	call := func(fields, body string) string {
		return "\x94\x00\x01" + fix("lookup") + "\x92" + fields + body
	}
	trace, wait := fix("trace")+fix("00000000000000ab"), fix("patience")+fix("5000")
	rude := map[string]string{
		"nothing":                  "",
		"half a call":              call("\x82"+trace+wait, "\xc4\x20SELECT"),
		"what is no call":          "\xc1\xff\x00",
		"a body of 60 MB":          call("\x82"+trace+wait, "\xc6\x03\x93\x87\x00") + strings.Repeat("x", 1<<20),
		"no trace":                 call("\x81"+wait, "\xc4\x01;"),
		"no figure":                call("\x82"+trace+fix("patience")+fix("soon"), "\xc4\x01;"),
		"a figure out of range":    call("\x82"+trace+fix("patience")+fix("86400000"), "\xc4\x01;"),
		"two of one number":        strings.Repeat(call("\x82"+trace+wait, "\xc4\x01;"), 2),
		"a class that isn't there": strings.Replace(call("\x82"+trace+wait, "\xc4\x01;"), "lookup", "lookUp", 1),
		"a list of millions":       "\x94\x00\x01\xa1x\xdd\x00\xff\xff\xff",
	}
	answers := make(chan string)
	for what, text := range rude {
		conn := c.client()
		go func() {
			conn.Write([]byte(text)) // it may be cut off in the middle
			// some word, or the end: more than a line of it nobody is owed
			head := make([]byte, 4)
			if _, err := io.ReadFull(conn.in, head); err == nil && head[3] == 0xc0 {
				what += " was served"
			}
			answers <- what
		}()
	}
	for range 200 { // those that say nothing don't keep the others out
		c.client()
	}
	for i := range 5 {
		good := c.client() // what idles may have to make way; who asks does not
		good.ask("lookup", fmt.Sprintf("e%03d", i), "5000", "")
		good.expect(1, fmt.Sprintf("e%03d\tfirst", i))
	}
	for wait := time.After(patienceMost); len(rude) > 0; {
		select {
		case what := <-answers:
			if _, known := rude[what]; !known {
				t.Fatal(what)
			}
			delete(rude, what)
		case <-wait:
			t.Fatal("no word to ", rude)
		}
	}
	good := c.client()
	good.ask("lookup", "eeee", "5000", "")
	good.expect(1, "eeee\tfirst")
}

func TestGarblingEngines(t *testing.T) {
	page := func(id string) string { return id + "\tfirst\tpage\n" }
	whole := func(id string, length int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nChunks: 1\r\nContent-Length: %d\r\n\r\n%s", length, page(id))
	}
	spoilt := []func(id string) string{
		func(string) string { return "\x00\x01 noise \r\n\r\n" },
		func(id string) string { return whole(id, 3_000_000_000) },
		func(id string) string { return whole(id, 900) },
		func(id string) string { return whole(id, 5) },
		func(id string) string { return whole(id, len(page(id)))[:30] },
		func(id string) string {
			return "HTTP/1.1 100 Go on\r\n\r\n" + strings.Repeat(whole(id, len(page(id))), 2)
		},
		func(string) string { return "HTTP/1.1 200 OK\r\nChunks: one\r\nContent-Length: 0\r\n\r\n" },
		func(string) string { return "" },
	}
	met := make(chan map[string]bool, 1)
	met <- map[string]bool{}
	e := newStand(t, func(s *stand, w http.ResponseWriter, r *http.Request, id string) {
		seen := <-met
		first := !seen[id]
		seen[id] = seen[id] || r.Method == "GET"
		met <- seen
		switch {
		case r.Method == "POST":
			w.WriteHeader(202)
		case first:
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			var i int
			fmt.Sscanf(id, "a%03d", &i)
			io.WriteString(conn, spoilt[i%len(spoilt)](id))
			t.Cleanup(func() { conn.Close() }) // it stays open, and says no more
		default:
			w.Header().Set("Chunks", "1")
			io.WriteString(w, page(id))
		}
	})
	c := start(t, newFeed(t).Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	a := c.client()
	for i := range 2 * len(spoilt) {
		id := fmt.Sprintf("a%03d", i)
		a.ask([]string{"lookup", "load"}[i%2], id, "15000", []string{"", id}[i%2])
		a.expect(byte(i+1), page(id))
	}
	c.signal(syscall.SIGUSR1)
	c.said("did not hold 0")
}

func TestConfigThatIsMissing(t *testing.T) {
	for config, want := range map[string]string{"/does/not/exist": "no config", os.DevNull: "config:"} {
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
		out, err := cmd.CombinedOutput()
		if err == nil || bytes.Count(out, []byte("\n")) != 1 || !bytes.Contains(out, []byte(want)) {
			t.Errorf("%v %s", err, out)
		}
	}
}

// Other deployments have more controllers and engines than any that was played:
// nothing may be sized for those. Each of the engines has an address of its own,
// behind which one stand-in listens on all.
func TestAThousandOfEach(t *testing.T) {
	for _, n := range []int{1024, 1500} {
		e, f := newStand(t, serves(false)), newFeed(t)
		all, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			t.Fatal(err)
		}
		go http.Serve(all, e.Config.Handler)
		defer all.Close()
		_, port, _ := net.SplitHostPort(all.Addr().String())
		var first, later []string
		for i := range n {
			address := fmt.Sprintf("127.1.%d.%d:%s", i/200, 1+i%200, port)
			first = append(first, entry(fmt.Sprint("e", i), address, "SERVING"))
			later = append(later, entry(fmt.Sprint("e", i), address, "DELETED"), entry(fmt.Sprint("n", i), address, "SERVING"))
		}
		c := startWith(t, strings.Replace(settings, `"balancers":1,"me":0`, fmt.Sprintf(`"balancers":%d,"me":%d`, n, n-1), 1), 32,
			f.Addr().String(), 256, "127.0.0.1:0", first...)
		<-f.lines
		a := c.client()
		a.ask("lookup", "0001", "9000", "")
		a.expect(1, "0001\tfirst")
		conn := <-f.conns // every one of them is replaced, in one event
		fmt.Fprintln(conn, event(2, false, later...))
		a.ask("load", "0002", "9000", "k")
		a.expect(2, "0002\tfirst")
		c.signal(syscall.SIGUSR1)
		if said := c.said("list event")["message"].(string); !strings.Contains(said, "list event 2 ") {
			t.Fatal(said)
		}
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
		_, resident, _ := strings.Cut(string(text), "VmRSS:")
		resident, _, _ = strings.Cut(strings.TrimSpace(resident), " ")
		if kB, err := strconv.Atoi(resident); err != nil || kB > 32<<10 {
			t.Fatalf("%s kB with %d engines, of 32 MB", resident, n)
		}
	}
}

// Settings that are odd are said, field by field, and the program serves all the same.
func TestOddSettingsAreSaidAndServed(t *testing.T) {
	e, f := newStand(t, serves(false)), newFeed(t)
	odd := strings.NewReplacer(`"balancers":1`, `"balancers":0`, `"effect":"non_idempotent"`, `"effect":"whatever"`,
		`"objective_ms":3000.0`, `"objective_ms":"soon"`).Replace(settings)
	startWith(t, odd, 64, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"), entry("e2", e.address(), "WHATEVER")).servesBoth()
}
