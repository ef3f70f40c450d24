package main

import (
	"errors"
	"fmt"
	"io"

	"railrelay.dev/railrelay/internal/fleet"
)

// printRemedy prints the remedy of an error that has one.
func printRemedy(out io.Writer, err error) {
	var remedied fleet.ErrorWithRemedy
	if errors.As(err, &remedied) {
		fmt.Fprintln(out, "Remedy:", remedied.Remedy())
	}
}
