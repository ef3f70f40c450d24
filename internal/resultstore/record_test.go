package resultstore

import (
	"bytes"
	"testing"
)

func FuzzRecord(f *testing.F) {
	f.Add(appendRecord(nil, 3, &Record{Kind: PageRecord, Result: 7, Page: 1, Body: []byte("a\tb\tc\n")}),
		uint64(3))
	f.Add(appendRecord(nil, 3, &Record{Kind: TombstoneRecord, Result: 7}), uint64(4))
	m := &Meta{Result: 9, QueryID: "q", Tenant: "t", CreatedMillis: -1, ExpiresMillis: 5, PageRows: []uint32{1},
		pageLocations: []location{{1, 16, 5}}}
	f.Add(appendRecord(nil, 1, &Record{Kind: CommitRecord, Result: 9, Body: m.encode()}), uint64(1))
	f.Add([]byte{0xff, 0xff, 0xff, 0x03, 1}, uint64(1))
	f.Fuzz(func(t *testing.T, encoded []byte, segment uint64) {
		record, n, err := readRecord(encoded, segment)
		if err != nil {
			return
		}
		if again := appendRecord(nil, segment, &record); !bytes.Equal(again, encoded[:n]) {
			t.Fatal("the decoded record encodes to other bytes")
		}
		if record.Kind == CommitRecord {
			if m, err := decodeMeta(record.Body); err == nil && len(m.PageRows) != len(m.pageLocations) {
				t.Fatal("a description with pages without locations")
			}
		}
		// a record is valid only in its own segment and complete
		if _, _, err := readRecord(encoded, segment+1); err == nil {
			t.Fatal("accepted a record of another segment")
		}
		if _, _, err := readRecord(encoded[:n-1], segment); err == nil {
			t.Fatal("accepted a truncated record")
		}
	})
}
