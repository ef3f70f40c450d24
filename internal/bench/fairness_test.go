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

func equalTenants(names ...string) (tenants []fairqueue.Tenant) {
	for _, name := range names {
		tenants = append(tenants, fairqueue.Tenant{Name: name, Weight: 1})
	}
	return tenants
}

// runToEnd runs until a time and fails the test if the history violates an invariant.
func (run *FairnessRun) runToEnd(t interface{ Fatalf(string, ...any) }, end time.Duration) {
	run.RunUntil(end)
	if violations := run.History.Finish(run.Now); len(violations) > 0 {
		t.Fatalf("%d invariants violated, first: %s", len(violations), violations[0])
	}
}

// TestInvariantsHoldUnderRandomFaults combines faults of engines, disconnects and cancellations of clients,
// and configuration reloads at random. No combination may violate an invariant.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := NewFairnessRun(rapid.Uint64Range(1, 1000).Draw(t, "seed"), 3,
			DefaultWorkload(), DefaultTenants(), emptyQueueConfig(), nil)
		for _, name := range run.TenantNames {
			run.SubmitAtRate(name, float64(rapid.IntRange(0, 30).Draw(t, "load"))/100, 0, 8*time.Second,
				func() float64 {
					if run.rng.Float64() < 0.01 {
						return 20
					}
					return 1
				})
		}
		for range rapid.IntRange(1, 6).Draw(t, "troubles") {
			at := time.Duration(rapid.IntRange(500, 8000).Draw(t, "at")) * time.Millisecond
			engine := run.Engines[rapid.IntRange(0, 2).Draw(t, "engine")]
			tenant := rapid.SampledFrom(run.TenantNames).Draw(t, "team")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				run.Schedule(at, func() { engine.Crash(2 * time.Second) })
			case 1:
				run.Schedule(at, func() { engine.Stall(700 * time.Millisecond) })
			case 2:
				run.Schedule(at, func() {
					engine.MakeUnreachable()
					run.ScheduleAfter(3*time.Second, func() { run.SetPhase(engine, "DELETED") })
				})
			case 3:
				run.Schedule(at, func() {
					run.SetPhase(engine, "DRAINING")
					run.ScheduleAfter(2*time.Second, func() { run.SetPhase(engine, "SERVING") })
				})
			case 4:
				run.Schedule(at, func() {
					if connection := run.clients[tenant]; connection != nil && !connection.Closed {
						connection.Disconnect()
					}
				})
			case 5:
				run.Schedule(at, func() {
					for i, query := range run.Queries[max(0, len(run.Queries)-50):] {
						if connection := run.clients[query.Tenant]; i%2 == 0 && connection != nil {
							connection.Cancel(query)
						}
					}
				})
			case 6:
				run.Schedule(at, func() {
					run.Reload(&fairqueue.Config{Tenants: DefaultTenants()[1:],
						TrustedAddresses: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}})
					run.ScheduleAfter(time.Second, func() {
						run.Reload(&fairqueue.Config{Tenants: DefaultTenants(),
							TrustedAddresses: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}})
					})
				})
			}
		}
		run.runToEnd(t, 45*time.Second)
		if run.EvaluateEstimates(nil).Finished == 0 {
			t.Fatalf("no query was finished")
		}
	})
}

func TestSameSeedGivesSameHistory(t *testing.T) {
	history := func() string {
		run := NewFairnessRun(7, 3, DefaultWorkload(), DefaultTenants(), emptyQueueConfig(), nil)
		for i, name := range run.TenantNames {
			run.SubmitAtRate(name, 1.2*run.TenantShares[i], 0, 4*time.Second, nil)
		}
		run.Schedule(2*time.Second, func() { run.Engines[1].Crash(time.Second) })
		run.runToEnd(t, 20*time.Second)
		text := ""
		for _, query := range run.Queries {
			text += fmt.Sprintln(query.ID, query.SubmittedAt, query.FirstWait, query.StartedAt,
				query.EndedAt, query.Answer, query.RetryAfter)
		}
		return text
	}
	if first, second := history(), history(); first != second {
		t.Fatal("two runs of one seed differ")
	}
}

