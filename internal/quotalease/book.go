package quotalease

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"lapisspread/internal/quotalease/internal/mutation"
)

// Command is an entry of the log: exactly one field is set.
type Command struct {
	Found      *Found      `json:"Found,omitempty"`
	SetBudgets *SetBudgets `json:"SetBudgets,omitempty"`
	Grant      *Grant      `json:"Grant,omitempty"`
	Expire     *Expire     `json:"Expire,omitempty"`
	Ack        *Ack        `json:"Ack,omitempty"`
	GiveBack   *GiveBack   `json:"GiveBack,omitempty"`
	Know       *Know       `json:"Know,omitempty"`
	Grants     *Grants     `json:"Grants,omitempty"`
	Words      *Words      `json:"Words,omitempty"`
	Batch      []Command   `json:"Batch,omitempty"` // applied in order, each accepted or refused by itself
}

// Found is an operator's word: this log is the fleet's from now on, under an epoch above all before. Nothing is granted, and
// no budget is set, until Longest has gone by; it and Drift must be at least what held before.
type Found struct {
	Fleet   string        `json:"Fleet"`
	Epoch   uint64        `json:"Epoch"`
	Drift   float64       `json:"Drift"`
	Longest time.Duration `json:"Longest"`
}

// SetBudgets is a new configuration, under a version above all before. A lower whole holds once the last grant of the
// version before has ended. A floor that is lowered stays counted until its holder says that it goes by the new version;
// Gone names holders whose floors an operator vouches that nobody will spend again.
type SetBudgets struct {
	Version uint64   `json:"Version"`
	Fleet   Fleet    `json:"Fleet"`
	Gone    []string `json:"Gone,omitempty"`
}

// Grant is a part of a budget for one process, for a length of time.
type Grant struct {
	Fleet string `json:"Fleet"`
	Epoch uint64 `json:"Epoch"`
	Key
	Budget  string        `json:"Budget"`
	Kind    Kind          `json:"Kind"`
	Amount  Amount        `json:"Amount"`  // units a second, or units in hand
	Burst   Amount        `json:"Burst"`   // units of the bucket; 0 for work in hand
	Lease   time.Duration `json:"Lease"`   // the holder counts it from when it sent the ask
	Life    time.Duration `json:"Life"`    // of work in hand
	Ask     uint64        `json:"Ask"`     // number of the ask that it answers; the ask was sent before this was committed
	Version uint64        `json:"Version"` // of the budgets; set by the book
	Token   Token         `json:"Token"`   // set by the book
}

// Expire is a steward's word that a grant, a rest of work in hand, or the time before a founding, surely is over.
type Expire struct {
	Key
	Budget string `json:"Budget"`
	Token  Token  `json:"Token"`
}

// Ack is a holder's word: it goes by Token, will never go by an older one, and had Held in hand when it asked with Seq.
type Ack struct {
	Epoch uint64 `json:"Epoch"`
	Key
	Budget string `json:"Budget"`
	Seq    uint64 `json:"Seq"`
	Token  Token  `json:"Token"`
	Held   Amount `json:"Held"`
}

// GiveBack is a holder's word: it will never again go by Token or an older one, and had Held in hand when it asked with
// Seq. With All it will go by no grant of this budget at all: it leaves.
type GiveBack struct {
	Ack
	All bool `json:"All"`
}

// Grants are grants of many budgets to one process, in answer to one ask: each as a Grant for the budget's whole lease. They
// are accepted or refused one by one. This is the form that a Keeper proposes: the log grows by a third of what it would.
type Grants struct {
	Fleet string `json:"Fleet"`
	Epoch uint64 `json:"Epoch"`
	Key
	Ask   uint64 `json:"Ask"`
	Parts []Part `json:"Parts"`
}

// Part is one grant of Grants.
type Part struct {
	Budget string `json:"b"`
	Amount Amount `json:"a"`
	Burst  Amount `json:"u,omitempty"`
}

// Words are a process's words on many budgets in one ask, each as an Ack, or as a GiveBack where it is Ended or All is set.
type Words struct {
	Epoch uint64 `json:"Epoch"`
	Key
	Seq   uint64 `json:"Seq"`
	All   bool   `json:"All,omitempty"`
	Parts []Word `json:"Parts"`
}

