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

// Keeper does a spool's work on a store. Fetches may be done by any goroutine, all
// else by one.
type Keeper struct {
	*Store
	Found  Recovered
	files  Files
	dir    *Dir
	erased []*spool.DiskTask // done, and not told yet
}

// OpenKeeper holds a directory and opens what it has. ErrInUse if another program does.
func OpenKeeper(path string, terms Terms) (*Keeper, error) {
	d, err := Hold(path)
	if err != nil {
		return nil, err
	}
	x, err := OpenBolt(d.Path(indexName))
	if err != nil {
		d.Close()
		return nil, err
	}
	k, err := NewKeeper(d, x, terms)
	if err != nil {
		x.Close()
		d.Close()
		return nil, err
	}
	k.dir = d
	return k, nil
}

// NewKeeper is the same over any files and index.
func NewKeeper(files Files, index Index, terms Terms) (*Keeper, error) {
	s, found, err := Open(files, index, terms)
	if err != nil {
		return nil, err
	}
	return &Keeper{Store: s, Found: found, files: files}, nil
}

// Keys is the keyring's text as it was kept, nil if there is none.
func (k *Keeper) Keys() ([]byte, error) {
	text, err := k.files.ReadFile(keysName)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return text, err
}

// KeepKeys keeps a keyring's text.
func (k *Keeper) KeepKeys(text []byte) error { return k.files.Replace(keysName, text) }

// Restore hands over what the disk held.
func (k *Keeper) Restore(each func(f *spool.StoredResult)) error {
	return k.Each(func(m *Meta) error {
		each(&spool.StoredResult{Metadata: spool.Metadata{ResultID: m.Result, Query: m.Query, Team: m.Team, CreatedWall: m.Made, ExpiresWall: m.Ends, PageRows: m.Rows,
			InvalidationTag: spool.InvalidationTag{LogIndex: m.Index, Tables: m.Tables, Owner: m.Owner}}, PageBytes: m.Bytes})
		return nil
	})
}

// Read does a fetch.
func (k *Keeper) Read(w *spool.DiskTask) {
	w.FetchedPage, w.Err = k.Fetch(w.Fetch.ResultID, w.Fetch.Page)
}

// Write does all other work, in order, with one sync for all. Work that erases is only
// begun: Erased names it once it is done.
func (k *Keeper) Write(l []*spool.DiskTask) {
	jobs := make([]*Job, 0, len(l))
	for _, w := range l {
		j := &Job{Drop: w.Drop}
		for _, p := range w.Pages {
			j.Pages = append(j.Pages, Record{Kind: Page, Result: p.ResultID, Page: p.Number, Body: p.Body})
		}
		if p := w.Metadata; p != nil {
			j.Promise = &Meta{Result: p.ResultID, Query: p.Query, Team: p.Team, Made: p.CreatedWall, Ends: p.ExpiresWall, Rows: p.PageRows, Index: p.LogIndex, Tables: p.Tables, Owner: p.Owner}
		}
		jobs = append(jobs, j)
	}
	k.Do(jobs)
	for i, w := range l {
		if w.Err, w.BytesOnDisk = jobs[i].Err, jobs[i].Total; w.Keys != nil {
			w.Err = k.KeepKeys(w.Keys)
		}
		if w.Erase {
			k.Erase(func() { k.erased = append(k.erased, w) })
		}
	}
}

// Erased is the work that erases and was done since it was last asked for.
func (k *Keeper) Erased() []*spool.DiskTask {
	l := k.erased
	k.erased = nil
	for _, w := range l {
		w.BytesOnDisk = k.Total()
	}
	return l
}

// Serve does work as it comes until there is no more. done is told of each.
func (k *Keeper) Serve(work <-chan *spool.DiskTask, done func(w *spool.DiskTask), fault func(err error)) {
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
		for _, w := range k.Erased() {
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
		if k.Behind() || k.Erases() {
			step()
		}
	}
}

// Close ends it and lets the directory go.
func (k *Keeper) Close() error {
	err := k.Store.Close()
	if k.dir != nil {
		err = errors.Join(err, k.dir.Close())
	}
	return err
}
