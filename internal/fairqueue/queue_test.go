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

func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Config{AgeingLimit: time.Duration(rapid.IntRange(1, 20).Draw(t, "age")) * time.Second, MaxWaiting: rapid.IntRange(5, 100).Draw(t, "most")}
		var names []string
		for k := range rapid.IntRange(1, 3).Draw(t, "kinds") {
			kind := Tenant{Name: fmt.Sprint("k", k), Weight: float64(rapid.IntRange(1, 1000).Draw(t, "weight"))}
			for i := range rapid.IntRange(0, 3).Draw(t, "teams") {
				x := Tenant{Name: fmt.Sprint("t", k, i), Weight: float64(rapid.IntRange(1, 1000).Draw(t, "weight"))}
				if rapid.Bool().Draw(t, "budget") {
					x.Quota, x.Burst = rapid.Float64Range(0.05, 3).Draw(t, "rate"), rapid.Float64Range(0, 2).Draw(t, "burst")
				}
				kind.Children = append(kind.Children, x)
				names = append(names, x.Name)
			}
			if len(kind.Children) == 0 {
				names = append(names, kind.Name)
			}
			s.Tenants = append(s.Tenants, kind)
		}
		m := newEngineModel(t, s, 2, 2, 2)
		var asking []*job
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			default:
				lane := rapid.IntRange(0, 2).Draw(t, "lane")
				work := rapid.Float64Range(0.01, 3).Draw(t, "work")
				j := m.ask(rapid.SampledFrom(names).Draw(t, "team"), lane, work, func(j *job) {
					j.NotifyChanges = rapid.Bool().Draw(t, "ask")
					j.Deadline = m.now + time.Duration(rapid.IntRange(1, 30).Draw(t, "until"))*time.Second
					if lane == 2 {
						j.Key, j.Chain = int64(rapid.IntRange(0, 2).Draw(t, "key")), int64(rapid.IntRange(0, 2).Draw(t, "chain"))
					}
					if rapid.IntRange(0, 4).Draw(t, "again") == 0 {
						j.RepeatOf = uint64(rapid.IntRange(1, 4).Draw(t, "first"))
					}
					j.RepeatID = uint64(rapid.IntRange(0, 4).Draw(t, "self"))
				})
				if j.verdict.Admitted {
					asking = append(asking, j)
				}
			case 6: // left, waiting or not
				if len(asking) > 0 {
					if j := rapid.SampledFrom(asking).Draw(t, "leaves"); !j.done {
						m.end(j, ClientGone)
						m.pump()
					}
				}
			case 7:
				m.until(m.now + time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond)
			case 8: // a clock that jumps ahead, and an event that brings an older time
				m.now += time.Duration(rapid.IntRange(0, 100).Draw(t, "s")) * time.Second
				m.c.SetLaneFull(m.now-time.Minute, 0, false)
				m.until(m.now + time.Second)
			case 9:
				next := s
				next.Tenants = slices.Clone(s.Tenants)
				if len(next.Tenants) > 1 && rapid.Bool().Draw(t, "drop") {
					next.Tenants = next.Tenants[1:]
				}
				m.c.Reload(m.now, withLanes(next))
				m.c.Reload(m.now, withLanes(s))
				m.pump()
			}
			m.check()
		}
		// nothing is lost: whoever was taken goes in the end
		m.until(m.now + 10*time.Minute)
		for _, j := range asking {
			if !j.started && !j.done {
				t.Fatalf("%s %d waits for ever in lane %d", j.team, j.sequence, j.Lane)
			}
		}
		if m.c.WaitingCount() != 0 || len(m.c.orders)+len(m.c.chains) != 0 || m.c.running.First() != nil || math.Abs(m.c.root.busyWeight) > 1e-9 {
			t.Fatalf("%d wait, %d lines, busy %v after all is over", m.c.WaitingCount(), len(m.c.orders), m.c.root.busyWeight)
		}
		if m.c.nodeCount != 0 {
			t.Fatalf("%d teams have state after ten minutes of nothing", m.c.nodeCount)
		}
	})
}

