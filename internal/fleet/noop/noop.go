// Package noop implements the controller's side of the fleet protocol in a process that handles no
// queries: it executes each order at once and reports its completion. Processes with the control
// role and the emulated controllers of scale tests use it.
package noop

import (
	"context"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Controller executes orders. It updates ServingState, if set, as package controller does.
type Controller struct {
	ServingState *fleet.ServingState
	// Delay is the time before each order other than a lease renewal is executed.
	Delay time.Duration
}

// Serve executes orders until ctx ends, or until orders is closed and all reports are sent. While
// reports can't be sent, Serve keeps them and goes on receiving orders: the driver may receive no
// report before its pending orders are received.
func (c Controller) Serve(ctx context.Context, orders <-chan fleet.Order, reports chan<- fleet.Report) error {
	var unsent []fleet.Report
	for orders != nil || len(unsent) > 0 {
		var sendTo chan<- fleet.Report
		var next fleet.Report
		if len(unsent) > 0 {
			sendTo, next = reports, unsent[0]
		}
		select {
		case <-ctx.Done():
			return nil
		case sendTo <- next:
			unsent = unsent[1:]
		case order, open := <-orders:
			if !open {
				orders = nil
				continue
			}
			if !c.wait(ctx, order) {
				return nil
			}
			unsent = append(unsent, c.execute(order)...)
		}
	}
	return nil
}

// wait waits for the delay before an order; it returns false if ctx ends first.
func (c Controller) wait(ctx context.Context, order fleet.Order) bool {
	if order.Kind == fleet.LeaseRenewed || c.Delay <= 0 {
		return true
	}
	select {
	case <-time.After(c.Delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// execute updates the serving state as the order says and returns the reports on it.
func (c Controller) execute(order fleet.Order) []fleet.Report {
	switch order.Kind {
	case fleet.FencePolicy:
		c.setVersion(0)
		return []fleet.Report{{Kind: fleet.PolicyFenced, ChangeID: order.ChangeID}}
	case fleet.ActivatePolicy:
		c.setVersion(order.Version)
		return []fleet.Report{{Kind: fleet.PolicyActivated, Version: order.Version}}
	case fleet.LeaseRenewed:
		if c.ServingState != nil {
			c.ServingState.SetLease(order.LeaseEnd, order.ConfinedLeaseEnd)
		}
	case fleet.InvalidateData:
		return []fleet.Report{{Kind: fleet.DataTombstoned, ID: order.ID}, {Kind: fleet.DataErased, ID: order.ID}}
	}
	return nil
}

func (c Controller) setVersion(version uint64) {
	if c.ServingState != nil {
		c.ServingState.SetVersion(version)
	}
}
