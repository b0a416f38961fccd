package proxy

import (
	"time"

	"lapisspread/decision"
)

// Timing of an agent on this machine, which answers at once and at no cost.
const (
	agentHold  = time.Second
	agentSlack = 500 * time.Millisecond
	agentFetch = 1500 * time.Millisecond
)

// Timing of a discovery service that the whole fleet polls.
const (
	minRemoteHold = 2 * time.Second
	maxRemoteHold = 20 * time.Second
	remoteSlack   = time.Second
	remoteFetch   = 6 * time.Second
	callsPerAge   = 2 // watches within the time in which an answer grows too old
)

// discoveryTiming is how discovery is called. A watch that gets no answer while its connection stays open shows only by
// its time: watchHold and slack together bound how long that goes unnoticed.
type discoveryTiming struct {
	watchHold    time.Duration // how long discovery may hold a watch
	slack        time.Duration // how much longer that answer may take, and how long a connect may take
	fetchTimeout time.Duration // for the answer to a call without a hold; hedged calls follow after each third of it
	maxBackoff   time.Duration // the longest pause after a failed call
}

// timingFor derives the timing from the settings.
//
// A change that a watch misses must be noticed within 2 s of the end of its hold, so slack stays well below. After any
// failed call the list must be current within 6 s of discovery being back (or at once with an agent), so that the next
// call after fetchTimeout/3 or maxBackoff has half of that time to spare.
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
