package controller

import (
	"cmp"
	"slices"
	"time"
)

// keyTable assigns numbers to keys: the scheduler identifies keys by number, and distinct keys must have
// distinct numbers. A number is reused once its key has been idle for long enough.
type keyTable struct {
	byName map[string]*orderKey
	free   []int64 // numbers to reuse, the last one first
	next   int64
}

// orderKey is a key whose queries run in the order in which their client sent them.
type orderKey struct {
	name        string
	number      int64
	openQueries int           // queries that are not over yet
	idleSince   time.Duration // when the last open query was over

	// A burst is a series of queries that arrive at the intervals at which a client sends them.
	burstStart     time.Duration // start of the current burst
	lastArrival    time.Duration // when the last query arrived, 0: none has
	lastBeganBurst bool          // the last query started a burst
}

// By the protocol, a client sends the queries of a key keySpacing apart, and the second firstKeySpacing after
// the first. Any query may have waited at its client for that long, even if no earlier one is known here: the
// previous query may have gone to another controller.
const (
	keySpacing      = 60 * time.Millisecond
	firstKeySpacing = 250 * time.Millisecond
	// keySpacingTolerance is how far a query may arrive from its send slot, delayed by the network and by the
	// time until it is read.
	keySpacingTolerance = 4 * time.Millisecond
	// maxKeyGap is how long a burst may continue over unused send slots.
	maxKeyGap = 5 * time.Second
	// keyDeadlineSlack extends a client's estimated deadline. Exceeding the real deadline costs no more than an
	// answer that comes too late.
	keyDeadlineSlack = 300 * time.Millisecond
)

// recordArrival records the arrival of a query of the key. It returns the earliest time since when the query
// may have waited at its client for its send slot: the start of the burst that it belongs to.
//
// A query that its client cancels before sending leaves its slot unused, so the next query arrives a whole
// number of slots later. A query that is sent as soon as it is requested has no reason to arrive in a slot.
// Slots hardly stay unused for longer than the client's timeout.
func (k *orderKey) recordArrival(now, timeout time.Duration) (since time.Duration) {
	spacing := keySpacing
	if k.lastBeganBurst {
		spacing = firstKeySpacing
	}
	gap := now - k.lastArrival
	offset := gap % keySpacing
	inTurn := min(offset, keySpacing-offset) <= keySpacingTolerance && gap < min(2*timeout, maxKeyGap)
	k.lastBeganBurst = k.lastArrival == 0 || gap > spacing+maxNetworkDelay && !inTurn
	if k.lastBeganBurst {
		k.burstStart = now
	}
	k.lastArrival = now
	return k.burstStart
}

func newKeyTable() keyTable { return keyTable{byName: map[string]*orderKey{}} }

// acquire returns the key of a name for one more query. The caller releases it when the query is over.
func (t *keyTable) acquire(name string) *orderKey {
	k := t.byName[name]
	if k == nil {
		k = &orderKey{name: name, number: t.newNumber()}
		t.byName[name] = k
	}
	k.openQueries++
	return k
}

func (t *keyTable) newNumber() int64 {
	last := len(t.free) - 1
	if last < 0 {
		t.next++
		return t.next - 1
	}
	number := t.free[last]
	t.free = t.free[:last]
	return number
}

// release ends the use of a key by one query that is over.
func (t *keyTable) release(k *orderKey, now time.Duration) {
	k.openQueries--
	k.idleSince = now
}

// forgetIdle forgets the keys that have been idle since before a given time.
func (t *keyTable) forgetIdle(before time.Duration) {
	var idle []*orderKey
	for _, k := range t.byName {
		if k.openQueries == 0 && k.idleSince < before {
			idle = append(idle, k)
		}
	}
	slices.SortFunc(idle, func(a, b *orderKey) int { return cmp.Compare(a.number, b.number) })
	for _, k := range idle {
		delete(t.byName, k.name)
		t.free = append(t.free, k.number)
	}
}
