// Command railrelay-sim runs the scheduler under the simulator. It speaks the simulator's protocol on
// standard input and output.
package main

import (
	"fmt"
	"os"

	"railrelay.dev/railrelay/internal/simadapter"
)

func main() {
	if err := simadapter.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "railrelay-sim:", err)
		os.Exit(1)
	}
}
