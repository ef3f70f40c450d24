package controller

import (
	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/spool"
)

// EventKind is the kind of an Event. The comment of each kind names the fields of Event that it sets.
type EventKind int

const (
	// ClientAccepted reports that a client opened Connection.
	ClientAccepted EventKind = iota
	// Connected reports that Connection, requested by a Dial effect, is established.
	Connected
	// ConnectRefused reports that the peer refused Connection.
	ConnectRefused
	// ConnectTimedOut reports that Connection was not established within the timeout of its Dial, or
	// was closed first.
	ConnectTimedOut
	// BytesReceived reports that ByteCount more bytes are in Connection.Received.
	BytesReceived
	// BytesWritten reports that ByteCount more bytes requested by Write effects were sent on Connection.
	BytesWritten
	// ConnectionClosed reports that Connection ended, closed by either side, and that its descriptor is
	// free.
	ConnectionClosed
	// TimerFired reports that the time requested by the last SetTimer has come.
	TimerFired
	// ShutdownRequested asks the controller to exit once all accepted queries are answered.
	ShutdownRequested
	// CountersRequested asks the controller to log its counters.
	CountersRequested
	// ConfigurationReloaded replaces the discovery address by DiscoveryAddress and, unless nil, the
	// tenants by Tenants.
	ConfigurationReloaded
	// SpoolWorkDone reports that SpoolWork was done on the disk, or failed.
	SpoolWorkDone
	// FleetOrderReceived delivers Order from the fleet.
	FleetOrderReceived
	// FleetReportRejected reports that there was no room for Report; it must be sent again.
	FleetReportRejected
	// WriteRejected reports that a guarded Write on Connection was not performed because its policy
	// version, lease or permit was no longer valid. ConnectionClosed follows as a separate event.
	WriteRejected
	// CloseDeclined reports that a Close of Connection with IfIdle was not performed. No other event comes
	// between the Close and this one.
	CloseDeclined
)

// Event is something that happened, as the runner reports it to Controller.Step. Kind determines which other
// fields are set.
type Event struct {
	Kind       EventKind
	Connection *Connection
	ByteCount  int
	// EndOfStream, with BytesReceived: the peer closed its side right after these bytes.
	EndOfStream bool

	// Backlogged marks an event that piled up while the process was stalled. Timers that are due wait until
	// the backlog is handled and a TimerFired follows: a response that arrived but was not read yet is not
	// late.
	Backlogged bool

	DiscoveryAddress string
	Tenants          *fairqueue.Config // nil: unchanged
	SpoolWork        *spool.DiskTask
	Order            *fleet.Order
	Report           *fleet.Report
}
