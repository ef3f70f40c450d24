package resultstore

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.etcd.io/bbolt"
)

// Index holds the Meta of each committed result, as of a position in the log. A lost or corrupt index
// is rebuilt from the segments.
type Index interface {
	// Position returns the position up to which the index reflects the log.
	Position() (segment uint64, offset int64, err error)
	// Commit puts and deletes results and sets the position, atomically.
	Commit(put []*Meta, deleted []uint64, segment uint64, offset int64) error
	// Get returns a result, or ErrNotFound.
	Get(result uint64) (*Meta, error)
	// Each calls visit for each result, until visit returns an error.
	Each(visit func(m *Meta) error) error
	// Reset removes all content.
	Reset() error
	// Scrub removes the remains of deleted results from the index's file, durably.
	Scrub() error
	Close() error
}

// ErrNotFound is returned for an unknown result or page.
var ErrNotFound = errors.New("no such result")

// BoltIndex is an Index in a bbolt database.
type BoltIndex struct {
	path string
	mu   sync.RWMutex // write-locked while Scrub replaces the file
	db   *bbolt.DB
}

var (
	resultsBucket = []byte("results")
	stateBucket   = []byte("state")
	positionKey   = []byte("through")
)

// OpenBoltIndex opens an index file. A file that can't be opened as an index is replaced by an empty one,
// unless access to it is denied.
func OpenBoltIndex(path string) (*BoltIndex, error) {
	b := &BoltIndex{path: path}
	if err := b.open(); err != nil {
		if errors.Is(err, os.ErrPermission) {
			return nil, err
		}
		return b, b.Reset()
	}
	return b, nil
}

// openBolt opens a database file, which it creates if it doesn't exist.
func openBolt(path string) (*bbolt.DB, error) {
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, NoFreelistSync: true,
		FreelistType: bbolt.FreelistMapType})
}

// open opens the index's file and creates its buckets if they don't exist.
func (b *BoltIndex) open() error {
	db, err := openBolt(b.path)
	if err != nil {
		return err
	}
	b.db = db
	return db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{resultsBucket, stateBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
}

// Reset replaces the file by an empty index.
func (b *BoltIndex) Reset() error {
	if b.db != nil {
		b.db.Close()
		b.db = nil
	}
	if err := os.Remove(b.path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return b.open()
}

// Scrub replaces the file by a copy of its content, because free pages of a database file still hold
// deleted data.
func (b *BoltIndex) Scrub() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	newPath := b.path + ".new"
	if err := os.Remove(newPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	db, err := openBolt(newPath)
	if err != nil {
		return err
	}
	if err = bbolt.Compact(db, b.db, 1<<20); err == nil {
		err = os.Rename(newPath, b.path)
	}
	if err != nil {
		db.Close()
		os.Remove(newPath)
		return err
	}
	old := b.db
	b.db = db
	return errors.Join(old.Close(), (&Dir{path: filepath.Dir(b.path)}).SyncDir())
}

// Close closes the file.
func (b *BoltIndex) Close() error { return b.db.Close() }

// Position returns the position up to which the index reflects the log, or zeros for an empty index.
func (b *BoltIndex) Position() (segment uint64, offset int64, err error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	err = b.db.View(func(tx *bbolt.Tx) error {
		if value := tx.Bucket(stateBucket).Get(positionKey); len(value) == 16 {
			segment, offset = binary.BigEndian.Uint64(value), int64(binary.BigEndian.Uint64(value[8:]))
		}
		return nil
	})
	return segment, offset, err
}

// Commit puts and deletes results and sets the position in one transaction.
func (b *BoltIndex) Commit(put []*Meta, deleted []uint64, segment uint64, offset int64) error {
	return b.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(resultsBucket)
		for _, meta := range put {
			if err := bucket.Put(resultKey(meta.Result), meta.encodeWithLocation()); err != nil {
				return err
			}
		}
		for _, result := range deleted {
			if err := bucket.Delete(resultKey(result)); err != nil {
				return err
			}
		}
		return tx.Bucket(stateBucket).Put(positionKey,
			binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, segment), uint64(offset)))
	})
}

// encodeWithLocation returns the encoded location of the commit record, followed by the encoded Meta.
func (m *Meta) encodeWithLocation() []byte {
	encoded := binary.AppendUvarint(nil, m.location.segment)
	encoded = binary.AppendUvarint(binary.AppendUvarint(encoded, uint64(m.location.offset)),
		uint64(m.location.size))
	return append(encoded, m.encode()...)
}

// decodeWithLocation decodes what encodeWithLocation returns.
func decodeWithLocation(encoded []byte) (*Meta, error) {
	var header [3]uint64
	for i := range header {
		n := 0
		if header[i], n = binary.Uvarint(encoded); n <= 0 {
			return nil, errInvalidMeta
		}
		encoded = encoded[n:]
	}
	meta, err := decodeMeta(encoded)
	if err == nil {
		meta.location = location{header[0], int64(header[1]), uint32(header[2])}
	}
	return meta, err
}

func resultKey(result uint64) []byte { return binary.BigEndian.AppendUint64(nil, result) }

// Get returns a result, or ErrNotFound.
func (b *BoltIndex) Get(result uint64) (meta *Meta, err error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	err = b.db.View(func(tx *bbolt.Tx) error {
		value := tx.Bucket(resultsBucket).Get(resultKey(result))
		if value == nil {
			return ErrNotFound
		}
		var err error
		meta, err = decodeWithLocation(value)
		return err
	})
	return meta, err
}

// Each calls visit for each result, in ascending order.
func (b *BoltIndex) Each(visit func(meta *Meta) error) error {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(resultsBucket).ForEach(func(_, value []byte) error {
			meta, err := decodeWithLocation(value)
			if err != nil {
				return err
			}
			return visit(meta)
		})
	})
}
