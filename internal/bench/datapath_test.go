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
		parsed, err := setup.Parse("datapath.yaml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		// The clients of the specified load fit in the third of the descriptors that is available to clients.
		if limit := parsed.ControllerConfig(time.Now()).MaxClientConnections(); limit < 7414 {
			t.Errorf("limit of client connections is %d, want at least 7,414", limit)
		}
	}
}

func TestDatapathRejectsSizesBeyondMachineBeforeStart(t *testing.T) {
	for _, modify := range []func(*Datapath){
		func(d *Datapath) { d.ClientCounts = []int{10_000_000} },
		func(d *Datapath) { d.EngineCounts = []int{1, 10_000_000} },
	} {
		d := DefaultDatapath()
		d.Program = "/nowhere" // starting this program would return another error
		modify(&d)
		var roomErr *capacity.RoomError
		rows, err := d.Measure(context.Background(), io.Discard)
		if !errors.As(err, &roomErr) || roomErr.Remedy() == "" || len(rows) > 0 {
			t.Errorf("got error %v and %d rows, want a RoomError and no rows", err, len(rows))
		}
	}
}

func TestDatapathRejectsInvalidSizes(t *testing.T) {
	for _, modify := range []func(*Datapath){
		func(d *Datapath) { d.EngineCounts = nil },
		func(d *Datapath) { d.ClientCounts = []int{0} },
		func(d *Datapath) { d.QueryRates = []int{-1} },
		func(d *Datapath) { d.StepDuration = 0 },
	} {
		d := DefaultDatapath()
		modify(&d)
		var sizeErr *capacity.SizeError
		if err := d.Check(); !errors.As(err, &sizeErr) || sizeErr.Remedy() == "" {
			t.Errorf("got error %v, want a SizeError", err)
		}
	}
	if err := DefaultDatapath().Check(); err != nil {
		var roomErr *capacity.RoomError
		if !errors.As(err, &roomErr) { // the machine may be too small
			t.Error(err)
		}
	}
}

func TestQueryDistributionAndQuantile(t *testing.T) {
	if reached, most := queryDistribution([]int{1, 2, 3, 0}, []int{1, 5, 4, 0}); reached != 2 || most != 3 {
		t.Errorf("got %v engines, at most %v queries, want 2 and 3", reached, most)
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
	last.engines.BytesIn[engine.Probes], last.engines.BytesOut[engine.Probes],
		last.engines.Requests[engine.Probes] = 300, 500, 20
	last.engines.BytesIn[engine.Polls], last.engines.BytesOut[engine.Polls] = 70, 30
	last.engines.BytesIn[engine.ControlCalls] = 40
	last.engines.BytesOut[engine.Queries], last.engines.Opened = 900, 5
	usage := usageBetween(first, last)
	for name, pair := range map[string][2]float64{
		"cpu": {usage.cpuMilliseconds, 200}, "sent": {usage.controlSent, 27},
		"received": {usage.controlReceived, 55}, "looks": {usage.probes, 2},
		"opened": {usage.connectionsOpened, 0.5}, "queries sent": {usage.queriesSent, 4},
		"queries received": {usage.queriesReceived, 90},
	} {
		if math.Abs(pair[0]-pair[1]) > 1e-9 {
			t.Errorf("%s: got %v, want %v", name, pair[0], pair[1])
		}
	}
}

func TestTakeoverIsDetected(t *testing.T) {
	submissions := make(chan submittedLoad, 100)
	at := time.Unix(100, 0)
	for _, e := range []int{1, 2, 2, 2, 3, 3, 3, 3, 3, 3, 4} {
		at = at.Add(time.Second)
		submissions <- submittedLoad{e, at}
	}
	failedEngine, err := waitForChain(t.Context(), submissions)
	if failedEngine != 3 || err != nil {
		t.Fatal(failedEngine, err)
	}
	if takenOverAt, err := waitForTakeover(t.Context(), submissions, failedEngine,
		at.Add(-time.Second)); err != nil || !takenOverAt.Equal(at) {
		t.Error(takenOverAt, err)
	}
	loads := &loadClient{unanswered: map[uint32]time.Time{}}
	start := time.Now().Add(-time.Second)
	loads.unanswered[1], loads.unanswered[2], loads.unanswered[3] = start, start, start.Add(time.Hour)
	loads.handleAnswer(client.Answer{Msg: 1, Kind: client.Finished})
	if _, _, complete := loads.latencyBetween(start, start); complete {
		t.Error("complete although one load is unanswered")
	}
	loads.handleAnswer(client.Answer{Msg: 2, Kind: client.Killed})
	loads.handleAnswer(client.Answer{Msg: 2, Kind: client.Killed}) // a second answer to the same load is ignored
	if worst, failed, complete := loads.latencyBetween(start, start); !complete || failed != 1 ||
		worst < time.Second {
		t.Error(worst, failed, complete)
	}
}

// TestDatapathMeasuresIdleAndQueries measures a controller process with three engines, first idle and then
// under queries, and checks that the figures are recorded and plausible.
func TestDatapathMeasuresIdleAndQueries(t *testing.T) {
	d := DefaultDatapath()
	d.Program, d.ControllerLog = buildDebugController(t), io.Discard
	d.EngineCounts, d.StepDuration = []int{3}, time.Second
	var output bytes.Buffer
	recorder := &datapathRecorder{seed: 1, machine: "here", commit: "test", out: &output}
	ctx := context.Background()
	if err := d.measureIdle(ctx, recorder); err != nil {
		t.Fatal(err)
	}
	if err := d.measureQueryRate(ctx, recorder, "queries", 200, 200, 20); err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for _, row := range recorder.rows {
		values[row.What] = row.Value
	}
	if values["idle memory"] <= 0 || values["start list"] < 100 || values["start time"] <= 0 {
		t.Error("idle: ", values)
	}
	if values["queries finished"] < 100 || values["queries killed"] != 0 ||
		values["queries own sent"] <= 0 || values["queries p50"] <= 0 ||
		values["queries engine connections"] < 1 || values["queries engines reached"] > 3 {
		t.Error("queries: ", values)
	}
	if output.Len() == 0 {
		t.Error("no figure was printed")
	}
}
