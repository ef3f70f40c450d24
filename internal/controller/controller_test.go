package controller

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"railrelay.dev/railrelay/internal/invariant"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201") // the same verdict every time
	flag.Set("rapid.checks", "1000")
	flag.Set("rapid.shrinktime", "5s")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func TestRulesHoldWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choices := rapid.SliceOfN(rapid.Uint16(), 120, 250).Draw(t, "choices")
		sockets := rapid.SampledFrom([]int{64, 28, 1024}).Draw(t, "sockets")
		var logs [2][]string
		for i := range logs {
			s := newStage(t, 3, sockets, nil)
			s.play(choices)
			logs[i] = s.log
		}
		if !slices.Equal(logs[0], logs[1]) {
			t.Fatalf("the same events, other effects")
		}
	})
}

func TestOrderHoldsOnAVanishedEngine(t *testing.T) {
	s := newStage(t, 2, 256, nil)
	c := s.connect()
	first, next := s.query(c, "load", "k", 1500*time.Millisecond, 1), s.query(c, "load", "k", 20*time.Second, 2)
	s.reply(s.one("POST", first.id), "runs")
	h := s.one("GET", first.id)
	h.m.silent = true // cut off: what it has is still at work there
	s.until(first.deadline)
	if first.answer != "killed" {
		t.Fatalf("%q at its client's end", first.answer)
	}
	s.until(h.at + waits + 1990*time.Millisecond)
	if len(next.subs) > 0 {
		t.Fatal("sent while the first may still run")
	}
	s.until(s.now + 1500*time.Millisecond) // posted checks the rest
	if len(next.subs) != 1 {
		t.Fatal("the key is stuck")
	}
}

func TestOrderHoldsAfterAnErrorOutOfSilence(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	c := s.connect()
	first, next := s.query(c, "load", "k", 20*time.Second, 1), s.query(c, "load", "k", 20*time.Second, 2)
	s.reply(s.one("POST", first.id), "runs")
	h := s.one("GET", first.id)
	s.restart(h.m, false) // the new process knows nothing of it, and answers 500
	s.until(s.now + 290*time.Millisecond)
	if len(next.subs) > 0 {
		t.Fatal("an error that may be a restart lets the key go at once")
	}
	s.until(s.now + time.Second)
	if first.answer != "killed" || len(next.subs) != 1 {
		t.Fatalf("%q, %d", first.answer, len(next.subs))
	}
}

func TestARefusalIsNoEndWhileConnectionsStand(t *testing.T) {
	s := newStage(t, 2, 256, nil)
	c := s.connect()
	first := s.query(c, "load", "k", 20*time.Second, 1)
	h := s.one("POST", first.id)
	for i := range 6 { // so that there are other connections
		s.query(c, "load", "x"+strconv.Itoa(i), 20*time.Second, 10+i)
	}
	s.until(s.now + 100*time.Millisecond)
	next := s.query(c, "load", "k", 20*time.Second, 2)
	h.m.dead = true // full
	s.lose(h.e)
	s.flush()
	s.until(s.now + 2*time.Second)
	if first.answer != "" || len(next.subs) > 0 {
		t.Fatal("taken for dead: ", first.answer)
	}
	h.m.silent = true
	s.until(s.now + 4*time.Second) // posted checks the rest
	if first.answer != "killed" || len(next.subs) != 1 {
		t.Fatalf("%q, %d", first.answer, len(next.subs))
	}
}

func TestALaterSubmissionIsLeftAlone(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	a := s.query(s.connect(), "lookup", "", 20*time.Second, 1)
	s.reply(s.one("POST", a.id), "runs")
	h := s.one("GET", a.id)
	s.r.runSoon(func() { s.r.Cancel(a.id, 0) }) // as the decisions do when they move it
	s.step(Event{Kind: TimerFired})
	if len(a.subs) != 1 || len(s.r.queries[a.id].attempts) != 2 {
		t.Fatal("sent again while the first is being given up there")
	}
	s.reply(s.one("DELETE", a.id), "")
	s.reply(s.one("POST", a.id), "runs")
	if len(a.subs) != 2 {
		t.Fatal("not sent again")
	}
	if slices.Contains(s.held, h) {
		s.reply(h, "error") // the first one's late answer
	}
	s.reply(s.one("GET", a.id), "ok")
	s.until(s.now + 300*time.Millisecond)
	if a.answer != "finished" {
		t.Fatal(a.answer)
	}
}

