package bench

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/historycheck"
)

const relayedControllers = 4

// The judgement of sightings finds what it is there for.
func TestMixedSightings(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	serving := func(process string, asked, told int, version uint64) sighting {
		return sighting{process: process, asked: at(asked), told: at(told), serves: true, version: version}
	}
	closed := serving("b", 20, 21, 1)
	closed.serves = false
	control := serving("r", 5, 6, 1)
	control.control = true
	for what, c := range map[string]struct {
		seen  []sighting
		lines []announced
		want  int
	}{
		"one after the other":         {[]sighting{serving("a", 1, 2, 1), serving("b", 3, 4, 2)}, nil, 0},
		"at one moment, perhaps":      {[]sighting{serving("a", 1, 9, 1), serving("b", 3, 4, 2)}, nil, 0},
		"by the old one, later":       {[]sighting{serving("b", 3, 4, 2), serving("a", 5, 6, 1)}, nil, 1},
		"by the old one, not serving": {[]sighting{serving("a", 3, 4, 2), closed}, nil, 0},
		"by the old one, for control": {[]sighting{serving("a", 3, 4, 2), control}, nil, 0},
		"after it was announced":      {[]sighting{serving("a", 5, 6, 1)}, []announced{{"b", at(4), 2}}, 1},
		"before it was announced":     {[]sighting{serving("a", 5, 6, 1)}, []announced{{"b", at(5), 2}}, 0},
	} {
		if broken := mixed(c.seen, c.lines); len(broken) != c.want {
			t.Errorf("%s: %v", what, broken)
		}
	}
	line := `{"level":"info","time":"2026-12-02T05:00:00.000001Z","message":"fleet: policy: version 7 is in force"}`
	if lines := announcedIn("a", []byte("no JSON\n"+line+"\n")); len(lines) != 1 || lines[0].version != 7 {
		t.Error(lines)
	}
}

// Relays fail in each way that processes and links can fail, while a change of policy is
// under way or right before one.
func TestRelaysFail(t *testing.T) {
	f := startRelayed(t, relayedPlan{controllers: relayedControllers, leaseBound: relayedLease / 2})
	f.asks()
	f.awaits("acts of every controller", f.allActed)
	f.playAll(relayRounds())
	broken, err := f.finish()
	f.must(err)
	f.judge(broken)
}

// Relays of other fleets are named by mistake, controllers join while a change is under
// way, and no client asks.
func TestRelaysAndStrangers(t *testing.T) {
	f := startRelayed(t, relayedPlan{controllers: relayedControllers, leaseBound: relayedLease / 2, later: slices.Concat(foreignNames(), joinerNames())})
	f.playAll(strangerRounds())
	f.judge(nil)
}

// playAll plays rounds one after another, each with a change at its end.
func (f *relayed) playAll(rounds []relayRound) {
	t := f.t
	for _, round := range rounds {
		begin := time.Now()
		done := t.Run(round.name, func(t *testing.T) {
			f.t = t
			round.play(f)
			f.serveAll()
			f.changes(f.asker())
			f.tellRound(begin, round.alone)
		})
		f.t = t
		if !done {
			t.FailNow()
		}
	}
}

// tellRound logs how long controllers were without a lease and without an act in a round. Where
// a relay alone has failed, they must not be without a lease for long.
func (f *relayed) tellRound(begin time.Time, alone bool) {
	f.t.Helper()
	const aloneMost = 5 * time.Second // with a lease of 1 s there is no gap, but on a machine that is very busy
	seen := f.watch.since(begin)
	text := fmt.Sprintf("%d ms", time.Since(begin).Milliseconds())
	for i, p := range f.controllers {
		lapse := withoutLease(seen, p.name)
		text += fmt.Sprintf("; %s without a lease %d ms", p.name, lapse.Milliseconds())
		if pause := f.pauseOf(i, begin.Sub(f.startedAt)); pause > 0 {
			text += fmt.Sprintf(", an act %d ms", pause.Milliseconds())
		}
		if alone && lapse > aloneMost {
			f.t.Errorf("%s had no lease for %v, though only a relay has failed", p.name, lapse)
		}
	}
	f.t.Log(text)
}

// judge fails the test for all that was found to be wrong.
func (f *relayed) judge(broken []string) {
	f.t.Helper()
	broken = append(broken, f.watch.broken(f)...)
	f.mu.Lock()
	defer f.mu.Unlock()
	if agreed, why := historycheck.Linearizable(f.changeReports, relayedSlack); !agreed {
		broken = append(broken, "there is no order of these words:\n"+why)
	}
	if len(broken) > 0 {
		f.t.Fatalf("%d things are wrong:\n%s", len(broken), strings.Join(broken[:min(len(broken), brokenMost)], "\n"))
	}
	history := &f.fleetHistory
	f.t.Logf("%d sightings, %d acts, %d changes, %d purges; faults %v", len(f.watch.since(time.Time{})), history.Acts, history.Changes,
		history.Purges, f.faultCounts)
}
