package main

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/fleet"
)

// customer is a client connection of a tenant.
type customer struct {
	t           *testing.T
	conn        net.Conn
	unread      []byte
	lastMessage uint32
}

func (m *member) newCustomer() *customer {
	m.t.Helper()
	text, err := os.ReadFile(m.setup)
	if err != nil {
		m.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "listen: ")
	address, _, _ := strings.Cut(rest, "\n")
	conn, err := net.Dial("tcp", address)
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { conn.Close() })
	return &customer{t: m.t, conn: conn}
}

// call sends a call and returns the answer.
func (c *customer) call(call func(dst []byte, msg uint32) []byte) client.Answer {
	c.t.Helper()
	c.lastMessage++
	if _, err := c.conn.Write(call(nil, c.lastMessage)); err != nil {
		c.t.Fatal(err)
	}
	c.conn.SetReadDeadline(time.Now().Add(testTimeout))
	p := make([]byte, 1<<16)
	for {
		a, n, err := client.Read(c.unread)
		if err != nil {
			c.t.Fatal(err)
		}
		if n > 0 {
			c.unread = c.unread[n:]
			return a
		}
		if n, err = c.conn.Read(p); err != nil {
			c.t.Fatal(err)
		}
		c.unread = append(c.unread, p[:n]...)
	}
}

func (c *customer) query(id string, fields ...string) client.Answer {
	c.t.Helper()
	return c.call(func(dst []byte, msg uint32) []byte {
		return client.AppendQuery(dst, msg, "lookup",
			engine.Statement(engine.Work{Threads: 1, CPU: 5 * time.Millisecond,
				MemoryMB: 1, Rows: 6000, TableGroup: 3}),
			append([]string{"trace", id, "patience", "20000", "team", "a"}, fields...)...)
	})
}

func (c *customer) readPage(token string) client.Answer {
	c.t.Helper()
	return c.call(func(dst []byte, msg uint32) []byte {
		return client.AppendPageRequest(dst, msg, token, "1", "team", "a")
	})
}

func (c *customer) purge(fields ...string) client.Answer {
	c.t.Helper()
	return c.call(func(dst []byte, msg uint32) []byte {
		return client.AppendPurgeRequest(dst, msg, append([]string{"team", "a"}, fields...)...)
	})
}

// A customer purges its tenant's data while a controller that keeps some of it is down. The answer
// names that controller as outstanding. After its restart the controller serves none of the data,
// and another controller reports the purge as done once no file contains the data.
func TestCustomerPurge(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	figures := engine.DefaultConfig()
	e, err := engine.Listen(ctx, "127.0.0.1:0", figures, false)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	all := startControllers(t, 3, "")
	for _, m := range all { // restarted with an engine that answers, a spool and a cache
		m.kill()
		text, err := os.ReadFile(m.setup)
		if err != nil {
			t.Fatal(err)
		}
		before, rest, _ := strings.Cut(string(text), "feed: ")
		_, rest, _ = strings.Cut(rest, "\n")
		more := fmt.Sprintf("spool: {field: pages, directory: %q, memory_mb: 1}\nanswers: {fresh: 1h}\n",
			filepath.Join(filepath.Dir(m.setup), "spool-"+m.name))
		if err := os.WriteFile(m.setup, []byte(before+"feed: "+startFeedWithEngine(t,
			e.Addr().String())+"\n"+more+rest), 0o600); err != nil {
			t.Fatal(err)
		}
		m.start()
	}
	ids, tokens := []string{"00000000000000a0", "00000000000000a1", "00000000000000a2"}, make([]string, 3)
	for i, m := range all {
		m.awaitStatus("a lease", isServing)
		a := m.newCustomer().query(ids[i], "pages", "1")
		if tokens[i] = a.Fields["token"]; tokens[i] == "" {
			t.Fatalf("no result is kept: %+v", a)
		}
	}
	whole, again := all[2].newCustomer().query("00000000000000b0"),
		all[2].newCustomer().query("00000000000000b1")
	if whole.Kind != client.Finished || !bytes.Equal(whole.Rows, again.Rows) {
		t.Fatalf("no answer is cached: %v %v", whole.Kind, again.Kind)
	}
	dir := filepath.Dir(all[0].setup)
	holds := func() (l []string) {
		filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return nil
			}
			p, _ := os.ReadFile(path)
			for _, id := range ids {
				if bytes.Contains(p, []byte(engine.Row(id, 0))) {
					l = append(l, filepath.Base(filepath.Dir(path))+"/"+filepath.Base(path))
				}
			}
			return nil
		})
		return l
	}
	if len(holds()) != 3 {
		t.Fatal("the results aren't on disk: ", holds())
	}
	all[1].kill()
	first := all[0].newCustomer().purge("patience", "1000", "tables", "3,9")
	id := first.Fields["id"]
	// the stopped controller may have been the leader
	for end := time.Now().Add(testTimeout); first.Fields["outstanding"] != "c1" || first.Fields["stage"] != "unreachable"; {
		if first.Kind != client.Finished || first.Fields["state"] != "not yet" || id == "" ||
			time.Now().After(end) {
			t.Fatalf("a purge while a controller is down: %+v", first)
		}
		first = all[0].newCustomer().purge("patience", "1000", "id", id)
	}
	for i, m := range []*member{all[0], all[2]} {
		if a := m.newCustomer().readPage(tokens[2*i]); a.Kind != client.Killed {
			t.Fatalf("%s serves purged data: %v", m.name, a.Kind)
		}
	}
	all[1].start()
	done := all[2].newCustomer().purge("id", id, "patience", "25000")
	if n := done.Fields; n["state"] != "purged" || n["results"] != "3" || n["answers"] != "1" {
		t.Fatalf("the purge after the restart: %+v", done)
	}
	if l := holds(); len(l) > 0 {
		t.Fatal("the purge is done, but the data is in ", l)
	}
	all[1].awaitStatus("a lease", isServing)
	if a := all[1].newCustomer().readPage(tokens[1]); a.Kind != client.Killed {
		t.Fatalf("the restarted controller serves purged data: %v", a.Kind)
	}
	if a := all[2].newCustomer().query("00000000000000b2"); a.Kind != client.Finished ||
		bytes.Equal(a.Rows, whole.Rows) {
		t.Fatalf("a cached answer is served after its purge: %v", a.Kind)
	}
	if r, status := all[1].fleet("status", "--id", id); status != 0 || r.Outcome != "purged" ||
		r.Counts == nil || *r.Counts == (fleet.InvalidationCounts{}) {
		t.Fatalf("the operator gets another outcome: %d %+v", status, r)
	}
}
