package scheduler

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// recordingActions records the attempts and health checks that the scheduler sends, and ignores
// other actions.
type recordingActions struct {
	sent         []string
	healthChecks []string
}

func (a *recordingActions) SendAttempt(query, _ string, _ time.Duration) {
	a.sent = append(a.sent, query)
}
func (a *recordingActions) CheckHealth(engine string) {
	a.healthChecks = append(a.healthChecks, engine)
}
func (a *recordingActions) CancelAttempt(string, int)        {}
func (a *recordingActions) SetLimits(string, int, int)       {}
func (a *recordingActions) DeferQuery(string, time.Duration) {}
func (a *recordingActions) FailQuery(string)                 {}
func (a *recordingActions) RequestEndpoints()                {}
func (a *recordingActions) SetTimer(time.Duration, int)      {}
func (a *recordingActions) Log(string)                       {}

func newSchedulerWithEngines(engines int) (*recordingActions, *Scheduler) {
	a := &recordingActions{}
	s := New(a, 7, testSettings(map[string]string{"gateways": "350", "report.how": "probed",
		"group.2.in-order": ""}))
	s.ListStarted(0, true)
	for i := range engines {
		s.EngineListed(fmt.Sprint("e", i), 0, 0, i/6, EngineActive, 0, false)
	}
	s.ListEnded()
	return a, s
}

// BenchmarkQuery measures a query from its arrival to its end, with its health checks and its
// attempt.
func BenchmarkQuery(b *testing.B) {
	for _, n := range []int{8, 80, 400, 1024} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			a, s := newSchedulerWithEngines(n)
			b.ReportAllocs()
			now := time.Duration(0)
			for i := range b.N {
				now += 20 * ms
				id := strconv.Itoa(i)
				s.QueryArrived(now, id, i%2, -1, 5*sec, int64(i%160), -1, 0, 0)
				for len(a.healthChecks) > 0 {
					e := a.healthChecks[0]
					a.healthChecks = a.healthChecks[1:]
					s.HealthCheckEnded(now+ms, e, Finished, map[string]float64{"held": 3, "cores": 0.4})
				}
				if len(a.sent) == 0 {
					b.Fatal("query was not sent")
				}
				a.sent = a.sent[:0]
				s.AttemptEnded(now+10*ms, id, 0, Finished, 9*ms, true, 9*ms, 64, nil)
			}
		})
	}
}

// BenchmarkTick measures the periodic work of an idle controller.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{8, 80, 400, 1024} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			_, s := newSchedulerWithEngines(n)
			b.ReportAllocs()
			for i := range b.N {
				s.TimerFired(time.Duration(i)*100*ms, tickTag)
			}
		})
	}
}
