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

// markerSites are sites of their own: each policy binds the team mark to another one, so that
// engines see by which version it was that a query came.
const markerSites = 12

type fleetStoredResult struct {
	id, team, token string
	controller      int
}

type markerVersion struct {
	change  string
	version uint64
}

// versionObservation is one act: when, and by which version.
type versionObservation struct {
	at      time.Duration
	version uint64
}

// readStoredResults asks for all that was kept, at every controller that serves.
func (g *faultFleet) readStoredResults() {
	g.mu.Lock()
	l := slices.Clone(g.storedResults)
	g.mu.Unlock()
	l = l[max(0, len(l)-60):]
	end := time.Now().Add(time.Second)
	readers := map[int]*resultReader{}
	for _, k := range l {
		if p := g.members[k.controller]; p.command == nil || p.paused || time.Now().After(end) {
			continue
		}
		r := readers[k.controller]
		if r == nil {
			var err error
			if r, err = dialController(g.members[k.controller].clientAddress, 0); err != nil {
				continue
			}
			defer r.Close()
			readers[k.controller] = r
		}
		if !g.readStoredResult(r, k) {
			delete(readers, k.controller)
		}
	}
}

// readStoredResult asks for a page of what was kept; false if the connection is of no use any more.
func (g *faultFleet) readStoredResult(r *resultReader, k fleetStoredResult) bool {
	asked := g.elapsed()
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
			g.queryHistory.AddFault(g.elapsed(), "a page of "+k.id+" that is another's")
		}
		g.fleetHistory.Served(g.elapsed(), asked, g.members[k.controller].name, k.id)
	}
	return true
}

// scanSpools looks for what was kept in all that controllers have on disk.
func (g *faultFleet) scanSpools() error {
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
			for at := 0; ; at += len(engineRowMarker) {
				i := bytes.Index(text[at:], engineRowMarker)
				if i < 0 {
					break
				}
				if at += i; at >= 16 {
					found[string(text[at-16:at])] = true
				}
			}
		}
		g.mu.Lock()
		for _, k := range g.storedResults {
			if found[k.id] {
				g.fleetHistory.FoundOnDisk(g.elapsed(), p.name, k.id)
			}
		}
		g.mu.Unlock()
	}
	return nil
}

// engineRowMarker follows the query's name in each row that engines make.
var engineRowMarker = []byte("\trow\t")

// runClient asks one controller for one thing at a time until the end.
func (g *faultFleet) runClient(n int, team, group string, every time.Duration, paged bool) {
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
		case <-g.stopClients:
			return
		case <-g.ctx.Done():
			return
		case <-time.After(every):
		}
		if r == nil {
			var err error
			if r, err = dialController(g.members[n].clientAddress, 0); err != nil {
				r = nil
				continue
			}
			key++
		}
		w := engine.Work{Threads: 1, CPU: time.Millisecond, MemoryMB: 10, Rows: 1, TableGroup: int64(rng.IntN(3)) + 1, Load: group == "load"}
		if paged {
			w.Rows = 3000
		}
		fields := []string{"patience", fmt.Sprint(faultFleetClientTimeout.Milliseconds()), "team", team}
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
		now := g.elapsed()
		g.sentQueries[id] = &fleetSentQuery{now, team, w.TableGroup, n}
		g.queryHistory.Received(now, id, group, entity, now+faultFleetClientTimeout)
		g.mu.Unlock()
		r.lastMessage++
		r.SetDeadline(time.Now().Add(faultFleetClientTimeout))
		_, err := r.Write(client.AppendQuery(nil, r.lastMessage, group, engine.Statement(w), append([]string{"trace", id}, fields...)...))
		var a client.Answer
		if err == nil {
			a, err = r.readAnswer(g.ctx)
		}
		g.mu.Lock()
		if err != nil { // it was killed, or the client has waited long enough
			g.queryHistory.ClientLeft(g.elapsed(), id)
			r.Close()
			r = nil
			g.mu.Unlock()
			continue
		}
		made := world.ExpectedRows(&world.Query{ID: id, Work: w})
		if paged && len(a.Rows) > 0 && bytes.HasPrefix(made, a.Rows) {
			made = a.Rows
		}
		g.queryHistory.Answered(g.elapsed(), id, historycheck.Answer(a.Kind), a.Rows, made)
		if a.Kind == client.Finished && a.Fields["token"] != "" {
			g.storedResults = append(g.storedResults, fleetStoredResult{id, team, a.Fields["token"], n})
		}
		var k *fleetStoredResult
		if paged && len(g.storedResults) > 0 {
			if x := g.storedResults[max(0, len(g.storedResults)-60)+rng.IntN(min(60, len(g.storedResults)))]; x.controller == n {
				k = &x
			}
		}
		g.mu.Unlock()
		if k != nil && !g.readStoredResult(r, *k) {
			r = nil
		}
	}
}

// startAllClients has clients ask at every controller.
func (g *faultFleet) startAllClients() {
	for i := range g.members {
		g.clients.Add(5)
		go g.runClient(i, "mark", "lookup", 2*time.Millisecond, false)
		go g.runClient(i, "linz", "lookup", 40*time.Millisecond, false)
		go g.runClient(i, "linz", "report", 120*time.Millisecond, true)
		go g.runClient(i, "steyr", "report", 120*time.Millisecond, true)
		go g.runClient(i, "steyr", "load", 80*time.Millisecond, false)
	}
}
