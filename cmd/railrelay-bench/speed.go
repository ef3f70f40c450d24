package main

import (
	"time"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/bench"
)

func speedCommand() *cobra.Command {
	var program string
	var turns int
	c := &cobra.Command{Use: "speed", Short: "queries a second with fairness on and off, on sockets",
		Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		_, err := bench.CompareFairnessThroughput(c.Context(), c.OutOrStdout(), program, 3*time.Second, turns)
		return err
	}
	c.Flags().StringVar(&program, "program", defaultProgram, "the controller")
	c.Flags().IntVar(&turns, "turns", 3, "number of turns with fairness on and off, of three seconds each")
	return c
}
