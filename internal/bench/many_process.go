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

// controllerSetup has the settings of a controller's setup file.
type controllerSetup struct {
	Name              string
	ClientAddress     string // listen address for clients
	FeedAddress       string
	Controllers       int      // number of controllers in the fleet
	Zones             []string // all zones with engines
	Zone              string   // zone of this controller
	MemoryMB          int
	Sockets           int
	FleetName         string
	PeerListenAddress string // listen address for peers
	PeerAddress       string // address that peers connect to; if empty, PeerListenAddress
	ControlAddress    string // listen address for operators
	Directory         string // directory of the fleet record
	KeyFile           string
	Lease             time.Duration
	Voters            []hollow.Peer
	ControlOnly       bool // sets the role control, without clients, engines and feed
	IsRelay           bool
	Relays            []hollow.Peer // relays that the controller sends its requests to, instead of the leader
}

// yaml returns the contents of the setup file.
func (s controllerSetup) yaml() string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\nlog: info\nlimits: {cores: 1, memory_mb: %d, sockets: %d}\n",
		s.Name, s.MemoryMB, s.Sockets)
	if !s.ControlOnly {
		s.writeDataPlane(&b)
	}
	fmt.Fprintf(&b, "fleet:\n  name: %s\n  listen: %s\n  control: %s\n"+
		"  directory: %q\n  keys: %q\n  lease: %v\n",
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

// writeDataPlane writes the settings that only a controller with clients and engines has.
func (s controllerSetup) writeDataPlane(b *strings.Builder) {
	engines := trialEngineConfig()
	fmt.Fprintf(b, "listen: %s\nfeed: %s\n", s.ClientAddress, s.FeedAddress)
	fmt.Fprintf(b, "engines: {controllers: %d, kinds: [{name: std, cores: %g, memory_mb: %g}], "+
		"locations: [%s], location: %s}\n",
		s.Controllers, engines.Cores, engines.MemoryMB, strings.Join(s.Zones, ", "), s.Zone)
	b.WriteString("groups: [{name: lookup, target: 1s, timeout: 30s, effect: read-only}]\n")
	b.WriteString("fairness: {fields: {team: team}, trusted: [127.0.0.0/8], " +
		"teams: [{name: a, weight: 1}, {name: b, weight: 1}]}\n")
}

// writePeerList writes a list of peers in the fleet section, unless the list is empty.
func writePeerList(b *strings.Builder, field string, peers []hollow.Peer) {
	if len(peers) == 0 {
		return
	}
	fmt.Fprintf(b, "  %s:\n", field)
	for _, peer := range peers {
		fmt.Fprintf(b, "    - {name: %s, address: %q}\n", peer.Name, peer.Address)
	}
}

// fleetFiles is a temporary directory for a fleet's setup files, records and key file.
type fleetFiles struct {
	directory string
	keyFile   string
	keys      transport.Keys
}

// newFleetFiles creates a directory with a key file. pattern has the same meaning as in os.MkdirTemp.
func newFleetFiles(pattern string) (files *fleetFiles, err error) {
	files = &fleetFiles{}
	if files.directory, err = os.MkdirTemp("", pattern); err != nil {
		return nil, err
	}
	files.keyFile = filepath.Join(files.directory, "keys")
	if err = os.WriteFile(files.keyFile, []byte(strings.Repeat("5e", 32)), 0o600); err == nil {
		files.keys, err = transport.ReadKeys(files.keyFile)
	}
	if err != nil {
		os.RemoveAll(files.directory)
		return nil, err
	}
	return files, nil
}

func (files *fleetFiles) path(name string) string { return filepath.Join(files.directory, name) }

func (files *fleetFiles) remove() { os.RemoveAll(files.directory) }

// appliedVersion is a policy version that a controller has logged as in force.
type appliedVersion struct {
	Controller string
	Version    uint64
	At         time.Time
}

// controllerProcess is a controller that runs as a process. Its methods must be called by one goroutine.
type controllerProcess struct {
	name      string
	program   string
	setupFile string
	directory string // directory of the fleet record
	operatorClient
	onApplied func(appliedVersion) // called for each version that the log reports as in force, or nil

	command     *exec.Cmd
	exited      chan struct{}
	lastLogLine string // may be read once exited is closed
	paused      bool
}

// fleetProgramSuffix is appended to the program's path to get the path of the program with fleet support.
const fleetProgramSuffix = "-fleet"

// start starts the controller's process, which recovers its state from its directory. The process is killed
// when ctx ends, and by the parent-death signal when the calling process dies. start runs the program with
// fleet support directly. If start ran p.program, that process would replace its image by the program with
// fleet support, and the parent-death signal would be lost.
func (p *controllerProcess) start(ctx context.Context) error {
	command := exec.CommandContext(ctx, p.program+fleetProgramSuffix, "serve", "--setup", p.setupFile)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited, p.paused = command, exited, false
	go func() {
		defer close(exited)
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			p.lastLogLine = lines.Text()
			if version, ok := parseVersionInForce(p.lastLogLine); ok && p.onApplied != nil {
				p.onApplied(appliedVersion{p.name, version, time.Now()})
			}
		}
		command.Wait()
	}()
	return nil
}

