package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/feed"
	"railrelay.dev/railrelay/internal/emulator/hollow"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/storage"
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
	Bytes        float64       // of frames sent to peers by a controller a second, at rest; of the leader too
	LeaderBytes  float64
	CPU          float64 // milliseconds of processor time of a controller a second, at rest
	LeaderCPU    float64
	Memory       float64         // MB resident of a controller, in the mean
	InForce      []time.Duration // from the first controller that says so to the last
	Asked        []time.Duration // from being asked for until that
	Start        time.Duration   // of one with Entries, until it serves
	SnapshotSize int
}

const (
	voting         = 3
	serveWithin    = time.Minute
	inForceWithin  = 20 * time.Second
	startPollPause = 5 * time.Millisecond
)

// processFleet is a fleet whose controllers all are processes.
type processFleet struct {
	Many
	*workplace
	ctx         context.Context
	controllers []*controllerProcess
	applied     chan applied
}

// prepare writes the set-ups of n controllers, which aren't started yet.
func (m Many) prepare(ctx context.Context, feedAddress string, n int) (*processFleet, error) {
	place, err := newWorkplace("railrelay-many")
	if err != nil {
		return nil, err
	}
	// more than changes have lines
	f := &processFleet{Many: m, workplace: place, ctx: ctx, applied: make(chan applied, 64*n)}
	// an address of its own for each, with ports that stay: what is free at 127.0.0.1 now
	// may be some connection's the next moment
	at := func(i, port int) string {
		return fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()%240, i/250, i%250+1, port)
	}
	var voters []hollow.Peer
	for i := range min(n, voting) {
		voters = append(voters, hollow.Peer{Name: fmt.Sprint("c", i), Address: at(i, 7600)})
	}
	for i := range n {
		name := fmt.Sprint("c", i)
		p := &controllerProcess{name: name, program: m.Program, setupFile: f.path(name + ".yaml"), directory: f.path(name),
			operator: operator{at(i, 7601), place.keys}, onApplied: f.tell}
		s := controllerSetup{Name: name, Clients: at(i, 7602), Feed: feedAddress, Controllers: n, Zones: []string{"here"}, Zone: "here", MemoryMB: 64,
			Sockets: 256, Fleet: "many", Listen: at(i, 7600), Operators: p.control, Directory: p.directory, Keys: place.keyFile, Lease: m.Lease, Voters: voters}
		if err := os.WriteFile(p.setupFile, []byte(s.text()), 0o600); err != nil {
			f.close()
			return nil, err
		}
		f.controllers = append(f.controllers, p)
	}
	return f, nil
}

// tell keeps a line of a log; one that there is no room for is of nothing waited for.
func (f *processFleet) tell(a applied) {
	select {
	case f.applied <- a:
	default:
	}
}

func (f *processFleet) close() {
	for _, p := range f.controllers {
		p.kill()
	}
	f.remove()
}

// startAll starts all and waits until they serve.
func (f *processFleet) startAll() error {
	for _, p := range f.controllers {
		if err := p.start(f.ctx); err != nil {
			return err
		}
	}
	for _, p := range f.controllers {
		if err := p.awaitServing(f.ctx, serveWithin, startPollPause); err != nil {
			return err
		}
	}
	return nil
}

// oneEngine listens as one idle engine and as the feed that lists it.
func oneEngine(ctx context.Context) (address string, end func(), err error) {
	e, err := engine.Listen(ctx, "127.0.0.1:0", trialEngineConfig(), false)
	if err != nil {
		return "", nil, err
	}
	var list feed.Log
	list.Append(true, feed.Engine{ID: "e0", HostPort: e.Addr().String(), Locality: "here", Flavor: "std", Cell: 1, Phase: "SERVING", Size: 1})
	f, err := feed.Listen(ctx, "127.0.0.1:0", &list)
	if err != nil {
		e.Close()
		return "", nil, err
	}
	return f.Addr().String(), func() { f.Close(); e.Close() }, nil
}

// Measure starts all, looks at them at rest, changes the policy some times, and starts
// one with a long record.
func (m Many) Measure(ctx context.Context) (cost Cost, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	address, end, err := oneEngine(ctx)
	if err != nil {
		return cost, err
	}
	defer end()
	if err := m.measureAll(ctx, address, &cost); err != nil {
		return cost, err
	}
	return cost, m.measureLongStart(ctx, address, &cost)
}

func (m Many) measureAll(ctx context.Context, feedAddress string, cost *Cost) error {
	f, err := m.prepare(ctx, feedAddress, m.Controllers)
	if err != nil {
		return err
	}
	defer f.close()
	begin := time.Now()
	if err := f.startAll(); err != nil {
		return err
	}
	cost.Serve = time.Since(begin)
	time.Sleep(2 * m.Lease) // what joining has led to is over
	if err := f.measureRest(cost); err != nil {
		return err
	}
	for i := range m.Changes {
		if err := f.measureChange(i, cost); err != nil {
			return err
		}
	}
	slices.Sort(cost.InForce)
	slices.Sort(cost.Asked)
	return nil
}

