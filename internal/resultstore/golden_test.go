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
	keeper, err := OpenSpoolStore(dir, goldenTerms)
	if err != nil {
		t.Fatal(err)
	}
	defer keeper.Close()
	if got := keeper.Recovery; got.IndexRebuilt || got.Incomplete != 0 || got.CorruptBytes != 0 || len(got.Lost) != 0 || got.OrphanFiles != 0 {
		t.Errorf("what was found at the start: %+v", got)
	}
	var got []*spool.StoredResult
	if err := keeper.Restore(func(f *spool.StoredResult) { got = append(got, f) }); err != nil {
		t.Fatal(err)
	}
	want := goldenFound()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("the results (-want +got):\n%s", diff)
	}
	for _, found := range want {
		for number := range found.PageRows {
			body, err := keeper.Fetch(found.ResultID, number)
			if err != nil || string(body) != string(goldenPage(found.ResultID, number)) {
				t.Errorf("page %d of %d: %q, %v", number, found.ResultID, body, err)
			}
		}
	}
	if _, err := keeper.Fetch(goldenDropped, 0); !errors.Is(err, ErrNotFound) {
		t.Errorf("the dropped result: %v", err)
	}
	if keeper.FirstResultID() != 2<<32 {
		t.Errorf("the second start's first number is %d", keeper.FirstResultID())
	}
	text, err := keeper.Keys()
	if err != nil {
		t.Fatal(err)
	}
	keys, err := goldenKeys(text)
	if err != nil {
		t.Fatal(err)
	}
	if string(keys.Encode()) != string(text) {
		t.Errorf("the keys: got %s, want %s", keys.Encode(), text)
	}
}

// TestGoldenSegmentsAreEnough reads the directory without its index.
func TestGoldenSegmentsAreEnough(t *testing.T) {
	dir := goldentest.Copy(t, "directory")
	if err := os.Remove(filepath.Join(dir, indexName)); err != nil {
		t.Fatal(err)
	}
	keeper, err := OpenSpoolStore(dir, goldenTerms)
	if err != nil {
		t.Fatal(err)
	}
	defer keeper.Close()
	var got []*spool.StoredResult
	if err := keeper.Restore(func(f *spool.StoredResult) { got = append(got, f) }); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenFound(), got); diff != "" || !keeper.Recovery.IndexRebuilt {
		t.Errorf("rebuilt %v, the results (-want +got):\n%s", keeper.Recovery.IndexRebuilt, diff)
	}
}

// TestGoldenDirectoryIsWritten compares all files byte for byte, but for the index: of that
// it compares keys and values, since how the library lays pages out isn't this program's to say.
func TestGoldenDirectoryIsWritten(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "directory")
	if err := writeGolden(dir); err != nil {
		t.Fatal(err)
	}
	golden := goldentest.Copy(t, "directory")
	want, got := contents(t, golden), contents(t, dir)
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
		t.Errorf("%d segments, two at least are to be seen", segments)
	}
	var m manifest
	if err := json.Unmarshal([]byte(want[manifestName]), &m); err != nil {
		t.Fatal(err)
	}
	goldentest.EveryFieldSet(t, goldentest.JSON, m)
}

// contents are a directory's files by name; of the index its keys and values.
func contents(t *testing.T, dir string) map[string]string {
	t.Helper()
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]string{}
	for _, entry := range files {
		if entry.Name() == indexName {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		all[entry.Name()] = string(text)
	}
	db, err := bbolt.Open(filepath.Join(dir, indexName), 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(key, value []byte) error {
				all[indexName+"/"+string(name)+"/"+string(key)] = string(value)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}
