// Package disk is a stand-in for a directory: files in memory that remember what was
// written, synced and renamed, step by step, so that a test can see what a crash at
// any step leaves behind, and that refuse writes or syncs when told.
package disk

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"os"
	"slices"
	"sync"

	"railrelay.dev/railrelay/internal/resultstore"
)

// Disk is a directory. It is safe for use by several goroutines.
type Disk struct {
	mu    sync.Mutex
	files map[string]*file
	steps []step
	// Fail is asked before each step, if it is set; what it gives is the step's error.
	// A write it refuses is done in part if Half is set, as a full disk does.
	InjectError   func(verb, name string) error
	PartialWrites bool
}

type file struct {
	d    *Disk
	name string
	p    []byte
}

type step struct {
	verb, name string
	offset     int64
	p          []byte
}

// New makes an empty one.
func New() *Disk { return &Disk{files: map[string]*file{}} }

var errClosed = errors.New("no such open file")

func (d *Disk) did(s step) { d.steps = append(d.steps, s) }

func (d *Disk) fails(verb, name string) error {
	if d.InjectError == nil {
		return nil
	}
	return d.InjectError(verb, name)
}

// Steps is how many there were.
func (d *Disk) StepCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.steps)
}

// Create makes a file.
func (d *Disk) Create(name string) (resultstore.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.fails("create", name); err != nil {
		return nil, err
	}
	if d.files[name] != nil {
		return nil, os.ErrExist
	}
	f := &file{d: d, name: name}
	d.files[name] = f
	d.did(step{verb: "create", name: name})
	return f, nil
}

// Open opens one that is there.
func (d *Disk) Open(name string) (resultstore.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		return f, nil
	}
	return nil, os.ErrNotExist
}

// ReadFile gives a copy of all of it.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		return slices.Clone(f.p), nil
	}
	return nil, os.ErrNotExist
}

// Replace puts a whole file in place, at once and for good.
func (d *Disk) Replace(name string, p []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.fails("replace", name); err != nil {
		return err
	}
	d.files[name] = &file{d: d, name: name, p: slices.Clone(p)}
	d.did(step{verb: "replace", name: name, p: slices.Clone(p)})
	return nil
}

// Remove takes one away.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.fails("remove", name); err != nil {
		return err
	}
	if d.files[name] == nil {
		return os.ErrNotExist
	}
	delete(d.files, name)
	d.did(step{verb: "remove", name: name})
	return nil
}

// List names all files.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

// SyncDir keeps the names for good.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.fails("syncdir", ""); err != nil {
		return err
	}
	d.did(step{verb: "syncdir"})
	return nil
}

// Bytes is what all files hold.
func (d *Disk) TotalBytes() (sum int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.files {
		sum += int64(len(f.p))
	}
	return sum
}

// Holds names the files that hold some bytes.
func (d *Disk) FilesContaining(p []byte) (names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		if bytes.Contains(d.files[name].p, p) {
			names = append(names, name)
		}
	}
	return names
}

// Flip turns a bit of a file over.
func (d *Disk) FlipBit(name string, offset int64, bit uint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].p[offset] ^= 1 << bit
}

func (f *file) ReadAt(p []byte, at int64) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if at >= int64(len(f.p)) {
		return 0, io.EOF
	}
	n := copy(p, f.p[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) WriteAt(p []byte, at int64) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.files[f.name] != f {
		return 0, errClosed
	}
	if err := f.d.fails("write", f.name); err != nil {
		if f.d.PartialWrites {
			f.put(p[:len(p)/2], at)
		}
		return 0, err
	}
	f.put(p, at)
	return len(p), nil
}

func (f *file) put(p []byte, at int64) {
	f.p = write(f.p, p, at)
	f.d.did(step{verb: "write", name: f.name, offset: at, p: slices.Clone(p)})
}

func write(dst, p []byte, at int64) []byte {
	if need := at + int64(len(p)); need > int64(len(dst)) {
		dst = append(dst, make([]byte, need-int64(len(dst)))...)
	}
	copy(dst[at:], p)
	return dst
}

func (f *file) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.fails("sync", f.name); err != nil {
		return err
	}
	f.d.did(step{verb: "sync", name: f.name})
	return nil
}

func (f *file) Truncate(size int64) error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.fails("truncate", f.name); err != nil {
		return err
	}
	if size < int64(len(f.p)) {
		f.p = f.p[:size:size]
	}
	f.d.did(step{verb: "truncate", name: f.name, offset: size})
	return nil
}

func (f *file) Size() (int64, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	return int64(len(f.p)), nil
}

func (f *file) Close() error { return nil }

// Crash is how what was not synced comes out.
type Crash int

const (
	ProcessKilled Crash = iota // the program ended: the system writes what it was given
	TornWrite                  // and of the step it was in, half
	PowerLoss                  // the power went: what was not synced is lost
)

// After is the directory that a crash after so many steps leaves behind.
func (d *Disk) AfterCrash(steps int, how Crash) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := New()
	kept := map[string][]byte{} // as of the last sync
	named := map[string]bool{}  // files whose names were synced
	back := map[string][]byte{} // removed, and that not synced
	for i := range min(len(d.steps), steps+1) {
		s := d.steps[i]
		if i == steps { // the step it was in
			if how != TornWrite || s.verb != "write" {
				break
			}
			s.p = s.p[:len(s.p)/2]
		}
		switch s.verb {
		case "create":
			x.files[s.name] = &file{d: x, name: s.name}
		case "write":
			f := x.files[s.name]
			f.p = write(f.p, s.p, s.offset)
		case "truncate":
			f := x.files[s.name]
			f.p = f.p[:min(s.offset, int64(len(f.p)))]
		case "sync":
			kept[s.name] = slices.Clone(x.files[s.name].p)
		case "replace":
			x.files[s.name] = &file{d: x, name: s.name, p: slices.Clone(s.p)}
			kept[s.name], named[s.name] = slices.Clone(s.p), true
			for name := range x.files { // it syncs the directory
				named[name] = true
			}
			clear(back)
		case "remove":
			if named[s.name] {
				back[s.name] = kept[s.name]
			}
			delete(x.files, s.name)
			delete(kept, s.name)
			delete(named, s.name)
		case "syncdir":
			for name := range x.files {
				named[name] = true
			}
			clear(back)
		}
	}
	if how == PowerLoss {
		for name, f := range x.files {
			if f.p = slices.Clone(kept[name]); !named[name] {
				delete(x.files, name)
			}
		}
		for name, p := range back {
			x.files[name] = &file{d: x, name: name, p: p}
		}
	}
	return x
}
