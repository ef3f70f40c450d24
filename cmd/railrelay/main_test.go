package main

import (
	"bytes"
	"debug/elf"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The platform loads a library into each controller and counts its processes. It refuses to start a
// program that is statically linked or starts other processes.
func TestIsOneDynamicallyLinkedProcess(t *testing.T) {
	for file, line := range map[string]string{
		"../../deploy/balancer.toml": `build = "mkdir -p bin && ` + buildCommand + ` -o bin/ ./cmd/..."`,
		"../../Makefile":             "\tmkdir -p bin && " + buildCommand + " -o bin/ ./cmd/...\n",
	} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(text), line) {
			t.Errorf("%s does not build with %q", file, buildCommand)
		}
	}
	text, _ := os.ReadFile("../../deploy/balancer.toml")
	if !strings.Contains(string(text), "\nrun = \"exec bin/railrelay\"") {
		t.Error("run is not a single exec of the program")
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
		t.Fatal("no dynamic loader: libraries cannot be loaded into the program")
	}
	e, f := newFakeEngine(t, twoPages(false)), newFakeFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	a := c.client()
	a.query("lookup", "0001", "9000", "")
	a.answer()
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", c.cmd.Process.Pid))
	if len(tasks) == 0 {
		t.Skip("the kernel does not list a process's children")
	}
	for _, task := range tasks {
		if children, _ := os.ReadFile(task); len(children) > 0 {
			t.Fatalf("the program started other processes: %s", children)
		}
	}
}

func TestServesQueriesAndLogsCounters(t *testing.T) {
	e, f := newFakeEngine(t, twoPages(false)), newFakeFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	if line := <-f.subscriptions; line != "SUB 1" {
		t.Fatal(line)
	}
	a := c.client()
	io.WriteString(a, "\x94\x00\x63"+fixString("alive")+"\x91\x80")
	a.expect(0x63, "c3")
	a.query("lookup", "aaaa", "5000", "k")
	a.expect(1, "aaaa\tfirst\tpage\naaaa\tsecond\tpage\n")
	a.query("load", "bbbb", "5000", "k")
	a.expect(2, "bbbb\tfirst\tpage\nbbbb\tsecond\tpage\n")
	a.query("nothing", "cccc", "5000", "k")
	a.expect(3, "Failed")
	if post := e.waitForCall(t, "POST"); post != "POST /o aaaa SELECT * FROM sales_17.orders" {
		t.Fatal(post)
	}
	c.signal(syscall.SIGUSR1)
	counts := c.waitForLog("taken 2 finished 2")
	if counts["cpu_ms_a_query"] == nil || !strings.Contains(fmt.Sprint(counts["message"]), "did not hold 0") {
		t.Fatal(counts)
	}
	// A connection with another protocol is closed; the other connections stay open.
	b := c.client()
	io.WriteString(b, "GET / HTTP/1.1\r\n\r\n")
	if _, err := b.in.ReadByte(); err != io.EOF {
		t.Fatal("the connection is still open: ", err)
	}
	a.query("lookup", "dddd", "5000", "k")
	a.expect(4, "dddd\tfirst")
}

func TestCancelsDisconnectsAndDrains(t *testing.T) {
	e, f := newFakeEngine(t, twoPages(true)), newFakeFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	feed := <-f.connections
	a := c.client()
	a.query("lookup", "aaaa", "5000", "")
	e.waitForCall(t, "POST")
	io.WriteString(a, "\x93\x02"+fixString("cancelRequest")+"\x91\x01")
	e.waitForCall(t, "DELETE /o/aaaa")
	// Closing the connection also cancels the query.
	b := c.client()
	b.query("lookup", "bbbb", "5000", "")
	e.waitForCall(t, "POST")
	b.Close()
	e.waitForCall(t, "DELETE /o/bbbb")
	// An invalid line closes the feed connection, but no event is lost.
	io.WriteString(feed, "hello\n")
	feed = <-f.connections
	if <-f.subscriptions; <-f.subscriptions != "SUB 1" {
		t.Fatal("the number of the latest event was lost")
	}
	io.WriteString(feed, event(2, false, entry("e1", e.address(), "DRAINING"))+"\n2\n")
	feed.Close()
	<-f.connections
	if line := <-f.subscriptions; line != "SUB 2" {
		t.Fatal(line)
	}
	a.query("lookup", "cccc", "400", "")
	a.expect(2, "Throttled pause")
	for len(e.calls) > 0 {
		if call := <-e.calls; strings.HasPrefix(call, "POST") {
			t.Fatal("submitted to a draining engine: ", call)
		}
	}
}

