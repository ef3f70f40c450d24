// Package msgpackrpc reads and writes what clients speak, MessagePack-RPC, over
// bytes only.
package msgpackrpc

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Hearer is handed what a client said, its fields as they were read. What it
// keeps of a slice it must copy.
type Handler interface {
	Query(msg uint32, group, id []byte, patience time.Duration, key []byte, keyed bool, statement []byte, all Fields)
	// Page asks for a page, by number, of a result that a token opens.
	Page(msg uint32, token []byte, number int, all Fields)
	// Purge asks for what is kept of the caller's team to go, or how far that is.
	Purge(msg uint32, p Purge, all Fields)
	Alive(msg uint32)
	Cancel(msg uint32)
	// Wrong is a call that can be answered but not understood.
	Invalid(msg uint32, why string)
}

// Read hands over the first message if all of it is there, and says how many
// bytes it took: 0 while it isn't. An error means that the connection can't be
// read any further.
func Read(p []byte, most int, h Handler) (int, error) {
	c := &cursor{p: p, most: uint64(max(most, 0))}
	say := message(c, h)
	if c.err == errShort {
		if len(p) > most {
			return 0, errForm
		}
		return 0, nil
	}
	if c.err != nil {
		return 0, c.err
	}
	if say != nil {
		say()
	}
	return c.at, nil
}

// message reads one and gives what is to be said of it, once it is known to be
// whole. What is no call at all is an error; a call that is wrong in itself
// has an answer.
func message(c *cursor, h Handler) func() {
	parts := c.array()
	if c.err != nil {
		return nil
	}
	switch kind := c.whole(); {
	case c.err != nil:
		return nil
	case kind == 2 && parts == 3:
		return notice(c, h)
	case kind != 0 || parts != 4:
		c.fail(errForm)
		return nil
	}
	number := c.whole()
	if number > math.MaxUint32 {
		c.fail(errForm)
	}
	msg := uint32(number)
	// from here on the call can be answered: find where it ends, then read it
	rest := *c
	c.skip(0)
	c.skip(0)
	if c.err != nil {
		return nil
	}
	say := call(&rest, msg, h)
	if rest.err != nil || rest.at != c.at {
		return func() { h.Invalid(msg, "malformed call") }
	}
	return say
}

func call(c *cursor, msg uint32, h Handler) func() {
	method := c.str()
	params := c.array()
	if string(method) == "alive" && params <= 1 {
		if params == 1 {
			c.skip(0)
		}
		return func() { h.Alive(msg) }
	}
	if string(method) == "page" && params == 1 {
		return page(c, msg, h)
	}
	if string(method) == "purge" && params == 1 {
		return purge(c, msg, h)
	}
	if params != 2 {
		c.fail(errForm)
		return nil
	}
	var id, wait, key []byte // nil: not given
	why := ""
	field := func(have *[]byte, name string) {
		if *have != nil {
			why = name + " given twice" // which one holds can't be told
		}
		*have = c.str()
	}
	count, from := c.fields(), c.at
	for n := count; n > 0 && c.err == nil; n-- {
		switch name := c.str(); string(name) {
		case "trace":
			field(&id, "trace")
		case "patience":
			field(&wait, "patience")
		case "entity":
			field(&key, "entity")
		default:
			c.skip(0)
		}
	}
	all := Fields{c.p[min(from, c.at):c.at], count}
	statement := c.bin()
	patience := span(wait)
	switch {
	case why != "":
	case !usable(id):
		why = "no trace"
	case patience <= 0:
		why = "no patience"
	case key != nil && (len(key) == 0 || len(key) > keyMost):
		why = "no entity"
	case len(statement) == 0:
		why = "no statement"
	}
	if why != "" {
		return func() { h.Invalid(msg, why) }
	}
	return func() { h.Query(msg, method, id, patience, key, key != nil, statement, all) }
}

// page reads a call for a page: its one parameter names a token and a number.
func page(c *cursor, msg uint32, h Handler) func() {
	count, from := c.fields(), c.at
	for n := count; n > 0 && c.err == nil; n-- {
		c.str()
		c.skip(0)
	}
	all := Fields{c.p[min(from, c.at):c.at], count}
	number, err := strconv.ParseUint(string(all.Get("page")), 10, 31)
	token := all.Get("token")
	switch {
	case len(token) == 0:
		return func() { h.Invalid(msg, "no token") }
	case err != nil:
		return func() { h.Invalid(msg, "no page") }
	}
	return func() { h.Page(msg, token, int(number), all) }
}

// Fields are all fields of a call, for those that only some set-ups know.
type Fields struct {
	p     []byte
	count uint64
}

// Size is how many bytes they take.
func (f Fields) Size() int { return len(f.p) }

// Clone keeps them beyond the message that they came in.
func (f Fields) Clone() Fields { return Fields{append([]byte(nil), f.p...), f.count} }

// Get is a field's value if it is a string, nil if there is none of the name.
func (f Fields) Get(name string) []byte {
	if name == "" {
		return nil
	}
	c := &cursor{p: f.p, most: uint64(len(f.p))}
	for n := f.count; n > 0 && c.err == nil; n-- {
		if string(c.str()) != name {
			c.skip(0)
			continue
		}
		if v := c.str(); c.err == nil {
			return v
		}
	}
	return nil
}

