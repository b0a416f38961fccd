// Package store persists an idempotency ledger on disk, so that a caller can write the intent of a request before its
// first attempt is sent, and its answer before the client gets it. A record for which Write returned nil survives if
// the process is killed at any time.
//
// # The file
//
// The file is a bbolt database. bbolt copies pages on write and checksums its two meta pages, so after a torn write the
// previous state is valid. Each transaction costs one flush to disk, which all waiting records share (group commit).
//
//   - Bucket "effects": the key is the origin, a zero byte and the end-to-end identifier (4 bytes, big endian). The
//     value is the state (1 intent, 2 completed, 3 uncertain), a time in Unix nanoseconds (8 bytes, big endian) and
//     the answer. The time of an intent is when it was written; the time of the other states is when they expire.
//   - Bucket "order": the key is an expiry time followed by a key of "effects". It orders entries by expiry time, to
//     find those that have expired.
//   - Bucket "meta": "seq" is the number of the last transaction, "lost" is the time at which the ledger was last found
//     to lack entries (Unix nanoseconds); both have 8 bytes, big endian.
//
// # Detection of lost entries
//
// If the ledger was deleted or restored from an older copy, requests whose entries it lacks could run again. Therefore
// the number of the last transaction is also in a second file beside the first, the witness (".seq"). A ledger with a
// lower number than its witness lacks the entries of the transactions in between; a new ledger lacks all entries. If
// the whole directory was restored from an older copy, this is not detected.
package store
