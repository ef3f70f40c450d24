package goldentest

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// Folder is the path of a package's golden files.
var Folder = filepath.Join("testdata", "golden")

// File returns the contents of a golden file of the package under test.
func File(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(Folder, name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Same fails the test unless got equals the contents of a golden file.
func Same(t testing.TB, name string, got []byte) {
	t.Helper()
	want := File(t, name)
	if !bytes.Equal(got, want) {
		t.Errorf("%s: the encoding has %d bytes and differs from the golden file of %d bytes:\n got %q\nwant %q", name, len(got), len(want), got, want)
	}
}

// Copy copies a golden folder to a temporary one that a test may change, and returns its path.
func Copy(t testing.TB, name string) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), name)
	if err := os.CopyFS(to, os.DirFS(filepath.Join(Folder, name))); err != nil {
		t.Fatal(err)
	}
	return to
}
