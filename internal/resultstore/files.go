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

// Files is the directory of a store. A write is durable once the file is synced and, for a new file,
// the directory as well.
type Files interface {
	Create(name string) (File, error) // fails if the file exists
	Open(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// Replace replaces the whole content of a file, atomically and durably.
	Replace(name string, content []byte) error
	Remove(name string) error
	List() ([]string, error)
	SyncDir() error
}

// File is an open file of a store.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

// Dir is a directory in the file system, locked against other processes until Close.
type Dir struct {
	path string
	lock *os.File
}

// ErrInUse is returned if another process has locked the directory.
var ErrInUse = errors.New("the directory is in use by another program")

// LockDir locks a directory, which is created if it doesn't exist. It returns ErrInUse if another process
// has locked the directory.
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

// Close releases the lock.
func (d *Dir) Close() error { return d.lock.Close() }

// Path returns the path of a file in the directory.
func (d *Dir) Path(name string) string { return filepath.Join(d.path, name) }

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Create creates a file, which must not exist.
func (d *Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.Path(name), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Open opens an existing file for reading and writing.
func (d *Dir) Open(name string) (File, error) {
	f, err := os.OpenFile(d.Path(name), os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// ReadFile returns the content of a file.
func (d *Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.Path(name)) }

// Replace replaces the whole content of a file by writing and renaming a new file.
func (d *Dir) Replace(name string, content []byte) error {
	newPath := d.Path(name + ".new")
	f, err := os.OpenFile(newPath, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(newPath, d.Path(name))
	}
	if err != nil {
		os.Remove(newPath)
		return err
	}
	return d.SyncDir()
}

// Remove removes a file.
func (d *Dir) Remove(name string) error { return os.Remove(d.Path(name)) }

// List returns the names of all files, sorted.
func (d *Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir makes the creation, renaming and removal of files durable.
func (d *Dir) SyncDir() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
