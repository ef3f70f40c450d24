package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["endless"] = playEndless }

const (
	endlessSpan      = 40 * time.Second
	endlessShare     = 0.01 // of the good ends
	endlessRate      = 60   // look-ups a second
	endlessLoaders   = 4
	endlessStatement = 40_000 // bytes of a load
	endlessPiece     = 2_000  // bytes, as a client writes them
	endlessPause     = 4 * time.Millisecond
)

// playEndless has clients write loads of 40 kB in pieces, beside look-ups of others. With trouble a few of
// the engines' answers never end.
func playEndless(r *record, trouble bool) (int, error) {
	work := workOf{"gauge-lookup": 25 * time.Millisecond, "station-load": time.Second}
	engines, c, err := smallDeployment(r, 6, work, settings(lookup(5000), load(25000)))
	if err != nil {
		return cannotRun, err
	}
	defer c.stop()
	if trouble {
		for _, e := range engines {
			e.endless = func() bool { return rand.Float64() < endlessShare }
		}
	}
	var mu sync.Mutex
	var clients []*client
	open := func(name string) (*client, error) {
		cl, err := connect(r, c.address, name)
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			clients = append(clients, cl)
		}
		return cl, err
	}
	end := time.Now().Add(endlessSpan)
	var done sync.WaitGroup
	for i := range endlessLoaders {
		done.Go(func() { playLoader(open, fmt.Sprintf("loader%d", i+1), end) })
	}
	done.Go(func() {
		if cl, err := open("reader"); err == nil {
			for time.Now().Before(end) && !cl.isOver() {
				cl.send("gauge-lookup", "", "SELECT * FROM readings_19.levels", 5*time.Second)
				time.Sleep(time.Second / endlessRate)
			}
		}
	})
	done.Wait()
	for _, cl := range clients {
		awaitAll(cl)
	}
	spoilt := 0
	for _, e := range engines {
		spoilt += e.spoilt
	}
	r.say("%d answers never ended", spoilt)
	return judgeAnswers(r, engines, clients...)
}

// playLoader writes one load after another, each while the one before may still run. It connects again where
// its connection has ended.
func playLoader(open func(name string) (*client, error), name string, end time.Time) {
	rows := strings.Repeat("(123456789),", endlessStatement/12)
	statement := "INSERT INTO levels_%d.days VALUES " + rows + "(0)"
	var cl *client
	for i := 1; time.Now().Before(end); i++ {
		if cl == nil || cl.isOver() {
			var err error
			if cl, err = open(fmt.Sprintf("%s.%d", name, i)); err != nil {
				return
			}
		}
		key := fmt.Sprintf("%s-%d", name, i)
		cl.sendInPieces("station-load", key, fmt.Sprintf(statement, 20+rand.IntN(50)), 25*time.Second,
			endlessPiece, endlessPause)
		time.Sleep(150 * time.Millisecond)
	}
}
