// Package enginehttp reads and writes what engines speak, HTTP/1.1 with one call
// at a time on a connection, over bytes only.
package enginehttp

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

var errForm = errors.New("not an answer of HTTP/1.1")

// headMost bounds what stands before a body.
const headMost = 16 << 10

// Read reads the first answer if all of it is there: how many bytes it took (0
// while it isn't), and whether the connection may carry another call. An error
// means that the connection can't be read any further.
func Read(p []byte, most int, hear func(status int, field func(string) string, body []byte)) (int, bool, error) {
	end := bytes.Index(p, []byte("\r\n\r\n"))
	if end < 0 {
		if len(p) > headMost {
			return 0, false, errForm
		}
		return 0, false, nil
	}
	line, head, _ := bytes.Cut(p[:end], []byte("\r\n"))
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return 0, false, errForm
	}
	status, err := strconv.Atoi(string(line[9:12]))
	if err != nil || status < 100 {
		return 0, false, errForm
	}
	for l := range bytes.SplitSeq(head, []byte("\r\n")) {
		if len(head) > 0 && bytes.IndexByte(l, ':') <= 0 {
			return 0, false, errForm
		}
	}
	field := func(name string) string { return lookup(head, name) }
	length := 0
	body, took := []byte(nil), end+4
	if l := field("Transfer-Encoding"); l != "" {
		if !strings.EqualFold(l, "chunked") {
			return 0, false, errForm
		}
		if body, length, err = chunks(p[took:], most); err != nil || length == 0 {
			return 0, false, err
		}
	} else if l := field("Content-Length"); l != "" {
		if length, err = strconv.Atoi(l); err != nil || length < 0 || length > most {
			return 0, false, errForm
		}
	} else if status != 204 && status != 304 && status >= 200 {
		// an answer that only its connection's end would close can't be told
		// from one cut short
		return 0, false, errForm
	}
	if took += length; len(p) < took {
		return 0, false, nil
	}
	if body == nil {
		body = p[end+4 : took]
	}
	if status < 200 {
		return took, true, nil // an interim answer; the one meant follows
	}
	keep := line[7] == '1' && !bytes.EqualFold([]byte(field("Connection")), []byte("close"))
	hear(status, field, body)
	return took, keep, nil
}

// chunks joins a body that comes in pieces, and says how many bytes those took:
// 0 while they aren't all there.
func chunks(p []byte, most int) (body []byte, took int, err error) {
	body = []byte{}
	for {
		line, _, ok := bytes.Cut(p[took:], []byte("\r\n"))
		if !ok {
			if len(p)-took > headMost {
				return nil, 0, errForm
			}
			return nil, 0, nil
		}
		took += len(line) + 2
		digits, _, _ := bytes.Cut(line, []byte(";"))
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil || len(body)+int(size) > most {
			return nil, 0, errForm
		}
		if size == 0 {
			break
		}
		if len(p)-took < int(size)+2 {
			return nil, 0, nil
		}
		body = append(body, p[took:took+int(size)]...)
		if took += int(size) + 2; string(p[took-2:took]) != "\r\n" {
			return nil, 0, errForm
		}
	}
	for { // what may follow the last piece, up to an empty line
		line, _, ok := bytes.Cut(p[took:], []byte("\r\n"))
		if !ok {
			return nil, 0, nil
		}
		if took += len(line) + 2; len(line) == 0 {
			return body, took, nil
		}
	}
}

// lookup finds a field's value, "" if there is none.
func lookup(head []byte, name string) string {
	for l := range bytes.SplitSeq(head, []byte("\r\n")) {
		n, value, ok := bytes.Cut(l, []byte(":"))
		if ok && len(n) == len(name) && bytes.EqualFold(n, []byte(name)) {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

func start(dst []byte, method, path, host string) []byte {
	dst = append(append(append(append(dst, method...), ' '), path...), " HTTP/1.1\r\n"...)
	return put(dst, "Host", host)
}

// put writes a field. Values come from outside: what would end the line is
// left out, so that none can start another.
func put(dst []byte, name, value string) []byte {
	dst = append(append(dst, name...), ": "...)
	for i := range len(value) {
		if b := value[i]; b >= ' ' && b != 0x7f || b == '\t' {
			dst = append(dst, b)
		}
	}
	return append(dst, "\r\n"...)
}

func finish(dst, body []byte) []byte {
	if body != nil {
		dst = put(dst, "Content-Length", strconv.Itoa(len(body)))
	}
	return append(append(dst, "\r\n"...), body...)
}
