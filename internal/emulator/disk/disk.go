// Package disk emulates a directory in memory. It records each change and each sync, so that a test
// can construct the state after a crash at any step, and it can inject errors.
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

// Disk is an emulated directory. It is safe for concurrent use.
type Disk struct {
	mu    sync.Mutex
	files map[string]*file
	steps []step
	// InjectError, if set, is called before each change and each sync; its result is the operation's
	// error. verb is create, write, truncate, sync, replace, remove or syncdir. If PartialWrites is
	// set, half of the bytes of a failed write are written, as on a full disk.
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

// New creates an empty directory.
func New() *Disk { return &Disk{files: map[string]*file{}} }

var errRemoved = errors.New("file was removed or replaced")

func (d *Disk) record(s step) { d.steps = append(d.steps, s) }

func (d *Disk) injectedError(verb, name string) error {
	if d.InjectError == nil {
		return nil
	}
	return d.InjectError(verb, name)
}

// StepCount returns the number of recorded operations: changes, also partial writes, and syncs.
func (d *Disk) StepCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.steps)
}

// Create creates a file. It returns os.ErrExist if the file exists.
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

// Open opens an existing file.
func (d *Disk) Open(name string) (resultstore.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		return f, nil
	}
	return nil, os.ErrNotExist
}

// ReadFile returns a copy of a file's contents.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		return slices.Clone(f.contents), nil
	}
	return nil, os.ErrNotExist
}

// Replace atomically and durably replaces a file's contents.
func (d *Disk) Replace(name string, content []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.injectedError("replace", name); err != nil {
		return err
	}
	d.files[name] = &file{disk: d, name: name, contents: slices.Clone(content)}
	d.record(step{verb: "replace", name: name, data: slices.Clone(content)})
	return nil
}

// Remove deletes a file.
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

// List returns the names of all files in order.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

// SyncDir makes file creations and removals durable.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.injectedError("syncdir", ""); err != nil {
		return err
	}
	d.record(step{verb: "syncdir"})
	return nil
}

// TotalBytes returns the total size of all files.
func (d *Disk) TotalBytes() (sum int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.files {
		sum += int64(len(f.contents))
	}
	return sum
}

// FilesContaining returns the names of the files that contain a byte sequence.
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

// FlipBit inverts one bit of a file.
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
		return 0, errRemoved
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

// Crash is a kind of crash. Kinds differ in what happens to unsynced data.
type Crash int

// The kinds of crashes.
const (
	ProcessKilled Crash = iota // the process ends; the operating system keeps all completed writes
	TornWrite                  // as ProcessKilled, and half of the write in progress is kept
	PowerLoss                  // unsynced writes, creations and removals are lost
)

// AfterCrash returns the directory as a crash after so many recorded operations leaves it.
func (d *Disk) AfterCrash(steps int, crash Crash) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	crashed := New()
	synced := map[string][]byte{}          // contents at the last sync
	namesSynced := map[string]bool{}       // files whose creation is durable
	removedUnsynced := map[string][]byte{} // removed files whose removal isn't durable
	for i := range min(len(d.steps), steps+1) {
		s := d.steps[i]
		if i == steps { // the operation in progress at the crash
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
			for name := range crashed.files { // Replace also syncs the directory
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
