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

// The loads of a table group form a chain, which runs at one engine. The takeover time is the time from
// the failure of that engine until another engine receives a load of the chain. The feed doesn't report
// the failure, so the controller has to detect it by itself.

// engineFailure is a way in which an engine fails.
type engineFailure struct {
	name string
	fail func(*engine.Listener)
}

var engineFailures = []engineFailure{
	// The engine's process ends: its connections are closed, and new ones are refused.
	{"killed", func(e *engine.Listener) { e.Close() }},
	// The engine's machine loses its network: connections stay open, but no request is answered.
	{"silent", func(e *engine.Listener) {
		e.WithServer(func(now time.Duration, s *engine.Server) { s.SetUnreachable(now, true) })
	}},
}

const (
	// takeoverRounds is the number of engines that fail in each way.
	takeoverRounds = 3
	// loadInterval is the time between the submissions of two loads.
	loadInterval = 100 * time.Millisecond
	// loadCPUTime is the CPU time of one load.
	loadCPUTime = 50 * time.Millisecond
	// minChainLength is the number of successive loads at one engine that identifies the chain's engine.
	minChainLength = 5
	// takeoverTimeout limits each wait for loads at an engine, and each wait for the answers to loads.
	takeoverTimeout = 30 * time.Second
)

var errNoTakeover = errors.New("no engine took over the chain of the table group in time")

// submittedLoad is a load that an engine accepted.
type submittedLoad struct {
	engine      int
	submittedAt time.Time
}

// loadClient submits loads of one table group on one connection.
type loadClient struct {
	net.Conn
	mu         sync.Mutex
	unanswered map[uint32]time.Time // time of submission, by message ID
	answered   []answeredLoad
}

// answeredLoad is a load with its answer.
type answeredLoad struct {
	submittedAt time.Time
	latency     time.Duration
	kind        client.Kind
}

// submitUntilDone submits a load each loadInterval until ctx ends.
func (l *loadClient) submitUntilDone(ctx context.Context) {
	statement := engine.Statement(engine.Work{Threads: 1, CPU: loadCPUTime, MemoryMB: 1, TableGroup: 7,
		Load: true, Rows: 1, PlanFactor: 1})
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for message := uint32(1); ; message++ {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.mu.Lock()
			l.unanswered[message] = now
			l.mu.Unlock()
		}
		trace := fmt.Sprintf("%016x", message)
		l.Write(client.AppendQuery(nil, message, "load", statement,
			"trace", trace, "patience", "20000", "entity", trace, "team", "a"))
	}
}

// handleAnswer records the answer to a load and ignores all other answers.
func (l *loadClient) handleAnswer(answer client.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if submittedAt, known := l.unanswered[answer.Msg]; known {
		delete(l.unanswered, answer.Msg)
		l.answered = append(l.answered, answeredLoad{submittedAt, time.Since(submittedAt), answer.Kind})
	}
}

// latencyBetween returns the longest latency of the loads that were submitted in a period, and the number of
// these loads that did not finish. complete is false while any of these loads is unanswered.
func (l *loadClient) latencyBetween(from, to time.Time) (worst time.Duration, failed int, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	inRange := func(at time.Time) bool { return !at.Before(from) && !at.After(to) }
	for _, at := range l.unanswered {
		if inRange(at) {
			return 0, 0, false
		}
	}
	for _, load := range l.answered {
		if inRange(load.submittedAt) {
			worst = max(worst, load.latency)
			if load.kind != client.Finished {
				failed++
			}
		}
	}
	return worst, failed, true
}

// measureTakeovers measures the takeover time after each kind of engine failure.
func (d Datapath) measureTakeovers(ctx context.Context, recorder *datapathRecorder) error {
	for _, failure := range engineFailures {
		if err := d.measureTakeoverAfter(ctx, recorder, failure); err != nil {
			return fmt.Errorf("takeover from an engine that is %s: %w", failure.name, err)
		}
	}
	return nil
}

