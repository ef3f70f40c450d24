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
	disk     *Disk
	name     string
	contents []byte
}

type step struct {
	verb, name string
	offset     int64
	data       []byte
}

// New makes an empty one.
func New() *Disk { return &Disk{files: map[string]*file{}} }

var errClosed = errors.New("no such open file")

func (d *Disk) record(s step) { d.steps = append(d.steps, s) }

func (d *Disk) injectedError(verb, name string) error {
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
	if err := d.injectedError("create", name); err != nil {
		return nil, err
	}
	if d.files[name] != nil {
		return nil, os.ErrExist
	}
	f := &file{disk: d, name: name}
	d.files[name] = f
	d.record(step{verb: "create", name: name})
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
		return slices.Clone(f.contents), nil
	}
	return nil, os.ErrNotExist
}

// Replace puts a whole file in place, at once and for good.
func (d *Disk) Replace(name string, p []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.injectedError("replace", name); err != nil {
		return err
	}
	d.files[name] = &file{disk: d, name: name, contents: slices.Clone(p)}
	d.record(step{verb: "replace", name: name, data: slices.Clone(p)})
	return nil
}

// Remove takes one away.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.injectedError("remove", name); err != nil {
		return err
	}
	if d.files[name] == nil {
		return os.ErrNotExist
	}
	delete(d.files, name)
	d.record(step{verb: "remove", name: name})
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
	if err := d.injectedError("syncdir", ""); err != nil {
		return err
	}
	d.record(step{verb: "syncdir"})
	return nil
}

// Bytes is what all files hold.
func (d *Disk) TotalBytes() (sum int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.files {
		sum += int64(len(f.contents))
	}
	return sum
}

// Holds names the files that hold some bytes.
func (d *Disk) FilesContaining(p []byte) (names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		if bytes.Contains(d.files[name].contents, p) {
			names = append(names, name)
		}
	}
	return names
}

// Flip turns a bit of a file over.
func (d *Disk) FlipBit(name string, offset int64, bit uint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].contents[offset] ^= 1 << bit
}

func (f *file) ReadAt(p []byte, at int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if at >= int64(len(f.contents)) {
		return 0, io.EOF
	}
	n := copy(p, f.contents[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) WriteAt(p []byte, at int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.files[f.name] != f {
		return 0, errClosed
	}
	if err := f.disk.injectedError("write", f.name); err != nil {
		if f.disk.PartialWrites {
			f.apply(p[:len(p)/2], at)
		}
		return 0, err
	}
	f.apply(p, at)
	return len(p), nil
}

func (f *file) apply(p []byte, at int64) {
	f.contents = writeAt(f.contents, p, at)
	f.disk.record(step{verb: "write", name: f.name, offset: at, data: slices.Clone(p)})
}

func writeAt(dst, p []byte, at int64) []byte {
	if need := at + int64(len(p)); need > int64(len(dst)) {
		dst = append(dst, make([]byte, need-int64(len(dst)))...)
	}
	copy(dst[at:], p)
	return dst
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.injectedError("sync", f.name); err != nil {
		return err
	}
	f.disk.record(step{verb: "sync", name: f.name})
	return nil
}

func (f *file) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.injectedError("truncate", f.name); err != nil {
		return err
	}
	if size < int64(len(f.contents)) {
		f.contents = f.contents[:size:size]
	}
	f.disk.record(step{verb: "truncate", name: f.name, offset: size})
	return nil
}

func (f *file) Size() (int64, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return int64(len(f.contents)), nil
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
func (d *Disk) AfterCrash(steps int, crash Crash) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	crashed := New()
	synced := map[string][]byte{}          // as of the last sync
	namesSynced := map[string]bool{}       // files whose names were synced
	removedUnsynced := map[string][]byte{} // removed, and that not synced
	for i := range min(len(d.steps), steps+1) {
		s := d.steps[i]
		if i == steps { // the step it was in
			if crash != TornWrite || s.verb != "write" {
				break
			}
			s.data = s.data[:len(s.data)/2]
		}
		switch s.verb {
		case "create":
			crashed.files[s.name] = &file{disk: crashed, name: s.name}
		case "write":
			f := crashed.files[s.name]
			f.contents = writeAt(f.contents, s.data, s.offset)
		case "truncate":
			f := crashed.files[s.name]
			f.contents = f.contents[:min(s.offset, int64(len(f.contents)))]
		case "sync":
			synced[s.name] = slices.Clone(crashed.files[s.name].contents)
		case "replace":
			crashed.files[s.name] = &file{disk: crashed, name: s.name, contents: slices.Clone(s.data)}
			synced[s.name], namesSynced[s.name] = slices.Clone(s.data), true
			for name := range crashed.files { // it syncs the directory
				namesSynced[name] = true
			}
			clear(removedUnsynced)
		case "remove":
			if namesSynced[s.name] {
				removedUnsynced[s.name] = synced[s.name]
			}
			delete(crashed.files, s.name)
			delete(synced, s.name)
			delete(namesSynced, s.name)
		case "syncdir":
			for name := range crashed.files {
				namesSynced[name] = true
			}
			clear(removedUnsynced)
		}
	}
	if crash == PowerLoss {
		for name, f := range crashed.files {
			if f.contents = slices.Clone(synced[name]); !namesSynced[name] {
				delete(crashed.files, name)
			}
		}
		for name, p := range removedUnsynced {
			crashed.files[name] = &file{disk: crashed, name: name, contents: p}
		}
	}
	return crashed
}
