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
	for _, idle := range []string{"", longIdleTimeout} {
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

func TestDatapathRejectsSizesBeyondMachineBeforeStart(t *testing.T) {
	for _, spoil := range []func(*Datapath){
		func(d *Datapath) { d.ClientCounts = []int{10_000_000} },
		func(d *Datapath) { d.EngineCounts = []int{1, 10_000_000} },
	} {
		d := DefaultDatapath()
		d.Program = "/nowhere" // would be another error, were it started
		spoil(&d)
		var room *capacity.RoomError
		rows, err := d.Measure(context.Background(), io.Discard)
		if !errors.As(err, &room) || room.Remedy() == "" || len(rows) > 0 {
			t.Errorf("%v, %d rows", err, len(rows))
		}
	}
}

func TestDatapathRejectsInvalidSizes(t *testing.T) {
	for _, spoil := range []func(*Datapath){
		func(d *Datapath) { d.EngineCounts = nil },
		func(d *Datapath) { d.ClientCounts = []int{0} },
		func(d *Datapath) { d.QueryRates = []int{-1} },
		func(d *Datapath) { d.StepDuration = 0 },
	} {
		d := DefaultDatapath()
		spoil(&d)
		var wrong *capacity.SizeError
		if err := d.Check(); !errors.As(err, &wrong) || wrong.Remedy() == "" {
			t.Errorf("%v is no SizeError", err)
		}
	}
	if err := DefaultDatapath().Check(); err != nil {
		var room *capacity.RoomError
		if !errors.As(err, &room) { // a small machine
			t.Error(err)
		}
	}
}

func TestQueryDistributionAndQuantile(t *testing.T) {
	if reached, most := queryDistribution([]int{1, 2, 3, 0}, []int{1, 5, 4, 0}); reached != 2 || most != 3 {
		t.Errorf("%v engines, %v at most", reached, most)
	}
	if got := quantileOrZero(0.5, []float64{3, 1, 2}); got != 2 {
		t.Error(got)
	}
	if got := quantileOrZero(0.99, nil); got != 0 {
		t.Error(got)
	}
}

func TestUsageBetweenSnapshots(t *testing.T) {
	first := datapathSnapshot{at: time.Unix(100, 0), process: processUsage{CPU: time.Second}}
	last := datapathSnapshot{at: time.Unix(110, 0), process: processUsage{CPU: 3 * time.Second}}
	first.feed.In, first.feed.Out = 6, 1000
	last.feed.In, last.feed.Out = 6, 1020
	first.engines.BytesIn[engine.Probes] = 100
	last.engines.BytesIn[engine.Probes], last.engines.BytesOut[engine.Probes], last.engines.Requests[engine.Probes] = 300, 500, 20
	last.engines.BytesIn[engine.Polls], last.engines.BytesOut[engine.Polls] = 70, 30
	last.engines.BytesIn[engine.ControlCalls] = 40
	last.engines.BytesOut[engine.Queries], last.engines.Opened = 900, 5
	x := usageBetween(first, last)
	for name, pair := range map[string][2]float64{
		"cpu": {x.cpuMilliseconds, 200}, "sent": {x.controlSent, 27}, "received": {x.controlReceived, 55}, "looks": {x.probes, 2},
		"opened": {x.connectionsOpened, 0.5}, "queries sent": {x.queriesSent, 4}, "queries received": {x.queriesReceived, 90},
	} {
		if math.Abs(pair[0]-pair[1]) > 1e-9 {
			t.Errorf("%s: %v, not %v", name, pair[0], pair[1])
		}
	}
}

func TestTakeoverIsDetected(t *testing.T) {
	came := make(chan submittedLoad, 100)
	at := time.Unix(100, 0)
	for _, e := range []int{1, 2, 2, 2, 3, 3, 3, 3, 3, 3, 4} {
		at = at.Add(time.Second)
		came <- submittedLoad{e, at}
	}
	lost, err := waitForChain(t.Context(), came)
	if lost != 3 || err != nil {
		t.Fatal(lost, err)
	}
	if next, err := waitForTakeover(t.Context(), came, lost, at.Add(-time.Second)); err != nil || !next.Equal(at) {
		t.Error(next, err)
	}
	l := &loadClient{submitted: map[uint32]time.Time{}}
	begun := time.Now().Add(-time.Second)
	l.submitted[1], l.submitted[2], l.submitted[3] = begun, begun, begun.Add(time.Hour)
	l.handleAnswer(client.Answer{Msg: 1, Kind: client.Finished})
	if _, _, all := l.latencyBetween(begun, begun); all {
		t.Error("one is not answered yet")
	}
	l.handleAnswer(client.Answer{Msg: 2, Kind: client.Killed})
	l.handleAnswer(client.Answer{Msg: 2, Kind: client.Killed}) // a second answer is none
	if worst, failed, all := l.latencyBetween(begun, begun); !all || failed != 1 || worst < time.Second {
		t.Error(worst, failed, all)
	}
}

// A small play with the built program.
func TestDatapathMeasuresIdleAndQueries(t *testing.T) {
	d := DefaultDatapath()
	d.Program, d.ControllerLog = buildDebugController(t), io.Discard
	d.EngineCounts, d.StepDuration = []int{3}, time.Second
	var told bytes.Buffer
	b := &datapathRecorder{seed: 1, machine: "here", commit: "test", out: &told}
	ctx := context.Background()
	if err := d.measureIdle(ctx, b); err != nil {
		t.Fatal(err)
	}
	if err := d.measureQueryRate(ctx, b, "queries", 200, 200, 20); err != nil {
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
