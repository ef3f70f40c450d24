package bench

import (
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/historycheck"
)

// change makes a policy of its own mark; spoilt ones name what no controller has.
func (g *gathering) change(base uint64, atMost time.Duration, spoilt bool) *fleet.Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		g.next++
		m, had := g.marks[g.next%marks]
		if word := g.known[m.change]; !had || m.version+2 <= g.version && word != "" || word == "withdrawn" || word == "refused" {
			break
		}
	}
	k := g.next % marks
	a := &fleet.Request{Kind: "apply", ID: fmt.Sprintf("change-%d", len(g.changes)), RequestedBy: "the laboratory", BaseVersion: base, Policy: []byte(placementText(k)),
		AbortAfterMs: atMost.Milliseconds(), WaitMs: 3000}
	if spoilt {
		a.Policy = []byte(placementText(k) + "groups: [{name: nobody, value: 2}]\n")
	}
	g.marks[k] = marked{a.ID, base + 1}
	g.changes = append(g.changes, a)
	return a
}

// apply asks for a change at a controller and keeps the word.
func (g *gathering) apply(p *process, a *fleet.Request) string {
	from := g.since()
	r, err := g.ask(p, a)
	g.mu.Lock()
	defer g.mu.Unlock()
	w := historycheck.ChangeReport{Client: len(g.words) % 11, From: from, To: g.since(),
		ID: a.ID, Base: a.BaseVersion, Proposes: true, Outcome: "unknown"}
	if err == nil {
		w.Outcome, w.Version = r.Outcome, r.Version
		g.fleet.ChangeReported(g.since(), p.name, a.ID, r.Outcome, r.Version)
		if r.Outcome == "in force" {
			g.version = max(g.version, r.Version)
		}
		if r.Outcome != "unknown" {
			g.known[a.ID] = r.Outcome
		}
	}
	g.words = append(g.words, w)
	return w.Outcome
}

// settled asks again and again, here and there, until there is a word.
func (g *gathering) settled(a *fleet.Request, within time.Duration) (string, error) {
	word := "unknown"
	err := g.eventually(within, "a word on "+a.ID, func() bool {
		p := g.members[g.rng.IntN(len(g.members))]
		if p.running == nil || p.stopped {
			return false
		}
		b := *a
		b.WaitMs = 700
		word = g.apply(p, &b)
		return word != "unknown"
	})
	return word, err
}

// purge has a team's results go, and looks on all disks once it is told that they have,
// which took so long.
func (g *gathering) purge(p *process, team string, within time.Duration) (took time.Duration, err error) {
	g.mu.Lock()
	g.serial++
	a := &fleet.Request{Kind: "purge", ID: fmt.Sprintf("purge-%d", g.serial), RequestedBy: "the laboratory", Scope: &fleet.Scope{Team: team}, WaitMs: 1500, AwaitedStage: "unreachable"}
	g.fleet.PurgeRequested(g.since(), a.ID, *a.Scope)
	g.mu.Unlock()
	stage, begin, looked := "", time.Now(), time.Duration(0)
	err = g.eventually(within, a.ID+" purged", func() bool {
		if p.running == nil || p.stopped {
			p = g.members[g.rng.IntN(len(g.members))]
			return false
		}
		r, err := g.ask(p, a)
		if err != nil {
			p = g.members[g.rng.IntN(len(g.members))]
			return false
		}
		g.mu.Lock()
		g.fleet.PurgeReported(g.since(), p.name, a.ID, r.Outcome, r.Counts)
		g.mu.Unlock()
		if r.Outcome == "unreachable" && stage == "" {
			stage, a.AwaitedStage = r.Outcome, ""
			look := time.Now()
			g.readAll()
			looked += time.Since(look)
		}
		return r.Outcome == "purged"
	})
	if took = time.Since(begin) - looked; err == nil {
		g.readAll()
		err = g.disks()
	}
	return took, err
}

// holds are how long controllers did nothing between two versions, by what engines saw.
func (g *gathering) holds(version uint64) (l []time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, acts := range g.acts {
		for i := 1; i < len(acts); i++ {
			if acts[i].version == version && acts[i-1].version < version {
				l = append(l, acts[i].at-acts[i-1].at)
			}
		}
	}
	return l
}
