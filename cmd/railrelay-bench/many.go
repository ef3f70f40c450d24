package main

import (
	"time"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/bench"
)

func manyCommand() *cobra.Command {
	fleet := bench.IdleFleet{Lease: 2 * time.Second, Changes: 5, RecordEntries: 100_000}
	c := &cobra.Command{Use: "many",
		Short: "Measure an idle fleet of many processes and its policy changes",
		Args:  cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		cost, err := fleet.Measure(c.Context())
		if err == nil {
			fleet.Print(c.OutOrStdout(), cost)
		}
		return err
	}
	c.Flags().StringVar(&fleet.Program, "program", defaultProgram, "path of the railrelay program")
	c.Flags().IntVar(&fleet.Controllers, "controllers", 50, "number of controller processes")
	c.Flags().DurationVar(&fleet.IdleTime, "rest", 10*time.Second,
		"duration of the measurement of the idle fleet")
	return c
}
