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
	Program string // the built railrelay
	Engines int
	Long    time.Duration
	Seed    uint64
	Log     io.Writer // what the controller logs
}

// trialTeams are its teams; the last floods.
var trialTeams = []struct {
	kind, name   string
	share, asks  float64 // of the engines: by weight, and asked for
	kindW, teamW int
}{
	{"municipalities", "linz", 0.30, 0.28, 5, 3}, {"municipalities", "steyr", 0.20, 0.15, 5, 2},
	{"brigades", "fire-north", 0.15, 0.10, 3, 1}, {"brigades", "fire-south", 0.15, 0.10, 3, 1},
	{"gauges", "upper", 0.10, 0.05, 2, 1}, {"gauges", "flood", 0.10, 3.0, 2, 1},
}

// Row is what a trial saw of a team.
type Row struct {
	Team                              string
	Asked, Finished, Deferred, Killed int
	Share, Weight                     float64 // of the work done, and by weight
	Told, Had                         time.Duration
	Within                            float64 // of first estimates
}

// trialEngine is its engines' figures. They only reckon: six of them take a small
// part of one core.
func trialEngine() engine.Config {
	f := engine.DefaultConfig()
	f.Cores, f.DiskParallelism, f.MemoryMB = 8, 16, 16384
	return f
}

func (t *Trial) setup(feedAddress, listen string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: try\nlisten: %s\nfeed: %s\nseed: %x\nlog: warn\nlimits: {cores: 1, memory_mb: 256, sockets: 1024}\n", listen, feedAddress, t.Seed)
	f := trialEngine()
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
			fmt.Fprintf(&b, "    - name: %s\n      weight: %d\n      teams:\n", kind, x.kindW)
		}
		fmt.Fprintf(&b, "        - {name: %s, weight: %d}\n", x.name, x.teamW)
	}
	return b.String()
}

// trialQuery is one query of a trial.
type trialQuery struct {
	team          int
	id            string
	work          engine.Work
	at            time.Time
	told          time.Duration
	started, over time.Time
	answer        client.Kind
}

// trialLog keeps what the clients and engines saw.
type trialLog struct {
	mu   sync.Mutex
	byID map[string]*trialQuery
	all  []*trialQuery
}

// Run plays it and gives what was seen of each team.
func (t *Trial) Run(ctx context.Context) (rows []Row, err error) {
	seen := &trialLog{byID: map[string]*trialQuery{}}
	err = t.with(ctx, t.setup, func(id string) {
		seen.mu.Lock()
		if q := seen.byID[id]; q != nil && q.started.IsZero() {
			q.started = time.Now()
		}
		seen.mu.Unlock()
	}, func(ctx context.Context, address string) error {
		var wg sync.WaitGroup
		faults := make([]error, len(trialTeams))
		for i := range trialTeams {
			wg.Add(1)
			go func() {
				defer wg.Done()
				faults[i] = t.client(ctx, address, i, seen)
			}()
		}
		wg.Wait()
		return errors.Join(faults...)
	})
	if err != nil {
		return nil, err
	}
	return t.rows(seen), nil
}

// with has something done with engines, a feed and a controller of a set-up, which
// setup writes for the feed's address and the one to listen on.
func (t *Trial) with(ctx context.Context, setup func(feedAddress, listen string) string, posted func(id string),
	do func(ctx context.Context, address string) error) (err error) {
	s, err := newStage(ctx, t.Program, t.Engines, trialEngine(), t.Log, func(_ int, s *engine.Server) {
		if posted != nil {
			s.OnSubmit = func(id, _ string, _ int, _ time.Duration) { posted(id) }
		}
	})
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.begin(setup(s.feed, s.address)); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.end()) }()
	return do(ctx, s.address)
}

// stage is engines, a feed and a controller that may be killed and begun again.
type stage struct {
	ctx           context.Context
	program       string
	log           io.Writer
	feed, address string
	dir           string
	running       *exec.Cmd
	closers       []func()
}