func TestSharesFollowWeights(t *testing.T) {
	l := []Tenant{{Name: "a", Weight: 1, Children: []Tenant{{Name: "a1", Weight: 1}, {Name: "a2", Weight: 3}}}, {Name: "b", Weight: 2}}
	m := newEngineModel(t, Config{Tenants: l, AgeingLimit: time.Hour}, 4, 4, 4)
	// their queries differ in size: shares are of work, not of queries
	used := m.share(120*time.Second, 1, map[string]float64{"a1": 0.2, "a2": 0.6, "b": 0.3})
	all := used["a1"] + used["a2"] + used["b"]
	for team, want := range map[string]float64{"a1": 1.0 / 12, "a2": 3.0 / 12, "b": 8.0 / 12} {
		if got := used[team] / all; math.Abs(got-want) > 0.03 {
			t.Errorf("%s has %.3f of the work, not %.3f", team, got, want)
		}
	}
}

func TestWeightsFarApart(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: []Tenant{{Name: "small", Weight: 1}, {Name: "large", Weight: 1000}}, AgeingLimit: 5 * time.Second}, 4, 4, 4)
	m.c.SetCores(4)
	for m.now < 40*time.Second {
		m.flood("large", 0, 40, 0.05)
		if n := m.c.tenants[m.team("small")].state; n == nil || n.waiting == 0 {
			m.ask("small", 0, 0.05)
		}
		m.until(m.now + 100*time.Millisecond)
	}
	// no share of a thousandth keeps a query longer than the bound
	var worst time.Duration
	m.c.EachTenant(func(path string, _ int, n Counts) {
		if path == "small" {
			worst = n.MaxWait
		}
	})
	if worst == 0 || worst > m.c.StarvationBound() {
		t.Fatalf("the small team waited %v", worst)
	}
	if m.used["large"] < 20*m.used["small"] {
		t.Fatalf("a weight of 1000 has %v beside %v", m.used["large"], m.used["small"])
	}
}

func TestOneFloodsBesideManySmall(t *testing.T) {
	names := []string{"flood"}
	for i := range 500 {
		names = append(names, fmt.Sprint("t", i))
	}
	m := newEngineModel(t, Config{Tenants: teams(names...)}, 4, 4, 4)
	m.flood("flood", 0, 2000, 0.05)
	deferred := 0
	for _, j := range m.jobs {
		if !j.verdict.Admitted {
			deferred++
		}
	}
	start := m.now
	for i := range 500 {
		m.ask(names[i+1], 0, 0.05)
	}
	m.until(start + 20*time.Second)
	worst := time.Duration(0)
	m.c.EachTenant(func(path string, waiting int, n Counts) {
		if path != "flood" {
			worst = max(worst, n.MaxWait)
			if waiting > 0 {
				t.Fatalf("%s still waits", path)
			}
		}
	})
	// 500 queries of 50 ms on four threads take 6.25 s; with the flood getting a
	// team's share beside them, hardly more
	if worst > 7*time.Second {
		t.Fatalf("the flood kept others for %v", worst)
	}
	if deferred == 0 {
		t.Fatal("a flood may wait for as long as it likes")
	}
}

func TestABudgetUsedUpAndRefilled(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: []Tenant{{Name: "rich", Weight: 1}, {Name: "poor", Weight: 1, Quota: 0.2, Burst: 1}}, AgeingLimit: time.Hour}, 2, 2, 2)
	for m.now < 60*time.Second {
		for _, team := range []string{"rich", "poor"} {
			if n := m.c.tenants[m.team(team)].state; n == nil || n.waiting < 8 {
				m.flood(team, 0, 8, 0.1)
			}
		}
		m.until(m.now + 100*time.Millisecond)
	}
	// 60 s of 0.2 and the burst; while the other wants the rest
	if got := m.used["poor"]; got < 8 || got > 17 {
		t.Fatalf("a budget of 13 thread seconds came to %v", got)
	}
	before := m.used["poor"]
	for m.now < 70*time.Second { // nobody else: nothing stands idle for a budget's sake
		if n := m.c.tenants[m.team("poor")].state; n.waiting < 8 {
			m.flood("poor", 0, 8, 0.1)
		}
		m.until(m.now + 100*time.Millisecond)
	}
	if got := m.used["poor"] - before; got < 15 {
		t.Fatalf("alone on two threads it did %v thread seconds in ten", got)
	}
}

