package main

import (
	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/bench"
)

func largeCommand() *cobra.Command {
	var program string
	var results, size int
	c := &cobra.Command{Use: "large",
		Short: "Measure large results that a 64 MB controller stores on this machine's disk", Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		return bench.MeasureLargeResults(c.Context(), c.OutOrStdout(), program, results, size)
	}
	c.Flags().StringVar(&program, "program", defaultProgram, "path of the railrelay program")
	c.Flags().IntVar(&results, "results", 1, "number of results, all of which are stored on disk")
	c.Flags().IntVar(&size, "mb", 1024, "size of each result in MB")
	return c
}
