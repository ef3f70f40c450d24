package controller

import (
	"railrelay.dev/railrelay/internal/enginehttp"
	"railrelay.dev/railrelay/internal/scheduler"
)

const statusOK = 200

// checkHealth sends a health check to an engine and reports its outcome to the scheduler. It has as long
// as a connection may take; no response by then is an outcome, too. With one under way it does nothing:
// where connections are short they would pile up and starve the polls.
func (c *Controller) checkHealth(e *engine) {
	if e.healthCheck != nil && !e.healthCheck.done {
		return
	}
	c.counters.healthChecks++
	e.healthCheck = &call{
		method:        "probe",
		engine:        e,
		timeout:       c.connectTimeout,
		validResponse: enginehttp.FitsProbe,
		encode: func(dst []byte) []byte {
			return enginehttp.Probe(dst, e.address, c.enginesReportLoad)
		},
		onResult: func(result callResult, status int, field func(string) string, _ []byte) {
			outcome := healthCheckOutcome(result, status)
			var loadReport map[string]float64
			if outcome == scheduler.Finished {
				loadReport = enginehttp.Load(field)
			}
			c.enqueueCallback(func() { c.scheduler.HealthCheckEnded(c.now, e.id, outcome, loadReport) })
		},
	}
	c.startCall(e.healthCheck)
}

func healthCheckOutcome(result callResult, status int) scheduler.Outcome {
	switch result {
	case callAnswered:
		if status == statusOK {
			return scheduler.Finished
		}
		return scheduler.Rejected
	case callRefused, callDialTimedOut:
		return scheduler.Unreachable
	case callConnectionLost, callNotWritten, callMalformedResponse:
		return scheduler.ConnectionReset
	}
	return scheduler.TimedOut
}
