// Package fleet has the types that the controllers of a fleet share: the entries of the
// replicated log, and the orders and reports that a controller's fleet side and request side
// exchange. It does no I/O, reads no clock and starts no goroutine. Times are durations since
// the start of the program; fields that end in Ms and name a moment are Unix times in milliseconds.
package fleet

import (
	"sync/atomic"
	"time"
)

// ErrorWithRemedy is an error that also tells an operator what to do about it.
type ErrorWithRemedy interface {
	error
	Remedy() string
}

// The kinds of log entries.
const (
	EntryJoin           = "join"        // Member may hold leases from this entry on
	EntryForget         = "forget"      // the disk of Name is destroyed: the name and the disk never serve again
	EntryPropose        = "propose"     // a policy change begins: each controller validates the policy
	EntryFence          = "close"       // every controller stops deciding by the previous version
	EntryCommit         = "force"       // committed: every controller starts to decide by the new version
	EntryAbort          = "withdraw"    // the change is aborted: no controller ever decides by it
	EntryEnterForce     = "settle"      // every serving controller decides by it: the operator is told
	EntryInvalidate     = "purge"       // every controller deletes the retained data in Scope
	EntryTombstone      = "unreachable" // no controller serves data of the invalidation any more
	EntryErased         = "erased"      // the data is erased from the memory and disk of every controller
	EntryBind           = "bind"        // a load wrote confined tables into others: these are confined too
	EntryBeginEmergency = "emergency"   // all engines in a rule's sites are lost: further sites are allowed
	EntryEndEmergency   = "calm"        // the emergency ends; data in Scope is purged outside the rule's sites
	EntryFinishCleanup  = "finish"      // attempts and data that a stricter rule left outside are gone
)

// Entry is one entry of the replicated log. Fields that its kind doesn't need are empty. A
// second entry of the same kind with the same ID changes nothing, so a request can be retried.
type Entry struct {
	Kind string `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint,omitempty"`
	// RequestedBy is an operator, a tenant, or the fleet itself.
	RequestedBy string `cbor:"3,keyasint,omitempty"`
	// Name is the name of a controller (EntryJoin, EntryForget) or of a rule
	// (EntryBeginEmergency, EntryEndEmergency).
	Name   string  `cbor:"4,keyasint,omitempty"`
	Member *Member `cbor:"5,keyasint,omitempty"`
	// BaseVersion (EntryPropose) is the version in force that the change was made against.
	BaseVersion uint64 `cbor:"6,keyasint,omitempty"`
	// Policy (EntryPropose) is the text of the policy file.
	Policy []byte `cbor:"7,keyasint,omitempty"`
	// AbortAfterMs (EntryPropose) is the timeout of the change in milliseconds, 0: none.
	AbortAfterMs int64 `cbor:"8,keyasint,omitempty"`
	// Reason (EntryAbort) says why the change was aborted.
	Reason string `cbor:"9,keyasint,omitempty"`
	// Scope (EntryInvalidate, EntryEndEmergency) selects the data to purge.
	Scope *Scope `cbor:"10,keyasint,omitempty"`
	// Tenant (EntryBind) owns the tables.
	Tenant string `cbor:"11,keyasint,omitempty"`
	// Tables (EntryBind) are confined from this entry on.
	Tables []int64 `cbor:"12,keyasint,omitempty"`
	// SourceTables (EntryBind) are the tables whose boundary Tables follow.
	SourceTables []int64 `cbor:"13,keyasint,omitempty"`
	// Counts (EntryErased) has the number of items that were erased.
	Counts *InvalidationCounts `cbor:"14,keyasint,omitempty"`
	// RequestedAtMs is the Unix time of the request in milliseconds, by the requester's clock.
	RequestedAtMs int64 `cbor:"15,keyasint,omitempty"`
	// Voters (EntryFence) are the voters once the change is in force, as name=address;
	// none: the voters don't change.
	Voters []string `cbor:"16,keyasint,omitempty"`
	// Scopes (EntryFence) select the retained data that the policy's narrower residency rules
	// leave outside their sites. The data is purged once the change is in force.
	Scopes []Scope `cbor:"17,keyasint,omitempty"`
}

