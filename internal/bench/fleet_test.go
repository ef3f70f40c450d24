package bench

import (
	"slices"
	"strings"
	"testing"
)

// Drawn fleets, each of another kind, under all that befalls them.
func TestRandomFleetsKeepTheRules(t *testing.T) {
	ordered, late := 0, 0
	for seed := range uint64(60) {
		p := RandomFleetScenario(seed + 1).Run()
		if len(p.Violations) > 0 {
			t.Errorf("seed %d: %s", seed+1, strings.Join(p.Violations[:min(3, len(p.Violations))], "\n"))
		}
		ordered, late = ordered+p.OrderChecks, late+p.LateDeliveries
	}
	t.Logf("order_checked=%d late_deliveries=%d", ordered, late)
	if ordered < 100 || late < 10 {
		t.Fatal("too little arose")
	}
}

// Three hundred and fifty controllers, half of the engines cold within seven seconds: the limit
// is kept, and not by starving them.
func TestColdEnginesAreSentAtMostTheirBudget(t *testing.T) {
	p := MassRestartScenario(1, 350, 24).Run()
	use := p.ColdWork / p.ColdCapacity
	t.Logf("cold_worst=%.2f cold_use=%.2f service=%.3f", p.MaxColdBudgetUse, use, float64(p.Finished)/float64(p.Queries))
	if len(p.Violations) > 0 || p.MaxColdBudgetUse > 1 {
		t.Fatal(p.MaxColdBudgetUse, strings.Join(p.Violations, "\n"))
	}
	if use < 0.08 {
		t.Fatalf("cold engines were sent %.2f of what they can do", use)
	}
}

// The same day plays the same way, and the shortest of a broken one still breaks.
func TestFleetScenarioIsDeterministic(t *testing.T) {
	d := RandomFleetScenario(5)
	d.KeepTrace = true
	if a, b := d.Run(), d.Run(); !slices.Equal(a.Trace, b.Trace) || len(a.Trace) == 0 {
		t.Fatal("the same day plays another way")
	}
}
