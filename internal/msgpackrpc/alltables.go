package msgpackrpc

import (
	"bytes"
	"slices"
	"strings"
)

// TableGroups returns all table groups that a statement reads and writes, sorted. known is false if the
// lists may be incomplete: the statement names a table without a schema that it doesn't define itself, a
// schema without a number or a table function, or it writes to the schema staging. A table read from staging
// belongs to no table group. A name that only looks like a table's may be included, but no table is left out
// while known is true.
func TableGroups(statement []byte) (read, written []int64, known bool) {
	f := tableFinder{scanner: scanner{text: statement}, known: true}
	for f.advance(); f.kind != 0; {
		f.consume()
	}
	f.endStatement()
	for _, x := range f.possibleTables {
		if !slices.Contains(f.aliases, x.alias) {
			f.read = append(f.read, x.group)
		}
	}
	return sortUnique(f.read), sortUnique(f.written), f.known
}

func sortUnique(l []int64) []int64 {
	slices.Sort(l)
	return slices.Compact(l)
}

// What the next name is.
const (
	expectNothing = iota
	expectRead
	expectWrite
)

// bracketLevel is the parser state within one pair of brackets.
type bracketLevel struct {
	expected           int  // what the next name is
	expectedAfterComma int  // what the name after the next comma is
	aliasMayFollow     bool // the next name may be the alias of the preceding table
	fromNamesNoTable   bool // FROM belongs to a function, as in extract(year from day)
}

// tableFinder collects the table groups of a statement in one pass, looking at one token at a time.
type tableFinder struct {
	scanner
	word               []byte
	kind               byte
	lowerWord          string // the current token in lower case, "" for a quoted name
	previousWord       string // lowerWord of the previous token
	wordBeforePrevious string // lowerWord of the token before previousWord

	outerLevels    []bracketLevel // of the enclosing brackets, outermost first
	bracketLevel                  // of the innermost open bracket
	unqualified    []string       // tables read without a schema
	commonTables   []string       // defined by the statement: with x as (...)
	aliases        []string
	possibleTables []possibleTable

	read, written []int64
	known         bool
}

// possibleTable is a qualified name with a table group's number where no table was expected. It counts as
// read unless its first part is an alias.
type possibleTable struct {
	alias string
	group int64
}

// advance reads the next token.
func (f *tableFinder) advance() {
	f.wordBeforePrevious, f.previousWord = f.previousWord, f.lowerWord
	f.word, f.kind = f.next()
	f.lowerWord = ""
	if f.kind == 'a' {
		f.lowerWord = strings.ToLower(string(f.word))
	} else if f.kind != '"' {
		f.lowerWord = string(rune(f.kind))
	}
}

// consume handles one token, or a name with all its parts.
func (f *tableFinder) consume() {
	switch {
	case f.kind == '(':
		f.openBracket()
	case f.kind == ')':
		f.endTableSearch()
		if n := len(f.outerLevels); n > 0 {
			f.bracketLevel, f.outerLevels = f.outerLevels[n-1], f.outerLevels[:n-1]
		}
		f.aliasMayFollow = true // (select ...) x
		f.advance()
	case f.kind == ',':
		f.endTableSearch()
		f.expected, f.aliasMayFollow = f.expectedAfterComma, false
		f.advance()
	case f.kind == ';':
		f.endStatement()
		f.advance()
	case f.kind == 'a' && f.expected == expectNothing && f.consumeKeyword(),
		f.kind == 'a' && f.expected != expectNothing && f.skipBeforeTable():
		f.advance()
	case f.kind == 'a' || f.kind == '"':
		f.readName()
	default:
		if f.kind != '\'' || f.expected != expectRead { // copy ... from 'a file'
			f.endTableSearch()
		}
		f.expected, f.aliasMayFollow = expectNothing, false
		f.advance()
	}
}

// endTableSearch marks the result incomplete if a table name was expected but not found.
func (f *tableFinder) endTableSearch() {
	if f.expected != expectNothing {
		f.known = false
	}
	f.expected = expectNothing
}

// openBracket enters a bracket. Where a table is expected, the bracket holds a subquery or joined tables.
func (f *tableFinder) openBracket() {
	inner := bracketLevel{expected: f.expected, expectedAfterComma: f.expected}
	if f.previousWord == "using" || f.expected == expectWrite {
		inner = bracketLevel{} // column names, or the query whose result COPY writes out
	}
	switch f.previousWord {
	case "extract", "substring", "trim", "overlay", "position":
		inner.fromNamesNoTable = true
	}
	f.expected, f.aliasMayFollow = expectNothing, false
	f.outerLevels = append(f.outerLevels, f.bracketLevel)
	f.bracketLevel = inner
	f.advance()
	switch f.lowerWord {
	case "select", "values", "with", "(":
		if f.lowerWord != "(" {
			f.expected, f.expectedAfterComma = expectNothing, expectNothing
		}
	}
}

