package bench

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/transport"
)

// fleetProcess is the process of one controller.
type fleetProcess struct {
	name, site     string
	clientAddress  string    // listens for clients
	listenAddress  string    // listens for peers
	peerAddress    string    // where peers connect to, through the mesh
	controlAddress string    // listens for operators
	command        *exec.Cmd // nil while the process is down
	paused         bool
	exited         chan struct{}
	logFile        *os.File
}

// setupYAML returns the contents of a controller's setup file.
func (ff *faultFleet) setupYAML(p *fleetProcess) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\nlisten: %s\nfeed: %s\nseed: %x\nlog: info\n"+
		"limits: {cores: 1, memory_mb: 128, sockets: 1024}\n",
		p.name, p.clientAddress, ff.feed.Addr(), ff.Seed)
	engines := trialEngineConfig()
	sites := []string{"east", "west"}
	for marker := range markerSites {
		sites = append(sites, fmt.Sprint("m", marker))
	}
	fmt.Fprintf(&b, "engines:\n  controllers: %d\n  kinds: [{name: std, cores: %g, memory_mb: %g}]\n"+
		"  locations: [%s]\n  location: %s\n",
		len(ff.members), engines.Cores, engines.MemoryMB, strings.Join(sites, ", "), p.site)
	b.WriteString(`groups:
  - {name: lookup, target: 1s, timeout: 30s, effect: read-only}
  - {name: report, target: 1s, timeout: 30s, effect: read-only}
  - {name: load, target: 2s, timeout: 30s, effect: mutating, in_order: true, load: true}
clients:
  - {name: all, addresses: [127.0.0.0/8], open: 4096, messages: 20000, idle: 1m}
fairness:
  fields: {team: team}
  trusted: [127.0.0.0/8]
  default: others
  teams: [{name: linz, weight: 2}, {name: steyr, weight: 1}, ` +
		"{name: mark, weight: 1}, {name: others, weight: 1}]\n")
	fmt.Fprintf(&b, "spool: {field: pages, directory: %q, memory_mb: 8, disk_mb: 512, "+
		"team_share: 1, team_results: 10000}\n", ff.path(p.name+"-spool"))
	fmt.Fprintf(&b, "fleet:\n  name: together\n  listen: %s\n  address: %s\n  control: %s\n"+
		"  directory: %q\n  keys: %q\n  lease: %v\n  lease_bound: %v\n"+
		"  election: 300ms\n  heartbeat: 60ms\n  hold: 4s\n  keep: 256\n  voters:\n",
		p.listenAddress, p.peerAddress, p.controlAddress,
		ff.path(p.name+"-fleet"), ff.path("keys"), ff.Lease, ff.Lease/2)
	for _, voter := range ff.members[:min(ff.Voters, len(ff.members))] {
		fmt.Fprintf(&b, "    - {name: %s, address: %q}\n", voter.name, voter.peerAddress)
	}
	b.WriteString(placementYAML(0))
	return b.String()
}

// startProcess starts a controller, which recovers the state that its directories hold.
func (ff *faultFleet) startProcess(p *fleetProcess) error {
	command := exec.CommandContext(ff.ctx, ff.Program, "serve", "--setup", ff.path(p.name+".yaml"))
	command.Stderr = p.logFile
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		command.Wait()
		close(exited)
	}()
	ff.mu.Lock()
	ff.fleetHistory.Note(ff.elapsed(), p.name+" starts", p.name)
	p.command, p.exited, p.paused = command, exited, false
	ff.mu.Unlock()
	return nil
}

// recordFault counts an injected fault and notes it in the history. fault completes "PROCESS is".
func (ff *faultFleet) recordFault(p *fleetProcess, fault string) {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	ff.faultCounts[fault]++
	ff.fleetHistory.Note(ff.elapsed(), p.name+" is "+fault, p.name)
}

