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

// Options are what a controller's part in the fleet is opened with.
type Options struct {
	Node           node.Config // without Self.Disk, Seed, Boot and Kept, which are drawn and read here
	Fleet          string
	PeerAddress    string // where peers come in
	ControlAddress string // where operators come in; "": they don't
	Directory      string
	KeyFile        string    // the key file
	StartTime      time.Time // what all spans count from: the reducer's own
	CheckPolicy    func(change string, text []byte, have PolicyContext) PolicyVerdict
	Log            zerolog.Logger

	// OpenStore opens what keeps the record in place of the disk at Directory; nil: that disk.
	OpenStore func() (Store, storage.Contents, error)
	// Listener is where peers come in, in place of Listen, which is not used then; nil: none.
	// It is closed with the edge, and where Open fails.
	Listener net.Listener
	// Dial connects to peers in place of the network's own; nil: that.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Store keeps a controller's part of the record. Write returns once it is synced; after
// an error nothing more is written.
type Store interface {
	Write(consensus.PersistentState) error
	Close() error
}

// ListenError is an address that can't be listened on.
type ListenError struct {
	Purpose, Address string
	Err              error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("can't listen for %s on %s: %v", e.Purpose, e.Address, e.Err)
}

// Remedy says what to do.
func (e *ListenError) Remedy() string {
	return "see that no other process has the address and that this machine has it; " +
		"fleet.listen and fleet.control of the set-up name them"
}

// Unwrap gives the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Open opens the store and both listeners. Errors are of the key file, the store, what it
// held, or the listeners; nothing is left open then.
func Open(o Options) (d *Driver, err error) {
	opened := &openedParts{options: &o}
	if o.Listener != nil {
		opened.closers = append(opened.closers, o.Listener.Close)
	}
	defer func() {
		if err != nil {
			opened.close()
		}
	}()
	keys, err := transport.ReadKeys(o.KeyFile)
	if err != nil {
		return nil, err
	}
	found, err := opened.openStore()
	if err != nil {
		return nil, err
	}
	if err := opened.listen(); err != nil {
		return nil, err
	}
	config := o.Node
	config.Self.DiskID, config.Persisted = found.DiskID, found.Persistent
	config.Seed = transport.RandomID()
	config.Incarnation = transport.RandomID()
	core, initialEffects, err := node.New(config)
	if err != nil {
		return nil, err
	}
	d = newDriver(core, initialEffects, &o)
	d.store = opened.store
	if err := opened.serve(d, &config, keys); err != nil {
		return nil, err
	}
	line := o.Log.Info().Str("peers", opened.peers.Addr().String()).Str("disk", config.Self.DiskID)
	if opened.operators != nil {
		line = line.Str("operators", opened.operators.Addr().String())
	}
	line.Msg("fleet: listening")
	return d, nil
}

// openedParts are what Open has opened so far.
type openedParts struct {
	options   *Options
	store     Store
	peers     net.Listener
	operators net.Listener // nil: operators don't come in
	closers   []func() error
}

// close closes what was opened, where Open fails.
func (p *openedParts) close() {
	for _, do := range p.closers {
		do()
	}
}

func (p *openedParts) openStore() (found storage.Contents, err error) {
	open := p.options.OpenStore
	if open == nil {
		open = p.options.openDisk
	}
	if p.store, found, err = open(); err != nil {
		return storage.Contents{}, err
	}
	p.closers = append(p.closers, p.store.Close)
	return found, nil
}

// listen opens the listeners that the options name.
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

func (p *openedParts) listenOn(what, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{what, address, err}
	}
	p.closers = append(p.closers, l.Close)
	return l, nil
}

// serve begins to take in peers and operators for the driver.
func (p *openedParts) serve(d *Driver, config *node.Config, keys transport.Keys) error {
	o := p.options
	onRefused := func(err fleet.ErrorWithRemedy, from string) {
		o.Log.Log().Str("from", from).Str("error", err.Error()).Str("remedy", err.Remedy()).Msg("fleet: refused")
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

// localAddress is the address that peers reach this controller at, from which it connects
// to them; nil where the listener takes any.
func localAddress(l net.Listener) net.IP {
	at, isTCP := l.Addr().(*net.TCPAddr)
	if !isTCP || at.IP.IsUnspecified() {
		return nil
	}
	return at.IP
}

// openDisk opens the disk at Directory and claims it for this controller's name.
func (o *Options) openDisk() (Store, storage.Contents, error) {
	newDiskID := func() string { return fmt.Sprintf("%016x", transport.RandomID()) }
	store, found, err := storage.Open(o.Directory, newDiskID)
	if err != nil {
		return nil, storage.Contents{}, err
	}
	if err := store.Claim(o.Node.Self.Name); err != nil {
		store.Close()
		return nil, storage.Contents{}, err
	}
	return store, found, nil
}

// runAll runs all functions and joins their errors.
func runAll(list []func() error) (err error) {
	for _, do := range list {
		err = errors.Join(err, do())
	}
	return err
}

// Counts are what the peers' wire has counted since the start, by name.
func (d *Driver) Counts() map[string]int { return d.peers.Counts() }

// ReloadKeys reads the key file anew.
func (d *Driver) ReloadKeys() error { return d.reloadKeys() }

// Serve takes part in the fleet until ctx ends, and closes all that was opened.
func (d *Driver) Serve(ctx context.Context) error {
	err := d.run(ctx)
	return errors.Join(err, d.closeAll())
}
