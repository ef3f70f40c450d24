package settings

import (
	"fmt"
	"strconv"
	"strings"
)

// Conflicts says which settings contradict each other, each by our name for it and with what it
// clashes with. The shapes of deployment that the program serves differ in what engines tell,
// what is allowed and whose shares there are; half of one and half of another, as a file
// copied together has it, would be served by guesses. What no reading serves is in refused: a
// start on it would keep a rule by chance. Odd is what has a reading, though hardly the one
// meant; a key that is left out or unknown is in neither.
func Conflicts(facts map[string]string) (refused, odd [][2]string) {
	say := func(to *[][2]string, key, why string, args ...any) {
		*to = append(*to, [2]string{key, fmt.Sprintf(why, args...)})
	}
	number := func(key string) float64 {
		x, _ := strconv.ParseFloat(facts[key], 64)
		return x
	}
	if share := number("budget.share"); share > 0 && number("budget.span") <= 0 {
		say(&refused, "budget.span", "none, and %s gives further submissions a share of %v",
			ExternalName("budget.share"), share)
	}
	teams := int(number("teams"))
	over, err := strconv.ParseFloat(facts["over.worth"], 64)
	if teams > 0 && (err != nil || over < 0 || over > 1) {
		say(&refused, "over.worth", "%q, and %s lists %d: what goes beyond a share is worth 0 to 1",
			facts["over.worth"], ExternalName("teams"), teams)
	}
	for _, l := range [][2]string{{"loads", "groups"}, {"threads", "groups"}, {"waits", "groups"},
		{"kind.cores", "kinds"}, {"kind.memory", "kinds"}} {
		want := int(number(l[1]))
		if l[1] == "kinds" && facts["kinds"] != "" {
			want = strings.Count(facts["kinds"], ",") + 1
		}
		if have := strings.Count(facts[l[0]], ",") + 1; facts[l[0]] != "" && want > 0 && have != want {
			say(&refused, l[0], "%d values, and there are %d in %s", have, want, ExternalName(l[1]))
		}
	}
	how := facts["report.how"]
	reports := how != "" && how != "off"
	if figures, given := facts["report.figures"]; given && reports == (strings.Trim(figures, ",") == "") {
		say(&odd, "report.figures", "%q, and %s is %q", figures, ExternalName("report.how"), how)
	}
	if how == "probed" && facts["may.probe"] == "false" {
		say(&odd, "report.how", "reports come by probe alone, and %s forbids probes", ExternalName("may.probe"))
	}
	most, given := facts["return.most"]
	if given && facts["may.name-return"] == "true" && number("return.most") <= 0 {
		say(&odd, "return.most", "%s, and %s says that clients may be told when to come back", most,
			ExternalName("may.name-return"))
	}
	places := strings.Split(facts["locations"], ",")
	if facts["own.location"] != "" && facts["locations"] != "" {
		if i, err := strconv.Atoi(facts["own.location"]); err != nil || i < 0 || i >= len(places) {
			say(&odd, "own.location", "%q is none of the %d in %s", facts["own.location"], len(places),
				ExternalName("locations"))
		}
	}
	for i := range teams {
		at := "team." + strconv.Itoa(i) + "."
		if quota, given := facts[at+"quota"]; given && number(at+"quota") <= 0 {
			say(&odd, at+"quota", "%s: a customer with a share of nothing has none", quota)
		}
	}
	return refused, odd
}

// ExternalName is the wire's name for one of ours, as paths of its settings are written.
func ExternalName(ours string) string {
	parts, place := strings.Split(ours, "."), ""
	for i, p := range parts {
		if _, err := strconv.Atoi(p); err == nil {
			parts[i], place = "N", p
		}
	}
	pattern := strings.Join(parts, ".")
	for wire, name := range names {
		if name == pattern {
			return strings.Replace(wire, ".N", "["+place+"]", 1)
		}
	}
	return ours
}
