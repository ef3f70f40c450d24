package terms

import (
	"fmt"
	"strconv"
	"strings"
)

// Mixed says which settings contradict each other, each by our name for it and with
// the reason. The shapes of deployment that the program serves differ in what engines
// tell, what is allowed and whose shares there are; half of one and half of another,
// as a file copied together has it, would be served by guesses.
func Mixed(facts map[string]string) (all [][2]string) {
	say := func(key, why string, args ...any) { all = append(all, [2]string{key, fmt.Sprintf(why, args...)}) }
	number := func(key string) float64 {
		x, _ := strconv.ParseFloat(facts[key], 64)
		return x
	}
	how := facts["report.how"]
	reports := how != "" && how != "off"
	if figures, given := facts["report.figures"]; given {
		switch none := strings.Trim(figures, ",") == ""; {
		case reports && none:
			say("report.figures", "no figure, and reports are said to come (%s)", how)
		case !reports && !none:
			say("report.figures", "%s, and reports are said not to come", figures)
		}
	}
	if how == "probed" && facts["may.probe"] != "true" {
		say("report.how", "reports come by probe alone, and probes are not allowed")
	}
	if facts["may.name-return"] == "true" && number("return.most") <= 0 {
		say("return.most", "clients may be told when to come back, and there is no longest time")
	}
	switch span, share, least := number("budget.span"), number("budget.share"), number("budget.least"); {
	case span <= 0 && share > 0:
		say("budget.span", "further submissions have a share of %v, of no time", share)
	case span > 0 && share <= 0 && least <= 0:
		say("budget.share", "further submissions are counted over %v ms, and none is allowed", span)
	}
	if places := strings.Split(facts["locations"], ","); facts["own.location"] != "" {
		if i, err := strconv.Atoi(facts["own.location"]); err != nil || i < 0 || i >= len(places) {
			say("own.location", "%q is none of the %d locations", facts["own.location"], len(places))
		}
	}
	seen := map[string]bool{}
	teams := int(number("teams"))
	for i := range teams {
		at := "team." + strconv.Itoa(i) + "."
		if name := facts[at+"name"]; name == "" || seen[name] {
			say(at+"name", "%q: a customer has a name of its own", name)
		}
		seen[facts[at+"name"]] = true
		if number(at+"quota") <= 0 {
			say(at+"quota", "a customer with a share of nothing")
		}
	}
	if over, err := strconv.ParseFloat(facts["over.worth"], 64); teams > 0 && (err != nil || over < 0 || over > 1) {
		say("over.worth", "%q: what goes beyond a share is worth 0 to 1", facts["over.worth"])
	}
	return all
}

// Key is the wire's name for one of ours, as paths of its settings are written.
func Key(ours string) string {
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
