package scheduler

import "time"

const (
	chainAffinityDuration     = 10 * time.Second // in which a chain goes on at the engine of its last write
	maxChainWait              = time.Second      // behind a running write
	chainWaitObjectiveDivisor = 3                // of its group's objective that a write waits, one
)

// chain serialises the writes of one table group at this controller: one runs, others wait for it,
// and the next goes to the same engine, which has the tables in memory.
type chain struct {
	running          *query  // the write that is queued or in flight
	engine           *engine // where the last write was sent
	lastWriteEnded   bool    // that write has ended,
	lastWriteEndedAt time.Duration
	waiting          []*query
}

func (c *chain) remove(q *query) bool { return removeFrom(&c.waiting, q) }

// joinChain has a write wait behind the running one, or starts it. A write that waited for too
// long goes on by itself.
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

// startWrite sends a write to the engine of the last one, if that ended of late and has capacity;
// else it is queued for any engine.
func (s *Scheduler) startWrite(c *chain, q *query) {
	c.running = q
	recent := c.engine != nil && c.lastWriteEnded && s.now-c.lastWriteEndedAt < chainAffinityDuration
	if !recent || !s.hasCapacity(c.engine, q) || !s.submit(q, c.engine) {
		s.enqueue(q)
	}
}

// writeEnded starts the next write of an ended query's chain.
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
