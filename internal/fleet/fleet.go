// Package fleet is what controllers agree on: one ordered record of what the fleet
// has decided, the state that follows from it, and what passes between the parts of
// a controller because of it. It is pure: no I/O, clock or goroutine. Times are spans
// since the program's start unless a name says wall (milliseconds since 1970).
package fleet

import (
	"sync/atomic"
	"time"
)

// ErrorWithRemedy is an error of the fleet's packages that says what an operator can do.
type ErrorWithRemedy interface {
	error
	Remedy() string
}

// What an Entry decides.
const (
	EntryJoin           = "join"        // Member may hold leases from now on
	EntryForget         = "forget"      // the disk of Name is destroyed: that name and disk never serve again
	EntryPropose        = "propose"     // a change of policy begins: each controller checks and keeps it
	EntryFence          = "close"       // all stop deciding by the version before it
	EntryCommit         = "force"       // decided: all begin with the version after
	EntryAbort          = "withdraw"    // it never acts anywhere
	EntryEnterForce     = "settle"      // all that may serve serve by it: the operator is told
	EntryInvalidate     = "purge"       // what is kept of a team goes, on every controller
	EntryTombstone      = "unreachable" // no controller serves it any more
	EntryErased         = "erased"      // gone from every memory and disk
	EntryBind           = "bind"        // a load took bound tables into others: these are bound, too
	EntryBeginEmergency = "emergency"   // all inside a rule's sites is lost: its further sites are allowed
	EntryEndEmergency   = "calm"        // the emergency ends; Scope: what crossed is purged outside
	EntryFinishCleanup  = "finish"      // what a tighter rule left outside has ended and is purged
)

// Entry is one decision of the record. What a kind doesn't need is left out. ID is
// what it is asked for again by: a second entry of a kind with the same ID changes nothing.
type Entry struct {
	Kind string `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint,omitempty"`
	// RequestedBy: an operator, a team, or the fleet itself
	RequestedBy string `cbor:"3,keyasint,omitempty"`
	// Name: of a controller (EntryJoin, EntryForget) or of a rule (EntryBeginEmergency, EntryEndEmergency)
	Name   string  `cbor:"4,keyasint,omitempty"`
	Member *Member `cbor:"5,keyasint,omitempty"`
	// BaseVersion (EntryPropose): the version it is made against
	BaseVersion uint64 `cbor:"6,keyasint,omitempty"`
	// Policy (EntryPropose): the file's text
	Policy []byte `cbor:"7,keyasint,omitempty"`
	// AbortAfterMs (EntryPropose): milliseconds until it is withdrawn, 0: never
	AbortAfterMs int64 `cbor:"8,keyasint,omitempty"`
	// Reason (EntryAbort).
	Reason string `cbor:"9,keyasint,omitempty"`
	// Scope (EntryInvalidate).
	Scope *Scope `cbor:"10,keyasint,omitempty"`
	// Team (EntryBind).
	Team string `cbor:"11,keyasint,omitempty"`
	// Tables (EntryBind): bound from now on
	Tables []int64 `cbor:"12,keyasint,omitempty"`
	// SourceTables (EntryBind): whose boundary they follow
	SourceTables []int64 `cbor:"13,keyasint,omitempty"`
	// Counts (EntryErased).
	Counts *InvalidationCounts `cbor:"14,keyasint,omitempty"`
	// RequestedAtMs: when it was asked for, by the clock of who asked
	RequestedAtMs int64 `cbor:"15,keyasint,omitempty"`
	// Voters (EntryFence): who votes once it is in force, as name=address; empty: as before
	Voters []string `cbor:"16,keyasint,omitempty"`
	// Scopes (EntryFence): what the policy leaves outside, to be purged once it is in force
	Scopes []Scope `cbor:"17,keyasint,omitempty"`
}

// Scope is what of a team a purge means.
type Scope struct {
	Team string `cbor:"1,keyasint" json:"team"`
	// Tables: table groups, none: all
	Tables []int64 `cbor:"2,keyasint,omitempty" json:"tables,omitempty"`
	// RetainedBeforeMs: wall time it was kept before, 0: whenever
	RetainedBeforeMs int64 `cbor:"3,keyasint,omitempty" json:"before,omitempty"`
	// OutsideSites: only on controllers that are in none of these sites; none: on all
	OutsideSites []string `cbor:"4,keyasint,omitempty" json:"outside,omitempty"`
}

// InvalidationCounts are what a purge found.
type InvalidationCounts struct {
	// Results: kept results
	Results int64 `cbor:"1,keyasint" json:"results"`
	// Answers: cached answers
	Answers int64 `cbor:"2,keyasint" json:"answers"`
	Bytes   int64 `cbor:"3,keyasint" json:"bytes"`
}

// Add adds what another controller found.
func (c *InvalidationCounts) Add(o InvalidationCounts) {
	c.Results, c.Answers, c.Bytes = c.Results+o.Results, c.Answers+o.Answers, c.Bytes+o.Bytes
}

