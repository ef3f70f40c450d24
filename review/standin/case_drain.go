package main

import (
	"sync"
	"time"
)

func init() { cases["drain"] = playDrain }

// The times of the case, from when the clients begin.
const (
	drainSlowFrom  = 2 * time.Second  // what the feed sends begins to be late
	drainSlowUntil = 24 * time.Second // and no longer is
	drainDelay     = 2400 * time.Millisecond
	drainBegins    = 4 * time.Second  // the feed tells that engine1 drains
	drainEnds      = 16 * time.Second // engine1 ends, which the feed tells, too
	drainSpan      = 27 * time.Second

	// What the feed tells counts as told no later than 7 s afterward; 1 s later at most, and 50 ms for
	// sockets, nothing new may be sent.
	drainAllowed = 7*time.Second + time.Second + 50*time.Millisecond

	drainRate = 100 // requests a second
)

// playDrain has one engine drain while the feed is slow, as a rolling deploy does, and end 12 s later: more
// than what the rule allows for new work and a load's run take together.
func playDrain(r *record, trouble bool) (int, error) {
	work := workOf{"gauge-lookup": 25 * time.Millisecond, "station-load": 3 * time.Second}
	engines, err := startEngines(r, 6, work)
	if err != nil {
		return cannotRun, err
	}
	f, err := startFeed(r, engines)
	if err != nil {
		return cannotRun, err
	}
	link, err := startSlowLink(f.address())
	if err != nil {
		return cannotRun, err
	}
	c, err := startController(f, link.listener.Addr().String(), settings(lookup(5000), load(25000)))
	if err != nil {
		return cannotRun, err
	}
	defer c.stop()
	begin := time.Now()
	var clients []*client
	for _, name := range []string{"a", "b", "c"} {
		cl, err := connect(r, c.address, name)
		if err != nil {
			return cannotRun, err
		}
		clients = append(clients, cl)
	}
	var done sync.WaitGroup
	for _, cl := range clients {
		done.Go(func() {
			askMix(cl, drainRate/float64(len(clients)), drainSpan)
			awaitAll(cl)
		})
	}
	at := func(when time.Duration) { time.Sleep(time.Until(begin.Add(when))) }
	at(drainSlowFrom)
	if trouble {
		link.setDelay(drainDelay)
		r.say("what the feed sends is %v late from now on", drainDelay)
	}
	at(drainBegins)
	told := time.Now()
	f.tell(engines[0], "DRAINING")
	at(drainEnds)
	engines[0].end()
	f.tell(engines[0], "DELETED")
	at(drainSlowUntil)
	link.setDelay(0)
	done.Wait()
	code, err := judgeAnswers(r, engines, clients...)
	if err != nil || code == broken {
		return code, err
	}
	return judgeDrain(r, clients, engines[0], told), nil
}

// judgeDrain counts what an engine was sent later than the rule allows after its drain was told, and the
// loads among it that ended with the engine.
func judgeDrain(r *record, clients []*client, e *engine, told time.Time) int {
	late, destroyed := 0, 0
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, cl := range clients {
		for _, q := range cl.all {
			begun, sent := e.beginsAt[q.trace]
			if !sent || begun.Before(told.Add(drainAllowed)) {
				continue
			}
			late++
			r.line("LATE %s: %s %s was sent to %s %.2f s after its drain was told", cl.name, q.trace, q.class,
				e.name, begun.Sub(told).Seconds())
			if q.class == "station-load" && !e.finished[q.trace] {
				destroyed++
				r.line("DESTROYED %s: %s, answers %v", cl.name, q.trace, q.answers)
			}
		}
	}
	r.say("sent to %s more than %v after its drain was told: %d, of these loads that ended with it: %d",
		e.name, drainAllowed, late, destroyed)
	if late > 0 {
		return broken
	}
	return held
}
