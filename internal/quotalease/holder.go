package quotalease

import (
	"maps"
	"slices"
	"time"

	"lapisspread/internal/quotalease/internal/mutation"
)

// HolderSettings are those of one process of a proxy.
type HolderSettings struct {
	FleetID string
	// HolderID must have an incarnation that no other process of that name ever has.
	HolderID
	// MaxDrift is at least that of the fleet's bootstrap.
	MaxDrift float64
	// ConfigVersion and Floors are what the process, or the one before it, received last and keeps on disk. An
	// older copy of them must not be put back: a floor in it may be another holder's by now.
	ConfigVersion uint64
	Floors        map[string]Floor
}

// requestHistory is how many requests a holder remembers. A reply to an older one is too late.
const requestHistory = 64

type sentRequest struct {
	seq    uint64
	sentAt time.Duration
}

// quotaState is what a process has of one quota.
type quotaState struct {
	name string
	kind Kind

	lease        Lease
	active       bool // the lease has not expired
	expiresAt    time.Duration
	highestToken Token // of all leases that were taken
	bucket       tokenBucket
	inFlight     Amount // under leases

	floor         Floor
	floorBucket   tokenBucket
	floorInFlight Amount

	attempted    Amount // since the last measurement of the demand
	rejected     Amount // since then, of units in flight
	peakInFlight Amount // since then
	wanted       float64
	wantedIsSet  bool // by the caller, not measured

	// The errors are made once, so that a rejection allocates nothing.
	errExhausted error
	errExpired   error
	errNoLease   error
}

// Holder is the lease holder in a proxy: it makes requests, takes the leases of the replies, and admits or rejects
// each unit. Calls do not block, and must not run concurrently with each other.
type Holder struct {
	settings      HolderSettings
	epoch         uint64
	configVersion uint64 // of the floors
	adoptedFloors uint64 // the version whose floors it has fully adopted
	seq           uint64
	sentRequests  [requestHistory]sentRequest // by number, modulo the length
	measuredAt    time.Duration               // when the demand was last measured
	quotas        map[string]*quotaState
	floorClaim    bool
	claimedAt     time.Duration
	leaving       bool
	mutations     mutation.Set

	revalidationFailures uint64
}

// NewHolder returns the holder of a process that has no lease yet. It may spend nothing until HandleReply has taken
// one, but for its floors once SetFloorClaim has claimed them.
func NewHolder(settings HolderSettings) *Holder {
	h := &Holder{settings: settings, configVersion: settings.ConfigVersion, quotas: map[string]*quotaState{}}
	for _, name := range slices.Sorted(maps.Keys(settings.Floors)) {
		floor := settings.Floors[name]
		h.quotaState(name, floor.Kind).floor = floor
	}
	return h
}

// SetMutations takes safeguards out, so that a checker of the invariant can be tested.
func (h *Holder) SetMutations(mutations mutation.Set) { h.mutations = mutations }

// quotaState returns the state of a quota; it makes one if there is none.
func (h *Holder) quotaState(name string, kind Kind) *quotaState {
	quota := h.quotas[name]
	if quota == nil {
		quota = &quotaState{
			name: name, kind: kind,
			errExhausted: ExhaustedError{Quota: name},
			errExpired:   LeaseExpiredError{Quota: name},
			errNoLease:   NoLeaseError{Quota: name},
		}
		h.quotas[name] = quota
	}
	if quota.kind == 0 {
		quota.kind = kind
	}
	return quota
}

// slowdown is by how much token buckets fill more slowly, so that a clock that is fast by the drift fills no more
// than it should.
func (h *Holder) slowdown() float64 { return 1 + h.settings.MaxDrift }

// SetFloorClaim sets whether this process alone, on its machine, has the claim to the floors of its name. Callers
// call it when that changes. What the process before spent last is not known: a rate begins with an empty bucket,
// and units in flight are admitted only when all that the process before may have begun is over.
func (h *Holder) SetFloorClaim(now time.Duration, claimed bool) {
	if claimed && !h.floorClaim {
		h.claimedAt = now
		for _, quota := range h.quotas {
			quota.floorBucket = tokenBucket{filledAt: now}
		}
	}
	h.floorClaim = claimed
}

// floorSettled reports whether units in flight that the process before began on this floor are over.
func (h *Holder) floorSettled(now time.Duration, floor *Floor) bool {
	return now-h.claimedAt >= withDriftMargin(floor.MaxHoldTime, h.settings.MaxDrift)
}

// ReleaseAll ends everything: nothing more is admitted, and the next request gives all leases back.
func (h *Holder) ReleaseAll() {
	h.leaving = true
	for _, quota := range h.quotas {
		quota.active = false
	}
}

// leaseActive reports whether there is a lease that has not expired.
func (q *quotaState) leaseActive(now time.Duration) bool {
	if q.active && now >= q.expiresAt {
		q.active = false
	}
	return q.active
}

