package setup

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fairqueue"
)

const examplePath = "../../deploy/railrelay.yaml"

func TestExampleIsValid(t *testing.T) {
	s, err := Load(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	m := s.ControllerConfig(time.Now())
	if m.Seed != 0x8c1f30d27a5be964 || m.Tenants == nil || len(m.ClientLimits) != 1 || m.Settings["group.2.in-order"] != "true" ||
		m.Settings["loads"] != "false,false,true" || m.Settings["threads"] != "1,3,2" || m.Settings["return.most"] != "60000" {
		t.Fatalf("%+v", m)
	}
	m.Tenants.Lanes = make([]fairqueue.Lane, 3)
	if err := m.Tenants.Validate(); err != nil {
		t.Fatal(err)
	}
}

// Each case spoils one line of the example; the error must name the file, that
// line and the field, and show the line.
func TestErrorsNameFileLineAndField(t *testing.T) {
	text, err := os.ReadFile(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, field, why string }{
		{"idle: 5m ", "idel: 5m ", "idel", "unknown field"},
		{"target: 2s", "target: 2", "2", "has no unit"},
		{"target: 2s", "target: soon", "soon", "is no time"},
		{"name: steyr,", "name: linz,", "fairness.teams[0].teams[1].name", "a second team"},
		{"name: steyr, weight: 1", "name: steyr, weight: 0", "fairness.teams[0].teams[1].weight", "a weight is over 0"},
		{"name: steyr, weight: 1", "name: steyr, weight: -2", "fairness.teams[0].teams[1].weight", "a weight is over 0"},
		{"10.4.0.0/16", "10.3.7.0/24", "fairness.teams[1].teams[1].addresses[0]", `overlaps addresses of "fire-north"`},
		{"10.4.0.0/16", "10.0.0.0/8", "fairness.teams[1].teams[1].addresses[0]", "overlaps addresses of"},
		{"10.4.0.0/16", "10.4.0.0/99", "10.4.0.0/99", "is no set"},
		{"effect: mutating", "effect: sometimes", "groups[2].effect", "none of"},
		{"listen: 127.0.0.1:6565", "listen: 127.0.0.1", "listen", "no address"},
		{"fresh: 10s", "fresh: 0s", "answers.fresh", "is missing"},
		{"groups: [lookup, report]", "groups: [lookup, load]", "answers.groups[1]", "is not read-only"},
		{"default: others", "default: anyone", "fairness.default", "no team"},
		{"- name: report", "- name: lookup", "groups[1].name", "a second group"},
		{"    team: team ", "    team: '' ", "fairness.trusted", "nothing to trust"},
		{"report: probed", "report: [probed]", "", ""},
		{"sockets: 4096 ", "sockets: 4 ", "limits.sockets", "under 64"},
		{"seed: 8c1f30d27a5be964", "seed: xyz", "seed", ""},
		{"fairness:\n  fields:", "fairness:\n   fields:", "", ""},
	} {
		spoilt := strings.Replace(string(text), c.old, c.new, 1)
		if spoilt == string(text) {
			t.Fatalf("%q is not in the example", c.old)
		}
		line := 1 + strings.Count(string(text)[:strings.Index(string(text), c.old)], "\n")
		_, err := Parse("x.yaml", []byte(spoilt))
		if err == nil {
			t.Errorf("%q was taken", c.new)
			continue
		}
		var f *FieldError
		if !errors.As(err, &f) {
			t.Errorf("%q: no Fault: %v", c.new, err)
			continue
		}
		if c.field != "" && (f.Field != c.field || f.Line != line && c.field != "fairness.trusted") || !strings.Contains(f.Reason, c.why) ||
			f.File != "x.yaml" || f.Line == 0 || !strings.Contains(f.Excerpt, strings.TrimSpace(strings.Split(c.new, "\n")[0])) && c.field != "fairness.trusted" && c.field != "" {
			t.Errorf("%q at line %d: %d %q %q\n%s", c.new, line, f.Line, f.Field, f.Reason, f.Excerpt)
		}
	}
}

func TestAllErrorsAreReported(t *testing.T) {
	_, err := Parse("x.yaml", []byte("listen: a\nfeed: b\ngroups: []\nengines: {kinds: []}\n"))
	if err == nil || strings.Count(err.Error(), "x.yaml:") < 4 {
		t.Fatal(err)
	}
}

func FuzzParse(f *testing.F) {
	text, _ := os.ReadFile(examplePath)
	f.Add(text)
	f.Add([]byte("listen: [\n"))
	f.Add([]byte("fairness: {teams: [{name: a, weight: 1e99}]}\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		if s, err := Parse("x", p); err == nil && s.Listen == "" && !s.IsControlProcess() {
			t.Fatal("taken without an address")
		}
	})
}

