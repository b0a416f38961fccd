package quotalease

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Request is what a process asks of the stewards. It may come late, repeated and out of order.
type Request struct {
	FleetID string `json:"Fleet"`
	Epoch   uint64 `json:"Epoch"` // the highest that it knows
	HolderID
	Seq           uint64         `json:"Seq"`     // number of the ask, from 1
	SeenVersion   uint64         `json:"Seen"`    // newest version of the budgets that it saw
	FloorsVersion uint64         `json:"Floors"`  // version of the floors that it goes by; 0 without the claim to them
	Leaving       bool           `json:"Leaving"` // it will spend nothing more
	Quotas        []QuotaRequest `json:"Wants"`
}

// QuotaRequest is what a process wants of a budget, beyond its floor, and how it stands.
type QuotaRequest struct {
	Quota    string `json:"Budget"`
	Wanted   Amount `json:"Units"` // units a second, or in hand
	Token    Token  `json:"Token"` // the newest that it took; it will never go by an older one
	Ended    bool   `json:"Ended"` // nor by that one
	InFlight Amount `json:"Held"`  // in hand now, of grants
}

// expiryTimer is when an item surely is over.
type expiryTimer struct {
	at time.Duration
	Expiry
}

// timerHeap is a heap, the first end on top.
type timerHeap []expiryTimer

