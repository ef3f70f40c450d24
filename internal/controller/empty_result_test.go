package controller

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// A page whose length was given as 0, with its rows behind it, was once taken for a page without rows, and
// results were served with whole pages missing.
func TestRowsBehindEmptyBodyAreNotLost(t *testing.T) {
	const plain, chunked = "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	for _, spoilt := range []struct {
		pages, page int
		framing     string
		delay       time.Duration // of the rows behind the empty body
	}{
		{1, 0, plain, 0}, {1, 0, chunked, 0},
		{3, 0, plain, 0}, {3, 1, plain, 0}, {3, 2, plain, 0}, {3, 2, chunked, 0},
		{1, 0, plain, 5 * time.Millisecond}, {3, 0, plain, 5 * time.Millisecond},
		{3, 1, plain, 5 * time.Millisecond}, {3, 2, plain, 5 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(spoilt), func(t *testing.T) {
			h := newHarness(t, 1, 256, nil)
			query := h.sendQuery(h.connect(), "load", "k", 20*time.Second, 1)
			call := h.waitForCall("POST", query.id)
			h.finishRun(call.run)
			call.run.pages = spoilt.pages
			if spoilt.page > 0 {
				h.respond(call, "ok")
				call = h.waitForPage(query, spoilt.page)
			}
			h.respondWithLengthZero(call, spoilt.framing, spoilt.delay)
			h.runUntil(h.now + 2*responseTimeout)
			if query.answer != "finished" || len(query.runs) != 1 {
				t.Fatalf("answer %q after %d runs", query.answer, len(query.runs))
			}
		})
	}
}

// waitForPage answers calls until the given page of a query's result is requested, and returns that request.
func (h *harness) waitForPage(query *sentQuery, page int) *pendingCall {
	for {
		call := h.waitForCall("GET", query.id)
		if call.page == page {
			return call
		}
		h.respond(call, "ok")
	}
}

// respondWithLengthZero answers a call with a page whose length is given as 0. Its rows follow after a delay.
func (h *harness) respondWithLengthZero(call *pendingCall, framing string, delay time.Duration) {
	header := "Chunks: " + strconv.Itoa(call.run.pages)
	if call.page > 0 {
		header = "Chunk: " + strconv.Itoa(call.page)
	}
	head := "HTTP/1.1 200 x\r\n" + header + "\r\n" + framing
	rows := call.id + "\tof page\t" + strconv.Itoa(call.page) + "\n"
	query := call.run.query
	query.expectedPayload = ""
	for page := range call.run.pages {
		query.expectedPayload += call.id + "\tof page\t" + strconv.Itoa(page) + "\n"
	}
	h.dropCall(call)
	if delay == 0 {
		h.receive(call.connection, []byte(head+rows))
		return
	}
	h.receive(call.connection, []byte(head))
	h.runUntil(h.now + delay)
	h.receive(call.connection, []byte(rows))
}

// A result without rows is asked for a second time and then served.
func TestEmptyResultIsServedOnceConfirmed(t *testing.T) {
	const empty = "HTTP/1.1 200 x\r\nChunks: 1\r\nContent-Length: 0\r\n\r\n"
	h := newHarness(t, 1, 256, nil)
	query := h.sendQuery(h.connect(), "load", "k", 20*time.Second, 1)
	query.expectedPayload = "\x92\xc4\x00\x80" // no bytes and no fields
	call := h.waitForCall("POST", query.id)
	h.endRun(call.run, false)
	h.dropCall(call)
	h.receive(call.connection, []byte(empty))
	if query.answer != "" {
		t.Fatalf("answer %q before the empty result was confirmed", query.answer)
	}
	poll := h.waitForCall("GET", query.id)
	h.dropCall(poll)
	h.receive(poll.connection, []byte(empty))
	if query.answer != "finished" || len(query.runs) != 1 {
		t.Fatalf("answer %q after %d runs", query.answer, len(query.runs))
	}
}
