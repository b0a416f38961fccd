package storage

import (
	"bytes"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
)

// The buckets of a store, and the keys of bucket "meta". The keys are part of the stored format and must not change;
// some differ from the names in the code.
var (
	metaBucket  = []byte("meta")
	logBucket   = []byte("log")
	peersBucket = []byte("peers")

	identityKey          = []byte("identity")
	versionKey           = []byte("stamp")
	hardStateKey         = []byte("hard")
	snapshotKey          = []byte("snapshot")
	truncationSilenceKey = []byte("cut")
	acknowledgedIndexKey = []byte("sure")
)

const (
	checksumBytes  = 8
	numberKeyBytes = 8
)

// numberKey returns the key of an entry (its index) or of a peer (its ID). Keys sort in the order of their numbers.
func numberKey(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func checksum(key, value []byte) uint64 {
	hash := xxh3.New()
	_, _ = hash.Write(key) // never fails
	_, _ = hash.Write(value)
	return hash.Sum64()
}

// putRecord stores a value with its checksum before it.
func putRecord(bucket *bbolt.Bucket, key, value []byte) error {
	record := make([]byte, 0, checksumBytes+len(value))
	record = binary.BigEndian.AppendUint64(record, checksum(key, value))
	return bucket.Put(key, append(record, value...))
}

// verifyRecord returns a copy of a record's value, which outlives the transaction. ok is false if the checksum is
// wrong.
func verifyRecord(key, record []byte) (value []byte, ok bool) {
	if len(record) < checksumBytes || binary.BigEndian.Uint64(record) != checksum(key, record[checksumBytes:]) {
		return nil, false
	}
	return bytes.Clone(record[checksumBytes:]), true
}

func putCBOR(bucket *bbolt.Bucket, key []byte, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	return putRecord(bucket, key, data)
}

func putProto(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return putRecord(bucket, key, data)
}
