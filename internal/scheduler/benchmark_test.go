package scheduler

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// quiet is Actions that only notes what it has to answer.
type recordingActions struct {
	sent   []string
	probes []string
}

func (a *recordingActions) Submit(query, _ string, _ time.Duration) { a.sent = append(a.sent, query) }
func (a *recordingActions) Probe(engine string)                     { a.probes = append(a.probes, engine) }
func (a *recordingActions) Cancel(string, int)                      {}
func (a *recordingActions) Terms(string, int, int)                  {}
func (a *recordingActions) Defer(string, time.Duration)             {}
func (a *recordingActions) Kill(string)                             {}
func (a *recordingActions) Subscribe()                              {}
func (a *recordingActions) Wake(time.Duration, int)                 {}
func (a *recordingActions) Log(string)                              {}

func newSized(engines int) (*recordingActions, *Scheduler) {
	a := &recordingActions{}
	g := New(a, 7, testSettings(map[string]string{"gateways": "350", "report.how": "probed",
		"group.2.in-order": ""}))
	g.ListStarted(0, true)
	for i := range engines {
		g.EngineListed(fmt.Sprint("e", i), 0, 0, i/6, EngineActive, 0, false)
	}
	g.ListEnded()
	return a, g
}

// BenchmarkQuery is an arrival, its looks, its submission and its end.
func BenchmarkQuery(b *testing.B) {
	for _, n := range []int{8, 80, 400, 1024} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			a, g := newSized(n)
			b.ReportAllocs()
			now := time.Duration(0)
			for i := range b.N {
				now += 20 * ms
				id := strconv.Itoa(i)
				g.QueryArrived(now, id, i%2, -1, 5*sec, int64(i%160), -1, 0, 0)
				for len(a.probes) > 0 {
					e := a.probes[0]
					a.probes = a.probes[1:]
					g.HealthCheckEnded(now+ms, e, Finished, map[string]float64{"held": 3, "cores": 0.4})
				}
				if len(a.sent) == 0 {
					b.Fatal("not sent")
				}
				a.sent = a.sent[:0]
				g.AttemptEnded(now+10*ms, id, 0, Finished, 9*ms, true, 9*ms, 64, nil)
			}
		})
	}
}

// BenchmarkTick is the periodic work, with nothing out.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{8, 80, 400, 1024} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			_, g := newSized(n)
			b.ReportAllocs()
			for i := range b.N {
				g.TimerFired(time.Duration(i)*100*ms, tickTag)
			}
		})
	}
}
