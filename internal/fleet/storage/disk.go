// Package storage keeps what a controller must know of the fleet after a restart: its
// part of the record, and a few notes. It is one bbolt file in a directory of its own.
// What Write has returned from is on the disk, synced. Each value bears a sum, the
// records' count is kept beside them, and both of the file's heads must be whole, so
// that something lost or changed while the program was down is told and not believed.
//
// One thing can't be seen: a whole older copy of the directory put in its place. A
// voter that forgets what it promised may break the record; see Remedy of TornError.
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

// patience is how long a program that is just ending may still hold the directory.
const patience = 300 * time.Millisecond

const file = "record"

var (
	stateBucket, recordBucket, noteBucket = []byte("state"), []byte("records"), []byte("notes")

	nameKey, ownerKey, hardKey, snapshotKey, spanKey = []byte("disk"), []byte("owner"), []byte("hard"),
		[]byte("snapshot"), []byte("span")
)

// Found is what a directory held.
type Found struct {
	Kept  consensus.Kept
	Disk  string // the directory's own name, drawn when it was made
	Owner string // who it belongs to, "" until a Claim
	Fresh bool   // it was made just now
	Notes map[string][]byte
}

// Disk is a directory held by this program. It may be used by several goroutines.
type Disk struct {
	mu     sync.Mutex
	db     *bbolt.DB
	err    error // a write failed: what is on the disk isn't known any more
	found  Found
	span   span
	fault  func() error // tests: what a write comes to
	closed bool
}

// span is which records there are: one that is missing is seen by it.
type span struct {
	First uint64 `cbor:"1,keyasint"`
	Last  uint64 `cbor:"2,keyasint"` // First-1: none
}

// Opening has what Open can be given beyond the directory; the zero value is what it does.
type Opening struct {
	// OpenFile opens the files in place of os.OpenFile.
	OpenFile func(string, int, os.FileMode) (*os.File, error)
	// AtMost bounds the file, bytes; beyond it the disk counts as full. 0: no bound.
	AtMost int
	// Fault is asked before each write: an error is what the write comes to.
	Fault func() error
}

// Open takes a directory, makes it if it isn't there, and reads all of it. A new one
// gets its name from fresh. Errors are *TornError, *SpoiltError, *FullError,
// *RefusedError or *HeldError.
func Open(dir string, fresh func() string) (*Disk, Found, error) { return Opening{}.Open(dir, fresh) }

// Open is as the package's.
func (o Opening) Open(dir string, fresh func() string) (*Disk, Found, error) {
	if o.OpenFile == nil {
		o.OpenFile = os.OpenFile
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Found{}, typed(dir, err)
	}
	path := filepath.Join(dir, file)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		if err := o.make(path, fresh); err != nil {
			return nil, Found{}, err
		}
	}
	d := &Disk{fault: o.Fault}
	db, err := o.open(path)
	if err != nil {
		return nil, Found{}, err
	}
	d.db = db
	if err := guard(path, func() error { return d.read(path) }); err != nil {
		_ = guard(path, db.Close)
		return nil, Found{}, err
	}
	f := d.found
	f.Notes, d.found.Kept = maps.Clone(f.Notes), consensus.Kept{} // the caller's alone: it may be long
	return d, f, nil
}

// make lays a new file down whole under its name, or not at all: one that was cut off
// while it was first written must not look like one that was torn.
func (o Opening) make(path string, fresh func() string) error {
	db, err := o.open(path + ".new")
	if torn := (*TornError)(nil); errors.As(err, &torn) { // left from then, and nobody holds it
		_ = os.Remove(path + ".new")
		db, err = o.open(path + ".new")
	}
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{stateBucket, recordBucket, noteBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		state := tx.Bucket(stateBucket)
		return errors.Join(put(state, nameKey, []byte(fresh())), put(state, spanKey, pack(span{1, 0})))
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
		return typed(path, err)
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

func (o Opening) open(path string) (db *bbolt.DB, err error) {
	var opened *os.File
	err = guard(path, func() (err error) {
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: patience, FreelistType: bbolt.FreelistMapType,
			// The list of free pages is kept: to find them the library would read the
			// whole file in a goroutine of its own, where a spoilt page ends the program.
			NoFreelistSync: false, NoStatistics: true, MaxSize: o.AtMost,
			OpenFile: func(name string, flag int, mode os.FileMode) (*os.File, error) {
				f, err := o.OpenFile(name, flag, mode)
				opened = f
				return f, err
			}})
		return err
	})
	// What the library finds wrong of itself, not of the system, is the file's fault.
	if r := (*RefusedError)(nil); errors.As(err, &r) && !errors.As(err, new(syscall.Errno)) {
		err = &TornError{path, r.Err.Error()}
	}
	if err != nil && opened != nil {
		// The library does neither when it panics, and the lock would stay with the mapping.
		_ = syscall.Flock(int(opened.Fd()), syscall.LOCK_UN)
		_ = opened.Close()
	}
	return db, err
}

