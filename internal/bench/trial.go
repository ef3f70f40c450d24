package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/feed"
	"railrelay.dev/railrelay/internal/emulator/loopback"
)

// Trial runs a controller process for a short time, with emulated engines, an emulated feed, and clients of
// several teams. The controller, engines, feed and clients communicate over sockets of this machine.
type Trial struct {
	Program       string // path of the railrelay executable
	Engines       int
	Duration      time.Duration // how long the clients submit queries
	Seed          uint64
	ControllerLog io.Writer // receives the controller's log
}

// trialTeams lists the teams of a trial. The last team submits far more queries than its share allows.
var trialTeams = []struct {
	kind, name             string
	share, demand          float64 // fractions of the engines' cores: due by weight, and requested
	kindWeight, teamWeight int
}{
	{"municipalities", "linz", 0.30, 0.28, 5, 3}, {"municipalities", "steyr", 0.20, 0.15, 5, 2},
	{"brigades", "fire-north", 0.15, 0.10, 3, 1}, {"brigades", "fire-south", 0.15, 0.10, 3, 1},
	{"gauges", "upper", 0.10, 0.05, 2, 1}, {"gauges", "flood", 0.10, 3.0, 2, 1},
}

// TrialTeamResult summarizes one team's queries in a trial.
type TrialTeamResult struct {
	Team                                  string
	Submitted, Finished, Deferred, Killed int
	WorkShare, WeightShare                float64       // fractions of finished work: actual, and due by weight
	MeanEstimate, MeanWait                time.Duration // times to the start: estimated first, and measured
	AccurateEstimates                     float64       // fraction that isEstimateAccurate accepts
}

// trialEngineConfig returns the configuration of the emulated engines. An emulated engine computes the
// progress of its queries instead of running them, so that six engines use a small part of one core.
func trialEngineConfig() engine.Config {
	config := engine.DefaultConfig()
	config.Cores, config.DiskParallelism, config.MemoryMB = 8, 16, 16384
	return config
}

// setupText returns the set-up file of a controller that uses the feed and listens on the given address.
func (t *Trial) setupText(feedAddress, listen string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: try\nlisten: %s\nfeed: %s\nseed: %x\nlog: warn\n"+
		"limits: {cores: 1, memory_mb: 256, sockets: 1024}\n", listen, feedAddress, t.Seed)
	engineConfig := trialEngineConfig()
	fmt.Fprintf(&b, "engines:\n  kinds: [{name: std, cores: %g, memory_mb: %g}]\ngroups:\n",
		engineConfig.Cores, engineConfig.MemoryMB)
	for _, k := range DefaultWorkload() {
		effect := "read-only"
		if k.Load {
			effect = "mutating"
		}
		fmt.Fprintf(&b,
			"  - {name: %s, threads: %g, value: %g, target: %v, stretch: 2, effect: %s, in_order: %t, load: %t}\n",
			k.Name, k.Threads, k.Value, k.Target, effect, k.Load, k.Load)
	}
	b.WriteString("clients:\n  - {name: all, addresses: [127.0.0.0/8], open: 4096, messages: 20000, idle: 1m}\n")
	b.WriteString("fairness:\n  fields: {team: team, tell: tell, again: first}\n  trusted: [127.0.0.0/8]\n" +
		"  teams:\n")
	kind := ""
	for _, team := range trialTeams {
		if team.kind != kind {
			kind = team.kind
			fmt.Fprintf(&b, "    - name: %s\n      weight: %d\n      teams:\n", kind, team.kindWeight)
		}
		fmt.Fprintf(&b, "        - {name: %s, weight: %d}\n", team.name, team.teamWeight)
	}
	return b.String()
}

// trialQuery records one query of a trial.
type trialQuery struct {
	team                  int
	id                    string
	work                  engine.Work
	sentAt                time.Time
	firstEstimate         time.Duration // first estimate of the time to the start; negative if there was none
	startedAt, answeredAt time.Time     // startedAt is zero if no engine accepted the query
	outcome               client.Kind
}

