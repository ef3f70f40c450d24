package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/bench"
	"railrelay.dev/railrelay/internal/capacity"
)

// datapath measures the data path of one controller.
func datapathCommand() *cobra.Command {
	path := bench.UsualDatapath()
	file := ""
	c := &cobra.Command{Use: "datapath", Short: "what engines, clients and queries cost one controller", Args: cobra.NoArgs,
		Long: "One controller's process before stand-in engines, clients and a feed: idle before engines of each size, with idle\n" +
			"clients of each size, with queries at each rate, and once the engine of a chain is lost. About five minutes.",
		RunE: func(c *cobra.Command, _ []string) error {
			return measureDatapath(c.Context(), c.OutOrStdout(), path, file)
		}}
	flags := c.Flags()
	flags.StringVar(&path.Program, "program", path.Program, "the controller")
	flags.IntVar(&path.Controllers, "controllers", path.Controllers, "that its set-up says share the engines")
	flags.IntSliceVar(&path.Engines, "engines", path.Engines, "sizes to idle before; the largest is used for all else")
	flags.IntSliceVar(&path.Rates, "rates", path.Rates, "queries a second")
	flags.IntSliceVar(&path.Clients, "clients", path.Clients, "sizes of the steps of idle clients")
	flags.DurationVar(&path.Rest, "rest", path.Rest, "how long each is looked at")
	flags.Uint64Var(&path.Seed, "seed", path.Seed, seedUsage)
	flags.StringVar(&file, "csv", "", "the file that the figures are added to")
	return c
}

// measureDatapath measures, and adds the figures to a file if one is named.
func measureDatapath(ctx context.Context, out io.Writer, path bench.Datapath, file string) error {
	if file != "" { // a damaged file is told before minutes of work
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

// printSlopes fits a line through each figure of several sizes.
func printSlopes(out io.Writer, rows []capacity.Row) {
	type figure struct{ role, what, unit string }
	told := map[figure]bool{}
	for _, row := range rows {
		f := figure{row.Role, row.What, row.Unit}
		line := capacity.Slope(capacity.Select(rows, f.role, f.what))
		if told[f] || line.Slope != line.Slope {
			continue
		}
		told[f] = true
		fmt.Fprintf(out, "%s %s: %.4g + %.4g each, residual %.3g %s, %d points\n", f.role, f.what, line.Intercept, line.Slope,
			line.Residual, f.unit, line.Points)
	}
}
