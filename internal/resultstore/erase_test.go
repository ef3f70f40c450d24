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

// marker is what stands in every page of a team, and nowhere else; its name stands in
// what is told of its results.
func marker(team string) []byte { return fmt.Appendf(nil, "<rows of %s>", team) }

const purgedTeam = "team-to-be-purged"

// put keeps a result of a team, or writes its pages only.
func put(t testing.TB, k *resultstore.SpoolStore, id uint64, team string, promised bool) {
	w := &spool.DiskTask{}
	var rows []uint32
	for i := range 3 {
		w.Pages = append(w.Pages, spool.Page{ResultID: id, Number: uint32(i), Body: append(marker(team), make([]byte, 200)...)})
		rows = append(rows, 1)
	}
	if promised {
		w.Metadata = &spool.Metadata{ResultID: id, Query: fmt.Sprintf("%016x", id), Team: team, CreatedWall: 1, ExpiresWall: 1 << 50, PageRows: rows, InvalidationTag: spool.InvalidationTag{LogIndex: id, Tables: []int64{int64(id), -1}, Owner: team}}
	}
	if k.Write([]*spool.DiskTask{w}); w.Err != nil {
		t.Fatal(w.Err)
	}
}

// purge drops all of the team and steps until that is erased.
func purge(t testing.TB, k *resultstore.SpoolStore, all []uint64) {
	w := &spool.DiskTask{Erase: true}
	k.Write([]*spool.DiskTask{{Drop: all}, w})
	for range 1000 {
		if _, err := k.Tick(); err != nil {
			continue // it is tried again
		}
		if l := k.TakeErased(); len(l) == 1 && l[0] == w {
			return
		}
	}
	t.Fatal("it isn't erased")
}

// theirs are the results of the team that are there.
func theirs(t testing.TB, k *resultstore.SpoolStore) (l []uint64, others int) {
	if err := k.Restore(func(f *spool.StoredResult) {
		if f.Team == purgedTeam {
			l = append(l, f.ResultID)
		} else if others++; f.LogIndex != f.ResultID || len(f.Tables) != 2 || f.Tables[0] != int64(f.ResultID) || f.Tables[1] != -1 || f.Owner != f.Team {
			t.Fatalf("what a purge finds it by is lost: %+v", f.Metadata)
		}
	}); err != nil {
		t.Fatal(err)
	}
	return l, others
}

// A purge is cut at every step, in three ways, with the index and without, in the middle
// of compaction too. Whatever was left behind, the same purge again has it all gone: what
// was dropped long before, half-written results and copies included. Nothing else goes.
func TestEraseThroughEveryCrash(t *testing.T) {
	d := disk.New()
	x := disk.NewIndex(d)
	k, err := resultstore.NewSpoolStore(d, x, small())
	if err != nil {
		t.Fatal(err)
	}
	const kept = 12
	var gone []uint64
	for id := uint64(1); id <= 2*kept; id++ {
		if id%2 == 0 {
			put(t, k, id, "linz", true)
			continue
		}
		put(t, k, id, purgedTeam, id%3 != 0) // some are never whole
		if id%5 == 0 {                       // evicted long ago
			k.Write([]*spool.DiskTask{{Drop: []uint64{id}}})
		} else {
			gone = append(gone, id)
		}
		if id == kept { // compaction is under way
			k.Tick()
		}
	}
	from := d.Steps()
	if len(d.Holds(marker(purgedTeam))) < 3 {
		t.Fatal("there is nothing to purge")
	}
	clean := func(d *disk.Disk, k *resultstore.SpoolStore, when string) {
		t.Helper()
		if l := append(d.Holds(marker(purgedTeam)), d.Holds([]byte(purgedTeam))...); len(l) > 0 {
			t.Fatalf("%s: wiped is told, and it is in %v", when, l)
		}
		if l, others := theirs(t, k); len(l) > 0 || others != kept {
			t.Fatalf("%s: %d of the purged are there, %d others of %d", when, len(l), others, kept)
		}
		if v, err := k.Verify(); err != nil || len(v.Faults) > 0 {
			t.Fatalf("%s: %v %v", when, err, v.Faults)
		}
	}
	purge(t, k, gone)
	to := d.Steps()
	clean(d, k, "in one go")
	if to-from < 20 {
		t.Fatal("the purge has too few steps to say anything: ", to-from)
	}
	// what was wiped stays so, whatever the crash
	for how := disk.Killed; how <= disk.Cut; how++ {
		if l := d.After(to, how).Holds(marker(purgedTeam)); len(l) > 0 {
			t.Fatalf("wiped, and %v brings it back in %v", how, l)
		}
	}
	back := 0
	for n := from; n <= to; n++ {
		for how := disk.Killed; how <= disk.Cut; how++ {
			for _, lost := range []bool{false, true} {
				if lost && n%3 != int(how) { // it is all read anew then, which takes long
					continue
				}
				when := fmt.Sprintf("cut at %d of %d to %d, %v, index lost %v", n, from, to, how, lost)
				d := d.After(n, how)
				x := x.After(n, d)
				if lost {
					x = disk.NewIndex(d)
				}
				k, err := resultstore.NewSpoolStore(d, x, small())
				if err != nil {
					t.Fatalf("%s: %v", when, err)
				}
				l, _ := theirs(t, k)
				back += len(l)
				put(t, k, k.FirstResultID()+1, purgedTeam, false) // goes on meanwhile
				purge(t, k, append(l, k.FirstResultID()+1))
				clean(d, k, when)
			}
		}
	}
	if back == 0 {
		t.Fatal("no crash brought any back: it was too late")
	}
}

