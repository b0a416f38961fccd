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
	Fleet string
	Key           // the incarnation must be one that no other process of that name ever has
	Drift float64 // as the fleet was founded with, or more
	// Version and Floors are what the process knows without talk: what it, or the one before it, was told last and has kept on
	// disk. Danger: an older copy of these may name a floor that is another's by now.
	Version uint64
	Floors  map[string]Floor
}

// asksKept is how many asks a holder remembers. A reply to an older one comes too late.
const asksKept = 64

type asked struct {
	seq uint64
	at  time.Duration
}

// bucket is a token bucket; its level is in millionths.
type bucket struct {
	level float64
	last  time.Duration // filled until then
}

// fill fills at a rate a second. Danger: a clock that is fast by the drift would fill too much; hence slow, 1 + drift.
func (k *bucket) fill(now time.Duration, rate, burst Amount, slow float64) {
	if now > k.last {
		k.level = min(float64(burst), k.level+float64(rate)*(now-k.last).Seconds()/slow)
		k.last = now
	}
}

// draw is what a process has of one budget.
type draw struct {
	name string
	kind Kind

	grant  Grant
	has    bool
	ends   time.Duration
	high   Token // newest that was taken
	bucket bucket
	held   Amount // in hand, of grants

	floor       Floor
	floorBucket bucket
	floorHeld   Amount

	tried, refused Amount // since the last ask
	peak           Amount // in hand since the last ask
	want           float64
	set            bool // want was set by the caller

	spent, ended, none error // made once: a refusal must cost nothing
}

// Holder is the proxy's side: it asks, takes what is granted, and says of each unit whether it may be spent now.
type Holder struct {
	set     HolderSettings
	epoch   uint64
	version uint64 // of the floors
	by      uint64 // of the floors that it fully goes by
	seq     uint64
	asks    [asksKept]asked
	asked   time.Duration
	draws   map[string]*draw
	claim   bool
	claimed time.Duration
	left    bool
	slipped uint64
	flaws   mutation.Set
}

// NewHolder makes the holder of a process that has nothing but, with a claim, its floors.
func NewHolder(s HolderSettings) *Holder {
	h := &Holder{set: s, version: s.Version, draws: map[string]*draw{}}
	for _, name := range slices.Sorted(maps.Keys(s.Floors)) {
		h.draw(name, s.Floors[name].Kind).floor = s.Floors[name]
	}
	return h
}

// Without takes guards out, for the trial of a checker.
func (h *Holder) Without(f mutation.Set) { h.flaws = f }

func (h *Holder) draw(budget string, kind Kind) *draw {
	d := h.draws[budget]
	if d == nil {
		d = &draw{name: budget, kind: kind, spent: Spent{budget}, ended: GrantEnded{Budget: budget}, none: NoGrant{budget}}
		h.draws[budget] = d
	}
	if d.kind == 0 {
		d.kind = kind
	}
	return d
}

// Claim tells whether this process alone, on its machine, holds the claim to the floors of its name; callers say it when that
// changes. A rate begins with an empty bucket, and work in hand only when all that the process before may have begun is
// over: what that one spent last is not known.
func (h *Holder) Claim(now time.Duration, held bool) {
	if held && !h.claim {
		h.claimed = now
		for _, d := range h.draws {
			d.floorBucket = bucket{last: now}
		}
	}
	h.claim = held
}

// Want sets what the process wants of a budget, in units with its floor, for callers that know better than what was tried of
// late. It also names a budget that was never tried.
func (h *Holder) Want(budget string, units float64) {
	d := h.draw(budget, 0)
	d.want, d.set = units*float64(Unit), true
}

// headroom is by how much more is asked for than was tried: demand that grows must be seen to grow.
const headroom = 1.2

// leastSpan is the shortest time over which demand is measured: one attempt within a millisecond is not a thousand a second.
const leastSpan = 20 * time.Millisecond

