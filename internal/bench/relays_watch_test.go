package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	relayStatusInterval = 25 * time.Millisecond // between two status requests to one process
	relayFailuresShown  = 10                    // most violations that a failed test prints
)

// relayStatusSample is a process's answer to a status request. The reported state was the process's state at
// some time between requestedAt and answeredAt.
type relayStatusSample struct {
	process                 string
	controlRole             bool // the process takes no queries
	requestedAt, answeredAt time.Time
	serves                  bool
	version                 uint64
	leaseRemaining          time.Duration
}

// relayAnnouncement is a line in a process's log that says that a version is in force.
type relayAnnouncement struct {
	process  string
	loggedAt time.Time
	version  uint64
}

// findMixedVersions returns a violation for each sample of a controller that served under a version after a
// controller had served under a later version, or after a process had logged that a later version is in
// force. The check needs no tolerance, because it covers only samples that were requested after the later
// version had been observed. It leaves out processes of the control role, which take no queries and which
// changes don't wait for.
func findMixedVersions(samples []relayStatusSample, announcements []relayAnnouncement) (violations []string) {
	samples = slices.DeleteFunc(slices.Clone(samples), func(s relayStatusSample) bool {
		return s.controlRole || !s.serves
	})
	firstByVersion := map[uint64]relayStatusSample{} // the sample that was answered first
	for _, s := range samples {
		first, ok := firstByVersion[s.version]
		if !ok || s.answeredAt.Before(first.answeredAt) {
			firstByVersion[s.version] = s
		}
	}
	for _, s := range samples {
		if evidence := laterVersionSeen(s, firstByVersion, announcements); evidence != "" {
			violations = append(violations, fmt.Sprintf("%s served under version %d, requested %s",
				s.process, s.version, evidence))
		}
	}
	return violations
}

// laterVersionSeen describes the evidence that a later version was in force before a sample was requested.
// It returns "" if no evidence exists.
func laterVersionSeen(
	s relayStatusSample, firstByVersion map[uint64]relayStatusSample, announcements []relayAnnouncement,
) string {
	for version, first := range firstByVersion {
		if version > s.version && s.requestedAt.After(first.answeredAt) {
			return fmt.Sprintf("%v after %s had served under version %d",
				s.requestedAt.Sub(first.answeredAt), first.process, version)
		}
	}
	for _, a := range announcements {
		if a.version > s.version && s.requestedAt.After(a.loggedAt) {
			return fmt.Sprintf("%v after %s had announced version %d",
				s.requestedAt.Sub(a.loggedAt), a.process, a.version)
		}
	}
	return ""
}

// findOverlongLeases returns a violation for each sample whose remaining lease is longer than a full lease.
func findOverlongLeases(samples []relayStatusSample, lease time.Duration) (violations []string) {
	for _, s := range samples {
		if s.leaseRemaining > lease {
			violations = append(violations, fmt.Sprintf("%s has %v left of a lease of %v",
				s.process, s.leaseRemaining, lease))
		}
	}
	return violations
}

// longestLeaseGap returns the longest time for which a process was without a lease. A gap lasts from the last
// sample with a lease before the gap to the first sample with a lease after the gap. A gap counts only if
// both of these samples exist.
func longestLeaseGap(samples []relayStatusSample, process string) (longest time.Duration) {
	var lastHeld time.Time
	inGap := false
	for _, s := range samples {
		if s.process != process {
			continue
		}
		if s.leaseRemaining <= 0 {
			inGap = true
			continue
		}
		if inGap && !lastHeld.IsZero() {
			longest = max(longest, s.answeredAt.Sub(lastHeld))
		}
		lastHeld, inGap = s.requestedAt, false
	}
	return longest
}

// relayStatusMonitor polls the status of the processes of a fleet and collects the samples.
type relayStatusMonitor struct {
	mu      sync.Mutex
	samples []relayStatusSample // the samples of each process are in order of time
}

// poll polls a process in the background until the clients of the fleet stop.
func (m *relayStatusMonitor) poll(f *relayFleet, p *fleetProcess) {
	controlRole := slices.Contains(f.voters, p) || slices.Contains(f.relays, p)
	f.clients.Go(func() {
		for f.ctx.Err() == nil {
			if s, ok := sampleStatus(f, p); ok {
				s.controlRole = controlRole
				m.mu.Lock()
				m.samples = append(m.samples, s)
				m.mu.Unlock()
			}
			select {
			case <-f.stopClients:
				return
			case <-f.ctx.Done():
			case <-time.After(relayStatusInterval):
			}
		}
	})
}

// sampleStatus requests a process's status once. ok is false if the process is down or stopped.
func sampleStatus(f *relayFleet, p *fleetProcess) (s relayStatusSample, ok bool) {
	s = relayStatusSample{process: p.name, requestedAt: time.Now()}
	status := f.status(p)
	s.answeredAt = time.Now()
	s.serves, s.version = status.Serves, status.Version
	s.leaseRemaining = time.Duration(status.LeaseRemainingMs) * time.Millisecond
	return s, status.Name != ""
}

// samplesSince returns the samples that were requested after a time.
func (m *relayStatusMonitor) samplesSince(start time.Time) (samples []relayStatusSample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.samples {
		if s.requestedAt.After(start) {
			samples = append(samples, s)
		}
	}
	return samples
}

// violations returns the violations that the samples and the logs of a fleet show. Too few observations
// count as a violation.
func (m *relayStatusMonitor) violations(f *relayFleet) []string {
	announcements, err := readAnnouncements(f)
	f.must(err)
	samples := m.samplesSince(time.Time{})
	if len(samples) == 0 || len(announcements) == 0 {
		return []string{fmt.Sprintf("too few observations: %d status samples, %d announcements",
			len(samples), len(announcements))}
	}
	return slices.Concat(findMixedVersions(samples, announcements), findOverlongLeases(samples, f.Lease))
}

// readAnnouncements returns the announcements in the logs of all processes.
func readAnnouncements(f *relayFleet) (announcements []relayAnnouncement, err error) {
	files, err := filepath.Glob(f.path("*.log"))
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		process := strings.TrimSuffix(filepath.Base(file), ".log")
		announcements = append(announcements, parseAnnouncements(process, text)...)
	}
	return announcements, nil
}

// parseAnnouncements returns the announcements in the log of one process. The log truncates times to
// microseconds, so parseAnnouncements adds a microsecond to each time.
func parseAnnouncements(process string, text []byte) (announcements []relayAnnouncement) {
	for _, line := range bytes.Split(text, []byte("\n")) {
		var entry struct {
			Time    time.Time
			Message string
		}
		if json.Unmarshal(line, &entry) != nil {
			continue
		}
		var version uint64
		n, _ := fmt.Sscanf(entry.Message, "fleet: policy: version %d is in force", &version)
		if n == 1 {
			a := relayAnnouncement{process, entry.Time.Add(time.Microsecond), version}
			announcements = append(announcements, a)
		}
	}
	return announcements
}

// allControllersActed reports whether the engines have observed an action of each controller.
func (f *relayFleet) allControllersActed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.observedVersions, func(l []versionObservation) bool { return len(l) == 0 })
}

// longestPause returns the longest time between two observed actions of a controller, since a start time. It
// returns 0 if there was no action.
func (f *relayFleet) longestPause(controller int, since time.Duration) (longest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := since
	for _, observation := range f.observedVersions[controller] {
		if observation.at >= since {
			longest, last = max(longest, observation.at-last), observation.at
		}
	}
	return longest
}
