package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/bench"
)

func tryCommand() *cobra.Command {
	trial := &bench.Trial{Engines: 6, ControllerLog: os.Stderr}
	c := &cobra.Command{Use: "try",
		Short: "Run a controller with several teams on emulated engines and print the results",
		Args:  cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		fmt.Fprintf(c.OutOrStdout(),
			"%d emulated engines, a discovery service and a controller with teams; queries for %v, "+
				"the last team floods\n",
			trial.Engines, trial.Duration)
		rows, err := trial.Run(c.Context())
		if err == nil {
			bench.PrintTrialResults(c.OutOrStdout(), rows)
		}
		return err
	}
	c.Flags().StringVar(&trial.Program, "program", defaultProgram, "path of the railrelay program")
	c.Flags().DurationVar(&trial.Duration, "for", 20*time.Second, "duration of the queries")
	c.Flags().Uint64Var(&trial.Seed, "seed", 1, seedUsage)
	return c
}
