package relay

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