// Word is one of Words.
type Word struct {
	Budget string `json:"b"`
	Token  Token  `json:"t"`
	Held   Amount `json:"h,omitempty"`
	Ended  bool   `json:"e,omitempty"`
}

// Know is what a process knows: the newest version of the budgets that it saw, and the version whose floors it goes by
// (0: it has no claim to the floors of its name).
type Know struct {
	Key
	Seen   uint64 `json:"Seen"`
	Floors uint64 `json:"Floors"`
}

// Item is something that is counted until it is over: the time before a founding (Budget empty), a grant, or a rest of work
// in hand. Length is counted by the steward's clock from when it applied the command, with the margin.
type Item struct {
	Key
	Budget string
	Token  Token
	Length time.Duration
}

// Applied is what a command did.
type Applied struct {
	Token   Token
	Born    []Item
	Refused []error // of a Batch, Grants or Words, for what was refused
}

// Reply is what a steward tells a holder: all that is the holder's by this steward's book. It may come late, repeated and
// out of order.
type Reply struct {
	Fleet string `json:"Fleet"`
	Epoch uint64 `json:"Epoch"`
	Key
	Version uint64           `json:"Version"` // of the budgets
	Grants  []Grant          `json:"Grants"`  // the newest of each budget
	Floors  map[string]Floor `json:"Floors"`  // by budget, of the holder's name
}

// Floor is what a holder has by its name.
type Floor struct {
	Kind   Kind          `json:"Kind"`
	Amount Amount        `json:"Amount"`
	Burst  Amount        `json:"Burst"`
	Life   time.Duration `json:"Life"`
}

// count is an amount and its burst.
type count struct{ amount, burst Amount }

func (c count) max(o count) count { return count{max(c.amount, o.amount), max(c.burst, o.burst)} }
func (c *count) add(o count)      { c.amount += o.amount; c.burst += o.burst }
func (c *count) sub(o count)      { c.amount -= o.amount; c.burst -= o.burst }

// entry is what one process has of a budget.
type entry struct {
	Key
	Grants []Grant       `json:"Grants"` // neither acked away nor expired, by token
	Rest   Amount        `json:"Rest"`   // work in hand beyond the acked grant
	RestBy Token         `json:"RestBy"`
	Life   time.Duration `json:"Life"` // the longest of any unit that may be in hand
	Seq    uint64        `json:"Seq"`  // of the last Ack
	Ask    uint64        `json:"Ask"`  // of the last Grant
}

// all is what the process may still spend: it goes by one grant at a time, and one cannot know by which of these.
func (e *entry) all(f mutation.Set) count {
	c := count{amount: e.Rest}
	if f.Max && len(e.Grants) > 0 {
		return count{e.Grants[len(e.Grants)-1].Amount, e.Grants[len(e.Grants)-1].Burst}
	}
	for i := range e.Grants {
		c = c.max(count{e.Grants[i].Amount, e.Grants[i].Burst})
	}
	return c
}

// fresh is the part of all that was granted under a version.
func (e *entry) fresh(version uint64, f mutation.Set) count {
	if f.Max {
		return e.all(f)
	}
	var c count
	for i := range e.Grants {
		if e.Grants[i].Version == version {
			c = c.max(count{e.Grants[i].Amount, e.Grants[i].Burst})
		}
	}
	return c
}

// newest is the last grant, nil if there is none.
func (e *entry) newest() *Grant {
	if e == nil || len(e.Grants) == 0 {
		return nil
	}
	return &e.Grants[len(e.Grants)-1]
}

// floorAt is a floor as of a version.
type floorAt struct {
	Version uint64 `json:"Version"`
	Amount  Amount `json:"Amount"`
	Burst   Amount `json:"Burst"`
}

// ledger is all that is out of one budget, whether it is still configured or not.
type ledger struct {
	entries map[Key]*entry
	floors  map[string][]floorAt // by holder, those that it may go by, oldest first
	sum     count                // of all entries
	fresh   count                // of all entries, under the current version
	floor   count                // of all floors
}

func newLedger() *ledger { return &ledger{entries: map[Key]*entry{}, floors: map[string][]floorAt{}} }

