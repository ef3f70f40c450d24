// Package cli is the command line of a controller: it reads the environment or
// the set-up, listens, and hands signals on.
//
// There are two programs of it. railrelay is what the platform starts; it links no
// agreement and no HTTP, which alone would take eight megabytes more from the start
// on. railrelay-fleet has these, too, and railrelay becomes it, by exec and in its own
// place, where a set-up has a fleet part or `railrelay fleet` is asked for: the two
// stand in one directory.
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

// Fleet is what a program has that can take part in a fleet.
type FleetSupport struct {
	// Command is `railrelay fleet` with all below it.
	Command func() *cobra.Command
	// Join opens what the set-up's fleet part names, and puts into means what the
	// reducer needs of it.
	Join func(have *setup.Setup, means *controller.Config, log zerolog.Logger) (FleetMembership, error)
}

// Joined is one controller's part in the fleet.
type FleetMembership struct {
	Channels   eventloop.FleetChannels                 // what the reducer takes from it and tells it
	Serve      func(ctx context.Context) error         // until ctx ends; closes all that was opened
	ReloadKeys func() error                            // reads the key file again
	Status     func(ctx context.Context) *fleet.Status // how this process sees the fleet; nil: no word before ctx ended
}

// Status is an error that ends the program with a status of its own.
type ExitError struct {
	Code int
	error
}

// Failed is an error with a status.
func WithExitCode(code int, err error) error { return ExitError{code, err} }

// Unwrap gives what it is of.
func (s ExitError) Unwrap() error { return s.error }

// Main is the program. part is nil in the one that can't take part in any.
func Main(part *FleetSupport) {
	// before all else: a signal that nobody has asked for ends the program
	signals := make(chan os.Signal, 64)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	if err := commands(signals, part).Execute(); err != nil {
		var status ExitError
		if errors.As(err, &status) {
			if status.error != nil {
				fmt.Fprintln(os.Stderr, status.error)
			}
			os.Exit(status.Code)
		}
		log := logger("", "")
		log.Fatal().Err(err).Msg("railrelay ends")
	}
}

// whole is the program that can take part in a fleet.
const whole = "railrelay-fleet"

// become makes this process that program, with the same arguments. It returns only
// if that can't be done.
func become() error {
	own, err := os.Executable()
	if err == nil {
		own, err = filepath.EvalSymlinks(own)
	}
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(own), whole)
	return fmt.Errorf("%s, which takes part in fleets, must stand beside %s: %w", whole, own, syscall.Exec(path, os.Args, os.Environ()))
}

// commands is the command line. Without arguments it serves, as it always did.
func commands(signals <-chan os.Signal, part *FleetSupport) *cobra.Command {
	path := ""
	start := func(*cobra.Command, []string) error {
		if path != "" {
			return serveSetup(path, signals, part)
		}
		return servePlatform(signals)
	}
	root := &cobra.Command{Use: "railrelay", Short: "A front for query engines with limited memory", Args: cobra.NoArgs,
		Long: "A front for query engines with limited memory. Without a command it serves.", RunE: start,
		SilenceUsage: true, SilenceErrors: true}
	serve := &cobra.Command{Use: "serve", Short: "Serve as one controller, until SIGTERM", Args: cobra.NoArgs, RunE: start,
		Long: "Serve as one controller. --setup names the product's YAML; without it ROUTER_CONFIG, ROUTER_LISTEN and ROUTER_NAME\n" +
			"say what the platform wants. SIGHUP reads the file again, SIGUSR1 logs the counters, SIGTERM ends once all that was\n" +
			"taken is answered."}
	serve.Flags().StringVar(&path, "setup", "", "the set-up, YAML; deploy/railrelay.yaml shows all there is")
	serve.MarkFlagFilename("setup", "yaml", "yml")
	check := &cobra.Command{Use: "check FILE...", Short: "Check set-up files and say all that is wrong", Args: cobra.MinimumNArgs(1),
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
	version := &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) {
		fmt.Fprintln(c.OutOrStdout(), "railrelay", built())
	}}
	root.AddCommand(serve, check, version, spoolCommand())
	if part != nil {
		root.AddCommand(part.Command())
	} else {
		root.AddCommand(&cobra.Command{Use: "fleet", Short: "See and change what the fleet has decided", DisableFlagParsing: true,
			RunE: func(*cobra.Command, []string) error { return become() }})
	}
	return root
}

