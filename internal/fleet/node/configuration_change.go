package node

import (
	"fmt"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// The leader's side of a configuration change. Its phases are those of the state machine,
// so that the next leader goes on where this one ends:
//
//	phase       the leader waits for every controller that may hold a lease     it logs
//	proposed    to have validated the policy                                    close (fence)
//	closing     to be fenced: to decide nothing by the old version              force (commit)
//	decided     to decide by the new version                                    settle
//	in force    to have nothing left outside the zones of the new version       finish
//
// A change that is proposed or closing is aborted (withdraw) where a controller can't
// serve by its policy, or where it isn't fenced within its timeout. A committed one isn't.

// driveChange moves on the configuration change that is under way.
func (c *Core) driveChange() {
	change := c.state.ChangeUnderWay()
	if change == nil {
		return
	}
	if _, seen := c.changeSeenAt[change.ID]; !seen {
		c.changeSeenAt[change.ID] = c.now
	}
	switch change.Phase {
	case statemachine.Proposed:
		c.driveProposed(change)
	case statemachine.Fencing:
		c.driveFencing(change)
	case statemachine.Committed:
		c.driveCommitted(change)
	}
}

// driveProposed fences a change once all have validated its policy.
func (c *Core) driveProposed(change *statemachine.PolicyChange) {
	id := change.ID
	for _, name := range c.memberNames() {
		p := c.peers[name]
		if p == nil || p.renewal == nil {
			continue
		}
		if reason := p.renewal.ValidationResults[id]; reason != "" {
			c.abort(change, name+" can't take it: "+reason)
			return
		}
	}
	waiting := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool {
		_, validated := r.ValidationResults[id]
		return validated
	})
	if c.isLate(change) && len(waiting) > 0 {
		c.abort(change, fmt.Sprintf("not checked by %s within %v", nameList(waiting), changeTimeout(change)))
		return
	}
	own := c.validations[id]
	validated := own != nil && own.done
	if validated && own.reason != "" { // of a control process, which isn't waited for
		c.abort(change, c.config.Self.Name+" can't take it: "+own.reason)
		return
	}
	if len(waiting) == 0 && validated {
		c.proposeOnce("close "+id, &fleet.Entry{
			Kind:   fleet.EntryFence,
			ID:     id,
			Scopes: own.purgeScopes,
			Voters: own.voters,
		})
	}
	c.setWaitingFor(id, waiting)
}

// driveFencing commits a change once no controller decides by the version before it.
func (c *Core) driveFencing(change *statemachine.PolicyChange) {
	waiting := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool {
		return r.FencedFor == change.ID
	})
	if c.isLate(change) && len(waiting) > 0 {
		c.abort(change, fmt.Sprintf("not stopped by %s within %v", nameList(waiting), changeTimeout(change)))
		return
	}
	if len(waiting) == 0 { // fenced everywhere
		c.proposeOnce("force "+change.ID, &fleet.Entry{Kind: fleet.EntryCommit, ID: change.ID})
	}
	c.setWaitingFor(change.ID, waiting)
}

// driveCommitted settles a change once all decide by it. A controller that was down while
// it was validated and can't serve by it serves nothing, and isn't waited for.
func (c *Core) driveCommitted(change *statemachine.PolicyChange) {
	waiting := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool {
		return r.PolicyVersion >= change.Version || r.ValidationResults[change.ID] != ""
	})
	if len(waiting) == 0 {
		c.proposeOnce("settle "+change.ID, &fleet.Entry{Kind: fleet.EntryEnterForce, ID: change.ID})
	}
	c.setWaitingFor(change.ID, waiting)
}

// abort ends a change that isn't committed: it is never decided by anywhere.
func (c *Core) abort(change *statemachine.PolicyChange, reason string) {
	c.proposeOnce("withdraw "+change.ID, &fleet.Entry{Kind: fleet.EntryAbort, ID: change.ID, Reason: reason})
}

// isLate reports whether a change's timeout has passed since this leader has known of it.
func (c *Core) isLate(change *statemachine.PolicyChange) bool {
	return change.AbortAfterMs > 0 && c.now-c.changeSeenAt[change.ID] >= changeTimeout(change)
}

func changeTimeout(change *statemachine.PolicyChange) time.Duration {
	return time.Duration(change.AbortAfterMs) * time.Millisecond
}

// finishChanges logs when nothing is left that a stricter policy put outside its zones:
// its invalidations are erased, and no attempt of a confined tenant runs there.
func (c *Core) finishChanges() {
	for _, id := range sorted(c.state.Changes) {
		change := c.state.Changes[id]
		if change.Phase != statemachine.InForce || change.Settled {
			continue
		}
		erased := true
		for _, run := range c.state.Purges {
			erased = erased && (run.ParentID != id || run.Stage == fleet.EntryErased)
		}
		waiting := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool {
			return r.PolicyVersion >= change.Version && r.AttemptsOutside == 0
		})
		c.setWaitingFor(id, waiting)
		if erased && len(waiting) == 0 {
			c.proposeOnce("finish "+id, &fleet.Entry{Kind: fleet.EntryFinishCleanup, ID: id})
		}
	}
}

// alignVoters has consensus make those the voters that the log names.
func (c *Core) alignVoters() {
	var want []consensus.Voter
	for _, v := range c.state.Voters {
		name, address := statemachine.SplitVoter(v)
		want = append(want, consensus.Voter{Name: name, Address: address})
	}
	same := len(want) == len(c.voters)
	for _, v := range want {
		same = same && slices.Contains(c.voters, v)
	}
	if !same {
		c.throttle("voters", func() {
			c.stepConsensus(consensus.Event{Kind: consensus.ChangeVoters, Voters: want})
		})
	}
}
