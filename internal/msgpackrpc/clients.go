// Package msgpackrpc encodes and decodes the MessagePack-RPC messages of clients. It works on byte slices
// and does no I/O.
package msgpackrpc

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Handler receives the calls and notifications of a client. The slices that its methods get share memory
// with the receive buffer, so a handler copies the bytes that it keeps.
type Handler interface {
	// Query submits a statement. keyed tells whether the call has a key.
	Query(messageID uint32, group, id []byte, timeout time.Duration, key []byte, keyed bool,
		statement []byte, fields Fields)
	// Page requests one page of the retained result that a token gives access to.
	Page(messageID uint32, token []byte, number int, fields Fields)
	// Purge requests the deletion of retained results of the client's tenant, or the status of a purge.
	Purge(messageID uint32, purge Purge, fields Fields)
	// Alive requests whether the controller is ready.
	Alive(messageID uint32)
	// Cancel cancels the call with this number.
	Cancel(messageID uint32)
	// Invalid reports a call that can be answered but has invalid content.
	Invalid(messageID uint32, reason string)
}

// Read passes the first message in data to h and returns the number of bytes of that message, 0 if the
// message is incomplete. After an error the connection can't be read any further.
func Read(data []byte, maxBytes int, h Handler) (int, error) {
	c := &cursor{data: data, maxValueBytes: uint64(max(maxBytes, 0))}
	deliver := readMessage(c, h)
	if c.err == errIncompleteMessage {
		if len(data) > maxBytes {
			return 0, errInvalidMessage
		}
		return 0, nil
	}
	if c.err != nil {
		return 0, c.err
	}
	if deliver != nil {
		deliver()
	}
	return c.pos, nil
}

// PartialQuery reports whether data is the start of a query call that lacks only bytes of its statement.
// It returns the call's number and how many bytes are missing.
func PartialQuery(data []byte, maxBytes int) (messageID uint32, missing int, ok bool) {
	c := &cursor{data: data, maxValueBytes: uint64(max(maxBytes, 0))}
	parts, kind, number := c.arrayLength(), c.unsigned(), c.unsigned()
	c.skip(0) // the method
	params := c.arrayLength()
	c.skip(0) // the fields
	size := c.length(0, 0, 0xc4, 0xc5, 0xc6)
	isCall := parts == 4 && kind == 0 && number <= math.MaxUint32 && params == 2
	if c.err != nil || !isCall || size > c.maxValueBytes {
		return 0, 0, false
	}
	missing = int(size) - (len(data) - c.pos)
	return uint32(number), missing, missing > 0
}

// readMessage reads one message and returns a function that passes the message to h, nil if the message is
// ignored. A message other than a call or a notification is an error. A call with invalid content is passed
// to h, so that the call gets a response.
func readMessage(c *cursor, h Handler) func() {
	parts := c.arrayLength()
	if c.err != nil {
		return nil
	}
	switch kind := c.unsigned(); {
	case c.err != nil:
		return nil
	case kind == 2 && parts == 3:
		return readNotification(c, h)
	case kind != 0 || parts != 4:
		c.fail(errInvalidMessage)
		return nil
	}
	messageNumber := c.unsigned()
	if messageNumber > math.MaxUint32 {
		c.fail(errInvalidMessage)
	}
	messageID := uint32(messageNumber)
	// From here on the call can be answered: find its end before reading its content.
	call := *c
	c.skip(0)
	c.skip(0)
	if c.err != nil {
		return nil
	}
	deliver := readCall(&call, messageID, h)
	if call.err != nil || call.pos != c.pos {
		return func() { h.Invalid(messageID, "malformed call") }
	}
	return deliver
}

