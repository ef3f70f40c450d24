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

// Trial is a short look at a controller with teams, on sockets of this machine.
type Trial struct {
	Program       string // the built railrelay
	Engines       int
	Duration      time.Duration
	Seed          uint64
	ControllerLog io.Writer // what the controller logs
}

// trialTeams are its teams; the last floods.
var trialTeams = []struct {
	kind, name             string
	share, demand          float64 // of the engines: by weight, and asked for
	kindWeight, teamWeight int
}{
	{"municipalities", "linz", 0.30, 0.28, 5, 3}, {"municipalities", "steyr", 0.20, 0.15, 5, 2},
	{"brigades", "fire-north", 0.15, 0.10, 3, 1}, {"brigades", "fire-south", 0.15, 0.10, 3, 1},
	{"gauges", "upper", 0.10, 0.05, 2, 1}, {"gauges", "flood", 0.10, 3.0, 2, 1},
}

// TrialTeamResult is what a trial saw of a team.
type TrialTeamResult struct {
	Team                                  string
	Submitted, Finished, Deferred, Killed int
	WorkShare, WeightShare                float64 // of the work done, and by weight
	MeanEstimate, MeanWait                time.Duration
	AccurateEstimates                     float64 // of first estimates
}

// trialEngineConfig is its engines' figures. They only reckon: six of them take a small
// part of one core.
func trialEngineConfig() engine.Config {
	f := engine.DefaultConfig()
	f.Cores, f.DiskParallelism, f.MemoryMB = 8, 16, 16384
	return f
}

func (t *Trial) setupText(feedAddress, listen string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: try\nlisten: %s\nfeed: %s\nseed: %x\nlog: warn\nlimits: {cores: 1, memory_mb: 256, sockets: 1024}\n", listen, feedAddress, t.Seed)
	f := trialEngineConfig()
	fmt.Fprintf(&b, "engines:\n  kinds: [{name: std, cores: %g, memory_mb: %g}]\ngroups:\n", f.Cores, f.MemoryMB)
	for _, k := range DefaultWorkload() {
		effect := "read-only"
		if k.Load {
			effect = "mutating"
		}
		fmt.Fprintf(&b, "  - {name: %s, threads: %g, value: %g, target: %v, stretch: 2, effect: %s, in_order: %t, load: %t}\n",
			k.Name, k.Threads, k.Value, k.Target, effect, k.Load, k.Load)
	}
	b.WriteString("clients:\n  - {name: all, addresses: [127.0.0.0/8], open: 4096, messages: 20000, idle: 1m}\n")
	b.WriteString("fairness:\n  fields: {team: team, tell: tell, again: first}\n  trusted: [127.0.0.0/8]\n  teams:\n")
	kind := ""
	for _, x := range trialTeams {
		if x.kind != kind {
			kind = x.kind
			fmt.Fprintf(&b, "    - name: %s\n      weight: %d\n      teams:\n", kind, x.kindWeight)
		}
		fmt.Fprintf(&b, "        - {name: %s, weight: %d}\n", x.name, x.teamWeight)
	}
	return b.String()
}

// trialQuery is one query of a trial.
type trialQuery struct {
	team                  int
	id                    string
	work                  engine.Work
	sentAt                time.Time
	firstEstimate         time.Duration
	startedAt, answeredAt time.Time
	outcome               client.Kind
}

// trialRecorder keeps what the clients and engines saw.
type trialRecorder struct {
	mu        sync.Mutex
	queryByID map[string]*trialQuery
	queries   []*trialQuery
}

// Run plays it and gives what was seen of each team.
func (t *Trial) Run(ctx context.Context) (rows []TrialTeamResult, err error) {
	seen := &trialRecorder{queryByID: map[string]*trialQuery{}}
	err = t.withController(ctx, t.setupText, func(id string) {
		seen.mu.Lock()
		if q := seen.queryByID[id]; q != nil && q.startedAt.IsZero() {
			q.startedAt = time.Now()
		}
		seen.mu.Unlock()
	}, func(ctx context.Context, address string) error {
		var wg sync.WaitGroup
		faults := make([]error, len(trialTeams))
		for i := range trialTeams {
			wg.Add(1)
			go func() {
				defer wg.Done()
				faults[i] = t.runClient(ctx, address, i, seen)
			}()
		}
		wg.Wait()
		return errors.Join(faults...)
	})
	if err != nil {
		return nil, err
	}
	return t.teamResults(seen), nil
}

