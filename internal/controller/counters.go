package controller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/invariant"
)

// tally counts what comes in, goes out and is answered.
type counters struct {
	connections, disconnected, malformed, aliveCalls     int
	idleClosed                                           int
	received, finished, deferred, killed, abandoned      int
	attempts, healthChecks, dials, queuedCalls           int
	barredWrites                                         int // first bytes that were let go and not written
	engineResponses, progressNotes, unexpected, repolls  int
	listEvents, discoveryDials, discoveryFaults, reloads int
	attemptEnds                                          [8]int // by outcome
	firstByteDelays                                      []time.Duration
}

var outcomeNames = [8]string{"finished", "errored", "full", "timed-out", "unreachable", "reset", "cancelled", "never-sent"}

// firstByte notes the time from a query's arrival to the first byte of its
// first submission, of the last thousand.
func (t *counters) recordFirstByte(delay time.Duration) {
	if len(t.firstByteDelays) >= 1000 {
		t.firstByteDelays = t.firstByteDelays[500:]
	}
	t.firstByteDelays = append(t.firstByteDelays, delay)
}

func (t *counters) text(c *Controller) string {
	var b strings.Builder
	fmt.Fprintf(&b, "taken %d finished %d deferred %d killed %d left %d open %d", t.received, t.finished, t.deferred,
		t.killed, t.abandoned, len(c.queries))
	fmt.Fprintf(&b, "; clients %d of %d turned off %d idle %d malformed %d", len(c.clients), t.connections, t.disconnected,
		t.idleClosed, t.malformed)
	fmt.Fprintf(&b, "; submissions %d", t.attempts)
	for i, n := range t.attemptEnds {
		if n > 0 {
			fmt.Fprintf(&b, " %s %d", outcomeNames[i], n)
		}
	}
	fmt.Fprintf(&b, "; engine answers %d notes %d odd %d asked again %d probes %d dials %d links %d of %d waited %d", t.engineResponses, t.progressNotes,
		t.unexpected, t.repolls, t.healthChecks, t.dials, c.pool.open, c.pool.limit, t.queuedCalls)
	if t.barredWrites > 0 {
		fmt.Fprintf(&b, " barred %d", t.barredWrites)
	}
	fmt.Fprintf(&b, "; list event %d connections %d faults %d reloads %d", c.discovery.lastEvent, t.discoveryDials,
		t.discoveryFaults, t.reloads)
	if len(t.firstByteDelays) > 0 {
		d := slices.Sorted(slices.Values(t.firstByteDelays))
		fmt.Fprintf(&b, "; to first byte ms median %.1f worst tenth %.1f", ms(d[len(d)/2]), ms(d[len(d)*9/10]))
	}
	if c.fairQueue != nil {
		b.WriteString(c.fairQueue.countersText())
	}
	if c.paging != nil {
		b.WriteString(c.paging.countersText())
	}
	if c.caching != nil {
		b.WriteString(c.caching.core.Text())
	}
	if c.invalidation != nil {
		b.WriteString(c.invalidation.countersText())
	}
	if c.servingLease != nil {
		b.WriteString(c.servingLease.countersText())
	}
	fmt.Fprintf(&b, "; did not hold %d", invariant.Broken())
	return b.String()
}

func ms(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }
