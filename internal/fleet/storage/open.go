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
	"syscall"

	"go.etcd.io/bbolt"

	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// Options are optional settings of Open. The zero value has the defaults.
type Options struct {
	// OpenFile replaces os.OpenFile.
	OpenFile func(string, int, os.FileMode) (*os.File, error)
	// MaxBytes bounds the size of the file in bytes: a write beyond it fails with a *DiskFullError.
	// 0: unbounded.
	MaxBytes int
	// WriteFault is called before each write commits; its error fails the write. It is for
	// fault injection in tests.
	WriteFault func() error
}

// Open locks a directory, which it creates if there is none, and reads its content. A new
// directory gets its ID from newDiskID. Errors are *TornWriteError, *CorruptionError,
// *DiskFullError, *AccessError or *LockedError.
func Open(dir string, newDiskID func() string) (*Disk, Contents, error) {
	return Options{}.Open(dir, newDiskID)
}

// Open is like the function Open, with these options.
func (o Options) Open(dir string, newDiskID func() string) (*Disk, Contents, error) {
	if o.OpenFile == nil {
		o.OpenFile = os.OpenFile
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Contents{}, classify(dir, err)
	}
	path := filepath.Join(dir, fileName)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		if err := o.create(path, newDiskID); err != nil {
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
	contents := d.contents
	// Only the caller keeps the persistent state, which may be large.
	contents.Notes, d.contents.Persistent = maps.Clone(contents.Notes), consensus.PersistentState{}
	return d, contents, nil
}

// create creates the file under a temporary name and then renames it, so that a creation that is
// interrupted doesn't leave a truncated file under the final name.
func (o Options) create(path string, newDiskID func() string) error {
	db, err := o.open(path + ".new")
	if torn := (*TornWriteError)(nil); errors.As(err, &torn) { // of an interrupted creation
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
		return errors.Join(putWithChecksum(state, diskIDKey, []byte(newDiskID())),
			putWithChecksum(state, completenessKey, encode(logRange{1, 0})))
	})
	if err == nil {
		// Keep the file if another process has created and locked it in the meantime.
		if _, statErr := os.Stat(path); errors.Is(statErr, fs.ErrNotExist) {
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

// syncDir syncs a directory, so that a rename in it is persisted.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// open opens and locks the bbolt file. It releases the lock if that fails.
func (o Options) open(path string) (db *bbolt.DB, err error) {
	var opened *os.File
	err = catchPanics(path, func() (err error) {
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType,
			// Store the list of free pages: otherwise the library would read the whole file
			// in its own goroutine to find them, where a damaged page would crash the program.
			NoFreelistSync: false, NoStatistics: true, MaxSize: o.MaxBytes,
			OpenFile: func(name string, flag int, mode os.FileMode) (*os.File, error) {
				f, err := o.OpenFile(name, flag, mode)
				opened = f
				return f, err
			}})
		return err
	})
	// An error of the library that isn't one of the operating system means a damaged file.
	if access := (*AccessError)(nil); errors.As(err, &access) && !errors.As(err, new(syscall.Errno)) {
		err = &TornWriteError{path, access.Err.Error()}
	}
	if err != nil && opened != nil {
		// When the library panics, it leaves the file locked and open, and its memory mapping would
		// keep the lock.
		_ = syscall.Flock(int(opened.Fd()), syscall.LOCK_UN)
		_ = opened.Close()
	}
	return db, err
}

// catchPanics runs do and returns an error of this package if do fails or panics. The library panics
// on some damage, and a read beyond the end of a mapped file is a memory fault.
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

// checkMetaPages checks both of the file's meta pages. The library uses the newest intact page: if
// the newer one is damaged, the last write, perhaps a vote, is silently undone. The layout is that
// of bbolt, version 2: a page header of 16 bytes, a body of 56 bytes, and the FNV-1a sum of the body.
func checkMetaPages(path string, pageSize int) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	for i := range int64(2) {
		var meta [80]byte
		if _, err := f.ReadAt(meta[:], i*int64(pageSize)); err != nil {
			return &TornWriteError{path, "a meta page is missing"}
		}
		sum := fnv.New64a()
		sum.Write(meta[16:72])
		if sum.Sum64() != binary.NativeEndian.Uint64(meta[72:]) {
			return &CorruptionError{path, "meta page " + strconv.FormatInt(i, 10)}
		}
	}
	return nil
}