func TestFloodDoesNotDelayOtherTenants(t *testing.T) {
	othersP99 := func(floodLoad float64) time.Duration {
		run := NewFairnessRun(3, 3, DefaultWorkload(), equalTenants("a", "b", "c", "flood"),
			emptyQueueConfig(), nil)
		for _, name := range run.TenantNames[:3] {
			run.SubmitAtRate(name, 0.12, 0, 15*time.Second, nil)
		}
		if floodLoad > 0 {
			run.SubmitAtRate("flood", floodLoad, 0, 15*time.Second, nil)
		}
		run.runToEnd(t, 40*time.Second)
		others := run.EvaluateEstimates(func(query *world.Query) bool { return query.Tenant != "flood" })
		if others.Deferred+others.Killed > others.Finished/20 {
			t.Fatalf("of the other tenants' queries %d finished, %d were deferred or killed",
				others.Finished, others.Deferred+others.Killed)
		}
		return others.P99
	}
	// The flooding tenant submits a hundred times its share.
	if p99 := othersP99(25); p99 > 2*time.Second {
		t.Fatalf("p99 wait of the other tenants: %v with a flood, %v without", p99, othersP99(0))
	}
}

func TestPriorityOfBadPlanIsLowered(t *testing.T) {
	run := NewFairnessRun(5, 2, DefaultWorkload(), equalTenants("a", "b"), emptyQueueConfig(), nil)
	run.SubmitAtRate("b", 0.85, 0, 12*time.Second, nil)
	var bad *world.Query
	run.Schedule(2*time.Second, func() { bad = run.SubmitQuery("a", run.Groups[1], 20) })
	run.Schedule(4*time.Second, func() {
		for range 10 { // the priority is lowered only while other queries wait
			run.SubmitQuery("b", run.Groups[1], 1)
		}
	})
	lowered := false
	for at := 3 * time.Second; at < 10*time.Second; at += 100 * time.Millisecond {
		run.Schedule(at, func() {
			for _, engine := range run.Engines {
				lowered = lowered || engine.RequestCounts["PUT"] > 0
			}
		})
	}
	run.runToEnd(t, 40*time.Second)
	if bad.StartedAt < 0 || !lowered {
		t.Fatal("the priority of the query with the bad plan was never lowered")
	}
}

func TestQueriesAreDeferredAfterEngineLoss(t *testing.T) {
	run := NewFairnessRun(9, 2, DefaultWorkload(), DefaultTenants(), emptyQueueConfig(), nil)
	for i, name := range run.TenantNames {
		run.SubmitAtRate(name, 0.8*run.TenantShares[i], 0, 20*time.Second, nil)
	}
	run.Schedule(8*time.Second, func() { run.Engines[0].Crash(20 * time.Second) })
	run.runToEnd(t, 50*time.Second)
	late := run.EvaluateEstimates(func(query *world.Query) bool { return query.SubmittedAt > 10*time.Second })
	if late.Finished < 100 || late.Deferred == 0 {
		t.Fatalf("after the loss of an engine %d queries finished, %d were deferred", late.Finished, late.Deferred)
	}
	if run.MaxStartGap > fairqueue.DefaultAgeingLimit*5/4 {
		t.Fatalf("no query of a tenant started for %v while some waited", run.MaxStartGap)
	}
}

// newCrowdedRun returns a run with one engine, in which count queries of the group "report" have just been
// submitted.
func newCrowdedRun(t *testing.T, seed uint64, count int) *FairnessRun {
	run := NewFairnessRun(seed, 1, DefaultWorkload(), equalTenants("a", "b"), emptyQueueConfig(), nil)
	run.RunUntil(100 * time.Millisecond)
	for i := range count {
		run.SubmitQuery(run.TenantNames[i%2], run.Groups[1], 1)
	}
	run.RunUntil(run.Now + 50*time.Millisecond)
	return run
}

func TestDeferralIsImmediateAndNamesWait(t *testing.T) {
	run := newCrowdedRun(t, 4, 150)
	deferred, last := 0, time.Duration(0)
	for _, query := range run.Queries {
		if query.Answered && query.Answer == client.Deferred {
			if deferred++; query.EndedAt > query.SubmittedAt+20*time.Millisecond {
				t.Fatalf("a query waited %v before it was deferred", query.EndedAt-query.SubmittedAt)
			}
			last = query.RetryAfter
		}
	}
	if deferred < 20 || last < 4*time.Second || last > 20*time.Second {
		t.Fatalf("%d queries deferred, the last with a Retry-After of %v", deferred, last)
	}
	run.runToEnd(t, 40*time.Second)
}

