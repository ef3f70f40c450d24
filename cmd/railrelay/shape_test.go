package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"railrelay.dev/railrelay/internal/terms"
)

// shapes are the deployments that one build serves, by settings alone: engines that tell
// of busy cores only and of no notes, with shares and a budget; and engines that report
// nothing and may not be probed.
var shapes = map[string]*strings.Replacer{
	"as before": strings.NewReplacer(),
	"busy cores": strings.NewReplacer(`"fields":["outstanding","utilization"]`, `"fields":["utilization"]`, `"note_period_ms":2000.0`, `"note_period_ms":0.0`,
		`"retry_after":true`, `"retry_after":false`, `"second_copies":true`, `"second_copies":false`,
		`"key_rest_ms":300.0`, `"key_rest_ms":300.0,"min_extra":5.0,"extra_per_request":0.2,"ratio_span_ms":10000.0`,
		`"discovery":"pushed"`, `"discovery":"pushed","my_zone":0,"over_share_worth":0.05,"customers":[{"name":"a","quota_per_s":20.0},{"name":"b","quota_per_s":9.0}]`),
	"no reports": strings.NewReplacer(`"how":"on_probe","fields":["outstanding","utilization"]`, `"how":"off","fields":[]`, `"may_probe":true`, `"may_probe":false`,
		`"memory_heeded":true`, `"memory_heeded":false`, `"cost_in_answers":true`, `"cost_in_answers":false`),
}

func TestOneBuildServesAllShapes(t *testing.T) {
	for name, shape := range shapes {
		e, f := newStand(t, serves(false)), newFeed(t)
		text := shape.Replace(settings)
		if name != "as before" && text == settings {
			t.Fatal("nothing is other in ", name)
		}
		c := startWith(t, text, 64, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.address(), "SERVING"))
		a := c.client()
		a.ask("lookup", "0001", "9000", "")
		a.expect(1, "0001\tfirst")
		a.ask("load", "0002", "9000", "k")
		a.expect(2, "0002\tfirst")
	}
}

// Half of one shape and half of another is refused at the start, by the key's own name.
func TestAMixOfShapesIsRefusedAtTheStart(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{`"may_probe":true`, `"may_probe":false`, "settings.report.how:"},
		{`"fields":["outstanding","utilization"]`, `"fields":[]`, "settings.report.fields:"},
		{`"how":"on_probe"`, `"how":"off"`, "settings.report.fields:"},
		{`"key_rest_ms":300.0`, `"key_rest_ms":300.0,"extra_per_request":0.2`, "settings.obligations.ratio_span_ms:"},
		{`"key_rest_ms":300.0`, `"key_rest_ms":300.0,"ratio_span_ms":10000.0`, "settings.obligations.extra_per_request:"},
		{`"max_retry_after_ms":1000.0`, `"max_retry_after_ms":0`, "settings.allowed.max_retry_after_ms:"},
		{`"me":0`, `"me":0,"my_zone":7`, "settings.my_zone:"},
		{`"me":0`, `"me":0,"over_share_worth":0.1,"customers":[{"name":"a","quota_per_s":2},{"name":"b"}]`, "settings.customers[1].quota_per_s:"},
		{`"me":0`, `"me":0,"customers":[{"name":"a","quota_per_s":2}]`, "settings.over_share_worth:"},
	} {
		mixed := strings.Replace(settings, c.old, c.new, 1)
		if mixed == settings {
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
		if err == nil || !bytes.Contains(out, []byte(c.key)) {
			t.Errorf("%s: %v %s", c.new, err, out)
		}
	}
	facts, err := terms.FromJSON([]byte(settings))
	if mixed := terms.Mixed(facts); err != nil || len(mixed) > 0 {
		t.Fatal("the settings as they are are no mix: ", err, mixed)
	}
}
