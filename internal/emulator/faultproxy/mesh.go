package faultproxy

import (
	"fmt"
	"net"
	"sync"
)

// Mesh has a link for every ordered pair of named processes: the one from a to b carries
// the connections that a makes.
//
// A process may be told of another by Address, which is the pair's own. Where all have to
// name b by the same address (the fleet's record has one for each member), they use
// Front(b), and each connects from its own loopback address Source(a): the front tells
// by it whose link a connection goes through. Source works where all of 127/8 is local,
// as on Linux.
type Mesh struct {
	names []string
	pairs map[[2]string]*Link
	wg    sync.WaitGroup

	mu     sync.Mutex
	fronts map[string]net.Listener
}

// NewMesh makes the links. Targets come later.
func NewMesh(names ...string) *Mesh {
	m := &Mesh{names: names, pairs: map[[2]string]*Link{}, fronts: map[string]net.Listener{}}
	for _, a := range names {
		for _, b := range names {
			if a != b {
				m.pairs[[2]string{a, b}] = bare("")
			}
		}
	}
	return m
}

// Target says where a process listens. Until then, connections to it are closed.
func (m *Mesh) SetTarget(name, address string) {
	for pair, l := range m.pairs {
		if pair[1] == name {
			l.SetTarget(address)
		}
	}
}

// Link is that of a pair, nil if there is none.
func (m *Mesh) Link(from, to string) *Link { return m.pairs[[2]string{from, to}] }

// Address is where one process reaches another by a listener of the pair's own.
func (m *Mesh) Address(from, to string) (string, error) {
	return m.listen(from+" to "+to, m.Link(from, to).carry)
}

// Front is where all reach a process, each from its own Source. Who comes from no
// process's source is closed.
func (m *Mesh) SharedAddress(to string) (string, error) {
	return m.listen("to "+to, func(c *net.TCPConn) {
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		for _, from := range m.names {
			if l := m.Link(from, to); l != nil && m.SourceAddress(from) == host {
				l.carry(c)
				return
			}
		}
		c.Close()
	})
}

func (m *Mesh) listen(name string, carry func(*net.TCPConn)) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.fronts[name]
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return "", err
		}
		m.fronts[name] = l
		m.wg.Go(func() { accept(l, carry) })
	}
	return l.Addr().String(), nil
}

// Source is the address that a process listens on and connects from.
func (m *Mesh) SourceAddress(name string) string {
	for i, n := range m.names {
		if n == name {
			return fmt.Sprintf("127.77.%d.%d", i/250, 1+i%250)
		}
	}
	return ""
}

// Set puts a fault on the links from one process to another, "" is any.
func (m *Mesh) SetFault(from, to string, f Fault) {
	for _, a := range m.names { // in order, so that a seeded test is the same each time
		for _, b := range m.names {
			if l := m.Link(a, b); l != nil && (from == "" || from == a) && (to == "" || to == b) {
				l.SetFault(f)
			}
		}
	}
}

// Cut lets nothing pass between two processes; connections stay and hear nothing.
func (m *Mesh) Cut(a, b string) {
	m.SetFault(a, b, Fault{Kind: Cut, Silent: true})
	m.SetFault(b, a, Fault{Kind: Cut, Silent: true})
}

// Isolate cuts one process off from all others.
func (m *Mesh) Isolate(a string) {
	m.SetFault(a, "", Fault{Kind: Cut, Silent: true})
	m.SetFault("", a, Fault{Kind: Cut, Silent: true})
}

// Heal ends all faults.
func (m *Mesh) Heal() { m.SetFault("", "", Fault{}) }

// Play tells a script of an event and sets what is due by it.
func (m *Mesh) Play(s *Script, event string) {
	for _, step := range s.OnEvent(event) {
		m.SetFault(step.From, step.To, step.Fault)
	}
}

// Struck is the sum over all links.
func (m *Mesh) HitCounts() map[string]int {
	sum := map[string]int{}
	for _, l := range m.pairs {
		for kind, n := range l.HitCounts() {
			sum[kind] += n
		}
	}
	return sum
}

// Close closes all links and waits for their goroutines.
func (m *Mesh) Close() {
	m.mu.Lock()
	for _, l := range m.fronts {
		l.Close()
	}
	m.mu.Unlock()
	m.wg.Wait()
	for _, l := range m.pairs {
		l.Close()
	}
}
