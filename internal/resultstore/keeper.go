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
	erased []*spool.Work // done, and not told yet
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
func (k *Keeper) Restore(each func(f *spool.Found)) error {
	return k.Each(func(m *Meta) error {
		each(&spool.Found{Promise: spool.Promise{Result: m.Result, Query: m.Query, Team: m.Team, Made: m.Made, Ends: m.Ends, Rows: m.Rows,
			Tag: spool.Tag{Index: m.Index, Tables: m.Tables, Owner: m.Owner}}, Bytes: m.Bytes})
		return nil
	})
}

// Read does a fetch.
func (k *Keeper) Read(w *spool.Work) { w.Body, w.Err = k.Fetch(w.Fetch.Result, w.Fetch.Page) }

// Write does all other work, in order, with one sync for all. Work that erases is only
// begun: Erased names it once it is done.
func (k *Keeper) Write(l []*spool.Work) {
	jobs := make([]*Job, 0, len(l))
	for _, w := range l {
		j := &Job{Drop: w.Drop}
		for _, p := range w.Pages {
			j.Pages = append(j.Pages, Record{Kind: Page, Result: p.Result, Page: p.Number, Body: p.Body})
		}
		if p := w.Promise; p != nil {
			j.Promise = &Meta{Result: p.Result, Query: p.Query, Team: p.Team, Made: p.Made, Ends: p.Ends, Rows: p.Rows, Index: p.Index, Tables: p.Tables, Owner: p.Owner}
		}
		jobs = append(jobs, j)
	}
	k.Do(jobs)
	for i, w := range l {
		if w.Err, w.Total = jobs[i].Err, jobs[i].Total; w.Keys != nil {
			w.Err = k.KeepKeys(w.Keys)
		}
		if w.Erase {
			k.Erase(func() { k.erased = append(k.erased, w) })
		}
	}
}

// Erased is the work that erases and was done since it was last asked for.
func (k *Keeper) Erased() []*spool.Work {
	l := k.erased
	k.erased = nil
	for _, w := range l {
		w.Total = k.Total()
	}
	return l
}

// Serve does work as it comes until there is no more. done is told of each.
func (k *Keeper) Serve(work <-chan *spool.Work, done func(w *spool.Work), fault func(err error)) {
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
		var l []*spool.Work
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
