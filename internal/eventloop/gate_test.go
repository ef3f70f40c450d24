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

// What stands round a controller on loopback: an engine, a feed and clients that stop at named
// points until a test lets them go on. Tests wait for what is heard or logged, never for time.

const patienceMost = 20 * time.Second // for what has to come; only a fault makes a test wait so long

// record keeps what is said, and lets a test wait for a line.
type record struct {
	t     testing.TB
	mu    sync.Mutex
	lines []string
	more  chan struct{} // closed when there is another line
}

func newRecord(t testing.TB) *record { return &record{t: t, more: make(chan struct{})} }

func (r *record) Write(p []byte) (int, error) {
	r.add(string(p))
	return len(p), nil
}

func (r *record) add(line string) {
	r.mu.Lock()
	r.lines = append(r.lines, line)
	close(r.more)
	r.more = make(chan struct{})
	r.mu.Unlock()
}

// has counts the lines that hold all of some parts.
func (r *record) has(parts ...string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		all := true
		for _, p := range parts {
			all = all && strings.Contains(l, p)
		}
		if all {
			n++
		}
	}
	return n
}

// wait returns once there are n such lines.
func (r *record) wait(n int, parts ...string) {
	r.t.Helper()
	for end := time.After(patienceMost); ; {
		r.mu.Lock()
		more := r.more
		r.mu.Unlock()
		if r.has(parts...) >= n {
			return
		}
		select {
		case <-more:
		case <-end:
			r.mu.Lock()
			defer r.mu.Unlock()
			r.t.Fatalf("%d times %q never came; last:\n%s", n, parts, strings.Join(r.lines[max(0, len(r.lines)-30):], ""))
		}
	}
}

// gate is an engine that answers by itself, but for calls that a test holds.
type gate struct {
	t testing.TB
	net.Listener
	heard *record // "POST id" for each call, once it is there whole
	mu    sync.Mutex
	holds map[string]chan string // a call waits for how it is answered
	done  map[string]bool        // queries that are over
	posts map[string]time.Time   // when the last POST of a query was read
	conns []net.Conn
	pages string // what each further page of a result is
}

// page sets it.
func (g *gate) page(rows string) {
	g.mu.Lock()
	g.pages = rows
	g.mu.Unlock()
}

func newGate(t testing.TB, l net.Listener) *gate {
	if l == nil {
		l = listen(t)
	}
	g := &gate{t: t, Listener: l, heard: newRecord(t), holds: map[string]chan string{},
		done: map[string]bool{}, posts: map[string]time.Time{}}
	t.Cleanup(g.end)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.mu.Lock()
			g.conns = append(g.conns, c)
			g.mu.Unlock()
			g.heard.add("accepted")
			go g.serve(c)
		}
	}()
	return g
}

func (g *gate) end() {
	g.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		c.Close()
	}
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// pair is the two ends of a connection.
func pair(t testing.TB) (ours, theirs net.Conn) {
	l := listen(t)
	theirs, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if ours, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return ours, theirs
}

// hold has the next such call of a query wait; what is sent on the channel is written as it is
// ("": what it would have answered), "reset" and "close" end the connection.
func (g *gate) hold(method, id string) chan<- string {
	c := make(chan string, 8)
	g.mu.Lock()
	g.holds[method+" "+id] = c
	g.mu.Unlock()
	return c
}

// over ends a query well; it is told with its next news.
func (g *gate) over(id string) {
	g.mu.Lock()
	g.done[id] = true
	g.mu.Unlock()
}

func (g *gate) isOver(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.done[id]
}

// posted returns when the engine read the last POST of a query, false if there was none.
func (g *gate) posted(id string) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.posts[id]
	return at, ok
}

func good(id string) string {
	row := id + "\tof\tit\n"
	return fmt.Sprintf("HTTP/1.1 200 x\r\nChunks: 1\r\nElapsed-Work: 9\r\nHigh-Water: 4\r\nContent-Length: %d\r\n\r\n%s", len(row), row)
}

func word(status int, fields string) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " x\r\n" + fields + "Content-Length: 0\r\n\r\n"
}

