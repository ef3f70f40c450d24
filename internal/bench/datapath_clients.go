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

// idleConnections are connections that have asked whether the controller is ready, and no more.
type idleConnections struct {
	connections  []net.Conn
	openDuration time.Duration // from the first dial until the last had its answer
}

func (c *idleConnections) close() {
	for _, x := range c.connections {
		x.Close()
	}
}

// openIdleConnections opens so many connections in one step, of which dialsAtOnce come up at a time.
func openIdleConnections(ctx context.Context, address string, n int) (*idleConnections, error) {
	const dialsAtOnce = 256
	begun := time.Now()
	clients := &idleConnections{connections: make([]net.Conn, 0, n)}
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
				err = requestReadiness(c)
			}
			mu.Lock()
			defer mu.Unlock()
			if c != nil {
				clients.connections = append(clients.connections, c)
			}
			if err != nil {
				faults = append(faults, err)
			}
		})
	}
	all.Wait()
	clients.openDuration = time.Since(begun)
	if len(faults) > 0 {
		clients.close()
		return nil, fmt.Errorf("%d of %d clients found no controller, the first: %w", len(faults), n, faults[0])
	}
	return clients, nil
}

// secondsUntilClosed waits for the controller to close the connections, and gives when it closed
// each, from now on; those still open after most are left out.
func (c *idleConnections) secondsUntilClosed(most time.Duration) []float64 {
	begun := time.Now()
	var mu sync.Mutex
	var seconds []float64
	var all sync.WaitGroup
	for _, x := range c.connections {
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

// datapathQueryCounts is queries sent at a rate whatever comes of them, and what came.
type datapathQueryCounts struct {
	mu                         sync.Mutex
	submitted                  int
	finished, deferred, killed int
	latencies                  []float64 // of those finished, ms from when each was due to be sent
}

// reset forgets what has come so far.
func (o *datapathQueryCounts) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.submitted, o.finished, o.deferred, o.killed, o.latencies = 0, 0, 0, 0, nil
}

// datapathClient is one connection that queries are sent on.
type datapathClient struct {
	net.Conn
	index       int
	counts      *datapathQueryCounts
	mu          sync.Mutex
	lastMessage uint32
	dueTimes    map[uint32]time.Time // when each was due to be sent
}

// maxOpenQueries bounds the queries open on one connection: the protocol allows 32.
const maxOpenQueries = 32

// submit sends a query that was due at a time. false: too many are open here.
func (a *datapathClient) submit(due time.Time, statement []byte) (bool, error) {
	a.mu.Lock()
	if len(a.dueTimes) >= maxOpenQueries {
		a.mu.Unlock()
		return false, nil
	}
	a.lastMessage++
	number := a.lastMessage
	a.dueTimes[number] = due
	a.mu.Unlock()
	trace := fmt.Sprintf("%08x%08x", a.index+1, number)
	_, err := a.Write(client.AppendQuery(nil, number, "lookup", statement, "trace", trace, "patience", "5000", "team", "a"))
	return true, err
}

func (a *datapathClient) handleAnswer(answer client.Answer) {
	a.mu.Lock()
	due, is := a.dueTimes[answer.Msg]
	delete(a.dueTimes, answer.Msg)
	a.mu.Unlock()
	if !is {
		return
	}
	a.counts.mu.Lock()
	defer a.counts.mu.Unlock()
	switch answer.Kind {
	case client.Finished:
		a.counts.finished++
		a.counts.latencies = append(a.counts.latencies, float64(time.Since(due))/float64(time.Millisecond))
	case client.Deferred:
		a.counts.deferred++
	default:
		a.counts.killed++
	}
}

// lookupCPUTime is a query's time on one thread: 1,486 a second keep an engine of 8 cores a
// little under half busy.
const lookupCPUTime = 2500 * time.Microsecond

func lookupWork(tables int64) engine.Work {
	return engine.Work{Threads: 1, CPU: lookupCPUTime, MemoryMB: 1, TableGroup: tables, Rows: 1, PlanFactor: 1}
}

// submitQueriesAtRate sends queries at a rate a second over connections in turn, with exponential gaps
// drawn from a seed, until ctx ends. One that finds its connection with too many open
// isn't sent, and is counted as asked.
func submitQueriesAtRate(ctx context.Context, clients []net.Conn, rate float64, seed uint64, seen *datapathQueryCounts) error {
	askers := make([]*datapathClient, len(clients))
	for i, c := range clients {
		askers[i] = &datapathClient{Conn: c, index: i, counts: seen, dueTimes: map[uint32]time.Time{}}
		go client.ReadAll(askers[i], askers[i].handleAnswer)
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
		seen.submitted++
		seen.mu.Unlock()
		if _, err := askers[next].submit(due, engine.Statement(lookupWork(int64(rng.IntN(1000))))); err != nil {
			return fmt.Errorf("the controller closed a connection that was asked on: %w", err)
		}
		next = (next + 1) % len(askers)
	}
	return nil
}
