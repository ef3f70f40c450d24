package eventloop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/emulator/client"
)

// This file runs a controller on the loopback network with a fake engine, a fake discovery service and
// clients, which a test can hold at named points. Tests wait for calls and log lines, not for times.

const testTimeout = 20 * time.Second // for an expected event; only a failing test waits so long

// lineRecorder keeps lines, and lets a test wait for a line.
type lineRecorder struct {
	t       testing.TB
	mu      sync.Mutex
	lines   []string
	changed chan struct{} // closed when a line is added
}

func newLineRecorder(t testing.TB) *lineRecorder {
	return &lineRecorder{t: t, changed: make(chan struct{})}
}

func (r *lineRecorder) Write(p []byte) (int, error) {
	r.add(string(p))
	return len(p), nil
}

func (r *lineRecorder) add(line string) {
	r.mu.Lock()
	r.lines = append(r.lines, line)
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
}

// count returns the number of lines that contain all parts.
func (r *lineRecorder) count(parts ...string) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.lines {
		containsAll := true
		for _, part := range parts {
			containsAll = containsAll && strings.Contains(line, part)
		}
		if containsAll {
			count++
		}
	}
	return count
}

// wait returns once n lines contain all parts.
func (r *lineRecorder) wait(count int, parts ...string) {
	r.t.Helper()
	for timeout := time.After(testTimeout); ; {
		r.mu.Lock()
		changed := r.changed
		r.mu.Unlock()
		if r.count(parts...) >= count {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			r.mu.Lock()
			defer r.mu.Unlock()
			r.t.Fatalf("timed out waiting for %d lines with %q; the last lines:\n%s", count, parts,
				strings.Join(r.lines[max(0, len(r.lines)-30):], ""))
		}
	}
}

// fakeEngine is an engine that responds by itself, except to calls that a test holds.
type fakeEngine struct {
	t testing.TB
	net.Listener
	calls    *lineRecorder // "accepted", and "METHOD id;" for each call that was read completely
	mu       sync.Mutex
	holds    map[string]chan string // by call: the responses that a test writes to a held call
	finished map[string]bool        // by query: the engine responds with its result
	posts    map[string]time.Time   // by query: when its last POST was read
	conns    []net.Conn
	pageRows string // the body of each further page of a result
}

// setPageRows sets the body of each further page of a result.
func (e *fakeEngine) setPageRows(rows string) {
	e.mu.Lock()
	e.pageRows = rows
	e.mu.Unlock()
}

func startEngine(t testing.TB, listener net.Listener) *fakeEngine {
	if listener == nil {
		listener = listen(t)
	}
	engine := &fakeEngine{t: t, Listener: listener, calls: newLineRecorder(t), holds: map[string]chan string{},
		finished: map[string]bool{}, posts: map[string]time.Time{}}
	t.Cleanup(engine.stop)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			engine.mu.Lock()
			engine.conns = append(engine.conns, conn)
			engine.mu.Unlock()
			engine.calls.add("accepted")
			go engine.serve(conn)
		}
	}()
	return engine
}

func (e *fakeEngine) stop() {
	e.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.Close()
	}
}

func listen(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// connectionPair returns both ends of a TCP connection.
func connectionPair(t testing.TB) (ours, theirs net.Conn) {
	listener := listen(t)
	theirs, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if ours, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	return ours, theirs
}

// hold makes the next call with this method for a query wait. Each text that is sent on the channel is
// written as it is, "" writes the usual response, and "reset" and "close" end the connection.
func (e *fakeEngine) hold(method, id string) chan<- string {
	responses := make(chan string, 8)
	e.mu.Lock()
	e.holds[method+" "+id] = responses
	e.mu.Unlock()
	return responses
}

// finish ends a query with a result. The next response for the query contains the result.
func (e *fakeEngine) finish(id string) {
	e.mu.Lock()
	e.finished[id] = true
	e.mu.Unlock()
}

func (e *fakeEngine) isFinished(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.finished[id]
}

// lastPost returns when the engine read the last POST of a query, false if there was none.
func (e *fakeEngine) lastPost(id string) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.posts[id]
	return at, ok
}

