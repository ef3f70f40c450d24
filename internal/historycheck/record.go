package historycheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// ChangeReport is one request about a policy change with its outcome. The first request proposes
// the change; later requests query its outcome.
type ChangeReport struct {
	Client      int
	From, To    time.Duration
	ID          string
	Base        uint64
	Proposes    bool
	Outcome     string // in force, withdrawn, refused; unknown: may still take effect
	Version     uint64 // of the policy, if in force
	VersionRead bool   // reads a controller's version, which may lag behind
}

// Linearizable reports whether one order of the changes explains all reports, with each report taking
// effect between its request and its answer. If there is none, Linearizable also returns the last
// reports of the shortest history without an order. A check that runs out of time passes.
func Linearizable(reports []ChangeReport, within time.Duration) (bool, string) {
	var ops []porcupine.Operation
	for _, w := range reports {
		to := int64(w.To)
		if w.Outcome == "unknown" {
			if !w.Proposes {
				continue // an unanswered query adds no constraint
			}
			to = noReturn // the change may take effect at any later time
		}
		ops = append(ops, porcupine.Operation{ClientId: w.Client, Input: w, Output: w,
			Call: int64(w.From), Return: to})
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{policyState{}} },
		Step: func(state, in, _ any) []any { return state.(policyState).step(in.(ChangeReport)) },
		DescribeOperation: func(in, _ any) string {
			w := in.(ChangeReport)
			return fmt.Sprintf("%s against %d: %s %d", w.ID, w.Base, w.Outcome, w.Version)
		},
	}
	plain := model.ToModel()
	result := porcupine.CheckOperationsTimeout(plain, ops, within)
	if result != porcupine.Illegal {
		return true, "" // includes Unknown: the check ran out of time without finding a violation
	}
	// Find the shortest prefix without a valid order, sorted by the times of the answers. Changes that
	// may take effect at any time belong to every prefix.
	mayEndLater := func(o porcupine.Operation) bool { return o.Return == noReturn }
	slices.SortFunc(ops, func(a, b porcupine.Operation) int {
		if mayEndLater(a) != mayEndLater(b) {
			if mayEndLater(a) {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Return, b.Return)
	})
	shortest := len(ops)
	for n := 1; n < len(ops); n++ {
		if porcupine.CheckOperationsTimeout(plain, ops[:n], within/4) == porcupine.Illegal {
			shortest = n
			break
		}
	}
	var b strings.Builder
	for _, o := range ops[max(0, shortest-maxReportsShown):shortest] {
		w := o.Input.(ChangeReport)
		fmt.Fprintf(&b, "  %v to %v: %s\n", w.From, w.To, model.DescribeOperation(w, w))
	}
	return false, b.String()
}

// maxReportsShown bounds the reports that Linearizable returns from a history without an order.
const maxReportsShown = 8

// noReturn is the return time of an operation that may take effect at any time.
const noReturn = int64(1) << 62

// policyState is the state of the model: the policy version and the outcome of each change.
type policyState struct {
	version uint64
	// outcomes is ";id=outcome" for each change, in the order of the outcomes. An outcome is
	// "in force VERSION", or "not" for a change that was withdrawn or refused.
	outcomes string
}

// outcomeOf returns the outcome of a change, "" if it has none yet.
func (r policyState) outcomeOf(id string) string {
	_, rest, found := strings.Cut(r.outcomes, ";"+id+"=")
	if !found {
		return ""
	}
	outcome, _, _ := strings.Cut(rest, ";")
	return outcome
}

// step returns the states that may follow a report, none if the report contradicts the state. Version 0
// means that the version isn't known yet, so that the first report may have any base.
func (r policyState) step(w ChangeReport) []any {
	if w.VersionRead {
		if w.Version <= r.version || r.version == 0 {
			return []any{r}
		}
		return nil
	}
	withOutcome := func(outcome string, version uint64) policyState {
		return policyState{version, r.outcomes + ";" + w.ID + "=" + outcome}
	}
	earlier := r.outcomeOf(w.ID)
	inForce := fmt.Sprint("in force ", w.Version)
	switch {
	case w.Outcome == "in force" && earlier == inForce:
		return []any{r}
	case w.Outcome == "in force" && earlier == "" && (r.version == w.Base || r.version == 0) &&
		w.Version == w.Base+1:
		return []any{withOutcome(inForce, w.Version)}
	case w.Outcome == "in force":
		return nil
	case w.Outcome == "unknown":
		all := []any{r}
		if earlier == "" && (r.version == w.Base || r.version == 0) {
			all = append(all, withOutcome(fmt.Sprint("in force ", w.Base+1), w.Base+1))
		}
		return all
	case earlier == "":
		return []any{withOutcome("not", r.version)}
	case earlier == "not":
		return []any{r}
	}
	return nil
}
