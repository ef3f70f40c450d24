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

// ScaleSizeError reports a setting whose value a scale run can't have.
type ScaleSizeError struct {
	Setting string
	Value   int
	Problem string
}

func (e *ScaleSizeError) Error() string {
	return fmt.Sprintf("%s: %d %s", e.Setting, e.Value, e.Problem)
}

// Remedy returns what an operator can do.
func (e *ScaleSizeError) Remedy() string {
	return "use another number; railrelay-bench scale --help has the possible ones"
}

// ScaleResourceError reports that the machine has too little of a resource for the size of a run.
type ScaleResourceError struct {
	Resource          string
	Needed, Available int
	Unit              string
	Advice            string // how to make more available
}

func (e *ScaleResourceError) Error() string {
	return fmt.Sprintf("%s: this size needs about %d %s, but only %d are available",
		e.Resource, e.Needed, e.Unit, e.Available)
}

// Remedy returns what an operator can do.
func (e *ScaleResourceError) Remedy() string {
	return e.Advice + ", or use fewer controllers or engines"
}

const (
	maxRealControllers  = 1024
	maxScaleControllers = 1200 // a fleet has up to 1,024 members besides its voters; runs go a little beyond
	maxScaleEngines     = 10_000

	// Memory and descriptors of one item of a kind, rounded up.
	realControllerMB        = 30
	realMBPerEngine         = 0.02
	engineConnectionMB      = 0.04
	hollowControllerMB      = 6 // while large policies are changed
	benchProcessMB          = 150
	hollowDescriptors       = 12
	benchProcessDescriptors = 500
	linkDescriptors         = 16 // of the connections of one real controller through links
)

// validate returns an error if the run is impossible with these settings or on this machine.
func (s Scale) validate() error {
	switch {
	case s.Controllers < 2:
		return &ScaleSizeError{"controllers", s.Controllers, "is less than 2: a fleet has more than one controller"}
	case s.Real > maxRealControllers:
		return &ScaleSizeError{"real", s.Real, fmt.Sprintf("is more than %d processes", maxRealControllers)}
	case s.Controllers > maxScaleControllers:
		return &ScaleSizeError{"controllers", s.Controllers, fmt.Sprintf("is more than %d", maxScaleControllers)}
	case s.Real > s.Controllers:
		return &ScaleSizeError{"real", s.Real, fmt.Sprintf("is more than the %d controllers", s.Controllers)}
	case s.hasSlowDisk() && (s.Voters < 3 || s.Real >= s.Controllers):
		return &ScaleSizeError{"voters", s.Voters, "leave no hollow voter among three, whose disk can be slow"}
	case !slices.Contains([]int{1, 3, 5, 7}, s.Voters):
		return &ScaleSizeError{"voters", s.Voters, "isn't 1, 3, 5 or 7"}
	case s.Voters > s.Real:
		return &ScaleSizeError{"voters", s.Voters,
			fmt.Sprintf("is more than the %d real controllers: voters are real", s.Real)}
	case s.Relays == 1:
		return &ScaleSizeError{"relays", s.Relays, "is too few: a controller uses two relays"}
	case s.Relays > s.Real-s.Voters:
		return &ScaleSizeError{"relays", s.Relays,
			fmt.Sprintf("is more than the %d real controllers that aren't voters", s.Real-s.Voters)}
	case s.Engines < 1 || s.Engines > maxScaleEngines:
		return &ScaleSizeError{"engines", s.Engines, fmt.Sprintf("isn't between 1 and %d", maxScaleEngines)}
	case s.LargeChanges > s.Changes:
		return &ScaleSizeError{"large", s.LargeChanges, fmt.Sprintf("is more than the %d changes", s.Changes)}
	}
	if s.Compare != 0 && s.Compare < 2*s.Voters {
		return &ScaleSizeError{"compare", s.Compare,
			"gives the half hollow fleet fewer real controllers than voters"}
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

// requiredDescriptors returns the number of file descriptors of the process that needs the most. This
// process holds the engines' ends of all connections.
func (s Scale) requiredDescriptors() int {
	own := s.Engines + s.Real*s.Engines + benchProcessDescriptors + linkDescriptors*s.Real
	return max(own, hollowDescriptors*maxHollowPerProcess, 2*s.Controllers+s.Engines+benchProcessDescriptors)
}

// checkDescriptors checks that a process of the run may open enough file descriptors.
func (s Scale) checkDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	available := int(min(limit.Cur, math.MaxInt32)) // the limit may be infinite
	return checkAvailable("file descriptors", s.requiredDescriptors(), available, "descriptors per process",
		"raise ulimit -n")
}

// checkAvailable returns a ScaleResourceError if less of a resource is available than needed.
func checkAvailable(resource string, needed, available int, unit, advice string) error {
	if needed > available {
		return &ScaleResourceError{resource, needed, available, unit, advice}
	}
	return nil
}

// requiredMemoryMB returns an estimate of the memory of all processes of the run.
func (s Scale) requiredMemoryMB() int {
	perReal := realControllerMB + float64(s.Engines)*(realMBPerEngine+engineConnectionMB)
	return benchProcessMB + int(float64(s.Real)*perReal+float64(s.Controllers-s.Real)*hollowControllerMB)
}

// checkMemory checks that the run fits into the available memory and into half of the machine's memory.
func (s Scale) checkMemory() error {
	total, available, err := machineMemory()
	if err != nil {
		return err
	}
	return checkAvailable("memory", s.requiredMemoryMB(), min(available, total/2), "MB",
		"stop other programs (a run uses at most half of the machine's memory)")
}

// machineMemory returns the machine's total and available memory in MB.
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

// Errors returns one error of each kind that a scale run can return, for the test that checks all remedies.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{
		&ScaleSizeError{Setting: "controllers", Value: 1, Problem: "is less than 2"},
		&ScaleResourceError{Resource: "descriptors", Needed: 5000, Available: 1024, Unit: "of them"},
		&UnknownScaleFaultError{Name: "flood"},
	}
}
