// Package idempotency is the outcome ledger of requests that must never run twice. It remembers which of them have
// begun and how they ended, so that a client which sends one again gets the outcome of the first: its answer, or a
// wait for the one in flight, or the statement that it may have run.
//
// # Names of requests
//
// A request is known by its sender and its end-to-end identifier (Key). No other request of that sender has the
// same identifier for at least four minutes, across restarts of the sender too (RFC 6733, sections 3 and 6.2). That
// holds whether a copy carries the flag of a potential retransmission (the T flag) or not.
//
// # Life of an entry
//
//	            Admit: Begin
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
// Whatever arrives in whatever order:
//
//   - Admit returns Begin once for a request, within the window and for as long as its intent is remembered.
//   - An entry is not forgotten before its window has passed since it ended. When the ledger is full, new requests
//     are rejected.
//   - An entry whose outcome is unknown is reported as MayHaveRun and never as Begin.
//   - Memory is bounded by Settings.MaxEntries and Settings.MaxBytes.
//
// # Use
//
// A Ledger is pure: no I/O, no goroutine, no clock. Callers pass the time, as a duration on a monotonic clock, and
// serialize all calls. Package store keeps a ledger on disk; package guard joins both and runs the requests.
package idempotency
