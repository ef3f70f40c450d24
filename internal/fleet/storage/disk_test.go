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

func fixedDiskID() string { return "disk-1" }

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func open(t testing.TB, options Options, dir string) (*Disk, Contents) {
	t.Helper()
	d, contents, err := options.Open(dir, fixedDiskID)
	must(t, err)
	t.Cleanup(func() { d.Close() })
	return d, contents
}

func logEntries(from, to uint64, term uint64) []consensus.LogEntry {
	var entries []consensus.LogEntry
	for i := from; i <= to; i++ {
		entries = append(entries, consensus.LogEntry{Index: i, Term: term, IsVoterChange: i%7 == 0,
			Data: fmt.Appendf(nil, "data of entry %d in term %d", i, term)})
	}
	return entries
}

// errorTypeName returns the name of the error type with a remedy in err, and fails the test if there
// is none.
func errorTypeName(t testing.TB, err error) string {
	t.Helper()
	var r fleet.ErrorWithRemedy
	if !errors.As(err, &r) || r.Remedy() == "" {
		t.Fatalf("%T has no remedy: %v", err, err)
	}
	return reflect.TypeOf(r).Elem().Name()
}

func TestWrittenDataIsReadBack(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a", "b")
	d, contents := open(t, Options{}, dir)
	if !contents.Fresh || contents.DiskID != "disk-1" || d.ID() != "disk-1" || contents.Owner != "" {
		t.Fatalf("%+v", contents)
	}
	must(t, d.Claim("north"))
	want := Contents{DiskID: "disk-1", Owner: "north", Notes: map[string][]byte{}}
	write := func(p consensus.PersistentState) {
		t.Helper()
		must(t, d.Write(p))
		if p.HardState != nil {
			want.Persistent.HardState = p.HardState
		}
		if p.Snapshot != nil {
			want.Persistent.Snapshot, want.Persistent.Entries = p.Snapshot, nil
		}
		for i, entry := range want.Persistent.Entries {
			if len(p.Entries) > 0 && entry.Index == p.Entries[0].Index {
				want.Persistent.Entries = want.Persistent.Entries[:i:i]
				break
			}
		}
		want.Persistent.Entries = append(want.Persistent.Entries, p.Entries...)
	}
	reopen := func() {
		t.Helper()
		must(t, d.Close())
		d, contents = open(t, Options{}, dir)
		if difference := diff(want, contents); difference != "" {
			t.Fatal(difference)
		}
		must(t, d.Claim("north"))
	}
	write(consensus.PersistentState{HardState: []byte("1"), Entries: logEntries(1, 50, 1)})
	reopen()
	write(consensus.PersistentState{Entries: logEntries(31, 40, 2)}) // replaces entries 31 to 50
	reopen()
	write(consensus.PersistentState{HardState: []byte("2"),
		Snapshot: &consensus.Snapshot{Index: 35, Term: 2, VoterConfig: []byte("c"), Data: []byte("state")},
		Entries:  want.Persistent.Entries[19:]})
	reopen()
	write(consensus.PersistentState{Entries: logEntries(41, 60, 3)})
	reopen()
	// A snapshot from a leader replaces the whole log.
	write(consensus.PersistentState{Snapshot: &consensus.Snapshot{Index: 900, Term: 4}})
	write(consensus.PersistentState{Entries: logEntries(901, 903, 4)})
	must(t, d.WriteNote("p1", []byte("wiped")))
	must(t, d.WriteNote("p2", []byte{}))
	must(t, d.WriteNote("p3", []byte("x")))
	must(t, d.WriteNote("p3", nil))
	want.Notes["p1"], want.Notes["p2"] = []byte("wiped"), []byte{}
	reopen()
	if string(d.ReadNote("p1")) != "wiped" || d.ReadNote("p2") == nil || d.ReadNote("p3") != nil {
		t.Fatal("wrong notes after reopening")
	}
	if got := errorTypeName(t, d.Claim("south")); got != "ForeignDataError" {
		t.Fatal(got)
	}
	var gap *consensus.LogGapError
	if err := d.Write(consensus.PersistentState{Entries: logEntries(905, 906, 4)}); !errors.As(err, &gap) ||
		gap.Index != 905 {
		t.Fatal(err)
	}
	reopen()
}

// writeSampleDirectory writes a directory with every kind of content, and returns the content.
func writeSampleDirectory(t testing.TB) (dir string, contents Contents) {
	dir = t.TempDir()
	d, _ := open(t, Options{}, dir)
	must(t, d.Claim("north"))
	must(t, d.Write(consensus.PersistentState{HardState: []byte("hard"), Entries: logEntries(1, 300, 1)}))
	must(t, d.Write(consensus.PersistentState{Snapshot: &consensus.Snapshot{Index: 200, Term: 1,
		VoterConfig: []byte("conf"), Data: bytes.Repeat([]byte("s"), 9000)},
		Entries: logEntries(100, 300, 1)}))
	must(t, d.WriteNote("p1", []byte("wiped")))
	must(t, d.Write(consensus.PersistentState{Entries: logEntries(301, 600, 2)}))
	must(t, d.Close())
	d, contents = open(t, Options{}, dir)
	must(t, d.Close())
	return dir, contents
}

