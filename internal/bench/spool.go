package bench

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/world"
	"railrelay.dev/railrelay/internal/resultstore"
)

// spoolSetupText is a controller that keeps results in a directory; without one it is the
// program as it was.
func spoolSetupText(t *Trial, s *controllerTestbed, directory string) string {
	text, _, _ := strings.Cut(t.setupText(s.feedAddress, s.controllerAddress), "fairness:")
	text = strings.Replace(text, "memory_mb: 256", "memory_mb: 64", 1)
	if directory != "" {
		text += fmt.Sprintf("spool: {field: pages, directory: %q, memory_mb: 8, disk_mb: 2048, team_share: 1, team_results: 10000}\n", directory)
	}
	return text
}

// processResidentMB is a program's memory in MB.
func processResidentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return kb / 1024
}

// measureSlowReaders has so many clients read at 1 KB/s for a time, and says how long engines were
// held and what memory the controller had at the most.
func measureSlowReaders(ctx context.Context, t *Trial, out io.Writer, readers int, paged bool, long time.Duration) (p99, rss float64, err error) {
	x := &releaseRecorder{finishedAt: map[string]time.Time{}, releasedAt: map[string]time.Time{}}
	s, err := newControllerTestbed(ctx, t.Program, t.Engines, trialEngineConfig(), t.ControllerLog, x.observe)
	if err != nil {
		return 0, 0, err
	}
	defer s.close()
	directory := ""
	if paged {
		directory = filepath.Join(s.dir, "spool")
	}
	if err := s.startController(spoolSetupText(t, s, directory)); err != nil {
		return 0, 0, err
	}
	within, stop := context.WithTimeout(ctx, long)
	defer stop()
	var wg sync.WaitGroup
	for i := range readers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, err := dialController(s.controllerAddress, 1024)
			if err != nil {
				return
			}
			defer r.Close()
			context.AfterFunc(within, func() { r.Close() })
			if r.submitQuery(fmt.Sprintf("%016x", 0xa0000+i), 8000, paged, spoolPatience) != nil {
				return
			}
			a, err := r.readAnswer(within)
			for page := 1; err == nil && a.Fields["token"] != ""; page++ {
				_, err = r.requestPage(within, a.Fields["token"], page)
			}
		}()
	}
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(long); time.Now().Before(end); <-tick.C {
		rss = max(rss, processResidentMB(s.command.Process.Pid))
	}
	wg.Wait()
	p99 = x.p99HoldSeconds(engine.DefaultConfig().AbandonAfter)
	fmt.Fprintf(out, "slow readers, pages %v: %d at 1 KB/s, results of %d KB, %d done by engines, held for %.3f s (p99), %.1f MB resident at the most\n",
		paged, readers, len(world.ExpectedRows(&world.Query{ID: fmt.Sprintf("%016x", 1), Work: engine.Work{Rows: 8000}}))>>10, len(x.finishedAt), p99, rss)
	return p99, rss, s.stopController()
}

// spoolKillCounts is what kills and new starts left of what was promised.
type spoolKillCounts struct{ readAttempts, intact, lost, corrupt, kills int }

// countLostAfterKills has clients ask while the controller is killed at random, again and again, and
// reads after each start all that was promised before it.
func countLostAfterKills(ctx context.Context, t *Trial, rounds int) (k spoolKillCounts, err error) {
	s, err := newControllerTestbed(ctx, t.Program, t.Engines, trialEngineConfig(), t.ControllerLog, func(int, *engine.Server) {})
	if err != nil {
		return k, err
	}
	defer s.close()
	rng := rand.New(rand.NewPCG(t.Seed, 77))
	directory := filepath.Join(s.dir, "spool")
	var mu sync.Mutex
	var all []*acknowledgedResult
	id := 0
	for range rounds {
		if err := s.startController(spoolSetupText(t, s, directory)); err != nil {
			return k, err
		}
		r, err := dialController(s.controllerAddress, 0)
		if err != nil {
			return k, err
		}
		for _, p := range all {
			switch lost, corrupt := p.verify(ctx, r); {
			case lost:
				k.lost++
				r.Close()
				if r, err = dialController(s.controllerAddress, 0); err != nil {
					return k, err
				}
			case corrupt:
				k.corrupt++
			default:
				k.intact++
			}
		}
		r.Close()
		k.readAttempts += len(all)
		var wg sync.WaitGroup
		for range 6 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				r, err := dialController(s.controllerAddress, 0)
				if err != nil {
					return
				}
				defer r.Close()
				for {
					mu.Lock()
					id++
					p := &acknowledgedResult{id: fmt.Sprintf("%016x", 0xb000000+id), rows: 1500 + rng.IntN(6000)}
					mu.Unlock()
					if r.submitQuery(p.id, p.rows, true, spoolPatience) != nil {
						return
					}
					a, err := r.readAnswer(ctx)
					if err != nil {
						return
					}
					if a.Kind != client.Finished || a.Fields["token"] == "" {
						continue
					}
					p.firstPage, p.fields = a.Rows, a.Fields
					mu.Lock()
					all = append(all, p)
					mu.Unlock()
				}
			}()
		}
		mu.Lock()
		enough := len(all) + 5
		mu.Unlock()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			mu.Lock()
			got := len(all) >= enough
			mu.Unlock()
			if got {
				break
			}
		}
		mu.Lock()
		wait := time.Duration(rng.IntN(500)) * time.Millisecond
		mu.Unlock()
		time.Sleep(wait)
		s.killController()
		k.kills++
		wg.Wait()
		if len(all) > 60 { // the latest are the ones at stake
			all = all[len(all)-60:]
		}
	}
	return k, nil
}

