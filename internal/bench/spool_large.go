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

// MeasureLargeResults draws so many results, each of so many MB, through a program of 64 MB, one
// after another, and reads each to its end; all are kept. It takes long and much disk.
func MeasureLargeResults(ctx context.Context, out io.Writer, program string, results, size int) error {
	const wide = 4000
	rows := size << 20 / (wide + 28)
	f := trialEngineConfig()
	f.PageBytes, f.RowPadding = 48_000, wide
	t := &Trial{Program: program, Engines: 1, Seed: 1, ControllerLog: os.Stderr}
	s, err := newControllerTestbed(ctx, program, 1, f, t.ControllerLog, func(int, *engine.Server) {})
	if err != nil {
		return err
	}
	defer s.close()
	text := strings.Replace(spoolSetupText(t, s, filepath.Join(s.dir, "spool")), "disk_mb: 2048", fmt.Sprintf("disk_mb: %d, result_mb: %d, idle: 2h", size*(results+2)*5/4, 2*size), 1)
	if err := s.startController(text); err != nil {
		return err
	}
	most := 0.0
	done := make(chan struct{})
	var sampled sync.WaitGroup
	sampled.Add(1)
	pid := s.command.Process.Pid
	go func() {
		defer sampled.Done()
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
				most = max(most, processResidentMB(pid))
			}
		}
	}()
	finish := sync.OnceFunc(func() {
		close(done)
		sampled.Wait()
	})
	defer finish()
	spooled := int64(0)
	var drawn, read time.Duration
	for n := range results {
		r, err := dialController(s.controllerAddress, 0)
		if err != nil {
			return err
		}
		defer r.Close()
		id := fmt.Sprintf("%016x", 0xc0000+n)
		begin := time.Now()
		if err := r.submitQuery(id, rows, true, 30*time.Second); err != nil {
			return err
		}
		a, err := r.readAnswer(ctx)
		if err != nil || a.Kind != client.Finished {
			return fmt.Errorf("result %d: error %v, answer of kind %d %s", n, err, a.Kind, a.Reason)
		}
		drawn += time.Since(begin)
		want, got := xxhash.New(), xxhash.New()
		for i := range rows {
			want.WriteString(engine.PaddedRow(id, i, wide))
		}
		pages, _ := strconv.Atoi(a.Fields["pages"])
		size := int64(len(a.Rows))
		got.Write(a.Rows)
		begin = time.Now()
		for i := 1; i < pages; i++ {
			b, err := r.requestPage(ctx, a.Fields["token"], i)
			if err != nil || b.Kind != client.Finished {
				return fmt.Errorf("result %d, page %d of %d: %v, %s", n, i, pages, err, b.Reason)
			}
			got.Write(b.Rows)
			size += int64(len(b.Rows))
			if i%30 == 0 { // as one address may
				time.Sleep(2 * time.Millisecond)
			}
		}
		read += time.Since(begin)
		spooled += size
		if got.Sum64() != want.Sum64() {
			return fmt.Errorf("result %d of %d bytes is not what its engine made", n, size)
		}
	}
	finish()
	mb := float64(spooled) / (1 << 20)
	fmt.Fprintf(out, "measured results=%d spooled_mb=%.0f draw_mb_s=%.0f read_mb_s=%.0f rss_mb=%.1f\n", results, mb, mb/drawn.Seconds(), mb/read.Seconds(), most)
	return s.stopController()
}
