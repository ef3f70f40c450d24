package bench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/faultproxy"
	"railrelay.dev/railrelay/internal/emulator/feed"
	"railrelay.dev/railrelay/internal/emulator/hollow"
	"railrelay.dev/railrelay/internal/fleet"
)

const (
	scaleZones             = 6
	scaleRegions           = 2
	hollowPeerPort         = 7600
	hollowClientPort       = 7602 // nobody listens there
	scaleEnginePort        = 6565
	realMemoryMB           = 128
	realClientSockets      = 256
	scaleElectionTimeout   = 500 * time.Millisecond // as a set-up has them that doesn't say
	scaleHeartbeatInterval = 100 * time.Millisecond
	scaleWriteDelay        = time.Millisecond
)

// scaleLinks are half of the round trips in a zone, a region and between regions.
var scaleLinks = hollow.Links{Zone: 500 * time.Microsecond, Region: time.Millisecond, Regions: 20 * time.Millisecond, Jitter: 0.2}

// scaleFleetCount counts those of this process, so that each has addresses of its own.
var scaleFleetCount atomic.Int64

// scaleMember is one controller of a scale run.
type scaleMember struct {
	name              string
	index             int // among all
	place             hollow.Place
	clientAddress     string // where clients come in
	listenAddress     string // where it really takes peers in
	advertisedAddress string // what peers are told
	isVoter           bool
	isRelay           bool
	process           *controllerProcess // nil: it is hollow
}

// scaleFleet is a run's fleet.
type scaleFleet struct {
	Scale
	*fleetFiles
	ctx             context.Context
	stop            context.CancelFunc
	number          int64
	members         []*scaleMember
	byName          map[string]*scaleMember
	real            []*scaleMember
	hollow          []*scaleMember
	hollowProcesses []*hollowProcess
	mesh            *faultproxy.Mesh
	feed            *feed.Listener
	checker         *scaleChecker
	closers         []func()
	samplers        sync.WaitGroup // samplers

	mu             sync.Mutex
	version        uint64 // in force
	policy         []byte // its text
	changeCount    int    // of changes
	countRound     int    // of counting
	requestCount   int
	changeRequests []*fleet.Request
}

