package main

import (
	"errors"
	"fmt"
	"io"

	"railrelay.dev/railrelay/internal/fleet"
)

// remedy says what can be done about an error, where it knows.
func printRemedy(out io.Writer, err error) {
	var remedied fleet.ErrorWithRemedy
	if errors.As(err, &remedied) {
		fmt.Fprintln(out, "Remedy:", remedied.Remedy())
	}
}
