// Package faultproxy is a stand-in for the network between processes of a test: a TCP proxy
// on loopback that puts faults on what passes. fault.go is the pure part: what a fault
// does to some bytes, and scripts of faults. link.go has the sockets, mesh.go one link
// for every ordered pair of processes.
package faultproxy

import (
	"math/rand/v2"
	"time"
)

// Kind is what a fault does.
type Kind string

const (
	Heal      Kind = ""       // nothing: what was held passes, and connections that lost bytes are reset
	Cut       Kind = "cut"    // nothing passes either way: connections are closed, with Silent they stay and all is held
	OneWay    Kind = "oneway" // bytes of one Way are lost, with Hold they wait
	Slow      Kind = "slow"   // Rate bytes a second pass
	Delay     Kind = "delay"  // bytes come By later, and up to Jitter more, in their order
	Reset     Kind = "reset"  // connections that stand are reset, once; new ones are fine
	Stall     Kind = "stall"  // each connection stops once After bytes have passed since it was set
	Duplicate Kind = "double" // what goes to the target goes there once more by another connection, after its answer began
)

// Way is a direction, seen from who connects.
type Direction int

const (
	Both       Direction = iota
	ToTarget             // to the target
	FromTarget           // from it
)

// Fault is what a link does to all of its connections until another one is set. Way
// counts for OneWay, Slow, Delay and Stall.
type Fault struct {
	Kind            Kind
	Direction       Direction
	Silent          bool // Cut
	Hold            bool // OneWay
	Rate            int  // Slow: bytes a second, at least 1
	Latency, Jitter time.Duration
	Seed            uint64 // of the jitter
	AfterBytes      int64  // Stall: bytes
}

// verdict is what happens to bytes that wait.
type verdict struct {
	take int           // so many pass now; none and no wait: hold until another fault is set
	drop bool          // they are lost
	wait time.Duration // before they pass
	hit  bool          // the fault really did something
}

// over says what a fault does to n waiting bytes of a connection that has passed
// some since the fault was set. late is what Delay drew for them, age since they came.
func (f Fault) over(way Direction, n int, passed int64, late, age time.Duration) verdict {
	if f.Direction != Both && f.Direction != way {
		return verdict{take: n}
	}
	switch f.Kind {
	case Cut:
		return verdict{hit: true}
	case OneWay:
		return verdict{drop: !f.Hold, hit: true}
	case Slow:
		rate := max(f.Rate, 1)
		n = min(n, max(rate/50, 1))
		return verdict{take: n, wait: time.Duration(n) * time.Second / time.Duration(rate), hit: true}
	case Delay:
		return verdict{take: n, wait: max(late-age, 0), hit: late > 0}
	case Stall:
		left := max(f.AfterBytes-passed, 0)
		return verdict{take: int(min(int64(n), left)), hit: int64(n) > left}
	}
	return verdict{take: n}
}

// blocks says whether nothing of a way passes at all, so that no connection comes about.
func (f Fault) blocks(way Direction) bool {
	return f.Kind == Cut || f.Kind == OneWay && (f.Direction == Both || f.Direction == way)
}

// late draws what Delay adds to some bytes.
func (f Fault) late(r *rand.Rand) time.Duration {
	if f.Jitter <= 0 {
		return f.Latency
	}
	return f.Latency + time.Duration(r.Int64N(int64(f.Jitter)))
}

// Draw makes a fault by chance: any kind but Heal, with figures that a test of some
// seconds can bear.
func RandomFault(r *rand.Rand) Fault {
	kinds := []Kind{Cut, OneWay, Slow, Delay, Reset, Stall, Duplicate}
	f := Fault{Kind: kinds[r.IntN(len(kinds))], Silent: r.IntN(2) == 0, Hold: r.IntN(2) == 0, Seed: r.Uint64()}
	switch f.Kind {
	case OneWay:
		f.Direction = ToTarget + Direction(r.IntN(2))
	case Slow:
		f.Rate = 1000 << r.IntN(8)
	case Delay:
		f.Latency, f.Jitter = time.Duration(r.IntN(50))*time.Millisecond, time.Duration(1+r.IntN(50))*time.Millisecond
	case Stall:
		f.Direction, f.AfterBytes = ToTarget+Direction(r.IntN(2)), int64(r.IntN(2000))
	}
	return f
}

// Step sets a fault once an event has happened Nth times (0 is 1) since the step before
// it. Without an event it goes together with the step before it. From and To say which
// links of a Mesh, "" any.
type Step struct {
	Event    string
	Nth      int
	From, To string
	Fault    Fault
}

// Script plays steps in their order, by events that the test tells of.
type Script struct {
	Steps []Step
	seen  int // events that the next step waits for
}

// Happened tells of an event and gives the steps that are due by it.
func (s *Script) OnEvent(event string) (due []Step) {
	for len(s.Steps) > 0 {
		next := s.Steps[0]
		if next.Event != "" || len(due) == 0 {
			if len(due) > 0 || next.Event != event && next.Event != "" {
				break
			}
			if s.seen++; s.seen < next.Nth {
				break
			}
		}
		due, s.seen, s.Steps = append(due, next), 0, s.Steps[1:]
	}
	return due
}