// measureSpoolWriteRates is what the store takes in a second beside what plain writes to one file
// take with the same syncs.
func measureSpoolWriteRates(dir string, sync resultstore.SyncPolicy) (ours, plain float64, err error) {
	const results, pages, size = 60, 32, 32 << 10
	const segment = 16 // results of 1 MB: one that was filled is synced, whatever the setting but never
	body := bytes.Repeat([]byte("0123456789abcde\n"), size/16)
	begin := time.Now()
	f, err := os.Create(filepath.Join(dir, "plain"))
	if err != nil {
		return 0, 0, err
	}
	for n := range results {
		for range pages {
			if _, err := f.Write(body); err != nil {
				return 0, 0, err
			}
		}
		if sync == resultstore.SyncNever || sync == resultstore.SyncOnTick && n%segment != segment-1 {
			continue
		}
		if err := f.Sync(); err != nil {
			return 0, 0, err
		}
	}
	f.Close()
	os.Remove(f.Name())
	total := float64(results*pages*size) / (1 << 20)
	plain = total / time.Since(begin).Seconds()
	k, err := resultstore.OpenSpoolStore(filepath.Join(dir, fmt.Sprint("ours", sync)),
		resultstore.Options{Sync: sync})
	if err != nil {
		return 0, 0, err
	}
	defer k.Close()
	begin = time.Now()
	for i := range results {
		id := k.FirstResultID() + uint64(i) + 1
		rows := make([]uint32, pages)
		for n := range pages {
			j := &resultstore.Job{Pages: []resultstore.Record{{Kind: resultstore.PageRecord, Result: id, Page: uint32(n), Body: body}}}
			if n == pages-1 {
				j.Commit = &resultstore.Meta{Result: id, PageRows: rows}
			}
			if k.Do([]*resultstore.Job{j}); j.Err != nil {
				return 0, 0, j.Err
			}
		}
	}
	ours = total / time.Since(begin).Seconds()
	return ours, plain, nil
}

// measurePageCPUTime is the controller's processor time, in microseconds, for a page that is in
// memory, and for an answer of the same size to a query that engines do at once.
func measurePageCPUTime(ctx context.Context, t *Trial) (page, answer float64, err error) {
	s, err := newControllerTestbed(ctx, t.Program, t.Engines, trialEngineConfig(), t.ControllerLog, func(int, *engine.Server) {})
	if err != nil {
		return 0, 0, err
	}
	defer s.close()
	if err := s.startController(spoolSetupText(t, s, filepath.Join(s.dir, "spool"))); err != nil {
		return 0, 0, err
	}
	r, err := dialController(s.controllerAddress, 0)
	if err != nil {
		return 0, 0, err
	}
	defer r.Close()
	const calls = 400
	used := func() float64 { return processCPUSeconds(s.command.Process.Pid) }
	before := used()
	size := 0
	for i := range calls {
		if err := r.submitQuery(fmt.Sprintf("%016x", 0xd0000+i), 1150, false, spoolPatience); err != nil {
			return 0, 0, err
		}
		a, err := r.readAnswer(ctx)
		if err != nil || a.Kind != client.Finished {
			return 0, 0, fmt.Errorf("an answer: %v %v", err, a.Kind)
		}
		size = len(a.Rows)
	}
	answer = (used() - before) / calls * 1e6
	if err := r.submitQuery(fmt.Sprintf("%016x", 0xe0000), 4000, true, spoolPatience); err != nil {
		return 0, 0, err
	}
	a, err := r.readAnswer(ctx)
	if err != nil || a.Fields["token"] == "" {
		return 0, 0, fmt.Errorf("no pages: %v %v", err, a.Fields)
	}
	before = used()
	for range 5 * calls {
		b, err := r.requestPage(ctx, a.Fields["token"], 1)
		if err != nil || b.Kind != client.Finished || len(b.Rows) < size*4/5 {
			return 0, 0, fmt.Errorf("a page: %v %v, %d bytes of %d", err, b.Kind, len(b.Rows), size)
		}
	}
	return (used() - before) / (5 * calls) * 1e6, answer, s.stopController()
}

