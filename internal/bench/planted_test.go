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
	repository       = "../.."
	maxOriginalLines = 40 // most lines of a production file that a fault replaces as a whole
	maxChangedLines  = 6  // most lines that a fault removes, and most lines that it adds
)

// TestPlantedFaultsMatchFiles checks that PlantedFaults has exactly the faults with files in the
// repository, and that a build without an overlay has no fault.
func TestPlantedFaultsMatchFiles(t *testing.T) {
	faultsWithFiles := map[string]bool{}
	plantedTag := regexp.MustCompile(`(?m)^//go:build .*planted`)
	err := filepath.WalkDir(repository, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		if dir, file, isPlanted := strings.Cut(filepath.ToSlash(name), "/testdata/planted/"); isPlanted {
			fault, _, _ := strings.Cut(file, "/")
			faultsWithFiles[strings.TrimPrefix(dir, repository+"/")+" "+fault] = true
			if strings.Count(file, "/") != 1 ||
				!strings.HasSuffix(file, ".go") && !strings.HasSuffix(file, replacementSuffix) {
				t.Errorf("%s is not a .go or .go.replace file in the directory of a fault", name)
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") {
			return nil
		}
		text, err := os.ReadFile(name)
		if plantedTag.Match(text) {
			t.Errorf("%s has a fault behind a build tag", name)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	var withFiles, listed []string
	for fault := range faultsWithFiles {
		withFiles = append(withFiles, fault)
	}
	for _, fault := range PlantedFaults {
		listed = append(listed, fault.Dir+" "+fault.Name)
	}
	slices.Sort(listed)
	slices.Sort(withFiles)
	if !slices.Equal(withFiles, listed) || len(listed) < 8 {
		t.Errorf("faults with files: %v, faults in PlantedFaults: %v", withFiles, listed)
	}
}

// TestPlantedFilesDifferInFewLines checks that a fault's file has all but a few lines in common with the
// original file. It fails if the original file was changed without the fault's file.
func TestPlantedFilesDifferInFewLines(t *testing.T) {
	for _, fault := range PlantedFaults {
		files, err := fault.files(repository)
		if err != nil {
			t.Error(err)
		}
		for _, file := range files {
			original, maxLines := fault.originalPath(repository, file), maxOriginalLines
			if strings.HasSuffix(file, replacementSuffix) { // the original file may have any length
				if file, err = replaceLines(original, file,
					filepath.Join(t.TempDir(), "planted.go")); err != nil {
					t.Error(err)
					continue
				}
				maxLines = math.MaxInt
			}
			if err := checkPlantedFile(file, original, maxLines); err != nil {
				t.Errorf("%s: %v", fault.Name, err)
			}
		}
	}
}

// checkPlantedFile compares a fault's file with the original file that it replaces.
func checkPlantedFile(planted, original string, maxLines int) error {
	plantedText, err := os.ReadFile(planted)
	if err != nil {
		return err
	}
	originalText, err := os.ReadFile(original)
	if err != nil {
		return err
	}
	before, after := strings.Split(string(originalText), "\n"), strings.Split(string(plantedText), "\n")
	if len(before) > maxLines {
		return fmt.Errorf("%s has %d lines: move the code with the fault to a small file",
			original, len(before))
	}
	removed, added := changedLines(before, after)
	switch {
	case removed+added == 0:
		return fmt.Errorf("%s has no fault", planted)
	case removed > maxChangedLines || added > maxChangedLines:
		return fmt.Errorf("%s removes %[3]d lines of %[2]s and adds %[4]d: it lacks a change of the original",
			planted, original, removed, added)
	case !strings.Contains(string(plantedText), "planted fault: "):
		return fmt.Errorf("%s has no comment \"planted fault: \" that describes the fault", planted)
	}
	return nil
}

// changedLines counts the lines on each side that are not in the longest common subsequence of lines.
func changedLines(before, after []string) (removed, added int) {
	common := make([][]int, len(before)+1) // length of the common subsequence of before[i:] and after[j:]
	for i := range common {
		common[i] = make([]int, len(after)+1)
	}
	for i := len(before) - 1; i >= 0; i-- {
		for j := len(after) - 1; j >= 0; j-- {
			if before[i] == after[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	return len(before) - common[0][0], len(after) - common[0][0]
}

func TestChangedLines(t *testing.T) {
	for _, test := range []struct {
		before, after  string
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
		removed, added := changedLines(strings.Fields(test.before), strings.Fields(test.after))
		if removed != test.removed || added != test.added {
			t.Errorf("%q, %q: %d removed and %d added, want %d and %d",
				test.before, test.after, removed, added, test.removed, test.added)
		}
	}
}

// TestPlantedFaultsAreDetected builds and runs the tests of those faults whose tests are quick to build and
// to run. It guards against a fault that no test detects, and against a fault that is detected in a build
// without the fault.
func TestPlantedFaultsAreDetected(t *testing.T) {
	dir := t.TempDir()
	for _, fault := range PlantedFaults {
		if fault.Name != "draw" && fault.Name != "mac" {
			continue
		}
		if err := buildPlantedFaults(t.Context(), repository, dir, []PlantedFault{fault}); err != nil {
			t.Fatal(err)
		}
		failure, err := fault.detect(t.Context(), dir)
		if err := errors.Join(err, fault.checkBaseline(t.Context(), dir)); err != nil {
			t.Errorf("%s: %v", fault.Name, err)
		}
		t.Log(fault.Name, failure)
		fault.Name = fault.baselineName() // a build without the fault
		if _, err := fault.detect(t.Context(), dir); err == nil {
			t.Errorf("a fault is detected in the build of %s without a fault", fault.TestPackage)
		}
	}
}

// TestReplacedLinesMustOccurOnce checks that replaceLines fails if the original file has the lines to replace
// twice or not at all.
func TestReplacedLinesMustOccurOnce(t *testing.T) {
	dir := t.TempDir()
	original, replacement := filepath.Join(dir, "a.go"), filepath.Join(dir, "a.go.replace")
	for text, fits := range map[string]bool{"one\ntwo\n": true, "one\n": false, "two\ntwo\n": false} {
		if err := os.WriteFile(original, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(replacement, []byte("two"+replacementSeparator+"three\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		generated, err := replaceLines(original, replacement, filepath.Join(dir, "made.go"))
		if (err == nil) != fits {
			t.Errorf("%q: %v", text, err)
		}
		if fits {
			if got, err := os.ReadFile(generated); err != nil || string(got) != "one\nthree\n" {
				t.Errorf("the generated file has %q, error %v", got, err)
			}
		}
	}
}
