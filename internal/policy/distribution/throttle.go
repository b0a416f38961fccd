package distribution

import "time"

// minRetryStep is the shortest time between the retries of two proxies that wait.
const minRetryStep = time.Millisecond

// throttle bounds how many proxies fetch a whole policy at one time.
type throttle struct {
	settings  Settings
	fetches   map[string]*activeFetch // by proxy
	lastRetry time.Duration           // the latest time at which a proxy was told to retry
	meanFetch time.Duration           // duration of a whole fetch, exponentially weighted
}

type activeFetch struct {
	started     time.Duration
	lastRequest time.Duration
}

func newThrottle(settings Settings) throttle {
	return throttle{settings: settings, fetches: map[string]*activeFetch{}, meanFetch: settings.FetchIdle}
}

// admit returns 0 if a proxy may fetch a whole policy now, and else how long it is to wait. Proxies that wait are
// spread over time, as slots are expected to come free.
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
	return max(t.lastRetry-now, t.settings.FetchIdle/4)
}

func (t *throttle) removeIdle(now time.Duration) {
	for proxy, fetch := range t.fetches {
		if now-fetch.lastRequest <= t.settings.FetchIdle {
			continue
		}
		duration := fetch.lastRequest - fetch.started + t.settings.FetchIdle
		t.meanFetch = (3*t.meanFetch + duration) / 4
		delete(t.fetches, proxy)
	}
}
