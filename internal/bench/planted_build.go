package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"golang.org/x/sync/errgroup"
)

// maxConcurrentBuilds bounds how many test programs are built at the same time.
const maxConcurrentBuilds = 4

// overlay is the file that the go command reads for -overlay.
type overlay struct {
	// Replace maps the absolute path of an original file to the absolute path of its replacement.
	Replace map[string]string `json:"Replace"`
}

// BuildPlantedFaults builds the tests of each planted fault in dir as NAME.test, and the tests of each test
// package once without a fault. root is the root of the repository.
func BuildPlantedFaults(ctx context.Context, root, dir string) error {
	return buildPlantedFaults(ctx, root, dir, PlantedFaults)
}

// buildPlantedFaults builds the tests of the given faults, as BuildPlantedFaults does for all faults.
func buildPlantedFaults(ctx context.Context, root, dir string, faults []PlantedFault) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentBuilds)
	isBuilt := map[string]bool{}
	for _, fault := range faults {
		group.Go(func() error { return fault.build(ctx, root, dir) })
		if baseline := fault.baselineName(); !isBuilt[baseline] {
			isBuilt[baseline] = true
			group.Go(func() error { return buildTests(ctx, root, dir, baseline, fault.TestPackage) })
		}
	}
	return group.Wait()
}

// build builds the tests with the fault.
func (fault PlantedFault) build(ctx context.Context, root, dir string) error {
	replacements, err := fault.newOverlay(root, dir)
	if err != nil {
		return err
	}
	content, err := json.Marshal(replacements)
	if err != nil {
		return err
	}
	file := filepath.Join(dir, fault.Name+".json")
	if err := os.WriteFile(file, content, 0o666); err != nil {
		return err
	}
	return buildTests(ctx, root, dir, fault.Name, fault.TestPackage, "-overlay", file)
}

// newOverlay returns the overlay of a build with the fault. For each of the fault's files that has only the
// replaced lines, it generates the complete file in dir.
func (fault PlantedFault) newOverlay(root, dir string) (*overlay, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	files, err := fault.files(root)
	if err != nil {
		return nil, err
	}
	replacements := &overlay{Replace: map[string]string{}}
	for _, file := range files {
		original := fault.originalPath(root, file)
		if strings.HasSuffix(file, replacementSuffix) {
			if file, err = replaceLines(original, file, filepath.Join(dir, fault.Name+generatedSuffix)); err != nil {
				return nil, err
			}
		}
		replacements.Replace[original] = file
	}
	return replacements, nil
}

// A replacement file has the original lines, the separator, and the lines that replace them in a build with
// the fault.
const (
	replacementSuffix    = ".go.replace"
	replacementSeparator = "\n----\n"
	// generatedSuffix is the suffix of generated files. With the suffix .go, a build directory inside the
	// repository would be a package.
	generatedSuffix = ".overlay"
)

// replaceLines writes a copy of the original file to the path "to", with the replacement of a replacement
// file, and returns this path. The lines to replace must occur exactly once in the original file.
func replaceLines(original, replacement, to string) (string, error) {
	content, err := os.ReadFile(original)
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile(replacement)
	if err != nil {
		return "", err
	}
	before, after, hasSeparator := strings.Cut(string(text), replacementSeparator)
	if n := strings.Count(string(content), before+"\n"); !hasSeparator || n != 1 {
		return "", fmt.Errorf("the lines that %s replaces occur %d times in %s instead of once",
			replacement, n, original)
	}
	return to, os.WriteFile(to, []byte(strings.Replace(string(content), before+"\n", after, 1)), 0o666)
}

// files returns the sorted paths of the fault's files below root, or an error if the fault has no files.
func (fault PlantedFault) files(root string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(root, fault.Dir, "testdata", "planted", fault.Name, "*.go*"))
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("the planted fault %s has no files in %s", fault.Name, fault.Dir)
	}
	return files, err
}

// originalPath returns the path of the production file that one of the fault's files replaces.
func (fault PlantedFault) originalPath(root, file string) string {
	return filepath.Join(root, fault.Dir, strings.TrimSuffix(filepath.Base(file), ".replace"))
}

// buildTests builds the tests of a package as NAME.test in dir.
func buildTests(ctx context.Context, root, dir, name, testPackage string, flags ...string) error {
	args := append([]string{"test", "-c", "-o", filepath.Join(dir, name+".test")}, flags...)
	build := exec.CommandContext(ctx, "go", append(args, testPackage)...)
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("building %s: %w: %s", name, err, out)
	}
	return nil
}
