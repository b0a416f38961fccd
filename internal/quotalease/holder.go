package quotalease

import (
	"cmp"
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"time"

	"lapisspread/internal/quotalease/internal/mutation"
)

// HolderSettings are those of one process of a proxy.
type HolderSettings struct {
	FleetID  string
	HolderID         // the incarnation must be one that no other process of that name ever has
	MaxDrift float64 // as the fleet was founded with, or more
	// Version and Floors are what the process knows without talk: what it, or the one before it, was told last and has kept on
	// disk. Danger: an older copy of these may name a floor that is another's by now.
	ConfigVersion uint64
	Floors        map[string]Floor
}

// requestHistory is how many asks a holder remembers. A reply to an older one comes too late.
const requestHistory = 64

type sentRequest struct {
	seq    uint64
	sentAt time.Duration
}

// tokenBucket is a token bucket; its level is in millionths.
type tokenBucket struct {
	level    float64
	filledAt time.Duration // filled until then
}

// refill fills at a rate a second. Danger: a clock that is fast by the drift would fill too much; hence slow, 1 + drift.
func (k *tokenBucket) refill(now time.Duration, rate, burst Amount, slow float64) {
	if now > k.filledAt {
		k.level = min(float64(burst), k.level+float64(rate)*(now-k.filledAt).Seconds()/slow)
		k.filledAt = now
	}
}

// quotaState is what a process has of one budget.
type quotaState struct {
	name string
	kind Kind

	lease        Lease
	active       bool
	expiresAt    time.Duration
	highestToken Token // newest that was taken
	bucket       tokenBucket
	inFlight     Amount // in hand, of grants

	floor         Floor
	floorBucket   tokenBucket
	floorInFlight Amount

	attempted, rejected Amount // since the last ask
	peakInFlight        Amount // in hand since the last ask
	wanted              float64
	wantedIsSet         bool // want was set by the caller

	errExhausted, errExpired, errNoLease error // made once: a refusal must cost nothing
}

// Holder is the proxy's side: it asks, takes what is granted, and says of each unit whether it may be spent now.
type Holder struct {
	settings             HolderSettings
	epoch                uint64
	configVersion        uint64 // of the floors
	adoptedFloors        uint64 // of the floors that it fully goes by
	seq                  uint64
	sentRequests         [requestHistory]sentRequest
	measuredAt           time.Duration
	quotas               map[string]*quotaState
	floorClaim           bool
	claimedAt            time.Duration
	leaving              bool
	revalidationFailures uint64
	mutations            mutation.Set
}

// NewHolder makes the holder of a process that has nothing but, with a claim, its floors.
func NewHolder(s HolderSettings) *Holder {
	h := &Holder{settings: s, configVersion: s.ConfigVersion, quotas: map[string]*quotaState{}}
	for _, name := range slices.Sorted(maps.Keys(s.Floors)) {
		h.quotaState(name, s.Floors[name].Kind).floor = s.Floors[name]
	}
	return h
}

// SetMutations takes guards out, for the trial of a checker.
func (h *Holder) SetMutations(f mutation.Set) { h.mutations = f }

func (h *Holder) quotaState(budget string, kind Kind) *quotaState {
	d := h.quotas[budget]
	if d == nil {
		d = &quotaState{name: budget, kind: kind, errExhausted: ExhaustedError{budget}, errExpired: LeaseExpiredError{Quota: budget}, errNoLease: NoLeaseError{budget}}
		h.quotas[budget] = d
	}
	if d.kind == 0 {
		d.kind = kind
	}
	return d
}

// SetFloorClaim tells whether this process alone, on its machine, holds the claim to the floors of its name; callers say it when that
// changes. A rate begins with an empty bucket, and work in hand only when all that the process before may have begun is
// over: what that one spent last is not known.
func (h *Holder) SetFloorClaim(now time.Duration, held bool) {
	if held && !h.floorClaim {
		h.claimedAt = now
		for _, d := range h.quotas {
			d.floorBucket = tokenBucket{filledAt: now}
		}
	}
	h.floorClaim = held
}

// SetDemand sets what the process wants of a budget, in units with its floor, for callers that know better than what was tried of
// late. It also names a budget that was never tried.
func (h *Holder) SetDemand(budget string, units float64) {
	d := h.quotaState(budget, 0)
	d.wanted, d.wantedIsSet = units*float64(Unit), true
}

// demandHeadroom is by how much more is asked for than was tried: demand that grows must be seen to grow.
const demandHeadroom = 1.2

// minDemandSpan is the shortest time over which demand is measured: one attempt within a millisecond is not a thousand a second.
const minDemandSpan = 20 * time.Millisecond

