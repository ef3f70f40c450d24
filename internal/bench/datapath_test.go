package bench

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/capacity"
	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/setup"
)

func TestDatapathSetupIsAccepted(t *testing.T) {
	for _, idle := range []string{"", keptIdle} {
		text := datapathSetup("127.0.0.1:1", "127.0.0.1:2", idle, 580, 7)
		have, err := setup.Parse("datapath.yaml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		// the letter's connections fit in the third of the descriptors that is for clients
		if most := have.ControllerConfig(time.Now()).MaxClientConnections(); most < 7414 {
			t.Errorf("%d clients are let in, not 7,414", most)
		}
	}
}

func TestDatapathTooLargeStartsNothing(t *testing.T) {
	for _, spoil := range []func(*Datapath){
		func(d *Datapath) { d.Clients = []int{10_000_000} },
		func(d *Datapath) { d.Engines = []int{1, 10_000_000} },
	} {
		d := UsualDatapath()
		d.Program = "/nowhere" // would be another error, were it started
		spoil(&d)
		var room *capacity.RoomError
		rows, err := d.Measure(context.Background(), io.Discard)
		if !errors.As(err, &room) || room.Remedy() == "" || len(rows) > 0 {
			t.Errorf("%v, %d rows", err, len(rows))
		}
	}
}

func TestDatapathSizes(t *testing.T) {
	for _, spoil := range []func(*Datapath){
		func(d *Datapath) { d.Engines = nil },
		func(d *Datapath) { d.Clients = []int{0} },
		func(d *Datapath) { d.Rates = []int{-1} },
		func(d *Datapath) { d.Rest = 0 },
	} {
		d := UsualDatapath()
		spoil(&d)
		var wrong *capacity.SizeError
		if err := d.Check(); !errors.As(err, &wrong) || wrong.Remedy() == "" {
			t.Errorf("%v is no SizeError", err)
		}
	}
	if err := UsualDatapath().Check(); err != nil {
		var room *capacity.RoomError
		if !errors.As(err, &room) { // a small machine
			t.Error(err)
		}
	}
}

func TestSpreadOfQueries(t *testing.T) {
	if reached, most := spread([]int{1, 2, 3, 0}, []int{1, 5, 4, 0}); reached != 2 || most != 3 {
		t.Errorf("%v engines, %v at most", reached, most)
	}
	if got := quantileOf(0.5, []float64{3, 1, 2}); got != 2 {
		t.Error(got)
	}
	if got := quantileOf(0.99, nil); got != 0 {
		t.Error(got)
	}
}

func TestBetweenLooks(t *testing.T) {
	first := sight{at: time.Unix(100, 0), used: processUsage{CPU: time.Second}}
	last := sight{at: time.Unix(110, 0), used: processUsage{CPU: 3 * time.Second}}
	first.list.In, first.list.Out = 6, 1000
	last.list.In, last.list.Out = 6, 1020
	first.traffic.BytesIn[engine.Probes] = 100
	last.traffic.BytesIn[engine.Probes], last.traffic.BytesOut[engine.Probes], last.traffic.Requests[engine.Probes] = 300, 500, 20
	last.traffic.BytesIn[engine.Polls], last.traffic.BytesOut[engine.Polls] = 70, 30
	last.traffic.BytesIn[engine.ControlCalls] = 40
	last.traffic.BytesOut[engine.Queries], last.traffic.Opened = 900, 5
	x := between(first, last)
	for name, pair := range map[string][2]float64{
		"cpu": {x.cpuMs, 200}, "sent": {x.controlSent, 27}, "received": {x.controlReceived, 55}, "looks": {x.probes, 2},
		"opened": {x.opened, 0.5}, "queries sent": {x.queriesSent, 4}, "queries received": {x.queriesReceived, 90},
	} {
		if math.Abs(pair[0]-pair[1]) > 1e-9 {
			t.Errorf("%s: %v, not %v", name, pair[0], pair[1])
		}
	}
}

func TestChainsAreFollowed(t *testing.T) {
	came := make(chan posted, 100)
	at := time.Unix(100, 0)
	for _, e := range []int{1, 2, 2, 2, 3, 3, 3, 3, 3, 3, 4} {
		at = at.Add(time.Second)
		came <- posted{e, at}
	}
	lost, err := chainOf(t.Context(), came)
	if lost != 3 || err != nil {
		t.Fatal(lost, err)
	}
	if next, err := nextElsewhere(t.Context(), came, lost, at.Add(-time.Second)); err != nil || !next.Equal(at) {
		t.Error(next, err)
	}
	l := &loads{asked: map[uint32]time.Time{}}
	begun := time.Now().Add(-time.Second)
	l.asked[1], l.asked[2], l.asked[3] = begun, begun, begun.Add(time.Hour)
	l.take(client.Answer{Msg: 1, Kind: client.Finished})
	if _, _, all := l.between(begun, begun); all {
		t.Error("one is not answered yet")
	}
	l.take(client.Answer{Msg: 2, Kind: client.Killed})
	l.take(client.Answer{Msg: 2, Kind: client.Killed}) // a second answer is none
	if worst, failed, all := l.between(begun, begun); !all || failed != 1 || worst < time.Second {
		t.Error(worst, failed, all)
	}
}

// A small play with the built program.
func TestDatapathInSmall(t *testing.T) {
	d := UsualDatapath()
	d.Program, d.Log = buildDebugController(t), io.Discard
	d.Engines, d.Rest = []int{3}, time.Second
	var told bytes.Buffer
	b := &book{seed: 1, machine: "here", commit: "test", out: &told}
	ctx := context.Background()
	if err := d.idle(ctx, b); err != nil {
		t.Fatal(err)
	}
	if err := d.queriesAt(ctx, b, "queries", 200, 200, 20); err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for _, row := range b.rows {
		values[row.What] = row.Value
	}
	if values["idle memory"] <= 0 || values["start list"] < 100 || values["start time"] <= 0 {
		t.Error("idle: ", values)
	}
	if values["queries finished"] < 100 || values["queries killed"] != 0 || values["queries own sent"] <= 0 || values["queries p50"] <= 0 ||
		values["queries engine connections"] < 1 || values["queries engines reached"] > 3 {
		t.Error("queries: ", values)
	}
	if told.Len() == 0 {
		t.Error("nothing was told")
	}
}
