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

// spoolSetupText returns the set-up file of a controller that spools results to a directory. If directory
// is empty, the controller has no spool.
func spoolSetupText(t *Trial, s *controllerTestbed, directory string) string {
	text, _, _ := strings.Cut(t.setupText(s.feedAddress, s.controllerAddress), "fairness:")
	text = strings.Replace(text, "memory_mb: 256", "memory_mb: 64", 1)
	if directory != "" {
		text += fmt.Sprintf("spool: {field: pages, directory: %q, memory_mb: 8, disk_mb: 2048, "+
			"team_share: 1, team_results: 10000}\n", directory)
	}
	return text
}

// processResidentMB returns the resident memory of a process, or 0 if it can't be read.
func processResidentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return kb / 1024
}

// measureSlowReaders starts clients that read results at 1 KB/s, either in pages or as one answer. Engines
// hold a finished query until the controller releases it. measureSlowReaders returns the 99th percentile
// of the hold times in seconds, and the controller's peak resident memory in MB.
func measureSlowReaders(ctx context.Context, t *Trial, out io.Writer, readers int, paged bool,
	duration time.Duration) (p99, rss float64, err error) {
	releases := &releaseRecorder{finishedAt: map[string]time.Time{}, releasedAt: map[string]time.Time{}}
	s, err := newControllerTestbed(ctx, t.Program, t.Engines, trialEngineConfig(), t.ControllerLog,
		releases.observe)
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
	readCtx, stop := context.WithTimeout(ctx, duration)
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
			context.AfterFunc(readCtx, func() { r.Close() })
			if r.submitQuery(fmt.Sprintf("%016x", 0xa0000+i), 8000, paged, spoolPatience) != nil {
				return
			}
			answer, err := r.readAnswer(readCtx)
			for page := 1; err == nil && answer.Fields["token"] != ""; page++ {
				_, err = r.requestPage(readCtx, answer.Fields["token"], page)
			}
		}()
	}
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); <-tick.C {
		rss = max(rss, processResidentMB(s.command.Process.Pid))
	}
	wg.Wait()
	p99 = releases.p99HoldSeconds(engine.DefaultConfig().AbandonAfter)
	fmt.Fprintf(out,
		"slow readers, paged %v: %d at 1 KB/s, %d KB each, %d finished, held %.3f s (p99), peak %.1f MB resident\n",
		paged, readers,
		len(world.ExpectedRows(&world.Query{ID: fmt.Sprintf("%016x", 1), Work: engine.Work{Rows: 8000}}))>>10,
		len(releases.finishedAt), p99, rss)
	return p99, rss, s.stopController()
}

// spoolKillCounts counts kills of the controller. After each restart clients read acknowledged results. The
// fields readAttempts, intact, lost and corrupt count all these reads and their outcomes.
type spoolKillCounts struct{ readAttempts, intact, lost, corrupt, kills int }

// countLostAfterKills kills and restarts the controller in each round. The kill comes at a random time while
// clients submit queries. After each restart countLostAfterKills reads the results that the controller
// acknowledged before the kill.
func countLostAfterKills(ctx context.Context, t *Trial, rounds int) (counts spoolKillCounts, err error) {
	s, err := newControllerTestbed(ctx, t.Program, t.Engines, trialEngineConfig(), t.ControllerLog,
		func(int, *engine.Server) {})
	if err != nil {
		return counts, err
	}
	defer s.close()
	rng := rand.New(rand.NewPCG(t.Seed, 77))
	directory := filepath.Join(s.dir, "spool")
	var mu sync.Mutex
	var results []*acknowledgedResult
	id := 0
	for range rounds {
		if err := s.startController(spoolSetupText(t, s, directory)); err != nil {
			return counts, err
		}
		r, err := dialController(s.controllerAddress, 0)
		if err != nil {
			return counts, err
		}
		for _, result := range results {
			switch lost, corrupt := result.verify(ctx, r); {
			case lost:
				counts.lost++
				r.Close()
				if r, err = dialController(s.controllerAddress, 0); err != nil {
					return counts, err
				}
			case corrupt:
				counts.corrupt++
			default:
				counts.intact++
			}
		}
		r.Close()
		counts.readAttempts += len(results)
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
					result := &acknowledgedResult{id: fmt.Sprintf("%016x", 0xb000000+id), rows: 1500 + rng.IntN(6000)}
					mu.Unlock()
					if r.submitQuery(result.id, result.rows, true, spoolPatience) != nil {
						return
					}
					answer, err := r.readAnswer(ctx)
					if err != nil {
						return
					}
					if answer.Kind != client.Finished || answer.Fields["token"] == "" {
						continue
					}
					result.firstPage, result.fields = answer.Rows, answer.Fields
					mu.Lock()
					results = append(results, result)
					mu.Unlock()
				}
			}()
		}
		mu.Lock()
		target := len(results) + 5
		mu.Unlock()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			mu.Lock()
			reached := len(results) >= target
			mu.Unlock()
			if reached {
				break
			}
		}
		mu.Lock()
		wait := time.Duration(rng.IntN(500)) * time.Millisecond
		mu.Unlock()
		time.Sleep(wait)
		s.killController()
		counts.kills++
		wg.Wait()
		if len(results) > 60 { // the latest results are the most likely to be lost in a kill
			results = results[len(results)-60:]
		}
	}
	return counts, nil
}

