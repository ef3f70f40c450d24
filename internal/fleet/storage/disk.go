// Package storage persists what a controller must know about the fleet after a restart: its
// part of the replicated log, and a few notes. The data is in one bbolt file in a directory of
// its own. When Write returns, its data is on the disk and synced. Each value has a checksum,
// the range of the log is stored beside the log, and both of the file's meta pages must be
// intact, so that data lost or changed while the program was down is reported, not used.
//
// Open can't detect that the whole directory was replaced by an older copy. A voter that thereby
// forgets its vote may corrupt the replicated log; see Remedy of TornWriteError.
package storage

import (
	"encoding/binary"
	"maps"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"

	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// lockTimeout is how long Open waits for another process to release the directory.
const lockTimeout = 300 * time.Millisecond

// fileName is the name of the bbolt file in the directory.
const fileName = "record"

var (
	// The names of the buckets in the file.
	stateBucket, logBucket, noteBucket = []byte("state"), []byte("records"), []byte("notes")

	// Keys in stateBucket. completenessKey is in noteBucket too; its value shows whether an entry of
	// the log, or a note, is missing.
	diskIDKey, ownerKey, hardStateKey, snapshotKey, completenessKey = []byte("disk"), []byte("owner"),
		[]byte("hard"),
		[]byte("snapshot"), []byte("span")
)

// Contents is the content of a directory when it was opened.
type Contents struct {
	Persistent consensus.PersistentState
	DiskID     string // identifies the directory; generated when it was created
	Owner      string // the controller that owns the directory, "" before Claim
	Fresh      bool   // nothing was written to the directory yet
	Notes      map[string][]byte
}

// Disk is an open directory, locked against other processes. It is safe for use by several
// goroutines.
type Disk struct {
	mu         sync.Mutex
	db         *bbolt.DB
	err        error // of the first failed write, after which the disk's content is unknown; Close sets it too
	contents   Contents
	logRange   logRange
	writeFault func() error // Options.WriteFault
	closed     bool
}

// logRange is the range of log entries that the file must contain, for detecting missing entries.
type logRange struct {
	First uint64 `cbor:"1,keyasint"`
	Last  uint64 `cbor:"2,keyasint"` // First-1 if the log is empty
}

// Claim records the owner of a new directory. If another controller owns the directory, the error
// is a *ForeignDataError.
func (d *Disk) Claim(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch d.contents.Owner {
	case name:
		return nil
	case "":
		err := d.update(func(tx *bbolt.Tx) error {
			return putWithChecksum(tx.Bucket(stateBucket), ownerKey, []byte(name))
		})
		if err == nil {
			d.contents.Owner = name
		}
		return err
	}
	return &ForeignDataError{filepath.Dir(d.db.Path()), d.contents.Owner, name}
}

// Write persists log entries, a snapshot and the hard state: all of them or none, synced when
// it returns. New entries replace those on disk from the first one's index on; a write with a
// snapshot replaces all entries on disk by its own. After an error every later write fails with
// the same error, until the directory is opened again. The exception is a *consensus.LogGapError:
// nothing was written then, and later writes may succeed.
func (d *Disk) Write(p consensus.PersistentState) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	next, err := d.logRange.after(p)
	if err != nil {
		return err
	}
	err = d.update(func(tx *bbolt.Tx) error {
		state := tx.Bucket(stateBucket)
		if p.HardState != nil {
			if err := putWithChecksum(state, hardStateKey, p.HardState); err != nil {
				return err
			}
		}
		if p.Snapshot != nil {
			if err := putWithChecksum(state, snapshotKey, encode(p.Snapshot)); err != nil {
				return err
			}
		}
		if err := d.writeLog(tx, p); err != nil {
			return err
		}
		if next != d.logRange {
			return putWithChecksum(state, completenessKey, encode(next))
		}
		return nil
	})
	if err == nil {
		d.logRange = next
	}
	return err
}

// after returns the range once p is written. The error is a *consensus.LogGapError if the entries
// have a gap, or, without a snapshot, if they begin after the next index of the log. With a snapshot,
// the range begins at the first entry: a gap between the snapshot and that entry isn't reported.
func (r logRange) after(p consensus.PersistentState) (logRange, error) {
	if p.Snapshot != nil {
		r = logRange{p.Snapshot.Index + 1, p.Snapshot.Index}
	}
	if len(p.Entries) == 0 {
		return r, nil
	}
	first := p.Entries[0].Index
	if p.Snapshot != nil {
		r = logRange{first, first - 1}
	}
	r.First = min(r.First, first)
	if first > r.Last+1 {
		return r, &consensus.LogGapError{Index: first}
	}
	for i, entry := range p.Entries {
		if entry.Index != first+uint64(i) {
			return r, &consensus.LogGapError{Index: entry.Index}
		}
	}
	r.Last = p.Entries[len(p.Entries)-1].Index
	return r, nil
}

// writeLog deletes the entries that p replaces and writes the entries of p.
func (d *Disk) writeLog(tx *bbolt.Tx, p consensus.PersistentState) error {
	log := tx.Bucket(logBucket)
	switch {
	case p.Snapshot != nil:
		if err := tx.DeleteBucket(logBucket); err != nil {
			return err
		}
		var err error
		log, err = tx.CreateBucket(logBucket)
		if err != nil {
			return err
		}
	case len(p.Entries) > 0:
		for i := max(p.Entries[0].Index, d.logRange.First); i <= d.logRange.Last; i++ {
			if err := log.Delete(indexKey(i)); err != nil {
				return err
			}
		}
	}
	log.FillPercent = 0.95 // entries are appended in the order of their keys, so that pages can be filled
	for _, entry := range p.Entries {
		if err := putWithChecksum(log, indexKey(entry.Index), encode(entry)); err != nil {
			return err
		}
	}
	return nil
}

// WriteNote persists a small value under a key, synced when it returns. A nil value deletes the
// note. After an error every later write fails with the same error.
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
		bucket, k := tx.Bucket(noteBucket), []byte("/"+key)
		var err error
		if value == nil {
			err = bucket.Delete(k)
		} else {
			err = putWithChecksum(bucket, k, value)
		}
		if err != nil {
			return err
		}
		keySum := uint64(0) // of the keys of all notes, for detecting a missing note
		for k := range notes {
			keySum ^= xxhash.Sum64String("/" + k)
		}
		return putWithChecksum(bucket, completenessKey, binary.LittleEndian.AppendUint64(nil, keySum))
	})
	if err == nil {
		d.contents.Notes = notes
	}
	return err
}

// ReadNote returns the value under a key, nil if there is none. The caller must not change the
// value.
func (d *Disk) ReadNote(key string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contents.Notes[key]
}

// ID returns the ID of the directory, which was generated when the directory was created.
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

// update runs write in a transaction. After an error, it returns the same error from then on.
func (d *Disk) update(write func(*bbolt.Tx) error) error {
	if d.err != nil {
		return d.err
	}
	d.err = catchPanics(d.db.Path(), func() error {
		return d.db.Update(func(tx *bbolt.Tx) error {
			if err := write(tx); err != nil {
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
