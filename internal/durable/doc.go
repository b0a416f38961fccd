// Package durable persists data of one process for the next.
//
//   - File holds one value of some kilobytes, which Save replaces as a whole.
//   - Journal holds records, megabytes of them, of which little changes at a time. Changes are appended, and now and
//     then all records are rewritten.
//
// Both have a header with a kind and a version, and checksums. What is read is what was written, or an error says why
// it is not.
//
// Nothing is flushed. The end of the process loses nothing that was written; the end of the machine may leave an older
// value, or one that Load rejects. Where a record must be on disk before an answer is sent, use a database with
// transactions, as package idempotency/store does.
package durable