// Acquire admits a number of units of a quota now, or rejects them with ExhaustedError, LeaseExpiredError or
// NoLeaseError; the last is also the answer to a number below 0 and after ReleaseAll. The token goes with the attempt, to servers that have a Fence; the zero token is that of a floor.
// Units in flight must be given back by Release, at the end of their hold time at the latest. Acquire allocates
// nothing for a known quota. The number of units must not exceed what a quota can have (unitsLimit, 1e9): it is not
// checked, and a far larger one overflows an Amount.
func (h *Holder) Acquire(now time.Duration, quotaName string, units int64) (Token, error) {
	quota := h.quotas[quotaName]
	if quota == nil {
		return Token{}, NoLeaseError{Quota: quotaName}
	}
	if units < 0 || h.leaving {
		return Token{}, quota.errNoLease
	}
	amount := Amount(units) * Unit
	quota.attempted += amount
	hasFloor := h.floorClaim && quota.floor.Amount > 0
	if quota.kind == InFlight {
		return quota.acquireInFlight(now, amount, hasFloor && h.floorSettled(now, &quota.floor))
	}
	return quota.acquireRate(now, amount, hasFloor, h.slowdown())
}

// acquireRate admits from the floor's bucket first, then from the lease's.
func (q *quotaState) acquireRate(now time.Duration, amount Amount, hasFloor bool, slowdown float64) (Token, error) {
	if hasFloor {
		q.floorBucket.refill(now, q.floor.Amount, q.floor.Burst, slowdown)
		if q.floorBucket.spend(amount) {
			return Token{}, nil
		}
	}
	if !q.leaseActive(now) {
		return Token{}, q.noLeaseError(hasFloor)
	}
	q.bucket.refill(now, q.lease.Amount, q.lease.Burst, slowdown)
	if !q.bucket.spend(amount) {
		return Token{}, q.errExhausted
	}
	return q.highestToken, nil
}

// acquireInFlight admits up to the floor's amount first, then up to the lease's.
func (q *quotaState) acquireInFlight(now time.Duration, amount Amount, hasFloor bool) (Token, error) {
	switch {
	case hasFloor && q.floorInFlight+amount <= q.floor.Amount:
		q.floorInFlight += amount
		q.peakInFlight = max(q.peakInFlight, q.inFlight+q.floorInFlight)
		return Token{}, nil
	case !q.leaseActive(now):
		q.rejected += amount
		return Token{}, q.noLeaseError(hasFloor)
	case q.inFlight+amount > q.lease.Amount:
		q.rejected += amount
		return Token{}, q.errExhausted
	}
	q.inFlight += amount
	q.peakInFlight = max(q.peakInFlight, q.inFlight+q.floorInFlight)
	return q.highestToken, nil
}

// noLeaseError returns why there is nothing to spend without an active lease.
func (q *quotaState) noLeaseError(hasFloor bool) error {
	switch {
	case hasFloor:
		return q.errExhausted
	case q.highestToken == (Token{}):
		return q.errNoLease
	}
	return q.errExpired
}

// Revalidate checks a lease once more just before an attempt is sent, because the process may have been stopped since
// Acquire. It returns the token to send, or LeaseExpiredError; then the attempt must not be sent. It cannot see a stop
// between this check and the network; a Fence rejects that attempt once a newer token of the holder has reached it.
func (h *Holder) Revalidate(now time.Duration, quotaName string, token Token) (Token, error) {
	if token == (Token{}) {
		return token, nil
	}
	quota := h.quotas[quotaName]
	if quota == nil || !quota.leaseActive(now) {
		h.revalidationFailures++
		return Token{}, LeaseExpiredError{Quota: quotaName}
	}
	return quota.highestToken, nil
}

// RevalidationFailures returns how many attempts Revalidate has rejected.
func (h *Holder) RevalidationFailures() uint64 { return h.revalidationFailures }

// Release gives back units in flight that Acquire admitted with a token. It returns UnknownQuotaError for a quota that
// this holder does not know or a number below 0, or InvalidCommandError if more is given back than is in flight. It
// does nothing for a rate.
func (h *Holder) Release(quotaName string, token Token, units int64) error {
	quota := h.quotas[quotaName]
	if quota == nil || units < 0 {
		return UnknownQuotaError{Quota: quotaName}
	}
	if quota.kind != InFlight {
		return nil
	}
	inFlight := &quota.inFlight
	if token == (Token{}) {
		inFlight = &quota.floorInFlight
	}
	amount := Amount(units) * Unit
	if amount > *inFlight {
		return InvalidCommandError{Reason: "more is given back of " + quotaName + " than is in hand"}
	}
	*inFlight -= amount
	return nil
}

// Clone returns a copy that can be changed without changing the original, for model checking.
func (h *Holder) Clone() *Holder {
	copied := *h
	copied.quotas = make(map[string]*quotaState, len(h.quotas))
	for name, quota := range h.quotas {
		one := *quota
		copied.quotas[name] = &one
	}
	return &copied
}