// processCPUSeconds is the time a program has had of processors, in seconds.
func processCPUSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / 100 // ticks of the system's, a hundredth of a second each
}

// measureSpoolReopen is how long it takes to open so many results.
func measureSpoolReopen(dir string, results int) (time.Duration, error) {
	path := filepath.Join(dir, "many")
	k, err := resultstore.OpenSpoolStore(path,
		resultstore.Options{Sync: resultstore.SyncNever, MaxIndexLag: 20_000})
	if err != nil {
		return 0, err
	}
	for i := range results {
		id := k.FirstResultID() + uint64(i) + 1
		j := &resultstore.Job{Pages: []resultstore.Record{{Kind: resultstore.PageRecord, Result: id, Body: []byte("a\tb\tc\n")}, {Kind: resultstore.PageRecord, Result: id, Page: 1, Body: []byte("d\te\tf\n")}},
			Commit: &resultstore.Meta{Result: id, QueryID: fmt.Sprintf("%016x", i), Tenant: "linz", ExpiresMillis: 1 << 60, PageRows: []uint32{1, 1}}}
		if k.Do([]*resultstore.Job{j}); j.Err != nil {
			return 0, j.Err
		}
		if k.NeedsCheckpoint() {
			if _, err := k.Tick(); err != nil {
				return 0, err
			}
		}
	}
	if err := k.Close(); err != nil {
		return 0, err
	}
	begin := time.Now()
	if k, err = resultstore.OpenSpoolStore(path, resultstore.Options{}); err != nil {
		return 0, err
	}
	took := time.Since(begin)
	if k.Recovery.Results != results {
		err = fmt.Errorf("%d results of %d", k.Recovery.Results, results)
	}
	return took, errors.Join(err, k.Close())
}

// MeasureSpool is the measurement of spooled results, on sockets and real files.
func MeasureSpool(ctx context.Context, out io.Writer, program string, seed uint64) error {
	t := &Trial{Program: program, Engines: 4, Seed: seed, ControllerLog: io.Discard}
	const readers = 200
	beforeP99, beforeRSS, err := measureSlowReaders(ctx, t, out, readers, false, 6*time.Second)
	if err != nil {
		return err
	}
	p99, rss, err := measureSlowReaders(ctx, t, out, readers, true, 10*time.Second)
	if err != nil {
		return err
	}
	k, err := countLostAfterKills(ctx, t, 10)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "kill -9: %d times, %d times a promised result was asked for after it, %d whole, %d lost, %d corrupt\n", k.kills, k.readAttempts, k.intact, k.lost, k.corrupt)
	dir, err := os.MkdirTemp("", "railrelay-spool")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ratio := 0.0
	for i, name := range []string{"promise", "ticks", "never"} {
		ours, plain, err := measureSpoolWriteRates(dir, resultstore.SyncPolicy(i))
		if err != nil {
			return err
		}
		if ours/plain < ratio || i == 0 {
			ratio = ours / plain
		}
		fmt.Fprintf(out, "taking in, sync %s: %.0f MB/s, plain writes with the same syncs: %.0f MB/s\n", name, ours, plain)
	}
	page, answer, err := measurePageCPUTime(ctx, t)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "processor time of a page from memory: %.1f us, of an answer as before, of the same size: %.1f us\n", page, answer)
	took, err := measureSpoolReopen(dir, 100_000)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "measured release_p99_s=%.4f release_p99_before_s=%.4f slow_readers=%d resumed=%.3f promised=%d lost=%d corrupt_served=%d write_ratio=%.3f page_cost=%.3f reopen_s=%.3f rss_mb=%.1f rss_before_mb=%.1f\n",
		p99, beforeP99, readers, float64(k.intact)/float64(max(1, k.readAttempts)), k.readAttempts, k.lost, k.corrupt, ratio, page/answer, took.Seconds(), rss, beforeRSS)
	if k.lost+k.corrupt > 0 {
		return errors.New("what was promised is lost or spoilt")
	}
	return nil
}
