package fairqueue

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"railrelay.dev/railrelay/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Config{Seed: 20261201, Checks: 400})
}

func TestRandomOperationsStarveNoQuery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{
			AgeingLimit: time.Duration(rapid.IntRange(1, 20).Draw(t, "age")) * time.Second,
			MaxWaiting:  rapid.IntRange(5, 100).Draw(t, "most"),
		}
		var names []string
		for k := range rapid.IntRange(1, 3).Draw(t, "kinds") {
			group := Tenant{Name: fmt.Sprint("k", k), Weight: float64(rapid.IntRange(1, 1000).Draw(t, "weight"))}
			for i := range rapid.IntRange(0, 3).Draw(t, "teams") {
				tenant := Tenant{
					Name:   fmt.Sprint("t", k, i),
					Weight: float64(rapid.IntRange(1, 1000).Draw(t, "weight")),
				}
				if rapid.Bool().Draw(t, "budget") {
					tenant.Quota, tenant.Burst =
						rapid.Float64Range(0.05, 3).Draw(t, "rate"), rapid.Float64Range(0, 2).Draw(t, "burst")
				}
				group.Children = append(group.Children, tenant)
				names = append(names, tenant.Name)
			}
			if len(group.Children) == 0 {
				names = append(names, group.Name)
			}
			config.Tenants = append(config.Tenants, group)
		}
		m := newEngineModel(t, config, 2, 2, 2)
		var admitted []*job
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			default:
				lane := rapid.IntRange(0, 2).Draw(t, "lane")
				work := rapid.Float64Range(0.01, 3).Draw(t, "work")
				j := m.submit(rapid.SampledFrom(names).Draw(t, "team"), lane, work, func(j *job) {
					j.NotifyChanges = rapid.Bool().Draw(t, "ask")
					j.Deadline = m.now + time.Duration(rapid.IntRange(1, 30).Draw(t, "until"))*time.Second
					if lane == 2 {
						j.Key, j.Chain = int64(rapid.IntRange(0, 2).Draw(t, "key")),
							int64(rapid.IntRange(0, 2).Draw(t, "chain"))
					}
					if rapid.IntRange(0, 4).Draw(t, "again") == 0 {
						j.RepeatOf = uint64(rapid.IntRange(1, 4).Draw(t, "first"))
					}
					j.RepeatID = uint64(rapid.IntRange(0, 4).Draw(t, "self"))
				})
				if j.admission.Admitted {
					admitted = append(admitted, j)
				}
			case 6: // a client disconnects while its query waits or runs
				if len(admitted) > 0 {
					if j := rapid.SampledFrom(admitted).Draw(t, "leaves"); !j.ended {
						m.endQuery(j, ClientGone)
						m.dispatchAll()
					}
				}
			case 7:
				m.runUntil(m.now + time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond)
			case 8: // the clock jumps ahead, and an event has an older time
				m.now += time.Duration(rapid.IntRange(0, 100).Draw(t, "s")) * time.Second
				m.queue.SetLaneFull(m.now-time.Minute, 0, false)
				m.runUntil(m.now + time.Second)
			case 9:
				next := config
				next.Tenants = slices.Clone(config.Tenants)
				if len(next.Tenants) > 1 && rapid.Bool().Draw(t, "drop") {
					next.Tenants = next.Tenants[1:]
				}
				m.queue.Reload(m.now, withTestLanes(next))
				m.queue.Reload(m.now, withTestLanes(config))
				m.dispatchAll()
			}
			m.checkInvariants()
		}
		// Every admitted query starts eventually.
		m.runUntil(m.now + 10*time.Minute)
		for _, j := range admitted {
			if !j.started && !j.ended {
				t.Fatalf("%s: query %d never started in lane %d", j.tenant, j.sequence, j.Lane)
			}
		}
		if m.queue.WaitingCount() != 0 || len(m.queue.orders)+len(m.queue.chains) != 0 ||
			m.queue.running.First() != nil || math.Abs(m.queue.root.activeChildWeight) > 1e-9 {
			t.Fatalf("after all queries ended: %d wait, %d orders are left, active weight %v",
				m.queue.WaitingCount(), len(m.queue.orders), m.queue.root.activeChildWeight)
		}
		if m.queue.nodeCount != 0 {
			t.Fatalf("%d tenants still have state after ten idle minutes", m.queue.nodeCount)
		}
	})
}

