package bench

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"

	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/world"
	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Config{Seed: 20261201, Checks: 25})
}

func equalTenants(names ...string) (l []fairqueue.Tenant) {
	for _, n := range names {
		l = append(l, fairqueue.Tenant{Name: n, Weight: 1})
	}
	return l
}

func (n *FairnessRun) runToEnd(t interface{ Fatalf(string, ...any) }, end time.Duration) {
	n.RunUntil(end)
	if faults := n.History.Finish(n.Now); len(faults) > 0 {
		t.Fatalf("%d rules broken, first: %s", len(faults), faults[0])
	}
}

// Whatever goes wrong together, the rules hold over the history.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := NewFairnessRun(rapid.Uint64Range(1, 1000).Draw(t, "seed"), 3, DefaultWorkload(), DefaultTenants(), emptyQueueConfig(), nil)
		for _, name := range n.TenantNames {
			n.SubmitAtRate(name, float64(rapid.IntRange(0, 30).Draw(t, "load"))/100, 0, 8*time.Second, func() float64 {
				if n.rng.Float64() < 0.01 {
					return 20
				}
				return 1
			})
		}
		for range rapid.IntRange(1, 6).Draw(t, "troubles") {
			at := time.Duration(rapid.IntRange(500, 8000).Draw(t, "at")) * time.Millisecond
			e := n.Engines[rapid.IntRange(0, 2).Draw(t, "engine")]
			team := rapid.SampledFrom(n.TenantNames).Draw(t, "team")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				n.Schedule(at, func() { e.Crash(2 * time.Second) })
			case 1:
				n.Schedule(at, func() { e.Stall(700 * time.Millisecond) })
			case 2:
				n.Schedule(at, func() {
					e.MakeUnreachable()
					n.ScheduleAfter(3*time.Second, func() { n.SetPhase(e, "DELETED") })
				})
			case 3:
				n.Schedule(at, func() {
					n.SetPhase(e, "DRAINING")
					n.ScheduleAfter(2*time.Second, func() { n.SetPhase(e, "SERVING") })
				})
			case 4:
				n.Schedule(at, func() {
					if c := n.clients[team]; c != nil && !c.Closed {
						c.Disconnect()
					}
				})
			case 5:
				n.Schedule(at, func() {
					for i, a := range n.Queries[max(0, len(n.Queries)-50):] {
						if c := n.clients[a.Team]; i%2 == 0 && c != nil {
							c.Cancel(a)
						}
					}
				})
			case 6:
				n.Schedule(at, func() {
					n.Reload(&fairqueue.Config{Tenants: DefaultTenants()[1:], TrustedAddresses: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}})
					n.ScheduleAfter(time.Second, func() {
						n.Reload(&fairqueue.Config{Tenants: DefaultTenants(), TrustedAddresses: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}})
					})
				})
			}
		}
		n.runToEnd(t, 45*time.Second)
		if n.EvaluateEstimates(nil).Finished == 0 {
			t.Fatalf("nothing was finished")
		}
	})
}

func TestSameSeedGivesSameHistory(t *testing.T) {
	play := func() string {
		n := NewFairnessRun(7, 3, DefaultWorkload(), DefaultTenants(), emptyQueueConfig(), nil)
		for i, name := range n.TenantNames {
			n.SubmitAtRate(name, 1.2*n.TenantShares[i], 0, 4*time.Second, nil)
		}
		n.Schedule(2*time.Second, func() { n.Engines[1].Crash(time.Second) })
		n.runToEnd(t, 20*time.Second)
		text := ""
		for _, a := range n.Queries {
			text += fmt.Sprintln(a.ID, a.SubmittedAt, a.FirstWait, a.StartedAt, a.EndedAt, a.Answer, a.RetryAfter)
		}
		return text
	}
	if once, again := play(), play(); once != again {
		t.Fatal("two runs of one seed differ")
	}
}