func TestABadPlanIsChargedAsItRuns(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: []Tenant{{Name: "a", Weight: 1, Quota: 1, Burst: 1}, {Name: "b", Weight: 1}}}, 1, 1, 1)
	m.ask("a", 1, 0.6)
	m.until(2 * time.Second)
	bad := m.ask("a", 1, 12) // twenty times the usual, 4 s on three threads
	other := m.ask("b", 1, 0.6)
	m.until(m.now + 2*time.Second)
	n := m.c.tenants[m.team("a")].state
	if bad.done || n.tokens > -2 || !n.overQuota {
		t.Fatalf("it is charged at its end only: %v tokens", n.tokens)
	}
	if !bad.PriorityLowered() {
		t.Fatal("it makes no way, and another waits")
	}
	m.until(m.now + 10*time.Second)
	if !bad.done || !other.done || other.PriorityLowered() {
		t.Fatal("not all is over")
	}
	if sum := n.counts.ChargedThreadSeconds; math.Abs(sum-12.6) > 0.01 {
		t.Fatalf("charged %v in the end", sum)
	}
}

func TestOrderedWorkIsNeverLowered(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: []Tenant{{Name: "a", Weight: 1, Quota: 0.01, Burst: 0.01}, {Name: "b", Weight: 1}}}, 1, 1, 1)
	load := m.ask("a", 2, 10, key(1), chain(1))
	m.ask("b", 1, 3)
	m.ask("b", 1, 3)
	m.until(2 * time.Second)
	if load.PriorityLowered() || load.done {
		t.Fatal("a load was lowered below younger ones")
	}
}

func TestLoadsOfOneKeyFromTwoTeams(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: []Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 1000}}}, 4, 4, 4)
	var all []*job
	for i := range 20 {
		all = append(all, m.ask([]string{"a", "b"}[i%2], 2, 0.2, key(7), chain(int64(i%3))))
	}
	m.until(time.Minute)
	for i := 1; i < len(all); i++ {
		if !all[i].started || all[i].over < all[i-1].over {
			t.Fatalf("%d went before %d of its key", i, i-1)
		}
	}
	left := m.ask("a", 2, 1, key(9))
	second, third := m.ask("b", 2, 1, key(9)), m.ask("b", 2, 1, key(9))
	if second.started || third.started {
		t.Fatal("two of one key at once")
	}
	m.end(second, ClientGone)
	m.until(m.now + 5*time.Second)
	if !left.done || !third.done {
		t.Fatal("one that left holds up its key")
	}
}

// A flood's loads stand before others of their tables. The order stays, and yet a
// team's turn comes when its share says so: what stands before it goes on its turn.
func TestOrderDoesNotLendAFloodItsPlace(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: teams("flood", "small")}, 1, 1, 1)
	m.c.SetCores(2)
	for i := range 60 {
		m.ask("flood", 2, 0.2, key(int64(i)), chain(int64(i%20)))
	}
	m.until(m.now + 500*time.Millisecond)
	j := m.ask("small", 2, 0.2, key(1000), chain(19))
	before := 0
	for _, x := range m.jobs {
		if x != j && x.Waiting() && x.Chain == 19 {
			before++
		}
	}
	m.until(m.now + time.Duration(before+3)*200*time.Millisecond)
	if before < 2 || !j.started {
		t.Fatalf("it waits behind the flood, %d before it in its chain", before)
	}
	m.until(m.now + time.Minute)
}

func TestARepeatKeepsItsAgeAndIsNotChargedTwice(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: teams("a", "b"), AgeingLimit: 3 * time.Second}, 1, 1, 1)
	for range 30 {
		m.ask("b", 1, 0.6)
	}
	first := m.ask("a", 1, 0.6, func(j *job) { j.RepeatID = 5; j.Deadline = m.now + time.Millisecond })
	if first.verdict.Admitted || first.verdict.Reason != WouldStartTooLate || first.verdict.WaitEstimate <= 0 {
		t.Fatalf("%+v", first.verdict)
	}
	m.until(1500 * time.Millisecond)
	again := m.ask("a", 1, 0.6, func(j *job) { j.RepeatOf, j.RepeatID = 5, 5 })
	if !again.verdict.Admitted || again.ArrivedAt != 0 {
		t.Fatalf("it came at %v: %+v", again.ArrivedAt, again.verdict)
	}
	m.until(m.now + 4*time.Second)
	// charged once although the first of it was killed halfway
	m.ask("a", 1, 0.6, func(j *job) { j.RepeatID = 6 })
	m.until(m.now + 10*time.Second)
	n := m.c.tenants[m.team("a")].state
	before := n.counts.ChargedThreadSeconds
	one := m.ask("a", 1, 0.6, func(j *job) { j.RepeatID = 7 })
	m.end(one, Killed)
	charged := n.counts.ChargedThreadSeconds - before
	two := m.ask("a", 1, 0.6, func(j *job) { j.RepeatOf, j.RepeatID = 7, 7 })
	m.until(m.now + 5*time.Second)
	if got := n.counts.ChargedThreadSeconds - before; !two.done || charged <= 0 || got > 1.3*charged {
		t.Fatalf("charged %v, and with its repeat %v", charged, got)
	}
}