func TestSharesFollowWeights(t *testing.T) {
	tenants := []Tenant{
		{Name: "a", Weight: 1, Children: []Tenant{{Name: "a1", Weight: 1}, {Name: "a2", Weight: 3}}},
		{Name: "b", Weight: 2},
	}
	m := newEngineModel(t, Config{Tenants: tenants, AgeingLimit: time.Hour}, 4, 4, 4)
	// The tenants' queries differ in size, because shares are shares of work, not of queries.
	used := m.saturate(120*time.Second, 1, map[string]float64{"a1": 0.2, "a2": 0.6, "b": 0.3})
	total := used["a1"] + used["a2"] + used["b"]
	for tenant, want := range map[string]float64{"a1": 1.0 / 12, "a2": 3.0 / 12, "b": 8.0 / 12} {
		if got := used[tenant] / total; math.Abs(got-want) > 0.03 {
			t.Errorf("%s got %.3f of the work, want %.3f", tenant, got, want)
		}
	}
}

func TestAgeingBoundsWaitOfTenantWithTinyWeight(t *testing.T) {
	m := newEngineModel(t, Config{
		Tenants:     []Tenant{{Name: "small", Weight: 1}, {Name: "large", Weight: 1000}},
		AgeingLimit: 5 * time.Second,
	}, 4, 4, 4)
	m.queue.SetCores(4)
	for m.now < 40*time.Second {
		m.submitMany("large", 0, 40, 0.05)
		if n := m.queue.tenants[m.tenantIndex("small")].state; n == nil || n.waiting == 0 {
			m.submit("small", 0, 0.05)
		}
		m.runUntil(m.now + 100*time.Millisecond)
	}
	// Even with a thousandth of the weight, no query waits longer than the starvation bound.
	var maxWait time.Duration
	m.queue.EachTenant(func(path string, _ int, n Counts) {
		if path == "small" {
			maxWait = n.MaxWait
		}
	})
	if maxWait == 0 || maxWait > m.queue.StarvationBound() {
		t.Fatalf("the small tenant waited up to %v", maxWait)
	}
	if m.usedWork["large"] < 20*m.usedWork["small"] {
		t.Fatalf("the tenant of weight 1000 used %v, that of weight 1 used %v",
			m.usedWork["large"], m.usedWork["small"])
	}
}

func TestFloodHardlyDelaysOtherTenants(t *testing.T) {
	names := []string{"flood"}
	for i := range 500 {
		names = append(names, fmt.Sprint("t", i))
	}
	m := newEngineModel(t, Config{Tenants: equalTenants(names...)}, 4, 4, 4)
	m.submitMany("flood", 0, 2000, 0.05)
	deferred := 0
	for _, j := range m.jobs {
		if !j.admission.Admitted {
			deferred++
		}
	}
	start := m.now
	for i := range 500 {
		m.submit(names[i+1], 0, 0.05)
	}
	m.runUntil(start + 20*time.Second)
	maxWait := time.Duration(0)
	m.queue.EachTenant(func(path string, waiting int, n Counts) {
		if path != "flood" {
			maxWait = max(maxWait, n.MaxWait)
			if waiting > 0 {
				t.Fatalf("%s still waits", path)
			}
		}
	})
	// 500 queries of 50 ms on four threads take 6.25 s. The flood only gets one tenant's share in
	// addition.
	if maxWait > 7*time.Second {
		t.Fatalf("the flood delayed another tenant by %v", maxWait)
	}
	if deferred == 0 {
		t.Fatal("no query of the flood was deferred")
	}
}

