// Package settings translates the settings of a deployment into typed values for the scheduler.
//
// A setting has an external name, by which the configuration and the simulator know it, and an
// internal name, the key in the maps that FromPairs and FromJSON return. The controller and the
// simulator's adapter share this package, so that the scheduler gets the same settings from both.
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

var reportFields = map[string]string{
	"outstanding": "held", "utilization": "cores", "inflight": "held", "util": "cores",
}

// ReportField returns the internal name of a field in a load report, "" for an unknown field.
func ReportField(external string) string { return reportFields[external] }

// internalNames maps external names of settings to internal ones. "N" stands for an index.
var internalNames = map[string]string{
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

var internalValues = map[string]string{
	"read_like": "read-only", "idempotency_key": "tokened", "non_idempotent": "mutating",
	"zone": "location", "on_request": "asked", "on_probe": "probed", "inline": "answers",
}

// translatedSettings has the last parts of the internal names whose values are translated by
// internalValues. Values of other settings are left alone, because a user may choose them: a
// resource group called "zone" keeps its name.
var translatedSettings = map[string]bool{"effect": true, "scope": true, "how": true}

// FromPairs converts settings given as path=value into a map by internal name. Unknown settings are
// left out.
func FromPairs(pairs []string) map[string]string {
	result := map[string]string{}
	for _, pair := range pairs {
		path, value, _ := strings.Cut(pair, "=")
		addSetting(result, path, value)
	}
	return result
}

func addSetting(result map[string]string, path, value string) {
	name, ok := internalNames[path]
	if !ok {
		parts := strings.Split(path, ".")
		if len(parts) < 3 {
			return
		}
		index := parts[1]
		parts[1] = "N"
		if name, ok = internalNames[strings.Join(parts, ".")]; !ok {
			return
		}
		name = strings.Replace(name, "N", index, 1)
	}
	if v, ok := internalValues[value]; ok && translatedSettings[name[strings.LastIndex(name, ".")+1:]] {
		value = v
	}
	if name == "report.figures" {
		fields := strings.Split(value, ",")
		for i, field := range fields {
			fields[i] = cmp.Or(reportFields[field], field) // an unknown field is kept: the setting isn't empty
		}
		value = strings.Join(fields, ",")
	}
	result[name] = value
}

// FromJSON converts settings given as nested JSON into a map by internal name. Unknown settings are
// left out.
func FromJSON(text []byte) (map[string]string, error) {
	result := map[string]string{}
	if len(bytes.TrimSpace(text)) == 0 {
		return result, nil
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber() // keeps numbers as they are written, as FromPairs does: 240.0 must not become 240
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	flatten(result, "", tree)
	if index := slices.Index(strings.Split(result["locations"], ","), result["own.location"]); index >= 0 {
		result["own.location"] = strconv.Itoa(index)
	}
	replaceNamesByIndex(result, "kinds")
	replaceNamesByIndex(result, "locations")
	return result, nil
}

func flatten(result map[string]string, path string, value any) {
	child := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	switch t := value.(type) {
	case map[string]any:
		for name, item := range t {
			flatten(result, child(name), item)
		}
	case []any:
		objects := slices.ContainsFunc(t, func(x any) bool { _, is := x.(map[string]any); return is })
		if !objects {
			parts := make([]string, len(t))
			for i, x := range t {
				parts[i] = formatValue(x)
			}
			addSetting(result, path, strings.Join(parts, ","))
			return
		}
		addSetting(result, child("count"), strconv.Itoa(len(t)))
		for i, item := range t {
			flatten(result, child(strconv.Itoa(i)), item)
		}
	default:
		addSetting(result, path, formatValue(t))
	}
}

var nameSeparators = strings.NewReplacer(" ", "_", ",", "_")

// SanitizeName returns a name as the settings hold it: as one word without a comma, so that it can
// be an item of a list.
func SanitizeName(name string) string { return nameSeparators.Replace(name) }

func formatValue(x any) string {
	switch x := x.(type) {
	case nil:
		return "-"
	case string:
		return SanitizeName(x)
	default:
		return fmt.Sprint(x)
	}
}

// replaceNamesByIndex replaces the names in the resource groups' lists by their indexes in the list
// of all names. The simulator sends indexes, and the scheduler compares those.
func replaceNamesByIndex(result map[string]string, setting string) {
	allNames := strings.Split(result[setting], ",")
	for name, value := range result {
		if !strings.HasPrefix(name, "group.") || !strings.HasSuffix(name, "."+setting) || value == "" {
			continue
		}
		parts := strings.Split(value, ",")
		for i, p := range parts {
			if index := slices.Index(allNames, p); index >= 0 {
				parts[i] = strconv.Itoa(index)
			}
		}
		result[name] = strings.Join(parts, ",")
	}
}