// guard makes errors of their own types of what a file that isn't what it should be
// does: the library panics about some of it, and reads past the end of a file fault.
func guard(path string, do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &TornError{path, fmt.Sprint(p)}
		}
	}()
	if err := do(); err != nil {
		return typed(path, err)
	}
	return nil
}

// heads looks at both of the file's heads. The library goes by the newest whole one: a
// newer one that was spoilt would quietly take the last write back, a vote perhaps. The
// layout is bbolt's, version 2: a page's header of 16 bytes, 56 bytes, their FNV-1a sum.
func heads(path string, page int) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	for i := range int64(2) {
		var b [80]byte
		if _, err := f.ReadAt(b[:], i*int64(page)); err != nil {
			return &TornError{path, "a head is missing"}
		}
		h := fnv.New64a()
		h.Write(b[16:72])
		if h.Sum64() != binary.NativeEndian.Uint64(b[72:]) {
			return &SpoiltError{path, "head " + strconv.FormatInt(i, 10)}
		}
	}
	return nil
}

func (d *Disk) read(path string) error {
	if err := heads(path, d.db.Info().PageSize); err != nil {
		return err
	}
	return d.db.View(func(tx *bbolt.Tx) error {
		if info, err := os.Stat(path); err != nil {
			return err
		} else if info.Size() < tx.Size() {
			return &TornError{path, fmt.Sprintf("%d bytes of %d are there", info.Size(), tx.Size())}
		}
		state, recs, notes := tx.Bucket(stateBucket), tx.Bucket(recordBucket), tx.Bucket(noteBucket)
		if state == nil || recs == nil || notes == nil {
			return &SpoiltError{path, "table of contents"}
		}
		f := &d.found
		for _, at := range []struct {
			key  []byte
			must bool
			take func([]byte) error
		}{
			{nameKey, true, func(b []byte) error { f.Disk = string(b); return nil }},
			{ownerKey, false, func(b []byte) error { f.Owner = string(b); return nil }},
			{hardKey, false, func(b []byte) error { f.Kept.Hard = append([]byte{}, b...); return nil }},
			{snapshotKey, false, func(b []byte) error {
				f.Kept.Snapshot = &consensus.Snapshot{}
				return cbor.Unmarshal(b, f.Kept.Snapshot)
			}},
			{spanKey, true, func(b []byte) error { return cbor.Unmarshal(b, &d.span) }},
		} {
			b, ok := get(state, at.key)
			if there := state.Get(at.key) != nil; there && !ok || !there && at.must || ok && at.take(b) != nil {
				return &SpoiltError{path, string(at.key)}
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
		if known != 0 || d.span.First == 0 || d.span.Last+1 < d.span.First {
			return &SpoiltError{path, "state"}
		}
		f.Kept.Records = make([]consensus.Record, 0, min(d.span.Last+1-d.span.First, 1<<20))
		next := d.span.First
		for c, k := recs.Cursor(), []byte(nil); ; next++ {
			var v []byte
			if next == d.span.First {
				k, v = c.First()
			} else {
				k, v = c.Next()
			}
			if k == nil {
				break
			}
			var r consensus.Record
			if b, ok := unsummed(k, v); !ok || len(k) != 8 || binary.BigEndian.Uint64(k) != next || next > d.span.Last ||
				cbor.Unmarshal(b, &r) != nil || r.Index != next {
				return &SpoiltError{path, "record " + strconv.FormatUint(next, 10)}
			}
			f.Kept.Records = append(f.Kept.Records, r)
		}
		if next != d.span.Last+1 {
			return &SpoiltError{path, "record " + strconv.FormatUint(next, 10)}
		}
		f.Notes = map[string][]byte{}
		listed, ok := get(notes, spanKey)
		if !ok && notes.Get(spanKey) != nil {
			return &SpoiltError{path, "notes"}
		}
		seen := uint64(0)
		err := notes.ForEach(func(k, v []byte) error {
			if string(k) == string(spanKey) {
				return nil
			}
			b, ok := unsummed(k, v)
			if !ok || k[0] != '/' {
				return &SpoiltError{path, fmt.Sprintf("note %q", k)}
			}
			f.Notes[string(k[1:])] = append([]byte{}, b...)
			seen ^= xxhash.Sum64(k)
			return nil
		})
		if err == nil && (ok || seen != 0) && (len(listed) != 8 || binary.LittleEndian.Uint64(listed) != seen) {
			err = &SpoiltError{path, "notes"}
		}
		f.Fresh = f.Owner == "" && f.Kept.Hard == nil && f.Kept.Snapshot == nil && len(f.Kept.Records) == 0 && len(f.Notes) == 0
		return err
	})
}

// Claim says whose directory it is: a new one is noted as such. Another's is a *StrangerError.
func (d *Disk) Claim(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch d.found.Owner {
	case name:
		return nil
	case "":
		err := d.update(func(tx *bbolt.Tx) error { return put(tx.Bucket(stateBucket), ownerKey, []byte(name)) })
		if err == nil {
			d.found.Owner = name
		}
		return err
	}
	return &StrangerError{filepath.Dir(d.db.Path()), d.found.Owner, name}
}

// Write puts what is to be kept on the disk: all of it or nothing, and synced when it
// returns. Records take the place of those from the first one's index on; a snapshot
// that of all records that don't come along with it. Once it failed it always does,
// with the same error, until the directory is opened anew.
func (d *Disk) Write(k consensus.Kept) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := d.span
	if k.Snapshot != nil {
		next = span{k.Snapshot.Index + 1, k.Snapshot.Index}
	}
	if n := len(k.Records); n > 0 {
		first := k.Records[0].Index
		if k.Snapshot != nil {
			next = span{first, first - 1}
		}
		if first < next.First {
			next.First = first
		}
		if first > next.Last+1 {
			return &consensus.GapError{Index: first}
		}
		for i, r := range k.Records {
			if r.Index != first+uint64(i) {
				return &consensus.GapError{Index: r.Index}
			}
		}
		next.Last = k.Records[n-1].Index
	}
	old := d.span
	err := d.update(func(tx *bbolt.Tx) error {
		state := tx.Bucket(stateBucket)
		if k.Hard != nil {
			if err := put(state, hardKey, k.Hard); err != nil {
				return err
			}
		}
		recs := tx.Bucket(recordBucket)
		switch {
		case k.Snapshot != nil:
			if err := put(state, snapshotKey, pack(k.Snapshot)); err != nil {
				return err
			}
			if err := tx.DeleteBucket(recordBucket); err != nil {
				return err
			}
			var err error
			if recs, err = tx.CreateBucket(recordBucket); err != nil {
				return err
			}
		case len(k.Records) > 0:
			for i := k.Records[0].Index; i <= old.Last; i++ {
				if i < old.First {
					continue
				}
				if err := recs.Delete(key(i)); err != nil {
					return err
				}
			}
		}
		recs.FillPercent = 0.95 // they come in order
		for _, r := range k.Records {
			if err := put(recs, key(r.Index), pack(r)); err != nil {
				return err
			}
		}
		if next != old {
			return put(state, spanKey, pack(next))
		}
		return nil
	})
	if err == nil {
		d.span = next
	}
	return err
}

// Note keeps a small thing by its key, synced when it returns; nil forgets it. It fails
// as Write does.
func (d *Disk) Note(key string, value []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	notes := maps.Clone(d.found.Notes)
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
			err = put(b, k, value)
		}
		if err != nil {
			return err
		}
		all := uint64(0) // which there are: a lost one is seen by it
		for k := range notes {
			all ^= xxhash.Sum64String("/" + k)
		}
		return put(b, spanKey, binary.LittleEndian.AppendUint64(nil, all))
	})
	if err == nil {
		d.found.Notes = notes
	}
	return err
}

