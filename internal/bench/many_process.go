package bench

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"railrelay.dev/railrelay/internal/emulator/hollow"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/transport"
)

// controllerSetup is what the set-up file of a controller in a fleet of many is made of.
type controllerSetup struct {
	Name              string
	ClientAddress     string // where clients come in
	FeedAddress       string
	Controllers       int // of the whole fleet
	Zones             []string
	Zone              string // its own
	MemoryMB          int
	Sockets           int
	FleetName         string // the fleet's name
	PeerListenAddress string // where peers come in
	PeerAddress       string // what peers are told in its place; "": Listen
	ControlAddress    string // where operators come in
	Directory         string
	KeyFile           string
	Lease             time.Duration
	Voters            []hollow.Peer
	ControlOnly       bool // it has the role control: no clients, engines or feed
	IsRelay           bool
	Relays            []hollow.Peer // that it asks in place of the leader
}

// yaml is the set-up as YAML.
func (s controllerSetup) yaml() string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\nlog: info\nlimits: {cores: 1, memory_mb: %d, sockets: %d}\n", s.Name, s.MemoryMB, s.Sockets)
	if !s.ControlOnly {
		s.writeDataPlane(&b)
	}
	fmt.Fprintf(&b, "fleet:\n  name: %s\n  listen: %s\n  control: %s\n  directory: %q\n  keys: %q\n  lease: %v\n",
		s.FleetName, s.PeerListenAddress, s.ControlAddress, s.Directory, s.KeyFile, s.Lease)
	if s.PeerAddress != "" {
		fmt.Fprintf(&b, "  address: %s\n", s.PeerAddress)
	}
	if s.ControlOnly {
		b.WriteString("  role: control\n")
	}
	if s.IsRelay {
		b.WriteString("  relay: true\n")
	}
	writePeerList(&b, "voters", s.Voters)
	writePeerList(&b, "relays", s.Relays)
	return b.String()
}

// writeDataPlane writes what only a controller with clients and engines has.
func (s controllerSetup) writeDataPlane(b *strings.Builder) {
	kind := trialEngineConfig()
	fmt.Fprintf(b, "listen: %s\nfeed: %s\n", s.ClientAddress, s.FeedAddress)
	fmt.Fprintf(b, "engines: {controllers: %d, kinds: [{name: std, cores: %g, memory_mb: %g}], locations: [%s], location: %s}\n",
		s.Controllers, kind.Cores, kind.MemoryMB, strings.Join(s.Zones, ", "), s.Zone)
	b.WriteString("groups: [{name: lookup, target: 1s, timeout: 30s, effect: read-only}]\n")
	b.WriteString("fairness: {fields: {team: team}, trusted: [127.0.0.0/8], teams: [{name: a, weight: 1}, {name: b, weight: 1}]}\n")
}

// writePeerList writes a list of the fleet part, unless it is empty.
func writePeerList(b *strings.Builder, field string, list []hollow.Peer) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(b, "  %s:\n", field)
	for _, peer := range list {
		fmt.Fprintf(b, "    - {name: %s, address: %q}\n", peer.Name, peer.Address)
	}
}

// fleetFiles is a directory for a fleet's set-ups, records and key file.
type fleetFiles struct {
	directory string
	keyFile   string
	keys      transport.Keys
}

func newFleetFiles(pattern string) (w *fleetFiles, err error) {
	w = &fleetFiles{}
	if w.directory, err = os.MkdirTemp("", pattern); err != nil {
		return nil, err
	}
	w.keyFile = filepath.Join(w.directory, "keys")
	if err = os.WriteFile(w.keyFile, []byte(strings.Repeat("5e", 32)), 0o600); err == nil {
		w.keys, err = transport.ReadKeys(w.keyFile)
	}
	if err != nil {
		os.RemoveAll(w.directory)
		return nil, err
	}
	return w, nil
}

func (w *fleetFiles) path(name string) string { return filepath.Join(w.directory, name) }

func (w *fleetFiles) remove() { os.RemoveAll(w.directory) }

// appliedVersion is a line of a controller's log: its record has a version in force.
type appliedVersion struct {
	Controller string
	Version    uint64
	At         time.Time
}

