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

// sends writes on a connection what a word guards, and tells what came out and which
// events it led to.
func sends(t *testing.T, started time.Time, by string, g guard, set func(*fleet.ServingState)) (string, []controller.EventKind) {
	t.Helper()
	ours, theirs := pair(t)
	defer theirs.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	word := &fleet.ServingState{}
	if set != nil {
		set(word)
	}
	l := &loop{ctx: ctx, group: &errgroup.Group{}, events: make(chan event), start: started, word: word}
	w := newWire(&controller.Connection{}, ours)
	w.write([]byte("free "), guard{})
	w.write([]byte(by), g)
	w.write([]byte("free too"), guard{})
	w.closeGently(20 * time.Second)
	go l.serve(w)
	read := make(chan string, 1)
	go func() { // and closes once nothing more comes, which a gentle close waits for
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
			t.Fatal("it doesn't end")
		}
		break
	}
	if !word.WritesFinished() {
		t.Fatal("the word is still held")
	}
	return <-read, kinds
}

// What is guarded goes out by its version and within the lease, whatever the reducer
// knew: the process may have been stopped since.
func TestServingStateIsAskedRightBeforeAWrite(t *testing.T) {
	now := time.Now()
	open := func(version uint64, until time.Duration) func(*fleet.ServingState) {
		return func(w *fleet.ServingState) { w.SetVersion(version); w.SetLease(until, until) }
	}
	if out, kinds := sends(t, now, "by 7 ", guard{version: 7}, open(7, time.Hour)); out != "free by 7 free too" {
		t.Fatal(out, kinds)
	}
	for what, set := range map[string]func(*fleet.ServingState){"another version": open(8, time.Hour), "shut": open(0, time.Hour), "no lease": open(7, 30*time.Second)} {
		out, kinds := sends(t, now.Add(-time.Minute), "by 7 ", guard{version: 7}, set)
		if want := "free "; out != want || len(kinds) != 3 || kinds[0] != controller.BytesWritten || kinds[1] != controller.WriteRejected {
			t.Fatalf("%s: %q, %v", what, out, kinds)
		}
	}
}

// What is kept goes out within the lease of bound teams, shut or not.
func TestWhatIsKeptIsWrittenWithinTheLease(t *testing.T) {
	now := time.Now()
	if out, kinds := sends(t, now, "kept ", guard{kept: true}, func(w *fleet.ServingState) { w.SetLease(time.Hour, time.Hour) }); out != "free kept free too" {
		t.Fatal(out, kinds)
	}
	out, kinds := sends(t, now.Add(-time.Minute), "kept ", guard{kept: true}, func(w *fleet.ServingState) { w.SetVersion(7); w.SetLease(time.Hour, 30*time.Second) })
	if out != "free " || len(kinds) != 3 || kinds[1] != controller.WriteRejected {
		t.Fatalf("%q, %v", out, kinds)
	}
}

// Orders come to the reducer and reports from it; one that finds no room is kept there
// and told once there is some.
func TestReportsWaitForRoom(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	orders, reports, asked := make(chan fleet.Order), make(chan fleet.Report, 1), make(chan controller.Event)
	done := make(chan error)
	means := controller.Config{MemoryMB: 32, MaxDescriptors: 64, StartedAt: time.Now(), Fleet: &controller.FleetConfig{ServingState: &fleet.ServingState{}},
		Settings: map[string]string{"locations": "here"}}
	go func() { done <- Serve(ctx, listener, means, nil, FleetChannels{orders, reports}, asked, zerolog.Nop()) }()
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
			t.Fatalf("%+v, wanted version %d", p, i)
		}
		i++
	}
	if means.Fleet.ServingState.ServingVersion(time.Minute, true) != 3 {
		t.Fatal("the word doesn't hold")
	}
	stop()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
