// Package simadapter connects schedulers to the simulator by its line protocol: it parses the
// simulator's events, calls the scheduler and writes the scheduler's actions. It makes no
// decisions.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/settings"
)

// adapter holds the scheduler instances of this process and the endpoint lists that they share.
type adapter struct {
	output        *bufio.Writer
	instances     map[int]*instance
	endpointLists [16][][]string
	clock         float64
}

// instance is one scheduler with its id and its start on the simulator's clock, in milliseconds.
type instance struct {
	*adapter
	id        int
	epoch     float64
	scheduler *scheduler.Scheduler
	failed    bool
}

// Run reads the simulator's lines and writes the schedulers' actions until the input ends.
func Run(in io.Reader, out io.Writer) error {
	a := &adapter{output: bufio.NewWriterSize(out, 1<<18), instances: map[int]*instance{}}
	reader := bufio.NewReaderSize(in, 1<<20)
	for lineNumber := 1; ; lineNumber++ {
		line, err := reader.ReadString('\n')
		if err != nil && line == "" {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		parts := strings.Split(strings.TrimRight(line, "\r\n"), "\t")
		if parts[0] == "ledger" {
			lineNumber, err = a.readEndpointList(reader, parts, lineNumber)
		} else {
			err = a.handleLine(parts)
		}
		if err != nil {
			return fmt.Errorf("line %d: %q: %w", lineNumber, parts[0], err)
		}
	}
}

func (a *adapter) readEndpointList(reader *bufio.Reader, parts []string, lineNumber int) (int, error) {
	header := fields{parts: parts}
	slot, count := header.integer(1), header.integer(2)
	if header.err != nil {
		return lineNumber, header.err
	}
	if slot < 0 || slot >= len(a.endpointLists) || count < 0 {
		return lineNumber, fmt.Errorf("invalid endpoint list: number %d with %d entries", slot, count)
	}
	a.endpointLists[slot] = nil
	for range count {
		lineNumber++
		line, err := reader.ReadString('\n')
		if err != nil {
			return lineNumber, fmt.Errorf("endpoint list ends early: %w", err)
		}
		entry := strings.Split(strings.TrimRight(line, "\r\n"), "\t")
		if entry[0] != "executor" || len(entry) < 7 {
			return lineNumber, fmt.Errorf("not an entry of an endpoint list: %q", strings.Join(entry, " "))
		}
		a.endpointLists[slot] = append(a.endpointLists[slot], entry)
	}
	return lineNumber, nil
}

func (a *adapter) handleLine(parts []string) error {
	line := fields{parts: parts}
	switch parts[0] {
	case "round":
		a.clock = line.number(1)
		return line.err
	case "go":
		a.output.WriteString("eor\n")
		return a.output.Flush()
	case "", "ledger", "executor":
		return errors.New("not an event")
	}
	id := line.integer(1)
	if line.err != nil {
		return line.err
	}
	switch parts[0] {
	case "start":
		inst := &instance{adapter: a, id: id, epoch: a.clock}
		seed, err := strconv.ParseUint(line.text(2), 10, 64)
		if err != nil {
			return fmt.Errorf("seed is not a whole number: %w", err)
		}
		rawSettings := settings.FromPairs(parts[3:])
		a.instances[id] = inst
		return inst.catchPanic(func() { inst.scheduler = scheduler.New(inst, seed, rawSettings) })
	case "kill":
		delete(a.instances, id)
		return nil
	}
	inst := a.instances[id]
	if inst == nil {
		return fmt.Errorf("instance %d has not started", id)
	}
	if inst.failed {
		return nil
	}
	var err error
	if panicErr := inst.catchPanic(func() { err = inst.handleEvent(parts[0], &line) }); panicErr != nil {
		return panicErr
	}
	return err
}

// catchPanic reports a panic of the scheduler to the simulator, and marks the instance as failed.
func (inst *instance) catchPanic(call func()) error {
	defer func() {
		if reason := recover(); reason != nil {
			inst.failed = true
			text := strings.NewReplacer("\n", " ", "\t", " ").Replace(fmt.Sprint(reason))
			inst.writeAction("die", text)
		}
	}()
	call()
	return nil
}

func (inst *instance) handleEvent(name string, line *fields) error {
	now := milliseconds(inst.clock - inst.epoch)
	switch name {
	case "membership":
		return inst.endpointListReceived(now, line)
	case "new_request":
		inst.queryArrived(now, line)
	case "heartbeat":
		inst.noteReceived(now, line)
	case "attempt_end":
		return inst.attemptEnded(now, line)
	case "timed_out_client":
		if id := line.text(2); line.err == nil {
			inst.scheduler.ClientLeft(now, id)
		}
	case "timeout_fired":
		if tag := line.integer(2); line.err == nil {
			inst.scheduler.TimerFired(now, tag)
		}
	case "head_received":
		if id := line.text(2); line.err == nil {
			inst.scheduler.AnswerStarted(now, id)
		}
	case "memo":
		return nil // a message from another instance; the scheduler sends none and reads none
	case "probed":
		return inst.healthCheckEnded(now, line)
	default:
		return errors.New("unknown event")
	}
	return line.err
}

func (inst *instance) queryArrived(now time.Duration, line *fields) {
	flags := line.integer(3)
	key := int64(-1)
	if line.has(5) {
		key = int64(line.number(5))
	}
	var work time.Duration
	if flags&1 != 0 && line.has(7) {
		work = milliseconds(line.number(7))
	}
	tenant := line.integer(6) // index of the tenant, 0 if it is missing
	id, group, budget := line.text(2), line.integer(8), milliseconds(line.number(9))
	tables, memoryMB := int64(line.number(4)), line.number(10)
	if line.err == nil {
		inst.scheduler.QueryArrived(now, id, group, tenant, budget, tables, key, work, memoryMB)
	}
}

func (inst *instance) noteReceived(now time.Duration, line *fields) {
	value, code := line.number(3), line.integer(4)
	kind := scheduler.Progress
	switch {
	case code == 2:
		kind = scheduler.Spilling
	case code == 3 && value == 1:
		kind = scheduler.WaitingForMemory
	case code == 3:
		kind = scheduler.WaitingForLoad
	case code != 1:
		return
	}
	id, number := line.text(2), line.integer(6)
	if line.err == nil {
		inst.scheduler.NoteReceived(now, id, number, kind, value)
	}
}

func (inst *instance) attemptEnded(now time.Duration, line *fields) error {
	outcome, ok := outcomeByName[line.text(5)]
	if !ok && line.err == nil {
		return fmt.Errorf("unknown outcome %q", line.text(5))
	}
	var cost int64 // milliseconds of work * 4096 + memory in units of 4 MB
	if line.has(8) {
		cost = int64(line.number(8))
	}
	id, number, took, answered := line.text(2), line.integer(3), milliseconds(line.number(6)),
		line.integer(7) == 1
	report := line.loadReport(9)
	if line.err == nil {
		work, memoryMB := time.Duration(cost/4096)*time.Millisecond, float64(cost%4096*4)
		inst.scheduler.AttemptEnded(now, id, number, outcome, took, answered, work, memoryMB, report)
	}
	return line.err
}

func (inst *instance) healthCheckEnded(now time.Duration, line *fields) error {
	outcome, ok := outcomeByName[line.text(3)]
	if !ok && line.err == nil {
		return fmt.Errorf("unknown outcome %q", line.text(3))
	}
	engine, report := line.text(2), line.loadReport(5)
	if line.err == nil {
		inst.scheduler.HealthCheckEnded(now, engine, outcome, report)
	}
	return line.err
}

func (inst *instance) endpointListReceived(now time.Duration, line *fields) error {
	scope := line.text(2)
	if scope == "refused" {
		inst.scheduler.ListRefused(now)
		return line.err
	}
	if scope != "changes" && scope != "all" && scope != "remembered" {
		return fmt.Errorf("unknown scope %q", scope)
	}
	slot := line.integer(3)
	if line.err != nil {
		return line.err
	}
	if slot < 0 || slot >= len(inst.endpointLists) {
		return fmt.Errorf("endpoint list %d is unknown", slot)
	}
	inst.scheduler.ListStarted(now, scope != "changes")
	for _, parts := range inst.endpointLists[slot] {
		entry := fields{parts: parts}
		state, ok := stateByName[entry.text(5)]
		if !ok {
			return fmt.Errorf("unknown state %q", entry.text(5))
		}
		var started time.Duration
		startKnown := entry.has(7) && entry.number(7) != 0
		if startKnown {
			started = milliseconds(entry.number(7) - inst.epoch)
		}
		id, location, kind, cell := entry.text(1), entry.integer(2), entry.integer(3), entry.integer(4)
		if entry.err != nil {
			return entry.err
		}
		inst.scheduler.EngineListed(id, location, kind, cell, state, started, startKnown)
	}
	inst.scheduler.ListEnded()
	return nil
}

func milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// fields reads the fields of a line and keeps the first error in err.
type fields struct {
	parts []string
	err   error
}

func (line *fields) has(index int) bool {
	return index < len(line.parts) && line.parts[index] != "-" && line.parts[index] != ""
}

func (line *fields) text(index int) string {
	if index >= len(line.parts) {
		line.fail(fmt.Errorf("field %d is missing", index))
		return ""
	}
	return line.parts[index]
}

func (line *fields) number(index int) float64 {
	if !line.has(index) && index < len(line.parts) {
		return 0
	}
	x, err := strconv.ParseFloat(line.text(index), 64)
	if err != nil {
		line.fail(fmt.Errorf("field %d is not a number: %q", index, line.text(index)))
	}
	return x
}

func (line *fields) integer(index int) int { return int(line.number(index)) }

func (line *fields) fail(err error) {
	if line.err == nil {
		line.err = err
	}
}

func (line *fields) loadReport(index int) map[string]float64 {
	if !line.has(index) {
		return nil
	}
	report := map[string]float64{}
	for pair := range strings.SplitSeq(line.parts[index], ",") {
		name, value, _ := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			line.fail(fmt.Errorf("field %d is not a load report: %q", index, line.parts[index]))
			return nil
		}
		if internal := settings.ReportField(name); internal != "" {
			report[internal] = x
		}
	}
	return report
}