// withController has something done with engines, a feed and a controller of a set-up, which
// setup writes for the feed's address and the one to listen on.
func (t *Trial) withController(ctx context.Context, setup func(feedAddress, listen string) string, posted func(id string),
	do func(ctx context.Context, address string) error) (err error) {
	s, err := newControllerTestbed(ctx, t.Program, t.Engines, trialEngineConfig(), t.ControllerLog, func(_ int, s *engine.Server) {
		if posted != nil {
			s.OnSubmit = func(id, _ string, _ int, _ time.Duration) { posted(id) }
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
	return do(ctx, s.controllerAddress)
}

// controllerTestbed is engines, a feed and a controller that may be killed and begun again.
type controllerTestbed struct {
	ctx                            context.Context
	program                        string
	controllerLog                  io.Writer
	feedAddress, controllerAddress string
	dir                            string
	command                        *exec.Cmd
	cleanups                       []func()
}

// newControllerTestbed starts engines and a feed; each is told of each engine.
func newControllerTestbed(ctx context.Context, program string, engines int, figures engine.Config, log io.Writer, each func(i int, s *engine.Server)) (s *controllerTestbed, err error) {
	ctx, stop := context.WithCancel(ctx)
	s = &controllerTestbed{ctx: ctx, program: program, controllerLog: log, cleanups: []func(){stop}}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	var list feed.Log
	var entries []feed.Engine
	for i := range engines {
		e, err := engine.Listen(ctx, "127.0.0.1:0", figures, false)
		if err != nil {
			return s, err
		}
		s.cleanups = append(s.cleanups, func() { e.Close() })
		e.WithServer(func(_ time.Duration, x *engine.Server) { each(i, x) })
		entries = append(entries, feed.Engine{ID: fmt.Sprintf("e%d", i), HostPort: e.Addr().String(), Locality: "here", Flavor: "std",
			Cell: 1, Phase: "SERVING", Size: 1})
	}
	list.Append(true, entries...)
	f, err := feed.Listen(ctx, "127.0.0.1:0", &list)
	if err != nil {
		return s, err
	}
	s.cleanups = append(s.cleanups, func() { f.Close() })
	s.feedAddress = f.Addr().String()
	if s.controllerAddress, err = loopback.FreeAddress(); err != nil {
		return s, err
	}
	if s.dir, err = os.MkdirTemp("", "railrelay-stage"); err == nil {
		s.cleanups = append(s.cleanups, func() { os.RemoveAll(s.dir) })
	}
	return s, err
}

func (s *controllerTestbed) close() {
	if s.command != nil {
		s.killController()
	}
	for _, do := range slices.Backward(s.cleanups) {
		do()
	}
}

// startController starts the controller on a set-up and waits until it is ready.
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

// killController ends it as a power cut to the program alone would.
func (s *controllerTestbed) killController() {
	s.command.Process.Kill()
	s.command.Wait()
	s.command = nil
}

// stopController has it end by itself.
func (s *controllerTestbed) stopController() error {
	p := s.command
	s.command = nil
	p.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			return fmt.Errorf("the controller ended badly: %w", err)
		}
		return nil
	case <-time.After(40 * time.Second):
		p.Process.Kill()
		return errors.New("the controller didn't end")
	}
}

// waitUntilControllerReady waits until a controller says that it is.
func waitUntilControllerReady(ctx context.Context, address string) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			c.Write(client.AppendAliveRequest(nil, 1))
			p := make([]byte, 64)
			n, _ := c.Read(p)
			c.Close()
			if a, _, err := client.Read(p[:n]); err == nil && a.Ready {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return errors.New("the controller isn't ready after 20 s")
}

// runClient asks for one team's queries at its rate, whatever the answers, and reads
// these until all are there.
func (t *Trial) runClient(ctx context.Context, address string, team int, seen *trialRecorder) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	rng := rand.New(rand.NewPCG(t.Seed, uint64(team)+100))
	kinds, mean := DefaultWorkload(), 0.0
	for _, k := range kinds {
		mean += k.Share * k.CPU.Seconds()
	}
	rate := trialTeams[team].demand * float64(t.Engines) * trialEngineConfig().Cores / mean
	var mu sync.Mutex
	open := map[uint32]*trialQuery{}
	asking := true
	done := make(chan error, 1)
	go func() {
		var in []byte
		p := make([]byte, 64<<10)
		for {
			n, err := c.Read(p)
			in = append(in, p[:n]...)
			for {
				a, took, bad := client.Read(in)
				if bad != nil {
					done <- fmt.Errorf("team %s: %w", trialTeams[team].name, bad)
					return
				}
				if took == 0 {
					break
				}
				in = append([]byte{}, in[took:]...)
				mu.Lock()
				q := open[a.Msg]
				if q != nil {
					seen.mu.Lock()
					if a.Kind == client.WaitNotice {
						if q.firstEstimate < 0 {
							q.firstEstimate = a.Wait
						}
					} else {
						q.outcome, q.answeredAt = a.Kind, time.Now()
						delete(open, a.Msg)
					}
					seen.mu.Unlock()
				}
				over := !asking && len(open) == 0
				mu.Unlock()
				if over {
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
	next := start
	for msg := uint32(1); ; msg++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * 1e9))
		if next.Sub(start) > t.Duration {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-done:
			return err
		case <-time.After(time.Until(next)):
		}
		x, k := rng.Float64(), kinds[0]
		for _, k = range kinds {
			if x -= k.Share; x < 0 {
				break
			}
		}
		w := engine.Work{Threads: k.Threads, MemoryMB: k.MemoryMB, TableGroup: int64(rng.IntN(100)), Load: k.Load, Rows: k.Rows,
			CPU: time.Duration(float64(k.CPU) * math.Exp(rng.NormFloat64()*k.CPUSigma-k.CPUSigma*k.CPUSigma/2))}
		q := &trialQuery{team: team, id: fmt.Sprintf("%08x%08x", team+1, msg), work: w, sentAt: time.Now(), firstEstimate: -1}
		fields := []string{"trace", q.id, "patience", fmt.Sprint(k.Patience.Milliseconds()), "team", trialTeams[team].name, "tell", "1"}
		if k.Load {
			fields = append(fields, "entity", fmt.Sprintf("k%d", rng.IntN(1000)))
		}
		seen.mu.Lock()
		seen.queryByID[q.id], seen.queries = q, append(seen.queries, q)
		seen.mu.Unlock()
		mu.Lock()
		open[msg] = q
		mu.Unlock()
		if _, err := c.Write(client.AppendQuery(nil, msg, k.Name, engine.Statement(w), fields...)); err != nil {
			return err
		}
	}
	mu.Lock()
	asking = false
	none := len(open) == 0
	mu.Unlock()
	if none {
		return nil
	}
	select {
	case err := <-done:
		return err
	case <-time.After(30 * time.Second):
		return fmt.Errorf("team %s: answers are missing", trialTeams[team].name)
	}
}

func (t *Trial) teamResults(seen *trialRecorder) []TrialTeamResult {
	rows := make([]TrialTeamResult, len(trialTeams))
	all := 0.0
	weights := 0.0
	for _, x := range trialTeams {
		weights += x.share
	}
	within, of := make([]int, len(rows)), make([]int, len(rows))
	for _, q := range seen.queries {
		r := &rows[q.team]
		r.Submitted++
		switch q.outcome {
		case client.Finished:
			r.Finished++
			r.WorkShare += q.work.CPU.Seconds()
			all += q.work.CPU.Seconds()
		case client.Deferred:
			r.Deferred++
		case client.Killed:
			r.Killed++
		}
		if q.startedAt.IsZero() {
			continue
		}
		told, had := max(0, q.firstEstimate), q.startedAt.Sub(q.sentAt)
		of[q.team]++
		r.MeanEstimate += told
		r.MeanWait += had
		if isEstimateAccurate(told, had) {
			within[q.team]++
		}
	}
	for i := range rows {
		n := max(1, of[i])
		rows[i].Team, rows[i].WeightShare = trialTeams[i].name, trialTeams[i].share/weights
		rows[i].WorkShare /= max(all, 1e-9)
		rows[i].MeanEstimate /= time.Duration(n)
		rows[i].MeanWait /= time.Duration(n)
		rows[i].AccurateEstimates = float64(within[i]) / float64(n)
	}
	return rows
}

// PrintTrialResults writes a table by team.
func PrintTrialResults(out io.Writer, rows []TrialTeamResult) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "team\tasked\tfinished\tdeferred\tkilled\tshare\tby weight\twait told\twait had\twithin 20%\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3fs\t%.3fs\t%.2f\t\n", r.Team, r.Submitted, r.Finished, r.Deferred, r.Killed,
			r.WorkShare, r.WeightShare, r.MeanEstimate.Seconds(), r.MeanWait.Seconds(), r.AccurateEstimates)
	}
	w.Flush()
}
