package bench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
)

// A table group's loads follow one another at one engine, their chain's. takeover is how
// soon another engine has the chain once that one is lost. The list of engines says
// nothing of it, so the controller has to find out by itself.

// engineFailure is a way of losing an engine.
type engineFailure struct {
	name string
	fail func(*engine.Listener)
}

var engineFailures = []engineFailure{
	// its process ends: connections are closed, new ones refused
	{"killed", func(e *engine.Listener) { e.Close() }},
	// its machine is cut off: connections stay open, nothing answers
	{"silent", func(e *engine.Listener) {
		e.WithServer(func(now time.Duration, s *engine.Server) { s.SetUnreachable(now, true) })
	}},
}

const (
	// takeoverRounds is how many engines are lost in each way.
	takeoverRounds = 3
	// loadInterval is how often a load is asked for.
	loadInterval = 100 * time.Millisecond
	// loadCPUTime is how long one runs.
	loadCPUTime = 50 * time.Millisecond
	// minChainLength is how many loads one after the other at one engine make its chain.
	minChainLength = 5
	// takeoverTimeout is how long a chain may be without an engine.
	takeoverTimeout = 30 * time.Second
)

var errNoTakeover = errors.New("no engine took the table group's loads over")

// submittedLoad is a load that came to run at an engine.
type submittedLoad struct {
	engine      int
	submittedAt time.Time
}

// loadClient asks for loads of one table group, one after the other.
type loadClient struct {
	net.Conn
	mu        sync.Mutex
	submitted map[uint32]time.Time
	answered  []answeredLoad
}

// answeredLoad is a load's answer.
type answeredLoad struct {
	submittedAt time.Time
	latency     time.Duration
	kind        client.Kind
}

func (l *loadClient) submitUntilDone(ctx context.Context) {
	statement := engine.Statement(engine.Work{Threads: 1, CPU: loadCPUTime, MemoryMB: 1, TableGroup: 7, Load: true, Rows: 1, PlanFactor: 1})
	every := time.NewTicker(loadInterval)
	defer every.Stop()
	for number := uint32(1); ; number++ {
		select {
		case <-ctx.Done():
			return
		case now := <-every.C:
			l.mu.Lock()
			l.submitted[number] = now
			l.mu.Unlock()
		}
		trace := fmt.Sprintf("%016x", number)
		l.Write(client.AppendQuery(nil, number, "load", statement, "trace", trace, "patience", "20000", "entity", trace, "team", "a"))
	}
}

func (l *loadClient) handleAnswer(answer client.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if asked, is := l.submitted[answer.Msg]; is {
		delete(l.submitted, answer.Msg)
		l.answered = append(l.answered, answeredLoad{asked, time.Since(asked), answer.Kind})
	}
}

// latencyBetween is the longest that a load asked for between two moments took to its answer, and
// how many were not carried out; false while one of them has none.
func (l *loadClient) latencyBetween(from, to time.Time) (worst time.Duration, failed int, all bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	within := func(at time.Time) bool { return !at.Before(from) && !at.After(to) }
	for _, at := range l.submitted {
		if within(at) {
			return 0, 0, false
		}
	}
	for _, x := range l.answered {
		if within(x.submittedAt) {
			worst = max(worst, x.latency)
			if x.kind != client.Finished {
				failed++
			}
		}
	}
	return worst, failed, true
}

// measureTakeovers loses the engine of a chain in each way, and keeps how soon another had it.
func (d Datapath) measureTakeovers(ctx context.Context, b *datapathRecorder) error {
	for _, way := range engineFailures {
		if err := d.measureTakeoverAfter(ctx, b, way); err != nil {
			return fmt.Errorf("an engine that is %s: %w", way.name, err)
		}
	}
	return nil
}

func (d Datapath) measureTakeoverAfter(ctx context.Context, b *datapathRecorder, way engineFailure) error {
	s, err := d.start(ctx, d.maxEngines(), longIdleTimeout)
	if err != nil {
		return err
	}
	defer s.close()
	came := make(chan submittedLoad, 1024)
	for i, e := range s.engines {
		e.WithServer(func(_ time.Duration, x *engine.Server) {
			x.OnSubmit = func(string, string, int, time.Duration) {
				select {
				case came <- submittedLoad{i, time.Now()}:
				default: // nobody waits for it
				}
			}
		})
	}
	c, err := net.Dial("tcp", s.controllerAddress)
	if err != nil {
		return err
	}
	defer c.Close()
	l := &loadClient{Conn: c, submitted: map[uint32]time.Time{}}
	asking, stop := context.WithCancel(ctx)
	defer stop()
	go client.ReadAll(l, l.handleAnswer)
	go l.submitUntilDone(asking)
	for round := range uint64(takeoverRounds) {
		if err := d.measureTakeoverRound(b, way, s, l, came, round); err != nil {
			return err
		}
	}
	return nil
}

func (d Datapath) measureTakeoverRound(b *datapathRecorder, way engineFailure, s *datapathTestbed, l *loadClient, came <-chan submittedLoad, round uint64) error {
	lost, err := waitForChain(s.ctx, came)
	if err != nil {
		return err
	}
	begun := time.Now()
	way.fail(s.engines[lost])
	next, err := waitForTakeover(s.ctx, came, lost, begun)
	if err != nil {
		return err
	}
	b.recordWithSeed("takeover "+way.name, d.maxEngines(), d.Seed+round, float64(next.Sub(begun))/float64(time.Millisecond), "ms")
	for end := time.Now().Add(takeoverTimeout); time.Now().Before(end); {
		if err := s.sleep(loadInterval); err != nil {
			return err
		}
		worst, failed, all := l.latencyBetween(begun.Add(-loadInterval), next)
		if all {
			b.recordWithSeed("takeover "+way.name+" answer", d.maxEngines(), d.Seed+round, float64(worst)/float64(time.Millisecond), "ms")
			b.recordWithSeed("takeover "+way.name+" failed", d.maxEngines(), d.Seed+round, float64(failed), "loads")
			return nil
		}
	}
	return errNoTakeover
}

// waitForChain waits until some loads one after the other came to one engine.
func waitForChain(ctx context.Context, came <-chan submittedLoad) (int, error) {
	most := time.After(takeoverTimeout)
	last, length := -1, 0
	for length < minChainLength {
		select {
		case p := <-came:
			if p.engine != last {
				last, length = p.engine, 0
			}
			length++
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-most:
			return 0, errNoTakeover
		}
	}
	return last, nil
}

// waitForTakeover waits for the first load after a moment at another engine.
func waitForTakeover(ctx context.Context, came <-chan submittedLoad, lost int, after time.Time) (time.Time, error) {
	most := time.After(takeoverTimeout)
	for {
		select {
		case p := <-came:
			if p.engine != lost && p.submittedAt.After(after) {
				return p.submittedAt, nil
			}
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		case <-most:
			return time.Time{}, errNoTakeover
		}
	}
}