func (d Datapath) measureTakeoverAfter(ctx context.Context, recorder *datapathRecorder,
	failure engineFailure) error {
	s, err := d.start(ctx, d.maxEngines(), longIdleTimeout)
	if err != nil {
		return err
	}
	defer s.close()
	submissions := make(chan submittedLoad, 1024)
	for i, e := range s.engines {
		e.WithServer(func(_ time.Duration, server *engine.Server) {
			server.OnSubmit = func(string, string, int, time.Duration) {
				select {
				case submissions <- submittedLoad{i, time.Now()}:
				default: // the channel is full, since no round is waiting for loads
				}
			}
		})
	}
	connection, err := net.Dial("tcp", s.controllerAddress)
	if err != nil {
		return err
	}
	defer connection.Close()
	loads := &loadClient{Conn: connection, unanswered: map[uint32]time.Time{}}
	submitting, stop := context.WithCancel(ctx)
	defer stop()
	go client.ReadAll(loads, loads.handleAnswer)
	go loads.submitUntilDone(submitting)
	for round := range uint64(takeoverRounds) {
		if err := d.measureTakeoverRound(recorder, failure, s, loads, submissions, round); err != nil {
			return err
		}
	}
	return nil
}

// measureTakeoverRound makes the chain's engine fail once. It records the takeover time and, for the loads
// submitted from one loadInterval before the failure until the takeover, the longest latency and the number
// of loads that didn't finish.
func (d Datapath) measureTakeoverRound(recorder *datapathRecorder, failure engineFailure, s *datapathTestbed,
	loads *loadClient, submissions <-chan submittedLoad, round uint64) error {
	failedEngine, err := waitForChain(s.ctx, submissions)
	if err != nil {
		return err
	}
	failedAt := time.Now()
	failure.fail(s.engines[failedEngine])
	takenOverAt, err := waitForTakeover(s.ctx, submissions, failedEngine, failedAt)
	if err != nil {
		return err
	}
	recorder.recordWithSeed("takeover "+failure.name, d.maxEngines(), d.Seed+round,
		float64(takenOverAt.Sub(failedAt))/float64(time.Millisecond), "ms")
	for deadline := time.Now().Add(takeoverTimeout); time.Now().Before(deadline); {
		if err := s.sleep(loadInterval); err != nil {
			return err
		}
		worst, failed, complete := loads.latencyBetween(failedAt.Add(-loadInterval), takenOverAt)
		if complete {
			recorder.recordWithSeed("takeover "+failure.name+" answer", d.maxEngines(), d.Seed+round,
				float64(worst)/float64(time.Millisecond), "ms")
			recorder.recordWithSeed("takeover "+failure.name+" failed", d.maxEngines(), d.Seed+round,
				float64(failed), "loads")
			return nil
		}
	}
	return errNoTakeover
}

// waitForChain waits until minChainLength successive loads ran at the same engine, and returns that engine.
func waitForChain(ctx context.Context, submissions <-chan submittedLoad) (int, error) {
	timeout := time.After(takeoverTimeout)
	last, length := -1, 0
	for length < minChainLength {
		select {
		case load := <-submissions:
			if load.engine != last {
				last, length = load.engine, 0
			}
			length++
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-timeout:
			return 0, errNoTakeover
		}
	}
	return last, nil
}

// waitForTakeover waits for the first load after a time at an engine other than failedEngine, and returns
// the time at which this load was submitted.
func waitForTakeover(ctx context.Context, submissions <-chan submittedLoad, failedEngine int,
	after time.Time) (time.Time, error) {
	timeout := time.After(takeoverTimeout)
	for {
		select {
		case load := <-submissions:
			if load.engine != failedEngine && load.submittedAt.After(after) {
				return load.submittedAt, nil
			}
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		case <-timeout:
			return time.Time{}, errNoTakeover
		}
	}
}
