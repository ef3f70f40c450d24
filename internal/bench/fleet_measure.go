package bench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// SearchFleetScenarios runs the random scenarios of successive seeds, three at a time, until maxRuns have
// run or the time limit has passed. It returns the totals of all runs. failed is the scenario with the lowest
// seed among the scenarios that broke a rule, or nil if no rule was broken.
func SearchFleetScenarios(
	ctx context.Context, firstSeed uint64, maxRuns int, timeLimit time.Duration,
) (runs, orderChecks, lateDeliveries, violations int, failed *FleetScenario) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	next, end := 0, time.Now().Add(timeLimit)
	for range 3 {
		wg.Go(func() {
			for {
				mu.Lock()
				seed := firstSeed + uint64(next)
				if next++; next > maxRuns || time.Now().After(end) || ctx.Err() != nil {
					mu.Unlock()
					return
				}
				mu.Unlock()
				scenario := RandomFleetScenario(seed)
				result := scenario.Run()
				mu.Lock()
				runs++
				orderChecks += result.OrderChecks
				lateDeliveries += result.LateDeliveries
				violations += len(result.Violations)
				if len(result.Violations) > 0 && (failed == nil || scenario.Seed < failed.Seed) {
					failed = &scenario
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return runs, orderChecks, lateDeliveries, violations, failed
}

// Explain shrinks a scenario that breaks a rule, and writes the smaller scenario, its first violation, and
// the steps of the queries that the violation names.
func (s FleetScenario) Explain(out io.Writer) {
	const queryIDLength = 16
	s = s.Shrink()
	s.KeepTrace = true
	result := s.Run()
	fmt.Fprintf(out, "seed %d, %d controllers, %d engines, load %.2f for %v, discovery lag up to %v, %v\n",
		s.Seed, s.ControllerCount, s.EngineCount, s.Utilization, s.LoadDuration, s.MaxDiscoveryLag,
		s.SettingOverrides)
	for _, fault := range s.Faults {
		fmt.Fprintln(out, " ", fault)
	}
	if len(result.Violations) == 0 {
		return
	}
	fmt.Fprintln(out, result.Violations[0])
	ids := []string{}
	for word := range strings.FieldsSeq(result.Violations[0]) {
		if len(word) == queryIDLength {
			ids = append(ids, word)
		}
	}
	for _, line := range result.Trace {
		for _, id := range ids {
			if strings.Contains(line, id) {
				fmt.Fprintln(out, " ", line)
				break
			}
		}
	}
}

// fleetArrivalMicros returns the mean time in µs that a controller spends on receiving a query, with the
// given number of engines.
func fleetArrivalMicros(seed uint64, engines int) float64 {
	const rate, meanWork, cores = 200, 0.306, 8 // queries per second, core-seconds per query, per engine
	result := FleetScenario{
		Seed:            seed,
		ControllerCount: 1,
		EngineCount:     engines,
		Utilization:     rate * meanWork / float64(engines*cores),
		LoadDuration:    8 * time.Second,
	}.Run()
	return float64(result.ArrivalTime.Nanoseconds()) / 1e3 / float64(max(1, result.Queries))
}

// fleetMemoryMB starts a controller with the lowest limits and a list of the given number of engines, sends
// the controller a few queries and returns its resident memory in MB.
func fleetMemoryMB(ctx context.Context, program string, seed uint64, engines int) (float64, error) {
	trial := &Trial{Program: program, Engines: engines, Seed: seed}
	recorder := &releaseRecorder{finishedAt: map[string]time.Time{}, releasedAt: map[string]time.Time{}}
	testbed, err := newControllerTestbed(
		ctx, program, engines, trialEngineConfig(), io.Discard, recorder.observe)
	if err != nil {
		return 0, err
	}
	defer testbed.close()
	setup := trial.setupText(testbed.feedAddress, testbed.controllerAddress)
	const trialLimits, lowestLimits = "memory_mb: 256, sockets: 1024", "memory_mb: 32, sockets: 256"
	if err := testbed.startController(strings.Replace(setup, trialLimits, lowestLimits, 1)); err != nil {
		return 0, err
	}
	reader, err := dialController(testbed.controllerAddress, 0)
	if err != nil {
		return 0, err
	}
	defer reader.Close()
	for i := range 200 {
		if err := reader.submitQuery(fmt.Sprintf("%016x", i+1), 3, false, 5*time.Second); err != nil {
			return 0, err
		}
		if _, err := reader.readAnswer(ctx); err != nil {
			return 0, err
		}
	}
	return processResidentMB(testbed.command.Process.Pid), testbed.stopController()
}

// MeasureFleet runs random scenarios, and a scenario with 350 controllers in which half of the engines
// restart. It also measures the time that a controller spends on receiving a query, and a controller's memory
// with 1,024 engines. It prints the violations, and a last line with the results.
func MeasureFleet(ctx context.Context, out io.Writer, program string, seed uint64) error {
	const maxRuns, searchTime = 2000, 15 * time.Second
	firstSeed := seed * 10_000
	runs, orderChecks, lateDeliveries, violations, failed :=
		SearchFleetScenarios(ctx, firstSeed, maxRuns, searchTime)
	if failed != nil {
		failed.Explain(out)
	}
	restart := MassRestartScenario(seed, 350, 24).Run()
	violations += len(restart.Violations)
	for _, violation := range restart.Violations[:min(3, len(restart.Violations))] {
		fmt.Fprintln(out, violation)
	}
	memoryMB, err := fleetMemoryMB(ctx, program, seed, 1024)
	if err != nil {
		return err
	}
	if orderChecks == 0 || lateDeliveries == 0 {
		return fmt.Errorf("the random scenarios checked nothing: order_checked=%d late_deliveries=%d",
			orderChecks, lateDeliveries)
	}
	_, err = fmt.Fprintf(out, "measured runs=%d rules_broken=%d order_checked=%d late_deliveries=%d "+
		"cold_worst=%.2f cold_use=%.2f service=%.3f us_arrival_8=%.1f us_arrival_1024=%.1f rss_mb_1024=%.1f\n",
		runs+1, violations, orderChecks+restart.OrderChecks, lateDeliveries+restart.LateDeliveries,
		restart.MaxColdBudgetUse, restart.ColdWork/restart.ColdCapacity,
		float64(restart.Finished)/float64(restart.Queries),
		fleetArrivalMicros(seed, 8), fleetArrivalMicros(seed, 1024), memoryMB)
	return err
}
