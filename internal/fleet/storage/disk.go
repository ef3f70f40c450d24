// Package storage persists what a controller must know of the fleet after a restart: its
// part of the replicated log, and a few notes. It is one bbolt file in a directory of its
// own. When Write has returned, its data is on the disk, synced. Each value has a checksum,
// the range of the log is stored beside it, and both of the file's meta pages must be
// intact, so that data lost or changed while the program was down is reported, not used.
//
// One thing can't be detected: an older copy of the whole directory put in its place. A
// voter that forgets its vote may break the log; see Remedy of TornWriteError.
package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// lockTimeout is how long Open waits for another process to release the directory.
const lockTimeout = 300 * time.Millisecond

const fileName = "record"

var (
	stateBucket, logBucket, noteBucket = []byte("state"), []byte("records"), []byte("notes")

	nameKey, ownerKey, hardKey, snapshotKey, spanKey = []byte("disk"), []byte("owner"), []byte("hard"),
		[]byte("snapshot"), []byte("span")
)

// Contents is what a directory held when it was opened.
type Contents struct {
	Persistent consensus.PersistentState
	DiskID     string // identifies the directory, drawn when it was made
	Owner      string // the controller that it belongs to, "" until Claim
	Fresh      bool   // nothing was written to it yet
	Notes      map[string][]byte
}

// Disk is an open directory, locked against other processes. It is safe for use by several
// goroutines.
type Disk struct {
	mu         sync.Mutex
	db         *bbolt.DB
	err        error // of the first write that failed: what is on the disk isn't known after it
	contents   Contents
	logRange   logRange
	writeFault func() error // Options.WriteFault
	closed     bool
}

// logRange is the range of log entries that the file must have: a missing one is detected by it.
type logRange struct {
	First uint64 `cbor:"1,keyasint"`
	Last  uint64 `cbor:"2,keyasint"` // First-1: none
}

// Options are what Open can be given beyond the directory; the zero value is its default.
type Options struct {
	// OpenFile opens the files in place of os.OpenFile.
	OpenFile func(string, int, os.FileMode) (*os.File, error)
	// MaxBytes bounds the file; beyond it the disk counts as full. 0: no bound.
	MaxBytes int
	// WriteFault is called before each write commits: its error fails the write. To inject faults.
	WriteFault func() error
}

// Open locks a directory, makes it if it isn't there, and reads all of it. A new one
// gets its ID from fresh. Errors are *TornWriteError, *CorruptionError, *DiskFullError,
// *AccessError or *LockedError.
func Open(dir string, fresh func() string) (*Disk, Contents, error) {
	return Options{}.Open(dir, fresh)
}

// Open is the package's Open with these options.
func (o Options) Open(dir string, fresh func() string) (*Disk, Contents, error) {
	if o.OpenFile == nil {
		o.OpenFile = os.OpenFile
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Contents{}, classify(dir, err)
	}
	path := filepath.Join(dir, fileName)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		if err := o.create(path, fresh); err != nil {
			return nil, Contents{}, err
		}
	}
	d := &Disk{writeFault: o.WriteFault}
	db, err := o.open(path)
	if err != nil {
		return nil, Contents{}, err
	}
	d.db = db
	if err := catchPanics(path, func() error { return d.read(path) }); err != nil {
		_ = catchPanics(path, db.Close)
		return nil, Contents{}, err
	}
	f := d.contents
	f.Notes, d.contents.Persistent = maps.Clone(f.Notes), consensus.PersistentState{} // the caller's alone: it may be long
	return d, f, nil
}

