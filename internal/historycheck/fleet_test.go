package historycheck

import (
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Each case violates one invariant of the fleet, and the checker must report the violation with an
// excerpt.
func TestEachInvariantViolationIsReported(t *testing.T) {
	fresh := func() *FleetHistory {
		f := &FleetHistory{}
		f.ChangeReported(1, "a", "c2", "in force", 2)
		f.Acted(2, 2, "a", "q1", 2)
		f.ResultStarted(3, "q2", "linz", 7)
		f.AddRules(0, "c2", Rule{Tenant: "linz", Tables: []int64{7}, Sites: []string{"east"}})
		return f
	}
	purged := func(f *FleetHistory, outcome string) {
		f.PurgeRequested(4, "p", fleet.Scope{Tenant: "linz", Tables: []int64{7}})
		f.PurgeReported(5, "a", "p", outcome, &fleet.InvalidationCounts{Results: 1})
	}
	for name, test := range map[string]struct {
		kind    string
		violate func(f *FleetHistory)
	}{
		"act by an older version": {StaleVersion, func(f *FleetHistory) { f.Acted(3, 3, "b", "q3", 1) }},
		"act by an older version after a change in force": {PartialChange, func(f *FleetHistory) {
			f.ChangeReported(3, "a", "c3", "in force", 3)
			f.Acted(9, 8, "b", "q3", 2)
		}},
		"act by a withdrawn change": {PartialChange, func(f *FleetHistory) {
			f.ChangeReported(3, "a", "c3", "withdrawn", 0)
			f.ActedByChange(4, "b", "q3", "c3")
		}},
		"withdrawn after an act": {PartialChange, func(f *FleetHistory) {
			f.ActedByChange(3, "b", "q3", "c3")
			f.ChangeReported(4, "a", "c3", "withdrawn", 0)
		}},
		"withdrawn after in force": {Contradiction, func(f *FleetHistory) {
			f.ChangeReported(3, "b", "c2", "withdrawn", 0)
		}},
		"in force by another version": {Contradiction, func(f *FleetHistory) {
			f.ChangeReported(3, "b", "c2", "in force", 3)
		}},
		"two changes of one version": {Contradiction, func(f *FleetHistory) {
			f.ChangeReported(3, "b", "c9", "in force", 2)
		}},
		"page served after unreachable": {ServedAfterPurge, func(f *FleetHistory) {
			purged(f, "unreachable")
			f.Served(8, 7, "b", "q2")
		}},
		"page served after purged": {ServedAfterPurge, func(f *FleetHistory) {
			purged(f, "purged")
			f.Served(8, 7, "b", "q2")
		}},
		"result on disk after purged": {FalsePurge, func(f *FleetHistory) {
			purged(f, "purged")
			f.FoundOnDisk(8, "b", "q2")
		}},
		"different counts": {Contradiction, func(f *FleetHistory) {
			purged(f, "purged")
			f.PurgeReported(8, "b", "p", "purged", &fleet.InvalidationCounts{})
		}},
		"refused after purged": {Contradiction, func(f *FleetHistory) {
			purged(f, "purged")
			f.PurgeReported(8, "b", "p", "refused", nil)
		}},
		"run outside the bound sites": {PlacementFault, func(f *FleetHistory) {
			f.Ran(4, 4, "a", "q2", "linz", "west", 7)
		}},
		"run after the allowance was revoked": {PlacementFault, func(f *FleetHistory) {
			f.AllowSites(4, "linz", "west")
			f.RevokeSites(5, "linz")
			f.Ran(7, 6, "a", "q2", "linz", "west", 7)
		}},
		"run under superseded rules": {PlacementFault, func(f *FleetHistory) {
			f.AddRules(4, "c3", Rule{"linz", nil, []string{"west"}})
			f.SettleRules(5, "c3", true)
			f.Ran(8, 6, "a", "q2", "linz", "east", 7)
		}},
		"run under withdrawn rules": {PlacementFault, func(f *FleetHistory) {
			f.AddRules(4, "c3", Rule{"linz", nil, []string{"west"}})
			f.SettleRules(5, "c3", false)
			f.Ran(8, 6, "a", "q2", "linz", "west", 7)
		}},
		"act within the slack for a query sent later": {StaleVersion, func(f *FleetHistory) {
			f.Slack = time.Second
			f.Acted(4, 3, "b", "q3", 1)
		}},
	} {
		f := fresh()
		if test.violate(f); len(f.Faults) != 1 || f.Count(test.kind) != 1 || len(f.Faults[0].Excerpt) == 0 {
			t.Errorf("%s: %v", name, f.Faults)
		}
	}
	f := fresh()
	f.Slack = 5
	f.Acted(3, 1, "b", "q0", 1) // within the slack
	f.ChangeReported(4, "b", "c2", "settled", 2)
	f.ChangeReported(4, "b", "c2", "unknown", 0)
	f.Served(4, 4, "b", "q2")
	f.FoundOnDisk(4, "b", "q2")
	purged(f, "purged")
	purged(f, "purged")
	f.ResultStarted(9, "q5", "linz", 7)
	f.Served(10, 10, "b", "q5")
	f.Ran(11, 11, "b", "q5", "linz", "east", 7)
	f.Ran(11, 11, "b", "q6", "linz", "west", 8)
	f.AllowSites(12, "linz", "west")
	f.Ran(13, 13, "b", "q7", "linz", "west", 7)
	if len(f.Faults) > 0 || f.Bound != 2 || f.Changes != 1 || f.Acts != 2 {
		t.Errorf("faults in a history without violations: %v, %+v", f.Faults, f)
	}
}

func TestLinearizable(t *testing.T) {
	propose := func(
		from, to time.Duration, id string, base uint64, outcome string, version uint64,
	) ChangeReport {
		return ChangeReport{Client: int(from) % 3, From: from, To: to, ID: id, Base: base, Proposes: true,
			Outcome: outcome, Version: version}
	}
	valid := []ChangeReport{
		propose(1, 5, "a", 1, "in force", 2),
		propose(2, 6, "b", 1, "refused", 0),
		propose(7, 9, "c", 2, "unknown", 0),
		propose(10, 12, "d", 3, "in force", 4), // c took effect, although its outcome was unknown
		{From: 13, To: 14, ID: "a", Outcome: "in force", Version: 2, Base: 1},
		{From: 13, To: 14, VersionRead: true, Version: 3},
	}
	if ok, why := Linearizable(valid, time.Second); !ok {
		t.Error(why)
	}
	for name, invalid := range map[string][]ChangeReport{
		"two changes of one base version": {propose(1, 5, "a", 1, "in force", 2),
			propose(2, 6, "b", 1, "in force", 2)},
		"read of a version that never existed": {propose(1, 5, "a", 1, "in force", 2),
			{From: 6, To: 7, VersionRead: true, Version: 3}},
		"different outcome later": {propose(1, 5, "a", 1, "in force", 2),
			{From: 6, To: 7, ID: "a", Outcome: "withdrawn"}},
		"base version that was replaced": {propose(1, 5, "a", 1, "in force", 2),
			propose(6, 7, "b", 1, "in force", 2)},
	} {
		ok, why := Linearizable(invalid, time.Second)
		if ok || !strings.Contains(why, "against") {
			t.Errorf("%s: %v %s", name, ok, why)
		}
	}
}
