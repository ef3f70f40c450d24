package engine

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Server speaks the engines' protocol on any number of connections, over bytes
// and in virtual time. What it answers goes through the connection's Write.
type Server struct {
	*Model
	// Cost tells what a statement takes; ParseCost unless set.
	ParseWork func(group string, statement []byte) Work
	// Posted is told of each query that comes to run here, if it is set.
	OnSubmit func(id, group string, rank int, at time.Duration)
	// Released is told of each query that it was told to end or to forget, if it is set.
	OnRelease func(id string, at time.Duration)
	// Others is what it runs for controllers that aren't there: its reports have these
	// queries and this part of its cores beside its own, if it is set.
	ExternalLoad func() (held int, cores float64)
	// Spoil is how many of the next pages are spoilt on their way.
	TruncatedPages int
	conns          []*Conn
	holding        []*Conn // those with a call that is held for news, in turn
	silent         bool
	// Calls counts what came, by method.
	RequestCounts map[string]int
	traffic       Traffic
}

// Conn is one connection. Write is called with whole answers, Close if the
// engine ends it.
type Conn struct {
	Write func(p []byte)
	Close func()
	in    []byte
	id    string        // of the call that is held
	since time.Duration // when it came
	held  bool
	gone  bool
	call  TrafficKind // the one answered next
	count *Traffic    // of its engine
}

// NewServer puts the protocol round a model.
func NewServer(m *Model) *Server {
	return &Server{Model: m, ParseWork: ParseStatement, RequestCounts: map[string]int{}}
}

// Accept adds a connection.
func (s *Server) Accept(c *Conn) {
	c.count = &s.traffic
	s.traffic.Opened++
	s.conns = append(s.conns, c)
}

// Gone takes one away that ended.
func (s *Server) Disconnected(c *Conn) {
	c.gone = true
	is := func(x *Conn) bool { return x == c }
	s.conns, s.holding = slices.DeleteFunc(s.conns, is), slices.DeleteFunc(s.holding, is)
}

// Got takes bytes that came on a connection.
func (s *Server) Receive(now time.Duration, c *Conn, p []byte) {
	if s.silent || c.gone {
		return // they lie in a buffer for ever
	}
	c.in = append(c.in, p...)
	for !c.gone && !c.held {
		head, rest, ok := bytes.Cut(c.in, []byte("\r\n\r\n"))
		if !ok {
			return
		}
		field := func(name string) string { return lookup(head, name) }
		length, _ := strconv.Atoi(field("Content-Length"))
		if len(rest) < length {
			return
		}
		line, _, _ := bytes.Cut(head, []byte("\r\n"))
		words := strings.Fields(string(line))
		if len(words) < 2 || length < 0 {
			s.end(c)
			return
		}
		body := bytes.Clone(rest[:length])
		c.call = kindOfCall(words[0], words[1])
		s.traffic.Requests[c.call]++
		s.traffic.BytesIn[c.call] += len(c.in) - len(rest) + length
		c.in = append([]byte{}, rest[length:]...)
		s.call(now, c, words[0], words[1], field, body)
	}
	s.ProcessDue(now)
}

func lookup(head []byte, name string) string {
	for l := range bytes.SplitSeq(head, []byte("\r\n")) {
		if n, v, ok := bytes.Cut(l, []byte(":")); ok && strings.EqualFold(string(n), name) {
			return strings.TrimSpace(string(v))
		}
	}
	return ""
}

func (s *Server) end(c *Conn) {
	s.Disconnected(c)
	if c.Close != nil {
		c.Close()
	}
}