// A file that is truncated anywhere either opens with its whole content or is reported.
func TestTruncatedFileIsReadWholeOrReported(t *testing.T) {
	dir, want := writeSampleDirectory(t)
	path := filepath.Join(dir, "record")
	intact, err := os.ReadFile(path)
	must(t, err)
	reported := 0
	for cut := len(intact) - 1; cut > 0; cut -= 1500 {
		must(t, os.WriteFile(path, intact[:cut], 0o600))
		d, got, err := Open(dir, fixedDiskID)
		if err == nil {
			if difference := diff(want, got); difference != "" {
				t.Fatalf("truncated to %d bytes: %s", cut, difference)
			}
			must(t, d.Close())
			continue
		}
		if got := errorTypeName(t, err); got != "TornWriteError" && got != "CorruptionError" {
			t.Fatalf("truncated to %d bytes: %v", cut, err)
		}
		reported++
	}
	if reported < 20 {
		t.Fatalf("only %d truncated files were reported, want at least 20", reported)
	}
	must(t, os.WriteFile(path, intact, 0o600)) // a failed Open must not keep the lock
	d, _, err := Open(dir, fixedDiskID)
	must(t, err)
	must(t, d.Close())
}

func TestDamagedBytesAreReported(t *testing.T) {
	dir, want := writeSampleDirectory(t)
	path := filepath.Join(dir, "record")
	intact, err := os.ReadFile(path)
	must(t, err)
	openWithFlippedBit := func(at int) error {
		damaged := bytes.Clone(intact)
		damaged[at] ^= 0x10
		must(t, os.WriteFile(path, damaged, 0o600))
		d, got, err := Open(dir, fixedDiskID)
		if err == nil {
			if difference := diff(want, got); difference != "" {
				t.Fatalf("byte %d: %s", at, difference)
			}
			must(t, d.Close())
		}
		return err
	}
	// A byte in the data of a log entry. bbolt may leave old copies of a page; the last one is in use.
	at := bytes.LastIndex(intact, []byte("data of entry 457 in term 2"))
	var corruption *CorruptionError
	if err := openWithFlippedBit(at + 3); !errors.As(err, &corruption) ||
		corruption.Location != "log entry 457" {
		t.Fatal(err)
	}
	for _, metaTxID := range []int{16 + 48, os.Getpagesize() + 16 + 48} { // transaction ID in each meta page
		if err := openWithFlippedBit(metaTxID); !errors.As(err, &corruption) {
			t.Fatal(err)
		}
	}
	// A random byte: the content is unchanged, or the damage is reported.
	r, reported := rand.New(rand.NewPCG(7, 7)), 0
	for range 400 {
		if err := openWithFlippedBit(r.IntN(len(intact))); err != nil {
			if got := errorTypeName(t, err); got != "TornWriteError" && got != "CorruptionError" &&
				got != "AccessError" {
				t.Fatal(err)
			}
			reported++
		}
	}
	if reported < 50 {
		t.Fatalf("only %d of 400 flipped bits were reported, want at least 50", reported)
	}
	t.Logf("%d of 400 flipped bits were reported, the others changed nothing", reported)
}

// testFailingWrite checks that after a failed write all writes fail until the directory is opened
// again, and that the earlier writes are kept.
func testFailingWrite(t *testing.T, options Options, wantType string, stopFault func()) {
	t.Helper()
	dir, contents := writeSampleDirectory(t)
	d, _, err := options.Open(dir, fixedDiskID)
	must(t, err)
	for from := uint64(601); err == nil && from < 100_000; from += 500 {
		if err = d.Write(consensus.PersistentState{Entries: logEntries(from, from+499, 3)}); err == nil {
			contents.Persistent.Entries = append(contents.Persistent.Entries, logEntries(from, from+499, 3)...)
		}
	}
	if err == nil || errorTypeName(t, err) != wantType {
		t.Fatalf("want %s, got %v", wantType, err)
	}
	stopFault()
	if again := d.Write(consensus.PersistentState{HardState: []byte("x")}); again != err {
		t.Fatal(again)
	}
	if again := d.WriteNote("a", []byte("b")); again != err {
		t.Fatal(again)
	}
	must(t, d.Close())
	d, got := open(t, Options{}, dir)
	if difference := diff(contents, got); difference != "" {
		t.Fatal(difference)
	}
	must(t, d.Write(consensus.PersistentState{HardState: []byte("x")}))
}

