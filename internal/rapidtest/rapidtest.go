// Package rapidtest is for tests only: it runs a package's tests so that drawn cases are the
// same every time.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"
)

// Config says how pgregory.net/rapid draws.
type Config struct {
	Seed   uint64        // of all draws
	Checks int           // cases of each property
	Shrink time.Duration // at the most, to make a failing case smaller; 0: rapid's default
}

// Main runs the tests and exits. A TestMain calls it. It writes no files for failing cases:
// the seed draws them again.
func Main(m *testing.M, c Config) {
	flag.Parse()
	set("rapid.seed", strconv.FormatUint(c.Seed, 10))
	set("rapid.checks", strconv.Itoa(c.Checks))
	if c.Shrink > 0 {
		set("rapid.shrinktime", c.Shrink.String())
	}
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// set sets a flag of rapid, which the package under test links.
func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
