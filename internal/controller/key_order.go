package controller

import (
	"cmp"
	"slices"
	"time"
)

// keyring gives keys numbers: the decisions know keys by number, and unequal
// ones must stay unequal. A number is used again once its key has rested.
type keyTable struct {
	byName map[string]*orderKey
	free   []int64
	next   int64
}

type orderKey struct {
	name        string
	number      int64
	openQueries int
	idleSince   time.Duration
	burstStart  time.Duration // since when its queries come as close together as clients write them
	lastArrival time.Duration // when the last one came
	beganBurst  bool          // that began the run
}

// Clients write the queries of a key so far apart, by the protocol, and the first two further. So long
// any of them may have waited, though none is known here: the one before may have gone to another controller.
const (
	keySpacing          = 60 * time.Millisecond
	firstKeySpacing     = 250 * time.Millisecond
	keySpacingTolerance = 4 * time.Millisecond // from its turn, on the network and as we read
	maxKeyGap           = 5 * time.Second      // what a client held back is seen over empty turns for so long at the most
	// keyLate is what may pass after a client's time and harms no more than an answer that earns nothing.
	keyDeadlineSlack = 300 * time.Millisecond
)

// comes notes a query of the key, and says since when it may have been waiting for its turn to be
// written: what comes as close behind another as clients write may have waited as long as that goes on.
//
// What a client took back before it wrote it leaves its turn empty, so that a client with more to write
// writes at whole numbers of turns; what comes just as it is asked has no reason to. Turns stay empty for
// hardly longer than a client waits, its patience.
func (k *orderKey) noteArrival(now, patience time.Duration) (since time.Duration) {
	apart := keySpacing
	if k.beganBurst {
		apart = firstKeySpacing
	}
	gap := now - k.lastArrival
	off := gap % keySpacing
	inTurn := min(off, keySpacing-off) <= keySpacingTolerance && gap < min(2*patience, maxKeyGap)
	if k.beganBurst = k.lastArrival == 0 || gap > apart+networkDelay && !inTurn; k.beganBurst {
		k.burstStart = now
	}
	k.lastArrival = now
	return k.burstStart
}

func newKeyTable() keyTable { return keyTable{byName: map[string]*orderKey{}} }

func (k *keyTable) acquire(name string) *orderKey {
	have := k.byName[name]
	if have == nil {
		have = &orderKey{name: name, number: k.next}
		if last := len(k.free) - 1; last >= 0 {
			have.number, k.free = k.free[last], k.free[:last]
		} else {
			k.next++
		}
		k.byName[name] = have
	}
	have.openQueries++
	return have
}

func (k *keyTable) release(have *orderKey, now time.Duration) {
	have.openQueries--
	have.idleSince = now
}

func (k *keyTable) forgetIdle(before time.Duration) {
	var gone []*orderKey
	for _, have := range k.byName {
		if have.openQueries == 0 && have.idleSince < before {
			gone = append(gone, have)
		}
	}
	slices.SortFunc(gone, func(a, b *orderKey) int { return cmp.Compare(a.number, b.number) })
	for _, have := range gone {
		delete(k.byName, have.name)
		k.free = append(k.free, have.number)
	}
}
