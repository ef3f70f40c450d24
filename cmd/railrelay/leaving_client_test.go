package main

import (
	"fmt"
	"testing"
	"time"
)

// A client sends much more than one read takes and disconnects while the process is paused. Its first query
// was once submitted, since the disconnect is only seen behind all that the client has sent.
func TestQueryOfDisconnectedClientIsNotSentBeforeUnreadInput(t *testing.T) {
	const (
		otherQueries   = 20
		statementBytes = 100_000
		pause          = 200 * time.Millisecond // longer than a query may begin after its client has left
	)
	e, f := newControlledEngine(t), newFakeFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.Addr().String(), "SERVING"))
	warm := c.client() // leaves an idle engine connection, so that a query is submitted at once
	e.finish("8000")
	warm.query("lookup", "8000", "15000", "")
	warm.expect(1, tracePrefix+"8000")
	for round := range 5 {
		a, id := c.client(), fmt.Sprintf("%04d", round)
		resume := c.pause()
		input := queryMessage(1, "load", tracePrefix+id, "15000", []byte("INSERT INTO sales_1.x"), "entity", id)
		for i := range otherQueries {
			trace := fmt.Sprintf("%s%02d%02d", tracePrefix, 50+round, i)
			input = append(input, queryMessage(byte(i+2), "lookup", trace, "15000", make([]byte, statementBytes))...)
		}
		if _, err := a.Write(input); err != nil {
			t.Fatal(err)
		}
		a.Close()
		time.Sleep(pause)
		resume()
		time.Sleep(pause)
		if len(e.submissions(id)) > 0 {
			t.Errorf("query %s was submitted for a disconnected client", id)
		}
	}
}

// A client disconnects while its load runs, and comes again with the same id. The load was once submitted a
// second time as soon as the first was given up.
func TestLoadOfDisconnectedClientIsNotSubmittedAgain(t *testing.T) {
	e, f := newControlledEngine(t), newFakeFeed(t)
	c := start(t, f.Addr().String(), 256, "127.0.0.1:0", entry("e1", e.Addr().String(), "SERVING"))
	for i, delay := range []time.Duration{0, 50 * time.Millisecond, time.Second} {
		id := fmt.Sprintf("%04d", i)
		a := c.client()
		a.query("load", id, "15000", "k"+id)
		e.waitForSubmissions(t, id, 1)
		a.Close()
		time.Sleep(delay)
		b := c.client()
		b.query("load", id, "15000", "k"+id)
		b.expect(1, "Failed why this trace ")
		if n := len(e.submissions(id)); n != 1 {
			t.Errorf("again after %v: submitted %d times", delay, n)
		}
	}
}
