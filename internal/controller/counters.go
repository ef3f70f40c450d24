package controller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/invariant"
)

// counters count what happened since the start. The texts under which they are logged are listed in
// docs/oncall.md.
type counters struct {
	// clients
	connections   int // accepted
	disconnected  int // closed by us for a limit that was passed
	idleClosed    int
	malformed     int // messages and calls that can't be used
	aliveRequests int

	// queries
	received  int
	finished  int
	deferred  int
	killed    int
	abandoned int // cancelled by their clients, or their clients went

	// engines
	attempts           int
	attemptEnds        [outcomeCount]int // by outcome
	healthChecks       int
	dials              int
	queuedCalls        int // that had to wait for a connection
	rejectedWrites     int // whose guards failed right before the first byte
	engineResponses    int
	progressNotes      int
	unexpectedMessages int // responses that can't be used, and what of the list is not understood
	pollRetries        int // calls that came to nothing and were repeated
	firstByteDelays    []time.Duration

	// discovery
	listEvents      int
	discoveryDials  int
	discoveryFaults int
	reloads         int
}

const outcomeCount = 8

// outcomeNames are the scheduler's outcomes as the log names them.
var outcomeNames = [outcomeCount]string{
	"finished", "errored", "full", "timed-out", "unreachable", "reset", "cancelled", "never-sent",
}

// maxFirstByteDelays bounds the delays that the median is taken of: at least half as many, the latest.
const maxFirstByteDelays = 1000

// recordFirstByte notes the time from a query's arrival to the first byte of its first attempt.
func (n *counters) recordFirstByte(delay time.Duration) {
	if len(n.firstByteDelays) >= maxFirstByteDelays {
		n.firstByteDelays = n.firstByteDelays[maxFirstByteDelays/2:]
	}
	n.firstByteDelays = append(n.firstByteDelays, delay)
}

// text is the line of the log.
func (n *counters) format(c *Controller) string {
	var b strings.Builder
	fmt.Fprintf(&b, "taken %d finished %d deferred %d killed %d left %d open %d",
		n.received, n.finished, n.deferred, n.killed, n.abandoned, len(c.queries))
	fmt.Fprintf(&b, "; clients %d of %d turned off %d idle %d malformed %d",
		len(c.clients), n.connections, n.disconnected, n.idleClosed, n.malformed)
	n.addEngines(&b, c)
	fmt.Fprintf(&b, "; list event %d connections %d faults %d reloads %d",
		c.discovery.lastEvent, n.discoveryDials, n.discoveryFaults, n.reloads)
	n.addFirstByteDelays(&b)
	if c.fairQueue != nil {
		b.WriteString(c.fairQueue.countersText())
	}
	if c.paging != nil {
		b.WriteString(c.paging.countersText())
	}
	if c.caching != nil {
		b.WriteString(c.caching.core.CountersText())
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

func (n *counters) addEngines(b *strings.Builder, c *Controller) {
	fmt.Fprintf(b, "; submissions %d", n.attempts)
	for outcome, count := range n.attemptEnds {
		if count > 0 {
			fmt.Fprintf(b, " %s %d", outcomeNames[outcome], count)
		}
	}
	fmt.Fprintf(b, "; engine answers %d notes %d odd %d asked again %d probes %d dials %d"+
		" links %d of %d waited %d",
		n.engineResponses, n.progressNotes, n.unexpectedMessages, n.pollRetries, n.healthChecks, n.dials,
		c.pool.open, c.pool.limit, n.queuedCalls)
	if n.rejectedWrites > 0 {
		fmt.Fprintf(b, " barred %d", n.rejectedWrites)
	}
}

func (n *counters) addFirstByteDelays(b *strings.Builder) {
	if len(n.firstByteDelays) == 0 {
		return
	}
	delays := slices.Sorted(slices.Values(n.firstByteDelays))
	fmt.Fprintf(b, "; to first byte ms median %.1f worst tenth %.1f",
		milliseconds(delays[len(delays)/2]), milliseconds(delays[len(delays)*9/10]))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
