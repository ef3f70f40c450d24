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

// IdleFleet configures a fleet of many controller processes without queries. It measures the cost of each
// controller and how soon a policy change is in force on all controllers.
type IdleFleet struct {
	Program       string // path of the program; railrelay-fleet must be in the same directory
	Controllers   int    // number of controllers, of which 3 are voters
	Lease         time.Duration
	IdleTime      time.Duration // duration of the measurement without changes
	Changes       int           // number of policy changes to measure
	RecordEntries int           // entries in the record of the controller that starts from a long record
}

// IdleFleetCost is the result of IdleFleet.Measure.
type IdleFleetCost struct {
	// TimeToServe is the time from the first start until all controllers serve.
	TimeToServe time.Duration
	// PeerBytesPerSecond is the mean number of bytes per second that an idle controller other than the
	// leader sends to its peers in frames.
	PeerBytesPerSecond       float64
	LeaderPeerBytesPerSecond float64
	// CPUMillisPerSecond is the mean CPU time of an idle controller other than the leader.
	CPUMillisPerSecond       float64
	LeaderCPUMillisPerSecond float64
	// ResidentMB is the mean resident memory of a controller.
	ResidentMB float64
	// InForceSpread has, for each change, the time from the first to the last controller's log line that the
	// change is in force. The times are in ascending order.
	InForceSpread []time.Duration
	// ChangeLatency has, for each change, the time from the request until the change is in force on all
	// controllers. The times are in ascending order.
	ChangeLatency []time.Duration
	// LongRecordStart is the time from the start of a controller with a record of RecordEntries entries until
	// this controller serves.
	LongRecordStart time.Duration
	SnapshotBytes   int // size of the snapshot in the record of RecordEntries entries
}

const (
	idleFleetVoters        = 3
	idleFleetServeTimeout  = time.Minute
	idleFleetChangeTimeout = 20 * time.Second
	idleFleetPollInterval  = 5 * time.Millisecond
)

// processFleet is a fleet in which each controller is a process.
type processFleet struct {
	IdleFleet
	*fleetFiles
	ctx         context.Context
	controllers []*controllerProcess
	logged      chan appliedVersion // versions that the controllers logged as in force
}

// prepare writes the setup files of n controllers without starting the controllers.
func (config IdleFleet) prepare(ctx context.Context, feedAddress string, n int) (*processFleet, error) {
	files, err := newFleetFiles("railrelay-many")
	if err != nil {
		return nil, err
	}
	// The buffer of logged holds more lines than the controllers log about a change.
	f := &processFleet{IdleFleet: config, fleetFiles: files, ctx: ctx, logged: make(chan appliedVersion, 64*n)}
	// Each controller has its own loopback address with fixed ports. A free port of 127.0.0.1 could be taken
	// by an outgoing connection before the controller listens on it.
	address := func(i, port int) string {
		return fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()%240, i/250, i%250+1, port)
	}
	var voters []hollow.Peer
	for i := range min(n, idleFleetVoters) {
		voters = append(voters, hollow.Peer{Name: fmt.Sprint("c", i), Address: address(i, 7600)})
	}
	for i := range n {
		name := fmt.Sprint("c", i)
		p := &controllerProcess{name: name, program: config.Program, setupFile: f.path(name + ".yaml"),
			directory:      f.path(name),
			operatorClient: operatorClient{address(i, 7601), files.keys}, onApplied: f.recordApplied}
		setup := controllerSetup{Name: name, ClientAddress: address(i, 7602), FeedAddress: feedAddress,
			Controllers: n, Zones: []string{"here"}, Zone: "here", MemoryMB: 64,
			Sockets: 256, FleetName: "many", PeerListenAddress: address(i, 7600), ControlAddress: p.address,
			Directory: p.directory, KeyFile: files.keyFile, Lease: config.Lease, Voters: voters}
		if err := os.WriteFile(p.setupFile, []byte(setup.yaml()), 0o600); err != nil {
			f.close()
			return nil, err
		}
		f.controllers = append(f.controllers, p)
	}
	return f, nil
}

// recordApplied queues a version from a controller's log. It drops the version if the queue is full, because
// then no measurement is waiting for versions.
func (f *processFleet) recordApplied(applied appliedVersion) {
	select {
	case f.logged <- applied:
	default:
	}
}

