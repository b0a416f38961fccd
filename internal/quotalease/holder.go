package quotalease

import (
	"maps"
	"slices"
	"time"

	"lapisspread/internal/quotalease/internal/mutation"
)

// HolderSettings are the settings of the Holder of one proxy process.
type HolderSettings struct {
	FleetID string
	// HolderID must have an incarnation that no other process with the same name ever uses.
	HolderID
	// MaxDrift is the maximum clock drift as a fraction. It must be at least that of the fleet's bootstrap.
	MaxDrift float64
	// ConfigVersion and Floors are the last result of Holder.Floors that this process or its predecessor stored on
	// disk. They must not be restored from an older copy, because its floors may have been assigned to another holder
	// since.
	ConfigVersion uint64
	Floors        map[string]Floor
}

// requestHistory is the number of past requests that a holder keeps. Leases that answer older requests are refused.
const requestHistory = 64

// sentRequest is a past request of a Holder.
type sentRequest struct {
	seq    uint64
	sentAt time.Duration // by the holder's clock
}

// quotaState is the state of one quota in a Holder: its lease, its floor and its measured demand.
type quotaState struct {
	name string
	kind Kind

	lease        Lease         // the newest lease, expired or not
	active       bool          // false after ReleaseAll, and once leaseActive finds the lease expired
	expiresAt    time.Duration // when the lease expires, by the holder's clock
	highestToken Token         // the highest token of all accepted leases
	bucket       tokenBucket
	inFlight     Amount // units in flight that leases admitted

	floor         Floor
	floorBucket   tokenBucket
	floorInFlight Amount // units in flight that the floor admitted

	attempted    Amount  // units that callers tried to acquire since the last measurement of the demand
	rejected     Amount  // units of an InFlight quota that were rejected since that measurement
	peakInFlight Amount  // maximum of units in flight since that measurement
	wanted       float64 // the demand, in millionths of a unit
	wantedFixed  bool    // the demand was set by SetDemand and is not measured

	// The errors are created once, so that a rejection allocates no memory.
	errExhausted error
	errExpired   error
	errNoLease   error
}

// Holder is the lease holder in a proxy: it creates the requests to the control-plane servers, accepts the leases of
// their replies, and admits or rejects each unit. Calls do not block, and must not run concurrently with each other.
type Holder struct {
	settings      HolderSettings
	epoch         uint64
	configVersion uint64 // the configuration version of the current floors
	adoptedFloors uint64 // the newest configuration version whose floors were large enough for their units in flight
	seq           uint64
	sentRequests  [requestHistory]sentRequest // indexed by request number modulo the length
	measuredAt    time.Duration               // when the demand was last measured
	quotas        map[string]*quotaState
	floorClaim    bool          // this process may use the floors of its holder's name, see SetFloorClaim
	claimedAt     time.Duration // when floorClaim was last set to true
	leaving       bool          // ReleaseAll was called
	mutations     mutation.Set

	revalidationFailures uint64
}

// NewHolder returns a holder without leases and without the claim to its floors. It rejects all units until HandleReply
// accepts a lease, or until SetFloorClaim permits the use of its floors.
func NewHolder(settings HolderSettings) *Holder {
	h := &Holder{settings: settings, configVersion: settings.ConfigVersion, quotas: map[string]*quotaState{}}
	for _, name := range slices.Sorted(maps.Keys(settings.Floors)) {
		floor := settings.Floors[name]
		h.quotaState(name, floor.Kind).floor = floor
	}
	return h
}

// SetMutations disables safeguards, to test that the model checker finds the resulting violations.
func (h *Holder) SetMutations(mutations mutation.Set) { h.mutations = mutations }

// quotaState returns the state of a quota. It creates the state if there is none.
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

// slowdown returns the factor by which token buckets refill more slowly, so that a clock that is fast by the maximum
// drift does not refill them faster than the rate.
func (h *Holder) slowdown() float64 { return 1 + h.settings.MaxDrift }

