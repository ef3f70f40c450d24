package bench

import (
	"strings"
	"testing"
	"time"
)

func requireNoViolations(t *testing.T, result *ScheduleResult) {
	t.Helper()
	if len(result.Violations) > 0 {
		t.Fatal(strings.Join(result.Violations, "\n"))
	}
	t.Logf("%d schedules, %d events, %d messages, %d acts; %d changes, %d withdrawn, %d purges; "+
		"faults in %d states: %v", result.Schedules, result.Events,
		result.Messages, result.Acts, result.Changes, result.Withdrawn, result.Purges,
		result.DistinctFaultStates(), result.FaultsByKind)
}

// Random faults in a fleet of five controllers violate no invariant.
func TestSchedules(t *testing.T) {
	plan := &SchedulePlan{}
	plan.AddRandom(1, 80, 5, 3, 6*time.Second, 2)
	result := plan.Run(3, time.Time{})
	if requireNoViolations(t, result); result.Changes < 80 || result.Withdrawn < 20 || result.Purges < 60 ||
		result.DistinctFaultStates() < 80 || result.Forgotten == 0 {
		t.Fatal("too few changes, purges, forgotten controllers or fault states")
	}
	second := plan.Schedules[7].Run()
	if first := plan.Schedules[7].Run(); first.TraceHash != second.TraceHash ||
		first.Messages != second.Messages {
		t.Error("two runs of one seed differ")
	}
}

// Random faults violate no invariant while followers renew their leases through relays. The faults hit
// relays as well as other controllers.
func TestSchedulesWithRelays(t *testing.T) {
	plan := &SchedulePlan{}
	plan.AddRandom(2000, 80, 9, 3, 6*time.Second, 2)
	for i := range plan.Schedules {
		plan.Schedules[i].Relays, plan.Schedules[i].ControlOnly = 2, i%2 == 0
	}
	result := plan.Run(3, time.Time{})
	if requireNoViolations(t, result); result.Changes < 80 || result.Withdrawn < 15 || result.Purges < 60 ||
		result.DistinctFaultStates() < 80 || result.Forgotten == 0 {
		t.Fatal("too few changes, purges, forgotten controllers or fault states")
	}
	largePlan := &SchedulePlan{}
	for i := range uint64(4) {
		largePlan.Schedules = append(largePlan.Schedules, Schedule{Seed: 6 + i, Controllers: 120, Voters: 3,
			Relays: 4, ControlOnly: i%2 == 0, Duration: 3 * time.Second,
			Lease: time.Second, FaultsPerSecond: 6})
	}
	largeResult := largePlan.Run(3, time.Time{})
	if requireNoViolations(t, largeResult); largeResult.Changes < 2 || largeResult.DistinctFaultStates() < 40 {
		t.Fatal("too few changes or fault states in the large fleets")
	}
}

// Changes that replace the voters, with random faults between them, violate no invariant.
func TestSchedulesWithVoterChanges(t *testing.T) {
	plan := &SchedulePlan{}
	plan.AddRandom(1, 40, 5, 3, 6*time.Second, 2)
	for i := range plan.Schedules {
		plan.Schedules[i].ChangeVoters = true
	}
	requireNoViolations(t, plan.Run(3, time.Time{}))
}

// A single fault of any kind at a message of a change or purge violates no invariant.
func TestMessageFaults(t *testing.T) {
	plan := &SchedulePlan{}
	plan.AddMessageFaults(3, 1, 150, 15)
	result := plan.Run(3, time.Time{})
	if requireNoViolations(t, result); result.DistinctFaultStates() < 8 || result.Changes == 0 {
		t.Fatal("too few changes or fault states")
	}
}

// Random faults in a fleet of 200 controllers violate no invariant.
func TestSchedulesWithManyControllers(t *testing.T) {
	result := Schedule{Seed: 5, Controllers: 200, Voters: 5, Duration: 3 * time.Second, Lease: time.Second,
		FaultsPerSecond: 6}.Run()
	if requireNoViolations(t, result); result.Changes == 0 || result.DistinctFaultStates() == 0 {
		t.Fatal("no change or no fault occurred")
	}
}

// Random faults in short schedules violate no invariant. With the planted fault "force" or "down" of
// planted.go, this test must fail.
func TestBriefSchedules(t *testing.T) {
	plan := &SchedulePlan{}
	plan.AddRandom(900, 24, 5, 3, 5*time.Second, 3)
	result := plan.Run(3, time.Time{})
	if requireNoViolations(t, result); result.Changes < 10 || result.Purges < 10 ||
		result.FaultsByKind["started cut off"] == 0 {
		t.Fatal("too few changes, purges or isolated restarts")
	}
}

// Random faults in short schedules with relays violate no invariant. With the planted fault "relay" of
// planted.go, this test must fail.
func TestBriefSchedulesWithRelays(t *testing.T) {
	plan := &SchedulePlan{}
	plan.AddRandom(2900, 16, 8, 3, 5*time.Second, 3)
	for i := range plan.Schedules {
		plan.Schedules[i].Relays = 2
	}
	result := plan.Run(3, time.Time{})
	if requireNoViolations(t, result); result.Changes < 10 || result.Purges < 10 {
		t.Fatal("too few changes or purges")
	}
}

// A follower that missed changes while it was down, and that is cut off after its restart, must not serve
// by the outdated state on its disk. With the planted fault "fence" of planted.go, this test must fail.
func TestStartedCutOff(t *testing.T) {
	plan := &SchedulePlan{}
	for i := range uint64(12) {
		plan.Schedules = append(plan.Schedules, Schedule{Seed: 300 + i, Controllers: 5, Voters: 3,
			Duration: 8 * time.Second, Lease: 500 * time.Millisecond, RestartIsolated: true})
	}
	result := plan.Run(3, time.Time{})
	if requireNoViolations(t, result); result.Changes < 12 || result.FaultsByKind["started cut off"] < 24 {
		t.Fatal("too few changes or isolated restarts")
	}
}
