package msgpackrpc

import (
	"bytes"
	"strconv"
)

// NoTableGroup is the result for a statement that names no table group.
const NoTableGroup = -1

// TableGroup returns the table group of the first table that a statement names: the number after the last
// underscore of the table's schema. It ignores strings and comments. The schema staging has no number, so
// it belongs to no table group.
func TableGroup(statement []byte) int64 {
	s := scanner{text: statement}
	candidate := int64(NoTableGroup)
	var previous, name []byte // the two tokens before the current one, nil unless they are words
	for {
		word, kind := s.next()
		if kind == 0 {
			return candidate
		}
		if n := tableGroupNumber(name); kind == '.' && n != NoTableGroup {
			if precedesTable(previous) {
				return n
			}
			if candidate == NoTableGroup {
				// The name may be a table alias that also ends in an underscore and a number. The number
				// is used only if the statement has no such name after a keyword like FROM.
				candidate = n
			}
		}
		if kind != 'a' && kind != '"' {
			word = nil
		}
		previous, name = name, word
	}
}

// precedesTable reports whether a table name follows the word.
func precedesTable(word []byte) bool {
	switch string(bytes.ToLower(word)) {
	case "from", "join", "into", "update", "table", "using", "only", "copy", "merge":
		return true
	}
	return false
}

// tableGroupNumber returns the number after the last underscore of a schema name, or NoTableGroup.
func tableGroupNumber(schema []byte) int64 {
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

// scanner splits an SQL statement into tokens.
type scanner struct {
	text []byte
	pos  int
}

// next returns the next token and its kind: 'a' for an unquoted name or keyword, a double quote for a quoted
// name, a single quote for a string, '0' for a number, 0 at the end of the statement, and otherwise the
// character itself.
func (s *scanner) next() (word []byte, kind byte) {
	for s.pos < len(s.text) {
		b := s.text[s.pos]
		rest := s.text[s.pos:]
		switch {
		case b == ' ' || b == '\t' || b == '\n' || b == '\r' || b == '\f' || b == '\v':
			s.pos++
		case bytes.HasPrefix(rest, []byte("--")):
			if end := bytes.IndexByte(rest, '\n'); end >= 0 {
				s.pos += end
			} else {
				s.pos = len(s.text)
			}
		case bytes.HasPrefix(rest, []byte("/*")):
			s.skipBlockComment()
		case b == '\'' || b == '"':
			return s.readQuoted(b), b
		case isLetter(b):
			from := s.pos
			for s.pos < len(s.text) && (isLetter(s.text[s.pos]) ||
				s.text[s.pos] >= '0' && s.text[s.pos] <= '9' || s.text[s.pos] == '$') {
				s.pos++
			}
			return s.text[from:s.pos], 'a'
		case b >= '0' && b <= '9':
			for s.pos < len(s.text) && (isLetter(s.text[s.pos]) ||
				s.text[s.pos] >= '0' && s.text[s.pos] <= '9' || s.text[s.pos] == '.') {
				s.pos++
			}
			return nil, '0'
		default:
			s.pos++
			return nil, b
		}
	}
	return nil, 0
}

func isLetter(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '_' || b >= 0x80
}

// skipBlockComment skips a block comment. Block comments may be nested.
func (s *scanner) skipBlockComment() {
	for depth := 0; s.pos < len(s.text); {
		switch rest := s.text[s.pos:]; {
		case bytes.HasPrefix(rest, []byte("/*")):
			depth++
			s.pos += 2
		case bytes.HasPrefix(rest, []byte("*/")):
			s.pos += 2
			if depth--; depth == 0 {
				return
			}
		default:
			s.pos++
		}
	}
}

// readQuoted reads up to the closing quote. A doubled quote stands for one quote character.
func (s *scanner) readQuoted(quote byte) (word []byte) {
	for s.pos++; s.pos < len(s.text); s.pos++ {
		if s.text[s.pos] == quote {
			if s.pos+1 == len(s.text) || s.text[s.pos+1] != quote {
				s.pos++
				return word
			}
			s.pos++
		}
		word = append(word, s.text[s.pos])
	}
	return word
}
