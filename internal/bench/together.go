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

// FaultFleetConfig is many processes of the program, a link with faults between every two of
// them, engines in several sites, a feed, clients and operators.
type FaultFleetConfig struct {
	Program           string // railrelay-fleet must stand beside it
	Voters, Followers int
	Seed              uint64
	Lease             time.Duration
}

// faultFleet is what runs.
type faultFleet struct {
	FaultFleetConfig
	ctx         context.Context
	cancel      context.CancelFunc
	dir         string
	startedAt   time.Time
	rng         *rand.Rand
	keys        transport.Keys
	mesh        *faultproxy.Mesh
	feed        *feed.Listener
	feedEngines []feed.Engine
	members     []*fleetProcess
	cleanups    []func()
	clients     sync.WaitGroup
	stopClients chan struct{} // closed: clients ask no more

	mu               sync.Mutex
	queryHistory     historycheck.History
	fleetHistory     historycheck.FleetHistory
	changeReports    []historycheck.ChangeReport
	sentQueries      map[string]*fleetSentQuery
	serial           int
	storedResults    []fleetStoredResult
	markerVersions   map[int]markerVersion  // by mark: the change that it tells of
	nextMarker       int                    // the next mark
	latestVersion    uint64                 // the latest that was told to be in force
	observedVersions [][]versionObservation // by controller: what engines saw
	faultCounts      map[string]int
	emergencyQueries int // bound queries that ran at an emergency's sites
	emergencies      int
	changeRequests   []*fleet.Request
	knownOutcomes    map[string]string // the last word told on each
}

type fleetSentQuery struct {
	sentAt     time.Duration
	team       string
	table      int64
	controller int
}

func (g *faultFleet) elapsed() time.Duration { return time.Since(g.startedAt) }

// start starts all and waits until every controller serves.
func (t FaultFleetConfig) start(ctx context.Context) (g *faultFleet, err error) {
	ctx, stop := context.WithCancel(ctx)
	g = &faultFleet{FaultFleetConfig: t, ctx: ctx, cancel: stop, startedAt: time.Now(), rng: rand.New(rand.NewPCG(t.Seed, 0x706)), stopClients: make(chan struct{}),
		sentQueries: map[string]*fleetSentQuery{}, markerVersions: map[int]markerVersion{0: {"the set-up's", 1}}, nextMarker: 1, latestVersion: 1, faultCounts: map[string]int{}, knownOutcomes: map[string]string{}}
	defer func() {
		if err != nil {
			g.close()
		}
	}()
	if g.dir, err = os.MkdirTemp("", "railrelay-together"); err != nil {
		return g, err
	}
	g.queryHistory = historycheck.History{KeyRest: 300 * time.Millisecond, DrainGrace: time.Second, MaxSubmissions: 3,
		Slack: 50 * time.Millisecond}
	g.queryHistory.AddGroup("lookup", "read-only", false)
	g.queryHistory.AddGroup("report", "read-only", false)
	g.queryHistory.AddGroup("load", "mutating", true)
	g.fleetHistory.Slack = 50 * time.Millisecond
	g.fleetHistory.AddRules(0, "the set-up's", g.placementRule())
	if err = g.startEngines(); err != nil {
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
	g.cleanups = append(g.cleanups, g.mesh.Close)
	for i, name := range names {
		p := &fleetProcess{name: name, site: []string{"east", "west"}[i%2]}
		if p.clientAddress, err = loopback.FreeAddress(); err != nil {
			return g, err
		}
		if p.controlAddress, err = loopback.FreeAddress(); err != nil {
			return g, err
		}
		l, err := net.Listen("tcp", g.mesh.SourceAddress(name)+":0")
		if err != nil {
			return g, err
		}
		p.listenAddress = l.Addr().String()
		l.Close()
		g.mesh.SetTarget(name, p.listenAddress)
		if p.peerAddress, err = g.mesh.SharedAddress(name); err != nil {
			return g, err
		}
		if p.logFile, err = os.Create(g.path(name + ".log")); err != nil {
			return g, err
		}
		g.cleanups = append(g.cleanups, func() { p.logFile.Close() })
		g.members = append(g.members, p)
		g.observedVersions = append(g.observedVersions, nil)
	}
	for _, p := range g.members {
		if err = os.WriteFile(g.path(p.name+".yaml"), []byte(g.setupYAML(p)), 0o600); err != nil {
			return g, err
		}
		if err = g.startProcess(p); err != nil {
			return g, err
		}
	}
	return g, g.awaitAllServing(20 * time.Second)
}

func (g *faultFleet) path(name string) string { return filepath.Join(g.dir, name) }

func (g *faultFleet) startEngines() error {
	sites := []string{"east", "east", "west", "west"}
	for k := range markerSites {
		sites = append(sites, fmt.Sprint("m", k))
	}
	var list feed.Log
	for i, site := range sites {
		e, err := engine.Listen(g.ctx, "127.0.0.1:0", trialEngineConfig(), false)
		if err != nil {
			return err
		}
		g.cleanups = append(g.cleanups, func() { e.Close() })
		name := fmt.Sprint("e", i)
		e.WithServer(func(_ time.Duration, s *engine.Server) {
			s.OnSubmit = func(id, _ string, rank int, _ time.Duration) { g.recordSubmission(id, name, site, rank) }
			s.Model.OnEnd = func(id string, how engine.Outcome, _ time.Duration) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.queryHistory.Ended(g.elapsed(), id, name, how == engine.Succeeded)
			}
		})
		g.feedEngines = append(g.feedEngines, feed.Engine{ID: name, HostPort: e.Addr().String(), Locality: site, Flavor: "std", Cell: 1, Phase: "SERVING", Size: 1})
	}
	list.Append(true, g.feedEngines...)
	f, err := feed.Listen(g.ctx, "127.0.0.1:0", &list)
	if err != nil {
		return err
	}
	g.feed = f
	g.cleanups = append(g.cleanups, func() { f.Close() })
	return nil
}

