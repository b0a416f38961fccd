// Package server implements a control-plane server: one of a few processes that agree by Raft on which proxy holds
// which quota leases, and on which policy the proxies run.
//
// # State
//
// Everything that must survive the loss of a server is in a replicated log (package consensus) and in the state machine
// that applies it: leases and quotas (package quotalease), and policies with the outcome of their rollouts (package
// policy/store). The other state of a leader, for example pending lease requests and the progress of a rollout, is lost
// with the leadership, and the next leader rebuilds it.
//
// # Epochs
//
// An operator bootstraps a fleet under an epoch that is higher than all earlier ones. A server keeps one Raft log per
// epoch and takes part in the latest epoch only. A replica holds the server's state of that epoch. The server replaces
// it by a new replica when a new epoch starts.
//
// # Goroutines
//
// Run starts one goroutine per task: the allocator, which turns lease requests into log entries; the rollout loop; and
// the status loop, which publishes a snapshot that status and metrics requests read without waiting. The Raft
// node applies entries on a separate goroutine. All of them share the state machine under locks that are never held
// during I/O.
//
// Lease requests wait in a bounded queue. When it is full they are rejected and the proxy retries. The server replies
// to a request from the state machine, only after the plan that serves the request is committed.
package server
