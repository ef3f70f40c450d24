// Package scheduler decides which queries a controller admits, queues, rejects and retries, and
// which engine gets each of them. New returns a Scheduler for its Actions, a seed and a map of
// settings. An adapter calls the methods of Events with the time since the start, and the Scheduler
// calls its Actions before it returns. The package doesn't block or read a clock, and isn't safe
// for concurrent use: one goroutine calls it.
//
// The structure follows Gargamel (docs/design.md). Writes go into a chain per table group
// (chain.go), other queries into a queue per resource group (queue.go). dispatchQueued sends them
// in order of arrival, and route (routing.go) draws an engine. Only submit (invariants.go) sends an
// attempt, after maySend and maySendTo have checked the rules. Only reject (admission.go) answers a
// query of a known group.
package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/settings"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// Scheduler holds the state of one controller's decisions.
type Scheduler struct {
	actions  Actions
	settings settings.Settings
	rng      *pcg
	now      time.Duration // since the start, as of the last event

	// State by the adapter's ids.
	engines      []*engine // in the order first listed
	enginesByID  map[string]*engine
	queries      map[string]*query
	groups       []*resourceGroup
	ranked       []*resourceGroup // groups in order of service
	tenants      []*tenant
	noTenant     tenant // counts queries without a tenant, and of tenants without a quota
	chains       map[int64]*chain
	keyQueues    map[int64]*keyQueue
	lastSequence uint64 // sequence number of the last query

	// Timers and eviction.
	timers         timerqueue.Queue
	timerAt        time.Duration // when the earliest timer that is set fires; negative if none is set
	nextEvictionAt time.Duration
	retention      time.Duration // time for which removed entries may still matter

	// The endpoint list.
	listedEngines   map[*engine]bool // engines of the list that is being received
	listComplete    bool             // an engine that isn't in the list is removed
	subscribed      bool
	subscribeSentAt time.Duration

	// State set by the adapter.
	draining   bool          // nothing is admitted
	paused     bool          // nothing is dispatched
	retryAfter time.Duration // retry delay passed with a deferral; 0 if none is allowed

	// Sums over active engines, recomputed when outdated.
	totalsOutdated bool
	activeList     []*engine
	totals         totals
	warmEngines    float64 // number of active engines that aren't warming up
	activeCores    float64 // cores of all active engines

	// The controller's own attempts in flight.
	ownShare        float64       // this controller's share of the work of all controllers, 0 to 1
	meanThreads     movingAverage // threads of the attempts, over 30 s
	meanMemoryMB    movingAverage
	meanAttempts    movingAverage
	recentThreads   movingAverage // threads of the attempts, over rateWindow
	maxQueryThreads float64       // largest number of threads of a query in any group

	// Load reports.
	healthChecksReportLoad bool          // health checks are allowed and return reports
	reportedUtilization    movingAverage // mean utilization of engines, 1 if they are full
	reportedQueries        movingAverage // number of queries on an engine
	lastReportAt           time.Duration
	healthCheckTokens      float64 // number of health checks that may be sent now
	recentHealthChecks     float64 // number of health checks sent, decays over rateWindow

	// Arrivals.
	meanWorkSeconds   movingAverage // work of a query
	recentWorkSeconds float64       // work of admitted queries, decays over 20 s
	tenantLoad        movingAverage // arrivals over this controller's part of the tenants' quotas
	arrivals          []time.Duration
	retries           []time.Duration // times of retries; together with arrivals, for the retry budget
}

