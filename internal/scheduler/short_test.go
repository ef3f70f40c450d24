package scheduler

import (
	"strconv"
	"testing"
	"time"
)

// hasty: all groups are wanted within 120 ms and given up after 300; what suits deadlines of
// seconds outlasts them.
func hasty(t *testing.T, engines int, more map[string]string) *world {
	f := map[string]string{"may.probe": "false", "note.period": "2000", "return.most": "1000"}
	for i := range 3 {
		at := "group." + strconv.Itoa(i) + "."
		f[at+"target"], f[at+"timeout"], f[at+"stretch"] = "120", "300", "0"
	}
	for k, v := range more {
		f[k] = v
	}
	return newWorld(t, engines, f)
}

// A time to come back that is longer than a client's whole time is none.
func TestATimeToComeBackIsWithinTheTimeout(t *testing.T) {
	for _, c := range []struct {
		more map[string]string
		want time.Duration
	}{{nil, 150 * ms}, {map[string]string{"group.0.timeout": "5000"}, time.Second}, {map[string]string{"group.0.timeout": "0"}, time.Second}} {
		w := hasty(t, 1, c.more)
		w.set("e0", EngineDraining)
		w.take(0, 1, -1, 200*ms)
		if w.pass(250 * ms); len(w.named) != 1 || w.named[0] != c.want {
			t.Fatalf("%v: %v", c.want, w.named)
		}
	}
}

// A load held behind another goes on alone while there is time; after 1 s its client had long gone.
func TestAHeldLoadGoesOnWhileItHasTime(t *testing.T) {
	w := hasty(t, 2, map[string]string{"loads": "true,false,false"})
	first, held := w.take(0, 1, -1, 290*ms), w.take(0, 1, -1, 290*ms)
	if len(first.subs) != 1 || len(held.subs) != 0 {
		t.Fatal("not held, and the test proves nothing")
	}
	if w.pass(150 * ms); len(held.subs) != 1 {
		t.Fatalf("held for 150 ms of 290, sent %d times", len(held.subs))
	}
}

// Notes come every 2 s, and no query waits for one: an engine that takes all and says nothing is
// known by what is late there, and left alone, though no longer than its queries can wait for it.
func TestAHungEngineIsFoundBeforeItsFirstNote(t *testing.T) {
	w := hasty(t, 1, nil)
	e := w.scheduler.engines[0]
	q := w.take(0, 1, -1, 290*ms)
	if len(q.subs) != 1 {
		t.Fatal("not sent, and the test proves nothing")
	}
	for w.now < 280*ms && e.consecutiveEjections == 0 {
		w.pass(10 * ms)
	}
	if e.consecutiveEjections != 1 || w.scheduler.available(e) {
		t.Fatalf("stood %d, ready %v", e.consecutiveEjections, w.scheduler.available(e))
	}
	if rest := e.ejectedUntil - w.now; rest > 600*ms {
		t.Fatalf("left alone for %v, twice the time that any query has and more", rest)
	}
}

// An engine that was full is tried again while those that it turned away have time left.
func TestAFullEngineIsTriedAgainInTime(t *testing.T) {
	w := hasty(t, 1, nil)
	q := w.take(0, 1, -1, 290*ms)
	w.end(q, 0, Rejected)
	if w.pass(120 * ms); len(q.subs) != 2 {
		t.Fatalf("sent %d times in 120 ms of 290", len(q.subs))
	}
}
