package main

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/bench"
	"railrelay.dev/railrelay/internal/capacity"
	"railrelay.dev/railrelay/internal/emulator/hollow"
)

func scaleCommand() *cobra.Command {
	s := bench.UsualScale(defaultProgram, 580)
	c := &cobra.Command{Use: "scale", Args: cobra.NoArgs, Short: "a fleet of real and hollow controllers: what each role costs, how soon a change is in force, in faults too",
		Long: "Starts real controllers and hollow ones (the real core and wire, a record in memory, no queries)\n" +
			"before idle engines, looks at them at rest, changes the policy, and changes it during faults:\n\n  " +
			strings.Join(bench.ScaleFaults(), "\n  ")}
	growth := bench.Growth{Members: 73_000, Changes: 365_000, Steps: 4, Lease: 2 * time.Second}
	var grow bool
	csv := ""
	c.RunE = func(c *cobra.Command, _ []string) error {
		if csv != "" {
			if err := capacity.Append(csv, nil); err != nil { // a damaged file is told before minutes of work
				return err
			}
			s.Record = scaleRecorder(csv, s)
		}
		if grow {
			growth.Program, growth.Seed, growth.Record = s.Program, s.Seed, s.Record
			return growth.Run(c.Context(), c.OutOrStdout())
		}
		return s.Run(c.Context(), c.OutOrStdout())
	}
	f := c.Flags()
	f.StringVar(&csv, "csv", "", "the file that the figures are added to")
	f.BoolVar(&grow, "growth", false, "look at a record that has grown over time instead of a fleet of a size")
	f.IntVar(&growth.Members, "growth-members", growth.Members, "that came and went")
	f.IntVar(&growth.Changes, "growth-changes", growth.Changes, "of policy")
	f.IntVar(&growth.Steps, "growth-steps", growth.Steps, "at which a voter is started from the record")
	f.StringVar(&s.Program, "program", s.Program, "the controller")
	f.IntVar(&s.Controllers, "controllers", s.Controllers, "of the fleet, 2 to 1200")
	f.IntVar(&s.Real, "real", s.Real, "of them are processes before all engines, 1024 at the most; the others are hollow")
	f.IntVar(&s.Voters, "voters", s.Voters, "of the real ones vote: 1, 3, 5 or 7")
	f.IntVar(&s.Relays, "relays", s.Relays, "of the real ones that don't vote gather the renewals of others; 0: none does")
	f.BoolVar(&s.SetAside, "set-aside", s.SetAside, "voters have the role control, on machines set aside for it; relays always do")
	f.IntVar(&s.Engines, "engines", s.Engines, "in the feed")
	f.Uint64Var(&s.Seed, "seed", s.Seed, seedUsage)
	f.DurationVar(&s.Lease, "lease", s.Lease, "of the fleet")
	f.DurationVar(&s.Settle, "settle", s.Settle, "waited before anything is measured")
	f.DurationVar(&s.Rest, "rest", s.Rest, "how long to look at it at rest")
	f.IntVar(&s.Changes, "changes", s.Changes, "of policy, at rest")
	f.IntVar(&s.Large, "large", s.Large, "of these are large")
	f.IntVar(&s.PolicyBytes, "policy-bytes", s.PolicyBytes, "of a policy")
	f.IntVar(&s.LargeBytes, "large-bytes", s.LargeBytes, "of a large one")
	f.StringSliceVar(&s.Faults, "faults", s.Faults, "in this order")
	f.IntVar(&s.Compare, "compare", s.Compare, "controllers by which hollow ones are held against real ones; 0: they aren't")
	f.BoolVar(&s.Linked, "links", s.Linked, "links take the times of zones and regions")
	return c
}

// hollowProcess is what a scale run starts for its hollow controllers.
func hollowCommand() *cobra.Command {
	return &cobra.Command{Use: "hollow", Hidden: true, Short: "run hollow controllers, as told on standard input", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return hollow.Run(c.Context(), c.InOrStdin(), c.OutOrStdout())
		}}
}