// demand measures what was tried since the last ask. It rises at once and falls by a third of the way each time.
func (d *draw) demand(since time.Duration) {
	if !d.set {
		seen := float64(d.tried) / since.Seconds()
		if d.kind == InHand {
			seen = float64(d.peak + min(d.refused, d.peak+Unit))
		}
		seen *= headroom
		d.want = max(seen, d.want-(d.want-seen)/3)
		if d.want < float64(Unit)/100 {
			d.want = 0
		}
	}
	d.tried, d.refused, d.peak = 0, 0, d.held+d.floorHeld
}

// Ask is the next request: what the process wants, and which tokens it goes by. The caller sends it at once; a lease is
// counted from now. It asks some times in each lease (Every).
func (h *Holder) Ask(now time.Duration) Request {
	h.seq++
	h.asks[h.seq%asksKept] = asked{h.seq, now}
	r := Request{Fleet: h.set.Fleet, Epoch: h.epoch, Key: h.set.Key, Seq: h.seq, Seen: h.version, Leaving: h.left}
	measure := now-h.asked >= leastSpan
	settled := true // nothing of a lowered floor is in hand any more
	for _, name := range slices.Sorted(maps.Keys(h.draws)) {
		d := h.draws[name]
		d.live(now)
		if measure {
			d.demand(now - h.asked)
		}
		w := Want{Budget: name, Token: d.high, Ended: !d.has, Held: d.held}
		if !h.left {
			w.Units = max(0, Amount(d.want))
			if h.claim {
				w.Units = max(0, w.Units-d.floor.Amount)
			}
		}
		r.Wants = append(r.Wants, w)
		settled = settled && d.floorHeld <= d.floor.Amount
	}
	if settled {
		h.by = h.version
	}
	if h.claim {
		r.Floors = h.by
	}
	if measure {
		h.asked = now
	}
	return r
}

// Every is how often to ask: three times in the shortest lease that is held, so that two lost replies end nothing; a second
// while nothing is held.
func (h *Holder) Every() time.Duration {
	every := time.Duration(0)
	for _, d := range h.draws {
		if d.has && (every == 0 || d.grant.Lease/3 < every) {
			every = d.grant.Lease / 3
		}
	}
	return cmp.Or(every, time.Second)
}

// Leave ends everything: nothing more is allowed, and the next Ask gives all back.
func (h *Holder) Leave() {
	h.left = true
	for _, d := range h.draws {
		d.has = false
	}
}

// live ends a grant whose lease is over.
func (d *draw) live(now time.Duration) bool {
	if d.has && now >= d.ends {
		d.has = false
	}
	return d.has
}

// Take takes a reply to a request that was sent at sentAt. What it refuses it names, by errors of this package; the rest is
// taken. It doesn't matter how late it comes, how often, and in what order.
func (h *Holder) Take(sentAt, now time.Duration, r Reply) error {
	switch {
	case r.Fleet != h.set.Fleet:
		return OtherFleet{h.set.Fleet, r.Fleet}
	case r.Key != h.set.Key:
		return OtherHolder{h.set.Key, r.Key}
	case r.Epoch < h.epoch:
		return OldEpoch{r.Epoch, h.epoch}
	case h.left:
		return nil
	}
	h.epoch = r.Epoch
	var errs []error
	for i := range r.Grants {
		if err := h.take(sentAt, now, &r.Grants[i]); err != nil {
			errs = append(errs, err)
		}
	}
	if r.Version >= h.version && r.Version > 0 {
		h.floors(now, r)
	}
	return errors.Join(errs...)
}

