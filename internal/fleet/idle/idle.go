// Package idle stands in for the reducer in a process that takes no queries: it carries
// out each order of the fleet's side at once and reports that it is done. A process of
// the control role and the hollow controllers of scale runs use it.
package idle

import (
	"context"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Reducer answers orders. Word, if set, is kept as a reducer would keep it.
type Reducer struct {
	Word *fleet.Word
	// Delay is waited before an order other than a lease is answered; 0: not at all.
	Delay time.Duration
}

// Serve takes orders until ctx ends or orders is closed.
func (r Reducer) Serve(ctx context.Context, orders <-chan fleet.Order, reports chan<- fleet.Report) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case order, open := <-orders:
			if !open {
				return nil
			}
			if r.carryOut(ctx, order, reports) != nil {
				return nil
			}
		}
	}
}

func (r Reducer) carryOut(ctx context.Context, order fleet.Order, reports chan<- fleet.Report) error {
	if order.Kind != fleet.Renewed && r.Delay > 0 {
		select {
		case <-time.After(r.Delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for _, report := range r.answer(order) {
		select {
		case reports <- report:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// answer changes the word as the order says and gives what is reported of it.
func (r Reducer) answer(order fleet.Order) []fleet.Report {
	switch order.Kind {
	case fleet.Shut:
		r.set(0)
		return []fleet.Report{{Kind: fleet.Closed, Change: order.Change}}
	case fleet.Open:
		r.set(order.Version)
		return []fleet.Report{{Kind: fleet.Opened, Version: order.Version}}
	case fleet.Renewed:
		if r.Word != nil {
			r.Word.Lease(order.Until, order.UntilBound)
		}
	case fleet.Drop:
		return []fleet.Report{{Kind: fleet.Unreached, ID: order.ID}, {Kind: fleet.Wiped, ID: order.ID}}
	}
	return nil
}

func (r Reducer) set(version uint64) {
	if r.Word != nil {
		r.Word.Set(version)
	}
}