func (ff *faultFleet) kill(p *fleetProcess) {
	if p.command == nil {
		return
	}
	ff.recordFault(p, "killed")
	p.command.Process.Kill()
	<-p.exited
	p.command = nil
}

func (ff *faultFleet) pause(p *fleetProcess) {
	ff.recordFault(p, "stopped")
	p.command.Process.Signal(syscall.SIGSTOP)
	p.paused = true
}

func (ff *faultFleet) resume(p *fleetProcess) {
	p.command.Process.Signal(syscall.SIGCONT)
	p.paused = false
}

// sendRequest sends a request to a controller's control listener, as an operator does.
func (ff *faultFleet) sendRequest(p *fleetProcess, request *fleet.Request) (*fleet.Response, error) {
	ctx, cancel := context.WithTimeout(ff.ctx, time.Duration(request.WaitMs)*time.Millisecond+2*time.Second)
	defer cancel()
	return transport.SendControlRequest(ctx, p.controlAddress, ff.keys, request)
}

// status returns the state of the fleet as a controller knows it, or an empty status if the controller does
// not answer.
func (ff *faultFleet) status(p *fleetProcess) *fleet.Status {
	response, err := ff.sendRequest(p, &fleet.Request{Kind: "status", WaitMs: 500})
	if err != nil || response.Status == nil {
		return &fleet.Status{}
	}
	return response.Status
}

// waitFor polls until a condition holds. After a timeout it returns an error with the condition in words and
// the diagnostics of the fleet.
func (ff *faultFleet) waitFor(timeout time.Duration, condition string, holds func() bool) error {
	for end := time.Now().Add(timeout); ; time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
		if time.Now().After(end) || ff.ctx.Err() != nil {
			return fmt.Errorf("condition not met within %v: %s; %s", timeout, condition, ff.diagnostics())
		}
	}
}

// diagnostics returns the status of every controller and the end of its log, without the lines of queries.
func (ff *faultFleet) diagnostics() string {
	var b strings.Builder
	for _, p := range ff.members {
		status := ff.status(p)
		if status.Name == "" {
			_, err := ff.sendRequest(p, &fleet.Request{Kind: "status", WaitMs: 500})
			fmt.Fprintf(&b, "\n%s does not answer a status request: %v", p.name, err)
		}
		fmt.Fprintf(&b, "\n%s: leader %s, index %d, version %d, serves %v, lease %d ms, change %+v",
			p.name, status.Leader, status.Index, status.Version, status.Serves,
			status.LeaseRemainingMs, status.Change)
		if text, err := os.ReadFile(ff.path(p.name + ".log")); err == nil {
			lines := slices.DeleteFunc(strings.Split(strings.TrimSpace(string(text)), "\n"),
				func(line string) bool { return strings.Contains(line, `"query"`) })
			fmt.Fprintf(&b, "\n    %s", strings.Join(lines[max(0, len(lines)-6):], "\n    "))
		}
	}
	return b.String()
}

// awaitAllServing waits until every controller serves, for up to timeout for each of them.
func (ff *faultFleet) awaitAllServing(timeout time.Duration) error {
	for _, p := range ff.members {
		if err := ff.waitFor(timeout, p.name+" serves",
			func() bool { return ff.status(p).Serves }); err != nil {
			return err
		}
	}
	return nil
}

// leader returns the running leader that the first answering controller names. If none is named within 100
// attempts, it returns the first member.
func (ff *faultFleet) leader() *fleetProcess {
	for range 100 {
		for _, p := range ff.members {
			if p.command == nil || p.paused {
				continue
			}
			status := ff.status(p)
			for _, leader := range ff.members {
				if leader.name == status.Leader && leader.command != nil && !leader.paused {
					return leader
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ff.members[0]
}

// randomFollower returns a random controller that is not a voter.
func (ff *faultFleet) randomFollower() *fleetProcess {
	return ff.members[ff.Voters+ff.rng.IntN(ff.Followers)]
}
