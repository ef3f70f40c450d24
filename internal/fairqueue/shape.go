package fairqueue

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/gaissmai/bart"
)

// Shape is what the set-up says: the tree of teams, the lanes and the bounds.
type Shape struct {
	Lanes []Lane
	Teams []Team
	// Default is the name of the team of calls that name none and come from no
	// team's address.
	Default string
	// Age is how long a query waits at the most before it goes ahead of all
	// younger ones of its lane, whatever its team. Behind others of its team nobody
	// is let in whose estimate is over three fifths of it. 0: DefaultAge.
	Age time.Duration
	// Waiting bounds the queries that wait, all teams together. 0: DefaultWaiting.
	Waiting int
	// Trusted are the addresses whose calls may name a team.
	Trusted []netip.Prefix
	// Overrun is how many times its usual work a query takes before it is lowered.
	// 0: DefaultOverrun.
	Overrun float64
	// Tell is the change of an estimate, as a share of it, that is told again.
	// 0: DefaultTell.
	Tell float64
}

// What is used where the set-up says nothing.
const (
	DefaultAge     = 10 * time.Second
	DefaultWaiting = 100_000
	DefaultTeam    = 10_000 // waiting, one team
	DefaultOverrun = 4.0
	DefaultTell    = 0.25
)

// Lane is a resource group as fairness sees it.
type Lane struct {
	Name    string
	Threads float64       // a query runs on
	Value   float64       // of a query that finishes
	Ordered bool          // by key: never lowered, nor passed by a younger one of its key or chain
	Chained bool          // loads: ordered by table group too
	Usual   time.Duration // thread time of a query until any finished
	Return  time.Duration // the longest pause its clients follow, 0: any
}

// Team is a node of the tree: one with Teams of its own is a kind of customer.
type Team struct {
	Name   string
	Weight float64 // against its siblings
	Budget float64 // thread seconds a second, 0: no budget
	Burst  float64 // thread seconds that an unused budget gathers
	// Waiting bounds the team's queries that wait. 0: DefaultTeam.
	Waiting   int
	Addresses []netip.Prefix // whose calls are this team's
	Teams     []Team
}

const weightMost = 1e6

// Check says what is wrong with a shape, with the path of the part that is.
func (s *Shape) Check() error {
	if len(s.Lanes) == 0 {
		return errors.New("no resource groups")
	}
	seen := map[string]bool{}
	if err := checkTeams(s.Teams, "", seen); err != nil {
		return err
	}
	if s.Default != "" && !seen[s.Default] {
		return fmt.Errorf("default: no team is called %q", s.Default)
	}
	return nil
}

func checkTeams(l []Team, path string, seen map[string]bool) error {
	for _, t := range l {
		at := path + t.Name
		switch {
		case t.Name == "":
			return fmt.Errorf("%s: a team without a name", path)
		case !(t.Weight > 0) || t.Weight > weightMost || math.IsInf(t.Weight, 0):
			return fmt.Errorf("%s: a weight of %v", at, t.Weight)
		case t.Budget < 0 || t.Burst < 0 || math.IsNaN(t.Budget+t.Burst):
			return fmt.Errorf("%s: a budget of %v with a burst of %v", at, t.Budget, t.Burst)
		case len(t.Teams) == 0 && seen[t.Name]:
			return fmt.Errorf("%s: a second team of this name", at)
		case len(t.Teams) > 0 && len(t.Addresses) > 0:
			return fmt.Errorf("%s: addresses belong to a team, not to a kind", at)
		}
		if len(t.Teams) == 0 {
			seen[t.Name] = true
		} else if err := checkTeams(t.Teams, at+"/", seen); err != nil {
			return err
		}
	}
	return nil
}

// Who tells whose a call is: by the team it names, if its address may name
// one, else by its address, else the default team.
type Who struct {
	names   map[string]int
	trusted bart.Lite
	owners  bart.Table[int]
	usual   int
}

func newWho(s *Shape, plans []plan) *Who {
	w := &Who{names: make(map[string]int, len(plans)), usual: 0}
	for i, p := range plans {
		if p.leaf {
			w.names[p.Name] = i
			for _, a := range p.Addresses {
				w.owners.Insert(a.Masked(), i)
			}
		}
	}
	for _, a := range s.Trusted {
		w.trusted.Insert(a.Masked())
	}
	if i, ok := w.names[s.Default]; ok {
		w.usual = i
	} else {
		w.usual = len(plans) - 1 // planned as the last
	}
	return w
}

// Whose is the team's number. named is what the call says, empty for nothing;
// where it isn't believed or isn't known, the address decides.
func (w *Who) Whose(from netip.Addr, named []byte) int {
	from = from.Unmap()
	if len(named) > 0 && from.IsValid() && w.trusted.Contains(from) {
		if i, ok := w.names[string(named)]; ok {
			return i
		}
	}
	if from.IsValid() {
		if i, ok := w.owners.Lookup(from); ok {
			return i
		}
	}
	return w.usual
}
