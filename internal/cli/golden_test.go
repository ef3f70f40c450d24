package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"railrelay.dev/railrelay/internal/goldentest"
)

// The platform writes keys in lower case.
func TestGoldenPlatformConfigurationIsRead(t *testing.T) {
	want := platformConfig{
		Listen: "127.0.0.1:6000", Seed: "1f", Feed: "127.0.0.1:6001",
		Known: json.RawMessage(`{"n":1,"events":[]}`), Settings: json.RawMessage(`{"balancers":2}`),
	}
	want.Limits.Cores = 1.5
	want.Limits.MemoryMB = 256
	want.Limits.Sockets = 4096
	goldentest.EveryFieldSet(t, goldentest.JSON, want)
	got, err := readPlatformConfig(filepath.Join(goldentest.Folder, "platform.json"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("the configuration (-want +got):\n%s", diff)
	}
}

// Errors must keep the key names from before the keys got explicit tags.
func TestGoldenPlatformConfigurationErrors(t *testing.T) {
	for file, text := range map[string]string{
		"error_cores":   `{"limits":{"cores":"x"}}`,
		"error_sockets": `{"LIMITS":{"Sockets":"x"}}`,
	} {
		path := filepath.Join(t.TempDir(), file)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := readPlatformConfig(path)
		if err == nil {
			t.Fatal(file, "was accepted")
		}
		goldentest.Same(t, file, []byte(err.Error()+"\n"))
	}
}
