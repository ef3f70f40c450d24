package scheduler

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/settings"
)

// resourceGroup is a kind of query with its settings, its queue and what was learned about it.
type resourceGroup struct {
	index int // index in the settings

	// Settings that may change at run time.
	priorityWeight   float64 // value of an answer within the objective
	lateValueShare   float64 // fraction of priorityWeight that a late answer is worth
	objective        time.Duration
	objectiveStretch float64       // added to the objective, as a multiple of the estimated run time
	timeout          time.Duration // timeout of the group's clients; 0 if unknown
	threads          float64       // threads used by a query

	// Settings that don't change.
	effect        settings.Effect
	keyScope      settings.KeyScope
	keyWindow     time.Duration
	fifoByKey     bool
	isLoad        bool
	waitsForLoads bool
	locations     []string // nil allows all locations
	kinds         []string // kinds of engines; empty allows all

	queue   []*query // in order of arrival
	blocked bool     // a query was queued for lack of capacity at the last dispatch

	// Recent activity.
	recentArrivals      float64 // queries, decays over 20 s
	recentThreadSeconds float64 // work sent to engines, decays over rateWindow

	// Learned.
	workSeconds        movingAverage // work of all threads of a query, as reported by answers or as estimated
	memoryMB           movingAverage
	estimateCorrection movingAverage // reported work over estimated work
	threadSecondsUsed  movingAverage // run time of a finished query times its threads
	slowdown           movingAverage // run time over run time alone
	bestSlowdown       float64       // close to the smallest recent slowdown of an answer
	abandonRate        movingAverage // fraction of clients that leave before their answer
	patience           movingAverage // time in seconds after which clients that leave early do so
}

func newGroup(index int, config settings.Group) *resourceGroup {
	rg := &resourceGroup{
		index:         index,
		effect:        config.Effect,
		keyScope:      config.KeyScope,
		keyWindow:     config.KeyWindow,
		fifoByKey:     config.FIFOByKey,
		isLoad:        config.IsLoad,
		waitsForLoads: config.WaitsForLoads,
		locations:     config.Locations,
		kinds:         config.Kinds,
	}
	rg.updateSettings(config)
	return rg
}

// updateSettings sets the values that may change at run time.
func (rg *resourceGroup) updateSettings(config settings.Group) {
	rg.priorityWeight = config.PriorityWeight
	rg.lateValueShare = config.LateValueShare
	rg.objective = config.Objective
	rg.objectiveStretch = config.ObjectiveStretch
	rg.timeout = config.Timeout
	rg.threads = config.Threads
}

// insert adds a query to the queue, which stays in order of arrival, unless the queue contains it.
func (rg *resourceGroup) insert(q *query) {
	i := len(rg.queue)
	for i > 0 && rg.queue[i-1].sequence > q.sequence {
		i--
	}
	if i == 0 || rg.queue[i-1] != q {
		rg.queue = slices.Insert(rg.queue, i, q)
	}
}

func (rg *resourceGroup) remove(q *query) { removeFrom(&rg.queue, q) }

// removeFrom removes a query from a list, and returns whether the list contained it.
func removeFrom(list *[]*query, q *query) bool {
	i := slices.Index(*list, q)
	if i >= 0 {
		*list = slices.Delete(*list, i, i+1)
	}
	return i >= 0
}

// tenant has a quota, and the arrivals that count against it.
type tenant struct {
	quota          float64 // this controller's even part in queries per second; infinite if there is no quota
	recentArrivals float64 // queries, decays over rateWindow
}

// movingAverage is an exponential moving average in which the first samples have equal weights.
type movingAverage struct {
	value float64
	count float64 // number of samples, at most the window
}

// add adds a sample to an average over a window, given as a number of samples.
func (m *movingAverage) add(sample, window float64) {
	m.count = min(m.count+1, window)
	m.value += (sample - m.value) / m.count
}

func (m *movingAverage) valueOr(defaultValue float64) float64 {
	if m.count == 0 {
		return defaultValue
	}
	return m.value
}