// Book is the state machine behind the log: what may be spent of each budget, by whom. It trusts no proposer: what would
// break a sum is refused here. Only Expire is a steward's word, for the book has no clock.
type Book struct {
	fleet   string
	epoch   uint64
	drift   float64
	longest time.Duration
	past    Token  // of a founding whose time before is not over; nothing is granted
	index   uint64 // of the last command
	lift    uint64 // tokens are so much above the index: an older store was put back, and holders know higher ones
	version uint64
	seen    uint64 // newest version that a holder knows
	config  Fleet
	ledgers map[string]*ledger
	flaws   mutation.Set
}

// NewBook is the book of an empty log.
func NewBook() *Book { return &Book{ledgers: map[string]*ledger{}} }

// Without takes guards out, for the trial of a checker.
func (b *Book) Without(f mutation.Set) { b.flaws = f }

// Founded is the fleet, and the epoch of its founding; NotFounded before.
func (b *Book) Founded() (fleet string, epoch uint64, err error) {
	if b.epoch == 0 {
		return "", 0, NotFounded{}
	}
	return b.fleet, b.epoch, nil
}

// Budgets is the configuration and its version.
func (b *Book) Budgets() (Fleet, uint64) { return b.config, b.version }

// Index is that of the last command applied.
func (b *Book) Index() uint64 { return b.index }

// Counted is what all together may still spend of a budget, with all floors, and what all buckets may hold.
func (b *Book) Counted(budget string) (amount, burst Amount) {
	l := b.ledgers[budget]
	if l == nil {
		return 0, 0
	}
	return l.sum.amount + l.floor.amount, l.sum.burst + l.floor.burst
}

func (b *Book) ledger(budget string) *ledger {
	l := b.ledgers[budget]
	if l == nil {
		l = newLedger()
		b.ledgers[budget] = l
	}
	return l
}

func (b *Book) entry(budget string, k Key) *entry {
	if l := b.ledgers[budget]; l != nil {
		return l.entries[k]
	}
	return nil
}

// change does something to an entry and keeps the sums.
func (b *Book) change(l *ledger, e *entry, do func()) {
	l.sum.sub(e.all(b.flaws))
	l.fresh.sub(e.fresh(b.version, b.flaws))
	do()
	l.sum.add(e.all(b.flaws))
	l.fresh.add(e.fresh(b.version, b.flaws))
	if len(e.Grants) == 0 && e.Rest == 0 {
		delete(l.entries, e.Key)
	}
}

// Apply applies a command of the log. What is refused changes nothing but the index; the error is one of this package's
// types. Indices must grow.
func (b *Book) Apply(index uint64, c Command) (Applied, error) {
	if index <= b.index {
		return Applied{}, BadCommand{fmt.Sprintf("index %d was applied, %d is the last", index, b.index)}
	}
	b.index = index
	a := Applied{Token: b.token()}
	if c.Batch == nil {
		err := b.apply(c, &a)
		a.Token = b.token()
		return a, err
	}
	for _, one := range c.Batch {
		if err := b.apply(one, &a); err != nil {
			a.Refused = append(a.Refused, err)
		}
	}
	a.Token = b.token()
	return a, nil
}

func (b *Book) token() Token { return Token{b.epoch, b.index + b.lift} }

func (b *Book) apply(c Command, a *Applied) error {
	if c.Found != nil {
		return b.found(c.Found, a)
	}
	if b.epoch == 0 {
		return NotFounded{}
	}
	switch {
	case c.SetBudgets != nil:
		return b.setBudgets(c.SetBudgets)
	case c.Grant != nil:
		return b.grant(*c.Grant, a)
	case c.Expire != nil:
		b.expire(c.Expire)
		return nil
	case c.Ack != nil:
		return b.ack(c.Ack, false, false, a)
	case c.GiveBack != nil:
		return b.ack(&c.GiveBack.Ack, true, c.GiveBack.All, a)
	case c.Know != nil:
		return b.know(c.Know)
	case c.Grants != nil:
		b.grants(c.Grants, a)
		return nil
	case c.Words != nil:
		b.words(c.Words, a)
		return nil
	}
	return BadCommand{"it is empty"}
}

