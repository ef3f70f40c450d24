package bench

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	repository         = "../.."
	maxProductionLines = 40 // of a file that a fault replaces
	maxChangedLines    = 6  // removed by the fault, and as many added
)

// Every fault that the tree has is in the table and has its files, and no other; and
// nothing of them is in what a build has without an overlay.
func TestEveryPlantIsInTheTable(t *testing.T) {
	ofTree := map[string]bool{}
	plantedTag := regexp.MustCompile(`(?m)^//go:build .*planted`)
	err := filepath.WalkDir(repository, func(name string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		if dir, file, is := strings.Cut(filepath.ToSlash(name), "/testdata/planted/"); is {
			fault, _, _ := strings.Cut(file, "/")
			ofTree[strings.TrimPrefix(dir, repository+"/")+" "+fault] = true
			if strings.Count(file, "/") != 1 || !strings.HasSuffix(file, ".go") && !strings.HasSuffix(file, replacementSuffix) {
				t.Errorf("%s is no Go file of one fault's directory", name)
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") {
			return nil
		}
		text, err := os.ReadFile(name)
		if plantedTag.Match(text) {
			t.Errorf("%s has a fault by a build tag", name)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	var tree, table []string
	for fault := range ofTree {
		tree = append(tree, fault)
	}
	for _, x := range PlantedFaults {
		table = append(table, x.Dir+" "+x.Name)
	}
	slices.Sort(table)
	slices.Sort(tree)
	if !slices.Equal(tree, table) || len(table) < 8 {
		t.Errorf("in the tree: %v, in the table: %v", tree, table)
	}
}

// What a fault replaces is small, and but for a few lines it is the same: a change of the
// one that leaves out the other is told here.
func TestPlantsFollowWhatTheyReplace(t *testing.T) {
	for _, x := range PlantedFaults {
		files, err := x.files(repository)
		if err != nil {
			t.Error(err)
		}
		for _, file := range files {
			production, atMost := x.productionPath(repository, file), maxProductionLines
			if strings.HasSuffix(file, replacementSuffix) { // which follows the file by itself, however long that is
				if file, err = replaceLines(production, file, filepath.Join(t.TempDir(), "planted.go")); err != nil {
					t.Error(err)
					continue
				}
				atMost = math.MaxInt
			}
			if err := checkPlantedFile(file, production, atMost); err != nil {
				t.Errorf("%s: %v", x.Name, err)
			}
		}
	}
}

// checkPlantedFile compares a planted file with the one that it replaces.
func checkPlantedFile(planted, production string, atMost int) error {
	faulty, err := os.ReadFile(planted)
	if err != nil {
		return err
	}
	good, err := os.ReadFile(production)
	if err != nil {
		return err
	}
	was, is := strings.Split(string(good), "\n"), strings.Split(string(faulty), "\n")
	if len(was) > atMost {
		return fmt.Errorf("%s has %d lines: move what the fault breaks into a small file", production, len(was))
	}
	removed, added := changedLines(was, is)
	switch {
	case removed+added == 0:
		return fmt.Errorf("%s has no fault", planted)
	case removed > maxChangedLines || added > maxChangedLines:
		return fmt.Errorf("%s removes %[3]d lines of %[2]s and adds %[4]d: it doesn't follow a change there", planted, production, removed, added)
	case !strings.Contains(string(faulty), "planted fault: "):
		return fmt.Errorf("%s doesn't say what its fault is", planted)
	}
	return nil
}

// changedLines counts the lines of each that are not in the longest sequence of lines that
// both have in common.
func changedLines(was, is []string) (removed, added int) {
	common := make([][]int, len(was)+1) // length of that sequence, of was[i:] and is[j:]
	for i := range common {
		common[i] = make([]int, len(is)+1)
	}
	for i := len(was) - 1; i >= 0; i-- {
		for j := len(is) - 1; j >= 0; j-- {
			if was[i] == is[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	return len(was) - common[0][0], len(is) - common[0][0]
}

func TestChangedLines(t *testing.T) {
	for _, c := range []struct {
		was, is        string
		removed, added int
	}{
		{"a b c", "a b c", 0, 0},
		{"a b c", "a x c", 1, 1},
		{"a b c", "a c", 1, 0},
		{"a c", "a b c", 0, 1},
		{"a b c d e", "a x c y e", 2, 2},
		{"a a", "a a a", 0, 1},
		{"", "a b", 0, 2},
	} {
		removed, added := changedLines(strings.Fields(c.was), strings.Fields(c.is))
		if removed != c.removed || added != c.added {
			t.Errorf("%q, %q: %d removed and %d added, want %d and %d", c.was, c.is, removed, added, c.removed, c.added)
		}
	}
}

// Those that are quickly built and played.
func TestPlantedAreFound(t *testing.T) {
	dir := t.TempDir()
	for _, x := range PlantedFaults {
		if x.Name != "draw" && x.Name != "mac" {
			continue
		}
		if err := buildPlantedFaults(t.Context(), repository, dir, []PlantedFault{x}); err != nil {
			t.Fatal(err)
		}
		named, err := x.detect(t.Context(), dir)
		if err := errors.Join(err, x.checkBaseline(t.Context(), dir)); err != nil {
			t.Errorf("%s: %v", x.Name, err)
		}
		t.Log(x.Name, named)
		x.Name = x.baselineName() // which has no fault, and must not count as found
		if _, err := x.detect(t.Context(), dir); err == nil {
			t.Errorf("%s is found where it isn't", x.TestPackage)
		}
	}
}

// A replacement whose lines have gone from the production file, or stand there twice, is
// told and not passed over.
func TestAReplacementThatDoesntFit(t *testing.T) {
	dir := t.TempDir()
	production, replacement := filepath.Join(dir, "a.go"), filepath.Join(dir, "a.go.replace")
	for text, fits := range map[string]bool{"one\ntwo\n": true, "one\n": false, "two\ntwo\n": false} {
		if err := os.WriteFile(production, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(replacement, []byte("two"+replacementSeparator+"three\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		made, err := replaceLines(production, replacement, filepath.Join(dir, "made.go"))
		if (err == nil) != fits {
			t.Errorf("%q: %v", text, err)
		}
		if fits {
			if got, err := os.ReadFile(made); err != nil || string(got) != "one\nthree\n" {
				t.Errorf("%q is made of it, %v", got, err)
			}
		}
	}
}
