package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// controller is a running railrelay process.
type controller struct {
	t           *testing.T
	cmd         *exec.Cmd
	address     string
	lines       chan map[string]any
	exited      chan error
	config      string
	shellPrefix string // shell commands that run before the program
}

const testSettings = `{"balancers":1,"me":0,"zones":["here"],"kinds":["std"],"quantum_ms":5.0,"discovery":"pushed",
"allowed":{"may_cancel":true,"may_probe":true,"second_copies":true,"max_attempts":3,"connect_timeout_ms":250.0,"keepalive_ms":15000.0,
"retry_after":true,"max_retry_after_ms":1000.0},"report":{"how":"on_probe","fields":["outstanding","utilization"]},
"obligations":{"drain_grace_ms":1000.0,"key_rest_ms":300.0,"cold_from":0.3,"warm_after_ms":15000.0,"tip_multiple":3.0,"fall_ms":1000.0},
"family_info":{"writes_tables":[false,true],"threads_by_class":[1,2],"class_waits":[true,false],"kind_cores":[8],"ram_of_kind_mb":[16384.0],
"memory_heeded":true,"lanes_count":true,"note_period_ms":2000.0,"cost_in_answers":true,"out_of_memory":"swap","most_grant":0.4},
"classes":[{"name":"lookup","effect":"read_like","importance":1.0,"objective_ms":1000.0,"deadline_ms":15000.0,"aim_stretch":1.5,"key_scope":"all"},
{"name":"load","effect":"non_idempotent","importance":6.0,"objective_ms":3000.0,"deadline_ms":25000.0,"aim_stretch":2.5,"fifo_by_key":true,"key_scope":"all"}]}`

func start(t *testing.T, feed string, sockets int, listen string, entries ...string) *controller {
	t.Helper()
	return startWith(t, testSettings, 192, feed, sockets, listen, entries...)
}

func startWith(t *testing.T, settings string, memoryMB int, feed string, sockets int,
	listen string, entries ...string) *controller {
	t.Helper()
	c := &controller{t: t, config: filepath.Join(t.TempDir(), "config.json")}
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
		"feed":%q,"known":{"n":1,"events":[%s]},"settings":%s}`,
		memoryMB, sockets, feed, event(1, true, entries...), settings)
	if err := os.WriteFile(c.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c.launch(listen)
	t.Cleanup(func() { c.cmd.Process.Kill() })
	return c
}

func (c *controller) launch(listen string) {
	c.t.Helper()
	c.cmd = exec.Command("/bin/sh", "-c", c.shellPrefix+"exec "+program)
	c.cmd.Env = append(os.Environ(), "RAILRELAY_LOG=info", "ROUTER_NAME=n0",
		"ROUTER_CONFIG="+c.config, "ROUTER_LISTEN="+listen)
	out, err := c.cmd.StderrPipe()
	if err != nil {
		c.t.Fatal(err)
	}
	if err := c.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	lines, ended := make(chan map[string]any, 4096), make(chan error, 1)
	c.lines, c.exited = lines, ended
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
	c.address = c.waitForLog("listening")["address"].(string)
}

func (c *controller) waitForLog(text string) map[string]any {
	c.t.Helper()
	last := ""
	for wait := time.After(waitLimit); ; {
		select {
		case line := <-c.lines:
			if last = fmt.Sprint(line["message"]); strings.Contains(last, text) {
				return line
			}
		case <-wait:
			c.t.Fatalf("never logged %q; the last line was %q", text, last)
		}
	}
}

func (c *controller) signal(s os.Signal) {
	if err := c.cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

func fixString(s string) string { return string([]byte{byte(0xa0 | len(s))}) + s }

// client is a client connection to the controller. Several calls may be open at a time.
type client struct {
	t *testing.T
	net.Conn
	in          *bufio.Reader
	lastMessage byte
}

func (c *controller) client() *client {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(waitLimit))
	return &client{t: c.t, Conn: conn, in: bufio.NewReader(conn)}
}

// tracePrefix extends the short id of a test to a trace. fakeEngine removes the prefix.
const tracePrefix = "ffffffffffff"

func (c *client) query(group, id, timeout, key string) {
	c.lastMessage++
	id = tracePrefix + id
	body := "SELECT * FROM sales_17.orders"
	fields := "\x82"
	if key != "" {
		fields, key = "\x83", fixString("entity")+fixString(key)
	}
	p := "\x94\x00" + string([]byte{c.lastMessage}) + fixString(group) +
		"\x92" + fields + fixString("trace") + fixString(id) + fixString("patience") + fixString(timeout) +
		key + "\xc4" + string([]byte{byte(len(body))}) + body
	if _, err := io.WriteString(c, p); err != nil {
		c.t.Fatal(err)
	}
}

// servesBoth checks that a lookup and a load with a key get their results.
func (c *controller) servesBoth() {
	c.t.Helper()
	a := c.client()
	a.query("lookup", "0001", "9000", "")
	a.expect(1, "0001\tfirst")
	a.query("load", "0002", "9000", "k")
	a.expect(2, "0002\tfirst")
}

// answer reads a response. It returns the message number and the result, or the error's name with its
// fields.
func (c *client) answer() (byte, string) {
	c.t.Helper()
	head := make([]byte, 5)
	if _, err := io.ReadFull(c.in, head); err != nil {
		c.t.Fatal("no response: ", err)
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
		c.t.Fatalf("got response %d %q, want %d %q", m, got, n, want)
	}
}
