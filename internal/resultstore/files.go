package resultstore

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// Files is the directory of a store. What is written is on disk for good once it,
// and for a new file the directory, was synced.
type Files interface {
	Create(name string) (File, error) // one that isn't there yet
	Open(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// Replace puts a file's whole text in place of another's, at once or not at all.
	Replace(name string, p []byte) error
	Remove(name string) error
	List() ([]string, error)
	SyncDir() error
}

// File is one of them.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

// Dir is a directory of the system's, held against other programs until Close.
type Dir struct {
	path string
	lock *os.File
}

// ErrInUse tells that another program has the directory.
var ErrInUse = errors.New("the directory is in use by another program")

// Hold takes a directory, made if it isn't there. ErrInUse if another program has it.
func LockDir(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, "LOCK"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", path, ErrInUse)
		}
		return nil, err
	}
	return &Dir{path, lock}, nil
}

// Close lets the directory go.
func (d *Dir) Close() error { return d.lock.Close() }

// Path is a file's full name.
func (d *Dir) Path(name string) string { return filepath.Join(d.path, name) }

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	i, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return i.Size(), nil
}

func (d *Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.Path(name), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (d *Dir) Open(name string) (File, error) {
	f, err := os.OpenFile(d.Path(name), os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (d *Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.Path(name)) }

func (d *Dir) Replace(name string, p []byte) error {
	fresh := d.Path(name + ".new")
	f, err := os.OpenFile(fresh, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(p)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(fresh, d.Path(name))
	}
	if err != nil {
		os.Remove(fresh)
		return err
	}
	return d.SyncDir()
}

func (d *Dir) Remove(name string) error { return os.Remove(d.Path(name)) }

func (d *Dir) List() ([]string, error) {
	l, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range l {
		names = append(names, e.Name())
	}
	slices.Sort(names)
	return names, nil
}

func (d *Dir) SyncDir() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
