package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"railrelay.dev/railrelay/internal/settings"
)

// deployments are settings of deployments that one build must serve: engines that report only busy cores
// and send no notes, with customer shares and a retry budget; and engines that report nothing and may not
// be probed.
var deployments = map[string]*strings.Replacer{
	"as before": strings.NewReplacer(),
	"busy cores": strings.NewReplacer(`"fields":["outstanding","utilization"]`, `"fields":["utilization"]`, `"note_period_ms":2000.0`, `"note_period_ms":0.0`,
		`"retry_after":true`, `"retry_after":false`, `"second_copies":true`, `"second_copies":false`,
		`"key_rest_ms":300.0`, `"key_rest_ms":300.0,"min_extra":5.0,"extra_per_request":0.2,"ratio_span_ms":10000.0`,
		`"discovery":"pushed"`, `"discovery":"pushed","my_zone":0,"over_share_worth":0.05,"customers":[{"name":"a","quota_per_s":20.0},{"name":"b","quota_per_s":9.0}]`),
	"no reports": strings.NewReplacer(`"how":"on_probe","fields":["outstanding","utilization"]`, `"how":"off","fields":[]`, `"may_probe":true`, `"may_probe":false`,
		`"memory_heeded":true`, `"memory_heeded":false`, `"cost_in_answers":true`, `"cost_in_answers":false`),
}

func TestServesAllDeployments(t *testing.T) {
	for name, replacer := range deployments {
		e, f := newFakeEngine(t, twoPages(false)), newFakeFeed(t)
		text := replacer.Replace(testSettings)
		if name != "as before" && text == testSettings {
			t.Fatal("the settings are unchanged in ", name)
		}
		c := startWith(t, text, 64, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
		c.servesBoth()
	}
}

// Settings that mix two deployments are rejected at the start, with the key's name in the message.
func TestRejectsConflictingSettings(t *testing.T) {
	for _, c := range []struct{ old, new, key, with string }{
		{`"key_rest_ms":300.0`, `"key_rest_ms":300.0,"extra_per_request":0.2`, "settings.obligations.ratio_span_ms:", "obligations.extra_per_request"},
		{`"me":0`, `"me":0,"over_share_worth":1.5,"customers":[{"name":"a","quota_per_s":2},{"name":"b"}]`, "settings.over_share_worth:", "customers.count"},
		{`"me":0`, `"me":0,"customers":[{"name":"a","quota_per_s":2}]`, "settings.over_share_worth:", "customers.count"},
		{`"threads_by_class":[1,2]`, `"threads_by_class":[1,2,2]`, "settings.family_info.threads_by_class:", "classes.count"},
		{`"class_waits":[true,false]`, `"class_waits":[true]`, "settings.family_info.class_waits:", "classes.count"},
		{`"kind_cores":[8]`, `"kind_cores":[8,12]`, "settings.family_info.kind_cores:", "kinds"},
	} {
		mixed := strings.Replace(testSettings, c.old, c.new, 1)
		if mixed == testSettings {
			t.Fatalf("%s is not in the settings", c.old)
		}
		config := filepath.Join(t.TempDir(), "config.json")
		text := `{"name":"n0","listen":"127.0.0.1:0","seed":"8c","limits":{"cores":1.0,"memory_mb":64,"sockets":256},"feed":"127.0.0.1:9","settings":` + mixed + `}`
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
		out, err := cmd.CombinedOutput()
		if err == nil || !bytes.Contains(out, []byte(c.key)) || !bytes.Contains(out, []byte(c.with)) ||
			bytes.Count(out, []byte("\n")) != 1 {
			t.Errorf("%s: %v %s", c.new, err, out)
		}
	}
	for name, replacer := range deployments {
		values, err := settings.FromJSON([]byte(replacer.Replace(testSettings)))
		if refused, warnings := settings.Conflicts(values); err != nil || len(refused)+len(warnings) > 0 {
			t.Errorf("%s has conflicts: %v %v %v", name, err, refused, warnings)
		}
	}
}

// Contradictory settings that have one sensible interpretation cause a warning, and the controller
// starts. Otherwise it could refuse to start in a deployment that its developers didn't foresee.
func TestWarnsOfAmbiguousSettings(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{`"may_probe":true`, `"may_probe":false`, "settings.report.how:"},
		{`"fields":["outstanding","utilization"]`, `"fields":[]`, "settings.report.fields:"},
		{`"how":"on_probe"`, `"how":"off"`, "settings.report.fields:"},
		{`"max_retry_after_ms":1000.0`, `"max_retry_after_ms":0`, "settings.allowed.max_retry_after_ms:"},
		{`"me":0`, `"me":0,"my_zone":7`, "settings.my_zone:"},
		{`"me":0`, `"me":0,"over_share_worth":0.1,"customers":[{"name":"a","quota_per_s":0}]`, "settings.customers[0].quota_per_s:"},
		{`"retry_after":true,"max_retry_after_ms":1000.0`, `"retry_after":false,"max_retry_after_ms":500.0`, ""},
		{`"max_retry_after_ms":1000.0`, `"unknown":1`, ""},
		{`"key_rest_ms":300.0`, `"key_rest_ms":300.0,"ratio_span_ms":10000.0`, ""},
		{`"report":{"how":"on_probe","fields":["outstanding","utilization"]},`, ``, ""},
	} {
		text := strings.Replace(testSettings, c.old, c.new, 1)
		if text == testSettings {
			t.Fatalf("%s is not in the settings", c.old)
		}
		values, err := settings.FromJSON([]byte(text))
		refused, warnings := settings.Conflicts(values)
		if err != nil || len(refused) > 0 || len(warnings) != min(1, len(c.key)) ||
			len(warnings) == 1 && "settings."+settings.ExternalName(warnings[0][0])+":" != c.key {
			t.Errorf("%s: %v, refused %v, odd %v", c.new, err, refused, warnings)
		}
	}
	e, f := newFakeEngine(t, twoPages(false)), newFakeFeed(t)
	c := startWith(t, strings.Replace(testSettings, `"may_probe":true`, `"may_probe":false`, 1), 64,
		f.Addr().String(), 256, "127.0.0.1:0",
		entry("e1", e.address(), "SERVING"))
	c.servesBoth()
}
