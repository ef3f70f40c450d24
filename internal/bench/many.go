package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/feed"
	"railrelay.dev/railrelay/internal/emulator/hollow"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/storage"
)

// IdleFleet is a fleet of many processes that take no queries: what each costs, and how soon
// a change is in force on all.
type IdleFleet struct {
	Program       string // railrelay-fleet must stand beside it
	Controllers   int    // 3 of them vote
	Lease         time.Duration
	IdleTime      time.Duration // in which they are looked at doing nothing
	Changes       int
	RecordEntries int // of the record that one controller starts with
}

// IdleFleetCost is what Many saw.
type IdleFleetCost struct {
	TimeToServe              time.Duration // from the first start until all serve
	PeerBytesPerSecond       float64       // of frames sent to peers by a controller a second, at rest; of the leader too
	LeaderPeerBytesPerSecond float64
	CPUMillisPerSecond       float64 // milliseconds of processor time of a controller a second, at rest
	LeaderCPUMillisPerSecond float64
	ResidentMB               float64         // MB resident of a controller, in the mean
	InForceSpread            []time.Duration // from the first controller that says so to the last
	ChangeLatency            []time.Duration // from being asked for until that
	LongRecordStart          time.Duration   // of one with Entries, until it serves
	SnapshotBytes            int
}

const (
	idleFleetVoters        = 3
	idleFleetServeTimeout  = time.Minute
	idleFleetChangeTimeout = 20 * time.Second
	idleFleetPollInterval  = 5 * time.Millisecond
)

// processFleet is a fleet whose controllers all are processes.
type processFleet struct {
	IdleFleet
	*fleetFiles
	ctx         context.Context
	controllers []*controllerProcess
	logged      chan appliedVersion
}

// prepare writes the set-ups of n controllers, which aren't started yet.
func (m IdleFleet) prepare(ctx context.Context, feedAddress string, n int) (*processFleet, error) {
	place, err := newFleetFiles("railrelay-many")
	if err != nil {
		return nil, err
	}
	// more than changes have lines
	f := &processFleet{IdleFleet: m, fleetFiles: place, ctx: ctx, logged: make(chan appliedVersion, 64*n)}
	// an address of its own for each, with ports that stay: what is free at 127.0.0.1 now
	// may be some connection's the next moment
	at := func(i, port int) string {
		return fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()%240, i/250, i%250+1, port)
	}
	var voters []hollow.Peer
	for i := range min(n, idleFleetVoters) {
		voters = append(voters, hollow.Peer{Name: fmt.Sprint("c", i), Address: at(i, 7600)})
	}
	for i := range n {
		name := fmt.Sprint("c", i)
		p := &controllerProcess{name: name, program: m.Program, setupFile: f.path(name + ".yaml"), directory: f.path(name),
			operatorClient: operatorClient{at(i, 7601), place.keys}, onApplied: f.recordApplied}
		s := controllerSetup{Name: name, ClientAddress: at(i, 7602), FeedAddress: feedAddress, Controllers: n, Zones: []string{"here"}, Zone: "here", MemoryMB: 64,
			Sockets: 256, FleetName: "many", PeerListenAddress: at(i, 7600), ControlAddress: p.address, Directory: p.directory, KeyFile: place.keyFile, Lease: m.Lease, Voters: voters}
		if err := os.WriteFile(p.setupFile, []byte(s.yaml()), 0o600); err != nil {
			f.close()
			return nil, err
		}
		f.controllers = append(f.controllers, p)
	}
	return f, nil
}

// recordApplied keeps a line of a log; one that there is no room for is of nothing waited for.
func (f *processFleet) recordApplied(a appliedVersion) {
	select {
	case f.logged <- a:
	default:
	}
}

func (f *processFleet) close() {
	for _, p := range f.controllers {
		p.kill()
	}
	f.remove()
}

