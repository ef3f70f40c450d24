package historycheck

import (
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Each case breaks one invariant of the fleet; the stretch shows both ends of it.
func TestEachInvariantCanBreak(t *testing.T) {
	fresh := func() *Fleet {
		f := &Fleet{}
		f.Changed(1, "a", "c2", "in force", 2)
		f.Acted(2, 2, "a", "q1", 2)
		f.Drawn(3, "q2", "linz", 7)
		f.Rules(0, "c2", Rule{Team: "linz", Tables: []int64{7}, Sites: []string{"east"}})
		return f
	}
	purged := func(f *Fleet, word string) {
		f.PurgeAsked(4, "p", fleet.Scope{Team: "linz", Tables: []int64{7}})
		f.PurgeTold(5, "a", "p", word, &fleet.InvalidationCounts{Results: 1})
	}
	for what, x := range map[string]struct {
		kind string
		do   func(f *Fleet)
	}{
		"an act by the version before":      {Mixed, func(f *Fleet) { f.Acted(3, 3, "b", "q3", 1) }},
		"an act by one nobody else has yet": {Half, func(f *Fleet) { f.Changed(3, "a", "c3", "in force", 3); f.Acted(9, 8, "b", "q3", 2) }},
		"an act by what was withdrawn":      {Half, func(f *Fleet) { f.Changed(3, "a", "c3", "withdrawn", 0); f.ActedFor(4, "b", "q3", "c3") }},
		"what was acted by is withdrawn":    {Half, func(f *Fleet) { f.ActedFor(3, "b", "q3", "c3"); f.Changed(4, "a", "c3", "withdrawn", 0) }},
		"withdrawn after in force":          {FalseWord, func(f *Fleet) { f.Changed(3, "b", "c2", "withdrawn", 0) }},
		"in force by another version":       {FalseWord, func(f *Fleet) { f.Changed(3, "b", "c2", "in force", 3) }},
		"two changes of one version":        {FalseWord, func(f *Fleet) { f.Changed(3, "b", "c9", "in force", 2) }},
		"a page after unreachable":          {ServedAfter, func(f *Fleet) { purged(f, "unreachable"); f.Served(8, 7, "b", "q2") }},
		"a page after purged":               {ServedAfter, func(f *Fleet) { purged(f, "purged"); f.Served(8, 7, "b", "q2") }},
		"a disk that holds it":              {ConfirmedWrongly, func(f *Fleet) { purged(f, "purged"); f.Held(8, "b", "q2") }},
		"another count":                     {FalseWord, func(f *Fleet) { purged(f, "purged"); f.PurgeTold(8, "b", "p", "purged", &fleet.InvalidationCounts{}) }},
		"refused once it was done":          {FalseWord, func(f *Fleet) { purged(f, "purged"); f.PurgeTold(8, "b", "p", "refused", nil) }},
		"a bound query in the west":         {Crossed, func(f *Fleet) { f.Ran(4, 4, "a", "q2", "linz", "west", 7) }},
		"once it may not be there any more": {Crossed, func(f *Fleet) {
			f.Loosed(4, "linz", "west")
			f.Fastened(5, "linz")
			f.Ran(7, 6, "a", "q2", "linz", "west", 7)
		}},
		"by rules that hold no more": {Crossed, func(f *Fleet) {
			f.Rules(4, "c3", Rule{"linz", nil, []string{"west"}})
			f.RulesAre(5, "c3", true)
			f.Ran(8, 6, "a", "q2", "linz", "east", 7)
		}},
		"by rules that were withdrawn": {Crossed, func(f *Fleet) {
			f.Rules(4, "c3", Rule{"linz", nil, []string{"west"}})
			f.RulesAre(5, "c3", false)
			f.Ran(8, 6, "a", "q2", "linz", "west", 7)
		}},
		"an act with slack, asked for after it": {Mixed, func(f *Fleet) { f.Slack = time.Second; f.Acted(4, 3, "b", "q3", 1) }},
	} {
		f := fresh()
		if x.do(f); len(f.Faults) != 1 || f.Count(x.kind) != 1 || len(f.Faults[0].Stretch) == 0 {
			t.Errorf("%s: %v", what, f.Faults)
		}
	}
	f := fresh()
	f.Slack = 5
	f.Acted(3, 1, "b", "q0", 1) // it was seen late
	f.Changed(4, "b", "c2", "settled", 2)
	f.Changed(4, "b", "c2", "unknown", 0)
	f.Served(4, 4, "b", "q2")
	f.Held(4, "b", "q2")
	purged(f, "purged")
	purged(f, "purged")
	f.Drawn(9, "q5", "linz", 7)
	f.Served(10, 10, "b", "q5")
	f.Ran(11, 11, "b", "q5", "linz", "east", 7)
	f.Ran(11, 11, "b", "q6", "linz", "west", 8)
	f.Loosed(12, "linz", "west")
	f.Ran(13, 13, "b", "q7", "linz", "west", 7)
	if len(f.Faults) > 0 || f.Bound != 2 || f.Changes != 1 || f.Acts != 2 {
		t.Errorf("a good run: %v, %+v", f.Faults, f)
	}
}

func TestWordsHaveOneOrder(t *testing.T) {
	w := func(from, to time.Duration, id string, base uint64, word string, version uint64) Word {
		return Word{Client: int(from) % 3, From: from, To: to, ID: id, Base: base, Proposes: true, Word: word, Version: version}
	}
	good := []Word{w(1, 5, "a", 1, "in force", 2), w(2, 6, "b", 1, "refused", 0), w(7, 9, "c", 2, "unknown", 0),
		w(10, 12, "d", 3, "in force", 4), // c has come into force after all
		{From: 13, To: 14, ID: "a", Word: "in force", Version: 2, Base: 1}, {From: 13, To: 14, JustVersion: true, Version: 3}}
	if ok, why := Agreed(good, time.Second); !ok {
		t.Error(why)
	}
	for what, bad := range map[string][]Word{
		"two win against one version":  {w(1, 5, "a", 1, "in force", 2), w(2, 6, "b", 1, "in force", 2)},
		"a version nobody could see":   {w(1, 5, "a", 1, "in force", 2), {From: 6, To: 7, JustVersion: true, Version: 3}},
		"another word later":           {w(1, 5, "a", 1, "in force", 2), {From: 6, To: 7, ID: "a", Word: "withdrawn"}},
		"in force, and gone once more": {w(1, 5, "a", 1, "in force", 2), w(6, 7, "b", 1, "in force", 2)},
	} {
		ok, why := Agreed(bad, time.Second)
		if ok || !strings.Contains(why, "against") {
			t.Errorf("%s: %v %s", what, ok, why)
		}
	}
}
