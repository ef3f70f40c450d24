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

// loss is a way of losing an engine.
type loss struct {
	name string
	lose func(*engine.Listener)
}

var losses = []loss{
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
	// loadEvery is how often a load is asked for.
	loadEvery = 100 * time.Millisecond
	// loadTakes is how long one runs.
	loadTakes = 50 * time.Millisecond
	// chainLength is how many loads one after the other at one engine make its chain.
	chainLength = 5
	// takeoverMost is how long a chain may be without an engine.
	takeoverMost = 30 * time.Second
)

var errNoChain = errors.New("no engine took the table group's loads over")

// posted is a load that came to run at an engine.
type posted struct {
	engine int
	at     time.Time
}

// loads asks for loads of one table group, one after the other.
type loads struct {
	net.Conn
	mu    sync.Mutex
	asked map[uint32]time.Time
	ended []endedLoad
}

// endedLoad is a load's answer.
type endedLoad struct {
	asked time.Time
	took  time.Duration
	kind  client.Kind
}

func (l *loads) ask(ctx context.Context) {
	statement := engine.Statement(engine.Work{Threads: 1, CPU: loadTakes, MemoryMB: 1, TableGroup: 7, Load: true, Rows: 1, PlanFactor: 1})
	every := time.NewTicker(loadEvery)
	defer every.Stop()
	for number := uint32(1); ; number++ {
		select {
		case <-ctx.Done():
			return
		case now := <-every.C:
			l.mu.Lock()
			l.asked[number] = now
			l.mu.Unlock()
		}
		trace := fmt.Sprintf("%016x", number)
		l.Write(client.AppendQuery(nil, number, "load", statement, "trace", trace, "patience", "20000", "entity", trace, "team", "a"))
	}
}

func (l *loads) take(answer client.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if asked, is := l.asked[answer.Msg]; is {
		delete(l.asked, answer.Msg)
		l.ended = append(l.ended, endedLoad{asked, time.Since(asked), answer.Kind})
	}
}

// between is the longest that a load asked for between two moments took to its answer, and
// how many were not carried out; false while one of them has none.
func (l *loads) between(from, to time.Time) (worst time.Duration, failed int, all bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	within := func(at time.Time) bool { return !at.Before(from) && !at.After(to) }
	for _, at := range l.asked {
		if within(at) {
			return 0, 0, false
		}
	}
	for _, x := range l.ended {
		if within(x.asked) {
			worst = max(worst, x.took)
			if x.kind != client.Finished {
				failed++
			}
		}
	}
	return worst, failed, true
}

// takeover loses the engine of a chain in each way, and keeps how soon another had it.
func (d Datapath) takeover(ctx context.Context, b *book) error {
	for _, way := range losses {
		if err := d.takeoverBy(ctx, b, way); err != nil {
			return fmt.Errorf("an engine that is %s: %w", way.name, err)
		}
	}
	return nil
}

func (d Datapath) takeoverBy(ctx context.Context, b *book, way loss) error {
	s, err := d.begin(ctx, d.allEngines(), keptIdle)
	if err != nil {
		return err
	}
	defer s.close()
	came := make(chan posted, 1024)
	for i, e := range s.engines {
		e.WithServer(func(_ time.Duration, x *engine.Server) {
			x.OnSubmit = func(string, string, int, time.Duration) {
				select {
				case came <- posted{i, time.Now()}:
				default: // nobody waits for it
				}
			}
		})
	}
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		return err
	}
	defer c.Close()
	l := &loads{Conn: c, asked: map[uint32]time.Time{}}
	asking, stop := context.WithCancel(ctx)
	defer stop()
	go client.ReadAll(l, l.take)
	go l.ask(asking)
	for round := range uint64(takeoverRounds) {
		if err := d.takeoverOnce(b, way, s, l, came, round); err != nil {
			return err
		}
	}
	return nil
}

func (d Datapath) takeoverOnce(b *book, way loss, s *datapathStage, l *loads, came <-chan posted, round uint64) error {
	lost, err := chainOf(s.ctx, came)
	if err != nil {
		return err
	}
	begun := time.Now()
	way.lose(s.engines[lost])
	next, err := nextElsewhere(s.ctx, came, lost, begun)
	if err != nil {
		return err
	}
	b.addSeed("takeover "+way.name, d.allEngines(), d.Seed+round, float64(next.Sub(begun))/float64(time.Millisecond), "ms")
	for end := time.Now().Add(takeoverMost); time.Now().Before(end); {
		if err := s.pause(loadEvery); err != nil {
			return err
		}
		worst, failed, all := l.between(begun.Add(-loadEvery), next)
		if all {
			b.addSeed("takeover "+way.name+" answer", d.allEngines(), d.Seed+round, float64(worst)/float64(time.Millisecond), "ms")
			b.addSeed("takeover "+way.name+" failed", d.allEngines(), d.Seed+round, float64(failed), "loads")
			return nil
		}
	}
	return errNoChain
}

// chainOf waits until some loads one after the other came to one engine.
func chainOf(ctx context.Context, came <-chan posted) (int, error) {
	most := time.After(takeoverMost)
	last, length := -1, 0
	for length < chainLength {
		select {
		case p := <-came:
			if p.engine != last {
				last, length = p.engine, 0
			}
			length++
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-most:
			return 0, errNoChain
		}
	}
	return last, nil
}

// nextElsewhere waits for the first load after a moment at another engine.
func nextElsewhere(ctx context.Context, came <-chan posted, lost int, after time.Time) (time.Time, error) {
	most := time.After(takeoverMost)
	for {
		select {
		case p := <-came:
			if p.engine != lost && p.at.After(after) {
				return p.at, nil
			}
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		case <-most:
			return time.Time{}, errNoChain
		}
	}
}
