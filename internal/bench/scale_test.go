package bench

import (
	"bytes"
	"errors"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// buildScalePrograms builds the controller and, in the same directory, railrelay-bench.
func buildScalePrograms(t *testing.T) (program, benchProgram string) {
	program = buildPrograms(t)
	benchProgram = filepath.Join(filepath.Dir(program), "railrelay-bench")
	if out, err := exec.Command("go", "build", "-o", benchProgram,
		"../../cmd/railrelay-bench").CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	return program, benchProgram
}

func TestScaleRunWithFaultsFindsNoViolations(t *testing.T) {
	program, benchProgram := buildScalePrograms(t)
	var rows []ScaleRow
	s := Scale{Program: program, BenchProgram: benchProgram, Controllers: 14, Real: 4, Voters: 3, Engines: 5,
		Seed: 3, Lease: time.Second, Rest: time.Second, Changes: 3, LargeChanges: 1,
		PolicyBytes: 1000, LargeBytes: 20_000, Faults: []string{"killed", "regions"}, LinkDelays: true,
		Record: func(recorded []ScaleRow) error { rows = recorded; return nil }}
	var out bytes.Buffer
	if err := s.Run(t.Context(), &out); err != nil {
		t.Fatal(err, out.String())
	}
	t.Log(out.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	last := lines[len(lines)-1]
	for _, part := range []string{"measured controllers=14 real=4 hollow=10 engines=5 processes=6 ",
		" changes=6 faults=2 ", " mixed=0 half=0 false_word=0 served_after=0"} {
		if !strings.Contains(last, part) {
			t.Errorf("the last line is %q, without %q", last, part)
		}
	}
	for _, role := range []string{"leader", "voter", "controller mean", "controller worst",
		"operator", "fleet"} {
		if i := slices.IndexFunc(rows, func(r ScaleRow) bool {
			return r.Role == role && r.Value > 0 && r.Size == 14 && r.Seed == 3 && r.Unit != ""
		}); i < 0 {
			t.Errorf("no row of role %s", role)
		}
	}
}

func TestScaleRunRefusesImpossibleSettings(t *testing.T) {
	valid := DefaultScale("none", 40)
	for part, change := range map[string]func(*Scale){
		"controllers: 0":    func(s *Scale) { s.Controllers, s.Real = 0, 0 },
		"controllers: 1 ":   func(s *Scale) { s.Controllers, s.Real = 1, 1 },
		"controllers: 1201": func(s *Scale) { s.Controllers = 1201 },
		"real: 1025":        func(s *Scale) { s.Controllers, s.Real = 1100, 1025 },
		"real: 41":          func(s *Scale) { s.Real = 41 },
		"voters: 2":         func(s *Scale) { s.Voters = 2 },
		"voters: 5":         func(s *Scale) { s.Voters, s.Real = 5, 4 },
		"voters: 1 leave":   func(s *Scale) { s.Voters, s.Faults = 1, []string{"disk"} },
		"relays: 10":        func(s *Scale) { s.Relays = 10 },
		"relays: 1":         func(s *Scale) { s.Relays = 1 },
		"engines: 0":        func(s *Scale) { s.Engines = 0 },
		"large: 25":         func(s *Scale) { s.LargeChanges = 25 },
		"compare: 2":        func(s *Scale) { s.Compare = 2 },
		"file descriptors":  func(s *Scale) { s.Controllers, s.Real, s.Engines = 1000, 1000, 9000 },
		"memory":            func(s *Scale) { s.Controllers, s.Real, s.Engines = 1000, 1000, 1 },
		`"comet"`:           func(s *Scale) { s.Faults = []string{"comet"} },
	} {
		s := valid
		change(&s)
		err := s.validate()
		var withRemedy fleet.ErrorWithRemedy
		if !errors.As(err, &withRemedy) || withRemedy.Remedy() == "" || !strings.Contains(err.Error(), part) {
			t.Errorf("error is %v, want one with a remedy and %q", err, part)
		}
		if err := s.Run(t.Context(), &bytes.Buffer{}); !errors.As(err, &withRemedy) {
			t.Errorf("Run with %q returned %v", part, err)
		}
	}
}

func TestScaleRunRefusesMissingResources(t *testing.T) {
	s := DefaultScale("none", 580)
	if err := checkAvailable("memory", 500, 499, "MB", "free some"); err == nil ||
		!strings.Contains(err.Error(), "500 MB") {
		t.Errorf("error is %v, want one with the 500 MB that are needed", err)
	}
	if err := checkAvailable("memory", 500, 500, "MB", "free some"); err != nil {
		t.Error(err)
	}
	if n, mb := s.requiredDescriptors(), s.requiredMemoryMB(); n < 740*12 || n > 20_000 ||
		mb < 500 || mb > 8000 {
		t.Errorf("the run requires %d descriptors and %d MB", n, mb)
	}
}

func TestScaleErrorsHaveDistinctRemedies(t *testing.T) {
	texts := map[string]bool{}
	for _, e := range Errors() {
		if e.Error() == "" || e.Remedy() == "" || texts[e.Remedy()] {
			t.Errorf("%T: %q, remedy %q", e, e.Error(), e.Remedy())
		}
		texts[e.Remedy()] = true
	}
}

func TestQuantileUsesNearestRank(t *testing.T) {
	sorted := []time.Duration{1, 2, 3, 4}
	for q, want := range map[float64]time.Duration{0: 1, 0.25: 1, 0.5: 2, 0.51: 3, 0.99: 4, 1: 4} {
		if value := quantile(sorted, q); value != want {
			t.Errorf("quantile %v is %v, want %v", q, value, want)
		}
	}
	if quantile(nil, 0.5) != 0 {
		t.Error("the quantile of an empty list isn't 0")
	}
}

func TestPolicyTextHasRequestedSize(t *testing.T) {
	for _, size := range []int{0, 1000, 100_000} {
		if n := len(policyText(3, size)); n < size || n > size+100 {
			t.Errorf("policy has %d bytes, want %d", n, size)
		}
	}
	if bytes.Equal(policyText(1, 1000), policyText(2, 1000)) {
		t.Error("two serials give the same policy")
	}
}

func TestWorstRatioIsFurthestFromOne(t *testing.T) {
	a := scaleUsage{Leader: scaleRate{BytesOut: 100, BytesIn: 100, CPU: 10}, Mean: scaleRate{BytesOut: 10}}
	b := scaleUsage{Leader: scaleRate{BytesOut: 104, BytesIn: 90, CPU: 10.5}, Mean: scaleRate{BytesOut: 10.2}}
	if ratio := worstRatio(a, b); ratio != 0.9 {
		t.Errorf("ratio is %v, want 0.9", ratio)
	}
}

func TestUsageOverSkipsRestartedControllers(t *testing.T) {
	f := &scaleFleet{members: []*scaleMember{{name: "a", isVoter: true, process: &controllerProcess{}},
		{name: "b", process: &controllerProcess{}}}}
	start := time.Now()
	snapshot := func(second, pidA, bytesA, bytesB int, leader string) scaleSnapshot {
		usage := func(pid, bytesOut int) scaleControllerUsage {
			u := scaleControllerUsage{pid: pid}
			u.counts.BytesOut = bytesOut
			return u
		}
		return scaleSnapshot{at: start.Add(time.Duration(second) * time.Second), leader: leader,
			usage: map[string]scaleControllerUsage{"a": usage(pidA, bytesA), "b": usage(1, bytesB)}}
	}
	// a is the leader for 10 s and is killed. After its restart its counters start at zero and b leads.
	s := f.usageOver(snapshot(0, 1, 0, 0, "a"), snapshot(10, 1, 1000, 100, "a"),
		snapshot(12, 2, 10, 120, "b"), snapshot(22, 2, 110, 220, "b"))
	if s.Leader.BytesOut != (1000+100)/20. { // a's bytes in the first interval and b's in the last
		t.Errorf("the leaders sent %v bytes/s", s.Leader.BytesOut)
	}
	if s.Worst.BytesOut != 1100/20. || s.Mean.BytesOut != 10 || s.Controllers != 2 {
		t.Errorf("%+v", s)
	}
}

func TestGrowthRunMeasuresLargerLog(t *testing.T) {
	var rows []ScaleRow
	var out bytes.Buffer
	g := Growth{Program: buildPrograms(t), Members: 200, Changes: 300, Steps: 1, Lease: time.Second,
		Record: func(recorded []ScaleRow) error { rows = recorded; return nil }}
	if err := g.Run(t.Context(), &out); err != nil {
		t.Fatal(err, out.String())
	}
	t.Log(out.String())
	if len(rows) != 10 || rows[0].Value <= 0 || rows[5].Value <= rows[0].Value || rows[5].Size != 200 {
		t.Errorf("%+v", rows)
	}
}

func TestCostOfChangeSubtractsRest(t *testing.T) {
	rest := scaleUsage{Leader: scaleRate{BytesOut: 100}, Mean: scaleRate{BytesOut: 10, MemoryMB: 20}}
	during := scaleUsage{Duration: 10 * time.Second, Leader: scaleRate{BytesOut: 160},
		Mean: scaleRate{BytesOut: 13, MemoryMB: 50}}
	cost := costOfChange(during, rest, 5)
	if cost.Leader.BytesOut != 120 || cost.Controller.BytesOut != 6 ||
		cost.Controller.MemoryMB != 50 || cost.LeaderChanged {
		t.Errorf("%+v", cost)
	}
	during.Leader = scaleRate{} // the leader has changed
	if cost = costOfChange(during, rest, 5); !cost.LeaderChanged || cost.Leader != (scaleRate{}) ||
		cost.Controller.BytesOut != 6 {
		t.Errorf("%+v", cost)
	}
}
