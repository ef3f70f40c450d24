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
