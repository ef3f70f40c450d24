package spool

import "time"

// goldenKeys returns the keys of the golden key file.
func goldenKeys() []Key {
	return []Key{
		{ID: 7, CreatedUnixMillis: 1_700_000_000_001, Secret: []byte("0123456789abcdef0123456789abcdef")},
		{ID: 8, CreatedUnixMillis: 1_700_000_000_002, Secret: []byte("fedcba9876543210fedcba9876543210")},
	}
}

// goldenStoredResult is the result that the golden token opens.
var goldenStoredResult = StoredResult{
	Metadata: Metadata{ResultID: 1<<32 + 5, Query: "query-1", Tenant: "team-a",
		CreatedUnixMillis: 1_700_000_000_003, ExpiresUnixMillis: 1_700_000_600_004, PageRows: []uint32{10, 11}},
	PageBytes: []uint32{300, 400},
}

// goldenCore returns a spool that restored the golden result at its start.
func goldenCore(keys *Keyring) *Core {
	c := New(Limits{MaxAge: time.Hour, IdleTimeout: time.Hour}, keys, 1_700_000_000_005, 2<<32,
		func(*DiskTask) {})
	c.Restore(&goldenStoredResult)
	return c
}
