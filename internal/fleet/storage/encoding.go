package storage

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
)

// indexKey returns the key of a log entry; keys sort in the order of the indexes.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// putWithChecksum stores the checksum of key and value, followed by the value.
func putWithChecksum(b *bbolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.LittleEndian.AppendUint64(nil, checksum(key, value)), value...))
}

// getWithChecksum returns the value under a key, and whether it is present and intact.
func getWithChecksum(b *bbolt.Bucket, key []byte) ([]byte, bool) {
	return verifyChecksum(key, b.Get(key))
}

// verifyChecksum returns the value in a stored value with checksum, and whether it is intact.
func verifyChecksum(key, stored []byte) ([]byte, bool) {
	if len(stored) < 8 || binary.LittleEndian.Uint64(stored) != checksum(key, stored[8:]) {
		return nil, false
	}
	return stored[8:], true
}

func checksum(key, value []byte) uint64 {
	hash := xxhash.NewWithSeed(uint64(len(key)))
	_, _ = hash.Write(key)
	_, _ = hash.Write(value)
	return hash.Sum64()
}

func encode(v any) []byte {
	encoded, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // plain structs can always be encoded
	}
	return encoded
}