func TestQuotaLimitsTenantOnlyWhileOthersWait(t *testing.T) {
	m := newEngineModel(t, Config{
		Tenants:     []Tenant{{Name: "rich", Weight: 1}, {Name: "poor", Weight: 1, Quota: 0.2, Burst: 1}},
		AgeingLimit: time.Hour,
	}, 2, 2, 2)
	for m.now < 60*time.Second {
		for _, tenant := range []string{"rich", "poor"} {
			if n := m.queue.tenants[m.tenantIndex(tenant)].state; n == nil || n.waiting < 8 {
				m.submitMany(tenant, 0, 8, 0.1)
			}
		}
		m.runUntil(m.now + 100*time.Millisecond)
	}
	// The quota is 60 s * 0.2 plus the burst of 1, while the other tenant wants the rest.
	if got := m.usedWork["poor"]; got < 8 || got > 17 {
		t.Fatalf("with a quota of 13 thread seconds, the tenant used %v", got)
	}
	before := m.usedWork["poor"]
	for m.now < 70*time.Second { // without competitors, the quota leaves no engine idle
		if n := m.queue.tenants[m.tenantIndex("poor")].state; n.waiting < 8 {
			m.submitMany("poor", 0, 8, 0.1)
		}
		m.runUntil(m.now + 100*time.Millisecond)
	}
	if got := m.usedWork["poor"] - before; got < 15 {
		t.Fatalf("alone on two threads, the tenant used %v thread seconds in ten seconds", got)
	}
}

func TestOverrunningQueryIsChargedWhileItRuns(t *testing.T) {
	m := newEngineModel(t, Config{
		Tenants: []Tenant{{Name: "a", Weight: 1, Quota: 1, Burst: 1}, {Name: "b", Weight: 1}},
	}, 1, 1, 1)
	m.submit("a", 1, 0.6)
	m.runUntil(2 * time.Second)
	bad := m.submit("a", 1, 12) // 20 times the expected work, 4 s on three threads
	other := m.submit("b", 1, 0.6)
	m.runUntil(m.now + 2*time.Second)
	n := m.queue.tenants[m.tenantIndex("a")].state
	if bad.ended || n.tokens > -2 || !n.overQuota {
		t.Fatalf("the running query was not charged: %v tokens", n.tokens)
	}
	if !bad.PriorityLowered() {
		t.Fatal("the overrunning query kept its priority while another query waits")
	}
	m.runUntil(m.now + 10*time.Second)
	if !bad.ended || !other.ended || other.PriorityLowered() {
		t.Fatal("a query did not end, or the normal query was lowered")
	}
	if sum := n.counts.ChargedThreadSeconds; math.Abs(sum-12.6) > 0.01 {
		t.Fatalf("charged %v thread seconds, want 12.6", sum)
	}
}

func TestOrderedQueryIsNeverLowered(t *testing.T) {
	m := newEngineModel(t, Config{
		Tenants: []Tenant{{Name: "a", Weight: 1, Quota: 0.01, Burst: 0.01}, {Name: "b", Weight: 1}},
	}, 1, 1, 1)
	load := m.submit("a", 2, 10, withKey(1), withChain(1))
	m.submit("b", 1, 3)
	m.submit("b", 1, 3)
	m.runUntil(2 * time.Second)
	if load.PriorityLowered() || load.ended {
		t.Fatal("the load was lowered, or ended too early for this test")
	}
}

func TestKeyOrderHoldsAcrossTenants(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: []Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 1000}}}, 4, 4, 4)
	var loads []*job
	for i := range 20 {
		loads = append(loads, m.submit([]string{"a", "b"}[i%2], 2, 0.2, withKey(7), withChain(int64(i%3))))
	}
	m.runUntil(time.Minute)
	for i := 1; i < len(loads); i++ {
		if !loads[i].started || loads[i].endsAt < loads[i-1].endsAt {
			t.Fatalf("load %d ended before load %d of its key", i, i-1)
		}
	}
	first := m.submit("a", 2, 1, withKey(9))
	second, third := m.submit("b", 2, 1, withKey(9)), m.submit("b", 2, 1, withKey(9))
	if second.started || third.started {
		t.Fatal("two loads of one key run at once")
	}
	m.endQuery(second, ClientGone)
	m.runUntil(m.now + 5*time.Second)
	if !first.ended || !third.ended {
		t.Fatal("a load whose client left blocks its key")
	}
}

