package controller

import (
	"bytes"
	"cmp"
	"fmt"
	"strconv"
	"time"
)

type sentQuery struct {
	id, group, key  string
	msg             int
	from            *fakeConnection
	deadline        time.Duration
	answer          string
	cancelled       bool
	runs            []*fakeRun
	finishedPayload string
	answerBytes     []byte
}

func (s *harness) checkAnswer(e *fakeConnection, p []byte) {
	if p[0] == 0x93 { // a notice, no answer
		return
	}
	if p[2] >= 0x80 {
		s.t.Fatalf("more messages than this test reads: %q", p)
	}
	for _, a := range s.queries {
		if a.from != e || a.msg != int(p[2]) {
			continue
		}
		if a.answer != "" || a.cancelled {
			s.t.Fatalf("rule 1: a second answer to %s, or one nobody waits for", a.id)
		}
		a.answerBytes = p
		switch {
		case p[3] == 0xc0:
			a.answer = "finished"
			if !bytes.Contains(p, []byte(a.finishedPayload)) || a.finishedPayload == "" {
				s.t.Fatalf("finished with what no engine made: %q, not %q", p, a.finishedPayload)
			}
		case bytes.Contains(p, []byte("Throttled")):
			a.answer = "deferred"
			for _, x := range a.runs {
				if a.group == "load" && !x.neverRan {
					s.t.Fatalf("rule 2: deferred, and may have run: %s", a.id)
				}
			}
		default:
			a.answer = "killed"
		}
	}
}

func (s *harness) connect() *fakeConnection {
	e := &fakeConnection{number: len(s.connections), link: &Connection{}, client: true, up: true}
	s.connections = append(s.connections, e)
	s.step(Event{Kind: ClientAccepted, Connection: e.link})
	return e
}

func (s *harness) receive(e *fakeConnection, p []byte) {
	for len(p) > 0 && !e.gone {
		n := copy(e.link.Received.Space(), p)
		p = p[n:]
		s.step(Event{Kind: BytesReceived, Connection: e.link, ByteCount: n})
	}
}

func fix(v string) []byte { return append([]byte{byte(0xa0 + len(v))}, v...) }

// sendQuery has a client send a query.
func (s *harness) sendQuery(e *fakeConnection, group, key string, patience time.Duration, tables int, more ...string) *sentQuery {
	e.messages++
	a := &sentQuery{id: fmt.Sprintf("%016x", len(s.queries)+1), group: group, key: key, msg: e.messages, from: e, deadline: s.now + patience}
	s.queries = append(s.queries, a)
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
	s.receive(e, append(append(p, 0xc4, byte(len(body))), body...))
	return a
}

func (s *harness) cancel(a *sentQuery) {
	if a.answer == "" && !a.cancelled && !a.from.gone {
		a.cancelled = true
		s.receive(a.from, append(append([]byte{0x93, 2}, fix("cancelRequest")...), 0x91, byte(a.msg)))
	}
}

func (s *harness) disconnect(e *fakeConnection) {
	for _, a := range s.queries {
		if a.from == e && a.answer == "" {
			a.cancelled = true
		}
	}
	s.closeConnection(e)
	s.flush()
}