func TestFailingEngines(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	resets := newFakeEngine(t, func(s *fakeEngine, w http.ResponseWriter, r *http.Request, _ string) {
		if r.Method == "POST" {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(500)
	})
	cuts := newFakeEngine(t, func(s *fakeEngine, w http.ResponseWriter, r *http.Request, id string) {
		w.Header().Set("Chunks", "1")
		io.WriteString(w, "half a row")
	})
	e, f := newFakeEngine(t, twoPages(false)), newFakeFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"),
		entry("e2", closed.Addr().String(), "SERVING"),
		entry("e3", resets.address(), "SERVING"), entry("e4", cuts.address(), "SERVING"))
	a := c.client()
	finished := 0
	for i := range 20 {
		a.query("lookup", fmt.Sprintf("a%03d", i), "5000", "")
		if n, got := a.answer(); n != byte(i+1) || strings.Contains(got, "half") {
			t.Fatal(n, got)
		} else if strings.HasPrefix(got, fmt.Sprintf("a%03d\tfirst", i)) {
			finished++
		}
	}
	if finished < 10 {
		t.Fatal("too few queries finished: ", finished)
	}
	// A load that an engine may have run before the reset is not submitted again.
	for i := range 10 {
		a.query("load", fmt.Sprintf("b%03d", i), "5000", fmt.Sprint(i))
		a.answer()
	}
	posts := map[string]int{}
	for _, s := range []*fakeEngine{resets, cuts, e} {
		for len(s.calls) > 0 {
			if call := <-s.calls; strings.HasPrefix(call, "POST /o b") {
				posts[call]++
			}
		}
	}
	if len(posts) < 5 {
		t.Fatal("too few loads were submitted: ", posts)
	}
	for call, n := range posts {
		if n > 1 {
			t.Fatal("submitted again, though it may have run: ", call)
		}
	}
}

func TestShutdownFinishesOpenQueries(t *testing.T) {
	e, f := newFakeEngine(t, twoPages(true)), newFakeFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	a := c.client()
	a.query("lookup", "aaaa", "5000", "")
	e.waitForCall(t, "POST")
	c.signal(syscall.SIGTERM)
	c.waitForLog("stopping")
	b := c.client() // clients still connect for a while
	b.query("lookup", "bbbb", "5000", "")
	e.waitForCall(t, "POST")
	close(e.release)
	a.expect(1, "aaaa\tfirst")
	b.expect(1, "bbbb\tfirst")
	c.waitForLog("taken 2 finished 2")
	if err := <-c.exited; err != nil {
		t.Fatal("the program exited with ", err)
	}
	// The program restarts on the same address, even after a kill.
	c.launch(c.address)
	c.client().query("lookup", "cccc", "5000", "")
	e.waitForCall(t, "POST")
	c.signal(syscall.SIGKILL)
	<-c.exited
	c.launch(c.address)
	d := c.client()
	d.query("lookup", "dddd", "5000", "")
	d.expect(1, "dddd\tfirst")
}

