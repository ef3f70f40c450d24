package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/fairqueue"
)

// CompareFairnessThroughput measures a controller's queries per second with fairness off and with fairness
// on, prints both rates, and returns the rate with fairness on divided by the rate with fairness off. The
// controller has one core and eight emulated engines, which answer at once. The clients keep 64 queries
// open on four connections. Turns with fairness off and on alternate, and each rate is the median over its
// turns.
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

// keepQueriesOpen keeps a number of lookups open on one connection until ctx ends, and adds the number of
// finished lookups to finished. The number connection makes the query IDs of concurrent calls differ.
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

// TimeFairQueue returns the mean time in microseconds of adding a query to the fair queue and taking a query
// out, with many tenants and waiting queries. The number of tenants must be 10,000, because tenantNumber
// assumes 100 groups of 100 tenants.
func TimeFairQueue(tenants, waiting, rounds int) float64 {
	config := fairqueue.Config{
		Lanes: []fairqueue.Lane{
			{Name: "a", Threads: 1, PriorityWeight: 1, InitialWorkEstimate: 50 * time.Millisecond},
			{Name: "b", Threads: 3, PriorityWeight: 5, InitialWorkEstimate: 500 * time.Millisecond},
		},
		AgeingLimit: time.Hour,
		MaxWaiting:  2 * waiting,
	}
	for i := range 100 {
		group := fairqueue.Tenant{Name: "k" + strconv.Itoa(i), Weight: 1 + float64(i%7)}
		for j := range tenants / 100 {
			group.Children = append(group.Children,
				fairqueue.Tenant{Name: fmt.Sprintf("t%d-%d", i, j), Weight: 1 + float64(j%5)})
		}
		config.Tenants = append(config.Tenants, group)
	}
	queue := fairqueue.New(config)
	queries := make([]fairqueue.Query, waiting+1)
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Duration(1)
	enqueue := func(query *fairqueue.Query) {
		*query = fairqueue.Query{
			Lane: rng.IntN(2), Tenant: tenantNumber(rng.IntN(tenants)), Key: -1, Chain: -1, Deadline: time.Hour,
		}
		queue.Enqueue(now, query)
	}
	queue.SetLaneFull(now, 0, true)
	queue.SetLaneFull(now, 1, true)
	for i := range waiting {
		enqueue(&queries[i])
	}
	free := []*fairqueue.Query{&queries[waiting]} // outside the queue; a round takes out one query or none
	runtime.GC()
	start := time.Now()
	for i := range rounds {
		now += 10 * time.Microsecond
		if len(free) == 0 {
			free = append(free, &fairqueue.Query{})
		}
		last := len(free) - 1
		enqueue(free[last])
		free = free[:last]
		if query := queue.Next(now, i%2); query != nil {
			queue.Started(now, query)
			queue.Ended(now, query, fairqueue.Finished, 0, 0)
			free = append(free, query)
		}
	}
	return float64(time.Since(start).Microseconds()) / float64(rounds)
}

// tenantNumber returns the index by which the fair queue knows the n-th tenant of TimeFairQueue. The queue
// numbers the groups too: the index of each group precedes the indexes of the group's 100 tenants.
func tenantNumber(n int) int {
	return n/100*101 + n%100 + 1
}
