package bench

import (
	"strings"
	"testing"
	"time"
)

func sound(t *testing.T, p *Played) {
	t.Helper()
	if len(p.Broken) > 0 {
		t.Fatal(strings.Join(p.Broken, "\n"))
	}
	t.Logf("%d schedules, %d events, %d messages, %d acts; %d changes, %d withdrawn, %d purges; struck in %d states: %v", p.Schedules, p.Events,
		p.Messages, p.Acts, p.Changes, p.Withdrawn, p.Purges, p.Struck(), p.Faults)
}

// Five controllers, faults at random.
func TestSchedules(t *testing.T) {
	l := &Plan{}
	l.Random(1, 80, 5, 3, 6*time.Second, 2)
	p := l.Play(3, time.Time{})
	if sound(t, p); p.Changes < 80 || p.Withdrawn < 20 || p.Purges < 60 || p.Struck() < 80 || p.Forgotten == 0 {
		t.Fatal("too little arose")
	}
	again := l.Schedules[7].Play()
	if once := l.Schedules[7].Play(); once.Trace != again.Trace || once.Messages != again.Messages {
		t.Error("the same seed plays another way")
	}
}

// Followers ask through relays, which fail as all others do.
func TestSchedulesWithRelays(t *testing.T) {
	l := &Plan{}
	l.Random(2000, 80, 9, 3, 6*time.Second, 2)
	for i := range l.Schedules {
		l.Schedules[i].Relays, l.Schedules[i].Control = 2, i%2 == 0
	}
	p := l.Play(3, time.Time{})
	if sound(t, p); p.Changes < 80 || p.Withdrawn < 15 || p.Purges < 60 || p.Struck() < 80 || p.Forgotten == 0 {
		t.Fatal("too little arose")
	}
	large := &Plan{}
	for seed := range uint64(4) {
		large.Schedules = append(large.Schedules, Schedule{Seed: 6 + seed, Controllers: 120, Voters: 3, Relays: 4, Control: seed%2 == 0, Long: 3 * time.Second,
			Lease: time.Second, Faults: 6})
	}
	many := large.Play(3, time.Time{})
	if sound(t, many); many.Changes < 2 || many.Struck() < 40 {
		t.Fatal("too little arose among many")
	}
}

// Others vote from now on, again and again, with faults between.
func TestVotersReplaced(t *testing.T) {
	l := &Plan{}
	l.Random(1, 40, 5, 3, 6*time.Second, 2)
	for i := range l.Schedules {
		l.Schedules[i].Revote = true
	}
	sound(t, l.Play(3, time.Time{}))
}

// One fault of each kind at messages of a change's or purge's way.
func TestStrikes(t *testing.T) {
	l := &Plan{}
	l.Struck(3, 1, 150, 15)
	p := l.Play(3, time.Time{})
	if sound(t, p); p.Struck() < 8 || p.Changes == 0 {
		t.Fatal("too little arose")
	}
}

// Many controllers on one record.
func TestManyControllers(t *testing.T) {
	p := Schedule{Seed: 5, Controllers: 200, Voters: 5, Long: 3 * time.Second, Lease: time.Second, Faults: 6}.Play()
	if sound(t, p); p.Changes == 0 || p.Struck() == 0 {
		t.Fatal("too little arose")
	}
}

// Few of them and with more faults: what the builds with a planted fault are played by.
func TestBriefSchedules(t *testing.T) {
	l := &Plan{}
	l.Random(900, 24, 5, 3, 5*time.Second, 3)
	p := l.Play(3, time.Time{})
	if sound(t, p); p.Changes < 10 || p.Purges < 10 || p.Faults["started cut off"] == 0 {
		t.Fatal("too little arose")
	}
}

// The same with relays.
func TestBriefSchedulesWithRelays(t *testing.T) {
	l := &Plan{}
	l.Random(2900, 16, 8, 3, 5*time.Second, 3)
	for i := range l.Schedules {
		l.Schedules[i].Relays = 2
	}
	p := l.Play(3, time.Time{})
	if sound(t, p); p.Changes < 10 || p.Purges < 10 {
		t.Fatal("too little arose")
	}
}

// Followers that were away for changes and start while they are cut off decide nothing
// by what they knew.
func TestStartedCutOff(t *testing.T) {
	l := &Plan{}
	for seed := range uint64(12) {
		l.Schedules = append(l.Schedules, Schedule{Seed: 300 + seed, Controllers: 5, Voters: 3, Long: 8 * time.Second, Lease: 500 * time.Millisecond, Apart: true})
	}
	p := l.Play(3, time.Time{})
	if sound(t, p); p.Changes < 12 || p.Faults["started cut off"] < 24 {
		t.Fatal("too little arose")
	}
}