// recordSubmission: an engine has a query.
func (g *faultFleet) recordSubmission(id, name, site string, _ int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.elapsed()
	g.queryHistory.Submitted(now, id, name, true)
	q := g.sentQueries[id]
	if q == nil {
		return
	}
	who := g.members[q.controller].name
	g.fleetHistory.ResultStarted(now, id, q.team, q.table)
	if q.team == "linz" && site == "west" {
		g.emergencyQueries++
	}
	if q.team != "mark" {
		g.fleetHistory.Ran(now, q.sentAt, who, id, q.team, site, q.table)
		return
	}
	k, err := strconv.Atoi(strings.TrimPrefix(site, "m"))
	m, had := g.markerVersions[k]
	if err != nil || !had {
		g.queryHistory.AddFault(now, "a query of mark at "+site+", where no policy has put it")
		return
	}
	g.fleetHistory.Acted(now, q.sentAt, who, id, m.version)
	g.fleetHistory.ActedByChange(now, who, id, m.change)
	g.observedVersions[q.controller] = append(g.observedVersions[q.controller], versionObservation{now, m.version})
}

func (g *faultFleet) placementRule() historycheck.Rule {
	return historycheck.Rule{Tenant: "linz", Sites: []string{"east"}}
}

func placementYAML(k int) string {
	return fmt.Sprintf(`placement:
  - {name: linz-east, team: linz, engines: [east], controllers: [east, west], emergency: {sites: [west], after: 1s}}
  - {name: marks, team: mark, engines: [m%d], controllers: [east, west]}
`, k)
}

func (g *faultFleet) close() {
	if g.cancel(); g.dir == "" {
		return
	}
	defer func() { g.dir = "" }()
	for _, p := range g.members {
		if p.command != nil {
			if p.paused {
				p.command.Process.Signal(syscall.SIGCONT)
			}
			p.command.Process.Kill()
			<-p.exited
		}
	}
	g.clients.Wait()
	for _, do := range slices.Backward(g.cleanups) {
		do()
	}
	os.RemoveAll(g.dir)
}

// faultFleetClientTimeout is what its clients wait for an answer.
const faultFleetClientTimeout = 8 * time.Second
