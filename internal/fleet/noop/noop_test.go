package noop

import (
	"slices"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

func TestEveryOrderIsCarriedOutAndReported(t *testing.T) {
	orders, reports := make(chan fleet.Order, 8), make(chan fleet.Report, 8)
	word := &fleet.ServingState{}
	orders <- fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: time.Minute, ConfinedLeaseEnd: time.Second}
	orders <- fleet.Order{Kind: fleet.ActivatePolicy, Version: 3}
	orders <- fleet.Order{Kind: fleet.InvalidateData, ID: "p1"}
	orders <- fleet.Order{Kind: fleet.FencePolicy, ChangeID: "c1"}
	close(orders)
	if err := (Controller{ServingState: word, Delay: time.Millisecond}).Serve(t.Context(), orders, reports); err != nil {
		t.Fatal(err)
	}
	close(reports)
	var kinds []fleet.ReportKind
	for r := range reports {
		kinds = append(kinds, r.Kind)
	}
	want := []fleet.ReportKind{fleet.PolicyActivated, fleet.DataTombstoned, fleet.DataErased, fleet.PolicyFenced}
	if !slices.Equal(kinds, want) {
		t.Errorf("reported %v, want %v", kinds, want)
	}
	until, bound := word.LeaseEnds()
	if until != time.Minute || bound != time.Second || word.ServingVersion(0, false) != 0 {
		t.Errorf("lease until %v and %v, version %d after a shut", until, bound, word.ServingVersion(0, false))
	}
}

// The fleet's side takes in no report while too many of its orders wait: whoever waited
// with a report then would wait for good.
func TestOrdersAreTakenWhileNobodyTakesReports(t *testing.T) {
	orders, reports := make(chan fleet.Order), make(chan fleet.Report)
	done := make(chan error, 1)
	go func() { done <- Controller{}.Serve(t.Context(), orders, reports) }()
	const most = 100
	for range most {
		select {
		case orders <- fleet.Order{Kind: fleet.InvalidateData, ID: "p"}:
		case <-time.After(10 * time.Second):
			t.Fatal("an order is not taken")
		}
	}
	close(orders)
	for range 2 * most {
		<-reports
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
