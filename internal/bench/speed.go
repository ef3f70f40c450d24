package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
)

// CompareFairnessThroughput compares the queries a second of a controller on one core with
// fairness on and off: eight stand-in engines that answer at once, 64 open on four
// connections, in turns of so long each. It prints both and their ratio.
func CompareFairnessThroughput(ctx context.Context, out io.Writer, program string, turn time.Duration, turns int) (float64, error) {
	rates := [2][]float64{}
	for range turns {
		for on := range 2 {
			t := &Trial{Program: program, Engines: 8, Seed: 1, ControllerLog: io.Discard}
			setup := t.setupText
			if on == 0 {
				setup = func(f, l string) string {
					text, _, _ := strings.Cut(t.setupText(f, l), "fairness:")
					return text
				}
			}
			done := int64(0)
			err := t.withController(ctx, setup, nil, func(ctx context.Context, address string) error {
				ctx, stop := context.WithTimeout(ctx, turn)
				defer stop()
				var wg sync.WaitGroup
				faults := make([]error, 4)
				for i := range faults {
					wg.Add(1)
					go func() {
						defer wg.Done()
						faults[i] = keepQueriesOpen(ctx, address, i, 16, &done)
					}()
				}
				wg.Wait()
				return faults[0]
			})
			if err != nil {
				return 0, err
			}
			rates[on] = append(rates[on], float64(done)/turn.Seconds())
		}
	}
	mid := func(l []float64) float64 { return slices.Sorted(slices.Values(l))[len(l)/2] }
	ratio := mid(rates[1]) / mid(rates[0])
	fmt.Fprintf(out, "queries/s off %.0f on %.0f (medians of %d turns)\nmeasured on_over_off=%.3f\n", mid(rates[0]), mid(rates[1]), turns, ratio)
	return ratio, nil
}

// keepQueriesOpen keeps so many lookups open on a connection until ctx ends.
func keepQueriesOpen(ctx context.Context, address string, n, open int, done *int64) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	statement := engine.Statement(engine.Work{Threads: 1, Rows: 1})
	msg := uint32(0)
	ask := func() error {
		msg++
		team := trialTeams[int(msg)%len(trialTeams)].name
		_, err := c.Write(client.AppendQuery(nil, msg, "lookup", statement, "trace", fmt.Sprintf("%08x%08x", n+1, msg), "patience", "5000",
			"team", team))
		return err
	}
	for range open {
		if err := ask(); err != nil {
			return err
		}
	}
	var in []byte
	p := make([]byte, 64<<10)
	for ctx.Err() == nil {
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		k, err := c.Read(p)
		if err != nil {
			return err
		}
		in = append(in, p[:k]...)
		for {
			a, took, err := client.Read(in)
			if err != nil {
				return err
			}
			if took == 0 {
				break
			}
			in = in[took:]
			if a.Kind == client.Finished {
				atomic.AddInt64(done, 1)
			}
			if err := ask(); err != nil {
				return err
			}
		}
	}
	return nil
}