func (g *gate) serve(c net.Conn) {
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
		name := r.Method + " " + id
		g.mu.Lock()
		held := g.holds[name]
		delete(g.holds, name)
		if r.Method == "POST" {
			g.posts[id] = time.Now()
		}
		g.mu.Unlock()
		g.heard.add(name + ";")
		answer := word(202, "")
		switch {
		case r.Method == "DELETE" || r.Method == "PUT":
			answer = word(204, "")
		case r.Method == "GET" && !strings.HasSuffix(r.URL.Path, "/0"):
			g.mu.Lock()
			answer = fmt.Sprintf("HTTP/1.1 200 x\r\nChunk: %s\r\nContent-Length: %d\r\n\r\n%s", r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], len(g.pages), g.pages)
			g.mu.Unlock()
		case r.Method == "GET":
			for wait := time.Now(); !g.isOver(id) && time.Since(wait) < 200*time.Millisecond; { // as engines do
				time.Sleep(2 * time.Millisecond)
			}
			if g.isOver(id) {
				answer = good(id)
			}
		}
		if held != nil {
			for s := range held {
				if s == "reset" {
					c.(*net.TCPConn).SetLinger(0)
				}
				if s == "reset" || s == "close" {
					return
				}
				if s == "" {
					break
				}
				if _, err := io.WriteString(c, s); err != nil {
					return
				}
				answer = ""
				if strings.HasPrefix(s, "HTTP") && strings.HasSuffix(s, "\n") {
					break
				}
			}
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// jammed listens with no room for a connection: what is dialled doesn't come up until somebody
// accepts, and then only as the kernel asks again.
func jammed(t testing.TB) net.Listener {
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
	f := os.NewFile(uintptr(fd), "jammed")
	l, err := net.FileListener(f)
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	for range 8 { // as many as it takes
		c, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return l
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("it never fills")
	return nil
}

// watched is a feed that says only what a test says.
type watched struct {
	t testing.TB
	net.Listener
	asked chan string // the SUB lines
	conns chan net.Conn
}

func newWatched(t testing.TB, l net.Listener) *watched {
	if l == nil {
		l = listen(t)
	}
	w := &watched{t, l, make(chan string, 256), make(chan net.Conn, 256)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				if line, err := bufio.NewReader(c).ReadString('\n'); err == nil {
					w.conns <- c
					w.asked <- strings.TrimSpace(line)
				}
			}()
		}
	}()
	return w
}

// watch waits for the next that asks, and for what.
func (w *watched) watch() (net.Conn, string) {
	w.t.Helper()
	select {
	case c := <-w.conns:
		return c, <-w.asked
	case <-time.After(patienceMost):
		w.t.Fatal("nobody asks for the list")
		return nil, ""
	}
}

// listed is one event of the list.
func listed(n int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"n":%d,"members":{"revision":%d,"complete":%v,"members":[%s]}}`, n, n, whole, strings.Join(entries, ","))
}

func entry(id string, l net.Listener, state string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"quay","flavor":"std","cell":1,"phase":%q,"size":1,"up_since_ms":0}`, id, l.Addr(), state)
}

// drainGrace is the setting drain.grace: for how long after the news of its drain an engine may still be
// sent queries.
const drainGrace = 400 * time.Millisecond

// facts are settings of nobody's: short times, so that what is sized for seconds shows.
func facts(more map[string]string) map[string]string {
	f := map[string]string{
		"gateways": "1", "own.number": "0", "groups": "3", "loads": "false,false,true", "waits": "false,false,false",
		"threads": "1,1,1", "kinds": "std", "locations": "quay", "kind.cores": "16", "kind.memory": "4096", "grant.most": "0.4",
		"may.cancel": "true", "may.probe": "false", "may.copy": "true", "may.name-return": "true", "return.most": "50",
		"submissions.most": "3", "note.period": "2000", "tick": "5",
		"drain.grace": strconv.FormatInt(drainGrace.Milliseconds(), 10), "report.how": "off", "answers.cost": "true",
		"key.rest": "60", "connect.timeout": "250", "idle.most": "15000",
	}
	for i, name := range []string{"squall", "entry", "haul"} { // read-only; mutating in order of key; mutating, a load
		at := "group." + strconv.Itoa(i) + "."
		f[at+"name"], f[at+"value"], f[at+"effect"] = name, "1", "mutating"
		f[at+"target"], f[at+"timeout"], f[at+"stretch"] = "600", "60000", "1"
	}
	f["group.0.effect"], f["group.1.in-order"] = "read-only", "true"
	for k, v := range more {
		f[k] = v
	}
	return f
}

// yard is a controller with all that stands round it.
type yard struct {
	t       testing.TB
	log     *record
	engine  *gate
	feed    *watched
	asked   chan controller.Event
	done    chan error
	address string
	stop    context.CancelFunc
}

type options struct {
	facts   map[string]string
	sockets int
	manners []controller.ClientLimits
	state   string       // of the engine at the start
	engine  net.Listener // nil: one that accepts
	more    []string     // entries of the list
	feed    string       // its address, "": its own
}