// Earlier loads of a flooding tenant precede another tenant's load in its chain. The chain's order
// holds, but the other tenant must not wait for the flood's share: when its load is selected, the
// first load of the chain is dispatched instead.
func TestChainOrderDoesNotDelayTenantBehindFlood(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: equalTenants("flood", "small")}, 1, 1, 1)
	m.queue.SetCores(2)
	for i := range 60 {
		m.submit("flood", 2, 0.2, withKey(int64(i)), withChain(int64(i%20)))
	}
	m.runUntil(m.now + 500*time.Millisecond)
	j := m.submit("small", 2, 0.2, withKey(1000), withChain(19))
	before := 0
	for _, x := range m.jobs {
		if x != j && x.Waiting() && x.Chain == 19 {
			before++
		}
	}
	m.runUntil(m.now + time.Duration(before+3)*200*time.Millisecond)
	if before < 2 || !j.started {
		t.Fatalf("the load waits behind the flood, with %d loads ahead in its chain", before)
	}
	m.runUntil(m.now + time.Minute)
}

func TestRepeatKeepsArrivalTimeAndIsChargedOnce(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: equalTenants("a", "b"), AgeingLimit: 3 * time.Second}, 1, 1, 1)
	for range 30 {
		m.submit("b", 1, 0.6)
	}
	first := m.submit("a", 1, 0.6, func(j *job) { j.RepeatID = 5; j.Deadline = m.now + time.Millisecond })
	if first.admission.Admitted || first.admission.Reason != WouldStartTooLate ||
		first.admission.WaitEstimate <= 0 {
		t.Fatalf("%+v", first.admission)
	}
	m.runUntil(1500 * time.Millisecond)
	retried := m.submit("a", 1, 0.6, func(j *job) { j.RepeatOf, j.RepeatID = 5, 5 })
	if !retried.admission.Admitted || retried.ArrivedAt != 0 {
		t.Fatalf("the repeated call has the arrival time %v: %+v", retried.ArrivedAt, retried.admission)
	}
	m.runUntil(m.now + 4*time.Second)
	// A repeated call is not charged again for what the killed call was charged.
	m.submit("a", 1, 0.6, func(j *job) { j.RepeatID = 6 })
	m.runUntil(m.now + 10*time.Second)
	n := m.queue.tenants[m.tenantIndex("a")].state
	before := n.counts.ChargedThreadSeconds
	killed := m.submit("a", 1, 0.6, func(j *job) { j.RepeatID = 7 })
	m.endQuery(killed, Killed)
	charged := n.counts.ChargedThreadSeconds - before
	repeated := m.submit("a", 1, 0.6, func(j *job) { j.RepeatOf, j.RepeatID = 7, 7 })
	m.runUntil(m.now + 5*time.Second)
	if got := n.counts.ChargedThreadSeconds - before; !repeated.ended || charged <= 0 || got > 1.3*charged {
		t.Fatalf("charged %v, and %v including the repeated call", charged, got)
	}
}

func TestReloadMovesQueriesOfRemovedTenant(t *testing.T) {
	config := Config{Tenants: equalTenants("a", "b", "rest"), DefaultTenant: "rest"}
	m := newEngineModel(t, config, 1, 1, 1)
	running := m.submit("a", 1, 3)
	var waiting []*job
	for range 5 {
		waiting = append(waiting, m.submit("a", 1, 0.3), m.submit("b", 1, 0.3))
	}
	config.Tenants = equalTenants("b", "rest")
	m.queue.Reload(m.now, withTestLanes(config))
	m.checkInvariants()
	if m.queue.TenantName(waiting[0].Tenant) != "rest" ||
		m.queue.TenantName(waiting[1].Tenant) != "b" || m.queue.WaitingCount() != 10 {
		t.Fatal("the reload assigned waiting queries to the wrong tenants")
	}
	m.runUntil(m.now + 30*time.Second)
	for _, j := range append(waiting, running) {
		if !j.ended {
			t.Fatal("a query never ended after the reload")
		}
	}
}

