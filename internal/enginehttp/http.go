// Package enginehttp encodes requests to engines and decodes their responses. Engines use HTTP/1.1 with one
// request at a time per connection. The package works on byte slices and does no I/O.
package enginehttp

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// errInvalidResponse is the error for a malformed response, for a body over its limit, and for a body whose
// length the response doesn't tell.
var errInvalidResponse = errors.New("invalid HTTP/1.1 response")

// maxHeaderBytes limits how many bytes may arrive without the end of the headers. Longer headers are accepted
// if their end has arrived, too.
const maxHeaderBytes = 16 << 10

const (
	// maxFramingBytes limits the bytes of a chunked body that are neither data nor needed to delimit it:
	// leading zeros of sizes, chunk extensions and trailers.
	maxFramingBytes = maxHeaderBytes
	// chunkSizeBytes is the longest size line, without its line break, that isn't counted as framing.
	chunkSizeBytes = 8
)

// Read passes the first response in data to handle. It returns the number of bytes of that response, 0 if
// the response is incomplete, and whether the connection may carry another request. An interim (1xx)
// response is consumed without being passed on. maxBytes limits the body. After an error the connection
// can't be read any further.
func Read(data []byte, maxBytes int,
	handle func(status int, field func(string) string, body []byte)) (int, bool, error) {
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end < 0 {
		if len(data) > maxHeaderBytes {
			return 0, false, errInvalidResponse
		}
		return 0, false, nil
	}
	head, err := parseHead(data[:end])
	if err != nil {
		return 0, false, err
	}
	bodyStart := end + len("\r\n\r\n")
	body, length, complete, err := head.readBody(data[bodyStart:], maxBytes)
	if err != nil || !complete {
		return 0, false, err
	}
	consumed := bodyStart + length
	if head.status < 200 {
		return consumed, true, nil // an interim response; the final one follows
	}
	handle(head.status, head.field, body)
	return consumed, head.keepsAlive(), nil
}

// responseHead is the status line and the headers of a response.
type responseHead struct {
	status       int
	minorVersion byte // of HTTP/1, as a digit
	headers      []byte
}

// parseHead parses a status line and headers, without the empty line behind them.
func parseHead(data []byte) (responseHead, error) {
	const statusAt, statusEnd = len("HTTP/1.1 "), len("HTTP/1.1 200")
	statusLine, headers, _ := bytes.Cut(data, []byte("\r\n"))
	if len(statusLine) < statusEnd || !bytes.HasPrefix(statusLine, []byte("HTTP/1.")) ||
		statusLine[statusAt-1] != ' ' || len(statusLine) > statusEnd && statusLine[statusEnd] != ' ' {
		return responseHead{}, errInvalidResponse
	}
	status, err := strconv.Atoi(string(statusLine[statusAt:statusEnd]))
	if err != nil || status < 100 {
		return responseHead{}, errInvalidResponse
	}
	for line := range bytes.SplitSeq(headers, []byte("\r\n")) {
		if len(headers) > 0 && bytes.IndexByte(line, ':') <= 0 {
			return responseHead{}, errInvalidResponse
		}
	}
	return responseHead{status: status, minorVersion: statusLine[statusAt-2], headers: headers}, nil
}

// field returns the value of a header, "" if there is none.
func (h responseHead) field(name string) string { return headerValue(h.headers, name) }

// keepsAlive reports whether the connection may carry another request after the response.
func (h responseHead) keepsAlive() bool {
	return h.minorVersion == '1' && !strings.EqualFold(h.field("Connection"), "close")
}

// readBody returns the body at the start of data and the number of its encoded bytes. A body whose length the
// headers don't tell is an error, as one that ends with the connection can't be told from a truncated one.
func (h responseHead) readBody(data []byte, maxBytes int) (
	body []byte, length int, complete bool, err error) {
	if coding := h.field("Transfer-Encoding"); coding != "" {
		if !strings.EqualFold(coding, "chunked") {
			return nil, 0, false, errInvalidResponse
		}
		body, length, err = readChunkedBody(data, maxBytes)
		return body, length, length > 0, err
	}
	if text := h.field("Content-Length"); text != "" {
		length, err = strconv.Atoi(text)
		if err != nil || length < 0 || length > maxBytes {
			return nil, 0, false, errInvalidResponse
		}
	} else if h.status != 204 && h.status != 304 && h.status >= 200 {
		return nil, 0, false, errInvalidResponse
	}
	if len(data) < length {
		return nil, 0, false, nil
	}
	return data[:length], length, true, nil
}

