package main

import (
	"bufio"
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// An interrupted run leaves no process and no directory behind, and a killed run no process.
func TestInterruptedScaleRunLeavesNoProcesses(t *testing.T) {
	bin := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", bin+"/", "../railrelay", "../railrelay-fleet",
		".").CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	for name, test := range map[string]struct {
		signal syscall.Signal
		after  string // part of an output line to wait for; "": until the run has started a process
		clean  bool   // the run can remove its directory
	}{
		"interrupted while it starts": {syscall.SIGINT, "", true},
		"interrupted while it plays":  {syscall.SIGINT, "all serve", true},
		"killed while it plays":       {syscall.SIGKILL, "all serve", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			directory := t.TempDir()
			run := exec.Command(filepath.Join(bin, "railrelay-bench"), "scale", "--program",
				filepath.Join(bin, "railrelay"), "--controllers", "12", "--real", "4",
				"--engines", "4", "--compare", "0", "--settle", "1m")
			run.Env = append(os.Environ(), "TMPDIR="+directory)
			out, err := run.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := run.Start(); err != nil {
				t.Fatal(err)
			}
			if test.after != "" {
				awaitLine(t, bufio.NewScanner(out), test.after)
			}
			awaitProcesses(t, directory, 2)
			run.Process.Signal(test.signal)
			if err := run.Wait(); err == nil {
				t.Error("an interrupted run exited with status 0")
			}
			end := time.Now().Add(5 * time.Second)
			for len(processesIn(t, directory)) > 0 && time.Now().Before(end) {
				time.Sleep(20 * time.Millisecond)
			}
			if left := processesIn(t, directory); len(left) > 0 {
				t.Errorf("processes %v still run", left)
			}
			if left, _ := os.ReadDir(directory); test.clean && len(left) > 0 {
				t.Errorf("%v still exists", left)
			}
		})
	}
}

// awaitProcesses waits until at least count processes have a directory as their TMPDIR.
func awaitProcesses(t *testing.T, directory string, count int) {
	t.Helper()
	const limit = 20 * time.Second // reached only in a failing test
	for end := time.Now().Add(limit); len(processesIn(t, directory)) < count; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("only %d processes run before the signal", len(processesIn(t, directory)))
		}
	}
}

func awaitLine(t *testing.T, lines *bufio.Scanner, part string) {
	for lines.Scan() {
		if strings.Contains(lines.Text(), part) {
			return
		}
	}
	t.Fatalf("no line has %q", part)
}

// processesIn returns the ids of the processes whose TMPDIR is a directory.
func processesIn(t *testing.T, directory string) (l []int) {
	entries, err := os.ReadDir("/proc")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		id, err := strconv.Atoi(e.Name())
		if err != nil {
			continue
		}
		// a process that has exited has none
		environment, _ := os.ReadFile(filepath.Join("/proc", e.Name(), "environ"))
		if bytes.Contains(environment, []byte("TMPDIR="+directory+"\x00")) {
			l = append(l, id)
		}
	}
	return l
}
