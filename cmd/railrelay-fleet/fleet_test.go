package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/emulator/loopback"
	"railrelay.dev/railrelay/internal/fleet"
)

const patienceMost = 30 * time.Second // for what has to come; only a fault makes a test wait so long

var bin string // where both programs are

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "railrelay")
	if err != nil {
		panic(err)
	}
	bin = dir
	if out, err := exec.Command("go", "build", "-race=false", "-tags", "debug", "-o", dir+"/", ".", "../railrelay").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// member is one controller of a fleet: the lean program, which becomes the other one.
type member struct {
	t     *testing.T
	name  string
	setup string
	cmd   *exec.Cmd
	said  chan string
	ended chan struct{}
}

// free gives addresses that nobody listens on.
func free(t *testing.T, n int) (l []string) {
	t.Helper()
	for range n {
		address, err := loopback.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		l = append(l, address)
	}
	return l
}

// feed names one engine and goes on telling that there is nothing new.
func feed(t *testing.T) string { return feedOf(t, "127.0.0.1:9") }

func feedOf(t *testing.T, engine string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
					return
				}
				fmt.Fprintln(c, strings.ReplaceAll(`{"n":1,"members":{"revision":1,"complete":true,"members":[{"id":"e1","host_port":"127.0.0.1:9","locality":"linz","flavor":"std","cell":1,"phase":"SERVING","size":1,"up_since_ms":0},{"id":"e2","host_port":"127.0.0.1:9","locality":"steyr","flavor":"std","cell":1,"phase":"SERVING","size":1,"up_since_ms":0}]}}`, "127.0.0.1:9", engine))
				io.Copy(io.Discard, c)
			}()
		}
	}()
	return l.Addr().String()
}

