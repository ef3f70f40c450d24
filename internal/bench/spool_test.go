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

// After the controller is killed and restarted, every result that it acknowledged to a client must be
// readable and unchanged. The kills come at random times while the controller writes results.
func TestSpooledResultsSurviveKills(t *testing.T) {
	counts, err := countLostAfterKills(t.Context(),
		&Trial{Program: buildDebugController(t), Engines: 2, Seed: 3, ControllerLog: io.Discard}, 4)
	if err != nil {
		t.Fatal(err)
	}
	if counts.readAttempts < 15 || counts.intact != counts.readAttempts {
		t.Fatalf("got %+v, want at least 15 reads and all of them intact", counts)
	}
}

// Only one process at a time can use the spool's directory. The controller and the verify command report a
// corrupt page. The controller serves the other pages of the same result, but not the corrupt page. It
// doesn't start if the spool can't be opened or has an invalid configuration.
func TestSpoolCommandsAndCorruptPage(t *testing.T) {
	var log strings.Builder
	program := buildDebugController(t)
	trial := &Trial{Program: program, Engines: 2, Seed: 3, ControllerLog: &log}
	s, err := newControllerTestbed(t.Context(), program, 2, trialEngineConfig(), &log,
		func(int, *engine.Server) {})
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
	answer, err := r.readAnswer(t.Context())
	if err != nil || answer.Kind != client.Finished || answer.Fields["token"] == "" {
		t.Fatal(err, answer.Kind, answer.Fields)
	}
	for _, command := range []string{"ls", "verify", "gc"} {
		run("in use by another program", true, "spool", command, dir)
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
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > 50_000 {
			data[40_000] ^= 4
			flipped = os.WriteFile(path, data, 0o600) == nil
		}
	}
	if !flipped {
		t.Fatal("no segment is large enough to corrupt: ", segments)
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
	for i := range 5 { // the controller serves all pages except page 1, which is corrupt
		page, err := r.requestPage(t.Context(), answer.Fields["token"], i)
		if err != nil || (page.Kind == client.Finished) != (i != 1) ||
			!strings.Contains(string(want), string(page.Rows)) {
			t.Errorf("page %d: error %v, answer kind %v", i, err, page.Kind)
		}
	}
	if err := s.stopController(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(log.String(), "the page is spoilt") {
		t.Error("the controller did not log the corrupt page")
	}
	// The controller can't create the spool's directory, because the parent is a file.
	file := filepath.Join(s.dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(s.dir, "bad.yaml")
	if err := os.WriteFile(path, []byte(spoolSetupText(trial, s, filepath.Join(file, "spool"))),
		0o600); err != nil {
		t.Fatal(err)
	}
	run("not a directory", true, "serve", "--setup", path)
	text := strings.Replace(spoolSetupText(trial, s, dir), "memory_mb: 8,",
		"memory_mb: 8, sync: often, idle: 3h,", 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"often", "3h0m0s is longer than spool.life", fmt.Sprint(path, ":")} {
		run(want, true, "check", path)
	}
}