// usageAtRest is what a controller has used up to a moment.
type usageAtRest struct {
	processUsage
	frameBytes int
}

func (f *processFleet) usage() (all []usageAtRest, err error) {
	for _, p := range f.controllers {
		sent := p.status(f.ctx).Counts["wire_bytes_out"]
		used, err := usageOf(p.command.Process.Pid)
		if err != nil {
			return nil, err
		}
		all = append(all, usageAtRest{used, sent})
	}
	return all, nil
}

func (f *processFleet) measureRest(cost *Cost) error {
	leader := f.controllers[0].status(f.ctx).Leader
	before, err := f.usage()
	if err != nil {
		return err
	}
	begin := time.Now()
	time.Sleep(f.Rest)
	after, err := f.usage()
	if err != nil {
		return err
	}
	seconds := time.Since(begin).Seconds()
	for i, p := range f.controllers {
		sent := float64(after[i].frameBytes-before[i].frameBytes) / seconds
		cpu := inMS(after[i].CPU-before[i].CPU) / seconds
		if p.name == leader {
			cost.LeaderBytes, cost.LeaderCPU = sent, cpu
		} else {
			cost.Bytes += sent / float64(len(f.controllers)-1)
			cost.CPU += cpu / float64(len(f.controllers)-1)
		}
		cost.Memory += after[i].Resident / float64(len(f.controllers))
	}
	return nil
}

// measureChange asks for the change i, at one controller after the other.
func (f *processFleet) measureChange(i int, cost *Cost) error {
	for len(f.applied) > 0 {
		<-f.applied
	}
	base, asked := uint64(i+1), time.Now()
	a := &fleet.Request{Kind: "apply", ID: fmt.Sprint("change-", i), BaseVersion: base, WaitMs: inForceWithin.Milliseconds(),
		Policy: fmt.Appendf(nil, "fairness: {teams: [{name: a, weight: %d}, {name: b, weight: 1}]}\n", i+2)}
	r, err := f.controllers[i%len(f.controllers)].ask(f.ctx, a)
	if err != nil {
		return err
	}
	if r.Outcome != "in force" {
		return fmt.Errorf("change %d: %s %s", i, r.Outcome, r.Reason)
	}
	first, last, err := f.awaitApplied(base + 1)
	if err != nil {
		return err
	}
	cost.InForce, cost.Asked = append(cost.InForce, last.Sub(first)), append(cost.Asked, last.Sub(asked))
	return nil
}

// awaitApplied waits until all logs have had a version, and gives the first and last time.
func (f *processFleet) awaitApplied(version uint64) (first, last time.Time, err error) {
	for n, wait := 0, time.After(inForceWithin); n < len(f.controllers); {
		select {
		case a := <-f.applied:
			if a.Version != version {
				continue
			}
			if n++; first.IsZero() || a.At.Before(first) {
				first = a.At
			}
			if a.At.After(last) {
				last = a.At
			}
		case <-wait:
			return first, last, fmt.Errorf("version %d is in force on %d of %d", version, n, len(f.controllers))
		}
	}
	return first, last, nil
}

// startFrom starts a voter from a record. It is the only one of its fleet, so that it can
// vote alone: with others' votes missing it would wait for them.
func (m Many) startFrom(ctx context.Context, feedAddress string, kept consensus.PersistentState) (f *processFleet, took time.Duration, err error) {
	f, err = m.prepare(ctx, feedAddress, 1)
	if err != nil {
		return nil, 0, err
	}
	store, _, err := storage.Open(f.controllers[0].directory, func() string { return "long" })
	if err == nil {
		err = errors.Join(store.Write(kept), store.Close())
	}
	begin := time.Now()
	if err == nil {
		err = f.startAll()
	}
	if err != nil {
		f.close()
		return nil, 0, err
	}
	return f, time.Since(begin), nil
}

// onlyVoter is the name of the controller that startFrom starts.
const onlyVoter = "c0"

// measureLongStart starts a voter whose record has Entries, all but the last 2,000 in a
// snapshot.
func (m Many) measureLongStart(ctx context.Context, feedAddress string, cost *Cost) error {
	kept, err := longRecord(onlyVoter, m.Entries)
	if err != nil {
		return err
	}
	cost.SnapshotSize = len(kept.Snapshot.Data)
	f, took, err := m.startFrom(ctx, feedAddress, kept)
	if err != nil {
		return err
	}
	defer f.close()
	cost.Start = took
	if s := f.controllers[0].status(ctx); s.Index < uint64(m.Entries) || s.Version < uint64(m.Entries/entriesOfChange) {
		return fmt.Errorf("it serves by version %d at entry %d of %d", s.Version, s.Index, m.Entries)
	}
	return nil
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
