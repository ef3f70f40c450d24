package main

import (
	"fmt"

	"railrelay.dev/railrelay/internal/bench"
	"railrelay.dev/railrelay/internal/capacity"
)

// keepScale adds a scale run's figures to a file. Those of a fleet with relays, or with
// machines set aside alone, have names of their own: they begin with "4 relays: " or
// "set aside: ", so that runs without and with them stand side by side.
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
			rows[i] = capacity.Row{Role: figure.Role, What: variant + figure.What, Size: figure.Size, Seed: figure.Seed,
				Value: figure.Value, Unit: figure.Unit, Machine: machine, Commit: commit}
		}
		return capacity.Append(path, rows)
	}
}
