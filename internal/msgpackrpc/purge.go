package msgpackrpc

import (
	"bytes"
	"slices"
	"strconv"
	"time"
)

// Purge is a call to delete the retained results of the client's tenant. With an ID it asks for the status of
// the purge with that ID.
type Purge struct {
	ID           []byte
	TableGroups  []int64 // only results of these table groups; nil: all
	BeforeMillis int64   // only results retained before this Unix time in milliseconds; 0: all
	Timeout      time.Duration
}

const (
	maxPurgeTableGroups = 1024 // in one call
	maxPurgeIDBytes     = 64
)

// readPurgeCall reads a purge call, whose only parameter is a map of fields. The call is invalid if the
// timeout is missing or malformed, the list of table groups is malformed or too long, the time isn't a
// positive number, no purge can have the ID, or an ID comes with table groups or a time.
func readPurgeCall(c *cursor, messageID uint32, h Handler) func() {
	count, start := c.mapLength(), c.pos
	for n := count; n > 0 && c.err == nil; n-- {
		c.stringValue()
		c.skip(0)
	}
	fields := Fields{c.data[min(start, c.pos):c.pos], count}
	p := Purge{ID: fields.Get("id"), Timeout: parseMillis(fields.Get("patience"))}
	reject := func(why string) func() { return func() { h.Invalid(messageID, why) } }
	if p.Timeout <= 0 {
		return reject("no patience")
	}
	if text := fields.Get("tables"); text != nil {
		for t := range bytes.SplitSeq(text, []byte(",")) {
			n, err := strconv.ParseInt(string(t), 10, 64)
			if err != nil || n < 0 || len(p.TableGroups) == maxPurgeTableGroups {
				return reject("no table groups")
			}
			p.TableGroups = append(p.TableGroups, n)
		}
	}
	if text := fields.Get("before"); text != nil {
		n, err := strconv.ParseUint(string(text), 10, 63)
		if err != nil || n == 0 {
			return reject("no time before which")
		}
		p.BeforeMillis = int64(n)
	}
	isInvalidIDByte := func(b byte) bool {
		return !isLetter(b) && (b < '0' || b > '9') && b != '-' && b != '.' || b >= 0x80
	}
	switch {
	case p.ID == nil:
	case len(p.ID) == 0 || len(p.ID) > maxPurgeIDBytes || slices.ContainsFunc(p.ID, isInvalidIDByte):
		return reject("no purge has this id")
	case p.TableGroups != nil || p.BeforeMillis != 0:
		return reject("an id asks for a purge as it is: tables and before go with a new one")
	}
	return func() { h.Purge(messageID, p, fields) }
}

// AppendPurgeStatus appends the response to a purge call. Its result is an empty binary and a map of at most
// 15 pairs, each a name and a value.
func AppendPurgeStatus(dst []byte, messageID uint32, pairs ...string) []byte {
	dst = append(appendUnsigned(append(dst, 0x94, 1), messageID), 0xc0, 0x92)
	dst = append(appendBinaryHeader(dst, 0), 0x80|byte(len(pairs)/2))
	for _, s := range pairs {
		dst = appendString(dst, s)
	}
	return dst
}
