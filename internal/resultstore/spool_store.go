package resultstore

import (
	"errors"
	"os"
	"time"

	"railrelay.dev/railrelay/internal/spool"
)

const (
	keysName  = "KEYS"
	indexName = "index.db"
)

// SpoolStore performs a spool's disk work on a Store. Read may be called by any goroutine; all other
// methods must be called by one goroutine.
type SpoolStore struct {
	*Store
	Recovery   Recovery
	files      Files
	dir        *Dir
	erasedWork []*spool.Work // finished, and not returned by TakeErased yet
}

// OpenSpoolStore locks a directory and opens the store in it. It returns ErrInUse if another process has
// locked the directory.
func OpenSpoolStore(path string, options Options) (*SpoolStore, error) {
	dir, err := LockDir(path)
	if err != nil {
		return nil, err
	}
	index, err := OpenBoltIndex(dir.Path(indexName))
	if err != nil {
		dir.Close()
		return nil, err
	}
	store, err := NewSpoolStore(dir, index, options)
	if err != nil {
		index.Close()
		dir.Close()
		return nil, err
	}
	store.dir = dir
	return store, nil
}

// NewSpoolStore opens a store with other implementations of Files and Index.
func NewSpoolStore(files Files, index Index, options Options) (*SpoolStore, error) {
	store, recovery, err := Open(files, index, options)
	if err != nil {
		return nil, err
	}
	return &SpoolStore{Store: store, Recovery: recovery, files: files}, nil
}

// Keys returns the saved keyring, or nil if there is none.
func (s *SpoolStore) Keys() ([]byte, error) {
	text, err := s.files.ReadFile(keysName)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return text, err
}

// SaveKeys saves a keyring, durably.
func (s *SpoolStore) SaveKeys(text []byte) error { return s.files.Replace(keysName, text) }

// Restore calls visit for each committed result.
func (s *SpoolStore) Restore(visit func(f *spool.Found)) error {
	return s.Each(func(meta *Meta) error {
		visit(&spool.Found{Promise: spool.Promise{Result: meta.Result, Query: meta.QueryID, Team: meta.Tenant,
			Made: meta.CreatedMillis, Ends: meta.ExpiresMillis, Rows: meta.PageRows,
			Tag: spool.Tag{Index: meta.FleetIndex, Tables: meta.TableGroups, Owner: meta.Owner}},
			Bytes: meta.PageBytes})
		return nil
	})
}

// Read fetches a page.
func (s *SpoolStore) Read(work *spool.Work) {
	work.Body, work.Err = s.Fetch(work.Fetch.Result, work.Fetch.Page)
}

// Write performs all work other than fetches, in order, with one sync. It only requests erasures;
// TakeErased returns their work once it is done.
func (s *SpoolStore) Write(works []*spool.Work) {
	jobs := make([]*Job, 0, len(works))
	for _, work := range works {
		job := &Job{Drop: work.Drop}
		for _, page := range work.Pages {
			job.Pages = append(job.Pages, Record{Kind: PageRecord, Result: page.Result, Page: page.Number,
				Body: page.Body})
		}
		if promise := work.Promise; promise != nil {
			job.Commit = &Meta{Result: promise.Result, QueryID: promise.Query, Tenant: promise.Team,
				CreatedMillis: promise.Made, ExpiresMillis: promise.Ends, PageRows: promise.Rows,
				FleetIndex: promise.Index, TableGroups: promise.Tables, Owner: promise.Owner}
		}
		jobs = append(jobs, job)
	}
	s.Do(jobs)
	for i, work := range works {
		if work.Err, work.Total = jobs[i].Err, jobs[i].Total; work.Keys != nil {
			work.Err = s.SaveKeys(work.Keys)
		}
		if work.Erase {
			s.Erase(func() { s.erasedWork = append(s.erasedWork, work) })
		}
	}
}

// TakeErased returns the erasure work that was finished since the last call.
func (s *SpoolStore) TakeErased() []*spool.Work {
	erased := s.erasedWork
	s.erasedWork = nil
	for _, work := range erased {
		work.Total = s.TotalBytes()
	}
	return erased
}

// Serve performs work from the channel until it is closed, and periodic maintenance. It calls done with
// each finished work, and reportFault with errors of the maintenance.
func (s *SpoolStore) Serve(queue <-chan *spool.Work, done func(work *spool.Work),
	reportFault func(err error)) {
	const batch = 64
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	more := false
	step := func() {
		var err error
		if more, err = s.Tick(); err != nil {
			more = false
			reportFault(err)
		}
		for _, work := range s.TakeErased() {
			done(work)
		}
	}
	for {
		var works []*spool.Work
		if more { // new work takes precedence over compaction
			select {
			case work, ok := <-queue:
				if !ok {
					return
				}
				works = append(works, work)
			default:
				step()
				continue
			}
		} else {
			select {
			case work, ok := <-queue:
				if !ok {
					return
				}
				works = append(works, work)
			case <-tick.C:
				step()
				continue
			}
		}
	gather:
		for len(works) < batch {
			select {
			case work, ok := <-queue:
				if !ok {
					break gather
				}
				works = append(works, work)
			default:
				break gather
			}
		}
		s.Write(works)
		for _, work := range works {
			if !work.Erase {
				done(work)
			}
		}
		if s.NeedsCheckpoint() || s.ErasePending() {
			step()
		}
	}
}

// Close closes the store and releases the directory.
func (s *SpoolStore) Close() error {
	err := s.Store.Close()
	if s.dir != nil {
		err = errors.Join(err, s.dir.Close())
	}
	return err
}
