// Package node runs one server's part in the replicated log of package consensus: it does the I/O that the pure
// Core leaves to its caller.
//
// A Node has one goroutine that owns the Core and its ticks (runRaft), one that writes batches to the store
// (runStore), and one for each peer that sends messages to it (peer.run). All other goroutines reach the Core
// through onRaftLoop.
//
// The goroutines are joined by bounded queues. A message that finds its queue full is dropped, and Raft sends it
// again; a request that finds as many pending as may be is rejected with consensus.QueueFullError.
//
// Servers talk by POST requests over HTTP. A body is a CBOR array of messages; see wireMessage.
package node
