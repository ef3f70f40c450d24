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

// datapathTestbed is one controller before engines and a feed that count what they carry.
type datapathTestbed struct {
	controllerTestbed
	engines      []*engine.Listener
	feedListener *feed.Listener
	// started is from the start of the controller's process until it said that it had
	// the list of engines.
	startDuration time.Duration
}

// datapathLimits are what the controller's set-up allows it. A third of its descriptors
// are for clients: 7,414 of them ask for over 22,242.
const datapathLimits = "limits: {cores: 1, memory_mb: 512, sockets: 24000}"

// datapathSetup is the controller's set-up: two resource groups, two teams, no other part.
// idle is what it says of clients' connections, empty for the platform's figures.
func datapathSetup(feedAddress, listen, idle string, controllers int, seed uint64) string {
	var b strings.Builder
	f := trialEngineConfig()
	fmt.Fprintf(&b, "name: datapath\nlisten: %s\nfeed: %s\nseed: %x\nlog: warn\n%s\n", listen, feedAddress, seed, datapathLimits)
	fmt.Fprintf(&b, "engines: {controllers: %d, kinds: [{name: std, cores: %g, memory_mb: %g}]}\n", controllers, f.Cores, f.MemoryMB)
	b.WriteString("groups:\n")
	b.WriteString("  - {name: lookup, target: 1s, timeout: 30s, effect: read-only}\n")
	b.WriteString("  - {name: load, target: 3s, timeout: 30s, effect: mutating, in_order: true, load: true}\n")
	if idle != "" {
		fmt.Fprintf(&b, "clients: [{name: all, addresses: [127.0.0.0/8], idle: %s, message: 30s}]\n", idle)
	}
	b.WriteString("fairness: {fields: {team: team}, trusted: [127.0.0.0/8], teams: [{name: a, weight: 1}, {name: b, weight: 1}]}\n")
	return b.String()
}

// longIdleTimeout is the set-up's word for connections that are kept though nothing is asked.
const longIdleTimeout = "10m"

// start starts engines, a feed that lists them and a controller, and waits until it is ready.
func (d Datapath) start(ctx context.Context, engines int, idle string) (s *datapathTestbed, err error) {
	ctx, stop := context.WithCancel(ctx)
	s = &datapathTestbed{controllerTestbed: controllerTestbed{ctx: ctx, program: d.Program, controllerLog: d.ControllerLog, cleanups: []func(){stop}}}
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
	return s, s.startControllerTimed(datapathSetup(s.feedAddress, s.controllerAddress, idle, d.Controllers, d.Seed))
}

// externalEngineLoad is what an engine reports of the other controllers' queries: 1,486 a second of
// 2.5 ms are 3.7 at a time in the mean, spread as arrivals are that know nothing of each other.
func externalEngineLoad(rng *rand.Rand) (held int, cores float64) {
	const inTheMean = specifiedEngineRate * float64(lookupCPUTime) / float64(time.Second)
	for gap := rng.ExpFloat64(); gap < inTheMean; gap += rng.ExpFloat64() {
		held++
	}
	return held, min(1, float64(held)/trialEngineConfig().Cores)
}

// startEmulators starts the engines and the feed.
func (s *datapathTestbed) startEmulators(ctx context.Context, engines int, seed uint64) error {
	var log feed.Log
	var entries []feed.Engine
	for i := range engines {
		e, err := engine.Listen(ctx, "127.0.0.1:0", trialEngineConfig(), false)
		if err != nil {
			return err
		}
		s.cleanups = append(s.cleanups, func() { e.Close() })
		s.engines = append(s.engines, e)
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		e.WithServer(func(_ time.Duration, x *engine.Server) {
			x.ExternalLoad = func() (int, float64) { return externalEngineLoad(rng) }
		})
		entries = append(entries, feed.Engine{ID: fmt.Sprintf("engine-%04d", i), HostPort: e.Addr().String(), Locality: "here",
			Flavor: "std", Cell: 1, Phase: "SERVING", Size: 1})
	}
	log.Append(true, entries...)
	list, err := feed.Listen(ctx, "127.0.0.1:0", &log)
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, func() { list.Close() })
	s.feedListener, s.feedAddress = list, list.Addr().String()
	return nil
}

// startControllerTimed starts the controller's process on a set-up and waits until it has the list.
func (s *datapathTestbed) startControllerTimed(setup string) error {
	path := filepath.Join(s.dir, "datapath.yaml")
	if err := os.WriteFile(path, []byte(setup), 0o600); err != nil {
		return err
	}
	s.command = exec.CommandContext(s.ctx, s.program, "serve", "--setup", path)
	s.command.Stderr = s.controllerTestbed.controllerLog
	begun := time.Now()
	if err := s.command.Start(); err != nil {
		s.command = nil
		return err
	}
	const within, every = 20 * time.Second, 2 * time.Millisecond
	for ; time.Since(begun) < within; time.Sleep(every) {
		if err := s.ctx.Err(); err != nil {
			return err
		}
		if isControllerReady(s.controllerAddress) {
			s.startDuration = time.Since(begun)
			return nil
		}
	}
	return fmt.Errorf("the controller isn't ready after %v", within)
}

// isControllerReady asks a controller whether it is.
func isControllerReady(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	return requestReadiness(c) == nil
}

var errControllerNotReady = errors.New("the controller says that it isn't ready")