func resultResponse(id string) string {
	row := id + "\tof\tit\n"
	return fmt.Sprintf(
		"HTTP/1.1 200 x\r\nChunks: 1\r\nElapsed-Work: 9\r\nHigh-Water: 4\r\nContent-Length: %d\r\n\r\n%s",
		len(row), row)
}

func statusResponse(status int, fields string) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " x\r\n" + fields + "Content-Length: 0\r\n\r\n"
}

func (e *fakeEngine) serve(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Req")
		if id == "" {
			id, _, _ = strings.Cut(strings.TrimPrefix(request.URL.Path, "/o/"), "/")
		}
		call := request.Method + " " + id
		e.mu.Lock()
		responses := e.holds[call]
		delete(e.holds, call)
		if request.Method == "POST" {
			e.posts[id] = time.Now()
		}
		e.mu.Unlock()
		e.calls.add(call + ";")
		answer := statusResponse(202, "")
		switch {
		case request.Method == "DELETE" || request.Method == "PUT":
			answer = statusResponse(204, "")
		case request.Method == "GET" && !strings.HasSuffix(request.URL.Path, "/0"):
			e.mu.Lock()
			answer = fmt.Sprintf("HTTP/1.1 200 x\r\nChunk: %s\r\nContent-Length: %d\r\n\r\n%s",
				request.URL.Path[strings.LastIndex(request.URL.Path, "/")+1:], len(e.pageRows), e.pageRows)
			e.mu.Unlock()
		case request.Method == "GET":
			// Like an engine, holds the call until the query is finished or for a while.
			for since := time.Now(); !e.isFinished(id) && time.Since(since) < 200*time.Millisecond; {
				time.Sleep(2 * time.Millisecond)
			}
			if e.isFinished(id) {
				answer = resultResponse(id)
			}
		}
		if responses != nil {
			for response := range responses {
				if response == "reset" {
					conn.(*net.TCPConn).SetLinger(0)
				}
				if response == "reset" || response == "close" {
					return
				}
				if response == "" {
					break
				}
				if _, err := io.WriteString(conn, response); err != nil {
					return
				}
				answer = ""
				if strings.HasPrefix(response, "HTTP") && strings.HasSuffix(response, "\n") {
					break
				}
			}
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// listenWithFullBacklog returns a listener whose accept queue is full. A connection to it is
// established only after the listener accepts one, when the kernel retries.
func listenWithFullBacklog(t testing.TB) net.Listener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "jammed")
	listener, err := net.FileListener(file)
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	for range 8 { // more than the shortest accept queue takes
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return listener
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("the accept queue never fills")
	return nil
}

// fakeDiscovery is a discovery service that sends only what a test writes.
type fakeDiscovery struct {
	t testing.TB
	net.Listener
	subscriptions chan string // the SUB lines of subscribers
	conns         chan net.Conn
}

func startDiscovery(t testing.TB, listener net.Listener) *fakeDiscovery {
	if listener == nil {
		listener = listen(t)
	}
	discovery := &fakeDiscovery{t, listener, make(chan string, 256), make(chan net.Conn, 256)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				if line, err := bufio.NewReader(conn).ReadString('\n'); err == nil {
					discovery.conns <- conn
					discovery.subscriptions <- strings.TrimSpace(line)
				}
			}()
		}
	}()
	return discovery
}

// awaitSubscription waits for the next subscriber and returns its connection and SUB line.
func (d *fakeDiscovery) awaitSubscription() (net.Conn, string) {
	d.t.Helper()
	select {
	case c := <-d.conns:
		return c, <-d.subscriptions
	case <-time.After(testTimeout):
		d.t.Fatal("no subscription")
		return nil, ""
	}
}

