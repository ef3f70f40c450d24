package lab

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/agree"
	"railrelay.dev/railrelay/internal/fleet/disk"
	"railrelay.dev/railrelay/internal/fleet/peers"
	"railrelay.dev/railrelay/internal/fleet/record"
	"railrelay.dev/railrelay/internal/standin/engine"
	"railrelay.dev/railrelay/internal/standin/feed"
)

// Many is a fleet of many processes that take no queries: what each costs, and how soon
// a change is in force on all.
type Many struct {
	Program     string // railrelay-fleet must stand beside it
	Controllers int    // 3 of them vote
	Lease       time.Duration
	Rest        time.Duration // in which they are looked at doing nothing
	Changes     int
	Entries     int // of the record that one controller starts with
}

// Cost is what Many saw.
type Cost struct {
	Serve        time.Duration // from the first start until all serve
	Bytes        float64       // sent to peers by a controller a second, at rest; of the leader too
	LeaderBytes  float64
	CPU          float64 // milliseconds of processor time of a controller a second, at rest
	LeaderCPU    float64
	Memory       float64         // MB resident of a controller, in the mean
	InForce      []time.Duration // from the first controller that says so to the last
	Asked        []time.Duration // from being asked for until that
	Start        time.Duration   // of one with Entries, until it serves
	SnapshotSize int
}

type one struct {
	name, control, setup, dir string
	cmd                       *exec.Cmd
	ended                     chan struct{}
	last                      string // line of its log; once it has ended
}

type said struct {
	version uint64
	at      time.Time
}

type throng struct {
	Many
	ctx    context.Context
	dir    string
	keys   peers.Keys
	feed   string
	all    []*one
	said   chan said
	voters string
}

const voting = 3

func (m Many) throng(ctx context.Context, feedAddress string, n int) (c *throng, err error) {
	c = &throng{Many: m, ctx: ctx, feed: feedAddress, said: make(chan said, 64*n)} // more than changes have lines
	if c.dir, err = os.MkdirTemp("", "railrelay-many"); err != nil {
		return c, err
	}
	file := filepath.Join(c.dir, "keys")
	if err = os.WriteFile(file, []byte(strings.Repeat("5e", 32)), 0o600); err != nil {
		return c, err
	}
	if c.keys, err = peers.ReadKeys(file); err != nil {
		return c, err
	}
	// an address of its own for each, with ports that stay: what is free at 127.0.0.1 now
	// may be some connection's the next moment
	at := func(i, port int) string {
		return fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()%240, i/250, i%250+1, port)
	}
	for i := range min(n, voting) {
		c.voters += fmt.Sprintf("    - {name: c%d, address: %q}\n", i, at(i, 7600))
	}
	for i := range n {
		o := &one{name: fmt.Sprint("c", i), control: at(i, 7601)}
		o.setup, o.dir = filepath.Join(c.dir, o.name+".yaml"), filepath.Join(c.dir, o.name)
		f := trialEngine()
		text := fmt.Sprintf(`name: %s
listen: %s
feed: %s
log: info
limits: {cores: 1, memory_mb: 64, sockets: 256}
engines: {controllers: %d, kinds: [{name: std, cores: %g, memory_mb: %g}], locations: [here], location: here}
groups: [{name: lookup, target: 1s, timeout: 30s, effect: read-only}]
fairness: {fields: {team: team}, trusted: [127.0.0.0/8], teams: [{name: a, weight: 1}, {name: b, weight: 1}]}
fleet:
  name: many
  listen: %s
  control: %s
  directory: %q
  keys: %q
  lease: %v
  voters:
%s`, o.name, at(i, 7602), c.feed, n, f.Cores, f.MemoryMB, at(i, 7600), o.control, o.dir, file, m.Lease, c.voters)
		if err = os.WriteFile(o.setup, []byte(text), 0o600); err != nil {
			return c, err
		}
		c.all = append(c.all, o)
	}
	return c, nil
}

