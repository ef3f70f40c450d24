// Package scheduler holds the decisions of a controller: which queries it admits, queues, rejects and
// retries, and to which engine each is sent. New makes a Scheduler from its Actions, a seed and a map
// of settings; an adapter calls the methods of Events, each with the time since the start, and the
// Scheduler acts through its Actions before it returns. Nothing blocks, reads a clock or is safe for
// concurrent use: one goroutine calls it.
//
// The ordinary path follows Gargamel (docs/design.md): writes go into a chain per table group
// (chain.go), the rest into a queue per resource group (queue.go); dispatchQueued lets them out in the
// order of arrival, and route (routing.go) draws an engine. submit (invariants.go) is the only way to
// an engine and asks maySend and allowed, which hold the rules; reject (admission.go) is the only way
// to an answer.
package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/settings"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// Scheduler is one controller's decisions and all that it knows.
type Scheduler struct {
	actions  Actions
	settings settings.Settings
	rng      *pcg
	now      time.Duration // since the start, as of the last event

	// What is known, by the ids of the adapter.
	engines      []*engine // in the order first listed
	enginesByID  map[string]*engine
	queries      map[string]*query
	groups       []*resourceGroup
	ranked       []*resourceGroup // the groups in the order in which they are served
	tenants      []*tenant
	noTenant     tenant // counts queries of tenants without a quota
	chains       map[int64]*chain
	keyQueues    map[int64]*keyQueue
	lastSequence uint64 // of queries

	// Timers, and when what is gone is forgotten.
	timers    timerqueue.Queue
	wakeAt    time.Duration // of the earliest wake asked for, negative: none
	evictAt   time.Duration
	retention time.Duration // for which what is gone may still matter

	// The endpoint list.
	listedEngines   map[*engine]bool // while a list comes in
	listComplete    bool             // an engine that isn't in it is gone
	subscribed      bool
	subscribeSentAt time.Duration

	// States that an adapter asks for.
	draining   bool          // nothing is admitted
	paused     bool          // nothing is dispatched
	retryAfter time.Duration // told with a deferral, 0: none

	// Sums over active engines, made anew when stale.
	totalsStale bool
	active      []*engine
	totals      totals
	warmEngines float64 // active engines that don't warm up
	activeCores float64 // of all active engines

	// The controller's own attempts in flight, all together.
	ownShare        float64       // of all work, 0 to 1
	meanThreads     movingAverage // over 30 s
	meanMemoryMB    movingAverage
	meanAttempts    movingAverage
	recentThreads   movingAverage // over rateSpan
	maxQueryThreads float64       // of any group

	// What load reports tell.
	healthChecksReportLoad bool          // health checks are allowed and bring reports
	reportedUtilization    movingAverage // of engines, 1 is full
	reportedQueries        movingAverage // on an engine
	lastReportAt           time.Duration
	healthCheckTokens      float64
	recentHealthChecks     float64 // decays over rateSpan

	// What arrives.
	meanWorkSeconds   movingAverage // of a query
	recentWorkSeconds float64       // admitted, decays over 20 s
	tenantLoad        movingAverage // queries that arrived over the tenants' quotas here
	arrivals          []time.Duration
	retries           []time.Duration // both for the retry budget
}

// New starts an instance. The settings are as settings.FromPairs and settings.FromJSON give them.
func New(actions Actions, seed uint64, given map[string]string) *Scheduler {
	s := &Scheduler{
		actions:         actions,
		settings:        settings.Parse(given),
		rng:             newPCG(seed),
		enginesByID:     map[string]*engine{},
		queries:         map[string]*query{},
		chains:          map[int64]*chain{},
		keyQueues:       map[int64]*keyQueue{},
		wakeAt:          -1,
		subscribeSentAt: -time.Hour,
	}
	for i, given := range s.settings.Groups {
		rg := newGroup(i, given)
		s.groups = append(s.groups, rg)
		s.retention = max(s.retention, rg.timeout)
		s.maxQueryThreads = max(s.maxQueryThreads, rg.threads)
	}
	for _, given := range s.settings.Tenants {
		s.tenants = append(s.tenants, &tenant{quota: s.ownQuota(given)})
	}
	s.retention = max(s.retention, s.settings.SlowStartDuration, chainAffinitySpan) + s.settings.KeyCooldown
	s.noTenant.quota = math.Inf(1)
	s.lastSequence = uint64(s.rng.next()) // controllers must not draw alike
	s.healthChecksReportLoad = s.settings.HealthChecksAllowed && s.settings.LoadReports
	s.ranked = slices.Clone(s.groups)
	s.ownShare = s.estimateOwnShare()
	if s.settings.RetryAfterAllowed {
		s.retryAfter = s.settings.MaxRetryAfter
	}
	s.actions.SetTimer(tickInterval, tickTag)
	return s
}

