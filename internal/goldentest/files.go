package goldentest

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// Folder holds the golden files of a package.
var Folder = filepath.Join("testdata", "golden")

// File reads a golden file of the package under test.
func File(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(Folder, name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Same fails unless the bytes are those of a golden file.
func Same(t testing.TB, name string, got []byte) {
	t.Helper()
	want := File(t, name)
	if !bytes.Equal(got, want) {
		t.Errorf("%s: %d bytes are written, the golden file has %d others:\n got %q\nwant %q", name, len(got), len(want), got, want)
	}
}

// Copy copies a golden folder to a new one that a test may change, and gives its path.
func Copy(t testing.TB, name string) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), name)
	if err := os.CopyFS(to, os.DirFS(filepath.Join(Folder, name))); err != nil {
		t.Fatal(err)
	}
	return to
}
