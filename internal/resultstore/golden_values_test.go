package resultstore

import (
	"bytes"

	"railrelay.dev/railrelay/internal/spool"
)

// goldenPage is the body of a page of a result of the golden directory.
func goldenPage(result uint64, number int) []byte {
	return bytes.Repeat([]byte{byte('a' + result%26), byte('0' + number)}, 150)
}

// goldenFound are the results that the golden directory holds.
func goldenFound() []*spool.StoredResult {
	first := uint64(1) << 32 // of the directory's first start
	return []*spool.StoredResult{
		{
			Metadata: spool.Metadata{ResultID: first, Query: "query-1", Team: "team-a", CreatedWall: 1_700_000_000_001, ExpiresWall: 1_700_000_900_002,
				PageRows: []uint32{10, 11, 12}, InvalidationTag: spool.InvalidationTag{Owner: "customer-1", LogIndex: 21,
					Tables: []int64{31, -32}}},
			PageBytes: []uint32{300, 300, 300},
		},
		{
			Metadata: spool.Metadata{ResultID: first + 2, Query: "query-3", Team: "team-b", CreatedWall: 1_700_000_000_003, ExpiresWall: 1_700_000_900_004,
				PageRows: []uint32{13, 14}},
			PageBytes: []uint32{300, 300},
		},
	}
}

// goldenDropped is the result that was dropped from the golden directory.
const goldenDropped = uint64(1)<<32 + 1

// goldenTerms close a segment after a few pages.
var goldenTerms = Options{SegmentBytes: 1 << 10}

// goldenKeys makes the keyring whose text the golden directory has.
func goldenKeys(text []byte) (*spool.Keyring, error) {
	return spool.NewKeyring(text, 0, 1_700_000_000_000, func() []byte { return []byte("0123456789abcdef0123456789abcdef") })
}

// writeGolden makes a directory that holds goldenFound.
func writeGolden(dir string) error {
	keeper, err := OpenSpoolStore(dir, goldenTerms)
	if err != nil {
		return err
	}
	keys, err := goldenKeys(nil)
	if err != nil {
		return err
	}
	dropped := &spool.StoredResult{Metadata: spool.Metadata{ResultID: goldenDropped, Query: "query-2", Team: "team-a", CreatedWall: 1, ExpiresWall: 2, PageRows: []uint32{1}}}
	for _, found := range append(goldenFound(), dropped) {
		work := &spool.DiskTask{Metadata: &found.Metadata}
		for number := range found.PageRows {
			work.Pages = append(work.Pages, spool.Page{ResultID: found.ResultID, Number: uint32(number), Body: goldenPage(found.ResultID, number)})
		}
		keeper.Write([]*spool.DiskTask{work})
		if work.Err != nil {
			return work.Err
		}
	}
	rest := []*spool.DiskTask{{Drop: []uint64{goldenDropped}}, {Keys: keys.Encode()}}
	keeper.Write(rest)
	for _, work := range rest {
		if work.Err != nil {
			return work.Err
		}
	}
	return keeper.Close()
}
