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

// Datapath measures the cost of engines, clients and queries on one controller process. The emulated engines,
// clients and feed all run in the process of the benchmark.
type Datapath struct {
	Program       string // path of the railrelay executable
	Controllers   int    // number of controllers that share the engines, according to the set-up
	EngineCounts  []int  // numbers of engines of the idle steps; all other steps use the largest
	QueryRates    []int  // rates of queries in queries/s, one for each step
	ClientCounts  []int  // numbers of idle clients, one for each step
	StepDuration  time.Duration
	Seed          uint64
	ControllerLog io.Writer // receives the controller's log
}

// DefaultDatapath returns the sizes that docs/CAPACITY.md reports on.
func DefaultDatapath() Datapath {
	return Datapath{Program: "bin/railrelay", Controllers: 580, EngineCounts: []int{1, 10, 100, 740},
		QueryRates: []int{740, 1897, 3700, 7400, 74000}, ClientCounts: []int{200, 1000, 2000, 4000, 7414},
		StepDuration: 10 * time.Second, Seed: 1, ControllerLog: os.Stderr}
}

const (
	// datapathRole is the role in all rows of the measurement.
	datapathRole = "controller"
	// datapathQueryClients is the number of connections that queries are submitted on.
	datapathQueryClients = 200
	// specifiedControllerRate is the mean rate of queries at one controller, in queries/s, under the load that
	// the fleet is specified for.
	specifiedControllerRate = 1897
	// specifiedEngineRate is the mean rate of queries from all controllers at one engine, in queries/s, under
	// the same load.
	specifiedEngineRate = 1486
	// maxConnectionsPerEngine is the number of connections to one engine that Check reserves descriptors for.
	maxConnectionsPerEngine = 4
	// datapathSpareDescriptors is the number of descriptors that Check reserves for the feed, the Go runtime
	// and other uses.
	datapathSpareDescriptors = 128
	// datapathSettleTime is the time from a change of the load to the start of sampling.
	datapathSettleTime = 3 * time.Second
	// datapathClientMB and datapathEngineMB are estimates, in MB, of the memory of one emulated client and of
	// one emulated engine. Check uses them to reject sizes that need too much memory.
	datapathClientMB, datapathEngineMB = 0.05, 0.5
	// datapathMemoryFraction is the fraction of the machine's memory that a measurement may use.
	datapathMemoryFraction = 0.5
)

// checkDatapathSizes returns a *capacity.SizeError if counts is empty or contains a number below 1.
func checkDatapathSizes(what string, counts []int) error {
	if len(counts) == 0 {
		return &capacity.SizeError{What: what, Why: "the list is empty"}
	}
	for _, size := range counts {
		if size < 1 {
			return &capacity.SizeError{What: what, Why: fmt.Sprintf("%d is below 1", size)}
		}
	}
	return nil
}

// Check returns an error if the measurement can't run on this machine: a *capacity.SizeError for an invalid
// size, or a *capacity.RoomError for a size that exceeds the machine's resources.
func (d Datapath) Check() error {
	if d.StepDuration < time.Second {
		return &capacity.SizeError{What: "rest", Why: fmt.Sprintf("%v is below 1 s", d.StepDuration)}
	}
	for what, counts := range map[string][]int{"engines": d.EngineCounts, "rates": d.QueryRates,
		"clients": d.ClientCounts} {
		if err := checkDatapathSizes(what, counts); err != nil {
			return err
		}
	}
	engines, clients := slices.Max(d.EngineCounts), max(slices.Max(d.ClientCounts), datapathQueryClients)
	if err := capacity.CheckDescriptors(clients + engines*(1+maxConnectionsPerEngine) +
		datapathSpareDescriptors); err != nil {
		return err
	}
	return capacity.CheckMemory(float64(clients)*datapathClientMB+float64(engines)*datapathEngineMB,
		datapathMemoryFraction)
}

// Measure runs all steps and returns their figures. It prints each figure to out as soon as the figure is
// measured. If a step fails, Measure returns the error and the figures that were measured before.
func (d Datapath) Measure(ctx context.Context, out io.Writer) ([]capacity.Row, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	recorder := &datapathRecorder{seed: d.Seed, machine: capacity.Machine(), commit: capacity.Commit(), out: out}
	steps := []func(context.Context, *datapathRecorder) error{d.measureIdle, d.measureIdleTimeout,
		d.measureIdleClients, d.measureQueries, d.measureSpecifiedLoad, d.measureTakeovers}
	for _, step := range steps {
		if err := step(ctx, recorder); err != nil {
			return recorder.rows, err
		}
	}
	return recorder.rows, nil
}

