package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/faultproxy"
	"railrelay.dev/railrelay/internal/emulator/feed"
	"railrelay.dev/railrelay/internal/emulator/loopback"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/transport"
	"railrelay.dev/railrelay/internal/historycheck"
)

// Together is many processes of the program, a link with faults between every two of
// them, engines in several sites, a feed, clients and operators.
type Together struct {
	Program           string // railrelay-fleet must stand beside it
	Voters, Followers int
	Seed              uint64
	Lease             time.Duration
}

// gathering is what runs.
type gathering struct {
	Together
	ctx     context.Context
	stop    context.CancelFunc
	dir     string
	start   time.Time
	rng     *rand.Rand
	keys    transport.Keys
	mesh    *faultproxy.Mesh
	feed    *feed.Listener
	list    []feed.Engine
	members []*process
	closers []func()
	clients sync.WaitGroup
	quit    chan struct{} // closed: clients ask no more

	mu          sync.Mutex
	rules       historycheck.History
	fleet       historycheck.FleetHistory
	words       []historycheck.ChangeReport
	asked       map[string]*askedFor
	serial      int
	kept        []keptAt
	marks       map[int]marked // by mark: the change that it tells of
	next        int            // the next mark
	version     uint64         // the latest that was told to be in force
	acts        [][]mark       // by controller: what engines saw
	faults      map[string]int
	further     int // bound queries that ran at an emergency's sites
	emergencies int
	changes     []*fleet.Request
	known       map[string]string // the last word told on each
}

type askedFor struct {
	at         time.Duration
	team       string
	table      int64
	controller int
}

func (g *gathering) since() time.Duration { return time.Since(g.start) }

// gather starts all and waits until every controller serves.
func (t Together) gather(ctx context.Context) (g *gathering, err error) {
	ctx, stop := context.WithCancel(ctx)
	g = &gathering{Together: t, ctx: ctx, stop: stop, start: time.Now(), rng: rand.New(rand.NewPCG(t.Seed, 0x706)), quit: make(chan struct{}),
		asked: map[string]*askedFor{}, marks: map[int]marked{0: {"the set-up's", 1}}, next: 1, version: 1, faults: map[string]int{}, known: map[string]string{}}
	defer func() {
		if err != nil {
			g.close()
		}
	}()
	if g.dir, err = os.MkdirTemp("", "railrelay-together"); err != nil {
		return g, err
	}
	g.rules = historycheck.History{KeyRest: 300 * time.Millisecond, DrainGrace: time.Second, MaxSubmissions: 3,
		Slack: 50 * time.Millisecond}
	g.rules.AddGroup("lookup", "read-only", false)
	g.rules.AddGroup("report", "read-only", false)
	g.rules.AddGroup("load", "mutating", true)
	g.fleet.Slack = 50 * time.Millisecond
	g.fleet.AddRules(0, "the set-up's", g.bound())
	if err = g.engines(); err != nil {
		return g, err
	}
	if err = os.WriteFile(g.path("keys"), []byte(strings.Repeat("5e", 32)), 0o600); err != nil {
		return g, err
	}
	if g.keys, err = transport.ReadKeys(g.path("keys")); err != nil {
		return g, err
	}
	var names []string
	for i := range t.Voters + t.Followers {
		names = append(names, fmt.Sprintf("c%d", i))
	}
	g.mesh = faultproxy.NewMesh(names...)
	g.closers = append(g.closers, g.mesh.Close)
	for i, name := range names {
		p := &process{name: name, site: []string{"east", "west"}[i%2]}
		if p.address, err = loopback.FreeAddress(); err != nil {
			return g, err
		}
		if p.control, err = loopback.FreeAddress(); err != nil {
			return g, err
		}
		l, err := net.Listen("tcp", g.mesh.SourceAddress(name)+":0")
		if err != nil {
			return g, err
		}
		p.listen = l.Addr().String()
		l.Close()
		g.mesh.SetTarget(name, p.listen)
		if p.peer, err = g.mesh.SharedAddress(name); err != nil {
			return g, err
		}
		if p.log, err = os.Create(g.path(name + ".log")); err != nil {
			return g, err
		}
		g.closers = append(g.closers, func() { p.log.Close() })
		g.members = append(g.members, p)
		g.acts = append(g.acts, nil)
	}
	for _, p := range g.members {
		if err = os.WriteFile(g.path(p.name+".yaml"), []byte(g.setup(p)), 0o600); err != nil {
			return g, err
		}
		if err = g.begin(p); err != nil {
			return g, err
		}
	}
	return g, g.allServe(20 * time.Second)
}

