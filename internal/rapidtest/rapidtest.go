// Package rapidtest runs a package's tests so that the property tests of pgregory.net/rapid draw the
// same cases each time. Only tests use it.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"
)

// Config configures pgregory.net/rapid.
type Config struct {
	Seed   uint64        // seed of all draws
	Checks int           // number of cases per property
	Shrink time.Duration // time limit for shrinking a failing case; 0 means rapid's default
}

// Main runs the tests and exits; call it from TestMain. It writes no files for failing cases,
// because the seed reproduces them.
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

// set sets a flag that rapid registers in the test binary.
func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
