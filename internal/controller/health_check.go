package controller

import (
	"railrelay.dev/railrelay/internal/enginehttp"
	"railrelay.dev/railrelay/internal/scheduler"
)

const statusOK = 200

// checkHealth sends a health check to an engine, and reports the outcome and the engine's load report, if it
// sends one, to the scheduler. The check times out after connectTimeout, which is an outcome, too.
//
// While a check of the engine is in progress, checkHealth does nothing. Otherwise, when connections are
// scarce, queued checks would pile up and starve the polls of running attempts, which are served last.
func (c *Controller) checkHealth(e *engine) {
	if e.healthCheck != nil && !e.healthCheck.done {
		return
	}
	c.counters.healthChecks++
	e.healthCheck = &call{
		method:        "probe",
		engine:        e,
		timeout:       c.connectTimeout,
		validResponse: enginehttp.IsProbeResponse,
		encode: func(dst []byte) []byte {
			return enginehttp.AppendProbe(dst, e.address, c.enginesReportLoad)
		},
		onResult: func(result callResult, status int, field func(string) string, _ []byte) {
			outcome := healthCheckOutcome(result, status)
			var loadReport map[string]float64
			if outcome == scheduler.Finished {
				loadReport = enginehttp.ParseLoadReport(field)
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
