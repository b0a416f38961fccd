// Package node runs one server of the replicated log of package consensus. It does the I/O that the Core leaves to its
// caller.
//
// A Node has one goroutine that owns the Core and its ticks (runRaft), one that writes batches to the store
// (runStore), and one for each peer that sends messages to it (peer.run). All other goroutines reach the Core
// through onRaftLoop.
//
// The goroutines communicate through bounded queues. If a queue is full, the message is dropped, and Raft sends it
// again. If the maximum number of requests is pending, a request is rejected with consensus.QueueFullError.
//
// Servers send each other messages in HTTP POST requests. A body is a CBOR array of messages; see wireMessage.
package node
