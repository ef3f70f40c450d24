package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["pipeline"] = playPipeline }

// One client asks for 40 look-ups a second on its connection. Every 2.5 s another asks for 150 look-ups, a
// report and a load on its own, with at most 32 open at a time. With trouble it sends these commands at once,
// each as soon as fewer than 32 are open; without, the look-ups are spread evenly over the 2.5 s. A client
// that is refused and told to stay away asks no more in that round.
const (
	pipelineRounds = 12
	pipelineBatch  = 150
	pipelinePeriod = 2500 * time.Millisecond
	pipelineSteady = 40 // look-ups a second
)

func playPipeline(r *record, trouble bool) (int, error) {
	work := workOf{"gauge-lookup": 25 * time.Millisecond, "forecast-report": 700 * time.Millisecond,
		"station-load": 700 * time.Millisecond}
	engines, c, err := smallDeployment(r, 6, work, settings(lookup(5000), report(15000), load(25000)))
	if err != nil {
		return cannotRun, err
	}
	defer c.stop()
	cl, err := connect(r, c.address, "client")
	if err != nil {
		return cannotRun, err
	}
	clients := []*client{cl}
	steady, err := connect(r, c.address, "steady")
	if err != nil {
		return cannotRun, err
	}
	clients = append(clients, steady)
	begin := time.Now().Add(2 * time.Second)
	end := begin.Add(pipelineRounds * pipelinePeriod)
	var done sync.WaitGroup
	done.Go(func() {
		for time.Now().Before(end) && !steady.isOver() {
			steady.send("gauge-lookup", "", "SELECT * FROM readings_19.levels", 5*time.Second)
			time.Sleep(time.Second / pipelineSteady)
		}
	})
	for round := range pipelineRounds {
		from := begin.Add(time.Duration(round) * pipelinePeriod)
		time.Sleep(time.Until(from))
		if cl.isOver() { // as a client would, it connects again
			if cl, err = connect(r, c.address, fmt.Sprintf("client%d", round+1)); err != nil {
				return cannotRun, err
			}
			clients = append(clients, cl)
		}
		cl.send("forecast-report", "", "SELECT * FROM levels_17.days", 15*time.Second)
		cl.send("station-load", fmt.Sprintf("b%d", round), "INSERT INTO levels_18.days VALUES (1)", 25*time.Second)
		for i := range pipelineBatch {
			if !trouble {
				time.Sleep(time.Until(from.Add(time.Duration(i) * pipelinePeriod / pipelineBatch)))
			}
			if cl.isOver() || cl.isToldToStayAway() {
				break
			}
			cl.send("gauge-lookup", "", "SELECT * FROM readings_19.levels", 5*time.Second)
		}
	}
	done.Wait()
	for _, x := range clients {
		awaitAll(x)
	}
	return judgeAnswers(r, engines, clients...)
}
