package hollow

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/driver"
	"railrelay.dev/railrelay/internal/fleet/node"
	"railrelay.dev/railrelay/internal/fleet/storage"
)

const (
	drift      = 0.01
	keepAtMost = 4096 // entries, as a set-up has it unless it says another number
	offsetMost = time.Hour
)

// controller is one hollow controller, started or not. Its methods are called by one
// goroutine.
type controller struct {
	config *Config
	member Member
	store  *Store
	gate   *gate
	tell   func(Event)

	running *driver.Driver
	stop    context.CancelFunc
	done    chan struct{}
}

func newController(config *Config, member Member, tell func(Event)) *controller {
	return &controller{config: config, member: member, store: NewStore("disk of "+member.Name, config.WriteDelay), gate: newGate(), tell: tell}
}

// start begins from what the store holds.
func (c *controller) start(ctx context.Context) error {
	if c.running != nil {
		return nil
	}
	c.gate.set(func(g *gate) { g.paused = false })
	if !c.spread(ctx) {
		return nil
	}
	listener, err := net.Listen("tcp", c.member.ListenAddress)
	if err != nil {
		return &driver.ListenError{Purpose: "peers", Address: c.member.ListenAddress, Err: err}
	}
	started := time.Now().Add(-c.offset())
	shape := c.shaper(listener.Addr())
	dialer := &dialer{local: hostOf(listener.Addr()), direct: c.config.DirectAddresses, shape: shape, gate: c.gate, abroad: c.abroad}
	opened, err := driver.Open(driver.Options{Node: c.begin(), Fleet: c.config.Fleet, KeyFile: c.config.Keys, ControlAddress: c.member.ControlAddress, StartTime: started, Log: zerolog.Nop(), CheckPolicy: check,
		OpenStore: func() (driver.Store, storage.Contents, error) { return c.store, c.store.Contents(), nil },
		Listener:  &shapedListener{listener, shape}, Dial: dialer.dial})
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(ctx)
	c.running, c.stop, c.done = opened, stop, make(chan struct{})
	watch := newObserver(c.member.Name, started, c.gate, c.tell)
	go func() {
		defer close(c.done)
		group, ctx := errgroup.WithContext(running)
		group.Go(func() error { return opened.Serve(ctx) })
		group.Go(func() error { return c.tellSites(ctx, opened) })
		group.Go(func() error { return watch.serve(ctx, opened.Orders(), opened.Reports()) })
		if err := group.Wait(); err != nil && running.Err() == nil {
			c.tell(Event{Kind: Failed, Name: c.member.Name, At: time.Now().UnixNano(), Reason: err.Error()})
		}
	}()
	return nil
}

// spread waits a part of Config.StartWithin; false if ctx ended.
func (c *controller) spread(ctx context.Context) bool {
	wait := time.Duration(c.random().Float64() * float64(c.config.StartWithin))
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// tellSites reports, once, the sites that a real controller would see engines in.
func (c *controller) tellSites(ctx context.Context, opened *driver.Driver) error {
	if len(c.config.Sites) == 0 {
		return nil
	}
	select {
	case opened.Reports() <- fleet.Report{Kind: fleet.SitesServing, ServingSites: c.config.Sites}:
	case <-ctx.Done():
	}
	return nil
}

// kill ends it at once. Its store stays.
func (c *controller) kill() {
	if c.running == nil {
		return
	}
	c.stop()
	<-c.done
	c.running = nil
}

// counts are its wire's sums, zero while it isn't running.
func (c *controller) counts() *Counts {
	if c.running == nil {
		return &Counts{}
	}
	return ParseCounts(c.running.Counts(), "")
}

// CountsOf reads the sums of a wire, whose names may have a prefix, as in a status.
func ParseCounts(all map[string]int, prefix string) *Counts {
	at := func(name string) int { return all[prefix+name] }
	return &Counts{BytesOut: at("conn_bytes_out"), BytesIn: at("conn_bytes_in"), FramesOut: at("bytes_out"), FramesIn: at("bytes_in"),
		MessagesOut: at("sent"), MessagesIn: at("got"),
		FailedPosts: at("failed"), Dropped: at("dropped")}
}

func (c *controller) begin() node.Config {
	b := node.Config{Self: fleet.Member{Name: c.member.Name, Site: c.member.Place.Zone,
		PeerAddress:   c.member.ListenAddress,
		ClientAddress: c.member.ClientAddress}, Lease: c.config.Lease,
		ConfinedLease: c.config.Lease, ClockDrift: drift, ElectionTimeout: c.config.Election, HeartbeatInterval: c.config.Heartbeat, SnapshotAfterEntries: keepAtMost}
	for _, v := range c.config.Voters {
		b.Voters = append(b.Voters, consensus.Voter{Name: v.Name, Address: v.Address})
	}
	for _, r := range c.member.Relays {
		b.Relays = append(b.Relays, node.Upstream{Name: r.Name, Address: r.Address})
	}
	return b
}

// offset is by how much its clock is ahead: the same for a seed and a name.
func (c *controller) offset() time.Duration {
	return time.Duration(c.random().Int64N(int64(offsetMost)))
}

func (c *controller) random() *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(c.member.Name))
	return rand.New(rand.NewPCG(c.config.Seed, h.Sum64()))
}

// shaper puts the gate and a link's time on connections, by the address at the other end.
func (c *controller) shaper(own net.Addr) func(net.Conn) net.Conn {
	jitter, mu := c.random(), &sync.Mutex{}
	return func(plain net.Conn) net.Conn {
		there := c.placeOf(plain.RemoteAddr().String())
		span := c.config.Links.OneWay(c.member.Place, there)
		delay := func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return span + time.Duration(float64(span)*c.config.Links.Jitter*jitter.Float64())
		}
		return &shapedConn{Conn: plain, gate: c.gate, abroad: there.Region != c.member.Place.Region, delay: delay, ended: make(chan struct{})}
	}
}

// placeOf is where a controller stands, by its address; who isn't known stands here.
func (c *controller) placeOf(address string) Place {
	host, _, _ := net.SplitHostPort(address)
	if place, known := c.config.Places[host]; known {
		return place
	}
	return c.member.Place
}

func (c *controller) abroad(address string) bool {
	return c.placeOf(address).Region != c.member.Place.Region
}

func hostOf(a net.Addr) net.IP {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.IP
	}
	return nil
}

// check takes every policy: there is no set-up to hold it against.
func check(_ string, text []byte, _ driver.PolicyContext) driver.PolicyVerdict {
	return driver.PolicyVerdict{Policy: append([]byte{}, text...)}
}

// do carries a command out.
func (c *controller) do(ctx context.Context, command Command) {
	switch command.Do {
	case Start:
		if err := c.start(ctx); err != nil {
			c.tell(Event{Kind: Failed, Name: c.member.Name, At: time.Now().UnixNano(), Reason: err.Error()})
		}
	case Stop:
		c.kill()
	case Pause, Resume:
		c.gate.set(func(g *gate) { g.paused = command.Do == Pause })
	case Cut, Heal:
		c.gate.set(func(g *gate) { g.cut = command.Do == Cut })
	case Delay:
		c.store.SetDelay(command.Delay)
	case Report:
		c.tell(Event{Kind: Counted, Name: c.member.Name, At: time.Now().UnixNano(), Round: command.Round, Counts: c.counts()})
	default:
		c.tell(Event{Kind: Failed, Name: c.member.Name, At: time.Now().UnixNano(), Reason: fmt.Sprintf("no command is called %q", command.Do)})
	}
}