// endpointEvent returns discovery event n, which lists endpoints.
func endpointEvent(number int, complete bool, entries ...string) string {
	return fmt.Sprintf(`{"n":%d,"members":{"revision":%d,"complete":%v,"members":[%s]}}`, number, number,
		complete, strings.Join(entries, ","))
}

func endpoint(id string, listener net.Listener, state string) string {
	return fmt.Sprintf(
		`{"id":%q,"host_port":%q,"locality":"quay","flavor":"std","cell":1,"phase":%q,"size":1,"up_since_ms":0}`,
		id, listener.Addr(), state)
}

// drainGrace is the setting drain.grace: how long after its drain is announced an engine may still be
// sent queries.
const drainGrace = 400 * time.Millisecond

// testSettings returns settings with short times, so that behaviour that takes seconds in production
// shows in a test.
func testSettings(overrides map[string]string) map[string]string {
	settings := map[string]string{
		"gateways": "1", "own.number": "0", "groups": "3",
		"loads": "false,false,true", "waits": "false,false,false",
		"threads": "1,1,1", "kinds": "std", "locations": "quay", "kind.cores": "16",
		"kind.memory": "4096", "grant.most": "0.4",
		"may.cancel": "true", "may.probe": "false", "may.copy": "true", "may.name-return": "true",
		"return.most": "50", "submissions.most": "3", "note.period": "2000", "tick": "5",
		"drain.grace": strconv.FormatInt(drainGrace.Milliseconds(), 10), "report.how": "off",
		"answers.cost": "true", "key.rest": "60", "connect.timeout": "250", "idle.most": "15000",
	}
	// squall is read-only, entry is mutating and in order by key, and haul is mutating and a load.
	for i, name := range []string{"squall", "entry", "haul"} {
		prefix := "group." + strconv.Itoa(i) + "."
		settings[prefix+"name"], settings[prefix+"value"], settings[prefix+"effect"] = name, "1", "mutating"
		settings[prefix+"target"], settings[prefix+"timeout"], settings[prefix+"stretch"] = "600", "60000", "1"
	}
	settings["group.0.effect"], settings["group.1.in-order"] = "read-only", "true"
	for k, v := range overrides {
		settings[k] = v
	}
	return settings
}

// harness is a running controller with its engine, discovery service and log.
type harness struct {
	t         testing.TB
	log       *lineRecorder
	engine    *fakeEngine
	discovery *fakeDiscovery
	requests  chan controller.Event
	done      chan error
	address   string
	stop      context.CancelFunc
}

type harnessOptions struct {
	settings         map[string]string
	maxDescriptors   int
	clientLimits     []controller.ClientLimits
	engineState      string       // of the engine at the start; "": SERVING
	engineListener   net.Listener // nil: a fakeEngine
	moreEndpoints    []string     // in the initial list
	discoveryAddress string       // "": the address of the harness's fakeDiscovery
}

func startHarness(t testing.TB, opts harnessOptions) *harness {
	t.Helper()
	h := &harness{t: t, log: newLineRecorder(t), requests: make(chan controller.Event),
		done: make(chan error, 1)}
	engineListener := opts.engineListener
	if engineListener == nil {
		h.engine = startEngine(t, nil)
		engineListener = h.engine.Listener
	}
	h.discovery = startDiscovery(t, nil)
	if opts.maxDescriptors == 0 {
		opts.maxDescriptors = 256
	}
	if opts.engineState == "" {
		opts.engineState = "SERVING"
	}
	if opts.discoveryAddress == "" {
		opts.discoveryAddress = h.discovery.Addr().String()
	}
	endpoints := endpointEvent(1, true, append([]string{endpoint("e1", engineListener, opts.engineState)},
		opts.moreEndpoints...)...)
	config := controller.Config{Seed: 5, MemoryMB: 64, MaxDescriptors: opts.maxDescriptors,
		DiscoveryAddress: opts.discoveryAddress, Settings: testSettings(opts.settings),
		StartedAt: time.Now(), TraceQueries: true,
		ClientLimits: opts.clientLimits, FieldNames: controller.FieldNames{IdempotencyKey: "nonce"},
		InitialEndpoints: []byte(`{"n":1,"events":[` + endpoints + `]}`)}
	front := listen(t)
	h.address = front.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	log := zerolog.New(h.log).Level(zerolog.DebugLevel)
	go func() { h.done <- Serve(ctx, front, config, nil, FleetChannels{}, h.requests, log) }()
	t.Cleanup(stop)
	return h
}