// band starts a fleet of controllers of which all vote.
func band(t *testing.T, n int, more string) []*member {
	t.Helper()
	dir, from := t.TempDir(), feed(t)
	keys := filepath.Join(dir, "keys")
	if err := os.WriteFile(keys, []byte(strings.Repeat("5a", 32)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	at := free(t, 3*n)
	voters := ""
	for i := range n {
		voters += fmt.Sprintf("    - {name: c%d, address: %q}\n", i, at[3*i])
	}
	var all []*member
	for i := range n {
		m := &member{t: t, name: fmt.Sprintf("c%d", i), setup: filepath.Join(dir, fmt.Sprintf("c%d.yaml", i))}
		text := fmt.Sprintf(`name: %s
listen: %s
feed: %s
log: info
engines: {controllers: %d, kinds: [{name: std, cores: 8, memory_mb: 4096}], locations: [linz, steyr], location: linz}
groups: [{name: lookup, effect: read-only}]
fairness: {fields: {team: team}, trusted: [127.0.0.0/8], teams: [{name: a, weight: 1}, {name: b, weight: 1}]}
fleet:
  name: trial
  listen: %s
  control: %s
  directory: %s
  keys: %s
  lease: 1s
  election: 300ms
  heartbeat: 60ms
%s  voters:
%s`, m.name, at[3*i+2], from, n, at[3*i], at[3*i+1], filepath.Join(dir, m.name), keys, more, voters)
		if err := os.WriteFile(m.setup, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		m.begin()
		all = append(all, m)
	}
	return all
}

func (m *member) begin() {
	m.t.Helper()
	m.cmd = exec.Command(filepath.Join(bin, "railrelay"), "serve", "--setup", m.setup)
	m.cmd.Env = append(os.Environ(), "RAILRELAY_LOG=info")
	out, err := m.cmd.StderrPipe()
	if err != nil {
		m.t.Fatal(err)
	}
	if err := m.cmd.Start(); err != nil {
		m.t.Fatal(err)
	}
	said, ended, cmd := make(chan string, 4096), make(chan struct{}), m.cmd
	m.said, m.ended = said, ended
	go func() {
		for s := bufio.NewScanner(out); s.Scan(); {
			select {
			case said <- s.Text():
			default:
			}
		}
		cmd.Wait()
		close(ended)
	}()
	m.t.Cleanup(func() { m.kill(); m.told() })
}

// told shows what a failed test's member has said.
func (m *member) told() {
	for m.t.Failed() {
		select {
		case line := <-m.said:
			m.t.Log(m.name, line)
		default:
			return
		}
	}
}

func (m *member) kill() {
	m.cmd.Process.Kill()
	<-m.ended
}

// fleet runs a command and gives its answer and exit status.
func (m *member) fleet(args ...string) (*fleet.Response, int) {
	m.t.Helper()
	out, errs, status := railrelay(m.t, append([]string{"fleet", "--json", "--setup", m.setup}, args...)...)
	r := &fleet.Response{}
	if err := json.Unmarshal([]byte(out), r); err != nil && status != 1 {
		m.t.Fatalf("%v: status %d: %v: %s%s", args, status, err, out, errs)
	}
	return r, status
}

func railrelay(t *testing.T, args ...string) (out, errs string, status int) {
	t.Helper()
	var o, e bytes.Buffer
	cmd := exec.Command(filepath.Join(bin, "railrelay"), args...)
	cmd.Stdout, cmd.Stderr = &o, &e
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return o.String(), e.String(), exit.ExitCode()
	}
	if err != nil {
		t.Fatal(err)
	}
	return o.String(), e.String(), 0
}

// until asks a member for its status until it is as wanted.
func (m *member) until(what string, good func(s *fleet.Status) bool) *fleet.Status {
	m.t.Helper()
	var last string
	for end := time.Now().Add(patienceMost); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, _ := m.fleet("status")
		if r.Status != nil && good(r.Status) {
			return r.Status
		}
		text, _ := json.Marshal(r)
		last = string(text)
	}
	m.t.Fatalf("%s never saw %s: %s", m.name, what, last)
	return nil
}

func serves(s *fleet.Status) bool { return s.Serves && s.Leader != "" }

// Three processes: one leads and all serve. The leader is killed and another leads. A
// change is in force, a second one against the same version is refused, a team's purge
// is unreachable while one is down and done once that is back; each word is the same
// when it is asked for again of another one.
func TestThreeControllersDecideTogether(t *testing.T) {
	all := band(t, 3, "")
	for _, m := range all {
		m.until("its lease and a leader", serves)
	}
	leader := all[0].until("three members", func(s *fleet.Status) bool { return serves(s) && len(s.Members) == 3 }).Leader
	i := slices.IndexFunc(all, func(m *member) bool { return m.name == leader })
	lost := all[i]
	rest := slices.Delete(slices.Clone(all), i, i+1)
	lost.kill()
	for _, m := range rest {
		m.until("another leader", func(s *fleet.Status) bool { return serves(s) && s.Leader != leader })
	}

	policy := filepath.Join(t.TempDir(), "policy.yaml")
	write := func(text string) {
		if err := os.WriteFile(policy, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("fairness: {teams: [{name: a, weight: 3}, {name: b, weight: 1}]}\nplacement: [{name: a-linz, team: a, engines: [linz]}]\n")
	r, status := rest[0].fleet("apply", policy, "--base", "1", "--id", "first")
	if status != 0 || r.Outcome != "in force" || r.Version != 2 {
		t.Fatalf("%d %+v", status, r)
	}
	if r, status := rest[1].fleet("status", "--id", "first"); status != 0 || r.Outcome != "in force" {
		t.Fatalf("asked again: %d %+v", status, r)
	}
	if r, status := rest[1].fleet("apply", policy, "--base", "1", "--id", "second"); status != 3 || r.Outcome != "refused" || r.Remedy == "" {
		t.Fatalf("against an old version: %d %+v", status, r)
	}
	write("fairness: {teams: [{name: a, weight: 3}, {name: b, weight: 1}]}\ngroups: [{name: nothing, target: 2s}]\n")
	if r, status := rest[1].fleet("apply", policy, "--base", "2", "--id", "third"); status != 3 || r.Outcome != "withdrawn" || !strings.Contains(r.Reason, "nothing") {
		t.Fatalf("that can't be taken: %d %+v", status, r)
	}
	if r, _ := rest[0].fleet("policy"); r.Version != 2 || !strings.Contains(string(r.Policy), "a-linz") {
		t.Fatalf("%+v", r)
	}

	if r, status := rest[0].fleet("purge", "--team", "a", "--id", "p1", "--at-most", "20s", "--until", "unreachable"); status != 0 || r.Outcome != "unreachable" {
		t.Fatalf("purge while one is down: %d %+v", status, r)
	}
	if r, status := rest[1].fleet("status", "--id", "p1", "--at-most", "200ms"); status != 4 || r.Outcome != "unknown" || !slices.Contains(r.Outstanding, lost.name) {
		t.Fatalf("it waits for nobody: %d %+v", status, r)
	}
	lost.begin()
	if r, status := rest[1].fleet("purge", "--team", "a", "--id", "p1", "--at-most", "20s"); status != 0 || r.Outcome != "purged" || r.Counts == nil {
		t.Fatalf("purge with all there: %d %+v", status, r)
	}
	lost.until("the policy it has missed", func(s *fleet.Status) bool { return serves(s) && s.Version == 2 })
	if r, status := lost.fleet("status", "--id", "first", "--until", "settled", "--at-most", "20s"); status != 0 || r.Outcome != "settled" {
		t.Fatalf("nothing is left outside: %d %+v", status, r)
	}
	if r, status := lost.fleet("status", "--id", "first"); status != 0 || r.Outcome != "in force" {
		t.Fatalf("asked of who was down: %d %+v", status, r)
	}

	out, errs, status := railrelay(t, "fleet", "status", "--setup", lost.setup)
	if status != 0 || !strings.Contains(out, "version 2") || !strings.Contains(out, "controller") {
		t.Errorf("%d %s%s", status, out, errs)
	}
	write("placement: [{name: a-steyr, team: a, engines: [steyr]}]\n")
	out, errs, status = railrelay(t, "fleet", "plan", policy, "--setup", lost.setup)
	if status != 3 || !strings.Contains(out, "e1") || !strings.Contains(out, "no engine or controller") {
		t.Errorf("a plan by which no controller is inside: %d %s%s", status, out, errs)
	}
	for _, c := range []struct {
		name   string
		status int
	}{{"c9", 1}, {"c9 --anyway", 0}} {
		if _, errs, status := railrelay(t, append([]string{"fleet", "forget", "--setup", lost.setup}, strings.Fields(c.name)...)...); status != c.status {
			t.Errorf("forget %s: %d %s", c.name, status, errs)
		}
	}
	if err := lost.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-lost.ended:
	case <-time.After(patienceMost):
		t.Error("it doesn't end")
	}
	if !lost.cmd.ProcessState.Success() {
		t.Error(lost.cmd.ProcessState)
	}
}

// hears waits for a line of its log.
func (m *member) hears(what string) string {
	m.t.Helper()
	for wait := time.After(patienceMost); ; {
		select {
		case line := <-m.said:
			if strings.Contains(line, what) {
				return line
			}
		case <-wait:
			m.t.Fatalf("%s never said %q", m.name, what)
		}
	}
}

// The key is replaced while all serve: second line everywhere, first line, alone. Who
// has only the old one gets nowhere after that.
func TestTheKeyIsReplaced(t *testing.T) {
	all := band(t, 3, "")
	for _, m := range all {
		m.until("its lease", serves)
	}
	was, next := strings.Repeat("5a", 32), strings.Repeat("a5", 32)
	keys := filepath.Join(filepath.Dir(all[0].setup), "keys")
	for _, text := range []string{was + "\n" + next + "\n", next + "\n" + was + "\n", next + "\n"} {
		if err := os.WriteFile(keys, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		for _, m := range all {
			m.cmd.Process.Signal(syscall.SIGHUP)
			m.hears("the configuration was read again")
			if s := m.until("its lease", func(s *fleet.Status) bool { return s.Leader != "" }); !s.Serves {
				t.Errorf("%s stopped serving", m.name)
			}
		}
	}
	old := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(old, []byte(was+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, errs, status := railrelay(t, "fleet", "purge", "--team", "a", "--setup", all[0].setup, "--keys", old); status != 1 || !strings.Contains(errs, "signed") {
		t.Errorf("by the old key: %d %s", status, errs)
	}
	for _, m := range all { // each asks for its lease anew within the time it has: by the new key
		m.until("its lease", serves)
	}
	if r, status := all[1].fleet("purge", "--team", "a"); status != 0 || r.Outcome != "purged" {
		t.Errorf("by the new key: %d %+v", status, r)
	}
}

// What can't be asked says why and what to do, and the exit status tells it from a refusal.
func TestCommandsThatReachNobody(t *testing.T) {
	dir := t.TempDir()
	keys, open := filepath.Join(dir, "keys"), filepath.Join(dir, "open")
	os.WriteFile(keys, []byte(strings.Repeat("5a", 32)+"\n"), 0o600)
	os.WriteFile(open, []byte(strings.Repeat("5a", 32)+"\n"), 0o644)
	at := free(t, 1)[0]
	for _, c := range []struct {
		args   []string
		status int
		want   []string
	}{
		{[]string{"status", "--control", at, "--keys", keys}, 1, []string{"can't be reached", "ask another controller"}},
		{[]string{"status", "--control", at, "--keys", open}, 1, []string{"give other users access", "chmod 600"}},
		{[]string{"status"}, 1, []string{"whom to ask"}},
		{[]string{"apply", keys, "--control", at, "--keys", keys}, 1, []string{"--base is missing"}},
		{[]string{"purge", "--control", at, "--keys", keys}, 1, []string{"--team is missing"}},
		{[]string{"purge", "--team", "a", "--before", "noon", "--control", at, "--keys", keys}, 1, []string{"no time"}},
	} {
		out, errs, status := railrelay(t, append([]string{"fleet"}, c.args...)...)
		if status != c.status {
			t.Errorf("%v: status %d: %s%s", c.args, status, out, errs)
		}
		for _, want := range c.want {
			if !strings.Contains(errs, want) {
				t.Errorf("%v: %q isn't in %s", c.args, want, errs)
			}
		}
	}
}

func TestMoments(t *testing.T) {
	now := time.Date(2026, 11, 30, 18, 0, 0, 0, time.UTC)
	if at, err := moment("2h", now); err != nil || !at.Equal(now.Add(-2*time.Hour)) {
		t.Error(at, err)
	}
	if at, err := moment("2026-11-30T17:00:00Z", now); err != nil || !at.Equal(now.Add(-time.Hour)) {
		t.Error(at, err)
	}
}
