// Package node is the fleet side of one controller. It applies the replicated log, votes if
// the log names it a voter, and renews its lease. While it leads, it grants leases and drives
// policy changes, invalidations and emergencies. As a relay it aggregates the renewals of other
// controllers. It tells the request side of its process (package controller) when to stop and
// start deciding.
//
// The package does no I/O: Core.Step takes an event and the time and returns effects, which
// package driver performs. A Core is not safe for concurrent use; its driver owns it.
package node