// New returns a Scheduler with the settings of a map that settings.FromPairs or settings.FromJSON
// returned.
func New(actions Actions, seed uint64, given map[string]string) *Scheduler {
	s := &Scheduler{
		actions:         actions,
		settings:        settings.Parse(given),
		rng:             newPCG(seed),
		enginesByID:     map[string]*engine{},
		queries:         map[string]*query{},
		chains:          map[int64]*chain{},
		keyQueues:       map[int64]*keyQueue{},
		timerAt:         -1,
		subscribeSentAt: -time.Hour,
	}
	for i, given := range s.settings.Groups {
		rg := newGroup(i, given)
		s.groups = append(s.groups, rg)
		s.retention = max(s.retention, rg.timeout)
		s.maxQueryThreads = max(s.maxQueryThreads, rg.threads)
	}
	for _, given := range s.settings.Tenants {
		s.tenants = append(s.tenants, &tenant{quota: s.quotaPerController(given)})
	}
	s.retention = max(s.retention, s.settings.SlowStartDuration, chainAffinityDuration) + s.settings.KeyCooldown
	s.noTenant.quota = math.Inf(1)
	s.lastSequence = uint64(s.rng.next()) // controllers must not draw the same numbers
	s.healthChecksReportLoad = s.settings.HealthChecksAllowed && s.settings.LoadReports
	s.ranked = slices.Clone(s.groups)
	s.ownShare = s.estimateOwnShare()
	if s.settings.RetryAfterAllowed {
		s.retryAfter = s.settings.MaxRetryAfter
	}
	s.actions.SetTimer(tickInterval, tickTag)
	return s
}

// quotaPerController returns the even part of a tenant's quota, in queries per second.
func (s *Scheduler) quotaPerController(given settings.Tenant) float64 {
	return given.QuotaPerSecond / max(1, s.settings.ControllerCount)
}

// UpdateSettings applies the settings that may change at run time: weights, objectives, timeouts,
// late values and threads of groups, and tenants with their quotas. Queued queries keep their
// place, and those not sent yet get the new objective. Tenants keep their state by name. The
// queries of a tenant that was removed count against no quota.
func (s *Scheduler) UpdateSettings(now time.Duration, given map[string]string) {
	s.now = now
	before := s.settings.Tenants
	s.settings = settings.Parse(given)
	for i, rg := range s.groups {
		rg.updateSettings(settings.ParseGroup(given, i))
		s.retention = max(s.retention, rg.timeout+s.settings.KeyCooldown)
	}
	s.updateTenants(before)
	for _, q := range s.unsentQueries() {
		q.objectiveAt = s.objectiveTime(q)
		s.runAt(q, q.objectiveAt, func() { s.handleObjectivePassed(q) })
	}
}

// updateTenants replaces the tenants by those of the settings. before has the settings of the old
// ones.
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
		t.quota = s.quotaPerController(given)
		if t.quota <= 0 {
			t.quota = math.Inf(1) // the tenant has no quota any more; queries of it may still wait
		}
		s.tenants = append(s.tenants, t)
	}
}

// unsentQueries returns the queries without an attempt in order of arrival.
func (s *Scheduler) unsentQueries() []*query {
	var queries []*query
	for _, q := range s.queries {
		if len(q.attempts) == 0 && !q.ended {
			queries = append(queries, q)
		}
	}
	slices.SortFunc(queries, func(a, b *query) int { return cmp.Compare(a.sequence, b.sequence) })
	return queries
}

// tenantByIndex returns the tenant with an index in the settings. For an unknown index or a tenant
// without a quota it returns noTenant, which is never over its quota.
func (s *Scheduler) tenantByIndex(index int) *tenant {
	if index < 0 || index >= len(s.tenants) || s.tenants[index].quota <= 0 {
		return &s.noTenant
	}
	return s.tenants[index]
}

// InFlight returns the number of this controller's attempts on an engine, false if the engine is
// unknown.
func (s *Scheduler) InFlight(id string) (count int, known bool) {
	e := s.enginesByID[id]
	if e == nil {
		return 0, false
	}
	return len(e.inFlight), true
}

// QueueBlocked returns whether a query of the group waits for capacity, so that another one would
// wait behind it. Queries that wait for a load or for their key don't count.
func (s *Scheduler) QueueBlocked(group int) bool {
	return group >= 0 && group < len(s.groups) && s.groups[group].blocked
}

// SendDeadline returns the time until which the first byte of an attempt may be sent, 0 if it may
// not be sent any more. An adapter whose attempt waited for a connection asks again. SendDeadline
// changes nothing, so that it may be called while the scheduler runs.
func (s *Scheduler) SendDeadline(id string, number int) time.Duration {
	if a := s.openAttempt(id, number); a != nil {
		return s.sendDeadline(a)
	}
	return 0
}
