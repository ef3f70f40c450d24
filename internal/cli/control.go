package cli

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/fleet/noop"
	"railrelay.dev/railrelay/internal/setup"
)

// statusTimeout limits the wait of a control process for its own status, which it logs.
const statusTimeout = time.Second

// serveControl runs a process of the control role. It takes part in the fleet with a controller that does
// nothing, accepts no clients and follows no engine list.
func serveControl(current *setup.Setup, path string, started time.Time, signals <-chan os.Signal,
	support *FleetSupport, log zerolog.Logger) error {
	setRuntimeLimits(current.Cores(), current.MemoryMB())
	if current.Placement == nil {
		log.Info().Msg(
			"no placement section: as leader this process detects no emergency under the controllers' placement rules")
	}
	config := controller.Config{StartedAt: started}
	membership, err := support.Join(current, &config, log)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(context.Background())
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() error { return membership.Serve(ctx) })
	group.Go(func() error {
		return noop.Controller{ServingState: config.Fleet.ServingState}.Serve(ctx,
			membership.Channels.Orders, membership.Channels.Reports)
	})
	group.Go(func() error {
		defer stop()
		handleSignals(ctx, signals, current, path, membership, log)
		return nil
	})
	return group.Wait()
}

// handleSignals handles the signals of a control process until one of them stops it or ctx ends.
func handleSignals(ctx context.Context, signals <-chan os.Signal, current *setup.Setup, path string,
	membership FleetMembership, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			switch s {
			case syscall.SIGUSR1:
				logStatus(ctx, membership, log)
			case syscall.SIGHUP:
				if _, err := reloadSetup(current, path, membership, log); err != nil {
					log.Log().Err(err).Msg("the configuration is kept as it was")
					continue
				}
				log.Log().Msg("the configuration was read again")
			default:
				return
			}
		}
	}
}

// logStatus logs the counters of a control process and how it sees the fleet.
func logStatus(ctx context.Context, membership FleetMembership, log zerolog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status := membership.Status(ctx)
	if status == nil {
		log.Log().Msg("counters: timed out waiting for the status of this process")
		return
	}
	line := log.Log().Str("leader", status.Leader).Uint64("record", status.Index).
		Uint64("version", status.Version).
		Bool("holds_lease", status.Serves).Int("members", len(status.Members)).Int("purges", len(status.Purges))
	for name, n := range status.Counts {
		line = line.Int(name, n)
	}
	line.Msg("counters")
}
