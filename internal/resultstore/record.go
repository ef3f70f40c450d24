package resultstore

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// A segment consists of a header and a sequence of records. All integers are little endian; their
// sizes in bytes are in parentheses:
//
//	header  "rrspool1", number of the segment (8)
//	record  length of the body (4), kind (1), 3 zero bytes, result (8), page (4), checksum (8), body
//
// The checksum is the XXH64 of the preceding fields and the body, seeded with the number of the
// segment. A record that was copied to another segment, or is left over from an older file, is
// therefore invalid.

// RecordKind is the kind of a record.
type RecordKind uint8

const (
	PageRecord      RecordKind = 1 + iota // a page of rows of a result
	CommitRecord                          // marks a result as complete; its body is an encoded Meta
	TombstoneRecord                       // marks a result as deleted
)

const (
	segmentMagic      = "rrspool1"
	segmentHeaderSize = 16
	recordHeaderSize  = 28
	// MaxBodyBytes limits the body of a record.
	MaxBodyBytes = 64 << 20
)

// Record is an entry of the log. Page is the number of the page within its result, and is 0 unless
// Kind is PageRecord.
type Record struct {
	Kind   RecordKind
	Result uint64
	Page   uint32
	Body   []byte
}

var (
	errTruncatedRecord = errors.New("truncated record")
	errCorruptRecord   = errors.New("invalid record header or checksum")
)

// size returns the encoded size of the record.
func (r *Record) size() int64 { return recordHeaderSize + int64(len(r.Body)) }

// appendRecord appends the encoding of a record in a segment to dst.
func appendRecord(dst []byte, segment uint64, r *Record) []byte {
	start := len(dst)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(r.Body)))
	dst = append(dst, byte(r.Kind), 0, 0, 0)
	dst = binary.LittleEndian.AppendUint64(dst, r.Result)
	dst = binary.LittleEndian.AppendUint32(dst, r.Page)
	dst = binary.LittleEndian.AppendUint64(dst, checksum(segment, dst[start:start+recordHeaderSize-8], r.Body))
	return append(dst, r.Body...)
}

func checksum(segment uint64, head, body []byte) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(segment)
	d.Write(head)
	d.Write(body)
	return d.Sum64()
}

// readRecord decodes the record at the start of encoded, and returns its length.
func readRecord(encoded []byte, segment uint64) (r Record, n int, err error) {
	if len(encoded) < recordHeaderSize {
		return r, 0, errTruncatedRecord
	}
	length := binary.LittleEndian.Uint32(encoded)
	r = Record{Kind: RecordKind(encoded[4]), Result: binary.LittleEndian.Uint64(encoded[8:]),
		Page: binary.LittleEndian.Uint32(encoded[16:])}
	if length > MaxBodyBytes || r.Kind < PageRecord || r.Kind > TombstoneRecord ||
		encoded[5]|encoded[6]|encoded[7] != 0 {
		return r, 0, errCorruptRecord
	}
	n = recordHeaderSize + int(length)
	if len(encoded) < n {
		return r, 0, errTruncatedRecord
	}
	r.Body = encoded[recordHeaderSize:n]
	if checksum(segment, encoded[:recordHeaderSize-8], r.Body) != binary.LittleEndian.Uint64(encoded[20:]) {
		return r, 0, errCorruptRecord
	}
	return r, n, nil
}

func segmentHeader(segment uint64) []byte {
	return binary.LittleEndian.AppendUint64([]byte(segmentMagic), segment)
}

// location is the position of a record in the log.
type location struct {
	segment uint64
	offset  int64
	size    uint32 // of the body
}

// Meta describes a committed result.
type Meta struct {
	Result  uint64
	QueryID string // the query's trace id
	Tenant  string
	// CreatedMillis and ExpiresMillis are wall-clock times, in milliseconds since 1970.
	CreatedMillis, ExpiresMillis int64
	// FleetIndex is the index of the fleet's log when the query was accepted. TableGroups are the table
	// groups that the query reads; none if they are unknown. Owner is the owner of the result if the
	// tenant doesn't determine it. Results that older versions wrote lack all three.
	FleetIndex    uint64
	TableGroups   []int64
	Owner         string
	PageRows      []uint32 // by page
	PageBytes     []uint32 // by page
	pageLocations []location
	location      location // of the commit record
}