func TestClockJumpIsNotCharged(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: equalTenants("a", "b")}, 1, 1, 1)
	running := m.submit("a", 1, 30)
	waiting := m.submit("b", 1, 0.6)
	m.runUntil(time.Second)
	m.now += time.Hour // the running query must not be charged for the jump
	m.queue.Sweep(m.now, nil, nil)
	if n := m.queue.tenants[m.tenantIndex("a")].state; n.counts.ChargedThreadSeconds > 10 {
		t.Fatalf("charged %v thread seconds, so the jump was charged", n.counts.ChargedThreadSeconds)
	}
	m.queue.SetLaneFull(m.now-2*time.Hour, 1, true) // and the clock jumps back
	if m.queue.now < m.now {
		t.Fatal("the queue's time went backwards")
	}
	m.runUntil(m.now + time.Minute)
	if !running.ended || !waiting.ended {
		t.Fatal("a query did not end after the jump")
	}
}

func TestWaitEstimatesAreAccurate(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: equalTenants("a", "b", "c")}, 4, 4, 4)
	m.queue.SetCores(12)
	accurate, total := 0, 0
	for m.now < 40*time.Second {
		for i, tenant := range []string{"a", "b", "c"} {
			if (int(m.now/(100*time.Millisecond))+i)%3 < 2 {
				m.submit(tenant, 1, 0.5+0.1*float64(int(m.now/time.Millisecond)%7), func(j *job) {
					j.Deadline = m.now + 8*time.Second
				})
			}
		}
		m.runUntil(m.now + 33*time.Millisecond)
	}
	m.runUntil(m.now + 20*time.Second)
	for _, j := range m.jobs {
		if !j.started || j.submittedAt < 5*time.Second {
			continue
		}
		waited := j.startedAt - j.submittedAt
		if total++; (waited - j.WaitEstimate).Abs() <= max(25*time.Millisecond, waited/5) {
			accurate++
		}
	}
	if total < 200 || float64(accurate) < 0.9*float64(total) {
		t.Fatalf("%d of %d estimates were accurate", accurate, total)
	}
}

func TestTenantOf(t *testing.T) {
	prefix := func(s string) netip.Prefix { return netip.MustParsePrefix(s) }
	address := func(s string) netip.Addr { return netip.MustParseAddr(s) }
	queue := New(Config{
		Lanes:            testLanes,
		TrustedAddresses: []netip.Prefix{prefix("10.0.0.0/16")},
		DefaultTenant:    "rest",
		Tenants: []Tenant{
			{Name: "k", Weight: 1, Children: []Tenant{
				{Name: "a", Weight: 1, Addresses: []netip.Prefix{prefix("10.1.0.0/16")}},
				{Name: "b", Weight: 1, Addresses: []netip.Prefix{prefix("10.2.0.0/16"), prefix("fd00::/8")}},
			}},
			{Name: "rest", Weight: 1},
		},
	})
	for _, x := range []struct{ from, named, want string }{
		{"10.1.2.3", "", "a"}, {"10.1.2.3", "b", "a"}, {"10.0.2.3", "b", "b"}, {"10.0.2.3", "nobody", "rest"},
		{"::ffff:10.2.0.1", "", "b"}, {"fd00::1", "a", "b"}, {"192.0.2.1", "a", "rest"}, {"10.0.0.1", "k", "rest"},
	} {
		if got := queue.TenantName(queue.TenantOf(address(x.from), []byte(x.named))); got != x.want {
			t.Errorf("a call from %s naming %q belongs to %s, want %s", x.from, x.named, got, x.want)
		}
	}
	if queue.TenantName(queue.TenantOf(netip.Addr{}, nil)) != "rest" {
		t.Error("a call without an address does not belong to the default tenant")
	}
}

func TestEnqueueRejectsBeyondLimits(t *testing.T) {
	m := newEngineModel(t, Config{
		Tenants:    []Tenant{{Name: "a", Weight: 1, MaxWaiting: 3}, {Name: "b", Weight: 1}},
		MaxWaiting: 6,
	}, 1, 1, 1)
	rejections := map[RejectReason]int{}
	for range 6 {
		rejections[m.submit("a", 0, 0.01).admission.Reason]++
	}
	for range 6 {
		rejections[m.submit("b", 0, 0.01).admission.Reason]++
	}
	if rejections[TenantQueueFull] != 2 || rejections[QueueFull] != 3 {
		t.Fatal(rejections)
	}
}

