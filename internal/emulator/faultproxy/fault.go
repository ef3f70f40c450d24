// Package faultproxy is a TCP proxy on loopback that injects network faults between the processes
// of a test. fault.go defines faults, their effect on bytes, and scripts of faults, without I/O.
// link.go forwards connections, and mesh.go has one link for each ordered pair of processes.
package faultproxy

import (
	"math/rand/v2"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults.
const (
	Heal      Kind = ""       // no fault: held bytes pass, connections that lost bytes are reset
	Cut       Kind = "cut"    // closes connections; with Silent they stay open and bytes are held
	OneWay    Kind = "oneway" // drops bytes in one Direction, or with Hold holds them
	Slow      Kind = "slow"   // limits the throughput to Rate
	Delay     Kind = "delay"  // delays bytes by Latency plus up to Jitter and keeps their order
	Reset     Kind = "reset"  // resets the open connections once; new ones work
	Stall     Kind = "stall"  // stops each connection AfterBytes bytes after the fault was set
	Duplicate Kind = "double" // sends bytes again on a second connection, after the response has begun
)

// Direction is a direction of bytes, as seen by the process that connects.
type Direction int

// The directions.
const (
	Both       Direction = iota
	ToTarget             // to the target
	FromTarget           // from the target
)

// Fault applies to all connections of a link until another fault is set. Direction applies to
// OneWay, Slow, Delay and Stall.
type Fault struct {
	Kind            Kind
	Direction       Direction
	Silent          bool // Cut
	Hold            bool // OneWay
	Rate            int  // Slow: bytes a second, at least 1
	Latency, Jitter time.Duration
	Seed            uint64 // seed of the jitter
	AfterBytes      int64  // Stall: bytes
}

// decision is what a fault does to waiting bytes.
type decision struct {
	passNow int           // bytes that pass; if 0 without drop, all are held until the next fault
	drop    bool          // the bytes are discarded
	wait    time.Duration // delay before the bytes pass
	applied bool          // the fault had an effect
}

// decide returns what a fault does to n waiting bytes of a connection that has passed some bytes
// since the fault was set. delay is the delay drawn for the bytes, age the time since their receipt.
func (f Fault) decide(direction Direction, n int, passed int64, delay, age time.Duration) decision {
	if f.Direction != Both && f.Direction != direction {
		return decision{passNow: n}
	}
	switch f.Kind {
	case Cut:
		return decision{applied: true}
	case OneWay:
		return decision{drop: !f.Hold, applied: true}
	case Slow:
		rate := max(f.Rate, 1)
		n = min(n, max(rate/50, 1))
		return decision{passNow: n, wait: time.Duration(n) * time.Second / time.Duration(rate), applied: true}
	case Delay:
		return decision{passNow: n, wait: max(delay-age, 0), applied: delay > 0}
	case Stall:
		left := max(f.AfterBytes-passed, 0)
		return decision{passNow: int(min(int64(n), left)), applied: int64(n) > left}
	}
	return decision{passNow: n}
}

// blocks reports whether no bytes pass in a direction, so that no connection is established.
func (f Fault) blocks(direction Direction) bool {
	return f.Kind == Cut || f.Kind == OneWay && (f.Direction == Both || f.Direction == direction)
}

// drawDelay draws the delay that a Delay fault adds to some bytes.
func (f Fault) drawDelay(r *rand.Rand) time.Duration {
	if f.Jitter <= 0 {
		return f.Latency
	}
	return f.Latency + time.Duration(r.Int64N(int64(f.Jitter)))
}

// RandomFault draws a fault of any kind except Heal, with parameters that suit a test of a few
// seconds.
func RandomFault(r *rand.Rand) Fault {
	kinds := []Kind{Cut, OneWay, Slow, Delay, Reset, Stall, Duplicate}
	f := Fault{Kind: kinds[r.IntN(len(kinds))], Silent: r.IntN(2) == 0, Hold: r.IntN(2) == 0, Seed: r.Uint64()}
	switch f.Kind {
	case OneWay:
		f.Direction = ToTarget + Direction(r.IntN(2))
	case Slow:
		f.Rate = 1000 << r.IntN(8)
	case Delay:
		f.Latency = time.Duration(r.IntN(50)) * time.Millisecond
		f.Jitter = time.Duration(1+r.IntN(50)) * time.Millisecond
	case Stall:
		f.Direction, f.AfterBytes = ToTarget+Direction(r.IntN(2)), int64(r.IntN(2000))
	}
	return f
}

// Step sets a fault when Event has happened Nth times since the previous step; an Nth of 0 counts
// as 1. A step without an event takes effect together with the previous step. From and To select
// links of a Mesh; "" selects any.
type Step struct {
	Event    string
	Nth      int
	From, To string
	Fault    Fault
}

// Script performs steps in order, driven by events that the test reports.
type Script struct {
	Steps []Step
	seen  int // occurrences of the next step's event so far
}

// OnEvent records an event and returns the steps that are due.
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
