package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/capacity"
)

// pageCommand fills the tables of the capacity page with the measured results.
func pageCommand() *cobra.Command {
	path, file := "docs/CAPACITY.md", "docs/capacity.csv"
	c := &cobra.Command{Use: "page", Short: "Fill the tables of the capacity page with the measured results",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			rows, err := capacity.Read(file)
			if err != nil {
				return err
			}
			filled, err := capacity.FillPage(string(text), rows)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d figures, %d formulas not measured yet, %d lines changed\n",
				filled.Figures, filled.Unmeasured, len(filled.Changed))
			unlisted, within := capacity.Missing(filled.Text)
			for _, line := range unlisted {
				fmt.Fprintln(c.OutOrStdout(), "over its allowance, to be listed as missing:", line)
			}
			for _, line := range within {
				fmt.Fprintln(c.OutOrStdout(), "listed as missing, and within its allowance:", line)
			}
			return os.WriteFile(path, []byte(filled.Text), 0o644)
		}}
	c.Flags().StringVar(&path, "page", path, "path of the page")
	c.Flags().StringVar(&file, "csv", file, "file with the measured results")
	return c
}
