package bench

import (
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/historycheck"
)

// newChange makes a policy of its own mark; spoilt ones name what no controller has.
func (g *faultFleet) newChange(base uint64, atMost time.Duration, spoilt bool) *fleet.Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		g.nextMarker++
		m, had := g.markerVersions[g.nextMarker%markerSites]
		if word := g.knownOutcomes[m.change]; !had || m.version+2 <= g.latestVersion && word != "" || word == "withdrawn" || word == "refused" {
			break
		}
	}
	k := g.nextMarker % markerSites
	a := &fleet.Request{Kind: "apply", ID: fmt.Sprintf("change-%d", len(g.changeRequests)), RequestedBy: "the laboratory", BaseVersion: base, Policy: []byte(placementYAML(k)),
		AbortAfterMs: atMost.Milliseconds(), WaitMs: 3000}
	if spoilt {
		a.Policy = []byte(placementYAML(k) + "groups: [{name: nobody, value: 2}]\n")
	}
	g.markerVersions[k] = markerVersion{a.ID, base + 1}
	g.changeRequests = append(g.changeRequests, a)
	return a
}

// applyChange asks for a change at a controller and keeps the word.
func (g *faultFleet) applyChange(p *fleetProcess, a *fleet.Request) string {
	from := g.elapsed()
	r, err := g.sendRequest(p, a)
	g.mu.Lock()
	defer g.mu.Unlock()
	w := historycheck.ChangeReport{Client: len(g.changeReports) % 11, From: from, To: g.elapsed(),
		ID: a.ID, Base: a.BaseVersion, Proposes: true, Outcome: "unknown"}
	if err == nil {
		w.Outcome, w.Version = r.Outcome, r.Version
		g.fleetHistory.ChangeReported(g.elapsed(), p.name, a.ID, r.Outcome, r.Version)
		if r.Outcome == "in force" {
			g.latestVersion = max(g.latestVersion, r.Version)
		}
		if r.Outcome != "unknown" {
			g.knownOutcomes[a.ID] = r.Outcome
		}
	}
	g.changeReports = append(g.changeReports, w)
	return w.Outcome
}

// awaitOutcome asks again and again, here and there, until there is a word.
func (g *faultFleet) awaitOutcome(a *fleet.Request, within time.Duration) (string, error) {
	word := "unknown"
	err := g.waitFor(within, "a word on "+a.ID, func() bool {
		p := g.members[g.rng.IntN(len(g.members))]
		if p.command == nil || p.paused {
			return false
		}
		b := *a
		b.WaitMs = 700
		word = g.applyChange(p, &b)
		return word != "unknown"
	})
	return word, err
}

// purgeTeam has a team's results go, and looks on all disks once it is told that they have,
// which took so long.
func (g *faultFleet) purgeTeam(p *fleetProcess, team string, within time.Duration) (took time.Duration, err error) {
	g.mu.Lock()
	g.serial++
	a := &fleet.Request{Kind: "purge", ID: fmt.Sprintf("purge-%d", g.serial), RequestedBy: "the laboratory",
		Scope: &fleet.Scope{Tenant: team}, WaitMs: 1500, AwaitedStage: "unreachable"}
	g.fleetHistory.PurgeRequested(g.elapsed(), a.ID, *a.Scope)
	g.mu.Unlock()
	stage, begin, looked := "", time.Now(), time.Duration(0)
	err = g.waitFor(within, a.ID+" purged", func() bool {
		if p.command == nil || p.paused {
			p = g.members[g.rng.IntN(len(g.members))]
			return false
		}
		r, err := g.sendRequest(p, a)
		if err != nil {
			p = g.members[g.rng.IntN(len(g.members))]
			return false
		}
		g.mu.Lock()
		g.fleetHistory.PurgeReported(g.elapsed(), p.name, a.ID, r.Outcome, r.Counts)
		g.mu.Unlock()
		if r.Outcome == "unreachable" && stage == "" {
			stage, a.AwaitedStage = r.Outcome, ""
			look := time.Now()
			g.readStoredResults()
			looked += time.Since(look)
		}
		return r.Outcome == "purged"
	})
	if took = time.Since(begin) - looked; err == nil {
		g.readStoredResults()
		err = g.scanSpools()
	}
	return took, err
}

// switchHolds are how long controllers did nothing between two versions, by what engines saw.
func (g *faultFleet) switchHolds(version uint64) (l []time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, acts := range g.observedVersions {
		for i := 1; i < len(acts); i++ {
			if acts[i].version == version && acts[i-1].version < version {
				l = append(l, acts[i].at-acts[i-1].at)
			}
		}
	}
	return l
}
