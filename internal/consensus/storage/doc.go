// Package storage keeps a server's copy of the replicated log on disk, in one bbolt file.
//
// bbolt copies pages on write: a batch is one transaction and one flush, and after a torn write the file still holds
// the previous state. bbolt has checksums only for its two meta pages, so each record here has a checksum (xxh3, 64
// bits, of its key and value) before its value.
//
// The buckets are:
//
//   - "meta": the identity of the store, its version, the hard state of Raft (term, vote, commit), the snapshot, the
//     index up to which the log was acknowledged, and whether a silence after a truncation is in progress;
//   - "log": the entries after the snapshot, by index (8 bytes, big endian);
//   - "peers": the store versions of other servers, by server ID (8 bytes, big endian).
//
// The log is read once, when the store is opened: Raft reads it from memory, and snapshots limit its size. The keys and
// the encoding of the records must not change, because newer programs open the stores of older ones.
package storage