// startAll starts all and waits until they serve.
func (f *processFleet) startAll() error {
	for _, p := range f.controllers {
		if err := p.start(f.ctx); err != nil {
			return err
		}
	}
	for _, p := range f.controllers {
		if err := p.awaitServing(f.ctx, idleFleetServeTimeout, idleFleetPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// listenIdleEngine listens as one idle engine and as the feed that lists it.
func listenIdleEngine(ctx context.Context) (address string, end func(), err error) {
	e, err := engine.Listen(ctx, "127.0.0.1:0", trialEngineConfig(), false)
	if err != nil {
		return "", nil, err
	}
	var list feed.Log
	list.Append(true, feed.Engine{ID: "e0", HostPort: e.Addr().String(), Locality: "here", Flavor: "std", Cell: 1, Phase: "SERVING", Size: 1})
	f, err := feed.Listen(ctx, "127.0.0.1:0", &list)
	if err != nil {
		e.Close()
		return "", nil, err
	}
	return f.Addr().String(), func() { f.Close(); e.Close() }, nil
}

// Measure starts all, looks at them at rest, changes the policy some times, and starts
// one with a long record.
func (m IdleFleet) Measure(ctx context.Context) (cost IdleFleetCost, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	address, end, err := listenIdleEngine(ctx)
	if err != nil {
		return cost, err
	}
	defer end()
	if err := m.measureRunningFleet(ctx, address, &cost); err != nil {
		return cost, err
	}
	return cost, m.measureLongRecordStart(ctx, address, &cost)
}

func (m IdleFleet) measureRunningFleet(ctx context.Context, feedAddress string, cost *IdleFleetCost) error {
	f, err := m.prepare(ctx, feedAddress, m.Controllers)
	if err != nil {
		return err
	}
	defer f.close()
	begin := time.Now()
	if err := f.startAll(); err != nil {
		return err
	}
	cost.TimeToServe = time.Since(begin)
	time.Sleep(2 * m.Lease) // what joining has led to is over
	if err := f.measureIdle(cost); err != nil {
		return err
	}
	for i := range m.Changes {
		if err := f.measureChange(i, cost); err != nil {
			return err
		}
	}
	slices.Sort(cost.InForceSpread)
	slices.Sort(cost.ChangeLatency)
	return nil
}

// controllerUsage is what a controller has used up to a moment.
type controllerUsage struct {
	processUsage
	frameBytes int
}

func (f *processFleet) usageOfControllers() (all []controllerUsage, err error) {
	for _, p := range f.controllers {
		sent := p.status(f.ctx).Counts["wire_bytes_out"]
		used, err := readProcessUsage(p.command.Process.Pid)
		if err != nil {
			return nil, err
		}
		all = append(all, controllerUsage{used, sent})
	}
	return all, nil
}

func (f *processFleet) measureIdle(cost *IdleFleetCost) error {
	leader := f.controllers[0].status(f.ctx).Leader
	before, err := f.usageOfControllers()
	if err != nil {
		return err
	}
	begin := time.Now()
	time.Sleep(f.IdleTime)
	after, err := f.usageOfControllers()
	if err != nil {
		return err
	}
	seconds := time.Since(begin).Seconds()
	for i, p := range f.controllers {
		sent := float64(after[i].frameBytes-before[i].frameBytes) / seconds
		cpu := toMilliseconds(after[i].CPU-before[i].CPU) / seconds
		if p.name == leader {
			cost.LeaderPeerBytesPerSecond, cost.LeaderCPUMillisPerSecond = sent, cpu
		} else {
			cost.PeerBytesPerSecond += sent / float64(len(f.controllers)-1)
			cost.CPUMillisPerSecond += cpu / float64(len(f.controllers)-1)
		}
		cost.ResidentMB += after[i].ResidentMB / float64(len(f.controllers))
	}
	return nil
}

// measureChange asks for the change i, at one controller after the other.
func (f *processFleet) measureChange(i int, cost *IdleFleetCost) error {
	for len(f.logged) > 0 {
		<-f.logged
	}
	base, asked := uint64(i+1), time.Now()
	a := &fleet.Request{Kind: "apply", ID: fmt.Sprint("change-", i), BaseVersion: base, WaitMs: idleFleetChangeTimeout.Milliseconds(),
		Policy: fmt.Appendf(nil, "fairness: {teams: [{name: a, weight: %d}, {name: b, weight: 1}]}\n", i+2)}
	r, err := f.controllers[i%len(f.controllers)].sendRequest(f.ctx, a)
	if err != nil {
		return err
	}
	if r.Outcome != "in force" {
		return fmt.Errorf("change %d: %s %s", i, r.Outcome, r.Reason)
	}
	first, last, err := f.awaitApplied(base + 1)
	if err != nil {
		return err
	}
	cost.InForceSpread, cost.ChangeLatency = append(cost.InForceSpread, last.Sub(first)), append(cost.ChangeLatency, last.Sub(asked))
	return nil
}

// awaitApplied waits until all logs have had a version, and gives the first and last time.
func (f *processFleet) awaitApplied(version uint64) (first, last time.Time, err error) {
	for n, wait := 0, time.After(idleFleetChangeTimeout); n < len(f.controllers); {
		select {
		case a := <-f.logged:
			if a.Version != version {
				continue
			}
			if n++; first.IsZero() || a.At.Before(first) {
				first = a.At
			}
			if a.At.After(last) {
				last = a.At
			}
		case <-wait:
			return first, last, fmt.Errorf("version %d is in force on %d of %d", version, n, len(f.controllers))
		}
	}
	return first, last, nil
}

// startFromRecord starts a voter from a record. It is the only one of its fleet, so that it can
// vote alone: with others' votes missing it would wait for them.
func (m IdleFleet) startFromRecord(ctx context.Context, feedAddress string, kept consensus.PersistentState) (f *processFleet, took time.Duration, err error) {
	f, err = m.prepare(ctx, feedAddress, 1)
	if err != nil {
		return nil, 0, err
	}
	store, _, err := storage.Open(f.controllers[0].directory, func() string { return "long" })
	if err == nil {
		err = errors.Join(store.Write(kept), store.Close())
	}
	begin := time.Now()
	if err == nil {
		err = f.startAll()
	}
	if err != nil {
		f.close()
		return nil, 0, err
	}
	return f, time.Since(begin), nil
}

// soleVoter is the name of the controller that startFrom starts.
const soleVoter = "c0"

// measureLongRecordStart starts a voter whose record has Entries, all but the last 2,000 in a
// snapshot.
func (m IdleFleet) measureLongRecordStart(ctx context.Context, feedAddress string, cost *IdleFleetCost) error {
	kept, err := buildLongRecord(soleVoter, m.RecordEntries)
	if err != nil {
		return err
	}
	cost.SnapshotBytes = len(kept.Snapshot.Data)
	f, took, err := m.startFromRecord(ctx, feedAddress, kept)
	if err != nil {
		return err
	}
	defer f.close()
	cost.LongRecordStart = took
	if s := f.controllers[0].status(ctx); s.Index < uint64(m.RecordEntries) || s.Version < uint64(m.RecordEntries/entriesPerChange) {
		return fmt.Errorf("it serves by version %d at entry %d of %d", s.Version, s.Index, m.RecordEntries)
	}
	return nil
}

// Print tells it in lines.
func (m IdleFleet) Print(out io.Writer, c IdleFleetCost) {
	most := func(l []time.Duration) (mid, last float64) {
		return toMilliseconds(l[len(l)/2]), toMilliseconds(l[len(l)-1])
	}
	force, forceMost := most(c.InForceSpread)
	asked, askedMost := most(c.ChangeLatency)
	fmt.Fprintf(out, "%d processes, %d vote, lease %v: all serve %.1f s after the first was started\n", m.Controllers, idleFleetVoters, m.Lease, c.TimeToServe.Seconds())
	fmt.Fprintf(out, "at rest, a controller a second: %.0f bytes to peers, %.1f ms of processor time; the leader: %.0f bytes, %.1f ms\n", c.PeerBytesPerSecond, c.CPUMillisPerSecond,
		c.LeaderPeerBytesPerSecond, c.LeaderCPUMillisPerSecond)
	fmt.Fprintf(out, "memory: %.1f MB resident each\n", c.ResidentMB)
	fmt.Fprintf(out, "%d changes: decided to in force on all %.1f ms (at most %.1f), asked to in force on all %.0f ms (at most %.0f)\n", len(c.InForceSpread), force,
		forceMost, asked, askedMost)
	fmt.Fprintf(out, "start with a record of %d entries, all but 2000 in a snapshot of %d bytes: serves after %.2f s\n", m.RecordEntries, c.SnapshotBytes, c.LongRecordStart.Seconds())
}
