package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"railrelay.dev/railrelay/internal/relay"
	"railrelay.dev/railrelay/internal/terms"
)

// given is what the platform's configuration file says.
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

// servePlatform serves by ROUTER_CONFIG and what stands beside it.
func servePlatform(signals <-chan os.Signal) error {
	started := time.Now()
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
	address := os.Getenv("ROUTER_LISTEN")
	if address == "" {
		address = g.Listen
	}
	means := relay.Means{Seed: seed, MemoryMB: g.Limits.MemoryMB, Sockets: g.Limits.Sockets,
		Feed: g.Feed, Known: g.Known, Facts: facts, Started: started}
	return listen(address, g.Limits.Cores, means, nil, func(log zerolog.Logger) <-chan relay.Event {
		return follow(signals, func() (relay.Event, error) {
			next, err := again(path, g, log)
			if err != nil {
				return relay.Event{}, err
			}
			g.Feed = next.Feed
			return relay.Event{Kind: relay.Reload, Feed: next.Feed}, nil
		}, log)
	}, logger("", ""))
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
