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

// Index keeps what is known of each result that was promised, as of a place in the
// log. It is a shortcut: lost or spoilt, all of it is read anew from the segments.
type Index interface {
	// Position is the place up to which it has what the log says.
	Position() (segment uint64, offset int64, err error)
	// Commit puts and deletes at once, and moves the place.
	Commit(put []*Meta, gone []uint64, segment uint64, offset int64) error
	Get(result uint64) (*Meta, error)
	Each(do func(m *Meta) error) error
	// Reset empties it.
	Reset() error
	// Scrub has nothing of what was deleted be left in its file, for good.
	Scrub() error
	Close() error
}

// ErrNotFound tells that there is no such result or page.
var ErrNotFound = errors.New("no such result")

// BoltIndex is an index in an embedded store.
type BoltIndex struct {
	path string
	mu   sync.RWMutex // held while the file is replaced
	db   *bbolt.DB
}

var (
	results = []byte("results")
	state   = []byte("state")
	through = []byte("through")
)

// OpenBoltIndex opens an index file; one that can't be read is begun anew.
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

func openBolt(path string) (*bbolt.DB, error) {
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType})
}

func (b *BoltIndex) open() error {
	db, err := openBolt(b.path)
	if err != nil {
		return err
	}
	b.db = db
	return db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{results, state} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
}

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

// Scrub copies what counts into a file of its own and puts that in place: pages that
// are free in the old one still hold what they held.
func (b *BoltIndex) Scrub() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := b.path + ".new"
	if err := os.Remove(fresh); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	db, err := openBolt(fresh)
	if err != nil {
		return err
	}
	if err = bbolt.Compact(db, b.db, 1<<20); err == nil {
		err = os.Rename(fresh, b.path)
	}
	if err != nil {
		db.Close()
		os.Remove(fresh)
		return err
	}
	old := b.db
	b.db = db
	return errors.Join(old.Close(), (&Dir{path: filepath.Dir(b.path)}).SyncDir())
}

func (b *BoltIndex) Close() error { return b.db.Close() }

func (b *BoltIndex) Position() (segment uint64, offset int64, err error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	err = b.db.View(func(tx *bbolt.Tx) error {
		if p := tx.Bucket(state).Get(through); len(p) == 16 {
			segment, offset = binary.BigEndian.Uint64(p), int64(binary.BigEndian.Uint64(p[8:]))
		}
		return nil
	})
	return segment, offset, err
}

func (b *BoltIndex) Commit(put []*Meta, gone []uint64, segment uint64, offset int64) error {
	return b.db.Update(func(tx *bbolt.Tx) error {
		l := tx.Bucket(results)
		for _, m := range put {
			if err := l.Put(key(m.Result), m.withPlace()); err != nil {
				return err
			}
		}
		for _, result := range gone {
			if err := l.Delete(key(result)); err != nil {
				return err
			}
		}
		return tx.Bucket(state).Put(through, binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, segment), uint64(offset)))
	})
}

// withPlace is a meta with where its own record stands before it.
func (m *Meta) withPlace() []byte {
	p := binary.AppendUvarint(nil, m.at.segment)
	p = binary.AppendUvarint(binary.AppendUvarint(p, uint64(m.at.offset)), uint64(m.at.size))
	return append(p, m.encode()...)
}

func decodePlaced(p []byte) (*Meta, error) {
	var x [3]uint64
	for i := range x {
		n := 0
		if x[i], n = binary.Uvarint(p); n <= 0 {
			return nil, errMeta
		}
		p = p[n:]
	}
	m, err := decodeMeta(p)
	if err == nil {
		m.at = place{x[0], int64(x[1]), uint32(x[2])}
	}
	return m, err
}

func key(result uint64) []byte { return binary.BigEndian.AppendUint64(nil, result) }

func (b *BoltIndex) Get(result uint64) (m *Meta, err error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	err = b.db.View(func(tx *bbolt.Tx) error {
		p := tx.Bucket(results).Get(key(result))
		if p == nil {
			return ErrNotFound
		}
		var err error
		m, err = decodePlaced(p)
		return err
	})
	return m, err
}

func (b *BoltIndex) Each(do func(m *Meta) error) error {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(results).ForEach(func(_, p []byte) error {
			m, err := decodePlaced(p)
			if err != nil {
				return err
			}
			return do(m)
		})
	})
}