// The shapes of deployment by settings alone, and what mixes them refused by its key.
func TestDeploymentShapesAndTheirConflicts(t *testing.T) {
	text, err := os.ReadFile(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	before, _, _ := strings.Cut(string(text), "# Customers' shares")
	shares := "shares: {field: customer, over: 0.05, customers: [{name: hogares, rate: 133}, {name: obras, rate: 110}]}\nestimates: {work: weight, memory: ram}\n"
	was, err := Parse("x.yaml", []byte(before))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"own.location", "report.figures", "teams"} {
		if x, there := was.settings()[name]; there {
			t.Errorf("left out, and %s is %q", name, x)
		}
	}
	if f := was.settings(); f["answers.cost"] != "true" || f["note.period"] != "2000" || f["report.how"] != "probed" {
		t.Errorf("what is left out is other than it was: %v", f)
	}
	for _, late := range []string{"", "    late_share: 0\n"} {
		at := strings.Index(before, "    late_share: 0.1")
		end := at + strings.Index(before[at:], "\n") + 1
		s, err := Parse("x.yaml", []byte(before[:at]+late+before[end:]))
		if err != nil {
			t.Fatal(err)
		}
		if x, there := s.settings()["group.0.late-share"]; there != (late != "") || there && x != "0" {
			t.Errorf("%q: late share %q, %v", late, x, there)
		}
	}
	cores := strings.Replace(before, "report: probed ", "location: here\n  figures: [cores]\n  tells: [costs]\n  report: probed ", 1)
	cores = strings.Replace(cores, "  notes: 2s ", "  # notes ", 1) + shares
	s, err := Parse("x.yaml", []byte(cores))
	if err != nil {
		t.Fatal(err)
	}
	m := s.ControllerConfig(time.Now())
	if f := m.Settings; f["report.figures"] != "cores" || f["note.period"] != "0" || f["own.location"] != "0" || f["teams"] != "2" ||
		f["team.1.quota"] != "110" || f["team.0.name"] != "hogares" || f["over.worth"] != "0.05" || m.FieldNames.Customer != "customer" ||
		m.FieldNames.EstimatedWork != "weight" || m.FieldNames.EstimatedMemory != "ram" {
		t.Fatalf("%+v", m)
	}
	blind := strings.Replace(before, "may: [probe, ", "may: [", 1)
	blind = strings.Replace(blind, "report: probed ", "tells: [notes]\n  report: off ", 1)
	if s, err = Parse("x.yaml", []byte(blind)); err != nil || s.settings()["report.how"] != "off" || s.settings()["answers.cost"] != "false" {
		t.Fatal(err, s)
	}
	for _, c := range []struct{ in, old, new, field string }{
		{blind, "report: off ", "report: probed ", "engines.report"},
		{blind, "report: off ", "figures: [cores]\n  report: off ", "engines.figures"},
		{cores, "figures: [cores]", "figures: [cors]", "engines.figures[0]"},
		{cores, "figures: [cores]", "figures: []", "engines.figures"},
		{cores, "  # notes ", "  notes: 2s ", "engines.notes"},
		{cores, "location: here", "location: there", "engines.location"},
		{cores, "rate: 110", "rate: 0", "shares.customers[1].rate"},
		{cores, "name: obras", "name: hogares", "shares.customers[1].name"},
		{cores, "over: 0.05", "over: 5", "shares.over"},
		{cores, "field: customer, ", "", "shares.field"},
		{cores, "budget: {least: 10, share: 0.2, span: 10s}", "budget: {least: 10, share: 0.2}", "engines.budget.span"},
		{string(text) + shares, "", "", "shares"},
	} {
		spoilt := strings.Replace(c.in, c.old, c.new, 1)
		if spoilt == c.in && c.old != "" {
			t.Fatalf("%q is not there", c.old)
		}
		var f *FieldError
		if _, err := Parse("x.yaml", []byte(spoilt)); !errors.As(err, &f) || f.Field != c.field || f.Line == 0 {
			t.Errorf("%q: %v", c.new, err)
		}
	}
}