// Scope selects the data of a tenant that an invalidation covers.
type Scope struct {
	Tenant string `cbor:"1,keyasint" json:"team"`
	// Tables are table groups, none: all of the tenant's.
	Tables []int64 `cbor:"2,keyasint,omitempty" json:"tables,omitempty"`
	// RetainedBeforeMs is a Unix time in milliseconds: only data retained before it is covered, 0: all data.
	RetainedBeforeMs int64 `cbor:"3,keyasint,omitempty" json:"before,omitempty"`
	// OutsideSites restricts the invalidation to controllers in none of these sites; none: all
	// controllers.
	OutsideSites []string `cbor:"4,keyasint,omitempty" json:"outside,omitempty"`
}

// InvalidationCounts counts the items that an invalidation erased.
type InvalidationCounts struct {
	// Results is the number of stored results.
	Results int64 `cbor:"1,keyasint" json:"results"`
	// Answers is the number of cached answers.
	Answers int64 `cbor:"2,keyasint" json:"answers"`
	Bytes   int64 `cbor:"3,keyasint" json:"bytes"`
}

// Add adds the counts of another controller.
func (c *InvalidationCounts) Add(o InvalidationCounts) {
	c.Results, c.Answers, c.Bytes = c.Results+o.Results, c.Answers+o.Answers, c.Bytes+o.Bytes
}

// Member is a controller that may hold leases.
type Member struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// DiskID identifies the controller's directory; it is drawn when the directory is made.
	DiskID string `cbor:"2,keyasint" json:"disk"`
	Site   string `cbor:"3,keyasint,omitempty" json:"site,omitempty"`
	// PeerAddress is where other controllers reach it.
	PeerAddress string `cbor:"4,keyasint" json:"peer"`
	// ClientAddress is where clients reach it.
	ClientAddress string `cbor:"5,keyasint,omitempty" json:"clients,omitempty"`
	Forgotten     bool   `cbor:"6,keyasint,omitempty" json:"forgotten,omitempty"`
	// ControlOnly marks a control process: it takes no queries and keeps no results, so neither
	// changes nor purges wait for it. It is never true for a name that was a controller once.
	ControlOnly bool `cbor:"7,keyasint,omitempty" json:"control,omitempty"`
}

// ServingState holds the policy version that this controller may decide by, and its leases.
// The controller's goroutine sets it; the goroutine that writes the first byte of an attempt
// checks it right before the write. A controller without peers has no ServingState.
type ServingState struct {
	version          atomic.Uint64 // 0: fenced
	leaseEnd         atomic.Int64  // end of the lease
	confinedLeaseEnd atomic.Int64  // end of the lease for confined tenants
	writesInProgress atomic.Int64  // attempts being written
}

// Forever is the end of a lease that never expires.
const Forever = time.Duration(1<<63 - 1)

// SetVersion allows decisions by a policy version; 0 allows none.
func (s *ServingState) SetVersion(version uint64) { s.version.Store(version) }

// SetLease sets the end of the lease and of the lease for confined tenants.
func (s *ServingState) SetLease(leaseEnd, confinedLeaseEnd time.Duration) {
	s.leaseEnd.Store(int64(leaseEnd))
	s.confinedLeaseEnd.Store(int64(confinedLeaseEnd))
}

// LeaseEnds returns the end of the lease and of the lease for confined tenants.
func (s *ServingState) LeaseEnds() (leaseEnd, confinedLeaseEnd time.Duration) {
	return time.Duration(s.leaseEnd.Load()), time.Duration(s.confinedLeaseEnd.Load())
}

// ConfinedLeaseValid reports whether both leases hold, whatever policy version is in force. Kept
// results are served only then.
func (s *ServingState) ConfinedLeaseValid(now time.Duration) bool {
	return now < time.Duration(s.leaseEnd.Load()) && now < time.Duration(s.confinedLeaseEnd.Load())
}

// ServingVersion returns the policy version to decide by, 0 if this controller may not decide.
// For a confined tenant's query it checks both leases.
func (s *ServingState) ServingVersion(now time.Duration, confined bool) uint64 {
	if now >= time.Duration(s.leaseEnd.Load()) || confined && now >= time.Duration(s.confinedLeaseEnd.Load()) {
		return 0
	}
	return s.version.Load()
}