func (s *Server) call(now time.Duration, c *Conn, method, path string, field func(string) string, body []byte) {
	s.RequestCounts[method]++
	parts := strings.Split(strings.Trim(path, "/"), "/")
	switch {
	case path == "/ping":
		c.answer(200, "", nil)
	case path == "/stats":
		held, cores, memory, disks := s.LoadReport(now)
		if s.ExternalLoad != nil {
			others, busy := s.ExternalLoad()
			held, cores = held+others, min(1, cores+busy)
		}
		c.answer(200, fmt.Sprintf("X-Load: outstanding:%d;utilization:%.4f;x0:%.4f;x1:%.4f\r\n", held, cores, memory, disks), nil)
	case method == "POST" && path == "/o":
		id, group := field("X-Req"), field("X-Class")
		wait, _ := strconv.Atoi(field("X-Wait-Ms"))
		grant, _ := strconv.ParseFloat(field("Pool-Mb"), 64)
		rank, err := strconv.Atoi(field("Pool-Rank"))
		if err != nil {
			rank = 1
		}
		if id == "" || wait <= 0 {
			c.answer(504, "X-Not-Run: 1\r\n", nil)
			return
		}
		if !s.Submit(now, id, s.ParseWork(group, body), rank, grant, time.Duration(wait)*time.Millisecond) {
			c.answer(503, "X-Not-Run: 1\r\n", nil)
			return
		}
		if s.OnSubmit != nil {
			s.OnSubmit(id, group, rank, now)
		}
		s.hold(now, c, id)
	case method == "GET" && len(parts) == 3 && parts[0] == "o":
		if page, _ := strconv.Atoi(parts[2]); page > 0 {
			s.page(now, c, parts[1], page)
			return
		}
		s.hold(now, c, parts[1])
	case method == "PUT" && len(parts) == 2:
		rank, _ := strconv.Atoi(string(body))
		s.SetPriority(now, parts[1], rank)
		c.answer(204, "", nil)
	case method == "DELETE" && len(parts) == 2:
		s.Cancel(now, parts[1])
		if s.OnRelease != nil {
			s.OnRelease(parts[1], now)
		}
		c.answer(204, "", nil)
	default:
		c.answer(500, "", nil)
	}
}

// hold keeps a call until there is news of its query.
func (s *Server) hold(now time.Duration, c *Conn, id string) {
	c.held, c.id, c.since = true, id, now
	s.Poll(now, id)
	s.holding = append(s.holding, c)
}

// Due brings the engine to a time and answers what is due by then.
func (s *Server) ProcessDue(now time.Duration) {
	s.Advance(now)
	if s.silent || s.stopped {
		return
	}
	for _, c := range slices.Clone(s.holding) {
		outcome := Failed
		x := s.sessions[c.id]
		if x != nil {
			outcome = x.outcome
		}
		if outcome == Running && now < c.since+s.PollTimeout && now < x.noteAt+s.NoteInterval {
			continue
		}
		s.holding = slices.DeleteFunc(s.holding, func(y *Conn) bool { return y == c })
		c.held = false
		switch outcome {
		case Running:
			x.askedAt = now
			if n := s.note(x); n.Kind != "" {
				c.answer(202, fmt.Sprintf("X-Cache: %s\r\nReading: %g\r\n", n.Kind, n.Value), nil)
			} else {
				c.answer(202, "", nil)
			}
		case Succeeded:
			x.askedAt = now
			pages := s.pages(x)
			c.answer(200, fmt.Sprintf("Chunks: %d\r\nElapsed-Work: %.3f\r\nHigh-Water: %g\r\n", len(pages),
				float64(x.work.CPU)/float64(time.Millisecond), x.work.MemoryMB), pages[0])
		default:
			c.answer(500, "", nil)
		}
		if len(c.in) > 0 && !c.gone { // a call that came behind it
			s.Receive(now, c, nil)
		}
	}
}

// Next is when something is due by itself.
func (s *Server) NextDue() (time.Duration, bool) {
	next, any := s.Model.NextEvent()
	if s.silent || s.stopped {
		return 0, false
	}
	for _, c := range s.holding {
		at := c.since + s.PollTimeout
		if x := s.sessions[c.id]; x != nil {
			at = min(at, x.noteAt+s.NoteInterval)
		}
		if !any || at < next {
			next, any = at, true
		}
	}
	return next, any
}