// TotalBytes returns the size of all pages.
func (m *Meta) TotalBytes() (sum int64) {
	for _, n := range m.PageBytes {
		sum += int64(n)
	}
	return sum
}

// RowCount returns the number of rows in all pages.
func (m *Meta) RowCount() (sum int64) {
	for _, n := range m.PageRows {
		sum += int64(n)
	}
	return sum
}

const (
	maxTextBytes = 1 << 10 // of a query id, tenant or owner
	maxPages     = 1 << 24
	// maxTableGroups limits the table groups of one result.
	maxTableGroups = 1 << 12
)

// encode returns the body of the commit record. It omits the fields that older versions lack if all
// of them are empty.
func (m *Meta) encode() []byte {
	encoded := binary.AppendUvarint(nil, m.Result)
	for _, text := range []string{m.QueryID, m.Tenant} {
		encoded = append(binary.AppendUvarint(encoded, uint64(len(text))), text...)
	}
	encoded = binary.AppendVarint(binary.AppendVarint(encoded, m.CreatedMillis), m.ExpiresMillis)
	encoded = binary.AppendUvarint(encoded, uint64(len(m.pageLocations)))
	for i, loc := range m.pageLocations {
		for _, value := range []uint64{uint64(m.PageRows[i]), uint64(loc.size), loc.segment, uint64(loc.offset)} {
			encoded = binary.AppendUvarint(encoded, value)
		}
	}
	if m.FleetIndex == 0 && len(m.TableGroups) == 0 && m.Owner == "" {
		return encoded
	}
	encoded = binary.AppendUvarint(binary.AppendUvarint(encoded, m.FleetIndex), uint64(len(m.TableGroups)))
	for _, group := range m.TableGroups {
		encoded = binary.AppendVarint(encoded, group)
	}
	return append(binary.AppendUvarint(encoded, uint64(len(m.Owner))), m.Owner...)
}

var errInvalidMeta = errors.New("invalid description of a result")

// decodeMeta decodes the body of a commit record.
func decodeMeta(encoded []byte) (*Meta, error) {
	m := &Meta{}
	invalid := false
	readUnsigned := func() uint64 {
		x, n := binary.Uvarint(encoded)
		if n <= 0 {
			invalid, encoded = true, nil
			return 0
		}
		encoded = encoded[n:]
		return x
	}
	readSigned := func() int64 {
		x, n := binary.Varint(encoded)
		if n <= 0 {
			invalid, encoded = true, nil
			return 0
		}
		encoded = encoded[n:]
		return x
	}
	readText := func() string {
		n := readUnsigned()
		if n > maxTextBytes || n > uint64(len(encoded)) {
			invalid, encoded = true, nil
			return ""
		}
		s := string(encoded[:n])
		encoded = encoded[n:]
		return s
	}
	m.Result, m.QueryID, m.Tenant = readUnsigned(), readText(), readText()
	m.CreatedMillis, m.ExpiresMillis = readSigned(), readSigned()
	n := readUnsigned()
	if invalid || n > maxPages || n*4 > uint64(len(encoded)) {
		return nil, errInvalidMeta
	}
	m.PageRows, m.PageBytes, m.pageLocations = make([]uint32, n), make([]uint32, n), make([]location, n)
	for i := range m.pageLocations {
		rows, size := readUnsigned(), readUnsigned()
		segment, offset := readUnsigned(), readUnsigned()
		if rows > 1<<32-1 || size > MaxBodyBytes || offset > 1<<62 {
			return nil, errInvalidMeta
		}
		m.PageRows[i], m.PageBytes[i] = uint32(rows), uint32(size)
		m.pageLocations[i] = location{segment, int64(offset), uint32(size)}
	}
	if !invalid && len(encoded) > 0 {
		m.FleetIndex = readUnsigned()
		n := readUnsigned()
		if invalid || n > maxTableGroups || n > uint64(len(encoded)) {
			return nil, errInvalidMeta
		}
		for range n {
			m.TableGroups = append(m.TableGroups, readSigned())
		}
		m.Owner = readText()
	}
	if invalid || len(encoded) > 0 {
		return nil, errInvalidMeta
	}
	return m, nil
}
