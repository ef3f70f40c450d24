package cli

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

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/settings"
)

// given is what the platform's configuration file says. Its keys are matched in any case;
// an error names them as they stand here.
type given struct {
	Listen string `json:"Listen"`
	Seed   string `json:"Seed"`
	Feed   string `json:"Feed"`
	Limits struct {
		Cores    float64 `json:"Cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"Sockets"`
	} `json:"Limits"`
	Known    json.RawMessage `json:"Known"`
	Settings json.RawMessage `json:"Settings"`
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

// platformWords are the platform's names for what a call may tell besides.
var platformWords = controller.FieldNames{Customer: "customer", EstimatedWork: "weight", EstimatedMemory: "ram", IdempotencyKey: "nonce"}

// servePlatform serves by ROUTER_CONFIG and what stands beside it.
func servePlatform(signals <-chan os.Signal) error {
	started := time.Now()
	path := os.Getenv("ROUTER_CONFIG")
	g, err := read(path)
	if err != nil {
		return err
	}
	facts, err := settings.FromJSON(g.Settings)
	if err != nil {
		return err
	}
	log := logger("", "")
	refused, strange := settings.Conflicts(facts)
	for _, m := range refused {
		err = errors.Join(err, fmt.Errorf("config: settings.%s: %s", settings.ExternalName(m[0]), m[1]))
	}
	if err != nil {
		return err
	}
	for _, m := range strange {
		log.Log().Msg("config: settings." + settings.ExternalName(m[0]) + ": " + m[1])
	}
	for _, line := range odd(facts) {
		log.Log().Msg(line)
	}
	seed, err := strconv.ParseUint(g.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("config: no seed: %w", err)
	}
	address := os.Getenv("ROUTER_LISTEN")
	if address == "" {
		address = g.Listen
	}
	means := controller.Config{FieldNames: platformWords, Seed: seed, MemoryMB: g.Limits.MemoryMB, MaxDescriptors: g.Limits.Sockets,
		DiscoveryAddress: g.Feed, InitialEndpoints: g.Known, Settings: facts, StartedAt: started}
	return listen(address, g.Limits.Cores, means, nil, func(log zerolog.Logger) <-chan controller.Event {
		return follow(signals, func() (controller.Event, error) {
			next, err := again(path, g, log)
			if err != nil {
				return controller.Event{}, err
			}
			g.Feed = next.Feed
			return controller.Event{Kind: controller.ConfigurationReloaded, DiscoveryAddress: next.Feed}, nil
		}, log)
	}, FleetMembership{}, log)
}

// odd says what the settings leave out or name wrongly, and what is done instead: a
// controller that refuses to start serves nobody.
func odd(facts map[string]string) (lines []string) {
	say := func(field, what string) { lines = append(lines, "config: settings."+field+": "+what) }
	if n, err := strconv.ParseFloat(facts["gateways"], 64); err != nil || n < 1 {
		say("balancers", "no number of controllers; taken as one")
	}
	groups, _ := strconv.Atoi(facts["groups"])
	if groups < 1 {
		say("classes", "none; every query will be killed")
	}
	for i := range groups {
		at, class := "group."+strconv.Itoa(i)+".", "classes["+strconv.Itoa(i)+"]."
		if facts[at+"name"] == "" {
			say(class+"name", "none; nobody can ask for it")
		}
		if effect := facts[at+"effect"]; effect != "read-only" && effect != "tokened" && effect != "mutating" {
			say(class+"effect", strconv.Quote(effect)+" is not known; taken as never to be repeated")
		}
		for _, f := range [][2]string{{"target", "objective_ms"}, {"timeout", "deadline_ms"}} {
			if x, err := strconv.ParseFloat(facts[at+f[0]], 64); err != nil || x <= 0 {
				say(class+f[1], "no time")
			}
		}
	}
	return lines
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
	x, err := settings.FromJSON(a)
	y, other := settings.FromJSON(b)
	return err == nil && other == nil && maps.Equal(x, y)
}
