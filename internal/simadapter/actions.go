package simadapter

import (
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/scheduler"
)

var outcomeByName = map[string]scheduler.Outcome{
	"done": scheduler.Finished, "err": scheduler.Failed, "busy": scheduler.Rejected,
	"etimedout":    scheduler.TimedOut,
	"econnrefused": scheduler.Unreachable, "econnreset": scheduler.ConnectionReset,
	"ecanceled": scheduler.Cancelled,
	"skipped":   scheduler.NeverSent,
}

var stateByName = map[string]scheduler.EngineState{"on": scheduler.EngineActive,
	"fading": scheduler.EngineDraining, "off": scheduler.EngineRemoved}

// writeAction writes the line of an action with its parts in the given order.
func (inst *instance) writeAction(name string, parts ...string) {
	inst.output.WriteString(name)
	inst.output.WriteByte('\t')
	inst.output.WriteString(strconv.Itoa(inst.id))
	for _, part := range parts {
		inst.output.WriteByte('\t')
		inst.output.WriteString(part)
	}
	inst.output.WriteByte('\n')
}

func formatMilliseconds(t time.Duration) string {
	return strconv.FormatFloat(float64(t)/float64(time.Millisecond), 'f', 3, 64)
}

func (inst *instance) SendAttempt(query, engine string, within time.Duration) {
	inst.writeAction("place", query, engine, formatMilliseconds(within))
}
func (inst *instance) CancelAttempt(query string, number int) {
	inst.writeAction("retract", query, strconv.Itoa(number))
}
func (inst *instance) SetLimits(query string, priority, grantMB int) {
	inst.writeAction("limits_for", query, strconv.Itoa(priority), strconv.Itoa(grantMB))
}
func (inst *instance) DeferQuery(query string, retryAfter time.Duration) {
	inst.writeAction("turn_away", query, formatMilliseconds(retryAfter))
}
func (inst *instance) FailQuery(query string)    { inst.writeAction("finish_error", query) }
func (inst *instance) CheckHealth(engine string) { inst.writeAction("inspect", engine) }
func (inst *instance) RequestEndpoints()         { inst.writeAction("subscribe", "1") }
func (inst *instance) SetTimer(delay time.Duration, tag int) {
	inst.writeAction("after", formatMilliseconds(delay), strconv.Itoa(tag))
}
func (inst *instance) Log(line string) { inst.writeAction("write_log", line) }