func (e timerHeap) Len() int           { return len(e) }
func (e timerHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e timerHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *timerHeap) Push(x any)        { *e = append(*e, x.(expiryTimer)) }
func (e *timerHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// requester is a process that asks.
type requester struct {
	Request
	heardAt time.Duration
	pending bool // the ask is not answered by grants yet
}

// Allocator is what a steward holds beside the log and never shares: when, by its own clock, each item surely is over, and the
// latest asks. Every steward keeps ends from when it applied the entry, so any of them can lead; one that restarts counts
// everything anew. It is as safe as the book: a wrong plan is refused there. Only its word that something is over is trusted.
type Allocator struct {
	state       *StateMachine
	silentUntil time.Duration // until then it takes no part
	timers      timerHeap
	due         []Expiry // over, but still in the book
	requesters  map[HolderID]*requester
	onlyFreed   bool // the last plan was of words alone
}

// NewAllocator makes the keeper of a steward that starts now and is silent for a time: Silence of the longest that was ever
// configured.
func NewAllocator(now, silence time.Duration, book *StateMachine) *Allocator {
	k := &Allocator{state: book, silentUntil: now + silence, requesters: map[HolderID]*requester{}}
	if book.mutations.NoStartupSilence {
		k.silentUntil = now
	}
	k.RestartTimers(now)
	return k
}

// Silent tells whether the steward must still keep silent: neither vote, nor confirm entries, nor lead.
func (k *Allocator) Silent(now time.Duration) bool { return now < k.silentUntil }

// RestartTimers counts all that is in the book from now on, after a Restore.
func (k *Allocator) RestartTimers(now time.Duration) {
	k.timers, k.due = nil, nil
	k.ObserveApplied(now, ApplyResult{Started: k.state.PendingExpiries()})
}

// ObserveApplied tells what a command that was applied now has brought into being.
func (k *Allocator) ObserveApplied(now time.Duration, a ApplyResult) {
	for _, i := range a.Started {
		length := withDriftMargin(i.Duration, k.state.maxDrift)
		if k.state.mutations.NoDriftMargin {
			length = i.Duration
		}
		heap.Push(&k.timers, expiryTimer{now + length, i})
	}
}

// HandleRequest takes a request. It returns an error of this package if the stewards must not answer it; older requests than the
// last are dropped in silence.
func (k *Allocator) HandleRequest(now time.Duration, r Request) error {
	b := k.state
	switch {
	case b.epoch == 0:
		return NotBootstrappedError{}
	case r.FleetID != b.fleetID:
		return FleetMismatchError{b.fleetID, r.FleetID}
	case r.Epoch > b.epoch:
		return StaleEpochError{b.epoch, r.Epoch}
	}
	c := k.requesters[r.HolderID]
	if c == nil {
		c = &requester{}
		k.requesters[r.HolderID] = c
	}
	if r.Seq > c.Seq {
		*c = requester{r, now, true}
	}
	return nil
}

// HasWork tells whether a plan is worth asking for.
func (k *Allocator) HasWork(now time.Duration) bool {
	if len(k.due) > 0 || len(k.timers) > 0 && k.timers[0].at <= now {
		return true
	}
	for _, c := range k.requesters {
		if c.pending {
			return true
		}
	}
	return false
}

// Plan is what the leading steward proposes now: first what frees room (words of holders, ends), then grants for those who
// asked. Whatever of it is not committed is proposed again: ends at the next plan, the rest when the holder asks again.
func (k *Allocator) Plan(now time.Duration) []Command {
	if k.Silent(now) || k.state.epoch == 0 {
		return nil
	}
	out := k.expireCommands(now)
	keys := slices.SortedFunc(maps.Keys(k.requesters), HolderID.Compare)
	var asked []*requester
	for _, key := range keys {
		c := k.requesters[key]
		if now-c.heardAt > k.state.maxLifetime {
			delete(k.requesters, key)
			continue
		}
		if c.pending {
			asked = append(asked, c)
			out = append(out, k.ackCommands(c)...)
		}
	}
	if len(out) > 0 && !k.onlyFreed {
		k.onlyFreed = true // the next plan grants what this one frees
		return out
	}
	k.onlyFreed = false
	return append(out, k.grantCommands(now, asked)...)
}

// expireCommands is a word for all that is over and still in the book.
func (k *Allocator) expireCommands(now time.Duration) []Command {
	for len(k.timers) > 0 && k.timers[0].at <= now {
		k.due = append(k.due, heap.Pop(&k.timers).(expiryTimer).Expiry)
	}
	k.due = slices.DeleteFunc(k.due, func(i Expiry) bool { return !k.state.isPending(i) })
	var out []Command
	for _, i := range k.due {
		out = append(out, Command{Expire: &Expire{i.HolderID, i.Quota, i.Token}})
	}
	return out
}

// ackCommands is what a request says and the book doesn't know.
func (k *Allocator) ackCommands(c *requester) []Command {
	var out []Command
	b := k.state
	floors := false
	for _, l := range b.ledgers {
		if at := l.floors[c.Holder]; len(at) > 1 && at[1].ConfigVersion <= c.FloorsVersion {
			floors = true
		}
	}
	if c.SeenVersion > b.seenVersion && c.SeenVersion > b.configVersion || floors {
		out = append(out, Command{ObserveConfig: &ObserveConfig{c.HolderID, c.SeenVersion, c.FloorsVersion}})
	}
	words := AckBatch{Epoch: b.epoch, HolderID: c.HolderID, RequestSeq: c.Seq, All: c.Leaving}
	said := func(w QuotaRequest) {
		e := b.entryOf(w.Quota, c.HolderID)
		ahead := w.Token.Epoch == b.epoch && w.Token.Index > b.appliedIndex+b.tokenOffset
		if !ahead && (e == nil || c.Seq <= e.LastAck) {
			return
		}
		news := ahead || w.InFlight.roundUp() < e.Residual
		if e != nil {
			for _, g := range e.Leases {
				order := g.Token.Compare(w.Token)
				news = news || order < 0 || w.Ended && order == 0 || c.Leaving
			}
		}
		if !news {
			return
		}
		words.Acks = append(words.Acks, QuotaAck{w.Quota, w.Token, w.InFlight, w.Ended})
	}
	for _, w := range c.Quotas {
		said(w)
	}
	if len(words.Acks) > 0 {
		out = append(out, Command{AckBatch: &words})
	}
	return out
}

// grantCommands plans the budgets that pending asks name.
func (k *Allocator) grantCommands(now time.Duration, asked []*requester) []Command {
	named := map[string]bool{}
	for _, c := range asked {
		c.pending = false
		if c.Leaving {
			delete(k.requesters, c.HolderID)
			continue
		}
		for _, w := range c.Quotas {
			named[w.Quota] = true
		}
	}
	if k.state.bootstrapToken != (Token{}) || k.state.seenVersion > k.state.configVersion {
		return nil
	}
	parts := make([][]QuotaGrant, len(asked))
	for i := range k.state.config.Quotas {
		if b := &k.state.config.Quotas[i]; named[b.Name] {
			k.planQuota(now, b, asked, parts)
		}
	}
	var out []Command
	for i, c := range asked {
		if len(parts[i]) > 0 {
			out = append(out, Command{GrantBatch: &GrantBatch{k.state.fleetID, k.state.epoch, c.HolderID, c.Seq, parts[i]}})
		}
	}
	return out
}

// planQuota plans one budget: every process that asks or holds is weighed, those with a pending ask are granted. A share that
// grows gets what is free at the moment, and the rest at later asks, as others take up that theirs shrank.
func (k *Allocator) planQuota(now time.Duration, b *Quota, asked []*requester, to [][]QuotaGrant) {
	l := k.state.ledgerOf(b.Name)
	var demands []Demand
	for key, c := range k.requesters {
		if now-c.heardAt > b.LeaseDuration {
			continue // it is gone, or cut off
		}
		for _, w := range c.Quotas {
			if w.Quota == b.Name {
				d := Demand{HolderID: key, Wanted: w.Wanted}
				if g := l.entries[key].newestLease(); g != nil {
					d.Current = g.Amount
				}
				demands = append(demands, d)
				break
			}
		}
	}
	for key, e := range l.entries { // a new leader has not heard everybody: who holds wants that, until it says or ends
		if c := k.requesters[key]; (c == nil || now-c.heardAt > b.LeaseDuration) && len(e.Leases) > 0 {
			demands = append(demands, Demand{key, e.newestLease().Amount, e.newestLease().Amount})
		}
	}
	slices.SortFunc(demands, func(x, y Demand) int { return x.HolderID.Compare(y.HolderID) })
	amounts := Divide(b, demands)
	parts := divideBurst(b, amounts)

	sum, fresh := l.total, l.current
	whole := usage{FromUnits(b.Limit) - l.reserved.amount, FromUnits(b.Burst) - l.reserved.burst}
	for i, c := range asked {
		at, found := slices.BinarySearchFunc(demands, c.HolderID, func(d Demand, key HolderID) int { return d.HolderID.Compare(key) })
		if !found || c.Leaving {
			continue
		}
		e := l.entries[c.HolderID]
		var own, ownFresh usage
		if e != nil {
			own, ownFresh = e.maxUsage(k.state.mutations), e.usageSince(k.state.configVersion, k.state.mutations)
		}
		room := func(whole, sum, own, fresh, ownFresh Amount) Amount {
			return max(0, min(max(whole, sum)-sum+own, whole-fresh+ownFresh))
		}
		g := usage{
			min(amounts[at], room(whole.amount, sum.amount, own.amount, fresh.amount, ownFresh.amount)),
			min(parts[at], room(whole.burst, sum.burst, own.burst, fresh.burst, ownFresh.burst)),
		}
		if b.Kind == InFlight {
			g.amount = g.amount.wholeUnits()
		} else if g.burst < min(Unit, parts[at]) {
			g = usage{} // nothing could be spent of it
		}
		last := e.newestLease()
		if last == nil && g.amount == 0 || last != nil && c.Seq <= last.RequestSeq {
			continue
		}
		if last != nil && last.Amount == 0 && g.amount == 0 {
			continue
		}
		sum.sub(own)
		sum.add(own.atLeast(g))
		fresh.sub(ownFresh)
		fresh.add(ownFresh.atLeast(g))
		to[i] = append(to[i], QuotaGrant{b.Name, g.amount, g.burst})
	}
}

// Clone is a copy beside a copy of its book, for worlds that are explored.
func (k *Allocator) Clone(book *StateMachine) *Allocator {
	c := *k
	c.state = book
	c.timers, c.due = slices.Clone(k.timers), slices.Clone(k.due)
	c.requesters = make(map[HolderID]*requester, len(k.requesters))
	for key, one := range k.requesters {
		n := *one
		c.requesters[key] = &n
	}
	return &c
}

// NextExpiry is when the next item is over, for a caller's timer; false if nothing is counted.
func (k *Allocator) NextExpiry() (time.Duration, bool) {
	if len(k.due) > 0 {
		return 0, true
	}
	if len(k.timers) == 0 {
		return 0, false
	}
	return k.timers[0].at, true
}

// AppendState appends all that decides what the keeper does next, beside its book, for worlds that are explored.
func (k *Allocator) AppendState(out []byte) []byte {
	num := func(x ...int64) {
		for _, one := range x {
			out = binary.AppendVarint(out, one)
		}
	}
	flag := int64(0)
	if k.onlyFreed {
		flag = 1
	}
	num(int64(k.silentUntil), flag, int64(len(k.timers)), int64(len(k.due)))
	all := slices.Clone(k.timers) // a heap's order depends on its past
	slices.SortFunc(all, func(x, y expiryTimer) int {
		return cmp.Or(cmp.Compare(x.at, y.at), x.Token.Compare(y.Token), x.HolderID.Compare(y.HolderID), cmp.Compare(x.Quota, y.Quota))
	})
	for _, e := range all {
		num(int64(e.at), int64(e.Token.Epoch), int64(e.Token.Index), int64(e.Incarnation))
		out = append(out, e.Holder+e.Quota...)
	}
	for _, key := range slices.SortedFunc(maps.Keys(k.requesters), HolderID.Compare) {
		c := k.requesters[key]
		pending := int64(0)
		if c.pending {
			pending = 1
		}
		num(int64(c.Incarnation), int64(c.Seq), int64(c.heardAt), pending)
		out = append(out, c.Holder...)
	}
	return out
}
