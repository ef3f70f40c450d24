package resultstore_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"railrelay.dev/railrelay/internal/emulator/disk"
	"railrelay.dev/railrelay/internal/resultstore"
)

// resultState is what a test expects of a result.
type resultState struct {
	pages         [][]byte
	rows          []uint32
	committedAt   int // number of disk steps at the commit; 0: not committed
	dropStartedAt int // number of disk steps when its deletion began; 0: not deleted
	droppedAt     int // number of disk steps when its deletion was written
}

// randomRun applies random changes to a store and records the expected results.
type randomRun struct {
	t            testing.TB
	rng          *rand.Rand
	disk         *disk.Disk
	index        *disk.Index
	store        *resultstore.Store
	results      map[uint64]*resultState
	pendingIDs   []uint64
	committedIDs []uint64
	lastID       uint64
}

func newRandomRun(t testing.TB, seed uint64, options resultstore.Options) *randomRun {
	files := disk.New()
	index := disk.NewIndex(files)
	store, _, err := resultstore.Open(files, index, options)
	if err != nil {
		t.Fatal(err)
	}
	return &randomRun{t: t, rng: rand.New(rand.NewPCG(seed, 1)), disk: files, index: index, store: store,
		results: map[uint64]*resultState{}, lastID: store.FirstResultID()}
}

func (r *randomRun) randomPage() []byte {
	p := make([]byte, 20+r.rng.IntN(400))
	for i := range p {
		p[i] = byte('a' + r.rng.IntN(26))
	}
	return append(p, '\n')
}

func (r *randomRun) apply(job *resultstore.Job) error {
	r.store.Do([]*resultstore.Job{job})
	return job.Err
}

func (r *randomRun) writePage(result uint64) {
	state := r.results[result]
	body := r.randomPage()
	if r.apply(&resultstore.Job{Pages: []resultstore.Record{{Kind: resultstore.PageRecord, Result: result,
		Page: uint32(len(state.pages)), Body: body}}}) == nil {
		state.pages, state.rows = append(state.pages, body), append(state.rows, 1)
	}
}

func (r *randomRun) commit(result uint64) error {
	state := r.results[result]
	err := r.apply(&resultstore.Job{Commit: &resultstore.Meta{Result: result,
		QueryID: fmt.Sprintf("%016x", result), Tenant: "linz", CreatedMillis: 1,
		ExpiresMillis: 1000, PageRows: state.rows}})
	if err == nil {
		state.committedAt = r.disk.StepCount()
	}
	return err
}

func (r *randomRun) drop(result uint64) {
	state := r.results[result]
	state.dropStartedAt = max(1, r.disk.StepCount())
	if r.apply(&resultstore.Job{Drop: []uint64{result}}) == nil {
		state.droppedAt = r.disk.StepCount()
	}
}

func (r *randomRun) step() {
	pick := func(ids *[]uint64) uint64 {
		i := r.rng.IntN(len(*ids))
		id := (*ids)[i]
		*ids = append((*ids)[:i], (*ids)[i+1:]...)
		return id
	}
	switch x := r.rng.IntN(20); {
	case x < 4 || len(r.pendingIDs) == 0:
		r.lastID++
		r.results[r.lastID] = &resultState{}
		r.pendingIDs = append(r.pendingIDs, r.lastID)
		r.writePage(r.lastID)
	case x < 11:
		r.writePage(r.pendingIDs[r.rng.IntN(len(r.pendingIDs))])
	case x < 14:
		id := pick(&r.pendingIDs)
		if r.commit(id) == nil {
			r.committedIDs = append(r.committedIDs, id)
		} else {
			r.drop(id)
		}
	case x < 16 && len(r.committedIDs) > 0:
		r.drop(pick(&r.committedIDs))
	case x < 17:
		r.drop(pick(&r.pendingIDs))
	default:
		if _, err := r.store.Tick(); err != nil && r.disk.InjectError == nil {
			r.t.Fatal(err)
		}
	}
}

// expectPages checks that the store returns exactly the pages that were written.
func expectPages(t testing.TB, store *resultstore.Store, result uint64, state *resultState) {
	t.Helper()
	for i, want := range state.pages {
		if got, err := store.Fetch(result, i); err != nil || !bytes.Equal(got, want) {
			t.Fatalf("page %d of %d: %v, %d bytes of %d", i, len(state.pages), err, len(got), len(want))
		}
	}
	if _, err := store.Fetch(result, len(state.pages)); !errors.Is(err, resultstore.ErrNotFound) {
		t.Fatal("a page after the last one: ", err)
	}
}

