package transport

import (
	"maps"
	"sync"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// tally counts what was done and refused, and has each reason said once a minute for
// each peer. The wire and the control surface have one each.
type tally struct {
	started   time.Time
	onRefused func(fleet.Remedied, string) // nil: nothing is said
	countMu   sync.Mutex
	counts    map[string]int
	said      sayings
}

func (t *tally) begin(onRefused func(fleet.Remedied, string)) {
	t.started, t.onRefused, t.counts, t.said = time.Now(), onRefused, map[string]int{}, sayings{}
}

func (t *tally) all() map[string]int {
	t.countMu.Lock()
	defer t.countMu.Unlock()
	return maps.Clone(t.counts)
}

func (t *tally) count(name string, n int) {
	t.countMu.Lock()
	t.counts[name] += n
	t.countMu.Unlock()
}

// refuse counts something that wasn't taken, and says it if it is time to.
func (t *tally) refuse(err Refused, from string) {
	t.countMu.Lock()
	t.counts["refused_"+err.Reason()]++
	say := t.said.say(from, err.Reason(), time.Since(t.started))
	t.countMu.Unlock()
	if say && t.onRefused != nil {
		t.onRefused(err, from)
	}
}
