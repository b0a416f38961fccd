package guardedsource

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/discovery/listguard"
	"lapisspread/internal/engine"
)

// Coordinator holds the guards, the pacers and the cached endpoint lists of a process. It is safe for concurrent use.
type Coordinator struct {
	file       *File
	proxies    int
	seed       uint64
	now        func() time.Duration
	log        *slog.Logger
	maxBackoff time.Duration // upper bound for the backoff of the file, see LimitBackoff; 0 means no bound

	mu          sync.Mutex
	guards      map[string]*lockedGuard     // by the name given to Wrap
	pacers      map[string]*listguard.Pacer // by the name given to Wrap; mu guards the pacers too
	stats       CallStats
	cachedLists map[string]CachedList // by address of the discovery service
}

// CachedList is the latest endpoint list of a discovery service, as received, before a guard changes it.
type CachedList struct {
	Endpoints  engine.EndpointList `json:"list"`
	AnsweredAt time.Duration       `json:"at"` // last response, by the coordinator's clock; 0 if there was none
}

// lockedGuard is a guard with its lock. The lock is held while a list is applied and delivered, which keeps the lists
// in order.
type lockedGuard struct {
	mu    sync.Mutex
	guard *listguard.Guard
}

// CallStats count the calls to discovery.
type CallStats struct {
	Calls    int64 `json:"calls"` // including calls that wait for the pacer
	Failed   int64 `json:"failed"`
	Deferred int64 `json:"told_to_come_back_later"` // failed calls whose error is a RetryAfterError with a delay
}

// Report holds the sums over all discovery services that the admin command COMEBACK shows: the calls, and the counters
// of the guards.
type Report struct {
	CallStats
	ConsecutiveFailures int   `json:"failed_in_a_row"`     // maximum over the discovery services
	SuspectLists        int64 `json:"lists_doubted"`       // full lists that suddenly lacked many endpoints
	Retained            int64 `json:"servers_kept"`        // endpoints retained because a suspect list lacked them
	Returned            int64 `json:"servers_back"`        // retained endpoints that were listed again
	Dropped             int64 `json:"servers_dropped"`     // retained endpoints that were not listed again in time
	Missing             int   `json:"servers_missing_now"` // endpoints that are currently retained
}

// NewCoordinator returns the coordinator of one process in a fleet with the given number of proxies. seed must differ
// between processes; now must be a monotonic clock.
func NewCoordinator(f *File, proxies int, seed uint64, now func() time.Duration, log *slog.Logger) *Coordinator {
	return &Coordinator{
		file:        f,
		proxies:     proxies,
		seed:        seed,
		now:         now,
		log:         log,
		guards:      map[string]*lockedGuard{},
		pacers:      map[string]*listguard.Pacer{},
		cachedLists: map[string]CachedList{},
	}
}

// LimitBackoff bounds the pause between calls, whatever the file and the RetryAfterErrors of discovery require. A
// process can therefore rely on discovery's information again soon after discovery becomes reachable, however many
// calls discovery has rejected before. LimitBackoff must be called before Wrap. It returns c.
func (c *Coordinator) LimitBackoff(limit time.Duration) *Coordinator {
	c.maxBackoff = limit
	return c
}

// Wrap returns a Source that applies the rules to inner. Sources with the same name belong to the same discovery
// service, even if its address has changed, and share a guard and a pacer. known is an endpoint list from another
// source, such as a snapshot, with which a new guard starts.
func (c *Coordinator) Wrap(name string, inner engine.Source, known engine.EndpointList) *Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, cached := c.cachedLists[inner.Addr()]; !cached {
		c.cachedLists[inner.Addr()] = CachedList{Endpoints: known}
	}
	return &Source{Source: inner, coordinator: c, guard: c.guardFor(name, known), pacer: c.pacerFor(name)}
}

// guardFor returns the guard for a discovery service's name, or nil if the file configures no guard. The caller holds
// c.mu.
func (c *Coordinator) guardFor(name string, known engine.EndpointList) *lockedGuard {
	settings, enabled := c.file.guardSettings()
	if !enabled {
		return nil
	}
	if c.guards[name] == nil {
		guard, err := listguard.NewGuard(settings, known)
		if err != nil { // cannot happen: Parse has validated the settings
			panic(err)
		}
		c.guards[name] = &lockedGuard{guard: guard}
	}
	return c.guards[name]
}

// pacerFor returns the pacer for a discovery service's name, or nil if the file configures no pacing. The caller holds
// c.mu.
func (c *Coordinator) pacerFor(name string) *listguard.Pacer {
	settings, enabled := c.file.pacingSettings(c.proxies, c.seed)
	if !enabled {
		return nil
	}
	if c.pacers[name] == nil {
		if c.maxBackoff > 0 { // half of the bound, because a Pacer may add up to a fleet round (see Pacer)
			settings.MaxBackoff = max(min(settings.MaxBackoff, c.maxBackoff/2), listguard.MinBackoff)
		}
		pacer, err := listguard.NewPacer(settings)
		if err != nil { // cannot happen: Parse has validated the settings
			panic(err)
		}
		c.pacers[name] = pacer
	}
	return c.pacers[name]
}

// CachedLists returns the cached lists of all discovery services, by address. The caller must not modify them.
func (c *Coordinator) CachedLists() map[string]CachedList {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.cachedLists)
}

// cache applies a list to the cached list of an address. Changes that are older than the cached list are dropped.
func (c *Coordinator) cache(addr string, list engine.EndpointList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.cachedLists[addr]
	cached.AnsweredAt = c.now()
	switch {
	case list.Full:
		cached.Endpoints = list
	case !list.OlderThan(cached.Endpoints.Version):
		endpoints := slices.Clone(cached.Endpoints.Endpoints) // callers of CachedLists may still use the old slice
		for _, changed := range list.Endpoints {
			isChanged := func(other engine.Endpoint) bool { return other.ID == changed.ID }
			endpoints = slices.DeleteFunc(endpoints, isChanged)
			if changed.State != decision.Removed {
				endpoints = append(endpoints, changed)
			}
		}
		cached.Endpoints = engine.EndpointList{Version: list.Version, Full: true, Endpoints: endpoints}
	}
	c.cachedLists[addr] = cached
}

// Report returns the sums over all discovery services.
func (c *Coordinator) Report() Report {
	c.mu.Lock()
	report := Report{CallStats: c.stats}
	for _, pacer := range c.pacers {
		report.ConsecutiveFailures = max(report.ConsecutiveFailures, pacer.ConsecutiveFailures())
	}
	guards := slices.Collect(maps.Values(c.guards))
	c.mu.Unlock()
	for _, guard := range guards {
		guard.addTo(&report)
	}
	return report
}

// addTo adds the guard's counters to a report.
func (g *lockedGuard) addTo(report *Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	stats := g.guard.Stats()
	report.SuspectLists += stats.SuspectLists
	report.Retained += stats.Retained
	report.Returned += stats.Returned
	report.Dropped += stats.Dropped
	report.Missing += g.guard.Missing()
}