func TestNothingWrittenNeverRan(t *testing.T) {
	for _, none := range []bool{true, false} {
		s := newStage(t, 1, 256, nil)
		c := s.connect()
		warm := s.query(c, "lookup", "", 5*time.Second, 1)
		s.reply(s.one("POST", warm.id), "ok")
		s.until(s.now + 50*time.Millisecond)
		for _, e := range s.ends { // what is idle now dies as the next call comes
			e.ignores = none && e.address == "10.0.0.0:1"
		}
		a := s.query(c, "load", "k", 5*time.Second, 2)
		for _, e := range s.ends {
			if e.address == "10.0.0.0:1" && !e.gone {
				s.lose(e)
			}
		}
		s.flush()
		s.until(s.now + 2*time.Second)
		if none != (len(a.subs) == 1 && s.r.counters.attemptEnds[7] == 1) && none {
			t.Fatalf("not sent once more: %d, %v", len(a.subs), s.r.counters.attemptEnds)
		}
		if !none && s.r.counters.attemptEnds[7] > 0 {
			t.Fatal("what was written passes for never sent")
		}
	}
}

func TestPollsTakeTurns(t *testing.T) {
	s := newStage(t, 2, 32, nil) // a pool of few
	c := s.connect()
	var all []*asked
	for i := range 16 {
		all = append(all, s.query(c, "load", "k"+strconv.Itoa(i), 20*time.Second, i))
	}
	s.until(s.now + 6*time.Second)
	for _, a := range all {
		if len(a.subs) == 0 {
			t.Fatal("not sent: ", a.id)
		}
		for _, x := range a.subs {
			if x.over && x.rests {
				t.Fatal("it went unasked for: ", a.id)
			}
		}
	}
	if s.r.counters.queuedCalls == 0 {
		t.Fatal("there was no shortage")
	}
}

func TestKeysKeepTheirNumbers(t *testing.T) {
	k := newKeyTable()
	a, b := k.acquire("a"), k.acquire("b")
	k.release(a, 10)
	k.forgetIdle(10)
	if k.acquire("a") != a || a.number == b.number || a.number < 0 {
		t.Fatal("a key that has not rested lost its number")
	}
	k.release(a, 20)
	k.forgetIdle(21)
	if c := k.acquire("c"); c.number != a.number || len(k.byName) != 2 {
		t.Fatal("a key at rest keeps its number")
	}
}

func TestTermsGoWithWhatIsOut(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	a := s.query(s.connect(), "load", "k", 20*time.Second, 1)
	s.one("POST", a.id)
	if q := s.r.queries[a.id]; q.memoryGrantMB != 6553 || q.priority < 1 ||
		!strings.Contains(strings.Join(s.log, "\n"), fmt.Sprintf(`Pool-Mb: 6553\r\nPool-Rank: %d\r\n`, q.priority)) {
		t.Fatal(s.log)
	}
	s.until(s.now + 1500*time.Millisecond)
	if h := s.one("PUT", a.id); h.body != "0" { // its target runtime has passed
		t.Fatalf("%q", h.body)
	}
}

func TestProbesThatComeToNothing(t *testing.T) {
	s := newStage(t, 2, 256, nil)
	c := s.connect()
	s.all()[0].silent, s.all()[1].silent = true, true
	a := s.query(c, "lookup", "", 3*time.Second, 1)
	s.until(s.now + 20*time.Millisecond)
	if s.r.counters.healthChecks == 0 || s.r.counters.attempts > 0 {
		t.Fatal("not looked at first: ", s.r.counters.text(s.r))
	}
	s.until(s.now + 4*time.Second)
	if len(a.subs) > 0 || a.answer != "deferred" || s.r.counters.attemptEnds[0] > 0 {
		t.Fatalf("%q after %d", a.answer, len(a.subs))
	}
}

