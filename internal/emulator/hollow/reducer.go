package hollow

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/noop"
)

// observer stands between the edge and the idle reducer: it passes orders and reports on,
// and tells from when to when the controller serves, and by which version.
type observer struct {
	name    string
	started time.Time // the controller's clock counts from it
	gate    *gate
	emit    func(Event)

	mu            sync.Mutex
	activeVersion uint64 // that it is open by, 0: shut
	policy        uint64
	leaseEnd      time.Duration // its lease holds
	serving       bool
	leaseTimer    *time.Timer
}

func newObserver(name string, started time.Time, gate *gate, tell func(Event)) *observer {
	return &observer{name: name, started: started, gate: gate, emit: tell}
}

// serve carries orders out until ctx ends.
func (o *observer) serve(ctx context.Context, orders <-chan fleet.Order, reports chan<- fleet.Report) error {
	passed := make(chan fleet.Order)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer close(passed)
		for {
			select {
			case order := <-orders:
				if !o.gate.pass(false, ctx.Done()) {
					return
				}
				o.observe(order)
				select {
				case passed <- order:
				case <-ctx.Done():
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	err := noop.Controller{}.Serve(ctx, passed, reports)
	<-done
	o.close("stopped")
	return err
}

// take looks at an order before it is carried out. A version's end is told before the
// report of it leaves this controller, its beginning when nothing by it was done yet.
func (o *observer) observe(order fleet.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Since(o.started)
	switch order.Kind {
	case fleet.FencePolicy:
		o.stopServing(now, "shut")
		o.activeVersion = 0
	case fleet.ActivatePolicy:
		o.stopServing(now, "shut")
		o.activeVersion, o.policy = order.Version, digest(order.Policy)
		o.startServing(now)
	case fleet.LeaseRenewed:
		o.stopIfLeaseExpired(now)
		o.leaseEnd = order.LeaseEnd
		if o.leaseEnd <= now {
			o.stopServing(now, "lease")
		}
		o.startServing(now)
	}
}

// begin has it serve where it is open and has a lease.
func (o *observer) startServing(now time.Duration) {
	if o.activeVersion == 0 || now >= o.leaseEnd {
		return
	}
	if !o.serving {
		o.serving = true
		o.emit(Event{Kind: Serving, Name: o.name, At: o.wallTime(now), Version: o.activeVersion, Policy: o.policy})
	}
	if o.leaseTimer != nil {
		o.leaseTimer.Stop()
	}
	o.leaseTimer = time.AfterFunc(o.leaseEnd-now, o.leaseExpired)
}

// stop ends serving, at the end of the lease if that was earlier.
func (o *observer) stopServing(now time.Duration, why string) {
	if !o.serving {
		return
	}
	if o.leaseEnd < now {
		now, why = o.leaseEnd, "lease"
	}
	o.serving = false
	o.emit(Event{Kind: Ended, Name: o.name, At: o.wallTime(now), Version: o.activeVersion, Reason: why})
}

func (o *observer) stopIfLeaseExpired(now time.Duration) {
	if o.leaseEnd <= now {
		o.stopServing(now, "lease")
	}
}

// lapsed is called when the lease should be over.
func (o *observer) leaseExpired() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopIfLeaseExpired(time.Since(o.started))
}

func (o *observer) close(why string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leaseTimer != nil {
		o.leaseTimer.Stop()
	}
	o.stopServing(time.Since(o.started), why)
}

func (o *observer) wallTime(at time.Duration) int64 { return o.started.Add(at).UnixNano() }

// digest names a policy's text; a policy that isn't one is the set-up's own, 0.
func digest(policy any) uint64 {
	text, _ := policy.([]byte)
	if len(text) == 0 {
		return 0
	}
	return xxhash.Sum64(text)
}
