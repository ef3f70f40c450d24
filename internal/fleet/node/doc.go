// Package node is one controller's part in the fleet. It follows the replicated log,
// votes if the log names it, requests leases and, while it leads, grants them and drives
// configuration changes, invalidations and emergencies; as a relay it aggregates the
// renewals of others. It tells the request side of its process (package controller) when
// to stop and start deciding.
//
// It is a pure state machine: Step takes an event and the time and returns effects, which
// package driver performs. A Core is not safe for concurrent use; its driver owns it.
package node
