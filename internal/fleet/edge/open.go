package edge

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
	"railrelay.dev/railrelay/internal/fleet/disk"
	"railrelay.dev/railrelay/internal/fleet/node"
	"railrelay.dev/railrelay/internal/fleet/peers"
)

// Options are what a controller's part in the fleet is opened with.
type Options struct {
	Begin     node.Begin // without Self.Disk, Seed, Boot and Kept, which are drawn and read here
	Fleet     string
	Listen    string // where peers come in
	Control   string // where operators come in
	Directory string
	Keys      string    // the key file
	Started   time.Time // what all spans count from: the reducer's own
	Check     func(change string, text []byte, have Have) Checked
	Log       zerolog.Logger
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
	defer func() {
		if err != nil {
			for _, do := range undo {
				do()
			}
		}
	}()
	keys, err := peers.ReadKeys(o.Keys)
	if err != nil {
		return nil, err
	}
	store, found, err := disk.Open(o.Directory, func() string { return fmt.Sprintf("%016x", draw()) })
	if err != nil {
		return nil, err
	}
	undo = append(undo, store.Close)
	if err := store.Claim(o.Begin.Self.Name); err != nil {
		return nil, err
	}
	listen := func(what, address string) (net.Listener, error) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, &ListenError{what, address, err}
		}
		undo = append(undo, l.Close)
		return l, nil
	}
	inward, err := listen("peers", o.Listen)
	if err != nil {
		return nil, err
	}
	desk, err := listen("operators", o.Control)
	if err != nil {
		return nil, err
	}
	b := o.Begin
	b.Self.Disk, b.Seed, b.Boot, b.Kept = found.Disk, draw(), draw(), found.Kept
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
	w, err := peers.Open(peers.Options{Local: local, Fleet: o.Fleet, Self: b.Self.Name, Boot: b.Boot, Keys: keys, Listener: inward, Got: e.got,
		OnRefused: refused, Seed: draw()})
	if err != nil {
		return nil, err
	}
	undo = append(undo, w.Close)
	d, err := peers.Control(desk, keys, func(ctx context.Context, a *fleet.Ask) (*fleet.Reply, error) { return e.Ask(ctx, a), nil }, refused)
	if err != nil {
		return nil, err
	}
	e.wire, e.close = w, func() error { return errors.Join(d.Close(), w.Close(), store.Close()) }
	e.keys = func() error {
		keys, err := peers.ReadKeys(o.Keys)
		if err != nil {
			return err
		}
		return errors.Join(w.SetKeys(keys), d.SetKeys(keys))
	}
	o.Log.Info().Str("peers", inward.Addr().String()).Str("operators", desk.Addr().String()).Str("disk", b.Self.Disk).Msg("fleet: listening")
	return e, nil
}

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
