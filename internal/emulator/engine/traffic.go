package engine

import "strings"

// Kind is what bytes on an engine's connections are for.
type Kind int

const (
	// Probes are looks at the engine and their answers (/ping, /stats).
	Probes Kind = iota
	// Queries are statements, results and refusals.
	Queries
	// News are calls that ask how a query stands, and answers that it runs.
	News
	// Orders are a query's end (DELETE) or other priority (PUT), and their answers.
	Orders
	kinds
)

// Traffic is what one engine's connections have carried. Bytes are of HTTP alone,
// without the headers of TCP and IP.
type Traffic struct {
	Opened, Open int        // connections, in all and now
	Calls        [kinds]int // by what was called
	In, Out      [kinds]int // bytes that came and that went out
}

// Plus is the sum with another engine's.
func (t Traffic) Plus(other Traffic) Traffic {
	t.Opened += other.Opened
	t.Open += other.Open
	for kind := range kinds {
		t.Calls[kind] += other.Calls[kind]
		t.In[kind] += other.In[kind]
		t.Out[kind] += other.Out[kind]
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
func kindOfCall(method, path string) Kind {
	switch {
	case path == "/ping" || path == "/stats":
		return Probes
	case method == "POST":
		return Queries
	case method == "GET" && strings.HasSuffix(path, "/0"):
		return News
	case method == "GET": // a further page
		return Queries
	}
	return Orders
}

// kindOfAnswer is what an answer to a call is for: one that says that the query runs is
// news, whatever was called, and one to a call for news that brings the end is the query's.
func kindOfAnswer(call Kind, status int) Kind {
	switch {
	case status == 202:
		return News
	case call == News:
		return Queries
	}
	return call
}
