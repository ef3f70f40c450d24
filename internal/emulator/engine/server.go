package engine

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Server implements the engines' HTTP protocol for any number of connections in virtual time. It
// sends responses by the connection's Write.
type Server struct {
	*Model
	// ParseWork returns the resources that a statement needs; NewServer sets it to ParseStatement.
	ParseWork func(group string, statement []byte) Work
	// OnSubmit, if set, is called for each query that the engine accepts.
	OnSubmit func(id, group string, priority int, at time.Duration)
	// OnRelease, if set, is called for each DELETE request. A DELETE cancels a running query. For a
	// finished one it means that the result is no longer needed; the emulation ignores that.
	OnRelease func(id string, at time.Duration)
	// ExternalLoad, if set, returns the queries and the fraction of cores that controllers outside
	// the emulation use. Load reports include them.
	ExternalLoad func() (held int, cores float64)
	// TruncatedPages is the number of further pages to truncate, to emulate corruption.
	TruncatedPages int
	connections    []*Conn
	waiting        []*Conn // connections with an open poll, in order
	unreachable    bool
	// RequestCounts counts requests by HTTP method.
	RequestCounts map[string]int
	traffic       Traffic
}

// Conn is one connection. Write is called with complete responses, Close when the engine closes
// the connection.
type Conn struct {
	Write        func(p []byte)
	Close        func()
	input        []byte
	waitingID    string        // query of the open poll
	waitingSince time.Duration // start of the open poll
	waiting      bool
	closed       bool
	requestKind  TrafficKind // kind of the request in progress
	traffic      *Traffic    // of the connection's engine
}

// NewServer creates a server for a model.
func NewServer(m *Model) *Server {
	return &Server{Model: m, ParseWork: ParseStatement, RequestCounts: map[string]int{}}
}

// Accept adds a connection.
func (s *Server) Accept(c *Conn) {
	c.traffic = &s.traffic
	s.traffic.Opened++
	s.connections = append(s.connections, c)
}

// Disconnected removes a closed connection.
func (s *Server) Disconnected(c *Conn) {
	c.closed = true
	is := func(x *Conn) bool { return x == c }
	s.connections, s.waiting = slices.DeleteFunc(s.connections, is), slices.DeleteFunc(s.waiting, is)
}

// Receive processes bytes received on a connection.
func (s *Server) Receive(now time.Duration, c *Conn, p []byte) {
	if s.unreachable || c.closed {
		return // an unreachable engine never handles them
	}
	c.input = append(c.input, p...)
	for !c.closed && !c.waiting {
		head, rest, ok := bytes.Cut(c.input, []byte("\r\n\r\n"))
		if !ok {
			return
		}
		field := func(name string) string { return headerValue(head, name) }
		length, _ := strconv.Atoi(field("Content-Length"))
		if len(rest) < length {
			return
		}
		line, _, _ := bytes.Cut(head, []byte("\r\n"))
		words := strings.Fields(string(line))
		if len(words) < 2 || length < 0 {
			s.closeConnection(c)
			return
		}
		body := bytes.Clone(rest[:length])
		c.requestKind = requestKind(words[0], words[1])
		s.traffic.Requests[c.requestKind]++
		s.traffic.BytesIn[c.requestKind] += len(c.input) - len(rest) + length
		c.input = append([]byte{}, rest[length:]...)
		s.handle(now, c, words[0], words[1], field, body)
	}
	s.ProcessDue(now)
}

func headerValue(head []byte, name string) string {
	for l := range bytes.SplitSeq(head, []byte("\r\n")) {
		if n, v, ok := bytes.Cut(l, []byte(":")); ok && strings.EqualFold(string(n), name) {
			return strings.TrimSpace(string(v))
		}
	}
	return ""
}

func (s *Server) closeConnection(c *Conn) {
	s.Disconnected(c)
	if c.Close != nil {
		c.Close()
	}
}

