// Command railrelay-bench is the laboratory: it plays the product against stand-ins and
// measures what it does.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// What several commands say alike.
const (
	defaultProgram          = "bin/railrelay"
	defaultPlantedDirectory = "bin/planted"
	seedUsage               = "what is drawn at random follows from"
)

func main() {
	// a play that is interrupted ends what it has started
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	root := &cobra.Command{Use: "railrelay-bench", Short: "railrelay's laboratory", SilenceUsage: true}
	root.AddCommand(fleetsCommand(), manyCommand(), plantedCommand(), measureCommand(), tryCommand(), speedCommand(), largeCommand(), scaleCommand(), hollowCommand(), datapathCommand(), pageCommand())
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		printRemedy(root.ErrOrStderr(), err)
		os.Exit(1)
	}
}
