package decision

import "time"

// Calls for the endpoint list are repeated with exponential backoff and jitter once one has failed.
const (
	maxBackoffDoublings = 4

	// With polled discovery, all that the discovery service has counts as known listFreshnessBound after
	// it could be reached again. A wait may be that time divided by listBackoffDivisor: the next call may
	// need time too.
	listFreshnessBound = 6 * time.Second
	listBackoffDivisor = 4

	// Where the list is pushed, a wait may be a drain's grace period divided by drainGraceDivisor.
	drainGraceDivisor = 4

	minListBackoff = 10 * time.Millisecond
)

// MaxListBackoff is the longest wait between two calls for the endpoint list once one has failed. Where the
// list is pushed, an agent on this machine has it: calls cost nothing, and what the agent has counts as
// known at once, so the wait is a part of a drain's grace period. Where it is polled, what the
// discovery service has counts as known at a fixed time after it could be reached, however seldom it is
// polled otherwise.
func (c *Config) MaxListBackoff() time.Duration {
	if !c.PolledDiscovery {
		return max(c.Constraints.DrainGrace/drainGraceDivisor, minListBackoff)
	}
	most := listFreshnessBound / listBackoffDivisor
	if age := c.Constraints.MaxListAge; age > 0 {
		return min(max(age/2, minListBackoff), most)
	}
	return most
}

// scheduleListRetry requests the list again after a failed call: after half the backoff and a random part
// of the other half.
func (b *Balancer) scheduleListRetry() {
	b.failedListCalls++
	doubled := b.checkInterval << min(b.failedListCalls, maxBackoffDoublings)
	backoff := min(doubled, b.config.MaxListBackoff())
	b.host.StartTimer(backoff/2+jitter(b.random, backoff/2), endpointsToken)
}