func (s *Server) page(now time.Duration, c *Conn, id string, page int) {
	s.Poll(now, id)
	if x := s.sessions[id]; x != nil && x.outcome == Succeeded {
		if pages := s.pages(x); page < len(pages) {
			if s.TruncatedPages > 0 {
				s.TruncatedPages--
				c.answer(200, fmt.Sprintf("Chunk: %d\r\n", page), pages[page][:len(pages[page])-3])
				return
			}
			c.answer(200, fmt.Sprintf("Chunk: %d\r\n", page), pages[page])
			return
		}
	}
	c.answer(500, "", nil)
}

// Row is the text of a result's row: anybody can tell whether it is right.
func Row(id string, i int) string { return id + "\trow\t" + strconv.Itoa(i) + "\n" }

// WideRow is a row with so many bytes more.
func PaddedRow(id string, i, wide int) string {
	if wide == 0 {
		return Row(id, i)
	}
	return id + "\trow" + strings.Repeat("-", wide) + "\t" + strconv.Itoa(i) + "\n"
}

func (s *Server) pages(x *session) [][]byte {
	if x.made != nil {
		return x.made
	}
	pages := [][]byte{nil}
	for i := range x.work.Rows {
		row := PaddedRow(x.id, i, s.RowPadding)
		if last := pages[len(pages)-1]; len(last)+len(row) > s.PageBytes && len(last) > 0 {
			pages = append(pages, nil)
		}
		pages[len(pages)-1] = append(pages[len(pages)-1], row...)
	}
	x.made = pages
	return pages
}

// Silence has it say and hear nothing, with its connections left open, as a
// machine that is cut off; what runs, runs on.
func (s *Server) SetUnreachable(now time.Duration, silent bool) {
	s.Advance(now)
	s.silent = silent
}

// Reset ends all connections, and with cold its process: what ran is lost.
func (s *Server) Reset(now time.Duration, cold bool) {
	if s.silent = false; cold {
		s.Restart(now)
	}
	for _, c := range slices.Clone(s.conns) {
		s.end(c)
	}
}

var texts = map[int]string{200: "OK", 202: "Accepted", 204: "No Content", 500: "Internal Server Error", 503: "Service Unavailable",
	504: "Gateway Timeout"}

func (c *Conn) answer(status int, fields string, body []byte) {
	p := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s", status, texts[status], fields)
	if status != 204 {
		p = fmt.Appendf(p, "Content-Length: %d\r\n", len(body))
	}
	p = append(append(p, "\r\n"...), body...)
	c.count.BytesOut[kindOfAnswer(c.call, status)] += len(p)
	c.Write(p)
}

// Statement writes a statement on a table group that tells a stand-in engine
// what it takes; ParseCost reads it.
func Statement(w Work) []byte {
	verb := "SELECT * FROM"
	if w.Load {
		verb = "INSERT INTO"
	}
	return fmt.Appendf(nil, "%s sales_%d.orders -- takes threads=%g cpu_ms=%g disk_ms=%g memory_mb=%g rows=%d plan=%g load=%t waits=%t",
		verb, w.TableGroup, w.Threads, ms(w.CPU), ms(w.Disk), w.MemoryMB, w.Rows, w.PlanFactor, w.Load, w.WaitsForLoad)
}

func ms(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }

// ParseCost reads what Statement wrote. What says nothing takes next to nothing.
func ParseStatement(_ string, statement []byte) Work {
	w := Work{Threads: 1, Rows: 1}
	text := string(statement)
	if _, rest, ok := strings.Cut(text, "sales_"); ok {
		digits, _, _ := strings.Cut(rest, ".")
		w.TableGroup, _ = strconv.ParseInt(digits, 10, 64)
	}
	_, said, _ := strings.Cut(text, "-- takes ")
	for pair := range strings.FieldsSeq(said) {
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

// Silent tells whether it was cut off.
func (s *Server) Unreachable() bool { return s.silent }
