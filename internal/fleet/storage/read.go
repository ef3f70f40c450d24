package storage

import (
	"encoding/binary"
	"fmt"
	"os"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"

	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// read checks the whole file and reads it into contents.
func (d *Disk) read(path string) error {
	if err := checkMetaPages(path, d.db.Info().PageSize); err != nil {
		return err
	}
	return d.db.View(func(tx *bbolt.Tx) error {
		info, err := os.Stat(path)
		if err != nil {
			return err
		}
		if info.Size() < tx.Size() {
			return &TornWriteError{path, fmt.Sprintf("the file has %d bytes of %d", info.Size(), tx.Size())}
		}
		state, log, notes := tx.Bucket(stateBucket), tx.Bucket(logBucket), tx.Bucket(noteBucket)
		if state == nil || log == nil || notes == nil {
			return &CorruptionError{path, "list of buckets"}
		}
		if err := d.readState(path, state); err != nil {
			return err
		}
		if err := d.readLog(path, log); err != nil {
			return err
		}
		err = d.readNotes(path, notes)
		c := &d.contents
		c.Fresh = c.Owner == "" && c.Persistent.HardState == nil && c.Persistent.Snapshot == nil &&
			len(c.Persistent.Entries) == 0 && len(c.Notes) == 0
		return err
	})
}

// readState reads the state bucket: the disk ID, the owner, the hard state, the snapshot and the
// range of the log.
func (d *Disk) readState(path string, state *bbolt.Bucket) error {
	c := &d.contents
	values := []struct {
		key      []byte
		required bool
		read     func([]byte) error
	}{
		{diskIDKey, true, func(b []byte) error { c.DiskID = string(b); return nil }},
		{ownerKey, false, func(b []byte) error { c.Owner = string(b); return nil }},
		{hardStateKey, false, func(b []byte) error { c.Persistent.HardState = append([]byte{}, b...); return nil }},
		{snapshotKey, false, func(b []byte) error {
			c.Persistent.Snapshot = &consensus.Snapshot{}
			return cbor.Unmarshal(b, c.Persistent.Snapshot)
		}},
		{completenessKey, true, func(b []byte) error { return cbor.Unmarshal(b, &d.logRange) }},
	}
	found := 0
	for _, value := range values {
		isPresent := state.Get(value.key) != nil
		if isPresent {
			found++
		}
		b, isIntact := getWithChecksum(state, value.key)
		if isPresent && !isIntact || !isPresent && value.required || isIntact && value.read(b) != nil {
			return &CorruptionError{path, string(value.key)}
		}
	}
	// A value with a damaged key would look as if it was never written, so unknown keys are an error.
	present := 0
	if err := state.ForEach(func([]byte, []byte) error { present++; return nil }); err != nil {
		return err
	}
	if found != present || d.logRange.First == 0 || d.logRange.Last+1 < d.logRange.First {
		return &CorruptionError{path, "state"}
	}
	return nil
}

// preallocatedEntries bounds the entries for which readLog allocates memory at once, since the range
// may be damaged.
const preallocatedEntries = 1 << 20

// readLog reads the log entries, which must be exactly those of logRange.
func (d *Disk) readLog(path string, log *bbolt.Bucket) error {
	entries := make([]consensus.LogEntry, 0, min(d.logRange.Last+1-d.logRange.First, preallocatedEntries))
	next := d.logRange.First
	cursor := log.Cursor()
	for k, v := cursor.First(); k != nil; k, v = cursor.Next() {
		var entry consensus.LogEntry
		encoded, isIntact := verifyChecksum(k, v)
		if !isIntact || len(k) != 8 || binary.BigEndian.Uint64(k) != next || next > d.logRange.Last ||
			cbor.Unmarshal(encoded, &entry) != nil || entry.Index != next {
			return &CorruptionError{path, "log entry " + strconv.FormatUint(next, 10)}
		}
		entries = append(entries, entry)
		next++
	}
	d.contents.Persistent.Entries = entries
	if next != d.logRange.Last+1 {
		return &CorruptionError{path, "log entry " + strconv.FormatUint(next, 10)}
	}
	return nil
}

// readNotes reads the notes. Their bucket has a sum of the notes' keys under completenessKey, for
// detecting a missing note.
func (d *Disk) readNotes(path string, notes *bbolt.Bucket) error {
	d.contents.Notes = map[string][]byte{}
	storedSum, hasSum := getWithChecksum(notes, completenessKey)
	if !hasSum && notes.Get(completenessKey) != nil {
		return &CorruptionError{path, "notes"}
	}
	keySum := uint64(0)
	err := notes.ForEach(func(k, v []byte) error {
		if string(k) == string(completenessKey) {
			return nil
		}
		b, isIntact := verifyChecksum(k, v)
		if !isIntact || k[0] != '/' {
			return &CorruptionError{path, fmt.Sprintf("note %q", k)}
		}
		d.contents.Notes[string(k[1:])] = append([]byte{}, b...)
		keySum ^= xxhash.Sum64(k)
		return nil
	})
	if err != nil {
		return err
	}
	if (hasSum || keySum != 0) && (len(storedSum) != 8 || binary.LittleEndian.Uint64(storedSum) != keySum) {
		return &CorruptionError{path, "notes"}
	}
	return nil
}
