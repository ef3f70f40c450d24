package engine

import "strings"

// TrafficKind classifies requests and responses by their purpose.
type TrafficKind int

const (
	// Probes are health checks and load reports (/ping, /stats).
	Probes TrafficKind = iota
	// Queries are submissions of statements and requests for pages after the first, and responses with a
	// result or an error.
	Queries
	// Polls are requests for a query's state, and responses that say that the query is running.
	Polls
	// ControlCalls cancel a query or release its result (DELETE), or change its priority (PUT).
	ControlCalls
	trafficKinds
)

// Traffic counts what one engine's connections have carried. Bytes are those of HTTP, without
// TCP and IP headers.
type Traffic struct {
	Opened, Open      int               // connections: total and currently open
	Requests          [trafficKinds]int // by request kind
	BytesIn, BytesOut [trafficKinds]int // in by request kind, out by response kind
}

// Add returns the sum of t and another engine's traffic.
func (t Traffic) Add(other Traffic) Traffic {
	t.Opened += other.Opened
	t.Open += other.Open
	for kind := range trafficKinds {
		t.Requests[kind] += other.Requests[kind]
		t.BytesIn[kind] += other.BytesIn[kind]
		t.BytesOut[kind] += other.BytesOut[kind]
	}
	return t
}

// Traffic returns the traffic so far.
func (s *Server) Traffic() Traffic {
	t := s.traffic
	t.Open = len(s.connections)
	return t
}

// requestKind classifies a request. A GET of page 0 asks for the query's state and is a poll. A GET of
// a later page fetches a part of the result and counts as a query.
func requestKind(method, path string) TrafficKind {
	switch {
	case path == "/ping" || path == "/stats":
		return Probes
	case method == "POST":
		return Queries
	case method == "GET" && strings.HasSuffix(path, "/0"):
		return Polls
	case method == "GET":
		return Queries
	}
	return ControlCalls
}

// responseKind classifies the response to a request. A 202 says that the query is running and counts
// as a poll, whatever the request was. Any other response to a poll counts as a query, also an error.
// Otherwise the response has the kind of its request.
func responseKind(request TrafficKind, status int) TrafficKind {
	switch {
	case status == 202:
		return Polls
	case request == Polls:
		return Queries
	}
	return request
}
