package engine

import "strings"

// Kind is what bytes on an engine's connections are for.
type TrafficKind int

const (
	// Probes are looks at the engine and their answers (/ping, /stats).
	Probes TrafficKind = iota
	// Queries are statements, results and refusals.
	Queries
	// News are calls that ask how a query stands, and answers that it runs.
	Polls
	// Orders are a query's end (DELETE) or other priority (PUT), and their answers.
	ControlCalls
	kinds
)

// Traffic is what one engine's connections have carried. Bytes are of HTTP alone,
// without the headers of TCP and IP.
type Traffic struct {
	Opened, Open      int        // connections, in all and now
	Requests          [kinds]int // by what was called
	BytesIn, BytesOut [kinds]int // bytes that came and that went out
}

// Plus is the sum with another engine's.
func (t Traffic) Add(other Traffic) Traffic {
	t.Opened += other.Opened
	t.Open += other.Open
	for kind := range kinds {
		t.Requests[kind] += other.Requests[kind]
		t.BytesIn[kind] += other.BytesIn[kind]
		t.BytesOut[kind] += other.BytesOut[kind]
	}
	return t
}

// Traffic is what there was so far.
func (s *Server) Traffic() Traffic {
	t := s.traffic
	t.Open = len(s.conns)
	return t
}

// kindOfCall is what a call is for.
func kindOfCall(method, path string) TrafficKind {
	switch {
	case path == "/ping" || path == "/stats":
		return Probes
	case method == "POST":
		return Queries
	case method == "GET" && strings.HasSuffix(path, "/0"):
		return Polls
	case method == "GET": // a further page
		return Queries
	}
	return ControlCalls
}

// kindOfAnswer is what an answer to a call is for: one that says that the query runs is
// news, whatever was called, and one to a call for news that brings the end is the query's.
func kindOfAnswer(call TrafficKind, status int) TrafficKind {
	switch {
	case status == 202:
		return Polls
	case call == Polls:
		return Queries
	}
	return call
}
