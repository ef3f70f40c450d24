package controller

import "time"

// Before an invalidation is reported as unreachable, what was handed out of the tenant's retained
// bytes has to be out, or its connection closed.

const (
	// flushTimeout is how long retained bytes handed out before an invalidation may take to
	// leave this program; their connection is closed then.
	flushTimeout      = 250 * time.Millisecond
	flushPollInterval = 2 * time.Millisecond
	// minWritesSweep is how many new retained writes there are at the least before those that
	// are out are forgotten.
	minWritesSweep = 64
)

// retainedWrite is a connection that retained bytes of a tenant were written to.
type retainedWrite struct {
	connection *Connection
	tenant     string // "": not known
}

// of reports whether it may be of a tenant.
func (w retainedWrite) mayBelongTo(tenant string) bool { return w.tenant == "" || w.tenant == tenant }

// markRetained marks what do writes as retained bytes: they go out only while the lease
// holds, by the clock as it is then.
func (v *invalidation) markRetained(do func()) {
	v.writingRetainedData = true
	do()
	v.writingRetainedData = false
}

// trackRetainedAnswer notes that a query was answered with retained bytes.
func (v *invalidation) trackRetainedAnswer(q *query) {
	call, ok := q.owner.(*rpcCall)
	if !ok {
		return
	}
	tenant := ""
	if q.cacheState != nil && q.cacheState.ask != nil {
		tenant = q.cacheState.ask.Team
	}
	v.trackRetainedWrite(call.client.connection, tenant)
}

// trackRetainedWrite notes that retained bytes of a tenant, "" if it isn't known, are on their
// way out by a connection.
func (v *invalidation) trackRetainedWrite(conn *Connection, tenant string) {
	if len(v.retainedWrites) >= 2*v.writesAfterSweep+minWritesSweep {
		v.forgetFlushed()
		v.writesAfterSweep = len(v.retainedWrites)
	}
	if conn.unwrittenBytes > 0 {
		v.retainedWrites[retainedWrite{conn, tenant}] = true
	}
}

func (v *invalidation) forgetFlushed() {
	for w := range v.retainedWrites {
		if w.connection.unwrittenBytes == 0 {
			delete(v.retainedWrites, w)
		}
	}
}

// writesFlushed reports whether no retained bytes of a tenant are on their way out.
func (v *invalidation) writesFlushed(tenant string) bool {
	v.forgetFlushed()
	for w := range v.retainedWrites {
		if w.mayBelongTo(tenant) {
			return false
		}
	}
	return true
}

// awaitWritesFlushed calls then once all retained bytes of a tenant are out. A client that
// doesn't take them until the given time is disconnected.
func (v *invalidation) awaitWritesFlushed(tenant string, until time.Duration, then func()) {
	switch {
	case v.writesFlushed(tenant):
		then()
	case v.now >= until:
		v.disconnectUnflushed(tenant)
		then()
	default:
		v.runAfter(flushPollInterval, func() { v.awaitWritesFlushed(tenant, until, then) })
	}
}

func (v *invalidation) disconnectUnflushed(tenant string) {
	for w := range v.retainedWrites {
		if w.mayBelongTo(tenant) {
			v.counters.disconnected++
			v.closeConnection(w.connection, false)
			delete(v.retainedWrites, w)
		}
	}
}
