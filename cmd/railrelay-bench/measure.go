package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/bench"
)

func measureCommand() *cobra.Command {
	var seed uint64
	var detail bool
	var program, planted string
	c := &cobra.Command{Use: "measure NAME", Short: "Run a measurement of less than 50 s",
		Args:      cobra.ExactArgs(1),
		ValidArgs: []string{"fair", "spool", "together", "fleet", "scale"}}
	c.RunE = func(c *cobra.Command, args []string) error {
		switch args[0] {
		case "fair":
			return bench.MeasureFairness(c.OutOrStdout(), seed, detail)
		case "spool":
			return bench.MeasureSpool(c.Context(), c.OutOrStdout(), program, seed)
		case "together":
			return bench.MeasureFaultFleet(c.Context(), c.OutOrStdout(), program, planted, seed, detail)
		case "fleet":
			return bench.MeasureFleet(c.Context(), c.OutOrStdout(), program, seed)
		case "scale":
			return bench.MeasureScale(c.Context(), c.OutOrStdout(), program, seed)
		}
		return fmt.Errorf("no measurement is called %q: there are %v", args[0], c.ValidArgs)
	}
	c.Flags().Uint64Var(&seed, "seed", 1, seedUsage)
	c.Flags().StringVar(&program, "program", defaultProgram, "path of the railrelay program")
	c.Flags().StringVar(&planted, "planted", defaultPlantedDirectory,
		"directory of the tests with planted faults")
	c.Flags().BoolVar(&detail, "detail", false, "print details of each part")
	return c
}
