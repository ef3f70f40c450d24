package msgpackrpc

import (
	"bytes"
	"slices"
	"strings"
)

// AllTables is every group of tables that a statement reads and writes, each sorted,
// for whoever must know them all. known is false if any of it can't be told: a table
// without a schema, one of a schema without a number, a function in a table's place,
// or staging written to, which no number follows. What staging holds is of no group.
// A name of the form that stands for no table may be taken for one, never the other
// way round.
func TableGroups(statement []byte) (read, written []int64, known bool) {
	f := finder{scanner: scanner{p: statement}, known: true}
	for f.token(); f.kind != 0; {
		f.take()
	}
	f.endStatement()
	for _, x := range f.stray {
		if !slices.Contains(f.aliases, x.alias) {
			f.read = append(f.read, x.table)
		}
	}
	return tidy(f.read), tidy(f.written), f.known
}

func tidy(l []int64) []int64 {
	slices.Sort(l)
	return slices.Compact(l)
}

// What a name at a place is.
const (
	nothing = iota
	reads
	writes
)

// level is what is known inside one pair of brackets.
type level struct {
	wants  int  // the next name is a table that is read or written
	list   int  // a comma brings another such
	naming bool // what follows may be the alias of the table just named
	inside bool // of a function whose from names no table, as in extract(year from day)
}

// finder goes through a statement once, with one token of it in hand.
type finder struct {
	scanner
	word  []byte
	kind  byte
	lower string // the word in small letters, "" if it is quoted or none
	last  string // the one before
	older string // and the one before that

	levels  []level // of the brackets open, outermost first
	level           // the innermost
	bare    []string
	views   []string // that the statement itself defines: with x as (...)
	aliases []string
	stray   []stray

	read, written []int64
	known         bool
}

// stray is a name of a schema's form where no table was looked for.
type stray struct {
	alias string
	table int64
}

func (f *finder) token() {
	f.older, f.last = f.last, f.lower
	f.word, f.kind = f.next()
	f.lower = ""
	if f.kind == 'a' {
		f.lower = strings.ToLower(string(f.word))
	} else if f.kind != '"' {
		f.lower = string(rune(f.kind))
	}
}

// take takes one token, or a whole name.
func (f *finder) take() {
	switch {
	case f.kind == '(':
		f.opens()
	case f.kind == ')':
		f.unsettled()
		if n := len(f.levels); n > 0 {
			f.level, f.levels = f.levels[n-1], f.levels[:n-1]
		}
		f.naming = true // (select ...) x
		f.token()
	case f.kind == ',':
		f.unsettled()
		f.wants, f.naming = f.list, false
		f.token()
	case f.kind == ';':
		f.endStatement()
		f.token()
	case f.kind == 'a' && f.wants == nothing && f.keyword(), f.kind == 'a' && f.wants != nothing && f.passes():
		f.token()
	case f.kind == 'a' || f.kind == '"':
		f.name()
	default:
		if f.kind != '\'' || f.wants != reads { // copy ... from 'a file'
			f.unsettled()
		}
		f.wants, f.naming = nothing, false
		f.token()
	}
}

// unsettled: a table was looked for, and there is none to be read.
func (f *finder) unsettled() {
	if f.wants != nothing {
		f.known = false
	}
	f.wants = nothing
}

// opens goes into brackets. Where a table is looked for they hold a select, or tables joined.
func (f *finder) opens() {
	in := level{wants: f.wants, list: f.wants}
	if f.last == "using" || f.wants == writes {
		in = level{} // columns, or what a copy writes out
	}
	switch f.last {
	case "extract", "substring", "trim", "overlay", "position":
		in.inside = true
	}
	f.wants, f.naming = nothing, false
	f.levels = append(f.levels, f.level)
	f.level = in
	f.token()
	switch f.lower {
	case "select", "values", "with", "(":
		if f.lower != "(" {
			f.wants, f.list = nothing, nothing
		}
	}
}

// keyword: the word at hand isn't a name, and tells what follows.
func (f *finder) keyword() bool {
	switch f.lower {
	case "from":
		if f.inside || f.last == "distinct" && (f.older == "is" || f.older == "not") {
			return true
		}
		f.wants, f.list = reads, reads
	case "join", "using":
		f.wants = reads
	case "into", "update", "table", "copy", "merge", "view", "insert", "truncate", "overwrite":
		if f.lower == "update" && (f.last == "for" || f.last == "do" || f.last == "then" || f.older == "for") {
			return true // for update, for no key update, on conflict do update, when matched then update
		}
		if f.lower == "insert" && f.last == "then" || f.lower == "view" && f.last == "." {
			return true
		}
		f.wants, f.list = writes, nothing
	case "where", "group", "order", "having", "limit", "window", "union", "intersect", "except", "returning", "set",
		"values", "select", "offset", "fetch", "for", "when":
		f.list = nothing
	case "on", "as", "left", "right", "full", "inner", "outer", "cross", "natural", "and", "or", "with", "recursive":
		if f.lower == "as" {
			return true // an alias follows still
		}
	default:
		return false
	}
	f.naming = false
	return true
}

// passes: the word at hand stands between a keyword and the table's name.
func (f *finder) passes() bool {
	switch f.lower {
	case "only", "lateral", "if", "not", "exists", "table", "into", "overwrite", "materialized":
		return true
	case "select", "values", "set": // using (select ...), do update set, copy select
		f.wants = nothing
		return true
	case "stdin", "stdout":
		f.wants = nothing
		return true
	}
	return false
}

// name reads a name of one or several parts and what it stands for.
func (f *finder) name() {
	parts := [][]byte{f.word}
	quoted := f.kind == '"'
	f.token()
	for f.kind == '.' {
		if f.token(); f.kind != 'a' && f.kind != '"' {
			break
		}
		parts = append(parts, f.word)
		f.token()
	}
	first := strings.ToLower(string(parts[0]))
	table, staging := int64(NoTableGroup), false
	for _, p := range parts[:len(parts)-1] {
		if n := number(p); n != NoTableGroup {
			table = n
		}
		staging = staging || bytes.EqualFold(p, []byte("staging"))
	}
	wants := f.wants
	f.wants = nothing
	switch {
	case wants == nothing && len(parts) == 1:
		if f.naming {
			f.aliases = append(f.aliases, first)
		}
		f.naming = false
		if f.lower == "as" && !quoted { // with x as (
			at := *f
			at.token()
			if at.lower == "not" || at.lower == "materialized" {
				at.token()
			}
			if at.lower == "materialized" {
				at.token()
			}
			if at.kind == '(' {
				f.views = append(f.views, first)
			}
		}
		return
	case wants == nothing:
		if f.naming = false; table != NoTableGroup {
			f.stray = append(f.stray, stray{first, table})
		}
		return
	case wants == writes && table != NoTableGroup:
		f.written = append(f.written, table)
	case wants == writes:
		f.known = false
	case table != NoTableGroup:
		f.read = append(f.read, table)
	case staging:
	case len(parts) == 1 && f.kind != '(':
		f.bare = append(f.bare, first) // one that the statement defines, or it can't be told
	default:
		f.known = false
	}
	if wants == reads && f.kind == '(' {
		f.known = false // a function may read anything
	}
	f.naming = true
}

// endStatement looks up names that only the statement itself could define.
func (f *finder) endStatement() {
	f.unsettled()
	for _, b := range f.bare {
		if !slices.Contains(f.views, b) {
			f.known = false
		}
	}
	f.bare, f.views, f.levels, f.level = nil, nil, nil, level{}
}
