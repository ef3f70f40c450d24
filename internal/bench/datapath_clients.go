package bench

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
)

// idleClients are connections that have asked whether the controller is ready, and no more.
type idleClients struct {
	all  []net.Conn
	took time.Duration // from the first dial until the last had its answer
}

func (c *idleClients) close() {
	for _, x := range c.all {
		x.Close()
	}
}

// connectIdle opens so many connections in one step, of which dialsAtOnce come up at a time.
func connectIdle(ctx context.Context, address string, n int) (*idleClients, error) {
	const dialsAtOnce = 256
	begun := time.Now()
	clients := &idleClients{all: make([]net.Conn, 0, n)}
	var mu sync.Mutex
	var faults []error
	turns := make(chan struct{}, dialsAtOnce)
	var all sync.WaitGroup
	for range n {
		turns <- struct{}{}
		all.Go(func() {
			defer func() { <-turns }()
			var dialer net.Dialer
			c, err := dialer.DialContext(ctx, "tcp", address)
			if err == nil {
				err = askAlive(c)
			}
			mu.Lock()
			defer mu.Unlock()
			if c != nil {
				clients.all = append(clients.all, c)
			}
			if err != nil {
				faults = append(faults, err)
			}
		})
	}
	all.Wait()
	clients.took = time.Since(begun)
	if len(faults) > 0 {
		clients.close()
		return nil, fmt.Errorf("%d of %d clients found no controller, the first: %w", len(faults), n, faults[0])
	}
	return clients, nil
}

// closedAfter waits for the controller to close the connections, and gives when it closed
// each, from now on; those still open after most are left out.
func (c *idleClients) closedAfter(most time.Duration) []float64 {
	begun := time.Now()
	var mu sync.Mutex
	var seconds []float64
	var all sync.WaitGroup
	for _, x := range c.all {
		all.Go(func() {
			x.SetReadDeadline(begun.Add(most))
			_, err := x.Read(make([]byte, 16))
			var late net.Error
			if errors.As(err, &late) && late.Timeout() {
				return
			}
			mu.Lock()
			seconds = append(seconds, time.Since(begun).Seconds())
			mu.Unlock()
		})
	}
	all.Wait()
	return seconds
}

// offered is queries sent at a rate whatever comes of them, and what came.
type offered struct {
	mu                         sync.Mutex
	asked                      int
	finished, deferred, killed int
	latencies                  []float64 // of those finished, ms from when each was due to be sent
}

// restart forgets what has come so far.
func (o *offered) restart() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked, o.finished, o.deferred, o.killed, o.latencies = 0, 0, 0, 0, nil
}

// asker is one connection that queries are sent on.
type asker struct {
	net.Conn
	number int
	seen   *offered
	mu     sync.Mutex
	last   uint32
	open   map[uint32]time.Time // when each was due to be sent
}

// openMostAsked bounds the queries open on one connection: the protocol allows 32.
const openMostAsked = 32

// ask sends a query that was due at a time. false: too many are open here.
func (a *asker) ask(due time.Time, statement []byte) (bool, error) {
	a.mu.Lock()
	if len(a.open) >= openMostAsked {
		a.mu.Unlock()
		return false, nil
	}
	a.last++
	number := a.last
	a.open[number] = due
	a.mu.Unlock()
	trace := fmt.Sprintf("%08x%08x", a.number+1, number)
	_, err := a.Write(client.AppendQuery(nil, number, "lookup", statement, "trace", trace, "patience", "5000", "team", "a"))
	return true, err
}

func (a *asker) take(answer client.Answer) {
	a.mu.Lock()
	due, is := a.open[answer.Msg]
	delete(a.open, answer.Msg)
	a.mu.Unlock()
	if !is {
		return
	}
	a.seen.mu.Lock()
	defer a.seen.mu.Unlock()
	switch answer.Kind {
	case client.Finished:
		a.seen.finished++
		a.seen.latencies = append(a.seen.latencies, float64(time.Since(due))/float64(time.Millisecond))
	case client.Deferred:
		a.seen.deferred++
	default:
		a.seen.killed++
	}
}

// lookupTakes is a query's time on one thread: 1,486 a second keep an engine of 8 cores a
// little under half busy.
const lookupTakes = 2500 * time.Microsecond

func lookupWork(tables int64) engine.Work {
	return engine.Work{Threads: 1, CPU: lookupTakes, MemoryMB: 1, TableGroup: tables, Rows: 1, PlanFactor: 1}
}

// offer sends queries at a rate a second over connections in turn, with exponential gaps
// drawn from a seed, until ctx ends. One that finds its connection with too many open
// isn't sent, and is counted as asked.
func offer(ctx context.Context, clients []net.Conn, rate float64, seed uint64, seen *offered) error {
	askers := make([]*asker, len(clients))
	for i, c := range clients {
		askers[i] = &asker{Conn: c, number: i, seen: seen, open: map[uint32]time.Time{}}
		go client.ReadAll(askers[i], askers[i].take)
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	due := time.Now()
	for next := 0; ctx.Err() == nil; {
		gap := -math.Log(1-rng.Float64()) / rate
		due = due.Add(time.Duration(gap * float64(time.Second)))
		if wait := time.Until(due); wait > time.Millisecond {
			time.Sleep(wait)
		}
		seen.mu.Lock()
		seen.asked++
		seen.mu.Unlock()
		if _, err := askers[next].ask(due, engine.Statement(lookupWork(int64(rng.IntN(1000))))); err != nil {
			return fmt.Errorf("the controller closed a connection that was asked on: %w", err)
		}
		next = (next + 1) % len(askers)
	}
	return nil
}
