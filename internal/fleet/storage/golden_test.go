package storage

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.etcd.io/bbolt"

	"railrelay.dev/railrelay/internal/goldentest"
)

// readBuckets returns all keys and values of a directory's file, by bucket.
func readBuckets(t *testing.T, dir string) map[string]map[string]string {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(dir, fileName), 0o600,
		&bbolt.Options{ReadOnly: true, Timeout: time.Second})
	must(t, err)
	defer db.Close()
	all := map[string]map[string]string{}
	must(t, db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			values := map[string]string{}
			all[string(name)] = values
			return b.ForEach(func(key, value []byte) error {
				values[string(key)] = string(value)
				return nil
			})
		})
	}))
	return all
}

func TestGoldenDirectoryIsRead(t *testing.T) {
	dir := goldentest.Copy(t, "directory")
	d, got := open(t, Options{}, dir)
	want := goldenContents()
	goldentest.EveryFieldSet(t, goldentest.CBOR, want.Persistent.Snapshot, want.Persistent.Entries)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("content (-want +got):\n%s", diff)
	}
	must(t, d.Claim(want.Owner))
	for key, note := range want.Notes {
		if string(d.ReadNote(key)) != string(note) {
			t.Errorf("note %q: got %q, want %q", key, d.ReadNote(key), note)
		}
	}
}

// TestGoldenDirectoryIsWritten compares keys and values and not bytes, since the library decides the
// layout of the pages.
func TestGoldenDirectoryIsWritten(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "directory")
	must(t, writeGolden(dir))
	want := readBuckets(t, goldentest.Copy(t, "directory"))
	if diff := cmp.Diff(want, readBuckets(t, dir)); diff != "" {
		t.Errorf("keys and values (-want +got):\n%s", diff)
	}
}
