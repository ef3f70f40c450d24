// Command raillab is the laboratory: it plays the product against stand-ins and
// measures what it does.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/lab"
)

func main() {
	root := &cobra.Command{Use: "raillab", Short: "railrelay's laboratory", SilenceUsage: true}
	var seed uint64
	var detail bool
	program, planted := "bin/railrelay", ""
	measure := &cobra.Command{Use: "measure NAME", Short: "run a measurement, in under 50 s", Args: cobra.ExactArgs(1),
		ValidArgs: []string{"fair", "spool", "together", "fleet"}, RunE: func(c *cobra.Command, args []string) error {
			switch args[0] {
			case "fair":
				return lab.MeasureFair(c.OutOrStdout(), seed, detail)
			case "spool":
				return lab.MeasureSpool(c.Context(), c.OutOrStdout(), program, seed)
			case "together":
				return lab.MeasureTogether(c.Context(), c.OutOrStdout(), program, planted, seed, detail)
			case "fleet":
				return lab.MeasureFleet(c.Context(), c.OutOrStdout(), program, seed)
			}
			return fmt.Errorf("no measurement is called %q: there are fair, spool, together and fleet", args[0])
		}}
	measure.Flags().Uint64Var(&seed, "seed", 1, "what is drawn at random follows from")
	measure.Flags().StringVar(&program, "program", program, "the controller")
	measure.Flags().StringVar(&planted, "planted", "bin/planted", "where the tests with planted faults are")
	measure.Flags().BoolVar(&detail, "detail", false, "say more of each part")
	trial := &lab.Trial{Engines: 6, Log: os.Stderr}
	try := &cobra.Command{Use: "try", Short: "start stand-in engines, a feed and a controller with teams, and look", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			fmt.Fprintf(c.OutOrStdout(), "%d stand-in engines, a feed and a controller with teams; %v of queries, the last team floods\n",
				trial.Engines, trial.Long)
			rows, err := trial.Run(c.Context())
			if err == nil {
				lab.PrintRows(c.OutOrStdout(), rows)
			}
			return err
		}}
	try.Flags().StringVar(&trial.Program, "program", "bin/railrelay", "the controller")
	try.Flags().DurationVar(&trial.Long, "for", 20*time.Second, "how long to ask")
	try.Flags().Uint64Var(&trial.Seed, "seed", 1, "what is drawn at random follows from")
	turns := 3
	speed := &cobra.Command{Use: "speed", Short: "queries a second with fairness on and off, on sockets", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := lab.SpeedOnSockets(c.Context(), c.OutOrStdout(), trial.Program, 3*time.Second, turns)
			return err
		}}
	speed.Flags().StringVar(&trial.Program, "program", "bin/railrelay", "the controller")
	speed.Flags().IntVar(&turns, "turns", 3, "of three seconds each, on and off")
	results, size := 1, 1024
	large := &cobra.Command{Use: "large", Short: "large results through a program of 64 MB, on the disk of this machine", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return lab.Large(c.Context(), c.OutOrStdout(), program, results, size)
		}}
	large.Flags().StringVar(&program, "program", program, "the controller")
	large.Flags().IntVar(&results, "results", results, "all of them are kept on disk")
	large.Flags().IntVar(&size, "mb", size, "of each")
	crowd := lab.Many{Program: program, Lease: 2 * time.Second, Changes: 5, Entries: 100_000}
	many := &cobra.Command{Use: "many", Short: "a fleet of many processes: what each costs, how soon a change is in force on all", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cost, err := crowd.Measure(c.Context())
			if err == nil {
				crowd.Print(c.OutOrStdout(), cost)
			}
			return err
		}}
	many.Flags().StringVar(&crowd.Program, "program", program, "the controller")
	many.Flags().IntVar(&crowd.Controllers, "controllers", 50, "processes")
	many.Flags().DurationVar(&crowd.Rest, "rest", 10*time.Second, "how long to look at them at rest")
	build := false
	sought := &cobra.Command{Use: "planted", Short: "play the tests that have one planted fault each", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if build {
				return lab.BuildPlanted(c.Context(), ".", planted)
			}
			return lab.FindPlanted(c.Context(), c.OutOrStdout(), planted)
		}}
	sought.Flags().StringVar(&planted, "planted", "bin/planted", "where they are")
	sought.Flags().BoolVar(&build, "build", false, "only build them, from the tree in the working directory")
	from, plays := uint64(1), 2000
	fleets := &cobra.Command{Use: "fleets", Short: "play drawn fleets in virtual time, and say how the first broke a rule", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			runs, ordered, late, broken, first := lab.Hunt(c.Context(), from, plays, time.Hour)
			fmt.Fprintf(c.OutOrStdout(), "runs=%d rules_broken=%d order_checked=%d late_deliveries=%d\n", runs, broken, ordered, late)
			if first == nil {
				return nil
			}
			first.Explain(c.OutOrStdout())
			return fmt.Errorf("seed %d breaks a rule", first.Seed)
		}}
	fleets.Flags().Uint64Var(&from, "seed", 1, "of the first")
	fleets.Flags().IntVar(&plays, "plays", plays, "how many")
	root.AddCommand(fleets, many, sought, measure, try, speed, large)
	if root.ExecuteContext(context.Background()) != nil {
		os.Exit(1)
	}
}
