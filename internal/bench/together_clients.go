package bench

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/world"
	"railrelay.dev/railrelay/internal/historycheck"
)

// marks are sites of their own: each policy binds the team mark to another one, so that
// engines see by which version it was that a query came.
const marks = 12

type keptAt struct {
	id, team, token string
	controller      int
}

type marked struct {
	change  string
	version uint64
}

// mark is one act: when, and by which version.
type mark struct {
	at      time.Duration
	version uint64
}

// readAll asks for all that was kept, at every controller that serves.
func (g *gathering) readAll() {
	g.mu.Lock()
	l := slices.Clone(g.kept)
	g.mu.Unlock()
	l = l[max(0, len(l)-60):]
	end := time.Now().Add(time.Second)
	readers := map[int]*resultReader{}
	for _, k := range l {
		if p := g.members[k.controller]; p.running == nil || p.stopped || time.Now().After(end) {
			continue
		}
		r := readers[k.controller]
		if r == nil {
			var err error
			if r, err = dialController(g.members[k.controller].address, 0); err != nil {
				continue
			}
			defer r.Close()
			readers[k.controller] = r
		}
		if !g.read(r, k) {
			delete(readers, k.controller)
		}
	}
}

// read asks for a page of what was kept; false if the connection is of no use any more.
func (g *gathering) read(r *resultReader, k keptAt) bool {
	asked := g.since()
	r.SetDeadline(time.Now().Add(2 * time.Second))
	a, err := r.requestPage(g.ctx, k.token, 1)
	if err != nil {
		r.Close()
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.Kind == client.Finished {
		if !strings.Contains(string(a.Rows), k.id) {
			g.rules.AddFault(g.since(), "a page of "+k.id+" that is another's")
		}
		g.fleet.Served(g.since(), asked, g.members[k.controller].name, k.id)
	}
	return true
}

// disks looks for what was kept in all that controllers have on disk.
func (g *gathering) disks() error {
	for _, p := range g.members {
		files, err := filepath.Glob(g.path(p.name + "-spool/*"))
		if err != nil {
			return err
		}
		found := map[string]bool{}
		for _, f := range files {
			text, err := os.ReadFile(f)
			if err != nil && !errors.Is(err, os.ErrNotExist) {
				return err
			}
			for at := 0; ; at += len(rowMark) {
				i := bytes.Index(text[at:], rowMark)
				if i < 0 {
					break
				}
				if at += i; at >= 16 {
					found[string(text[at-16:at])] = true
				}
			}
		}
		g.mu.Lock()
		for _, k := range g.kept {
			if found[k.id] {
				g.fleet.FoundOnDisk(g.since(), p.name, k.id)
			}
		}
		g.mu.Unlock()
	}
	return nil
}

// rowMark follows the query's name in each row that engines make.
var rowMark = []byte("\trow\t")

// client asks one controller for one thing at a time until the end.
func (g *gathering) client(n int, team, group string, every time.Duration, paged bool) {
	defer g.clients.Done()
	rng := rand.New(rand.NewPCG(g.Seed, uint64(n)<<8|uint64(len(team))))
	var r *resultReader
	defer func() {
		if r != nil {
			r.Close()
		}
	}()
	key := 0
	for {
		select {
		case <-g.quit:
			return
		case <-g.ctx.Done():
			return
		case <-time.After(every):
		}
		if r == nil {
			var err error
			if r, err = dialController(g.members[n].address, 0); err != nil {
				r = nil
				continue
			}
			key++
		}
		w := engine.Work{Threads: 1, CPU: time.Millisecond, MemoryMB: 10, Rows: 1, TableGroup: int64(rng.IntN(3)) + 1, Load: group == "load"}
		if paged {
			w.Rows = 3000
		}
		fields := []string{"patience", fmt.Sprint(patienceTogether.Milliseconds()), "team", team}
		if paged {
			fields = append(fields, "pages", "1")
		}
		entity := ""
		if group == "load" {
			entity = fmt.Sprintf("k-%d-%s-%d", n, team, key)
			fields = append(fields, "entity", entity)
		}
		g.mu.Lock()
		g.serial++
		id := fmt.Sprintf("%016x", 0x70000000+g.serial)
		now := g.since()
		g.asked[id] = &askedFor{now, team, w.TableGroup, n}
		g.rules.Received(now, id, group, entity, now+patienceTogether)
		g.mu.Unlock()
		r.lastMessage++
		r.SetDeadline(time.Now().Add(patienceTogether))
		_, err := r.Write(client.AppendQuery(nil, r.lastMessage, group, engine.Statement(w), append([]string{"trace", id}, fields...)...))
		var a client.Answer
		if err == nil {
			a, err = r.readAnswer(g.ctx)
		}
		g.mu.Lock()
		if err != nil { // it was killed, or the client has waited long enough
			g.rules.ClientLeft(g.since(), id)
			r.Close()
			r = nil
			g.mu.Unlock()
			continue
		}
		made := world.ExpectedRows(&world.Query{ID: id, Work: w})
		if paged && len(a.Rows) > 0 && bytes.HasPrefix(made, a.Rows) {
			made = a.Rows
		}
		g.rules.Answered(g.since(), id, historycheck.Answer(a.Kind), a.Rows, made)
		if a.Kind == client.Finished && a.Fields["token"] != "" {
			g.kept = append(g.kept, keptAt{id, team, a.Fields["token"], n})
		}
		var k *keptAt
		if paged && len(g.kept) > 0 {
			if x := g.kept[max(0, len(g.kept)-60)+rng.IntN(min(60, len(g.kept)))]; x.controller == n {
				k = &x
			}
		}
		g.mu.Unlock()
		if k != nil && !g.read(r, *k) {
			r = nil
		}
	}
}

// busy has clients ask at every controller.
func (g *gathering) busy() {
	for i := range g.members {
		g.clients.Add(5)
		go g.client(i, "mark", "lookup", 2*time.Millisecond, false)
		go g.client(i, "linz", "lookup", 40*time.Millisecond, false)
		go g.client(i, "linz", "report", 120*time.Millisecond, true)
		go g.client(i, "steyr", "report", 120*time.Millisecond, true)
		go g.client(i, "steyr", "load", 80*time.Millisecond, false)
	}
}
