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

// FaultFleetConfig configures a fleet of real processes for fault injection. The fleet has a faulty link
// between every two processes, engines in several sites, a discovery feed, clients and operators.
type FaultFleetConfig struct {
	Program           string // path of the program; railrelay-fleet must be in the same directory
	Voters, Followers int
	Seed              uint64
	Lease             time.Duration // duration of a serving lease
}

// faultFleet is a running fleet with its engines and clients, and the history that they observed.
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
	stopClients chan struct{} // when closed, clients send no more queries

	mu               sync.Mutex
	queryHistory     historycheck.History
	fleetHistory     historycheck.FleetHistory
	changeReports    []historycheck.ChangeReport
	sentQueries      map[string]*fleetSentQuery // by query ID
	serial           int                        // of the latest query or purge
	storedResults    []fleetStoredResult
	markerVersions   map[int]markerVersion  // by number of the marker site
	nextMarker       int                    // next marker, counted without wrapping at markerSites
	latestVersion    uint64                 // latest policy version that was reported as in force
	observedVersions [][]versionObservation // by controller, as the engines observed them
	faultCounts      map[string]int         // by description of the fault
	emergencyQueries int                    // queries of the bound team that ran at its emergency site
	emergencies      int
	changeRequests   []*fleet.Request
	knownOutcomes    map[string]string // latest reported outcome by ID of the change
}

// fleetSentQuery is a query that a client sent to a controller.
type fleetSentQuery struct {
	sentAt     time.Duration
	team       string
	table      int64
	controller int // index in members
}

func (ff *faultFleet) elapsed() time.Duration { return time.Since(ff.startedAt) }

// start starts the fleet and waits until every controller serves.
func (config FaultFleetConfig) start(ctx context.Context) (ff *faultFleet, err error) {
	ctx, cancel := context.WithCancel(ctx)
	ff = &faultFleet{
		FaultFleetConfig: config,
		ctx:              ctx,
		cancel:           cancel,
		startedAt:        time.Now(),
		rng:              rand.New(rand.NewPCG(config.Seed, 0x706)),
		stopClients:      make(chan struct{}),
		sentQueries:      map[string]*fleetSentQuery{},
		markerVersions:   map[int]markerVersion{0: {"initial setup", 1}},
		nextMarker:       1,
		latestVersion:    1,
		faultCounts:      map[string]int{},
		knownOutcomes:    map[string]string{},
	}
	defer func() {
		if err != nil {
			ff.close()
		}
	}()
	if ff.dir, err = os.MkdirTemp("", "railrelay-together"); err != nil {
		return ff, err
	}
	ff.queryHistory = historycheck.History{
		KeyRest:        300 * time.Millisecond,
		DrainGrace:     time.Second,
		MaxSubmissions: 3,
		Slack:          50 * time.Millisecond,
	}
	ff.queryHistory.AddGroup("lookup", "read-only", false)
	ff.queryHistory.AddGroup("report", "read-only", false)
	ff.queryHistory.AddGroup("load", "mutating", true)
	ff.fleetHistory.Slack = 50 * time.Millisecond
	ff.fleetHistory.AddRules(0, "initial setup", ff.placementRule())
	if err = ff.startEngines(); err != nil {
		return ff, err
	}
	if err = os.WriteFile(ff.path("keys"), []byte(strings.Repeat("5e", 32)), 0o600); err != nil {
		return ff, err
	}
	if ff.keys, err = transport.ReadKeys(ff.path("keys")); err != nil {
		return ff, err
	}
	var names []string
	for i := range config.Voters + config.Followers {
		names = append(names, fmt.Sprintf("c%d", i))
	}
	ff.mesh = faultproxy.NewMesh(names...)
	ff.cleanups = append(ff.cleanups, ff.mesh.Close)
	for i, name := range names {
		p := &fleetProcess{name: name, site: []string{"east", "west"}[i%2]}
		if p.clientAddress, err = loopback.FreeAddress(); err != nil {
			return ff, err
		}
		if p.controlAddress, err = loopback.FreeAddress(); err != nil {
			return ff, err
		}
		listener, err := net.Listen("tcp", ff.mesh.SourceAddress(name)+":0")
		if err != nil {
			return ff, err
		}
		p.listenAddress = listener.Addr().String()
		listener.Close()
		ff.mesh.SetTarget(name, p.listenAddress)
		if p.peerAddress, err = ff.mesh.SharedAddress(name); err != nil {
			return ff, err
		}
		if p.logFile, err = os.Create(ff.path(name + ".log")); err != nil {
			return ff, err
		}
		ff.cleanups = append(ff.cleanups, func() { p.logFile.Close() })
		ff.members = append(ff.members, p)
		ff.observedVersions = append(ff.observedVersions, nil)
	}
	for _, p := range ff.members {
		if err = os.WriteFile(ff.path(p.name+".yaml"), []byte(ff.setupYAML(p)), 0o600); err != nil {
			return ff, err
		}
		if err = ff.startProcess(p); err != nil {
			return ff, err
		}
	}
	return ff, ff.awaitAllServing(20 * time.Second)
}

