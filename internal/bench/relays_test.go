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

func TestMixedVersionsAreFound(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	serving := func(process string, requestedMs, answeredMs int, version uint64) relayStatusSample {
		return relayStatusSample{process: process, requestedAt: at(requestedMs), answeredAt: at(answeredMs),
			serves: true, version: version}
	}
	oldNotServing := serving("b", 20, 21, 1)
	oldNotServing.serves = false
	oldControlRole := serving("r", 5, 6, 1)
	oldControlRole.controlRole = true
	for name, c := range map[string]struct {
		samples       []relayStatusSample
		announcements []relayAnnouncement
		want          int
	}{
		"new version after the old one": {
			samples: []relayStatusSample{serving("a", 1, 2, 1), serving("b", 3, 4, 2)},
		},
		"overlapping requests": {
			samples: []relayStatusSample{serving("a", 1, 9, 1), serving("b", 3, 4, 2)},
		},
		"old version after the new one": {
			samples: []relayStatusSample{serving("b", 3, 4, 2), serving("a", 5, 6, 1)},
			want:    1,
		},
		"old version, not serving": {
			samples: []relayStatusSample{serving("a", 3, 4, 2), oldNotServing},
		},
		"old version, control role": {
			samples: []relayStatusSample{serving("a", 3, 4, 2), oldControlRole},
		},
		"old version after the announcement": {
			samples:       []relayStatusSample{serving("a", 5, 6, 1)},
			announcements: []relayAnnouncement{{"b", at(4), 2}},
			want:          1,
		},
		"old version up to the announcement": {
			samples:       []relayStatusSample{serving("a", 5, 6, 1)},
			announcements: []relayAnnouncement{{"b", at(5), 2}},
		},
	} {
		if violations := findMixedVersions(c.samples, c.announcements); len(violations) != c.want {
			t.Errorf("%s: %d violations, want %d: %v", name, len(violations), c.want, violations)
		}
	}
	line := `{"level":"info","time":"2026-12-02T05:00:00.000001Z",` +
		`"message":"fleet: policy: version 7 is in force"}`
	announcements := parseAnnouncements("a", []byte("no JSON\n"+line+"\n"))
	if len(announcements) != 1 || announcements[0].version != 7 {
		t.Errorf("announcements in the log: %v, want one of version 7", announcements)
	}
}

// Relays fail in each way in which processes and links can fail, during a policy change or right before it.
// The fleet must keep its rules, and each change must come into force.
func TestFleetToleratesRelayFaults(t *testing.T) {
	f := startRelayFleet(t, relayFleetConfig{
		controllers:   relayFleetControllers,
		confinedLease: relayFleetLease / 2,
	})
	f.startClients()
	f.requireEventually("an action of each controller", f.allControllersActed)
	f.runCases(relayFaultCases())
	violations, err := f.finish()
	f.must(err)
	f.checkHistory(violations)
}

// Controllers with a wrong relay in their settings are rejected by this relay, and served through their other
// relay. Further controllers join while changes are under way. The fleet has no clients.
func TestForeignRelaysAreRefusedAndControllersJoin(t *testing.T) {
	f := startRelayFleet(t, relayFleetConfig{
		controllers:   relayFleetControllers,
		confinedLease: relayFleetLease / 2,
		lateMembers:   slices.Concat(foreignRelayNames(), relayJoinerNames()),
	})
	f.runCases(foreignRelayCases())
	f.checkHistory(nil)
}

// runCases runs cases on the fleet, one after another. At the end of each case all processes must serve and
// a change must come into force.
func (f *relayFleet) runCases(cases []relayCase) {
	t := f.t
	for _, c := range cases {
		begin := time.Now()
		passed := t.Run(c.name, func(t *testing.T) {
			f.t = t
			c.run(f)
			f.requireServing()
			f.requireChange(f.requestTarget())
			f.reportCase(begin, c.onlyRelayFails)
		})
		f.t = t
		if !passed {
			t.FailNow()
		}
	}
}

// reportCase logs how long each controller was without a lease, and without an action, in a case. If only
// a relay failed, a long time without a lease is an error.
func (f *relayFleet) reportCase(begin time.Time, onlyRelayFailed bool) {
	f.t.Helper()
	// On a machine that isn't very busy, a controller always holds its lease of 1 s.
	const maxLeaseGap = 5 * time.Second
	samples := f.monitor.samplesSince(begin)
	text := fmt.Sprintf("%d ms", time.Since(begin).Milliseconds())
	for i, p := range f.controllers {
		gap := longestLeaseGap(samples, p.name)
		text += fmt.Sprintf("; %s: %d ms without a lease", p.name, gap.Milliseconds())
		if pause := f.longestPause(i, begin.Sub(f.startedAt)); pause > 0 {
			text += fmt.Sprintf(", %d ms without an action", pause.Milliseconds())
		}
		if onlyRelayFailed && gap > maxLeaseGap {
			f.t.Errorf("%s had no lease for %v after the fault of one relay, want at most %v",
				p.name, gap, maxLeaseGap)
		}
	}
	f.t.Log(text)
}

// checkHistory fails the test if there are violations. Besides the given violations, it checks for violations
// that the monitor observed, and for reports to operators that no order of the changes explains.
func (f *relayFleet) checkHistory(violations []string) {
	f.t.Helper()
	violations = append(violations, f.monitor.violations(f)...)
	f.mu.Lock()
	defer f.mu.Unlock()
	if ok, why := historycheck.Linearizable(f.changeReports, relayFleetSlack); !ok {
		violations = append(violations, "no order of the changes explains these reports:\n"+why)
	}
	if len(violations) > 0 {
		shown := violations[:min(len(violations), relayFailuresShown)]
		f.t.Fatalf("%d violations, of which the first are:\n%s", len(violations), strings.Join(shown, "\n"))
	}
	history := &f.fleetHistory
	f.t.Logf("%d status samples, %d actions, %d changes, %d purges; faults %v",
		len(f.monitor.samplesSince(time.Time{})), history.Acts, history.Changes, history.Purges, f.faultCounts)
}
