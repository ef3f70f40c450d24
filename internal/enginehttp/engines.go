package enginehttp

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/settings"
)

// Submit writes the call that starts a statement; token "": none goes with it.
func AppendSubmit(dst []byte, host, id, group, token string, within time.Duration, grantMB, priority int, statement []byte) []byte {
	dst = start(dst, "POST", "/o", host)
	dst = put(dst, "X-Req", id)
	dst = put(dst, "X-Class", group)
	if token != "" {
		dst = put(dst, "Idempotency-Key", token)
	}
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

// Sendable reports whether a value can stand in a field as it is, without an end of the line or of itself in it.
func IsHeaderValue(value []byte) bool {
	for _, b := range value {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return len(value) <= 256
}

// Ask writes the call for a query's news, page 0, or a further page.
func AppendPoll(dst []byte, host, id string, page int) []byte {
	return finish(start(dst, "GET", "/o/"+id+"/"+strconv.Itoa(page), host), nil)
}

// Rank writes the call that changes a query's priority.
func AppendSetPriority(dst []byte, host, id string, priority int) []byte {
	return finish(start(dst, "PUT", "/o/"+id, host), strconv.AppendInt(nil, int64(priority), 10))
}

// GiveUp writes the call that ends a query.
func AppendCancel(dst []byte, host, id string) []byte {
	return finish(start(dst, "DELETE", "/o/"+id, host), nil)
}

// Probe writes a look at an engine, with its load where it tells that.
func AppendProbe(dst []byte, host string, load bool) []byte {
	path := "/ping"
	if load {
		path = "/stats"
	}
	return finish(start(dst, "GET", path, host), nil)
}

// Hearer is handed what an engine's answer says of a query.
type ResponseHandler interface {
	Running()
	Note(sign scheduler.NoteKind, x float64)
	Page(number, of int, rows []byte)
	// Finished comes with page 0: the work and memory that were needed.
	Finished(work time.Duration, memoryMB float64)
	Ended(outcome scheduler.Outcome)
}

// Fits reports whether the answer is one to the call for a page (0: the news, Submit's too).
// What does not fit is spoilt, or belongs to another call: it says nothing.
func IsQueryResponse(page, status int, field func(string) string, body []byte) bool {
	switch {
	case status == 202:
		return page == 0
	case status != 200:
		return status == 500 || status == 503 || status == 504
	}
	name := "Chunks"
	if page > 0 {
		name = "Chunk"
	}
	number, err := strconv.Atoi(field(name))
	return err == nil && wholeRows(body) && number <= resultMost &&
		(page == 0 && number >= 1 || page > 0 && number == page)
}

// FitsDone is the same for a change of priority and for giving up, FitsProbe for a probe.
func IsCommandResponse(status int, _ func(string) string, _ []byte) bool {
	return status != 200 && status != 202
}

func IsProbeResponse(status int, field func(string) string, _ []byte) bool {
	return (status == 200 || status == 503) && field("Chunks") == "" && field("Chunk") == ""
}

// resultMost bounds the pages of a result, each of which has a row at least.
const resultMost = 48_000

// figure reads a number that can be one: what is no number, or endless, would
// stay in every mean it got into.
func figure(text string) (float64, bool) {
	x, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(x >= 0 && x < 1e12) {
		return 0, false
	}
	return x, true
}

// Hear tells what an answer that fits means, to Submit or Ask for a page.
func HandleResponse(page int, status int, field func(string) string, body []byte, h ResponseHandler) {
	neverRan := field("X-Not-Run") == "1"
	switch {
	case status == 202:
		h.Running()
		x, is := figure(field("Reading"))
		if sign, ok := signs[field("X-Cache")]; ok && is {
			if sign == scheduler.WaitingForMemory && x == 2 {
				sign = scheduler.WaitingForLoad
			}
			h.Note(sign, x)
		}
	case status == 200:
		number := page
		if page == 0 {
			number, _ = strconv.Atoi(field("Chunks"))
			ms, _ := figure(field("Elapsed-Work"))
			mb, _ := figure(field("High-Water"))
			h.Finished(time.Duration(ms*float64(time.Millisecond)), mb)
		}
		h.Page(page, number, body)
	case status == 503 && neverRan:
		h.Ended(scheduler.Rejected)
	case status == 504 && neverRan:
		h.Ended(scheduler.NeverSent)
	default:
		h.Ended(scheduler.Failed)
	}
}

var signs = map[string]scheduler.NoteKind{
	"advance": scheduler.Progress, "disk": scheduler.Spilling, "stall": scheduler.WaitingForMemory,
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
func ParseLoadReport(field func(string) string) map[string]float64 {
	text := field("X-Load")
	if text == "" {
		return nil
	}
	report := map[string]float64{}
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		x, is := figure(value)
		if ours := settings.ReportField(strings.TrimSpace(name)); is && ours != "" {
			report[ours] = x
		}
	}
	return report
}
