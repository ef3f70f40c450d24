package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// world is one run: what takes part, what was seen, and which rules were broken.
type world struct {
	dir      string
	out      *os.File
	start    time.Time
	trouble  bool
	memoryMB int
	sockets  int
	cores    float64
	feed     *feed
	rng      *rand.Rand
	grace    time.Duration // of drains

	mu       sync.Mutex
	requests map[string]*request
	runs     map[string][]*seenRun
	posts    map[string]int
	byKey    map[string][]*request
	cleanup  []func()
	broken   map[string]int
	counts   map[string]int
	excluded map[string]bool // rules that the case doesn't judge
}

type seenRun struct {
	engine       string
	started, end time.Time
	state        string
}

func (w *world) record(form string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line(form, a...)
}

func (w *world) line(form string, a ...any) {
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(form, a...))
}

func (w *world) broke(rule, form string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.brokeLocked(rule, form, a...)
}

func (w *world) brokeLocked(rule, form string, a ...any) {
	w.broken[rule]++
	w.line("BROKEN "+rule+": "+form, a...)
}

// cannot ends the run with 2.
func (w *world) cannot(form string, a ...any) {
	w.record("the case can't run: "+form, a...)
	fmt.Printf("the case can't run: "+form+"\n", a...)
	w.end()
	os.Exit(2)
}

func (w *world) end() {
	for i := len(w.cleanup) - 1; i >= 0; i-- {
		w.cleanup[i]()
	}
	os.RemoveAll(w.dir)
}

func (w *world) id() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%016x", w.rng.Uint64())
}

func (w *world) float() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

func (w *world) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

func ordered(class string) bool { return class == "station-load" }

// sent records a request just before it is written.
func (w *world) sent(r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[r.id] = r
	w.counts["sent"]++
	if r.key != "" {
		k := r.controller.name + "/" + r.key
		r.order = len(w.byKey[k])
		w.byKey[k] = append(w.byKey[k], r)
	}
	w.line("client sends %s %s key %q to %s: %s", r.class, r.id, r.key, r.controller.name, r.body)
}

func (w *world) answered(r *request, detail string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[r.kind]++
	w.line("client: %s %s after %v %s", r.id, r.kind,
		r.answeredAt.Sub(r.writtenAt).Round(time.Millisecond), detail)
	if r.kind == "refused" && ordered(r.class) {
		for _, s := range w.runs[r.id] {
			w.brokeLocked("twice", "%s, a load, was refused though it ran at %s", r.id, s.engine)
		}
	}
	if limit := r.patience + 50*time.Millisecond; r.answeredAt.Sub(r.writtenAt) > limit {
		w.counts["late"]++
	}
}

func (w *world) reached(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.posts[id] > 0
}

// submitted checks a submission that has reached an engine whole.
func (w *world) submitted(e *engine, id string, head map[string]string, body string, firstByte time.Time) {
	told, gone := w.feed.toldAt(e.id)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.posts[id]++
	w.counts["submitted"]++
	now := time.Now()
	w.line("engine %s gets %s", e.id, id)
	r := w.requests[id]
	switch {
	case r == nil, head["x-class"] != r.class, body != r.body:
		w.brokeLocked("void", "engine %s got %s %q %q, which nobody sent so", e.id, id, head["x-class"], body)
		return
	case head["x-wait-ms"] == "":
		w.brokeLocked("void", "engine %s got %s without a wait", e.id, id)
	}
	if gone && firstByte.Sub(told) > w.grace+50*time.Millisecond {
		w.brokeLocked("drain", "engine %s got %s %v after it was told to go", e.id, id, firstByte.Sub(told))
	}
	if !r.answeredAt.IsZero() && r.kind != "cancelled" && firstByte.Sub(r.answeredAt) > 50*time.Millisecond {
		w.brokeLocked("lost", "%s reached engine %s %v after its final answer", id, e.id,
			firstByte.Sub(r.answeredAt))
	}
	if !ordered(r.class) {
		return
	}
	k := r.controller.name + "/" + r.key
	for _, earlier := range w.byKey[k][:r.order] {
		if earlier.life != r.life {
			continue
		}
		if open := earlier.answeredAt.IsZero() && earlier.kind == ""; open && len(w.runs[earlier.id]) == 0 &&
			!w.refusedSoon(earlier) {
			w.brokeLocked("order", "%s was sent to %s while %s, earlier of its key, is open", id, e.id, earlier.id)
		}
		for _, s := range w.runs[earlier.id] {
			if s.state == "gone" && firstByte.Sub(s.end) < 250*time.Millisecond && firstByte.After(s.end) {
				w.brokeLocked("rest", "%s was sent to %s %v after %s, earlier of its key, was cut off at %s", id, e.id,
					firstByte.Sub(s.end), earlier.id, s.engine)
			}
			if s.end.IsZero() || now.Sub(s.end) < -50*time.Millisecond {
				w.brokeLocked("order", "%s was sent to %s while %s, earlier of its key, runs at %s", id, e.id, earlier.id,
					s.engine)
			}
		}
	}
}

// refusedSoon reports whether the answer to a request comes within the time that the network may take: one
// of a key may be refused out of turn.
func (w *world) refusedSoon(r *request) bool {
	w.mu.Unlock()
	defer w.mu.Lock()
	select {
	case <-r.done:
		return true
	case <-time.After(50 * time.Millisecond):
		return false
	}
}

func (w *world) ranStart(e *engine, r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["runs"]++
	w.runs[r.id] = append(w.runs[r.id], &seenRun{engine: e.id, started: r.started})
	w.line("engine %s runs %s", e.id, r.id)
	q := w.requests[r.id]
	if len(w.runs[r.id]) > 1 && ordered(r.class) {
		w.brokeLocked("twice", "%s, mutating, runs for time %d, now at %s, before at %s", r.id,
			len(w.runs[r.id]), e.id, w.runs[r.id][0].engine)
	}
	if q != nil && ordered(q.class) && q.kind == "refused" {
		w.brokeLocked("twice", "%s, a load, was refused and runs at %s", r.id, e.id)
	}
}

func (w *world) ranEnd(e *engine, r *run, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.runs[r.id] {
		if s.engine == e.id && s.end.IsZero() {
			s.end, s.state = time.Now(), state
		}
	}
	w.line("engine %s: %s is %s", e.id, r.id, state)
}

// verdict prints what was seen and returns the exit status.
func (w *world) verdict() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := []string{}
	for n := range w.counts {
		names = append(names, n)
	}
	sort.Strings(names)
	parts := []string{}
	for _, n := range names {
		parts = append(parts, fmt.Sprintf("%s %d", n, w.counts[n]))
	}
	w.line("counts: %s", strings.Join(parts, ", "))
	fmt.Println(strings.Join(parts, ", "))
	status := 0
	for rule, n := range w.broken {
		fmt.Printf("rule %s broken %d times\n", rule, n)
		if !w.excluded[rule] {
			status = 1
		}
	}
	w.line("status %d", status)
	return status
}
