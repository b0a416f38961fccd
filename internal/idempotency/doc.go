// Package idempotency implements a ledger of the outcomes of requests that must never run twice. It remembers which
// requests were started and how they ended. A client that sends a request again gets the outcome of the first copy:
// its answer, after a wait if it is still in flight, or the information that the request may have run.
//
// # Identity of requests
//
// A request is identified by its sender and its end-to-end identifier (Key). The sender uses the identifier for no
// other request for at least four minutes, even if it restarts (RFC 6733, sections 3 and 6.2). Copies of a request have
// the same Key, with or without the flag of a potential retransmission (the T flag).
//
// # Life of an entry
//
//	         Admit returns Begin
//	                 │
//	             in flight ── Cancel ──> forgotten
//	             │       │
//	    Complete │       │ MarkUncertain, or its process died
//	             v       v
//	       completed   uncertain ── Complete ──> completed
//	             │       │
//	Settings.Window     Settings.UncertainWindow
//	             v       v
//	            forgotten
//
// # Invariants
//
// For any sequence of calls:
//
//   - Admit returns Begin at most once for a request while the ledger remembers it.
//   - An entry is remembered while its request is in flight, and for its window after the request ended. When the
//     ledger is full, new requests are rejected.
//   - For an entry whose outcome is unknown, Admit returns MayHaveRun and never Begin.
//   - Memory is bounded by Settings.MaxEntries and Settings.MaxBytes.
//
// # Use
//
// A Ledger is pure: no I/O, no goroutine, no clock. Callers pass the time, as a duration on a monotonic clock, and
// serialize all calls. Package store persists a ledger on disk. Package guard combines a ledger with a store, and runs
// the requests.
package idempotency
