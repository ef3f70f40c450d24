package bench

import (
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// buildPrograms builds both programs side by side.
func buildPrograms(t *testing.T) string {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-tags", "debug", "-o", dir+"/", "../../cmd/railrelay", "../../cmd/railrelay-fleet").CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	return filepath.Join(dir, "railrelay")
}

// Five processes, faults while changes and purges are under way; `make measure
// IN=together` plays all faults on nine.
func TestTogether(t *testing.T) {
	g, err := FaultFleetConfig{Program: buildPrograms(t), Voters: 3, Followers: 2, Seed: 1, Lease: time.Second}.start(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer g.close()
	g.startAllClients()
	if _, _, _, _, err := g.measureWithoutFaults(2); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"the leader killed", "a follower stopped past its lease", "cut", "double"} {
		list := faultRounds()
		if err := g.runRound(list[slices.IndexFunc(list, func(r faultRound) bool { return r.name == name })]); err != nil {
			t.Fatal(err)
		}
	}
	for _, do := range []func() error{g.runEmergency, g.startFromDamagedRecord, g.replaceVoter} {
		if err := do(); err != nil {
			t.Fatal(err)
		}
	}
	broken, err := g.finish()
	if err != nil || len(broken) > 0 {
		t.Fatal(err, strings.Join(broken, "\n"))
	}
	f := &g.fleetHistory
	if f.Changes < 6 || f.Withdrawn == 0 || f.Purges < 3 || f.Bound < 100 || g.emergencies == 0 || g.faultCounts["link double"] == 0 {
		t.Fatalf("too little arose: %d changes, %d withdrawn, %d purges, %d bound, faults %v", f.Changes, f.Withdrawn, f.Purges, f.Bound, g.faultCounts)
	}
	t.Logf("%d acts, %d changes, %d withdrawn, %d purges, %d bound; %v", f.Acts, f.Changes, f.Withdrawn, f.Purges, f.Bound, g.faultCounts)
}