func smallOptions() resultstore.Options {
	return resultstore.Options{SegmentBytes: 2 << 10, MaxIndexLag: 5, CompactionStepBytes: 1 << 10}
}

// Simulates a crash after every disk step of a random run, in three ways, with and without the index.
// The reopened store must hold all committed results with all pages, none that was deleted before or
// never committed, and must give back the space of deleted ones.
func TestCommittedResultsSurviveEveryCrash(t *testing.T) {
	run := newRandomRun(t, 7, smallOptions())
	for range 230 {
		run.step()
	}
	steps := run.disk.StepCount()
	if steps < 300 {
		t.Fatal("the run has too few disk steps: ", steps)
	}
	compacted := 0
	for step := range steps + 1 {
		for crash := disk.ProcessKilled; crash <= disk.PowerLoss; crash++ {
			for _, indexLost := range []bool{false, true} {
				if indexLost && step%3 != int(crash) { // rebuilding the index is slow, so only one step in three
					continue
				}
				crashed := run.disk.AfterCrash(step, crash)
				index := disk.NewIndex(crashed)
				if !indexLost {
					index = run.index.AfterCrash(step, crashed)
				}
				store, recovery, err := resultstore.Open(crashed, index, smallOptions())
				if err != nil {
					t.Fatalf("crash at step %d, %v: %v", step, crash, err)
				}
				if len(recovery.Lost) > 0 {
					t.Fatalf("crash at step %d, %v: committed results lost: %x", step, crash, recovery.Lost)
				}
				found := map[uint64]bool{}
				store.Each(func(m *resultstore.Meta) error {
					found[m.Result] = true
					state := run.results[m.Result]
					if state == nil || len(state.rows) != len(m.PageRows) ||
						state.committedAt == 0 && state.dropStartedAt == 0 && step >= steps {
						t.Fatalf("crash at step %d: result %x was never committed", step, m.Result)
					}
					expectPages(t, store, m.Result, state)
					return nil
				})
				for id, state := range run.results {
					mustExist := state.committedAt > 0 && state.committedAt <= step &&
						(state.dropStartedAt == 0 || step < state.dropStartedAt)
					mustNotExist := crash != disk.PowerLoss && state.droppedAt > 0 && state.droppedAt <= step
					if mustExist && !found[id] || mustNotExist && found[id] {
						t.Fatalf(
							"crash at step %d of %d, %v, index lost %v: result %x exists: %v; committed %d, deleted %d to %d",
							step, steps, crash, indexLost, id, found[id],
							state.committedAt, state.dropStartedAt, state.droppedAt)
					}
				}
				if report, err := store.Verify(); err != nil || len(report.Faults) > 0 {
					t.Fatalf("crash at step %d: %v %v", step, err, report.Faults)
				}
				for more := true; more; compacted++ { // releases the space of deleted results
					if more, err = store.Tick(); err != nil {
						t.Fatal(err)
					}
				}
				if dead := store.TotalBytes() - store.LiveBytes(); dead >
					store.LiveBytes()+int64(len(found)+9)*600+8<<10 {
					t.Fatalf("crash at step %d: %d bytes are dead and %d live", step, dead, store.LiveBytes())
				}
				for id := range found {
					expectPages(t, store, id, run.results[id])
				}
			}
		}
	}
	if compacted < 2*steps {
		t.Fatal("nothing was compacted")
	}
}

// Disk errors at random, including a full disk, lose the results that were being written, but no
// committed result.
func TestCommittedResultsSurviveDiskErrors(t *testing.T) {
	for seed := range uint64(30) {
		run := newRandomRun(t, seed, smallOptions())
		faults := rand.New(rand.NewPCG(seed, 9))
		run.disk.PartialWrites = true
		run.disk.InjectError = func(verb, name string) error {
			if faults.IntN(12) == 0 && verb != "remove" {
				return syscall.ENOSPC
			}
			return nil
		}
		for range 300 {
			run.step()
		}
		run.disk.InjectError = nil
		for _, id := range run.committedIDs {
			expectPages(t, run.store, id, run.results[id])
		}
		reopened, recovery, err := resultstore.Open(run.disk, run.index, smallOptions())
		if err != nil || len(recovery.Lost) > 0 {
			t.Fatal(err, recovery)
		}
		for _, id := range run.committedIDs {
			expectPages(t, reopened, id, run.results[id])
		}
	}
}