// startFleet starts a fleet and waits until every controller serves.
func (s Scale) startFleet(ctx context.Context, number int64) (*scaleFleet, error) {
	place, err := newFleetFiles("railrelay-scale")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	f := &scaleFleet{Scale: s, fleetFiles: place, ctx: ctx, stop: stop, number: number, byName: map[string]*scaleMember{}, checker: newScaleChecker(), version: 1}
	for _, step := range []func() error{f.startEngines, f.planMembers, f.startRealControllers, f.startHollowControllers, f.awaitAllServing} {
		if err := step(); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

// hostAddress is a loopback address of this fleet's own.
func (f *scaleFleet) hostAddress(block, i int) string {
	const blocks = 3
	return fmt.Sprintf("127.%d.%d.%d", 100+(int64(os.Getpid())*7+f.number*blocks+int64(block))%150, i/250, i%250+1)
}

const (
	hollowBlock = iota
	engineBlock
	realBlock
)

// startEngines listens as all engines, in this process, and as the feed that lists them.
func (f *scaleFleet) startEngines() error {
	var list []feed.Engine
	for i := range f.Engines {
		e, err := engine.Listen(f.ctx, fmt.Sprintf("%s:%d", f.hostAddress(engineBlock, i), scaleEnginePort), trialEngineConfig(), false)
		if err != nil {
			return err
		}
		f.closers = append(f.closers, func() { e.Close() })
		list = append(list, feed.Engine{ID: fmt.Sprint("e", i), HostPort: e.Addr().String(), Locality: scaleZone(i), Flavor: "std", Cell: i,
			Phase: "SERVING", Size: 1})
	}
	var log feed.Log
	log.Append(true, list...)
	listener, err := feed.Listen(f.ctx, "127.0.0.1:0", &log)
	if err != nil {
		return err
	}
	f.feed = listener
	f.closers = append(f.closers, func() { listener.Close() })
	return nil
}

// zonesWithEngines are those that have at least one of so many.
func zonesWithEngines(engines int) (l []string) {
	for i := range min(engines, scaleZones) {
		l = append(l, scaleZone(i))
	}
	return l
}

func scaleZone(i int) string { return fmt.Sprint("z", i%scaleZones) }

// scalePlace has controllers take turns in the zones, and these in the two regions.
func scalePlace(i int) hollow.Place {
	return hollow.Place{Region: []string{"east", "west"}[i%scaleRegions], Zone: scaleZone(i)}
}

// planMembers says who there is, and where.
func (f *scaleFleet) planMembers() error {
	var names []string
	for i := range f.Controllers {
		if f.isReal(i) {
			names = append(names, fmt.Sprint("c", i))
		}
	}
	if f.LinkDelays {
		f.mesh = faultproxy.NewMesh(names...)
		f.closers = append(f.closers, func() { f.mesh.Close() })
	}
	for i := range f.Controllers {
		m := &scaleMember{name: fmt.Sprint("c", i), index: i, place: scalePlace(i), isVoter: i < f.Voters, isRelay: i >= f.Voters && i < f.Voters+f.Relays}
		if f.isReal(i) {
			if err := f.planRealMember(i, m); err != nil {
				return err
			}
			f.real = append(f.real, m)
		} else {
			m.listenAddress = fmt.Sprintf("%s:%d", f.hostAddress(hollowBlock, i), hollowPeerPort)
			m.advertisedAddress, m.clientAddress = m.listenAddress, fmt.Sprintf("%s:%d", f.hostAddress(hollowBlock, i), hollowClientPort)
			f.hollow = append(f.hollow, m)
		}
		f.members = append(f.members, m)
		f.byName[m.name] = m
	}
	if f.LinkDelays {
		f.delayLinks()
	}
	for _, m := range f.real {
		if err := os.WriteFile(m.process.setupFile, []byte(f.setupFor(m).yaml()), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// planRealMember finds addresses for a process, and a front that leads to it through links.
func (f *scaleFleet) planRealMember(i int, m *scaleMember) (err error) {
	host := f.hostAddress(realBlock, i)
	if f.LinkDelays {
		host = f.mesh.SourceAddress(m.name)
	}
	if m.listenAddress, err = freeAddress(host); err != nil {
		return err
	}
	m.advertisedAddress = m.listenAddress
	if f.LinkDelays {
		f.mesh.SetTarget(m.name, m.listenAddress)
		if m.advertisedAddress, err = f.mesh.SharedAddress(m.name); err != nil {
			return err
		}
	}
	control, err := freeAddress(host)
	if err != nil {
		return err
	}
	if m.clientAddress, err = freeAddress(host); err != nil {
		return err
	}
	m.process = &controllerProcess{name: m.name, program: f.Program, setupFile: f.path(m.name + ".yaml"), directory: f.path(m.name),
		operatorClient: operatorClient{control, f.keys}}
	return nil
}

// freeAddress finds a port that is free at a loopback address of a controller's own. What
// it connects from that address comes later.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// delayLinks gives each link between two processes its time.
func (f *scaleFleet) delayLinks() {
	random := f.newRand(1)
	for _, a := range f.real {
		for _, b := range f.real {
			if a != b {
				span := scaleLinks.OneWay(a.place, b.place)
				f.mesh.SetFault(a.name, b.name, faultproxy.Fault{Kind: faultproxy.Delay, Latency: span, Jitter: time.Duration(float64(span) * scaleLinks.Jitter), Seed: random.Uint64()})
			}
		}
	}
}

func (f *scaleFleet) voters() (l []hollow.Peer) {
	for _, m := range f.members[:f.Voters] {
		l = append(l, hollow.Peer{Name: m.name, Address: m.advertisedAddress})
	}
	return l
}

// relaysFor are the two relays that a controller asks, of its own region where there are
// two; none for those who vote or relay.
func (f *scaleFleet) relaysFor(m *scaleMember) (l []hollow.Peer) {
	if f.Relays == 0 || m.isVoter || m.isRelay {
		return nil
	}
	all := f.members[f.Voters : f.Voters+f.Relays]
	near := slices.DeleteFunc(slices.Clone(all), func(r *scaleMember) bool { return r.place.Region != m.place.Region })
	if len(near) < 2 {
		near = all
	}
	turn := m.index / scaleRegions // neighbours by number are in different regions
	for k := range 2 {
		r := near[(turn+k)%len(near)]
		l = append(l, hollow.Peer{Name: r.name, Address: r.advertisedAddress})
	}
	return l
}

// setupFor is a process's set-up.
func (f *scaleFleet) setupFor(m *scaleMember) controllerSetup {
	s := controllerSetup{Name: m.name, ClientAddress: m.clientAddress, FeedAddress: f.feed.Addr().String(), Controllers: f.Controllers,
		Zones: zonesWithEngines(scaleZones), Zone: m.place.Zone, MemoryMB: realMemoryMB, Sockets: realClientSockets + 2*f.Engines, FleetName: "scale", PeerListenAddress: m.listenAddress, ControlAddress: m.process.address,
		Directory: m.process.directory, KeyFile: f.keyFile, Lease: f.Lease, Voters: f.voters(), ControlOnly: f.isSetAside(m),
		IsRelay: m.isRelay, Relays: f.relaysFor(m)}
	if m.advertisedAddress != m.listenAddress {
		s.PeerAddress = m.advertisedAddress
	}
	return s
}

// isSetAside: a process stands on a machine set aside for control, and has that role. Relays
// always do.
func (f *scaleFleet) isSetAside(m *scaleMember) bool { return m.isRelay || m.isVoter && f.SetAside }

func (f *scaleFleet) startRealControllers() error {
	for _, m := range f.real {
		if err := m.process.start(f.ctx); err != nil {
			return err
		}
	}
	return nil
}

// startHollowControllers starts the processes of hollow controllers, and these.
func (f *scaleFleet) startHollowControllers() error {
	if len(f.hollow) == 0 {
		return nil
	}
	laboratory, err := f.benchProgram()
	if err != nil {
		return err
	}
	config := hollow.Config{Fleet: "scale", Keys: f.keyFile, Voters: f.voters(), Sites: zonesWithEngines(f.Engines), Lease: f.Lease, Election: scaleElectionTimeout, Heartbeat: scaleHeartbeatInterval,
		WriteDelay: scaleWriteDelay, StartWithin: f.Lease / 4, Seed: f.Seed, Places: map[string]hollow.Place{}, DirectAddresses: map[string]string{}}
	if f.LinkDelays {
		config.Links = scaleLinks
	}
	for _, m := range f.members {
		host, _, _ := net.SplitHostPort(m.listenAddress)
		config.Places[host] = m.place
		if m.advertisedAddress != m.listenAddress {
			config.DirectAddresses[m.advertisedAddress] = m.listenAddress
		}
	}
	for part := range slices.Chunk(f.hollow, maxHollowPerProcess) {
		config.Controllers = nil
		for _, m := range part {
			config.Controllers = append(config.Controllers, hollow.Member{Name: m.name, ListenAddress: m.listenAddress, ClientAddress: m.clientAddress, Place: m.place,
				Relays: f.relaysFor(m)})
		}
		p, err := startHollowProcess(f.ctx, laboratory, config, f.handleHollowEvent)
		if err != nil {
			return err
		}
		f.hollowProcesses = append(f.hollowProcesses, p)
	}
	return f.sendHollowCommand(hollow.Command{Do: hollow.Start})
}

// handleHollowEvent takes what hollow controllers tell.
func (f *scaleFleet) handleHollowEvent(e hollow.Event) {
	switch at := time.Unix(0, e.At); e.Kind {
	case hollow.Serving:
		f.checker.beginSpan(e.Name, e.Version, e.Policy, at)
	case hollow.Ended:
		f.checker.endSpan(e.Name, at)
	}
}

// sendHollowCommand passes a command on to all hollow processes.
func (f *scaleFleet) sendHollowCommand(command hollow.Command) (err error) {
	for _, p := range f.hollowProcesses {
		err = errors.Join(err, p.failure(), p.send(command))
	}
	return err
}

// awaitAllServing waits until every controller serves.
func (f *scaleFleet) awaitAllServing() error {
	for _, m := range f.real {
		if err := m.process.awaitServing(f.ctx, scaleServeTimeout, scalePollInterval); err != nil {
			return err
		}
	}
	return f.awaitHollowServing(scaleServeTimeout)
}

// awaitHollowServing waits until every hollow controller serves.
func (f *scaleFleet) awaitHollowServing(within time.Duration) error {
	want := len(f.hollow)
	for end := time.Now().Add(within); f.checker.countServing() < want; sleep(f.ctx, scalePollInterval) {
		for _, p := range f.hollowProcesses {
			if err := p.failure(); err != nil {
				return err
			}
		}
		if f.ctx.Err() != nil {
			return f.ctx.Err()
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d hollow controllers serve after %v", f.checker.countServing(), want, within)
		}
	}
	return nil
}

// findLeader is who leads by what most of the real ones say.
func (f *scaleFleet) findLeader() (*scaleMember, error) {
	for end := time.Now().Add(scaleLeaderTimeout); time.Now().Before(end) && f.ctx.Err() == nil; sleep(f.ctx, scalePollInterval) {
		for _, m := range f.real {
			if !m.process.isResponsive() {
				continue
			}
			l := f.byName[m.process.status(f.ctx).Leader]
			if l != nil && l.process == nil {
				if err := f.restartHollowLeader(l); err != nil {
					return nil, err
				}
			} else if l != nil && l.process.isResponsive() && l.process.status(f.ctx).Leader == l.name {
				return l, nil
			}
		}
	}
	return nil, errors.New("nobody leads")
}

// restartHollowLeader has a hollow voter that leads be started anew, so that a process leads.
func (f *scaleFleet) restartHollowLeader(m *scaleMember) error {
	err := f.sendHollowCommand(hollow.Command{Do: hollow.Stop, Names: []string{m.name}})
	sleep(f.ctx, 3*scaleElectionTimeout)
	return errors.Join(err, f.sendHollowCommand(hollow.Command{Do: hollow.Start, Names: []string{m.name}}))
}

// close ends all processes and listeners. It may be called twice.
func (f *scaleFleet) close() {
	f.stop()
	f.samplers.Wait()
	for _, m := range f.real {
		m.process.kill()
	}
	for _, p := range f.hollowProcesses {
		p.close()
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
	f.real, f.hollowProcesses, f.closers = nil, nil, nil
	f.remove()
}