// create makes a new file whole under its name, or not at all: one that was cut off while it
// was first written must not look like a torn one.
func (o Options) create(path string, fresh func() string) error {
	db, err := o.open(path + ".new")
	if torn := (*TornWriteError)(nil); errors.As(err, &torn) { // left from then, and nobody holds it
		_ = os.Remove(path + ".new")
		db, err = o.open(path + ".new")
	}
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{stateBucket, logBucket, noteBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		state := tx.Bucket(stateBucket)
		return errors.Join(putChecked(state, nameKey, []byte(fresh())), putChecked(state, spanKey, encode(logRange{1, 0})))
	})
	if err == nil {
		// Another program may have been quicker: its file is locked by it, and stays.
		if _, gone := os.Stat(path); errors.Is(gone, fs.ErrNotExist) {
			err = os.Rename(path+".new", path)
		}
	}
	err = errors.Join(err, db.Close())
	if err == nil {
		err = syncDir(filepath.Dir(path))
	}
	if err != nil {
		return classify(path, err)
	}
	return nil
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (o Options) open(path string) (db *bbolt.DB, err error) {
	var opened *os.File
	err = catchPanics(path, func() (err error) {
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType,
			// The list of free pages is kept: to find them the library would read the
			// whole file in a goroutine of its own, where a spoilt page ends the program.
			NoFreelistSync: false, NoStatistics: true, MaxSize: o.MaxBytes,
			OpenFile: func(name string, flag int, mode os.FileMode) (*os.File, error) {
				f, err := o.OpenFile(name, flag, mode)
				opened = f
				return f, err
			}})
		return err
	})
	// What the library finds wrong of itself, not of the system, is the file's fault.
	if r := (*AccessError)(nil); errors.As(err, &r) && !errors.As(err, new(syscall.Errno)) {
		err = &TornWriteError{path, r.Err.Error()}
	}
	if err != nil && opened != nil {
		// The library does neither when it panics, and the lock would stay with the mapping.
		_ = syscall.Flock(int(opened.Fd()), syscall.LOCK_UN)
		_ = opened.Close()
	}
	return db, err
}

// catchPanics turns what a damaged file does into errors of this package: the library panics
// about some damage, and reads past the end of a mapped file fault.
func catchPanics(path string, do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &TornWriteError{path, fmt.Sprint(p)}
		}
	}()
	if err := do(); err != nil {
		return classify(path, err)
	}
	return nil
}

// checkMetaPages checks both of the file's meta pages. The library uses the newest intact
// one: if the newer one was damaged, the last write, perhaps a vote, would silently be undone.
// The layout is bbolt's, version 2: a page header of 16 bytes, 56 bytes, their FNV-1a sum.
func checkMetaPages(path string, page int) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	for i := range int64(2) {
		var b [80]byte
		if _, err := f.ReadAt(b[:], i*int64(page)); err != nil {
			return &TornWriteError{path, "a head is missing"}
		}
		h := fnv.New64a()
		h.Write(b[16:72])
		if h.Sum64() != binary.NativeEndian.Uint64(b[72:]) {
			return &CorruptionError{path, "head " + strconv.FormatInt(i, 10)}
		}
	}
	return nil
}

