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
	zonesOfScale   = 6
	regionsOfScale = 2
	peerPort       = 7600
	clientPort     = 7602 // nobody listens there
	enginePort     = 6565
	realMemoryMB   = 128
	realSockets    = 256
	scaleElection  = 500 * time.Millisecond // as a set-up has them that doesn't say
	scaleHeartbeat = 100 * time.Millisecond
	storeDelay     = time.Millisecond
)

// scaleLinks are half of the round trips in a zone, a region and between regions.
var scaleLinks = hollow.Links{Zone: 500 * time.Microsecond, Region: time.Millisecond, Regions: 20 * time.Millisecond, Jitter: 0.2}

// scaleFleets counts those of this process, so that each has addresses of its own.
var scaleFleets atomic.Int64

// scaleMember is one controller of a scale run.
type scaleMember struct {
	name    string
	index   int // among all
	place   hollow.Place
	clients string // where clients come in
	listen  string // where it really takes peers in
	address string // what peers are told
	votes   bool
	relay   bool
	process *controllerProcess // nil: it is hollow
}

// scaleFleet is a run's fleet.
type scaleFleet struct {
	Scale
	*workplace
	ctx     context.Context
	stop    context.CancelFunc
	number  int64
	members []*scaleMember
	byName  map[string]*scaleMember
	real    []*scaleMember
	hollow  []*scaleMember
	hollows []*hollowProcess
	mesh    *faultproxy.Mesh
	feed    *feed.Listener
	judge   *scaleJudge
	closers []func()
	running sync.WaitGroup // samplers

	mu      sync.Mutex
	version uint64 // in force
	policy  []byte // its text
	serial  int    // of changes
	round   int    // of counting
	asker   int
	asked   []*fleet.Request
}

