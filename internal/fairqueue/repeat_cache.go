package fairqueue

import (
	"time"
)

// repeatCache stores the ended calls that a client may repeat, limited in number and age.
type repeatCache struct {
	callsByID map[uint64]repeatableCall
	idsByAge  []uint64 // in the order in which they were put, with the IDs of calls that were taken since
}

// repeatableCall is the part of an ended call that a repeated call inherits.
type repeatableCall struct {
	arrived, endedAt time.Duration
	charged          float64
	tenant           int
}

const (
	maxRepeatableCalls = 1 << 16
	repeatRetention    = time.Minute
)

func (c *repeatCache) size() int { return len(c.callsByID) }

// put stores an ended call. It drops the oldest call if the cache is full. A call whose ID is stored already
// is replaced and keeps its place in idsByAge.
func (c *repeatCache) put(id uint64, call repeatableCall) {
	if c.callsByID == nil {
		c.callsByID = map[uint64]repeatableCall{}
	}
	if _, exists := c.callsByID[id]; !exists {
		if len(c.callsByID) >= maxRepeatableCalls {
			c.dropOldest()
		}
		c.idsByAge = append(c.idsByAge, id)
	}
	c.callsByID[id] = call
}

// take removes the call with an ID and returns it.
func (c *repeatCache) take(id uint64) (repeatableCall, bool) {
	call, found := c.callsByID[id]
	delete(c.callsByID, id)
	return call, found
}

// dropOldest removes the call that was put first, and the IDs before it whose calls were taken.
func (c *repeatCache) dropOldest() {
	for len(c.idsByAge) > 0 {
		id := c.idsByAge[0]
		c.idsByAge = c.idsByAge[1:]
		if _, exists := c.callsByID[id]; exists {
			delete(c.callsByID, id)
			return
		}
	}
}

// dropExpired removes the calls that ended at least repeatRetention ago. It stops at the first call in
// idsByAge that is younger.
func (c *repeatCache) dropExpired(now time.Duration) {
	for len(c.idsByAge) > 0 {
		call, exists := c.callsByID[c.idsByAge[0]]
		if exists && now-call.endedAt < repeatRetention {
			return
		}
		delete(c.callsByID, c.idsByAge[0])
		c.idsByAge = c.idsByAge[1:]
	}
}