// Member is a controller that may hold leases.
type Member struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// DiskID: its directory's own name, drawn when it was made
	DiskID string `cbor:"2,keyasint" json:"disk"`
	Site   string `cbor:"3,keyasint,omitempty" json:"site,omitempty"`
	// PeerAddress: where its peers reach it
	PeerAddress string `cbor:"4,keyasint" json:"peer"`
	// ClientAddress: where clients reach it
	ClientAddress string `cbor:"5,keyasint,omitempty" json:"clients,omitempty"`
	Forgotten     bool   `cbor:"6,keyasint,omitempty" json:"forgotten,omitempty"`
	// ControlOnly: it takes no queries and keeps no results, so that neither changes nor
	// purges wait for it. Of a name that was a controller once it is never true.
	ControlOnly bool `cbor:"7,keyasint,omitempty" json:"control,omitempty"`
}

// ServingState is what this controller may serve now: by which policy version, and until
// when. The controller's goroutine sets it; the goroutine that writes an attempt's first byte
// asks it again right before. A controller without peers has none.
type ServingState struct {
	version          atomic.Uint64 // 0: closed
	leaseEnd         atomic.Int64  // when the lease ends
	confinedLeaseEnd atomic.Int64  // and that for bound teams
	writesInProgress atomic.Int64  // submissions being written
}

// Forever is a lease without an end.
const Forever = time.Duration(1<<63 - 1)

// SetVersion allows decisions by a version; 0 allows none.
func (w *ServingState) SetVersion(version uint64) { w.version.Store(version) }

// SetLease sets the end of the lease, and that of the lease for confined tenants' queries.
func (w *ServingState) SetLease(until, bound time.Duration) {
	w.leaseEnd.Store(int64(until))
	w.confinedLeaseEnd.Store(int64(bound))
}

// LeaseEnds gives the end of the lease, and that of the lease for confined tenants.
func (w *ServingState) LeaseEnds() (until, bound time.Duration) {
	return time.Duration(w.leaseEnd.Load()), time.Duration(w.confinedLeaseEnd.Load())
}

// ConfinedLeaseValid tells whether the lease of bound teams does, whatever is decided by now: what
// is kept is served within it only.
func (w *ServingState) ConfinedLeaseValid(now time.Duration) bool {
	return now < time.Duration(w.leaseEnd.Load()) && now < time.Duration(w.confinedLeaseEnd.Load())
}

// ServingVersion tells the version to decide by, 0 if this controller may not decide.
func (w *ServingState) ServingVersion(now time.Duration, bound bool) uint64 {
	if now >= time.Duration(w.leaseEnd.Load()) || bound && now >= time.Duration(w.confinedLeaseEnd.Load()) {
		return 0
	}
	return w.version.Load()
}

// BeginWrite is asked right before an attempt decided by a version is written. If it returns
// true, EndWrite must follow once it is written.
func (w *ServingState) BeginWrite(now time.Duration, version uint64, bound bool) bool {
	w.writesInProgress.Add(1) // before the look: who closes it waits for those inside
	if version == 0 || w.ServingVersion(now, bound) != version {
		w.writesInProgress.Add(-1)
		return false
	}
	return true
}

// EndWrite ends what BeginWrite began.
func (w *ServingState) EndWrite() { w.writesInProgress.Add(-1) }

// WritesFinished reports whether nothing is being written that was decided before it was closed.
func (w *ServingState) WritesFinished() bool { return w.writesInProgress.Load() == 0 }

// OrderKind is what an Order asks the controller for. Orders come in the order of the log.
type OrderKind int

const (
	// FencePolicy: stop deciding; report PolicyFenced with Change once nothing is being written.
	FencePolicy OrderKind = iota
	// ActivatePolicy: decide by Version and Policy; report PolicyOpened.
	ActivatePolicy
	// LeaseRenewed: the lease holds Until, that for confined tenants UntilBound.
	LeaseRenewed
	// InvalidateData: nothing in Scope that was asked for before Index comes out any more.
	// Report DataTombstoned, and DataErased once it is gone from memory and disk.
	InvalidateData
	// ViewChanged: View holds from now on.
	ViewChanged
	// RequestAnswered: the request that a report made came to Response.
	RequestAnswered
)

// Order is one thing for the controller. It goes through a bounded queue; a full one makes the
// fleet's side wait, never the controller.
type Order struct {
	Kind                       OrderKind
	ChangeID                   string // FencePolicy
	Version                    uint64 // OpenPolicy
	Policy                     any    // OpenPolicy: what the set-up made of the text
	LeaseEnd, ConfinedLeaseEnd time.Duration
	ID                         string // InvalidateData: of the purge; RequestAnswered: as in the report
	Scope                      *Scope
	Index                      uint64 // InvalidateData: its place in the log
	View                       *View
	Response                   *Response
}

// View is what of the log's state the controller's own decisions need. It is immutable.
type View struct {
	Index       uint64            // of the record: what is taken now is taken after it
	Bindings    []Binding         // tables bound because a load took bound ones into them
	Emergencies map[string]uint64 // rules whose further sites are allowed, with the place where that began
	Members     []Member          // who else there is, and where
}

