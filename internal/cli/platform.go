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

// platformConfig is the platform's configuration file. Its keys are matched in any case; errors name them
// as written here.
type platformConfig struct {
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

// readPlatformConfig reads and checks the configuration file.
func readPlatformConfig(path string) (config platformConfig, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return config, fmt.Errorf("no config file at ROUTER_CONFIG: %w", err)
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return config, fmt.Errorf("config: %w", err)
	}
	if config.Limits.Sockets <= 0 || config.Limits.MemoryMB <= 0 {
		return config, errors.New("config: limits are missing")
	}
	return config, nil
}

// platformFieldNames are the platform's names for the optional fields of a query call.
var platformFieldNames = controller.FieldNames{Customer: "customer", EstimatedWork: "weight",
	EstimatedMemory: "ram", IdempotencyKey: "nonce"}

// servePlatform runs a controller with the configuration of ROUTER_CONFIG and of the other environment
// variables.
func servePlatform(signals <-chan os.Signal) error {
	started := time.Now()
	path := os.Getenv("ROUTER_CONFIG")
	config, err := readPlatformConfig(path)
	if err != nil {
		return err
	}
	values, err := settings.FromJSON(config.Settings)
	if err != nil {
		return err
	}
	log := logger("", "")
	refused, warnings := settings.Conflicts(values)
	for _, m := range refused {
		err = errors.Join(err, fmt.Errorf("config: settings.%s: %s", settings.ExternalName(m[0]), m[1]))
	}
	if err != nil {
		return err
	}
	for _, m := range warnings {
		log.Log().Msg("config: settings." + settings.ExternalName(m[0]) + ": " + m[1])
	}
	for _, line := range settingsWarnings(values) {
		log.Log().Msg(line)
	}
	seed, err := strconv.ParseUint(config.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("config: no seed: %w", err)
	}
	address := os.Getenv("ROUTER_LISTEN")
	if address == "" {
		address = config.Listen
	}
	controllerConfig := controller.Config{FieldNames: platformFieldNames, Seed: seed,
		MemoryMB: config.Limits.MemoryMB, MaxDescriptors: config.Limits.Sockets,
		DiscoveryAddress: config.Feed, InitialEndpoints: config.Known, Settings: values, StartedAt: started}
	return serveController(address, config.Limits.Cores, controllerConfig, nil,
		func(log zerolog.Logger) <-chan controller.Event {
			return signalEvents(signals, func() (controller.Event, error) {
				next, err := reloadPlatformConfig(path, config, log)
				if err != nil {
					return controller.Event{}, err
				}
				config.Feed = next.Feed
				return controller.Event{Kind: controller.ConfigurationReloaded, DiscoveryAddress: next.Feed}, nil
			}, log)
		}, FleetMembership{}, log)
}

// settingsWarnings lists missing and invalid settings and the defaults used instead. They aren't errors,
// since a controller that refuses to start serves no queries.
func settingsWarnings(values map[string]string) (lines []string) {
	warn := func(field, problem string) { lines = append(lines, "config: settings."+field+": "+problem) }
	if n, err := strconv.ParseFloat(values["gateways"], 64); err != nil || n < 1 {
		warn("balancers", "not a number of controllers; using 1")
	}
	groups, _ := strconv.Atoi(values["groups"])
	if groups < 1 {
		warn("classes", "missing; every query will fail")
	}
	for i := range groups {
		prefix, externalPrefix := "group."+strconv.Itoa(i)+".", "classes["+strconv.Itoa(i)+"]."
		if values[prefix+"name"] == "" {
			warn(externalPrefix+"name", "missing; no query can select this class")
		}
		if effect := values[prefix+"effect"]; effect != "read-only" && effect != "tokened" && effect != "mutating" {
			warn(externalPrefix+"effect", strconv.Quote(effect)+" is unknown; queries are treated as unsafe to repeat")
		}
		for _, f := range [][2]string{{"target", "objective_ms"}, {"timeout", "deadline_ms"}} {
			if x, err := strconv.ParseFloat(values[prefix+f[0]], 64); err != nil || x <= 0 {
				warn(externalPrefix+f[1], "not a positive duration")
			}
		}
	}
	return lines
}

// reloadPlatformConfig reads the configuration again. Only the feed may change; any other change is logged,
// since its author expects it to take effect.
func reloadPlatformConfig(path string, current platformConfig, log zerolog.Logger) (platformConfig, error) {
	next, err := readPlatformConfig(path)
	if err != nil {
		return next, err
	}
	if _, _, err := net.SplitHostPort(next.Feed); err != nil {
		return next, fmt.Errorf("config: no feed: %w", err)
	}
	for name, same := range map[string]bool{
		"listen": next.Listen == current.Listen, "limits": next.Limits == current.Limits,
		"settings": sameSettings(next.Settings, current.Settings),
	} {
		if !same {
			log.Log().Str("what", name).Msg("can't be changed while running")
		}
	}
	return next, nil
}

// sameSettings reports whether two settings are equal, whatever their layout.
func sameSettings(a, b json.RawMessage) bool {
	x, err := settings.FromJSON(a)
	y, other := settings.FromJSON(b)
	return err == nil && other == nil && maps.Equal(x, y)
}