// Noted is what was kept by a key, nil if nothing was. It must not be changed.
func (d *Disk) Noted(key string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.found.Notes[key]
}

// Name is the directory's own name.
func (d *Disk) Name() string { return d.found.Disk }

// Close lets another program have the directory.
func (d *Disk) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	d.closed = true
	if d.err == nil {
		d.err = &RefusedError{d.db.Path(), os.ErrClosed}
	}
	return guard(d.db.Path(), d.db.Close)
}

func (d *Disk) update(do func(*bbolt.Tx) error) error {
	if d.err != nil {
		return d.err
	}
	d.err = guard(d.db.Path(), func() error {
		return d.db.Update(func(tx *bbolt.Tx) error {
			if err := do(tx); err != nil {
				return err
			}
			if d.fault != nil {
				return d.fault()
			}
			return nil
		})
	})
	return d.err
}

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// put writes a value after the sum of its key and it.
func put(b *bbolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.LittleEndian.AppendUint64(nil, sum(key, value)), value...))
}

func get(b *bbolt.Bucket, key []byte) ([]byte, bool) { return unsummed(key, b.Get(key)) }

func unsummed(key, v []byte) ([]byte, bool) {
	if len(v) < 8 || binary.LittleEndian.Uint64(v) != sum(key, v[8:]) {
		return nil, false
	}
	return v[8:], true
}

func sum(key, value []byte) uint64 {
	h := xxhash.NewWithSeed(uint64(len(key)))
	_, _ = h.Write(key)
	_, _ = h.Write(value)
	return h.Sum64()
}

func pack(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // what is kept can always be encoded
	}
	return b
}

// typed gives what went wrong the type that says what to do.
func typed(path string, err error) error {
	var known interface {
		error
		Remedy() string
	}
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(err, berrors.ErrTimeout):
		return &HeldError{filepath.Dir(path)}
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrVersionMismatch),
		errors.Is(err, berrors.ErrInvalidMapping):
		return &TornError{path, err.Error()}
	case full(err):
		return &FullError{path, err}
	}
	return &RefusedError{path, err}
}
