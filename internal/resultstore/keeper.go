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

// SpoolStore does a spool's work on a store. Fetches may be done by any goroutine, all
// else by one.
type SpoolStore struct {
	*Store
	Recovery Recovery
	files    Files
	dir      *Dir
	erased   []*spool.DiskTask // done, and not told yet
}

// OpenSpoolStore holds a directory and opens what it has. ErrInUse if another program does.
func OpenSpoolStore(path string, terms Options) (*SpoolStore, error) {
	d, err := LockDir(path)
	if err != nil {
		return nil, err
	}
	x, err := OpenBoltIndex(d.Path(indexName))
	if err != nil {
		d.Close()
		return nil, err
	}
	k, err := NewSpoolStore(d, x, terms)
	if err != nil {
		x.Close()
		d.Close()
		return nil, err
	}
	k.dir = d
	return k, nil
}

// NewSpoolStore is the same over any files and index.
func NewSpoolStore(files Files, index Index, terms Options) (*SpoolStore, error) {
	s, found, err := Open(files, index, terms)
	if err != nil {
		return nil, err
	}
	return &SpoolStore{Store: s, Recovery: found, files: files}, nil
}

// Keys is the keyring's text as it was kept, nil if there is none.
func (k *SpoolStore) Keys() ([]byte, error) {
	text, err := k.files.ReadFile(keysName)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return text, err
}

// SaveKeys keeps a keyring's text.
func (k *SpoolStore) SaveKeys(text []byte) error { return k.files.Replace(keysName, text) }

// Restore hands over what the disk held.
func (k *SpoolStore) Restore(each func(f *spool.StoredResult)) error {
	return k.Each(func(m *Meta) error {
		each(&spool.StoredResult{Metadata: spool.Metadata{ResultID: m.Result, Query: m.QueryID, Team: m.Tenant, CreatedWall: m.CreatedMillis, ExpiresWall: m.ExpiresMillis, PageRows: m.PageRows,
			InvalidationTag: spool.InvalidationTag{LogIndex: m.FleetIndex, Tables: m.TableGroups, Owner: m.Owner}},
			PageBytes: m.PageBytes})
		return nil
	})
}

// Read does a fetch.
func (k *SpoolStore) Read(w *spool.DiskTask) {
	w.FetchedPage, w.Err = k.Fetch(w.Fetch.ResultID, w.Fetch.Page)
}

// Write does all other work, in order, with one sync for all. Work that erases is only
// begun: TakeErased names it once it is done.
func (k *SpoolStore) Write(l []*spool.DiskTask) {
	jobs := make([]*Job, 0, len(l))
	for _, w := range l {
		j := &Job{Drop: w.Drop}
		for _, p := range w.Pages {
			j.Pages = append(j.Pages, Record{Kind: PageRecord, Result: p.ResultID, Page: p.Number, Body: p.Body})
		}
		if p := w.Metadata; p != nil {
			j.Commit = &Meta{Result: p.ResultID, QueryID: p.Query, Tenant: p.Team, CreatedMillis: p.CreatedWall, ExpiresMillis: p.ExpiresWall, PageRows: p.PageRows, FleetIndex: p.LogIndex, TableGroups: p.Tables, Owner: p.Owner}
		}
		jobs = append(jobs, j)
	}
	k.Do(jobs)
	for i, w := range l {
		if w.Err, w.BytesOnDisk = jobs[i].Err, jobs[i].Total; w.Keys != nil {
			w.Err = k.SaveKeys(w.Keys)
		}
		if w.Erase {
			k.Erase(func() { k.erased = append(k.erased, w) })
		}
	}
}

// TakeErased is the work that erases and was done since it was last asked for.
func (k *SpoolStore) TakeErased() []*spool.DiskTask {
	l := k.erased
	k.erased = nil
	for _, w := range l {
		w.BytesOnDisk = k.TotalBytes()
	}
	return l
}

// Serve does work as it comes until there is no more. done is told of each.
func (k *SpoolStore) Serve(work <-chan *spool.DiskTask, done func(w *spool.DiskTask), fault func(err error)) {
	const batch = 64
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	more := false
	step := func() {
		var err error
		if more, err = k.Tick(); err != nil {
			more = false
			fault(err)
		}
		for _, w := range k.TakeErased() {
			done(w)
		}
	}
	for {
		var l []*spool.DiskTask
		if more { // what comes goes before compaction
			select {
			case w, ok := <-work:
				if !ok {
					return
				}
				l = append(l, w)
			default:
				step()
				continue
			}
		} else {
			select {
			case w, ok := <-work:
				if !ok {
					return
				}
				l = append(l, w)
			case <-tick.C:
				step()
				continue
			}
		}
	gather:
		for len(l) < batch {
			select {
			case w, ok := <-work:
				if !ok {
					break gather
				}
				l = append(l, w)
			default:
				break gather
			}
		}
		k.Write(l)
		for _, w := range l {
			if !w.Erase {
				done(w)
			}
		}
		if k.NeedsCheckpoint() || k.ErasePending() {
			step()
		}
	}
}

// Close ends it and lets the directory go.
func (k *SpoolStore) Close() error {
	err := k.Store.Close()
	if k.dir != nil {
		err = errors.Join(err, k.dir.Close())
	}
	return err
}
