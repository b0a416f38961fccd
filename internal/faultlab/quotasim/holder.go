package quotasim

import (
	"fmt"
	"math"
	"time"

	"lapisspread/internal/quotalease"
)

const (
	tickInterval = 10 * time.Millisecond // in which attempts are drawn

	// overShare is by how much FixedSharesOverLimit has more.
	overShare = 1.1

	// demandHeadroom is by how much more is requested than was attempted.
	demandHeadroom = 1.2

	zones     = 5   // one of them is hot
	hotFactor = 6.0 // how many times as much a hot holder wants as another one
)

// holder is a proxy.
type holder struct {
	*quotalease.Holder
	number            int
	alive             bool
	partitioned       bool
	fixedBuckets      []bucket  // by quota
	overrunBuckets    []bucket  // by quota, of one that spends by leases that have expired
	attempted         []int     // by driven quota, since the last request
	wanted            []float64 // by driven quota, units a second
	requestedAt       time.Duration
	requestGeneration int // counts schedules, so that an older one is dropped
}

func (h *holder) id() quotalease.HolderID {
	return quotalease.HolderID{Holder: fmt.Sprintf("n%d", h.number), Incarnation: 1}
}

// bucket is a token bucket in units.
type bucket struct {
	level    float64
	rate     float64
	burst    float64
	filledAt time.Duration
}

// take spends one unit if there is one.
func (b *bucket) take(now time.Duration) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// startHolder adds a holder, which sends requests from now on.
func (s *simulation) startHolder() {
	h := &holder{
		number: len(s.holders), alive: true, attempted: make([]int, s.settings.DrivenQuotas),
		wanted: make([]float64, s.settings.DrivenQuotas), requestedAt: s.now,
	}
	h.Holder = quotalease.NewHolder(quotalease.HolderSettings{
		FleetID: s.config.FleetID, HolderID: h.id(), MaxDrift: s.config.MaxDrift,
	})
	s.holders = append(s.holders, h)
	share := s.settings.UnitsPerHolder
	if s.settings.Policy == FixedSharesOverLimit {
		share *= overShare
	}
	for range s.settings.Quotas {
		h.fixedBuckets = append(h.fixedBuckets, bucket{rate: share, burst: share, filledAt: s.now})
		h.overrunBuckets = append(h.overrunBuckets, bucket{filledAt: s.now})
	}
	if s.settings.usesLeases() {
		first := time.Duration(s.rng.Int64N(int64(s.settings.LeaseDuration / 3)))
		s.schedule(first, func() { s.sendRequest(h) })
	}
}

// demandOf returns what a holder wants of a quota, in units a second.
func (s *simulation) demandOf(h *holder) float64 {
	if s.settings.DemandShiftInterval == 0 {
		return s.settings.UnitsPerHolder * s.settings.Load
	}
	cold := s.settings.UnitsPerHolder * s.settings.Load * zones / (hotFactor + zones - 1)
	if h.number%zones == int(s.now/s.settings.DemandShiftInterval)%zones {
		return cold * hotFactor
	}
	return cold
}

// measureDemand measures what was attempted of a quota since the last request, as quotalease.Holder does once it has a
// lease, which this holder may not have had yet. It rises at once and falls by a part of the way.
func (h *holder) measureDemand(now time.Duration, quota int, decay float64) {
	if now <= h.requestedAt {
		return
	}
	seen := demandHeadroom * float64(h.attempted[quota]) / (now - h.requestedAt).Seconds()
	h.wanted[quota] = max(seen, h.wanted[quota]-(h.wanted[quota]-seen)*decay)
	h.attempted[quota] = 0
}

// drawAttempts draws the attempts of a tick.
func (s *simulation) drawAttempts() {
	for _, h := range s.holders {
		if !h.alive {
			continue
		}
		mean := s.demandOf(h) * tickInterval.Seconds()
		for quota := range s.settings.DrivenQuotas {
			for attempts := s.poisson(mean); attempts > 0; attempts-- {
				s.attempt(h, quota)
			}
		}
	}
	s.schedule(tickInterval, s.drawAttempts)
}

// attempt makes one attempt, and notifies the checkers of what was wanted and what was taken.
func (s *simulation) attempt(h *holder, quota int) {
	s.requestCount++
	admitted := s.acquire(h, quota)
	arrives := s.now + s.delay()
	for _, checker := range s.activeCheckers() {
		checker.Wanted(s.now, quota, s.requestCount)
		if admitted {
			checker.Took(arrives, quota, s.requestCount, false)
		}
	}
}

// poisson draws by multiplication; means here are far below 1. (Knuth, TAOCP 2, 3.4.1.)
func (s *simulation) poisson(mean float64) (n int) {
	limit := math.Exp(-mean)
	for p := s.rng.Float64(); p > limit; p *= s.rng.Float64() {
		n++
	}
	return n
}

// acquire admits one unit by the policy.
func (s *simulation) acquire(h *holder, quota int) bool {
	if !s.settings.usesLeases() {
		return h.fixedBuckets[quota].take(s.now)
	}
	h.attempted[quota]++
	if _, err := h.Acquire(s.now, s.quotaNames[quota], 1); err == nil {
		return true
	}
	if s.settings.Policy != SpendsExpiredLease {
		return false
	}
	overrun := &h.overrunBuckets[quota]
	if status := h.Status(s.now, s.quotaNames[quota]); status.Amount > 0 {
		units := status.Amount.Units()
		*overrun = bucket{rate: units, burst: units, filledAt: s.now}
		return false
	}
	return overrun.take(s.now)
}
