package msgpackrpc

import (
	"bytes"
	"strconv"
)

// NoTables stands for a statement that names no table group.
const NoTableGroup = -1

// Tables is the group of tables that a statement reads or writes: the number
// behind the last underscore of its schema's name. Names inside strings and
// comments are none, and neither is the schema staging, which has no number.
func TableGroup(statement []byte) int64 {
	s := scanner{p: statement}
	found := int64(NoTableGroup)
	var before, name []byte // the two words before a mark, nil for anything else
	for {
		word, kind := s.next()
		if kind == 0 {
			return found
		}
		if n := number(name); kind == '.' && n != NoTableGroup {
			if opens(before) {
				return n
			}
			if found == NoTableGroup {
				found = n // an alias may look like a schema: only if no table says more
			}
		}
		if kind != 'a' && kind != '"' {
			word = nil
		}
		before, name = name, word
	}
}

// opens: the word stands before the name of a table.
func opens(word []byte) bool {
	switch string(bytes.ToLower(word)) {
	case "from", "join", "into", "update", "table", "using", "only", "copy", "merge":
		return true
	}
	return false
}

func number(schema []byte) int64 {
	at := bytes.LastIndexByte(schema, '_')
	if at <= 0 || at+1 == len(schema) {
		return NoTableGroup
	}
	for _, b := range schema[at+1:] {
		if b < '0' || b > '9' {
			return NoTableGroup
		}
	}
	n, err := strconv.ParseInt(string(schema[at+1:]), 10, 64)
	if err != nil {
		return NoTableGroup
	}
	return n
}

type scanner struct {
	p  []byte
	at int
}

// next gives a word and its kind: 'a' a bare name, '"' a quoted one, 0 the end,
// '0' a number, else the mark itself, which a string's quote is too.
func (s *scanner) next() (word []byte, kind byte) {
	for s.at < len(s.p) {
		b := s.p[s.at]
		rest := s.p[s.at:]
		switch {
		case b == ' ' || b == '\t' || b == '\n' || b == '\r' || b == '\f' || b == '\v':
			s.at++
		case bytes.HasPrefix(rest, []byte("--")):
			if end := bytes.IndexByte(rest, '\n'); end >= 0 {
				s.at += end
			} else {
				s.at = len(s.p)
			}
		case bytes.HasPrefix(rest, []byte("/*")):
			s.comment()
		case b == '\'' || b == '"':
			return s.quoted(b), b
		case letter(b):
			from := s.at
			for s.at < len(s.p) && (letter(s.p[s.at]) || s.p[s.at] >= '0' && s.p[s.at] <= '9' || s.p[s.at] == '$') {
				s.at++
			}
			return s.p[from:s.at], 'a'
		case b >= '0' && b <= '9':
			for s.at < len(s.p) && (letter(s.p[s.at]) || s.p[s.at] >= '0' && s.p[s.at] <= '9' || s.p[s.at] == '.') {
				s.at++
			}
			return nil, '0'
		default:
			s.at++
			return nil, b
		}
	}
	return nil, 0
}

func letter(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '_' || b >= 0x80
}

// comment passes over a block comment; they nest.
func (s *scanner) comment() {
	for deep := 0; s.at < len(s.p); {
		switch rest := s.p[s.at:]; {
		case bytes.HasPrefix(rest, []byte("/*")):
			deep++
			s.at += 2
		case bytes.HasPrefix(rest, []byte("*/")):
			s.at += 2
			if deep--; deep == 0 {
				return
			}
		default:
			s.at++
		}
	}
}

// quoted reads up to the closing quote; a doubled one stands for itself.
func (s *scanner) quoted(q byte) (word []byte) {
	for s.at++; s.at < len(s.p); s.at++ {
		if s.p[s.at] == q {
			if s.at+1 == len(s.p) || s.p[s.at+1] != q {
				s.at++
				return word
			}
			s.at++
		}
		word = append(word, s.p[s.at])
	}
	return word
}
