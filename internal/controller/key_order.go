package controller

import (
	"cmp"
	"slices"
	"time"
)

// keyTable gives keys numbers: the scheduler knows keys by number, and unequal keys must have
// unequal numbers. A number is used again once its key has been idle for long enough.
type keyTable struct {
	byName map[string]*orderKey
	free   []int64 // numbers to use again, the last first
	next   int64
}

// orderKey is a key whose queries run in the order in which their client wrote them.
type orderKey struct {
	name        string
	number      int64
	openQueries int           // not over yet
	idleSince   time.Duration // when the last query was over

	// A burst is queries that come as close together as clients write them.
	burstStart     time.Duration // when the current one began
	lastArrival    time.Duration // when the last query came, 0: none has
	lastBeganBurst bool          // the last query began a burst
}

// Clients write the queries of a key keySpacing apart, by the protocol, and the second
// firstKeySpacing after the first. For so long any of them may have waited at its client, though
// no other is known here: the one before may have gone to another controller.
const (
	keySpacing      = 60 * time.Millisecond
	firstKeySpacing = 250 * time.Millisecond
	// keySpacingTolerance is how far a query may come from its turn, delayed by the network and
	// by when it is read.
	keySpacingTolerance = 4 * time.Millisecond
	// maxKeyGap is how long a burst is held to go on over turns that stay empty.
	maxKeyGap = 5 * time.Second
	// keyDeadlineSlack may pass after a client's deadline: it harms no more than an answer
	// that comes too late.
	keyDeadlineSlack = 300 * time.Millisecond
)

// recordArrival notes a query of the key, and gives the time since when it may have been waiting at
// its client for its turn: the start of the burst that it belongs to.
//
// A query that its client took back before it was written leaves its turn empty, so that the next
// comes at a whole number of turns; one that is written just as it is asked has no reason to.
// Turns stay empty for hardly longer than a client waits, its patience.
func (k *orderKey) recordArrival(now, patience time.Duration) (since time.Duration) {
	apart := keySpacing
	if k.lastBeganBurst {
		apart = firstKeySpacing
	}
	gap := now - k.lastArrival
	off := gap % keySpacing
	inTurn := min(off, keySpacing-off) <= keySpacingTolerance && gap < min(2*patience, maxKeyGap)
	k.lastBeganBurst = k.lastArrival == 0 || gap > apart+maxNetworkDelay && !inTurn
	if k.lastBeganBurst {
		k.burstStart = now
	}
	k.lastArrival = now
	return k.burstStart
}

func newKeyTable() keyTable { return keyTable{byName: map[string]*orderKey{}} }

// acquire gives the key of a name for one more query, to be released when that is over.
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

func (t *keyTable) release(k *orderKey, now time.Duration) {
	k.openQueries--
	k.idleSince = now
}

// forgetIdle forgets the keys that have been idle since before a time.
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