// close kills all controllers and removes the fleet's files.
func (f *processFleet) close() {
	for _, p := range f.controllers {
		p.kill()
	}
	f.remove()
}

// startAll starts all controllers and waits until they serve.
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

// listenIdleEngine starts an engine, and a feed that lists the engine. It returns the feed's address, and a
// function that closes the engine and the feed.
func listenIdleEngine(ctx context.Context) (address string, closeBoth func(), err error) {
	e, err := engine.Listen(ctx, "127.0.0.1:0", trialEngineConfig(), false)
	if err != nil {
		return "", nil, err
	}
	var feedLog feed.Log
	feedLog.Append(true, feed.Engine{ID: "e0", HostPort: e.Addr().String(), Locality: "here",
		Flavor: "std", Cell: 1, Phase: "SERVING", Size: 1})
	f, err := feed.Listen(ctx, "127.0.0.1:0", &feedLog)
	if err != nil {
		e.Close()
		return "", nil, err
	}
	return f.Addr().String(), func() { f.Close(); e.Close() }, nil
}

// Measure starts the fleet, measures the idle controllers and a number of policy changes, and measures the
// start of a controller with a long record.
func (config IdleFleet) Measure(ctx context.Context) (cost IdleFleetCost, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	feedAddress, closeEngine, err := listenIdleEngine(ctx)
	if err != nil {
		return cost, err
	}
	defer closeEngine()
	if err := config.measureRunningFleet(ctx, feedAddress, &cost); err != nil {
		return cost, err
	}
	return cost, config.measureLongRecordStart(ctx, feedAddress, &cost)
}

// measureRunningFleet measures the start of the fleet, the idle controllers and the policy changes.
func (config IdleFleet) measureRunningFleet(ctx context.Context, feedAddress string,
	cost *IdleFleetCost) error {
	f, err := config.prepare(ctx, feedAddress, config.Controllers)
	if err != nil {
		return err
	}
	defer f.close()
	begin := time.Now()
	if err := f.startAll(); err != nil {
		return err
	}
	cost.TimeToServe = time.Since(begin)
	time.Sleep(2 * config.Lease) // until the traffic of joining has ended
	if err := f.measureIdle(cost); err != nil {
		return err
	}
	for i := range config.Changes {
		if err := f.measureChange(i, cost); err != nil {
			return err
		}
	}
	slices.Sort(cost.InForceSpread)
	slices.Sort(cost.ChangeLatency)
	return nil
}

// controllerUsage is the resource usage of a controller since its start.
type controllerUsage struct {
	processUsage
	frameBytes int // bytes of the frames that were sent to peers
}

// usageOfControllers returns the usage of all controllers, in their order.
func (f *processFleet) usageOfControllers() (usages []controllerUsage, err error) {
	for _, p := range f.controllers {
		sent := p.status(f.ctx).Counts["wire_bytes_out"]
		usage, err := readProcessUsage(p.command.Process.Pid)
		if err != nil {
			return nil, err
		}
		usages = append(usages, controllerUsage{usage, sent})
	}
	return usages, nil
}

// measureIdle measures the controllers for IdleTime while the fleet has no changes.
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

// measureChange requests change i, and waits until the change is in force on all controllers. Successive
// changes are requested from the controllers in turn.
func (f *processFleet) measureChange(i int, cost *IdleFleetCost) error {
	for len(f.logged) > 0 {
		<-f.logged
	}
	base, requested := uint64(i+1), time.Now()
	change := &fleet.Request{Kind: "apply", ID: fmt.Sprint("change-", i), BaseVersion: base,
		WaitMs: idleFleetChangeTimeout.Milliseconds(),
		Policy: fmt.Appendf(nil, "fairness: {teams: [{name: a, weight: %d}, {name: b, weight: 1}]}\n", i+2)}
	response, err := f.controllers[i%len(f.controllers)].sendRequest(f.ctx, change)
	if err != nil {
		return err
	}
	if response.Outcome != "in force" {
		return fmt.Errorf("change %d: outcome %s: %s", i, response.Outcome, response.Reason)
	}
	first, last, err := f.awaitApplied(base + 1)
	if err != nil {
		return err
	}
	cost.InForceSpread, cost.ChangeLatency = append(cost.InForceSpread, last.Sub(first)),
		append(cost.ChangeLatency, last.Sub(requested))
	return nil
}

