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
	hollowClientPort       = 7602 // advertised only: hollow controllers don't listen for clients
	scaleEnginePort        = 6565
	realMemoryMB           = 128
	realClientSockets      = 256
	scaleElectionTimeout   = 500 * time.Millisecond // the default of a controller's configuration
	scaleHeartbeatInterval = 100 * time.Millisecond
	scaleWriteDelay        = time.Millisecond // of a hollow controller's log
)

// scaleLinks has the one-way latencies within a zone, between zones and between regions.
var scaleLinks = hollow.Links{Zone: 500 * time.Microsecond, Region: time.Millisecond,
	Regions: 20 * time.Millisecond, Jitter: 0.2}

// scaleFleetCount counts the fleets that this process has started. Each has addresses of its own.
var scaleFleetCount atomic.Int64

// scaleMember is one controller of a scale run.
type scaleMember struct {
	name              string
	index             int // in scaleFleet.members
	place             hollow.Place
	clientAddress     string // on which the controller accepts clients
	listenAddress     string // on which the controller accepts peers
	advertisedAddress string // to which peers connect: listenAddress, or a proxy's address
	isVoter           bool
	isRelay           bool
	process           *controllerProcess // nil for a hollow controller
}

// scaleFleet is the running fleet of a scale run.
type scaleFleet struct {
	Scale
	*fleetFiles
	ctx             context.Context
	stop            context.CancelFunc
	number          int64 // distinguishes the loopback addresses of the fleets of this process
	members         []*scaleMember
	byName          map[string]*scaleMember
	real            []*scaleMember
	hollow          []*scaleMember
	hollowProcesses []*hollowProcess
	mesh            *faultproxy.Mesh // nil without LinkDelays
	feed            *feed.Listener
	checker         *scaleChecker
	closers         []func()
	samplers        sync.WaitGroup

	mu             sync.Mutex
	version        uint64 // of the policy in force
	policy         []byte // text of the policy in force
	changeCount    int
	countRound     int // number of the last command hollow.Report
	requestCount   int // selects the real controller that gets the next request
	changeRequests []*fleet.Request
}

