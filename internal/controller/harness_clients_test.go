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

func (h *harness) checkAnswer(conn *fakeConnection, data []byte) {
	if data[0] == 0x93 { // a notice, no answer
		return
	}
	if data[2] >= 0x80 {
		h.t.Fatalf("more messages than this test reads: %q", data)
	}
	for _, query := range h.queries {
		if query.connection != conn || query.messageID != int(data[2]) {
			continue
		}
		if query.answer != "" || query.cancelled {
			h.t.Fatalf("rule 1: a second answer to %s, or one nobody waits for", query.id)
		}
		query.answerBytes = data
		switch {
		case data[3] == 0xc0:
			query.answer = "finished"
			if !bytes.Contains(data, []byte(query.expectedPayload)) || query.expectedPayload == "" {
				h.t.Fatalf("finished with what no engine made: %q, not %q", data, query.expectedPayload)
			}
		case bytes.Contains(data, []byte("Throttled")):
			query.answer = "deferred"
			for _, run := range query.runs {
				if query.group == "load" && !run.neverRan {
					h.t.Fatalf("rule 2: deferred, and may have run: %s", query.id)
				}
			}
		default:
			query.answer = "killed"
		}
	}
}

func (h *harness) connect() *fakeConnection {
	conn := &fakeConnection{number: len(h.connections), connection: &Connection{}, isClient: true, established: true}
	h.connections = append(h.connections, conn)
	h.step(Event{Kind: ClientAccepted, Connection: conn.connection})
	return conn
}

func (h *harness) receive(conn *fakeConnection, data []byte) {
	for len(data) > 0 && !conn.closed {
		n := copy(conn.connection.Received.Space(), data)
		data = data[n:]
		h.step(Event{Kind: BytesReceived, Connection: conn.connection, ByteCount: n})
	}
}

func fixstr(v string) []byte { return append([]byte{byte(0xa0 + len(v))}, v...) }

// sendQuery has a client send a query.
func (h *harness) sendQuery(conn *fakeConnection, group, key string, timeout time.Duration, tables int, more ...string) *sentQuery {
	conn.messageCount++
	query := &sentQuery{id: fmt.Sprintf("%016x", len(h.queries)+1), group: group, key: key, messageID: conn.messageCount, connection: conn, deadline: h.now + timeout}
	h.queries = append(h.queries, query)
	data := append([]byte{0x94, 0, byte(query.messageID)}, fixstr(group)...)
	fields := []string{"trace", query.id, "patience", strconv.Itoa(int(timeout.Milliseconds()))}
	if key != "" {
		fields = append(fields, "entity", key)
	}
	fields = append(fields, more...)
	data = append(data, 0x92, 0x80|byte(len(fields)/2))
	for _, field := range fields {
		data = append(data, fixstr(field)...)
	}
	body := cmp.Or(h.statement, "SELECT * FROM sales_"+strconv.Itoa(tables)+".orders")
	h.receive(conn, append(append(data, 0xc4, byte(len(body))), body...))
	return query
}

func (h *harness) cancel(query *sentQuery) {
	if query.answer == "" && !query.cancelled && !query.connection.closed {
		query.cancelled = true
		h.receive(query.connection, append(append([]byte{0x93, 2}, fixstr("cancelRequest")...), 0x91, byte(query.messageID)))
	}
}

func (h *harness) disconnect(conn *fakeConnection) {
	for _, query := range h.queries {
		if query.connection == conn && query.answer == "" {
			query.cancelled = true
		}
	}
	h.closeConnection(conn)
	h.flush()
}
