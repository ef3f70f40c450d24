package resultstore

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.etcd.io/bbolt"

	"railrelay.dev/railrelay/internal/goldentest"
	"railrelay.dev/railrelay/internal/spool"
)

func TestGoldenDirectoryIsRead(t *testing.T) {
	dir := goldentest.Copy(t, "directory")
	store, err := OpenSpoolStore(dir, goldenOptions)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if got := store.Recovery; got.IndexRebuilt || got.Incomplete != 0 || got.CorruptBytes != 0 ||
		len(got.Lost) != 0 || got.OrphanFiles != 0 {
		t.Errorf("recovery: %+v", got)
	}
	var got []*spool.StoredResult
	if err := store.Restore(func(f *spool.StoredResult) { got = append(got, f) }); err != nil {
		t.Fatal(err)
	}
	want := goldenResults()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	for _, found := range want {
		for number := range found.PageRows {
			body, err := store.Fetch(found.ResultID, number)
			if err != nil || string(body) != string(goldenPageBody(found.ResultID, number)) {
				t.Errorf("page %d of result %d: %q, %v", number, found.ResultID, body, err)
			}
		}
	}
	if _, err := store.Fetch(goldenDeletedID, 0); !errors.Is(err, ErrNotFound) {
		t.Errorf("the deleted result: %v", err)
	}
	if store.FirstResultID() != 2<<32 {
		t.Errorf("the first result id of the second start is %d", store.FirstResultID())
	}
	text, err := store.Keys()
	if err != nil {
		t.Fatal(err)
	}
	keys, err := goldenKeys(text)
	if err != nil {
		t.Fatal(err)
	}
	if string(keys.Encode()) != string(text) {
		t.Errorf("keys: got %s, want %s", keys.Encode(), text)
	}
}

// TestGoldenIndexIsRebuilt opens the directory without its index.
func TestGoldenIndexIsRebuilt(t *testing.T) {
	dir := goldentest.Copy(t, "directory")
	if err := os.Remove(filepath.Join(dir, indexName)); err != nil {
		t.Fatal(err)
	}
	store, err := OpenSpoolStore(dir, goldenOptions)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	var got []*spool.StoredResult
	if err := store.Restore(func(f *spool.StoredResult) { got = append(got, f) }); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenResults(), got); diff != "" || !store.Recovery.IndexRebuilt {
		t.Errorf("index rebuilt: %v; results (-want +got):\n%s", store.Recovery.IndexRebuilt, diff)
	}
}

// TestGoldenDirectoryIsWritten compares all files byte for byte, except that it compares the keys and
// values of the index, because the layout of its file is up to the database library.
func TestGoldenDirectoryIsWritten(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "directory")
	if err := writeGolden(dir); err != nil {
		t.Fatal(err)
	}
	golden := goldentest.Copy(t, "directory")
	want, got := directoryContent(t, golden), directoryContent(t, dir)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("files (-want +got):\n%s", diff)
	}
	segments := 0
	for name := range want {
		if strings.HasSuffix(name, ".seg") {
			segments++
		}
	}
	if segments < 2 {
		t.Errorf("%d segments, want at least two", segments)
	}
	var m manifest
	if err := json.Unmarshal([]byte(want[manifestName]), &m); err != nil {
		t.Fatal(err)
	}
	goldentest.EveryFieldSet(t, goldentest.JSON, m)
}

// directoryContent returns the files of a directory by name, and the values of the index by key.
func directoryContent(t *testing.T, dir string) map[string]string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	content := map[string]string{}
	for _, entry := range entries {
		if entry.Name() == indexName {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		content[entry.Name()] = string(text)
	}
	db, err := bbolt.Open(filepath.Join(dir, indexName), 0o600,
		&bbolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(key, value []byte) error {
				content[indexName+"/"+string(name)+"/"+string(key)] = string(value)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return content
}
