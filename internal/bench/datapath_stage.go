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

// datapathStage is one controller before engines and a feed that count what they carry.
type datapathStage struct {
	stage
	engines []*engine.Listener
	list    *feed.Listener
	// started is from the start of the controller's process until it said that it had
	// the list of engines.
	started time.Duration
}

// datapathLimits are what the controller's set-up allows it. A third of its descriptors
// are for clients: 7,414 of them ask for over 22,242.
const datapathLimits = "limits: {cores: 1, memory_mb: 512, sockets: 24000}"

// datapathSetup is the controller's set-up: two resource groups, two teams, no other part.
// idle is what it says of clients' connections, empty for the platform's figures.
func datapathSetup(feedAddress, listen, idle string, controllers int, seed uint64) string {
	var b strings.Builder
	f := trialEngine()
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

// keptIdle is the set-up's word for connections that are kept though nothing is asked.
const keptIdle = "10m"

// begin starts engines, a feed that lists them and a controller, and waits until it is ready.
func (d Datapath) begin(ctx context.Context, engines int, idle string) (s *datapathStage, err error) {
	ctx, stop := context.WithCancel(ctx)
	s = &datapathStage{stage: stage{ctx: ctx, program: d.Program, log: d.Log, closers: []func(){stop}}}
	defer func() {
		if err != nil {
			s.close()
			s = nil
		}
	}()
	if err := s.listen(ctx, engines, d.Seed); err != nil {
		return s, err
	}
	if s.address, err = loopback.FreeAddress(); err != nil {
		return s, err
	}
	if s.dir, err = os.MkdirTemp("", "railrelay-datapath"); err != nil {
		return s, err
	}
	s.closers = append(s.closers, func() { os.RemoveAll(s.dir) })
	return s, s.run(datapathSetup(s.feed, s.address, idle, d.Controllers, d.Seed))
}

// othersLoad is what an engine reports of the other controllers' queries: 1,486 a second of
// 2.5 ms are 3.7 at a time in the mean, spread as arrivals are that know nothing of each other.
func othersLoad(rng *rand.Rand) (held int, cores float64) {
	const inTheMean = letterRateAnEngine * float64(lookupTakes) / float64(time.Second)
	for gap := rng.ExpFloat64(); gap < inTheMean; gap += rng.ExpFloat64() {
		held++
	}
	return held, min(1, float64(held)/trialEngine().Cores)
}

// listen starts the engines and the feed.
func (s *datapathStage) listen(ctx context.Context, engines int, seed uint64) error {
	var log feed.Log
	var entries []feed.Engine
	for i := range engines {
		e, err := engine.Listen(ctx, "127.0.0.1:0", trialEngine(), false)
		if err != nil {
			return err
		}
		s.closers = append(s.closers, func() { e.Close() })
		s.engines = append(s.engines, e)
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		e.WithServer(func(_ time.Duration, x *engine.Server) {
			x.ExternalLoad = func() (int, float64) { return othersLoad(rng) }
		})
		entries = append(entries, feed.Engine{ID: fmt.Sprintf("engine-%04d", i), HostPort: e.Addr().String(), Locality: "here",
			Flavor: "std", Cell: 1, Phase: "SERVING", Size: 1})
	}
	log.Append(true, entries...)
	list, err := feed.Listen(ctx, "127.0.0.1:0", &log)
	if err != nil {
		return err
	}
	s.closers = append(s.closers, func() { list.Close() })
	s.list, s.feed = list, list.Addr().String()
	return nil
}

// run starts the controller's process on a set-up and waits until it has the list.
func (s *datapathStage) run(setup string) error {
	path := filepath.Join(s.dir, "datapath.yaml")
	if err := os.WriteFile(path, []byte(setup), 0o600); err != nil {
		return err
	}
	s.running = exec.CommandContext(s.ctx, s.program, "serve", "--setup", path)
	s.running.Stderr = s.stage.log
	begun := time.Now()
	if err := s.running.Start(); err != nil {
		s.running = nil
		return err
	}
	const within, every = 20 * time.Second, 2 * time.Millisecond
	for ; time.Since(begun) < within; time.Sleep(every) {
		if err := s.ctx.Err(); err != nil {
			return err
		}
		if isReady(s.address) {
			s.started = time.Since(begun)
			return nil
		}
	}
	return fmt.Errorf("the controller isn't ready after %v", within)
}

// isReady asks a controller whether it is.
func isReady(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	return askAlive(c) == nil
}

var errNotReady = errors.New("the controller says that it isn't ready")

// askAlive asks on a connection whether a controller is ready, and reads the answer.
func askAlive(c net.Conn) error {
	c.SetDeadline(time.Now().Add(aliveMost))
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
			return errNotReady
		case took > 0:
			return nil
		}
	}
}

