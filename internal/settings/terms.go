// Package settings holds the names that the wires give to settings and fields, and
// ours for them. The bench's wire and the sockets share it, so that the
// decisions are handed the same map whichever door they are behind.
package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

var figures = map[string]string{
	"outstanding": "held", "utilization": "cores", "inflight": "held", "util": "cores",
}

// ReportField is our word for a figure of a load report, "" if we have none.
func ReportField(wire string) string { return figures[wire] }

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
	"classes.N.name":         "group.N.name",

	"family_info.writes_tables": "loads", "family_info.threads_by_class": "threads",
	"family_info.class_waits": "waits", "family_info.memory_heeded": "may.grant",
	"family_info.kind_cores": "kind.cores", "family_info.ram_of_kind_mb": "kind.memory",
	"family_info.most_grant": "grant.most", "family_info.lanes_count": "may.prioritise",
	"family_info.note_period_ms": "note.period", "family_info.cost_in_answers": "answers.cost",
	"family_info.out_of_memory": "memory.short",

	"allowed.may_cancel": "may.cancel", "allowed.may_probe": "may.probe",
	"allowed.second_copies": "may.copy", "allowed.max_attempts": "submissions.most",
	"allowed.retry_after": "may.name-return", "allowed.max_retry_after_ms": "return.most",

	"obligations.ask_within_ms": "list.ask-within", "obligations.drain_grace_ms": "drain.grace",
	"obligations.cold_from": "cold.from", "obligations.warm_after_ms": "cold.span",
	"obligations.tip_multiple": "cold.multiple", "obligations.fall_ms": "cold.window",
	"obligations.grace_to_answer_ms": "answer.grace", "obligations.key_rest_ms": "key.rest",
	"obligations.min_extra": "budget.least", "obligations.extra_per_request": "budget.share",
	"obligations.ratio_span_ms": "budget.span", "report.how": "report.how", "report.fields": "report.figures",
	"customers.count": "teams", "customers.N.name": "team.N.name", "customers.N.quota_per_s": "team.N.quota",
	"over_share_worth": "over.worth",
	"prices.probe":     "price.probe", "allowed.connect_timeout_ms": "connect.timeout",
	"allowed.keepalive_ms": "idle.most",
}

var values = map[string]string{
	"read_like": "read-only", "idempotency_key": "tokened", "non_idempotent": "mutating",
	"zone": "location", "on_request": "asked", "on_probe": "probed", "inline": "answers",
}

// valued are the last parts of the names of settings that have such values. What else reads like
// one is somebody's name: a group called zone is not called location.
var valued = map[string]bool{"effect": true, "scope": true, "how": true}

// FromPairs turns the settings as path=value pairs into our words and leaves
// out what we don't know.
func FromPairs(pairs []string) map[string]string {
	ours := map[string]string{}
	for _, pair := range pairs {
		path, value, _ := strings.Cut(pair, "=")
		put(ours, path, value)
	}
	return ours
}

func put(ours map[string]string, path, value string) {
	name, ok := names[path]
	if !ok {
		parts := strings.Split(path, ".")
		if len(parts) < 3 {
			return
		}
		place := parts[1]
		parts[1] = "N"
		if name, ok = names[strings.Join(parts, ".")]; !ok {
			return
		}
		name = strings.Replace(name, "N", place, 1)
	}
	if v, ok := values[value]; ok && valued[name[strings.LastIndex(name, ".")+1:]] {
		value = v
	}
	if name == "report.figures" {
		figs := strings.Split(value, ",")
		for i, fig := range figs {
			figs[i] = cmp.Or(figures[fig], fig) // one not known is none the less there
		}
		value = strings.Join(figs, ",")
	}
	ours[name] = value
}

// FromJSON does the same for the settings as nested JSON.
func FromJSON(settings []byte) (map[string]string, error) {
	ours := map[string]string{}
	if len(bytes.TrimSpace(settings)) == 0 {
		return ours, nil
	}
	d := json.NewDecoder(bytes.NewReader(settings))
	d.UseNumber() // as written: 240.0 must not become 240 here and stay there
	var tree any
	if err := d.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	flatten(ours, "", tree)
	if at := slices.Index(strings.Split(ours["locations"], ","), ours["own.location"]); at >= 0 {
		ours["own.location"] = strconv.Itoa(at)
	}
	placed(ours, "kinds")
	placed(ours, "locations")
	return ours, nil
}

func flatten(ours map[string]string, path string, tree any) {
	under := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	switch t := tree.(type) {
	case map[string]any:
		for name, sub := range t {
			flatten(ours, under(name), sub)
		}
	case []any:
		objects := slices.ContainsFunc(t, func(x any) bool { _, is := x.(map[string]any); return is })
		if !objects {
			parts := make([]string, len(t))
			for i, x := range t {
				parts[i] = plain(x)
			}
			put(ours, path, strings.Join(parts, ","))
			return
		}
		put(ours, under("count"), strconv.Itoa(len(t)))
		for i, sub := range t {
			flatten(ours, under(strconv.Itoa(i)), sub)
		}
	default:
		put(ours, path, plain(t))
	}
}

var spaces = strings.NewReplacer(" ", "_", ",", "_")

// SanitizeName is how the settings have a name here: as one word, which may stand in a list of them.
func SanitizeName(name string) string { return spaces.Replace(name) }

func plain(x any) string {
	switch x := x.(type) {
	case nil:
		return "-"
	case string:
		return SanitizeName(x)
	default:
		return fmt.Sprint(x)
	}
}

// placed turns the names that a resource group is bound to into their places in
// the list of all: the bench's wire has places, and the decisions compare those.
func placed(ours map[string]string, list string) {
	all := strings.Split(ours[list], ",")
	for name, value := range ours {
		if !strings.HasPrefix(name, "group.") || !strings.HasSuffix(name, "."+list) || value == "" {
			continue
		}
		parts := strings.Split(value, ",")
		for i, p := range parts {
			if at := slices.Index(all, p); at >= 0 {
				parts[i] = strconv.Itoa(at)
			}
		}
		ours[name] = strings.Join(parts, ",")
	}
}
