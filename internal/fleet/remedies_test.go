package fleet_test

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"railrelay.dev/railrelay/internal/bench"
	"railrelay.dev/railrelay/internal/capacity"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/driver"
	"railrelay.dev/railrelay/internal/fleet/storage"
	"railrelay.dev/railrelay/internal/fleet/transport"
	"railrelay.dev/railrelay/internal/residency"
	"railrelay.dev/railrelay/internal/resultcache"
	"railrelay.dev/railrelay/internal/setup"
)

// Every error type that an operator may see has a text and a remedy of its own, and
// docs/operate/fleet.md lists it. A type that is missing from its package's Errors function is
// found in the package's source.
func TestEveryErrorHasARemedyAndIsInTheDocs(t *testing.T) {
	docs, err := os.ReadFile("../../docs/operate/fleet.md")
	if err != nil {
		t.Fatal(err)
	}
	registered := slices.Concat(resultcache.Errors(), capacity.Errors(), fleet.Errors(), consensus.Errors(),
		storage.Errors(), driver.Errors(), bench.Errors(), transport.Errors(), residency.Errors(), setup.Errors())
	known, texts := map[string]bool{}, map[string]string{}
	for _, e := range registered {
		name := strings.TrimPrefix(fmt.Sprintf("%T", e), "*")
		known[name] = true
		for what, text := range map[string]string{"error": e.Error(), "remedy": e.Remedy()} {
			if strings.TrimSpace(text) == "" {
				t.Errorf("%s has no %s", name, what)
			}
			if other := texts[what+text]; other != "" && other != name {
				t.Errorf("%s and %s have the same %s: %s", name, other, what, text)
			}
			texts[what+text] = name
		}
		if !strings.Contains(string(docs), "`"+name+"`") {
			t.Errorf("docs/operate/fleet.md doesn't list %s", name)
		}
	}
	remedy := regexp.MustCompile(`(?m)^func \(\w+ \*?(\w+)\) Remedy\(\) string`)
	found := 0
	err = filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range remedy.FindAllSubmatch(text, -1) {
			found++
			if name := filepath.Base(filepath.Dir(path)) + "." + string(m[1]); !known[strings.TrimPrefix(name, "...")] && !known[name] {
				t.Errorf("%s: %s is missing from its package's Errors function", path, name)
			}
		}
		return err
	})
	if err != nil || found < 20 {
		t.Fatal(found, err)
	}
}
