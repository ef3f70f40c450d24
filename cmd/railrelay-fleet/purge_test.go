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

// customer is one connection of a team's.
type customer struct {
	t    *testing.T
	conn net.Conn
	in   []byte
	msg  uint32
}

func (m *member) customer() *customer {
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

// hears sends a call and gives its answer.
func (c *customer) hears(call func(dst []byte, msg uint32) []byte) client.Answer {
	c.t.Helper()
	c.msg++
	if _, err := c.conn.Write(call(nil, c.msg)); err != nil {
		c.t.Fatal(err)
	}
	c.conn.SetReadDeadline(time.Now().Add(patienceMost))
	p := make([]byte, 1<<16)
	for {
		a, n, err := client.Read(c.in)
		if err != nil {
			c.t.Fatal(err)
		}
		if n > 0 {
			c.in = c.in[n:]
			return a
		}
		if n, err = c.conn.Read(p); err != nil {
			c.t.Fatal(err)
		}
		c.in = append(c.in, p[:n]...)
	}
}

func (c *customer) asks(id string, fields ...string) client.Answer {
	c.t.Helper()
	return c.hears(func(dst []byte, msg uint32) []byte {
		return client.AppendQuery(dst, msg, "lookup", engine.Statement(engine.Work{Threads: 1, CPU: 5 * time.Millisecond, MemoryMB: 1, Rows: 6000, TableGroup: 3}),
			append([]string{"trace", id, "patience", "20000", "team", "a"}, fields...)...)
	})
}

func (c *customer) page(token string) client.Answer {
	c.t.Helper()
	return c.hears(func(dst []byte, msg uint32) []byte {
		return client.AppendPageRequest(dst, msg, token, "1", "team", "a")
	})
}

func (c *customer) purges(fields ...string) client.Answer {
	c.t.Helper()
	return c.hears(func(dst []byte, msg uint32) []byte {
		return client.AppendPurgeRequest(dst, msg, append([]string{"team", "a"}, fields...)...)
	})
}

// A customer purges what is kept of its team while a controller that keeps some of it is
// down: not yet, and who is waited for. That one comes back, serves nothing of it, and
// the same run is done by another controller's word, once nothing of it is in any file.
func TestACustomerPurges(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	figures := engine.DefaultConfig()
	e, err := engine.Listen(ctx, "127.0.0.1:0", figures, false)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	all := band(t, 3, "")
	for _, m := range all { // the same with an engine that answers, and something to keep
		m.kill()
		text, err := os.ReadFile(m.setup)
		if err != nil {
			t.Fatal(err)
		}
		before, rest, _ := strings.Cut(string(text), "feed: ")
		_, rest, _ = strings.Cut(rest, "\n")
		more := fmt.Sprintf("spool: {field: pages, directory: %q, memory_mb: 1}\nanswers: {fresh: 1h}\n", filepath.Join(filepath.Dir(m.setup), "spool-"+m.name))
		if err := os.WriteFile(m.setup, []byte(before+"feed: "+feedOf(t, e.Addr().String())+"\n"+more+rest), 0o600); err != nil {
			t.Fatal(err)
		}
		m.begin()
	}
	ids, tokens := []string{"00000000000000a0", "00000000000000a1", "00000000000000a2"}, make([]string, 3)
	for i, m := range all {
		m.until("a lease", serves)
		a := m.customer().asks(ids[i], "pages", "1")
		if tokens[i] = a.Fields["token"]; tokens[i] == "" {
			t.Fatalf("nothing is kept: %+v", a)
		}
	}
	whole, again := all[2].customer().asks("00000000000000b0"), all[2].customer().asks("00000000000000b1")
	if whole.Kind != client.Finished || !bytes.Equal(whole.Rows, again.Rows) {
		t.Fatalf("no answer is kept: %v %v", whole.Kind, again.Kind)
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
		t.Fatal("it isn't on disk: ", holds())
	}
	all[1].kill()
	first := all[0].customer().purges("patience", "1000", "tables", "3,9")
	id := first.Fields["id"]
	for end := time.Now().Add(patienceMost); first.Fields["outstanding"] != "c1" || first.Fields["stage"] != "unreachable"; { // the one down may have led
		if first.Kind != client.Finished || first.Fields["state"] != "not yet" || id == "" || time.Now().After(end) {
			t.Fatalf("while one is down: %+v", first)
		}
		first = all[0].customer().purges("patience", "1000", "id", id)
	}
	for i, m := range []*member{all[0], all[2]} {
		if a := m.customer().page(tokens[2*i]); a.Kind != client.Killed {
			t.Fatalf("%s serves what was purged: %v", m.name, a.Kind)
		}
	}
	all[1].begin()
	done := all[2].customer().purges("id", id, "patience", "25000")
	if n := done.Fields; n["state"] != "purged" || n["results"] != "3" || n["answers"] != "1" {
		t.Fatalf("once it is back: %+v", done)
	}
	if l := holds(); len(l) > 0 {
		t.Fatal("purged is told, and it is in ", l)
	}
	all[1].until("a lease", serves)
	if a := all[1].customer().page(tokens[1]); a.Kind != client.Killed {
		t.Fatalf("what was purged while it was down is served: %v", a.Kind)
	}
	if a := all[2].customer().asks("00000000000000b2"); a.Kind != client.Finished || bytes.Equal(a.Rows, whole.Rows) {
		t.Fatalf("a cached answer outlives its purge: %v", a.Kind)
	}
	if r, status := all[1].fleet("status", "--id", id); status != 0 || r.Outcome != "purged" || r.Counts == nil || *r.Counts == (fleet.InvalidationCounts{}) {
		t.Fatalf("the operator hears otherwise: %d %+v", status, r)
	}
}
