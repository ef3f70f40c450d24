package storage

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
)

func named() string { return "disk-1" }

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func open(t testing.TB, o Options, dir string) (*Disk, Contents) {
	t.Helper()
	d, f, err := o.Open(dir, named)
	must(t, err)
	t.Cleanup(func() { d.Close() })
	return d, f
}

func records(from, to uint64, term uint64) []consensus.LogEntry {
	var rs []consensus.LogEntry
	for i := from; i <= to; i++ {
		rs = append(rs, consensus.LogEntry{Index: i, Term: term, IsVoterChange: i%7 == 0, Data: fmt.Appendf(nil, "what was decided as %d in %d", i, term)})
	}
	return rs
}

// typeOf is the error's type if it is one of this package's.
func typeOf(t testing.TB, err error) string {
	t.Helper()
	var r fleet.ErrorWithRemedy
	if !errors.As(err, &r) || r.Remedy() == "" {
		t.Fatalf("%T isn't of a type of its own: %v", err, err)
	}
	return reflect.TypeOf(r).Elem().Name()
}

func TestKept(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a", "b")
	d, f := open(t, Options{}, dir)
	if !f.Fresh || f.DiskID != "disk-1" || d.ID() != "disk-1" || f.Owner != "" {
		t.Fatalf("%+v", f)
	}
	must(t, d.Claim("north"))
	want := Contents{DiskID: "disk-1", Owner: "north", Notes: map[string][]byte{}}
	write := func(k consensus.PersistentState) {
		t.Helper()
		must(t, d.Write(k))
		if k.HardState != nil {
			want.Persistent.HardState = k.HardState
		}
		if k.Snapshot != nil {
			want.Persistent.Snapshot, want.Persistent.Entries = k.Snapshot, nil
		}
		for i, r := range want.Persistent.Entries {
			if len(k.Entries) > 0 && r.Index == k.Entries[0].Index {
				want.Persistent.Entries = want.Persistent.Entries[:i:i]
				break
			}
		}
		want.Persistent.Entries = append(want.Persistent.Entries, k.Entries...)
	}
	again := func() {
		t.Helper()
		must(t, d.Close())
		d, f = open(t, Options{}, dir)
		if x := diff(want, f); x != "" {
			t.Fatal(x)
		}
		must(t, d.Claim("north"))
	}
	write(consensus.PersistentState{HardState: []byte("1"), Entries: records(1, 50, 1)})
	again()
	write(consensus.PersistentState{Entries: records(31, 40, 2)}) // ten of the old ones are void
	again()
	write(consensus.PersistentState{HardState: []byte("2"), Snapshot: &consensus.Snapshot{Index: 35, Term: 2, VoterConfig: []byte("c"), Data: []byte("state")},
		Entries: want.Persistent.Entries[19:]})
	again()
	write(consensus.PersistentState{Entries: records(41, 60, 3)})
	again()
	write(consensus.PersistentState{Snapshot: &consensus.Snapshot{Index: 900, Term: 4}}) // from a leader: nothing before it counts
	write(consensus.PersistentState{Entries: records(901, 903, 4)})
	must(t, d.WriteNote("p1", []byte("wiped")))
	must(t, d.WriteNote("p2", []byte{}))
	must(t, d.WriteNote("p3", []byte("x")))
	must(t, d.WriteNote("p3", nil))
	want.Notes["p1"], want.Notes["p2"] = []byte("wiped"), []byte{}
	again()
	if string(d.ReadNote("p1")) != "wiped" || d.ReadNote("p2") == nil || d.ReadNote("p3") != nil {
		t.Fatal("notes")
	}
	if got := typeOf(t, d.Claim("south")); got != "ForeignDataError" {
		t.Fatal(got)
	}
	var gap *consensus.LogGapError
	if err := d.Write(consensus.PersistentState{Entries: records(905, 906, 4)}); !errors.As(err, &gap) || gap.Index != 905 {
		t.Fatal(err)
	}
	again()
}

