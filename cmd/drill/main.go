// Command drill puts the decisions on the bench's wire, on standard input and
// output.
package main

import (
	"fmt"
	"os"

	"railrelay.dev/railrelay/internal/simwire"
)

func main() {
	if err := simwire.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
