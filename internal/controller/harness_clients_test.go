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
	messageID       int
	connection      *fakeConnection
	deadline        time.Duration
	answer          string
	cancelled       bool
	runs            []*fakeRun
	expectedPayload string
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
		if a.connection != e || a.messageID != int(p[2]) {
			continue
		}
		if a.answer != "" || a.cancelled {
			s.t.Fatalf("rule 1: a second answer to %s, or one nobody waits for", a.id)
		}
		a.answerBytes = p
		switch {
		case p[3] == 0xc0:
			a.answer = "finished"
			if !bytes.Contains(p, []byte(a.expectedPayload)) || a.expectedPayload == "" {
				s.t.Fatalf("finished with what no engine made: %q, not %q", p, a.expectedPayload)
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
	e := &fakeConnection{number: len(s.connections), connection: &Connection{}, isClient: true, established: true}
	s.connections = append(s.connections, e)
	s.step(Event{Kind: ClientAccepted, Connection: e.connection})
	return e
}

func (s *harness) receive(e *fakeConnection, p []byte) {
	for len(p) > 0 && !e.closed {
		n := copy(e.connection.Received.FreeSpace(), p)
		p = p[n:]
		s.step(Event{Kind: BytesReceived, Connection: e.connection, ByteCount: n})
	}
}

func fixstr(v string) []byte { return append([]byte{byte(0xa0 + len(v))}, v...) }

// sendQuery has a client send a query.
func (s *harness) sendQuery(e *fakeConnection, group, key string, patience time.Duration, tables int, more ...string) *sentQuery {
	e.messageCount++
	a := &sentQuery{id: fmt.Sprintf("%016x", len(s.queries)+1), group: group, key: key, messageID: e.messageCount, connection: e, deadline: s.now + patience}
	s.queries = append(s.queries, a)
	p := append([]byte{0x94, 0, byte(a.messageID)}, fixstr(group)...)
	fields := []string{"trace", a.id, "patience", strconv.Itoa(int(patience.Milliseconds()))}
	if key != "" {
		fields = append(fields, "entity", key)
	}
	fields = append(fields, more...)
	p = append(p, 0x92, 0x80|byte(len(fields)/2))
	for _, f := range fields {
		p = append(p, fixstr(f)...)
	}
	body := cmp.Or(s.statement, "SELECT * FROM sales_"+strconv.Itoa(tables)+".orders")
	s.receive(e, append(append(p, 0xc4, byte(len(body))), body...))
	return a
}

func (s *harness) cancel(a *sentQuery) {
	if a.answer == "" && !a.cancelled && !a.connection.closed {
		a.cancelled = true
		s.receive(a.connection, append(append([]byte{0x93, 2}, fixstr("cancelRequest")...), 0x91, byte(a.messageID)))
	}
}

func (s *harness) disconnect(e *fakeConnection) {
	for _, a := range s.queries {
		if a.connection == e && a.answer == "" {
			a.cancelled = true
		}
	}
	s.closeConnection(e)
	s.flush()
}
