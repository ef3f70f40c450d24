package lab

import (
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Every fault that the tree can be built with is in the table, and no other.
func TestEveryPlantIsInTheTable(t *testing.T) {
	tag := regexp.MustCompile(`(?m)^//go:build (planted_\w+)$`)
	var tree, table []string
	err := filepath.WalkDir("../..", func(name string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || !strings.HasSuffix(name, ".go") {
			return err
		}
		text, err := os.ReadFile(name)
		if m := tag.FindSubmatch(text); m != nil {
			tree = append(tree, string(m[1]))
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range Planted {
		table = append(table, x.Tag)
	}
	slices.Sort(table)
	slices.Sort(tree)
	if tree = slices.Compact(tree); !slices.Equal(tree, table) || len(table) < 8 {
		t.Errorf("in the tree: %v, in the table: %v", tree, table)
	}
}

// Those that are quickly built and played.
func TestPlantedAreFound(t *testing.T) {
	dir := t.TempDir()
	for _, x := range Planted {
		if x.Tag != "planted_draw" && x.Tag != "planted_mac" {
			continue
		}
		for _, tag := range []string{x.Tag, x.sound()} {
			cmd := exec.Command("go", "test", "-c", "-tags", tag, "-o", filepath.Join(dir, tag+".test"), x.Package)
			cmd.Dir = "../.."
			if out, err := cmd.CombinedOutput(); err != nil {
				t.Fatalf("%v: %s", err, out)
			}
		}
		named, err := x.find(t.Context(), dir)
		if err := errors.Join(err, x.passes(t.Context(), dir)); err != nil {
			t.Errorf("%s: %v", x.Tag, err)
		}
		t.Log(x.Tag, named)
		x.Tag = x.sound() // which has no fault, and must not count as found
		if _, err := x.find(t.Context(), dir); err == nil {
			t.Errorf("%s is found where it isn't", x.Package)
		}
	}
}