// handle handles one complete request.
func (s *Server) handle(
	now time.Duration, c *Conn, method, path string, field func(string) string, body []byte,
) {
	s.RequestCounts[method]++
	parts := strings.Split(strings.Trim(path, "/"), "/")
	switch {
	case path == "/ping":
		c.respond(200, "", nil)
	case path == "/stats":
		held, cores, memory, disks := s.LoadReport(now)
		if s.ExternalLoad != nil {
			others, busy := s.ExternalLoad()
			held, cores = held+others, min(1, cores+busy)
		}
		c.respond(200, fmt.Sprintf("X-Load: outstanding:%d;utilization:%.4f;x0:%.4f;x1:%.4f\r\n",
			held, cores, memory, disks), nil)
	case method == "POST" && path == "/o":
		id, group := field("X-Req"), field("X-Class")
		wait, _ := strconv.Atoi(field("X-Wait-Ms"))
		grant, _ := strconv.ParseFloat(field("Pool-Mb"), 64)
		priority, err := strconv.Atoi(field("Pool-Rank"))
		if err != nil {
			priority = 1
		}
		if id == "" || wait <= 0 {
			c.respond(504, "X-Not-Run: 1\r\n", nil)
			return
		}
		if !s.Submit(now, id, s.ParseWork(group, body), priority, grant, time.Duration(wait)*time.Millisecond) {
			c.respond(503, "X-Not-Run: 1\r\n", nil)
			return
		}
		if s.OnSubmit != nil {
			s.OnSubmit(id, group, priority, now)
		}
		s.awaitProgress(now, c, id)
	case method == "GET" && len(parts) == 3 && parts[0] == "o":
		if page, _ := strconv.Atoi(parts[2]); page > 0 {
			s.sendPage(now, c, parts[1], page)
			return
		}
		s.awaitProgress(now, c, parts[1])
	case method == "PUT" && len(parts) == 2:
		priority, _ := strconv.Atoi(string(body))
		s.SetPriority(now, parts[1], priority)
		c.respond(204, "", nil)
	case method == "DELETE" && len(parts) == 2:
		s.Cancel(now, parts[1])
		if s.OnRelease != nil {
			s.OnRelease(parts[1], now)
		}
		c.respond(204, "", nil)
	default:
		c.respond(500, "", nil)
	}
}

// awaitProgress holds a request open until its query ends, a note is due or PollTimeout has passed.
func (s *Server) awaitProgress(now time.Duration, c *Conn, id string) {
	c.waiting, c.waitingID, c.waitingSince = true, id, now
	s.Poll(now, id)
	s.waiting = append(s.waiting, c)
}

// ProcessDue advances the engine to a time and sends the responses that are due.
func (s *Server) ProcessDue(now time.Duration) {
	s.Advance(now)
	if s.unreachable || s.paused {
		return
	}
	for _, c := range slices.Clone(s.waiting) {
		outcome := Failed
		x := s.sessions[c.waitingID]
		if x != nil {
			outcome = x.outcome
		}
		if outcome == Running && now < c.waitingSince+s.PollTimeout && now < x.lastNoteAt+s.NoteInterval {
			continue
		}
		s.waiting = slices.DeleteFunc(s.waiting, func(y *Conn) bool { return y == c })
		c.waiting = false
		switch outcome {
		case Running:
			x.polledAt = now
			if n := s.progressNote(x); n.Kind != "" {
				c.respond(202, fmt.Sprintf("X-Cache: %s\r\nReading: %g\r\n", n.Kind, n.Value), nil)
			} else {
				c.respond(202, "", nil)
			}
		case Succeeded:
			x.polledAt = now
			pages := s.resultPages(x)
			c.respond(200, fmt.Sprintf("Chunks: %d\r\nElapsed-Work: %.3f\r\nHigh-Water: %g\r\n", len(pages),
				float64(x.work.CPU)/float64(time.Millisecond), x.work.MemoryMB), pages[0])
		default:
			c.respond(500, "", nil)
		}
		if len(c.input) > 0 && !c.closed { // a pipelined request
			s.Receive(now, c, nil)
		}
	}
}

// NextDue returns when ProcessDue has to be called next.
func (s *Server) NextDue() (time.Duration, bool) {
	next, any := s.Model.NextEvent()
	if s.unreachable || s.paused {
		return 0, false
	}
	for _, c := range s.waiting {
		at := c.waitingSince + s.PollTimeout
		if x := s.sessions[c.waitingID]; x != nil {
			at = min(at, x.lastNoteAt+s.NoteInterval)
		}
		if !any || at < next {
			next, any = at, true
		}
	}
	return next, any
}

// sendPage sends a page after the first, or status 500 if the query has no such page. A page that
// TruncatedPages selects lacks its last bytes.
func (s *Server) sendPage(now time.Duration, c *Conn, id string, page int) {
	s.Poll(now, id)
	if x := s.sessions[id]; x != nil && x.outcome == Succeeded {
		if pages := s.resultPages(x); page < len(pages) {
			if s.TruncatedPages > 0 {
				s.TruncatedPages--
				c.respond(200, fmt.Sprintf("Chunk: %d\r\n", page), pages[page][:len(pages[page])-3])
				return
			}
			c.respond(200, fmt.Sprintf("Chunk: %d\r\n", page), pages[page])
			return
		}
	}
	c.respond(500, "", nil)
}

