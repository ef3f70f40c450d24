package simadapter

import (
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/scheduler"
)

var outcomes = map[string]scheduler.Outcome{
	"done": scheduler.Finished, "err": scheduler.Failed, "busy": scheduler.Rejected,
	"etimedout":    scheduler.TimedOut,
	"econnrefused": scheduler.Unreachable, "econnreset": scheduler.ConnectionReset,
	"ecanceled": scheduler.Cancelled,
	"skipped":   scheduler.NeverSent,
}

var states = map[string]scheduler.EngineState{"on": scheduler.EngineActive,
	"fading": scheduler.EngineDraining, "off": scheduler.EngineRemoved}

// act writes one action; parts go out in the order given.
func (d *instance) act(name string, parts ...string) {
	d.out.WriteString(name)
	d.out.WriteByte('\t')
	d.out.WriteString(strconv.Itoa(d.i))
	for _, p := range parts {
		d.out.WriteByte('\t')
		d.out.WriteString(p)
	}
	d.out.WriteByte('\n')
}

func span(t time.Duration) string {
	return strconv.FormatFloat(float64(t)/float64(time.Millisecond), 'f', 3, 64)
}

func (d *instance) SendAttempt(query, engine string, within time.Duration) {
	d.act("place", query, engine, span(within))
}
func (d *instance) CancelAttempt(query string, try int) { d.act("retract", query, strconv.Itoa(try)) }
func (d *instance) SetLimits(query string, priority, grantMB int) {
	d.act("limits_for", query, strconv.Itoa(priority), strconv.Itoa(grantMB))
}
func (d *instance) DeferQuery(query string, comeBack time.Duration) {
	d.act("turn_away", query, span(comeBack))
}
func (d *instance) FailQuery(query string)             { d.act("finish_error", query) }
func (d *instance) CheckHealth(engine string)          { d.act("inspect", engine) }
func (d *instance) RequestEndpoints()                  { d.act("subscribe", "1") }
func (d *instance) SetTimer(in time.Duration, tag int) { d.act("after", span(in), strconv.Itoa(tag)) }
func (d *instance) Log(line string)                    { d.act("write_log", line) }
