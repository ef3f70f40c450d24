package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/capacity"
)

// Datapath measures what one controller's work for engines, clients and queries costs:
// one real process before stand-in engines, clients and a feed that share another.
type Datapath struct {
	Program       string // the built railrelay
	Controllers   int    // that its set-up says share the engines
	EngineCounts  []int  // sizes that it idles before; the last is used for all else
	QueryRates    []int  // queries a second
	ClientCounts  []int  // sizes of the steps of idle connections
	StepDuration  time.Duration
	Seed          uint64
	ControllerLog io.Writer // of the controller
}

// DefaultDatapath are the sizes of docs/CAPACITY.md.
func DefaultDatapath() Datapath {
	return Datapath{Program: "bin/railrelay", Controllers: 580, EngineCounts: []int{1, 10, 100, 740},
		QueryRates: []int{740, 1897, 3700, 7400, 74000}, ClientCounts: []int{200, 1000, 2000, 4000, 7414}, StepDuration: 10 * time.Second, Seed: 1, ControllerLog: os.Stderr}
}

const (
	// datapathRole is the role of all rows.
	datapathRole = "controller"
	// datapathQueryClients is how many connections queries are asked on.
	datapathQueryClients = 200
	// specifiedControllerRate is the queries a second that a controller has in the mean.
	specifiedControllerRate = 1897
	// specifiedEngineRate is the queries a second that an engine has of all controllers.
	specifiedEngineRate = 1486
	// maxConnectionsPerEngine bounds the connections to one engine that room is kept for.
	maxConnectionsPerEngine = 4
	// datapathSpareDescriptors are for the feed, the runtime and the like.
	datapathSpareDescriptors = 128
	// datapathSettleTime is what a change of load is given before it is looked at.
	datapathSettleTime = 3 * time.Second
	// datapathClientMB and engineMB are the memory that a client's and an engine's stand-in are
	// reckoned with before anything starts.
	datapathClientMB, datapathEngineMB = 0.05, 0.5
	// datapathMemoryFraction is the part of the machine's memory that a measurement may take.
	datapathMemoryFraction = 0.5
)

// checkDatapathSizes tells whether each is 1 or more, and there is one.
func checkDatapathSizes(what string, all []int) error {
	if len(all) == 0 {
		return &capacity.SizeError{What: what, Why: "none is named"}
	}
	for _, size := range all {
		if size < 1 {
			return &capacity.SizeError{What: what, Why: fmt.Sprintf("%d is under 1", size)}
		}
	}
	return nil
}

// Check tells before anything starts whether the sizes can be measured on this machine:
// nil, a *capacity.SizeError or a *capacity.RoomError.
func (d Datapath) Check() error {
	if d.StepDuration < time.Second {
		return &capacity.SizeError{What: "rest", Why: fmt.Sprintf("%v is under a second", d.StepDuration)}
	}
	for what, all := range map[string][]int{"engines": d.EngineCounts, "rates": d.QueryRates, "clients": d.ClientCounts} {
		if err := checkDatapathSizes(what, all); err != nil {
			return err
		}
	}
	engines, clients := slices.Max(d.EngineCounts), max(slices.Max(d.ClientCounts), datapathQueryClients)
	if err := capacity.CheckDescriptors(clients + engines*(1+maxConnectionsPerEngine) + datapathSpareDescriptors); err != nil {
		return err
	}
	return capacity.CheckMemory(float64(clients)*datapathClientMB+float64(engines)*datapathEngineMB, datapathMemoryFraction)
}

// Measure plays all parts and gives their figures; a part is told to out as it ends.
func (d Datapath) Measure(ctx context.Context, out io.Writer) ([]capacity.Row, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	b := &datapathRecorder{seed: d.Seed, machine: capacity.Machine(), commit: capacity.Commit(), out: out}
	parts := []func(context.Context, *datapathRecorder) error{d.measureIdle, d.measureIdleTimeout, d.measureIdleClients, d.measureQueries, d.measureSpecifiedLoad, d.measureTakeovers}
	for _, part := range parts {
		if err := part(ctx, b); err != nil {
			return b.rows, err
		}
	}
	return b.rows, nil
}

