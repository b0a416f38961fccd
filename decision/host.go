package decision

import "time"

// AllPeers addresses Host.SendToPeer to every peer.
const AllPeers = ^uint32(0)

// Host carries out a Balancer's actions, in the order of the calls. Its methods are called from within the
// event methods, must not block, and must not call the Balancer back.
type Host interface {
	// Send starts an attempt. It is to be given up at until on the caller's clock; 0 means the client's
	// deadline. Attempts of a request are numbered from 0 in the order of the calls.
	Send(id RequestID, to BackendID, until time.Duration)
	// Reject gives a final answer that promises that trying again is harmless. With a retryAfter
	// of 0 the client is not told when to retry.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail gives a final answer that promises nothing: the request may have run.
	Fail(id RequestID)
	// Cancel cancels an attempt; its end is still reported by Balancer.Outcome.
	Cancel(id RequestID, attempt int)
	// CheckHealth starts a health check, whose result is reported by Balancer.HealthChecked.
	CheckHealth(b BackendID)
	// ReleaseIdleConnections closes the idle connections to a backend.
	ReleaseIdleConnections(b BackendID)
	// WatchEndpoints asks for changes of the endpoint list from here on.
	WatchEndpoints(on bool)
	// FetchEndpoints asks for the whole endpoint list once.
	FetchEndpoints()
	// SendToPeer sends a message to another proxy, or to AllPeers.
	SendToPeer(peer uint32, body []byte)
	// StartTimer asks for a call of Balancer.Timer with this token after d.
	StartTimer(d time.Duration, token uint64)
	// Log prints a line for operators.
	Log(line string)
}
