package engine

import "strings"

// TrafficKind classifies requests and responses by their purpose.
type TrafficKind int

const (
	// Probes are health checks and load reports (/ping, /stats).
	Probes TrafficKind = iota
	// Queries are statements, results and rejections.
	Queries
	// Polls are requests for a query's state, and responses that the query is running.
	Polls
	// ControlCalls cancel a query (DELETE) or change its priority (PUT).
	ControlCalls
	trafficKinds
)

// Traffic counts what one engine's connections have carried. Bytes are those of HTTP, without
// TCP and IP headers.
type Traffic struct {
	Opened, Open      int               // connections: total and currently open
	Requests          [trafficKinds]int // by request kind
	BytesIn, BytesOut [trafficKinds]int // by request kind and by response kind
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

// requestKind classifies a request.
func requestKind(method, path string) TrafficKind {
	switch {
	case path == "/ping" || path == "/stats":
		return Probes
	case method == "POST":
		return Queries
	case method == "GET" && strings.HasSuffix(path, "/0"):
		return Polls
	case method == "GET": // a page after the first
		return Queries
	}
	return ControlCalls
}

// responseKind classifies the response to a request. A response that the query is running
// counts as a poll, whatever the request was; a poll's response with the final result counts as
// a query.
func responseKind(request TrafficKind, status int) TrafficKind {
	switch {
	case status == 202:
		return Polls
	case request == Polls:
		return Queries
	}
	return request
}