// BeginWrite reports whether an attempt that was decided by a version may be written now. If
// it returns true, the caller must call EndWrite after the write.
func (s *ServingState) BeginWrite(now time.Duration, version uint64, confined bool) bool {
	s.writesInProgress.Add(1) // before the check, so that a fence waits for this write
	if version == 0 || s.ServingVersion(now, confined) != version {
		s.writesInProgress.Add(-1)
		return false
	}
	return true
}

// EndWrite ends a write that BeginWrite allowed.
func (s *ServingState) EndWrite() { s.writesInProgress.Add(-1) }

// WritesFinished reports whether no attempt is being written. After SetVersion(0) true means
// that the attempts decided before the fence are written.
func (s *ServingState) WritesFinished() bool { return s.writesInProgress.Load() == 0 }

// OrderKind is the kind of an Order. Orders come in the order of the log.
type OrderKind int

const (
	// FencePolicy: stop deciding; report PolicyFenced with ChangeID once no attempt is being
	// written.
	FencePolicy OrderKind = iota
	// ActivatePolicy: decide by Version and Policy; report PolicyActivated.
	ActivatePolicy
	// LeaseRenewed: the lease ends at LeaseEnd, the lease for confined tenants at
	// ConfinedLeaseEnd.
	LeaseRenewed
	// InvalidateData: serve no data in Scope of queries admitted before Index. Report
	// DataTombstoned, and DataErased once the data is erased from memory and disk.
	InvalidateData
	// ViewChanged: use View from now on.
	ViewChanged
	// RequestAnswered: Response answers the request of a RequestMade report.
	RequestAnswered
)

// Order is one order from the fleet side to the controller's request side. It goes through a
// bounded queue; the fleet side waits while the queue is full, the controller never waits.
type Order struct {
	Kind                       OrderKind
	ChangeID                   string // FencePolicy
	Version                    uint64 // ActivatePolicy
	Policy                     any    // ActivatePolicy: the validated policy
	LeaseEnd, ConfinedLeaseEnd time.Duration
	ID                         string // InvalidateData: the invalidation; RequestAnswered: the ID of the request
	Scope                      *Scope
	Index                      uint64 // InvalidateData: the log index of the invalidation
	View                       *View
	Response                   *Response
}

// View is the part of the replicated state that the controller's decisions use. It is immutable.
type View struct {
	Index       uint64            // log index of the view: queries admitted with it come after this index
	Bindings    []Binding         // tables confined because a load read confined tables into them
	Emergencies map[string]uint64 // rules in an emergency, with the log index at which it began
	Members     []Member          // members that aren't forgotten, in the order of their names
}

// Binding says that Tables of a tenant follow the boundary of SourceTables.
type Binding struct {
	Tenant       string  `cbor:"1,keyasint" json:"team"`
	Tables       []int64 `cbor:"2,keyasint" json:"tables"`
	SourceTables []int64 `cbor:"3,keyasint" json:"from"`
}

// ReportKind is the kind of a Report.
type ReportKind int

const (
	// PolicyFenced, with ChangeID: no attempt is being decided or written by the old version.
	PolicyFenced ReportKind = iota
	// PolicyActivated, with Version, and AttemptsOutside as with SitesServing.
	PolicyActivated
	// DataTombstoned, with the ID of an invalidation: its data is no longer served here.
	DataTombstoned
	// DataErased, with ID and Counts: the data is erased from memory and disk here.
	DataErased
	// SitesServing: ServingSites have engines that serve; AttemptsOutside counts the attempts
	// of confined tenants that run outside their sites.
	SitesServing
	// RequestMade, with Request: a RequestAnswered order with the same ID answers it.
	RequestMade
)

// Report is one report from the controller's request side to the fleet side. It goes through a
// bounded queue that the controller never waits for. While the queue is full, SitesServing
// reports are dropped, since they are repeated; the controller holds other reports back until
// the queue has room.
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

