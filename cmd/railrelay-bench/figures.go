package main

import (
	"fmt"

	"railrelay.dev/railrelay/internal/bench"
	"railrelay.dev/railrelay/internal/capacity"
)

// scaleRecorder returns a function that appends the results of a scale run to a file. The names of
// results with relays begin with "4 relays: ", and those with only machines set aside for control
// begin with "set aside: ". So the file can hold the results of all variants.
func scaleRecorder(path string, s bench.Scale) func([]bench.ScaleRow) error {
	variant := ""
	switch {
	case s.Relays > 0:
		variant = fmt.Sprintf("%d relays: ", s.Relays)
	case s.SetAside:
		variant = "set aside: "
	}
	machine, commit := capacity.Machine(), capacity.Commit()
	return func(figures []bench.ScaleRow) error {
		rows := make([]capacity.Row, len(figures))
		for i, figure := range figures {
			rows[i] = capacity.Row{Role: figure.Role, What: variant + figure.What, Size: figure.Size,
				Seed:  figure.Seed,
				Value: figure.Value, Unit: figure.Unit, Machine: machine, Commit: commit}
		}
		return capacity.Append(path, rows)
	}
}
