package bench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// SearchFleetScenarios plays drawn fleets, from a seed on, until a time has passed or so many were played,
// on three threads. It gives what was played, and the day of the first seed that broke a rule.
func SearchFleetScenarios(ctx context.Context, seed uint64, most int, long time.Duration) (runs, ordered, late, broken int, first *FleetScenario) {
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
				d := RandomFleetScenario(mine)
				p := d.Run()
				mu.Lock()
				runs, ordered, late, broken = runs+1, ordered+p.OrderChecks, late+p.LateDeliveries, broken+len(p.Violations)
				if len(p.Violations) > 0 && (first == nil || d.Seed < first.Seed) {
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
func (d FleetScenario) Explain(out io.Writer) {
	d = d.Shrink()
	d.KeepTrace = true
	p := d.Run()
	fmt.Fprintf(out, "seed %d, %d controllers, %d engines, load %.2f for %v, list late by up to %v, %v\n", d.Seed, d.ControllerCount, d.EngineCount,
		d.Utilization, d.LoadDuration, d.MaxDiscoveryLag, d.SettingOverrides)
	for _, i := range d.Faults {
		fmt.Fprintln(out, " ", i)
	}
	if len(p.Violations) == 0 {
		return
	}
	fmt.Fprintln(out, p.Violations[0])
	ids := []string{}
	for w := range strings.FieldsSeq(p.Violations[0]) {
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

// fleetArrivalMicros is what a controller takes for a query as it comes, with so many engines, in us.
func fleetArrivalMicros(seed uint64, engines int) float64 {
	const rate, work = 200, 0.306
	p := FleetScenario{Seed: seed, ControllerCount: 1, EngineCount: engines, Utilization: rate * work / float64(engines*8), LoadDuration: 8 * time.Second}.Run()
	return float64(p.ArrivalTime.Nanoseconds()) / 1e3 / float64(max(1, p.Queries))
}

// fleetMemoryMB is what a controller with the least limits has resident with so many engines
// listed, after a few queries, in MB.
func fleetMemoryMB(ctx context.Context, program string, seed uint64, engines int) (float64, error) {
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
	runs, ordered, late, broken, first := SearchFleetScenarios(ctx, seed*10_000, 2000, hunted)
	if first != nil {
		first.Explain(out)
	}
	mass := MassRestartScenario(seed, 350, 24).Run()
	broken += len(mass.Violations)
	for _, what := range mass.Violations[:min(3, len(mass.Violations))] {
		fmt.Fprintln(out, what)
	}
	rss, err := fleetMemoryMB(ctx, program, seed, 1024)
	if err != nil {
		return err
	}
	if ordered == 0 || late == 0 {
		return fmt.Errorf("nothing was judged: order_checked=%d late_deliveries=%d", ordered, late)
	}
	_, err = fmt.Fprintf(out, "measured runs=%d rules_broken=%d order_checked=%d late_deliveries=%d cold_worst=%.2f cold_use=%.2f service=%.3f "+
		"us_arrival_8=%.1f us_arrival_1024=%.1f rss_mb_1024=%.1f\n", runs+1, broken, ordered+mass.OrderChecks, late+mass.LateDeliveries, mass.MaxColdBudgetUse,
		mass.ColdWork/mass.ColdCapacity, float64(mass.Finished)/float64(mass.Queries), fleetArrivalMicros(seed, 8), fleetArrivalMicros(seed, 1024), rss)
	return err
}
