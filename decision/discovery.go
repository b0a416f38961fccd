package decision

import "time"

// A failed call for the endpoint list is repeated with exponential backoff and jitter.
const (
	maxBackoffDoublings = 4

	// With polled discovery, the proxy must have the current list within listFreshnessBound of when the
	// discovery service can be reached again. The maximum backoff is that time divided by
	// listBackoffDivisor, since the next call takes time too.
	listFreshnessBound = 6 * time.Second
	listBackoffDivisor = 4

	// With pushed discovery, the maximum backoff is DrainGrace divided by drainGraceDivisor.
	drainGraceDivisor = 4

	minListBackoff = 10 * time.Millisecond
)

// MaxListBackoff returns the longest time between two calls for the endpoint list after one has failed.
//
// If the list is pushed, it comes from an agent on this machine: calls cost nothing, and the proxy is
// expected to have the agent's list at once, so the backoff is a fraction of DrainGrace. If the list is
// polled, the proxy must have the current list within a fixed time after the discovery service can be reached
// again, whatever the polling interval.
func (c *Config) MaxListBackoff() time.Duration {
	if !c.PolledDiscovery {
		return max(c.Constraints.DrainGrace/drainGraceDivisor, minListBackoff)
	}
	longest := listFreshnessBound / listBackoffDivisor
	if age := c.Constraints.MaxListAge; age > 0 {
		return min(max(age/2, minListBackoff), longest)
	}
	return longest
}

// scheduleListRetry starts the timer for the next call for the endpoint list after one has failed: after half
// the backoff and a random part of the other half.
func (b *Balancer) scheduleListRetry() {
	b.failedListCalls++
	doubled := b.checkInterval << min(b.failedListCalls, maxBackoffDoublings)
	backoff := min(doubled, b.config.MaxListBackoff())
	b.host.StartTimer(backoff/2+jitter(b.random, backoff/2), endpointsToken)
}
