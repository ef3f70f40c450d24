package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/feed"
	"railrelay.dev/railrelay/internal/emulator/loopback"
)

// datapathTestbed is a controllerTestbed with access to the traffic counters of its engines and its feed.
type datapathTestbed struct {
	controllerTestbed
	engines      []*engine.Listener
	feedListener *feed.Listener
	// startDuration is the time from the start of the controller's process until the controller was ready. A
	// controller is ready only if it has the list of engines.
	startDuration time.Duration
}

// datapathLimits is the limits section of the controller's set-up. A third of the descriptors is available to
// clients, so 7,414 clients need more than 22,242 descriptors.
const datapathLimits = "limits: {cores: 1, memory_mb: 512, sockets: 24000}"

// datapathSetup returns the controller's set-up file, with two resource groups and two tenants. idle is the
// idle timeout of client connections. If idle is empty, the default limits apply to clients.
func datapathSetup(feedAddress, listen, idle string, controllers int, seed uint64) string {
	var b strings.Builder
	engineConfig := trialEngineConfig()
	fmt.Fprintf(&b, "name: datapath\nlisten: %s\nfeed: %s\nseed: %x\nlog: warn\n%s\n",
		listen, feedAddress, seed, datapathLimits)
	fmt.Fprintf(&b, "engines: {controllers: %d, kinds: [{name: std, cores: %g, memory_mb: %g}]}\n",
		controllers, engineConfig.Cores, engineConfig.MemoryMB)
	b.WriteString("groups:\n")
	b.WriteString("  - {name: lookup, target: 1s, timeout: 30s, effect: read-only}\n")
	b.WriteString("  - {name: load, target: 3s, timeout: 30s, effect: mutating, in_order: true, load: true}\n")
	if idle != "" {
		fmt.Fprintf(&b, "clients: [{name: all, addresses: [127.0.0.0/8], idle: %s, message: 30s}]\n", idle)
	}
	b.WriteString("fairness: {fields: {team: team}, trusted: [127.0.0.0/8], " +
		"teams: [{name: a, weight: 1}, {name: b, weight: 1}]}\n")
	return b.String()
}

// longIdleTimeout is an idle timeout that keeps idle client connections open during a step.
const longIdleTimeout = "10m"

// start starts engines, a feed that lists them and a controller, and waits until the controller is ready.
// idle has the same meaning as in datapathSetup.
func (d Datapath) start(ctx context.Context, engines int, idle string) (s *datapathTestbed, err error) {
	ctx, stop := context.WithCancel(ctx)
	s = &datapathTestbed{controllerTestbed: controllerTestbed{ctx: ctx, program: d.Program,
		controllerLog: d.ControllerLog, cleanups: []func(){stop}}}
	defer func() {
		if err != nil {
			s.close()
			s = nil
		}
	}()
	if err := s.startEmulators(ctx, engines, d.Seed); err != nil {
		return s, err
	}
	if s.controllerAddress, err = loopback.FreeAddress(); err != nil {
		return s, err
	}
	if s.dir, err = os.MkdirTemp("", "railrelay-datapath"); err != nil {
		return s, err
	}
	s.cleanups = append(s.cleanups, func() { os.RemoveAll(s.dir) })
	return s, s.startControllerTimed(datapathSetup(s.feedAddress, s.controllerAddress, idle, d.Controllers,
		d.Seed))
}

// externalEngineLoad returns the load that the other controllers cause at one engine: the number of
// queries and the fraction of cores in use. The mean number is 3.7 queries, from 1,486 queries/s that run for
// 2.5 ms each. The number has a Poisson distribution because the queries arrive independently.
func externalEngineLoad(rng *rand.Rand) (queries int, cores float64) {
	const meanQueries = specifiedEngineRate * float64(lookupCPUTime) / float64(time.Second)
	for elapsed := rng.ExpFloat64(); elapsed < meanQueries; elapsed += rng.ExpFloat64() {
		queries++
	}
	return queries, min(1, float64(queries)/trialEngineConfig().Cores)
}

