package faultproxy

import (
	"fmt"
	"net"
	"sync"
)

// Mesh has a link for each ordered pair of named processes. The link from a to b forwards the
// connections that a opens.
//
// Address returns an address for one pair. Where all processes need the same address for b (the
// fleet's record has one for each member), they use SharedAddress(b), and each connects from its
// own loopback address SourceAddress(a), by which the mesh selects the link. SourceAddress requires
// that all of 127/8 is local, as on Linux.
type Mesh struct {
	names []string
	links map[[2]string]*Link
	wg    sync.WaitGroup

	mu        sync.Mutex
	listeners map[string]net.Listener
}

// NewMesh creates the links between processes. SetTarget sets their targets.
func NewMesh(names ...string) *Mesh {
	m := &Mesh{names: names, links: map[[2]string]*Link{}, listeners: map[string]net.Listener{}}
	for _, a := range names {
		for _, b := range names {
			if a != b {
				m.links[[2]string{a, b}] = newLink("")
			}
		}
	}
	return m
}

// SetTarget sets the address of a process. Until then, connections to the process are closed.
func (m *Mesh) SetTarget(name, address string) {
	for pair, l := range m.links {
		if pair[1] == name {
			l.SetTarget(address)
		}
	}
}

// Link returns the link of a pair, or nil.
func (m *Mesh) Link(from, to string) *Link { return m.links[[2]string{from, to}] }

// Address returns the address at which one process reaches another by their own listener.
func (m *Mesh) Address(from, to string) (string, error) {
	return m.listen(from+" to "+to, m.Link(from, to).accept)
}

// SharedAddress returns the address at which all processes reach a process, each from its own
// SourceAddress. Connections from other addresses are closed.
func (m *Mesh) SharedAddress(to string) (string, error) {
	return m.listen("to "+to, func(c *net.TCPConn) {
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		for _, from := range m.names {
			if l := m.Link(from, to); l != nil && m.SourceAddress(from) == host {
				l.accept(c)
				return
			}
		}
		c.Close()
	})
}

func (m *Mesh) listen(name string, carry func(*net.TCPConn)) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.listeners[name]
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return "", err
		}
		m.listeners[name] = l
		m.wg.Go(func() { acceptAll(l, carry) })
	}
	return l.Addr().String(), nil
}

// SourceAddress returns the loopback IP address that a process listens on and connects from.
func (m *Mesh) SourceAddress(name string) string {
	for i, n := range m.names {
		if n == name {
			return fmt.Sprintf("127.77.%d.%d", i/250, 1+i%250)
		}
	}
	return ""
}

// SetFault sets a fault on the links from one process to another; "" selects any process.
func (m *Mesh) SetFault(from, to string, f Fault) {
	for _, a := range m.names { // in order, so that a seeded test is reproducible
		for _, b := range m.names {
			if l := m.Link(a, b); l != nil && (from == "" || from == a) && (to == "" || to == b) {
				l.SetFault(f)
			}
		}
	}
}

// Cut holds all bytes between two processes; their connections stay open.
func (m *Mesh) Cut(a, b string) {
	m.SetFault(a, b, Fault{Kind: Cut, Silent: true})
	m.SetFault(b, a, Fault{Kind: Cut, Silent: true})
}

// Isolate cuts one process off from all others, in both directions.
func (m *Mesh) Isolate(a string) {
	m.SetFault(a, "", Fault{Kind: Cut, Silent: true})
	m.SetFault("", a, Fault{Kind: Cut, Silent: true})
}

// Heal removes all faults.
func (m *Mesh) Heal() { m.SetFault("", "", Fault{}) }

// Play reports an event to a script and sets the faults that are due.
func (m *Mesh) Play(s *Script, event string) {
	for _, step := range s.OnEvent(event) {
		m.SetFault(step.From, step.To, step.Fault)
	}
}

// HitCounts returns the sum of HitCounts over all links.
func (m *Mesh) HitCounts() map[string]int {
	sum := map[string]int{}
	for _, l := range m.links {
		for kind, n := range l.HitCounts() {
			sum[kind] += n
		}
	}
	return sum
}

// Close closes all listeners and links and waits for their goroutines.
func (m *Mesh) Close() {
	m.mu.Lock()
	for _, l := range m.listeners {
		l.Close()
	}
	m.mu.Unlock()
	m.wg.Wait()
	for _, l := range m.links {
		l.Close()
	}
}
