package simwire

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/decide"
)

var outcomes = map[string]decide.Outcome{
	"done": decide.Finished, "err": decide.Errored, "busy": decide.Full, "etimedout": decide.TimedOut,
	"econnrefused": decide.Unreachable, "econnreset": decide.Reset, "ecanceled": decide.Cancelled,
	"skipped": decide.NeverSent,
}

var states = map[string]decide.EngineState{"on": decide.On, "fading": decide.Draining, "off": decide.Gone}

var figures = map[string]string{
	"outstanding": "held", "backlog": "line", "utilization": "cores", "x0": "memory", "x1": "disks",
}

// names maps the wire's settings to ours; "N" stands for a place in a list.
var names = map[string]string{
	"balancers": "gateways", "me": "own.number", "my_zone": "own.location", "zones": "locations",
	"kinds": "kinds", "discovery": "list.how", "quantum_ms": "tick",
	"classes.count":          "groups",
	"classes.N.aim_stretch":  "group.N.stretch",
	"classes.N.objective_ms": "group.N.target",
	"classes.N.deadline_ms":  "group.N.timeout",
	"classes.N.effect":       "group.N.effect",
	"classes.N.key_scope":    "group.N.scope",
	"classes.N.fifo_by_key":  "group.N.in-order",
	"classes.N.late_share":   "group.N.late-share",
	"classes.N.allowed_on":   "group.N.kinds",
	"classes.N.zones_open":   "group.N.locations",
	"classes.N.window_ms":    "group.N.window",
	"classes.N.importance":   "group.N.value",

	"family_info.writes_tables": "loads", "family_info.threads_by_class": "threads",
	"family_info.class_waits": "waits", "family_info.memory_heeded": "may.grant",
	"family_info.kind_cores": "kind.cores", "family_info.ram_of_kind_mb": "kind.memory",
	"family_info.most_grant": "grant.most", "family_info.lanes_count": "may.prioritise",
	"family_info.note_period_ms": "note.period", "family_info.cost_in_answers": "answers.cost",
	"family_info.out_of_memory": "memory.short",

	"allowed.may_cancel": "may.cancel", "allowed.may_probe": "may.probe", "allowed.may_tell": "may.tell",
	"allowed.second_copies": "may.copy", "allowed.max_attempts": "submissions.most",
	"allowed.retry_after": "may.name-return", "allowed.max_retry_after_ms": "return.most",

	"obligations.ask_within_ms": "list.ask-within", "obligations.drain_grace_ms": "drain.grace",
	"obligations.cold_from": "cold.from", "obligations.warm_after_ms": "cold.span",
	"obligations.tip_multiple": "cold.multiple", "obligations.fall_ms": "cold.window",
	"obligations.grace_to_answer_ms": "answer.grace", "obligations.key_rest_ms": "key.rest",
	"obligations.min_extra": "budget.least", "obligations.extra_per_request": "budget.share",
	"obligations.ratio_span_ms": "budget.span", "report.how": "report.how",
	"prices.probe": "price.probe",
}

var values = map[string]string{
	"read_like": "read-only", "idempotency_key": "tokened", "non_idempotent": "mutating",
	"zone": "location", "on_request": "asked", "on_probe": "probed", "inline": "answers",
}

// rename turns the settings into our words and leaves out what we don't know.
func rename(pairs []string) map[string]string {
	ours := map[string]string{}
	for _, pair := range pairs {
		path, value, _ := strings.Cut(pair, "=")
		name, ok := names[path]
		if !ok {
			parts := strings.Split(path, ".")
			if len(parts) < 3 {
				continue
			}
			place := parts[1]
			parts[1] = "N"
			if name, ok = names[strings.Join(parts, ".")]; !ok {
				continue
			}
			name = strings.Replace(name, "N", place, 1)
		}
		if v, ok := values[value]; ok {
			value = v
		}
		ours[name] = value
	}
	return ours
}

// act writes one action; parts go out in the order given.
func (d *door) act(name string, parts ...string) {
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

func (d *door) Submit(query, engine string, within time.Duration) {
	d.act("place", query, engine, span(within))
}
func (d *door) Cancel(query string, try int) { d.act("retract", query, strconv.Itoa(try)) }
func (d *door) Terms(query string, priority, grantMB int) {
	d.act("limits_for", query, strconv.Itoa(priority), strconv.Itoa(grantMB))
}
func (d *door) Defer(query string, comeBack time.Duration) { d.act("turn_away", query, span(comeBack)) }
func (d *door) Kill(query string)                          { d.act("finish_error", query) }
func (d *door) Probe(engine string)                        { d.act("inspect", engine) }
func (d *door) Subscribe()                                 { d.act("subscribe", "1") }
func (d *door) Tell(word []byte)                           { d.act("tell", "*", hex.EncodeToString(word)) }
func (d *door) Wake(in time.Duration, tag int)             { d.act("after", span(in), strconv.Itoa(tag)) }
func (d *door) Log(line string)                            { d.act("write_log", line) }
