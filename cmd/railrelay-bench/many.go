package main

import (
	"time"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/bench"
)

func manyCommand() *cobra.Command {
	play := bench.IdleFleet{Lease: 2 * time.Second, Changes: 5, RecordEntries: 100_000}
	c := &cobra.Command{Use: "many",
		Short: "a fleet of many processes: what each costs, how soon a change is in force on all",
		Args:  cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		cost, err := play.Measure(c.Context())
		if err == nil {
			play.Print(c.OutOrStdout(), cost)
		}
		return err
	}
	c.Flags().StringVar(&play.Program, "program", defaultProgram, "the controller")
	c.Flags().IntVar(&play.Controllers, "controllers", 50, "processes")
	c.Flags().DurationVar(&play.IdleTime, "rest", 10*time.Second, "duration of the measurement at rest")
	return c
}
