package bench

import (
	"context"
	"io"
	"time"
)

// DefaultScale returns the scale run of the capacity page for a number of controllers.
func DefaultScale(program string, controllers int) Scale {
	return Scale{Program: program, Controllers: controllers, Real: min(controllers, 12), Voters: 3,
		Engines: 740, Seed: 1, Lease: 2 * time.Second, Settle: 5 * time.Second, Rest: 20 * time.Second,
		Changes: 24, LargeChanges: 4, PolicyBytes: 1000, LargeBytes: 100_000,
		Faults:  []string{"killed", "paused", "leader", "zone", "restart", "regions"},
		Compare: 40, LinkDelays: true}
}

// recommendedRelays is the number of relays that the capacity page recommends for 580 controllers.
const recommendedRelays = 4

// WithRelays returns the run with voters and relays on machines set aside for control. The relays are
// additional real controllers, and one of them is killed as the first fault.
func (s Scale) WithRelays() Scale {
	s.SetAside, s.Relays = true, recommendedRelays
	s.Real = min(s.Controllers, s.Real+recommendedRelays)
	s.Faults = append([]string{"relay"}, s.Faults...)
	return s
}

// MeasureScale runs a short form of the run with 580 controllers and relays, which takes less than 50 s.
func MeasureScale(ctx context.Context, out io.Writer, program string, seed uint64) error {
	s := DefaultScale(program, 580)
	s.Seed, s.Settle, s.Rest, s.Changes, s.LargeChanges = seed, time.Second, 3*time.Second, 15, 2
	s.Faults = []string{"killed", "leader", "zone"}
	return s.WithRelays().Run(ctx, out)
}
