package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/transport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

// testProcess is a process of simulated controllers inside the test.
type testProcess struct {
	t        *testing.T
	commands *json.Encoder
	events   chan Event
	keys     transport.Keys
	control  string
	serving  map[string]uint64 // version by controller, from the events read so far
}

// startTestProcess starts five controllers, three of them voters; the first listens for operators.
func startTestProcess(t *testing.T, block int) *testProcess {
	file := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(file, []byte(strings.Repeat("5e", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	keys, err := transport.ReadKeys(file)
	if err != nil {
		t.Fatal(err)
	}
	config := Config{Fleet: "hollow", Keys: file, Lease: time.Second, Election: 200 * time.Millisecond, Heartbeat: 40 * time.Millisecond,
		WriteDelay: time.Millisecond, Seed: 7, Places: map[string]Place{}, Links: Links{Zone: time.Millisecond, Regions: 5 * time.Millisecond, Jitter: 0.1}}
	for i := range 5 {
		host := fmt.Sprintf("127.78.%d.%d", block, i+1)
		m := Member{Name: fmt.Sprint("h", i), ListenAddress: freePort(t, host), Place: Place{Region: []string{"east", "west"}[i/3], Zone: fmt.Sprint("z", i%2)}}
		if i == 0 {
			m.ControlAddress = freePort(t, host)
		}
		config.Places[host] = m.Place
		config.Controllers = append(config.Controllers, m)
		if i < 3 {
			config.Voters = append(config.Voters, Peer{m.Name, m.ListenAddress})
		}
	}
	in, commands := io.Pipe()
	events, out := io.Pipe()
	p := &testProcess{t: t, commands: json.NewEncoder(commands), events: make(chan Event, 1000), keys: keys, control: config.Controllers[0].ControlAddress, serving: map[string]uint64{}}
	done := make(chan error, 1)
	go func() { done <- Run(t.Context(), in, out); out.Close() }()
	read := make(chan struct{})
	go func() {
		defer close(read)
		for lines := bufio.NewScanner(events); lines.Scan(); {
			var e Event
			if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
				t.Error(err)
			}
			p.events <- e
		}
	}()
	t.Cleanup(func() {
		commands.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
		<-read
	})
	if err := p.commands.Encode(config); err != nil {
		t.Fatal(err)
	}
	p.send(Command{Do: Start})
	p.until(func(Event) bool { return len(p.serving) == 5 })
	return p
}

func freePort(t *testing.T, host string) string {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (p *testProcess) send(c Command) {
	p.t.Helper()
	if err := p.commands.Encode(c); err != nil {
		p.t.Fatal(err)
	}
}

// until reads events until so returns true for one, and returns that event.
func (p *testProcess) until(so func(Event) bool) Event {
	p.t.Helper()
	for wait := time.After(testTimeout); ; {
		select {
		case e := <-p.events:
			switch e.Kind {
			case Serving:
				p.serving[e.Name] = e.Version
			case Ended:
				delete(p.serving, e.Name)
			case Failed:
				p.t.Fatalf("%+v", e)
			}
			if so(e) {
				return e
			}
		case <-wait:
			p.t.Fatalf("timed out waiting for an event; serving: %v", p.serving)
		}
	}
}

// apply changes the policy and returns the response.
func (p *testProcess) apply(id string, base uint64) *fleet.Response {
	p.t.Helper()
	ctx, stop := context.WithTimeout(p.t.Context(), testTimeout)
	defer stop()
	r, err := transport.SendControlRequest(ctx, p.control, p.keys, &fleet.Request{Kind: "apply", ID: id, BaseVersion: base, Policy: []byte("# " + id), WaitMs: 15000})
	if err != nil {
		p.t.Fatal(err)
	}
	return r
}

func (p *testProcess) allServe(version uint64, names int) func(Event) bool {
	return func(Event) bool {
		n := 0
		for _, v := range p.serving {
			if v == version {
				n++
			}
		}
		return n == names
	}
}

func TestPolicyChangeReachesAllControllers(t *testing.T) {
	t.Parallel()
	p := startTestProcess(t, 1)
	if r := p.apply("first", 1); r.Outcome != "in force" || r.Version != 2 {
		t.Fatalf("%+v", r)
	}
	e := p.until(p.allServe(2, 5))
	if e.Policy != digest([]byte("# first")) {
		t.Errorf("it serves under policy %x", e.Policy)
	}
	p.send(Command{Do: Report, Round: 3, Names: []string{"h4"}})
	e = p.until(func(e Event) bool { return e.Kind == Counted })
	if c := e.Counts; e.Name != "h4" || e.Round != 3 || c.BytesOut < 500 || c.BytesIn < 500 || c.MessagesOut < 3 || c.MessagesIn < 3 {
		t.Errorf("%+v %+v", e, c)
	}
}

func TestPausedControllerStopsServingAtLeaseEnd(t *testing.T) {
	t.Parallel()
	p := startTestProcess(t, 2)
	at := time.Now()
	p.send(Command{Do: Pause, Names: []string{"h4"}})
	e := p.until(func(e Event) bool { return e.Name == "h4" && e.Kind == Ended })
	if over := time.Unix(0, e.At).Sub(at); e.Reason != "lease" || over > 1100*time.Millisecond {
		t.Errorf("it served for %v after the pause: %+v", over, e)
	}
	if r := p.apply("without it", 1); r.Outcome != "in force" {
		t.Fatalf("%+v", r)
	}
	p.send(Command{Do: Resume, Names: []string{"h4"}})
	e = p.until(func(e Event) bool { return e.Name == "h4" && e.Kind == Serving })
	if e.Version != 2 {
		t.Errorf("it serves under version %d after the change", e.Version)
	}
}

func TestStoppedControllerRestartsFromItsStore(t *testing.T) {
	t.Parallel()
	p := startTestProcess(t, 3)
	p.send(Command{Do: Stop, Names: []string{"h1", "h3"}})
	p.until(func(Event) bool { return len(p.serving) == 3 })
	if r := p.apply("while two are down", 1); r.Outcome != "in force" {
		t.Fatalf("%+v", r)
	}
	p.send(Command{Do: Start})
	p.until(p.allServe(2, 5))
}

func TestCutIsolatesRegions(t *testing.T) {
	t.Parallel()
	p := startTestProcess(t, 4)
	p.send(Command{Do: Cut})
	p.until(func(Event) bool { return len(p.serving) == 3 })
	if p.serving["h3"] != 0 || p.serving["h4"] != 0 {
		t.Errorf("serving: %v", p.serving)
	}
	p.send(Command{Do: Heal})
	p.until(p.allServe(1, 5))
}

func TestMergeKeepsWhatADiskWouldKeep(t *testing.T) {
	record := func(index, term uint64) consensus.LogEntry { return consensus.LogEntry{Index: index, Term: term} }
	kept := Merge(consensus.PersistentState{}, consensus.PersistentState{HardState: []byte("a"), Entries: []consensus.LogEntry{record(1, 1), record(2, 1), record(3, 1)}})
	next := Merge(kept, consensus.PersistentState{Entries: []consensus.LogEntry{record(2, 2)}})
	if len(next.Entries) != 2 || next.Entries[1].Term != 2 || string(next.HardState) != "a" || kept.Entries[1].Term != 1 {
		t.Errorf("merged state %+v, previous state %+v", next, kept)
	}
	next = Merge(next, consensus.PersistentState{HardState: []byte("b"), Snapshot: &consensus.Snapshot{Index: 2}, Entries: []consensus.LogEntry{record(2, 2), record(3, 2)}})
	if len(next.Entries) != 2 || next.Snapshot.Index != 2 || string(next.HardState) != "b" {
		t.Errorf("%+v", next)
	}
	if next = Merge(next, consensus.PersistentState{Snapshot: &consensus.Snapshot{Index: 9}}); len(next.Entries) != 0 {
		t.Errorf("%+v", next)
	}
}
