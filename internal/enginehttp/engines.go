package enginehttp

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/settings"
)

// AppendSubmit appends the request that submits a statement. It sends no idempotency key if the key is empty,
// no memory grant if grantMB is 0, and no priority if priority is negative.
func AppendSubmit(dst []byte, host, id, group, idempotencyKey string,
	timeout time.Duration, grantMB, priority int, statement []byte) []byte {
	dst = appendRequestLine(dst, "POST", "/o", host)
	dst = appendHeader(dst, "X-Req", id)
	dst = appendHeader(dst, "X-Class", group)
	if idempotencyKey != "" {
		dst = appendHeader(dst, "Idempotency-Key", idempotencyKey)
	}
	dst = appendHeader(dst, "X-Wait-Ms", strconv.FormatInt(max(1, timeout.Milliseconds()), 10))
	if grantMB > 0 {
		dst = appendHeader(dst, "Pool-Mb", strconv.Itoa(grantMB))
	}
	if priority >= 0 {
		dst = appendHeader(dst, "Pool-Rank", strconv.Itoa(priority))
	}
	if statement == nil {
		statement = []byte{}
	}
	return appendBody(dst, statement)
}

// IsHeaderValue reports whether a value can be sent in a header unchanged: at most 256 printable ASCII
// characters without spaces.
func IsHeaderValue(value []byte) bool {
	for _, b := range value {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return len(value) <= 256
}

// AppendPoll appends the request for the state of a query, page 0, or for a further page of its result.
func AppendPoll(dst []byte, host, id string, page int) []byte {
	return appendBody(appendRequestLine(dst, "GET", "/o/"+id+"/"+strconv.Itoa(page), host), nil)
}

// AppendSetPriority appends the request that changes the priority of a query.
func AppendSetPriority(dst []byte, host, id string, priority int) []byte {
	return appendBody(appendRequestLine(dst, "PUT", "/o/"+id, host), strconv.AppendInt(nil, int64(priority), 10))
}

// AppendCancel appends the request that cancels a query.
func AppendCancel(dst []byte, host, id string) []byte {
	return appendBody(appendRequestLine(dst, "DELETE", "/o/"+id, host), nil)
}

// AppendProbe appends a health check request. If load is set, it also requests a load report.
func AppendProbe(dst []byte, host string, load bool) []byte {
	path := "/ping"
	if load {
		path = "/stats"
	}
	return appendBody(appendRequestLine(dst, "GET", path, host), nil)
}

// ResponseHandler receives the content of an engine's response for a query.
type ResponseHandler interface {
	// Running reports that the query is still running.
	Running()
	// Note reports the progress of a running query or the reason why it waits.
	Note(kind scheduler.NoteKind, value float64)
	// Page delivers a page of the result, which has `of` pages if number is 0.
	Page(number, of int, rows []byte)
	// Finished reports the work and the memory that the query needed. It precedes page 0.
	Finished(work time.Duration, memoryMB float64)
	// Ended reports that the query ended without a result.
	Ended(outcome scheduler.Outcome)
}

// IsQueryResponse reports whether a response answers the request for a page, or for page 0 also a
// submission. Any other response is corrupt or belongs to another request, and says nothing about the
// query.
func IsQueryResponse(page, status int, field func(string) string, body []byte) bool {
	switch {
	case status == 202:
		return page == 0
	case status != 200:
		return status == 500 || status == 503 || status == 504
	}
	if !areCompleteRows(body) {
		return false
	}
	hasRows := len(body) > 0
	if page > 0 {
		number, err := strconv.Atoi(field("Chunk"))
		return err == nil && number == page && number <= maxPages && hasRows
	}
	count, err := strconv.Atoi(field("Chunks"))
	return err == nil && count >= 1 && count <= maxPages && (hasRows || count == 1)
}

// IsCommandResponse reports whether a response answers a change of priority or a cancellation. Engines never
// answer these with the status 200 or 202.
func IsCommandResponse(status int, _ func(string) string, _ []byte) bool {
	return status != 200 && status != 202
}

// IsProbeResponse reports whether a response answers a health check.
func IsProbeResponse(status int, field func(string) string, _ []byte) bool {
	return (status == 200 || status == 503) && field("Chunks") == "" && field("Chunk") == ""
}

// maxPages limits the pages of a result. Each of several pages has at least one row.
const maxPages = 48_000

// parseFigure parses a non-negative number. It rejects NaN and infinity, which would corrupt every mean
// that includes them.
func parseFigure(text string) (float64, bool) {
	x, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(x >= 0 && x < 1e12) {
		return 0, false
	}
	return x, true
}

// HandleResponse passes the content of a response to h. The response answers a submission or a poll for the
// page and has passed IsQueryResponse.
func HandleResponse(page int, status int, field func(string) string, body []byte, h ResponseHandler) {
	notRun := field("X-Not-Run") == "1"
	switch {
	case status == 202:
		h.Running()
		value, valid := parseFigure(field("Reading"))
		if kind, ok := noteKinds[field("X-Cache")]; ok && valid {
			if kind == scheduler.WaitingForMemory && value == 2 {
				kind = scheduler.WaitingForLoad
			}
			h.Note(kind, value)
		}
	case status == 200:
		pages := page
		if page == 0 {
			pages, _ = strconv.Atoi(field("Chunks"))
			workMillis, _ := parseFigure(field("Elapsed-Work"))
			memoryMB, _ := parseFigure(field("High-Water"))
			h.Finished(time.Duration(workMillis*float64(time.Millisecond)), memoryMB)
		}
		h.Page(page, pages, body)
	case status == 503 && notRun:
		h.Ended(scheduler.Rejected)
	case status == 504 && notRun:
		h.Ended(scheduler.NeverSent)
	default:
		h.Ended(scheduler.Failed)
	}
}

// noteKinds maps the values of the X-Cache header. A stall is a wait for a load if the Reading header is 2.
var noteKinds = map[string]scheduler.NoteKind{
	"advance": scheduler.Progress, "disk": scheduler.Spilling, "stall": scheduler.WaitingForMemory,
}

// areCompleteRows reports whether every row ends with a newline and has three columns.
func areCompleteRows(page []byte) bool {
	for len(page) > 0 {
		end := bytes.IndexByte(page, '\n')
		if end < 0 || bytes.Count(page[:end], []byte("\t")) != 2 {
			return false
		}
		page = page[end+1:]
	}
	return true
}

// ParseLoadReport returns the load report of a response by field name, nil if there is none.
func ParseLoadReport(field func(string) string) map[string]float64 {
	text := field("X-Load")
	if text == "" {
		return nil
	}
	report := map[string]float64{}
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		x, valid := parseFigure(value)
		if fieldName := settings.ReportField(strings.TrimSpace(name)); valid && fieldName != "" {
			report[fieldName] = x
		}
	}
	return report
}
