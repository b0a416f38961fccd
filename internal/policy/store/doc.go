// Package store is the replicated state machine of a fleet's policies.
//
// # What it holds
//
// The fleet has one ownership declaration (called the charter in the operators' pages), which says what each team's
// namespace may set, and one policy file for each namespace. The files are merged under the declaration into the policy
// that all proxies use. The state machine holds the declaration, the last accepted file of each namespace, the files
// that are withheld because they conflict, and the merged policies with their versions. Package namespace decides
// what conflicts and whose file is withheld; package rollout decides whether a rollout does harm and is stopped.
//
// # Three policies
//
//   - The active policy is in force: all proxies have it.
//   - The candidate is being rolled out. There is at most one.
//   - The head is the newest merged policy.
//
// A submitted file changes the head and never replaces the candidate. Changes that arrive during a rollout are queued
// and rolled out together as the next batch. A batch whose rollout is stopped is bisected until a single change is
// found to have failed. That change is excluded from the head, and the others are rolled out.
//
// # Invariants
//
//   - Equal commands give equal snapshots on every server: nothing here reads a clock, uses random numbers or depends
//     on the iteration order of a map.
//   - New versions have increasing epochs; only a rollback returns to a lower one. The generation increases with each
//     rollback, and only then.
//   - A namespace can use each file number only once, so a late or repeated submission cannot restore an old file.
//   - A command that returns an error changes nothing.
//
// # Use
//
// The package does no I/O, starts no goroutine and reads no clock. Callers serialize all calls on one StateMachine; no
// call blocks. Snapshots are deterministic CBOR that contains each file and each chunk once. The design is in
// docs/fleet-ownership-design.md and docs/capacity-trains.md.
package store
