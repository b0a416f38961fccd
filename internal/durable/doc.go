// Package durable persists the data of one process for the next process.
//
//   - File holds one value of a few kilobytes. Save replaces the whole value.
//   - Journal holds records, megabytes in total, of which few change at a time. Changes are appended, and all records
//     are rewritten from time to time.
//
// Both have a header with a kind and a version, and checksums. Load returns exactly what was written, or an error that
// says why it cannot; Journal.Load skips damaged records and reports how many bytes it skipped.
//
// No data is flushed to disk (there is no fsync). If the process ends, nothing that was written is lost. If the machine
// crashes, the file may contain an older value, or one that Load rejects. If a record must be on disk before a response
// is sent, use a database with transactions, as package idempotency/store does.
package durable