// Row returns the text of a result's row. The text follows from its arguments, so that a test can
// verify a result.
func Row(id string, i int) string { return id + "\trow\t" + strconv.Itoa(i) + "\n" }

// PaddedRow returns a row with padding bytes added; without padding it returns Row.
func PaddedRow(id string, i, padding int) string {
	if padding == 0 {
		return Row(id, i)
	}
	return id + "\trow" + strings.Repeat("-", padding) + "\t" + strconv.Itoa(i) + "\n"
}

func (s *Server) resultPages(x *session) [][]byte {
	if x.pages != nil {
		return x.pages
	}
	pages := [][]byte{nil}
	for i := range x.work.Rows {
		row := PaddedRow(x.id, i, s.RowPadding)
		if last := pages[len(pages)-1]; len(last)+len(row) > s.PageBytes && len(last) > 0 {
			pages = append(pages, nil)
		}
		pages[len(pages)-1] = append(pages[len(pages)-1], row...)
	}
	x.pages = pages
	return pages
}

// SetUnreachable begins or ends the emulation of a machine without network: connections stay open,
// but requests aren't handled and no response is sent. Running queries continue.
func (s *Server) SetUnreachable(now time.Duration, unreachable bool) {
	s.Advance(now)
	s.unreachable = unreachable
}

// Reset closes all connections, and makes the engine reachable again. With cold it also restarts the
// process, which loses all queries.
func (s *Server) Reset(now time.Duration, cold bool) {
	if s.unreachable = false; cold {
		s.Restart(now)
	}
	for _, c := range slices.Clone(s.connections) {
		s.closeConnection(c)
	}
}

var statusTexts = map[int]string{
	200: "OK", 202: "Accepted", 204: "No Content",
	500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout",
}

func (c *Conn) respond(status int, fields string, body []byte) {
	p := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s", status, statusTexts[status], fields)
	if status != 204 {
		p = fmt.Appendf(p, "Content-Length: %d\r\n", len(body))
	}
	p = append(append(p, "\r\n"...), body...)
	c.traffic.BytesOut[responseKind(c.requestKind, status)] += len(p)
	c.Write(p)
}

// Statement encodes work as the text of a statement, which ParseStatement decodes.
func Statement(w Work) []byte {
	verb := "SELECT * FROM"
	if w.Load {
		verb = "INSERT INTO"
	}
	return fmt.Appendf(nil, "%s sales_%d.orders -- takes "+
		"threads=%g cpu_ms=%g disk_ms=%g memory_mb=%g rows=%d plan=%g load=%t waits=%t",
		verb, w.TableGroup, w.Threads, milliseconds(w.CPU), milliseconds(w.Disk), w.MemoryMB, w.Rows,
		w.PlanFactor, w.Load, w.WaitsForLoad)
}

func milliseconds(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }

// ParseStatement decodes the text of a statement made by Statement. Any other statement needs one
// thread, takes almost no time and returns one row.
func ParseStatement(_ string, statement []byte) Work {
	w := Work{Threads: 1, Rows: 1}
	text := string(statement)
	if _, rest, ok := strings.Cut(text, "sales_"); ok {
		digits, _, _ := strings.Cut(rest, ".")
		w.TableGroup, _ = strconv.ParseInt(digits, 10, 64)
	}
	_, parameters, _ := strings.Cut(text, "-- takes ")
	for pair := range strings.FieldsSeq(parameters) {
		name, value, _ := strings.Cut(pair, "=")
		x, _ := strconv.ParseFloat(value, 64)
		span := time.Duration(x * float64(time.Millisecond))
		switch name {
		case "threads":
			w.Threads = x
		case "cpu_ms":
			w.CPU = span
		case "disk_ms":
			w.Disk = span
		case "memory_mb":
			w.MemoryMB = x
		case "rows":
			w.Rows = int(x)
		case "plan":
			w.PlanFactor = x
		case "load":
			w.Load = value == "true"
		case "waits":
			w.WaitsForLoad = value == "true"
		}
	}
	return w
}

// Unreachable reports whether SetUnreachable is in force.
func (s *Server) Unreachable() bool { return s.unreachable }