// Request is a request of an operator, a customer or the controller itself to the fleet.
type Request struct {
	// Kind is "apply", "purge", "forget", "bind", "status" or "policy".
	Kind string `json:"kind"`
	// ID identifies the change or purge; the requester draws it.
	ID          string `json:"id"`
	RequestedBy string `json:"by,omitempty"`
	BaseVersion uint64 `json:"base,omitempty"`
	Policy      []byte `json:"policy,omitempty"`
	// Name (forget) is the controller to forget.
	Name  string `json:"name,omitempty"`
	Scope *Scope `json:"scope,omitempty"`
	// Tenant (bind) owns the tables. In a customer's purge or status it restricts the answer to
	// the tenant's own purges.
	Tenant string `json:"team,omitempty"`
	// Tables (bind) follow the boundary of SourceTables.
	Tables       []int64 `json:"tables,omitempty"`
	SourceTables []int64 `json:"from,omitempty"`
	// AbortAfterMs (apply) is the timeout of the change in milliseconds, 0: none.
	AbortAfterMs int64 `json:"at_most_ms,omitempty"`
	// WaitMs is how long to wait for the outcome, in milliseconds, before the answer is
	// "unknown".
	WaitMs int64 `json:"wait_ms,omitempty"`
	// AwaitedStage is the stage to wait for. An apply waits until the change is in force, with
	// "settled" until the data outside its sites is purged too; a purge waits until the data is
	// erased, with "unreachable" until it is no longer served.
	AwaitedStage string `json:"until,omitempty"`
}

// Response answers a Request. Outcome is one of: in force, withdrawn, refused, settled,
// unreachable, purged, forgotten, bound, status, policy, unknown (not known yet: ask again with
// the same ID).
type Response struct {
	ID      string `json:"id"`
	Outcome string `json:"word"`
	Reason  string `json:"why,omitempty"`
	Remedy  string `json:"remedy,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Stage is the phase of a change (proposed, closing, decided, ...) or the stage of a purge
	// (unreachable, ...).
	Stage  string              `json:"stage,omitempty"`
	Counts *InvalidationCounts `json:"counts,omitempty"`
	// Outstanding are the controllers that the change or purge waits for, as far as the
	// answering controller knows.
	Outstanding []string `json:"outstanding,omitempty"`
	Status      *Status  `json:"status,omitempty"`
	// Policy answers a "policy" request: the text of the policy in force, empty while every
	// controller uses the policy of its own configuration.
	Policy []byte `json:"policy,omitempty"`
}

// ExitStatus returns the exit status of the fleet commands: 0 done, 3 not done and
// never will be, 4 not known yet.
func (r *Response) ExitStatus() int {
	switch r.Outcome {
	case "unknown":
		return 4
	case "withdrawn", "refused":
		return 3
	}
	return 0
}

// Status is the state of the fleet as one controller knows it.
type Status struct {
	Name    string `json:"name"`
	Leader  string `json:"leader,omitempty"`
	Index   uint64 `json:"index"`
	Version uint64 `json:"version"`
	Serves  bool   `json:"serves"`
	// LeaseRemainingMs is what remains of the lease in milliseconds, -1: it has no end.
	LeaseRemainingMs int64          `json:"lease_ms"`
	Change           *Response      `json:"change,omitempty"`
	Members          []MemberStatus `json:"members"`
	Purges           []Response     `json:"purges,omitempty"`
	Emergencies      []string       `json:"emergencies,omitempty"`
	Bindings         []Binding      `json:"bindings,omitempty"`
	// Counts has counters, such as of messages from peers that were refused.
	Counts map[string]int `json:"counts,omitempty"`
}

// MemberStatus is one controller as the leader knows it. From any other controller it has only
// what the replicated log says.
type MemberStatus struct {
	Member
	IsVoter bool `json:"votes"`
	// Lease says whether the controller may hold a lease.
	Lease        LeaseStatus `json:"holds"`
	AppliedIndex uint64      `json:"applied,omitempty"`
}

// EmergencyRule is a residency rule that allows further sites while all engines in its own
// sites are lost.
type EmergencyRule struct {
	Name   string
	Tenant string
	Sites  []string
	After  time.Duration // how long all engines in Sites must be lost, or one must serve again
}
