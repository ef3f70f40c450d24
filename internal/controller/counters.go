package controller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/invariant"
)

// counters count events since the start. docs/oncall.md lists the texts under which they are logged.
type counters struct {
	// clients
	connections  int // accepted
	disconnected int // closed by the controller because a limit was exceeded
	// unansweredCalls are the calls that were open when the controller closed their client's connection.
	unansweredCalls int
	pacedCalls      int // queries and page reads that had to wait for the pace of their connection
	idleClosed      int
	malformed       int // invalid messages and calls
	aliveRequests   int

	// queries
	received  int
	finished  int
	deferred  int
	killed    int
	abandoned int // cancelled by the client, or the client disconnected

	// engines
	attempts           int
	attemptEnds        [outcomeCount]int // by outcome
	healthChecks       int
	dials              int
	queuedCalls        int // calls that had to wait for a connection
	rejectedWrites     int // writes whose guards failed right before the first byte
	engineResponses    int
	progressNotes      int
	unexpectedMessages int // invalid responses, and entries of the endpoint list that are not understood
	duplicateResults   int // results that were equal to another query's on the same connection
	pollRetries        int // failed polls that were retried
	firstByteDelays    []time.Duration

	// discovery
	listEvents      int
	discoveryDials  int
	discoveryFaults int
	reloads         int
}

const outcomeCount = 8

// outcomeNames are the log names of the scheduler's outcomes.
var outcomeNames = [outcomeCount]string{
	"finished", "errored", "full", "timed-out", "unreachable", "reset", "cancelled", "never-sent",
}

// maxFirstByteDelays bounds the delays kept for the median. At the bound the older half is dropped.
const maxFirstByteDelays = 1000

// recordFirstByte records the time from a query's arrival to the first byte of its first attempt.
func (counts *counters) recordFirstByte(delay time.Duration) {
	if len(counts.firstByteDelays) >= maxFirstByteDelays {
		counts.firstByteDelays = counts.firstByteDelays[maxFirstByteDelays/2:]
	}
	counts.firstByteDelays = append(counts.firstByteDelays, delay)
}

// format returns the counters as one log line.
func (counts *counters) format(c *Controller) string {
	var b strings.Builder
	fmt.Fprintf(&b, "taken %d finished %d deferred %d killed %d left %d open %d",
		counts.received, counts.finished, counts.deferred, counts.killed, counts.abandoned, len(c.queries))
	fmt.Fprintf(&b, "; clients %d of %d turned off %d idle %d malformed %d unanswered %d paced %d",
		len(c.clients), counts.connections, counts.disconnected, counts.idleClosed, counts.malformed,
		counts.unansweredCalls, counts.pacedCalls)
	counts.addEngines(&b, c)
	fmt.Fprintf(&b, "; list event %d connections %d faults %d reloads %d",
		c.discovery.lastEvent, counts.discoveryDials, counts.discoveryFaults, counts.reloads)
	counts.addFirstByteDelays(&b)
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
	fmt.Fprintf(&b, "; did not hold %d", invariant.Violations())
	return b.String()
}

func (counts *counters) addEngines(b *strings.Builder, c *Controller) {
	fmt.Fprintf(b, "; submissions %d", counts.attempts)
	for outcome, count := range counts.attemptEnds {
		if count > 0 {
			fmt.Fprintf(b, " %s %d", outcomeNames[outcome], count)
		}
	}
	fmt.Fprintf(b, "; engine answers %d notes %d odd %d doubled %d asked again %d probes %d dials %d"+
		" links %d of %d waited %d",
		counts.engineResponses, counts.progressNotes, counts.unexpectedMessages, counts.duplicateResults,
		counts.pollRetries, counts.healthChecks, counts.dials, c.pool.open, c.pool.limit, counts.queuedCalls)
	if counts.rejectedWrites > 0 {
		fmt.Fprintf(b, " barred %d", counts.rejectedWrites)
	}
}

func (counts *counters) addFirstByteDelays(b *strings.Builder) {
	if len(counts.firstByteDelays) == 0 {
		return
	}
	delays := slices.Sorted(slices.Values(counts.firstByteDelays))
	fmt.Fprintf(b, "; to first byte ms median %.1f worst tenth %.1f",
		milliseconds(delays[len(delays)/2]), milliseconds(delays[len(delays)*9/10]))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