// measureDemand measures what was tried since the last ask. It rises at once and falls by a third of the way each time.
func (d *quotaState) measureDemand(since time.Duration) {
	if !d.wantedIsSet {
		seen := float64(d.attempted) / since.Seconds()
		if d.kind == InFlight {
			seen = float64(d.peakInFlight + min(d.rejected, d.peakInFlight+Unit))
		}
		seen *= demandHeadroom
		d.wanted = max(seen, d.wanted-(d.wanted-seen)/3)
		if d.wanted < float64(Unit)/100 {
			d.wanted = 0
		}
	}
	d.attempted, d.rejected, d.peakInFlight = 0, 0, d.inFlight+d.floorInFlight
}

// NextRequest is the next request: what the process wants, and which tokens it goes by. The caller sends it at once; a lease is
// counted from now. It asks some times in each lease (Every).
func (h *Holder) NextRequest(now time.Duration) Request {
	h.seq++
	h.sentRequests[h.seq%requestHistory] = sentRequest{h.seq, now}
	r := Request{FleetID: h.settings.FleetID, Epoch: h.epoch, HolderID: h.settings.HolderID, Seq: h.seq, SeenVersion: h.configVersion, Leaving: h.leaving}
	measure := now-h.measuredAt >= minDemandSpan
	settled := true // nothing of a lowered floor is in hand any more
	for _, name := range slices.Sorted(maps.Keys(h.quotas)) {
		d := h.quotas[name]
		d.leaseActive(now)
		if measure {
			d.measureDemand(now - h.measuredAt)
		}
		w := QuotaRequest{Quota: name, Token: d.highestToken, Ended: !d.active, InFlight: d.inFlight}
		if !h.leaving {
			w.Wanted = max(0, Amount(d.wanted))
			if h.floorClaim {
				w.Wanted = max(0, w.Wanted-d.floor.Amount)
			}
		}
		r.Quotas = append(r.Quotas, w)
		settled = settled && d.floorInFlight <= d.floor.Amount
	}
	if settled {
		h.adoptedFloors = h.configVersion
	}
	if h.floorClaim {
		r.FloorsVersion = h.adoptedFloors
	}
	if measure {
		h.measuredAt = now
	}
	return r
}

// RequestInterval is how often to ask: three times in the shortest lease that is held, so that two lost replies end nothing; a second
// while nothing is held.
func (h *Holder) RequestInterval() time.Duration {
	every := time.Duration(0)
	for _, d := range h.quotas {
		if d.active && (every == 0 || d.lease.Duration/3 < every) {
			every = d.lease.Duration / 3
		}
	}
	return cmp.Or(every, time.Second)
}

// ReleaseAll ends everything: nothing more is allowed, and the next Ask gives all back.
func (h *Holder) ReleaseAll() {
	h.leaving = true
	for _, d := range h.quotas {
		d.active = false
	}
}

// leaseActive ends a grant whose lease is over.
func (d *quotaState) leaseActive(now time.Duration) bool {
	if d.active && now >= d.expiresAt {
		d.active = false
	}
	return d.active
}

// HandleReply takes a reply to a request that was sent at sentAt. What it refuses it names, by errors of this package; the rest is
// taken. It doesn't matter how late it comes, how often, and in what order.
func (h *Holder) HandleReply(sentAt, now time.Duration, r Reply) error {
	switch {
	case r.FleetID != h.settings.FleetID:
		return FleetMismatchError{h.settings.FleetID, r.FleetID}
	case r.HolderID != h.settings.HolderID:
		return HolderMismatchError{h.settings.HolderID, r.HolderID}
	case r.Epoch < h.epoch:
		return StaleEpochError{r.Epoch, h.epoch}
	case h.leaving:
		return nil
	}
	h.epoch = r.Epoch
	var errs []error
	for i := range r.Leases {
		if err := h.takeLease(sentAt, now, &r.Leases[i]); err != nil {
			errs = append(errs, err)
		}
	}
	if r.ConfigVersion >= h.configVersion && r.ConfigVersion > 0 {
		h.adoptFloors(now, r)
	}
	return errors.Join(errs...)
}

