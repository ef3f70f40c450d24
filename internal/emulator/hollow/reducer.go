package hollow

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/noop"
)

// observer sits between the driver and the no-op reducer. It forwards orders and reports, and emits
// events when the controller starts and stops serving, with the policy version.
type observer struct {
	name    string
	started time.Time // zero of the controller's clock
	gate    *gate
	emit    func(Event)

	mu            sync.Mutex
	activeVersion uint64 // 0 if fenced
	policy        uint64
	leaseEnd      time.Duration // end of the lease
	serving       bool
	leaseTimer    *time.Timer
}

func newObserver(name string, started time.Time, gate *gate, emit func(Event)) *observer {
	return &observer{name: name, started: started, gate: gate, emit: emit}
}

// serve passes orders to the no-op reducer until ctx is done. A pause of the gate holds them; a cut doesn't.
func (o *observer) serve(ctx context.Context, orders <-chan fleet.Order, reports chan<- fleet.Report) error {
	passed := make(chan fleet.Order)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer close(passed)
		for {
			select {
			case order := <-orders:
				const otherRegion = false
				if !o.gate.pass(otherRegion, ctx.Done()) {
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

// observe inspects an order before it is executed. The end of serving under a version is emitted
// before the controller reports it, the start before any work under the version is done.
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

// startServing starts serving if a version is active and the lease holds.
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

// stopServing ends serving, at the end of the lease if that is earlier.
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

// leaseExpired is the timer callback at the end of the lease.
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

// digest returns the hash of a policy's text, or 0 for the initial configuration, which has no text.
func digest(policy any) uint64 {
	text, _ := policy.([]byte)
	if len(text) == 0 {
		return 0
	}
	return xxhash.Sum64(text)
}
