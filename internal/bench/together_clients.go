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

// markerSites is the number of marker sites. Each policy binds the team mark to a different marker site, so
// that the engine that runs a query identifies the policy version that the controller acted on.
const markerSites = 12

// storedResultsToRead bounds the stored results, the newest ones, that are read again.
const storedResultsToRead = 60

// fleetStoredResult is a result that a controller stores, with the token that reads it.
type fleetStoredResult struct {
	id, team, token string
	controller      int // index in members
}

// markerVersion is the change that bound the team mark to a marker site, and the version that it creates.
type markerVersion struct {
	change  string
	version uint64
}

// versionObservation is the time at which an engine received a query under a policy version.
type versionObservation struct {
	at      time.Duration
	version uint64
}

// readStoredResults reads the newest stored results from the running controllers, for up to one second.
func (ff *faultFleet) readStoredResults() {
	ff.mu.Lock()
	results := slices.Clone(ff.storedResults)
	ff.mu.Unlock()
	results = results[max(0, len(results)-storedResultsToRead):]
	end := time.Now().Add(time.Second)
	readers := map[int]*resultReader{}
	for _, result := range results {
		if p := ff.members[result.controller]; p.command == nil || p.paused || time.Now().After(end) {
			continue
		}
		r := readers[result.controller]
		if r == nil {
			var err error
			if r, err = dialController(ff.members[result.controller].clientAddress, 0); err != nil {
				continue
			}
			defer r.Close()
			readers[result.controller] = r
		}
		if !ff.readStoredResult(r, result) {
			delete(readers, result.controller)
		}
	}
}

// readStoredResult reads the second page of a stored result and adds the answer to the history. If the read
// fails, readStoredResult closes the connection and returns false.
func (ff *faultFleet) readStoredResult(r *resultReader, result fleetStoredResult) bool {
	requested := ff.elapsed()
	r.SetDeadline(time.Now().Add(2 * time.Second))
	answer, err := r.requestPage(ff.ctx, result.token, 1)
	if err != nil {
		r.Close()
		return false
	}
	ff.mu.Lock()
	defer ff.mu.Unlock()
	if answer.Kind == client.Finished {
		if !strings.Contains(string(answer.Rows), result.id) {
			ff.queryHistory.AddFault(ff.elapsed(), "a page of query "+result.id+" lacks the query's rows")
		}
		ff.fleetHistory.Served(ff.elapsed(), requested, ff.members[result.controller].name, result.id)
	}
	return true
}

// scanSpools searches all spool files for the rows of stored results and adds those found to the history.
func (ff *faultFleet) scanSpools() error {
	const queryIDLength = 16 // hexadecimal digits
	for _, p := range ff.members {
		files, err := filepath.Glob(ff.path(p.name + "-spool/*"))
		if err != nil {
			return err
		}
		found := map[string]bool{}
		for _, file := range files {
			content, err := os.ReadFile(file)
			if err != nil && !errors.Is(err, os.ErrNotExist) {
				return err
			}
			for at := 0; ; at += len(engineRowMarker) {
				i := bytes.Index(content[at:], engineRowMarker)
				if i < 0 {
					break
				}
				if at += i; at >= queryIDLength {
					found[string(content[at-queryIDLength:at])] = true
				}
			}
		}
		ff.mu.Lock()
		for _, result := range ff.storedResults {
			if found[result.id] {
				ff.fleetHistory.FoundOnDisk(ff.elapsed(), p.name, result.id)
			}
		}
		ff.mu.Unlock()
	}
	return nil
}

// engineRowMarker follows the query's ID in each row that engines produce.
var engineRowMarker = []byte("\trow\t")

// runClient sends queries to one controller, one at a time, until stopClients is closed. It waits for a pause
// before each query. A paged client requests stored results and reads one of them after each answer.
func (ff *faultFleet) runClient(controller int, team, group string, pause time.Duration, paged bool) {
	defer ff.clients.Done()
	rng := rand.New(rand.NewPCG(ff.Seed, uint64(controller)<<8|uint64(len(team))))
	var r *resultReader
	defer func() {
		if r != nil {
			r.Close()
		}
	}()
	connections := 0
	for {
		select {
		case <-ff.stopClients:
			return
		case <-ff.ctx.Done():
			return
		case <-time.After(pause):
		}
		if r == nil {
			var err error
			if r, err = dialController(ff.members[controller].clientAddress, 0); err != nil {
				r = nil
				continue
			}
			connections++
		}
		work := engine.Work{Threads: 1, CPU: time.Millisecond, MemoryMB: 10, Rows: 1,
			TableGroup: int64(rng.IntN(3)) + 1, Load: group == "load"}
		if paged {
			work.Rows = 3000
		}
		fields := []string{"patience", fmt.Sprint(faultFleetClientTimeout.Milliseconds()), "team", team}
		if paged {
			fields = append(fields, "pages", "1")
		}
		entity := ""
		if group == "load" {
			entity = fmt.Sprintf("k-%d-%s-%d", controller, team, connections)
			fields = append(fields, "entity", entity)
		}
		ff.mu.Lock()
		ff.serial++
		id := fmt.Sprintf("%016x", 0x70000000+ff.serial)
		now := ff.elapsed()
		ff.sentQueries[id] = &fleetSentQuery{now, team, work.TableGroup, controller}
		ff.queryHistory.Received(now, id, group, entity, now+faultFleetClientTimeout)
		ff.mu.Unlock()
		r.lastMessage++
		r.SetDeadline(time.Now().Add(faultFleetClientTimeout))
		_, err := r.Write(client.AppendQuery(nil, r.lastMessage, group, engine.Statement(work),
			append([]string{"trace", id}, fields...)...))
		var answer client.Answer
		if err == nil {
			answer, err = r.readAnswer(ff.ctx)
		}
		ff.mu.Lock()
		if err != nil { // the controller was killed, or the answer is late
			ff.queryHistory.ClientLeft(ff.elapsed(), id)
			r.Close()
			r = nil
			ff.mu.Unlock()
			continue
		}
		expected := world.ExpectedRows(&world.Query{ID: id, Work: work})
		if paged && len(answer.Rows) > 0 && bytes.HasPrefix(expected, answer.Rows) {
			expected = answer.Rows // the answer has the first page only
		}
		ff.queryHistory.Answered(ff.elapsed(), id, historycheck.Answer(answer.Kind), answer.Rows, expected)
		if answer.Kind == client.Finished && answer.Fields["token"] != "" {
			ff.storedResults = append(ff.storedResults,
				fleetStoredResult{id, team, answer.Fields["token"], controller})
		}
		var again *fleetStoredResult
		if paged && len(ff.storedResults) > 0 {
			if result := ff.storedResults[max(0, len(ff.storedResults)-storedResultsToRead)+
				rng.IntN(min(storedResultsToRead, len(ff.storedResults)))]; result.controller == controller {
				again = &result
			}
		}
		ff.mu.Unlock()
		if again != nil && !ff.readStoredResult(r, *again) {
			r = nil
		}
	}
}

// startAllClients starts five clients for each controller.
func (ff *faultFleet) startAllClients() {
	for controller := range ff.members {
		ff.clients.Add(5)
		go ff.runClient(controller, "mark", "lookup", 2*time.Millisecond, false)
		go ff.runClient(controller, "linz", "lookup", 40*time.Millisecond, false)
		go ff.runClient(controller, "linz", "report", 120*time.Millisecond, true)
		go ff.runClient(controller, "steyr", "report", 120*time.Millisecond, true)
		go ff.runClient(controller, "steyr", "load", 80*time.Millisecond, false)
	}
}
