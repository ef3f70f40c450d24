package resultstore

import (
	"bytes"
	"testing"
)

func FuzzRecord(f *testing.F) {
	f.Add(appendRecord(nil, 3, &Record{Kind: PageRecord, Result: 7, Page: 1, Body: []byte("a\tb\tc\n")}), uint64(3))
	f.Add(appendRecord(nil, 3, &Record{Kind: TombstoneRecord, Result: 7}), uint64(4))
	m := &Meta{Result: 9, QueryID: "q", Tenant: "t", CreatedMillis: -1, ExpiresMillis: 5, PageRows: []uint32{1}, places: []place{{1, 16, 5}}}
	f.Add(appendRecord(nil, 1, &Record{Kind: CommitRecord, Result: 9, Body: m.encode()}), uint64(1))
	f.Add([]byte{0xff, 0xff, 0xff, 0x03, 1}, uint64(1))
	f.Fuzz(func(t *testing.T, p []byte, segment uint64) {
		r, n, err := readRecord(p, segment)
		if err != nil {
			return
		}
		if again := appendRecord(nil, segment, &r); !bytes.Equal(again, p[:n]) {
			t.Fatal("what was read is not what stands there")
		}
		if r.Kind == CommitRecord {
			if m, err := decodeMeta(r.Body); err == nil && len(m.PageRows) != len(m.places) {
				t.Fatal("pages without places")
			}
		}
		// a record is one in its segment alone, and only whole
		if _, _, err := readRecord(p, segment+1); err == nil {
			t.Fatal("a record of another segment")
		}
		if _, _, err := readRecord(p[:n-1], segment); err == nil {
			t.Fatal("a record cut short")
		}
	})
}
