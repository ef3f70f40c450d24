package scheduler

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fence is Actions that holds every submission against where its query may be.
type confinementActions struct {
	recordingActions
	t      interface{ Fatalf(string, ...any) }
	inside map[string][]string
	at     map[string]int // an engine's location
	out    []string       // query, try
	tries  map[string]int
	sent   map[int]int
}

func (f *confinementActions) SendAttempt(query, engine string, _ time.Duration) {
	where := f.at[engine]
	if l, bound := f.inside[query]; bound && !slices.Contains(l, strconv.Itoa(where)) {
		f.t.Fatalf("%s, submission %d, at location %d, and it may be at %v", query, f.tries[query], where, l)
	}
	f.sent[where]++
	f.out = append(f.out, fmt.Sprintf("%s %d", query, f.tries[query]))
	f.tries[query]++
}

func (f *confinementActions) CheckHealth(engine string) { f.probes = append(f.probes, engine) }

// Every way to an engine obeys a query's boundary: first submissions, chains, repeats after
// each kind of end, moves, copies; and a boundary that changes while the query is held.
func TestConfinedQueryStaysInAllowedLocations(t *testing.T) {
	crossedBoth := false
	rapid.Check(t, func(t *rapid.T) {
		f := &confinementActions{t: t, inside: map[string][]string{}, at: map[string]int{}, tries: map[string]int{},
			sent: map[int]int{}}
		g := New(f, 7, testSettings(map[string]string{"may.copy": strconv.FormatBool(rapid.Bool().Draw(t,
			"copies")),
			"submissions.most": "6", "group.1.locations": "0,1", "report.how": rapid.SampledFrom([]string{"off",
				"probed"}).Draw(t, "reports")}))
		list := func(now time.Duration, state func(i int) EngineState) {
			g.ListStarted(now, true)
			for i := range 6 {
				id := fmt.Sprint("e", i)
				f.at[id] = i % 3
				g.EngineListed(id, i%3, 0, i, state(i), 0, false)
			}
			g.ListEnded()
		}
		list(0, func(int) EngineState { return EngineActive })
		bounds := rapid.SampledFrom([][]string{{"0"}, {"1", "2"}, {"2"}, {}})
		for now, n := 20*ms, 0; n < 60; now, n = now+rapid.SampledFrom([]time.Duration{ms, 40 * ms,
			400 * ms}).Draw(t, "later"), n+1 {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				id := fmt.Sprint("q", n)
				group, budget := rapid.IntRange(0, 2).Draw(t, "group"), rapid.SampledFrom([]time.Duration{2 * sec,
					20 * sec}).Draw(t, "budget")
				var inside []string
				if rapid.IntRange(0, 2).Draw(t, "bound") > 0 {
					inside = bounds.Draw(t, "inside")
					f.inside[id] = inside
				}
				g.ConfinedQueryArrived(now, id, group, -1, budget, int64(n%3), int64(n%4), 300*ms, 64, inside)
			case 3:
				if len(f.out) > 0 {
					i := rapid.IntRange(0, len(f.out)-1).Draw(t, "which")
					var id string
					var try int
					fmt.Sscan(f.out[i], &id, &try)
					f.out = slices.Delete(f.out, i, i+1)
					if how := rapid.SampledFrom([]Outcome{Finished, Rejected, ConnectionReset, Unreachable, NeverSent,
						Cancelled}).Draw(t, "end"); how == Finished ||
						rapid.Bool().Draw(t, "ends") {
						g.AttemptEnded(now, id, try, how, 100*ms, how == Finished, 0, 0, nil)
					} else {
						g.NoteReceived(now, id, try, rapid.SampledFrom([]NoteKind{WaitingForLoad, Progress}).Draw(t, "sign"),
							0.001)
					}
				}
			case 4:
				down := rapid.IntRange(0, 7).Draw(t, "down") // all of its location, from 3 on none
				list(now, func(i int) EngineState {
					if i%3 == down {
						return EngineDraining
					}
					return EngineActive
				})
			case 5:
				for _, id := range rapid.Permutation([]string{"q0", "q3", "q5", "q9", "q20"}).Draw(t,
					"other bounds")[:2] {
					if g.queries[id] != nil {
						f.inside[id] = bounds.Draw(t, "then")
						g.ConfineQuery(now, id, f.inside[id])
					}
				}
			}
			for len(f.probes) > 0 {
				e := f.probes[0]
				f.probes = f.probes[1:]
				g.HealthCheckEnded(now, e, Finished, map[string]float64{"held": 1, "cores": 0.1})
			}
			g.TimerFired(now, tickTag)
		}
		crossedBoth = crossedBoth || f.sent[0] > 0 && f.sent[1] > 0 && f.sent[2] > 0 && len(f.inside) > 3
	})
	if !crossedBoth {
		t.Fatal("no run sent bound queries to all locations: nothing was tried")
	}
}

// What is held for want of an engine inside holds up nobody who may go elsewhere.
func TestConfinedQueryBlocksOnlyItsLike(t *testing.T) {
	f := &confinementActions{t: t, inside: map[string][]string{"bound": {"5"}}, at: map[string]int{"e0": 0},
		tries: map[string]int{}, sent: map[int]int{}}
	g := New(f, 7, testSettings(nil))
	g.ListStarted(0, true)
	g.EngineListed("e0", 0, 0, 0, EngineActive, 0, false)
	g.ListEnded()
	g.ConfinedQueryArrived(ms, "bound", 0, -1, 5*sec, 1, -1, 0, 0, []string{"5"})
	g.QueryArrived(ms, "free", 0, -1, 5*sec, 1, -1, 0, 0)
	if f.tries["free"] != 1 || f.tries["bound"] != 0 {
		t.Fatal(f.tries)
	}
	f.inside["bound"] = []string{"0"}
	if g.ConfineQuery(2*ms, "bound", []string{"0"}); f.tries["bound"] != 1 {
		t.Fatal("a boundary that opened lets it go", f.tries)
	}
}