// requestReadiness asks on a connection whether a controller is ready, and reads the answer.
func requestReadiness(c net.Conn) error {
	c.SetDeadline(time.Now().Add(readinessTimeout))
	defer c.SetDeadline(time.Time{})
	if _, err := c.Write(client.AppendAliveRequest(nil, 1)); err != nil {
		return err
	}
	var in []byte
	for p := make([]byte, 256); ; {
		n, err := c.Read(p)
		if err != nil {
			return err
		}
		in = append(in, p[:n]...)
		answer, took, err := client.Read(in)
		switch {
		case err != nil:
			return err
		case took > 0 && !answer.Ready:
			return errControllerNotReady
		case took > 0:
			return nil
		}
	}
}

// readinessTimeout is how long an answer to whether a controller is ready may take: thousands
// ask in one step.
const readinessTimeout = 20 * time.Second

// datapathSnapshot is what was counted and spent up to a moment.
type datapathSnapshot struct {
	at      time.Time
	process processUsage
	engines engine.Traffic
	feed    feed.Traffic
}

func (s *datapathTestbed) snapshot() (datapathSnapshot, error) {
	now := datapathSnapshot{at: time.Now(), feed: s.feedListener.Traffic()}
	for _, e := range s.engines {
		now.engines = now.engines.Add(e.Traffic())
	}
	var err error
	now.process, err = readProcessUsage(s.command.Process.Pid)
	return now, err
}

// datapathUsage is what happened between two looks.
type datapathUsage struct {
	seconds              float64
	cpuMilliseconds      float64 // of processor time a second
	residentMB           float64 // MB resident, the median of the looks
	openConnections      float64 // to engines, the median of the looks
	connectionsOpened    float64 // connections to engines a second
	probes               float64 // looks at engines a second
	enginesReached       float64 // engines that queries came to in a second, the median
	busiestEngineQueries float64 // queries that the engine with the most of them had in a second, the median
	// Bytes a second as the controller sent and received them, without TCP and IP.
	// Control belongs to no query: list, looks and news of running queries.
	controlSent, controlReceived float64
	probesSent, probesReceived   float64
	pollsSent, pollsReceived     float64
	queriesSent, queriesReceived float64
}

// queriesPerEngine is how many queries each engine was sent so far.
func (s *datapathTestbed) queriesPerEngine() []int {
	calls := make([]int, len(s.engines))
	for i, e := range s.engines {
		calls[i] = e.Traffic().Requests[engine.Queries]
	}
	return calls
}

// queryDistribution is how many engines had queries between two counts, and the most that one had.
func queryDistribution(before, after []int) (reached, most float64) {
	for i := range after {
		if n := after[i] - before[i]; n > 0 {
			reached++
			most = max(most, float64(n))
		}
	}
	return reached, most
}

// sleep waits, but not once all is to end.
func (s *datapathTestbed) sleep(long time.Duration) error {
	select {
	case <-s.ctx.Done():
		return s.ctx.Err()
	case <-time.After(long):
		return nil
	}
}

// sample looks four times a second for a while.
func (s *datapathTestbed) sample(long time.Duration) (datapathUsage, error) {
	const looksASecond = 4
	const every = time.Second / looksASecond
	first, err := s.snapshot()
	if err != nil {
		return datapathUsage{}, err
	}
	last, counted := first, s.queriesPerEngine()
	var memory, connections, reached, crowded []float64
	for end := first.at.Add(long); time.Now().Before(end); {
		if err := s.sleep(every); err != nil {
			return datapathUsage{}, err
		}
		if last, err = s.snapshot(); err != nil {
			return datapathUsage{}, err
		}
		memory, connections = append(memory, last.process.ResidentMB), append(connections, float64(last.engines.Open))
		if len(memory)%looksASecond == 0 {
			now := s.queriesPerEngine()
			engines, most := queryDistribution(counted, now)
			reached, crowded, counted = append(reached, engines), append(crowded, most), now
		}
	}
	x := usageBetween(first, last)
	x.residentMB, x.openConnections = quantileOrZero(0.5, memory), quantileOrZero(0.5, connections)
	x.enginesReached, x.busiestEngineQueries = quantileOrZero(0.5, reached), quantileOrZero(0.5, crowded)
	return x, nil
}

// quantileOrZero is a figure that a part of the values are not above, 0 of none.
func quantileOrZero(part float64, values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return stat.Quantile(part, stat.Empirical, slices.Sorted(slices.Values(values)), nil)
}

// usageBetween is what two looks differ by.
func usageBetween(first, last datapathSnapshot) datapathUsage {
	seconds := last.at.Sub(first.at).Seconds()
	rate := func(now, before int) float64 { return float64(now-before) / seconds }
	in := func(kind engine.TrafficKind) float64 {
		return rate(last.engines.BytesIn[kind], first.engines.BytesIn[kind])
	}
	out := func(kind engine.TrafficKind) float64 {
		return rate(last.engines.BytesOut[kind], first.engines.BytesOut[kind])
	}
	x := datapathUsage{seconds: seconds,
		cpuMilliseconds:   float64(last.process.CPU-first.process.CPU) / float64(time.Millisecond) / seconds,
		connectionsOpened: rate(last.engines.Opened, first.engines.Opened),
		probes:            rate(last.engines.Requests[engine.Probes], first.engines.Requests[engine.Probes]),
		probesSent:        in(engine.Probes), probesReceived: out(engine.Probes),
		pollsSent: in(engine.Polls), pollsReceived: out(engine.Polls),
		queriesSent:     in(engine.Queries) + in(engine.ControlCalls),
		queriesReceived: out(engine.Queries) + out(engine.ControlCalls)}
	x.controlSent = rate(last.feed.In, first.feed.In) + x.probesSent + x.pollsSent
	x.controlReceived = rate(last.feed.Out, first.feed.Out) + x.probesReceived + x.pollsReceived
	return x
}