func (h *Holder) takeLease(sentAt, now time.Duration, g *Lease) error {
	switch {
	case g.FleetID != h.settings.FleetID:
		return FleetMismatchError{h.settings.FleetID, g.FleetID}
	case g.HolderID != h.settings.HolderID:
		return HolderMismatchError{h.settings.HolderID, g.HolderID}
	case g.Epoch < h.epoch:
		return StaleEpochError{g.Epoch, h.epoch}
	}
	d := h.quotaState(g.Quota, g.Kind)
	order := g.Token.Compare(d.highestToken)
	if h.mutations.AnyTokenOrder && order < 0 {
		order = 1
	}
	switch {
	case order < 0:
		return StaleTokenError{g.Holder, g.Quota, g.Token, d.highestToken}
	case order == 0:
		return nil // told again
	}
	// Counted from the ask that the grant answers, not from the one that this reply answers: a steward tells the same grant
	// again in later replies, and its own count began when it was committed.
	ask := h.sentRequests[g.RequestSeq%requestHistory]
	if ask.seq != g.RequestSeq || g.RequestSeq == 0 {
		return LeaseExpiredError{Quota: g.Quota}
	}
	ends := min(ask.sentAt, sentAt) + g.Duration
	if h.mutations.LeaseFromReply {
		ends = now + g.Duration
	}
	if now >= ends {
		return LeaseExpiredError{g.Quota, now - ends}
	}
	if !d.leaseActive(now) {
		d.bucket = tokenBucket{filledAt: now} // what it had may have gone to others since: it arrives empty
	}
	d.bucket.refill(now, d.lease.Amount, d.lease.Burst, 1+h.settings.MaxDrift)
	d.bucket.level = min(d.bucket.level, float64(g.Burst))
	if h.mutations.FullBucketOnLease {
		d.bucket.level = float64(g.Burst)
	}
	d.kind, d.lease, d.active, d.expiresAt, d.highestToken = g.Kind, *g, true, ends, g.Token
	return nil
}

// adoptFloors goes by the floors of a newer version. A floor that grew keeps its level: what it gained arrives empty.
func (h *Holder) adoptFloors(now time.Duration, r Reply) {
	h.configVersion = r.ConfigVersion
	for _, name := range slices.Sorted(maps.Keys(r.Floors)) {
		if f := r.Floors[name]; h.quotaState(name, f.Kind).floor.Amount == 0 {
			h.quotas[name].floorBucket = tokenBucket{filledAt: now}
		}
	}
	for name, d := range h.quotas {
		f := r.Floors[name]
		d.floorBucket.refill(now, d.floor.Amount, d.floor.Burst, 1+h.settings.MaxDrift)
		d.floorBucket.level = min(d.floorBucket.level, float64(f.Burst))
		d.floor = f
	}
}

// Floors is what a caller keeps on disk before its next Ask, for the next process of its name.
func (h *Holder) Floors() (version uint64, floors map[string]Floor) {
	floors = map[string]Floor{}
	for name, d := range h.quotas {
		if d.floor.Amount > 0 {
			floors[name] = d.floor
		}
	}
	return h.configVersion, floors
}

// Acquire says whether so many units may be spent now, and counts them. The token goes with the attempt, to servers that know
// tokens; the zero token is the floor's. Work in hand is given back by Done, at the end of its life at the latest. Errors:
// Spent, GrantEnded, NoGrant. It allocates nothing.
func (h *Holder) Acquire(now time.Duration, budget string, units int64) (Token, error) {
	d := h.quotas[budget]
	if d == nil {
		return Token{}, NoLeaseError{budget}
	}
	n := Amount(units) * Unit
	if units < 0 || h.leaving {
		return Token{}, d.errNoLease
	}
	d.attempted += n
	floor := h.floorClaim && d.floor.Amount > 0
	if d.kind == InFlight {
		return d.acquireInFlight(now, n, floor && now-h.claimedAt >= withDriftMargin(d.floor.MaxHoldTime, h.settings.MaxDrift))
	}
	slow := 1 + h.settings.MaxDrift
	if floor {
		d.floorBucket.refill(now, d.floor.Amount, d.floor.Burst, slow)
		if d.floorBucket.level >= float64(n) {
			d.floorBucket.level -= float64(n)
			return Token{}, nil
		}
	}
	if !d.leaseActive(now) {
		return Token{}, d.noLeaseError(floor)
	}
	d.bucket.refill(now, d.lease.Amount, d.lease.Burst, slow)
	if d.bucket.level < float64(n) {
		return Token{}, d.errExhausted
	}
	d.bucket.level -= float64(n)
	return d.highestToken, nil
}

func (d *quotaState) acquireInFlight(now time.Duration, n Amount, floor bool) (Token, error) {
	switch {
	case floor && d.floorInFlight+n <= d.floor.Amount:
		d.floorInFlight += n
		d.peakInFlight = max(d.peakInFlight, d.inFlight+d.floorInFlight)
		return Token{}, nil
	case !d.leaseActive(now):
		d.rejected += n
		return Token{}, d.noLeaseError(floor)
	case d.inFlight+n > d.lease.Amount:
		d.rejected += n
		return Token{}, d.errExhausted
	}
	d.inFlight += n
	d.peakInFlight = max(d.peakInFlight, d.inFlight+d.floorInFlight)
	return d.highestToken, nil
}

