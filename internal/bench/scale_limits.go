package bench

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"railrelay.dev/railrelay/internal/fleet"
)

// ScaleSizeError is a size that a scale run can't have.
type ScaleSizeError struct {
	Setting string
	Value   int
	Problem string
}

func (e *ScaleSizeError) Error() string {
	return fmt.Sprintf("%s: %d %s", e.Setting, e.Value, e.Problem)
}

// Remedy says what to do.
func (e *ScaleSizeError) Remedy() string {
	return "give another number: railrelay-bench scale --help says which are possible"
}

// ScaleResourceError is a machine that hasn't enough of something for the size asked for.
type ScaleResourceError struct {
	Resource          string
	Needed, Available int
	Unit              string
	Advice            string // how to have more of it
}

func (e *ScaleResourceError) Error() string {
	return fmt.Sprintf("%s: about %d %s are needed for this size, %d may be used", e.Resource, e.Needed, e.Unit, e.Available)
}

// Remedy says what to do.
func (e *ScaleResourceError) Remedy() string {
	return e.Advice + ", or ask for fewer controllers or engines"
}

const (
	maxRealControllers  = 1024
	maxScaleControllers = 1200 // the record is for 1,024 beside its voters; the curve is looked at a little beyond
	maxScaleEngines     = 10_000

	// What one of a kind takes, rounded up from what was seen.
	realControllerMB        = 30
	realMBPerEngine         = 0.02
	engineConnectionMB      = 0.04
	hollowControllerMB      = 6 // while large policies are changed
	benchProcessMB          = 150
	hollowDescriptors       = 12
	benchProcessDescriptors = 500
	linkDescriptors         = 16 // of a process's connections through links
)

// validate refuses what can't be played, before anything starts.
func (s Scale) validate() error {
	switch {
	case s.Controllers < 2:
		return &ScaleSizeError{"controllers", s.Controllers, "is under 2: a fleet has more than one"}
	case s.Real > maxRealControllers:
		return &ScaleSizeError{"real", s.Real, fmt.Sprintf("is over %d processes", maxRealControllers)}
	case s.Controllers > maxScaleControllers:
		return &ScaleSizeError{"controllers", s.Controllers, fmt.Sprintf("is over %d", maxScaleControllers)}
	case s.Real > s.Controllers:
		return &ScaleSizeError{"real", s.Real, fmt.Sprintf("is over the %d controllers", s.Controllers)}
	case s.hasSlowDisk() && (s.Voters < 3 || s.Real >= s.Controllers):
		return &ScaleSizeError{"voters", s.Voters, "leave no hollow one among three, whose disk can be slow"}
	case !slices.Contains([]int{1, 3, 5, 7}, s.Voters):
		return &ScaleSizeError{"voters", s.Voters, "isn't 1, 3, 5 or 7"}
	case s.Voters > s.Real:
		return &ScaleSizeError{"voters", s.Voters, fmt.Sprintf("is over the %d real controllers: voters are real", s.Real)}
	case s.Relays == 1:
		return &ScaleSizeError{"relays", s.Relays, "leaves no second one: a controller knows two"}
	case s.Relays > s.Real-s.Voters:
		return &ScaleSizeError{"relays", s.Relays, fmt.Sprintf("is over the %d real controllers that don't vote", s.Real-s.Voters)}
	case s.Engines < 1 || s.Engines > maxScaleEngines:
		return &ScaleSizeError{"engines", s.Engines, fmt.Sprintf("isn't between 1 and %d", maxScaleEngines)}
	case s.LargeChanges > s.Changes:
		return &ScaleSizeError{"large", s.LargeChanges, fmt.Sprintf("is over the %d changes", s.Changes)}
	}
	if s.Compare != 0 && s.Compare < 2*s.Voters {
		return &ScaleSizeError{"compare", s.Compare, "has fewer real controllers in its half than vote"}
	}
	for _, name := range s.Faults {
		if scaleFaults[name] == nil {
			return &UnknownScaleFaultError{name}
		}
	}
	if err := s.checkDescriptors(); err != nil {
		return err
	}
	return s.checkMemory()
}

// requiredDescriptors are those of the process that needs the most: this one holds the engines'
// ends of all connections.
func (s Scale) requiredDescriptors() int {
	own := s.Engines + s.Real*s.Engines + benchProcessDescriptors + linkDescriptors*s.Real
	return max(own, hollowDescriptors*maxHollowPerProcess, 2*s.Controllers+s.Engines+benchProcessDescriptors)
}

func (s Scale) checkDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	have := int(min(limit.Cur, math.MaxInt32)) // it may have no limit
	return checkAvailable("file descriptors", s.requiredDescriptors(), have, "descriptors a process", "raise ulimit -n")
}

// checkAvailable is an error where less may be used than is needed.
func checkAvailable(what string, needed, have int, unit, raise string) error {
	if needed > have {
		return &ScaleResourceError{what, needed, have, unit, raise}
	}
	return nil
}

// requiredMemoryMB is what the whole run should take.
func (s Scale) requiredMemoryMB() int {
	perReal := realControllerMB + float64(s.Engines)*(realMBPerEngine+engineConnectionMB)
	return benchProcessMB + int(float64(s.Real)*perReal+float64(s.Controllers-s.Real)*hollowControllerMB)
}

// checkMemory lets a run take what is available, and half of the machine's at the most.
func (s Scale) checkMemory() error {
	total, available, err := machineMemory()
	if err != nil {
		return err
	}
	return checkAvailable("memory", s.requiredMemoryMB(), min(available, total/2), "MB", "end other programs: half of the machine's memory may be used")
}

// machineMemory is what the machine has, in MB.
func machineMemory() (total, available int, err error) {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0, 0, err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "MemTotal:":
			total = kilobytes >> 10
		case "MemAvailable:":
			available = kilobytes >> 10
		}
	}
	return total, available, nil
}

// Errors is one of each kind that a run at a size ends with, for the test that walks all.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{
		&ScaleSizeError{Setting: "controllers", Value: 1, Problem: "is under 2"},
		&ScaleResourceError{Resource: "descriptors", Needed: 5000, Available: 1024, Unit: "of them"},
		&UnknownScaleFaultError{Name: "flood"},
	}
}