// controllerProcess is one controller as a process. Its methods are called by one goroutine.
type controllerProcess struct {
	name      string
	program   string
	setupFile string
	directory string // of its record
	operatorClient
	onApplied func(appliedVersion) // may be nil

	command     *exec.Cmd
	exited      chan struct{}
	lastLogLine string // of its log; once it has ended
	paused      bool
}

// fleetProgramSuffix makes of the controller's program that which takes part in fleets.
const fleetProgramSuffix = "-fleet"

// start begins the process from what its directory holds. It is killed with ctx, and
// with this process: therefore the program for fleets is started itself. The lean one
// would replace itself by it, and the kernel forgets then what it ends with.
func (p *controllerProcess) start(ctx context.Context) error {
	command := exec.CommandContext(ctx, p.program+fleetProgramSuffix, "serve", "--setup", p.setupFile)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.exited, p.paused = command, ended, false
	go func() {
		defer close(ended)
		for lines := bufio.NewScanner(log); lines.Scan(); {
			p.lastLogLine = lines.Text()
			if version, is := parseVersionInForce(p.lastLogLine); is && p.onApplied != nil {
				p.onApplied(appliedVersion{p.name, version, time.Now()})
			}
		}
		command.Wait()
	}()
	return nil
}

// parseVersionInForce reads the line that a controller's log has for each version.
func parseVersionInForce(line string) (version uint64, is bool) {
	_, after, is := strings.Cut(line, "policy: version ")
	if !is || !strings.Contains(after, "is in force") {
		return 0, false
	}
	version, err := strconv.ParseUint(strings.Fields(after)[0], 10, 64)
	return version, err == nil
}

// kill ends the process at once and waits for its end.
func (p *controllerProcess) kill() {
	if p.command == nil {
		return
	}
	p.command.Process.Kill()
	<-p.exited
	p.command = nil
}

func (p *controllerProcess) pause() error {
	p.paused = true
	return p.command.Process.Signal(syscall.SIGSTOP)
}

func (p *controllerProcess) resume() error {
	p.paused = false
	return p.command.Process.Signal(syscall.SIGCONT)
}

// isResponsive says whether it can be asked anything.
func (p *controllerProcess) isResponsive() bool { return p.command != nil && !p.paused }

// operatorClient asks one controller as its operators do. It may be used by several goroutines.
type operatorClient struct {
	address string // the controller's address for operators
	keys    transport.Keys
}

// sendRequest puts something to the controller.
func (o operatorClient) sendRequest(ctx context.Context, a *fleet.Request) (*fleet.Response, error) {
	ctx, stop := context.WithTimeout(ctx, time.Duration(a.WaitMs)*time.Millisecond+2*time.Second)
	defer stop()
	return transport.SendControlRequest(ctx, o.address, o.keys, a)
}

// status is how it sees the fleet; an empty one if it can't be asked.
func (o operatorClient) status(ctx context.Context) *fleet.Status {
	if r, err := o.sendRequest(ctx, &fleet.Request{Kind: "status", WaitMs: 500}); err == nil && r.Status != nil {
		return r.Status
	}
	return &fleet.Status{}
}

// awaitServing waits until it serves, and looks after each pause.
func (p *controllerProcess) awaitServing(ctx context.Context, within, pause time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pause) {
		if p.status(ctx).Serves {
			return nil
		}
		select {
		case <-p.exited:
			return fmt.Errorf("%s has ended, and last said %q", p.name, p.lastLogLine)
		default:
		}
	}
	return fmt.Errorf("%s doesn't serve within %v", p.name, within)
}

// processUsage is what the kernel says that a process has used.
type processUsage struct {
	CPU        time.Duration // since its start
	ResidentMB float64       // MB
}

const clockTick = 10 * time.Millisecond // of the kernel's figures of processor time

// readProcessUsage reads a process's figures.
func readProcessUsage(pid int) (processUsage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}, err
	}
	const userTime, systemTime, residentPages = 11, 12, 21 // after the command's name
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) <= residentPages {
		return processUsage{}, errors.New("the process's figures can't be read")
	}
	user, _ := strconv.Atoi(fields[userTime])
	system, _ := strconv.Atoi(fields[systemTime])
	pages, _ := strconv.Atoi(fields[residentPages])
	return processUsage{time.Duration(user+system) * clockTick, float64(pages*os.Getpagesize()) / (1 << 20)}, nil
}
