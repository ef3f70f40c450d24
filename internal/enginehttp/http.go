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
	statusLine, headers, _ := bytes.Cut(data[:end], []byte("\r\n"))
	if len(statusLine) < 12 || !bytes.HasPrefix(statusLine, []byte("HTTP/1.")) || statusLine[8] != ' ' ||
		len(statusLine) > 12 && statusLine[12] != ' ' {
		return 0, false, errInvalidResponse
	}
	status, err := strconv.Atoi(string(statusLine[9:12]))
	if err != nil || status < 100 {
		return 0, false, errInvalidResponse
	}
	for l := range bytes.SplitSeq(headers, []byte("\r\n")) {
		if len(headers) > 0 && bytes.IndexByte(l, ':') <= 0 {
			return 0, false, errInvalidResponse
		}
	}
	field := func(name string) string { return headerValue(headers, name) }
	length := 0
	body, consumed := []byte(nil), end+4
	if l := field("Transfer-Encoding"); l != "" {
		if !strings.EqualFold(l, "chunked") {
			return 0, false, errInvalidResponse
		}
		if body, length, err = readChunkedBody(data[consumed:], maxBytes); err != nil || length == 0 {
			return 0, false, err
		}
	} else if l := field("Content-Length"); l != "" {
		if length, err = strconv.Atoi(l); err != nil || length < 0 || length > maxBytes {
			return 0, false, errInvalidResponse
		}
	} else if status != 204 && status != 304 && status >= 200 {
		// A body that ends with the connection can't be told from a truncated one.
		return 0, false, errInvalidResponse
	}
	if consumed += length; len(data) < consumed {
		return 0, false, nil
	}
	if body == nil {
		body = data[end+4 : consumed]
	}
	if status < 200 {
		return consumed, true, nil // an interim response; the final one follows
	}
	keepAlive := statusLine[7] == '1' && !bytes.EqualFold([]byte(field("Connection")), []byte("close"))
	handle(status, field, body)
	return consumed, keepAlive, nil
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