// measureSpoolWriteRates returns two write rates in MB/s. storeRate is the write rate of the result store.
// plainRate is the rate of plain writes to one file with the same number of syncs.
func measureSpoolWriteRates(dir string, policy resultstore.SyncPolicy) (storeRate, plainRate float64,
	err error) {
	const results, pages, size = 60, 32, 32 << 10
	const resultsPerSegment = 16 // a result has 1 MB; every policy except SyncNever syncs a full segment
	body := bytes.Repeat([]byte("0123456789abcde\n"), size/16)
	start := time.Now()
	file, err := os.Create(filepath.Join(dir, "plain"))
	if err != nil {
		return 0, 0, err
	}
	for n := range results {
		for range pages {
			if _, err := file.Write(body); err != nil {
				return 0, 0, err
			}
		}
		if policy == resultstore.SyncNever ||
			policy == resultstore.SyncOnTick && n%resultsPerSegment != resultsPerSegment-1 {
			continue
		}
		if err := file.Sync(); err != nil {
			return 0, 0, err
		}
	}
	file.Close()
	os.Remove(file.Name())
	total := float64(results*pages*size) / (1 << 20)
	plainRate = total / time.Since(start).Seconds()
	store, err := resultstore.OpenSpoolStore(filepath.Join(dir, fmt.Sprint("ours", policy)),
		resultstore.Options{Sync: policy})
	if err != nil {
		return 0, 0, err
	}
	defer store.Close()
	start = time.Now()
	for i := range results {
		id := store.FirstResultID() + uint64(i) + 1
		rows := make([]uint32, pages)
		for n := range pages {
			job := &resultstore.Job{Pages: []resultstore.Record{{Kind: resultstore.PageRecord, Result: id,
				Page: uint32(n), Body: body}}}
			if n == pages-1 {
				job.Commit = &resultstore.Meta{Result: id, PageRows: rows}
			}
			if store.Do([]*resultstore.Job{job}); job.Err != nil {
				return 0, 0, job.Err
			}
		}
	}
	storeRate = total / time.Since(start).Seconds()
	return storeRate, plainRate, nil
}

// measurePageCPUTime returns the controller's CPU time for serving one page from memory, and the CPU time
// for a query with an unpaged answer of the same size. An engine starts each query at once.
func measurePageCPUTime(ctx context.Context, t *Trial) (pageMicroseconds, answerMicroseconds float64,
	err error) {
	s, err := newControllerTestbed(ctx, t.Program, t.Engines, trialEngineConfig(), t.ControllerLog,
		func(int, *engine.Server) {})
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
	cpuSeconds := func() float64 { return processCPUSeconds(s.command.Process.Pid) }
	before := cpuSeconds()
	answerBytes := 0
	for i := range calls {
		if err := r.submitQuery(fmt.Sprintf("%016x", 0xd0000+i), 1150, false, spoolPatience); err != nil {
			return 0, 0, err
		}
		answer, err := r.readAnswer(ctx)
		if err != nil || answer.Kind != client.Finished {
			return 0, 0, fmt.Errorf("unpaged query: error %v, answer kind %v", err, answer.Kind)
		}
		answerBytes = len(answer.Rows)
	}
	answerMicroseconds = (cpuSeconds() - before) / calls * 1e6
	if err := r.submitQuery(fmt.Sprintf("%016x", 0xe0000), 4000, true, spoolPatience); err != nil {
		return 0, 0, err
	}
	answer, err := r.readAnswer(ctx)
	if err != nil || answer.Fields["token"] == "" {
		return 0, 0, fmt.Errorf("paged query: no page token, error %v, fields %v", err, answer.Fields)
	}
	before = cpuSeconds()
	for range 5 * calls {
		page, err := r.requestPage(ctx, answer.Fields["token"], 1)
		if err != nil || page.Kind != client.Finished || len(page.Rows) < answerBytes*4/5 {
			return 0, 0, fmt.Errorf("page request: error %v, answer kind %v, %d bytes beside an answer of %d",
				err, page.Kind, len(page.Rows), answerBytes)
		}
	}
	return (cpuSeconds() - before) / (5 * calls) * 1e6, answerMicroseconds, s.stopController()
}

