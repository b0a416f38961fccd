// Package consensus replicates a log of commands among the control-plane servers of a fleet and applies it to a
// Machine.
//
// Elections, replication and commitment are those of Raft as go.etcd.io/raft implements them (Ongaro, "Consensus:
// Bridging Theory and Practice", 2014; pre-vote is section 9.6, check-quorum section 6.2). This package limits the
// library's memory, connects it to a Machine, and excludes a server whose store was rolled back to an older state.
//
// # Terms
//
// Raft's names are used throughout. A Term is a numbered period with at most one leader. An entry is committed once
// a majority of the voters has it on disk, and applied once the Machine has it; 'commit index' and 'applied index'
// are the last such entries. A proposal is a command that a client sent to the leader. A snapshot is the state
// of the Machine at an applied entry and replaces the log up to it. A learner receives the log and does not vote.
//
// # The pure core
//
// Core does no I/O, starts no goroutine and reads no clock, so that a test can run it through any order of
// messages, crashes and delays. Its caller (package node) gives it three kinds of input:
//
//   - Tick, once for each interval of time: elections and heartbeats are counted in ticks.
//   - Step, for each message of another server.
//   - Propose, ReadIndex and ProposeConfChange, for the requests of clients.
//
// and drives its output in rounds, one at a time:
//
//	ready, ok := core.Ready()            // a round, if there is anything to write, send or answer
//	store.Write(&ready.Batch)            // package storage: atomic
//	outbound, err := core.Advance(ready) // applies committed entries
//	// send outbound.Messages, answer outbound.Replies
//
// No message or reply is sent before the state that it depends on is on disk: only Advance returns them, after Write.
//
// # Proposals
//
// A command is written to the log after the nonce of the proposing server's start and the ID of the request.
// The server that finds its own nonce in an applied entry answers the request with the Machine's reply. A leader
// that steps down answers all pending requests with UndecidedError: the entry may still be committed by its
// successor.
//
// # Stores that are rolled back
//
// Raft is correct only while no server forgets what it has written. An operator may still restore a server's disk
// from an older copy, and that server would then vote twice in a term, or acknowledge an entry and lose it. Three
// guards cover this:
//
//   - Store versions. Each message carries its sender's StoreVersion, and each receiver remembers the highest that
//     it has seen of every peer, on disk, before it sends anything that depends on the message. After a start a
//     server is silent: it neither votes nor answers until every other voter has confirmed that it knows of no
//     newer version, or until Config.SilenceTicks have passed. A server that receives a newer version of its own
//     store from a peer fails with StoreRolledBackError.
//   - Digests. digestChain holds a digest of the log up to each entry. Servers compare the digests at the entries
//     that a message refers to; Raft itself assumes that entries of equal index and term are the same. A difference
//     from a committed entry is a LogConflictError.
//   - Silence after a truncation. A server whose log is truncated below the index up to which it has acknowledged it
//     may have lost quota leases that a majority committed with its acknowledgement. It is silent until the longest of
//     those leases has ended. See docs/fleet-budgets-design.md, section 7.
//
// # Names in error texts
//
// The texts of errors are written for operators and stay as they are, because replies to clients and peers contain
// them. They call a control-plane server a steward and the truncation of a log a cut. To found a fleet (anew) is to
// bootstrap it (under a higher epoch); to join anew is to join under a new ID (see package storage).
//
// # Randomness
//
// The Raft library randomizes the election timeout from crypto/rand. A test that must be reproducible seeds that with
// testing/cryptotest.
package consensus
