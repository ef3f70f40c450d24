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
func Open(dir string, newDiskID func() string) (*Disk, Contents, error) {
	return Options{}.Open(dir, newDiskID)
}

// Open is the package's Open with these options.
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
	contents.Notes, d.contents.Persistent = maps.Clone(contents.Notes), consensus.PersistentState{} // the caller's alone: it may be long
	return d, contents, nil
}

// create makes a new file whole under its name, or not at all: one that was cut off while it
// was first written must not look like a torn one.
func (o Options) create(path string, newDiskID func() string) error {
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
		return errors.Join(putWithChecksum(state, diskIDKey, []byte(newDiskID())), putWithChecksum(state, completenessKey, encode(logRange{1, 0})))
	})
	if err == nil {
		// Another program may have been quicker: its file is locked by it, and stays.
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
	if access := (*AccessError)(nil); errors.As(err, &access) && !errors.As(err, new(syscall.Errno)) {
		err = &TornWriteError{path, access.Err.Error()}
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
func checkMetaPages(path string, pageSize int) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	for i := range int64(2) {
		var meta [80]byte
		if _, err := f.ReadAt(meta[:], i*int64(pageSize)); err != nil {
			return &TornWriteError{path, "a head is missing"}
		}
		sum := fnv.New64a()
		sum.Write(meta[16:72])
		if sum.Sum64() != binary.NativeEndian.Uint64(meta[72:]) {
			return &CorruptionError{path, "head " + strconv.FormatInt(i, 10)}
		}
	}
	return nil
}
