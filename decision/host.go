package decision

import "time"

// AllPeers is the peer argument of Host.SendToPeer for a message to all peers.
const AllPeers = ^uint32(0)

// Host carries out a Balancer's actions, in the order of the calls. The Balancer calls its methods within its
// event methods. They must not block and must not call the Balancer.
type Host interface {
	// Send starts an attempt. The attempt times out at until on the caller's clock; 0 means at the client's
	// deadline. The attempts of a request are numbered from 0 in the order of the calls.
	Send(id RequestID, to BackendID, until time.Duration)
	// Reject gives a request the final answer that it was not served and that a retry is harmless. The
	// client is to retry after retryAfter; with 0 the answer contains no time.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail gives a request the final answer that it failed and may have run.
	Fail(id RequestID)
	// Cancel cancels an attempt. Its end must still be reported by Balancer.Outcome.
	Cancel(id RequestID, attempt int)
	// CheckHealth starts a health check. Its result must be reported by Balancer.HealthChecked.
	CheckHealth(b BackendID)
	// ReleaseIdleConnections closes the idle connections to a backend.
	ReleaseIdleConnections(b BackendID)
	// WatchEndpoints starts a watch of the endpoint list in place of any earlier one, or ends it if on is
	// false. Updates and failures must be reported by Balancer.UpdateEndpoints.
	WatchEndpoints(on bool)
	// FetchEndpoints requests the complete endpoint list once.
	FetchEndpoints()
	// SendToPeer sends a message to another proxy, or to AllPeers.
	SendToPeer(peer uint32, body []byte)
	// StartTimer requests a call of Balancer.Timer with this token after d.
	StartTimer(d time.Duration, token uint64)
	// Log logs a line for operators.
	Log(line string)
}
