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
	Program     string // the built railrelay
	Controllers int    // that its set-up says share the engines
	Engines     []int  // sizes that it idles before; the last is used for all else
	Rates       []int  // queries a second
	Clients     []int  // sizes of the steps of idle connections
	Rest        time.Duration
	Seed        uint64
	Log         io.Writer // of the controller
}

// UsualDatapath are the sizes of docs/CAPACITY.md.
func UsualDatapath() Datapath {
	return Datapath{Program: "bin/railrelay", Controllers: 580, Engines: []int{1, 10, 100, 740},
		Rates: []int{740, 1897, 3700, 7400, 74000}, Clients: []int{200, 1000, 2000, 4000, 7414}, Rest: 10 * time.Second, Seed: 1, Log: os.Stderr}
}

const (
	// controllerRole is the role of all rows.
	controllerRole = "controller"
	// askingClients is how many connections queries are asked on.
	askingClients = 200
	// letterRate is the queries a second that a controller has in the mean.
	letterRate = 1897
	// letterRateAnEngine is the queries a second that an engine has of all controllers.
	letterRateAnEngine = 1486
	// linesMost bounds the connections to one engine that room is kept for.
	linesMost = 4
	// spareDescriptors are for the feed, the runtime and the like.
	spareDescriptors = 128
	// settles is what a change of load is given before it is looked at.
	settles = 3 * time.Second
	// clientMB and engineMB are the memory that a client's and an engine's stand-in are
	// reckoned with before anything starts.
	clientMB, engineMB = 0.05, 0.5
	// memoryPart is the part of the machine's memory that a measurement may take.
	memoryPart = 0.5
)

// sizes tells whether each is 1 or more, and there is one.
func sizes(what string, all []int) error {
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
	if d.Rest < time.Second {
		return &capacity.SizeError{What: "rest", Why: fmt.Sprintf("%v is under a second", d.Rest)}
	}
	for what, all := range map[string][]int{"engines": d.Engines, "rates": d.Rates, "clients": d.Clients} {
		if err := sizes(what, all); err != nil {
			return err
		}
	}
	engines, clients := slices.Max(d.Engines), max(slices.Max(d.Clients), askingClients)
	if err := capacity.CheckDescriptors(clients + engines*(1+linesMost) + spareDescriptors); err != nil {
		return err
	}
	return capacity.CheckMemory(float64(clients)*clientMB+float64(engines)*engineMB, memoryPart)
}

// Measure plays all parts and gives their figures; a part is told to out as it ends.
func (d Datapath) Measure(ctx context.Context, out io.Writer) ([]capacity.Row, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	b := &book{seed: d.Seed, machine: capacity.Machine(), commit: capacity.Commit(), out: out}
	parts := []func(context.Context, *book) error{d.idle, d.quiet, d.idleClients, d.queries, d.letter, d.takeover}
	for _, part := range parts {
		if err := part(ctx, b); err != nil {
			return b.rows, err
		}
	}
	return b.rows, nil
}

// book gathers the rows of a run.
type book struct {
	seed            uint64
	machine, commit string
	rows            []capacity.Row
	out             io.Writer
}

// add keeps a figure and tells it.
func (b *book) add(what string, size int, value float64, unit string) {
	b.addSeed(what, size, b.seed, value, unit)
}

func (b *book) addSeed(what string, size int, seed uint64, value float64, unit string) {
	b.rows = append(b.rows, capacity.Row{Role: controllerRole, What: what, Size: size, Seed: seed, Value: value, Unit: unit,
		Machine: b.machine, Commit: b.commit})
	fmt.Fprintf(b.out, "%-34s %6d %14.3f %s\n", what, size, value, unit)
}

// addSpend keeps what a watch saw, its names begun alike.
func (b *book) addSpend(begin string, size int, x spend) {
	b.add(begin+" memory", size, x.memory, "MB")
	b.add(begin+" cpu", size, x.cpuMs, "ms/s")
	b.add(begin+" control sent", size, x.controlSent, "bytes/s")
	b.add(begin+" control received", size, x.controlReceived, "bytes/s")
	b.add(begin+" engine connections", size, x.connections, "connections")
	b.add(begin+" engine connections opened", size, x.opened, "connections/s")
}

// idle is a controller with nothing to do before engines of each size.
func (d Datapath) idle(ctx context.Context, b *book) error {
	for _, engines := range d.Engines {
		if err := d.idleBefore(ctx, b, engines); err != nil {
			return err
		}
	}
	return nil
}

func (d Datapath) idleBefore(ctx context.Context, b *book, engines int) (err error) {
	s, err := d.begin(ctx, engines, keptIdle)
	if err != nil {
		return err
	}
	defer s.close()
	b.add("start time", engines, float64(s.started)/float64(time.Millisecond), "ms")
	b.add("start list", engines, float64(s.list.Traffic().Events), "bytes")
	if err := s.pause(settles); err != nil {
		return err
	}
	x, err := s.watch(d.Rest)
	if err != nil {
		return err
	}
	b.addSpend("idle", engines, x)
	return s.end()
}

