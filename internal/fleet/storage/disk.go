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

	diskIDKey, ownerKey, hardKey, snapshotKey, completenessKey = []byte("disk"), []byte("owner"), []byte("hard"),
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
		err := d.update(func(tx *bbolt.Tx) error { return putWithChecksum(tx.Bucket(stateBucket), ownerKey, []byte(name)) })
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
			if err := putWithChecksum(state, hardKey, p.HardState); err != nil {
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

// after is the range once p is written. Entries that leave a gap are a *consensus.LogGapError.
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

// writeLog deletes the entries that p replaces and writes those that it has.
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
	log.FillPercent = 0.95 // they come in order
	for _, entry := range p.Entries {
		if err := putWithChecksum(log, indexKey(entry.Index), encode(entry)); err != nil {
			return err
		}
	}
	return nil
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
		keySum := uint64(0) // which there are: a lost one is seen by it
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
