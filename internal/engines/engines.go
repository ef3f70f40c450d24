package engines

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/decide"
	"railrelay.dev/railrelay/internal/terms"
)

// Submit writes the call that starts a statement.
func Submit(dst []byte, host, id, group string, within time.Duration, grantMB, priority int, statement []byte) []byte {
	dst = start(dst, "POST", "/o", host)
	dst = put(dst, "X-Req", id)
	dst = put(dst, "X-Class", group)
	dst = put(dst, "X-Wait-Ms", strconv.FormatInt(max(1, within.Milliseconds()), 10))
	if grantMB > 0 {
		dst = put(dst, "Pool-Mb", strconv.Itoa(grantMB))
	}
	if priority >= 0 {
		dst = put(dst, "Pool-Rank", strconv.Itoa(priority))
	}
	if statement == nil {
		statement = []byte{}
	}
	return finish(dst, statement)
}

// Ask writes the call for a query's news, page 0, or a further page.
func Ask(dst []byte, host, id string, page int) []byte {
	return finish(start(dst, "GET", "/o/"+id+"/"+strconv.Itoa(page), host), nil)
}

// Rank writes the call that changes a query's priority.
func Rank(dst []byte, host, id string, priority int) []byte {
	return finish(start(dst, "PUT", "/o/"+id, host), strconv.AppendInt(nil, int64(priority), 10))
}

// GiveUp writes the call that ends a query.
func GiveUp(dst []byte, host, id string) []byte {
	return finish(start(dst, "DELETE", "/o/"+id, host), nil)
}

// Probe writes a look at an engine, with its load where it tells that.
func Probe(dst []byte, host string, load bool) []byte {
	path := "/ping"
	if load {
		path = "/stats"
	}
	return finish(start(dst, "GET", path, host), nil)
}

// Hearer is handed what an engine's answer says of a query.
type Hearer interface {
	Runs()
	Note(sign decide.Sign, x float64)
	Page(number, of int, rows []byte)
	// Finished comes with page 0: the work and memory that were needed.
	Finished(work time.Duration, memoryMB float64)
	Ends(outcome decide.Outcome)
	// Unclear is an answer that says neither that it runs nor that it is over.
	Unclear()
}

// Hear tells what the answer to Submit or Ask for a page means.
func Hear(page int, status int, field func(string) string, body []byte, h Hearer) {
	neverRan := field("X-Not-Run") == "1"
	switch {
	case status == 202 && page == 0:
		h.Runs()
		x, err := strconv.ParseFloat(field("Reading"), 64)
		if sign, ok := signs[field("X-Cache")]; ok && err == nil {
			if sign == decide.WaitsForMemory && x == 2 {
				sign = decide.WaitsForLoad
			}
			h.Note(sign, x)
		}
	case status == 200:
		number, name := 0, "Chunks"
		if page > 0 {
			name = "Chunk"
		}
		number, err := strconv.Atoi(field(name))
		if err != nil || page == 0 && number < 1 || page > 0 && number != page || !wholeRows(body) {
			h.Ends(decide.Errored)
			return
		}
		if page == 0 {
			ms, _ := strconv.ParseFloat(field("Elapsed-Work"), 64)
			mb, _ := strconv.ParseFloat(field("High-Water"), 64)
			h.Finished(time.Duration(ms*float64(time.Millisecond)), mb)
		}
		h.Page(page, number, body)
	case status == 503 && neverRan:
		h.Ends(decide.Full)
	case status == 504 && neverRan:
		h.Ends(decide.NeverSent)
	case status >= 500 || page > 0:
		h.Ends(decide.Errored)
	default:
		h.Unclear()
	}
}

var signs = map[string]decide.Sign{
	"advance": decide.Progress, "disk": decide.Spilling, "stall": decide.WaitsForMemory,
}

// wholeRows: every row ends, and has its three columns.
func wholeRows(page []byte) bool {
	for len(page) > 0 {
		end := bytes.IndexByte(page, '\n')
		if end < 0 || bytes.Count(page[:end], []byte("\t")) != 2 {
			return false
		}
		page = page[end+1:]
	}
	return true
}

// Load is the report that an answer carries, nil if none.
func Load(field func(string) string) map[string]float64 {
	text := field("X-Load")
	if text == "" {
		return nil
	}
	report := map[string]float64{}
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if ours := terms.Figure(strings.TrimSpace(name)); err == nil && ours != "" {
			report[ours] = x
		}
	}
	return report
}