func (g *gathering) path(name string) string { return filepath.Join(g.dir, name) }

func (g *gathering) engines() error {
	sites := []string{"east", "east", "west", "west"}
	for k := range marks {
		sites = append(sites, fmt.Sprint("m", k))
	}
	var list feed.Log
	for i, site := range sites {
		e, err := engine.Listen(g.ctx, "127.0.0.1:0", trialEngineConfig(), false)
		if err != nil {
			return err
		}
		g.closers = append(g.closers, func() { e.Close() })
		name := fmt.Sprint("e", i)
		e.WithServer(func(_ time.Duration, s *engine.Server) {
			s.OnSubmit = func(id, _ string, rank int, _ time.Duration) { g.posted(id, name, site, rank) }
			s.Model.OnEnd = func(id string, how engine.Outcome, _ time.Duration) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.rules.Ended(g.since(), id, name, how == engine.Succeeded)
			}
		})
		g.list = append(g.list, feed.Engine{ID: name, HostPort: e.Addr().String(), Locality: site, Flavor: "std", Cell: 1, Phase: "SERVING", Size: 1})
	}
	list.Append(true, g.list...)
	f, err := feed.Listen(g.ctx, "127.0.0.1:0", &list)
	if err != nil {
		return err
	}
	g.feed = f
	g.closers = append(g.closers, func() { f.Close() })
	return nil
}

// posted: an engine has a query.
func (g *gathering) posted(id, name, site string, _ int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.since()
	g.rules.Submitted(now, id, name, true)
	q := g.asked[id]
	if q == nil {
		return
	}
	who := g.members[q.controller].name
	g.fleet.ResultStarted(now, id, q.team, q.table)
	if q.team == "linz" && site == "west" {
		g.further++
	}
	if q.team != "mark" {
		g.fleet.Ran(now, q.at, who, id, q.team, site, q.table)
		return
	}
	k, err := strconv.Atoi(strings.TrimPrefix(site, "m"))
	m, had := g.marks[k]
	if err != nil || !had {
		g.rules.AddFault(now, "a query of mark at "+site+", where no policy has put it")
		return
	}
	g.fleet.Acted(now, q.at, who, id, m.version)
	g.fleet.ActedByChange(now, who, id, m.change)
	g.acts[q.controller] = append(g.acts[q.controller], mark{now, m.version})
}

func (g *gathering) bound() historycheck.Rule {
	return historycheck.Rule{Team: "linz", Sites: []string{"east"}}
}

func placementText(k int) string {
	return fmt.Sprintf(`placement:
  - {name: linz-east, team: linz, engines: [east], controllers: [east, west], emergency: {sites: [west], after: 1s}}
  - {name: marks, team: mark, engines: [m%d], controllers: [east, west]}
`, k)
}

func (g *gathering) close() {
	if g.stop(); g.dir == "" {
		return
	}
	defer func() { g.dir = "" }()
	for _, p := range g.members {
		if p.running != nil {
			if p.stopped {
				p.running.Process.Signal(syscall.SIGCONT)
			}
			p.running.Process.Kill()
			<-p.ended
		}
	}
	g.clients.Wait()
	for _, do := range slices.Backward(g.closers) {
		do()
	}
	os.RemoveAll(g.dir)
}

// patienceTogether is what its clients wait for an answer.
const patienceTogether = 8 * time.Second
