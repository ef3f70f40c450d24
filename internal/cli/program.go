// Package cli implements the command line of a controller. It reads the environment or the set-up file,
// listens for clients and forwards signals.
//
// Two programs use the package. The platform starts railrelay, which links neither consensus nor HTTP:
// these would take 8 MB more memory from the start. railrelay-fleet links both. If a set-up has a fleet
// section, or the command is `railrelay fleet`, railrelay replaces itself with railrelay-fleet by exec.
// The two programs are installed in one directory.
package cli

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/eventloop"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/resultstore"
	"railrelay.dev/railrelay/internal/setup"
)

// FleetSupport is the part of a program that joins a fleet.
type FleetSupport struct {
	// Command returns the command `railrelay fleet` with its subcommands.
	Command func() *cobra.Command
	// Join starts the member that the set-up's fleet section describes, and adds to config what the
	// controller needs from the member.
	Join func(current *setup.Setup, config *controller.Config, log zerolog.Logger) (FleetMembership, error)
}

// FleetMembership is this process's membership in a fleet.
type FleetMembership struct {
	Channels   eventloop.FleetChannels                 // between the member and the controller
	Serve      func(ctx context.Context) error         // runs the member until ctx ends, then closes it
	ReloadKeys func() error                            // reloads the key file
	Status     func(ctx context.Context) *fleet.Status // this process's view of the fleet; nil: ctx ended first
}

// ExitError is an error with the exit status of the program.
type ExitError struct {
	Code int
	error
}

// WithExitCode wraps an error with an exit status.
func WithExitCode(code int, err error) error { return ExitError{code, err} }

// Unwrap returns the wrapped error.
func (s ExitError) Unwrap() error { return s.error }

// Main runs the program. support is nil in the program that can't join a fleet.
func Main(support *FleetSupport) {
	// Signals are registered first, because an unregistered one would kill the program.
	signals := make(chan os.Signal, 64)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	if err := newRootCommand(signals, support).Execute(); err != nil {
		var status ExitError
		if errors.As(err, &status) {
			if status.error != nil {
				fmt.Fprintln(os.Stderr, status.error)
			}
			os.Exit(status.Code)
		}
		log := logger("", "")
		log.Fatal().Err(err).Msg("railrelay failed")
	}
}

// fleetProgram is the program that can join a fleet.
const fleetProgram = "railrelay-fleet"

// execFleetProgram replaces this process with fleetProgram, with the same arguments. It returns only
// on failure.
func execFleetProgram() error {
	executable, err := os.Executable()
	if err == nil {
		executable, err = filepath.EvalSymlinks(executable)
	}
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(executable), fleetProgram)
	return fmt.Errorf("%s, which joins fleets, must be installed beside %s: %w",
		fleetProgram, executable, syscall.Exec(path, os.Args, os.Environ()))
}

// newRootCommand returns the command line. Without arguments the program serves.
func newRootCommand(signals <-chan os.Signal, support *FleetSupport) *cobra.Command {
	path := ""
	start := func(*cobra.Command, []string) error {
		if path != "" {
			return serveSetup(path, signals, support)
		}
		return servePlatform(signals)
	}
	root := &cobra.Command{Use: "railrelay",
		Short: "Route queries to engines with limited memory", Args: cobra.NoArgs,
		Long: "Route queries to engines with limited memory. Without a command, railrelay runs serve.", RunE: start,
		SilenceUsage: true, SilenceErrors: true}
	serve := &cobra.Command{Use: "serve",
		Short: "Run a controller until SIGTERM", Args: cobra.NoArgs, RunE: start,
		Long: "Run a controller. --setup names its YAML set-up file. Without --setup, the environment variables\n" +
			"ROUTER_CONFIG, ROUTER_LISTEN and ROUTER_NAME give the configuration file of the platform, the\n" +
			"address to listen on and the controller's name. SIGHUP reloads the configuration, SIGUSR1 logs the\n" +
			"counters, and SIGTERM stops the controller once it has answered all accepted queries."}
	serve.Flags().StringVar(&path, "setup", "", "YAML set-up file; deploy/railrelay.yaml lists all settings")
	serve.MarkFlagFilename("setup", "yaml", "yml")
	check := &cobra.Command{Use: "check FILE...",
		Short: "Check set-up files and print all errors", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			bad := 0
			for _, f := range files {
				if _, err := setup.Load(f); err != nil {
					fmt.Fprintln(c.ErrOrStderr(), err)
					bad++
					continue
				}
				fmt.Fprintln(c.OutOrStdout(), f+": good")
			}
			if bad > 0 {
				return fmt.Errorf("%d of %d files can't be used", bad, len(files))
			}
			return nil
		}}
	version := &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), "railrelay", buildInfo())
		}}
	root.AddCommand(serve, check, version, spoolCommand())
	if support != nil {
		root.AddCommand(support.Command())
	} else {
		root.AddCommand(&cobra.Command{Use: "fleet",
			Short: "Show and change the state of the fleet", DisableFlagParsing: true,
			RunE: func(*cobra.Command, []string) error { return execFleetProgram() }})
	}
	return root
}