func TestAReloadThatRemovesATeam(t *testing.T) {
	s := Config{Tenants: teams("a", "b", "rest"), DefaultTenant: "rest"}
	m := newEngineModel(t, s, 1, 1, 1)
	running := m.ask("a", 1, 3)
	var waiting []*job
	for range 5 {
		waiting = append(waiting, m.ask("a", 1, 0.3), m.ask("b", 1, 0.3))
	}
	s.Tenants = teams("b", "rest")
	m.c.Reload(m.now, withLanes(s))
	m.check()
	if m.c.TenantName(waiting[0].Tenant) != "rest" || m.c.TenantName(waiting[1].Tenant) != "b" || m.c.WaitingCount() != 10 {
		t.Fatal("its queries went astray")
	}
	m.until(m.now + 30*time.Second)
	for _, j := range append(waiting, running) {
		if !j.done {
			t.Fatal("lost in the reload")
		}
	}
}

func TestAClockThatJumps(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: teams("a", "b")}, 1, 1, 1)
	j := m.ask("a", 1, 30)
	waits := m.ask("b", 1, 0.6)
	m.until(time.Second)
	m.now += time.Hour // with j running: its span is not charged for the jump
	m.c.Sweep(m.now, nil, nil)
	if n := m.c.tenants[m.team("a")].state; n.counts.ChargedThreadSeconds > 10 {
		t.Fatalf("the jump was charged: %v", n.counts.ChargedThreadSeconds)
	}
	m.c.SetLaneFull(m.now-2*time.Hour, 1, true) // and back again
	if m.c.now < m.now {
		t.Fatal("time ran backwards")
	}
	m.until(m.now + time.Minute)
	if !j.done || !waits.done {
		t.Fatal("something stands still after the jump")
	}
}

func TestEstimatesOfAQueue(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: teams("a", "b", "c")}, 4, 4, 4)
	m.c.SetCores(12)
	good, all := 0, 0
	for m.now < 40*time.Second {
		for i, team := range []string{"a", "b", "c"} {
			if (int(m.now/(100*time.Millisecond))+i)%3 < 2 {
				m.ask(team, 1, 0.5+0.1*float64(int(m.now/time.Millisecond)%7), func(j *job) { j.Deadline = m.now + 8*time.Second })
			}
		}
		m.until(m.now + 33*time.Millisecond)
	}
	m.until(m.now + 20*time.Second)
	for _, j := range m.jobs {
		if !j.started || j.at < 5*time.Second {
			continue
		}
		had := j.startedAt - j.at
		if all++; (had - j.WaitEstimate).Abs() <= max(25*time.Millisecond, had/5) {
			good++
		}
	}
	if all < 200 || float64(good) < 0.9*float64(all) {
		t.Fatalf("%d of %d estimates held", good, all)
	}
}

func TestWhose(t *testing.T) {
	p := func(s string) netip.Prefix { return netip.MustParsePrefix(s) }
	a := func(s string) netip.Addr { return netip.MustParseAddr(s) }
	c := New(Config{Lanes: lanes, TrustedAddresses: []netip.Prefix{p("10.0.0.0/16")}, DefaultTenant: "rest", Tenants: []Tenant{
		{Name: "k", Weight: 1, Children: []Tenant{{Name: "a", Weight: 1, Addresses: []netip.Prefix{p("10.1.0.0/16")}},
			{Name: "b", Weight: 1, Addresses: []netip.Prefix{p("10.2.0.0/16"), p("fd00::/8")}}}}, {Name: "rest", Weight: 1}}})
	for _, x := range []struct{ from, named, want string }{
		{"10.1.2.3", "", "a"}, {"10.1.2.3", "b", "a"}, {"10.0.2.3", "b", "b"}, {"10.0.2.3", "nobody", "rest"},
		{"::ffff:10.2.0.1", "", "b"}, {"fd00::1", "a", "b"}, {"192.0.2.1", "a", "rest"}, {"10.0.0.1", "k", "rest"},
	} {
		if got := c.TenantName(c.TenantOf(a(x.from), []byte(x.named))); got != x.want {
			t.Errorf("%s naming %q is %s, not %s", x.from, x.named, got, x.want)
		}
	}
	if c.TenantName(c.TenantOf(netip.Addr{}, nil)) != "rest" {
		t.Error("a call from nowhere has no team")
	}
}

