package main

import (
	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/bench"
)

func plantedCommand() *cobra.Command {
	var directory string
	var build bool
	c := &cobra.Command{Use: "planted", Short: "Run the tests with one planted fault each",
		Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		if build {
			return bench.BuildPlantedFaults(c.Context(), ".", directory)
		}
		return bench.DetectPlantedFaults(c.Context(), c.OutOrStdout(), directory)
	}
	c.Flags().StringVar(&directory, "planted", defaultPlantedDirectory, "directory of the test programs")
	c.Flags().BoolVar(&build, "build", false, "only build the test programs, from the root of the repository")
	return c
}
