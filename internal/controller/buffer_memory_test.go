package controller

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"
)

// longLoad returns a load with a statement of the given size, and its message, of which nothing is sent yet.
func (h *harness) longLoad(conn *fakeConnection, statementBytes int) (*sentQuery, []byte) {
	conn.messageCount++
	id := fmt.Sprintf("%016x", len(h.queries)+1)
	load := &sentQuery{id: id, group: "load", key: "long" + id, messageID: conn.messageCount, connection: conn,
		deadline: h.now + 20*time.Second}
	h.queries = append(h.queries, load)
	message := append([]byte{0x94, 0, byte(load.messageID)}, fixstr("load")...)
	message = append(message, 0x92, 0x83)
	for _, field := range []string{"trace", id, "patience", "20000", "entity", load.key} {
		message = append(message, fixstr(field)...)
	}
	message = binary.BigEndian.AppendUint16(append(message, 0xc5), uint16(statementBytes))
	return load, append(message, strings.Repeat("x", statementBytes)...)
}

// clientsWithOpenLoads connects clients that each have a load running at an engine.
func clientsWithOpenLoads(h *harness, count int) (clients []*fakeConnection, loads []*sentQuery) {
	for i := range count {
		conn := h.connect()
		load := h.sendQuery(conn, "load", fmt.Sprintf("open%d", i), 20*time.Second, i)
		h.respond(h.waitForCall("POST", load.id), "runs")
		clients = append(clients, conn)
		loads = append(loads, load)
	}
	return clients, loads
}

// finish has an engine end a query, whose call is pending, with a result, and delivers all of its pages.
func (h *harness) finish(method string, query *sentQuery) {
	h.respond(h.waitForCall(method, query.id), "ok")
	h.runUntil(h.now + 10*time.Millisecond)
	if query.answer != "finished" {
		h.t.Fatalf("query %s: answer %q", query.id, query.answer)
	}
}

// Clients that were sending a message lost their open loads when an engine's answer without an end had filled
// the buffers: four of them were closed before the engine's connection was.
func TestEndlessAnswerOfEngineDisconnectsNoClient(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	h.controller.maxBufferedBytes = minBufferedBytes
	clients, loads := clientsWithOpenLoads(h, 4)
	var messages [][]byte
	for _, conn := range clients {
		_, message := h.longLoad(conn, 40000)
		messages = append(messages, message)
		h.receive(conn, message[:30000])
	}
	lookup := h.sendQuery(h.connect(), "lookup", "", 5*time.Second, 1)
	call := h.waitForCall("POST", lookup.id)
	h.receive(call.connection, []byte("HTTP/1.1 200 x\r\nChunks: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"))
	trailers := bytes.Repeat([]byte("X-More: "+strings.Repeat("z", 1000)+"\r\n"), 16)
	for sent := 0; sent < 4<<20 && !call.connection.closed; sent += len(trailers) {
		h.receive(call.connection, trailers)
	}
	if !call.connection.closed {
		t.Fatal("the answer without an end is still being read")
	}
	for i, conn := range clients {
		if conn.closed {
			t.Fatalf("client %d lost its open load", i)
		}
		h.receive(conn, messages[i][30000:])
		h.finish("GET", loads[i])
	}
}

// While the buffers are full, a query is deferred in place of closing a connection with open calls, and
// neither an engine's connection that is being closed nor its memory costs another one its connection.
func TestFullBuffersDeferQueriesOfClientsWithOpenCalls(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	h.controller.maxBufferedBytes = 200 << 10
	clients, loads := clientsWithOpenLoads(h, 6)
	var longLoads []*sentQuery
	var messages [][]byte
	for _, conn := range clients {
		load, message := h.longLoad(conn, 60000)
		longLoads = append(longLoads, load)
		messages = append(messages, message)
		h.receive(conn, message[:50000])
		if h.controller.bufferedBytes > h.controller.maxBufferedBytes+64<<10 {
			t.Fatal("buffered bytes above their limit: ", h.controller.bufferedBytes)
		}
	}
	deferred := 0
	for i, conn := range clients {
		h.receive(conn, messages[i][50000:])
		if conn.closed || longLoads[i].answer != "" && longLoads[i].answer != "deferred" {
			t.Fatalf("client %d: closed %v, its query's answer %q", i, conn.closed, longLoads[i].answer)
		}
		if longLoads[i].answer == "deferred" {
			deferred++
		} else {
			h.finish("POST", longLoads[i])
		}
		h.finish("GET", loads[i])
		later := h.sendQuery(conn, "lookup", "", 5*time.Second, 1) // the skipped message ended where it should
		h.finish("POST", later)
	}
	if deferred == 0 {
		t.Fatal("the buffers never exceeded their limit, so the test proves nothing")
	}
}
