// Package store is the replicated state machine of a fleet's policies.
//
// # What it holds
//
// The fleet has one ownership declaration (in the operators' pages: the charter), which says what each team's
// namespace may set, and one policy file for each namespace. Merging the files under the declaration gives the policy
// that proxies follow. The state machine holds the declaration, the last accepted file of each namespace, the files
// that are withheld because they conflict, and the merged policies with their versions. Package namespace decides
// what conflicts and whose file is withheld; package rollout decides whether a rollout harms.
//
// # Three policies
//
//   - The active policy is in force: all proxies have it.
//   - The candidate is being rolled out. At most one is.
//   - The head is the newest merged policy.
//
// A submitted file changes the head and never displaces the candidate. Changes that arrive during a rollout queue, and
// go out as the next batch. A batch whose rollout is stopped is bisected until the change that failed stands alone;
// that change is excluded from the head, and the others go on.
//
// # Invariants
//
//   - Equal commands give equal bytes on every server: nothing here reads a clock, draws a number or depends on the
//     order of a map.
//   - Epochs only rise. The generation rises when an operator rolls back, and only then.
//   - The number of a namespace's file is used once, so a late or repeated submission cannot bring an old file back.
//   - A command that returns an error changes nothing.
//
// # Use
//
// The package is pure: no I/O, no goroutine, no clock. Callers serialize all calls on one StateMachine; no call
// blocks. Snapshots are deterministic CBOR in which each file and each chunk stands once. The design is in
// docs/fleet-ownership-design.md and docs/capacity-trains.md.
package store
