package node

import "sync/atomic"

// Metrics count since the start.
type Metrics struct {
	// Sent and SentBytes count messages that peers took, and the bytes of all requests to them.
	Sent      uint64
	SentBytes uint64
	// Dropped counts messages that this server lost, in either direction.
	Dropped uint64
	// Rejected counts messages that this server did not accept.
	Rejected uint64
	// SyncedWrites counts batches that were flushed to disk.
	SyncedWrites uint64
}

// counters are Metrics as they are counted.
type counters struct {
	sent         atomic.Uint64
	sentBytes    atomic.Uint64
	dropped      atomic.Uint64
	rejected     atomic.Uint64
	syncedWrites atomic.Uint64
}

// Metrics returns the counts. It does not block.
func (n *Node) Metrics() Metrics {
	return Metrics{
		Sent:         n.metrics.sent.Load(),
		SentBytes:    n.metrics.sentBytes.Load(),
		Dropped:      n.metrics.dropped.Load(),
		Rejected:     n.metrics.rejected.Load(),
		SyncedWrites: n.metrics.syncedWrites.Load(),
	}
}
