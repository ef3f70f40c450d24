package driver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/node"
	"railrelay.dev/railrelay/internal/fleet/storage"
	"railrelay.dev/railrelay/internal/fleet/transport"
)

// Options configure a Driver.
type Options struct {
	Node           node.Config // without Self.DiskID, Seed, Incarnation and Persisted, which Open sets
	Fleet          string
	PeerAddress    string // listen address for peers
	ControlAddress string // listen address for operators; "": none
	Directory      string
	KeyFile        string
	StartTime      time.Time // origin of the node's time, the same as the controller's
	CheckPolicy    func(validationKey string, text []byte, context PolicyContext) PolicyVerdict
	Log            zerolog.Logger

	// OpenStore opens a store that replaces the one at Directory. May be nil.
	OpenStore func() (Store, storage.Contents, error)
	// Listener accepts peers in place of a listener on PeerAddress. It is closed with the Driver, or
	// if Open fails. May be nil.
	Listener net.Listener
	// Dial replaces net.Dialer for connections to peers. May be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Store keeps the persistent state of a controller's fleet node. Write returns once the state is
// synced to disk; after an error nothing more is written.
type Store interface {
	Write(consensus.PersistentState) error
	Close() error
}

// ListenError says that listening on an address failed.
type ListenError struct {
	Purpose, Address string
	Err              error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("can't listen for %s on %s: %v", e.Purpose, e.Address, e.Err)
}

// Remedy returns what an operator can do about the error.
func (e *ListenError) Remedy() string {
	return "check that no other process uses the address and that it belongs to this machine; " +
		"fleet.listen and fleet.control set the addresses"
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Open reads the key file, opens the store and both listeners, and creates the core. If it fails, it
// closes everything that it opened.
func Open(o Options) (d *Driver, err error) {
	parts := &openedParts{options: &o}
	if o.Listener != nil {
		parts.closers = append(parts.closers, o.Listener.Close)
	}
	defer func() {
		if err != nil {
			parts.close()
		}
	}()
	keys, err := transport.ReadKeys(o.KeyFile)
	if err != nil {
		return nil, err
	}
	contents, err := parts.openStore()
	if err != nil {
		return nil, err
	}
	if err := parts.listen(); err != nil {
		return nil, err
	}
	config := o.Node
	config.Self.DiskID, config.Persisted = contents.DiskID, contents.Persistent
	config.Seed = transport.RandomID()
	config.Incarnation = transport.RandomID()
	core, initialEffects, err := node.New(config)
	if err != nil {
		return nil, err
	}
	d = newDriver(core, initialEffects, &o)
	d.store = parts.store
	if err := parts.serve(d, &config, keys); err != nil {
		return nil, err
	}
	event := o.Log.Info().Str("peers", parts.peers.Addr().String()).Str("disk", config.Self.DiskID)
	if parts.operators != nil {
		event = event.Str("operators", parts.operators.Addr().String())
	}
	event.Msg("fleet: listening")
	return d, nil
}

// openedParts holds the resources that Open has opened so far.
type openedParts struct {
	options   *Options
	store     Store
	peers     net.Listener
	operators net.Listener // nil: no listener for operators
	closers   []func() error
}

// close closes the resources when Open fails.
func (p *openedParts) close() {
	for _, closePart := range p.closers {
		closePart()
	}
}

// openStore opens the store and returns its contents.
func (p *openedParts) openStore() (contents storage.Contents, err error) {
	open := p.options.OpenStore
	if open == nil {
		open = p.options.openDisk
	}
	if p.store, contents, err = open(); err != nil {
		return storage.Contents{}, err
	}
	p.closers = append(p.closers, p.store.Close)
	return contents, nil
}

// listen opens the listeners that the options specify.
func (p *openedParts) listen() (err error) {
	p.peers = p.options.Listener
	if p.peers == nil {
		if p.peers, err = p.listenOn("peers", p.options.PeerAddress); err != nil {
			return err
		}
	}
	if p.options.ControlAddress != "" {
		p.operators, err = p.listenOn("operators", p.options.ControlAddress)
	}
	return err
}

// listenOn opens a TCP listener; purpose is for the error.
func (p *openedParts) listenOn(purpose, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{purpose, address, err}
	}
	p.closers = append(p.closers, l.Close)
	return l, nil
}

// serve starts to serve peers and operators on behalf of the driver. It sets the driver's peers, closeAll
// and reloadKeys.
func (p *openedParts) serve(d *Driver, config *node.Config, keys transport.Keys) error {
	o := p.options
	onRefused := func(err fleet.ErrorWithRemedy, from string) {
		o.Log.Log().Str("from", from).Str("error", err.Error()).Str("remedy", err.Remedy()).Msg("fleet: rejected")
	}
	peers, err := transport.Open(transport.Options{
		LocalIP:     localAddress(p.peers),
		Fleet:       o.Fleet,
		Self:        config.Self.Name,
		Incarnation: config.Incarnation,
		Keys:        keys,
		Listener:    p.peers,
		OnMessage:   d.receiveMessage,
		OnRejected:  onRefused,
		Seed:        transport.RandomID(),
		Dial:        o.Dial,
	})
	if err != nil {
		return err
	}
	p.closers = append(p.closers, peers.Close)
	d.peers = peers
	closers := []func() error{peers.Close, p.store.Close}
	setKeys := []func(transport.Keys) error{peers.SetKeys}
	if p.operators != nil {
		request := func(ctx context.Context, r *fleet.Request) (*fleet.Response, error) {
			return d.Request(ctx, r), nil
		}
		control, err := transport.ServeControl(p.operators, keys, request, onRefused)
		if err != nil {
			return err
		}
		closers = append([]func() error{control.Close}, closers...)
		setKeys = append(setKeys, control.SetKeys)
	}
	d.closeAll = func() error { return runAll(closers) }
	d.reloadKeys = func() error {
		keys, err := transport.ReadKeys(o.KeyFile)
		if err != nil {
			return err
		}
		for _, set := range setKeys {
			err = errors.Join(err, set(keys))
		}
		return err
	}
	return nil
}

// localAddress returns the IP address of the listener, which is also the source address of
// connections to peers, or nil if the listener accepts connections on all addresses.
func localAddress(l net.Listener) net.IP {
	tcpAddress, isTCP := l.Addr().(*net.TCPAddr)
	if !isTCP || tcpAddress.IP.IsUnspecified() {
		return nil
	}
	return tcpAddress.IP
}

// openDisk opens the store at Directory and claims it for this controller's name.
func (o *Options) openDisk() (Store, storage.Contents, error) {
	newDiskID := func() string { return fmt.Sprintf("%016x", transport.RandomID()) }
	store, contents, err := storage.Open(o.Directory, newDiskID)
	if err != nil {
		return nil, storage.Contents{}, err
	}
	if err := store.Claim(o.Node.Self.Name); err != nil {
		store.Close()
		return nil, storage.Contents{}, err
	}
	return store, contents, nil
}

// runAll runs all functions and joins their errors.
func runAll(list []func() error) (err error) {
	for _, run := range list {
		err = errors.Join(err, run())
	}
	return err
}

// Counts returns the counters of the connections with peers since the start, by name.
func (d *Driver) Counts() map[string]int { return d.peers.Counts() }

// ReloadKeys rereads the key file and uses its keys from then on.
func (d *Driver) ReloadKeys() error { return d.reloadKeys() }

// Serve runs the fleet node until ctx ends, then closes the listeners and the store.
func (d *Driver) Serve(ctx context.Context) error {
	err := d.run(ctx)
	return errors.Join(err, d.closeAll())
}