func (b *Book) found(f *Found, a *Applied) error {
	switch {
	case b.epoch > 0 && f.Fleet != b.fleet:
		return OtherFleet{b.fleet, f.Fleet}
	case f.Epoch <= b.epoch:
		return OldEpoch{f.Epoch, b.epoch}
	case f.Fleet == "" || !(f.Drift >= 0 && f.Drift <= maxDrift) || f.Longest < leastTime:
		return BadCommand{fmt.Sprintf("fleet %q, drift %v, longest %v", f.Fleet, f.Drift, f.Longest)}
	case f.Longest < b.longest || f.Drift < b.drift:
		return BadCommand{fmt.Sprintf("longest %v or drift %v is less than held before", f.Longest, f.Drift)}
	}
	b.fleet, b.epoch, b.drift, b.longest = f.Fleet, f.Epoch, f.Drift, f.Longest
	for _, l := range b.ledgers { // they are over when the time before is
		l.entries = map[Key]*entry{}
		l.sum, l.fresh = count{}, count{}
	}
	b.past = b.token()
	a.Born = append(a.Born, Item{Token: b.past, Length: f.Longest})
	return nil
}

func (b *Book) setBudgets(s *SetBudgets) error {
	switch {
	case s.Fleet.ID != b.fleet:
		return OtherFleet{b.fleet, s.Fleet.ID}
	case b.past != Token{}:
		return StillSilent{b.longest}
	case s.Version <= max(b.version, b.seen):
		return OldBudgets{s.Version, max(b.version, b.seen)}
	case s.Fleet.Drift > b.drift || s.Fleet.Longest > b.longest:
		return BadCommand{fmt.Sprintf("drift %v or longest %v is above what the fleet was founded with", s.Fleet.Drift, s.Fleet.Longest)}
	}
	if err := s.Fleet.Check(); err != nil {
		return BadCommand{err.Error()}
	}
	after := map[string]*ledger{} // with the floors of the new configuration
	for _, name := range b.names(&s.Fleet) {
		now, was := s.Fleet.Budget(name), b.config.Budget(name)
		l := newLedger()
		if old := b.ledgers[name]; old != nil {
			*l = *old
			l.floors = maps.Clone(old.floors)
		}
		if now != nil && was != nil && now.Kind != was.Kind && (len(l.entries) > 0 || len(l.floors) > 0) {
			return BadCommand{fmt.Sprintf("%s: its kind cannot change while grants or floors of it are out", name)}
		}
		l.setFloors(now, s.Version, s.Gone)
		if now != nil {
			// A floor is the holder's with the commit: it needs room now, and grants make room only as they end.
			if had := Of(now.Whole); l.floor.amount > b.floorOf(name).amount && l.sum.amount+l.floor.amount > had {
				return OverWhole{name, "whole", had, l.sum.amount, l.floor.amount}
			}
			if had := Of(now.Burst); l.floor.burst > b.floorOf(name).burst && l.sum.burst+l.floor.burst > had {
				return OverWhole{name, "burst", had, l.sum.burst, l.floor.burst}
			}
		}
		after[name] = l
	}
	b.ledgers, b.config, b.version = after, s.Fleet, s.Version
	for _, l := range b.ledgers {
		l.fresh = count{} // nothing is granted under this version yet
	}
	return nil
}

