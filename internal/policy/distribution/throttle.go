package distribution

import "time"

const (
	// minRetryStep is the shortest time between the retries of two proxies that wait.
	minRetryStep = time.Millisecond
	// minWaitDivisor sets the shortest wait, a part of Settings.FetchIdle, so that a proxy does not ask again at once.
	minWaitDivisor = 4
	// meanFetchWeight is how many times as much as the last fetch the earlier ones count in throttle.meanFetch.
	meanFetchWeight = 3
)

// throttle bounds how many proxies fetch a whole policy at one time.
type throttle struct {
	settings  Settings
	fetches   map[string]*activeFetch // by proxy
	lastRetry time.Duration           // the latest time at which a proxy was told to retry
	meanFetch time.Duration           // duration of a whole fetch, exponentially weighted
}

// activeFetch is a proxy's fetch of a whole policy, from its first request to FetchIdle after its last one.
type activeFetch struct {
	started     time.Duration
	lastRequest time.Duration
}

func newThrottle(settings Settings) throttle {
	return throttle{settings: settings, fetches: map[string]*activeFetch{}, meanFetch: settings.FetchIdle}
}

// admit returns 0 if a proxy may fetch a whole policy now, and else how long it is to wait. Proxies that wait are
// spread over time, as slots are expected to come free. Those for which that would be after Settings.MaxWait are told
// to wait for MaxWait.
func (t *throttle) admit(now time.Duration, proxy string) (retryAfter time.Duration) {
	if fetch := t.fetches[proxy]; fetch != nil && now-fetch.lastRequest <= t.settings.FetchIdle {
		fetch.lastRequest = now
		return 0
	}
	t.removeIdle(now)
	if len(t.fetches) < t.settings.MaxFetches {
		t.fetches[proxy] = &activeFetch{started: now, lastRequest: now}
		return 0
	}
	step := max(minRetryStep, t.meanFetch/time.Duration(t.settings.MaxFetches))
	t.lastRetry = min(max(t.lastRetry, now)+step, now+t.settings.MaxWait)
	return max(t.lastRetry-now, t.settings.FetchIdle/minWaitDivisor)
}

// removeIdle ends the fetches without a request for FetchIdle, and takes their duration into the mean.
func (t *throttle) removeIdle(now time.Duration) {
	for proxy, fetch := range t.fetches {
		if now-fetch.lastRequest <= t.settings.FetchIdle {
			continue
		}
		duration := fetch.lastRequest - fetch.started + t.settings.FetchIdle
		t.meanFetch = (meanFetchWeight*t.meanFetch + duration) / (meanFetchWeight + 1)
		delete(t.fetches, proxy)
	}
}
