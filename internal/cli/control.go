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

// statusWait is how long a control process waits for its own status before it logs none.
const statusWait = time.Second

// serveControl serves as a process of the control role: its part in the fleet, and in
// place of a reducer one that is idle. It listens for no clients and follows no feed.
func serveControl(have *setup.Setup, path string, started time.Time, signals <-chan os.Signal, part *FleetSupport, log zerolog.Logger) error {
	limit(have.Cores(), have.MemoryMB())
	if have.Placement == nil {
		log.Info().Msg("placement is left out: as leader this process watches for no emergency of rules that controllers' set-ups have")
	}
	means := controller.Config{StartedAt: started}
	joined, err := part.Join(have, &means, log)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(context.Background())
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go(func() error { return joined.Serve(ctx) })
	group.Go(func() error {
		return noop.Controller{ServingState: means.Fleet.ServingState}.Serve(ctx,
			joined.Channels.Orders, joined.Channels.Reports)
	})
	group.Go(func() error {
		defer stop()
		heed(ctx, signals, have, path, joined, log)
		return nil
	})
	return group.Wait()
}

// heed does what signals ask of a control process, until one ends it or ctx ends.
func heed(ctx context.Context, signals <-chan os.Signal, have *setup.Setup, path string, joined FleetMembership, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			switch s {
			case syscall.SIGUSR1:
				logStatus(ctx, joined, log)
			case syscall.SIGHUP:
				if _, err := reread(have, path, joined, log); err != nil {
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
func logStatus(ctx context.Context, joined FleetMembership, log zerolog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, statusWait)
	defer cancel()
	status := joined.Status(ctx)
	if status == nil {
		log.Log().Msg("counters: this process has not answered in time")
		return
	}
	line := log.Log().Str("leader", status.Leader).Uint64("record", status.Index).Uint64("version", status.Version).
		Bool("holds_lease", status.Serves).Int("members", len(status.Members)).Int("purges", len(status.Purges))
	for name, n := range status.Counts {
		line = line.Int(name, n)
	}
	line.Msg("counters")
}