func TestReloadsConfiguration(t *testing.T) {
	e, f, next := newFakeEngine(t, twoPages(true)), newFakeFeed(t), newFakeFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	old := <-f.connections
	<-f.subscriptions
	io.WriteString(old, event(2, false, entry("e2", "127.0.0.1:1", "DELETED"))+"\n")
	a := c.client()
	a.query("lookup", "aaaa", "5000", "")
	e.waitForCall(t, "POST")
	good, err := os.ReadFile(c.config)
	if err != nil {
		t.Fatal(err)
	}
	// An invalid file, or one without a valid feed address, changes nothing.
	for _, text := range []string{string(good[:len(good)/2]), "",
		strings.Replace(string(good), f.Addr().String(), "nowhere", 1)} {
		os.WriteFile(c.config, []byte(text), 0o600)
		c.signal(syscall.SIGHUP)
		c.waitForLog("kept as it was")
	}
	os.Remove(c.config)
	c.signal(syscall.SIGHUP)
	c.waitForLog("kept as it was")
	moved := strings.Replace(string(good), f.Addr().String(), next.Addr().String(), 1)
	os.WriteFile(c.config, []byte(strings.Replace(moved, "192", "96", 1)), 0o600)
	c.signal(syscall.SIGHUP)
	if line := c.waitForLog("can't be changed"); line["what"] != "limits" {
		t.Fatal(line)
	}
	c.waitForLog("read again")
	reconnected := <-next.connections
	if line := <-next.subscriptions; line != "SUB 2" {
		t.Fatal("does not subscribe from the latest event: ", line)
	}
	if _, err := old.Read(make([]byte, 1)); err == nil {
		t.Fatal("the connection to the old feed is still open")
	}
	io.WriteString(reconnected, event(3, false, entry("e1", e.address(), "DRAINING"))+"\n")
	for range 3 { // each signal reloads
		c.signal(syscall.SIGHUP)
		c.waitForLog("read again")
	}
	close(e.release)
	a.expect(1, "aaaa\tfirst") // the open query is served
	c.signal(syscall.SIGUSR1)
	c.waitForLog("list event 3 connections 2 faults 0 reloads 4")
}

func TestStaysWithinDescriptorLimit(t *testing.T) {
	const sockets = 64
	e, f := newFakeEngine(t, twoPages(true)), newFakeFeed(t)
	c := start(t, f.Addr().String(), sockets, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	var all []*client
	for range 4 {
		a := c.client()
		all = append(all, a)
		for i := range 30 {
			a.query("lookup", fmt.Sprintf("%02d%02d", len(all), i), "15000", "")
		}
	}
	checkDescriptors := func() {
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid))
		if err != nil {
			t.Skip("cannot count the descriptors: ", err)
		}
		if len(fds) > sockets {
			t.Fatalf("%d descriptors are open, allowed are %d", len(fds), sockets)
		}
	}
	for range 8 {
		e.waitForCall(t, "POST")
		checkDescriptors()
	}
	close(e.release)
	for _, a := range all {
		for range 30 {
			if _, got := a.answer(); strings.HasPrefix(got, "Failed") {
				t.Fatal(got)
			}
			checkDescriptors()
		}
	}
}

func TestRecoversFromDescriptorExhaustion(t *testing.T) {
	e, f := newFakeEngine(t, twoPages(false)), newFakeFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	c.signal(syscall.SIGKILL)
	<-c.exited
	c.shellPrefix = "ulimit -n 24; "
	c.launch("127.0.0.1:0")
	var all []net.Conn
	for range 40 {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, conn)
	}
	c.waitForLog("can't accept")
	for _, conn := range all {
		conn.Close()
	}
	a := c.client()
	a.query("lookup", "aaaa", "5000", "")
	a.expect(1, "aaaa\tfirst")
}

