package controller

import (
	"cmp"
	"slices"
	"time"
)

// keyring gives keys numbers: the decisions know keys by number, and unequal
// ones must stay unequal. A number is used again once its key has rested.
type keyring struct {
	byName map[string]*key
	free   []int64
	next   int64
}

type key struct {
	name   string
	number int64
	open   int
	since  time.Duration
	run    time.Duration // since when its queries come as close together as clients write them
	came   time.Duration // when the last one came
	lone   bool          // that began the run
}

// Clients write the queries of a key so far apart, by the protocol, and the first two further. So long
// any of them may have waited, though none is known here: the one before may have gone to another controller.
const (
	keyApart      = 60 * time.Millisecond
	keyFirstApart = 250 * time.Millisecond
	keyOff        = 4 * time.Millisecond // from its turn, on the network and as we read
	keyHeld       = 5 * time.Second      // what a client held back is seen over empty turns for so long at the most
	// keyLate is what may pass after a client's time and harms no more than an answer that earns nothing.
	keyLate = 300 * time.Millisecond
)

// comes notes a query of the key, and says since when it may have been waiting for its turn to be
// written: what comes as close behind another as clients write may have waited as long as that goes on.
//
// What a client took back before it wrote it leaves its turn empty, so that a client with more to write
// writes at whole numbers of turns; what comes just as it is asked has no reason to. Turns stay empty for
// hardly longer than a client waits, its patience.
func (k *key) comes(now, patience time.Duration) (since time.Duration) {
	apart := keyApart
	if k.lone {
		apart = keyFirstApart
	}
	gap := now - k.came
	off := gap % keyApart
	inTurn := min(off, keyApart-off) <= keyOff && gap < min(2*patience, keyHeld)
	if k.lone = k.came == 0 || gap > apart+onTheWay && !inTurn; k.lone {
		k.run = now
	}
	k.came = now
	return k.run
}

func newKeyring() keyring { return keyring{byName: map[string]*key{}} }

func (k *keyring) take(name string) *key {
	have := k.byName[name]
	if have == nil {
		have = &key{name: name, number: k.next}
		if last := len(k.free) - 1; last >= 0 {
			have.number, k.free = k.free[last], k.free[:last]
		} else {
			k.next++
		}
		k.byName[name] = have
	}
	have.open++
	return have
}

func (k *keyring) release(have *key, now time.Duration) {
	have.open--
	have.since = now
}

func (k *keyring) sweep(before time.Duration) {
	var gone []*key
	for _, have := range k.byName {
		if have.open == 0 && have.since < before {
			gone = append(gone, have)
		}
	}
	slices.SortFunc(gone, func(a, b *key) int { return cmp.Compare(a.number, b.number) })
	for _, have := range gone {
		delete(k.byName, have.name)
		k.free = append(k.free, have.number)
	}
}
