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
	lookEvery  = 25 * time.Millisecond // how often each process is asked for its status
	brokenMost = 10                    // lines that a failed test shows
)

// sighting is a process's answer to one ask for its status: what it says was so at some
// moment between asked and told.
type sighting struct {
	process     string
	control     bool // it is set apart for control: it decides nothing by a version
	asked, told time.Time
	serves      bool
	version     uint64
	lease       time.Duration // what is left of it
}

// announced is a line of a process's log by which a version is in force.
type announced struct {
	process string
	at      time.Time
	version uint64
}

// mixed gives the sightings of a controller that served by a version after another one had
// served by a later version, or any process had announced it. It needs no bound: only what
// was asked for after the other was seen is judged. Changes don't wait for processes set
// apart for control, which take no queries.
func mixed(sightings []sighting, lines []announced) (broken []string) {
	sightings = slices.DeleteFunc(slices.Clone(sightings), func(s sighting) bool { return s.control || !s.serves })
	later := map[uint64]sighting{} // by version: the first one told that serves by it
	for _, s := range sightings {
		first, had := later[s.version]
		if !had || s.told.Before(first.told) {
			later[s.version] = s
		}
	}
	for _, s := range sightings {
		if why := outdated(s, later, lines); why != "" {
			broken = append(broken, fmt.Sprintf("%s served by version %d, asked %s", s.process, s.version, why))
		}
	}
	return broken
}

// outdated tells what was seen of a later version before a sighting was asked for, "" if
// nothing was.
func outdated(s sighting, later map[uint64]sighting, lines []announced) string {
	for version, first := range later {
		if version > s.version && s.asked.After(first.told) {
			return fmt.Sprintf("%v after %s had served by version %d", s.asked.Sub(first.told), first.process, version)
		}
	}
	for _, line := range lines {
		if line.version > s.version && s.asked.After(line.at) {
			return fmt.Sprintf("%v after %s had announced version %d", s.asked.Sub(line.at), line.process, line.version)
		}
	}
	return ""
}

// overlong gives the sightings of leases that are longer than any that is granted.
func overlong(sightings []sighting, lease time.Duration) (broken []string) {
	for _, s := range sightings {
		if s.lease > lease {
			broken = append(broken, fmt.Sprintf("%s has %v left of a lease of %v", s.process, s.lease, lease))
		}
	}
	return broken
}

// withoutLease is the longest stretch within which a process had no lease, from the last
// sight of one before it to the first one after it.
func withoutLease(sightings []sighting, process string) (longest time.Duration) {
	var held time.Time
	lapsed := false
	for _, s := range sightings {
		if s.process != process {
			continue
		}
		if s.lease <= 0 {
			lapsed = true
			continue
		}
		if lapsed && !held.IsZero() {
			longest = max(longest, s.told.Sub(held))
		}
		held, lapsed = s.asked, false
	}
	return longest
}

// watch asks all processes of a fleet for their status again and again.
type watch struct {
	mu        sync.Mutex
	sightings []sighting // of each process in turn
}

// follow watches a process until the fleet's end.
func (w *watch) follow(f *relayed, p *fleetProcess) {
	control := slices.Contains(f.voters, p) || slices.Contains(f.relays, p)
	f.clients.Go(func() {
		for f.ctx.Err() == nil {
			if s, seen := look(f, p); seen {
				s.control = control
				w.mu.Lock()
				w.sightings = append(w.sightings, s)
				w.mu.Unlock()
			}
			select {
			case <-f.stopClients:
				return
			case <-f.ctx.Done():
			case <-time.After(lookEvery):
			}
		}
	})
}

// look asks a process once; it isn't seen where it is down or stopped.
func look(f *relayed, p *fleetProcess) (s sighting, seen bool) {
	s = sighting{process: p.name, asked: time.Now()}
	status := f.status(p)
	s.told = time.Now()
	s.serves, s.version, s.lease = status.Serves, status.Version,
		time.Duration(status.LeaseRemainingMs)*time.Millisecond
	return s, status.Name != ""
}

// since are the sightings that were asked for after a moment.
func (w *watch) since(at time.Time) (l []sighting) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.sightings {
		if s.asked.After(at) {
			l = append(l, s)
		}
	}
	return l
}

// broken is what all sightings and logs of a fleet show to be wrong.
func (w *watch) broken(f *relayed) []string {
	lines, err := announcements(f)
	f.must(err)
	seen := w.since(time.Time{})
	if len(seen) == 0 || len(lines) == 0 {
		return []string{fmt.Sprintf("too little was seen: %d sightings, %d lines", len(seen), len(lines))}
	}
	return slices.Concat(mixed(seen, lines), overlong(seen, f.Lease))
}

// announcements are the lines of all logs by which versions are in force.
func announcements(f *relayed) (lines []announced, err error) {
	files, err := filepath.Glob(f.path("*.log"))
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		lines = append(lines, announcedIn(strings.TrimSuffix(filepath.Base(file), ".log"), text)...)
	}
	return lines, nil
}

// announcedIn are such lines of one log. Their times are cut to a microsecond, so each
// counts from the next one.
func announcedIn(process string, text []byte) (lines []announced) {
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
			lines = append(lines, announced{process, said.Time.Add(time.Microsecond), version})
		}
	}
	return lines
}

// allActed tells whether engines have seen each controller act.
func (f *relayed) allActed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.observedVersions, func(acts []versionObservation) bool { return len(acts) == 0 })
}

// pauseOf is the longest time between two acts of a controller since a moment; 0 without any.
func (f *relayed) pauseOf(controller int, since time.Duration) (longest time.Duration) {
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
