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

// CompareFairnessThroughput returns the ratio of a controller's queries per second with fairness on to that
// with fairness off, and prints both. The controller has one core and eight emulated engines that answer at
// once; the clients keep 64 queries open on four connections. Turns of a fixed duration with fairness off
// and on alternate, and the medians count.
func CompareFairnessThroughput(
	ctx context.Context, out io.Writer, program string, duration time.Duration, turns int,
) (float64, error) {
	rates := [2][]float64{}
	for range turns {
		for on := range 2 {
			trial := &Trial{Program: program, Engines: 8, Seed: 1, ControllerLog: io.Discard}
			setupText := trial.setupText
			if on == 0 {
				setupText = func(feedAddress, listen string) string {
					text, _, _ := strings.Cut(trial.setupText(feedAddress, listen), "fairness:")
					return text
				}
			}
			finished := int64(0)
			err := trial.withController(ctx, setupText, nil, func(ctx context.Context, address string) error {
				ctx, stop := context.WithTimeout(ctx, duration)
				defer stop()
				var wg sync.WaitGroup
				errs := make([]error, 4)
				for i := range errs {
					wg.Add(1)
					go func() {
						defer wg.Done()
						errs[i] = keepQueriesOpen(ctx, address, i, 16, &finished)
					}()
				}
				wg.Wait()
				return errs[0]
			})
			if err != nil {
				return 0, err
			}
			rates[on] = append(rates[on], float64(finished)/duration.Seconds())
		}
	}
	medianRate := func(rates []float64) float64 { return slices.Sorted(slices.Values(rates))[len(rates)/2] }
	ratio := medianRate(rates[1]) / medianRate(rates[0])
	fmt.Fprintf(out, "queries/s off %.0f on %.0f (medians of %d turns)\nmeasured on_over_off=%.3f\n",
		medianRate(rates[0]), medianRate(rates[1]), turns, ratio)
	return ratio, nil
}

// keepQueriesOpen keeps a number of lookups open on one connection until ctx ends, and adds the finished
// ones to finished. connection distinguishes the query IDs of concurrent calls.
func keepQueriesOpen(ctx context.Context, address string, connection, open int, finished *int64) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	statement := engine.Statement(engine.Work{Threads: 1, Rows: 1})
	msg := uint32(0)
	submit := func() error {
		msg++
		team := trialTeams[int(msg)%len(trialTeams)].name
		_, err := conn.Write(client.AppendQuery(nil, msg, "lookup", statement,
			"trace", fmt.Sprintf("%08x%08x", connection+1, msg), "patience", "5000",
			"team", team))
		return err
	}
	for range open {
		if err := submit(); err != nil {
			return err
		}
	}
	var received []byte
	buffer := make([]byte, 64<<10)
	for ctx.Err() == nil {
		conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		n, err := conn.Read(buffer)
		if err != nil {
			return err
		}
		received = append(received, buffer[:n]...)
		for {
			answer, length, err := client.Read(received)
			if err != nil {
				return err
			}
			if length == 0 {
				break
			}
			received = received[length:]
			if answer.Kind == client.Finished {
				atomic.AddInt64(finished, 1)
			}
			if err := submit(); err != nil {
				return err
			}
		}
	}
	return nil
}
