package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
)

// MeasureLargeResults spools a number of results of resultMB MB each through a controller with a memory limit
// of 64 MB, and reads each result completely before it requests the next. All results stay on disk until
// the end, so that the measurement can need much time and disk space.
func MeasureLargeResults(ctx context.Context, out io.Writer, program string, results, resultMB int) error {
	const padding = 4000
	rows := resultMB << 20 / (padding + 28)
	config := trialEngineConfig()
	config.PageBytes, config.RowPadding = 48_000, padding
	t := &Trial{Program: program, Engines: 1, Seed: 1, ControllerLog: os.Stderr}
	s, err := newControllerTestbed(ctx, program, 1, config, t.ControllerLog, func(int, *engine.Server) {})
	if err != nil {
		return err
	}
	defer s.close()
	text := strings.Replace(spoolSetupText(t, s, filepath.Join(s.dir, "spool")), "disk_mb: 2048",
		fmt.Sprintf("disk_mb: %d, result_mb: %d, idle: 2h", resultMB*(results+2)*5/4, 2*resultMB), 1)
	if err := s.startController(text); err != nil {
		return err
	}
	peakMB := 0.0
	done := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Add(1)
	pid := s.command.Process.Pid
	go func() {
		defer sampling.Done()
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
				peakMB = max(peakMB, processResidentMB(pid))
			}
		}
	}()
	stopSampling := sync.OnceFunc(func() {
		close(done)
		sampling.Wait()
	})
	defer stopSampling()
	totalBytes := int64(0)
	var spoolTime, readTime time.Duration
	for n := range results {
		r, err := dialController(s.controllerAddress, 0)
		if err != nil {
			return err
		}
		defer r.Close()
		id := fmt.Sprintf("%016x", 0xc0000+n)
		start := time.Now()
		if err := r.submitQuery(id, rows, true, 30*time.Second); err != nil {
			return err
		}
		answer, err := r.readAnswer(ctx)
		if err != nil || answer.Kind != client.Finished {
			return fmt.Errorf("result %d: error %v, answer kind %d, reason: %s", n, err, answer.Kind, answer.Reason)
		}
		spoolTime += time.Since(start)
		want, got := xxhash.New(), xxhash.New()
		for i := range rows {
			want.WriteString(engine.PaddedRow(id, i, padding))
		}
		pages, _ := strconv.Atoi(answer.Fields["pages"])
		resultBytes := int64(len(answer.Rows))
		got.Write(answer.Rows)
		start = time.Now()
		for i := 1; i < pages; i++ {
			page, err := r.requestPage(ctx, answer.Fields["token"], i)
			if err != nil || page.Kind != client.Finished {
				return fmt.Errorf("result %d, page %d of %d: error %v, reason: %s", n, i, pages, err, page.Reason)
			}
			got.Write(page.Rows)
			resultBytes += int64(len(page.Rows))
			if i%30 == 0 { // a controller closes a connection with too many messages in a quarter of a second
				time.Sleep(2 * time.Millisecond)
			}
		}
		readTime += time.Since(start)
		totalBytes += resultBytes
		if got.Sum64() != want.Sum64() {
			return fmt.Errorf("result %d of %d bytes differs from the rows that its engine generated", n, resultBytes)
		}
	}
	stopSampling()
	totalMB := float64(totalBytes) / (1 << 20)
	fmt.Fprintf(out, "measured results=%d spooled_mb=%.0f draw_mb_s=%.0f read_mb_s=%.0f rss_mb=%.1f\n",
		results, totalMB, totalMB/spoolTime.Seconds(), totalMB/readTime.Seconds(), peakMB)
	return s.stopController()
}
