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

// maxHeaderBytes limits how many bytes may arrive without the end of the headers, or of a chunk's size line.
// Longer headers are accepted if their end has arrived, too. Trailers have no limit.
const maxHeaderBytes = 16 << 10

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
// incomplete.
func readChunkedBody(data []byte, maxBytes int) (body []byte, consumed int, err error) {
	body = []byte{}
	for {
		line, _, ok := bytes.Cut(data[consumed:], []byte("\r\n"))
		if !ok {
			if len(data)-consumed > maxHeaderBytes {
				return nil, 0, errInvalidResponse
			}
			return nil, 0, nil
		}
		consumed += len(line) + 2
		digits, _, _ := bytes.Cut(line, []byte(";"))
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil || len(body)+int(size) > maxBytes {
			return nil, 0, errInvalidResponse
		}
		if size == 0 {
			break
		}
		if len(data)-consumed < int(size)+2 {
			return nil, 0, nil
		}
		body = append(body, data[consumed:consumed+int(size)]...)
		if consumed += int(size) + 2; string(data[consumed-2:consumed]) != "\r\n" {
			return nil, 0, errInvalidResponse
		}
	}
	for { // trailers, up to an empty line
		line, _, ok := bytes.Cut(data[consumed:], []byte("\r\n"))
		if !ok {
			return nil, 0, nil
		}
		if consumed += len(line) + 2; len(line) == 0 {
			return body, consumed, nil
		}
	}
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