// awaitApplied waits until all controllers have logged a version as in force, and returns the times of
// the first and the last log line.
func (f *processFleet) awaitApplied(version uint64) (first, last time.Time, err error) {
	for n, timeout := 0, time.After(idleFleetChangeTimeout); n < len(f.controllers); {
		select {
		case applied := <-f.logged:
			if applied.Version != version {
				continue
			}
			if n++; first.IsZero() || applied.At.Before(first) {
				first = applied.At
			}
			if applied.At.After(last) {
				last = applied.At
			}
		case <-timeout:
			return first, last, fmt.Errorf("version %d is in force on %d of %d controllers only",
				version, n, len(f.controllers))
		}
	}
	return first, last, nil
}

// startFromRecord starts a fleet of one voter from a record, and returns the time from the start until the
// voter serves. The only voter of a fleet elects itself, without a wait for the votes of other voters.
func (config IdleFleet) startFromRecord(ctx context.Context, feedAddress string,
	record consensus.PersistentState) (f *processFleet, took time.Duration, err error) {
	f, err = config.prepare(ctx, feedAddress, 1)
	if err != nil {
		return nil, 0, err
	}
	store, _, err := storage.Open(f.controllers[0].directory, func() string { return "long" })
	if err == nil {
		err = errors.Join(store.Write(record), store.Close())
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

// soleVoter is the name of the controller that startFromRecord starts.
const soleVoter = "c0"

// measureLongRecordStart measures the start of a voter whose record has RecordEntries entries, all but
// the last 2,000 in a snapshot.
func (config IdleFleet) measureLongRecordStart(ctx context.Context, feedAddress string,
	cost *IdleFleetCost) error {
	record, err := buildLongRecord(soleVoter, config.RecordEntries)
	if err != nil {
		return err
	}
	cost.SnapshotBytes = len(record.Snapshot.Data)
	f, took, err := config.startFromRecord(ctx, feedAddress, record)
	if err != nil {
		return err
	}
	defer f.close()
	cost.LongRecordStart = took
	if status := f.controllers[0].status(ctx); status.Index < uint64(config.RecordEntries) ||
		status.Version < uint64(config.RecordEntries/entriesPerChange) {
		return fmt.Errorf("the voter serves with version %d at entry %d of %d",
			status.Version, status.Index, config.RecordEntries)
	}
	return nil
}

// Print writes the cost as lines of text.
func (config IdleFleet) Print(out io.Writer, cost IdleFleetCost) {
	summary := func(sorted []time.Duration) (median, most float64) {
		return toMilliseconds(sorted[len(sorted)/2]), toMilliseconds(sorted[len(sorted)-1])
	}
	spread, mostSpread := summary(cost.InForceSpread)
	latency, mostLatency := summary(cost.ChangeLatency)
	fmt.Fprintf(out, "%d processes, %d vote, lease %v: all serve %.1f s after the first was started\n",
		config.Controllers, idleFleetVoters, config.Lease, cost.TimeToServe.Seconds())
	fmt.Fprintf(out, "idle, per controller and second: %.0f bytes to peers, %.1f ms of CPU time; "+
		"the leader: %.0f bytes, %.1f ms\n", cost.PeerBytesPerSecond, cost.CPUMillisPerSecond,
		cost.LeaderPeerBytesPerSecond, cost.LeaderCPUMillisPerSecond)
	fmt.Fprintf(out, "memory: %.1f MB resident each\n", cost.ResidentMB)
	fmt.Fprintf(out, "%d changes: in force on the first to in force on all controllers %.1f ms (at most %.1f), "+
		"requested to in force on all %.0f ms (at most %.0f)\n",
		len(cost.InForceSpread), spread, mostSpread, latency, mostLatency)
	fmt.Fprintf(out, "start with a record of %d entries, all but 2000 in a snapshot of %d bytes: "+
		"serves after %.2f s\n", config.RecordEntries, cost.SnapshotBytes, cost.LongRecordStart.Seconds())
}