// Fetch never returns a page with a flipped bit, and Verify reports the bit.
func TestFlippedBitIsDetected(t *testing.T) {
	run := newRandomRun(t, 3, resultstore.Options{})
	run.lastID++
	id := run.lastID
	run.results[id] = &resultState{}
	for range 5 {
		run.writePage(id)
	}
	if err := run.commit(id); err != nil {
		t.Fatal(err)
	}
	names, _ := run.disk.List()
	size, _ := func() (int64, error) { f, _ := run.disk.Open(names[0]); return f.Size() }()
	for offset := int64(16); offset < size; offset++ {
		run.disk.FlipBit(names[0], offset, uint(offset%8))
		for i, want := range run.results[id].pages {
			if p, err := run.store.Fetch(id, i); err == nil && !bytes.Equal(p, want) {
				t.Fatalf("bit flipped at %d: page %d was returned although it is corrupt", offset, i)
			} else if err != nil && !errors.Is(err, resultstore.ErrCorrupt) {
				t.Fatal(err)
			}
		}
		if v, err := run.store.Verify(); err != nil || len(v.Faults) == 0 {
			t.Fatalf("bit flipped at %d: not detected: %v", offset, err)
		}
		run.disk.FlipBit(names[0], offset, uint(offset%8))
	}
	expectPages(t, run.store, id, run.results[id])
}

// A store on real files keeps its results over restarts, also without its index, and GC deletes them.
func TestStoreOnRealFiles(t *testing.T) {
	path := t.TempDir()
	open := func() (*resultstore.Store, resultstore.Recovery, *resultstore.Dir) {
		d, err := resultstore.LockDir(path)
		if err != nil {
			t.Fatal(err)
		}
		x, err := resultstore.OpenBoltIndex(d.Path("index.db"))
		if err != nil {
			t.Fatal(err)
		}
		s, found, err := resultstore.Open(d, x, smallOptions())
		if err != nil {
			t.Fatal(err)
		}
		return s, found, d
	}
	s, _, d := open()
	if _, err := resultstore.LockDir(path); !errors.Is(err, resultstore.ErrInUse) {
		t.Fatal("a locked directory was locked again: ", err)
	}
	run := &randomRun{t: t, rng: rand.New(rand.NewPCG(5, 1)), disk: disk.New(), store: s,
		results: map[uint64]*resultState{}, lastID: s.FirstResultID()}
	for range 400 {
		run.step()
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	d.Close()
	check := func(rebuilt bool) {
		t.Helper()
		s, found, d := open()
		if found.Results != len(run.committedIDs) || found.IndexRebuilt != rebuilt || len(found.Lost) > 0 {
			t.Fatalf("%d results of %d, %+v", found.Results, len(run.committedIDs), found)
		}
		for _, id := range run.committedIDs {
			expectPages(t, s, id, run.results[id])
		}
		if s.FirstResultID() <= run.lastID {
			t.Fatal("result ids are used again")
		}
		s.Close()
		d.Close()
	}
	check(false)
	if err := os.Truncate(filepath.Join(path, "index.db"), 5000); err != nil {
		t.Fatal(err)
	}
	check(true)
	os.Remove(filepath.Join(path, "index.db"))
	check(true)
	s, _, d = open()
	defer d.Close()
	defer s.Close()
	if n, err := s.GC(2000); err != nil || n != len(run.committedIDs) || s.LiveBytes() != 0 {
		t.Fatalf("%d dropped of %d, %v, %d bytes live", n, len(run.committedIDs), err, s.LiveBytes())
	}
	names, _ := d.List()
	if n := strings.Count(strings.Join(names, " "), ".seg"); n > 1 {
		t.Fatal("segments left behind: ", names)
	}
}

func TestLockDirInUnusablePath(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	os.WriteFile(path, nil, 0o600)
	if _, err := resultstore.LockDir(filepath.Join(path, "spool")); err == nil {
		t.Fatal("locked a directory below a regular file")
	}
}
