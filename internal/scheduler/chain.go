package scheduler

import "time"

const (
	chainAffinityDuration     = 10 * time.Second // after a write, the next one prefers its engine for so long
	maxChainWait              = time.Second      // longest wait of a write for the running one
	chainWaitObjectiveDivisor = 3                // limits the wait to the group's objective divided by it
)

// chain serializes the writes of one table group at this controller. One write runs while others
// wait, for at most maxChainWait. The next one goes to the same engine if that engine has capacity,
// because the tables are in its memory.
type chain struct {
	running          *query  // queued or in flight
	engine           *engine // engine of the last write
	lastWriteEnded   bool    // the last write has ended
	lastWriteEndedAt time.Duration
	waiting          []*query
}

func (c *chain) remove(q *query) bool { return removeFrom(&c.waiting, q) }

// joinChain starts a write, or has the write wait for the running one. A write that has waited too
// long is queued for any engine beside the running one.
func (s *Scheduler) joinChain(q *query) {
	c := s.chains[q.tables]
	if c == nil {
		c = &chain{}
		s.chains[q.tables] = c
	}
	q.chain = c
	if c.running == nil {
		s.startWrite(c, q)
		return
	}
	c.waiting = append(c.waiting, q)
	s.runAt(q, s.now+capAt(maxChainWait, q.group.objective/chainWaitObjectiveDivisor), func() {
		if c.remove(q) {
			c.running = q
			s.enqueue(q)
		}
	})
}

// startWrite sends a write to the engine of the last one, if that write ended recently and the
// engine has capacity. Otherwise any engine may take the write from the queue.
func (s *Scheduler) startWrite(c *chain, q *query) {
	c.running = q
	recent := c.engine != nil && c.lastWriteEnded && s.now-c.lastWriteEndedAt < chainAffinityDuration
	if !recent || !s.hasCapacity(c.engine, q) || !s.submit(q, c.engine) {
		s.enqueue(q)
	}
}

// writeEnded removes an ended write from its chain, and starts the next write if the ended one was
// running.
func (s *Scheduler) writeEnded(q *query) {
	c := q.chain
	if c == nil || c.remove(q) || c.running != q {
		return
	}
	c.running = nil
	c.lastWriteEnded = true
	c.lastWriteEndedAt = s.now
	if len(c.waiting) > 0 {
		next := c.waiting[0]
		c.remove(next)
		s.startWrite(c, next)
	}
}
