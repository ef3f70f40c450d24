package bench

import (
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// buildPrograms builds railrelay and railrelay-fleet in one directory and returns the path of railrelay.
func buildPrograms(t *testing.T) string {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-tags", "debug", "-o", dir+"/",
		"../../cmd/railrelay", "../../cmd/railrelay-fleet").CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	return filepath.Join(dir, "railrelay")
}

// TestFaultFleetKeepsInvariants injects some faults into a fleet of five processes while changes and purges
// are in progress. `make measure IN=together` injects all faults into a fleet of nine.
func TestFaultFleetKeepsInvariants(t *testing.T) {
	ff, err := FaultFleetConfig{Program: buildPrograms(t), Voters: 3, Followers: 2, Seed: 1,
		Lease: time.Second}.start(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer ff.close()
	ff.startAllClients()
	if _, _, _, _, err := ff.measureWithoutFaults(2); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"the leader killed", "a follower stopped past its lease", "cut", "double"} {
		rounds := faultRounds()
		if err := ff.runRound(rounds[slices.IndexFunc(rounds,
			func(r faultRound) bool { return r.name == name })]); err != nil {
			t.Fatal(err)
		}
	}
	for _, step := range []func() error{ff.runEmergency, ff.startFromDamagedRecord, ff.replaceVoter} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	violations, err := ff.finish()
	if err != nil || len(violations) > 0 {
		t.Fatal(err, strings.Join(violations, "\n"))
	}
	history := &ff.fleetHistory
	if history.Changes < 6 || history.Withdrawn == 0 || history.Purges < 3 || history.Bound < 100 ||
		ff.emergencies == 0 || ff.faultCounts["link double"] == 0 {
		t.Fatalf("the run had too few events: %d changes, %d withdrawn, %d purges, %d bound queries, faults %v",
			history.Changes, history.Withdrawn, history.Purges, history.Bound, ff.faultCounts)
	}
	t.Logf("%d acts, %d changes, %d withdrawn, %d purges, %d bound queries; %v", history.Acts,
		history.Changes, history.Withdrawn, history.Purges, history.Bound, ff.faultCounts)
}
