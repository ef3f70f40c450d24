package settings

import (
	"fmt"
	"strconv"
	"strings"
)

// Conflicts returns the settings that contradict each other, each with its internal name and the
// reason.
//
// Deployments differ in what engines report, in what a controller is allowed to do and in how tenants
// are configured. A configuration merged from two deployments could only be interpreted by guessing.
// Settings that no interpretation satisfies are invalid: a controller that started with them would
// follow its rules only by chance. Suspicious settings can be interpreted, but probably not as
// intended. Missing and unknown settings are in neither list.
func Conflicts(values map[string]string) (invalid, suspicious [][2]string) {
	add := func(to *[][2]string, name, why string, args ...any) {
		*to = append(*to, [2]string{name, fmt.Sprintf(why, args...)})
	}
	number := func(name string) float64 {
		x, _ := strconv.ParseFloat(values[name], 64)
		return x
	}
	if share := number("budget.share"); share > 0 && number("budget.span") <= 0 {
		add(&invalid, "budget.span", "must be positive, because %s allows retries for a share of %v of the queries",
			ExternalName("budget.share"), share)
	}
	tenants := int(number("teams"))
	weight, err := strconv.ParseFloat(values["over.worth"], 64)
	if tenants > 0 && (err != nil || weight < 0 || weight > 1) {
		add(&invalid, "over.worth", "%q is not a number from 0 to 1, which %s with %d entries requires",
			values["over.worth"], ExternalName("teams"), tenants)
	}
	for _, pair := range [][2]string{{"loads", "groups"}, {"threads", "groups"}, {"waits", "groups"},
		{"kind.cores", "kinds"}, {"kind.memory", "kinds"}} {
		expected := int(number(pair[1]))
		if pair[1] == "kinds" && values["kinds"] != "" {
			expected = strings.Count(values["kinds"], ",") + 1
		}
		if count := strings.Count(values[pair[0]], ",") + 1; values[pair[0]] != "" && expected > 0 &&
			count != expected {
			add(&invalid, pair[0], "has %d values instead of %d, one for each entry of %s", count, expected,
				ExternalName(pair[1]))
		}
	}
	reportMode := values["report.how"]
	reports := reportMode != "" && reportMode != "off"
	if fields, given := values["report.figures"]; given && reports == (strings.Trim(fields, ",") == "") {
		add(&suspicious, "report.figures", "%q contradicts %s, which is %q", fields,
			ExternalName("report.how"), reportMode)
	}
	if reportMode == "probed" && values["may.probe"] == "false" {
		add(&suspicious, "report.how", "load reports come with health checks only, which %s forbids",
			ExternalName("may.probe"))
	}
	maxRetryAfter, given := values["return.most"]
	if given && values["may.name-return"] == "true" && number("return.most") <= 0 {
		add(&suspicious, "return.most", "%s is not positive, but %s allows deferrals to carry a retry delay",
			maxRetryAfter, ExternalName("may.name-return"))
	}
	locations := strings.Split(values["locations"], ",")
	if values["own.location"] != "" && values["locations"] != "" {
		if i, err := strconv.Atoi(values["own.location"]); err != nil || i < 0 || i >= len(locations) {
			add(&suspicious, "own.location", "%q is not among the %d entries of %s",
				values["own.location"], len(locations), ExternalName("locations"))
		}
	}
	for i := range tenants {
		prefix := "team." + strconv.Itoa(i) + "."
		if quota, given := values[prefix+"quota"]; given && number(prefix+"quota") <= 0 {
			add(&suspicious, prefix+"quota", "%s is not positive, so that the customer has no quota", quota)
		}
	}
	return invalid, suspicious
}

// ExternalName returns the external name of a setting for its internal one, with indexes as in
// customers[0].name. A name without an external one is returned unchanged.
func ExternalName(name string) string {
	parts, index := strings.Split(name, "."), ""
	for i, p := range parts {
		if _, err := strconv.Atoi(p); err == nil {
			parts[i], index = "N", p
		}
	}
	pattern := strings.Join(parts, ".")
	for external, internal := range internalNames {
		if internal == pattern {
			return strings.Replace(external, ".N", "["+index+"]", 1)
		}
	}
	return name
}