// trialRecorder collects the queries of a trial. The clients and the engines update the queries.
type trialRecorder struct {
	mu        sync.Mutex
	queryByID map[string]*trialQuery
	queries   []*trialQuery
}

// Run runs the trial and returns one result for each team.
func (t *Trial) Run(ctx context.Context) (results []TrialTeamResult, err error) {
	recorder := &trialRecorder{queryByID: map[string]*trialQuery{}}
	err = t.withController(ctx, t.setupText, func(id string) {
		recorder.mu.Lock()
		if q := recorder.queryByID[id]; q != nil && q.startedAt.IsZero() {
			q.startedAt = time.Now()
		}
		recorder.mu.Unlock()
	}, func(ctx context.Context, address string) error {
		var wg sync.WaitGroup
		errs := make([]error, len(trialTeams))
		for i := range trialTeams {
			wg.Add(1)
			go func() {
				defer wg.Done()
				errs[i] = t.runClient(ctx, address, i, recorder)
			}()
		}
		wg.Wait()
		return errors.Join(errs...)
	})
	if err != nil {
		return nil, err
	}
	return t.teamResults(recorder), nil
}

// withController starts engines, a feed and a controller, calls run with the controller's address, and then
// stops the engines, the feed and the controller. setup returns the controller's set-up file for the
// addresses of the feed and the controller. If onSubmit isn't nil, each engine calls it with the ID of each
// query that the engine accepts.
func (t *Trial) withController(ctx context.Context, setup func(feedAddress, listen string) string,
	onSubmit func(id string), run func(ctx context.Context, address string) error) (err error) {
	s, err := newControllerTestbed(ctx, t.Program, t.Engines, trialEngineConfig(), t.ControllerLog,
		func(_ int, s *engine.Server) {
			if onSubmit != nil {
				s.OnSubmit = func(id, _ string, _ int, _ time.Duration) { onSubmit(id) }
			}
		})
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.startController(setup(s.feedAddress, s.controllerAddress)); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.stopController()) }()
	return run(ctx, s.controllerAddress)
}

// controllerTestbed consists of emulated engines, a feed, and a controller process that can be killed and
// restarted.
type controllerTestbed struct {
	ctx                            context.Context
	program                        string
	controllerLog                  io.Writer
	feedAddress, controllerAddress string
	dir                            string
	command                        *exec.Cmd // the running controller, or nil
	cleanups                       []func()  // called in reverse order by close
}

// newControllerTestbed starts engines and a feed that lists them, but no controller. It calls configure with
// the index and the server of each engine.
func newControllerTestbed(ctx context.Context, program string, engines int, engineConfig engine.Config,
	controllerLog io.Writer, configure func(i int, s *engine.Server)) (s *controllerTestbed, err error) {
	ctx, stop := context.WithCancel(ctx)
	s = &controllerTestbed{ctx: ctx, program: program, controllerLog: controllerLog, cleanups: []func(){stop}}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	var feedLog feed.Log
	var entries []feed.Engine
	for i := range engines {
		e, err := engine.Listen(ctx, "127.0.0.1:0", engineConfig, false)
		if err != nil {
			return s, err
		}
		s.cleanups = append(s.cleanups, func() { e.Close() })
		e.WithServer(func(_ time.Duration, server *engine.Server) { configure(i, server) })
		entries = append(entries, feed.Engine{ID: fmt.Sprintf("e%d", i), HostPort: e.Addr().String(),
			Locality: "here", Flavor: "std", Cell: 1, Phase: "SERVING", Size: 1})
	}
	feedLog.Append(true, entries...)
	feedListener, err := feed.Listen(ctx, "127.0.0.1:0", &feedLog)
	if err != nil {
		return s, err
	}
	s.cleanups = append(s.cleanups, func() { feedListener.Close() })
	s.feedAddress = feedListener.Addr().String()
	if s.controllerAddress, err = loopback.FreeAddress(); err != nil {
		return s, err
	}
	if s.dir, err = os.MkdirTemp("", "railrelay-stage"); err == nil {
		s.cleanups = append(s.cleanups, func() { os.RemoveAll(s.dir) })
	}
	return s, err
}

