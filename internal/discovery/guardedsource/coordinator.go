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

// Coordinator has the guards, the pacers and the cached lists of a process. It is safe for concurrent use.
type Coordinator struct {
	file       *File
	proxies    int
	seed       uint64
	now        func() time.Duration
	log        *slog.Logger
	maxBackoff time.Duration // bounds the file's, see LimitBackoff; 0 is no bound

	mu          sync.Mutex
	guards      map[string]*lockedGuard     // by name, see Wrap
	pacers      map[string]*listguard.Pacer // likewise; mu guards the pacers too
	stats       CallStats
	cachedLists map[string]CachedList // by address
}

// CachedList is a list as discovery has delivered it.
type CachedList struct {
	Endpoints  engine.EndpointList `json:"list"`
	AnsweredAt time.Duration       `json:"at"` // when discovery last answered, by the coordinator's clock; 0 is never
}

// lockedGuard is a guard with the lock under which lists go through it, so that they keep their order.
type lockedGuard struct {
	mu    sync.Mutex
	guard *listguard.Guard
}

// CallStats count the calls to discovery.
type CallStats struct {
	Calls    int64 `json:"calls"`
	Failed   int64 `json:"failed"`
	Deferred int64 `json:"told_to_come_back_later"` // failed with a time after which to retry
}

// Report is what the console's COMEBACK command shows: the calls of all discovery services, and what their guards have
// done.
type Report struct {
	CallStats
	ConsecutiveFailures int   `json:"failed_in_a_row"` // of the discovery service that has the most
	SuspectLists        int64 `json:"lists_doubted"`   // this and the next three: see listguard.GuardStats
	Retained            int64 `json:"servers_kept"`
	Returned            int64 `json:"servers_back"`
	Dropped             int64 `json:"servers_dropped"`
	Missing             int   `json:"servers_missing_now"` // see listguard.Guard.Missing
}

// NewCoordinator makes the coordinator of one of so many proxies. The seed must differ between processes; now is a
// clock that never goes back.
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

// LimitBackoff bounds the pause between calls, whatever the file and discovery say: what discovery has said counts as
// known soon after it could be reached, however many calls it has rejected. It returns c.
func (c *Coordinator) LimitBackoff(limit time.Duration) *Coordinator {
	c.maxBackoff = limit
	return c
}

// Wrap puts the rules before a source. Sources of one name are one discovery service, wherever it has moved, and share
// a guard and a pacer. known is the list that the process knows of it from elsewhere.
func (c *Coordinator) Wrap(name string, inner engine.Source, known engine.EndpointList) *Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, cached := c.cachedLists[inner.Addr()]; !cached {
		c.cachedLists[inner.Addr()] = CachedList{Endpoints: known}
	}
	return &Source{Source: inner, coordinator: c, guard: c.guardOf(name, known), pacer: c.pacerOf(name)}
}

// guardOf returns the guard of a name, nil if the file has none. The lock is held.
func (c *Coordinator) guardOf(name string, known engine.EndpointList) *lockedGuard {
	settings, on := c.file.guardSettings()
	if !on {
		return nil
	}
	if c.guards[name] == nil {
		guard, err := listguard.NewGuard(settings, known)
		if err != nil { // Parse has validated them
			panic(err)
		}
		c.guards[name] = &lockedGuard{guard: guard}
	}
	return c.guards[name]
}

// pacerOf returns the pacer of a name, nil if the file has none. The lock is held.
func (c *Coordinator) pacerOf(name string) *listguard.Pacer {
	settings, on := c.file.pacingSettings(c.proxies, c.seed)
	if !on {
		return nil
	}
	if c.pacers[name] == nil {
		if c.maxBackoff > 0 { // half of it, since a fleet round may be added
			settings.MaxBackoff = max(min(settings.MaxBackoff, c.maxBackoff/2), listguard.MinBackoff)
		}
		pacer, err := listguard.NewPacer(settings)
		if err != nil { // Parse has validated them
			panic(err)
		}
		c.pacers[name] = pacer
	}
	return c.pacers[name]
}

// CachedLists returns the lists of all discovery services, by address.
func (c *Coordinator) CachedLists() map[string]CachedList {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.cachedLists)
}

// cache takes a list into the cached one of an address. Changes that are older than that are dropped.
func (c *Coordinator) cache(addr string, list engine.EndpointList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.cachedLists[addr]
	cached.AnsweredAt = c.now()
	switch {
	case list.Full:
		cached.Endpoints = list
	case !list.OlderThan(cached.Endpoints.Version):
		endpoints := slices.Clone(cached.Endpoints.Endpoints) // CachedLists has given the old ones away
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

// Report sums up all discovery services.
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
