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
	Name        string
	Clients     string // where clients come in
	Feed        string
	Controllers int // of the whole fleet
	Zones       []string
	Zone        string // its own
	MemoryMB    int
	Sockets     int
	Fleet       string // the fleet's name
	Listen      string // where peers come in
	Address     string // what peers are told in its place; "": Listen
	Operators   string // where operators come in
	Directory   string
	Keys        string
	Lease       time.Duration
	Voters      []hollow.Peer
	Control     bool // it has the role control: no clients, engines or feed
	Relay       bool
	Relays      []hollow.Peer // that it asks in place of the leader
}

// text is the set-up as YAML.
func (s controllerSetup) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\nlog: info\nlimits: {cores: 1, memory_mb: %d, sockets: %d}\n", s.Name, s.MemoryMB, s.Sockets)
	if !s.Control {
		s.writeData(&b)
	}
	fmt.Fprintf(&b, "fleet:\n  name: %s\n  listen: %s\n  control: %s\n  directory: %q\n  keys: %q\n  lease: %v\n",
		s.Fleet, s.Listen, s.Operators, s.Directory, s.Keys, s.Lease)
	if s.Address != "" {
		fmt.Fprintf(&b, "  address: %s\n", s.Address)
	}
	if s.Control {
		b.WriteString("  role: control\n")
	}
	if s.Relay {
		b.WriteString("  relay: true\n")
	}
	writePeers(&b, "voters", s.Voters)
	writePeers(&b, "relays", s.Relays)
	return b.String()
}

// writeData writes what only a controller with clients and engines has.
func (s controllerSetup) writeData(b *strings.Builder) {
	kind := trialEngineConfig()
	fmt.Fprintf(b, "listen: %s\nfeed: %s\n", s.Clients, s.Feed)
	fmt.Fprintf(b, "engines: {controllers: %d, kinds: [{name: std, cores: %g, memory_mb: %g}], locations: [%s], location: %s}\n",
		s.Controllers, kind.Cores, kind.MemoryMB, strings.Join(s.Zones, ", "), s.Zone)
	b.WriteString("groups: [{name: lookup, target: 1s, timeout: 30s, effect: read-only}]\n")
	b.WriteString("fairness: {fields: {team: team}, trusted: [127.0.0.0/8], teams: [{name: a, weight: 1}, {name: b, weight: 1}]}\n")
}

// writePeers writes a list of the fleet part, unless it is empty.
func writePeers(b *strings.Builder, field string, list []hollow.Peer) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(b, "  %s:\n", field)
	for _, peer := range list {
		fmt.Fprintf(b, "    - {name: %s, address: %q}\n", peer.Name, peer.Address)
	}
}

// workplace is a directory for a fleet's set-ups, records and key file.
type workplace struct {
	directory string
	keyFile   string
	keys      transport.Keys
}

func newWorkplace(pattern string) (w *workplace, err error) {
	w = &workplace{}
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

func (w *workplace) path(name string) string { return filepath.Join(w.directory, name) }

func (w *workplace) remove() { os.RemoveAll(w.directory) }

// applied is a line of a controller's log: its record has a version in force.
type applied struct {
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
	operator
	onApplied func(applied) // may be nil

	command  *exec.Cmd
	ended    chan struct{}
	lastLine string // of its log; once it has ended
	paused   bool
}

// fleetSuffix makes of the controller's program that which takes part in fleets.
const fleetSuffix = "-fleet"

// start begins the process from what its directory holds. It is killed with ctx, and
// with this process: therefore the program for fleets is started itself. The lean one
// would replace itself by it, and the kernel forgets then what it ends with.
func (p *controllerProcess) start(ctx context.Context) error {
	command := exec.CommandContext(ctx, p.program+fleetSuffix, "serve", "--setup", p.setupFile)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended, p.paused = command, ended, false
	go func() {
		defer close(ended)
		for lines := bufio.NewScanner(log); lines.Scan(); {
			p.lastLine = lines.Text()
			if version, is := versionInForce(p.lastLine); is && p.onApplied != nil {
				p.onApplied(applied{p.name, version, time.Now()})
			}
		}
		command.Wait()
	}()
	return nil
}

// versionInForce reads the line that a controller's log has for each version.
func versionInForce(line string) (version uint64, is bool) {
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
	<-p.ended
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

// answers says whether it can be asked anything.
func (p *controllerProcess) answers() bool { return p.command != nil && !p.paused }

// operator asks one controller as its operators do. It may be used by several goroutines.
type operator struct {
	control string // the controller's address for operators
	keys    transport.Keys
}

// ask puts something to the controller.
func (o operator) ask(ctx context.Context, a *fleet.Request) (*fleet.Response, error) {
	ctx, stop := context.WithTimeout(ctx, time.Duration(a.WaitMs)*time.Millisecond+2*time.Second)
	defer stop()
	return transport.SendControlRequest(ctx, o.control, o.keys, a)
}

// status is how it sees the fleet; an empty one if it can't be asked.
func (o operator) status(ctx context.Context) *fleet.Status {
	if r, err := o.ask(ctx, &fleet.Request{Kind: "status", WaitMs: 500}); err == nil && r.Status != nil {
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
		case <-p.ended:
			return fmt.Errorf("%s has ended, and last said %q", p.name, p.lastLine)
		default:
		}
	}
	return fmt.Errorf("%s doesn't serve within %v", p.name, within)
}

// processUsage is what the kernel says that a process has used.
type processUsage struct {
	CPU      time.Duration // since its start
	Resident float64       // MB
}

const clockTick = 10 * time.Millisecond // of the kernel's figures of processor time

// usageOf reads a process's figures.
func usageOf(pid int) (processUsage, error) {
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
