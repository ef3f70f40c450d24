package bench

import (
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/historycheck"
)

// newChange creates a request for a policy change that moves the team mark to a marker site that is not in
// use. An invalid policy has a group that no controller knows, so that the fleet withdraws the change.
func (ff *faultFleet) newChange(base uint64, abortAfter time.Duration, invalid bool) *fleet.Request {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	for {
		ff.nextMarker++
		previous, isUsed := ff.markerVersions[ff.nextMarker%markerSites]
		if outcome := ff.knownOutcomes[previous.change]; !isUsed ||
			previous.version+2 <= ff.latestVersion && outcome != "" ||
			outcome == "withdrawn" || outcome == "refused" {
			break
		}
	}
	marker := ff.nextMarker % markerSites
	change := &fleet.Request{Kind: "apply", ID: fmt.Sprintf("change-%d", len(ff.changeRequests)),
		RequestedBy: "bench", BaseVersion: base, Policy: []byte(placementYAML(marker)),
		AbortAfterMs: abortAfter.Milliseconds(), WaitMs: 3000}
	if invalid {
		change.Policy = []byte(placementYAML(marker) + "groups: [{name: nobody, value: 2}]\n")
	}
	ff.markerVersions[marker] = markerVersion{change.ID, base + 1}
	ff.changeRequests = append(ff.changeRequests, change)
	return change
}

// applyChange sends a change to a controller, records the outcome and returns it: "unknown" if there is none.
func (ff *faultFleet) applyChange(p *fleetProcess, change *fleet.Request) string {
	from := ff.elapsed()
	response, err := ff.sendRequest(p, change)
	ff.mu.Lock()
	defer ff.mu.Unlock()
	report := historycheck.ChangeReport{Client: len(ff.changeReports) % 11, From: from, To: ff.elapsed(),
		ID: change.ID, Base: change.BaseVersion, Proposes: true, Outcome: "unknown"}
	if err == nil {
		report.Outcome, report.Version = response.Outcome, response.Version
		ff.fleetHistory.ChangeReported(ff.elapsed(), p.name, change.ID, response.Outcome, response.Version)
		if response.Outcome == "in force" {
			ff.latestVersion = max(ff.latestVersion, response.Version)
		}
		if response.Outcome != "unknown" {
			ff.knownOutcomes[change.ID] = response.Outcome
		}
	}
	ff.changeReports = append(ff.changeReports, report)
	return report.Outcome
}

// awaitOutcome sends a change to random controllers until one reports its outcome.
func (ff *faultFleet) awaitOutcome(change *fleet.Request, within time.Duration) (string, error) {
	outcome := "unknown"
	err := ff.waitFor(within, "there is an outcome of "+change.ID, func() bool {
		p := ff.members[ff.rng.IntN(len(ff.members))]
		if p.command == nil || p.paused {
			return false
		}
		retry := *change
		retry.WaitMs = 700
		outcome = ff.applyChange(p, &retry)
		return outcome != "unknown"
	})
	return outcome, err
}

// purgeTeam purges a team's results. Once the purge is reported as complete, it scans all spools for purged
// results. It returns how long the purge took, without the time spent on reading results in between.
func (ff *faultFleet) purgeTeam(p *fleetProcess, team string, within time.Duration) (
	took time.Duration, err error) {
	ff.mu.Lock()
	ff.serial++
	purge := &fleet.Request{Kind: "purge", ID: fmt.Sprintf("purge-%d", ff.serial), RequestedBy: "bench",
		Scope: &fleet.Scope{Tenant: team}, WaitMs: 1500, AwaitedStage: "unreachable"}
	ff.fleetHistory.PurgeRequested(ff.elapsed(), purge.ID, *purge.Scope)
	ff.mu.Unlock()
	stage, begin, reading := "", time.Now(), time.Duration(0)
	err = ff.waitFor(within, purge.ID+" is complete", func() bool {
		if p.command == nil || p.paused {
			p = ff.members[ff.rng.IntN(len(ff.members))]
			return false
		}
		response, err := ff.sendRequest(p, purge)
		if err != nil {
			p = ff.members[ff.rng.IntN(len(ff.members))]
			return false
		}
		ff.mu.Lock()
		ff.fleetHistory.PurgeReported(ff.elapsed(), p.name, purge.ID, response.Outcome, response.Counts)
		ff.mu.Unlock()
		if response.Outcome == "unreachable" && stage == "" {
			stage, purge.AwaitedStage = response.Outcome, ""
			readBegin := time.Now()
			ff.readStoredResults()
			reading += time.Since(readBegin)
		}
		return response.Outcome == "purged"
	})
	if took = time.Since(begin) - reading; err == nil {
		ff.readStoredResults()
		err = ff.scanSpools()
	}
	return took, err
}

// switchHolds returns for each controller how long the engines received no marker query from it when it
// switched to a policy version.
func (ff *faultFleet) switchHolds(version uint64) (holds []time.Duration) {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	for _, observations := range ff.observedVersions {
		for i := 1; i < len(observations); i++ {
			if observations[i].version == version && observations[i-1].version < version {
				holds = append(holds, observations[i].at-observations[i-1].at)
			}
		}
	}
	return holds
}
