package driver

import (
	"context"
	"crypto/rand"
	"encoding/binary"
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
	Begin     node.Config // without Self.Disk, Seed, Boot and Kept, which are drawn and read here
	Fleet     string
	Listen    string // where peers come in
	Control   string // where operators come in; "": they don't
	Directory string
	Keys      string    // the key file
	Started   time.Time // what all spans count from: the reducer's own
	Check     func(change string, text []byte, have Have) Checked
	Log       zerolog.Logger

	// OpenStore opens what keeps the record in place of the disk at Directory; nil: that disk.
	OpenStore func() (Store, storage.Found, error)
	// Listener is where peers come in, in place of Listen, which is not used then; nil: none.
	// It is closed with the edge, and where Open fails.
	Listener net.Listener
	// Dial connects to peers in place of the network's own; nil: that.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Store keeps a controller's part of the record. Write returns once it is synced; after
// an error nothing more is written.
type Store interface {
	Write(consensus.Kept) error
	Close() error
}

// ListenError is an address that can't be listened on.
type ListenError struct {
	What, Address string
	Err           error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("can't listen for %s on %s: %v", e.What, e.Address, e.Err)
}

// Remedy says what to do.
func (e *ListenError) Remedy() string {
	return "see that no other process has the address and that this machine has it; fleet.listen and fleet.control of the set-up name them"
}

// Unwrap gives the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Open opens the disk and both listeners. Errors are of the key file, the disk, what it
// held, or the listeners; nothing is left open then.
func Open(o Options) (e *Edge, err error) {
	var undo []func() error
	if o.Listener != nil {
		undo = append(undo, o.Listener.Close)
	}
	defer func() {
		if err != nil {
			for _, do := range undo {
				do()
			}
		}
	}()
	keys, err := transport.ReadKeys(o.Keys)
	if err != nil {
		return nil, err
	}
	open := o.OpenStore
	if open == nil {
		open = o.openDisk
	}
	store, found, err := open()
	if err != nil {
		return nil, err
	}
	undo = append(undo, store.Close)
	listen := func(what, address string) (net.Listener, error) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, &ListenError{what, address, err}
		}
		undo = append(undo, l.Close)
		return l, nil
	}
	inward := o.Listener
	if inward == nil {
		if inward, err = listen("peers", o.Listen); err != nil {
			return nil, err
		}
	}
	var operators net.Listener
	if o.Control != "" {
		if operators, err = listen("operators", o.Control); err != nil {
			return nil, err
		}
	}
	b := o.Begin
	b.Self.Disk, b.Seed, b.Incarnation, b.Persisted = found.Disk, draw(), draw(), found.Kept
	core, first, err := node.New(b)
	if err != nil {
		return nil, err
	}
	e = newEdge(core, first, &o)
	e.disk = store
	refused := func(err fleet.Remedied, from string) {
		o.Log.Log().Str("from", from).Str("error", err.Error()).Str("remedy", err.Remedy()).Msg("fleet: refused")
	}
	var local net.IP // peers hear from the address that they reach this controller at, where it is a certain one
	if at, ok := inward.Addr().(*net.TCPAddr); ok && !at.IP.IsUnspecified() {
		local = at.IP
	}
	w, err := transport.Open(transport.Options{Local: local, Fleet: o.Fleet, Self: b.Self.Name, Boot: b.Incarnation, Keys: keys, Listener: inward, Got: e.got,
		OnRefused: refused, Seed: draw(), Dial: o.Dial})
	if err != nil {
		return nil, err
	}
	undo = append(undo, w.Close)
	closeAll, setKeys := []func() error{w.Close, store.Close}, []func(transport.Keys) error{w.SetKeys}
	line := o.Log.Info().Str("peers", inward.Addr().String()).Str("disk", b.Self.Disk)
	if operators != nil {
		d, err := transport.Control(operators, keys, func(ctx context.Context, a *fleet.Ask) (*fleet.Reply, error) { return e.Ask(ctx, a), nil }, refused)
		if err != nil {
			return nil, err
		}
		closeAll, setKeys = append([]func() error{d.Close}, closeAll...), append(setKeys, d.SetKeys)
		line = line.Str("operators", operators.Addr().String())
	}
	e.wire, e.close = w, func() error { return eachOf(closeAll) }
	e.keys = func() error {
		keys, err := transport.ReadKeys(o.Keys)
		if err != nil {
			return err
		}
		for _, set := range setKeys {
			err = errors.Join(err, set(keys))
		}
		return err
	}
	line.Msg("fleet: listening")
	return e, nil
}

// openDisk opens the disk at Directory and claims it for this controller's name.
func (o *Options) openDisk() (Store, storage.Found, error) {
	store, found, err := storage.Open(o.Directory, func() string { return fmt.Sprintf("%016x", draw()) })
	if err != nil {
		return nil, storage.Found{}, err
	}
	if err := store.Claim(o.Begin.Self.Name); err != nil {
		store.Close()
		return nil, storage.Found{}, err
	}
	return store, found, nil
}

// eachOf does all, and joins their errors.
func eachOf(list []func() error) (err error) {
	for _, do := range list {
		err = errors.Join(err, do())
	}
	return err
}

// Counts are what the peers' wire has counted since the start, by name.
func (e *Edge) Counts() map[string]int { return e.wire.Counts() }

// Again reads the key file anew.
func (e *Edge) Again() error { return e.keys() }

// Serve takes part in the fleet until ctx ends, and closes all that was opened.
func (e *Edge) Serve(ctx context.Context) error {
	err := e.serve(ctx)
	return errors.Join(err, e.close())
}

// draw makes a number that no other run has, not 0.
func draw() uint64 {
	p := make([]byte, 8)
	rand.Read(p)
	return binary.BigEndian.Uint64(p) | 1
}