func TestCancelAndDisconnectWhileWaiting(t *testing.T) {
	run := newCrowdedRun(t, 4, 60)
	cancelled := 0
	for _, query := range run.Queries {
		if query.Tenant == "a" && query.StartedAt < 0 && !query.Answered {
			run.clients["a"].Cancel(query)
			cancelled++
		}
	}
	run.RunUntil(run.Now + time.Millisecond)
	run.clients["b"].Disconnect()
	run.runToEnd(t, 30*time.Second)
	if cancelled < 5 {
		t.Fatalf("only %d queries were waiting", cancelled)
	}
	for _, query := range run.Queries {
		if query.Cancelled && query.StartedAt > run.Queries[0].SubmittedAt+time.Second {
			t.Fatal("a cancelled query was started")
		}
	}
	stillWaiting := 0
	run.Controller.EachTenant(func(_ string, waiting int, _ fairqueue.Counts) { stillWaiting += waiting })
	if stillWaiting != 0 {
		t.Fatalf("%d queries still wait after their clients have gone", stillWaiting)
	}
}

func TestShutdownAnswersWaitingQueries(t *testing.T) {
	run := newCrowdedRun(t, 4, 60)
	run.Stop()
	run.RunUntil(run.Now + time.Second)
	for _, query := range run.Queries {
		if !query.Answered && query.StartedAt < 0 {
			t.Fatal("a query still waits after the shutdown request")
		}
	}
	run.runToEnd(t, 40*time.Second)
	if !run.Exited {
		t.Fatal("the controller didn't exit")
	}
}

func TestChangedWaitIsNotifiedAgain(t *testing.T) {
	run := newCrowdedRun(t, 4, 40)
	run.Schedule(run.Now+200*time.Millisecond, func() {
		for _, query := range run.Queries {
			if query.Tenant == "a" {
				run.clients["a"].Cancel(query)
			}
		}
	})
	run.runToEnd(t, 30*time.Second)
	notifiedAgain := 0
	for _, query := range run.Queries {
		if query.Tenant == "b" && query.WaitNotices > 1 {
			notifiedAgain++
		}
	}
	if notifiedAgain == 0 {
		t.Fatal("half of the queue was cancelled, and no remaining query got another wait notice")
	}
}

func TestRepeatIsRecognizedByField(t *testing.T) {
	run := newCrowdedRun(t, 4, 150)
	var deferred *world.Query
	for _, query := range run.Queries {
		if query.Answered && query.Answer == client.Deferred {
			deferred = query
		}
	}
	run.RunUntil(run.Now + 2*time.Second)
	connection := run.clients[deferred.Tenant]
	connection.Submit("00000000000000ff", deferred.Group, "", 12*time.Second, deferred.Work,
		"team", deferred.Tenant, "first", deferred.ID)
	repeats := 0
	run.Controller.EachTenant(func(_ string, _ int, counts fairqueue.Counts) { repeats += counts.Repeated })
	if repeats != 1 {
		t.Fatalf("%d repeats were recognized", repeats)
	}
	run.runToEnd(t, 40*time.Second)
}

// Without a configuration of tenants, the controller has no fair queue: the scheduler gets all queries at
// once, and clients get no wait notices.
func TestNoWaitNoticeWithoutTenants(t *testing.T) {
	run := NewFairnessRun(4, 1, DefaultWorkload(), equalTenants("a"), nil, nil)
	for range 60 {
		run.SubmitQuery("a", run.Groups[1], 1)
	}
	run.runToEnd(t, 40*time.Second)
	for _, query := range run.Queries {
		if query.FirstWait >= 0 {
			t.Fatal("a client got a wait notice")
		}
	}
}

// buildDebugController returns the path of a debug build of the controller.
func buildDebugController(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "railrelay")
	if output, err := exec.Command("go", "build", "-tags", "debug", "-o", program,
		"../../cmd/railrelay").CombinedOutput(); err != nil {
		t.Fatal(string(output))
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
	submitted, answered := 0, 0
	for _, row := range rows {
		submitted, answered = submitted+row.Submitted, answered+row.Finished+row.Deferred+row.Killed
	}
	if submitted < 100 || answered != submitted || rows[0].Finished == 0 {
		t.Fatalf("%d queries submitted, %d answered: %+v", submitted, answered, rows)
	}
	var table bytes.Buffer
	if PrintTrialResults(&table, rows); bytes.Count(table.Bytes(), []byte("\n")) != len(rows)+1 {
		t.Fatal(table.String())
	}
}