// startFleet starts a fleet and waits until all controllers serve.
func (s Scale) startFleet(ctx context.Context, number int64) (*scaleFleet, error) {
	files, err := newFleetFiles("railrelay-scale")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	f := &scaleFleet{Scale: s, fleetFiles: files, ctx: ctx, stop: stop, number: number,
		byName: map[string]*scaleMember{}, checker: newScaleChecker(), version: 1}
	for _, step := range []func() error{f.startEngines, f.planMembers, f.startRealControllers,
		f.startHollowControllers, f.awaitAllServing} {
		if err := step(); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

// hostAddress returns the loopback IP address of the host with an index in an address block. Each fleet of
// this process has blocks of its own; the process ID makes those of concurrent runs differ.
func (f *scaleFleet) hostAddress(block, i int) string {
	const blocks = 3
	return fmt.Sprintf("127.%d.%d.%d", 100+(int64(os.Getpid())*7+f.number*blocks+int64(block))%150,
		i/250, i%250+1)
}

// The address blocks of a fleet.
const (
	hollowBlock = iota
	engineBlock
	realBlock
)

// startEngines starts all engines in this process, and the feed that lists them.
func (f *scaleFleet) startEngines() error {
	var list []feed.Engine
	for i := range f.Engines {
		e, err := engine.Listen(f.ctx, fmt.Sprintf("%s:%d", f.hostAddress(engineBlock, i),
			scaleEnginePort), trialEngineConfig(), false)
		if err != nil {
			return err
		}
		f.closers = append(f.closers, func() { e.Close() })
		list = append(list, feed.Engine{ID: fmt.Sprint("e", i), HostPort: e.Addr().String(),
			Locality: scaleZone(i), Flavor: "std", Cell: i, Phase: "SERVING", Size: 1})
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

// zonesWithEngines returns the zones that have at least one engine of a number of engines.
func zonesWithEngines(engines int) (zones []string) {
	for i := range min(engines, scaleZones) {
		zones = append(zones, scaleZone(i))
	}
	return zones
}

// scaleZone returns the zone of the engine or controller with an index.
func scaleZone(i int) string { return fmt.Sprint("z", i%scaleZones) }

// scalePlace distributes the controllers over the zones, and the zones over the regions, in turns.
func scalePlace(i int) hollow.Place {
	return hollow.Place{Region: []string{"east", "west"}[i%scaleRegions], Zone: scaleZone(i)}
}

// planMembers chooses the role, place and addresses of all controllers, and writes the configuration files
// of the real ones.
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
		m := &scaleMember{name: fmt.Sprint("c", i), index: i, place: scalePlace(i),
			isVoter: i < f.Voters, isRelay: i >= f.Voters && i < f.Voters+f.Relays}
		if f.isReal(i) {
			if err := f.planRealMember(i, m); err != nil {
				return err
			}
			f.real = append(f.real, m)
		} else {
			m.listenAddress = fmt.Sprintf("%s:%d", f.hostAddress(hollowBlock, i), hollowPeerPort)
			m.advertisedAddress, m.clientAddress = m.listenAddress,
				fmt.Sprintf("%s:%d", f.hostAddress(hollowBlock, i), hollowClientPort)
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

// planRealMember chooses the addresses of a real controller. With LinkDelays, peers connect to an address
// of the mesh, which forwards through the links.
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
	m.process = &controllerProcess{name: m.name, program: f.Program,
		setupFile: f.path(m.name + ".yaml"), directory: f.path(m.name),
		operatorClient: operatorClient{control, f.keys}}
	return nil
}

// freeAddress returns an address with a port that is free on a controller's own loopback IP address. The
// port stays free until the controller listens on it, because connections from that IP address, which
// could take the port, are opened only later.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// delayLinks sets the latency of each link between two real controllers.
func (f *scaleFleet) delayLinks() {
	random := f.newRand(1)
	for _, a := range f.real {
		for _, b := range f.real {
			if a != b {
				latency := scaleLinks.OneWay(a.place, b.place)
				f.mesh.SetFault(a.name, b.name, faultproxy.Fault{Kind: faultproxy.Delay, Latency: latency,
					Jitter: time.Duration(float64(latency) * scaleLinks.Jitter), Seed: random.Uint64()})
			}
		}
	}
}

func (f *scaleFleet) voters() (peers []hollow.Peer) {
	for _, m := range f.members[:f.Voters] {
		peers = append(peers, hollow.Peer{Name: m.name, Address: m.advertisedAddress})
	}
	return peers
}

// relaysFor returns the two relays that a controller uses. Both are in the controller's region if the
// region has two relays. Voters and relays use none.
func (f *scaleFleet) relaysFor(m *scaleMember) (peers []hollow.Peer) {
	if f.Relays == 0 || m.isVoter || m.isRelay {
		return nil
	}
	all := f.members[f.Voters : f.Voters+f.Relays]
	near := slices.DeleteFunc(slices.Clone(all), func(relay *scaleMember) bool {
		return relay.place.Region != m.place.Region
	})
	if len(near) < 2 {
		near = all
	}
	turn := m.index / scaleRegions // consecutive members of a region get consecutive numbers
	for k := range 2 {
		relay := near[(turn+k)%len(near)]
		peers = append(peers, hollow.Peer{Name: relay.name, Address: relay.advertisedAddress})
	}
	return peers
}

// setupFor returns the configuration of a real controller.
func (f *scaleFleet) setupFor(m *scaleMember) controllerSetup {
	s := controllerSetup{Name: m.name, ClientAddress: m.clientAddress, FeedAddress: f.feed.Addr().String(),
		Controllers: f.Controllers, Zones: zonesWithEngines(scaleZones), Zone: m.place.Zone,
		MemoryMB: realMemoryMB, Sockets: realClientSockets + 2*f.Engines,
		FleetName: "scale", PeerListenAddress: m.listenAddress, ControlAddress: m.process.address,
		Directory: m.process.directory, KeyFile: f.keyFile, Lease: f.Lease, Voters: f.voters(),
		ControlOnly: f.isSetAside(m), IsRelay: m.isRelay, Relays: f.relaysFor(m)}
	if m.advertisedAddress != m.listenAddress {
		s.PeerAddress = m.advertisedAddress
	}
	return s
}

// isSetAside returns whether a member is on a machine set aside for control and has the role control.
// Relays always are.
func (f *scaleFleet) isSetAside(m *scaleMember) bool { return m.isRelay || m.isVoter && f.SetAside }

func (f *scaleFleet) startRealControllers() error {
	for _, m := range f.real {
		if err := m.process.start(f.ctx); err != nil {
			return err
		}
	}
	return nil
}

// startHollowControllers starts the processes of hollow controllers, and the controllers in them.
func (f *scaleFleet) startHollowControllers() error {
	if len(f.hollow) == 0 {
		return nil
	}
	program, err := f.benchProgram()
	if err != nil {
		return err
	}
	config := hollow.Config{Fleet: "scale", Keys: f.keyFile, Voters: f.voters(),
		Sites: zonesWithEngines(f.Engines), Lease: f.Lease,
		Election: scaleElectionTimeout, Heartbeat: scaleHeartbeatInterval, WriteDelay: scaleWriteDelay,
		StartWithin: f.Lease / 4, Seed: f.Seed,
		Places: map[string]hollow.Place{}, DirectAddresses: map[string]string{}}
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
			config.Controllers = append(config.Controllers, hollow.Member{Name: m.name,
				ListenAddress: m.listenAddress, ClientAddress: m.clientAddress, Place: m.place,
				Relays: f.relaysFor(m)})
		}
		p, err := startHollowProcess(f.ctx, program, config, f.handleHollowEvent)
		if err != nil {
			return err
		}
		f.hollowProcesses = append(f.hollowProcesses, p)
	}
	return f.sendHollowCommand(hollow.Command{Do: hollow.Start})
}

// handleHollowEvent adds an event of a hollow controller to the checker.
func (f *scaleFleet) handleHollowEvent(e hollow.Event) {
	switch at := time.Unix(0, e.At); e.Kind {
	case hollow.Serving:
		f.checker.beginSpan(e.Name, e.Version, e.Policy, at)
	case hollow.Ended:
		f.checker.endSpan(e.Name, at)
	}
}

// sendHollowCommand sends a command to all processes of hollow controllers. It also returns their earlier
// failures.
func (f *scaleFleet) sendHollowCommand(command hollow.Command) (err error) {
	for _, p := range f.hollowProcesses {
		err = errors.Join(err, p.failure(), p.send(command))
	}
	return err
}

// awaitAllServing waits until all controllers serve.
func (f *scaleFleet) awaitAllServing() error {
	for _, m := range f.real {
		if err := m.process.awaitServing(f.ctx, scaleServeTimeout, scalePollInterval); err != nil {
			return err
		}
	}
	return f.awaitHollowServing(scaleServeTimeout)
}

// awaitHollowServing waits until all hollow controllers serve.
func (f *scaleFleet) awaitHollowServing(timeout time.Duration) error {
	want := len(f.hollow)
	for end := time.Now().Add(timeout); f.checker.countServing() < want; sleep(f.ctx, scalePollInterval) {
		for _, p := range f.hollowProcesses {
			if err := p.failure(); err != nil {
				return err
			}
		}
		if f.ctx.Err() != nil {
			return f.ctx.Err()
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d hollow controllers serve after %v", f.checker.countServing(), want, timeout)
		}
	}
	return nil
}

// findLeader returns the leader once it is a real controller that reports itself as the leader. A hollow
// leader is restarted, so that a real controller is elected.
func (f *scaleFleet) findLeader() (*scaleMember, error) {
	for end := time.Now().Add(scaleLeaderTimeout); time.Now().Before(end) &&
		f.ctx.Err() == nil; sleep(f.ctx, scalePollInterval) {
		for _, m := range f.real {
			if !m.process.isResponsive() {
				continue
			}
			leader := f.byName[m.process.status(f.ctx).Leader]
			if leader != nil && leader.process == nil {
				if err := f.restartHollowLeader(leader); err != nil {
					return nil, err
				}
			} else if leader != nil && leader.process.isResponsive() &&
				leader.process.status(f.ctx).Leader == leader.name {
				return leader, nil
			}
		}
	}
	return nil, errors.New("no real controller became leader")
}

// restartHollowLeader stops a hollow leader for three election timeouts, in which another voter is
// elected, and starts it again.
func (f *scaleFleet) restartHollowLeader(m *scaleMember) error {
	err := f.sendHollowCommand(hollow.Command{Do: hollow.Stop, Names: []string{m.name}})
	sleep(f.ctx, 3*scaleElectionTimeout)
	return errors.Join(err, f.sendHollowCommand(hollow.Command{Do: hollow.Start, Names: []string{m.name}}))
}

// close stops all processes and listeners. It may be called twice.
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
