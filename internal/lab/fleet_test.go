package lab

import (
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
