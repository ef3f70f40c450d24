package bench

import (
	"slices"
	"strings"
	"testing"
)

// The delivery rules must hold in fleets with random settings, load and faults.
func TestRandomFleetsKeepTheRules(t *testing.T) {
	orderChecks, lateDeliveries := 0, 0
	for seed := range uint64(60) {
		result := RandomFleetScenario(seed + 1).Run()
		if len(result.Violations) > 0 {
			shown := result.Violations[:min(3, len(result.Violations))]
			t.Errorf("seed %d: %s", seed+1, strings.Join(shown, "\n"))
		}
		orderChecks += result.OrderChecks
		lateDeliveries += result.LateDeliveries
	}
	t.Logf("order_checked=%d late_deliveries=%d", orderChecks, lateDeliveries)
	if orderChecks < 100 || lateDeliveries < 10 {
		t.Fatalf("too few checks: order_checked=%d, at least 100 wanted; late_deliveries=%d, at least 10 wanted",
			orderChecks, lateDeliveries)
	}
}

// 350 controllers, which share no state, must keep the limit of each cold engine when half of the engines
// restart within seven seconds. The cold engines must still be sent queries.
func TestColdEnginesAreSentAtMostTheirBudget(t *testing.T) {
	result := MassRestartScenario(1, 350, 24).Run()
	coldUse := result.ColdWork / result.ColdCapacity
	service := float64(result.Finished) / float64(result.Queries)
	t.Logf("cold_worst=%.2f cold_use=%.2f service=%.3f", result.MaxColdBudgetUse, coldUse, service)
	if len(result.Violations) > 0 || result.MaxColdBudgetUse > 1 {
		t.Fatalf("a cold engine was sent up to %.2f times its limit; violations:\n%s",
			result.MaxColdBudgetUse, strings.Join(result.Violations, "\n"))
	}
	if coldUse < 0.08 {
		t.Fatalf("cold engines were sent %.2f of the work that they could run, want at least 0.08", coldUse)
	}
}

func TestFleetScenarioIsDeterministic(t *testing.T) {
	scenario := RandomFleetScenario(5)
	scenario.KeepTrace = true
	first, second := scenario.Run(), scenario.Run()
	if !slices.Equal(first.Trace, second.Trace) || len(first.Trace) == 0 {
		t.Fatal("two runs of one scenario have different traces, or empty ones")
	}
}