// Binding is one entry of Bind.
type Binding struct {
	Team         string  `cbor:"1,keyasint" json:"team"`
	Tables       []int64 `cbor:"2,keyasint" json:"tables"`
	SourceTables []int64 `cbor:"3,keyasint" json:"from"`
}

// ReportKind is what a Report tells the fleet's side.
type ReportKind int

const (
	// PolicyFenced, with Change: nothing by the old version is being decided or written.
	PolicyFenced ReportKind = iota
	// PolicyActivated, with Version, and Outside as with SitesServing.
	PolicyActivated
	// DataTombstoned, with ID of a purge: nothing from before comes out any more.
	DataTombstoned
	// DataErased, with ID: gone from memory and disk here, with Counts.
	DataErased
	// SitesServing: Sites have engines that serve; Outside is how many attempts of confined
	// tenants run outside their sites.
	SitesServing
	// RequestMade, with Request: answered by a RequestAnswered order with the same ID.
	RequestMade
)

// Report is one thing that the controller tells. It goes through a bounded queue that the
// controller never waits for: a full one drops SitesServing (it comes again) and leaves the
// others with the controller until there is room.
type Report struct {
	Kind            ReportKind
	ID              string
	ChangeID        string
	Version         uint64
	Counts          InvalidationCounts
	ServingSites    []string
	AttemptsOutside int
	Request         *Request
}

// Request is what an operator, a customer or the reducer wants of the fleet.
type Request struct {
	// Kind: "apply", "purge", "forget", "bind", "status", "policy"
	Kind string `json:"kind"`
	// ID: of the change or purge; drawn by who asks
	ID          string `json:"id"`
	RequestedBy string `json:"by,omitempty"`
	BaseVersion uint64 `json:"base,omitempty"`
	Policy      []byte `json:"policy,omitempty"`
	// Name: forget
	Name  string `json:"name,omitempty"`
	Scope *Scope `json:"scope,omitempty"`
	// Team: bind; purge and status by a customer: only its own runs are told of
	Team string `json:"team,omitempty"`
	// Tables are bound by a bind, From is what they follow.
	Tables       []int64 `json:"tables,omitempty"`
	SourceTables []int64 `json:"from,omitempty"`
	// AbortAfterMs: milliseconds: a change not in force by then is withdrawn
	AbortAfterMs int64 `json:"at_most_ms,omitempty"`
	// WaitMs: milliseconds until the answer is "not known yet"
	WaitMs int64 `json:"wait_ms,omitempty"`
	// AwaitedStage: the word waited for: "" the last one; purge: "unreachable"
	AwaitedStage string `json:"until,omitempty"`
}

// Response is what became of a Request. Outcome is one of: in force, withdrawn, refused, settled,
// unreachable, purged, forgotten, bound, unknown (not known yet: ask again by id).
type Response struct {
	ID      string `json:"id"`
	Outcome string `json:"word"`
	Reason  string `json:"why,omitempty"`
	Remedy  string `json:"remedy,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Stage: how far a run has come: proposed, closing, decided, unreachable ...
	Stage  string              `json:"stage,omitempty"`
	Counts *InvalidationCounts `json:"counts,omitempty"`
	// Outstanding: controllers that are waited for, as far as is known here
	Outstanding []string `json:"outstanding,omitempty"`
	Status      *Status  `json:"status,omitempty"`
	// Policy: to a "policy": the text in force, none while it is each set-up's own
	Policy []byte `json:"policy,omitempty"`
}

// ExitStatus is the status that scripts see: 0 done, 3 not done and never will be, 4 not known yet.
func (r *Response) ExitStatus() int {
	switch r.Outcome {
	case "unknown":
		return 4
	case "withdrawn", "refused":
		return 3
	}
	return 0
}

// Status is how a controller sees the fleet.
type Status struct {
	Name    string `json:"name"`
	Leader  string `json:"leader,omitempty"`
	Index   uint64 `json:"index"`
	Version uint64 `json:"version"`
	Serves  bool   `json:"serves"`
	// LeaseRemainingMs: what is left of it; -1: without an end
	LeaseRemainingMs int64          `json:"lease_ms"`
	Change           *Response      `json:"change,omitempty"`
	Members          []MemberStatus `json:"members"`
	Purges           []Response     `json:"purges,omitempty"`
	Emergencies      []string       `json:"emergencies,omitempty"`
	Bindings         []Binding      `json:"bindings,omitempty"`
	// Counts: what was refused on the peers' wire, and such
	Counts map[string]int `json:"counts,omitempty"`
}

// MemberStatus is one controller as the leader sees it; elsewhere only what the record says.
type MemberStatus struct {
	Member
	IsVoter bool `json:"votes"`
	// Lease: it may hold a lease
	Lease        LeaseStatus `json:"holds"`
	AppliedIndex uint64      `json:"applied,omitempty"`
}

// EmergencyRule is a placement rule that names further sites for the loss of all inside.
type EmergencyRule struct {
	Name  string
	Team  string
	Sites []string
	After time.Duration // all engines inside are lost for so long, or there again
}