func TestIdleLinesCloseBeforeTheirEngineDoes(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	a := s.query(s.connect(), "lookup", "", 3*time.Second, 1)
	s.reply(s.one("POST", a.id), "ok")
	s.until(s.now + 100*time.Millisecond)
	if s.r.pool.open == 0 {
		t.Fatal("none is kept for the next call")
	}
	s.until(s.now + 14*time.Second)
	if s.r.pool.open > 0 {
		t.Fatal("kept for as long as the engine keeps it")
	}
}

func TestASpoiltAnswerIsAskedForAgain(t *testing.T) {
	for _, how := range []string{"garbled", "cut", "short", "lost", "twice"} {
		s := newStage(t, 1, 256, nil)
		c := s.connect()
		a := s.query(c, "load", "k", 20*time.Second, 1)
		s.reply(s.one("POST", a.id), "runs")
		h := s.one("GET", a.id)
		s.good(h.s)
		s.reply(h, how)
		s.until(s.now + responseTimeout + 100*time.Millisecond)
		if a.answer != "finished" || len(a.subs) != 1 || s.r.counters.attemptEnds[0] != 1 {
			t.Fatalf("%s: %q, %s", how, a.answer, s.r.counters.text(s.r))
		}
	}
}

func TestASecondCopyAnswersNobodyElse(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	c := s.connect()
	a := s.query(c, "lookup", "", 5*time.Second, 1)
	h := s.one("POST", a.id)
	s.good(h.s)
	h.s.pages = 1
	s.reply(h, "ok")
	b := s.query(c, "lookup", "", 5*time.Second, 1) // in the same moment
	if s.one("POST", b.id).e == h.e {
		t.Fatal("on the line whose answer may have a second copy behind it")
	}
	s.read(h.e, []byte("HTTP/1.1 200 x\r\nChunks: 1\r\nContent-Length: 0\r\n\r\n"))
	if !h.e.gone || a.answer != "finished" || b.answer != "" {
		t.Fatalf("%v %q %q", h.e.gone, a.answer, b.answer)
	}
}

func TestANewEngineAtAnOldAddress(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	old := s.all()[0]
	a := s.query(s.connect(), "lookup", "", 5*time.Second, 1)
	s.reply(s.one("POST", a.id), "runs")
	s.one("GET", a.id)
	s.restart(old, false)
	next := &mill{id: "next", address: old.address, state: "SERVING", runs: map[string]*sub{}}
	s.mills[old.address] = next
	s.tell(next.entry(0))
	s.until(s.now + 300*time.Millisecond)
	if len(a.subs) != 2 || a.subs[1].m != next {
		t.Fatal("not sent to the new one: ", len(a.subs))
	}
	for _, l := range s.log {
		if strings.Contains(l, "DELETE") {
			t.Fatal("the new one was told to end what the old one had: ", l)
		}
	}
	if s.r.engines["e0"].address != "" {
		t.Fatal("the old one is thought to be there still")
	}
}

func TestNothingGrowsOverLongDays(t *testing.T) {
	s := newStage(t, 0, 256, map[string]string{"group.0.timeout": "5000", "group.1.timeout": "5000", "group.2.timeout": "5000"})
	s.until(s.now + 10*time.Millisecond)
	sizes := func() [6]int {
		return [6]int{len(s.r.engines), len(s.r.queries), len(s.r.keys.byName), len(s.r.clients), s.r.statementBytes, s.r.scheduler.EntryCount()}
	}
	var early [6]int
	for i := range 1500 { // each engine serves a few, then another takes its place and its address
		m := &mill{id: "n" + strconv.Itoa(i), address: "10.0.1." + strconv.Itoa(i%3) + ":1", state: "SERVING", runs: map[string]*sub{}}
		if old := s.mills[m.address]; old != nil {
			s.restart(old, false)
			old.state = "DELETED"
			s.tell(old.entry(0))
		}
		s.mills[m.address] = m
		s.tell(m.entry(0))
		c := s.connect()
		a := s.query(c, "load", "k"+strconv.Itoa(i), 5*time.Second, i)
		b := s.query(c, "lookup", "", 5*time.Second, i)
		s.until(s.now + 20*time.Millisecond)
		for _, h := range slices.Clone(s.held) {
			if h.id == a.id || h.id == b.id {
				s.reply(h, "ok")
			}
		}
		s.until(s.now + 80*time.Millisecond)
		s.leave(a)
		s.leave(b)
		if s.asked = s.asked[len(s.asked)-2:]; i%10 == 0 {
			s.drop(c)
		}
		if s.ends = slices.DeleteFunc(s.ends, func(e *end) bool { return e.gone }); i == 500 {
			early = sizes()
		}
	}
	late := sizes()
	for i := range late {
		if late[i] > early[i]*5/4+8 {
			t.Fatalf("grows: %v, then %v", early, late)
		}
	}
	if s.r.counters.finished < 1000 {
		t.Fatal("finished only ", s.r.counters.finished)
	}
}