func TestFloodDoesNotDelayOtherTenants(t *testing.T) {
	worst := func(flood float64) time.Duration {
		n := NewFairnessRun(3, 3, DefaultWorkload(), equalTenants("a", "b", "c", "flood"), emptyQueueConfig(), nil)
		for _, name := range n.TenantNames[:3] {
			n.SubmitAtRate(name, 0.12, 0, 15*time.Second, nil)
		}
		if flood > 0 {
			n.SubmitAtRate("flood", flood, 0, 15*time.Second, nil)
		}
		n.runToEnd(t, 40*time.Second)
		finished := n.EvaluateEstimates(func(a *world.Query) bool { return a.Team != "flood" })
		if finished.Deferred+finished.Killed > finished.Finished/20 {
			t.Fatalf("of the others %d were finished and %d not", finished.Finished, finished.Deferred+finished.Killed)
		}
		return finished.P99
	}
	// a hundred times its share, and the others' slowest hundredth waits little
	if p99 := worst(25); p99 > 2*time.Second {
		t.Fatalf("the others waited %v beside a flood, %v without", p99, worst(0))
	}
}

func TestPriorityOfBadPlanIsLowered(t *testing.T) {
	n := NewFairnessRun(5, 2, DefaultWorkload(), equalTenants("a", "b"), emptyQueueConfig(), nil)
	n.SubmitAtRate("b", 0.85, 0, 12*time.Second, nil)
	var bad *world.Query
	n.Schedule(2*time.Second, func() { bad = n.SubmitQuery("a", n.Groups[1], 20) })
	n.Schedule(4*time.Second, func() {
		for range 10 { // somebody waits
			n.SubmitQuery("b", n.Groups[1], 1)
		}
	})
	lowered := false
	for at := 3 * time.Second; at < 10*time.Second; at += 100 * time.Millisecond {
		n.Schedule(at, func() {
			for _, e := range n.Engines {
				lowered = lowered || e.RequestCounts["PUT"] > 0
			}
		})
	}
	n.runToEnd(t, 40*time.Second)
	if bad.StartedAt < 0 || !lowered {
		t.Fatal("its priority was never lowered")
	}
}

func TestQueriesAreDeferredAfterEngineLoss(t *testing.T) {
	n := NewFairnessRun(9, 2, DefaultWorkload(), DefaultTenants(), emptyQueueConfig(), nil)
	for i, name := range n.TenantNames {
		n.SubmitAtRate(name, 0.8*n.TenantShares[i], 0, 20*time.Second, nil)
	}
	n.Schedule(8*time.Second, func() { n.Engines[0].Crash(20 * time.Second) })
	n.runToEnd(t, 50*time.Second)
	late := n.EvaluateEstimates(func(a *world.Query) bool { return a.SubmittedAt > 10*time.Second })
	if late.Finished < 100 || late.Deferred == 0 {
		t.Fatalf("after the loss %d were finished, %d deferred", late.Finished, late.Deferred)
	}
	if n.MaxStartGap > fairqueue.DefaultAgeingLimit*5/4 {
		t.Fatalf("a team went %v without a start", n.MaxStartGap)
	}
}

// newCrowdedRun has so many reports wait at once.
func newCrowdedRun(t *testing.T, seed uint64, count int) *FairnessRun {
	n := NewFairnessRun(seed, 1, DefaultWorkload(), equalTenants("a", "b"), emptyQueueConfig(), nil)
	n.RunUntil(100 * time.Millisecond)
	for i := range count {
		n.SubmitQuery(n.TenantNames[i%2], n.Groups[1], 1)
	}
	n.RunUntil(n.Now + 50*time.Millisecond)
	return n
}

func TestDeferralIsImmediateAndNamesWait(t *testing.T) {
	n := newCrowdedRun(t, 4, 150)
	deferred, last := 0, time.Duration(0)
	for _, a := range n.Queries {
		if a.Answered && a.Answer == client.Deferred {
			if deferred++; a.EndedAt > a.SubmittedAt+20*time.Millisecond {
				t.Fatalf("held for %v before it was deferred", a.EndedAt-a.SubmittedAt)
			}
			last = a.RetryAfter
		}
	}
	if deferred < 20 || last < 4*time.Second || last > 20*time.Second {
		t.Fatalf("%d deferred, told to come back in %v", deferred, last)
	}
	n.runToEnd(t, 40*time.Second)
}

