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
	Recovery   Recovery // what Open found
	files      Files
	dir        *Dir
	erasedWork []*spool.DiskTask // finished erasures that TakeErased hasn't returned yet
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
func (s *SpoolStore) Restore(visit func(f *spool.StoredResult)) error {
	return s.Each(func(meta *Meta) error {
		visit(&spool.StoredResult{Metadata: spool.Metadata{ResultID: meta.Result, Query: meta.QueryID,
			Tenant:            meta.Tenant,
			CreatedUnixMillis: meta.CreatedMillis, ExpiresUnixMillis: meta.ExpiresMillis, PageRows: meta.PageRows,
			InvalidationTag: spool.InvalidationTag{LogIndex: meta.FleetIndex,
				Tables: meta.TableGroups, Owner: meta.Owner}},
			PageBytes: meta.PageBytes})
		return nil
	})
}

// Read fetches a page.
func (s *SpoolStore) Read(work *spool.DiskTask) {
	work.FetchedPage, work.Err = s.Fetch(work.Fetch.ResultID, work.Fetch.Page)
}

// Write performs all work other than fetches. It performs the changes to results by one call of Do, then
// saves the keys. It only requests erasures; TakeErased returns their work once it is done.
func (s *SpoolStore) Write(works []*spool.DiskTask) {
	jobs := make([]*Job, 0, len(works))
	for _, work := range works {
		job := &Job{Drop: work.Drop}
		for _, page := range work.Pages {
			job.Pages = append(job.Pages, Record{Kind: PageRecord, Result: page.ResultID, Page: page.Number,
				Body: page.Body})
		}
		if metadata := work.Metadata; metadata != nil {
			job.Commit = &Meta{Result: metadata.ResultID, QueryID: metadata.Query, Tenant: metadata.Tenant,
				CreatedMillis: metadata.CreatedUnixMillis, ExpiresMillis: metadata.ExpiresUnixMillis,
				PageRows:   metadata.PageRows,
				FleetIndex: metadata.LogIndex, TableGroups: metadata.Tables, Owner: metadata.Owner}
		}
		jobs = append(jobs, job)
	}
	s.Do(jobs)
	for i, work := range works {
		if work.Err, work.BytesOnDisk = jobs[i].Err, jobs[i].Total; work.Keys != nil {
			work.Err = s.SaveKeys(work.Keys)
		}
		if work.Erase {
			s.Erase(func() { s.erasedWork = append(s.erasedWork, work) })
		}
	}
}

// TakeErased returns the erasure work that was finished since the last call.
func (s *SpoolStore) TakeErased() []*spool.DiskTask {
	erased := s.erasedWork
	s.erasedWork = nil
	for _, work := range erased {
		work.BytesOnDisk = s.TotalBytes()
	}
	return erased
}

// Serve performs work from the channel until it is closed, and periodic maintenance. It calls done with
// each finished work, and reportFault with errors of the maintenance.
func (s *SpoolStore) Serve(queue <-chan *spool.DiskTask, done func(work *spool.DiskTask),
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
		var works []*spool.DiskTask
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
