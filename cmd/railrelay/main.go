// Command railrelay is one controller on sockets: it takes clients' queries,
// has package decide decide on them and speaks to engines and the list.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
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

// given is what the configuration file says.
type given struct {
	Listen, Seed, Feed string
	Limits             struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	Known, Settings json.RawMessage
}

func read(path string) (g given, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return g, fmt.Errorf("no config in ROUTER_CONFIG: %w", err)
	}
	if err := json.Unmarshal(text, &g); err != nil {
		return g, fmt.Errorf("config: %w", err)
	}
	if g.Limits.Sockets <= 0 || g.Limits.MemoryMB <= 0 {
		return g, errors.New("config: limits are missing")
	}
	return g, nil
}

func serve(log zerolog.Logger) error {
	started := time.Now()
	// before all else: a signal that nobody has asked for ends the program
	signals := make(chan os.Signal, 64)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	path := os.Getenv("ROUTER_CONFIG")
	g, err := read(path)
	if err != nil {
		return err
	}
	facts, err := terms.FromJSON(g.Settings)
	if err != nil {
		return err
	}
	seed, err := strconv.ParseUint(g.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("config: no seed: %w", err)
	}
	listen := os.Getenv("ROUTER_LISTEN")
	if listen == "" {
		listen = g.Listen
	}
	if listen == "" {
		return errors.New("no address to listen on")
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(g.Limits.Cores))))
	debug.SetMemoryLimit(int64(g.Limits.MemoryMB * (1 << 20) * 3 / 4))

	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	means := relay.Means{Seed: seed, MemoryMB: g.Limits.MemoryMB, Sockets: g.Limits.Sockets,
		Feed: g.Feed, Known: g.Known, Facts: facts, Started: started}
	return run.Serve(context.Background(), listener, means, asked(signals, path, g, log), log)
}

// asked turns signals into what they ask for.
func asked(signals <-chan os.Signal, path string, have given, log zerolog.Logger) <-chan relay.Event {
	events := make(chan relay.Event)
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGUSR1:
				events <- relay.Event{Kind: relay.Tell}
			case syscall.SIGHUP:
				next, err := again(path, have, log)
				if err != nil {
					log.Log().Err(err).Msg("the configuration is kept as it was")
					continue
				}
				have.Feed = next.Feed
				log.Log().Str("feed", next.Feed).Msg("the configuration was read again")
				events <- relay.Event{Kind: relay.Reload, Feed: next.Feed}
			default:
				events <- relay.Event{Kind: relay.Stop}
			}
		}
	}()
	return events
}

// again reads the configuration while running. The feed is all that may
// change; what else does is said, since whoever wrote it expects it to act.
func again(path string, have given, log zerolog.Logger) (given, error) {
	next, err := read(path)
	if err != nil {
		return next, err
	}
	if _, _, err := net.SplitHostPort(next.Feed); err != nil {
		return next, fmt.Errorf("config: no feed: %w", err)
	}
	for name, same := range map[string]bool{
		"listen": next.Listen == have.Listen, "limits": next.Limits == have.Limits,
		"settings": alike(next.Settings, have.Settings),
	} {
		if !same {
			log.Log().Str("what", name).Msg("can't be changed while running")
		}
	}
	return next, nil
}

// alike: the same settings, however they are laid out.
func alike(a, b json.RawMessage) bool {
	x, err := terms.FromJSON(a)
	y, other := terms.FromJSON(b)
	return err == nil && other == nil && maps.Equal(x, y)
}
