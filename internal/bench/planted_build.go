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

// overlay is what the go command reads for -overlay: files that stand for others in a build.
type overlay struct {
	Replace map[string]string `json:"Replace"` // by the path of what is replaced, both absolute
}

// BuildPlantedFaults builds, into dir, the tests of each planted fault with it, as NAME.test, and
// once for each package without any. root is the root of the tree.
func BuildPlantedFaults(ctx context.Context, root, dir string) error {
	return buildPlantedFaults(ctx, root, dir, PlantedFaults)
}

func buildPlantedFaults(ctx context.Context, root, dir string, plants []PlantedFault) error {
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
	for _, plant := range plants {
		group.Go(func() error { return plant.build(ctx, root, dir) })
		if sound := plant.baselineName(); !isBuilt[sound] {
			isBuilt[sound] = true
			group.Go(func() error { return buildTests(ctx, root, dir, sound, plant.TestPackage) })
		}
	}
	return group.Wait()
}

// build builds its tests with the fault.
func (x PlantedFault) build(ctx context.Context, root, dir string) error {
	replaced, err := x.newOverlay(root, dir)
	if err != nil {
		return err
	}
	text, err := json.Marshal(replaced)
	if err != nil {
		return err
	}
	file := filepath.Join(dir, x.Name+".json")
	if err := os.WriteFile(file, text, 0o666); err != nil {
		return err
	}
	return buildTests(ctx, root, dir, x.Name, x.TestPackage, "-overlay", file)
}

// newOverlay tells which files stand for which of the tree; those that are made for it are
// written into dir.
func (x PlantedFault) newOverlay(root, dir string) (*overlay, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	files, err := x.files(root)
	if err != nil {
		return nil, err
	}
	replaced := &overlay{Replace: map[string]string{}}
	for _, file := range files {
		production := x.productionPath(root, file)
		if strings.HasSuffix(file, replacementSuffix) {
			if file, err = replaceLines(production, file, filepath.Join(dir, x.Name+generatedSuffix)); err != nil {
				return nil, err
			}
		}
		replaced.Replace[production] = file
	}
	return replaced, nil
}

// A replacement is a file of lines, a line of replacementMark, and the lines that stand for
// them in a build with the fault.
const (
	replacementSuffix    = ".go.replace"
	replacementSeparator = "\n----\n"
	// generatedSuffix ends the files that are made: with .go they would be a package of the tree
	// for who builds into a directory of it.
	generatedSuffix = ".overlay"
)

// replaceLines writes a production file with a replacement's lines in it, and gives the
// path. The lines that are replaced must stand there exactly once.
func replaceLines(production, replacement, to string) (string, error) {
	good, err := os.ReadFile(production)
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile(replacement)
	if err != nil {
		return "", err
	}
	was, is, both := strings.Cut(string(text), replacementSeparator)
	if n := strings.Count(string(good), was+"\n"); !both || n != 1 {
		return "", fmt.Errorf("the lines that %s replaces stand %d times in %s, and must stand there once", replacement, n, production)
	}
	return to, os.WriteFile(to, []byte(strings.Replace(string(good), was+"\n", is, 1)), 0o666)
}

// files are the paths of its files below root, in order: at least one.
func (x PlantedFault) files(root string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(root, x.Dir, "testdata", "planted", x.Name, "*.go*"))
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("the planted fault %s has no file in %s", x.Name, x.Dir)
	}
	return files, err
}

// productionPath is the path of the production file that one of its files is a copy of.
func (x PlantedFault) productionPath(root, file string) string {
	return filepath.Join(root, x.Dir, strings.TrimSuffix(filepath.Base(file), ".replace"))
}

// buildTests builds a package's tests as NAME.test in dir.
func buildTests(ctx context.Context, root, dir, name, tests string, flags ...string) error {
	args := append([]string{"test", "-c", "-o", filepath.Join(dir, name+".test")}, flags...)
	build := exec.CommandContext(ctx, "go", append(args, tests)...)
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("building %s: %w: %s", name, err, out)
	}
	return nil
}
