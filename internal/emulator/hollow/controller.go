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
	drift                = 0.01
	snapshotAfterEntries = 4096 // log entries; the default of a controller's configuration
	maxClockOffset       = time.Hour
)

// controller is one simulated controller, running or not. Its methods must be called by one
// goroutine at a time.
type controller struct {
	config *Config
	member Member
	store  *Store
	gate   *gate
	emit   func(Event)

	running *driver.Driver
	stop    context.CancelFunc
	done    chan struct{}
}

func newController(config *Config, member Member, emit func(Event)) *controller {
	return &controller{config: config, member: member, store: NewStore("disk of "+member.Name, config.WriteDelay), gate: newGate(),
		emit: emit}
}

// start starts the controller from the contents of its store, after a random delay. It does nothing if the
// controller is running, or if ctx ends during the delay.
func (c *controller) start(ctx context.Context) error {
	if c.running != nil {
		return nil
	}
	c.gate.set(func(g *gate) { g.paused = false })
	if !c.delayStart(ctx) {
		return nil
	}
	listener, err := net.Listen("tcp", c.member.ListenAddress)
	if err != nil {
		return &driver.ListenError{Purpose: "peers", Address: c.member.ListenAddress, Err: err}
	}
	started := time.Now().Add(-c.clockOffset())
	shape := c.shaper(listener.Addr())
	dialer := &dialer{local: hostOf(listener.Addr()), directAddresses: c.config.DirectAddresses, shape: shape, gate: c.gate, isOtherRegion: c.isOtherRegion}
	opened, err := driver.Open(driver.Options{Node: c.nodeConfig(), Fleet: c.config.Fleet, KeyFile: c.config.Keys, ControlAddress: c.member.ControlAddress, StartTime: started, Log: zerolog.Nop(), CheckPolicy: acceptPolicy,
		OpenStore: func() (driver.Store, storage.Contents, error) { return c.store, c.store.Contents(), nil },
		Listener:  &shapedListener{listener, shape}, Dial: dialer.dial})
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(ctx)
	c.running, c.stop, c.done = opened, stop, make(chan struct{})
	watch := newObserver(c.member.Name, started, c.gate, c.emit)
	go func() {
		defer close(c.done)
		group, ctx := errgroup.WithContext(running)
		group.Go(func() error { return opened.Serve(ctx) })
		group.Go(func() error { return c.reportSites(ctx, opened) })
		group.Go(func() error { return watch.serve(ctx, opened.Orders(), opened.Reports()) })
		if err := group.Wait(); err != nil && running.Err() == nil {
			c.emit(Event{Kind: Failed, Name: c.member.Name, At: time.Now().UnixNano(), Reason: err.Error()})
		}
	}()
	return nil
}