// ownQuota is a controller's even part of a tenant's quota, in queries a second.
func (s *Scheduler) ownQuota(given settings.Tenant) float64 {
	return given.QuotaPerSecond / max(1, s.settings.ControllerCount)
}

// UpdateSettings reads anew what of the settings may change at run time: groups' weight, objective,
// timeout, late share and threads, and the tenants with their quotas. Queued queries keep their
// place; those not sent yet get the new objective. Tenants are known again by name; the queries of
// one that went count to no quota.
func (s *Scheduler) UpdateSettings(now time.Duration, given map[string]string) {
	s.now = now
	before := s.settings.Tenants
	s.settings = settings.Parse(given)
	for i, rg := range s.groups {
		rg.setLimits(settings.ParseGroup(given, i))
		s.retention = max(s.retention, rg.timeout+s.settings.KeyCooldown)
	}
	s.updateTenants(before)
	for _, q := range s.unsent() {
		q.objectiveAt = s.objective(q)
		s.atTime(q, q.objectiveAt, func() { s.objectivePassed(q) })
	}
}

// updateTenants makes the tenants anew by the settings; before has the settings of the present ones.
func (s *Scheduler) updateTenants(before []settings.Tenant) {
	byName := map[string]*tenant{}
	for i, t := range s.tenants {
		byName[before[i].Name] = t
		t.quota = math.Inf(1)
	}
	s.tenants = nil
	for _, given := range s.settings.Tenants {
		t := byName[given.Name]
		if t == nil {
			t = &tenant{}
		}
		t.quota = s.ownQuota(given)
		if t.quota <= 0 {
			t.quota = math.Inf(1) // no quota any more, and some of its queries wait
		}
		s.tenants = append(s.tenants, t)
	}
}

// unsent lists the queries without an attempt in the order of arrival.
func (s *Scheduler) unsent() []*query {
	var unsent []*query
	for _, q := range s.queries {
		if len(q.attempts) == 0 && !q.ended {
			unsent = append(unsent, q)
		}
	}
	slices.SortFunc(unsent, func(a, b *query) int { return cmp.Compare(a.seq, b.seq) })
	return unsent
}

// tenant is the one that a query counts to; a query without a tenant is never over a quota.
func (s *Scheduler) tenant(i int) *tenant {
	if i < 0 || i >= len(s.tenants) || s.tenants[i].quota <= 0 {
		return &s.noTenant
	}
	return s.tenants[i]
}

// InFlight is how many attempts an engine is thought to have.
func (s *Scheduler) InFlight(id string) (count int, known bool) {
	e := s.enginesByID[id]
	if e == nil {
		return 0, false
	}
	return len(e.inFlight), true
}

// QueueBlocked reports whether a query of the group is queued for want of capacity: one more would
// be queued behind it. What waits for a load or its key's turn blocks nothing.
func (s *Scheduler) QueueBlocked(group int) bool {
	return group >= 0 && group < len(s.groups) && s.groups[group].blocked
}

// SendDeadline is until when the first byte of an attempt may be sent, 0 where it may not any more:
// an adapter that let it wait for a connection asks once more. It changes nothing, so that it may be
// asked while the scheduler acts.
func (s *Scheduler) SendDeadline(id string, number int) time.Duration {
	if a := s.openAttempt(id, number); a != nil {
		return s.startDeadline(a)
	}
	return 0
}