// SetFloorClaim sets whether this process may use its floors. A floor belongs to the holder's name, not to a process,
// so of all processes with this name only one may use it at a time: the one that has the exclusive claim, for example a
// lock on a file. The caller must ensure that no other process on its machine has the claim, and call SetFloorClaim
// when the process gets or loses it. A process that gets the claim cannot find out how much the previous one spent. So
// the token bucket of a rate starts empty, and units in flight are admitted only after the maximum hold time, when all
// units that the previous process had in flight have ended.
func (h *Holder) SetFloorClaim(now time.Duration, claimed bool) {
	if claimed && !h.floorClaim {
		h.claimedAt = now
		for _, quota := range h.quotas {
			quota.floorBucket = tokenBucket{filledAt: now}
		}
	}
	h.floorClaim = claimed
}

// floorAvailable reports whether all units in flight that the previous process acquired from this floor have ended.
func (h *Holder) floorAvailable(now time.Duration, floor *Floor) bool {
	return now-h.claimedAt >= withDriftMargin(floor.MaxHoldTime, h.settings.MaxDrift)
}

// ReleaseAll ends the use of all leases and floors: no more units are admitted, and the next request releases all
// leases.
func (h *Holder) ReleaseAll() {
	h.leaving = true
	for _, quota := range h.quotas {
		quota.active = false
	}
}

// leaseActive reports whether there is a lease that has not expired at now.
func (q *quotaState) leaseActive(now time.Duration) bool {
	if q.active && now >= q.expiresAt {
		q.active = false
	}
	return q.active
}

// Acquire admits a number of units of a quota at now, or rejects them with ExhaustedError, LeaseExpiredError or
// NoLeaseError. It also returns NoLeaseError for a negative number and after ReleaseAll. The caller sends the token
// with the attempt, to servers that have a Fence; the zero token means that the units come from a floor. Units in
// flight must be returned with Release, at the latest at the end of their maximum hold time. Acquire allocates no
// memory for a quota that has state. units must not exceed the maximum of a quota (unitsLimit, 1e9); this is not
// checked, and a far larger number overflows an Amount.
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
		return quota.acquireInFlight(now, amount, hasFloor && h.floorAvailable(now, &quota.floor))
	}
	return quota.acquireRate(now, amount, hasFloor, h.slowdown())
}

// acquireRate takes the amount from the floor's token bucket if it suffices, else from the lease's.
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

// acquireInFlight counts the amount under the floor if it fits there, else under the lease.
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

// noLeaseError returns the error of Acquire when there is no active lease: ExhaustedError if there is a floor, whose
// units are used up, NoLeaseError if there never was a lease, else LeaseExpiredError.
func (q *quotaState) noLeaseError(hasFloor bool) error {
	switch {
	case hasFloor:
		return q.errExhausted
	case q.highestToken == (Token{}):
		return q.errNoLease
	}
	return q.errExpired
}

// Revalidate checks the lease again immediately before an attempt is sent, because the process may have been paused
// since Acquire. It returns the token to send, or LeaseExpiredError, in which case the attempt must not be sent. It
// cannot detect a pause between this check and the network; a Fence rejects such an attempt once it has admitted a
// newer token of the holder.
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

// Release returns units in flight that Acquire admitted with a token. It returns UnknownQuotaError for a quota without
// state in this holder or for a negative number, and InvalidCommandError if more units are released than are in flight.
// It does nothing for a rate.
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
		return InvalidCommandError{Reason: "more units of " + quotaName + " are released than are in flight"}
	}
	*inFlight -= amount
	return nil
}

// Clone returns an independent copy. It is for model checking.
func (h *Holder) Clone() *Holder {
	copied := *h
	copied.quotas = make(map[string]*quotaState, len(h.quotas))
	for name, quota := range h.quotas {
		copiedQuota := *quota
		copied.quotas[name] = &copiedQuota
	}
	return &copied
}
