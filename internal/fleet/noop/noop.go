// Package noop stands in for the reducer in a process that takes no queries: it carries
// out each order of the fleet's side at once and reports that it is done. A process of
// the control role and the hollow controllers of scale runs use it.
package noop

import (
	"context"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Controller answers orders. Word, if set, is kept as a reducer would keep it.
type Controller struct {
	ServingState *fleet.ServingState
	// Delay is waited before an order other than a lease is answered; 0: not at all.
	Delay time.Duration
}

// Serve takes orders until ctx ends or orders is closed. Reports that find no room are
// kept here and the next order is taken all the same: the fleet's side may take in no
// report before it is rid of its orders.
func (r Controller) Serve(ctx context.Context, orders <-chan fleet.Order, reports chan<- fleet.Report) error {
	var untold []fleet.Report
	for orders != nil || len(untold) > 0 {
		var room chan<- fleet.Report
		var next fleet.Report
		if len(untold) > 0 {
			room, next = reports, untold[0]
		}
		select {
		case <-ctx.Done():
			return nil
		case room <- next:
			untold = untold[1:]
		case order, open := <-orders:
			if !open {
				orders = nil
				continue
			}
			if !r.wait(ctx, order) {
				return nil
			}
			untold = append(untold, r.answer(order)...)
		}
	}
	return nil
}

// wait is the delay before an order is answered; false if ctx ended meanwhile.
func (r Controller) wait(ctx context.Context, order fleet.Order) bool {
	if order.Kind == fleet.LeaseRenewed || r.Delay <= 0 {
		return true
	}
	select {
	case <-time.After(r.Delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// answer changes the word as the order says and gives what is reported of it.
func (r Controller) answer(order fleet.Order) []fleet.Report {
	switch order.Kind {
	case fleet.FencePolicy:
		r.set(0)
		return []fleet.Report{{Kind: fleet.PolicyFenced, ChangeID: order.ChangeID}}
	case fleet.ActivatePolicy:
		r.set(order.Version)
		return []fleet.Report{{Kind: fleet.PolicyActivated, Version: order.Version}}
	case fleet.LeaseRenewed:
		if r.ServingState != nil {
			r.ServingState.SetLease(order.LeaseEnd, order.ConfinedLeaseEnd)
		}
	case fleet.InvalidateData:
		return []fleet.Report{{Kind: fleet.DataTombstoned, ID: order.ID}, {Kind: fleet.DataErased, ID: order.ID}}
	}
	return nil
}

func (r Controller) set(version uint64) {
	if r.ServingState != nil {
		r.ServingState.SetVersion(version)
	}
}
