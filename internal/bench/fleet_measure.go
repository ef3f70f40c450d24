package bench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// Hunt plays drawn fleets, from a seed on, until a time has passed or so many were played,
// on three threads. It gives what was played, and the day of the first seed that broke a rule.
func Hunt(ctx context.Context, seed uint64, most int, long time.Duration) (runs, ordered, late, broken int, first *FleetDay) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	next, end := 0, time.Now().Add(long)
	for range 3 {
		wg.Go(func() {
			for {
				mu.Lock()
				mine := seed + uint64(next)
				if next++; next > most || time.Now().After(end) || ctx.Err() != nil {
					mu.Unlock()
					return
				}
				mu.Unlock()
				d := DrawFleet(mine)
				p := d.Play()
				mu.Lock()
				runs, ordered, late, broken = runs+1, ordered+p.Ordered, late+p.Late, broken+len(p.Broken)
				if len(p.Broken) > 0 && (first == nil || d.Seed < first.Seed) {
					first = &d
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return runs, ordered, late, broken, first
}

// Explain says how a day breaks a rule, by the shortest of its stretches that does.
func (d FleetDay) Explain(out io.Writer) {
	d = d.Shortest()
	d.Traced = true
	p := d.Play()
	fmt.Fprintf(out, "seed %d, %d controllers, %d engines, load %.2f for %v, list late by up to %v, %v\n", d.Seed, d.Controllers, d.Engines,
		d.Load, d.Long, d.Lag, d.Facts)
	for _, i := range d.Ills {
		fmt.Fprintln(out, " ", i)
	}
	if len(p.Broken) == 0 {
		return
	}
	fmt.Fprintln(out, p.Broken[0])
	ids := []string{}
	for w := range strings.FieldsSeq(p.Broken[0]) {
		if len(w) == 16 {
			ids = append(ids, w)
		}
	}
	for _, line := range p.Trace {
		for _, id := range ids {
			if strings.Contains(line, id) {
				fmt.Fprintln(out, " ", line)
				break
			}
		}
	}
}

// arrival is what a controller takes for a query as it comes, with so many engines, in us.
func arrival(seed uint64, engines int) float64 {
	const rate, work = 200, 0.306
	p := FleetDay{Seed: seed, Controllers: 1, Engines: engines, Load: rate * work / float64(engines*8), Long: 8 * time.Second}.Play()
	return float64(p.Arrivals.Nanoseconds()) / 1e3 / float64(max(1, p.Asked))
}

// memoryAt is what a controller with the least limits has resident with so many engines
// listed, after a few queries, in MB.
func memoryAt(ctx context.Context, program string, seed uint64, engines int) (float64, error) {
	t := &Trial{Program: program, Engines: engines, Seed: seed}
	s, err := newControllerTestbed(ctx, program, engines, trialEngineConfig(), io.Discard, (&releaseRecorder{finishedAt: map[string]time.Time{}, releasedAt: map[string]time.Time{}}).observe)
	if err != nil {
		return 0, err
	}
	defer s.close()
	if err := s.startController(strings.Replace(t.setupText(s.feedAddress, s.controllerAddress), "memory_mb: 256, sockets: 1024", "memory_mb: 32, sockets: 256", 1)); err != nil {
		return 0, err
	}
	r, err := dialController(s.controllerAddress, 0)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	for i := range 200 {
		if err := r.submitQuery(fmt.Sprintf("%016x", i+1), 3, false, 5*time.Second); err != nil {
			return 0, err
		}
		if _, err := r.readAnswer(ctx); err != nil {
			return 0, err
		}
	}
	return processResidentMB(s.command.Process.Pid), s.stopController()
}

// MeasureFleet plays drawn fleets and one of 350 controllers half of whose engines start
// anew, and says what an arrival takes and what memory 1,024 engines do.
func MeasureFleet(ctx context.Context, out io.Writer, program string, seed uint64) error {
	const hunted = 15 * time.Second
	runs, ordered, late, broken, first := Hunt(ctx, seed*10_000, 2000, hunted)
	if first != nil {
		first.Explain(out)
	}
	mass := MassRestart(seed, 350, 24).Play()
	broken += len(mass.Broken)
	for _, what := range mass.Broken[:min(3, len(mass.Broken))] {
		fmt.Fprintln(out, what)
	}
	rss, err := memoryAt(ctx, program, seed, 1024)
	if err != nil {
		return err
	}
	if ordered == 0 || late == 0 {
		return fmt.Errorf("nothing was judged: order_checked=%d late_deliveries=%d", ordered, late)
	}
	_, err = fmt.Fprintf(out, "measured runs=%d rules_broken=%d order_checked=%d late_deliveries=%d cold_worst=%.2f cold_use=%.2f service=%.3f "+
		"us_arrival_8=%.1f us_arrival_1024=%.1f rss_mb_1024=%.1f\n", runs+1, broken, ordered+mass.Ordered, late+mass.Late, mass.ColdWorst,
		mass.ColdWork/mass.ColdAble, float64(mass.Served)/float64(mass.Asked), arrival(seed, 8), arrival(seed, 1024), rss)
	return err
}