func (ff *faultFleet) path(name string) string { return filepath.Join(ff.dir, name) }

// startEngines starts two engines in each of the sites east and west, one in each marker site, and the
// feed that lists them.
func (ff *faultFleet) startEngines() error {
	sites := []string{"east", "east", "west", "west"}
	for marker := range markerSites {
		sites = append(sites, fmt.Sprint("m", marker))
	}
	var feedLog feed.Log
	for i, site := range sites {
		e, err := engine.Listen(ff.ctx, "127.0.0.1:0", trialEngineConfig(), false)
		if err != nil {
			return err
		}
		ff.cleanups = append(ff.cleanups, func() { e.Close() })
		name := fmt.Sprint("e", i)
		e.WithServer(func(_ time.Duration, s *engine.Server) {
			s.OnSubmit = func(id, _ string, rank int, _ time.Duration) {
				ff.recordSubmission(id, name, site, rank)
			}
			s.Model.OnEnd = func(id string, outcome engine.Outcome, _ time.Duration) {
				ff.mu.Lock()
				defer ff.mu.Unlock()
				ff.queryHistory.Ended(ff.elapsed(), id, name, outcome == engine.Succeeded)
			}
		})
		ff.feedEngines = append(ff.feedEngines, feed.Engine{ID: name, HostPort: e.Addr().String(),
			Locality: site, Flavor: "std", Cell: 1, Phase: "SERVING", Size: 1})
	}
	feedLog.Append(true, ff.feedEngines...)
	listener, err := feed.Listen(ff.ctx, "127.0.0.1:0", &feedLog)
	if err != nil {
		return err
	}
	ff.feed = listener
	ff.cleanups = append(ff.cleanups, func() { listener.Close() })
	return nil
}

// recordSubmission adds the submission of a query to an engine to the histories. For a query of the team
// mark, the engine's site identifies the policy version that the controller acted on.
func (ff *faultFleet) recordSubmission(id, engineName, site string, _ int) {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	now := ff.elapsed()
	ff.queryHistory.Submitted(now, id, engineName, true)
	q := ff.sentQueries[id]
	if q == nil {
		return
	}
	controller := ff.members[q.controller].name
	ff.fleetHistory.ResultStarted(now, id, q.team, q.table)
	if q.team == "linz" && site == "west" {
		ff.emergencyQueries++
	}
	if q.team != "mark" {
		ff.fleetHistory.Ran(now, q.sentAt, controller, id, q.team, site, q.table)
		return
	}
	marker, err := strconv.Atoi(strings.TrimPrefix(site, "m"))
	acted, isKnown := ff.markerVersions[marker]
	if err != nil || !isKnown {
		ff.queryHistory.AddFault(now, "a query of team mark ran at "+site+", to which no policy binds the team")
		return
	}
	ff.fleetHistory.Acted(now, q.sentAt, controller, id, acted.version)
	ff.fleetHistory.ActedByChange(now, controller, id, acted.change)
	ff.observedVersions[q.controller] = append(ff.observedVersions[q.controller],
		versionObservation{now, acted.version})
}

// placementRule returns the rule of placementYAML that binds the team linz to the site east.
func (ff *faultFleet) placementRule() historycheck.Rule {
	return historycheck.Rule{Tenant: "linz", Sites: []string{"east"}}
}

// placementYAML returns the policy that binds the team mark to a marker site. In an emergency, the team linz
// may also run at the site west.
func placementYAML(marker int) string {
	return fmt.Sprintf("placement:\n"+
		"  - {name: linz-east, team: linz, engines: [east], controllers: [east, west], "+
		"emergency: {sites: [west], after: 1s}}\n"+
		"  - {name: marks, team: mark, engines: [m%d], controllers: [east, west]}\n", marker)
}

// close kills the processes, waits for the clients and removes the fleet's files.
func (ff *faultFleet) close() {
	if ff.cancel(); ff.dir == "" {
		return
	}
	defer func() { ff.dir = "" }()
	for _, p := range ff.members {
		if p.command != nil {
			if p.paused {
				p.command.Process.Signal(syscall.SIGCONT)
			}
			p.command.Process.Kill()
			<-p.exited
		}
	}
	ff.clients.Wait()
	for _, cleanup := range slices.Backward(ff.cleanups) {
		cleanup()
	}
	os.RemoveAll(ff.dir)
}

// faultFleetClientTimeout is how long clients wait for an answer.
const faultFleetClientTimeout = 8 * time.Second