func TestEnqueueAndDispatchDoNotAllocate(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: equalTenants("a", "b"), AgeingLimit: time.Hour}, 1, 1, 1)
	var queries [4096]Query
	i := 0
	step := func() {
		q := &queries[i%len(queries)]
		*q = Query{Lane: 0, Tenant: i % 2, Key: -1, Chain: -1, Deadline: time.Hour}
		i++
		m.now += time.Millisecond
		m.queue.SetLaneFull(m.now, 0, true)
		m.queue.Enqueue(m.now, q)
		if dispatched := m.queue.Next(m.now, 0); dispatched != nil {
			m.queue.Started(m.now, dispatched)
			m.queue.Ended(m.now, dispatched, Finished, 10*time.Millisecond, 0)
		}
	}
	for range 2000 {
		step()
	}
	if n := testing.AllocsPerRun(1000, step); n > 0 {
		t.Fatalf("%v allocations per query", n)
	}
}

func TestValidateRejectsInvalidConfig(t *testing.T) {
	for _, config := range []Config{
		{},
		{Lanes: testLanes, Tenants: []Tenant{{Name: "a"}}},
		{Lanes: testLanes, Tenants: equalTenants("a", "a")},
		{Lanes: testLanes, Tenants: equalTenants("a"), DefaultTenant: "b"},
		{Lanes: testLanes, Tenants: []Tenant{{Name: "a", Weight: math.Inf(1)}}},
		{Lanes: testLanes, Tenants: []Tenant{{Name: "a", Weight: 1, Quota: math.NaN()}}},
		{Lanes: testLanes, Tenants: []Tenant{{Weight: 1}}},
	} {
		if config.Validate() == nil {
			t.Errorf("Validate accepts %+v", config)
		}
	}
}

// A query that is parked behind the first query of its chain must become eligible exactly once, even
// if a later query of its key leaves in the meantime.
func TestParkedQueryBecomesEligibleOnce(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: equalTenants("a")}, 1, 1, 4)
	running := m.submit("a", 2, 3, withKey(0), withChain(1))
	first := m.submit("a", 2, 0.3, withKey(0), withChain(2)) // not eligible: an earlier query of its key runs
	parked := m.submit("a", 2, 0.3, withKey(1), withChain(2))
	behind := m.submit("a", 2, 0.3, withKey(1), withChain(3))
	if !parked.parked || first.eligible {
		t.Fatal("the second query of chain 2 is not parked, or the first is eligible")
	}
	m.endQuery(behind, ClientGone)
	m.endQuery(running, Finished)
	if n := m.queue.tenants[m.tenantIndex("a")].state; n.eligible[2] != 2 {
		t.Fatalf("%d queries are eligible, want 2", n.eligible[2])
	}
	m.runUntil(m.now + 30*time.Second)
	if !slices.Equal(m.startOrder, []*job{running, first, parked}) {
		t.Fatalf("%d queries started, or in the wrong order", len(m.startOrder))
	}
}

// A reload must make a parked query eligible in the new tenant state, and count it only there.
func TestReloadCountsParkedQueryOnce(t *testing.T) {
	chainedLanes := slices.Clone(testLanes)
	chainedLanes[1].Chained = true
	config := Config{Tenants: equalTenants("a"), Lanes: chainedLanes}
	m := newEngineModel(t, config, 1, 0, 1)
	m.submit("a", 1, 0.3, withChain(2)) // lane 1 has no slot
	parked := m.submit("a", 2, 0.3, withChain(2))
	if !parked.parked {
		t.Fatal("the second query of the chain is not parked")
	}
	m.queue.Reload(m.now, config)
	if m.queue.lanes[2].eligibleTenants != 1 || m.queue.lanes[1].eligibleTenants != 1 {
		t.Fatalf("%d and %d tenants count as eligible in lanes 1 and 2, want 1 each",
			m.queue.lanes[1].eligibleTenants, m.queue.lanes[2].eligibleTenants)
	}
}
