package proxy

import (
	"time"

	"lapisspread/decision"
)

// Timing for a discovery agent on the same machine, which answers at once and whose calls cost little.
const (
	agentHold  = time.Second
	agentSlack = 500 * time.Millisecond
	agentFetch = 1500 * time.Millisecond
)

// Timing for a remote discovery service that the whole fleet polls.
const (
	minRemoteHold = 2 * time.Second
	maxRemoteHold = 20 * time.Second
	remoteSlack   = time.Second
	remoteFetch   = 6 * time.Second
	callsPerAge   = 2 // watches that fit into MaxListAge, after which a list is too old
)

// discoveryTiming holds the timeouts of calls to discovery. A watch that gets no answer while its connection stays open
// is detected only by its timeout, which is watchHold and slack together.
type discoveryTiming struct {
	watchHold    time.Duration // how long discovery may hold a watch
	slack        time.Duration // how much longer than watchHold the answer may take; also the timeout of a connect
	fetchTimeout time.Duration // timeout of a call without a hold; a hedged call follows after each third of it
	maxBackoff   time.Duration // longest pause after a failed call
}

// timingFor derives the timing from the settings.
//
// A change that a watch misses must be noticed within 2 s of the end of the watch's hold, so slack is well below 2 s.
// After any failed call the list must be current within 6 s of discovery's recovery (or at once with an agent), so the
// next call follows after fetchTimeout/3 or maxBackoff, which leaves half of that time to spare.
func timingFor(m *decision.Config) discoveryTiming {
	timing := discoveryTiming{
		watchHold:    agentHold,
		slack:        agentSlack,
		fetchTimeout: agentFetch,
		maxBackoff:   m.MaxListBackoff(),
	}
	if m.PolledDiscovery {
		timing.watchHold = min(max(m.Constraints.MaxListAge/callsPerAge, minRemoteHold), maxRemoteHold)
		timing.slack = remoteSlack
		timing.fetchTimeout = remoteFetch
	}
	return timing
}
