package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/node"
)

// simulatedController is one controller: a core, what its disk holds, and a model of its reducer.
type simulatedController struct {
	name                 string
	diskID               string
	member               fleet.Member
	core                 *node.Core
	incarnation          uint64
	startedAt            time.Duration
	clockRate            float64 // its clock's
	persisted            consensus.PersistentState
	pendingWrites        *consensus.PersistentState
	slowDiskUntil        time.Duration // its disk is, until
	lastTimer            int
	pausedUntil          time.Duration // it does nothing until then
	down                 bool
	forgotten            bool // its name was forgotten
	reportedForgottenAct bool // and that it acted all the same was told

	servingState    *fleet.ServingState
	version         uint64
	policy          string
	orders          []fleet.Order
	processingOrder bool
	viewIndex       uint64
	fencedChange    string // a change to be reported closed once nothing is written
	invalidations   map[string]fleet.Order
	results         map[string]simulatedResult // what it keeps, on its disk
}

type simulatedResult struct {
	team      string
	table     int64
	viewIndex uint64
	startedAt time.Duration
}

// startController begins a controller from what its disk holds.
func (p *scheduleRun) startController(a *simulatedController) {
	a.incarnation = p.rng.Uint64() | 1
	a.startedAt, a.down, a.pausedUntil, a.pendingWrites = p.now, false, 0, nil
	a.servingState = new(fleet.ServingState)
	a.version, a.policy, a.orders, a.processingOrder, a.viewIndex, a.fencedChange = 0, "", nil, false, 0, ""
	a.invalidations = map[string]fleet.Order{}
	var voters []consensus.Voter
	for _, v := range p.fleet[:p.Voters] {
		voters = append(voters, consensus.Voter{Name: v.name, Address: v.member.PeerAddress})
	}
	p.history.Note(p.now, a.name+" starts", a.name)
	begin := node.Config{Self: a.member, Voters: voters, Lease: p.Lease, ConfinedLease: p.Lease / 2, ClockDrift: 0.01,
		ElectionTimeout: 300 * time.Millisecond, HeartbeatInterval: 60 * time.Millisecond, Seed: p.rng.Uint64(), Incarnation: a.incarnation, Persisted: clonePersistentState(a.persisted), SnapshotAfterEntries: 3 + int(p.Seed%30)}
	begin.IsRelay, begin.Relays = p.upstreamsOf(a)
	core, effects, err := node.New(begin)
	if err != nil {
		p.addViolation("%s can't start: %v", a.name, err)
		a.down = true
		return
	}
	a.core = core
	p.perform(a, effects)
	if !a.member.ControlOnly {
		p.scheduleAfter(p.randomDuration(0, 20*time.Millisecond), a, func() { p.receiveQueries(a) })
	}
}

// upstreamsOf tells whether a controller is a relay, and otherwise which two it asks
// through, if any.
func (p *scheduleRun) upstreamsOf(a *simulatedController) (relay bool, upstreams []node.Upstream) {
	place := slices.Index(p.fleet, a) - p.Voters
	if p.Relays == 0 || place < 0 || place < p.Relays {
		return place >= 0 && p.Relays > 0, nil
	}
	for i := range min(2, p.Relays) {
		via := p.fleet[p.Voters+(place+i)%p.Relays]
		upstreams = append(upstreams, node.Upstream{Name: via.name, Address: via.member.PeerAddress})
	}
	return false, upstreams
}

func clonePersistentState(k consensus.PersistentState) consensus.PersistentState {
	k.HardState, k.Entries = slices.Clone(k.HardState), slices.Clone(k.Entries)
	return k
}

func (a *simulatedController) localTime(p *scheduleRun) time.Duration {
	return time.Duration(float64(p.now-a.startedAt) * a.clockRate)
}

func (p *scheduleRun) step(a *simulatedController, ev node.Event) {
	p.perform(a, a.core.Step(a.localTime(p), ev))
}

