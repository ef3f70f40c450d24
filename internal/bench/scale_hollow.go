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

const maxHollowPerProcess = 200 // controllers in one process

// hollowProcess is a process of hollow controllers, driven by this one.
type hollowProcess struct {
	names   []string
	command *exec.Cmd
	input   io.WriteCloser
	exited  chan struct{}

	mu       sync.Mutex
	failures []hollow.Event
	reports  map[int]map[string]*hollow.Counts // by round and name
}

// startHollowProcess starts a process; its controllers are only prepared. onEvent is given what
// they tell of serving, on one goroutine.
func startHollowProcess(ctx context.Context, laboratory string, config hollow.Config, onEvent func(hollow.Event)) (*hollowProcess, error) {
	command := exec.CommandContext(ctx, laboratory, "hollow")
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
	p := &hollowProcess{command: command, input: input, exited: make(chan struct{}), reports: map[int]map[string]*hollow.Counts{}}
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

// send sends a command on to those of its names that are in this process; none: all.
func (p *hollowProcess) send(command hollow.Command) error {
	if len(command.Names) > 0 {
		command.Names = slices.DeleteFunc(slices.Clone(command.Names), func(name string) bool { return !slices.Contains(p.names, name) })
		if len(command.Names) == 0 {
			return nil
		}
	}
	return json.NewEncoder(p.input).Encode(command)
}

// failure is the first thing that a controller of it couldn't do.
func (p *hollowProcess) failure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.failures) > 0 {
		return fmt.Errorf("hollow controller %s: %s", p.failures[0].Name, p.failures[0].Reason)
	}
	return nil
}

const hollowCountTimeout = 10 * time.Second

// collectCounts asks all for their sums, under a round that wasn't used before.
func (p *hollowProcess) collectCounts(round int) (map[string]*hollow.Counts, error) {
	if err := p.send(hollow.Command{Do: hollow.Report, Round: round}); err != nil {
		return nil, err
	}
	for end := time.Now().Add(hollowCountTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		all := p.reports[round]
		whole := len(all) == len(p.names)
		if whole {
			delete(p.reports, round)
		}
		p.mu.Unlock()
		if whole {
			return all, nil
		}
	}
	return nil, fmt.Errorf("hollow controllers didn't tell their sums within %v", hollowCountTimeout)
}

// close ends the process and waits for it.
func (p *hollowProcess) close() {
	p.input.Close()
	p.command.Process.Kill()
	<-p.exited
}
