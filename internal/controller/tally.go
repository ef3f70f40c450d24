package controller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/invariant"
)

// tally counts what comes in, goes out and is answered.
type tally struct {
	connections, turnedOff, malformed, alive int
	idled                                    int
	taken, finished, deferred, killed, left  int
	submissions, probes, dials, waited       int
	barred                                   int // first bytes that were let go and not written
	answers, notes, odd, again               int
	events, feedDials, feedFaults, reloads   int
	ends                                     [8]int // by outcome
	delays                                   []time.Duration
}

var outcomeNames = [8]string{"finished", "errored", "full", "timed-out", "unreachable", "reset", "cancelled", "never-sent"}

// firstByte notes the time from a query's arrival to the first byte of its
// first submission, of the last thousand.
func (t *tally) firstByte(delay time.Duration) {
	if len(t.delays) >= 1000 {
		t.delays = t.delays[500:]
	}
	t.delays = append(t.delays, delay)
}

func (t *tally) text(r *Controller) string {
	var b strings.Builder
	fmt.Fprintf(&b, "taken %d finished %d deferred %d killed %d left %d open %d", t.taken, t.finished, t.deferred,
		t.killed, t.left, len(r.queries))
	fmt.Fprintf(&b, "; clients %d of %d turned off %d idle %d malformed %d", len(r.clients), t.connections, t.turnedOff,
		t.idled, t.malformed)
	fmt.Fprintf(&b, "; submissions %d", t.submissions)
	for i, n := range t.ends {
		if n > 0 {
			fmt.Fprintf(&b, " %s %d", outcomeNames[i], n)
		}
	}
	fmt.Fprintf(&b, "; engine answers %d notes %d odd %d asked again %d probes %d dials %d links %d of %d waited %d", t.answers, t.notes,
		t.odd, t.again, t.probes, t.dials, r.pool.links, r.pool.most, t.waited)
	if t.barred > 0 {
		fmt.Fprintf(&b, " barred %d", t.barred)
	}
	fmt.Fprintf(&b, "; list event %d connections %d faults %d reloads %d", r.feed.last, t.feedDials,
		t.feedFaults, t.reloads)
	if len(t.delays) > 0 {
		d := slices.Sorted(slices.Values(t.delays))
		fmt.Fprintf(&b, "; to first byte ms median %.1f worst tenth %.1f", ms(d[len(d)/2]), ms(d[len(d)*9/10]))
	}
	if r.fair != nil {
		b.WriteString(r.fair.text())
	}
	if r.paging != nil {
		b.WriteString(r.paging.text())
	}
	if r.caching != nil {
		b.WriteString(r.caching.core.Text())
	}
	if r.purges != nil {
		b.WriteString(r.purges.text())
	}
	if r.warrant != nil {
		b.WriteString(r.warrant.text())
	}
	fmt.Fprintf(&b, "; did not hold %d", invariant.Broken())
	return b.String()
}

func ms(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }
