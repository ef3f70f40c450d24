package bench

import (
	"strings"
	"testing"
	"time"
)

func requireNoViolations(t *testing.T, p *ScheduleResult) {
	t.Helper()
	if len(p.Violations) > 0 {
		t.Fatal(strings.Join(p.Violations, "\n"))
	}
	t.Logf("%d schedules, %d events, %d messages, %d acts; %d changes, %d withdrawn, %d purges; struck in %d states: %v", p.Schedules, p.Events,
		p.Messages, p.Acts, p.Changes, p.Withdrawn, p.Purges, p.DistinctFaultStates(), p.FaultsByKind)
}

// Five controllers, faults at random.
func TestSchedules(t *testing.T) {
	l := &SchedulePlan{}
	l.AddRandom(1, 80, 5, 3, 6*time.Second, 2)
	p := l.Run(3, time.Time{})
	if requireNoViolations(t, p); p.Changes < 80 || p.Withdrawn < 20 || p.Purges < 60 || p.DistinctFaultStates() < 80 || p.Forgotten == 0 {
		t.Fatal("too little arose")
	}
	again := l.Schedules[7].Run()
	if once := l.Schedules[7].Run(); once.TraceHash != again.TraceHash || once.Messages != again.Messages {
		t.Error("the same seed plays another way")
	}
}

// Followers ask through relays, which fail as all others do.
func TestSchedulesWithRelays(t *testing.T) {
	l := &SchedulePlan{}
	l.AddRandom(2000, 80, 9, 3, 6*time.Second, 2)
	for i := range l.Schedules {
		l.Schedules[i].Relays, l.Schedules[i].ControlOnly = 2, i%2 == 0
	}
	p := l.Run(3, time.Time{})
	if requireNoViolations(t, p); p.Changes < 80 || p.Withdrawn < 15 || p.Purges < 60 || p.DistinctFaultStates() < 80 || p.Forgotten == 0 {
		t.Fatal("too little arose")
	}
	large := &SchedulePlan{}
	for seed := range uint64(4) {
		large.Schedules = append(large.Schedules, Schedule{Seed: 6 + seed, Controllers: 120, Voters: 3, Relays: 4, ControlOnly: seed%2 == 0, Duration: 3 * time.Second,
			Lease: time.Second, FaultsPerSecond: 6})
	}
	many := large.Run(3, time.Time{})
	if requireNoViolations(t, many); many.Changes < 2 || many.DistinctFaultStates() < 40 {
		t.Fatal("too little arose among many")
	}
}

// Others vote from now on, again and again, with faults between.
func TestSchedulesWithVoterChanges(t *testing.T) {
	l := &SchedulePlan{}
	l.AddRandom(1, 40, 5, 3, 6*time.Second, 2)
	for i := range l.Schedules {
		l.Schedules[i].ChangeVoters = true
	}
	requireNoViolations(t, l.Run(3, time.Time{}))
}

// One fault of each kind at messages of a change's or purge's way.
func TestMessageFaults(t *testing.T) {
	l := &SchedulePlan{}
	l.AddMessageFaults(3, 1, 150, 15)
	p := l.Run(3, time.Time{})
	if requireNoViolations(t, p); p.DistinctFaultStates() < 8 || p.Changes == 0 {
		t.Fatal("too little arose")
	}
}

// Many controllers on one record.
func TestSchedulesWithManyControllers(t *testing.T) {
	p := Schedule{Seed: 5, Controllers: 200, Voters: 5, Duration: 3 * time.Second, Lease: time.Second, FaultsPerSecond: 6}.Run()
	if requireNoViolations(t, p); p.Changes == 0 || p.DistinctFaultStates() == 0 {
		t.Fatal("too little arose")
	}
}

// Few of them and with more faults: what the builds with a planted fault are played by.
func TestBriefSchedules(t *testing.T) {
	l := &SchedulePlan{}
	l.AddRandom(900, 24, 5, 3, 5*time.Second, 3)
	p := l.Run(3, time.Time{})
	if requireNoViolations(t, p); p.Changes < 10 || p.Purges < 10 || p.FaultsByKind["started cut off"] == 0 {
		t.Fatal("too little arose")
	}
}

// The same with relays.
func TestBriefSchedulesWithRelays(t *testing.T) {
	l := &SchedulePlan{}
	l.AddRandom(2900, 16, 8, 3, 5*time.Second, 3)
	for i := range l.Schedules {
		l.Schedules[i].Relays = 2
	}
	p := l.Run(3, time.Time{})
	if requireNoViolations(t, p); p.Changes < 10 || p.Purges < 10 {
		t.Fatal("too little arose")
	}
}

// Followers that were away for changes and start while they are cut off decide nothing
// by what they knew.
func TestStartedCutOff(t *testing.T) {
	l := &SchedulePlan{}
	for seed := range uint64(12) {
		l.Schedules = append(l.Schedules, Schedule{Seed: 300 + seed, Controllers: 5, Voters: 3, Duration: 8 * time.Second, Lease: 500 * time.Millisecond, RestartIsolated: true})
	}
	p := l.Run(3, time.Time{})
	if requireNoViolations(t, p); p.Changes < 12 || p.FaultsByKind["started cut off"] < 24 {
		t.Fatal("too little arose")
	}
}
