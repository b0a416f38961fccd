package node

import "sync/atomic"

// Metrics holds counts since the start of the Node.
type Metrics struct {
	// Sent counts the messages that peers accepted.
	Sent uint64
	// SentBytes is the total size in bytes of the bodies of all requests to peers, failed ones included.
	SentBytes uint64
	// Dropped counts messages to and from peers that this server dropped or failed to deliver.
	Dropped uint64
	// Rejected counts messages that were for another fleet, epoch or server, and those for which Core.Step returned an
	// error.
	Rejected uint64
	// SyncedWrites counts the batches with Sync that were passed to the store.
	SyncedWrites uint64
}

// counters holds the counts of Metrics.
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
