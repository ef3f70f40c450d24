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
	tell    func(Event)

	mu      sync.Mutex
	version uint64 // that it is open by, 0: shut
	policy  uint64
	until   time.Duration // its lease holds
	serving bool
	lapse   *time.Timer
}

func newObserver(name string, started time.Time, gate *gate, tell func(Event)) *observer {
	return &observer{name: name, started: started, gate: gate, tell: tell}
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
				o.take(order)
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
	o.end("stopped")
	return err
}

// take looks at an order before it is carried out. A version's end is told before the
// report of it leaves this controller, its beginning when nothing by it was done yet.
func (o *observer) take(order fleet.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Since(o.started)
	switch order.Kind {
	case fleet.FencePolicy:
		o.stop(now, "shut")
		o.version = 0
	case fleet.ActivatePolicy:
		o.stop(now, "shut")
		o.version, o.policy = order.Version, digest(order.Policy)
		o.begin(now)
	case fleet.LeaseRenewed:
		o.stopLapsed(now)
		o.until = order.LeaseEnd
		if o.until <= now {
			o.stop(now, "lease")
		}
		o.begin(now)
	}
}

// begin has it serve where it is open and has a lease.
func (o *observer) begin(now time.Duration) {
	if o.version == 0 || now >= o.until {
		return
	}
	if !o.serving {
		o.serving = true
		o.tell(Event{Kind: Serving, Name: o.name, At: o.wall(now), Version: o.version, Policy: o.policy})
	}
	if o.lapse != nil {
		o.lapse.Stop()
	}
	o.lapse = time.AfterFunc(o.until-now, o.lapsed)
}

// stop ends serving, at the end of the lease if that was earlier.
func (o *observer) stop(now time.Duration, why string) {
	if !o.serving {
		return
	}
	if o.until < now {
		now, why = o.until, "lease"
	}
	o.serving = false
	o.tell(Event{Kind: Ended, Name: o.name, At: o.wall(now), Version: o.version, Reason: why})
}

func (o *observer) stopLapsed(now time.Duration) {
	if o.until <= now {
		o.stop(now, "lease")
	}
}

// lapsed is called when the lease should be over.
func (o *observer) lapsed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopLapsed(time.Since(o.started))
}

func (o *observer) end(why string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lapse != nil {
		o.lapse.Stop()
	}
	o.stop(time.Since(o.started), why)
}

func (o *observer) wall(at time.Duration) int64 { return o.started.Add(at).UnixNano() }

// digest names a policy's text; a policy that isn't one is the set-up's own, 0.
func digest(policy any) uint64 {
	text, _ := policy.([]byte)
	if len(text) == 0 {
		return 0
	}
	return xxhash.Sum64(text)
}
