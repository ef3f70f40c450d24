package bench

import (
	"slices"
	"strings"
	"testing"
)

// Drawn fleets, each of another kind, under all that befalls them.
func TestOrderHoldsAcrossDrawnFleets(t *testing.T) {
	ordered, late := 0, 0
	for seed := range uint64(60) {
		p := DrawFleet(seed + 1).Play()
		if len(p.Broken) > 0 {
			t.Errorf("seed %d: %s", seed+1, strings.Join(p.Broken[:min(3, len(p.Broken))], "\n"))
		}
		ordered, late = ordered+p.Ordered, late+p.Late
	}
	t.Logf("order_checked=%d late_deliveries=%d", ordered, late)
	if ordered < 100 || late < 10 {
		t.Fatal("too little arose")
	}
}

// Three hundred and fifty controllers, half of the engines cold within seven seconds: the limit
// is kept, and not by starving them.
func TestHalfOfTheEnginesCold(t *testing.T) {
	p := MassRestart(1, 350, 24).Play()
	use := p.ColdWork / p.ColdAble
	t.Logf("cold_worst=%.2f cold_use=%.2f service=%.3f", p.ColdWorst, use, float64(p.Served)/float64(p.Asked))
	if len(p.Broken) > 0 || p.ColdWorst > 1 {
		t.Fatal(p.ColdWorst, strings.Join(p.Broken, "\n"))
	}
	if use < 0.08 {
		t.Fatalf("cold engines were sent %.2f of what they can do", use)
	}
}

// The same day plays the same way, and the shortest of a broken one still breaks.
func TestADayPlaysTheSame(t *testing.T) {
	d := DrawFleet(5)
	d.Traced = true
	if a, b := d.Play(), d.Play(); !slices.Equal(a.Trace, b.Trace) || len(a.Trace) == 0 {
		t.Fatal("the same day plays another way")
	}
}