// close kills the controller, if it runs, and stops the feed and the engines.
func (s *controllerTestbed) close() {
	if s.command != nil {
		s.killController()
	}
	for _, cleanup := range slices.Backward(s.cleanups) {
		cleanup()
	}
}

// startController writes the set-up file, starts the controller and waits until the controller is ready.
func (s *controllerTestbed) startController(setup string) error {
	path := filepath.Join(s.dir, "stage.yaml")
	if err := os.WriteFile(path, []byte(setup), 0o600); err != nil {
		return err
	}
	s.command = exec.CommandContext(s.ctx, s.program, "serve", "--setup", path)
	s.command.Stderr = s.controllerLog
	if err := s.command.Start(); err != nil {
		s.command = nil
		return err
	}
	return waitUntilControllerReady(s.ctx, s.controllerAddress)
}

// killController kills the controller with SIGKILL, so that the controller can't clean up.
func (s *controllerTestbed) killController() {
	s.command.Process.Kill()
	s.command.Wait()
	s.command = nil
}

// stopController sends SIGTERM to the controller and waits for its regular exit. It kills a controller that
// doesn't exit in time.
func (s *controllerTestbed) stopController() error {
	command := s.command
	s.command = nil
	command.Process.Signal(syscall.SIGTERM)
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	select {
	case err := <-exited:
		if err != nil {
			return fmt.Errorf("controller exited with an error: %w", err)
		}
		return nil
	case <-time.After(40 * time.Second):
		command.Process.Kill()
		return errors.New("controller did not exit within 40 s of SIGTERM")
	}
}

// waitUntilControllerReady polls the controller at an address until the controller reports that it is ready.
func waitUntilControllerReady(ctx context.Context, address string) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			c.Write(client.AppendAliveRequest(nil, 1))
			buffer := make([]byte, 64)
			n, _ := c.Read(buffer)
			c.Close()
			if answer, _, err := client.Read(buffer[:n]); err == nil && answer.Ready {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return errors.New("controller was not ready within 20 s")
}

// runClient submits one team's queries at the team's rate, without waiting for answers. Concurrently it reads
// the answers until all queries are answered.
func (t *Trial) runClient(ctx context.Context, address string, team int, recorder *trialRecorder) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	rng := rand.New(rand.NewPCG(t.Seed, uint64(team)+100))
	kinds, meanCPUSeconds := DefaultWorkload(), 0.0
	for _, k := range kinds {
		meanCPUSeconds += k.Share * k.CPU.Seconds()
	}
	rate := trialTeams[team].demand * float64(t.Engines) * trialEngineConfig().Cores / meanCPUSeconds
	var mu sync.Mutex
	openQueries := map[uint32]*trialQuery{}
	submitting := true
	done := make(chan error, 1)
	go func() {
		var received []byte
		buffer := make([]byte, 64<<10)
		for {
			n, err := c.Read(buffer)
			received = append(received, buffer[:n]...)
			for {
				answer, length, decodeErr := client.Read(received)
				if decodeErr != nil {
					done <- fmt.Errorf("team %s: %w", trialTeams[team].name, decodeErr)
					return
				}
				if length == 0 {
					break
				}
				received = append([]byte{}, received[length:]...)
				mu.Lock()
				q := openQueries[answer.Msg]
				if q != nil {
					recorder.mu.Lock()
					if answer.Kind == client.WaitNotice {
						if q.firstEstimate < 0 {
							q.firstEstimate = answer.Wait
						}
					} else {
						q.outcome, q.answeredAt = answer.Kind, time.Now()
						delete(openQueries, answer.Msg)
					}
					recorder.mu.Unlock()
				}
				complete := !submitting && len(openQueries) == 0
				mu.Unlock()
				if complete {
					done <- nil
					return
				}
			}
			if err != nil {
				done <- fmt.Errorf("team %s: %w", trialTeams[team].name, err)
				return
			}
		}
	}()
	start := time.Now()
	sendAt := start
	for msg := uint32(1); ; msg++ {
		sendAt = sendAt.Add(time.Duration(rng.ExpFloat64() / rate * 1e9))
		if sendAt.Sub(start) > t.Duration {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-done:
			return err
		case <-time.After(time.Until(sendAt)):
		}
		draw, kind := rng.Float64(), kinds[0]
		for _, kind = range kinds {
			if draw -= kind.Share; draw < 0 {
				break
			}
		}
		work := engine.Work{Threads: kind.Threads, MemoryMB: kind.MemoryMB, TableGroup: int64(rng.IntN(100)),
			Load: kind.Load, Rows: kind.Rows,
			CPU: time.Duration(float64(kind.CPU) *
				math.Exp(rng.NormFloat64()*kind.CPUSigma-kind.CPUSigma*kind.CPUSigma/2))}
		q := &trialQuery{team: team, id: fmt.Sprintf("%08x%08x", team+1, msg), work: work, sentAt: time.Now(),
			firstEstimate: -1}
		fields := []string{"trace", q.id, "patience", fmt.Sprint(kind.Patience.Milliseconds()),
			"team", trialTeams[team].name, "tell", "1"}
		if kind.Load {
			fields = append(fields, "entity", fmt.Sprintf("k%d", rng.IntN(1000)))
		}
		recorder.mu.Lock()
		recorder.queryByID[q.id], recorder.queries = q, append(recorder.queries, q)
		recorder.mu.Unlock()
		mu.Lock()
		openQueries[msg] = q
		mu.Unlock()
		if _, err := c.Write(client.AppendQuery(nil, msg, kind.Name, engine.Statement(work),
			fields...)); err != nil {
			return err
		}
	}
	mu.Lock()
	submitting = false
	allAnswered := len(openQueries) == 0
	mu.Unlock()
	if allAnswered {
		return nil
	}
	select {
	case err := <-done:
		return err
	case <-time.After(30 * time.Second):
		return fmt.Errorf("team %s: some queries were not answered within 30 s", trialTeams[team].name)
	}
}