// quiet is how long clients that say nothing are kept by the platform's figures.
func (d Datapath) quiet(ctx context.Context, b *book) error {
	s, err := d.begin(ctx, 1, "")
	if err != nil {
		return err
	}
	defer s.close()
	clients, err := connectIdle(ctx, s.address, askingClients)
	if err != nil {
		return err
	}
	defer clients.close()
	const patience = 15 * time.Second
	closed := clients.closedAfter(patience)
	b.add("quiet closed", askingClients, float64(len(closed)), "connections")
	if len(closed) > 0 {
		b.add("quiet first closed", askingClients, slices.Min(closed), "s")
		b.add("quiet last closed", askingClients, slices.Max(closed), "s")
	}
	return s.end()
}

// idleClients is a controller before all engines with clients that ask nothing, each size
// on a process of its own.
func (d Datapath) idleClients(ctx context.Context, b *book) error {
	for _, n := range d.Clients {
		if err := d.idleWith(ctx, b, n); err != nil {
			return err
		}
	}
	return nil
}

func (d Datapath) idleWith(ctx context.Context, b *book, n int) error {
	s, err := d.begin(ctx, d.allEngines(), keptIdle)
	if err != nil {
		return err
	}
	defer s.close()
	before, err := s.look()
	if err != nil {
		return err
	}
	clients, err := connectIdle(ctx, s.address, n)
	if err != nil {
		return err
	}
	defer clients.close()
	after, err := s.look()
	if err != nil {
		return err
	}
	b.add("clients step time", n, float64(clients.took)/float64(time.Millisecond), "ms")
	b.add("clients step cpu", n, float64(after.used.CPU-before.used.CPU)/float64(time.Millisecond), "ms")
	if err := s.pause(settles); err != nil {
		return err
	}
	x, err := s.watch(d.Rest)
	if err != nil {
		return err
	}
	b.add("clients memory", n, x.memory, "MB")
	b.add("clients cpu", n, x.cpuMs, "ms/s")
	return s.end()
}

func (d Datapath) allEngines() int { return slices.Max(d.Engines) }

// queries is a controller before all engines at each rate.
func (d Datapath) queries(ctx context.Context, b *book) error {
	for _, rate := range d.Rates {
		if err := d.queriesAt(ctx, b, "queries", rate, rate, askingClients); err != nil {
			return err
		}
	}
	return nil
}

// letter is the letter's point: its rate over as many clients as the largest step.
func (d Datapath) letter(ctx context.Context, b *book) error {
	n := slices.Max(d.Clients)
	return d.queriesAt(ctx, b, "letter", n, letterRate, n)
}

func (d Datapath) queriesAt(ctx context.Context, b *book, begin string, size, rate, clients int) error {
	s, err := d.begin(ctx, d.allEngines(), keptIdle)
	if err != nil {
		return err
	}
	defer s.close()
	open, err := connectIdle(ctx, s.address, clients)
	if err != nil {
		return err
	}
	defer open.close()
	var seen offered
	x, err := s.watchQueries(open.all, float64(rate), d.Seed, d.Rest, &seen)
	if err != nil {
		return err
	}
	b.addSpend(begin, size, x)
	d.addQueries(b, begin, size, x, &seen)
	return s.end()
}

// watchQueries offers queries, and watches once they have settled.
func (s *datapathStage) watchQueries(clients []net.Conn, rate float64, seed uint64, long time.Duration, seen *offered) (spend, error) {
	ctx, stop := context.WithCancel(s.ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- offer(ctx, clients, rate, seed, seen) }()
	if err := s.pause(settles); err != nil {
		return spend{}, err
	}
	seen.restart()
	x, err := s.watch(long)
	stop()
	if fault := <-ended; fault != nil {
		return x, fault
	}
	return x, err
}

func (d Datapath) addQueries(b *book, begin string, size int, x spend, seen *offered) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	finished := float64(seen.finished) / x.seconds
	b.add(begin+" asked", size, float64(seen.asked)/x.seconds, "queries/s")
	b.add(begin+" finished", size, finished, "queries/s")
	b.add(begin+" deferred", size, float64(seen.deferred)/x.seconds, "queries/s")
	b.add(begin+" killed", size, float64(seen.killed)/x.seconds, "queries/s")
	if seen.finished > 0 {
		b.add(begin+" p50", size, quantileOf(0.5, seen.latencies), "ms")
		b.add(begin+" p99", size, quantileOf(0.99, seen.latencies), "ms")
		b.add(begin+" cpu each", size, x.cpuMs*1000/finished, "us")
		b.add(begin+" looks each", size, x.probes/finished, "looks/query")
	}
	b.add(begin+" looks", size, x.probes, "looks/s")
	b.add(begin+" looks an engine", size, x.probes/float64(d.allEngines()), "looks/s")
	b.add(begin+" engines reached", size, x.reached, "engines in 1 s")
	b.add(begin+" engine most", size, x.crowded, "queries in 1 s")
	b.add(begin+" looks sent", size, x.probesSent, "bytes/s")
	b.add(begin+" looks received", size, x.probesReceived, "bytes/s")
	b.add(begin+" news sent", size, x.newsSent, "bytes/s")
	b.add(begin+" news received", size, x.newsReceived, "bytes/s")
	b.add(begin+" own sent", size, x.queriesSent, "bytes/s")
	b.add(begin+" own received", size, x.queriesReceived, "bytes/s")
}