func TestMisbehavingClientsAreDisconnected(t *testing.T) {
	e, f := newFakeEngine(t, twoPages(false)), newFakeFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	call := func(fields, body string) string {
		return "\x94\x00\x01" + fixString("lookup") + "\x92" + fields + body
	}
	trace, wait := fixString("trace")+fixString("00000000000000ab"), fixString("patience")+fixString("5000")
	misbehaving := map[string]string{
		"nothing":                  "",
		"half a call":              call("\x82"+trace+wait, "\xc4\x20SELECT"),
		"what is no call":          "\xc1\xff\x00",
		"a body of 60 MB":          call("\x82"+trace+wait, "\xc6\x03\x93\x87\x00") + strings.Repeat("x", 1<<20),
		"no trace":                 call("\x81"+wait, "\xc4\x01;"),
		"no figure":                call("\x82"+trace+fixString("patience")+fixString("soon"), "\xc4\x01;"),
		"a figure out of range":    call("\x82"+trace+fixString("patience")+fixString("86400000"), "\xc4\x01;"),
		"two of one number":        strings.Repeat(call("\x82"+trace+wait, "\xc4\x01;"), 2),
		"a class that isn't there": strings.Replace(call("\x82"+trace+wait, "\xc4\x01;"), "lookup", "lookUp", 1),
		"a list of millions":       "\x94\x00\x01\xa1x\xdd\x00\xff\xff\xff",
	}
	answers := make(chan string)
	for what, text := range misbehaving {
		conn := c.client()
		go func() {
			conn.Write([]byte(text)) // the controller may close the connection before the end
			// an error response or the end of the connection
			head := make([]byte, 4)
			if _, err := io.ReadFull(conn.in, head); err == nil && head[3] == 0xc0 {
				what += " was served"
			}
			answers <- what
		}()
	}
	for range 200 { // idle connections do not keep other clients out
		c.client()
	}
	for i := range 5 {
		good := c.client() // idle connections may be closed, active ones are not
		good.query("lookup", fmt.Sprintf("e%03d", i), "5000", "")
		good.expect(1, fmt.Sprintf("e%03d\tfirst", i))
	}
	for wait := time.After(waitLimit); len(misbehaving) > 0; {
		select {
		case what := <-answers:
			if _, known := misbehaving[what]; !known {
				t.Fatal(what)
			}
			delete(misbehaving, what)
		case <-wait:
			t.Fatal("no response and no disconnect for ", misbehaving)
		}
	}
	good := c.client()
	good.query("lookup", "eeee", "5000", "")
	good.expect(1, "eeee\tfirst")
}

func TestCorruptResponsesAreNotPassedOn(t *testing.T) {
	page := func(id string) string { return id + "\tfirst\tpage\n" }
	whole := func(id string, length int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nChunks: 1\r\nContent-Length: %d\r\n\r\n%s", length, page(id))
	}
	corruptResponses := []func(id string) string{
		func(string) string { return "\x00\x01 noise \r\n\r\n" },
		func(id string) string { return whole(id, 3_000_000_000) },
		func(id string) string { return whole(id, 900) },
		func(id string) string { return whole(id, 0) },
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
	e := newFakeEngine(t, func(s *fakeEngine, w http.ResponseWriter, r *http.Request, id string) {
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
			io.WriteString(conn, corruptResponses[i%len(corruptResponses)](id))
			t.Cleanup(func() { conn.Close() }) // the connection stays open and silent
		default:
			w.Header().Set("Chunks", "1")
			io.WriteString(w, page(id))
		}
	})
	c := start(t, newFakeFeed(t).Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
	a := c.client()
	for i := range 2 * len(corruptResponses) {
		id := fmt.Sprintf("a%03d", i)
		a.query([]string{"lookup", "load"}[i%2], id, "15000", []string{"", id}[i%2])
		a.expect(byte(i+1), page(id))
	}
	c.signal(syscall.SIGUSR1)
	c.waitForLog("did not hold 0")
}

func TestMissingConfigIsReported(t *testing.T) {
	for config, want := range map[string]string{"/does/not/exist": "no config", os.DevNull: "config:"} {
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
		out, err := cmd.CombinedOutput()
		if err == nil || bytes.Count(out, []byte("\n")) != 1 || !bytes.Contains(out, []byte(want)) {
			t.Errorf("%v %s", err, out)
		}
	}
}

// Other deployments have more controllers and engines than the tested ones, so nothing may have a fixed
// size. Each engine has its own address; one fake engine listens on all of them.
func TestServesManyEnginesAndControllers(t *testing.T) {
	for _, n := range []int{1024, 1500} {
		e, f := newFakeEngine(t, twoPages(false)), newFakeFeed(t)
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
			later = append(later, entry(fmt.Sprint("e", i), address, "DELETED"),
				entry(fmt.Sprint("n", i), address, "SERVING"))
		}
		c := startWith(t, strings.Replace(testSettings, `"balancers":1,"me":0`,
			fmt.Sprintf(`"balancers":%d,"me":%d`, n, n-1), 1), 32,
			f.Addr().String(), 256, "127.0.0.1:0", first...)
		<-f.subscriptions
		a := c.client()
		a.query("lookup", "0001", "9000", "")
		a.expect(1, "0001\tfirst")
		conn := <-f.connections // one event replaces all engines
		fmt.Fprintln(conn, event(2, false, later...))
		a.query("load", "0002", "9000", "k")
		a.expect(2, "0002\tfirst")
		c.signal(syscall.SIGUSR1)
		if counters := c.waitForLog("list event")["message"].(string); !strings.Contains(counters,
			"list event 2 ") {
			t.Fatal(counters)
		}
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
		_, resident, _ := strings.Cut(string(text), "VmRSS:")
		resident, _, _ = strings.Cut(strings.TrimSpace(resident), " ")
		if kB, err := strconv.Atoi(resident); err != nil || kB > 32<<10 {
			t.Fatalf("%s kB are resident with %d engines; 32 MB are allowed", resident, n)
		}
	}
}

