// Command raillab is the laboratory: it plays the product against stand-ins and
// measures what it does.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"railrelay.dev/railrelay/internal/lab"
)

func main() {
	root := &cobra.Command{Use: "raillab", Short: "railrelay's laboratory", SilenceUsage: true}
	var seed uint64
	var detail bool
	measure := &cobra.Command{Use: "measure NAME", Short: "run a measurement, in under 50 s", Args: cobra.ExactArgs(1),
		ValidArgs: []string{"fair"}, RunE: func(c *cobra.Command, args []string) error {
			switch args[0] {
			case "fair":
				return lab.MeasureFair(c.OutOrStdout(), seed, detail)
			}
			return fmt.Errorf("no measurement is called %q: there is fair", args[0])
		}}
	measure.Flags().Uint64Var(&seed, "seed", 1, "what is drawn at random follows from")
	measure.Flags().BoolVar(&detail, "detail", false, "say more of each part")
	root.AddCommand(measure)
	if root.Execute() != nil {
		os.Exit(1)
	}
}
