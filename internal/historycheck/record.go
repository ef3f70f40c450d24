package historycheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Word is one asking about a change and what came of it: the first asking proposes it,
// later ones only ask again.
type ChangeReport struct {
	Client      int
	From, To    time.Duration
	ID          string
	Base        uint64
	Proposes    bool
	Outcome     string // in force, withdrawn, refused; unknown: it may come yet, or never
	Version     uint64 // in force
	VersionRead bool   // no change is meant: a controller's own version was read, which may lag behind
}

// Agreed says whether there is one order of the changes that all words agree with, each
// somewhere between its asking and its answer; it gives the words that have none.
func Linearizable(words []ChangeReport, within time.Duration) (bool, string) {
	var ops []porcupine.Operation
	for _, w := range words {
		to := int64(w.To)
		if w.Outcome == "unknown" {
			if !w.Proposes {
				continue // it tells nothing
			}
			to = noReturn // it may come into force at any time from now on
		}
		ops = append(ops, porcupine.Operation{ClientId: w.Client, Input: w, Output: w, Call: int64(w.From), Return: to})
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
		return true, "" // Unknown: it had no time to find out, and found nothing wrong
	}
	// the shortest beginning that has no order, by when the words came; what may come
	// into force at any time belongs to each
	open := func(o porcupine.Operation) bool { return o.Return == noReturn }
	slices.SortFunc(ops, func(a, b porcupine.Operation) int {
		if open(a) != open(b) {
			if open(a) {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Return, b.Return)
	})
	least := len(ops)
	for n := 1; n < len(ops); n++ {
		if porcupine.CheckOperationsTimeout(plain, ops[:n], within/4) == porcupine.Illegal {
			least = n
			break
		}
	}
	var b strings.Builder
	for _, o := range ops[max(0, least-8):least] {
		w := o.Input.(ChangeReport)
		fmt.Fprintf(&b, "  %v to %v: %s\n", w.From, w.To, model.DescribeOperation(w, w))
	}
	return false, b.String()
}

const noReturn = int64(1) << 62

// record is the state words are about: the version, and what became of each change.
type policyState struct {
	version  uint64
	outcomes string // ";id=word", in turn
}

func (r policyState) outcomeOf(id string) string {
	_, rest, had := strings.Cut(r.outcomes, ";"+id+"=")
	if !had {
		return ""
	}
	word, _, _ := strings.Cut(rest, ";")
	return word
}

func (r policyState) step(w ChangeReport) []any {
	if w.VersionRead {
		if w.Version <= r.version || r.version == 0 {
			return []any{r}
		}
		return nil
	}
	with := func(word string, version uint64) policyState {
		return policyState{version, r.outcomes + ";" + w.ID + "=" + word}
	}
	had := r.outcomeOf(w.ID)
	force := fmt.Sprint("in force ", w.Version)
	switch {
	case w.Outcome == "in force" && had == force:
		return []any{r}
	case w.Outcome == "in force" && had == "" && (r.version == w.Base || r.version == 0) && w.Version == w.Base+1:
		return []any{with(force, w.Version)}
	case w.Outcome == "in force":
		return nil
	case w.Outcome == "unknown":
		all := []any{r}
		if had == "" && (r.version == w.Base || r.version == 0) {
			all = append(all, with(fmt.Sprint("in force ", w.Base+1), w.Base+1))
		}
		return all
	case had == "":
		return []any{with("not", r.version)}
	case had == "not":
		return []any{r}
	}
	return nil
}
