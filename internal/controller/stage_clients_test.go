package controller

import (
	"bytes"
	"cmp"
	"fmt"
	"strconv"
	"time"
)

type asked struct {
	id, group, key  string
	msg             int
	from            *end
	deadline        time.Duration
	answer          string
	left            bool
	subs            []*sub
	finishedPayload string
	said            []byte
}

func (s *stage) answered(e *end, p []byte) {
	if p[0] == 0x93 { // a notice, no answer
		return
	}
	if p[2] >= 0x80 {
		s.t.Fatalf("more messages than this test reads: %q", p)
	}
	for _, a := range s.asked {
		if a.from != e || a.msg != int(p[2]) {
			continue
		}
		if a.answer != "" || a.left {
			s.t.Fatalf("rule 1: a second answer to %s, or one nobody waits for", a.id)
		}
		a.said = p
		switch {
		case p[3] == 0xc0:
			a.answer = "finished"
			if !bytes.Contains(p, []byte(a.finishedPayload)) || a.finishedPayload == "" {
				s.t.Fatalf("finished with what no engine made: %q, not %q", p, a.finishedPayload)
			}
		case bytes.Contains(p, []byte("Throttled")):
			a.answer = "deferred"
			for _, x := range a.subs {
				if a.group == "load" && !x.neverRan {
					s.t.Fatalf("rule 2: deferred, and may have run: %s", a.id)
				}
			}
		default:
			a.answer = "killed"
		}
	}
}

func (s *stage) connect() *end {
	e := &end{n: len(s.ends), link: &Connection{}, client: true, up: true}
	s.ends = append(s.ends, e)
	s.step(Event{Kind: ClientAccepted, Connection: e.link})
	return e
}

func (s *stage) read(e *end, p []byte) {
	for len(p) > 0 && !e.gone {
		n := copy(e.link.Received.Space(), p)
		p = p[n:]
		s.step(Event{Kind: BytesReceived, Connection: e.link, ByteCount: n})
	}
}

func fix(v string) []byte { return append([]byte{byte(0xa0 + len(v))}, v...) }

// query has a client ask for something.
func (s *stage) query(e *end, group, key string, patience time.Duration, tables int, more ...string) *asked {
	e.msgs++
	a := &asked{id: fmt.Sprintf("%016x", len(s.asked)+1), group: group, key: key, msg: e.msgs, from: e, deadline: s.now + patience}
	s.asked = append(s.asked, a)
	p := append([]byte{0x94, 0, byte(a.msg)}, fix(group)...)
	fields := []string{"trace", a.id, "patience", strconv.Itoa(int(patience.Milliseconds()))}
	if key != "" {
		fields = append(fields, "entity", key)
	}
	fields = append(fields, more...)
	p = append(p, 0x92, 0x80|byte(len(fields)/2))
	for _, f := range fields {
		p = append(p, fix(f)...)
	}
	body := cmp.Or(s.body, "SELECT * FROM sales_"+strconv.Itoa(tables)+".orders")
	s.read(e, append(append(p, 0xc4, byte(len(body))), body...))
	return a
}

func (s *stage) leave(a *asked) {
	if a.answer == "" && !a.left && !a.from.gone {
		a.left = true
		s.read(a.from, append(append([]byte{0x93, 2}, fix("cancelRequest")...), 0x91, byte(a.msg)))
	}
}

func (s *stage) drop(e *end) {
	for _, a := range s.asked {
		if a.from == e && a.answer == "" {
			a.left = true
		}
	}
	s.lose(e)
	s.flush()
}