// processCPUSeconds returns the user and system CPU time of a process, or 0 if it can't be read.
func processCPUSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100 // the kernel counts in ticks of 10 ms
}

// measureSpoolReopen stores a number of results, and returns the time that it takes to reopen the store.
func measureSpoolReopen(dir string, results int) (time.Duration, error) {
	path := filepath.Join(dir, "many")
	store, err := resultstore.OpenSpoolStore(path,
		resultstore.Options{Sync: resultstore.SyncNever, MaxIndexLag: 20_000})
	if err != nil {
		return 0, err
	}
	for i := range results {
		id := store.FirstResultID() + uint64(i) + 1
		job := &resultstore.Job{
			Pages: []resultstore.Record{{Kind: resultstore.PageRecord, Result: id, Body: []byte("a\tb\tc\n")},
				{Kind: resultstore.PageRecord, Result: id, Page: 1, Body: []byte("d\te\tf\n")}},
			Commit: &resultstore.Meta{Result: id, QueryID: fmt.Sprintf("%016x", i), Tenant: "linz",
				ExpiresMillis: 1 << 60, PageRows: []uint32{1, 1}}}
		if store.Do([]*resultstore.Job{job}); job.Err != nil {
			return 0, job.Err
		}
		if store.NeedsCheckpoint() {
			if _, err := store.Tick(); err != nil {
				return 0, err
			}
		}
	}
	if err := store.Close(); err != nil {
		return 0, err
	}
	start := time.Now()
	if store, err = resultstore.OpenSpoolStore(path, resultstore.Options{}); err != nil {
		return 0, err
	}
	duration := time.Since(start)
	if store.Recovery.Results != results {
		err = fmt.Errorf("the reopened store has %d results, want %d", store.Recovery.Results, results)
	}
	return duration, errors.Join(err, store.Close())
}

// MeasureSpool measures how a controller spools results: with slow readers, with kills, the write rates, the
// CPU time of a page and the time to reopen a store. It uses a controller process and the file system. It
// returns an error if an acknowledged result was lost or corrupted.
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
	counts, err := countLostAfterKills(ctx, t, 10)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "kill -9: %d kills, %d reads of acknowledged results: %d intact, %d lost, %d corrupt\n",
		counts.kills, counts.readAttempts, counts.intact, counts.lost, counts.corrupt)
	dir, err := os.MkdirTemp("", "railrelay-spool")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ratio := 0.0
	for i, name := range []string{"promise", "ticks", "never"} {
		storeRate, plainRate, err := measureSpoolWriteRates(dir, resultstore.SyncPolicy(i))
		if err != nil {
			return err
		}
		if storeRate/plainRate < ratio || i == 0 {
			ratio = storeRate / plainRate
		}
		fmt.Fprintf(out, "spool writes, sync %s: %.0f MB/s; plain writes with the same syncs: %.0f MB/s\n",
			name, storeRate, plainRate)
	}
	pageMicroseconds, answerMicroseconds, err := measurePageCPUTime(ctx, t)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "CPU time of a page from memory: %.1f us, of an unpaged answer of the same size: %.1f us\n",
		pageMicroseconds, answerMicroseconds)
	reopenTime, err := measureSpoolReopen(dir, 100_000)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "measured release_p99_s=%.4f release_p99_before_s=%.4f slow_readers=%d resumed=%.3f promised=%d lost=%d corrupt_served=%d write_ratio=%.3f page_cost=%.3f reopen_s=%.3f rss_mb=%.1f rss_before_mb=%.1f\n",
		p99, beforeP99, readers, float64(counts.intact)/float64(max(1, counts.readAttempts)),
		counts.readAttempts, counts.lost, counts.corrupt, ratio, pageMicroseconds/answerMicroseconds,
		reopenTime.Seconds(), rss, beforeRSS)
	if counts.lost+counts.corrupt > 0 {
		return errors.New("acknowledged results were lost or corrupted")
	}
	return nil
}
