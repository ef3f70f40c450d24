package cli

import (
	"strings"
	"testing"
)

func TestSettingsWarnings(t *testing.T) {
	lines := strings.Join(settingsWarnings(map[string]string{"gateways": "0", "groups": "1",
		"group.0.effect": "whatever", "group.0.timeout": "5000"}), "\n")
	for _, want := range []string{"settings.balancers", "settings.classes[0].name",
		`settings.classes[0].effect: "whatever"`, "settings.classes[0].objective_ms"} {
		if !strings.Contains(lines, want) {
			t.Errorf("no warning for %s: %s", want, lines)
		}
	}
	if strings.Contains(lines, "deadline_ms") {
		t.Errorf("warning for a valid setting: %s", lines)
	}
	if l := settingsWarnings(nil); len(l) != 2 {
		t.Errorf("with empty settings: %q", l)
	}
}
