// Command railrelay is one controller on sockets: it takes clients' queries,
// has package decide decide on them and speaks to engines and the list.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"railrelay.dev/railrelay/internal/relay"
	"railrelay.dev/railrelay/internal/run"
	"railrelay.dev/railrelay/internal/terms"
)

func main() {
	level, err := zerolog.ParseLevel(os.Getenv("RAILRELAY_LOG"))
	if err != nil || level == zerolog.NoLevel {
		level = zerolog.WarnLevel
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("name", os.Getenv("ROUTER_NAME")).Logger()
	if err := serve(log); err != nil {
		log.Fatal().Err(err).Msg("railrelay ends")
	}
}

func serve(log zerolog.Logger) error {
	started := time.Now()
	text, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		return fmt.Errorf("no config in ROUTER_CONFIG: %w", err)
	}
	var given struct {
		Listen, Seed, Feed string
		Limits             struct {
			Cores    float64
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int
		}
		Known, Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &given); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	facts, err := terms.FromJSON(given.Settings)
	if err != nil {
		return err
	}
	seed, err := strconv.ParseUint(given.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("config: no seed: %w", err)
	}
	listen := os.Getenv("ROUTER_LISTEN")
	if listen == "" {
		listen = given.Listen
	}
	if listen == "" {
		return errors.New("no address to listen on")
	}
	if given.Limits.Sockets <= 0 || given.Limits.MemoryMB <= 0 {
		return errors.New("config: limits are missing")
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(given.Limits.Cores))))
	debug.SetMemoryLimit(int64(given.Limits.MemoryMB * (1 << 20) * 3 / 4))

	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	means := relay.Means{Seed: seed, MemoryMB: given.Limits.MemoryMB, Sockets: given.Limits.Sockets,
		Feed: given.Feed, Known: given.Known, Facts: facts, Started: started}
	return run.Serve(context.Background(), listener, means, asked(), log)
}

// asked turns signals into what they ask for.
func asked() <-chan relay.Kind {
	signals, kinds := make(chan os.Signal, 4), make(chan relay.Kind)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	go func() {
		for s := range signals {
			if s == syscall.SIGUSR1 {
				kinds <- relay.Tell
			} else {
				kinds <- relay.Stop
			}
		}
	}()
	return kinds
}
