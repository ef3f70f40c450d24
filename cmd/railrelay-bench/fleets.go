package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/bench"
)

func fleetsCommand() *cobra.Command {
	var from uint64
	var plays int
	c := &cobra.Command{Use: "fleets",
		Short: "play drawn fleets in virtual time, and say how the first broke a rule", Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		runs, ordered, late, broken, first := bench.SearchFleetScenarios(c.Context(), from, plays, time.Hour)
		fmt.Fprintf(c.OutOrStdout(), "runs=%d rules_broken=%d order_checked=%d late_deliveries=%d\n", runs, broken,
			ordered, late)
		if first == nil {
			return nil
		}
		first.Explain(c.OutOrStdout())
		return fmt.Errorf("seed %d breaks a rule", first.Seed)
	}
	c.Flags().Uint64Var(&from, "seed", 1, "seed of the first run")
	c.Flags().IntVar(&plays, "plays", 2000, "number of runs")
	return c
}
