// Command railrelay-bench runs railrelay against emulated engines and clients, and measures its
// performance and behaviour.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Defaults and usage texts that several commands share.
const (
	defaultProgram          = "bin/railrelay"
	defaultPlantedDirectory = "bin/planted"
	seedUsage               = "seed of the random numbers"
)

func main() {
	// An interrupted run stops the processes that it started.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	root := &cobra.Command{Use: "railrelay-bench", SilenceUsage: true,
		Short: "Run and measure railrelay with emulated engines and clients"}
	root.AddCommand(fleetsCommand(), manyCommand(), plantedCommand(), measureCommand(), tryCommand(),
		speedCommand(), largeCommand(), scaleCommand(), hollowCommand(), datapathCommand(), pageCommand())
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		printRemedy(root.ErrOrStderr(), err)
		os.Exit(1)
	}
}