// delayStart waits a random part of Config.StartWithin. It returns false if ctx ended first.
func (c *controller) delayStart(ctx context.Context) bool {
	wait := time.Duration(c.random().Float64() * float64(c.config.StartWithin))
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// reportSites reports once the sites in which a real controller would find engines.
func (c *controller) reportSites(ctx context.Context, opened *driver.Driver) error {
	if len(c.config.Sites) == 0 {
		return nil
	}
	select {
	case opened.Reports() <- fleet.Report{Kind: fleet.SitesServing, ServingSites: c.config.Sites}:
	case <-ctx.Done():
	}
	return nil
}

// stopNow stops the controller without a shutdown. Its store stays.
func (c *controller) stopNow() {
	if c.running == nil {
		return
	}
	c.stop()
	<-c.done
	c.running = nil
}

// counts returns the transport's counters, all zero while the controller isn't running.
func (c *controller) counts() *Counts {
	if c.running == nil {
		return &Counts{}
	}
	return ParseCounts(c.running.Counts(), "")
}

// ParseCounts reads a transport's counters. Their names may have a prefix, as in a status.
func ParseCounts(all map[string]int, prefix string) *Counts {
	at := func(name string) int { return all[prefix+name] }
	return &Counts{BytesOut: at("conn_bytes_out"), BytesIn: at("conn_bytes_in"), FramesOut: at("bytes_out"), FramesIn: at("bytes_in"),
		MessagesOut: at("sent"), MessagesIn: at("got"),
		FailedPosts: at("failed"), Dropped: at("dropped")}
}

func (c *controller) nodeConfig() node.Config {
	b := node.Config{Self: fleet.Member{Name: c.member.Name, Site: c.member.Place.Zone,
		PeerAddress:   c.member.ListenAddress,
		ClientAddress: c.member.ClientAddress}, Lease: c.config.Lease,
		ConfinedLease: c.config.Lease, ClockDrift: drift, ElectionTimeout: c.config.Election, HeartbeatInterval: c.config.Heartbeat, SnapshotAfterEntries: snapshotAfterEntries}
	for _, v := range c.config.Voters {
		b.Voters = append(b.Voters, consensus.Voter{Name: v.Name, Address: v.Address})
	}
	for _, r := range c.member.Relays {
		b.Relays = append(b.Relays, node.Upstream{Name: r.Name, Address: r.Address})
	}
	return b
}

// clockOffset returns by how much the clock is ahead. It depends only on the seed and the name.
func (c *controller) clockOffset() time.Duration {
	return time.Duration(c.random().Int64N(int64(maxClockOffset)))
}

func (c *controller) random() *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(c.member.Name))
	return rand.New(rand.NewPCG(c.config.Seed, h.Sum64()))
}

// shaper returns a function that adds the gate and the link's latency to a connection, by the
// connection's remote address.
func (c *controller) shaper(localAddress net.Addr) func(net.Conn) net.Conn {
	jitter, mu := c.random(), &sync.Mutex{}
	return func(conn net.Conn) net.Conn {
		remotePlace := c.placeOf(conn.RemoteAddr().String())
		latency := c.config.Links.OneWay(c.member.Place, remotePlace)
		delay := func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return latency + time.Duration(float64(latency)*c.config.Links.Jitter*jitter.Float64())
		}
		return &shapedConn{Conn: conn, gate: c.gate, otherRegion: remotePlace.Region != c.member.Place.Region, delay: delay, ended: make(chan struct{})}
	}
}

// placeOf returns the place of a controller by its address, or the own place if it is unknown.
func (c *controller) placeOf(address string) Place {
	host, _, _ := net.SplitHostPort(address)
	if place, known := c.config.Places[host]; known {
		return place
	}
	return c.member.Place
}

func (c *controller) isOtherRegion(address string) bool {
	return c.placeOf(address).Region != c.member.Place.Region
}

func hostOf(a net.Addr) net.IP {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.IP
	}
	return nil
}

// acceptPolicy accepts every policy, because there is no configuration to check it against.
func acceptPolicy(_ string, text []byte, _ driver.PolicyContext) driver.PolicyVerdict {
	return driver.PolicyVerdict{Policy: append([]byte{}, text...)}
}

// execute executes a command.
func (c *controller) execute(ctx context.Context, command Command) {
	switch command.Do {
	case Start:
		if err := c.start(ctx); err != nil {
			c.emit(Event{Kind: Failed, Name: c.member.Name, At: time.Now().UnixNano(), Reason: err.Error()})
		}
	case Stop:
		c.stopNow()
	case Pause, Resume:
		c.gate.set(func(g *gate) { g.paused = command.Do == Pause })
	case Cut, Heal:
		c.gate.set(func(g *gate) { g.cut = command.Do == Cut })
	case Delay:
		c.store.SetDelay(command.Delay)
	case Report:
		c.emit(Event{Kind: Counted, Name: c.member.Name, At: time.Now().UnixNano(), Round: command.Round, Counts: c.counts()})
	default:
		c.emit(Event{Kind: Failed, Name: c.member.Name, At: time.Now().UnixNano(), Reason: fmt.Sprintf("unknown command %q", command.Do)})
	}
}