func (c *throng) begin(o *one) error {
	o.cmd = exec.CommandContext(c.ctx, c.Program, "serve", "--setup", o.setup)
	out, err := o.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := o.cmd.Start(); err != nil {
		return err
	}
	o.ended = make(chan struct{})
	go func() {
		defer close(o.ended)
		for s := bufio.NewScanner(out); s.Scan(); {
			o.last = s.Text()
			if _, after, is := strings.Cut(s.Text(), "policy: version "); is && strings.Contains(after, "is in force") {
				version, _ := strconv.ParseUint(strings.Fields(after)[0], 10, 64)
				select {
				case c.said <- said{version, time.Now()}:
				default:
				}
			}
		}
		o.cmd.Wait()
	}()
	return nil
}

func (c *throng) close() {
	for _, o := range c.all {
		if o.cmd != nil && o.cmd.Process != nil {
			o.cmd.Process.Kill()
			<-o.ended
		}
	}
	os.RemoveAll(c.dir)
}

func (c *throng) ask(o *one, a *fleet.Ask) (*fleet.Reply, error) {
	ctx, stop := context.WithTimeout(c.ctx, time.Duration(a.Wait)*time.Millisecond+2*time.Second)
	defer stop()
	return peers.AskControl(ctx, o.control, c.keys, a)
}

func (c *throng) status(o *one) *fleet.Status {
	if r, err := c.ask(o, &fleet.Ask{Kind: "status", Wait: 500}); err == nil && r.Status != nil {
		return r.Status
	}
	return &fleet.Status{}
}

// serve waits until a controller serves.
func (c *throng) serve(o *one, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if s := c.status(o); s.Serves {
			return nil
		}
		select {
		case <-o.ended:
			return fmt.Errorf("%s has ended, and last said %q", o.name, o.last)
		default:
		}
	}
	return fmt.Errorf("%s doesn't serve within %v", o.name, within)
}