// consumeKeyword handles the current word if it is a keyword, and reports whether it is.
func (f *tableFinder) consumeKeyword() bool {
	switch f.lowerWord {
	case "from":
		if f.fromNamesNoTable || f.previousWord == "distinct" &&
			(f.wordBeforePrevious == "is" || f.wordBeforePrevious == "not") {
			return true
		}
		f.expected, f.expectedAfterComma = expectRead, expectRead
	case "join", "using":
		f.expected = expectRead
	case "into", "update", "table", "copy", "merge", "view", "insert", "truncate", "overwrite":
		if f.lowerWord == "update" && (f.previousWord == "for" || f.previousWord == "do" ||
			f.previousWord == "then" || f.wordBeforePrevious == "for") {
			return true // for update, for no key update, on conflict do update, when matched then update
		}
		if f.lowerWord == "insert" && f.previousWord == "then" || f.lowerWord == "view" && f.previousWord == "." {
			return true
		}
		f.expected, f.expectedAfterComma = expectWrite, expectNothing
	case "where", "group", "order", "having", "limit", "window", "union", "intersect", "except",
		"returning", "set",
		"values", "select", "offset", "fetch", "for", "when":
		f.expectedAfterComma = expectNothing
	case "on", "as", "left", "right", "full", "inner", "outer", "cross", "natural", "and", "or", "with",
		"recursive":
		if f.lowerWord == "as" {
			return true // an alias may still follow
		}
	default:
		return false
	}
	f.aliasMayFollow = false
	return true
}

// skipBeforeTable reports whether the current word stands between a keyword and the name of a table, or
// shows that no table's name follows the keyword. In the second case it stops expecting one.
func (f *tableFinder) skipBeforeTable() bool {
	switch f.lowerWord {
	case "only", "lateral", "if", "not", "exists", "table", "into", "overwrite", "materialized":
		return true
	case "select", "values", "set": // using (select ...), do update set, copy select
		f.expected = expectNothing
		return true
	case "stdin", "stdout":
		f.expected = expectNothing
		return true
	}
	return false
}

// readName reads a name with all its parts, and records the table group if it is a table.
func (f *tableFinder) readName() {
	parts := [][]byte{f.word}
	quoted := f.kind == '"'
	f.advance()
	for f.kind == '.' {
		if f.advance(); f.kind != 'a' && f.kind != '"' {
			break
		}
		parts = append(parts, f.word)
		f.advance()
	}
	first := strings.ToLower(string(parts[0]))
	group, staging := int64(NoTableGroup), false
	for _, p := range parts[:len(parts)-1] {
		if n := tableGroupNumber(p); n != NoTableGroup {
			group = n
		}
		staging = staging || bytes.EqualFold(p, []byte("staging"))
	}
	expected := f.expected
	f.expected = expectNothing
	switch {
	case expected == expectNothing && len(parts) == 1:
		if f.aliasMayFollow {
			f.aliases = append(f.aliases, first)
		}
		f.aliasMayFollow = false
		if f.lowerWord == "as" && !quoted { // with x as (
			lookahead := *f
			lookahead.advance()
			if lookahead.lowerWord == "not" || lookahead.lowerWord == "materialized" {
				lookahead.advance()
			}
			if lookahead.lowerWord == "materialized" {
				lookahead.advance()
			}
			if lookahead.kind == '(' {
				f.commonTables = append(f.commonTables, first)
			}
		}
		return
	case expected == expectNothing:
		if f.aliasMayFollow = false; group != NoTableGroup {
			f.possibleTables = append(f.possibleTables, possibleTable{first, group})
		}
		return
	case expected == expectWrite && group != NoTableGroup:
		f.written = append(f.written, group)
	case expected == expectWrite:
		f.known = false
	case group != NoTableGroup:
		f.read = append(f.read, group)
	case staging:
	case len(parts) == 1 && f.kind != '(':
		f.unqualified = append(f.unqualified, first) // checked at the end of the statement
	default:
		f.known = false
	}
	if expected == expectRead && f.kind == '(' {
		f.known = false // a function may read any table
	}
	f.aliasMayFollow = true
}

// endStatement marks the result incomplete if an unqualified table is no common table of the statement.
func (f *tableFinder) endStatement() {
	f.endTableSearch()
	for _, name := range f.unqualified {
		if !slices.Contains(f.commonTables, name) {
			f.known = false
		}
	}
	f.unqualified, f.commonTables, f.outerLevels, f.bracketLevel = nil, nil, nil, bracketLevel{}
}
