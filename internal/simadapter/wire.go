// Package simadapter puts the bench's wire before the decisions: it parses a
// line, renames what it says to the project's words, hands it over and writes
// the actions. It decides nothing.
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

// host holds the instances of this process and the lists they share.
type host struct {
	out       *bufio.Writer
	instances map[int]*instance
	lists     [16][][]string
	clock     float64
}

// instance is one scheduler with its number and its start on the wire's clock.
type instance struct {
	*host
	i         int
	epoch     float64
	scheduler *scheduler.Scheduler
	dead      bool
}

// Run serves the wire until input ends.
func Run(in io.Reader, out io.Writer) error {
	h := &host{out: bufio.NewWriterSize(out, 1<<18), instances: map[int]*instance{}}
	r := bufio.NewReaderSize(in, 1<<20)
	for n := 1; ; n++ {
		line, err := r.ReadString('\n')
		if err != nil && line == "" {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		f := strings.Split(strings.TrimRight(line, "\r\n"), "\t")
		if f[0] == "ledger" {
			n, err = h.ledger(r, f, n)
		} else {
			err = h.event(f)
		}
		if err != nil {
			return fmt.Errorf("line %d: %q: %w", n, f[0], err)
		}
	}
}

func (h *host) ledger(r *bufio.Reader, f []string, n int) (int, error) {
	c := fields{f: f}
	slot, count := c.whole(1), c.whole(2)
	if c.err != nil {
		return n, c.err
	}
	if slot < 0 || slot >= len(h.lists) || count < 0 {
		return n, fmt.Errorf("no such list: number %d of %d entries", slot, count)
	}
	h.lists[slot] = nil
	for range count {
		n++
		line, err := r.ReadString('\n')
		if err != nil {
			return n, fmt.Errorf("the list ends early: %w", err)
		}
		entry := strings.Split(strings.TrimRight(line, "\r\n"), "\t")
		if entry[0] != "executor" || len(entry) < 7 {
			return n, fmt.Errorf("not an entry of a list: %q", strings.Join(entry, " "))
		}
		h.lists[slot] = append(h.lists[slot], entry)
	}
	return n, nil
}

func (h *host) event(f []string) error {
	c := fields{f: f}
	switch f[0] {
	case "round":
		h.clock = c.num(1)
		return c.err
	case "go":
		h.out.WriteString("eor\n")
		return h.out.Flush()
	case "", "ledger", "executor":
		return errors.New("not an event")
	}
	i := c.whole(1)
	if c.err != nil {
		return c.err
	}
	switch f[0] {
	case "start":
		d := &instance{host: h, i: i, epoch: h.clock}
		seed, err := strconv.ParseUint(c.text(2), 10, 64)
		if err != nil {
			return fmt.Errorf("no seed: %w", err)
		}
		names := settings.FromPairs(f[3:])
		h.instances[i] = d
		return d.guard(func() { d.scheduler = scheduler.New(d, seed, names) })
	case "kill":
		delete(h.instances, i)
		return nil
	}
	d := h.instances[i]
	if d == nil {
		return fmt.Errorf("instance %d has not started", i)
	}
	if d.dead {
		return nil
	}
	var err error
	if broke := d.guard(func() { err = d.hand(f[0], &c) }); broke != nil {
		return broke
	}
	return err
}

// guard turns a panic of the decisions into the wire's word for it.
func (d *instance) guard(f func()) error {
	defer func() {
		if p := recover(); p != nil {
			d.dead = true
			text := strings.NewReplacer("\n", " ", "\t", " ").Replace(fmt.Sprint(p))
			d.act("die", text)
		}
	}()
	f()
	return nil
}

func (d *instance) hand(name string, c *fields) error {
	now := ms(d.clock - d.epoch)
	switch name {
	case "membership":
		return d.list(now, c)
	case "new_request":
		d.arrival(now, c)
	case "heartbeat":
		d.note(now, c)
	case "attempt_end":
		return d.attemptEnd(now, c)
	case "timed_out_client":
		if id := c.text(2); c.err == nil {
			d.scheduler.ClientLeft(now, id)
		}
	case "timeout_fired":
		if tag := c.whole(2); c.err == nil {
			d.scheduler.TimerFired(now, tag)
		}
	case "head_received":
		if id := c.text(2); c.err == nil {
			d.scheduler.AnswerStarted(now, id)
		}
	case "memo":
		return nil // nothing is ever told to another instance, and none is to be heard
	case "probed":
		return d.healthCheckEnd(now, c)
	default:
		return errors.New("unknown event")
	}
	return c.err
}

func (d *instance) arrival(now time.Duration, c *fields) {
	options := c.whole(3)
	key := int64(-1)
	if c.given(5) {
		key = int64(c.num(5))
	}
	var work time.Duration
	if options&1 != 0 && c.given(7) {
		work = ms(c.num(7))
	}
	tenant := c.whole(6) // a place among the tenants, absent or 0 where there are none
	id, group, budget := c.text(2), c.whole(8), ms(c.num(9))
	tables, memoryMB := int64(c.num(4)), c.num(10)
	if c.err == nil {
		d.scheduler.QueryArrived(now, id, group, tenant, budget, tables, key, work, memoryMB)
	}
}

func (d *instance) note(now time.Duration, c *fields) {
	x, what := c.num(3), c.whole(4)
	kind := scheduler.Progress
	switch {
	case what == 2:
		kind = scheduler.Spilling
	case what == 3 && x == 1:
		kind = scheduler.WaitingForMemory
	case what == 3:
		kind = scheduler.WaitingForLoad
	case what != 1:
		return
	}
	id, number := c.text(2), c.whole(6)
	if c.err == nil {
		d.scheduler.NoteReceived(now, id, number, kind, x)
	}
}

func (d *instance) attemptEnd(now time.Duration, c *fields) error {
	outcome, ok := outcomes[c.text(5)]
	if !ok && c.err == nil {
		return fmt.Errorf("unknown outcome %q", c.text(5))
	}
	var cost int64 // milliseconds of work and, in steps of 4, MB of memory
	if c.given(8) {
		cost = int64(c.num(8))
	}
	id, number, took, answered := c.text(2), c.whole(3), ms(c.num(6)), c.whole(7) == 1
	report := c.report(9)
	if c.err == nil {
		work, memoryMB := time.Duration(cost/4096)*time.Millisecond, float64(cost%4096*4)
		d.scheduler.AttemptEnded(now, id, number, outcome, took, answered, work, memoryMB, report)
	}
	return c.err
}

func (d *instance) healthCheckEnd(now time.Duration, c *fields) error {
	outcome, ok := outcomes[c.text(3)]
	if !ok && c.err == nil {
		return fmt.Errorf("unknown outcome %q", c.text(3))
	}
	engine, report := c.text(2), c.report(5)
	if c.err == nil {
		d.scheduler.HealthCheckEnded(now, engine, outcome, report)
	}
	return c.err
}

func (d *instance) list(now time.Duration, c *fields) error {
	scope := c.text(2)
	if scope == "refused" {
		d.scheduler.ListRefused(now)
		return c.err
	}
	if scope != "changes" && scope != "all" && scope != "remembered" {
		return fmt.Errorf("unknown scope %q", scope)
	}
	slot := c.whole(3)
	if c.err != nil {
		return c.err
	}
	if slot < 0 || slot >= len(d.lists) {
		return fmt.Errorf("no such list: %d", slot)
	}
	d.scheduler.ListStarted(now, scope != "changes")
	for _, entry := range d.lists[slot] {
		e := fields{f: entry}
		state, ok := states[e.text(5)]
		if !ok {
			return fmt.Errorf("unknown state %q", e.text(5))
		}
		var started time.Duration
		fresh := e.given(7) && e.num(7) != 0
		if fresh {
			started = ms(e.num(7) - d.epoch)
		}
		id, location, kind, cell := e.text(1), e.whole(2), e.whole(3), e.whole(4)
		if e.err != nil {
			return e.err
		}
		d.scheduler.EngineListed(id, location, kind, cell, state, started, fresh)
	}
	d.scheduler.ListEnded()
	return nil
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// fields reads the parts of a line; the first fault stays in err.
type fields struct {
	f   []string
	err error
}

func (c *fields) given(k int) bool { return k < len(c.f) && c.f[k] != "-" && c.f[k] != "" }

func (c *fields) text(k int) string {
	if k >= len(c.f) {
		c.fault(fmt.Errorf("part %d is missing", k))
		return ""
	}
	return c.f[k]
}

func (c *fields) num(k int) float64 {
	if !c.given(k) && k < len(c.f) {
		return 0
	}
	x, err := strconv.ParseFloat(c.text(k), 64)
	if err != nil {
		c.fault(fmt.Errorf("part %d is not a number: %q", k, c.text(k)))
	}
	return x
}

func (c *fields) whole(k int) int { return int(c.num(k)) }

func (c *fields) fault(err error) {
	if c.err == nil {
		c.err = err
	}
}

func (c *fields) report(k int) map[string]float64 {
	if !c.given(k) {
		return nil
	}
	report := map[string]float64{}
	for pair := range strings.SplitSeq(c.f[k], ",") {
		name, value, _ := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			c.fault(fmt.Errorf("part %d is not a load report: %q", k, c.f[k]))
			return nil
		}
		if ours := settings.ReportField(name); ours != "" {
			report[ours] = x
		}
	}
	return report
}
