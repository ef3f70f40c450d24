package eventloop

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/fleet"
)

// writeConditionally writes unconditional bytes, bytes under a condition, and unconditional bytes
// again. It returns what the peer received and which events were sent.
func writeConditionally(t *testing.T, startedAt time.Time, conditional string, condition writeCondition,
	configure func(*fleet.ServingState)) (string, []controller.EventKind) {
	t.Helper()
	ours, theirs := connectionPair(t)
	defer theirs.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	servingState := &fleet.ServingState{}
	if configure != nil {
		configure(servingState)
	}
	l := &loop{ctx: ctx, group: &errgroup.Group{}, events: make(chan event), start: startedAt,
		servingState: servingState}
	conn := newConnection(&controller.Connection{}, ours)
	conn.enqueue([]byte("free "), writeCondition{})
	conn.enqueue([]byte(conditional), condition)
	conn.enqueue([]byte("free too"), writeCondition{})
	conn.closeGracefully(20 * time.Second)
	go l.serve(conn)
	read := make(chan string, 1)
	go func() { // closes at the end of the stream, which a graceful close waits for
		theirs.SetReadDeadline(time.Now().Add(20 * time.Second))
		out, _ := io.ReadAll(theirs)
		theirs.Close()
		read <- string(out)
	}()
	var kinds []controller.EventKind
	for wait := time.After(20 * time.Second); ; {
		select {
		case ev := <-l.events:
			if kinds = append(kinds, ev.Kind); ev.Kind != controller.ConnectionClosed {
				continue
			}
		case <-wait:
			t.Fatal("the connection was not closed")
		}
		break
	}
	if !servingState.WritesFinished() {
		t.Fatal("a write that began was not ended")
	}
	return <-read, kinds
}

// A conditional write needs its policy version to be served and the lease to be valid at the time of
// the write. The controller's own check is not enough: the process may have been stopped since then.
func TestServingStateIsAskedRightBeforeAWrite(t *testing.T) {
	now := time.Now()
	open := func(version uint64, until time.Duration) func(*fleet.ServingState) {
		return func(w *fleet.ServingState) { w.SetVersion(version); w.SetLease(until, until) }
	}
	if out, kinds := writeConditionally(t, now, "by 7 ", writeCondition{policyVersion: 7},
		open(7, time.Hour)); out != "free by 7 free too" {
		t.Fatal(out, kinds)
	}
	for what, set := range map[string]func(*fleet.ServingState){"another version": open(8, time.Hour),
		"shut": open(0, time.Hour), "no lease": open(7, 30*time.Second)} {
		out, kinds := writeConditionally(t, now.Add(-time.Minute), "by 7 ", writeCondition{policyVersion: 7}, set)
		if want := "free "; out != want || len(kinds) != 3 || kinds[0] != controller.BytesWritten ||
			kinds[1] != controller.WriteRejected {
			t.Fatalf("%s: %q, %v", what, out, kinds)
		}
	}
}

// Retained data is written while both leases are valid, whether or not a policy version is in force.
func TestRetainedDataIsWrittenWithinTheConfinedLease(t *testing.T) {
	now := time.Now()
	if out, kinds := writeConditionally(t, now, "kept ", writeCondition{retained: true},
		func(w *fleet.ServingState) { w.SetLease(time.Hour, time.Hour) }); out != "free kept free too" {
		t.Fatal(out, kinds)
	}
	out, kinds := writeConditionally(t, now.Add(-time.Minute), "kept ", writeCondition{retained: true},
		func(w *fleet.ServingState) { w.SetVersion(7); w.SetLease(time.Hour, 30*time.Second) })
	if out != "free " || len(kinds) != 3 || kinds[1] != controller.WriteRejected {
		t.Fatalf("%q, %v", out, kinds)
	}
}

// Reports reach the fleet member in order even if the report channel is full: the controller keeps a
// rejected report and sends it again.
func TestReportsWaitForRoom(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	orders, reports, asked := make(chan fleet.Order), make(chan fleet.Report, 1), make(chan controller.Event)
	done := make(chan error)
	means := controller.Config{MemoryMB: 32, MaxDescriptors: 64, StartedAt: time.Now(),
		Fleet:    &controller.FleetConfig{ServingState: &fleet.ServingState{}},
		Settings: map[string]string{"locations": "here"}}
	go func() {
		done <- Serve(ctx, listener, means, nil, FleetChannels{orders, reports}, asked,
			zerolog.Nop())
	}()
	orders <- fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever, ConfinedLeaseEnd: fleet.Forever}
	for i := range 3 {
		orders <- fleet.Order{Kind: fleet.ActivatePolicy, Version: uint64(i + 1)}
	}
	for i := uint64(1); i <= 3; {
		p := <-reports
		if p.Kind == fleet.SitesServing {
			continue
		}
		if p.Kind != fleet.PolicyActivated || p.Version != i {
			t.Fatalf("report %+v, want PolicyActivated of version %d", p, i)
		}
		i++
	}
	if means.Fleet.ServingState.ServingVersion(time.Minute, true) != 3 {
		t.Fatal("the last version is not served")
	}
	stop()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