func TestAFaultCostsOneConnection(t *testing.T) {
	if invariant.Debug {
		t.Skip("a debug build stops at once")
	}
	s := newStage(t, 1, 256, nil)
	c, other := s.connect(), s.connect()
	c.link.onBytes = func() { panic("of ours") }
	s.read(c, []byte{0x94})
	if !c.gone || other.gone || !strings.Contains(strings.Join(s.said, ""), "of ours") {
		t.Fatal(s.said)
	}
	a := s.query(other, "lookup", "", 5*time.Second, 1)
	s.reply(s.one("POST", a.id), "ok")
	s.until(s.now + 400*time.Millisecond)
	if a.answer != "finished" {
		t.Fatal("the others were not served: ", a.answer)
	}
}

func TestDueTimesLeaveWithWhatTheyAreFor(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	s.until(s.now + 10*time.Millisecond)
	before := s.r.timers.Len() + s.r.scheduler.EntryCount()
	c := s.connect()
	for range 200 { // asked and taken back, each with a long queue timeout
		a := s.query(c, "lookup", "", 30*time.Second, 1)
		s.until(s.now + 10*time.Millisecond)
		s.leave(a)
		if c.msgs > 100 {
			c = s.connect()
		}
	}
	s.until(s.now + 3*time.Second)
	if after := s.r.timers.Len() + s.r.scheduler.EntryCount(); after > before+30 {
		t.Fatalf("%d, then %d", before, after)
	}
}

// A call that starts a query may have come whole to a machine that has not taken
// it up: asked on another connection the engine doesn't know it, which is no end.
// On split+mass the next of its key went out 300 ms after such an error, while
// the first was still to be run.
func TestWhatIsNotKnownYetIsNotOver(t *testing.T) {
	for _, lose := range []string{"reset", "mute"} {
		s := newStage(t, 1, 96, nil)
		c := s.connect()
		a := s.query(c, "load", "k", 9*time.Second, 0)
		s.query(c, "load", "k", 9*time.Second, 1)
		s.until(s.now + 5*time.Millisecond)
		h := s.one("POST", a.id)
		h.s.untaken = true
		if lose == "reset" {
			s.reply(h, "lost")
		} else {
			s.held = nil // nothing is ever heard of it
		}
		if s.until(s.now + 500*time.Millisecond); lose == "mute" && !h.e.aborted {
			t.Fatal("what starts it may still arrive once the link heals")
		}
		if s.until(s.now + 4*time.Second); a.answer != "killed" { // posted checks the order
			t.Fatalf("%s: the first: %q", lose, a.answer)
		}
		if len(s.asked[1].subs) == 0 || !a.subs[0].over {
			t.Fatalf("%s: the second has to follow once the first was given up", lose)
		}
	}
}

// Each look dialled twice, once for itself and once for what it let go there: three
// hundred controllers made a connection a query. A copy of the look's answer that
// comes late fits no other call, and costs no more than asking once more.
func TestAfterALookItsLineCarriesTheQuery(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	a := s.query(s.connect(), "lookup", "", 5*time.Second, 1)
	h := s.one("POST", a.id)
	if s.r.counters.healthChecks != 1 || s.r.counters.dials != 1 {
		t.Fatalf("%d looks, %d connections", s.r.counters.healthChecks, s.r.counters.dials)
	}
	s.held = nil // answered behind the copy, on a line that is then gone
	s.read(h.e, []byte("HTTP/1.1 200 x\r\nX-Load: inflight:3;util:0.5\r\nContent-Length: 0\r\n\r\n"))
	if !h.e.gone || a.answer != "" {
		t.Fatalf("%v %q", h.e.gone, a.answer)
	}
	s.good(h.s)
	if s.until(s.now + 500*time.Millisecond); a.answer != "finished" || len(a.subs) != 1 {
		t.Fatalf("%q after %d", a.answer, len(a.subs))
	}
}

