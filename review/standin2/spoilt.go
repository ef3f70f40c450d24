package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["lengths"] = func(w *world) { serveSpoilt(w, lengthZero) }
}

// share is the part of the good answers and pages that are spoilt.
const share = 0.03

// lengthZero sends some good answers with a length that doesn't fit: 0, with the body behind the head.
func lengthZero(e *engine, out *outlet, r *run, page int, good []byte) bool {
	if e.w.float() >= share {
		return false
	}
	e.w.record("engine %s sends page %d of %s with the length 0", e.id, page, r.id)
	head, body, _ := bytes.Cut(good, []byte("\r\n\r\n"))
	at := bytes.Index(head, []byte("Content-Length: "))
	out.write(append(fmt.Appendf(bytes.Clone(head[:at]), "Content-Length: 0\r\n\r\n"), body...))
	return true
}

// serveSpoilt has one controller and four engines serve 40 queries a second for 30 s. Afterwards it checks
// that each load that was served has run to its end.
func serveSpoilt(w *world, spoil func(*engine, *outlet, *run, int, []byte) bool) {
	engines := w.engines(4)
	if w.trouble {
		for _, e := range engines {
			e.spoil = spoil
		}
	}
	c := w.controller("n0", linz(1))
	until := time.Now().Add(30 * time.Second)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() { sendReads(w, c, until) })
	}
	for i := range 6 {
		group.Go(func() { sendLoads(w, c, fmt.Sprintf("station-%d", i), until) })
	}
	group.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, r := range w.requests {
		if !ordered(r.class) || r.kind != "served" {
			continue
		}
		done := false
		for _, s := range w.runs[id] {
			done = done || s.state == "done" && s.end.Before(r.answeredAt.Add(50*time.Millisecond))
		}
		if !done {
			w.brokeLocked("lost", "the load %s was served, and no engine has ended it", id)
		}
	}
}

// sendReads sends lookups and reports on one connection, and waits for the last answers.
func sendReads(w *world, c *controller, until time.Time) {
	cl, err := dial(w, c)
	if err != nil {
		w.cannot("%v", err)
	}
	defer cl.close()
	var last []*request
	for time.Now().Before(until) {
		time.Sleep(time.Duration(w.intn(400)) * time.Millisecond)
		class, ms, patience := "gauge-lookup", 20+w.intn(300), 5*time.Second
		if w.intn(7) == 0 {
			class, ms, patience = "forecast-report", 500+w.intn(2500), 15*time.Second
		}
		id := w.id()
		r := cl.send(id, class, "", fmt.Sprintf("SELECT * FROM sales_%d.orders /* ms=%d rows=%d wide=%d id=%s */",
			w.intn(20), ms, 1+w.intn(100), w.intn(150), id), patience)
		if r == nil {
			break
		}
		last = append(last, r)
	}
	for _, r := range last {
		<-r.done
	}
}

// sendLoads sends the loads of one key, one after the other.
func sendLoads(w *world, c *controller, key string, until time.Time) {
	cl, err := dial(w, c)
	if err != nil {
		w.cannot("%v", err)
	}
	defer cl.close()
	for time.Now().Before(until) {
		id := w.id()
		r := cl.send(id, "station-load", key, fmt.Sprintf(
			"INSERT INTO sales_%d.orders SELECT * FROM staging.in /* ms=%d rows=1 id=%s */", w.intn(20),
			2200+w.intn(1500), id), 20*time.Second)
		if r == nil {
			return
		}
		<-r.done
		time.Sleep(time.Duration(250+w.intn(500)) * time.Millisecond)
	}
}
