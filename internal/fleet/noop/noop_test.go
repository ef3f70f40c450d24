package noop

import (
	"slices"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

func TestOrdersAreExecutedAndReported(t *testing.T) {
	orders, reports := make(chan fleet.Order, 8), make(chan fleet.Report, 8)
	servingState := &fleet.ServingState{}
	orders <- fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: time.Minute, ConfinedLeaseEnd: time.Second}
	orders <- fleet.Order{Kind: fleet.ActivatePolicy, Version: 3}
	orders <- fleet.Order{Kind: fleet.InvalidateData, ID: "p1"}
	orders <- fleet.Order{Kind: fleet.FencePolicy, ChangeID: "c1"}
	close(orders)
	if err := (Controller{ServingState: servingState, Delay: time.Millisecond}).Serve(t.Context(),
		orders, reports); err != nil {
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
	leaseEnd, confinedLeaseEnd := servingState.LeaseEnds()
	if leaseEnd != time.Minute || confinedLeaseEnd != time.Second || servingState.ServingVersion(0, false) != 0 {
		t.Errorf("lease until %v and %v, version %d after the fence",
			leaseEnd, confinedLeaseEnd, servingState.ServingVersion(0, false))
	}
}

// The driver receives no reports while too many of its orders are pending. A controller that blocked
// on sending a report then would deadlock with the driver.
func TestOrdersAreReceivedWhileReportsAreNot(t *testing.T) {
	orders, reports := make(chan fleet.Order), make(chan fleet.Report)
	done := make(chan error, 1)
	go func() { done <- Controller{}.Serve(t.Context(), orders, reports) }()
	const orderCount = 100
	for range orderCount {
		select {
		case orders <- fleet.Order{Kind: fleet.InvalidateData, ID: "p"}:
		case <-time.After(10 * time.Second):
			t.Fatal("an order was not received")
		}
	}
	close(orders)
	for range 2 * orderCount {
		<-reports
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
