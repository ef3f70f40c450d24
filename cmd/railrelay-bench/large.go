package main

import (
	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/bench"
)

func largeCommand() *cobra.Command {
	var program string
	var results, size int
	c := &cobra.Command{Use: "large",
		Short: "large results through a program of 64 MB, on the disk of this machine", Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		return bench.MeasureLargeResults(c.Context(), c.OutOrStdout(), program, results, size)
	}
	c.Flags().StringVar(&program, "program", defaultProgram, "the controller")
	c.Flags().IntVar(&results, "results", 1, "number of results, which are all kept on disk")
	c.Flags().IntVar(&size, "mb", 1024, "size of each result in MB")
	return c
}