// request sends the controller an event of the operator.
func (h *harness) request(kind controller.EventKind) {
	h.t.Helper()
	select {
	case h.requests <- controller.Event{Kind: kind, DiscoveryAddress: h.discovery.Addr().String()}:
	case <-time.After(testTimeout):
		h.t.Fatal("the controller doesn't take the event")
	}
}

// shutDown requests a shutdown and waits until the controller exits.
func (h *harness) shutDown() {
	h.t.Helper()
	h.request(controller.ShutdownRequested)
	h.waitForExit()
}

func (h *harness) waitForExit() {
	h.t.Helper()
	select {
	case err := <-h.done:
		if err != nil {
			h.t.Fatal(err)
		}
	case <-time.After(testTimeout):
		h.t.Fatal("the controller doesn't exit")
	}
}

// testClient is a client's connection to the controller.
type testClient struct {
	t testing.TB
	*net.TCPConn
	buffered    []byte
	lastMessage uint32
}

func (h *harness) connect() *testClient {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{t: h.t, TCPConn: conn.(*net.TCPConn)}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func traceID(n int) string { return fmt.Sprintf("%016x", n) }

// query writes a query. Each query reads tables of its own, except those of the group "haul", which
// share a table.
func (c *testClient) query(group string, n int, timeout time.Duration, more ...string) {
	c.t.Helper()
	c.lastMessage++
	tables := n
	fields := append([]string{"trace", traceID(n), "patience", strconv.FormatInt(timeout.Milliseconds(), 10)},
		more...)
	if group == "haul" {
		tables = 1
	}
	if _, err := c.Write(client.AppendQuery(nil, c.lastMessage, group,
		[]byte("SELECT * FROM sales_"+strconv.Itoa(tables)+".orders"), fields...)); err != nil {
		c.t.Fatal(err)
	}
}

func (c *testClient) cancel() {
	c.t.Helper()
	if _, err := c.Write(client.AppendCancel(nil, c.lastMessage)); err != nil {
		c.t.Fatal(err)
	}
}

// readAnswer reads the next answer, and returns false at the end of the connection.
func (c *testClient) readAnswer() (client.Answer, bool) {
	c.t.Helper()
	for p := make([]byte, 64<<10); ; {
		a, n, err := client.Read(c.buffered)
		if err != nil {
			c.t.Fatal(err)
		}
		if n > 0 {
			c.buffered = append([]byte(nil), c.buffered[n:]...)
			return a, true
		}
		n, err = c.Read(p)
		if c.buffered = append(c.buffered, p[:n]...); err != nil {
			if err != io.EOF {
				c.t.Fatalf("neither an answer nor the end of the connection: %v", err)
			}
			return a, false
		}
	}
}

// expectResult reads an answer, which must be the result of query n.
func (c *testClient) expectResult(n int) {
	c.t.Helper()
	a, ok := c.readAnswer()
	if !ok || a.Kind != client.Finished || !strings.HasPrefix(string(a.Rows), traceID(n)) {
		c.t.Fatalf("query %d: %v %+v", n, ok, a)
	}
}

// disconnects are the ways in which a client can disconnect or cancel.
var disconnects = map[string]func(c *testClient){
	"cancels":    func(c *testClient) { c.cancel() },
	"closes":     func(c *testClient) { c.Close() },
	"resets":     func(c *testClient) { c.SetLinger(0); c.Close() },
	"shuts half": func(c *testClient) { c.CloseWrite() },
}

var loopback = []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}
