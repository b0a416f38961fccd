package distribution

import "time"

const (
	// minRetryStep is the minimum time between the scheduled retries of two waiting proxies.
	minRetryStep = time.Millisecond
	// minWaitDivisor sets the minimum wait to Settings.FetchIdle divided by it, so that a proxy does not retry
	// immediately.
	minWaitDivisor = 4
	// meanFetchWeight is the weight of the previous mean in throttle.meanFetch; the latest fetch has weight 1.
	meanFetchWeight = 3
)

// throttle bounds how many proxies fetch a whole policy at one time.
type throttle struct {
	settings  Settings
	fetches   map[string]*activeFetch // by proxy
	lastRetry time.Duration           // latest retry time that was given to a proxy
	meanFetch time.Duration           // exponentially weighted mean duration of a whole fetch
}

// activeFetch is a proxy's fetch of a whole policy. It lasts from the first request until FetchIdle after the last one.
type activeFetch struct {
	started     time.Duration
	lastRequest time.Duration
}

func newThrottle(settings Settings) throttle {
	return throttle{settings: settings, fetches: map[string]*activeFetch{}, meanFetch: settings.FetchIdle}
}

// admit returns 0 if the proxy may fetch a whole policy now, and otherwise how long it has to wait. The retries of
// waiting proxies are spread over time at the rate at which fetches are expected to end. Proxies whose turn would come
// later than Settings.MaxWait from now get MaxWait.
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

// removeIdle removes the fetches that have had no request for more than FetchIdle, and updates meanFetch with their
// durations.
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