func (d *Disk) read(path string) error {
	if err := checkMetaPages(path, d.db.Info().PageSize); err != nil {
		return err
	}
	return d.db.View(func(tx *bbolt.Tx) error {
		if info, err := os.Stat(path); err != nil {
			return err
		} else if info.Size() < tx.Size() {
			return &TornWriteError{path, fmt.Sprintf("%d bytes of %d are there", info.Size(), tx.Size())}
		}
		state, recs, notes := tx.Bucket(stateBucket), tx.Bucket(logBucket), tx.Bucket(noteBucket)
		if state == nil || recs == nil || notes == nil {
			return &CorruptionError{path, "table of contents"}
		}
		f := &d.contents
		for _, at := range []struct {
			key  []byte
			must bool
			take func([]byte) error
		}{
			{nameKey, true, func(b []byte) error { f.DiskID = string(b); return nil }},
			{ownerKey, false, func(b []byte) error { f.Owner = string(b); return nil }},
			{hardKey, false, func(b []byte) error { f.Persistent.HardState = append([]byte{}, b...); return nil }},
			{snapshotKey, false, func(b []byte) error {
				f.Persistent.Snapshot = &consensus.Snapshot{}
				return cbor.Unmarshal(b, f.Persistent.Snapshot)
			}},
			{spanKey, true, func(b []byte) error { return cbor.Unmarshal(b, &d.logRange) }},
		} {
			b, ok := getChecked(state, at.key)
			if there := state.Get(at.key) != nil; there && !ok || !there && at.must || ok && at.take(b) != nil {
				return &CorruptionError{path, string(at.key)}
			}
		}
		known := 0 // one whose key was changed would seem never written
		for _, k := range [][]byte{nameKey, ownerKey, hardKey, snapshotKey, spanKey} {
			if state.Get(k) != nil {
				known++
			}
		}
		if err := state.ForEach(func([]byte, []byte) error { known--; return nil }); err != nil {
			return err
		}
		if known != 0 || d.logRange.First == 0 || d.logRange.Last+1 < d.logRange.First {
			return &CorruptionError{path, "state"}
		}
		f.Persistent.Entries = make([]consensus.LogEntry, 0, min(d.logRange.Last+1-d.logRange.First, 1<<20))
		next := d.logRange.First
		for c, k := recs.Cursor(), []byte(nil); ; next++ {
			var v []byte
			if next == d.logRange.First {
				k, v = c.First()
			} else {
				k, v = c.Next()
			}
			if k == nil {
				break
			}
			var r consensus.LogEntry
			if b, ok := withoutChecksum(k, v); !ok || len(k) != 8 || binary.BigEndian.Uint64(k) != next || next > d.logRange.Last ||
				cbor.Unmarshal(b, &r) != nil || r.Index != next {
				return &CorruptionError{path, "record " + strconv.FormatUint(next, 10)}
			}
			f.Persistent.Entries = append(f.Persistent.Entries, r)
		}
		if next != d.logRange.Last+1 {
			return &CorruptionError{path, "record " + strconv.FormatUint(next, 10)}
		}
		f.Notes = map[string][]byte{}
		listed, ok := getChecked(notes, spanKey)
		if !ok && notes.Get(spanKey) != nil {
			return &CorruptionError{path, "notes"}
		}
		seen := uint64(0)
		err := notes.ForEach(func(k, v []byte) error {
			if string(k) == string(spanKey) {
				return nil
			}
			b, ok := withoutChecksum(k, v)
			if !ok || k[0] != '/' {
				return &CorruptionError{path, fmt.Sprintf("note %q", k)}
			}
			f.Notes[string(k[1:])] = append([]byte{}, b...)
			seen ^= xxhash.Sum64(k)
			return nil
		})
		if err == nil && (ok || seen != 0) && (len(listed) != 8 || binary.LittleEndian.Uint64(listed) != seen) {
			err = &CorruptionError{path, "notes"}
		}
		f.Fresh = f.Owner == "" && f.Persistent.HardState == nil && f.Persistent.Snapshot == nil && len(f.Persistent.Entries) == 0 && len(f.Notes) == 0
		return err
	})
}

// Claim notes the owner of a new directory. If another controller owns it, the error is a
// *ForeignDataError.
func (d *Disk) Claim(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch d.contents.Owner {
	case name:
		return nil
	case "":
		err := d.update(func(tx *bbolt.Tx) error { return putChecked(tx.Bucket(stateBucket), ownerKey, []byte(name)) })
		if err == nil {
			d.contents.Owner = name
		}
		return err
	}
	return &ForeignDataError{filepath.Dir(d.db.Path()), d.contents.Owner, name}
}

// Write persists log entries, a snapshot and the hard state: all of them or none, synced when
// it returns. Entries replace those from the first one's index on; a snapshot replaces all
// entries but those that come along with it. After an error every later write fails with the
// same error, until the directory is opened again.
func (d *Disk) Write(k consensus.PersistentState) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := d.logRange
	if k.Snapshot != nil {
		next = logRange{k.Snapshot.Index + 1, k.Snapshot.Index}
	}
	if n := len(k.Entries); n > 0 {
		first := k.Entries[0].Index
		if k.Snapshot != nil {
			next = logRange{first, first - 1}
		}
		if first < next.First {
			next.First = first
		}
		if first > next.Last+1 {
			return &consensus.LogGapError{Index: first}
		}
		for i, r := range k.Entries {
			if r.Index != first+uint64(i) {
				return &consensus.LogGapError{Index: r.Index}
			}
		}
		next.Last = k.Entries[n-1].Index
	}
	old := d.logRange
	err := d.update(func(tx *bbolt.Tx) error {
		state := tx.Bucket(stateBucket)
		if k.HardState != nil {
			if err := putChecked(state, hardKey, k.HardState); err != nil {
				return err
			}
		}
		recs := tx.Bucket(logBucket)
		switch {
		case k.Snapshot != nil:
			if err := putChecked(state, snapshotKey, encode(k.Snapshot)); err != nil {
				return err
			}
			if err := tx.DeleteBucket(logBucket); err != nil {
				return err
			}
			var err error
			if recs, err = tx.CreateBucket(logBucket); err != nil {
				return err
			}
		case len(k.Entries) > 0:
			for i := k.Entries[0].Index; i <= old.Last; i++ {
				if i < old.First {
					continue
				}
				if err := recs.Delete(indexKey(i)); err != nil {
					return err
				}
			}
		}
		recs.FillPercent = 0.95 // they come in order
		for _, r := range k.Entries {
			if err := putChecked(recs, indexKey(r.Index), encode(r)); err != nil {
				return err
			}
		}
		if next != old {
			return putChecked(state, spanKey, encode(next))
		}
		return nil
	})
	if err == nil {
		d.logRange = next
	}
	return err
}