// startEmulators starts the engines and a feed that lists them.
func (s *datapathTestbed) startEmulators(ctx context.Context, engines int, seed uint64) error {
	var feedLog feed.Log
	var entries []feed.Engine
	for i := range engines {
		listener, err := engine.Listen(ctx, "127.0.0.1:0", trialEngineConfig(), false)
		if err != nil {
			return err
		}
		s.cleanups = append(s.cleanups, func() { listener.Close() })
		s.engines = append(s.engines, listener)
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		listener.WithServer(func(_ time.Duration, server *engine.Server) {
			server.ExternalLoad = func() (int, float64) { return externalEngineLoad(rng) }
		})
		entries = append(entries, feed.Engine{ID: fmt.Sprintf("engine-%04d", i), HostPort: listener.Addr().String(),
			Locality: "here", Flavor: "std", Cell: 1, Phase: "SERVING", Size: 1})
	}
	feedLog.Append(true, entries...)
	feedListener, err := feed.Listen(ctx, "127.0.0.1:0", &feedLog)
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, func() { feedListener.Close() })
	s.feedListener, s.feedAddress = feedListener, feedListener.Addr().String()
	return nil
}

// startControllerTimed starts the controller with a set-up file, waits until the controller is ready and sets
// startDuration.
func (s *datapathTestbed) startControllerTimed(setup string) error {
	path := filepath.Join(s.dir, "datapath.yaml")
	if err := os.WriteFile(path, []byte(setup), 0o600); err != nil {
		return err
	}
	s.command = exec.CommandContext(s.ctx, s.program, "serve", "--setup", path)
	s.command.Stderr = s.controllerTestbed.controllerLog
	start := time.Now()
	if err := s.command.Start(); err != nil {
		s.command = nil
		return err
	}
	const timeout, pollInterval = 20 * time.Second, 2 * time.Millisecond
	for ; time.Since(start) < timeout; time.Sleep(pollInterval) {
		if err := s.ctx.Err(); err != nil {
			return err
		}
		if isControllerReady(s.controllerAddress) {
			s.startDuration = time.Since(start)
			return nil
		}
	}
	return fmt.Errorf("controller was not ready within %v", timeout)
}

// isControllerReady reports whether the controller at an address is reachable and ready.
func isControllerReady(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	return requestReadiness(c) == nil
}

var errControllerNotReady = errors.New("controller reports that it is not ready")

// requestReadiness sends a readiness request on a connection and reads the answer. It returns
// errControllerNotReady if the controller isn't ready.
func requestReadiness(c net.Conn) error {
	c.SetDeadline(time.Now().Add(readinessTimeout))
	defer c.SetDeadline(time.Time{})
	if _, err := c.Write(client.AppendAliveRequest(nil, 1)); err != nil {
		return err
	}
	var received []byte
	for buffer := make([]byte, 256); ; {
		n, err := c.Read(buffer)
		if err != nil {
			return err
		}
		received = append(received, buffer[:n]...)
		answer, length, err := client.Read(received)
		switch {
		case err != nil:
			return err
		case length > 0 && !answer.Ready:
			return errControllerNotReady
		case length > 0:
			return nil
		}
	}
}

// readinessTimeout is the timeout of a readiness request. It is long because one step opens thousands of
// connections, each with a readiness request.
const readinessTimeout = 20 * time.Second

// datapathSnapshot holds the cumulative counters at one time.
type datapathSnapshot struct {
	at      time.Time
	process processUsage
	engines engine.Traffic
	feed    feed.Traffic
}

// snapshot reads the counters of the controller's process, the engines and the feed.
func (s *datapathTestbed) snapshot() (datapathSnapshot, error) {
	snapshot := datapathSnapshot{at: time.Now(), feed: s.feedListener.Traffic()}
	for _, e := range s.engines {
		snapshot.engines = snapshot.engines.Add(e.Traffic())
	}
	var err error
	snapshot.process, err = readProcessUsage(s.command.Process.Pid)
	return snapshot, err
}

// datapathUsage is the controller's usage between two snapshots. Rates are per second.
type datapathUsage struct {
	seconds              float64
	cpuMilliseconds      float64 // rate of CPU time
	residentMB           float64 // resident memory, median of the snapshots
	openConnections      float64 // connections to engines, median of the snapshots
	connectionsOpened    float64 // rate of new connections to engines
	probes               float64 // rate of health checks and load reports of engines
	enginesReached       float64 // engines that received queries, median of all seconds
	busiestEngineQueries float64 // queries of the engine with the most queries, median of all seconds
	// The fields below count the bytes that the controller sent and received per second, without TCP and IP
	// headers. The control traffic consists of the feed, the probes, and the polls of running queries.
	controlSent, controlReceived float64
	probesSent, probesReceived   float64
	pollsSent, pollsReceived     float64
	queriesSent, queriesReceived float64
}