func newYard(t testing.TB, o options) *yard {
	t.Helper()
	y := &yard{t: t, log: newRecord(t), asked: make(chan controller.Event), done: make(chan error, 1)}
	l := o.engine
	if l == nil {
		y.engine = newGate(t, nil)
		l = y.engine.Listener
	}
	y.feed = newWatched(t, nil)
	if o.sockets == 0 {
		o.sockets = 256
	}
	if o.state == "" {
		o.state = "SERVING"
	}
	if o.feed == "" {
		o.feed = y.feed.Addr().String()
	}
	known := listed(1, true, append([]string{entry("e1", l, o.state)}, o.more...)...)
	means := controller.Config{Seed: 5, MemoryMB: 64, MaxDescriptors: o.sockets, DiscoveryAddress: o.feed, Settings: facts(o.facts), StartedAt: time.Now(), TraceQueries: true,
		ClientLimits: o.manners, FieldNames: controller.FieldNames{IdempotencyKey: "nonce"}, InitialEndpoints: []byte(`{"n":1,"events":[` + known + `]}`)}
	front := listen(t)
	y.address = front.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	y.stop = stop
	log := zerolog.New(y.log).Level(zerolog.DebugLevel)
	go func() { y.done <- Serve(ctx, front, means, nil, FleetChannels{}, y.asked, log) }()
	t.Cleanup(stop)
	return y
}

// tell has the reducer hear what no connection says.
func (y *yard) tell(k controller.EventKind) {
	y.t.Helper()
	select {
	case y.asked <- controller.Event{Kind: k, DiscoveryAddress: y.feed.Addr().String()}:
	case <-time.After(patienceMost):
		y.t.Fatal("nobody takes it")
	}
}

// ends stops the controller and waits until it has gone.
func (y *yard) ends() {
	y.t.Helper()
	y.tell(controller.ShutdownRequested)
	y.gone()
}

func (y *yard) gone() {
	y.t.Helper()
	select {
	case err := <-y.done:
		if err != nil {
			y.t.Fatal(err)
		}
	case <-time.After(patienceMost):
		y.t.Fatal("it doesn't end")
	}
}

// asker is a client's connection.
type asker struct {
	t testing.TB
	*net.TCPConn
	in   []byte
	msgs uint32
}

func (y *yard) client() *asker {
	y.t.Helper()
	c, err := net.Dial("tcp", y.address)
	if err != nil {
		y.t.Fatal(err)
	}
	y.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patienceMost))
	return &asker{t: y.t, TCPConn: c.(*net.TCPConn)}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func id(n int) string { return fmt.Sprintf("%016x", n) }

// ask writes a query for tables of its own, unless more names some.
func (c *asker) ask(group string, n int, patience time.Duration, more ...string) {
	c.t.Helper()
	c.msgs++
	tables := n
	fields := append([]string{"trace", id(n), "patience", strconv.FormatInt(patience.Milliseconds(), 10)}, more...)
	if group == "haul" {
		tables = 1
	}
	if _, err := c.Write(client.Call(nil, c.msgs, group, []byte("SELECT * FROM sales_"+strconv.Itoa(tables)+".orders"), fields...)); err != nil {
		c.t.Fatal(err)
	}
}

func (c *asker) cancel() {
	c.t.Helper()
	if _, err := c.Write(client.Cancel(nil, c.msgs)); err != nil {
		c.t.Fatal(err)
	}
}

// answer reads the next one; false at the connection's end.
func (c *asker) answer() (client.Answer, bool) {
	c.t.Helper()
	for p := make([]byte, 64<<10); ; {
		a, n, err := client.Read(c.in)
		if err != nil {
			c.t.Fatal(err)
		}
		if n > 0 {
			c.in = append([]byte(nil), c.in[n:]...)
			return a, true
		}
		n, err = c.Read(p)
		if c.in = append(c.in, p[:n]...); err != nil {
			if err != io.EOF {
				c.t.Fatalf("neither an answer nor its end: %v", err)
			}
			return a, false
		}
	}
}

// finished reads an answer, which must be this query's result.
func (c *asker) finished(n int) {
	c.t.Helper()
	a, ok := c.answer()
	if !ok || a.Kind != client.Finished || !strings.HasPrefix(string(a.Rows), id(n)) {
		c.t.Fatalf("query %d: %v %+v", n, ok, a)
	}
}

// gone: how a client goes.
var gone = map[string]func(c *asker){
	"cancels":    func(c *asker) { c.cancel() },
	"closes":     func(c *asker) { c.Close() },
	"resets":     func(c *asker) { c.SetLinger(0); c.Close() },
	"shuts half": func(c *asker) { c.CloseWrite() },
}

var loopback = []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}
