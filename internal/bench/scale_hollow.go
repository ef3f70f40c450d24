package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"railrelay.dev/railrelay/internal/emulator/hollow"
)

const maxHollowPerProcess = 200

// hollowProcess is a process with hollow controllers, which this process controls.
type hollowProcess struct {
	names   []string
	command *exec.Cmd
	input   io.WriteCloser
	exited  chan struct{}

	mu       sync.Mutex
	failures []hollow.Event
	reports  map[int]map[string]*hollow.Counts // by round of hollow.Report and by controller
}

// startHollowProcess starts a process with hollow controllers, which wait for hollow.Start. One goroutine
// calls onEvent with the events Serving and Ended.
func startHollowProcess(ctx context.Context, program string, config hollow.Config,
	onEvent func(hollow.Event)) (*hollowProcess, error) {
	command := exec.CommandContext(ctx, program, "hollow")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &hollowProcess{command: command, input: input, exited: make(chan struct{}),
		reports: map[int]map[string]*hollow.Counts{}}
	for _, c := range config.Controllers {
		p.names = append(p.names, c.Name)
	}
	go p.readEvents(output, onEvent)
	if err := json.NewEncoder(input).Encode(config); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// readEvents reads the process's events until the process exits.
func (p *hollowProcess) readEvents(output io.Reader, onEvent func(hollow.Event)) {
	defer close(p.exited)
	for lines := bufio.NewScanner(output); lines.Scan(); {
		var e hollow.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			e = hollow.Event{Kind: hollow.Failed, Reason: err.Error()}
		}
		switch e.Kind {
		case hollow.Failed:
			p.mu.Lock()
			p.failures = append(p.failures, e)
			p.mu.Unlock()
		case hollow.Counted:
			p.mu.Lock()
			if p.reports[e.Round] == nil {
				p.reports[e.Round] = map[string]*hollow.Counts{}
			}
			p.reports[e.Round][e.Name] = e.Counts
			p.mu.Unlock()
		default:
			onEvent(e)
		}
	}
	p.command.Wait()
}

// send sends a command to the controllers that the command names and this process has. A command without
// names goes to all controllers of the process.
func (p *hollowProcess) send(command hollow.Command) error {
	if len(command.Names) > 0 {
		command.Names = slices.DeleteFunc(slices.Clone(command.Names), func(name string) bool {
			return !slices.Contains(p.names, name)
		})
		if len(command.Names) == 0 {
			return nil
		}
	}
	return json.NewEncoder(p.input).Encode(command)
}

// failure returns the first failure that a controller of the process reported, or nil.
func (p *hollowProcess) failure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.failures) > 0 {
		return fmt.Errorf("hollow controller %s: %s", p.failures[0].Name, p.failures[0].Reason)
	}
	return nil
}

const hollowCountTimeout = 10 * time.Second

// collectCounts returns the counters of all controllers of the process. The round must be a new number.
func (p *hollowProcess) collectCounts(round int) (map[string]*hollow.Counts, error) {
	if err := p.send(hollow.Command{Do: hollow.Report, Round: round}); err != nil {
		return nil, err
	}
	for end := time.Now().Add(hollowCountTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		counts := p.reports[round]
		complete := len(counts) == len(p.names)
		if complete {
			delete(p.reports, round)
		}
		p.mu.Unlock()
		if complete {
			return counts, nil
		}
	}
	return nil, fmt.Errorf("hollow controllers didn't report their counters within %v", hollowCountTimeout)
}

// close kills the process and waits until it has exited.
func (p *hollowProcess) close() {
	p.input.Close()
	p.command.Process.Kill()
	<-p.exited
}
