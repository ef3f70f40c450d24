package relay

import (
	"time"

	"railrelay.dev/railrelay/internal/fair"
	"railrelay.dev/railrelay/internal/fleet"
)

// Fleet is what a controller with peers starts with.
type Fleet struct {
	Word *fleet.Word
	// HoldMost is the longest that a query is held while this controller may not
	// decide, before it is deferred. 0: holdMost.
	HoldMost time.Duration
	// Back is the time to come back that is named to those, where one may be
	// named, and within the longest that clients follow. 0: backAfter.
	Back time.Duration
	// Bound tells whether a query of a team, over a group of tables (-1: not
	// known), needs the lease of bound teams. nil: none does.
	Bound func(team string, tables int64) bool
}

const (
	holdMost  = 2 * time.Second
	backAfter = time.Second
)

// Policy is what of the set-up the whole fleet shares, as an Open order brings it.
type Policy struct {
	Version uint64
	// Fair are the teams, nil to leave them as they are.
	Fair *fair.Shape
	// Facts are the groups' limits and the customers' shares in the decisions'
	// words; other settings in it are passed over. nil leaves them as they are.
	Facts map[string]string
	// Rules are those of placement, for who looks after them.
	Rules any
}

// purging has what is kept of a team go. Without one a purge finds nothing.
type purging interface {
	// drop: nothing in scope that was asked for before index comes out any more;
	// Unreached and then Wiped are reported once that is so.
	drop(id string, scope *fleet.Scope, index uint64)
	// answered: what was asked of the fleet by a Wanted came to this. False: it
	// wasn't asked for here.
	answered(id string, reply *fleet.Reply) bool
}

// placing keeps teams' data inside their sites. Without one all may go anywhere.
type placing interface {
	// opened: the rules are these from now on.
	opened(p *Policy)
	pictured(p *fleet.Picture)
	// enters is asked before a query goes on to its turn or to the decisions, by
	// the version in force. False: it has been answered, or is kept there.
	enters(q *query, from From) bool
	// allows: a submission of it may go to that engine, by the version in force.
	allows(q *query, e *engine) bool
	// outside is how many submissions of bound teams run outside their sites.
	outside() int
	answered(id string, reply *fleet.Reply) bool
}

// warrant is this controller's part in the fleet as far as its queries go: by which
// version they are decided, and what is held while they may not be. Without peers
// it is nil, and costs nothing.
type warrant struct {
	*Relay
	Fleet
	purging purging // nil: nothing is kept of teams
	placing placing // nil: there are no rules
	picture *fleet.Picture
	closing string // the change that it is shut for, until that is told
}

func newWarrant(r *Relay, f *Fleet) *warrant {
	return &warrant{Relay: r, Fleet: *f, picture: &fleet.Picture{}}
}

// ordered does what the fleet orders, in the order in which the record has it.
func (w *warrant) ordered(o *fleet.Order) {
	switch o.Kind {
	case fleet.Shut:
		w.Word.Set(0)
		w.closing = o.Change
		w.close()
	case fleet.Open:
		w.closing = ""
		w.Word.Set(o.Version)
		w.report(fleet.Report{Kind: fleet.Opened, Version: o.Version})
	case fleet.Renewed:
		w.Word.Lease(o.Until, o.UntilBound)
	case fleet.Drop:
		if w.purging != nil {
			w.purging.drop(o.ID, o.Scope, o.Index)
			return
		}
		w.report(fleet.Report{Kind: fleet.Unreached, ID: o.ID})
		w.report(fleet.Report{Kind: fleet.Wiped, ID: o.ID})
	case fleet.Pictured:
		w.picture = o.Picture
		if w.placing != nil {
			w.placing.pictured(o.Picture)
		}
	case fleet.Answered:
		if w.purging != nil && w.purging.answered(o.ID, o.Reply) || w.placing != nil && w.placing.answered(o.ID, o.Reply) {
			return
		}
	}
}

// close tells that it is shut once nothing is being written. What is written later
// asks the word first, and is refused.
func (w *warrant) close() {
	switch {
	case w.closing == "":
	case !w.Word.Idle():
		w.after(idleEvery, w.close)
	default:
		w.report(fleet.Report{Kind: fleet.Closed, Change: w.closing})
		w.closing = ""
	}
}

// idleEvery is how often it is looked whether what was being written is out.
const idleEvery = time.Millisecond

// report tells the fleet's side something.
func (w *warrant) report(p fleet.Report) { w.do(Effect{Verb: Report, Report: &p}) }