func TestWhatDoesNotFitIsRefused(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: []Tenant{{Name: "a", Weight: 1, MaxWaiting: 3}, {Name: "b", Weight: 1}}, MaxWaiting: 6}, 1, 1, 1)
	why := map[RejectReason]int{}
	for range 6 {
		why[m.ask("a", 0, 0.01).verdict.Reason]++
	}
	for range 6 {
		why[m.ask("b", 0, 0.01).verdict.Reason]++
	}
	if why[TenantQueueFull] != 2 || why[QueueFull] != 3 {
		t.Fatal(why)
	}
}

func TestOneInAndOneOutAllocatesNothing(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: teams("a", "b"), AgeingLimit: time.Hour}, 1, 1, 1)
	var l [4096]Query
	i := 0
	step := func() {
		w := &l[i%len(l)]
		*w = Query{Lane: 0, Tenant: i % 2, Key: -1, Chain: -1, Deadline: time.Hour}
		i++
		m.now += time.Millisecond
		m.c.SetLaneFull(m.now, 0, true)
		m.c.Enqueue(m.now, w)
		if x := m.c.Next(m.now, 0); x != nil {
			m.c.Started(m.now, x)
			m.c.Ended(m.now, x, Finished, 10*time.Millisecond, 0)
		}
	}
	for range 2000 {
		step()
	}
	if n := testing.AllocsPerRun(1000, step); n > 0 {
		t.Fatalf("%v allocations", n)
	}
}

func TestShapesThatCantBe(t *testing.T) {
	for _, s := range []Config{
		{}, {Lanes: lanes, Tenants: []Tenant{{Name: "a"}}}, {Lanes: lanes, Tenants: teams("a", "a")},
		{Lanes: lanes, Tenants: teams("a"), DefaultTenant: "b"}, {Lanes: lanes, Tenants: []Tenant{{Name: "a", Weight: math.Inf(1)}}},
		{Lanes: lanes, Tenants: []Tenant{{Name: "a", Weight: 1, Quota: math.NaN()}}}, {Lanes: lanes, Tenants: []Tenant{{Weight: 1}}},
	} {
		if s.Validate() == nil {
			t.Errorf("%+v passes", s)
		}
	}
}

// One that stands aside for the first of its chain is offered again once, though one
// behind it in its key's line leaves meanwhile.
func TestOneParkedIsOfferedOnce(t *testing.T) {
	m := newEngineModel(t, Config{Tenants: teams("a")}, 1, 1, 4)
	runs := m.ask("a", 2, 3, key(0), chain(1))
	first := m.ask("a", 2, 0.3, key(0), chain(2)) // its key's turn isn't its own
	aside := m.ask("a", 2, 0.3, key(1), chain(2))
	behind := m.ask("a", 2, 0.3, key(1), chain(3))
	if !aside.parked || first.eligible {
		t.Fatal("nobody stands aside")
	}
	m.end(behind, ClientGone)
	m.end(runs, Finished)
	if n := m.c.tenants[m.team("a")].state; n.eligible[2] != 2 {
		t.Fatalf("%d may go, and there are two", n.eligible[2])
	}
	m.until(m.now + 30*time.Second)
	if !slices.Equal(m.order, []*job{runs, first, aside}) {
		t.Fatalf("%d went", len(m.order))
	}
}

// A reload offers what stood aside to its new team, and only there.
func TestAReloadWithOneParked(t *testing.T) {
	l := slices.Clone(lanes)
	l[1].Chained = true
	s := Config{Tenants: teams("a"), Lanes: l}
	m := newEngineModel(t, s, 1, 0, 1)
	m.ask("a", 1, 0.3, chain(2)) // no room for it
	aside := m.ask("a", 2, 0.3, chain(2))
	if !aside.parked {
		t.Fatal("it doesn't stand aside")
	}
	m.c.Reload(m.now, s)
	if m.c.lanes[2].eligibleTenants != 1 || m.c.lanes[1].eligibleTenants != 1 {
		t.Fatalf("%d and %d teams are counted", m.c.lanes[1].eligibleTenants, m.c.lanes[2].eligibleTenants)
	}
}
