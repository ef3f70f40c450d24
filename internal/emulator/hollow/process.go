// Package hollow runs hundreds of simulated controllers of a fleet in one process. They use the real
// consensus, driver and peer transport, with real frames and MACs on TCP connections; each has its
// own address, clock offset, timers and connections. The rest is replaced: the record is kept in
// memory (Store, which delays each write), package noop is the reducer, there are no clients,
// engines or feed, and policies aren't checked against a configuration.
//
// A paused controller differs from a stopped process in one way: its timers continue, and the
// messages that they cause are sent on resume, so that it sends some late lease renewals more.
package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
)

const maxLineBytes = 16 << 20 // limit of an input line

// Run runs a process of simulated controllers. It reads a Config and then Commands, and writes
// Events. It stops all controllers and returns when the input ends or ctx is done. The commands of
// one controller are executed in order, those of different controllers concurrently.
func Run(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 64<<10), maxLineBytes)
	if !lines.Scan() {
		return fmt.Errorf("no configuration on the input: %w", lines.Err())
	}
	config := &Config{}
	if err := json.Unmarshal(lines.Bytes(), config); err != nil {
		return fmt.Errorf("invalid configuration: %w", err)
	}
	p := newProcess(ctx, config, out)
	defer p.close()
	defer stop()
	for lines.Scan() {
		command := Command{}
		if err := json.Unmarshal(lines.Bytes(), &command); err != nil {
			return fmt.Errorf("invalid command: %w", err)
		}
		p.dispatch(command)
	}
	return lines.Err()
}

// maxQueuedCommands limits the commands queued for one controller.
const maxQueuedCommands = 64

// process has a goroutine for each controller, which executes the controller's commands.
type process struct {
	names  []string
	queues map[string]chan Command
	group  sync.WaitGroup
}

func newProcess(ctx context.Context, config *Config, out io.Writer) *process {
	emit := eventWriter(out)
	p := &process{queues: map[string]chan Command{}}
	for _, member := range config.Controllers {
		queue := make(chan Command, maxQueuedCommands)
		p.names, p.queues[member.Name] = append(p.names, member.Name), queue
		c := newController(config, member, emit)
		p.group.Go(func() {
			defer c.stopNow()
			for command := range queue {
				c.execute(ctx, command)
			}
		})
	}
	return p
}

// dispatch queues a command for the controllers that it names. It ignores names of other processes'
// controllers.
func (p *process) dispatch(command Command) {
	names := command.Names
	if len(names) == 0 {
		names = p.names
	}
	for _, name := range names {
		if slices.Contains(p.names, name) {
			p.queues[name] <- command
		}
	}
}

// close stops all controllers and waits for them.
func (p *process) close() {
	for _, queue := range p.queues {
		close(queue)
	}
	p.group.Wait()
}

// eventWriter returns a function that writes events, one line each.
func eventWriter(out io.Writer) func(Event) {
	encoder, mu := json.NewEncoder(out), &sync.Mutex{}
	return func(e Event) {
		mu.Lock()
		defer mu.Unlock()
		// A write fails only if the parent process has ended; then the input ends, too.
		_ = encoder.Encode(e)
	}
}
