package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"path"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// PlantedFault is a fault, where it is planted, the tests that must find it, and how they name
// it. Its files are in Dir/testdata/planted/Name: each is a copy, with the fault, of the
// file of that name in Dir, which it replaces in a build (go test -overlay), or, as
// FILE.replace, says which lines of a large FILE the fault replaces. The same tests pass in
// a build without it.
type PlantedFault struct {
	Name           string // of its build, and of its directory of files
	Description    string // in words
	Dir            string // of the package that has the fault, from the root of the tree
	TestPackage    string // of the tests, as the go command takes it
	TestPattern    string // the tests, as -test.run takes them
	ExpectedOutput string // what the failing test says
}

// PlantedFaults are all of them. `make planted` builds and plays them.
var PlantedFaults = []PlantedFault{
	{"fence", "no fence on restart", "internal/fleet/node", "./internal/bench", "^TestStartedCutOff$", "mixed:"},
	{"force", "in force before all closed", "internal/fleet/node", "./internal/bench", "^TestBriefSchedules$", "mixed:"},
	{"down", "purge confirmed without those down", "internal/fleet/node", "./internal/bench", "^TestBriefSchedules$", "confirmed_wrongly:"},
	{"write", "lease not looked at before writing", "internal/eventloop", "./internal/eventloop", "^TestServingStateIsAskedRightBeforeAWrite$", `: "free by 7 free too", [`},
	{"draw", "drawn answer kept over a purge", "internal/resultcache", "./internal/resultcache", "^TestInvalidationDuringFlight$", "an answer from before the invalidation is served after it"},
	{"copy", "a copy past the boundary", "internal/scheduler", "./internal/scheduler", "^TestConfinedQueryStaysInAllowedLocations$", "and it may be at ["},
	{"follow", "followed binding not recorded first", "internal/controller", "./internal/controller", "^TestLoadIsSentOnceItsBindingIsLogged$", "sent before the record has it"},
	{"relay", "a relay that answers a renewal by itself", "internal/fleet/node", "./internal/bench", "^TestBriefSchedulesWithRelays$", "mixed:"},
	{"mac", "MAC not checked", "internal/fleet/transport", "./internal/fleet/transport", "^(TestUnauthenticatedRequestIsRejected|TestMACIsBoundToPurposeAndBody)$", "a wrong MAC was accepted"},
}

// baselineName is the name of the build of its tests without a fault.
func (x PlantedFault) baselineName() string { return "sound_" + path.Base(x.TestPackage) }

// runTests plays a plant's tests as a build of that name has them.
func (x PlantedFault) runTests(ctx context.Context, dir, build string) (string, error) {
	file, err := filepath.Abs(filepath.Join(dir, build+".test"))
	if err != nil {
		return "", err
	}
	cmd := exec.CommandContext(ctx, file, "-test.run", x.TestPattern, "-test.timeout", "60s", "-test.v")
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// checkBaseline plays them as built without it.
func (x PlantedFault) checkBaseline(ctx context.Context, dir string) error {
	out, err := x.runTests(ctx, dir, x.baselineName())
	if err != nil || !strings.Contains(out, "--- PASS") {
		return fmt.Errorf("its tests fail without it, or none was run: %v: %.300s", err, out)
	}
	return nil
}

// detect plays them as built with it, and gives the line that names the fault.
func (x PlantedFault) detect(ctx context.Context, dir string) (named string, err error) {
	out, err := x.runTests(ctx, dir, x.Name)
	var ended *exec.ExitError
	if !errors.As(err, &ended) {
		return "", fmt.Errorf("its tests pass, or can't be run: %v: %.300s", err, out)
	}
	i := strings.Index(out, x.ExpectedOutput)
	if i < 0 || !strings.Contains(out, "--- FAIL") {
		return "", fmt.Errorf("it isn't named %q: %.300s", x.ExpectedOutput, out)
	}
	from := strings.LastIndexByte(out[:i], '\n') + 1
	named, _, _ = strings.Cut(out[from:], "\n")
	return strings.TrimSpace(named), nil
}

// detectPlantedFaults plays all; the lines are a table of what was found.
func detectPlantedFaults(ctx context.Context, dir string) (found, of int, lines []string) {
	named, errs, took := make([]string, len(PlantedFaults)), make([]error, len(PlantedFaults)), make([]time.Duration, len(PlantedFaults))
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(2, runtime.NumCPU()/2))
	sound := map[string]func() error{} // some have their tests in common
	in := func(do func()) {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			do()
		})
	}
	for i, x := range PlantedFaults {
		in(func() {
			begin := time.Now()
			named[i], errs[i] = x.detect(ctx, dir)
			took[i] = time.Since(begin)
		})
		if key := x.TestPackage + x.TestPattern; sound[key] == nil {
			passes := sync.OnceValue(func() error { return x.checkBaseline(ctx, dir) })
			sound[key] = passes
			in(func() { passes() })
		}
	}
	wg.Wait()
	for i, x := range PlantedFaults {
		errs[i] = errors.Join(errs[i], sound[x.TestPackage+x.TestPattern]())
	}
	var text strings.Builder
	t := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	for i, x := range PlantedFaults {
		what := named[i]
		if errs[i] == nil {
			found++
		} else {
			what = "NOT FOUND: " + strings.ReplaceAll(errs[i].Error(), "\n", " ")
		}
		fmt.Fprintf(t, "%s\t%s\t%.1f s\t%.160s\n", x.Name, x.Description, took[i].Seconds(), what)
	}
	t.Flush()
	return found, len(PlantedFaults), strings.Split(strings.TrimRight(text.String(), "\n"), "\n")
}

// DetectPlantedFaults plays all that BuildPlanted has put into dir, and tells what was found; an error
// if one was not.
func DetectPlantedFaults(ctx context.Context, out io.Writer, dir string) error {
	found, of, lines := detectPlantedFaults(ctx, dir)
	fmt.Fprintf(out, "%s\nfound %d of %d\n", strings.Join(lines, "\n"), found, of)
	if found < of {
		return errors.New("a planted fault was not found")
	}
	return nil
}