func TestFullDiskFailsWrites(t *testing.T) {
	testFailingWrite(t, Options{MaxBytes: 1 << 20}, "DiskFullError", func() {})
	fault := syscall.ENOSPC
	testFailingWrite(t, Options{WriteFault: func() error {
		if fault != 0 {
			return &os.PathError{Op: "write", Path: "record", Err: fault}
		}
		return nil
	}}, "DiskFullError", func() { fault = 0 })
}

func TestAccessErrorFailsWrites(t *testing.T) {
	// The file is opened read-only, so that each write to it fails.
	testFailingWrite(t, Options{OpenFile: func(name string, _ int, mode os.FileMode) (*os.File, error) {
		return os.OpenFile(name, os.O_RDONLY, mode)
	}}, "AccessError", func() {})
	testFailingWrite(t, Options{WriteFault: func() error { return syscall.EIO }}, "AccessError", func() {})
	in := filepath.Join(t.TempDir(), "file")
	must(t, os.WriteFile(in, nil, 0o600))
	if _, _, err := Open(filepath.Join(in, "dir"), fixedDiskID); errorTypeName(t, err) != "AccessError" {
		t.Fatal(err)
	}
}

// A directory whose creation was interrupted is created again.
func TestInterruptedCreationIsRepeated(t *testing.T) {
	dir := t.TempDir()
	must(t, os.WriteFile(filepath.Join(dir, "record.new"), bytes.Repeat([]byte{1}, 5000), 0o600))
	if _, contents := open(t, Options{}, dir); !contents.Fresh {
		t.Fatalf("%+v", contents)
	}
}

func TestDirectoryIsLockedAgainstOtherProcesses(t *testing.T) {
	if dir := os.Getenv("DISK_TEST_DIR"); dir != "" { // in the child process
		_, _, err := Open(dir, fixedDiskID)
		fmt.Print(errorTypeName(t, err))
		os.Exit(0)
	}
	dir := t.TempDir()
	d, _ := open(t, Options{}, dir)
	command := exec.Command(os.Args[0], "-test.run=^TestDirectoryIsLockedAgainstOtherProcesses$")
	command.Env = append(os.Environ(), "DISK_TEST_DIR="+dir)
	out, err := command.CombinedOutput()
	if err != nil || string(out) != "LockedError" {
		t.Fatalf("%s %v", out, err)
	}
	if _, _, err := Open(dir, fixedDiskID); errorTypeName(t, err) != "LockedError" {
		t.Fatal(err)
	}
	must(t, d.Close())
	open(t, Options{}, dir)
}

func TestLongLogIsReadWithinTwoSeconds(t *testing.T) {
	dir := t.TempDir()
	d, _ := open(t, Options{}, dir)
	begin := time.Now()
	const n = 100_000
	for from := uint64(1); from <= n; from += 10_000 {
		must(t, d.Write(consensus.PersistentState{Entries: logEntries(from, from+9999, 1)}))
	}
	t.Logf("%d log entries were written in %v", n, time.Since(begin))
	must(t, d.Close())
	begin = time.Now()
	d, contents := open(t, Options{}, dir)
	took := time.Since(begin)
	t.Logf("%d log entries were read in %v", n, took)
	if len(contents.Persistent.Entries) != n || took > 2*time.Second {
		t.Fatalf("%d log entries were read in %v", len(contents.Persistent.Entries), took)
	}
	begin = time.Now()
	must(t, d.Write(consensus.PersistentState{HardState: []byte("h"),
		Snapshot: &consensus.Snapshot{Index: n, Term: 1, Data: make([]byte, 1<<20)},
		Entries:  logEntries(n-199, n, 1)}))
	t.Logf("a snapshot that replaces all but 200 entries was written in %v", time.Since(begin))
	must(t, d.Close())
	begin = time.Now()
	_, contents = open(t, Options{}, dir)
	took = time.Since(begin)
	t.Logf("the snapshot and 200 entries were read in %v", took)
	if contents.Persistent.Snapshot.Index != n || len(contents.Persistent.Entries) != 200 ||
		took > 2*time.Second {
		t.Fatalf("%d log entries were read in %v", len(contents.Persistent.Entries), took)
	}
}

func TestErrorsHaveTextAndRemedy(t *testing.T) {
	for _, e := range Errors() {
		if e.Error() == "" || e.Remedy() == "" {
			t.Errorf("%T has no text or no remedy", e)
		}
	}
}

func BenchmarkWrite(b *testing.B) {
	d, _ := open(b, Options{}, b.TempDir())
	i := uint64(0)
	for b.Loop() {
		i++
		must(b, d.Write(consensus.PersistentState{HardState: []byte("h"), Entries: logEntries(i, i, 1)}))
	}
}

// diff is cmp.Diff, which is slow for large equal values, after a fast check for equality.
func diff(want, got Contents) string {
	if reflect.DeepEqual(want, got) {
		return ""
	}
	return cmp.Diff(want, got)
}
