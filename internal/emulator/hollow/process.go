// Package hollow is a stand-in for controllers of a fleet, hundreds in one process: the
// real core, edge and peers' wire with real frames and MACs on TCP connections, each with
// an address, a clock offset, timers and connections of its own. In place of the rest it
// has a record kept in memory (Store, each write takes a delay), package noop for the
// reducer, and no clients, engines or feed; a policy isn't held against any set-up.
//
// A paused one differs from a stopped process in one thing: its timers go on, and what
// they led to is sent when it is resumed, some late renewals more than a process would.
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

const maxLineBytes = 16 << 20 // bytes of a line of input

// Run is a process of hollow controllers: it reads a Config and then Commands, and writes
// Events. It ends when the input does or ctx is over; no controller runs on then. A
// controller's commands are carried out in their order, those of different ones beside
// each other.
func Run(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 64<<10), maxLineBytes)
	if !lines.Scan() {
		return fmt.Errorf("no configuration came: %w", lines.Err())
	}
	config := &Config{}
	if err := json.Unmarshal(lines.Bytes(), config); err != nil {
		return fmt.Errorf("the configuration can't be read: %w", err)
	}
	p := newProcess(ctx, config, out)
	defer p.close()
	defer stop()
	for lines.Scan() {
		command := Command{}
		if err := json.Unmarshal(lines.Bytes(), &command); err != nil {
			return fmt.Errorf("a command can't be read: %w", err)
		}
		p.dispatch(command)
	}
	return lines.Err()
}

// commandsAtMost wait for a controller that is still at an earlier one.
const maxQueuedCommands = 64

// process has a goroutine for each controller, which carries out its commands.
type process struct {
	names  []string
	queues map[string]chan Command
	group  sync.WaitGroup
}

func newProcess(ctx context.Context, config *Config, out io.Writer) *process {
	tell := eventWriter(out)
	p := &process{queues: map[string]chan Command{}}
	for _, member := range config.Controllers {
		queue := make(chan Command, maxQueuedCommands)
		p.names, p.queues[member.Name] = append(p.names, member.Name), queue
		c := newController(config, member, tell)
		p.group.Go(func() {
			defer c.stopNow()
			for command := range queue {
				c.execute(ctx, command)
			}
		})
	}
	return p
}

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

// end lets all controllers go and waits for them.
func (p *process) close() {
	for _, queue := range p.queues {
		close(queue)
	}
	p.group.Wait()
}

// teller writes events, one at a time, each a line.
func eventWriter(out io.Writer) func(Event) {
	encoder, mu := json.NewEncoder(out), &sync.Mutex{}
	return func(e Event) {
		mu.Lock()
		defer mu.Unlock()
		// who started this process is gone where it can't be written: the input ends, too
		_ = encoder.Encode(e)
	}
}