// teamResults summarizes the recorded queries by team.
func (t *Trial) teamResults(recorder *trialRecorder) []TrialTeamResult {
	results := make([]TrialTeamResult, len(trialTeams))
	totalWork := 0.0
	totalShare := 0.0
	for _, team := range trialTeams {
		totalShare += team.share
	}
	accurate, started := make([]int, len(results)), make([]int, len(results))
	for _, q := range recorder.queries {
		result := &results[q.team]
		result.Submitted++
		switch q.outcome {
		case client.Finished:
			result.Finished++
			result.WorkShare += q.work.CPU.Seconds()
			totalWork += q.work.CPU.Seconds()
		case client.Deferred:
			result.Deferred++
		case client.Killed:
			result.Killed++
		}
		if q.startedAt.IsZero() {
			continue
		}
		estimate, wait := max(0, q.firstEstimate), q.startedAt.Sub(q.sentAt)
		started[q.team]++
		result.MeanEstimate += estimate
		result.MeanWait += wait
		if isEstimateAccurate(estimate, wait) {
			accurate[q.team]++
		}
	}
	for i := range results {
		count := max(1, started[i])
		results[i].Team, results[i].WeightShare = trialTeams[i].name, trialTeams[i].share/totalShare
		results[i].WorkShare /= max(totalWork, 1e-9)
		results[i].MeanEstimate /= time.Duration(count)
		results[i].MeanWait /= time.Duration(count)
		results[i].AccurateEstimates = float64(accurate[i]) / float64(count)
	}
	return results
}

// PrintTrialResults writes the results as a table with one row for each team.
func PrintTrialResults(out io.Writer, results []TrialTeamResult) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "team\tsubmitted\tfinished\tdeferred\tkilled\tshare of work\tshare by weight\t"+
		"estimated wait\tactual wait\twithin 20%\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3fs\t%.3fs\t%.2f\t\n", r.Team, r.Submitted, r.Finished,
			r.Deferred, r.Killed, r.WorkShare, r.WeightShare, r.MeanEstimate.Seconds(), r.MeanWait.Seconds(),
			r.AccurateEstimates)
	}
	w.Flush()
}