// built is what the program was made of.
func built() string {
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

// logger writes to standard error, one JSON object a line. level is the least one
// logged; RAILRELAY_LOG goes before it.
func logger(name, level string) zerolog.Logger {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000000Z07:00" // one id is followed through several controllers
	if env := os.Getenv("RAILRELAY_LOG"); env != "" {
		level = env
	}
	least, err := zerolog.ParseLevel(level)
	if err != nil || least == zerolog.NoLevel {
		least = zerolog.WarnLevel
	}
	if env := os.Getenv("ROUTER_NAME"); env != "" {
		name = env
	}
	return zerolog.New(os.Stderr).Level(least).With().Timestamp().Str("name", name).Logger()
}

// limit keeps the program within a number of cores and within an amount of memory, in MB.
func limit(cores, memoryMB float64) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cores))))
	debug.SetMemoryLimit(int64(memoryMB * (1 << 20) * 3 / 4))
}

// listen runs a controller until it is done, and beside it its part in a fleet, if it has one.
func listen(address string, cores float64, means controller.Config, disk *resultstore.SpoolStore, asked func(zerolog.Logger) <-chan controller.Event,
	joined FleetMembership, log zerolog.Logger) error {
	if address == "" {
		return errors.New("no address to listen on")
	}
	means.TraceQueries = log.GetLevel() <= zerolog.DebugLevel
	limit(cores, means.MemoryMB)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if joined.Serve == nil {
		return eventloop.Serve(context.Background(), listener, means, disk, eventloop.FleetChannels{}, asked(log), log)
	}
	group, ctx := errgroup.WithContext(context.Background())
	ctx, done := context.WithCancel(ctx)
	group.Go(func() error { return joined.Serve(ctx) })
	group.Go(func() error {
		defer done()
		return eventloop.Serve(ctx, listener, means, disk, joined.Channels, asked(log), log)
	})
	return group.Wait()
}

// follow turns signals into what they ask for; again reads the configuration anew.
func follow(signals <-chan os.Signal, again func() (controller.Event, error), log zerolog.Logger) <-chan controller.Event {
	events := make(chan controller.Event)
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGUSR1:
				events <- controller.Event{Kind: controller.CountersRequested}
			case syscall.SIGHUP:
				ev, err := again()
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

// serveSetup serves by the product's YAML.
func serveSetup(path string, signals <-chan os.Signal, part *FleetSupport) error {
	started := time.Now()
	have, err := setup.Load(path)
	if err != nil {
		return err
	}
	if have.Fleet != nil && part == nil {
		return become()
	}
	log := logger(have.Name, have.LogLevel)
	if have.IsControlProcess() {
		return serveControl(have, path, started, signals, part, log)
	}
	means := have.ControllerConfig(started)
	disk, err := have.OpenSpool(&means, log)
	if err != nil {
		return err
	}
	if disk != nil {
		defer disk.Close()
	}
	var joined FleetMembership
	if have.Fleet != nil {
		if joined, err = part.Join(have, &means, log); err != nil {
			return err
		}
	}
	return listen(have.Listen, have.Cores(), means, disk, func(log zerolog.Logger) <-chan controller.Event {
		return follow(signals, func() (controller.Event, error) {
			next, err := reread(have, path, joined, log)
			if err != nil {
				return controller.Event{}, err
			}
			return controller.Event{Kind: controller.ConfigurationReloaded, DiscoveryAddress: next.DiscoveryAddress, Tenants: next.FairQueueConfig()}, nil
		}, log)
	}, joined, log)
}

// reread reads a set-up and the fleet's keys again, and says what can't be changed.
func reread(have *setup.Setup, path string, joined FleetMembership, log zerolog.Logger) (*setup.Setup, error) {
	next, err := setup.Load(path)
	if err != nil {
		return nil, err
	}
	for _, what := range have.PartsNeedingRestart(next) {
		log.Log().Str("what", what).Msg("can't be changed while running")
	}
	if joined.ReloadKeys != nil {
		if err := joined.ReloadKeys(); err != nil {
			log.Log().Err(err).Msg("the fleet's keys are kept as they were")
		}
	}
	return next, nil
}