// buildInfo returns the version, the revision and the Go version of the program.
func buildInfo() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" {
			text += " " + s.Key[len("vcs."):] + " " + s.Value
		}
	}
	return text + " " + info.GoVersion
}

// logger returns a logger that writes one JSON object per line to standard error. RAILRELAY_LOG takes
// precedence over level, and ROUTER_NAME over name.
func logger(name, level string) zerolog.Logger {
	// Microseconds order the lines that several controllers log about one query.
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000000Z07:00"
	if env := os.Getenv("RAILRELAY_LOG"); env != "" {
		level = env
	}
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil || minLevel == zerolog.NoLevel {
		minLevel = zerolog.WarnLevel
	}
	if env := os.Getenv("ROUTER_NAME"); env != "" {
		name = env
	}
	return zerolog.New(os.Stderr).Level(minLevel).With().Timestamp().Str("name", name).Logger()
}

// minRuntimeMB is the least limit that the Go runtime is given, in MB; below it, it would only collect.
const minRuntimeMB = 12

// setRuntimeLimits limits the cores of the program, and the Go runtime's memory to three quarters of memoryMB
// or, with little memory, to what the program itself leaves of it.
func setRuntimeLimits(cores, memoryMB float64) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cores))))
	runtimeMB := max(minRuntimeMB, min(memoryMB*3/4, memoryMB-controller.ProgramMB))
	debug.SetMemoryLimit(int64(runtimeMB * (1 << 20)))
}

// serveController runs a controller, and its fleet member if it has one, until the controller stops.
func serveController(address string, cores float64, config controller.Config,
	spoolStore *resultstore.SpoolStore, events func(zerolog.Logger) <-chan controller.Event,
	membership FleetMembership, log zerolog.Logger) error {
	if address == "" {
		return errors.New("listen address is missing")
	}
	config.TraceQueries = log.GetLevel() <= zerolog.DebugLevel
	setRuntimeLimits(cores, config.MemoryMB)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if membership.Serve == nil {
		return eventloop.Serve(context.Background(), listener, config, spoolStore,
			eventloop.FleetChannels{}, events(log), log)
	}
	group, ctx := errgroup.WithContext(context.Background())
	ctx, cancel := context.WithCancel(ctx)
	group.Go(func() error { return membership.Serve(ctx) })
	group.Go(func() error {
		defer cancel()
		return eventloop.Serve(ctx, listener, config, spoolStore, membership.Channels, events(log), log)
	})
	return group.Wait()
}

// signalEvents converts signals into events. reload reads the configuration again.
func signalEvents(signals <-chan os.Signal, reload func() (controller.Event, error),
	log zerolog.Logger) <-chan controller.Event {
	events := make(chan controller.Event)
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGUSR1:
				events <- controller.Event{Kind: controller.CountersRequested}
			case syscall.SIGHUP:
				ev, err := reload()
				if err != nil {
					log.Log().Err(err).Msg("the configuration is kept as it was")
					continue
				}
				log.Log().Str("feed", ev.DiscoveryAddress).Msg("the configuration was read again")
				events <- ev
			default:
				events <- controller.Event{Kind: controller.ShutdownRequested}
			}
		}
	}()
	return events
}

// serveSetup runs the program with a set-up file.
func serveSetup(path string, signals <-chan os.Signal, support *FleetSupport) error {
	started := time.Now()
	current, err := setup.Load(path)
	if err != nil {
		return err
	}
	if current.Fleet != nil && support == nil {
		return execFleetProgram()
	}
	log := logger(current.Name, current.LogLevel)
	if current.IsControlProcess() {
		return serveControl(current, path, started, signals, support, log)
	}
	config := current.ControllerConfig(started)
	spoolStore, err := current.OpenSpool(&config, log)
	if err != nil {
		return err
	}
	if spoolStore != nil {
		defer spoolStore.Close()
	}
	var membership FleetMembership
	if current.Fleet != nil {
		if membership, err = support.Join(current, &config, log); err != nil {
			return err
		}
	}
	return serveController(current.Listen, current.Cores(), config, spoolStore,
		func(log zerolog.Logger) <-chan controller.Event {
			return signalEvents(signals, func() (controller.Event, error) {
				next, err := reloadSetup(current, path, membership, log)
				if err != nil {
					return controller.Event{}, err
				}
				return controller.Event{Kind: controller.ConfigurationReloaded,
					DiscoveryAddress: next.DiscoveryAddress,
					Tenants:          next.FairQueueConfig()}, nil
			}, log)
		}, membership, log)
}

// reloadSetup reloads the set-up and the fleet's keys, and logs changes that have no effect while running.
func reloadSetup(current *setup.Setup, path string, membership FleetMembership,
	log zerolog.Logger) (*setup.Setup, error) {
	next, err := setup.Load(path)
	if err != nil {
		return nil, err
	}
	for _, field := range current.PartsNeedingRestart(next) {
		log.Log().Str("what", field).Msg("can't be changed while running")
	}
	if membership.ReloadKeys != nil {
		if err := membership.ReloadKeys(); err != nil {
			log.Log().Err(err).Msg("reloading the fleet's keys failed; the current keys stay in use")
		}
	}
	return next, nil
}
