package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/bench"
	"railrelay.dev/railrelay/internal/capacity"
)

// datapathCommand measures the cost of engines, clients and queries on one controller.
func datapathCommand() *cobra.Command {
	path := bench.DefaultDatapath()
	file := ""
	c := &cobra.Command{Use: "datapath", Args: cobra.NoArgs,
		Short: "Measure the cost of engines, clients and queries on one controller",
		Long: "Measure the process of one controller with emulated engines, clients and a discovery service:\n" +
			"idle with each number of engines, with each number of idle clients, with queries at each rate, and\n" +
			"after the loss of an engine that runs a chain. Takes about five minutes.",
		RunE: func(c *cobra.Command, _ []string) error {
			return measureDatapath(c.Context(), c.OutOrStdout(), path, file)
		}}
	flags := c.Flags()
	flags.StringVar(&path.Program, "program", path.Program, "path of the railrelay program")
	flags.IntVar(&path.Controllers, "controllers", path.Controllers,
		"number of controllers in the set-up, which share the engines")
	flags.IntSliceVar(&path.EngineCounts, "engines", path.EngineCounts,
		"numbers of engines for the idle steps; all other steps use the largest number")
	flags.IntSliceVar(&path.QueryRates, "rates", path.QueryRates,
		"queries a second, one rate for each step with queries")
	flags.IntSliceVar(&path.ClientCounts, "clients", path.ClientCounts,
		"numbers of idle clients, one for each step")
	flags.DurationVar(&path.StepDuration, "rest", path.StepDuration, "duration of each step")
	flags.Uint64Var(&path.Seed, "seed", path.Seed, seedUsage)
	flags.StringVar(&file, "csv", "", "file to append the results to")
	return c
}

// measureDatapath runs the measurement and appends the results to a file, unless its name is empty.
func measureDatapath(ctx context.Context, out io.Writer, path bench.Datapath, file string) error {
	if file != "" { // detects a damaged file before minutes of measurement
		if err := capacity.Append(file, nil); err != nil {
			return err
		}
	}
	rows, err := path.Measure(ctx, out)
	if err != nil {
		return err
	}
	printSlopes(out, rows)
	if file == "" {
		return nil
	}
	return capacity.Append(file, rows)
}

// printSlopes prints a fitted line for each quantity that was measured at several sizes.
func printSlopes(out io.Writer, rows []capacity.Row) {
	type figure struct{ role, what, unit string }
	printed := map[figure]bool{}
	for _, row := range rows {
		f := figure{row.Role, row.What, row.Unit}
		line := capacity.FitLine(capacity.Select(rows, f.role, f.what))
		if printed[f] || line.Slope != line.Slope {
			continue
		}
		printed[f] = true
		fmt.Fprintf(out, "%s %s: %.4g + %.4g each, residual %.3g %s, %d points\n", f.role, f.what, line.Intercept,
			line.Slope,
			line.Residual, f.unit, line.Points)
	}
}