// Names lists what fields there are, for who follows a call.
func (f Fields) Names() (names []string) {
	c := &cursor{p: f.p, most: uint64(len(f.p))}
	for n := f.count; n > 0 && c.err == nil; n-- {
		names = append(names, string(c.str()))
		c.skip(0)
	}
	return names
}

const keyMost = 256

// usable: the trace has the protocol's form. It stands in the path of calls to
// engines as it is.
func usable(id []byte) bool {
	for _, b := range id {
		if (b < '0' || b > '9') && (b < 'a' || b > 'f') && (b < 'A' || b > 'F') {
			return false
		}
	}
	return len(id) == 16
}

// span reads a number of milliseconds, 0 if it is none: digits, and perhaps a
// part of one. What else parsers of numbers take (1e3, 0x5, nan) no client means.
func span(text []byte) time.Duration {
	for _, b := range text {
		if (b < '0' || b > '9') && b != '.' {
			return 0
		}
	}
	ms, err := strconv.ParseFloat(string(text), 64)
	if err != nil || ms > float64(math.MaxInt64/int64(time.Hour)) {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func notice(c *cursor, h Handler) func() {
	rest := *c
	c.skip(0)
	c.skip(0)
	if c.err != nil {
		return nil
	}
	method := rest.str()
	if n := rest.array(); string(method) != "cancelRequest" || n != 1 {
		return nil // a notice asks for no answer, and may be one we don't know
	}
	msg := rest.whole()
	if rest.err != nil || msg > math.MaxUint32 {
		return nil
	}
	return func() { h.Cancel(uint32(msg)) }
}

// Answer writes a finished query's result, its pages run together.
func AppendResult(dst []byte, msg uint32, pages [][]byte) []byte {
	size := 0
	for _, p := range pages {
		size += len(p)
	}
	dst = append(appendWhole(append(dst, 0x94, 1), msg), 0xc0, 0x92)
	dst = appendBinHead(dst, size)
	for _, p := range pages {
		dst = append(dst, p...)
	}
	return append(dst, 0x80)
}

// Paging is what a client is told of a result that it reads page by page.
type PageInfo struct {
	Pages       int
	Bytes, Rows int64
	Token       string
	Lifetime    time.Duration // unless a page is read, from now
}

// Paged writes a finished query's first page and how to ask for the others. A result
// of one page has no token.
func AppendFirstPage(dst []byte, msg uint32, first []byte, p PageInfo) []byte {
	dst = append(appendWhole(append(dst, 0x94, 1), msg), 0xc0, 0x92)
	dst = append(appendBinHead(dst, len(first)), first...)
	pairs := []string{"pages", strconv.Itoa(p.Pages), "bytes", strconv.FormatInt(p.Bytes, 10), "rows", strconv.FormatInt(p.Rows, 10)}
	if p.Pages > 1 {
		pairs = append(pairs, "token", p.Token, "lasts", strconv.FormatInt(p.Lifetime.Milliseconds(), 10))
	}
	dst = append(dst, 0x80|byte(len(pairs)/2))
	for _, s := range pairs {
		dst = appendStr(dst, s)
	}
	return dst
}

// Deferred writes that trying again is harmless, after a pause if one is named.
func AppendDeferral(dst []byte, msg uint32, pause time.Duration) []byte {
	dst = appendStr(append(appendWhole(append(dst, 0x94, 1), msg), 0x92), "Throttled")
	if ms := pause.Milliseconds(); ms > 0 {
		dst = appendStr(appendStr(append(dst, 0x81), "pause"), strconv.FormatInt(ms, 10))
	} else {
		dst = append(dst, 0x80)
	}
	return append(dst, 0xc0)
}

// Directed is Deferred with the addresses of controllers that may take the query, by commas.
func AppendRedirect(dst []byte, msg uint32, pause time.Duration, controllers []string) []byte {
	dst = appendStr(append(appendWhole(append(dst, 0x94, 1), msg), 0x92), "Throttled")
	if ms := pause.Milliseconds(); ms > 0 {
		dst = appendStr(appendStr(append(dst, 0x82), "pause"), strconv.FormatInt(ms, 10))
	} else {
		dst = append(dst, 0x81)
	}
	return append(appendStr(appendStr(dst, "controllers"), strings.Join(controllers[:min(len(controllers), directedMost)], ",")), 0xc0)
}

// directedMost is how many addresses are named; one that answers is enough.
const directedMost = 15

// Killed writes an error that promises nothing.
func AppendFailure(dst []byte, msg uint32, why string) []byte {
	dst = appendStr(append(appendWhole(append(dst, 0x94, 1), msg), 0x92), "Failed")
	return append(appendStr(appendStr(append(dst, 0x81), "why"), why), 0xc0)
}

// Told writes a notice that a call's query should start after so long: clients
// that asked for it know the method.
func AppendWaitNotification(dst []byte, msg uint32, wait time.Duration) []byte {
	dst = appendStr(append(dst, 0x93, 2), "wait")
	return appendWhole(appendWhole(append(dst, 0x92), msg), uint32(min(max(0, wait.Milliseconds()), math.MaxUint32)))
}

// Alive writes whether we are ready.
func AppendAlive(dst []byte, msg uint32, ready bool) []byte {
	yes := byte(0xc2)
	if ready {
		yes = 0xc3
	}
	return append(appendWhole(append(dst, 0x94, 1), msg), 0xc0, 0x92, yes, 0x80)
}