// newStage starts engines and a feed; each is told of each engine.
func newStage(ctx context.Context, program string, engines int, figures engine.Config, log io.Writer, each func(i int, s *engine.Server)) (s *stage, err error) {
	ctx, stop := context.WithCancel(ctx)
	s = &stage{ctx: ctx, program: program, log: log, closers: []func(){stop}}
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
		s.closers = append(s.closers, func() { e.Close() })
		e.WithServer(func(_ time.Duration, x *engine.Server) { each(i, x) })
		entries = append(entries, feed.Engine{ID: fmt.Sprintf("e%d", i), HostPort: e.Addr().String(), Locality: "here", Flavor: "std",
			Cell: 1, Phase: "SERVING", Size: 1})
	}
	list.Append(true, entries...)
	f, err := feed.Listen(ctx, "127.0.0.1:0", &list)
	if err != nil {
		return s, err
	}
	s.closers = append(s.closers, func() { f.Close() })
	s.feed = f.Addr().String()
	if s.address, err = loopback.FreeAddress(); err != nil {
		return s, err
	}
	if s.dir, err = os.MkdirTemp("", "railrelay-stage"); err == nil {
		s.closers = append(s.closers, func() { os.RemoveAll(s.dir) })
	}
	return s, err
}

func (s *stage) close() {
	if s.running != nil {
		s.kill()
	}
	for _, do := range slices.Backward(s.closers) {
		do()
	}
}

// begin starts the controller on a set-up and waits until it is ready.
func (s *stage) begin(setup string) error {
	path := filepath.Join(s.dir, "stage.yaml")
	if err := os.WriteFile(path, []byte(setup), 0o600); err != nil {
		return err
	}
	s.running = exec.CommandContext(s.ctx, s.program, "serve", "--setup", path)
	s.running.Stderr = s.log
	if err := s.running.Start(); err != nil {
		s.running = nil
		return err
	}
	return ready(s.ctx, s.address)
}

// kill ends it as a power cut to the program alone would.
func (s *stage) kill() {
	s.running.Process.Kill()
	s.running.Wait()
	s.running = nil
}

// end has it end by itself.
func (s *stage) end() error {
	p := s.running
	s.running = nil
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

// ready waits until a controller says that it is.
func ready(ctx context.Context, address string) error {
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

// client asks for one team's queries at its rate, whatever the answers, and reads
// these until all are there.
func (t *Trial) client(ctx context.Context, address string, team int, seen *trialLog) error {
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
	rate := trialTeams[team].asks * float64(t.Engines) * trialEngine().Cores / mean
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
						if q.told < 0 {
							q.told = a.Wait
						}
					} else {
						q.answer, q.over = a.Kind, time.Now()
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
		if next.Sub(start) > t.Long {
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
		q := &trialQuery{team: team, id: fmt.Sprintf("%08x%08x", team+1, msg), work: w, at: time.Now(), told: -1}
		fields := []string{"trace", q.id, "patience", fmt.Sprint(k.Patience.Milliseconds()), "team", trialTeams[team].name, "tell", "1"}
		if k.Load {
			fields = append(fields, "entity", fmt.Sprintf("k%d", rng.IntN(1000)))
		}
		seen.mu.Lock()
		seen.byID[q.id], seen.all = q, append(seen.all, q)
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

func (t *Trial) rows(seen *trialLog) []Row {
	rows := make([]Row, len(trialTeams))
	all := 0.0
	weights := 0.0
	for _, x := range trialTeams {
		weights += x.share
	}
	within, of := make([]int, len(rows)), make([]int, len(rows))
	for _, q := range seen.all {
		r := &rows[q.team]
		r.Asked++
		switch q.answer {
		case client.Finished:
			r.Finished++
			r.Share += q.work.CPU.Seconds()
			all += q.work.CPU.Seconds()
		case client.Deferred:
			r.Deferred++
		case client.Killed:
			r.Killed++
		}
		if q.started.IsZero() {
			continue
		}
		told, had := max(0, q.told), q.started.Sub(q.at)
		of[q.team]++
		r.Told += told
		r.Had += had
		if isEstimateAccurate(told, had) {
			within[q.team]++
		}
	}
	for i := range rows {
		n := max(1, of[i])
		rows[i].Team, rows[i].Weight = trialTeams[i].name, trialTeams[i].share/weights
		rows[i].Share /= max(all, 1e-9)
		rows[i].Told /= time.Duration(n)
		rows[i].Had /= time.Duration(n)
		rows[i].Within = float64(within[i]) / float64(n)
	}
	return rows
}

// PrintRows writes a table by team.
func PrintRows(out io.Writer, rows []Row) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "team\tasked\tfinished\tdeferred\tkilled\tshare\tby weight\twait told\twait had\twithin 20%\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3fs\t%.3fs\t%.2f\t\n", r.Team, r.Asked, r.Finished, r.Deferred, r.Killed,
			r.Share, r.Weight, r.Told.Seconds(), r.Had.Seconds(), r.Within)
	}
	w.Flush()
}
