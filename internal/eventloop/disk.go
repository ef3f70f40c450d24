package eventloop

import (
	"sync"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/spool"
)

// backlog is what is to be written to disk. The spool bounds what is in it; the
// reducer never waits for the disk.
type backlog struct {
	mu    sync.Mutex
	l     []*spool.DiskTask
	ready chan struct{}
}

func (b *backlog) add(w *spool.DiskTask) {
	b.mu.Lock()
	b.l = append(b.l, w)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

func (b *backlog) take() []*spool.DiskTask {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.l
	b.l = nil
	return l
}

// store has work done: reads each on its own, all else in order.
func (l *loop) store(w *spool.DiskTask) {
	if w.Fetch == nil {
		l.work.add(w)
		return
	}
	l.group.Go(func() error {
		l.disk.Read(w)
		l.stored(w)
		return nil
	})
}

func (l *loop) stored(w *spool.DiskTask) {
	select {
	case l.events <- event{Event: controller.Event{Kind: controller.SpoolWorkDone, SpoolWork: w}}:
	case <-l.ctx.Done():
	}
}

// keep writes what is to be written until the controller is done.
func (l *loop) keep() error {
	work := make(chan *spool.DiskTask)
	l.group.Go(func() error {
		defer close(work)
		for {
			select {
			case <-l.work.ready:
			case <-l.ctx.Done():
				return nil
			}
			for _, w := range l.work.take() {
				select {
				case work <- w:
				case <-l.ctx.Done():
					return nil
				}
			}
		}
	})
	l.disk.Serve(work, l.stored, func(err error) { l.log.Log().Err(err).Msg("the spool's disk") })
	return nil
}