// full lays down a directory with a bit of everything, and tells what it holds.
func filled(t testing.TB) (dir string, held Contents) {
	dir = t.TempDir()
	d, _ := open(t, Options{}, dir)
	must(t, d.Claim("north"))
	must(t, d.Write(consensus.PersistentState{HardState: []byte("hard"), Entries: records(1, 300, 1)}))
	must(t, d.Write(consensus.PersistentState{Snapshot: &consensus.Snapshot{Index: 200, Term: 1, VoterConfig: []byte("conf"), Data: bytes.Repeat([]byte("s"), 9000)},
		Entries: records(100, 300, 1)}))
	must(t, d.WriteNote("p1", []byte("wiped")))
	must(t, d.Write(consensus.PersistentState{Entries: records(301, 600, 2)}))
	must(t, d.Close())
	d, held = open(t, Options{}, dir)
	must(t, d.Close())
	return dir, held
}

// Wherever a file ends too early, it opens with all that it held, or says so.
func TestTorn(t *testing.T) {
	dir, held := filled(t)
	path := filepath.Join(dir, "record")
	whole, err := os.ReadFile(path)
	must(t, err)
	torn := 0
	for cut := len(whole) - 1; cut > 0; cut -= 1500 {
		must(t, os.WriteFile(path, whole[:cut], 0o600))
		d, f, err := Open(dir, named)
		if err == nil {
			if x := diff(held, f); x != "" {
				t.Fatalf("cut at %d: %s", cut, x)
			}
			must(t, d.Close())
			continue
		}
		if got := typeOf(t, err); got != "TornWriteError" && got != "CorruptionError" {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		torn++
	}
	if torn < 20 {
		t.Fatalf("only %d of the cuts were seen", torn)
	}
	must(t, os.WriteFile(path, whole, 0o600)) // and nobody holds it
	d, _, err := Open(dir, named)
	must(t, err)
	must(t, d.Close())
}

func TestSpoilt(t *testing.T) {
	dir, held := filled(t)
	path := filepath.Join(dir, "record")
	whole, err := os.ReadFile(path)
	must(t, err)
	flip := func(at int) error {
		b := bytes.Clone(whole)
		b[at] ^= 0x10
		must(t, os.WriteFile(path, b, 0o600))
		d, f, err := Open(dir, named)
		if err == nil {
			if x := diff(held, f); x != "" {
				t.Fatalf("byte %d: %s", at, x)
			}
			must(t, d.Close())
		}
		return err
	}
	// One byte of a record's data, in the copy that counts: at the last place.
	at := bytes.LastIndex(whole, []byte("what was decided as 457 in 2"))
	var spoilt *CorruptionError
	if err := flip(at + 3); !errors.As(err, &spoilt) || spoilt.Location != "record 457" {
		t.Fatal(err)
	}
	for _, head := range []int{16 + 48, os.Getpagesize() + 16 + 48} { // the number of the last write
		if err := flip(head); !errors.As(err, &spoilt) {
			t.Fatal(err)
		}
	}
	// Any byte: the same as before, or told.
	r, told := rand.New(rand.NewPCG(7, 7)), 0
	for range 400 {
		if err := flip(r.IntN(len(whole))); err != nil {
			if got := typeOf(t, err); got != "TornWriteError" && got != "CorruptionError" && got != "AccessError" {
				t.Fatal(err)
			}
			told++
		}
	}
	if told < 50 {
		t.Fatalf("only %d of 400 were told", told)
	}
	t.Logf("%d of 400 flipped bytes were told, the others changed nothing", told)
}

// A write that fails fails for good until the directory is opened anew, and leaves
// what was written before.
func stuck(t *testing.T, o Options, want string, off func()) {
	t.Helper()
	dir, held := filled(t)
	d, _, err := o.Open(dir, named)
	must(t, err)
	for from := uint64(601); err == nil && from < 100_000; from += 500 {
		if err = d.Write(consensus.PersistentState{Entries: records(from, from+499, 3)}); err == nil {
			held.Persistent.Entries = append(held.Persistent.Entries, records(from, from+499, 3)...)
		}
	}
	if err == nil || typeOf(t, err) != want {
		t.Fatalf("want %s, got %v", want, err)
	}
	off()
	if again := d.Write(consensus.PersistentState{HardState: []byte("x")}); again != err {
		t.Fatal(again)
	}
	if again := d.WriteNote("a", []byte("b")); again != err {
		t.Fatal(again)
	}
	must(t, d.Close())
	d, f := open(t, Options{}, dir)
	if x := diff(held, f); x != "" {
		t.Fatal(x)
	}
	must(t, d.Write(consensus.PersistentState{HardState: []byte("x")}))
}

func TestFull(t *testing.T) {
	stuck(t, Options{MaxBytes: 1 << 20}, "DiskFullError", func() {})
	fault := syscall.ENOSPC
	stuck(t, Options{WriteFault: func() error {
		if fault != 0 {
			return &os.PathError{Op: "write", Path: "record", Err: fault}
		}
		return nil
	}}, "DiskFullError", func() { fault = 0 })
}

func TestRefused(t *testing.T) {
	// The file itself takes nothing: it was opened for reading only.
	stuck(t, Options{OpenFile: func(name string, _ int, mode os.FileMode) (*os.File, error) {
		return os.OpenFile(name, os.O_RDONLY, mode)
	}}, "AccessError", func() {})
	stuck(t, Options{WriteFault: func() error { return syscall.EIO }}, "AccessError", func() {})
	in := filepath.Join(t.TempDir(), "file")
	must(t, os.WriteFile(in, nil, 0o600))
	if _, _, err := Open(filepath.Join(in, "dir"), named); typeOf(t, err) != "AccessError" {
		t.Fatal(err)
	}
}

// Cut off while it was first made, a directory is made again.
func TestMadeAgain(t *testing.T) {
	dir := t.TempDir()
	must(t, os.WriteFile(filepath.Join(dir, "record.new"), bytes.Repeat([]byte{1}, 5000), 0o600))
	if _, f := open(t, Options{}, dir); !f.Fresh {
		t.Fatalf("%+v", f)
	}
}

func TestTwoPrograms(t *testing.T) {
	if dir := os.Getenv("DISK_TEST_DIR"); dir != "" { // the other one
		_, _, err := Open(dir, named)
		fmt.Print(typeOf(t, err))
		os.Exit(0)
	}
	dir := t.TempDir()
	d, _ := open(t, Options{}, dir)
	c := exec.Command(os.Args[0], "-test.run=^TestTwoPrograms$")
	c.Env = append(os.Environ(), "DISK_TEST_DIR="+dir)
	out, err := c.CombinedOutput()
	if err != nil || string(out) != "LockedError" {
		t.Fatalf("%s %v", out, err)
	}
	if _, _, err := Open(dir, named); typeOf(t, err) != "LockedError" {
		t.Fatal(err)
	}
	must(t, d.Close())
	open(t, Options{}, dir)
}

func TestLongRecord(t *testing.T) {
	dir := t.TempDir()
	d, _ := open(t, Options{}, dir)
	begin := time.Now()
	const n = 100_000
	for from := uint64(1); from <= n; from += 10_000 {
		must(t, d.Write(consensus.PersistentState{Entries: records(from, from+9999, 1)}))
	}
	t.Logf("%d records were written in %v", n, time.Since(begin))
	must(t, d.Close())
	begin = time.Now()
	d, f := open(t, Options{}, dir)
	took := time.Since(begin)
	t.Logf("%d records were read in %v", n, took)
	if len(f.Persistent.Entries) != n || took > 2*time.Second {
		t.Fatalf("%d records in %v", len(f.Persistent.Entries), took)
	}
	begin = time.Now()
	must(t, d.Write(consensus.PersistentState{HardState: []byte("h"), Snapshot: &consensus.Snapshot{Index: n, Term: 1, Data: make([]byte, 1<<20)}, Entries: records(n-199, n, 1)}))
	t.Logf("a snapshot in place of all but 200 took %v", time.Since(begin))
	must(t, d.Close())
	begin = time.Now()
	_, f = open(t, Options{}, dir)
	took = time.Since(begin)
	t.Logf("the snapshot with 200 records was read in %v", took)
	if f.Persistent.Snapshot.Index != n || len(f.Persistent.Entries) != 200 || took > 2*time.Second {
		t.Fatalf("%d records in %v", len(f.Persistent.Entries), took)
	}
}

func TestErrors(t *testing.T) {
	for _, e := range Errors() {
		if e.Error() == "" || e.Remedy() == "" {
			t.Errorf("%T says nothing", e)
		}
	}
}

func BenchmarkWrite(b *testing.B) {
	d, _ := open(b, Options{}, b.TempDir())
	i := uint64(0)
	for b.Loop() {
		i++
		must(b, d.Write(consensus.PersistentState{HardState: []byte("h"), Entries: records(i, i, 1)}))
	}
}

// diff is cmp's, which is slow for what is long and the same.
func diff(want, got Contents) string {
	if reflect.DeepEqual(want, got) {
		return ""
	}
	return cmp.Diff(want, got)
}
