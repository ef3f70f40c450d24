package scheduler

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// confinementActions checks that each attempt is sent to a location that its query allows.
type confinementActions struct {
	recordingActions
	t                interface{ Fatalf(string, ...any) }
	allowedLocations map[string][]string
	locationOf       map[string]int // of an engine
	inFlight         []string       // query id and attempt number
	attempts         map[string]int
	sentByLocation   map[int]int
}

func (actions *confinementActions) SendAttempt(query, engine string, _ time.Duration) {
	where := actions.locationOf[engine]
	if l, bound := actions.allowedLocations[query]; bound && !slices.Contains(l, strconv.Itoa(where)) {
		actions.t.Fatalf("%s, attempt %d, sent to location %d, and it may be at %v", query,
			actions.attempts[query], where, l)
	}
	actions.sentByLocation[where]++
	actions.inFlight = append(actions.inFlight, fmt.Sprintf("%s %d", query, actions.attempts[query]))
	actions.attempts[query]++
}

func (actions *confinementActions) CheckHealth(engine string) {
	actions.healthChecks = append(actions.healthChecks, engine)
}

// Every attempt obeys its query's allowed locations: first attempts, chains, retries after each
// outcome, moved attempts and hedged ones, also if the allowed locations change while the query
// waits.
func TestConfinedQueryStaysInAllowedLocations(t *testing.T) {
	sentEverywhere := false
	rapid.Check(t, func(t *rapid.T) {
		actions := &confinementActions{t: t, allowedLocations: map[string][]string{}, locationOf: map[string]int{},
			attempts: map[string]int{}, sentByLocation: map[int]int{}}
		s := New(actions, 7, testSettings(map[string]string{"may.copy": strconv.FormatBool(rapid.Bool().Draw(t,
			"copies")),
			"submissions.most": "6", "group.1.locations": "0,1", "report.how": rapid.SampledFrom([]string{"off",
				"probed"}).Draw(t, "reports")}))
		list := func(now time.Duration, state func(i int) EngineState) {
			s.ListStarted(now, true)
			for i := range 6 {
				id := fmt.Sprint("e", i)
				actions.locationOf[id] = i % 3
				s.EngineListed(id, i%3, 0, i, state(i), 0, false)
			}
			s.ListEnded()
		}
		list(0, func(int) EngineState { return EngineActive })
		drawLocations := rapid.SampledFrom([][]string{{"0"}, {"1", "2"}, {"2"}, {}})
		for now, n := 20*ms, 0; n < 60; now, n = now+rapid.SampledFrom([]time.Duration{ms, 40 * ms,
			400 * ms}).Draw(t, "later"), n+1 {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				id := fmt.Sprint("q", n)
				group, budget := rapid.IntRange(0, 2).Draw(t, "group"), rapid.SampledFrom([]time.Duration{2 * sec,
					20 * sec}).Draw(t, "budget")
				var locations []string
				if rapid.IntRange(0, 2).Draw(t, "bound") > 0 {
					locations = drawLocations.Draw(t, "inside")
					actions.allowedLocations[id] = locations
				}
				s.ConfinedQueryArrived(now, id, group, -1, budget, int64(n%3), int64(n%4), 300*ms, 64, locations)
			case 3:
				if len(actions.inFlight) > 0 {
					i := rapid.IntRange(0, len(actions.inFlight)-1).Draw(t, "which")
					var id string
					var number int
					fmt.Sscan(actions.inFlight[i], &id, &number)
					actions.inFlight = slices.Delete(actions.inFlight, i, i+1)
					if outcome := rapid.SampledFrom([]Outcome{Finished, Rejected, ConnectionReset, Unreachable, NeverSent,
						Cancelled}).Draw(t, "end"); outcome == Finished ||
						rapid.Bool().Draw(t, "ends") {
						s.AttemptEnded(now, id, number, outcome, 100*ms, outcome == Finished, 0, 0, nil)
					} else {
						s.NoteReceived(now, id, number, rapid.SampledFrom([]NoteKind{WaitingForLoad, Progress}).Draw(t, "sign"),
							0.001)
					}
				}
			case 4:
				drainedLocation := rapid.IntRange(0, 7).Draw(t, "down") // all engines of the location; from 3 on none
				list(now, func(i int) EngineState {
					if i%3 == drainedLocation {
						return EngineDraining
					}
					return EngineActive
				})
			case 5:
				for _, id := range rapid.Permutation([]string{"q0", "q3", "q5", "q9", "q20"}).Draw(t,
					"other bounds")[:2] {
					if s.queries[id] != nil {
						actions.allowedLocations[id] = drawLocations.Draw(t, "then")
						s.ConfineQuery(now, id, actions.allowedLocations[id])
					}
				}
			}
			for len(actions.healthChecks) > 0 {
				e := actions.healthChecks[0]
				actions.healthChecks = actions.healthChecks[1:]
				s.HealthCheckEnded(now, e, Finished, map[string]float64{"held": 1, "cores": 0.1})
			}
			s.TimerFired(now, tickTag)
		}
		sentEverywhere = sentEverywhere || actions.sentByLocation[0] > 0 && actions.sentByLocation[1] > 0 &&
			actions.sentByLocation[2] > 0 && len(actions.allowedLocations) > 3
	})
	if !sentEverywhere {
		t.Fatal("no run sent confined queries to all locations")
	}
}

// A confined query without an eligible engine doesn't block queries that other engines may run.
func TestConfinedQueryBlocksOnlyQueriesLikeItself(t *testing.T) {
	actions := &confinementActions{t: t, allowedLocations: map[string][]string{"bound": {"5"}},
		locationOf: map[string]int{"e0": 0},
		attempts:   map[string]int{}, sentByLocation: map[int]int{}}
	s := New(actions, 7, testSettings(nil))
	s.ListStarted(0, true)
	s.EngineListed("e0", 0, 0, 0, EngineActive, 0, false)
	s.ListEnded()
	s.ConfinedQueryArrived(ms, "bound", 0, -1, 5*sec, 1, -1, 0, 0, []string{"5"})
	s.QueryArrived(ms, "free", 0, -1, 5*sec, 1, -1, 0, 0)
	if actions.attempts["free"] != 1 || actions.attempts["bound"] != 0 {
		t.Fatal(actions.attempts)
	}
	actions.allowedLocations["bound"] = []string{"0"}
	if s.ConfineQuery(2*ms, "bound", []string{"0"}); actions.attempts["bound"] != 1 {
		t.Fatal("query not sent after its locations were widened:", actions.attempts)
	}
}