// datapathRecorder collects the rows of a run and prints them to out.
type datapathRecorder struct {
	seed            uint64
	machine, commit string
	rows            []capacity.Row
	out             io.Writer
}

// record adds a figure with the run's seed.
func (r *datapathRecorder) record(what string, size int, value float64, unit string) {
	r.recordWithSeed(what, size, r.seed, value, unit)
}

// recordWithSeed adds a figure with the given seed.
func (r *datapathRecorder) recordWithSeed(what string, size int, seed uint64, value float64, unit string) {
	r.rows = append(r.rows, capacity.Row{Role: datapathRole, What: what, Size: size, Seed: seed, Value: value,
		Unit: unit, Machine: r.machine, Commit: r.commit})
	fmt.Fprintf(r.out, "%-34s %6d %14.3f %s\n", what, size, value, unit)
}

// recordUsage adds the controller's usage. The figures' names begin with prefix.
func (r *datapathRecorder) recordUsage(prefix string, size int, usage datapathUsage) {
	r.record(prefix+" memory", size, usage.residentMB, "MB")
	r.record(prefix+" cpu", size, usage.cpuMilliseconds, "ms/s")
	r.record(prefix+" control sent", size, usage.controlSent, "bytes/s")
	r.record(prefix+" control received", size, usage.controlReceived, "bytes/s")
	r.record(prefix+" engine connections", size, usage.openConnections, "connections")
	r.record(prefix+" engine connections opened", size, usage.connectionsOpened, "connections/s")
}

// measureIdle measures a controller without clients with each number of engines.
func (d Datapath) measureIdle(ctx context.Context, recorder *datapathRecorder) error {
	for _, engines := range d.EngineCounts {
		if err := d.measureIdleWithEngines(ctx, recorder, engines); err != nil {
			return err
		}
	}
	return nil
}

func (d Datapath) measureIdleWithEngines(ctx context.Context, recorder *datapathRecorder,
	engines int) (err error) {
	s, err := d.start(ctx, engines, longIdleTimeout)
	if err != nil {
		return err
	}
	defer s.close()
	recorder.record("start time", engines, float64(s.startDuration)/float64(time.Millisecond), "ms")
	recorder.record("start list", engines, float64(s.feedListener.Traffic().Events), "bytes")
	if err := s.sleep(datapathSettleTime); err != nil {
		return err
	}
	usage, err := s.sample(d.StepDuration)
	if err != nil {
		return err
	}
	recorder.recordUsage("idle", engines, usage)
	return s.stopController()
}

// measureIdleTimeout measures the time after which the controller closes idle client connections under the
// default limits.
func (d Datapath) measureIdleTimeout(ctx context.Context, recorder *datapathRecorder) error {
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
	const timeout = 15 * time.Second
	closed := clients.secondsUntilClosed(timeout)
	recorder.record("quiet closed", datapathQueryClients, float64(len(closed)), "connections")
	if len(closed) > 0 {
		recorder.record("quiet first closed", datapathQueryClients, slices.Min(closed), "s")
		recorder.record("quiet last closed", datapathQueryClients, slices.Max(closed), "s")
	}
	return s.stopController()
}

// measureIdleClients measures a controller with the largest number of engines and each number of idle
// clients. Each step starts its own controller process.
func (d Datapath) measureIdleClients(ctx context.Context, recorder *datapathRecorder) error {
	for _, count := range d.ClientCounts {
		if err := d.measureIdleWithClients(ctx, recorder, count); err != nil {
			return err
		}
	}
	return nil
}

func (d Datapath) measureIdleWithClients(ctx context.Context, recorder *datapathRecorder, count int) error {
	s, err := d.start(ctx, d.maxEngines(), longIdleTimeout)
	if err != nil {
		return err
	}
	defer s.close()
	before, err := s.snapshot()
	if err != nil {
		return err
	}
	clients, err := openIdleConnections(ctx, s.controllerAddress, count)
	if err != nil {
		return err
	}
	defer clients.close()
	after, err := s.snapshot()
	if err != nil {
		return err
	}
	recorder.record("clients step time", count, float64(clients.openDuration)/float64(time.Millisecond), "ms")
	recorder.record("clients step cpu", count,
		float64(after.process.CPU-before.process.CPU)/float64(time.Millisecond), "ms")
	if err := s.sleep(datapathSettleTime); err != nil {
		return err
	}
	usage, err := s.sample(d.StepDuration)
	if err != nil {
		return err
	}
	recorder.record("clients memory", count, usage.residentMB, "MB")
	recorder.record("clients cpu", count, usage.cpuMilliseconds, "ms/s")
	return s.stopController()
}

func (d Datapath) maxEngines() int { return slices.Max(d.EngineCounts) }