func (h *Holder) take(sentAt, now time.Duration, g *Grant) error {
	switch {
	case g.Fleet != h.set.Fleet:
		return OtherFleet{h.set.Fleet, g.Fleet}
	case g.Key != h.set.Key:
		return OtherHolder{h.set.Key, g.Key}
	case g.Epoch < h.epoch:
		return OldEpoch{g.Epoch, h.epoch}
	}
	d := h.draw(g.Budget, g.Kind)
	order := g.Token.Compare(d.high)
	if h.flaws.Order && order < 0 {
		order = 1
	}
	switch {
	case order < 0:
		return OldToken{g.Holder, g.Budget, g.Token, d.high}
	case order == 0:
		return nil // told again
	}
	// Counted from the ask that the grant answers, not from the one that this reply answers: a steward tells the same grant
	// again in later replies, and its own count began when it was committed.
	ask := h.asks[g.Ask%asksKept]
	if ask.seq != g.Ask || g.Ask == 0 {
		return GrantEnded{Budget: g.Budget}
	}
	ends := min(ask.at, sentAt) + g.Lease
	if h.flaws.Reply {
		ends = now + g.Lease
	}
	if now >= ends {
		return GrantEnded{g.Budget, now - ends}
	}
	if !d.live(now) {
		d.bucket = bucket{last: now} // what it had may have gone to others since: it arrives empty
	}
	d.bucket.fill(now, d.grant.Amount, d.grant.Burst, 1+h.set.Drift)
	d.bucket.level = min(d.bucket.level, float64(g.Burst))
	if h.flaws.Full {
		d.bucket.level = float64(g.Burst)
	}
	d.kind, d.grant, d.has, d.ends, d.high = g.Kind, *g, true, ends, g.Token
	return nil
}

// floors goes by the floors of a newer version. A floor that grew keeps its level: what it gained arrives empty.
func (h *Holder) floors(now time.Duration, r Reply) {
	h.version = r.Version
	for _, name := range slices.Sorted(maps.Keys(r.Floors)) {
		if f := r.Floors[name]; h.draw(name, f.Kind).floor.Amount == 0 {
			h.draws[name].floorBucket = bucket{last: now}
		}
	}
	for name, d := range h.draws {
		f := r.Floors[name]
		d.floorBucket.fill(now, d.floor.Amount, d.floor.Burst, 1+h.set.Drift)
		d.floorBucket.level = min(d.floorBucket.level, float64(f.Burst))
		d.floor = f
	}
}

// Floors is what a caller keeps on disk before its next Ask, for the next process of its name.
func (h *Holder) Floors() (version uint64, floors map[string]Floor) {
	floors = map[string]Floor{}
	for name, d := range h.draws {
		if d.floor.Amount > 0 {
			floors[name] = d.floor
		}
	}
	return h.version, floors
}

// Allow says whether so many units may be spent now, and counts them. The token goes with the attempt, to servers that know
// tokens; the zero token is the floor's. Work in hand is given back by Done, at the end of its life at the latest. Errors:
// Spent, GrantEnded, NoGrant. It allocates nothing.
func (h *Holder) Allow(now time.Duration, budget string, units int64) (Token, error) {
	d := h.draws[budget]
	if d == nil {
		return Token{}, NoGrant{budget}
	}
	n := Amount(units) * Unit
	if units < 0 || h.left {
		return Token{}, d.none
	}
	d.tried += n
	floor := h.claim && d.floor.Amount > 0
	if d.kind == InHand {
		return d.allowInHand(now, n, floor && now-h.claimed >= stretch(d.floor.Life, h.set.Drift))
	}
	slow := 1 + h.set.Drift
	if floor {
		d.floorBucket.fill(now, d.floor.Amount, d.floor.Burst, slow)
		if d.floorBucket.level >= float64(n) {
			d.floorBucket.level -= float64(n)
			return Token{}, nil
		}
	}
	if !d.live(now) {
		return Token{}, d.nothing(floor)
	}
	d.bucket.fill(now, d.grant.Amount, d.grant.Burst, slow)
	if d.bucket.level < float64(n) {
		return Token{}, d.spent
	}
	d.bucket.level -= float64(n)
	return d.high, nil
}

func (d *draw) allowInHand(now time.Duration, n Amount, floor bool) (Token, error) {
	switch {
	case floor && d.floorHeld+n <= d.floor.Amount:
		d.floorHeld += n
		d.peak = max(d.peak, d.held+d.floorHeld)
		return Token{}, nil
	case !d.live(now):
		d.refused += n
		return Token{}, d.nothing(floor)
	case d.held+n > d.grant.Amount:
		d.refused += n
		return Token{}, d.spent
	}
	d.held += n
	d.peak = max(d.peak, d.held+d.floorHeld)
	return d.high, nil
}