// spent is the processor time that a process has had, and what it has resident in MB.
func spent(pid int) (time.Duration, float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	f := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(f) < 22 {
		return 0, 0, errors.New("the process's figures can't be read")
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	pages, _ := strconv.Atoi(f[21])
	return time.Duration(user+system) * 10 * time.Millisecond, float64(pages*os.Getpagesize()) / (1 << 20), nil
}

// Measure starts all, looks at them at rest, changes the policy some times, and starts
// one with a long record.
func (m Many) Measure(ctx context.Context) (cost Cost, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	e, err := engine.Listen(ctx, "127.0.0.1:0", trialEngine(), false)
	if err != nil {
		return cost, err
	}
	defer e.Close()
	var list feed.Log
	list.Tell(true, feed.Engine{ID: "e0", HostPort: e.Addr().String(), Locality: "here", Flavor: "std", Cell: 1, Phase: "SERVING", Size: 1})
	f, err := feed.Listen(ctx, "127.0.0.1:0", &list)
	if err != nil {
		return cost, err
	}
	defer f.Close()
	c, err := m.throng(ctx, f.Addr().String(), m.Controllers)
	defer c.close()
	if err != nil {
		return cost, err
	}
	if err := m.together(c, &cost); err != nil {
		return cost, err
	}
	c.close()
	return cost, m.long(ctx, f.Addr().String(), &cost)
}

func (m Many) together(c *throng, cost *Cost) error {
	begin := time.Now()
	for _, o := range c.all {
		if err := c.begin(o); err != nil {
			return err
		}
	}
	for _, o := range c.all {
		if err := c.serve(o, time.Minute); err != nil {
			return err
		}
	}
	cost.Serve = time.Since(begin)
	time.Sleep(2 * m.Lease) // what joining has led to is over
	leader := c.status(c.all[0]).Leader
	type sight struct {
		cpu   time.Duration
		bytes int
	}
	look := func() (l []sight, err error) {
		for _, o := range c.all {
			n := c.status(o).Counts["wire_bytes_out"]
			cpu, _, err := spent(o.cmd.Process.Pid)
			if err != nil {
				return nil, err
			}
			l = append(l, sight{cpu, n})
		}
		return l, nil
	}
	before, err := look()
	if err != nil {
		return err
	}
	begin = time.Now()
	time.Sleep(m.Rest)
	after, err := look()
	if err != nil {
		return err
	}
	long := time.Since(begin).Seconds()
	for i, o := range c.all {
		sent, cpu := float64(after[i].bytes-before[i].bytes)/long, (after[i].cpu-before[i].cpu).Seconds()*1000/long
		if o.name == leader {
			cost.LeaderBytes, cost.LeaderCPU = sent, cpu
		} else {
			cost.Bytes += sent / float64(len(c.all)-1)
			cost.CPU += cpu / float64(len(c.all)-1)
		}
		_, memory, err := spent(o.cmd.Process.Pid)
		if err != nil {
			return err
		}
		cost.Memory += memory / float64(len(c.all))
	}
	for i := range m.Changes {
		for len(c.said) > 0 {
			<-c.said
		}
		base, asked := uint64(i+1), time.Now()
		a := &fleet.Ask{Kind: "apply", ID: fmt.Sprint("change-", i), Base: base, Wait: 20000,
			Policy: fmt.Appendf(nil, "fairness: {teams: [{name: a, weight: %d}, {name: b, weight: 1}]}\n", i+2)}
		r, err := c.ask(c.all[i%len(c.all)], a)
		if err != nil {
			return err
		}
		if r.Word != "in force" {
			return fmt.Errorf("change %d: %s %s", i, r.Word, r.Why)
		}
		var first, last time.Time
		for n, wait := 0, time.After(20*time.Second); n < len(c.all); {
			select {
			case s := <-c.said:
				if s.version != base+1 {
					continue
				}
				if n++; first.IsZero() || s.at.Before(first) {
					first = s.at
				}
				if s.at.After(last) {
					last = s.at
				}
			case <-wait:
				return fmt.Errorf("version %d is in force on %d of %d", base+1, n, len(c.all))
			}
		}
		cost.InForce, cost.Asked = append(cost.InForce, last.Sub(first)), append(cost.Asked, last.Sub(asked))
	}
	slices.Sort(cost.InForce)
	slices.Sort(cost.Asked)
	return nil
}

// long starts a voter whose record has Entries, all but the last 2,000 in a snapshot. It
// is the only one of its fleet that can vote alone: with others' votes missing it would
// wait for them.
func (m Many) long(ctx context.Context, feedAddress string, cost *Cost) error {
	c, err := m.throng(ctx, feedAddress, 1)
	defer c.close()
	if err != nil {
		return err
	}
	o := c.all[0]
	kept, err := longRecord(o.name, m.Entries)
	if err != nil {
		return err
	}
	cost.SnapshotSize = len(kept.Snapshot.Data)
	d, _, err := disk.Open(o.dir, func() string { return "long" })
	if err != nil {
		return err
	}
	if err := errors.Join(d.Write(kept), d.Close()); err != nil {
		return err
	}
	begin := time.Now()
	if err := c.begin(o); err != nil {
		return err
	}
	if err := c.serve(o, time.Minute); err != nil {
		return err
	}
	cost.Start = time.Since(begin)
	if s := c.status(o); s.Index < uint64(m.Entries) || s.Version < uint64(m.Entries/4) {
		return fmt.Errorf("it serves by version %d at entry %d of %d", s.Version, s.Index, m.Entries)
	}
	return nil
}

// longRecord is what the disk of a fleet's only voter holds after so many entries of
// changes of policy, by way of its own agreement.
func longRecord(name string, entries int) (kept agree.Kept, err error) {
	b := agree.Begin{Self: name, Voters: []agree.Voter{{Name: name, Address: "127.0.0.1:1"}}, Seed: 1, Election: time.Second, Heartbeat: 100 * time.Millisecond}
	core, effects, err := agree.New(b)
	if err != nil {
		return kept, err
	}
	state, leads, now, stores := record.NewState(), false, time.Duration(0), 0
	take := func(l []agree.Effect) error {
		for _, e := range l {
			switch e.Kind {
			case agree.Store:
				kept = agree.Kept{Hard: keepOr(e.Kept.Hard, kept.Hard), Records: appended(kept, e.Kept), Snapshot: kept.Snapshot}
				if e.Kept.Snapshot != nil {
					kept.Snapshot = e.Kept.Snapshot
				}
				stores++
			case agree.Decided:
				data := e.Record.Data
				if e.Record.Conf {
					data = nil
				}
				if err := state.Apply(e.Record.Index, data); err != nil {
					return err
				}
			case agree.Led:
				leads = e.Leader == name
			}
		}
		return nil
	}
	step := func(ev agree.Event) error {
		err := take(core.Step(now, ev))
		for err == nil && stores > 0 {
			stores--
			err = take(core.Step(now, agree.Event{Kind: agree.Stored}))
		}
		return err
	}
	if err := take(effects); err != nil {
		return kept, err
	}
	if stores > 0 {
		stores--
		if err := step(agree.Event{Kind: agree.Stored}); err != nil {
			return kept, err
		}
	}
	for !leads {
		if now = max(now+time.Millisecond, core.Due()); now > time.Minute {
			return kept, errors.New("a voter that is alone doesn't lead")
		}
		if err := step(agree.Event{Kind: agree.Tick}); err != nil {
			return kept, err
		}
	}
	for state.Index < uint64(entries) {
		id := fmt.Sprint("change-", state.Index)
		for _, e := range []*fleet.Entry{{Kind: fleet.Propose, ID: id, By: "operator", Base: state.Version,
			Policy: fmt.Appendf(nil, "fairness: {teams: [{name: a, weight: %d}, {name: b, weight: 1}]}\n", state.Version%9+1)},
			{Kind: fleet.Close, ID: id}, {Kind: fleet.Force, ID: id}, {Kind: fleet.Settle, ID: id}} {
			if err := step(agree.Event{Kind: agree.Propose, Data: record.Encode(e)}); err != nil {
				return kept, err
			}
		}
		if state.Index >= uint64(entries)-2000 && kept.Snapshot == nil {
			if err := step(agree.Event{Kind: agree.Compacted, Snapshot: &agree.Snapshot{Index: state.Index, Data: state.Encode()}}); err != nil {
				return kept, err
			}
		}
	}
	return kept, nil
}

func keepOr(next, before []byte) []byte {
	if next != nil {
		return next
	}
	return before
}

// appended are the records that stay once k is written.
func appended(before agree.Kept, k *agree.Kept) []agree.Record {
	l := before.Records
	if k.Snapshot != nil {
		return slices.Clone(k.Records)
	}
	if len(k.Records) > 0 {
		for len(l) > 0 && l[len(l)-1].Index >= k.Records[0].Index {
			l = l[:len(l)-1]
		}
	}
	return append(l, k.Records...)
}

// Print tells it in lines.
func (m Many) Print(out io.Writer, c Cost) {
	most := func(l []time.Duration) (mid, last float64) { return inMS(l[len(l)/2]), inMS(l[len(l)-1]) }
	force, forceMost := most(c.InForce)
	asked, askedMost := most(c.Asked)
	fmt.Fprintf(out, "%d processes, %d vote, lease %v: all serve %.1f s after the first was started\n", m.Controllers, voting, m.Lease, c.Serve.Seconds())
	fmt.Fprintf(out, "at rest, a controller a second: %.0f bytes to peers, %.1f ms of processor time; the leader: %.0f bytes, %.1f ms\n", c.Bytes, c.CPU,
		c.LeaderBytes, c.LeaderCPU)
	fmt.Fprintf(out, "memory: %.1f MB resident each\n", c.Memory)
	fmt.Fprintf(out, "%d changes: decided to in force on all %.1f ms (at most %.1f), asked to in force on all %.0f ms (at most %.0f)\n", len(c.InForce), force,
		forceMost, asked, askedMost)
	fmt.Fprintf(out, "start with a record of %d entries, all but 2000 in a snapshot of %d bytes: serves after %.2f s\n", m.Entries, c.SnapshotSize, c.Start.Seconds())
}