// readCall reads the method and the parameters of a call, and returns a function that passes the call to h.
func readCall(c *cursor, messageID uint32, h Handler) func() {
	method := c.stringValue()
	params := c.arrayLength()
	if string(method) == "alive" && params <= 1 {
		if params == 1 {
			c.skip(0)
		}
		return func() { h.Alive(messageID) }
	}
	if string(method) == "page" && params == 1 {
		return readPageCall(c, messageID, h)
	}
	if string(method) == "purge" && params == 1 {
		return readPurgeCall(c, messageID, h)
	}
	if params != 2 {
		c.fail(errInvalidMessage)
		return nil
	}
	var id, timeoutText, key []byte // nil: not given
	// reason is for the client: a field that is missing or invalid ("no trace") or was given twice.
	reason := ""
	field := func(value *[]byte, name string) {
		if *value != nil {
			reason = name + " given twice" // neither value takes precedence
		}
		*value = c.stringValue()
	}
	count, start := c.mapLength(), c.pos
	for n := count; n > 0 && c.err == nil; n-- {
		switch name := c.stringValue(); string(name) {
		case "trace":
			field(&id, "trace")
		case "patience":
			field(&timeoutText, "patience")
		case "entity":
			field(&key, "entity")
		default:
			c.skip(0)
		}
	}
	fields := Fields{c.data[min(start, c.pos):c.pos], count}
	statement := c.binaryValue()
	timeout := parseMillis(timeoutText)
	switch {
	case reason != "":
	case !isTrace(id):
		reason = "no trace"
	case timeout <= 0:
		reason = "no patience"
	case key != nil && (len(key) == 0 || len(key) > maxKeyBytes):
		reason = "no entity"
	case len(statement) == 0:
		reason = "no statement"
	}
	if reason != "" {
		return func() { h.Invalid(messageID, reason) }
	}
	return func() { h.Query(messageID, method, id, timeout, key, key != nil, statement, fields) }
}

// readPageCall reads a page call. Its only parameter is a map with the token and the page number.
func readPageCall(c *cursor, messageID uint32, h Handler) func() {
	count, start := c.mapLength(), c.pos
	for n := count; n > 0 && c.err == nil; n-- {
		c.stringValue()
		c.skip(0)
	}
	fields := Fields{c.data[min(start, c.pos):c.pos], count}
	number, err := strconv.ParseUint(string(fields.Get("page")), 10, 31)
	token := fields.Get("token")
	switch {
	case len(token) == 0:
		return func() { h.Invalid(messageID, "no token") }
	case err != nil:
		return func() { h.Invalid(messageID, "no page") }
	}
	return func() { h.Page(messageID, token, int(number), fields) }
}

// Fields are all fields of a call, including those whose names depend on the configuration.
type Fields struct {
	data  []byte
	count uint64
}

// Size returns the number of encoded bytes.
func (f Fields) Size() int { return len(f.data) }

// Clone copies the fields, so that they can be kept after the message.
func (f Fields) Clone() Fields { return Fields{append([]byte(nil), f.data...), f.count} }

// Get returns the value of a field, nil if the field is missing or not a string.
func (f Fields) Get(name string) []byte {
	if name == "" {
		return nil
	}
	c := &cursor{data: f.data, maxValueBytes: uint64(len(f.data))}
	for n := f.count; n > 0 && c.err == nil; n-- {
		if string(c.stringValue()) != name {
			c.skip(0)
			continue
		}
		if v := c.stringValue(); c.err == nil {
			return v
		}
	}
	return nil
}

// Names lists the names of the fields, for tracing.
func (f Fields) Names() (names []string) {
	c := &cursor{data: f.data, maxValueBytes: uint64(len(f.data))}
	for n := f.count; n > 0 && c.err == nil; n-- {
		names = append(names, string(c.stringValue()))
		c.skip(0)
	}
	return names
}

const maxKeyBytes = 256

// isTrace reports whether a trace consists of 16 hexadecimal digits. The path of requests to engines
// contains the trace without escaping.
func isTrace(id []byte) bool {
	for _, b := range id {
		if (b < '0' || b > '9') && (b < 'a' || b > 'f') && (b < 'A' || b > 'F') {
			return false
		}
	}
	return len(id) == 16
}

