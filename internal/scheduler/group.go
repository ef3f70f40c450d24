package scheduler

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/settings"
)

// resourceGroup is a kind of query: its settings, its queue, and what was learned of it.
type resourceGroup struct {
	index int // its place in the settings

	// Settings that may change at run time.
	priorityWeight   float64 // value of an answer by its objective
	lateValueShare   float64 // of that, of a late one
	objective        time.Duration
	objectiveStretch float64       // added to the objective, in estimated run times
	timeout          time.Duration // of its clients, 0: not told
	threads          float64       // that a query takes

	// Settings that don't.
	effect        settings.Effect
	keyScope      settings.KeyScope
	keyWindow     time.Duration
	fifoByKey     bool
	isLoad        bool
	waitsForLoads bool
	locations     []string // nil: all
	kinds         []string // of engines, none: all

	queue   []*query // in the order of arrival
	blocked bool     // a query was queued for want of capacity when last dispatched

	// Of late.
	recentArrivals      float64 // queries, decays over 20 s
	recentThreadSeconds float64 // sent, decays over rateSpan

	// Learned.
	workSeconds        movingAverage // of all threads, as answers told or as estimated
	memoryMB           movingAverage
	estimateCorrection movingAverage // work told over work estimated
	threadSecondsUsed  movingAverage // by a query that finished
	slowdown           movingAverage // time taken over time alone
	bestSlowdown       float64
	abandonRate        movingAverage // share of clients that leave before their answer
	patience           movingAverage // seconds after which they do
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

// setLimits takes the settings that may change at run time.
func (rg *resourceGroup) updateSettings(config settings.Group) {
	rg.priorityWeight = config.PriorityWeight
	rg.lateValueShare = config.LateValueShare
	rg.objective = config.Objective
	rg.objectiveStretch = config.ObjectiveStretch
	rg.timeout = config.Timeout
	rg.threads = config.Threads
}

// insert keeps a queue in the order of arrival.
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

// removeFrom takes a query out of a list, and tells whether it was there.
func removeFrom(list *[]*query, q *query) bool {
	i := slices.Index(*list, q)
	if i >= 0 {
		*list = slices.Delete(*list, i, i+1)
	}
	return i >= 0
}

// tenant has a quota of all queries.
type tenant struct {
	quota          float64 // this controller's even part, in queries a second; infinite: none
	recentArrivals float64 // queries, decays over rateSpan
}

// movingAverage is an exponential average; the first samples count evenly.
type movingAverage struct {
	value float64
	count float64 // of samples, up to the window
}

// add takes a sample; window is over how many of them the average is.
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