// readChunkedBody joins the chunks of a body. It returns the number of encoded bytes, 0 if the body is
// incomplete. Both the data and the framing are limited, so that a body that never ends is an error.
func readChunkedBody(data []byte, maxBytes int) (body []byte, consumed int, err error) {
	r := chunkReader{data: data, body: []byte{}}
	for {
		line, ok := r.line(chunkSizeBytes)
		if !ok {
			return nil, 0, r.err
		}
		digits, _, _ := bytes.Cut(line, []byte(";"))
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil || len(r.body)+int(size) > maxBytes {
			return nil, 0, errInvalidResponse
		}
		if size == 0 {
			break
		}
		if !r.chunk(int(size)) {
			return nil, 0, r.err
		}
	}
	for { // trailers, up to an empty line
		line, ok := r.line(0)
		if !ok {
			return nil, 0, r.err
		}
		if len(line) == 0 {
			return r.body, r.consumed, nil
		}
	}
}

// chunkReader reads the parts of a chunked body.
type chunkReader struct {
	data     []byte
	consumed int    // bytes of data that were read
	body     []byte // the chunks read so far
	framing  int    // bytes that count towards maxFramingBytes
	err      error  // nil while the part read last may still arrive
}

// line reads a line without its line break. Its bytes beyond the first free ones count as framing. It
// returns false if the line is incomplete or there is too much framing.
func (r *chunkReader) line(free int) ([]byte, bool) {
	line, _, complete := bytes.Cut(r.data[r.consumed:], []byte("\r\n"))
	if !complete {
		line = bytes.TrimSuffix(line, []byte("\r"))
	}
	framing := r.framing + max(0, len(line)-free)
	if framing > maxFramingBytes {
		r.err = errInvalidResponse
		return nil, false
	}
	if !complete {
		return nil, false
	}
	r.framing = framing
	r.consumed += len(line) + 2
	return line, true
}

// chunk appends a chunk of the given size to the body. It returns false if the chunk is incomplete or isn't
// followed by a line break.
func (r *chunkReader) chunk(size int) bool {
	end := r.consumed + size
	if len(r.data) < end+2 {
		return false
	}
	if string(r.data[end:end+2]) != "\r\n" {
		r.err = errInvalidResponse
		return false
	}
	r.body = append(r.body, r.data[r.consumed:end]...)
	r.consumed = end + 2
	return true
}

// headerValue returns the value of the first header with this name, "" if there is none.
func headerValue(headers []byte, name string) string {
	for l := range bytes.SplitSeq(headers, []byte("\r\n")) {
		n, value, ok := bytes.Cut(l, []byte(":"))
		if ok && len(n) == len(name) && bytes.EqualFold(n, []byte(name)) {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// appendRequestLine appends the request line and the Host header.
func appendRequestLine(dst []byte, method, path, host string) []byte {
	dst = append(append(append(append(dst, method...), ' '), path...), " HTTP/1.1\r\n"...)
	return appendHeader(dst, "Host", host)
}

// appendHeader appends a header. It drops control characters other than tabs, so that a value from outside
// can't start another header.
func appendHeader(dst []byte, name, value string) []byte {
	dst = append(append(dst, name...), ": "...)
	for i := range len(value) {
		if b := value[i]; b >= ' ' && b != 0x7f || b == '\t' {
			dst = append(dst, b)
		}
	}
	return append(dst, "\r\n"...)
}

// appendBody appends the end of the headers and the body. A nil body has no Content-Length.
func appendBody(dst, body []byte) []byte {
	if body != nil {
		dst = appendHeader(dst, "Content-Length", strconv.Itoa(len(body)))
	}
	return append(append(dst, "\r\n"...), body...)
}
