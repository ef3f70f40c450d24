package controller

import "time"

// Before an invalidation is reported as DataTombstoned, all retained data of the tenant that was
// handed to a connection must have been written, or the connection must be closed.

const (
	// flushTimeout is the time after which an invalidation closes connections with unwritten
	// retained data of the tenant.
	flushTimeout      = 250 * time.Millisecond
	flushPollInterval = 2 * time.Millisecond
	// minWritesSweep is the minimum number of new retained writes between two removals of those
	// that are flushed.
	minWritesSweep = 64
)

// retainedWrite is a write of a tenant's retained data to a connection. It counts as flushed only once the
// whole connection has no unwritten bytes, since bytes are not tracked by message.
type retainedWrite struct {
	connection *Connection
	tenant     string // "" if it is unknown
}

// mayBelongTo reports whether the data may be the tenant's.
func (w retainedWrite) mayBelongTo(tenant string) bool { return w.tenant == "" || w.tenant == tenant }

// markRetained marks the messages that write sends as retained data. They are written only if the
// lease still holds at the time of the write.
func (v *invalidation) markRetained(write func()) {
	v.writingRetainedData = true
	write()
	v.writingRetainedData = false
}

// trackRetainedAnswer tracks the write of a query's answer from retained data.
func (v *invalidation) trackRetainedAnswer(q *query) {
	call, ok := q.owner.(*rpcCall)
	if !ok {
		return
	}
	tenant := ""
	if q.cacheState != nil && q.cacheState.request != nil {
		tenant = q.cacheState.request.Tenant
	}
	v.trackRetainedWrite(call.client.connection, tenant)
}

// trackRetainedWrite tracks the write of retained data to conn. tenant is "" if the data's tenant is
// unknown.
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

// writesFlushed reports whether all tracked writes of a tenant's retained data are flushed.
func (v *invalidation) writesFlushed(tenant string) bool {
	v.forgetFlushed()
	for w := range v.retainedWrites {
		if w.mayBelongTo(tenant) {
			return false
		}
	}
	return true
}

// awaitWritesFlushed calls then once all tracked writes of a tenant's retained data are flushed.
// At the time until, connections to which such data is still unwritten are closed.
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
			v.closeConnection(w.connection, immediately)
			delete(v.retainedWrites, w)
		}
	}
}