// parseVersionInForce returns the policy version that a log line reports as in force.
func parseVersionInForce(line string) (version uint64, ok bool) {
	_, after, ok := strings.Cut(line, "policy: version ")
	if !ok || !strings.Contains(after, "is in force") {
		return 0, false
	}
	version, err := strconv.ParseUint(strings.Fields(after)[0], 10, 64)
	return version, err == nil
}

// kill kills the process and waits until it has exited.
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

// isResponsive reports whether the process was started and is not paused.
func (p *controllerProcess) isResponsive() bool { return p.command != nil && !p.paused }

// operatorClient sends requests to one controller as its operators do. It is safe for concurrent use.
type operatorClient struct {
	address string // the controller's control address
	keys    transport.Keys
}

// sendRequest sends a request, and waits for the response for up to two seconds longer than the request's
// WaitMs.
func (o operatorClient) sendRequest(ctx context.Context, request *fleet.Request) (*fleet.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond+2*time.Second)
	defer cancel()
	return transport.SendControlRequest(ctx, o.address, o.keys, request)
}

// status returns the state of the fleet as the controller knows it, or an empty status if the controller does
// not answer.
func (o operatorClient) status(ctx context.Context) *fleet.Status {
	if response, err := o.sendRequest(ctx,
		&fleet.Request{Kind: "status", WaitMs: 500}); err == nil && response.Status != nil {
		return response.Status
	}
	return &fleet.Status{}
}

// awaitServing polls the controller at an interval until the controller serves. It returns an error after a
// timeout, or if the process exits.
func (p *controllerProcess) awaitServing(ctx context.Context, timeout, interval time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(interval) {
		if p.status(ctx).Serves {
			return nil
		}
		select {
		case <-p.exited:
			return fmt.Errorf("%s has exited; its last log line was %q", p.name, p.lastLogLine)
		default:
		}
	}
	return fmt.Errorf("%s did not serve within %v", p.name, timeout)
}

// processUsage is the resource usage of a process.
type processUsage struct {
	CPU        time.Duration // CPU time since the start of the process
	ResidentMB float64
}

// clockTick is the unit of the CPU times in /proc.
const clockTick = 10 * time.Millisecond

// readProcessUsage reads the usage of a process from /proc.
func readProcessUsage(pid int) (processUsage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}, err
	}
	const userTime, systemTime, residentPages = 11, 12, 21 // fields after the command's name
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= residentPages {
		return processUsage{}, errors.New("too few fields in the /proc stat file of the process")
	}
	user, _ := strconv.Atoi(fields[userTime])
	system, _ := strconv.Atoi(fields[systemTime])
	pages, _ := strconv.Atoi(fields[residentPages])
	return processUsage{time.Duration(user+system) * clockTick, float64(pages*os.Getpagesize()) / (1 << 20)}, nil
}