// What was written into a cut must not arrive when it heals: its key has gone on.
func TestNothingArrivesOnceACutHeals(t *testing.T) {
	s := newStage(t, 2, 96, map[string]string{"may.probe": "false"})
	c := s.connect()
	for range 8 { // so that there are lines to both
		s.until(s.now + 20*time.Millisecond)
		s.query(c, "lookup", "", 2*time.Second, 3)
	}
	s.until(s.now + 3*time.Second)
	for _, m := range s.all() {
		m.cut = true
	}
	first := s.query(c, "load", "k", 20*time.Second, 1)
	s.until(s.now + 60*time.Millisecond)
	var at *mill
	for _, m := range s.all() {
		if slices.ContainsFunc(m.lying, func(h *held) bool { return strings.Contains(h.head, first.id) }) {
			at = m
		}
	}
	if at == nil {
		// it was written before the cut: nothing of it lies there, and the test proves nothing
		t.Fatal("the call is not on its way")
	}
	next := s.query(c, "load", "k", 20*time.Second, 2)
	for _, m := range s.all() {
		if m != at {
			s.heal(m)
		}
	}
	s.until(s.now + 8*time.Second)
	if first.answer != "killed" || len(next.subs) != 1 {
		t.Fatalf("%q, the next was sent %d times", first.answer, len(next.subs))
	}
	s.heal(at) // posted judges what arrives
	s.until(s.now + time.Second)
}

// A call may name the customer whose share it counts to, and estimates; the names stand in
// the settings, and what can't be meant is taken as not told.
func TestACallTellsItsCustomerAndEstimates(t *testing.T) {
	s := newStage(t, 1, 64, map[string]string{"teams": "2", "team.0.name": "upper", "team.0.quota": "9", "team.1.name": "lower",
		"team.1.quota": "9", "over.worth": "0.1"})
	s.r.FieldNames = FieldNames{Customer: "customer", EstimatedWork: "weight", EstimatedMemory: "ram"}
	c := s.connect()
	for _, x := range []struct {
		more     []string
		customer int
		work     time.Duration
		need     float64
	}{
		{[]string{"customer", "lower", "weight", "250.5", "ram", "640"}, 1, 250500 * time.Microsecond, 640},
		{[]string{"customer", "nobody", "weight", "-3", "ram", "NaN"}, -1, 0, 0},
		{[]string{"weight", "1e300"}, -1, 0, 0},
		{nil, -1, 0, 0},
	} {
		q := s.r.queries[s.query(c, "report", "", 5*time.Second, 1, x.more...).id]
		if q == nil || q.customer != x.customer || q.estimatedWork != x.work || q.estimatedMemoryMB != x.need {
			t.Errorf("%v: %+v", x.more, q)
		}
	}
}

// The controller itself stands still while its call lies behind a cut that heals: by its
// clock the engine has long dropped the query, which in truth has only just come there.
func TestAStallOfOursEndsNothing(t *testing.T) {
	s := newStage(t, 1, 96, map[string]string{"may.probe": "false"})
	c := s.connect()
	s.query(c, "lookup", "", 2*time.Second, 3) // so that there is a line
	s.until(s.now + 3*time.Second)
	m := s.all()[0]
	m.cut = true
	first := s.query(c, "load", "k", 20*time.Second, 1)
	next := s.query(c, "load", "k", 20*time.Second, 2)
	if s.until(s.now + 60*time.Millisecond); len(m.lying) == 0 {
		t.Fatal("the call is not on its way")
	}
	s.now += 3 * time.Second
	s.heal(m)
	s.step(Event{Kind: TimerFired})
	s.until(s.now + time.Second) // posted checks the order
	if len(first.subs) != 1 || len(next.subs) > 0 {
		t.Fatalf("the first came %d times, the next %d", len(first.subs), len(next.subs))
	}
	s.reply(s.one("GET", first.id), "ok")
	if s.until(s.now + 100*time.Millisecond); first.answer != "finished" || len(next.subs) != 1 {
		t.Fatalf("the first: %q, the next came %d times", first.answer, len(next.subs))
	}
}