// A disk that refuses makes a purge wait, and never have it told too early.
func TestEraseOnAFaultyDisk(t *testing.T) {
	refused := 0
	for nth := range 40 {
		d := disk.New()
		k, err := resultstore.NewSpoolStore(d, disk.NewIndex(d), small())
		if err != nil {
			t.Fatal(err)
		}
		var gone []uint64
		for id := uint64(1); id <= 12; id++ {
			if team := "linz"; id%2 == 0 {
				put(t, k, id, team, true)
			} else {
				put(t, k, id, purgedTeam, true)
				gone = append(gone, id)
			}
		}
		d.Half = true
		verbs := 0
		d.Fail = func(verb, name string) error {
			if verbs++; verbs > nth && verbs <= nth+3 {
				refused++
				return os.ErrInvalid
			}
			return nil
		}
		purge(t, k, gone)
		if l := d.Holds(marker(purgedTeam)); len(l) > 0 {
			t.Fatalf("wiped is told, and it is in %v", l)
		}
	}
	if refused < 50 {
		t.Fatal("the disk refused too seldom: ", refused)
	}
}

// The same on files of the system's, the index's own file included.
func TestEraseOnRealFiles(t *testing.T) {
	dir := t.TempDir()
	k, err := resultstore.OpenSpoolStore(dir, resultstore.Options{SegmentBytes: 4 << 10, MaxIndexLag: 2})
	if err != nil {
		t.Fatal(err)
	}
	var gone []uint64
	for id := uint64(1); id <= 40; id++ {
		if id%2 == 0 {
			put(t, k, id, "linz", true)
		} else {
			put(t, k, id, purgedTeam, true)
			gone = append(gone, id)
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
			if bytes.Contains(p, []byte(purgedTeam)) {
				names = append(names, e.Name())
			}
		}
		return names
	}
	if l := holds(); len(l) < 3 || l[len(l)-1] != "index.db" {
		t.Fatal("it is not where it was written: ", l)
	}
	purge(t, k, gone)
	if l := holds(); len(l) > 0 {
		t.Fatal("wiped is told, and it is in ", l)
	}
	if l, others := theirs(t, k); len(l) > 0 || others != 20 {
		t.Fatal(len(l), others)
	}
	put(t, k, 41, "linz", true) // the index goes on
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	if k, err = resultstore.OpenSpoolStore(dir, resultstore.Options{}); err != nil || k.Recovery.Results != 21 || k.Recovery.IndexRebuilt {
		t.Fatalf("%v %+v", err, k.Recovery)
	}
	k.Close()
}