// 60 controllers start at once while the feed is down, the engine hangs and idle clients use up the
// connections. Nine in ten must be ready within 10 s, since the configuration has a list of engines. When
// the feed is back, each controller must connect to it.
func TestManyControllersBecomeReadyWithoutFeedAndEngines(t *testing.T) {
	const count = 60
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := closedListener.Addr().String()
	closedListener.Close()
	silentEngine, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	if err != nil {
		t.Fatal(err)
	}
	defer silentEngine.Close()
	startedAt := time.Now()
	readyAfter := make([]time.Duration, count)
	controllers := make([]*controller, count)
	var wg sync.WaitGroup
	for i := range controllers {
		controllers[i] = start(t, address, 96, "127.0.0.1:0", entry("e1", silentEngine.Addr().String(), "SERVING"))
		wg.Go(func() {
			for range 60 { // idle connections opened before the client's
				if x, err := net.Dial("tcp", controllers[i].address); err == nil {
					defer x.Close()
				}
			}
			for a := controllers[i].client(); !a.ready(); a = controllers[i].client() {
				a.Close()
			}
			readyAfter[i] = time.Since(startedAt)
		})
	}
	wg.Wait()
	if slices.Sort(readyAfter); readyAfter[count*9/10] > 10*time.Second {
		t.Fatalf("nine in ten were ready after %v", readyAfter[count*9/10])
	}
	restartedFeed, err := net.Listen("tcp", address)
	if err != nil {
		t.Skip("the feed's address is in use: ", err)
	}
	defer restartedFeed.Close()
	for range controllers {
		restartedFeed.(*net.TCPListener).SetDeadline(time.Now().Add(waitLimit))
		x, err := restartedFeed.Accept()
		if err != nil {
			t.Fatal("not every controller connected to the feed: ", err)
		}
		defer x.Close()
	}
}

// Invalid settings do not stop the controller: it logs each field and serves queries.
func TestInvalidSettingsDoNotStopTheController(t *testing.T) {
	e, f := newFakeEngine(t, twoPages(false)), newFakeFeed(t)
	invalid := strings.NewReplacer(`"balancers":1`, `"balancers":0`, `"effect":"non_idempotent"`, `"effect":"whatever"`,
		`"objective_ms":3000.0`, `"objective_ms":"soon"`).Replace(testSettings)
	startWith(t, invalid, 64, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"),
		entry("e2", e.address(), "WHATEVER")).servesBoth()
}