func (p *scheduleRun) perform(a *simulatedController, l []node.Effect) {
	for _, e := range l {
		switch e.Kind {
		case node.Send:
			p.send(a, e)
		case node.Persist:
			if a.pendingWrites != nil {
				p.addViolation("%s stores while it stores", a.name)
			}
			k := *e.Writes
			a.pendingWrites = &k
			took := p.randomDuration(100*time.Microsecond, 3*time.Millisecond)
			if p.now < a.slowDiskUntil {
				took += p.randomDuration(20*time.Millisecond, 300*time.Millisecond)
			}
			p.scheduleAfter(took, a, func() {
				a.persist(k, len(k.Entries))
				a.pendingWrites = nil
				p.step(a, node.Event{Kind: node.WritesPersisted})
			})
		case node.ValidatePolicy:
			change, text := e.ChangeID, string(e.PolicyText)
			p.scheduleAfter(p.randomDuration(0, 5*time.Millisecond), a, func() {
				ev := node.Event{Kind: node.PolicyValidated, ChangeID: change, Policy: text}
				if text == "" {
					ev.Policy = "the set-up's"
				}
				if _, rest, had := strings.Cut(text, " voters "); had {
					names, _, _ := strings.Cut(rest, " unfit")
					for name := range strings.SplitSeq(names, ",") {
						ev.Voters = append(ev.Voters, name+"="+p.byName[name].member.PeerAddress)
					}
				}
				if strings.HasSuffix(text, " unfit for "+a.name) {
					ev.Reason = "no team is called so here"
				}
				p.step(a, ev)
			})
		case node.OrderController:
			a.orders = append(a.orders, e.Order)
			p.processNextOrder(a)
		case node.Respond:
			p.receiveResponse(e.Handle, e.Response)
		case node.SetTimer:
			a.lastTimer++
			n := a.lastTimer
			p.scheduleAfter(time.Duration(float64(max(0, e.Delay))/a.clockRate)+1, a, func() {
				if n == a.lastTimer {
					p.step(a, node.Event{Kind: node.TimerFired})
				}
			})
		case node.LogMessage:
			if e.LogAlways {
				p.history.Note(p.now, a.name+" says: "+e.LogText, a.name)
			}
		}
	}
}

// persist takes so many of a store's records to disk, and with all of them the rest.
func (a *simulatedController) persist(k consensus.PersistentState, records int) {
	if s := k.Snapshot; s != nil {
		a.persisted.Snapshot = s
		a.persisted.Entries = slices.DeleteFunc(slices.Clone(a.persisted.Entries), func(r consensus.LogEntry) bool { return r.Index <= s.Index })
	}
	for _, r := range k.Entries[:records] {
		if i := slices.IndexFunc(a.persisted.Entries, func(x consensus.LogEntry) bool { return x.Index >= r.Index }); i >= 0 {
			a.persisted.Entries = slices.Clone(a.persisted.Entries[:i])
		}
		a.persisted.Entries = append(a.persisted.Entries, r)
	}
	if k.HardState != nil && records == len(k.Entries) {
		a.persisted.HardState = k.HardState
	}
}

// kill ends a controller; what it was storing is on its disk or not.
func (p *scheduleRun) kill(a *simulatedController) {
	if a.down {
		return
	}
	if k := a.pendingWrites; k != nil && p.rng.IntN(2) == 0 {
		a.persist(*k, len(k.Entries))
	}
	a.down, a.pendingWrites = true, nil
	p.history.Note(p.now, a.name+" is killed", a.name)
}

// processNextOrder has a reducer take its next order.
func (p *scheduleRun) processNextOrder(a *simulatedController) {
	if a.processingOrder || len(a.orders) == 0 {
		return
	}
	a.processingOrder = true
	took := p.randomDuration(0, 300*time.Microsecond)
	if p.rng.IntN(50) == 0 {
		took += p.randomDuration(0, 40*time.Millisecond)
	}
	p.scheduleAfter(took, a, func() {
		o := a.orders[0]
		a.orders = a.orders[1:]
		a.processingOrder = false
		p.performOrder(a, o)
		p.processNextOrder(a)
	})
}

func (p *scheduleRun) report(a *simulatedController, r fleet.Report) {
	p.scheduleAfter(p.randomDuration(0, 300*time.Microsecond), a, func() { p.step(a, node.Event{Kind: node.ControllerReported, Report: r}) })
}