// WriteNote persists a small value under a key, synced when it returns; nil deletes it. It
// fails as Write does.
func (d *Disk) WriteNote(key string, value []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	notes := maps.Clone(d.contents.Notes)
	if value == nil {
		delete(notes, key)
	} else {
		notes[key] = append([]byte{}, value...)
	}
	err := d.update(func(tx *bbolt.Tx) error {
		b, k := tx.Bucket(noteBucket), []byte("/"+key)
		var err error
		if value == nil {
			err = b.Delete(k)
		} else {
			err = putChecked(b, k, value)
		}
		if err != nil {
			return err
		}
		all := uint64(0) // which there are: a lost one is seen by it
		for k := range notes {
			all ^= xxhash.Sum64String("/" + k)
		}
		return putChecked(b, spanKey, binary.LittleEndian.AppendUint64(nil, all))
	})
	if err == nil {
		d.contents.Notes = notes
	}
	return err
}

// ReadNote is the value under a key, nil if there is none. It must not be changed.
func (d *Disk) ReadNote(key string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contents.Notes[key]
}

// ID identifies the directory; it was drawn when the directory was made.
func (d *Disk) ID() string { return d.contents.DiskID }

// Close releases the directory for other processes.
func (d *Disk) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	d.closed = true
	if d.err == nil {
		d.err = &AccessError{d.db.Path(), os.ErrClosed}
	}
	return catchPanics(d.db.Path(), d.db.Close)
}

func (d *Disk) update(do func(*bbolt.Tx) error) error {
	if d.err != nil {
		return d.err
	}
	d.err = catchPanics(d.db.Path(), func() error {
		return d.db.Update(func(tx *bbolt.Tx) error {
			if err := do(tx); err != nil {
				return err
			}
			if d.writeFault != nil {
				return d.writeFault()
			}
			return nil
		})
	})
	return d.err
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// putChecked writes a value after the checksum of key and value.
func putChecked(b *bbolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.LittleEndian.AppendUint64(nil, checksum(key, value)), value...))
}

func getChecked(b *bbolt.Bucket, key []byte) ([]byte, bool) { return withoutChecksum(key, b.Get(key)) }

func withoutChecksum(key, v []byte) ([]byte, bool) {
	if len(v) < 8 || binary.LittleEndian.Uint64(v) != checksum(key, v[8:]) {
		return nil, false
	}
	return v[8:], true
}

func checksum(key, value []byte) uint64 {
	h := xxhash.NewWithSeed(uint64(len(key)))
	_, _ = h.Write(key)
	_, _ = h.Write(value)
	return h.Sum64()
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // plain structs can always be encoded
	}
	return b
}

// classify gives an error the type of this package that tells the operator what to do.
func classify(path string, err error) error {
	var known interface {
		error
		Remedy() string
	}
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(err, berrors.ErrTimeout):
		return &LockedError{filepath.Dir(path)}
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrVersionMismatch),
		errors.Is(err, berrors.ErrInvalidMapping):
		return &TornWriteError{path, err.Error()}
	case isDiskFull(err):
		return &DiskFullError{path, err}
	}
	return &AccessError{path, err}
}