// parseMillis parses a decimal number of milliseconds and returns 0 if the text is invalid or the number is
// greater than 2562047, about 42 minutes. It rejects exponents, hexadecimal numbers and NaN, which strconv
// accepts but no client means.
func parseMillis(text []byte) time.Duration {
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

// readNotification reads a notification. cancelRequest is the only one that is known.
func readNotification(c *cursor, h Handler) func() {
	content := *c
	c.skip(0)
	c.skip(0)
	if c.err != nil {
		return nil
	}
	method := content.stringValue()
	if n := content.arrayLength(); string(method) != "cancelRequest" || n != 1 {
		return nil // notifications get no response, so unknown ones are ignored
	}
	messageID := content.unsigned()
	if content.err != nil || messageID > math.MaxUint32 {
		return nil
	}
	return func() { h.Cancel(uint32(messageID)) }
}

// resultFrameBytes is room for everything in the response with a result but its rows.
const resultFrameBytes = 16

// AppendResult appends the response with the result of a finished query, all its pages concatenated.
func AppendResult(dst []byte, messageID uint32, pages [][]byte) []byte {
	size := 0
	for _, p := range pages {
		size += len(p)
	}
	dst = slices.Grow(dst, size+resultFrameBytes)
	dst = append(appendUnsigned(append(dst, 0x94, 1), messageID), 0xc0, 0x92)
	dst = appendBinaryHeader(dst, size)
	for _, p := range pages {
		dst = append(dst, p...)
	}
	return append(dst, 0x80)
}

// PageInfo describes a result that a client reads page by page.
type PageInfo struct {
	Pages       int
	Bytes, Rows int64
	Token       string
	Lifetime    time.Duration // time until the result is deleted if no page is read
}

// AppendFirstPage appends the response with the first page of a result, and with the token for the other
// pages if the result has more than one.
func AppendFirstPage(dst []byte, messageID uint32, first []byte, info PageInfo) []byte {
	dst = append(appendUnsigned(append(dst, 0x94, 1), messageID), 0xc0, 0x92)
	dst = append(appendBinaryHeader(dst, len(first)), first...)
	pairs := []string{"pages", strconv.Itoa(info.Pages), "bytes",
		strconv.FormatInt(info.Bytes, 10), "rows", strconv.FormatInt(info.Rows, 10)}
	if info.Pages > 1 {
		pairs = append(pairs, "token", info.Token, "lasts", strconv.FormatInt(info.Lifetime.Milliseconds(), 10))
	}
	dst = append(dst, 0x80|byte(len(pairs)/2))
	for _, s := range pairs {
		dst = appendString(dst, s)
	}
	return dst
}

// AppendDeferral appends the error that the client may safely send the query again, after retryAfter if
// that is a millisecond or more.
func AppendDeferral(dst []byte, messageID uint32, retryAfter time.Duration) []byte {
	dst = appendString(append(appendUnsigned(append(dst, 0x94, 1), messageID), 0x92), "Throttled")
	if ms := retryAfter.Milliseconds(); ms > 0 {
		dst = appendString(appendString(append(dst, 0x81), "pause"), strconv.FormatInt(ms, 10))
	} else {
		dst = append(dst, 0x80)
	}
	return append(dst, 0xc0)
}

// AppendRedirect appends a deferral with the addresses of controllers that may accept the query, separated
// by commas.
func AppendRedirect(dst []byte, messageID uint32, retryAfter time.Duration, controllers []string) []byte {
	dst = appendString(append(appendUnsigned(append(dst, 0x94, 1), messageID), 0x92), "Throttled")
	if ms := retryAfter.Milliseconds(); ms > 0 {
		dst = appendString(appendString(append(dst, 0x82), "pause"), strconv.FormatInt(ms, 10))
	} else {
		dst = append(dst, 0x81)
	}
	return append(appendString(appendString(dst, "controllers"),
		strings.Join(controllers[:min(len(controllers), maxRedirectAddresses)], ",")), 0xc0)
}

// maxRedirectAddresses limits the addresses in a redirect. The client needs only one that responds.
const maxRedirectAddresses = 15

// AppendFailure appends the error that a call failed. It does not say that sending the query again is safe.
func AppendFailure(dst []byte, messageID uint32, reason string) []byte {
	dst = appendString(append(appendUnsigned(append(dst, 0x94, 1), messageID), 0x92), "Failed")
	return append(appendString(appendString(append(dst, 0x81), "why"), reason), 0xc0)
}

// AppendWaitNotification appends a notification of the expected wait until the query starts. Clients that
// asked for the notification know its method.
func AppendWaitNotification(dst []byte, messageID uint32, wait time.Duration) []byte {
	dst = appendString(append(dst, 0x93, 2), "wait")
	return appendUnsigned(appendUnsigned(append(dst, 0x92), messageID),
		uint32(min(max(0, wait.Milliseconds()), math.MaxUint32)))
}

// AppendAlive appends the response to an alive call.
func AppendAlive(dst []byte, messageID uint32, ready bool) []byte {
	value := byte(0xc2)
	if ready {
		value = 0xc3
	}
	return append(appendUnsigned(append(dst, 0x94, 1), messageID), 0xc0, 0x92, value, 0x80)
}