func (p *scheduleRun) performOrder(a *simulatedController, o fleet.Order) {
	switch o.Kind {
	case fleet.FencePolicy:
		a.servingState.SetVersion(0)
		a.version, a.fencedChange = 0, o.ChangeID
		p.history.Note(p.now, a.name+" is shut for "+o.ChangeID, a.name, o.ChangeID)
		p.reportWhenFenced(a)
	case fleet.ActivatePolicy:
		a.version, a.fencedChange = o.Version, ""
		a.policy, _ = o.Policy.(string)
		a.servingState.SetVersion(o.Version)
		p.history.Note(p.now, fmt.Sprintf("%s opens by version %d", a.name, o.Version), a.name, fmt.Sprint("version ", o.Version))
		p.report(a, fleet.Report{Kind: fleet.PolicyActivated, Version: o.Version})
	case fleet.LeaseRenewed:
		a.servingState.SetLease(o.LeaseEnd, o.ConfinedLeaseEnd)
	case fleet.ViewChanged:
		a.viewIndex = o.View.Index
	case fleet.InvalidateData:
		a.invalidations[o.ID] = o
		p.report(a, fleet.Report{Kind: fleet.DataTombstoned, ID: o.ID})
		p.scheduleAfter(p.randomDuration(0, 100*time.Millisecond), a, func() {
			var c fleet.InvalidationCounts
			for id, x := range a.results {
				if invalidates(o, x) {
					delete(a.results, id)
					c.Results++
				}
			}
			p.report(a, fleet.Report{Kind: fleet.DataErased, ID: o.ID, Counts: c})
		})
	}
}

func invalidates(o fleet.Order, x simulatedResult) bool {
	return o.Scope.Team == x.team && x.viewIndex < o.Index && (len(o.Scope.Tables) == 0 || slices.Contains(o.Scope.Tables, x.table))
}

// reportWhenFenced reports once nothing is being written any more.
func (p *scheduleRun) reportWhenFenced(a *simulatedController) {
	if a.fencedChange == "" {
		return
	}
	if a.servingState.WritesFinished() {
		p.report(a, fleet.Report{Kind: fleet.PolicyFenced, ChangeID: a.fencedChange})
		return
	}
	change := a.fencedChange
	p.scheduleAfter(100*time.Microsecond, a, func() {
		if a.fencedChange == change {
			p.reportWhenFenced(a)
		}
	})
}

// receiveQueries has a controller take a query, submit it a while later and keep what came of
// it, and serve something that it keeps.
func (p *scheduleRun) receiveQueries(a *simulatedController) {
	p.scheduleAfter(p.randomDuration(5*time.Millisecond, 60*time.Millisecond), a, func() { p.receiveQueries(a) })
	bound := p.rng.IntN(2) == 0
	version := a.servingState.ServingVersion(a.localTime(p), bound)
	p.lastQuery++
	id := fmt.Sprintf("q%d", p.lastQuery)
	policy := a.policy
	if version != 0 {
		p.recordAct(a, id, version, policy)
		x := simulatedResult{team: scheduleTeams[p.rng.IntN(2)], table: int64(p.rng.IntN(3)), viewIndex: a.viewIndex, startedAt: p.now}
		p.scheduleAfter(p.randomDuration(0, 30*time.Millisecond), a, func() {
			if !a.servingState.BeginWrite(a.localTime(p), version, bound) {
				return
			}
			p.recordAct(a, id, version, policy)
			p.history.ResultStarted(p.now, id, x.team, x.table)
			p.scheduleAfter(p.randomDuration(0, 200*time.Microsecond), a, a.servingState.EndWrite)
			p.scheduleAfter(p.randomDuration(0, 500*time.Millisecond), a, func() { // the answer is there
				for _, o := range a.invalidations {
					if invalidates(o, x) {
						return
					}
				}
				if len(a.results) < 40 {
					a.results[id] = x
				}
			})
		})
	}
	if a.servingState.ServingVersion(a.localTime(p), true) != 0 && len(a.results) > 0 {
		ids := slices.Sorted(maps.Keys(a.results))
		id := ids[p.rng.IntN(len(ids))]
		for _, o := range a.invalidations {
			if invalidates(o, a.results[id]) {
				return
			}
		}
		p.history.Served(p.now, p.now, a.name, id)
	}
}

func (p *scheduleRun) recordAct(a *simulatedController, query string, version uint64, policy string) {
	p.history.Acted(p.now, p.now, a.name, query, version)
	if rest, ok := strings.CutPrefix(policy, "policy of "); ok {
		id, _, _ := strings.Cut(rest, " ")
		p.history.ActedByChange(p.now, a.name, query, id)
	}
	if a.forgotten && !a.reportedForgottenAct { // once: it would hide what else is broken
		a.reportedForgottenAct = true
		p.addViolation("%s was forgotten, and acts on %s", a.name, query)
	}
}
