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
		Short: "start stand-in engines, a feed and a controller with teams, and look", Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		fmt.Fprintf(c.OutOrStdout(),
			"%d stand-in engines, a feed and a controller with teams; %v of queries, the last team floods\n",
			trial.Engines, trial.Duration)
		rows, err := trial.Run(c.Context())
		if err == nil {
			bench.PrintTrialResults(c.OutOrStdout(), rows)
		}
		return err
	}
	c.Flags().StringVar(&trial.Program, "program", defaultProgram, "the controller")
	c.Flags().DurationVar(&trial.Duration, "for", 20*time.Second, "time for which queries are sent")
	c.Flags().Uint64Var(&trial.Seed, "seed", 1, seedUsage)
	return c
}
