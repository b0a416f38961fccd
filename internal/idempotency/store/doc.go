// Package store persists an idempotency ledger: the intent of a request is on disk before its first attempt is sent,
// and its answer before the client gets it. What Write has confirmed survives a kill at any moment.
//
// # The file
//
// It is a bbolt database. bbolt copies pages on write and checksums its two meta pages, so a torn write leaves the
// state before it. Each transaction costs a flush, which all records that wait share (group commit).
//
//   - Bucket "effects": the key is the origin, a zero byte and the end-to-end identifier (4 bytes, big endian). The
//     value is the state (1 intent, 2 completed, 3 uncertain), a time in Unix nanoseconds (8 bytes, big endian) and
//     the answer. The time of an intent is when it was written; that of the others is when they expire.
//   - Bucket "order": the key is an expiry time followed by a key of "effects"; expired entries are found by it.
//   - Bucket "meta": "seq" is the number of the last transaction, "lost" is when the ledger was last found to lack
//     entries (Unix nanoseconds); both have 8 bytes, big endian.
//
// # A ledger that was lost
//
// A ledger that was deleted, or restored from an older copy, would let what it has forgotten run again. So the number
// of the last transaction is in a second file too, the witness, beside the first (".seq"). A ledger with a lower
// number than its witness lacks the entries after it; a new one lacks all. A whole directory that was restored is not
// detected.
package store
