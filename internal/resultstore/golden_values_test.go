package resultstore

import (
	"bytes"

	"railrelay.dev/railrelay/internal/spool"
)

// goldenPageBody returns the body of a page of a result in the golden directory.
func goldenPageBody(result uint64, number int) []byte {
	return bytes.Repeat([]byte{byte('a' + result%26), byte('0' + number)}, 150)
}

// goldenResults returns the results that the golden directory holds.
func goldenResults() []*spool.StoredResult {
	first := uint64(1) << 32 // first result id of the directory's first start
	return []*spool.StoredResult{
		{
			Metadata: spool.Metadata{ResultID: first, Query: "query-1", Tenant: "team-a",
				CreatedUnixMillis: 1_700_000_000_001,
				ExpiresUnixMillis: 1_700_000_900_002,
				PageRows:          []uint32{10, 11, 12},
				InvalidationTag: spool.InvalidationTag{Owner: "customer-1", LogIndex: 21,
					Tables: []int64{31, -32}}},
			PageBytes: []uint32{300, 300, 300},
		},
		{
			Metadata: spool.Metadata{ResultID: first + 2, Query: "query-3", Tenant: "team-b",
				CreatedUnixMillis: 1_700_000_000_003,
				ExpiresUnixMillis: 1_700_000_900_004,
				PageRows:          []uint32{13, 14}},
			PageBytes: []uint32{300, 300},
		},
	}
}

// goldenDeletedID is the result that was deleted from the golden directory.
const goldenDeletedID = uint64(1)<<32 + 1

// goldenOptions close a segment after a few pages.
var goldenOptions = Options{SegmentBytes: 1 << 10}

// goldenKeys returns the keyring that the golden directory holds, or a keyring from a saved text.
func goldenKeys(text []byte) (*spool.Keyring, error) {
	return spool.NewKeyring(text, 0, 1_700_000_000_000,
		func() []byte { return []byte("0123456789abcdef0123456789abcdef") })
}

// writeGolden creates a directory that holds goldenResults.
func writeGolden(dir string) error {
	store, err := OpenSpoolStore(dir, goldenOptions)
	if err != nil {
		return err
	}
	keys, err := goldenKeys(nil)
	if err != nil {
		return err
	}
	dropped := &spool.StoredResult{Metadata: spool.Metadata{ResultID: goldenDeletedID, Query: "query-2",
		Tenant:            "team-a",
		CreatedUnixMillis: 1, ExpiresUnixMillis: 2, PageRows: []uint32{1}}}
	for _, found := range append(goldenResults(), dropped) {
		work := &spool.DiskTask{Metadata: &found.Metadata}
		for number := range found.PageRows {
			work.Pages = append(work.Pages, spool.Page{ResultID: found.ResultID, Number: uint32(number),
				Body: goldenPageBody(found.ResultID, number)})
		}
		store.Write([]*spool.DiskTask{work})
		if work.Err != nil {
			return work.Err
		}
	}
	rest := []*spool.DiskTask{{Drop: []uint64{goldenDeletedID}}, {Keys: keys.Encode()}}
	store.Write(rest)
	for _, work := range rest {
		if work.Err != nil {
			return work.Err
		}
	}
	return store.Close()
}
