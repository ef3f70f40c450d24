package bench

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/historycheck"
)

const relayFleetControllers = 4

// The judgement of sightings finds what it is there for.
func TestMixedVersionsAreFound(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	serving := func(process string, asked, told int, version uint64) relayStatusSample {
		return relayStatusSample{process: process, requested: at(asked), answered: at(told), serving: true, version: version}
	}
	closed := serving("b", 20, 21, 1)
	closed.serving = false
	control := serving("r", 5, 6, 1)
	control.controlRole = true
	for what, c := range map[string]struct {
		seen  []relayStatusSample
		lines []relayAnnouncement
		want  int
	}{
		"one after the other":         {[]relayStatusSample{serving("a", 1, 2, 1), serving("b", 3, 4, 2)}, nil, 0},
		"at one moment, perhaps":      {[]relayStatusSample{serving("a", 1, 9, 1), serving("b", 3, 4, 2)}, nil, 0},
		"by the old one, later":       {[]relayStatusSample{serving("b", 3, 4, 2), serving("a", 5, 6, 1)}, nil, 1},
		"by the old one, not serving": {[]relayStatusSample{serving("a", 3, 4, 2), closed}, nil, 0},
		"by the old one, for control": {[]relayStatusSample{serving("a", 3, 4, 2), control}, nil, 0},
		"after it was announced":      {[]relayStatusSample{serving("a", 5, 6, 1)}, []relayAnnouncement{{"b", at(4), 2}}, 1},
		"before it was announced":     {[]relayStatusSample{serving("a", 5, 6, 1)}, []relayAnnouncement{{"b", at(5), 2}}, 0},
	} {
		if broken := findMixedVersions(c.seen, c.lines); len(broken) != c.want {
			t.Errorf("%s: %v", what, broken)
		}
	}
	line := `{"level":"info","time":"2026-12-02T05:00:00.000001Z","message":"fleet: policy: version 7 is in force"}`
	if lines := parseAnnouncements("a", []byte("no JSON\n"+line+"\n")); len(lines) != 1 || lines[0].version != 7 {
		t.Error(lines)
	}
}

// Relays fail in each way that processes and links can fail, while a change of policy is
// under way or right before one.
func TestFleetToleratesRelayFaults(t *testing.T) {
	f := startRelayFleet(t, relayFleetConfig{controllers: relayFleetControllers, leaseBound: relayFleetLease / 2})
	f.startClients()
	f.requireEventually("acts of every controller", f.allControllersActed)
	f.runCases(relayFaultCases())
	broken, err := f.finish()
	f.must(err)
	f.checkHistory(broken)
}

// Relays of other fleets are named by mistake, controllers join while a change is under
// way, and no client asks.
func TestForeignRelaysAreRefusedAndControllersJoin(t *testing.T) {
	f := startRelayFleet(t, relayFleetConfig{controllers: relayFleetControllers, leaseBound: relayFleetLease / 2, lateMembers: slices.Concat(foreignRelayNames(), relayJoinerNames())})
	f.runCases(foreignRelayCases())
	f.checkHistory(nil)
}

// runCases plays rounds one after another, each with a change at its end.
func (f *relayFleet) runCases(rounds []relayCase) {
	t := f.t
	for _, round := range rounds {
		begin := time.Now()
		done := t.Run(round.name, func(t *testing.T) {
			f.t = t
			round.run(f)
			f.requireServing()
			f.requireChange(f.requestTarget())
			f.reportCase(begin, round.onlyRelayFails)
		})
		f.t = t
		if !done {
			t.FailNow()
		}
	}
}

// reportCase logs how long controllers were without a lease and without an act in a round. Where
// a relay alone has failed, they must not be without a lease for long.
func (f *relayFleet) reportCase(begin time.Time, alone bool) {
	f.t.Helper()
	const aloneMost = 5 * time.Second // with a lease of 1 s there is no gap, but on a machine that is very busy
	seen := f.monitor.samplesSince(begin)
	text := fmt.Sprintf("%d ms", time.Since(begin).Milliseconds())
	for i, p := range f.controllers {
		lapse := longestLeaseGap(seen, p.name)
		text += fmt.Sprintf("; %s without a lease %d ms", p.name, lapse.Milliseconds())
		if pause := f.longestPause(i, begin.Sub(f.startedAt)); pause > 0 {
			text += fmt.Sprintf(", an act %d ms", pause.Milliseconds())
		}
		if alone && lapse > aloneMost {
			f.t.Errorf("%s had no lease for %v, though only a relay has failed", p.name, lapse)
		}
	}
	f.t.Log(text)
}

// checkHistory fails the test for all that was found to be wrong.
func (f *relayFleet) checkHistory(broken []string) {
	f.t.Helper()
	broken = append(broken, f.monitor.violations(f)...)
	f.mu.Lock()
	defer f.mu.Unlock()
	if agreed, why := historycheck.Linearizable(f.changeReports, relayFleetSlack); !agreed {
		broken = append(broken, "there is no order of these words:\n"+why)
	}
	if len(broken) > 0 {
		f.t.Fatalf("%d things are wrong:\n%s", len(broken), strings.Join(broken[:min(len(broken), relayFailuresShown)], "\n"))
	}
	history := &f.fleetHistory
	f.t.Logf("%d sightings, %d acts, %d changes, %d purges; faults %v", len(f.monitor.samplesSince(time.Time{})), history.Acts, history.Changes,
		history.Purges, f.faultCounts)
}