// names is all budgets of a configuration and of the book, sorted.
func (b *Book) names(f *Fleet) []string {
	all := slices.Collect(maps.Keys(b.ledgers))
	for i := range f.Budgets {
		all = append(all, f.Budgets[i].Name)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func (b *Book) floorOf(budget string) count {
	if l := b.ledgers[budget]; l != nil {
		return l.floor
	}
	return count{}
}

// setFloors adds the floors of a configuration to those that holders may still go by.
func (l *ledger) setFloors(now *Budget, version uint64, gone []string) {
	for _, holder := range gone {
		delete(l.floors, holder)
	}
	holders := slices.Collect(maps.Keys(l.floors))
	if now != nil {
		holders = slices.AppendSeq(holders, maps.Keys(now.Floors))
	}
	slices.Sort(holders)
	for _, holder := range slices.Compact(holders) {
		f := floorAt{Version: version}
		if now != nil {
			f.Amount, f.Burst = now.floor(holder)
		}
		had := l.floors[holder]
		if n := len(had); n == 0 && f.Amount == 0 || n > 0 && had[n-1].Amount == f.Amount && had[n-1].Burst == f.Burst {
			continue
		}
		l.floors[holder] = append(slices.Clone(had), f)
	}
	l.sumFloors()
}

func (l *ledger) sumFloors() {
	l.floor = count{}
	for _, at := range l.floors {
		var c count
		for _, f := range at {
			c = c.max(count{f.Amount, f.Burst})
		}
		l.floor.add(c)
	}
}

func (b *Book) grant(g Grant, a *Applied) error {
	now := b.config.Budget(g.Budget)
	switch {
	case g.Fleet != b.fleet:
		return OtherFleet{b.fleet, g.Fleet}
	case g.Epoch != b.epoch:
		return OldEpoch{g.Epoch, b.epoch}
	case b.past != Token{}:
		return StillSilent{b.longest}
	case b.seen > b.version:
		return OldBudgets{b.version, b.seen}
	case now == nil:
		return NoBudget{g.Budget}
	case g.Kind != now.Kind || g.Lease <= 0 || g.Lease > now.Lease || g.Life != now.Life || g.Holder == "":
		return BadCommand{fmt.Sprintf("a grant of %s for %q is not of this budget's kind, lease or life", g.Budget, g.Holder)}
	case g.Amount < 0 || g.Burst < 0 || g.Kind == InHand && (g.Burst != 0 || g.Amount%Unit != 0):
		return BadCommand{fmt.Sprintf("amount %d, burst %d", g.Amount, g.Burst)}
	}
	l := b.ledger(g.Budget)
	e := l.entries[g.Key]
	if e == nil {
		e = &entry{Key: g.Key}
	}
	g.Version, g.Token = b.version, b.token()
	if last := e.newest(); g.Ask <= e.Ask && e.Ask > 0 || last != nil && g.Token.Compare(last.Token) <= 0 {
		return OldToken{g.Holder, g.Budget, g.Token, last.tokenOr()}
	}

	own := count{g.Amount, g.Burst}
	sum, fresh := l.sum, l.fresh
	before, beforeFresh := e.all(b.flaws), e.fresh(b.version, b.flaws)
	sum.sub(before)
	sum.add(before.max(own))
	if b.flaws.Max {
		sum = l.sum
		sum.sub(before)
		sum.add(own)
		beforeFresh = count{}
	}
	fresh.sub(e.fresh(b.version, b.flaws))
	fresh.add(beforeFresh.max(own))
	if err := b.over(now, l, sum, fresh, own); err != nil && !b.flaws.Sum {
		return err
	}
	l.entries[g.Key] = e
	b.change(l, e, func() {
		e.Grants = append(e.Grants, g)
		e.Life = max(e.Life, g.Life)
		e.Ask = g.Ask
	})
	length := g.Lease + g.Life
	if b.flaws.Life {
		length = g.Lease
	}
	a.Born = append(a.Born, Item{g.Key, g.Budget, g.Token, length})
	return nil
}

func (b *Book) grants(gs *Grants, a *Applied) {
	for _, p := range gs.Parts {
		g := Grant{Fleet: gs.Fleet, Epoch: gs.Epoch, Key: gs.Key, Budget: p.Budget, Amount: p.Amount, Burst: p.Burst, Ask: gs.Ask}
		if now := b.config.Budget(p.Budget); now != nil {
			g.Kind, g.Lease, g.Life = now.Kind, now.Lease, now.Life
		}
		if err := b.grant(g, a); err != nil {
			a.Refused = append(a.Refused, err)
		}
	}
}

func (b *Book) words(w *Words, a *Applied) {
	for _, p := range w.Parts {
		if err := b.ack(&Ack{w.Epoch, w.Key, p.Budget, w.Seq, p.Token, p.Held}, p.Ended || w.All, w.All, a); err != nil {
			a.Refused = append(a.Refused, err)
		}
	}
}

func (g *Grant) tokenOr() Token {
	if g == nil {
		return Token{}
	}
	return g.Token
}

// over tells whether sums after a grant break the whole. All that is out may be above it after the whole was lowered: then
// it must not grow, and what was granted since must fit by itself; so the whole holds once the last older grant has ended.
func (b *Book) over(now *Budget, l *ledger, sum, fresh, own count) error {
	whole, burst := Of(now.Whole)-l.floor.amount, Of(now.Burst)-l.floor.burst
	if sum.amount > max(whole, l.sum.amount) || fresh.amount > whole && own.amount > 0 {
		return OverWhole{now.Name, "whole", Of(now.Whole), l.sum.amount + l.floor.amount, own.amount}
	}
	if sum.burst > max(burst, l.sum.burst) || fresh.burst > burst && own.burst > 0 {
		return OverWhole{now.Name, "burst", Of(now.Burst), l.sum.burst + l.floor.burst, own.burst}
	}
	return nil
}

func (b *Book) expire(x *Expire) {
	if x.Token == b.past && x.Budget == "" {
		b.past = Token{}
		return
	}
	l, e := b.ledgers[x.Budget], b.entry(x.Budget, x.Key)
	if e == nil {
		return // it was acked away
	}
	b.change(l, e, func() {
		e.Grants = slices.DeleteFunc(slices.Clone(e.Grants), func(g Grant) bool { return g.Token == x.Token })
		if e.RestBy == x.Token {
			e.Rest, e.RestBy = 0, Token{}
		}
	})
}

// ack drops grants that the holder will never go by again. Work in hand above the grant that it goes by was begun under
// older ones and stays counted, for the longest life. Danger: it must be the count of the same ask; hence Seq.
func (b *Book) ack(k *Ack, ended, all bool, a *Applied) error {
	if k.Epoch > b.epoch {
		return OldEpoch{b.epoch, k.Epoch}
	}
	if k.Token.Epoch == b.epoch && k.Token.Index > b.index+b.lift {
		// This book never gave that token: its store is an older copy. New ones must be above it, or the holder refuses them.
		b.lift = k.Token.Index - b.index
	}
	l, e := b.ledgers[k.Budget], b.entry(k.Budget, k.Key)
	if e == nil {
		return nil
	}
	if k.Seq <= e.Seq {
		return OldToken{k.Holder, k.Budget, k.Token, Token{b.epoch, e.Seq}}
	}
	dropped, goesBy := false, Amount(0)
	keep := make([]Grant, 0, len(e.Grants))
	for _, g := range e.Grants {
		order := g.Token.Compare(k.Token)
		drop := order < 0 || ended && order == 0 || all
		if b.flaws.Ack {
			drop = true
		}
		if drop {
			dropped = true
			continue
		}
		if order == 0 && g.Life == e.Life { // else work of a longer life may be among what is in hand
			goesBy = g.Amount
		}
		keep = append(keep, g)
	}
	held := min(k.Held.up(), e.all(b.flaws).amount) // more than is counted cannot be in hand, whatever is said
	if !dropped && held >= e.Rest {
		return nil // nothing that is counted may go
	}
	b.change(l, e, func() {
		e.Seq = k.Seq
		e.Grants = keep
		e.Rest, e.RestBy = 0, Token{}
		if held > goesBy && e.Life > 0 && !b.flaws.Life {
			e.Rest, e.RestBy = held, b.token()
			a.Born = append(a.Born, Item{k.Key, k.Budget, e.RestBy, e.Life})
		}
	})
	return nil
}

// up is the amount in whole units, rounded up.
func (a Amount) up() Amount { return (a + Unit - 1).whole() }

func (b *Book) know(k *Know) error {
	b.seen = max(b.seen, k.Seen)
	if k.Floors == 0 {
		return nil
	}
	for _, l := range b.ledgers {
		at := l.floors[k.Holder]
		first := 0
		for i, f := range at {
			if f.Version <= k.Floors {
				first = i
			}
		}
		if first == 0 && (len(at) != 1 || at[0].Amount > 0 || at[0].Version > k.Floors) {
			continue
		}
		at = slices.Clone(at[first:])
		l.floors[k.Holder] = at
		if len(at) == 1 && at[0].Amount == 0 {
			delete(l.floors, k.Holder)
		}
		l.sumFloors()
	}
	return nil
}

// Tell is all that is one process's by this book.
func (b *Book) Tell(k Key) Reply {
	r := Reply{Fleet: b.fleet, Epoch: b.epoch, Key: k, Version: b.version}
	for _, name := range b.names(&b.config) {
		if g := b.entry(name, k).newest(); g != nil {
			r.Grants = append(r.Grants, *g)
		}
		now := b.config.Budget(name)
		if now == nil {
			continue
		}
		if amount, burst := now.floor(k.Holder); amount > 0 {
			if r.Floors == nil {
				r.Floors = map[string]Floor{}
			}
			r.Floors[name] = Floor{now.Kind, amount, burst, now.Life}
		}
	}
	return r
}

// Items is all that is counted until it is over, as a steward that starts with this book must count it anew.
func (b *Book) Items() []Item {
	var out []Item
	if b.past != (Token{}) {
		out = append(out, Item{Token: b.past, Length: b.longest})
	}
	for _, name := range slices.Sorted(maps.Keys(b.ledgers)) {
		for _, e := range b.ledgers[name].sorted() {
			for _, g := range e.Grants {
				length := g.Lease + g.Life
				if b.flaws.Life {
					length = g.Lease
				}
				out = append(out, Item{e.Key, name, g.Token, length})
			}
			if e.Rest > 0 {
				out = append(out, Item{e.Key, name, e.RestBy, e.Life})
			}
		}
	}
	return out
}

// live tells whether an item is still counted.
func (b *Book) live(i Item) bool {
	if i.Budget == "" {
		return b.past == i.Token && b.past != Token{}
	}
	e := b.entry(i.Budget, i.Key)
	if e == nil {
		return false
	}
	return e.Rest > 0 && e.RestBy == i.Token || slices.ContainsFunc(e.Grants, func(g Grant) bool { return g.Token == i.Token })
}

func (l *ledger) sorted() []*entry {
	return slices.SortedFunc(maps.Values(l.entries), func(x, y *entry) int { return x.Key.Compare(y.Key) })
}

// kept is the book in a snapshot.
type kept struct {
	Fleet   string                `json:"Fleet"`
	Epoch   uint64                `json:"Epoch"`
	Drift   float64               `json:"Drift"`
	Longest time.Duration         `json:"Longest"`
	Past    Token                 `json:"Past"`
	Index   uint64                `json:"Index"`
	Lift    uint64                `json:"Lift"`
	Version uint64                `json:"Version"`
	Seen    uint64                `json:"Seen"`
	Config  Fleet                 `json:"Config"`
	Ledgers map[string]keptLedger `json:"Ledgers"`
}

type keptLedger struct {
	Entries []*entry             `json:"Entries"`
	Floors  map[string][]floorAt `json:"Floors"`
}

// Snapshot is the book in JSON; equal books give equal bytes.
func (b *Book) Snapshot() ([]byte, error) {
	k := kept{b.fleet, b.epoch, b.drift, b.longest, b.past, b.index, b.lift, b.version, b.seen, b.config, map[string]keptLedger{}}
	for name, l := range b.ledgers {
		k.Ledgers[name] = keptLedger{l.sorted(), l.floors}
	}
	data, err := json.Marshal(k)
	if err != nil {
		return nil, fmt.Errorf("grant: snapshot: %w", err)
	}
	return data, nil
}

// Restore sets the book to a snapshot; what cannot be read changes nothing. The Keeper must be told (Keeper.Restart).
func (b *Book) Restore(data []byte) error {
	var k kept
	if err := json.Unmarshal(data, &k); err != nil {
		return fmt.Errorf("grant: restore: %w", err)
	}
	if k.Epoch > 0 && k.Version > 0 {
		if err := k.Config.Check(); err != nil {
			return fmt.Errorf("grant: restore: %w", err)
		}
	}
	n := &Book{k.Fleet, k.Epoch, k.Drift, k.Longest, k.Past, k.Index, k.Lift, k.Version, k.Seen, k.Config, map[string]*ledger{}, b.flaws}
	for name, kl := range k.Ledgers {
		l := newLedger()
		for _, e := range kl.Entries {
			l.entries[e.Key] = e
			l.sum.add(e.all(b.flaws))
			l.fresh.add(e.fresh(k.Version, b.flaws))
		}
		if kl.Floors != nil {
			l.floors = kl.Floors
		}
		l.sumFloors()
		n.ledgers[name] = l
	}
	*b = *n
	return nil
}

// Clone is a copy, for worlds that are explored.
func (b *Book) Clone() *Book {
	c := *b
	c.ledgers = make(map[string]*ledger, len(b.ledgers))
	for name, l := range b.ledgers {
		n := *l
		n.entries = make(map[Key]*entry, len(l.entries))
		for k, e := range l.entries {
			ne := *e
			ne.Grants = slices.Clone(e.Grants)
			n.entries[k] = &ne
		}
		n.floors = maps.Clone(l.floors) // lists of floors are never changed in place
		c.ledgers[name] = &n
	}
	return &c
}
