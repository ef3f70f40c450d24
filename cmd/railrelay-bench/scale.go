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
	s := bench.DefaultScale(defaultProgram, 580)
	c := &cobra.Command{Use: "scale", Args: cobra.NoArgs,
		Short: "Measure a fleet of real and hollow controllers: usage by role, time until a change is in force",
		Long: "Start real controllers, hollow controllers and idle engines. Hollow controllers run the fleet's\n" +
			"node and transport with a log in memory and serve no queries. Measure the controllers at rest,\n" +
			"during policy changes, and during policy changes with faults:\n\n  " +
			strings.Join(bench.ScaleFaults(), "\n  ")}
	growth := bench.Growth{Members: 73_000, Changes: 365_000, Steps: 4, Lease: 2 * time.Second}
	var grow bool
	csv := ""
	c.RunE = func(c *cobra.Command, _ []string) error {
		if csv != "" {
			if err := capacity.Append(csv, nil); err != nil { // detects a damaged file before minutes of measurement
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
	f.StringVar(&csv, "csv", "", "file to append the results to")
	f.BoolVar(&grow, "growth", false,
		"measure a log that grew over time instead of a fleet of a given size")
	f.IntVar(&growth.Members, "growth-members", growth.Members, "number of members that joined and left")
	f.IntVar(&growth.Changes, "growth-changes", growth.Changes, "number of policy changes")
	f.IntVar(&growth.Steps, "growth-steps", growth.Steps,
		"number of log sizes at which a voter is started from the log")
	f.StringVar(&s.Program, "program", s.Program, "path of the railrelay program")
	f.IntVar(&s.Controllers, "controllers", s.Controllers, "number of controllers in the fleet, 2 to 1200")
	f.IntVar(&s.Real, "real", s.Real,
		"number of real controller processes with all engines, at most 1024; the others are hollow")
	f.IntVar(&s.Voters, "voters", s.Voters, "number of real controllers that vote: 1, 3, 5 or 7")
	f.IntVar(&s.Relays, "relays", s.Relays,
		"number of non-voting real controllers that relay the lease renewals of other controllers")
	f.BoolVar(&s.SetAside, "set-aside", s.SetAside,
		"run voters with the role control, on machines set aside for it; relays always run so")
	f.IntVar(&s.Engines, "engines", s.Engines, "number of engines in the discovery list")
	f.Uint64Var(&s.Seed, "seed", s.Seed, seedUsage)
	f.DurationVar(&s.Lease, "lease", s.Lease, "duration of a serving lease")
	f.DurationVar(&s.Settle, "settle", s.Settle, "time to wait before the first measurement")
	f.DurationVar(&s.Rest, "rest", s.Rest, "duration of the measurement at rest")
	f.IntVar(&s.Changes, "changes", s.Changes, "number of policy changes without faults")
	f.IntVar(&s.LargeChanges, "large", s.LargeChanges, "number of policy changes with a large policy")
	f.IntVar(&s.PolicyBytes, "policy-bytes", s.PolicyBytes, "size of a policy in bytes")
	f.IntVar(&s.LargeBytes, "large-bytes", s.LargeBytes, "size of a large policy in bytes")
	f.StringSliceVar(&s.Faults, "faults", s.Faults, "faults to inject, in this order")
	f.IntVar(&s.Compare, "compare", s.Compare,
		"number of controllers in the comparison of hollow with real ones; 0 skips the comparison")
	f.BoolVar(&s.LinkDelays, "links", s.LinkDelays, "add network delays between zones and regions")
	return c
}

// hollowCommand runs the hollow controllers of a scale run, which starts it as a process.
func hollowCommand() *cobra.Command {
	return &cobra.Command{Use: "hollow", Hidden: true,
		Short: "Run hollow controllers as configured on standard input", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return hollow.Run(c.Context(), c.InOrStdin(), c.OutOrStdout())
		}}
}
