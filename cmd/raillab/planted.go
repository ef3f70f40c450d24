package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/lab"
)

func planted() *cobra.Command {
	var directory string
	var list bool
	c := &cobra.Command{Use: "planted", Short: "play the tests that have one planted fault each", Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		if list {
			for _, b := range lab.PlantedBuilds() {
				fmt.Fprintln(c.OutOrStdout(), b.Tag, b.Package)
			}
			return nil
		}
		return lab.FindPlanted(c.Context(), c.OutOrStdout(), directory)
	}
	c.Flags().StringVar(&directory, "planted", plantedDefault, "where they are")
	c.Flags().BoolVar(&list, "list", false, "only name tags and packages")
	return c
}
