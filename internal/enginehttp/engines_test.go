package enginehttp

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/scheduler"
)

type recorder struct{ calls []string }

func (n *recorder) Running()                             { n.record("runs") }
func (n *recorder) Note(s scheduler.NoteKind, x float64) { n.record("note %d %g", s, x) }
func (n *recorder) Page(number, of int, rows []byte) {
	n.record("page %d of %d %q", number, of, rows)
}
func (n *recorder) Finished(w time.Duration, mb float64) { n.record("finished %v %g", w, mb) }
func (n *recorder) Ended(o scheduler.Outcome)            { n.record("ends %d", o) }
func (n *recorder) record(form string, a ...any)         { n.calls = append(n.calls, fmt.Sprintf(form, a...)) }

func handle(text string, page, step int) (string, bool, error) {
	n, keepAlive := &recorder{}, true
	var received []byte
	for i := 0; i < len(text); i += step {
		received = append(received, text[i:min(i+step, len(text))]...)
		for {
			consumed, stays, err := Read(received, 1<<20, func(status int, field func(string) string, body []byte) {
				if !IsQueryResponse(page, status, field, body) {
					n.record("unfit")
					return
				}
				HandleResponse(page, status, field, body, n)
			})
			if err != nil {
				return strings.Join(n.calls, ";"), false, err
			}
			if consumed == 0 {
				break
			}
			received, keepAlive = received[consumed:], keepAlive && stays
		}
	}
	return strings.Join(n.calls, ";"), keepAlive, nil
}

