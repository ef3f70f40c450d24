package resultstore_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"railrelay.dev/railrelay/internal/emulator/disk"
	"railrelay.dev/railrelay/internal/resultstore"
	"railrelay.dev/railrelay/internal/spool"
)

// rowMarker is in every page of a tenant's results and nowhere else. The tenant's name is in the
// descriptions of the results.
func rowMarker(tenant string) []byte { return fmt.Appendf(nil, "<rows of %s>", tenant) }

const purgedTenant = "team-to-be-purged"

// putResult writes the pages of a result of a tenant, and commits it if commit is set.
func putResult(t testing.TB, store *resultstore.SpoolStore, result uint64, tenant string, commit bool) {
	work := &spool.DiskTask{}
	var rows []uint32
	for i := range 3 {
		work.Pages = append(work.Pages, spool.Page{ResultID: result, Number: uint32(i),
			Body: append(rowMarker(tenant), make([]byte, 200)...)})
		rows = append(rows, 1)
	}
	if commit {
		work.Metadata = &spool.Metadata{ResultID: result, Query: fmt.Sprintf("%016x", result), Tenant: tenant,
			CreatedUnixMillis: 1, ExpiresUnixMillis: 1 << 50, PageRows: rows,
			InvalidationTag: spool.InvalidationTag{LogIndex: result, Tables: []int64{int64(result), -1},
				Owner: tenant}}
	}
	if store.Write([]*spool.DiskTask{work}); work.Err != nil {
		t.Fatal(work.Err)
	}
}

// erase deletes results and calls Tick until they are erased.
func erase(t testing.TB, store *resultstore.SpoolStore, results []uint64) {
	work := &spool.DiskTask{Erase: true}
	store.Write([]*spool.DiskTask{{Drop: results}, work})
	for range 1000 {
		if _, err := store.Tick(); err != nil {
			continue // the next Tick retries
		}
		if erased := store.TakeErased(); len(erased) == 1 && erased[0] == work {
			return
		}
	}
	t.Fatal("the erasure doesn't finish")
}

// countResults returns the results of the purged tenant, and the number of other results, whose
// descriptions it checks.
func countResults(t testing.TB, store *resultstore.SpoolStore) (purged []uint64, others int) {
	if err := store.Restore(func(f *spool.StoredResult) {
		if f.Tenant == purgedTenant {
			purged = append(purged, f.ResultID)
		} else if others++; f.LogIndex != f.ResultID || len(f.Tables) != 2 || f.Tables[0] != int64(f.ResultID) ||
			f.Tables[1] != -1 || f.Owner != f.Tenant {
			t.Fatalf("the fields by which a purge selects results are lost: %+v", f.Metadata)
		}
	}); err != nil {
		t.Fatal(err)
	}
	return purged, others
}

// Simulates a crash at every disk step of an erasure, in three ways, with and without the index, and
// also during a compaction. After a restart, the same erasure removes all data of the purged tenant,
// including results that were deleted long before, uncommitted results and copies by compaction. It
// removes no other result.
func TestEraseAfterEveryCrash(t *testing.T) {
	d := disk.New()
	x := disk.NewIndex(d)
	k, err := resultstore.NewSpoolStore(d, x, smallOptions())
	if err != nil {
		t.Fatal(err)
	}
	const keptCount = 12
	var purged []uint64
	for id := uint64(1); id <= 2*keptCount; id++ {
		if id%2 == 0 {
			putResult(t, k, id, "linz", true)
			continue
		}
		putResult(t, k, id, purgedTenant, id%3 != 0) // some are never committed
		if id%5 == 0 {                               // deleted long before the erasure
			k.Write([]*spool.DiskTask{{Drop: []uint64{id}}})
		} else {
			purged = append(purged, id)
		}
		if id == keptCount { // begins a compaction
			k.Tick()
		}
	}
	firstStep := d.StepCount()
	if len(d.FilesContaining(rowMarker(purgedTenant))) < 3 {
		t.Fatal("there is nothing to erase")
	}
	expectErased := func(d *disk.Disk, k *resultstore.SpoolStore, situation string) {
		t.Helper()
		l := append(d.FilesContaining(rowMarker(purgedTenant)),
			d.FilesContaining([]byte(purgedTenant))...)
		if len(l) > 0 {
			t.Fatalf("%s: reported as erased, but still in %v", situation, l)
		}
		if l, others := countResults(t, k); len(l) > 0 || others != keptCount {
			t.Fatalf("%s: %d results of the purged tenant are left, and %d other results of %d", situation, len(l),
				others, keptCount)
		}
		if v, err := k.Verify(); err != nil || len(v.Faults) > 0 {
			t.Fatalf("%s: %v %v", situation, err, v.Faults)
		}
	}
	erase(t, k, purged)
	lastStep := d.StepCount()
	expectErased(d, k, "without a crash")
	if lastStep-firstStep < 20 {
		t.Fatal("the erasure has too few disk steps: ", lastStep-firstStep)
	}
	// erased data doesn't come back after a crash
	for crash := disk.ProcessKilled; crash <= disk.PowerLoss; crash++ {
		if l := d.AfterCrash(lastStep, crash).FilesContaining(rowMarker(purgedTenant)); len(l) > 0 {
			t.Fatalf("erased data came back after a crash (%v) in %v", crash, l)
		}
	}
	recovered := 0
	for n := firstStep; n <= lastStep; n++ {
		for crash := disk.ProcessKilled; crash <= disk.PowerLoss; crash++ {
			for _, indexLost := range []bool{false, true} {
				if indexLost && n%3 != int(crash) { // rebuilding the index is slow, so only one step in three
					continue
				}
				situation := fmt.Sprintf("crash at step %d of %d to %d, %v, index lost %v", n, firstStep, lastStep, crash,
					indexLost)
				d := d.AfterCrash(n, crash)
				x := x.AfterCrash(n, d)
				if indexLost {
					x = disk.NewIndex(d)
				}
				k, err := resultstore.NewSpoolStore(d, x, smallOptions())
				if err != nil {
					t.Fatalf("%s: %v", situation, err)
				}
				l, _ := countResults(t, k)
				recovered += len(l)
				putResult(t, k, k.FirstResultID()+1, purgedTenant, false) // written during the erasure
				erase(t, k, append(l, k.FirstResultID()+1))
				expectErased(d, k, situation)
			}
		}
	}
	if recovered == 0 {
		t.Fatal("no crash brought a deleted result back: all crashes came too late")
	}
}

