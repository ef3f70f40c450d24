package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms, sec = time.Millisecond, time.Second

// TestSchedulerKeepsRulesOnRandomEvents plays random events. The harness checks the seven rules at
// every step.
func TestSchedulerKeepsRulesOnRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(name string, from ...string) string { return rapid.SampledFrom(from).Draw(t, name) }
		given := map[string]string{
			"gateways": pick("gateways", "0", "1", "2", "300"), "may.cancel": pick("cancel", "true", "false"),
			"may.copy": pick("copy", "true", "false"), "may.probe": pick("probe", "true", "false"),
			"note.period": pick("notes", "0", "1000"), "submissions.most": pick("most", "1", "3", "6"),
			"memory.short": pick("short", "queue", "trim", "swap"), "list.how": pick("list", "pushed", "asked"),
			"group.0.effect": pick("effect", "read-only", "tokened", "mutating"), "group.0.window": "2000",
			"group.0.scope": pick("scope", "all", "location", "cell"), "group.0.locations": pick("at", "", "0", "1"),
			"group.1.kinds": pick("on", "", "0", "1"), "budget.span": pick("span", "0", "3000"),
			"budget.least": "1", "budget.share": pick("share", "0", "0.2"), "key.rest": pick("rest", "0", "300"),
			"report.how":     pick("reports", "off", "probed"),
			"group.2.effect": pick("loads", "mutating", "tokened"), "group.2.window": "5000", "group.2.scope": "all",
			"loads": pick("chains", "false,false,true", ""), "kind.cores": pick("cores", "8,8", "", "0"),
		}
		h := newHarness(t, rapid.IntRange(0, 6).Draw(t, "engines"), given)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			runRandomStep(t, h)
		}
		h.advance(40 * sec)
	})
}

func runRandomStep(t *rapid.T, h *harness) {
	choice := rapid.IntRange(0, 99).Draw(t, "what")
	engine := ""
	if ids := h.engineIDs(); len(ids) > 0 {
		engine = rapid.SampledFrom(ids).Draw(t, "engine")
	}
	switch {
	case choice < 35:
		group := rapid.IntRange(0, 2).Draw(t, "group")
		h.arrive(group, rapid.Int64Range(0, 2).Draw(t, "tables"), rapid.Int64Range(-1, 2).Draw(t, "key"),
			time.Duration(rapid.IntRange(0, 9000).Draw(t, "budget"))*ms)
	case choice < 60:
		q, k := drawInFlight(t, h)
		if q != nil {
			h.endAttempt(q, k, rapid.SampledFrom([]Outcome{Finished, Failed, Rejected, TimedOut, Unreachable,
				ConnectionReset, Cancelled,
				NeverSent}).Draw(t, "outcome"))
		}
	case choice < 68:
		if q, k := drawInFlight(t, h); q != nil {
			h.s.NoteReceived(h.now, q.id, k, NoteKind(rapid.IntRange(0, 3).Draw(t, "sign")), rapid.Float64Range(0,
				1).Draw(t, "x"))
			h.checkAnswered()
		}
	case choice < 73 && engine != "":
		h.setState(engine, EngineState(rapid.IntRange(0, 2).Draw(t, "state")))
	case choice < 76 && engine != "":
		h.restartEngine(engine)
	case choice < 78 && engine != "":
		h.reportLoad(engine, map[string]float64{"held": 60})
	case choice < 80:
		h.s.ListRefused(h.now)
	case choice < 82 && len(h.arrivals) > 0:
		q := rapid.SampledFrom(h.arrivals).Draw(t, "leaver")
		q.answered = true
		h.s.ClientLeft(h.now, q.id)
		h.checkAnswered()
	case choice < 84:
		h.s.AttemptEnded(h.now, "nobody", 0, Finished, sec, true, 0, 0, nil)
	default:
		h.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pass")) * ms)
	}
}

func drawInFlight(t *rapid.T, h *harness) (*clientQuery, int) {
	var all []*clientQuery
	var numbers []int
	for _, q := range h.arrivals {
		for number, attempt := range q.attempts {
			if !attempt.ended {
				all, numbers = append(all, q), append(numbers, number)
			}
		}
	}
	if len(all) == 0 {
		return nil, 0
	}
	i := rapid.IntRange(0, len(all)-1).Draw(t, "out")
	return all[i], numbers[i]
}

func sentTo(q *clientQuery) string {
	if len(q.attempts) == 0 {
		return ""
	}
	return q.attempts[len(q.attempts)-1].engine
}
