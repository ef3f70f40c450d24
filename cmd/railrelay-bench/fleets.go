package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/bench"
)

func fleetsCommand() *cobra.Command {
	var firstSeed uint64
	var maxRuns int
	c := &cobra.Command{Use: "fleets",
		Short: "Run random fleet scenarios in virtual time and explain the first violation", Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		runs, orderChecks, lateDeliveries, violations, failed := bench.SearchFleetScenarios(
			c.Context(), firstSeed, maxRuns, time.Hour)
		fmt.Fprintf(c.OutOrStdout(), "runs=%d rules_broken=%d order_checked=%d late_deliveries=%d\n", runs,
			violations, orderChecks, lateDeliveries)
		if failed == nil {
			return nil
		}
		failed.Explain(c.OutOrStdout())
		return fmt.Errorf("seed %d breaks a rule", failed.Seed)
	}
	c.Flags().Uint64Var(&firstSeed, "seed", 1, "seed of the first run")
	c.Flags().IntVar(&maxRuns, "plays", 2000, "maximum number of runs")
	return c
}