// Disk errors delay an erasure, and never cause it to be reported too early.
func TestEraseWaitsForFaultyDisk(t *testing.T) {
	refused := 0
	for nth := range 40 {
		d := disk.New()
		k, err := resultstore.NewSpoolStore(d, disk.NewIndex(d), smallOptions())
		if err != nil {
			t.Fatal(err)
		}
		var purged []uint64
		for id := uint64(1); id <= 12; id++ {
			if tenant := "linz"; id%2 == 0 {
				putResult(t, k, id, tenant, true)
			} else {
				putResult(t, k, id, purgedTenant, true)
				purged = append(purged, id)
			}
		}
		d.PartialWrites = true
		operations := 0
		d.InjectError = func(verb, name string) error {
			if operations++; operations > nth && operations <= nth+3 {
				refused++
				return os.ErrInvalid
			}
			return nil
		}
		erase(t, k, purged)
		if l := d.FilesContaining(rowMarker(purgedTenant)); len(l) > 0 {
			t.Fatalf("reported as erased, but still in %v", l)
		}
	}
	if refused < 50 {
		t.Fatal("too few disk errors: ", refused)
	}
}

// An erasure on real files removes the data from the index's file, too.
func TestEraseOnRealFiles(t *testing.T) {
	dir := t.TempDir()
	k, err := resultstore.OpenSpoolStore(dir, resultstore.Options{SegmentBytes: 4 << 10, MaxIndexLag: 2})
	if err != nil {
		t.Fatal(err)
	}
	var purged []uint64
	for id := uint64(1); id <= 40; id++ {
		if id%2 == 0 {
			putResult(t, k, id, "linz", true)
		} else {
			putResult(t, k, id, purgedTenant, true)
			purged = append(purged, id)
		}
		if _, err := k.Tick(); err != nil {
			t.Fatal(err)
		}
	}
	holds := func() (names []string) {
		l, _ := os.ReadDir(dir)
		for _, e := range l {
			p, err := os.ReadFile(filepath.Join(dir, e.Name()))
			if err != nil {
				t.Fatal(err)
			}
			if bytes.Contains(p, []byte(purgedTenant)) {
				names = append(names, e.Name())
			}
		}
		return names
	}
	if l := holds(); len(l) < 3 || l[len(l)-1] != "index.db" {
		t.Fatal("the data is not in the files where it was written: ", l)
	}
	erase(t, k, purged)
	if l := holds(); len(l) > 0 {
		t.Fatal("reported as erased, but still in ", l)
	}
	if l, others := countResults(t, k); len(l) > 0 || others != 20 {
		t.Fatal(len(l), others)
	}
	putResult(t, k, 41, "linz", true) // the replaced index file is still writable
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	if k, err = resultstore.OpenSpoolStore(dir, resultstore.Options{}); err != nil || k.Recovery.Results != 21 ||
		k.Recovery.IndexRebuilt {
		t.Fatalf("%v %+v", err, k.Recovery)
	}
	k.Close()
}
