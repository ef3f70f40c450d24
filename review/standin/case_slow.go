package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["slow"] = playSlow }

const (
	slowRounds    = 6
	slowStatement = 3000 // bytes
	slowPiece     = 100  // bytes, written every 100 ms: 1 KB a second
	slowPause     = 100 * time.Millisecond
)

// playSlow has one client ask for a report and a load, and then for a look-up with a longer statement on the
// same connection. With trouble the client writes that last request slowly.
func playSlow(r *record, trouble bool) (int, error) {
	work := workOf{"gauge-lookup": 200 * time.Millisecond, "forecast-report": 5 * time.Second,
		"station-load": 4500 * time.Millisecond}
	engines, c, err := smallDeployment(r, 6, work, settings(lookup(5000), report(15000), load(25000)))
	if err != nil {
		return cannotRun, err
	}
	defer c.stop()
	var clients []*client
	for round := range slowRounds {
		cl, err := connect(r, c.address, fmt.Sprintf("client%d", round+1))
		if err != nil {
			return cannotRun, err
		}
		clients = append(clients, cl)
		cl.send("gauge-lookup", "", "SELECT * FROM readings_19.levels", 5*time.Second)
		awaitAll(cl)
		cl.send("forecast-report", "", "SELECT * FROM levels_17.days", 15*time.Second)
		cl.send("station-load", "b7", "INSERT INTO levels_18.days VALUES (1)", 25*time.Second)
		time.Sleep(300 * time.Millisecond)
		gauges := strings.Repeat("1234567,", slowStatement/8)
		statement := "SELECT * FROM readings_19.levels WHERE gauge IN (" + gauges + "0)"
		pause := slowPause
		if !trouble {
			pause = 0
		}
		err = cl.sendInPieces("gauge-lookup", "", statement, 5*time.Second, slowPiece, pause)
		if err != nil {
			r.line("%s: the slow request could not be written whole: %v", cl.name, err)
		}
		awaitAll(cl)
	}
	return judgeAnswers(r, engines, clients...)
}
