package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["copies"] = playCopies }

const (
	copiesSeconds = 30
	copiesRate    = 100  // requests a second
	copiesShare   = 0.05 // of the good answers
	copyAfter     = 12 * time.Millisecond
	loadShare     = 0.056 // of the requests
)

// playCopies has look-ups served by engines some of whose good answers are followed by a second copy.
func playCopies(r *record, trouble bool) (int, error) {
	work := workOf{"gauge-lookup": 25 * time.Millisecond, "station-load": 3 * time.Second}
	engines, c, err := smallDeployment(r, 6, work, settings(lookup(5000), load(25000)))
	if err != nil {
		return cannotRun, err
	}
	defer c.stop()
	if trouble {
		for _, e := range engines {
			e.copyAfter = func() time.Duration {
				if rand.Float64() >= copiesShare {
					return 0
				}
				return copyAfter
			}
		}
	}
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
			askMix(cl, copiesRate/float64(len(clients)), copiesSeconds*time.Second)
			awaitAll(cl)
		})
	}
	done.Wait()
	time.Sleep(3 * time.Second) // what engines are not asked for any more they have dropped by now
	code, err := judgeAnswers(r, engines, clients...)
	if countForeign(r, clients) > 0 && err == nil {
		code = broken
	}
	copies := 0
	finished := map[string]bool{}
	for _, e := range engines {
		copies += e.copies
		e.mu.Lock()
		for id := range e.finished {
			finished[id] = true
		}
		e.mu.Unlock()
	}
	r.say("%d answers were copied; loads told served that no engine finished: %d", copies,
		countUnfinished(r, clients, finished))
	return code, err
}

// askMix sends look-ups and a few loads at random intervals. Each load has a key of its own.
func askMix(cl *client, rate float64, span time.Duration) {
	loads := 0
	for end := time.Now().Add(span); time.Now().Before(end) && !cl.isOver(); {
		if rand.Float64() < loadShare {
			loads++
			key := fmt.Sprintf("%s-%d", cl.name, loads)
			statement := fmt.Sprintf("INSERT INTO levels_%d.days VALUES (1)", 20+rand.IntN(50))
			cl.send("station-load", key, statement, 25*time.Second)
		} else {
			cl.send("gauge-lookup", "", "SELECT * FROM readings_19.levels", 5*time.Second)
		}
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
	}
}

// countUnfinished counts the loads whose clients were told that they were served, though no engine ran them
// to their end.
func countUnfinished(r *record, clients []*client, finished map[string]bool) (n int) {
	for _, cl := range clients {
		for _, q := range cl.all {
			if q.class == "station-load" && len(q.answers) > 0 && q.answers[0].problem == "" && !finished[q.trace] {
				n++
				r.line("UNFINISHED %s: %s was told served", cl.name, q.trace)
			}
		}
	}
	return n
}

// countForeign counts the requests that were served with rows that no engine made for them. Every row of a
// stand-in engine begins with the request's id.
func countForeign(r *record, clients []*client) int {
	foreign := map[string]int{}
	total := 0
	for _, cl := range clients {
		for _, q := range cl.all {
			for _, a := range q.answers {
				if a.problem == "" && !strings.HasPrefix(string(a.body), q.trace+"\t") {
					foreign[q.class]++
					total++
					r.line("FOREIGN %s: %s %s was served with the rows %q", cl.name, q.trace, q.class,
						firstLine(a.body))
				}
			}
		}
	}
	r.say("served with the rows of another request: %v", foreign)
	return total
}
