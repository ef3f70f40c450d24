package controller

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/spool"
)

// EffectKind is the kind of an Effect. The comment of each kind names the fields of Effect that the runner
// reads.
type EffectKind int

const (
	// Dial connects Connection to Address within Timeout.
	Dial EffectKind = iota
	// Write sends Bytes on Connection, after all earlier writes, if the guards of the Effect hold.
	Write
	// Close ends Connection. Graceful: once earlier writes are sent and the peer has closed its side, or
	// after Timeout. Abort: bytes that the peer has not received yet must never arrive. IfIdle: not if input
	// from the peer is pending that the controller has not received; CloseDeclined is reported then. All earlier
	// writes must have been sent.
	Close
	// SetTimer requests a TimerFired after Timeout. It replaces the previous request.
	SetTimer
	// LogMessage logs Text with Fields: at any log level if Warning, at debug level if Trace, else at
	// info level.
	LogMessage
	// LogCounters logs Text, the counters, with the processor time per query over QueryCount queries.
	LogCounters
	// Exit ends the program.
	Exit
	// SubmitSpoolWork performs SpoolWork on the spool's disk; SpoolWorkDone follows.
	SubmitSpoolWork
	// ReportToFleet hands Report to the fleet; FleetReportRejected follows if there is no room for it.
	ReportToFleet
)

// Effect is an action for the runner to perform. Kind determines which other fields are set.
type Effect struct {
	Kind       EffectKind
	Connection *Connection
	Address    string
	Timeout    time.Duration
	Bytes      []byte
	Graceful   bool
	Abort      bool
	IfIdle     bool

	Warning    bool
	Trace      bool
	Text       string
	Fields     LogFields
	QueryCount int

	SpoolWork *spool.DiskTask
	Report    *fleet.Report

	// Guards of a Write. The runner checks them right before the first byte, by the clock at that moment.
	// If one fails, nothing is written and WriteRejected is reported.

	// PolicyVersion is the policy version that decided the write, 0: any. The bytes are sent only while
	// that version is committed and, if Confined, while the lease of confined tenants holds.
	PolicyVersion uint64
	Confined      bool
	// RetainedData marks data kept for a tenant (spooled results, cached answers). It is sent only while
	// the lease of confined tenants holds.
	RetainedData bool
	// Permit guards the write that starts a query at an engine; nil: no permit is needed.
	Permit *WritePermit
	// Client is the connection of the client that sent the query. The runner first reports the bytes that
	// it has received from there and not stepped yet: they may contain the client's cancellation.
	Client *Connection
}

// LogFields identify the subject of a log line. Each is logged under its own key, if set.
type LogFields struct {
	Query, Group, Tenant, Engine string
	Attempt                      int // from 1, 0: none
}
