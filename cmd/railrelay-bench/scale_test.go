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
		after  string // part of an output line to wait for; "": shortly after the start
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
			if test.after == "" {
				time.Sleep(300 * time.Millisecond)
			} else {
				awaitLine(t, bufio.NewScanner(out), test.after)
			}
			if n := len(processesIn(t, directory)); n < 2 {
				t.Errorf("only %d processes run before the signal", n)
			}
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