// aliveMost is how long an answer to whether a controller is ready may take: thousands
// ask in one step.
const aliveMost = 20 * time.Second

// sight is what was counted and spent up to a moment.
type sight struct {
	at      time.Time
	used    processUsage
	traffic engine.Traffic
	list    feed.Traffic
}

func (s *datapathStage) look() (sight, error) {
	now := sight{at: time.Now(), list: s.list.Traffic()}
	for _, e := range s.engines {
		now.traffic = now.traffic.Add(e.Traffic())
	}
	var err error
	now.used, err = readProcessUsage(s.running.Process.Pid)
	return now, err
}

// spend is what happened between two looks.
type spend struct {
	seconds     float64
	cpuMs       float64 // of processor time a second
	memory      float64 // MB resident, the median of the looks
	connections float64 // to engines, the median of the looks
	opened      float64 // connections to engines a second
	probes      float64 // looks at engines a second
	reached     float64 // engines that queries came to in a second, the median
	crowded     float64 // queries that the engine with the most of them had in a second, the median
	// Bytes a second as the controller sent and received them, without TCP and IP.
	// Control belongs to no query: list, looks and news of running queries.
	controlSent, controlReceived float64
	probesSent, probesReceived   float64
	newsSent, newsReceived       float64
	queriesSent, queriesReceived float64
}

// queriesByEngine is how many queries each engine was sent so far.
func (s *datapathStage) queriesByEngine() []int {
	calls := make([]int, len(s.engines))
	for i, e := range s.engines {
		calls[i] = e.Traffic().Requests[engine.Queries]
	}
	return calls
}

// spread is how many engines had queries between two counts, and the most that one had.
func spread(before, after []int) (reached, most float64) {
	for i := range after {
		if n := after[i] - before[i]; n > 0 {
			reached++
			most = max(most, float64(n))
		}
	}
	return reached, most
}

// pause waits, but not once all is to end.
func (s *datapathStage) pause(long time.Duration) error {
	select {
	case <-s.ctx.Done():
		return s.ctx.Err()
	case <-time.After(long):
		return nil
	}
}

// watch looks four times a second for a while.
func (s *datapathStage) watch(long time.Duration) (spend, error) {
	const looksASecond = 4
	const every = time.Second / looksASecond
	first, err := s.look()
	if err != nil {
		return spend{}, err
	}
	last, counted := first, s.queriesByEngine()
	var memory, connections, reached, crowded []float64
	for end := first.at.Add(long); time.Now().Before(end); {
		if err := s.pause(every); err != nil {
			return spend{}, err
		}
		if last, err = s.look(); err != nil {
			return spend{}, err
		}
		memory, connections = append(memory, last.used.ResidentMB), append(connections, float64(last.traffic.Open))
		if len(memory)%looksASecond == 0 {
			now := s.queriesByEngine()
			engines, most := spread(counted, now)
			reached, crowded, counted = append(reached, engines), append(crowded, most), now
		}
	}
	x := between(first, last)
	x.memory, x.connections = quantileOf(0.5, memory), quantileOf(0.5, connections)
	x.reached, x.crowded = quantileOf(0.5, reached), quantileOf(0.5, crowded)
	return x, nil
}

// quantileOf is a figure that a part of the values are not above, 0 of none.
func quantileOf(part float64, values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return stat.Quantile(part, stat.Empirical, slices.Sorted(slices.Values(values)), nil)
}

// between is what two looks differ by.
func between(first, last sight) spend {
	seconds := last.at.Sub(first.at).Seconds()
	rate := func(now, before int) float64 { return float64(now-before) / seconds }
	in := func(kind engine.TrafficKind) float64 {
		return rate(last.traffic.BytesIn[kind], first.traffic.BytesIn[kind])
	}
	out := func(kind engine.TrafficKind) float64 {
		return rate(last.traffic.BytesOut[kind], first.traffic.BytesOut[kind])
	}
	x := spend{seconds: seconds,
		cpuMs:      float64(last.used.CPU-first.used.CPU) / float64(time.Millisecond) / seconds,
		opened:     rate(last.traffic.Opened, first.traffic.Opened),
		probes:     rate(last.traffic.Requests[engine.Probes], first.traffic.Requests[engine.Probes]),
		probesSent: in(engine.Probes), probesReceived: out(engine.Probes),
		newsSent: in(engine.Polls), newsReceived: out(engine.Polls),
		queriesSent:     in(engine.Queries) + in(engine.ControlCalls),
		queriesReceived: out(engine.Queries) + out(engine.ControlCalls)}
	x.controlSent = rate(last.list.In, first.list.In) + x.probesSent + x.newsSent
	x.controlReceived = rate(last.list.Out, first.list.Out) + x.probesReceived + x.newsReceived
	return x
}
