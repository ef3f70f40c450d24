package msgpackrpc

import (
	"bytes"
	"slices"
	"strconv"
	"time"
)

// Purge is a call to have what is kept of a team go: what was kept of some groups of
// tables (none: of all), before a time on the wall in milliseconds since 1970 (0: whenever).
// With an ID it asks how far that purge has come.
type Purge struct {
	ID           []byte
	TableGroups  []int64
	BeforeMillis int64
	Timeout      time.Duration
}

const (
	purgeTables = 1024 // groups that one call names at the most
	purgeName   = 64   // bytes of an id
)

func purge(c *cursor, msg uint32, h Handler) func() {
	count, from := c.fields(), c.at
	for n := count; n > 0 && c.err == nil; n-- {
		c.str()
		c.skip(0)
	}
	all := Fields{c.p[min(from, c.at):c.at], count}
	p := Purge{ID: all.Get("id"), Timeout: span(all.Get("patience"))}
	wrong := func(why string) func() { return func() { h.Invalid(msg, why) } }
	if p.Timeout <= 0 {
		return wrong("no patience")
	}
	if text := all.Get("tables"); text != nil {
		for t := range bytes.SplitSeq(text, []byte(",")) {
			n, err := strconv.ParseInt(string(t), 10, 64)
			if err != nil || n < 0 || len(p.TableGroups) == purgeTables {
				return wrong("no table groups")
			}
			p.TableGroups = append(p.TableGroups, n)
		}
	}
	if text := all.Get("before"); text != nil {
		n, err := strconv.ParseUint(string(text), 10, 63)
		if err != nil || n == 0 {
			return wrong("no time before which")
		}
		p.BeforeMillis = int64(n)
	}
	odd := func(b byte) bool { return !letter(b) && (b < '0' || b > '9') && b != '-' && b != '.' || b >= 0x80 }
	switch {
	case p.ID == nil:
	case len(p.ID) == 0 || len(p.ID) > purgeName || slices.ContainsFunc(p.ID, odd):
		return wrong("no purge has this id")
	case p.TableGroups != nil || p.BeforeMillis != 0:
		return wrong("an id asks for a purge as it is: tables and before go with a new one")
	}
	return func() { h.Purge(msg, p, all) }
}

// Purged writes what is told of a purge: pairs of names and values, up to 15.
func AppendPurgeStatus(dst []byte, msg uint32, pairs ...string) []byte {
	dst = append(appendWhole(append(dst, 0x94, 1), msg), 0xc0, 0x92)
	dst = append(appendBinHead(dst, 0), 0x80|byte(len(pairs)/2))
	for _, s := range pairs {
		dst = appendStr(dst, s)
	}
	return dst
}
