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

// fleetProcess is one controller.
type fleetProcess struct {
	name, site                                   string
	clientAddress, listenAddress, controlAddress string
	peerAddress                                  string
	command                                      *exec.Cmd
	paused                                       bool
	exited                                       chan struct{}
	logFile                                      *os.File
}

func (g *faultFleet) setupYAML(p *fleetProcess) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\nlisten: %s\nfeed: %s\nseed: %x\nlog: info\nlimits: {cores: 1, memory_mb: 128, sockets: 1024}\n", p.name, p.clientAddress,
		g.feed.Addr(), g.Seed)
	f := trialEngineConfig()
	sites := []string{"east", "west"}
	for k := range markerSites {
		sites = append(sites, fmt.Sprint("m", k))
	}
	fmt.Fprintf(&b, "engines:\n  controllers: %d\n  kinds: [{name: std, cores: %g, memory_mb: %g}]\n  locations: [%s]\n  location: %s\n", len(g.members),
		f.Cores, f.MemoryMB, strings.Join(sites, ", "), p.site)
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
  teams: [{name: linz, weight: 2}, {name: steyr, weight: 1}, {name: mark, weight: 1}, {name: others, weight: 1}]
`)
	fmt.Fprintf(&b, "spool: {field: pages, directory: %q, memory_mb: 8, disk_mb: 512, team_share: 1, team_results: 10000}\n", g.path(p.name+"-spool"))
	fmt.Fprintf(&b, "fleet:\n  name: together\n  listen: %s\n  address: %s\n  control: %s\n  directory: %q\n  keys: %q\n  lease: %v\n  lease_bound: %v\n"+
		"  election: 300ms\n  heartbeat: 60ms\n  hold: 4s\n  keep: 256\n  voters:\n", p.listenAddress, p.peerAddress, p.controlAddress, g.path(p.name+"-fleet"), g.path("keys"),
		g.Lease, g.Lease/2)
	for _, v := range g.members[:min(g.Voters, len(g.members))] {
		fmt.Fprintf(&b, "    - {name: %s, address: %q}\n", v.name, v.peerAddress)
	}
	b.WriteString(placementYAML(0))
	return b.String()
}

// startProcess starts a controller from what its directories hold.
func (g *faultFleet) startProcess(p *fleetProcess) error {
	cmd := exec.CommandContext(g.ctx, g.Program, "serve", "--setup", g.path(p.name+".yaml"))
	cmd.Stderr = p.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		cmd.Wait()
		close(ended)
	}()
	g.mu.Lock()
	g.fleetHistory.Note(g.elapsed(), p.name+" starts", p.name)
	p.command, p.exited, p.paused = cmd, ended, false
	g.mu.Unlock()
	return nil
}

func (g *faultFleet) recordFault(p *fleetProcess, what string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faultCounts[what]++
	g.fleetHistory.Note(g.elapsed(), p.name+" is "+what, p.name)
}

func (g *faultFleet) kill(p *fleetProcess) {
	if p.command == nil {
		return
	}
	g.recordFault(p, "killed")
	p.command.Process.Kill()
	<-p.exited
	p.command = nil
}

func (g *faultFleet) pause(p *fleetProcess) {
	g.recordFault(p, "stopped")
	p.command.Process.Signal(syscall.SIGSTOP)
	p.paused = true
}

func (g *faultFleet) resume(p *fleetProcess) {
	p.command.Process.Signal(syscall.SIGCONT)
	p.paused = false
}

// sendRequest puts something to a controller's operators' listener.
func (g *faultFleet) sendRequest(p *fleetProcess, a *fleet.Request) (*fleet.Response, error) {
	ctx, stop := context.WithTimeout(g.ctx, time.Duration(a.WaitMs)*time.Millisecond+2*time.Second)
	defer stop()
	return transport.SendControlRequest(ctx, p.controlAddress, g.keys, a)
}

func (g *faultFleet) status(p *fleetProcess) *fleet.Status {
	r, err := g.sendRequest(p, &fleet.Request{Kind: "status", WaitMs: 500})
	if err != nil || r.Status == nil {
		return &fleet.Status{}
	}
	return r.Status
}

// waitFor waits for something to come true.
func (g *faultFleet) waitFor(within time.Duration, what string, so func() bool) error {
	for end := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		if so() {
			return nil
		}
		if time.Now().After(end) || g.ctx.Err() != nil {
			return fmt.Errorf("after %v: not %s; %s", within, what, g.diagnostics())
		}
	}
}

// diagnostics is how all controllers see the fleet, and the end of their logs: why something
// has not come.
func (g *faultFleet) diagnostics() string {
	var b strings.Builder
	for _, p := range g.members {
		s := g.status(p)
		if s.Name == "" {
			_, err := g.sendRequest(p, &fleet.Request{Kind: "status", WaitMs: 500})
			fmt.Fprintf(&b, "\n%s can't be asked: %v", p.name, err)
		}
		fmt.Fprintf(&b, "\n%s: leader %s, index %d, version %d, serves %v, lease %d ms, change %+v", p.name, s.Leader, s.Index, s.Version, s.Serves, s.LeaseRemainingMs, s.Change)
		if text, err := os.ReadFile(g.path(p.name + ".log")); err == nil {
			lines := slices.DeleteFunc(strings.Split(strings.TrimSpace(string(text)), "\n"), func(l string) bool {
				return strings.Contains(l, `"query"`)
			})
			fmt.Fprintf(&b, "\n    %s", strings.Join(lines[max(0, len(lines)-6):], "\n    "))
		}
	}
	return b.String()
}

func (g *faultFleet) awaitAllServing(within time.Duration) error {
	for _, p := range g.members {
		if err := g.waitFor(within, p.name+" serves", func() bool { return g.status(p).Serves }); err != nil {
			return err
		}
	}
	return nil
}

// leader is who leads by what most say.
func (g *faultFleet) leader() *fleetProcess {
	for range 100 {
		for _, p := range g.members {
			if p.command == nil || p.paused {
				continue
			}
			s := g.status(p)
			for _, l := range g.members {
				if l.name == s.Leader && l.command != nil && !l.paused {
					return l
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return g.members[0]
}

// randomFollower is one that doesn't vote.
func (g *faultFleet) randomFollower() *fleetProcess {
	return g.members[g.Voters+g.rng.IntN(g.Followers)]
}
