package controller

import (
	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/spool"
)

// EventKind says what happened. The comment of each kind names the fields of Event that it sets.
type EventKind int

const (
	// ClientAccepted: a client opened Connection.
	ClientAccepted EventKind = iota
	// Connected: Connection, which a Dial effect asked for, is established.
	Connected
	// ConnectRefused: the peer refused Connection.
	ConnectRefused
	// ConnectTimedOut: Connection was not established within the timeout of its Dial, or was
	// closed before it was.
	ConnectTimedOut
	// BytesReceived: ByteCount more bytes are in Connection.Received.
	BytesReceived
	// BytesWritten: ByteCount bytes of those that Write effects asked for left for Connection.
	BytesWritten
	// ConnectionClosed: Connection ended, whoever closed it, and its descriptor is free.
	ConnectionClosed
	// TimerFired: the time that the last SetTimer asked for has come.
	TimerFired
	// ShutdownRequested: exit once all accepted queries are answered.
	ShutdownRequested
	// CountersRequested: log the counters.
	CountersRequested
	// ConfigurationReloaded: DiscoveryAddress and, unless nil, Tenants replace the present ones.
	ConfigurationReloaded
	// SpoolWorkDone: SpoolWork was done on the disk, or failed.
	SpoolWorkDone
	// FleetOrderReceived: the fleet's side gives Order.
	FleetOrderReceived
	// FleetReportRejected: there was no room for Report; it is to be sent again.
	FleetReportRejected
	// WriteRejected: a guarded Write on Connection was not performed since its policy version, lease or
	// permit no longer held. The end of the connection follows as an event of its own.
	WriteRejected
)

// Event is one thing that happened, as the runner reports it to Controller.Step. Which fields
// are set depends on Kind.
type Event struct {
	Kind       EventKind
	Connection *Connection
	ByteCount  int
	// EndOfStream, with BytesReceived: the peer closed its side right behind these bytes.
	EndOfStream bool

	// Backlogged: the process stood still, and this is one of the events that piled up meanwhile.
	// Timers that are due wait until the backlog is stepped and a TimerFired follows, since a
	// response that is here and only unread isn't late.
	Backlogged bool

	DiscoveryAddress string
	Tenants          *fairqueue.Config // nil: unchanged
	SpoolWork        *spool.DiskTask
	Order            *fleet.Order
	Report           *fleet.Report
}