// datapathRecorder gathers the rows of a run.
type datapathRecorder struct {
	seed            uint64
	machine, commit string
	rows            []capacity.Row
	out             io.Writer
}

// record keeps a figure and tells it.
func (b *datapathRecorder) record(what string, size int, value float64, unit string) {
	b.recordWithSeed(what, size, b.seed, value, unit)
}

func (b *datapathRecorder) recordWithSeed(what string, size int, seed uint64, value float64, unit string) {
	b.rows = append(b.rows, capacity.Row{Role: datapathRole, What: what, Size: size, Seed: seed, Value: value, Unit: unit,
		Machine: b.machine, Commit: b.commit})
	fmt.Fprintf(b.out, "%-34s %6d %14.3f %s\n", what, size, value, unit)
}

// recordUsage keeps what a watch saw, its names begun alike.
func (b *datapathRecorder) recordUsage(begin string, size int, x datapathUsage) {
	b.record(begin+" memory", size, x.residentMB, "MB")
	b.record(begin+" cpu", size, x.cpuMilliseconds, "ms/s")
	b.record(begin+" control sent", size, x.controlSent, "bytes/s")
	b.record(begin+" control received", size, x.controlReceived, "bytes/s")
	b.record(begin+" engine connections", size, x.openConnections, "connections")
	b.record(begin+" engine connections opened", size, x.connectionsOpened, "connections/s")
}

// measureIdle is a controller with nothing to do before engines of each size.
func (d Datapath) measureIdle(ctx context.Context, b *datapathRecorder) error {
	for _, engines := range d.EngineCounts {
		if err := d.measureIdleWithEngines(ctx, b, engines); err != nil {
			return err
		}
	}
	return nil
}

func (d Datapath) measureIdleWithEngines(ctx context.Context, b *datapathRecorder, engines int) (err error) {
	s, err := d.start(ctx, engines, longIdleTimeout)
	if err != nil {
		return err
	}
	defer s.close()
	b.record("start time", engines, float64(s.startDuration)/float64(time.Millisecond), "ms")
	b.record("start list", engines, float64(s.feedListener.Traffic().Events), "bytes")
	if err := s.sleep(datapathSettleTime); err != nil {
		return err
	}
	x, err := s.sample(d.StepDuration)
	if err != nil {
		return err
	}
	b.recordUsage("idle", engines, x)
	return s.stopController()
}

// measureIdleTimeout is how long clients that say nothing are kept by the platform's figures.
func (d Datapath) measureIdleTimeout(ctx context.Context, b *datapathRecorder) error {
	s, err := d.start(ctx, 1, "")
	if err != nil {
		return err
	}
	defer s.close()
	clients, err := openIdleConnections(ctx, s.controllerAddress, datapathQueryClients)
	if err != nil {
		return err
	}
	defer clients.close()
	const patience = 15 * time.Second
	closed := clients.secondsUntilClosed(patience)
	b.record("quiet closed", datapathQueryClients, float64(len(closed)), "connections")
	if len(closed) > 0 {
		b.record("quiet first closed", datapathQueryClients, slices.Min(closed), "s")
		b.record("quiet last closed", datapathQueryClients, slices.Max(closed), "s")
	}
	return s.stopController()
}

// measureIdleClients is a controller before all engines with clients that ask nothing, each size
// on a process of its own.
func (d Datapath) measureIdleClients(ctx context.Context, b *datapathRecorder) error {
	for _, n := range d.ClientCounts {
		if err := d.measureIdleWithClients(ctx, b, n); err != nil {
			return err
		}
	}
	return nil
}

func (d Datapath) measureIdleWithClients(ctx context.Context, b *datapathRecorder, n int) error {
	s, err := d.start(ctx, d.maxEngines(), longIdleTimeout)
	if err != nil {
		return err
	}
	defer s.close()
	before, err := s.snapshot()
	if err != nil {
		return err
	}
	clients, err := openIdleConnections(ctx, s.controllerAddress, n)
	if err != nil {
		return err
	}
	defer clients.close()
	after, err := s.snapshot()
	if err != nil {
		return err
	}
	b.record("clients step time", n, float64(clients.openDuration)/float64(time.Millisecond), "ms")
	b.record("clients step cpu", n, float64(after.process.CPU-before.process.CPU)/float64(time.Millisecond), "ms")
	if err := s.sleep(datapathSettleTime); err != nil {
		return err
	}
	x, err := s.sample(d.StepDuration)
	if err != nil {
		return err
	}
	b.record("clients memory", n, x.residentMB, "MB")
	b.record("clients cpu", n, x.cpuMilliseconds, "ms/s")
	return s.stopController()
}

