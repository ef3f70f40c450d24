package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/driver"
	"railrelay.dev/railrelay/internal/fleet/node"
	"railrelay.dev/railrelay/internal/setup"
)

const (
	controlVoters = 3
	controllers   = 2
	controlRole   = "  role: control\n"
	relayRole     = "  role: control\n  relay: true\n"
)

// process describes the set-up of one process in a fleet.
type process struct {
	name, directory, peerAddress, controlAddress string
	topLevelLines                                string // lines outside the fleet part
	fleetLines                                   string // additional lines of the fleet part
	voterLines                                   string // lines of fleet.voters
}

// start writes the set-up and starts the process.
func (p process) start(t *testing.T) *member {
	t.Helper()
	m := &member{t: t, name: p.name, setup: filepath.Join(p.directory, p.name+".yaml")}
	text := fmt.Sprintf("name: %s\nlog: info\n%sfleet:\n  name: trial\n  listen: %s\n  control: %s\n  directory: %s\n  keys: %s\n"+
		"  lease: 1s\n  election: 300ms\n  heartbeat: 60ms\n%s%s", p.name, p.topLevelLines, p.peerAddress, p.controlAddress, filepath.Join(p.directory, p.name),
		filepath.Join(p.directory, "keys"), p.fleetLines, p.voterLines)
	if err := os.WriteFile(m.setup, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	m.start()
	return m
}

// startControlFleet starts three voters and a relay, all control processes, and controllers. The
// controllers use the relay, with the first voter as the backup.
func startControlFleet(t *testing.T) (voting, serving []*member, relay *member) {
	t.Helper()
	dir, from := t.TempDir(), startFeed(t)
	keys := filepath.Join(dir, "keys")
	if err := os.WriteFile(keys, []byte(strings.Repeat("5a", 32)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	voters, at := "", freeAddresses(t, 2*controlVoters+2+3*controllers)
	next := func() (address string) {
		address, at = at[0], at[1:]
		return address
	}
	peers := map[string]string{}
	for i := range controlVoters {
		name := fmt.Sprintf("v%d", i)
		peers[name] = next()
		voters += fmt.Sprintf("    - {name: %s, address: %q}\n", name, peers[name])
	}
	begin := func(name, peer, parts, part string) *member {
		return process{name: name, directory: dir, peerAddress: peer, controlAddress: next(), topLevelLines: parts,
			fleetLines: part, voterLines: "  voters:\n" + voters}.start(t)
	}
	for i := range controlVoters {
		name, part := fmt.Sprintf("v%d", i), controlRole
		if i == 0 {
			part = relayRole
		}
		voting = append(voting, begin(name, peers[name], "", part))
	}
	at0 := next()
	relay = begin("r0", at0, "", relayRole)
	for i := range controllers {
		parts := fmt.Sprintf("listen: %s\nfeed: %s\ngroups: [{name: lookup, effect: read-only}]\n"+
			"engines: {controllers: %d, kinds: [{name: std, cores: 8, memory_mb: 4096}], locations: [linz, steyr], location: steyr}\n"+
			"fairness: {fields: {team: team}, trusted: [127.0.0.0/8], teams: [{name: a, weight: 1}, {name: b, weight: 1}]}\n", next(), from, controllers)
		part := fmt.Sprintf("  relays: [{name: r0, address: %q}, {name: v0, address: %q}]\n", at0, peers["v0"])
		serving = append(serving, begin(fmt.Sprintf("c%d", i), next(), parts, part))
	}
	return voting, serving, relay
}

// Three voters that are control processes lead two controllers, which use a relay. A change is in
// force everywhere and data outside its placement rules is purged. A policy that a controller
// rejects is withdrawn. After the relay and the leader are killed, another voter leads the next
// change.
func TestControlProcessesLeadControllers(t *testing.T) {
	voting, serving, relay := startControlFleet(t)
	all := append(slices.Concat(voting, serving), relay)
	for _, m := range all {
		m.awaitStatus("its lease and a leader", isServing)
	}
	isVoter := func(name string) bool {
		return slices.ContainsFunc(voting, func(m *member) bool { return m.name == name })
	}
	s := serving[0].awaitStatus("all members", func(s *fleet.Status) bool {
		return isServing(s) && len(s.Members) == len(all)
	})
	if !isVoter(s.Leader) {
		t.Fatalf("%s leads", s.Leader)
	}
	for _, m := range s.Members {
		if m.IsVoter != isVoter(m.Name) || (m.ClientAddress == "") != (isVoter(m.Name) || m.Name == relay.name) {
			t.Errorf("%+v", m)
		}
	}

	policy := filepath.Join(t.TempDir(), "policy.yaml")
	apply := func(by *member, id, base, text string) (*fleet.Response, int) {
		t.Helper()
		if err := os.WriteFile(policy, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return by.fleet("apply", policy, "--base", base, "--id", id, "--until", "settled")
	}
	const first = "placement: [{name: a-linz, team: a, engines: [linz]}]\n"
	checkPlanExcludesControlProcesses(t, serving[0], first)
	if r, status := apply(serving[0], "first", "1", first); status != 0 || r.Outcome != "settled" ||
		r.Version != 2 {
		t.Fatalf("%d %+v", status, r)
	}
	if r, status := serving[1].fleet("status", "--id", "first.outside.0"); status != 0 || r.Outcome != "purged" {
		t.Fatalf("data outside the first rules isn't purged: %d %+v", status, r)
	}
	if r, status := apply(serving[0], "second", "2",
		"groups: [{name: nothing, target: 2s}]\nplacement: []\n"); status != 3 || r.Outcome != "withdrawn" || !strings.Contains(r.Reason, "no group is named") {
		t.Fatalf("a policy that no controller can apply: %d %+v", status, r)
	}
	if r, status := apply(serving[0], "third", "2", "groups: [{name: lookup, target: 2s}]\n"); status != 3 ||
		r.Outcome != "withdrawn" || !strings.Contains(r.Reason, "placement: is missing") {
		t.Fatalf("a policy whose rules no voter knows: %d %+v", status, r)
	}

	i := slices.IndexFunc(voting, func(m *member) bool { return m.name == s.Leader })
	relay.kill()
	voting[i].kill()
	rest := slices.Delete(slices.Clone(voting), i, i+1)
	for _, m := range slices.Concat(rest, serving) {
		m.awaitStatus("another leader", func(now *fleet.Status) bool {
			return isServing(now) && now.Leader != s.Leader
		})
	}
	if r, status := apply(rest[0], "fourth", "2", "placement: []\n"); status != 0 || r.Outcome != "settled" ||
		r.Version != 3 {
		t.Fatalf("after the leader was killed: %d %+v", status, r)
	}
	for _, m := range slices.Concat(rest, serving) {
		m.awaitStatus("the last version", func(s *fleet.Status) bool { return isServing(s) && s.Version == 3 })
	}
	checkSignals(t, rest[0])
	if out, errs, status := railrelay(t, "fleet", "plan", policy, "--alone", "--setup",
		rest[1].setup); status != 1 || !strings.Contains(errs, "name a controller's set-up") {
		t.Errorf("a plan with the set-up of a control process: %d %s%s", status, out, errs)
	}
}

// A policy moves the votes from controllers to control processes while the controllers serve.
func TestVotesMoveToControlProcesses(t *testing.T) {
	serving := startControllers(t, controlVoters, "")
	text, err := os.ReadFile(serving[0].setup)
	if err != nil {
		t.Fatal(err)
	}
	dir, at := filepath.Dir(serving[0].setup), freeAddresses(t, 2*controlVoters)
	old := string(text[strings.Index(string(text), "  voters:"):])
	var voting []*member
	policy := "voters:\n"
	for i := range controlVoters {
		p := process{name: fmt.Sprintf("v%d", i), directory: dir, peerAddress: at[2*i], controlAddress: at[2*i+1],
			fleetLines: controlRole, voterLines: old}
		policy += fmt.Sprintf("  - {name: %s, address: %q}\n", p.name, p.peerAddress)
		voting = append(voting, p.start(t))
	}
	all := slices.Concat(serving, voting)
	serving[0].awaitStatus("all members", func(s *fleet.Status) bool {
		return isServing(s) && len(s.Members) == len(all)
	})
	file := filepath.Join(t.TempDir(), "policy.yaml")
	if err := os.WriteFile(file, []byte(policy), 0o600); err != nil {
		t.Fatal(err)
	}
	if r, status := voting[0].fleet("apply", file, "--base", "1", "--id", "votes"); status != 0 ||
		r.Outcome != "in force" {
		t.Fatalf("%d %+v", status, r)
	}
	for _, m := range all {
		m.awaitStatus("a control process as leader",
			func(s *fleet.Status) bool { return isServing(s) && s.Version == 2 && strings.HasPrefix(s.Leader, "v") })
	}
	voting[0].awaitStatus("the votes with control processes only", func(s *fleet.Status) bool {
		return !slices.ContainsFunc(s.Members,
			func(m fleet.MemberStatus) bool { return m.IsVoter != strings.HasPrefix(m.Name, "v") })
	})
}

// checkPlanExcludesControlProcesses checks a plan that confines data to linz. The plan must list
// the controllers, which are all in steyr, as outside, and no control process.
func checkPlanExcludesControlProcesses(t *testing.T, by *member, text string) {
	t.Helper()
	policy := filepath.Join(t.TempDir(), "policy.yaml")
	if err := os.WriteFile(policy, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, errs, status := railrelay(t, "fleet", "plan", policy, "--setup", by.setup)
	if status != 3 || !strings.Contains(out, "c0,c1") || strings.Contains(out, "v0") ||
		strings.Contains(out, "r0") {
		t.Errorf("%d %s%s", status, out, errs)
	}
}

// The node's configuration contains the relays in the set-up.
func TestNodeConfigContainsRelays(t *testing.T) {
	for name, want := range map[string]node.Config{
		"control.yaml": {},
		"relay.yaml":   {IsRelay: true},
		"relayed.yaml": {Relays: []node.Upstream{{Name: "r0", Address: "127.0.0.1:7620"}, {Name: "r1", Address: "127.0.0.1:7621"}}},
	} {
		have, err := setup.Load("../../deploy/fleet/" + name)
		if err != nil {
			t.Fatal(err)
		}
		b := nodeConfig(have)
		if b.IsRelay != want.IsRelay || !slices.Equal(b.Relays, want.Relays) || len(b.Voters) != 3 ||
			b.Self.Name != have.Name {
			t.Errorf("%s: %+v", name, b)
		}
	}
}

// checkSignals checks that a control process logs its counters, reloads its keys and exits on signals.
func checkSignals(t *testing.T, m *member) {
	t.Helper()
	m.cmd.Process.Signal(syscall.SIGUSR1)
	if line := m.awaitLog(`"message":"counters"`); !strings.Contains(line, `"version":3`) ||
		!strings.Contains(line, `"holds_lease":true`) {
		t.Error(line)
	}
	m.cmd.Process.Signal(syscall.SIGHUP)
	m.awaitLog("the configuration was read again")
	m.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(testTimeout):
		t.Fatal("the process doesn't exit")
	}
	if !m.cmd.ProcessState.Success() {
		t.Error(m.cmd.ProcessState)
	}
}

// A control process never rejects a policy that is in force, even if it doesn't know the previous
// rules, because such a policy can't be withdrawn any more.
func TestControlProcessAcceptsCommittedPolicy(t *testing.T) {
	own, err := setup.Load("../../deploy/fleet/control.yaml")
	if err != nil {
		t.Fatal(err)
	}
	before := checkControlPolicy(own, "first", []byte("placement: [{name: a, team: x, engines: [linz]}]"),
		driver.PolicyContext{})
	if before.Reason != "" || before.ResidencyRulesUnknown || len(before.PurgeScopes) != 1 ||
		before.PurgeScopes[0].Tenant != "x" {
		t.Fatalf("%+v", before)
	}
	unstated := []byte("groups: [{name: lookup, target: 2s}]")
	if c := checkControlPolicy(own, "second", unstated,
		driver.PolicyContext{Policy: before.Policy}); !strings.Contains(c.Reason, "placement: is missing") ||
		!strings.Contains(c.Reason, "apply it again") {
		t.Errorf("%+v", c)
	}
	if c := checkControlPolicy(own, "in force 3", unstated,
		driver.PolicyContext{Policy: before.Policy, Committed: true}); c.Reason != "" || c.Policy == nil ||
		!c.ResidencyRulesUnknown {
		t.Errorf("%+v", c)
	}
	if c := checkControlPolicy(own, "third", []byte("placement: 3"),
		driver.PolicyContext{Committed: true}); c.Reason == "" {
		t.Errorf("an invalid policy is accepted: %+v", c)
	}
}
