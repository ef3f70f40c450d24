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

// idleConnections are client connections that have sent one readiness request and nothing else.
type idleConnections struct {
	connections  []net.Conn
	openDuration time.Duration // from the first dial to the answer on the last connection
}

func (c *idleConnections) close() {
	for _, connection := range c.connections {
		connection.Close()
	}
}

// openIdleConnections opens n connections to the controller, up to dialsAtOnce at a time, and sends a
// readiness request on each connection.
func openIdleConnections(ctx context.Context, address string, n int) (*idleConnections, error) {
	const dialsAtOnce = 256
	start := time.Now()
	clients := &idleConnections{connections: make([]net.Conn, 0, n)}
	var mu sync.Mutex
	var errs []error
	slots := make(chan struct{}, dialsAtOnce)
	var dials sync.WaitGroup
	for range n {
		slots <- struct{}{}
		dials.Go(func() {
			defer func() { <-slots }()
			var dialer net.Dialer
			connection, err := dialer.DialContext(ctx, "tcp", address)
			if err == nil {
				err = requestReadiness(connection)
			}
			mu.Lock()
			defer mu.Unlock()
			if connection != nil {
				clients.connections = append(clients.connections, connection)
			}
			if err != nil {
				errs = append(errs, err)
			}
		})
	}
	dials.Wait()
	clients.openDuration = time.Since(start)
	if len(errs) > 0 {
		clients.close()
		return nil, fmt.Errorf("opening %d of %d connections failed, the first with: %w", len(errs), n, errs[0])
	}
	return clients, nil
}

// secondsUntilClosed waits until the controller has closed all connections or the timeout has passed. It
// returns the time from the call to the close of each connection, in seconds, and omits the connections that
// are still open.
func (c *idleConnections) secondsUntilClosed(timeout time.Duration) []float64 {
	start := time.Now()
	var mu sync.Mutex
	var seconds []float64
	var reads sync.WaitGroup
	for _, connection := range c.connections {
		reads.Go(func() {
			connection.SetReadDeadline(start.Add(timeout))
			_, err := connection.Read(make([]byte, 16))
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				return
			}
			mu.Lock()
			seconds = append(seconds, time.Since(start).Seconds())
			mu.Unlock()
		})
	}
	reads.Wait()
	return seconds
}

// datapathQueryCounts counts submitted queries and their outcomes.
type datapathQueryCounts struct {
	mu                         sync.Mutex
	submitted                  int
	finished, deferred, killed int
	latencies                  []float64 // of finished queries, in ms from the time at which the query was due
}

// reset sets all counts to zero.
func (c *datapathQueryCounts) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submitted, c.finished, c.deferred, c.killed, c.latencies = 0, 0, 0, 0, nil
}

// datapathClient submits queries on one connection.
type datapathClient struct {
	net.Conn
	index       int
	counts      *datapathQueryCounts
	mu          sync.Mutex
	lastMessage uint32
	dueTimes    map[uint32]time.Time // due time of each open query, by message ID
}

// maxOpenQueries is the protocol's limit on the number of open queries of one connection.
const maxOpenQueries = 32

// submit sends a query whose latency is measured from due. It returns false and sends nothing if the
// connection already has maxOpenQueries open queries.
func (c *datapathClient) submit(due time.Time, statement []byte) (bool, error) {
	c.mu.Lock()
	if len(c.dueTimes) >= maxOpenQueries {
		c.mu.Unlock()
		return false, nil
	}
	c.lastMessage++
	message := c.lastMessage
	c.dueTimes[message] = due
	c.mu.Unlock()
	trace := fmt.Sprintf("%08x%08x", c.index+1, message)
	_, err := c.Write(client.AppendQuery(nil, message, "lookup", statement,
		"trace", trace, "patience", "5000", "team", "a"))
	return true, err
}

// handleAnswer counts the answer to an open query and ignores all other answers.
func (c *datapathClient) handleAnswer(answer client.Answer) {
	c.mu.Lock()
	due, known := c.dueTimes[answer.Msg]
	delete(c.dueTimes, answer.Msg)
	c.mu.Unlock()
	if !known {
		return
	}
	c.counts.mu.Lock()
	defer c.counts.mu.Unlock()
	switch answer.Kind {
	case client.Finished:
		c.counts.finished++
		c.counts.latencies = append(c.counts.latencies, float64(time.Since(due))/float64(time.Millisecond))
	case client.Deferred:
		c.counts.deferred++
	default:
		c.counts.killed++
	}
}

// lookupCPUTime is the CPU time of a query. At specifiedEngineRate, which is 1,486 queries/s, an engine with
// 8 cores is slightly less than half busy.
const lookupCPUTime = 2500 * time.Microsecond

// lookupWork returns the work of a query that runs on one thread.
func lookupWork(tableGroup int64) engine.Work {
	return engine.Work{Threads: 1, CPU: lookupCPUTime, MemoryMB: 1, TableGroup: tableGroup, Rows: 1,
		PlanFactor: 1}
}

// submitQueriesAtRate submits queries at a rate, in queries/s, until ctx ends. It uses the connections in
// turn. The gaps between queries are exponentially distributed and follow from the seed. A query whose
// connection already has maxOpenQueries open queries is counted as submitted but not sent.
func submitQueriesAtRate(ctx context.Context, connections []net.Conn, rate float64, seed uint64,
	counts *datapathQueryCounts) error {
	clients := make([]*datapathClient, len(connections))
	for i, connection := range connections {
		clients[i] = &datapathClient{Conn: connection, index: i, counts: counts, dueTimes: map[uint32]time.Time{}}
		go client.ReadAll(clients[i], clients[i].handleAnswer)
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	due := time.Now()
	for nextClient := 0; ctx.Err() == nil; {
		gap := -math.Log(1-rng.Float64()) / rate
		due = due.Add(time.Duration(gap * float64(time.Second)))
		if wait := time.Until(due); wait > time.Millisecond {
			time.Sleep(wait)
		}
		counts.mu.Lock()
		counts.submitted++
		counts.mu.Unlock()
		if _, err := clients[nextClient].submit(due,
			engine.Statement(lookupWork(int64(rng.IntN(1000))))); err != nil {
			return fmt.Errorf("sending a query to the controller: %w", err)
		}
		nextClient = (nextClient + 1) % len(clients)
	}
	return nil
}
