package main

import (
	"errors"
	"strings"
	"time"
)

// workOf returns how long a query runs at an engine, by its group.
type workOf map[string]time.Duration

// startEngines starts engines whose queries run as long as their group's do.
func startEngines(r *record, n int, work workOf) (engines []*engine, err error) {
	for i := range n {
		e, err := startEngine(r, "engine"+string(rune('1'+i)),
			func(class, _ string) time.Duration { return work[class] })
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	return engines, nil
}

// smallDeployment starts engines, a feed and a controller.
func smallDeployment(r *record, n int, work workOf, with map[string]any) ([]*engine, *controller, error) {
	engines, err := startEngines(r, n, work)
	if err != nil {
		return nil, nil, err
	}
	f, err := startFeed(r, engines)
	if err != nil {
		return nil, nil, err
	}
	c, err := startController(f, f.address(), with)
	return engines, c, err
}

// answerBy is when a request's answer is due: half a second after its time, and 50 ms of the network.
func (q *request) answerBy() time.Time { return q.sentAt.Add(q.patience + 550*time.Millisecond) }

// awaitAll waits until every request of a client has its answer, its connection has ended, or its time is
// over.
func awaitAll(cl *client) {
	cl.mu.Lock()
	all := append([]*request{}, cl.all...)
	cl.mu.Unlock()
	for _, q := range all {
		select {
		case <-q.done:
		case <-time.After(time.Until(q.answerBy())):
		}
	}
}

// judgeAnswers checks that every request that the controller has taken has exactly one answer, in time. A
// request without an answer counts as taken only if an engine was sent it, or if it was written more than
// 50 ms before its connection ended: that is less than the page says.
func judgeAnswers(r *record, engines []*engine, clients ...*client) (int, error) {
	sent, served, lost := 0, 0, map[string]int{}
	others := map[string]int{}
	for _, cl := range clients {
		cl.mu.Lock()
		for _, q := range cl.all {
			sent++
			late := len(q.answers) > 0 && q.at.After(q.answerBy())
			crossed := !cl.endedAt.IsZero() && q.sentAt.After(cl.endedAt.Add(-50*time.Millisecond))
			forwarded := timesBegun(engines, q.trace) > 0
			switch {
			case len(q.answers) == 1 && !late && q.answers[0].problem == "":
				served++
			case len(q.answers) == 1 && !late:
				others[strings.Fields(q.answers[0].problem)[0]]++
				r.line("%s: %s ended with %s", cl.name, q.trace, q.answers[0].problem)
			case len(q.answers) == 0 && crossed && !forwarded:
				others["not counted"]++
			default:
				lost[q.class]++
				r.line("LOST %s: %s %s, sent at %.4f, %d answers, forwarded %v", cl.name, q.trace, q.class,
					q.sentAt.Sub(r.start).Seconds(), len(q.answers), forwarded)
			}
		}
		cl.mu.Unlock()
	}
	r.say("sent %d, served %d, other answers %v, lost %v", sent, served, others, lost)
	if served == 0 {
		return cannotRun, errors.New("nothing was served")
	}
	if len(lost) > 0 {
		return broken, nil
	}
	return held, nil
}

// timesBegun returns how often the engines began a query.
func timesBegun(engines []*engine, trace string) (n int) {
	for _, e := range engines {
		e.mu.Lock()
		n += e.begun[trace]
		e.mu.Unlock()
	}
	return n
}