// begin starts a fleet and waits until every controller serves.
func (s Scale) begin(ctx context.Context, number int64) (*scaleFleet, error) {
	place, err := newWorkplace("railrelay-scale")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	f := &scaleFleet{Scale: s, workplace: place, ctx: ctx, stop: stop, number: number, byName: map[string]*scaleMember{}, judge: newScaleJudge(), version: 1}
	for _, step := range []func() error{f.startEngines, f.plan, f.startReal, f.startHollow, f.awaitAll} {
		if err := step(); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

// host is a loopback address of this fleet's own.
func (f *scaleFleet) host(block, i int) string {
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
		e, err := engine.Listen(f.ctx, fmt.Sprintf("%s:%d", f.host(engineBlock, i), enginePort), trialEngineConfig(), false)
		if err != nil {
			return err
		}
		f.closers = append(f.closers, func() { e.Close() })
		list = append(list, feed.Engine{ID: fmt.Sprint("e", i), HostPort: e.Addr().String(), Locality: zoneOf(i), Flavor: "std", Cell: i,
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
	for i := range min(engines, zonesOfScale) {
		l = append(l, zoneOf(i))
	}
	return l
}

func zoneOf(i int) string { return fmt.Sprint("z", i%zonesOfScale) }

// placeOf has controllers take turns in the zones, and these in the two regions.
func placeOf(i int) hollow.Place {
	return hollow.Place{Region: []string{"east", "west"}[i%regionsOfScale], Zone: zoneOf(i)}
}

// plan says who there is, and where.
func (f *scaleFleet) plan() error {
	var names []string
	for i := range f.Controllers {
		if f.isReal(i) {
			names = append(names, fmt.Sprint("c", i))
		}
	}
	if f.Linked {
		f.mesh = faultproxy.NewMesh(names...)
		f.closers = append(f.closers, func() { f.mesh.Close() })
	}
	for i := range f.Controllers {
		m := &scaleMember{name: fmt.Sprint("c", i), index: i, place: placeOf(i), votes: i < f.Voters, relay: i >= f.Voters && i < f.Voters+f.Relays}
		if f.isReal(i) {
			if err := f.planReal(i, m); err != nil {
				return err
			}
			f.real = append(f.real, m)
		} else {
			m.listen = fmt.Sprintf("%s:%d", f.host(hollowBlock, i), peerPort)
			m.address, m.clients = m.listen, fmt.Sprintf("%s:%d", f.host(hollowBlock, i), clientPort)
			f.hollow = append(f.hollow, m)
		}
		f.members = append(f.members, m)
		f.byName[m.name] = m
	}
	if f.Linked {
		f.delayLinks()
	}
	for _, m := range f.real {
		if err := os.WriteFile(m.process.setupFile, []byte(f.setupOf(m).text()), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// planReal finds addresses for a process, and a front that leads to it through links.
func (f *scaleFleet) planReal(i int, m *scaleMember) (err error) {
	host := f.host(realBlock, i)
	if f.Linked {
		host = f.mesh.SourceAddress(m.name)
	}
	if m.listen, err = freePortOf(host); err != nil {
		return err
	}
	m.address = m.listen
	if f.Linked {
		f.mesh.SetTarget(m.name, m.listen)
		if m.address, err = f.mesh.SharedAddress(m.name); err != nil {
			return err
		}
	}
	control, err := freePortOf(host)
	if err != nil {
		return err
	}
	if m.clients, err = freePortOf(host); err != nil {
		return err
	}
	m.process = &controllerProcess{name: m.name, program: f.Program, setupFile: f.path(m.name + ".yaml"), directory: f.path(m.name),
		operator: operator{control, f.keys}}
	return nil
}

// freePortOf finds a port that is free at a loopback address of a controller's own. What
// it connects from that address comes later.
func freePortOf(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// delayLinks gives each link between two processes its time.
func (f *scaleFleet) delayLinks() {
	random := f.random(1)
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
		l = append(l, hollow.Peer{Name: m.name, Address: m.address})
	}
	return l
}

// relaysOf are the two relays that a controller asks, of its own region where there are
// two; none for those who vote or relay.
func (f *scaleFleet) relaysOf(m *scaleMember) (l []hollow.Peer) {
	if f.Relays == 0 || m.votes || m.relay {
		return nil
	}
	all := f.members[f.Voters : f.Voters+f.Relays]
	near := slices.DeleteFunc(slices.Clone(all), func(r *scaleMember) bool { return r.place.Region != m.place.Region })
	if len(near) < 2 {
		near = all
	}
	turn := m.index / regionsOfScale // neighbours by number are in different regions
	for k := range 2 {
		r := near[(turn+k)%len(near)]
		l = append(l, hollow.Peer{Name: r.name, Address: r.address})
	}
	return l
}

// setupOf is a process's set-up.
func (f *scaleFleet) setupOf(m *scaleMember) controllerSetup {
	s := controllerSetup{Name: m.name, Clients: m.clients, Feed: f.feed.Addr().String(), Controllers: f.Controllers,
		Zones: zonesWithEngines(zonesOfScale), Zone: m.place.Zone, MemoryMB: realMemoryMB, Sockets: realSockets + 2*f.Engines, Fleet: "scale", Listen: m.listen, Operators: m.process.control,
		Directory: m.process.directory, Keys: f.keyFile, Lease: f.Lease, Voters: f.voters(), Control: f.setAside(m),
		Relay: m.relay, Relays: f.relaysOf(m)}
	if m.address != m.listen {
		s.Address = m.address
	}
	return s
}

// setAside: a process stands on a machine set aside for control, and has that role. Relays
// always do.
func (f *scaleFleet) setAside(m *scaleMember) bool { return m.relay || m.votes && f.SetAside }

func (f *scaleFleet) startReal() error {
	for _, m := range f.real {
		if err := m.process.start(f.ctx); err != nil {
			return err
		}
	}
	return nil
}

// startHollow starts the processes of hollow controllers, and these.
func (f *scaleFleet) startHollow() error {
	if len(f.hollow) == 0 {
		return nil
	}
	laboratory, err := f.laboratory()
	if err != nil {
		return err
	}
	config := hollow.Config{Fleet: "scale", Keys: f.keyFile, Voters: f.voters(), Sites: zonesWithEngines(f.Engines), Lease: f.Lease, Election: scaleElection, Heartbeat: scaleHeartbeat,
		WriteDelay: storeDelay, StartWithin: f.Lease / 4, Seed: f.Seed, Places: map[string]hollow.Place{}, DirectAddresses: map[string]string{}}
	if f.Linked {
		config.Links = scaleLinks
	}
	for _, m := range f.members {
		host, _, _ := net.SplitHostPort(m.listen)
		config.Places[host] = m.place
		if m.address != m.listen {
			config.DirectAddresses[m.address] = m.listen
		}
	}
	for part := range slices.Chunk(f.hollow, hollowAtMost) {
		config.Controllers = nil
		for _, m := range part {
			config.Controllers = append(config.Controllers, hollow.Member{Name: m.name, ListenAddress: m.listen, ClientAddress: m.clients, Place: m.place,
				Relays: f.relaysOf(m)})
		}
		p, err := startHollow(f.ctx, laboratory, config, f.saw)
		if err != nil {
			return err
		}
		f.hollows = append(f.hollows, p)
	}
	return f.tellHollow(hollow.Command{Do: hollow.Start})
}

// saw takes what hollow controllers tell.
func (f *scaleFleet) saw(e hollow.Event) {
	switch at := time.Unix(0, e.At); e.Kind {
	case hollow.Serving:
		f.judge.serving(e.Name, e.Version, e.Policy, at)
	case hollow.Ended:
		f.judge.ended(e.Name, at)
	}
}

// tellHollow passes a command on to all hollow processes.
func (f *scaleFleet) tellHollow(command hollow.Command) (err error) {
	for _, p := range f.hollows {
		err = errors.Join(err, p.failure(), p.do(command))
	}
	return err
}

// awaitAll waits until every controller serves.
func (f *scaleFleet) awaitAll() error {
	for _, m := range f.real {
		if err := m.process.awaitServing(f.ctx, scaleServeWithin, scalePollPause); err != nil {
			return err
		}
	}
	return f.awaitHollow(scaleServeWithin)
}

// awaitHollow waits until every hollow controller serves.
func (f *scaleFleet) awaitHollow(within time.Duration) error {
	want := len(f.hollow)
	for end := time.Now().Add(within); f.judge.servingNow() < want; sleep(f.ctx, scalePollPause) {
		for _, p := range f.hollows {
			if err := p.failure(); err != nil {
				return err
			}
		}
		if f.ctx.Err() != nil {
			return f.ctx.Err()
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d hollow controllers serve after %v", f.judge.servingNow(), want, within)
		}
	}
	return nil
}

// leader is who leads by what most of the real ones say.
func (f *scaleFleet) leader() (*scaleMember, error) {
	for end := time.Now().Add(scaleReturnWithin); time.Now().Before(end) && f.ctx.Err() == nil; sleep(f.ctx, scalePollPause) {
		for _, m := range f.real {
			if !m.process.answers() {
				continue
			}
			l := f.byName[m.process.status(f.ctx).Leader]
			if l != nil && l.process == nil {
				if err := f.depose(l); err != nil {
					return nil, err
				}
			} else if l != nil && l.process.answers() && l.process.status(f.ctx).Leader == l.name {
				return l, nil
			}
		}
	}
	return nil, errors.New("nobody leads")
}

// depose has a hollow voter that leads be started anew, so that a process leads.
func (f *scaleFleet) depose(m *scaleMember) error {
	err := f.tellHollow(hollow.Command{Do: hollow.Stop, Names: []string{m.name}})
	sleep(f.ctx, 3*scaleElection)
	return errors.Join(err, f.tellHollow(hollow.Command{Do: hollow.Start, Names: []string{m.name}}))
}

// close ends all processes and listeners. It may be called twice.
func (f *scaleFleet) close() {
	f.stop()
	f.running.Wait()
	for _, m := range f.real {
		m.process.kill()
	}
	for _, p := range f.hollows {
		p.close()
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
	f.real, f.hollows, f.closers = nil, nil, nil
	f.remove()
}
