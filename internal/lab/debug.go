package lab

import (
	"fmt"
	"io"
	"os"
	"time"

	"railrelay.dev/railrelay/internal/relay"
)

func init() {
	if os.Getenv("LABDEBUG") == "" {
		return
	}
	debugText = func(out io.Writer, n *Night) {
		busy := 0.0
		for _, e := range n.Engines {
			busy += e.Busy
		}
		fmt.Fprintf(out, "   busy %.1f core s\n", busy)
		for _, kd := range n.Kinds {
			fmt.Fprintf(out, "   %s:", kd.Name)
			for at := time.Duration(0); at < nightLong; at += 4 * time.Second {
				told, had, c, def := 0.0, 0.0, 0, 0
				for _, a := range n.All {
					if a.Group == kd.Name && a.At >= at && a.At < at+4*time.Second {
						if a.Started >= 0 {
							told += max(0, a.Told.Seconds())
							had += (a.Started - a.At).Seconds()
							c++
						} else {
							def++
						}
					}
				}
				fmt.Fprintf(out, " %d-%d %.2f/%.2f", c, def, told/float64(max(1, c)), had/float64(max(1, c)))
			}
			fmt.Fprintln(out)
		}
		for i, name := range n.Names {
			fmt.Fprintf(out, "   %s share %.3f:", name, n.Shares[i])
			for at := time.Duration(0); at < nightLong; at += 4 * time.Second {
				told, had, c, def := 0.0, 0.0, 0, 0
				for _, a := range n.All {
					if a.Team == name && a.Group == "report" && a.At >= at && a.At < at+4*time.Second {
						if a.Started >= 0 {
							told += max(0, a.Told.Seconds())
							had += (a.Started - a.At).Seconds()
							c++
						} else {
							def++
						}
					}
				}
				fmt.Fprintf(out, " %d-%d %.2f/%.2f", c, def, told/float64(max(1, c)), had/float64(max(1, c)))
			}
			fmt.Fprintln(out)
		}
		k := len(n.Said)
		for _, e := range n.R.Step(n.Now, relay.Event{Kind: relay.Tell}) {
			fmt.Fprintln(out, "   ", e.Text)
		}
		_ = k
	}
}
