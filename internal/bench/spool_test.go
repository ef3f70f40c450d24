package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/world"
)

// The program is killed while it promises results, on sockets and real files.
func TestSpooledResultsSurviveKills(t *testing.T) {
	k, err := countLostAfterKills(t.Context(), &Trial{Program: buildDebugController(t), Engines: 2, Seed: 3, ControllerLog: io.Discard}, 4)
	if err != nil {
		t.Fatal(err)
	}
	if k.readAttempts < 15 || k.intact != k.readAttempts {
		t.Fatalf("%+v", k)
	}
}

func TestSpoolCommandsAndCorruptPage(t *testing.T) {
	var log strings.Builder
	program := buildDebugController(t)
	trial := &Trial{Program: program, Engines: 2, Seed: 3, ControllerLog: &log}
	s, err := newControllerTestbed(t.Context(), program, 2, trialEngineConfig(), &log, func(int, *engine.Server) {})
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	dir := filepath.Join(s.dir, "spool")
	setup := spoolSetupText(trial, s, dir)
	if err := s.startController(setup); err != nil {
		t.Fatal(err)
	}
	run := func(want string, fails bool, args ...string) {
		t.Helper()
		ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
		defer stop()
		out, err := exec.CommandContext(ctx, program, args...).CombinedOutput()
		if fails != (err != nil) || !strings.Contains(string(out), want) {
			t.Errorf("%v: %v\n%s", args, err, out)
		}
	}
	r, err := dialController(s.controllerAddress, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	const id = "00000000000000f1"
	if err := r.submitQuery(id, 5000, true, spoolPatience); err != nil {
		t.Fatal(err)
	}
	a, err := r.readAnswer(t.Context())
	if err != nil || a.Kind != client.Finished || a.Fields["token"] == "" {
		t.Fatal(err, a.Kind, a.Fields)
	}
	for _, what := range []string{"ls", "verify", "gc"} {
		run("in use by another program", true, "spool", what, dir)
	}
	run("in use by another program", true, "serve", "--setup", filepath.Join(s.dir, "stage.yaml"))
	if err := s.stopController(); err != nil {
		t.Fatal(err)
	}
	run(id, false, "spool", "ls", dir)
	run("1 results, 5 pages", false, "spool", "verify", dir)
	run("0 results dropped", false, "spool", "gc", dir)
	run(id, false, "spool", "ls", dir)
	run("no such file", true, "spool", "ls", filepath.Join(dir, "nowhere"))
	segments, _ := filepath.Glob(filepath.Join(dir, "*.seg"))
	flipped := false
	for _, path := range segments {
		p, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if len(p) > 50_000 {
			p[40_000] ^= 4
			flipped = os.WriteFile(path, p, 0o600) == nil
		}
	}
	if !flipped {
		t.Fatal("nothing to flip: ", segments)
	}
	run("page 1 of 5: the page is spoilt", true, "spool", "verify", dir)
	if err := s.startController(setup); err != nil {
		t.Fatal(err)
	}
	if r, err = dialController(s.controllerAddress, 0); err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	want := world.ExpectedRows(&world.Query{ID: id, Work: engine.Work{Rows: 5000}})
	for i := range 5 { // the others are served
		b, err := r.requestPage(t.Context(), a.Fields["token"], i)
		if err != nil || (b.Kind == client.Finished) != (i != 1) || !strings.Contains(string(want), string(b.Rows)) {
			t.Errorf("page %d: %v %v", i, err, b.Kind)
		}
	}
	if err := s.stopController(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(log.String(), "the page is spoilt") {
		t.Error("nothing in the log")
	}
	// a directory that can't be written, at the start
	file := filepath.Join(s.dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(s.dir, "bad.yaml")
	if err := os.WriteFile(path, []byte(spoolSetupText(trial, s, filepath.Join(file, "spool"))), 0o600); err != nil {
		t.Fatal(err)
	}
	run("not a directory", true, "serve", "--setup", path)
	text := strings.Replace(spoolSetupText(trial, s, dir), "memory_mb: 8,", "memory_mb: 8, sync: often, idle: 3h,", 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"often", "3h0m0s is longer than spool.life", fmt.Sprint(path, ":")} {
		run(want, true, "check", path)
	}
}