func (d *draw) nothing(floor bool) error {
	switch {
	case floor:
		return d.spent
	case d.high == (Token{}):
		return d.none
	}
	return d.ended
}

// Send looks once more just before an attempt goes out: a process may have been stopped since Allow. It returns the token to
// send; GrantEnded if the grant is over, then the attempt must not go out. What ends between this look and the network can
// slip; a server that knows tokens turns it away once a newer token of that holder reached it.
func (h *Holder) Send(now time.Duration, budget string, t Token) (Token, error) {
	if t == (Token{}) {
		return t, nil
	}
	d := h.draws[budget]
	if d == nil || !d.live(now) {
		h.slipped++
		return Token{}, GrantEnded{Budget: budget}
	}
	return d.high, nil
}

// Stopped is how many attempts Send has held back.
func (h *Holder) Stopped() uint64 { return h.slipped }

// Done gives back units in hand that Allow gave under a token.
func (h *Holder) Done(budget string, t Token, units int64) error {
	d := h.draws[budget]
	n := Amount(units) * Unit
	switch {
	case d == nil || units < 0:
		return NoBudget{budget}
	case d.kind != InHand:
		return nil
	case t == (Token{}) && n <= d.floorHeld:
		d.floorHeld -= n
	case t != (Token{}) && n <= d.held:
		d.held -= n
	default:
		return BadCommand{"more is given back of " + budget + " than is in hand"}
	}
	return nil
}

// Has is what may still be spent of a budget at a moment: the amount granted and of the floor, what the buckets hold, and what
// is in hand.
type Has struct {
	Token          Token
	Amount, Floor  Amount
	Level          Amount // of both buckets
	Held           Amount // of grants, whether they have ended or not
	FloorHeld      Amount
	Left           time.Duration // of the lease
	Epoch, Version uint64
}

// Has is how a budget stands; it changes nothing that could be spent.
func (h *Holder) Has(now time.Duration, budget string) Has {
	out := Has{Epoch: h.epoch, Version: h.version}
	d := h.draws[budget]
	if d == nil {
		return out
	}
	slow := 1 + h.set.Drift
	out.Held, out.FloorHeld = d.held, d.floorHeld
	if h.claim && (d.kind == Rate || now-h.claimed >= stretch(d.floor.Life, h.set.Drift)) {
		d.floorBucket.fill(now, d.floor.Amount, d.floor.Burst, slow)
		out.Floor, out.Level = d.floor.Amount, Amount(d.floorBucket.level)
	}
	if d.live(now) {
		d.bucket.fill(now, d.grant.Amount, d.grant.Burst, slow)
		out.Token, out.Amount, out.Left = d.high, d.grant.Amount, d.ends-now
		out.Level += Amount(d.bucket.level)
	}
	return out
}

// Clone is a copy, for worlds that are explored.
func (h *Holder) Clone() *Holder {
	c := *h
	c.draws = make(map[string]*draw, len(h.draws))
	for name, d := range h.draws {
		n := *d
		c.draws[name] = &n
	}
	return &c
}

// Dump appends all that decides what the holder does next, for worlds that are explored: equal dumps, equal futures.
func (h *Holder) Dump(out []byte) []byte {
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
	num(int64(h.set.Incarnation), int64(h.epoch), int64(h.version), int64(h.by),
		int64(h.seq), int64(h.asked), flag(h.claim), int64(h.claimed), flag(h.left))
	for _, a := range h.asks {
		if a.seq > 0 {
			num(int64(a.seq), int64(a.at))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.draws)) {
		d := h.draws[name]
		out = append(out, name...)
		num(flag(d.has), int64(d.ends), int64(d.high.Epoch), int64(d.high.Index), int64(d.bucket.level), int64(d.bucket.last),
			int64(d.held), int64(d.floor.Amount), int64(d.floorBucket.level), int64(d.floorBucket.last), int64(d.floorHeld), int64(d.want), int64(d.grant.Amount))
	}
	return out
}
