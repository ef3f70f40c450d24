package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"path"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// Plant is a fault that a build can be made with by a tag, the tests that must find it,
// and how it is named there. The same tests pass in a build without the tag.
type Plant struct{ Tag, Fault, Package, Run, Named string }

// Planted are all of them. `make planted` builds and plays them.
var Planted = []Plant{
	{"planted_fence", "no fence on restart", "./internal/lab", "^TestStartedCutOff$", "mixed:"},
	{"planted_force", "in force before all closed", "./internal/lab", "^TestBriefSchedules$", "mixed:"},
	{"planted_down", "purge confirmed without those down", "./internal/lab", "^TestBriefSchedules$", "confirmed_wrongly:"},
	{"planted_write", "lease not looked at before writing", "./internal/run", "^TestTheWordIsAskedRightBeforeAWrite$", `: "free by 7 free too", [`},
	{"planted_draw", "drawn answer kept over a purge", "./internal/answers", "^TestDrawnOverAPurge$", "what was drawn before a purge is served after it"},
	{"planted_copy", "a copy past the boundary", "./decide", "^TestNoEngineOutsideGetsABoundQuery$", "and it may be at ["},
	{"planted_follow", "followed binding not recorded first", "./internal/relay", "^TestALoadIsSentOnceWhatItBindsIsRecorded$", "sent before the record has it"},
	{"planted_mac", "MAC not checked", "./internal/fleet/peers", "^(TestAStrangersAskIsRefused|TestAMACIsForItsPurposeAndItsBytes)$", "a wrong MAC was accepted"},
}

// Build is tests to build, as TAG.test: the name of a sound one's tag is no tag of the tree.
type Build struct{ Tag, Package string }

// PlantedBuilds are what must be built for FindPlanted.
func PlantedBuilds() (l []Build) {
	for _, x := range Planted {
		l = append(l, Build{x.Tag, x.Package})
		if b := (Build{x.sound(), x.Package}); !slices.Contains(l, b) {
			l = append(l, b)
		}
	}
	return l
}

func (x Plant) sound() string { return "sound_" + path.Base(x.Package) }

// play plays a plant's tests as a build of that name has them.
func (x Plant) play(ctx context.Context, dir, build string) (string, error) {
	file, err := filepath.Abs(filepath.Join(dir, build+".test"))
	if err != nil {
		return "", err
	}
	cmd := exec.CommandContext(ctx, file, "-test.run", x.Run, "-test.timeout", "60s", "-test.v")
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// passes plays them as built without it.
func (x Plant) passes(ctx context.Context, dir string) error {
	out, err := x.play(ctx, dir, x.sound())
	if err != nil || !strings.Contains(out, "--- PASS") {
		return fmt.Errorf("its tests fail without it, or none was run: %v: %.300s", err, out)
	}
	return nil
}

// find plays them as built with it, and gives the line that names the fault.
func (x Plant) find(ctx context.Context, dir string) (named string, err error) {
	out, err := x.play(ctx, dir, x.Tag)
	var ended *exec.ExitError
	if !errors.As(err, &ended) {
		return "", fmt.Errorf("its tests pass, or can't be run: %v: %.300s", err, out)
	}
	i := strings.Index(out, x.Named)
	if i < 0 || !strings.Contains(out, "--- FAIL") {
		return "", fmt.Errorf("it isn't named %q: %.300s", x.Named, out)
	}
	from := strings.LastIndexByte(out[:i], '\n') + 1
	named, _, _ = strings.Cut(out[from:], "\n")
	return strings.TrimSpace(named), nil
}

// findPlanted plays all; the lines are a table of what was found.
func findPlanted(ctx context.Context, dir string) (found, of int, lines []string) {
	named, errs, took := make([]string, len(Planted)), make([]error, len(Planted)), make([]time.Duration, len(Planted))
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
	for i, x := range Planted {
		in(func() {
			begin := time.Now()
			named[i], errs[i] = x.find(ctx, dir)
			took[i] = time.Since(begin)
		})
		if key := x.Package + x.Run; sound[key] == nil {
			passes := sync.OnceValue(func() error { return x.passes(ctx, dir) })
			sound[key] = passes
			in(func() { passes() })
		}
	}
	wg.Wait()
	for i, x := range Planted {
		errs[i] = errors.Join(errs[i], sound[x.Package+x.Run]())
	}
	var text strings.Builder
	t := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	for i, x := range Planted {
		what := named[i]
		if errs[i] == nil {
			found++
		} else {
			what = "NOT FOUND: " + strings.ReplaceAll(errs[i].Error(), "\n", " ")
		}
		fmt.Fprintf(t, "%s\t%s\t%.1f s\t%.160s\n", x.Tag, x.Fault, took[i].Seconds(), what)
	}
	t.Flush()
	return found, len(Planted), strings.Split(strings.TrimRight(text.String(), "\n"), "\n")
}

// FindPlanted plays all in dir, as PlantedBuilds says, and tells what was found; an error
// if one was not.
func FindPlanted(ctx context.Context, out io.Writer, dir string) error {
	found, of, lines := findPlanted(ctx, dir)
	fmt.Fprintf(out, "%s\nfound %d of %d\n", strings.Join(lines, "\n"), found, of)
	if found < of {
		return errors.New("a planted fault was not found")
	}
	return nil
}
