package main

import (
	"time"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/bench"
)

func speedCommand() *cobra.Command {
	var program string
	var turns int
	c := &cobra.Command{Use: "speed", Short: "Compare query throughput with fairness on and off",
		Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		_, err := bench.CompareFairnessThroughput(c.Context(), c.OutOrStdout(), program, 3*time.Second, turns)
		return err
	}
	c.Flags().StringVar(&program, "program", defaultProgram, "path of the railrelay program")
	c.Flags().IntVar(&turns, "turns", 3,
		"number of rounds, each of three seconds with fairness on and three with fairness off")
	return c
}
