package store

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/bbolt"

	"lapisspread/internal/idempotency"
)

// The names of buckets and keys in the file.
var (
	entriesBucket = []byte("effects")
	expiryBucket  = []byte("order")
	metaBucket    = []byte("meta")
	sequenceKey   = []byte("seq")
	lostAtKey     = []byte("lost")
)

// The states of an entry in the file.
const (
	stateIntent    = 1
	stateCompleted = 2
	stateUncertain = 3
)

// Lengths in bytes.
const (
	timeLength   = 8
	headerLength = 1 + timeLength // the state and time at the start of a value
	idLength     = 4
	// maxShownBytes is the maximum number of bytes of a corrupt value in an error.
	maxShownBytes = 16
)

// maxExpiredPerCommit is the maximum number of expired entries that one transaction deletes, which bounds its duration.
const maxExpiredPerCommit = 2048

// errBadKey is returned for a key of the entries bucket that encodeKey cannot have returned.
var errBadKey = errors.New("key in bucket \"effects\" is not an origin, a zero byte and a 4-byte identifier")

// encodeKey returns the key in the entries bucket for a request.
func encodeKey(key idempotency.Key) []byte {
	b := make([]byte, 0, len(key.Origin)+1+idLength)
	b = append(b, key.Origin...)
	b = append(b, 0)
	return binary.BigEndian.AppendUint32(b, key.ID)
}

// decodeKey is the inverse of encodeKey. It returns errBadKey for an invalid key.
func decodeKey(b []byte) (idempotency.Key, error) {
	originLength := len(b) - 1 - idLength
	if originLength < 0 || b[originLength] != 0 {
		return idempotency.Key{}, errBadKey
	}
	id := binary.BigEndian.Uint32(b[originLength+1:])
	return idempotency.Key{Origin: string(b[:originLength]), ID: id}, nil
}

// encodeValue returns the value in the entries bucket for a state, a time and an answer.
func encodeValue(state byte, at time.Time, answer []byte) []byte {
	v := make([]byte, 0, headerLength+len(answer))
	v = append(v, state)
	v = binary.BigEndian.AppendUint64(v, uint64(at.UnixNano()))
	return append(v, answer...)
}

// validValue reports whether a value of the entries bucket has a valid state and the minimum length.
func validValue(v []byte) bool {
	return len(v) >= headerLength && v[0] >= stateIntent && v[0] <= stateUncertain
}

// putExpiring writes an entry to the entries bucket, and its expiry time to the expiry bucket.
func putExpiring(tx *bbolt.Tx, key []byte, state byte, expiresAt time.Time, answer []byte) error {
	v := encodeValue(state, expiresAt, answer)
	expiryKey := slices.Concat(v[1:headerLength], key)
	if err := tx.Bucket(expiryBucket).Put(expiryKey, nil); err != nil {
		return err
	}
	return tx.Bucket(entriesBucket).Put(key, v)
}

// deleteExpired deletes entries that have expired, at most maxExpiredPerCommit.
func deleteExpired(tx *bbolt.Tx, now time.Time) error {
	entries, expiries := tx.Bucket(entriesBucket), tx.Bucket(expiryBucket)
	var expired [][]byte
	cursor := expiries.Cursor()
	for k, _ := cursor.First(); k != nil && len(expired) < maxExpiredPerCommit; k, _ = cursor.Next() {
		if len(k) < timeLength || int64(binary.BigEndian.Uint64(k)) >= now.UnixNano() {
			break
		}
		expired = append(expired, bytes.Clone(k))
	}
	for _, k := range expired {
		if err := expiries.Delete(k); err != nil {
			return err
		}
		expiresAt, key := k[:timeLength], k[timeLength:]
		// An entry with a different time is newer, possibly of another request with the same identifier, and is kept.
		if v := entries.Get(key); v != nil && bytes.Equal(v[1:headerLength], expiresAt) {
			if err := entries.Delete(key); err != nil {
				return err
			}
		}
	}
	return nil
}

// datedRecord is a record and the time stored in its value.
type datedRecord struct {
	unixNano int64
	record   idempotency.Record
}

// decodeEntry is the inverse of encodeKey and encodeValue, except that an intent is returned as an uncertain record.
func decodeEntry(k, v []byte) (datedRecord, error) {
	key, err := decodeKey(k)
	if err != nil || !validValue(v) {
		return datedRecord{}, fmt.Errorf("corrupt record in bucket %q: key %x, first bytes of the value %x",
			entriesBucket, k, v[:min(len(v), maxShownBytes)])
	}
	return datedRecord{int64(binary.BigEndian.Uint64(v[1:])), idempotency.Record{
		Key:       key,
		Completed: v[0] == stateCompleted,
		Uncertain: v[0] != stateCompleted,
		Answer:    bytes.Clone(v[headerLength:]),
	}}, nil
}

// readEntries returns the entries that have not expired, and the keys of those that are intents. An intent never
// expires: if it were dropped, a request that may have run could run again.
func readEntries(tx *bbolt.Tx, now time.Time) (entries []datedRecord, intents [][]byte, err error) {
	err = tx.Bucket(entriesBucket).ForEach(func(k, v []byte) error {
		entry, err := decodeEntry(k, v)
		if err != nil {
			return err
		}
		if v[0] == stateIntent {
			intents = append(intents, bytes.Clone(k))
		} else if entry.unixNano < now.UnixNano() {
			return nil
		}
		entries = append(entries, entry)
		return nil
	})
	return entries, intents, err
}

// load returns the records that have not expired, ordered by the times in their values. It creates missing buckets, and
// rewrites each intent as uncertain, because the process that wrote it ended before the outcome was persisted.
func (s *Store) load() ([]idempotency.Record, error) {
	var all []datedRecord
	now := s.clock.now()
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{entriesBucket, expiryBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		entries, intents, err := readEntries(tx, now)
		if err != nil {
			return err
		}
		all = entries
		// The uncertain window of these requests starts now: no operator could look up their outcome earlier, because
		// only now it is found to be unknown.
		for _, key := range intents {
			if err := putExpiring(tx, key, stateUncertain, now.Add(s.uncertainWindow), nil); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(all, func(a, b datedRecord) int { return cmp.Compare(a.unixNano, b.unixNano) })
	records := make([]idempotency.Record, len(all))
	for i, d := range all {
		records[i] = d.record
	}
	return records, nil
}