func (d *quotaState) noLeaseError(floor bool) error {
	switch {
	case floor:
		return d.errExhausted
	case d.highestToken == (Token{}):
		return d.errNoLease
	}
	return d.errExpired
}

// Revalidate looks once more just before an attempt goes out: a process may have been stopped since Allow. It returns the token to
// send; GrantEnded if the grant is over, then the attempt must not go out. What ends between this look and the network can
// slip; a server that knows tokens turns it away once a newer token of that holder reached it.
func (h *Holder) Revalidate(now time.Duration, budget string, t Token) (Token, error) {
	if t == (Token{}) {
		return t, nil
	}
	d := h.quotas[budget]
	if d == nil || !d.leaseActive(now) {
		h.revalidationFailures++
		return Token{}, LeaseExpiredError{Quota: budget}
	}
	return d.highestToken, nil
}

// RevalidationFailures is how many attempts Send has held back.
func (h *Holder) RevalidationFailures() uint64 { return h.revalidationFailures }

// Release gives back units in hand that Allow gave under a token.
func (h *Holder) Release(budget string, t Token, units int64) error {
	d := h.quotas[budget]
	n := Amount(units) * Unit
	switch {
	case d == nil || units < 0:
		return UnknownQuotaError{budget}
	case d.kind != InFlight:
		return nil
	case t == (Token{}) && n <= d.floorInFlight:
		d.floorInFlight -= n
	case t != (Token{}) && n <= d.inFlight:
		d.inFlight -= n
	default:
		return InvalidCommandError{"more is given back of " + budget + " than is in hand"}
	}
	return nil
}

// HolderStatus is what may still be spent of a budget at a moment: the amount granted and of the floor, what the buckets hold, and what
// is in hand.
type HolderStatus struct {
	Token                Token
	Amount, Floor        Amount
	Level                Amount // of both buckets
	InFlight             Amount // of grants, whether they have ended or not
	FloorInFlight        Amount
	Remaining            time.Duration // of the lease
	Epoch, ConfigVersion uint64
}

// Status is how a budget stands; it changes nothing that could be spent.
func (h *Holder) Status(now time.Duration, budget string) HolderStatus {
	out := HolderStatus{Epoch: h.epoch, ConfigVersion: h.configVersion}
	d := h.quotas[budget]
	if d == nil {
		return out
	}
	slow := 1 + h.settings.MaxDrift
	out.InFlight, out.FloorInFlight = d.inFlight, d.floorInFlight
	if h.floorClaim && (d.kind == Rate || now-h.claimedAt >= withDriftMargin(d.floor.MaxHoldTime, h.settings.MaxDrift)) {
		d.floorBucket.refill(now, d.floor.Amount, d.floor.Burst, slow)
		out.Floor, out.Level = d.floor.Amount, Amount(d.floorBucket.level)
	}
	if d.leaseActive(now) {
		d.bucket.refill(now, d.lease.Amount, d.lease.Burst, slow)
		out.Token, out.Amount, out.Remaining = d.highestToken, d.lease.Amount, d.expiresAt-now
		out.Level += Amount(d.bucket.level)
	}
	return out
}

// Clone is a copy, for worlds that are explored.
func (h *Holder) Clone() *Holder {
	c := *h
	c.quotas = make(map[string]*quotaState, len(h.quotas))
	for name, d := range h.quotas {
		n := *d
		c.quotas[name] = &n
	}
	return &c
}

// AppendState appends all that decides what the holder does next, for worlds that are explored: equal dumps, equal futures.
func (h *Holder) AppendState(out []byte) []byte {
	num := func(x ...int64) {
		for _, one := range x {
			out = binary.AppendVarint(out, one)
		}
	}
	flag := func(b bool) int64 {
		if b {
			return 1
		}
		return 0
	}
	num(int64(h.settings.Incarnation), int64(h.epoch), int64(h.configVersion), int64(h.adoptedFloors),
		int64(h.seq), int64(h.measuredAt), flag(h.floorClaim), int64(h.claimedAt), flag(h.leaving))
	for _, a := range h.sentRequests {
		if a.seq > 0 {
			num(int64(a.seq), int64(a.sentAt))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.quotas)) {
		d := h.quotas[name]
		out = append(out, name...)
		num(flag(d.active), int64(d.expiresAt), int64(d.highestToken.Epoch), int64(d.highestToken.Index), int64(d.bucket.level), int64(d.bucket.filledAt),
			int64(d.inFlight), int64(d.floor.Amount), int64(d.floorBucket.level), int64(d.floorBucket.filledAt), int64(d.floorInFlight), int64(d.wanted), int64(d.lease.Amount))
	}
	return out
}
