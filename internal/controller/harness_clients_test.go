package controller

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"
	"strconv"
	"time"
)

// sentQuery is a query that a fake client has sent.
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

// checkAnswer checks a message from the controller to a client, and records answers to queries.
func (h *harness) checkAnswer(conn *fakeConnection, data []byte) {
	if data[0] == 0x93 { // a notification, not an answer
		return
	}
	if data[2] >= 0x80 {
		h.t.Fatalf("message id beyond the range that the harness parses: %q", data)
	}
	for _, query := range h.queries {
		if query.connection != conn || query.messageID != int(data[2]) {
			continue
		}
		if query.answer != "" || query.cancelled {
			h.t.Fatalf("rule 1: query %s answered twice, or answered after its cancellation", query.id)
		}
		query.answerBytes = data
		switch {
		case data[3] == 0xc0:
			query.answer = "finished"
			if !bytes.Contains(data, []byte(query.expectedPayload)) || query.expectedPayload == "" {
				h.t.Fatalf("result that no engine returned: %q, want %q", data, query.expectedPayload)
			}
		case bytes.Contains(data, []byte("Throttled")):
			query.answer = "deferred"
			for _, run := range query.runs {
				if query.group == "load" && !run.neverRan {
					h.t.Fatalf("rule 2: query %s deferred although it may have run", query.id)
				}
			}
		default:
			query.answer = "killed"
		}
	}
}

// connect opens a client connection.
func (h *harness) connect() *fakeConnection { return h.connectFrom(netip.Addr{}) }

// connectFrom opens a client connection from an address.
func (h *harness) connectFrom(address netip.Addr) *fakeConnection {
	conn := &fakeConnection{number: len(h.connections), connection: &Connection{RemoteAddress: address},
		isClient: true, established: true}
	h.connections = append(h.connections, conn)
	h.step(Event{Kind: ClientAccepted, Connection: conn.connection})
	return conn
}

// receive delivers bytes to the controller on a connection.
func (h *harness) receive(conn *fakeConnection, data []byte) {
	for len(data) > 0 && !conn.closed {
		n := copy(conn.connection.Received.FreeSpace(), data)
		data = data[n:]
		h.step(Event{Kind: BytesReceived, Connection: conn.connection, ByteCount: n})
	}
}

// fixstr encodes a short string in MessagePack.
func fixstr(v string) []byte { return append([]byte{byte(0xa0 + len(v))}, v...) }

// sendQuery sends a query on a client connection.
func (h *harness) sendQuery(conn *fakeConnection, group, key string, timeout time.Duration, tables int,
	more ...string) *sentQuery {
	query, message := h.newQuery(conn, group, key, timeout, tables, more...)
	h.receive(conn, message)
	return query
}

// newQuery returns a query and its message, of which nothing is sent yet.
func (h *harness) newQuery(conn *fakeConnection, group, key string, timeout time.Duration, tables int,
	more ...string) (*sentQuery, []byte) {
	conn.messageCount++
	query := &sentQuery{id: fmt.Sprintf("%016x", len(h.queries)+1), group: group, key: key,
		messageID: conn.messageCount, connection: conn, deadline: h.now + timeout}
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
	data = binary.BigEndian.AppendUint16(append(data, 0xc5), uint16(len(body)))
	return query, append(data, body...)
}

// cancel cancels an open query.
func (h *harness) cancel(query *sentQuery) {
	if query.answer == "" && !query.cancelled && !query.connection.closed {
		query.cancelled = true
		h.receive(query.connection, append(append([]byte{0x93, 2}, fixstr("cancelRequest")...), 0x91,
			byte(query.messageID)))
	}
}

// disconnect closes a client connection from the client's side.
func (h *harness) disconnect(conn *fakeConnection) {
	for _, query := range h.queries {
		if query.connection == conn && query.answer == "" {
			query.cancelled = true
		}
	}
	h.closeConnection(conn)
	h.flush()
}