func (d Datapath) maxEngines() int { return slices.Max(d.EngineCounts) }

// measureQueries is a controller before all engines at each rate.
func (d Datapath) measureQueries(ctx context.Context, b *datapathRecorder) error {
	for _, rate := range d.QueryRates {
		if err := d.measureQueryRate(ctx, b, "queries", rate, rate, datapathQueryClients); err != nil {
			return err
		}
	}
	return nil
}

// measureSpecifiedLoad is the letter's point: its rate over as many clients as the largest step.
func (d Datapath) measureSpecifiedLoad(ctx context.Context, b *datapathRecorder) error {
	n := slices.Max(d.ClientCounts)
	return d.measureQueryRate(ctx, b, "letter", n, specifiedControllerRate, n)
}

func (d Datapath) measureQueryRate(ctx context.Context, b *datapathRecorder, begin string, size, rate, clients int) error {
	s, err := d.start(ctx, d.maxEngines(), longIdleTimeout)
	if err != nil {
		return err
	}
	defer s.close()
	open, err := openIdleConnections(ctx, s.controllerAddress, clients)
	if err != nil {
		return err
	}
	defer open.close()
	var seen datapathQueryCounts
	x, err := s.sampleUnderQueries(open.connections, float64(rate), d.Seed, d.StepDuration, &seen)
	if err != nil {
		return err
	}
	b.recordUsage(begin, size, x)
	d.recordQueries(b, begin, size, x, &seen)
	return s.stopController()
}

// sampleUnderQueries offers queries, and watches once they have settled.
func (s *datapathTestbed) sampleUnderQueries(clients []net.Conn, rate float64, seed uint64, long time.Duration, seen *datapathQueryCounts) (datapathUsage, error) {
	ctx, stop := context.WithCancel(s.ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- submitQueriesAtRate(ctx, clients, rate, seed, seen) }()
	if err := s.sleep(datapathSettleTime); err != nil {
		return datapathUsage{}, err
	}
	seen.reset()
	x, err := s.sample(long)
	stop()
	if fault := <-ended; fault != nil {
		return x, fault
	}
	return x, err
}

func (d Datapath) recordQueries(b *datapathRecorder, begin string, size int, x datapathUsage, seen *datapathQueryCounts) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	finished := float64(seen.finished) / x.seconds
	b.record(begin+" asked", size, float64(seen.submitted)/x.seconds, "queries/s")
	b.record(begin+" finished", size, finished, "queries/s")
	b.record(begin+" deferred", size, float64(seen.deferred)/x.seconds, "queries/s")
	b.record(begin+" killed", size, float64(seen.killed)/x.seconds, "queries/s")
	if seen.finished > 0 {
		b.record(begin+" p50", size, quantileOrZero(0.5, seen.latencies), "ms")
		b.record(begin+" p99", size, quantileOrZero(0.99, seen.latencies), "ms")
		b.record(begin+" cpu each", size, x.cpuMilliseconds*1000/finished, "us")
		b.record(begin+" looks each", size, x.probes/finished, "looks/query")
	}
	b.record(begin+" looks", size, x.probes, "looks/s")
	b.record(begin+" looks an engine", size, x.probes/float64(d.maxEngines()), "looks/s")
	b.record(begin+" engines reached", size, x.enginesReached, "engines in 1 s")
	b.record(begin+" engine most", size, x.busiestEngineQueries, "queries in 1 s")
	b.record(begin+" looks sent", size, x.probesSent, "bytes/s")
	b.record(begin+" looks received", size, x.probesReceived, "bytes/s")
	b.record(begin+" news sent", size, x.pollsSent, "bytes/s")
	b.record(begin+" news received", size, x.pollsReceived, "bytes/s")
	b.record(begin+" own sent", size, x.queriesSent, "bytes/s")
	b.record(begin+" own received", size, x.queriesReceived, "bytes/s")
}
