package controller

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/spool"
)

// EffectKind says what the runner is to do. The comment of each kind names the fields of Effect
// that it reads.
type EffectKind int

const (
	// Dial connects Connection to Address within Timeout.
	Dial EffectKind = iota
	// Write sends Bytes on Connection, behind all earlier writes, if the guards of Effect allow it.
	Write
	// Close ends Connection. Graceful: once earlier writes are out and the peer has closed its
	// side, or after Timeout. Abort: what the peer has not received yet must never arrive.
	Close
	// SetTimer asks for a TimerFired after Timeout. It replaces the one asked for before.
	SetTimer
	// LogMessage logs Text with Fields: always if Warning, at debug level if Trace, else at
	// info level.
	LogMessage
	// LogCounters logs Text, the counters, with the processor time spent a query, of QueryCount.
	LogCounters
	// Exit ends the program.
	Exit
	// SubmitSpoolWork has SpoolWork done on the spool's disk; SpoolWorkDone follows.
	SubmitSpoolWork
	// ReportToFleet gives Report to the fleet's side; FleetReportRejected follows if it has no room.
	ReportToFleet
)

// Effect is one thing for the runner to do. Which fields are set depends on Kind.
type Effect struct {
	Kind       EffectKind
	Connection *Connection
	Address    string
	Timeout    time.Duration
	Bytes      []byte
	Graceful   bool
	Abort      bool

	Warning    bool
	Trace      bool
	Text       string
	Fields     LogFields
	QueryCount int

	SpoolWork *spool.DiskTask
	Report    *fleet.Report

	// Guards of a Write. The runner checks them right before the first byte, by the clock as it is
	// then; if one fails nothing is written and WriteRejected is reported.

	// PolicyVersion is the version of the policy that the bytes were decided by, 0: any. They go
	// out only while that version is committed, and under the lease of confined tenants if Confined.
	PolicyVersion uint64
	Confined      bool
	// RetainedData marks data kept for a tenant (spooled results, cached answers). It goes out only
	// while the lease of confined tenants holds.
	RetainedData bool
	// Permit is that of the write that starts a query at an engine; nil: none is needed.
	Permit *WritePermit
	// Client is the connection of the client that a query came by. What the runner has received from
	// it and not stepped yet goes first: it may be the client's cancellation.
	Client *Connection
}

// LogFields name what a log line is about. Each is logged under a key of its own, if set.
type LogFields struct {
	Query, Group, Tenant, Engine string
	Attempt                      int // from 1, 0: none
}