func TestHandlesResponses(t *testing.T) {
	answer := func(status int, fields, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d Some words\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
	}
	failed := fmt.Sprintf("ends %d", scheduler.Failed)
	rejected := fmt.Sprintf("ends %d", scheduler.Rejected)
	neverSent := fmt.Sprintf("ends %d", scheduler.NeverSent)
	for _, c := range []struct {
		page       int
		text, want string
	}{
		{0, answer(202, "", ""), "runs"},
		{0, answer(202, "X-Cache: advance\r\nReading: 0.25\r\n", ""), "runs;note 0 0.25"},
		{0, answer(202, "x-cache:disk\r\nREADING:  12\r\n", ""), "runs;note 1 12"},
		{0, answer(202, "X-Cache: stall\r\nReading: 1\r\n", ""), "runs;note 2 1"},
		{0, answer(202, "X-Cache: stall\r\nReading: 2\r\n", ""), "runs;note 3 2"},
		{0, answer(202, "X-Cache: new word\r\nReading: 2\r\n", ""), "runs"},
		{0, answer(200, "Chunks: 2\r\nElapsed-Work: 1500\r\nHigh-Water: 64\r\n", "a\tb\tc\n"), `finished 1.5s 64;page 0 of 2 "a\tb\tc\n"`},
		{0, answer(200, "Chunks: 1\r\n", ""), `finished 0s 0;page 0 of 1 ""`},
		{1, answer(200, "Chunk: 1\r\n", "a\tb\tc\n"), `page 1 of 1 "a\tb\tc\n"`},
		{1, answer(200, "Chunk: 2\r\n", "a\tb\tc\n"), "unfit"},
		{1, answer(200, "Chunk: 1\r\n", "a\tb\tc"), "unfit"},
		{1, answer(200, "Chunk: 1\r\n", "a\tb\n"), "unfit"},
		{1, answer(202, "", ""), "unfit"},
		{0, answer(200, "", "a\tb\tc\n"), "unfit"},
		{0, answer(200, "Chunks: 0\r\n", ""), "unfit"},
		{0, answer(200, "Chunks: 2\r\n", ""), "unfit"}, // each of several pages has rows
		{1, answer(200, "Chunk: 1\r\n", ""), "unfit"},
		{0, answer(503, "X-Not-Run: 1\r\n", ""), rejected},
		{0, answer(503, "", ""), failed},
		{0, answer(503, "X-Not-Run: 0\r\n", ""), failed},
		{0, answer(504, "X-Not-Run: 1\r\n", ""), neverSent},
		{0, answer(504, "", ""), failed},
		{0, answer(500, "X-Not-Run: 1\r\n", ""), failed},
		{0, answer(404, "", ""), "unfit"},
		{1, answer(204, "", ""), "unfit"},
		{0, answer(200, "Chunks: 48001\r\n", "a\tb\tc\n"), "unfit"},
		{1, answer(200, "Chunks: 1\r\n", "a\tb\tc\n"), "unfit"}, // page 0 repeated
		{0, answer(200, "Chunk: 1\r\n", "a\tb\tc\n"), "unfit"},
		{1, answer(500, "", ""), failed},
		{0, answer(202, "X-Cache: advance\r\nReading: NaN\r\n", ""), "runs"},
		{0, answer(200, "Chunks: 1\r\nElapsed-Work: Inf\r\nHigh-Water: -5\r\n", ""), `finished 0s 0;page 0 of 1 ""`},
		{0, "HTTP/1.1 100 Go on\r\n\r\n" + answer(202, "", ""), "runs"},
		{0, "HTTP/1.1 200 ok\r\nChunks: 1\r\nTransfer-Encoding: Chunked\r\n\r\n4;x=1\r\na\tb\t\r\n2\r\nc\n\r\n0\r\nLast: word\r\n\r\n",
			`finished 0s 0;page 0 of 1 "a\tb\tc\n"`},
		{0, "HTTP/1.1 202 ok\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "runs"},
		{0, "HTTP/1.1 204 No\r\n\r\n", "unfit"},
	} {
		for _, step := range []int{1, 7, len(c.text)} {
			if got, keepAlive, err := handle(c.text, c.page, step); err != nil || got != c.want || !keepAlive {
				t.Errorf("%q by %d: %v %v %s, not %s", c.text, step, err, keepAlive, got, c.want)
			}
		}
	}
	for _, fields := range []string{"Connection: close\r\n", "connection:Close\r\n"} {
		if _, keepAlive, _ := handle(answer(202, fields, ""), 0, 1000); keepAlive {
			t.Errorf("connection stays open after %q", fields)
		}
	}
	for _, text := range []string{"HTTP/2 200 ok\r\n\r\n", "HTTP/1.1 2x0 ok\r\n\r\n", "HTTP/1.1 200 ok\r\nno colon\r\n\r\n", "\r\n\r\n",
		"HTTP/1.1 200 ok\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 ok\r\nContent-Length: 99999999999\r\n\r\n",
		"HTTP/1.1 200 ok\r\n\r\nuntil the end",
		"HTTP/1.1 200 ok\r\nTransfer-Encoding: gzip\r\n\r\n", "HTTP/1.1 200 ok\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
		"HTTP/1.1 200 ok\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", "HTTP/1.1 200 ok\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "HTTP/1.1 099 ok\r\n\r\n", strings.Repeat("x", maxHeaderBytes+1)} {
		if _, _, err := handle(text, 0, len(text)); err == nil {
			t.Errorf("%q was accepted", text[:min(40, len(text))])
		}
	}
}

func TestAppendsRequests(t *testing.T) {
	for want, got := range map[string][]byte{
		"POST /o HTTP/1.1\r\nHost: h:1\r\nX-Req: id\r\nX-Class: report\r\nX-Wait-Ms: 1500\r\nPool-Mb: 64\r\nPool-Rank: 2\r\nContent-Length: 8\r\n\r\nSELECT 1": AppendSubmit(nil, "h:1", "id", "report", "", 1500*time.Millisecond, 64, 2, []byte("SELECT 1")),
		"POST /o HTTP/1.1\r\nHost: h:1\r\nX-Req: id\r\nX-Class: r\r\nX-Wait-Ms: 1\r\nContent-Length: 0\r\n\r\n":                                                AppendSubmit(nil, "h:1", "id", "r", "", 0, 0, -1, nil),
		"POST /o HTTP/1.1\r\nHost: h:1\r\nX-Req: id\r\nX-Class: r\r\nIdempotency-Key: a-1\r\nX-Wait-Ms: 1\r\nContent-Length: 0\r\n\r\n":                        AppendSubmit(nil, "h:1", "id", "r", "a-1", 0, 0, -1, nil),
		"GET /o/id/3 HTTP/1.1\r\nHost: h:1\r\n\r\n":                     AppendPoll(nil, "h:1", "id", 3),
		"PUT /o/id HTTP/1.1\r\nHost: h:1\r\nContent-Length: 1\r\n\r\n0": AppendSetPriority(nil, "h:1", "id", 0),
		"DELETE /o/id HTTP/1.1\r\nHost: h:1\r\n\r\n":                    AppendCancel(nil, "h:1", "id"),
		"GET /stats HTTP/1.1\r\nHost: h:1\r\n\r\n":                      AppendProbe(nil, "h:1", true),
		"GET /ping HTTP/1.1\r\nHost: h:1\r\n\r\n":                       AppendProbe(nil, "h:1", false),
	} {
		if string(got) != want {
			t.Errorf("%q, not %q", got, want)
		}
	}
	// A line break in an id must not start another header.
	got := string(AppendSubmit(nil, "h", "a\r\nPool-Rank: 3", "g", "", 0, 0, 1, nil))
	if strings.Count(got, "\r\nPool-Rank") != 1 {
		t.Errorf("%q", got)
	}
	load := ParseLoadReport(func(string) string { return "inflight:-3;util:NaN;outstanding:;utilization:Inf" })
	if len(load) != 0 {
		t.Error(load)
	}
	load = ParseLoadReport(func(string) string { return "inflight:7; util:0.61;new:1;bad" })
	if len(load) != 2 || load["held"] != 7 || load["cores"] != 0.61 {
		t.Error(load)
	}
}

func TestRefusesResponsesToOtherRequests(t *testing.T) {
	none := func(string) string { return "" }
	rows := func(name string) string { return map[string]string{"Chunks": "1"}[name] }
	if IsCommandResponse(200, rows, nil) || IsCommandResponse(202, none, nil) ||
		!IsCommandResponse(204, none, nil) || !IsCommandResponse(500, none, nil) {
		t.Error("a poll's response was accepted for a cancellation")
	}
	if IsProbeResponse(200, rows, nil) || IsProbeResponse(202, none, nil) || IsProbeResponse(204, none, nil) ||
		!IsProbeResponse(200, none, nil) || !IsProbeResponse(503, none, nil) {
		t.Error("a poll's response was accepted for a probe")
	}
}

// A chunked answer whose trailers, extensions or sizes never ended once filled a connection's buffer with
// 16 MB, and clients were cut off for it: it is invalid as soon as it brings more framing than allowed.
func TestEndlessChunkFramingIsInvalid(t *testing.T) {
	const head = "HTTP/1.1 200 ok\r\nChunks: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	trailer := "X-More: " + strings.Repeat("z", 1000) + "\r\n"
	for name, text := range map[string]string{
		"trailers":   head + "0\r\n" + strings.Repeat(trailer, 40),
		"trailer":    head + "0\r\nX-More: " + strings.Repeat("z", 40<<10),
		"extensions": head + strings.Repeat("1;"+strings.Repeat("x", 1000)+"\r\na\r\n", 40),
		"size":       head + strings.Repeat("0", 40<<10),
	} {
		for _, step := range []int{997, len(text)} {
			if _, _, err := handle(text, 0, step); err == nil {
				t.Errorf("%s without an end, by %d bytes: still waiting for more", name, step)
			}
		}
	}
	rows := strings.Repeat("a\tb\tc\n", 1000) // in the smallest chunks, with some trailers
	text := head
	for i := range len(rows) {
		text += "1\r\n" + rows[i:i+1] + "\r\n"
	}
	text += "0\r\n" + strings.Repeat(trailer, 10) + "\r\n"
	if got, keepAlive, err := handle(text, 0, len(text)); err != nil || !keepAlive ||
		got != fmt.Sprintf("finished 0s 0;page 0 of 1 %q", rows) {
		t.Errorf("a whole answer in small chunks: %v, %v, %.60s", err, keepAlive, got)
	}
}

func FuzzRead(f *testing.F) {
	f.Add("HTTP/1.1 200 ok\r\nChunks: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n", 0)
	f.Add("HTTP/1.1 202 ok\r\nX-Cache: advance\r\nReading: 1e9\r\nContent-Length: 0\r\n\r\n", 0)
	f.Add("HTTP/1.1 200 ok\r\nTransfer-Encoding: chunked\r\n\r\n4;x=1\r\na\tb\t\r\n2\r\nc\n\r\n0\r\nLast: word\r\n\r\n", 0)
	f.Add("HTTP/1.1 200 ok\r\nChunk: 1\r\nContent-Length: 3\r\n\r\na\tb", 1)
	f.Fuzz(func(t *testing.T, text string, page int) {
		a, _, err := handle(text, page, len(text)+1)
		b, _, err1 := handle(text, page, 1)
		if a != b || (err == nil) != (err1 == nil) {
			t.Fatalf("%s and %s, %v and %v", a, b, err, err1)
		}
	})
}