// queriesPerEngine returns the number of queries that each engine has received so far.
func (s *datapathTestbed) queriesPerEngine() []int {
	counts := make([]int, len(s.engines))
	for i, e := range s.engines {
		counts[i] = e.Traffic().Requests[engine.Queries]
	}
	return counts
}

// queryDistribution compares the queries per engine at two times. It returns the number of engines that
// received queries between the two times, and the largest number of queries that one engine received.
func queryDistribution(before, after []int) (reached, most float64) {
	for i := range after {
		if n := after[i] - before[i]; n > 0 {
			reached++
			most = max(most, float64(n))
		}
	}
	return reached, most
}

// sleep waits for a duration. If the testbed's context ends earlier, sleep returns the context's error.
func (s *datapathTestbed) sleep(duration time.Duration) error {
	select {
	case <-s.ctx.Done():
		return s.ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// sample takes samplesPerSecond snapshots per second for a duration, and returns the usage between the first
// snapshot and the last.
func (s *datapathTestbed) sample(duration time.Duration) (datapathUsage, error) {
	const samplesPerSecond = 4
	const interval = time.Second / samplesPerSecond
	first, err := s.snapshot()
	if err != nil {
		return datapathUsage{}, err
	}
	last, lastQueries := first, s.queriesPerEngine()
	var residentMB, connections, reached, busiest []float64
	for deadline := first.at.Add(duration); time.Now().Before(deadline); {
		if err := s.sleep(interval); err != nil {
			return datapathUsage{}, err
		}
		if last, err = s.snapshot(); err != nil {
			return datapathUsage{}, err
		}
		residentMB, connections = append(residentMB, last.process.ResidentMB),
			append(connections, float64(last.engines.Open))
		if len(residentMB)%samplesPerSecond == 0 {
			queries := s.queriesPerEngine()
			engines, most := queryDistribution(lastQueries, queries)
			reached, busiest, lastQueries = append(reached, engines), append(busiest, most), queries
		}
	}
	usage := usageBetween(first, last)
	usage.residentMB, usage.openConnections = quantileOrZero(0.5, residentMB), quantileOrZero(0.5, connections)
	usage.enginesReached, usage.busiestEngineQueries = quantileOrZero(0.5, reached), quantileOrZero(0.5, busiest)
	return usage, nil
}

// quantileOrZero returns the empirical q-quantile of values, or 0 if there are none.
func quantileOrZero(q float64, values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return stat.Quantile(q, stat.Empirical, slices.Sorted(slices.Values(values)), nil)
}

// usageBetween returns the usage between two snapshots, in which all fields for medians are 0.
func usageBetween(first, last datapathSnapshot) datapathUsage {
	seconds := last.at.Sub(first.at).Seconds()
	rate := func(now, before int) float64 { return float64(now-before) / seconds }
	in := func(kind engine.TrafficKind) float64 {
		return rate(last.engines.BytesIn[kind], first.engines.BytesIn[kind])
	}
	out := func(kind engine.TrafficKind) float64 {
		return rate(last.engines.BytesOut[kind], first.engines.BytesOut[kind])
	}
	usage := datapathUsage{seconds: seconds,
		cpuMilliseconds:   float64(last.process.CPU-first.process.CPU) / float64(time.Millisecond) / seconds,
		connectionsOpened: rate(last.engines.Opened, first.engines.Opened),
		probes:            rate(last.engines.Requests[engine.Probes], first.engines.Requests[engine.Probes]),
		probesSent:        in(engine.Probes), probesReceived: out(engine.Probes),
		pollsSent: in(engine.Polls), pollsReceived: out(engine.Polls),
		queriesSent:     in(engine.Queries) + in(engine.ControlCalls),
		queriesReceived: out(engine.Queries) + out(engine.ControlCalls)}
	usage.controlSent = rate(last.feed.In, first.feed.In) + usage.probesSent + usage.pollsSent
	usage.controlReceived = rate(last.feed.Out, first.feed.Out) + usage.probesReceived + usage.pollsReceived
	return usage
}