func TestCancelAndDisconnectWhileWaiting(t *testing.T) {
	n := newCrowdedRun(t, 4, 60)
	gone := 0
	for _, a := range n.Queries {
		if a.Team == "a" && a.StartedAt < 0 && !a.Answered {
			n.clients["a"].Cancel(a)
			gone++
		}
	}
	n.RunUntil(n.Now + time.Millisecond)
	n.clients["b"].Disconnect()
	n.runToEnd(t, 30*time.Second)
	if gone < 5 {
		t.Fatalf("only %d waited", gone)
	}
	for _, a := range n.Queries {
		if a.Cancelled && a.StartedAt > n.Queries[0].SubmittedAt+time.Second {
			t.Fatal("started for nobody")
		}
	}
	teams := 0
	n.Controller.EachTenant(func(_ string, waiting int, _ fairqueue.Counts) { teams += waiting })
	if teams != 0 {
		t.Fatalf("%d still wait", teams)
	}
}

func TestShutdownAnswersWaitingQueries(t *testing.T) {
	n := newCrowdedRun(t, 4, 60)
	n.Stop()
	n.RunUntil(n.Now + time.Second)
	for _, a := range n.Queries {
		if !a.Answered && a.StartedAt < 0 {
			t.Fatal("one still waits after the word to stop")
		}
	}
	n.runToEnd(t, 40*time.Second)
	if !n.Exited {
		t.Fatal("no end")
	}
}

func TestChangedWaitIsNotifiedAgain(t *testing.T) {
	n := newCrowdedRun(t, 4, 40)
	n.Schedule(n.Now+200*time.Millisecond, func() {
		for _, a := range n.Queries {
			if a.Team == "a" {
				n.clients["a"].Cancel(a)
			}
		}
	})
	n.runToEnd(t, 30*time.Second)
	again := 0
	for _, a := range n.Queries {
		if a.Team == "b" && a.WaitNotices > 1 {
			again++
		}
	}
	if again == 0 {
		t.Fatal("half the queue left, and nobody was told")
	}
}

func TestRepeatIsRecognizedByField(t *testing.T) {
	n := newCrowdedRun(t, 4, 150)
	var first *world.Query
	for _, a := range n.Queries {
		if a.Answered && a.Answer == client.Deferred {
			first = a
		}
	}
	n.RunUntil(n.Now + 2*time.Second)
	c := n.clients[first.Team]
	c.Submit("00000000000000ff", first.Group, "", 12*time.Second, first.Work,
		"team", first.Team, "first", first.ID)
	repeats := 0
	n.Controller.EachTenant(func(_ string, _ int, x fairqueue.Counts) { repeats += x.Repeated })
	if repeats != 1 {
		t.Fatalf("%d repeats were known", repeats)
	}
	n.runToEnd(t, 40*time.Second)
}

// Without teams nothing of this acts: no wait is told, and what is asked goes to
// the decisions at once.
func TestNoWaitNoticeWithoutTenants(t *testing.T) {
	n := NewFairnessRun(4, 1, DefaultWorkload(), equalTenants("a"), nil, nil)
	for range 60 {
		n.SubmitQuery("a", n.Groups[1], 1)
	}
	n.runToEnd(t, 40*time.Second)
	for _, a := range n.Queries {
		if a.FirstWait >= 0 {
			t.Fatal("a wait was told")
		}
	}
}

// buildDebugController is the controller, as a debug build.
func buildDebugController(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "railrelay")
	if out, err := exec.Command("go", "build", "-tags", "debug", "-o", program, "../../cmd/railrelay").CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	return program
}

func TestTrialAnswersAllQueries(t *testing.T) {
	program := buildDebugController(t)
	var log bytes.Buffer
	trial := &Trial{Program: program, Engines: 2, Duration: 2 * time.Second, Seed: 3, ControllerLog: &log}
	rows, err := trial.Run(context.Background())
	if err != nil {
		t.Fatal(err, log.String())
	}
	asked, answered := 0, 0
	for _, r := range rows {
		asked, answered = asked+r.Submitted, answered+r.Finished+r.Deferred+r.Killed
	}
	if asked < 100 || answered != asked || rows[0].Finished == 0 {
		t.Fatalf("%d asked, %d answered: %+v", asked, answered, rows)
	}
	var table bytes.Buffer
	if PrintTrialResults(&table, rows); bytes.Count(table.Bytes(), []byte("\n")) != len(rows)+1 {
		t.Fatal(table.String())
	}
}
