// Package server is a control-plane server: one of a few processes that agree by Raft on which proxy holds which quota
// leases, and on which policy the proxies run.
//
// # State
//
// Everything that must survive the loss of a server is in a replicated log (package consensus) and in the state machine
// that applies it: leases and quotas (package quotalease), and policies with the outcome of their rollouts (package
// policy/store). What a leader knows beyond that, such as pending lease requests and how far a rollout is, is lost with
// the leadership, and the next leader builds it up anew.
//
// # Epochs
//
// An operator bootstraps a fleet under an epoch above all earlier ones. A server keeps one Raft log per epoch and takes
// part in the latest only. That part is a replica; it is replaced as a whole when a new epoch begins.
//
// # Goroutines
//
// Run starts one goroutine per task: the allocator, which turns lease requests into log entries; the rollout loop; and
// the status loop, which publishes a snapshot that status and metrics requests read without waiting. The log applies
// entries on a goroutine of its own. They share the state machine under locks that are never held over I/O.
//
// Lease requests wait in a bounded queue. When it is full they are rejected and the proxy retries. A request is
// answered from the state machine after the plan that serves it was committed, never before.
package server
