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

// PlantedFault is a deliberate fault in a package, with the tests that must detect the fault. The same tests
// must pass in a build without the fault.
//
// The files of a fault are in Dir/testdata/planted/Name. A file FILE.go is a copy of FILE.go in Dir with
// the fault, and replaces the original in a build (go test -overlay). A file FILE.go.replace has only the
// lines of a large FILE.go that the fault replaces, and their replacement.
type PlantedFault struct {
	Name           string // names the build and the directory of the fault's files
	Description    string
	Dir            string // directory of the package with the fault, relative to the repository root
	TestPackage    string // package of the tests, as an argument of go test
	TestPattern    string // selects the tests, as -test.run does
	ExpectedOutput string // part of the failing test's output
}

// PlantedFaults lists all planted faults. `make planted` builds them and runs their tests.
var PlantedFaults = []PlantedFault{
	{"fence", "restarted controller serves without a lease",
		"internal/fleet/node", "./internal/bench",
		"^TestStartedCutOff$", "mixed:"},
	{"force", "in force before all controllers are fenced",
		"internal/fleet/node", "./internal/bench",
		"^TestBriefSchedules$", "mixed:"},
	{"down", "purge complete without controllers that are down",
		"internal/fleet/node", "./internal/bench",
		"^TestBriefSchedules$", "confirmed_wrongly:"},
	{"write", "lease not checked before a write",
		"internal/eventloop", "./internal/eventloop",
		"^TestServingStateIsAskedRightBeforeAWrite$", `: "free by 7 free too", [`},
	{"draw", "fetched answer cached over a purge",
		"internal/resultcache", "./internal/resultcache",
		"^TestInvalidationDuringFlight$", "an answer from before the invalidation is served after it"},
	{"copy", "retry outside the allowed locations",
		"internal/scheduler", "./internal/scheduler",
		"^TestConfinedQueryStaysInAllowedLocations$", "and it may be at ["},
	{"follow", "load sent before its binding is logged",
		"internal/controller", "./internal/controller",
		"^TestLoadIsSentOnceItsBindingIsLogged$", "sent before the record has it"},
	{"relay", "relay grants a lease itself",
		"internal/fleet/node", "./internal/bench",
		"^TestBriefSchedulesWithRelays$", "mixed:"},
	{"mac", "MAC not checked",
		"internal/fleet/transport", "./internal/fleet/transport",
		"^(TestUnauthenticatedRequestIsRejected|TestMACIsBoundToPurposeAndBody)$", "a wrong MAC was accepted"},
}

// baselineName returns the name of the build of the test package without a fault.
func (fault PlantedFault) baselineName() string { return "sound_" + path.Base(fault.TestPackage) }

// runTests runs the fault's tests in a build and returns their output.
func (fault PlantedFault) runTests(ctx context.Context, dir, build string) (string, error) {
	file, err := filepath.Abs(filepath.Join(dir, build+".test"))
	if err != nil {
		return "", err
	}
	command := exec.CommandContext(ctx, file, "-test.run", fault.TestPattern, "-test.timeout", "60s", "-test.v")
	command.Dir = dir
	out, err := command.CombinedOutput()
	return string(out), err
}

// checkBaseline returns an error unless the tests pass in the build without the fault.
func (fault PlantedFault) checkBaseline(ctx context.Context, dir string) error {
	out, err := fault.runTests(ctx, dir, fault.baselineName())
	if err != nil || !strings.Contains(out, "--- PASS") {
		return fmt.Errorf("the tests fail without the fault, or none was run: %v: %.300s", err, out)
	}
	return nil
}

// detect runs the tests in the build with the fault, and returns the line of their output that has
// ExpectedOutput. It returns an error if the tests do not fail in this way.
func (fault PlantedFault) detect(ctx context.Context, dir string) (line string, err error) {
	out, err := fault.runTests(ctx, dir, fault.Name)
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return "", fmt.Errorf("the tests pass with the fault, or cannot be run: %v: %.300s", err, out)
	}
	i := strings.Index(out, fault.ExpectedOutput)
	if i < 0 || !strings.Contains(out, "--- FAIL") {
		return "", fmt.Errorf("the test output has no failure with %q: %.300s", fault.ExpectedOutput, out)
	}
	lineStart := strings.LastIndexByte(out[:i], '\n') + 1
	line, _, _ = strings.Cut(out[lineStart:], "\n")
	return strings.TrimSpace(line), nil
}

// detectPlantedFaults runs the tests of all planted faults in parallel. It returns how many of the faults
// were detected, and a table with a line for each fault.
func detectPlantedFaults(ctx context.Context, dir string) (found, total int, table []string) {
	failures, errs, took := make([]string, len(PlantedFaults)), make([]error, len(PlantedFaults)),
		make([]time.Duration, len(PlantedFaults))
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(2, runtime.NumCPU()/2))
	baselines := map[string]func() error{} // by test package and pattern, which several faults may share
	runInSlot := func(task func()) {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			task()
		})
	}
	for i, fault := range PlantedFaults {
		runInSlot(func() {
			begin := time.Now()
			failures[i], errs[i] = fault.detect(ctx, dir)
			took[i] = time.Since(begin)
		})
		if tests := fault.TestPackage + fault.TestPattern; baselines[tests] == nil {
			check := sync.OnceValue(func() error { return fault.checkBaseline(ctx, dir) })
			baselines[tests] = check
			runInSlot(func() { check() })
		}
	}
	wg.Wait()
	for i, fault := range PlantedFaults {
		errs[i] = errors.Join(errs[i], baselines[fault.TestPackage+fault.TestPattern]())
	}
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	for i, fault := range PlantedFaults {
		result := failures[i]
		if errs[i] == nil {
			found++
		} else {
			result = "NOT FOUND: " + strings.ReplaceAll(errs[i].Error(), "\n", " ")
		}
		fmt.Fprintf(writer, "%s\t%s\t%.1f s\t%.160s\n",
			fault.Name, fault.Description, took[i].Seconds(), result)
	}
	writer.Flush()
	return found, len(PlantedFaults), strings.Split(strings.TrimRight(text.String(), "\n"), "\n")
}

// DetectPlantedFaults runs the tests that BuildPlantedFaults has built in dir, and writes a table of the
// results to out. It returns an error if a fault was not detected.
func DetectPlantedFaults(ctx context.Context, out io.Writer, dir string) error {
	found, total, table := detectPlantedFaults(ctx, dir)
	fmt.Fprintf(out, "%s\nfound %d of %d\n", strings.Join(table, "\n"), found, total)
	if found < total {
		return errors.New("a planted fault was not detected")
	}
	return nil
}
