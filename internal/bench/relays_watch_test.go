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
	relayStatusInterval = 25 * time.Millisecond // how often each process is asked for its status
	relayFailuresShown  = 10                    // lines that a failed test shows
)

// relayStatusSample is a process's answer to one ask for its status: what it says was so at some
// moment between asked and told.
type relayStatusSample struct {
	process             string
	controlRole         bool // it is set apart for control: it decides nothing by a version
	requested, answered time.Time
	serving             bool
	version             uint64
	leaseRemaining      time.Duration // what is left of it
}

// relayAnnouncement is a line of a process's log by which a version is in force.
type relayAnnouncement struct {
	process string
	at      time.Time
	version uint64
}

// findMixedVersions gives the sightings of a controller that served by a version after another one had
// served by a later version, or any process had announced it. It needs no bound: only what
// was asked for after the other was seen is judged. Changes don't wait for processes set
// apart for control, which take no queries.
func findMixedVersions(sightings []relayStatusSample, lines []relayAnnouncement) (broken []string) {
	sightings = slices.DeleteFunc(slices.Clone(sightings), func(s relayStatusSample) bool { return s.controlRole || !s.serving })
	later := map[uint64]relayStatusSample{} // by version: the first one told that serves by it
	for _, s := range sightings {
		first, had := later[s.version]
		if !had || s.answered.Before(first.answered) {
			later[s.version] = s
		}
	}
	for _, s := range sightings {
		if why := laterVersionSeen(s, later, lines); why != "" {
			broken = append(broken, fmt.Sprintf("%s served by version %d, asked %s", s.process, s.version, why))
		}
	}
	return broken
}

// laterVersionSeen tells what was seen of a later version before a sighting was asked for, "" if
// nothing was.
func laterVersionSeen(s relayStatusSample, later map[uint64]relayStatusSample, lines []relayAnnouncement) string {
	for version, first := range later {
		if version > s.version && s.requested.After(first.answered) {
			return fmt.Sprintf("%v after %s had served by version %d", s.requested.Sub(first.answered), first.process, version)
		}
	}
	for _, line := range lines {
		if line.version > s.version && s.requested.After(line.at) {
			return fmt.Sprintf("%v after %s had announced version %d", s.requested.Sub(line.at), line.process, line.version)
		}
	}
	return ""
}

// findOverlongLeases gives the sightings of leases that are longer than any that is granted.
func findOverlongLeases(sightings []relayStatusSample, lease time.Duration) (broken []string) {
	for _, s := range sightings {
		if s.leaseRemaining > lease {
			broken = append(broken, fmt.Sprintf("%s has %v left of a lease of %v", s.process, s.leaseRemaining, lease))
		}
	}
	return broken
}

// longestLeaseGap is the longest stretch within which a process had no lease, from the last
// sight of one before it to the first one after it.
func longestLeaseGap(sightings []relayStatusSample, process string) (longest time.Duration) {
	var held time.Time
	lapsed := false
	for _, s := range sightings {
		if s.process != process {
			continue
		}
		if s.leaseRemaining <= 0 {
			lapsed = true
			continue
		}
		if lapsed && !held.IsZero() {
			longest = max(longest, s.answered.Sub(held))
		}
		held, lapsed = s.requested, false
	}
	return longest
}

// relayStatusMonitor asks all processes of a fleet for their status again and again.
type relayStatusMonitor struct {
	mu      sync.Mutex
	samples []relayStatusSample // of each process in turn
}

// poll watches a process until the fleet's end.
func (w *relayStatusMonitor) poll(f *relayFleet, p *fleetProcess) {
	control := slices.Contains(f.voters, p) || slices.Contains(f.relays, p)
	f.clients.Go(func() {
		for f.ctx.Err() == nil {
			if s, seen := sampleStatus(f, p); seen {
				s.controlRole = control
				w.mu.Lock()
				w.samples = append(w.samples, s)
				w.mu.Unlock()
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

// sampleStatus asks a process once; it isn't seen where it is down or stopped.
func sampleStatus(f *relayFleet, p *fleetProcess) (s relayStatusSample, seen bool) {
	s = relayStatusSample{process: p.name, requested: time.Now()}
	status := f.status(p)
	s.answered = time.Now()
	s.serving, s.version, s.leaseRemaining = status.Serves, status.Version,
		time.Duration(status.LeaseRemainingMs)*time.Millisecond
	return s, status.Name != ""
}

// samplesSince are the sightings that were asked for after a moment.
func (w *relayStatusMonitor) samplesSince(at time.Time) (l []relayStatusSample) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.samples {
		if s.requested.After(at) {
			l = append(l, s)
		}
	}
	return l
}

// violations is what all sightings and logs of a fleet show to be wrong.
func (w *relayStatusMonitor) violations(f *relayFleet) []string {
	lines, err := readAnnouncements(f)
	f.must(err)
	seen := w.samplesSince(time.Time{})
	if len(seen) == 0 || len(lines) == 0 {
		return []string{fmt.Sprintf("too little was seen: %d sightings, %d lines", len(seen), len(lines))}
	}
	return slices.Concat(findMixedVersions(seen, lines), findOverlongLeases(seen, f.Lease))
}

// readAnnouncements are the lines of all logs by which versions are in force.
func readAnnouncements(f *relayFleet) (lines []relayAnnouncement, err error) {
	files, err := filepath.Glob(f.path("*.log"))
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		lines = append(lines, parseAnnouncements(strings.TrimSuffix(filepath.Base(file), ".log"), text)...)
	}
	return lines, nil
}

// parseAnnouncements are such lines of one log. Their times are cut to a microsecond, so each
// counts from the next one.
func parseAnnouncements(process string, text []byte) (lines []relayAnnouncement) {
	for _, line := range bytes.Split(text, []byte("\n")) {
		var said struct {
			Time    time.Time
			Message string
		}
		if json.Unmarshal(line, &said) != nil {
			continue
		}
		var version uint64
		if n, _ := fmt.Sscanf(said.Message, "fleet: policy: version %d is in force", &version); n == 1 {
			lines = append(lines, relayAnnouncement{process, said.Time.Add(time.Microsecond), version})
		}
	}
	return lines
}

// allControllersActed tells whether engines have seen each controller act.
func (f *relayFleet) allControllersActed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.observedVersions, func(acts []versionObservation) bool { return len(acts) == 0 })
}

// longestPause is the longest time between two acts of a controller since a moment; 0 without any.
func (f *relayFleet) longestPause(controller int, since time.Duration) (longest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := since
	for _, act := range f.observedVersions[controller] {
		if act.at >= since {
			longest, last = max(longest, act.at-last), act.at
		}
	}
	return longest
}
