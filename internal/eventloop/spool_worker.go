package eventloop

import (
	"sync"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/spool"
)

// spoolWorkQueue holds the work that waits to be written to disk. The spool limits its size, so that
// adding to it never blocks the controller.
type spoolWorkQueue struct {
	mu    sync.Mutex
	items []*spool.DiskTask
	ready chan struct{} // a value wakes the spool writer
}

// add appends work to the queue and wakes the spool writer.
func (q *spoolWorkQueue) add(work *spool.DiskTask) {
	q.mu.Lock()
	q.items = append(q.items, work)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take empties the queue and returns its work in order.
func (q *spoolWorkQueue) take() []*spool.DiskTask {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

// submitSpoolWork starts a read in its own goroutine, and queues all other work in order.
func (l *loop) submitSpoolWork(work *spool.DiskTask) {
	if work.Fetch == nil {
		l.spoolWork.add(work)
		return
	}
	l.group.Go(func() error {
		l.store.Read(work)
		l.reportSpoolWorkDone(work)
		return nil
	})
}

// reportSpoolWorkDone passes finished work to the controller.
func (l *loop) reportSpoolWorkDone(work *spool.DiskTask) {
	select {
	case l.events <- event{Event: controller.Event{Kind: controller.SpoolWorkDone, SpoolWork: work}}:
	case <-l.ctx.Done():
	}
}

// runSpoolWriter performs the queued work until the loop ends.
func (l *loop) runSpoolWriter() error {
	queue := make(chan *spool.DiskTask)
	l.group.Go(func() error {
		defer close(queue)
		for {
			select {
			case <-l.spoolWork.ready:
			case <-l.ctx.Done():
				return nil
			}
			for _, work := range l.spoolWork.take() {
				select {
				case queue <- work:
				case <-l.ctx.Done():
					return nil
				}
			}
		}
	})
	l.store.Serve(queue, l.reportSpoolWorkDone,
		func(err error) { l.log.Log().Err(err).Msg("spool maintenance failed") })
	return nil
}