// measureQueries measures a controller with the largest number of engines at each query rate.
func (d Datapath) measureQueries(ctx context.Context, recorder *datapathRecorder) error {
	for _, rate := range d.QueryRates {
		if err := d.measureQueryRate(ctx, recorder, "queries", rate, rate, datapathQueryClients); err != nil {
			return err
		}
	}
	return nil
}

// measureSpecifiedLoad measures the specified load of one controller: specifiedControllerRate, over the
// largest number of clients.
func (d Datapath) measureSpecifiedLoad(ctx context.Context, recorder *datapathRecorder) error {
	clients := slices.Max(d.ClientCounts)
	return d.measureQueryRate(ctx, recorder, "letter", clients, specifiedControllerRate, clients)
}

// measureQueryRate measures a controller with the largest number of engines while clientCount clients submit
// queries at a rate, in queries/s. The rows get the given size, and names that begin with prefix.
func (d Datapath) measureQueryRate(ctx context.Context, recorder *datapathRecorder, prefix string,
	size, rate, clientCount int) error {
	s, err := d.start(ctx, d.maxEngines(), longIdleTimeout)
	if err != nil {
		return err
	}
	defer s.close()
	clients, err := openIdleConnections(ctx, s.controllerAddress, clientCount)
	if err != nil {
		return err
	}
	defer clients.close()
	var counts datapathQueryCounts
	usage, err := s.sampleUnderQueries(clients.connections, float64(rate), d.Seed, d.StepDuration, &counts)
	if err != nil {
		return err
	}
	recorder.recordUsage(prefix, size, usage)
	d.recordQueries(recorder, prefix, size, usage, &counts)
	return s.stopController()
}

// sampleUnderQueries submits queries at a rate, and samples the controller's usage once datapathSettleTime
// has passed. On return, counts has the queries of the sampled period.
func (s *datapathTestbed) sampleUnderQueries(clients []net.Conn, rate float64, seed uint64,
	duration time.Duration, counts *datapathQueryCounts) (datapathUsage, error) {
	ctx, stop := context.WithCancel(s.ctx)
	defer stop()
	submitDone := make(chan error, 1)
	go func() { submitDone <- submitQueriesAtRate(ctx, clients, rate, seed, counts) }()
	if err := s.sleep(datapathSettleTime); err != nil {
		return datapathUsage{}, err
	}
	counts.reset()
	usage, err := s.sample(duration)
	stop()
	if submitErr := <-submitDone; submitErr != nil {
		return usage, submitErr
	}
	return usage, err
}

// recordQueries adds the figures of the queries and of the traffic that the queries cause.
func (d Datapath) recordQueries(recorder *datapathRecorder, prefix string, size int, usage datapathUsage,
	counts *datapathQueryCounts) {
	counts.mu.Lock()
	defer counts.mu.Unlock()
	finished := float64(counts.finished) / usage.seconds
	recorder.record(prefix+" asked", size, float64(counts.submitted)/usage.seconds, "queries/s")
	recorder.record(prefix+" finished", size, finished, "queries/s")
	recorder.record(prefix+" deferred", size, float64(counts.deferred)/usage.seconds, "queries/s")
	recorder.record(prefix+" killed", size, float64(counts.killed)/usage.seconds, "queries/s")
	if counts.finished > 0 {
		recorder.record(prefix+" p50", size, quantileOrZero(0.5, counts.latencies), "ms")
		recorder.record(prefix+" p99", size, quantileOrZero(0.99, counts.latencies), "ms")
		recorder.record(prefix+" cpu each", size, usage.cpuMilliseconds*1000/finished, "us")
		recorder.record(prefix+" looks each", size, usage.probes/finished, "looks/query")
	}
	recorder.record(prefix+" looks", size, usage.probes, "looks/s")
	recorder.record(prefix+" looks an engine", size, usage.probes/float64(d.maxEngines()), "looks/s")
	recorder.record(prefix+" engines reached", size, usage.enginesReached, "engines in 1 s")
	recorder.record(prefix+" engine most", size, usage.busiestEngineQueries, "queries in 1 s")
	recorder.record(prefix+" looks sent", size, usage.probesSent, "bytes/s")
	recorder.record(prefix+" looks received", size, usage.probesReceived, "bytes/s")
	recorder.record(prefix+" news sent", size, usage.pollsSent, "bytes/s")
	recorder.record(prefix+" news received", size, usage.pollsReceived, "bytes/s")
	recorder.record(prefix+" own sent", size, usage.queriesSent, "bytes/s")
	recorder.record(prefix+" own received", size, usage.queriesReceived, "bytes/s")
}
