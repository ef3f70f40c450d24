package storage

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
)

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// putChecked writes a value after the checksum of key and value.
func putChecked(b *bbolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.LittleEndian.AppendUint64(nil, checksum(key, value)), value...))
}

func getChecked(b *bbolt.Bucket, key []byte) ([]byte, bool) { return withoutChecksum(key, b.Get(key)) }

func withoutChecksum(key, v []byte) ([]byte, bool) {
	if len(v) < 8 || binary.LittleEndian.Uint64(v) != checksum(key, v[8:]) {
		return nil, false
	}
	return v[8:], true
}

func checksum(key, value []byte) uint64 {
	h := xxhash.NewWithSeed(uint64(len(key)))
	_, _ = h.Write(key)
	_, _ = h.Write(value)
	return h.Sum64()
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // plain structs can always be encoded
	}
	return b
}
