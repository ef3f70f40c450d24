package resultstore

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// A segment is a head and records, one behind another:
//
//	head    "rrspool1", the segment's number (8 bytes, little endian like all)
//	record  length of the body (4), kind (1), 3 bytes of nothing, result (8),
//	        page (4), sum (8), body
//
// The sum is XXH64 over the segment's number, the record's fields before it and
// the body: a record copied to another place, or left over from an older file, is
// no record there.

// Kind is what a record tells.
type RecordKind uint8

const (
	PageRecord      RecordKind = 1 + iota // rows of a result
	CommitRecord                          // a result is whole and was promised: its body is a Meta
	TombstoneRecord                       // a result is no more
)

const (
	magic      = "rrspool1"
	headSize   = 16
	recordHead = 28
	// BodyMost bounds a record's body, in bytes.
	MaxBodyBytes = 64 << 20
)

// Record is one as written.
type Record struct {
	Kind   RecordKind
	Result uint64
	Page   uint32
	Body   []byte
}

// errTorn: the file ends within a record. errSpoilt: what is there is no record.
var (
	errTorn   = errors.New("the record isn't all there")
	errSpoilt = errors.New("the record's sum is not that of what it holds")
)

func (r *Record) size() int64 { return recordHead + int64(len(r.Body)) }

// appendRecord writes a record as it stands in a segment.
func appendRecord(dst []byte, segment uint64, r *Record) []byte {
	at := len(dst)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(r.Body)))
	dst = append(dst, byte(r.Kind), 0, 0, 0)
	dst = binary.LittleEndian.AppendUint64(dst, r.Result)
	dst = binary.LittleEndian.AppendUint32(dst, r.Page)
	dst = binary.LittleEndian.AppendUint64(dst, sum(segment, dst[at:at+recordHead-8], r.Body))
	return append(dst, r.Body...)
}

func sum(segment uint64, head, body []byte) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(segment)
	d.Write(head)
	d.Write(body)
	return d.Sum64()
}

// readRecord reads the record at the front of p. It says how many bytes it took.
func readRecord(p []byte, segment uint64) (r Record, n int, err error) {
	if len(p) < recordHead {
		return r, 0, errTorn
	}
	length := binary.LittleEndian.Uint32(p)
	r = Record{Kind: RecordKind(p[4]), Result: binary.LittleEndian.Uint64(p[8:]), Page: binary.LittleEndian.Uint32(p[16:])}
	if length > MaxBodyBytes || r.Kind < PageRecord || r.Kind > TombstoneRecord || p[5]|p[6]|p[7] != 0 {
		return r, 0, errSpoilt
	}
	n = recordHead + int(length)
	if len(p) < n {
		return r, 0, errTorn
	}
	r.Body = p[recordHead:n]
	if sum(segment, p[:recordHead-8], r.Body) != binary.LittleEndian.Uint64(p[20:]) {
		return r, 0, errSpoilt
	}
	return r, n, nil
}

func segmentHead(segment uint64) []byte {
	return binary.LittleEndian.AppendUint64([]byte(magic), segment)
}

// place is where a record stands.
type place struct {
	segment uint64
	offset  int64
	size    uint32 // of its body
}

// Meta is a result that was promised.
type Meta struct {
	Result  uint64
	QueryID string // its trace
	Tenant  string
	// Made and Ends are in milliseconds since 1970, as the clock on the wall had it.
	CreatedMillis, ExpiresMillis int64
	// Index is of the fleet's record when its query was taken, Tables the groups of tables
	// that it reads; none: it can't be told. Owner is whose it is where the team doesn't
	// tell. What older programs wrote has none of these.
	FleetIndex  uint64
	TableGroups []int64
	Owner       string
	PageRows    []uint32 // by page
	PageBytes   []uint32 // by page
	places      []place
	at          place // of its own record
}

// Size is all its pages hold, in bytes.
func (m *Meta) TotalBytes() (sum int64) {
	for _, n := range m.PageBytes {
		sum += int64(n)
	}
	return sum
}

// Count is all its rows.
func (m *Meta) RowCount() (sum int64) {
	for _, n := range m.PageRows {
		sum += int64(n)
	}
	return sum
}

const (
	textMost  = 1 << 10 // of a query or team
	pagesMost = 1 << 24
	// tablesMost is of groups of tables that one result is told to read.
	tablesMost = 1 << 12
)

func (m *Meta) encode() []byte {
	p := binary.AppendUvarint(nil, m.Result)
	for _, s := range []string{m.QueryID, m.Tenant} {
		p = append(binary.AppendUvarint(p, uint64(len(s))), s...)
	}
	p = binary.AppendVarint(binary.AppendVarint(p, m.CreatedMillis), m.ExpiresMillis)
	p = binary.AppendUvarint(p, uint64(len(m.places)))
	for i, at := range m.places {
		for _, x := range []uint64{uint64(m.PageRows[i]), uint64(at.size), at.segment, uint64(at.offset)} {
			p = binary.AppendUvarint(p, x)
		}
	}
	if m.FleetIndex == 0 && len(m.TableGroups) == 0 && m.Owner == "" {
		return p
	}
	p = binary.AppendUvarint(binary.AppendUvarint(p, m.FleetIndex), uint64(len(m.TableGroups)))
	for _, t := range m.TableGroups {
		p = binary.AppendVarint(p, t)
	}
	return append(binary.AppendUvarint(p, uint64(len(m.Owner))), m.Owner...)
}

var errMeta = errors.New("what is told of a result can't be read")

func decodeMeta(p []byte) (*Meta, error) {
	m := &Meta{}
	bad := false
	whole := func() uint64 {
		x, n := binary.Uvarint(p)
		if n <= 0 {
			bad, p = true, nil
			return 0
		}
		p = p[n:]
		return x
	}
	signed := func() int64 {
		x, n := binary.Varint(p)
		if n <= 0 {
			bad, p = true, nil
			return 0
		}
		p = p[n:]
		return x
	}
	text := func() string {
		n := whole()
		if n > textMost || n > uint64(len(p)) {
			bad, p = true, nil
			return ""
		}
		s := string(p[:n])
		p = p[n:]
		return s
	}
	m.Result, m.QueryID, m.Tenant = whole(), text(), text()
	m.CreatedMillis, m.ExpiresMillis = signed(), signed()
	n := whole()
	if bad || n > pagesMost || n*4 > uint64(len(p)) {
		return nil, errMeta
	}
	m.PageRows, m.PageBytes, m.places = make([]uint32, n), make([]uint32, n), make([]place, n)
	for i := range m.places {
		rows, size := whole(), whole()
		segment, offset := whole(), whole()
		if rows > 1<<32-1 || size > MaxBodyBytes || offset > 1<<62 {
			return nil, errMeta
		}
		m.PageRows[i], m.PageBytes[i] = uint32(rows), uint32(size)
		m.places[i] = place{segment, int64(offset), uint32(size)}
	}
	if !bad && len(p) > 0 {
		m.FleetIndex = whole()
		n := whole()
		if bad || n > tablesMost || n > uint64(len(p)) {
			return nil, errMeta
		}
		for range n {
			m.TableGroups = append(m.TableGroups, signed())
		}
		m.Owner = text()
	}
	if bad || len(p) > 0 {
		return nil, errMeta
	}
	return m, nil
}
