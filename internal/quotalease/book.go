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
	Bootstrap     *Bootstrap     `json:"Found,omitempty"`
	SetQuotas     *SetQuotas     `json:"SetBudgets,omitempty"`
	Grant         *Lease         `json:"Grant,omitempty"`
	Expire        *Expire        `json:"Expire,omitempty"`
	Ack           *Ack           `json:"Ack,omitempty"`
	Release       *Release       `json:"GiveBack,omitempty"`
	ObserveConfig *ObserveConfig `json:"Know,omitempty"`
	GrantBatch    *GrantBatch    `json:"Grants,omitempty"`
	AckBatch      *AckBatch      `json:"Words,omitempty"`
	Batch         []Command      `json:"Batch,omitempty"` // applied in order, each accepted or refused by itself
}

// Bootstrap is an operator's word: this log is the fleet's from now on, under an epoch above all before. Nothing is granted, and
// no budget is set, until Longest has gone by; it and Drift must be at least what held before.
type Bootstrap struct {
	FleetID     string        `json:"Fleet"`
	Epoch       uint64        `json:"Epoch"`
	MaxDrift    float64       `json:"Drift"`
	MaxLifetime time.Duration `json:"Longest"`
}

// SetQuotas is a new configuration, under a version above all before. A lower whole holds once the last grant of the
// version before has ended. A floor that is lowered stays counted until its holder says that it goes by the new version;
// Gone names holders whose floors an operator vouches that nobody will spend again.
type SetQuotas struct {
	Version        uint64      `json:"Version"`
	Config         FleetConfig `json:"Fleet"`
	RemovedHolders []string    `json:"Gone,omitempty"`
}

// Lease is a part of a budget for one process, for a length of time.
type Lease struct {
	FleetID string `json:"Fleet"`
	Epoch   uint64 `json:"Epoch"`
	HolderID
	Quota         string        `json:"Budget"`
	Kind          Kind          `json:"Kind"`
	Amount        Amount        `json:"Amount"`  // units a second, or units in hand
	Burst         Amount        `json:"Burst"`   // units of the bucket; 0 for work in hand
	Duration      time.Duration `json:"Lease"`   // the holder counts it from when it sent the ask
	MaxHoldTime   time.Duration `json:"Life"`    // of work in hand
	RequestSeq    uint64        `json:"Ask"`     // number of the ask that it answers; the ask was sent before this was committed
	ConfigVersion uint64        `json:"Version"` // of the budgets; set by the book
	Token         Token         `json:"Token"`   // set by the book
}

// Expire is a steward's word that a grant, a rest of work in hand, or the time before a founding, surely is over.
type Expire struct {
	HolderID
	Quota string `json:"Budget"`
	Token Token  `json:"Token"`
}

// Ack is a holder's word: it goes by Token, will never go by an older one, and had Held in hand when it asked with Seq.
type Ack struct {
	Epoch uint64 `json:"Epoch"`
	HolderID
	Quota      string `json:"Budget"`
	RequestSeq uint64 `json:"Seq"`
	Token      Token  `json:"Token"`
	InFlight   Amount `json:"Held"`
}

// Release is a holder's word: it will never again go by Token or an older one, and had Held in hand when it asked with
// Seq. With All it will go by no grant of this budget at all: it leaves.
type Release struct {
	Ack
	All bool `json:"All"`
}

// GrantBatch are grants of many budgets to one process, in answer to one ask: each as a Grant for the budget's whole lease. They
// are accepted or refused one by one. This is the form that a Keeper proposes: the log grows by a third of what it would.
type GrantBatch struct {
	FleetID string `json:"Fleet"`
	Epoch   uint64 `json:"Epoch"`
	HolderID
	RequestSeq uint64       `json:"Ask"`
	Grants     []QuotaGrant `json:"Parts"`
}

// QuotaGrant is one grant of Grants.
type QuotaGrant struct {
	Quota  string `json:"b"`
	Amount Amount `json:"a"`
	Burst  Amount `json:"u,omitempty"`
}

// AckBatch are a process's words on many budgets in one ask, each as an Ack, or as a GiveBack where it is Ended or All is set.
type AckBatch struct {
	Epoch uint64 `json:"Epoch"`
	HolderID
	RequestSeq uint64     `json:"Seq"`
	All        bool       `json:"All,omitempty"`
	Acks       []QuotaAck `json:"Parts"`
}

// QuotaAck is one of Words.
type QuotaAck struct {
	Quota    string `json:"b"`
	Token    Token  `json:"t"`
	InFlight Amount `json:"h,omitempty"`
	Ended    bool   `json:"e,omitempty"`
}

// ObserveConfig is what a process knows: the newest version of the budgets that it saw, and the version whose floors it goes by
// (0: it has no claim to the floors of its name).
type ObserveConfig struct {
	HolderID
	SeenVersion   uint64 `json:"Seen"`
	FloorsVersion uint64 `json:"Floors"`
}

// Expiry is something that is counted until it is over: the time before a founding (Budget empty), a grant, or a rest of work
// in hand. Length is counted by the steward's clock from when it applied the command, with the margin.
type Expiry struct {
	HolderID
	Quota    string
	Token    Token
	Duration time.Duration
}

// ApplyResult is what a command did.
type ApplyResult struct {
	Token    Token
	Started  []Expiry
	Rejected []error // of a Batch, Grants or Words, for what was refused
}

// Reply is what a steward tells a holder: all that is the holder's by this steward's book. It may come late, repeated and
// out of order.
type Reply struct {
	FleetID string `json:"Fleet"`
	Epoch   uint64 `json:"Epoch"`
	HolderID
	ConfigVersion uint64           `json:"Version"` // of the budgets
	Leases        []Lease          `json:"Grants"`  // the newest of each budget
	Floors        map[string]Floor `json:"Floors"`  // by budget, of the holder's name
}

// Floor is what a holder has by its name.
type Floor struct {
	Kind        Kind          `json:"Kind"`
	Amount      Amount        `json:"Amount"`
	Burst       Amount        `json:"Burst"`
	MaxHoldTime time.Duration `json:"Life"`
}

// usage is an amount and its burst.
type usage struct{ amount, burst Amount }

func (c usage) atLeast(o usage) usage { return usage{max(c.amount, o.amount), max(c.burst, o.burst)} }
func (c *usage) add(o usage)          { c.amount += o.amount; c.burst += o.burst }
func (c *usage) sub(o usage)          { c.amount -= o.amount; c.burst -= o.burst }

// holderEntry is what one process has of a budget.
type holderEntry struct {
	HolderID
	Leases        []Lease       `json:"Grants"` // neither acked away nor expired, by token
	Residual      Amount        `json:"Rest"`   // work in hand beyond the acked grant
	ResidualToken Token         `json:"RestBy"`
	MaxHoldTime   time.Duration `json:"Life"` // the longest of any unit that may be in hand
	LastAck       uint64        `json:"Seq"`  // of the last Ack
	LastGrant     uint64        `json:"Ask"`  // of the last Grant
}

// maxUsage is what the process may still spend: it goes by one grant at a time, and one cannot know by which of these.
func (e *holderEntry) maxUsage(f mutation.Set) usage {
	c := usage{amount: e.Residual}
	if f.CountNewestLeaseOnly && len(e.Leases) > 0 {
		return usage{e.Leases[len(e.Leases)-1].Amount, e.Leases[len(e.Leases)-1].Burst}
	}
	for i := range e.Leases {
		c = c.atLeast(usage{e.Leases[i].Amount, e.Leases[i].Burst})
	}
	return c
}

// usageSince is the part of all that was granted under a version.
func (e *holderEntry) usageSince(version uint64, f mutation.Set) usage {
	if f.CountNewestLeaseOnly {
		return e.maxUsage(f)
	}
	var c usage
	for i := range e.Leases {
		if e.Leases[i].ConfigVersion == version {
			c = c.atLeast(usage{e.Leases[i].Amount, e.Leases[i].Burst})
		}
	}
	return c
}

// newestLease is the last grant, nil if there is none.
func (e *holderEntry) newestLease() *Lease {
	if e == nil || len(e.Leases) == 0 {
		return nil
	}
	return &e.Leases[len(e.Leases)-1]
}

// versionedFloor is a floor as of a version.
type versionedFloor struct {
	ConfigVersion uint64 `json:"Version"`
	Amount        Amount `json:"Amount"`
	Burst         Amount `json:"Burst"`
}

// quotaLedger is all that is out of one budget, whether it is still configured or not.
type quotaLedger struct {
	entries  map[HolderID]*holderEntry
	floors   map[string][]versionedFloor // by holder, those that it may go by, oldest first
	total    usage                       // of all entries
	current  usage                       // of all entries, under the current version
	reserved usage                       // of all floors
}

func newQuotaLedger() *quotaLedger {
	return &quotaLedger{entries: map[HolderID]*holderEntry{}, floors: map[string][]versionedFloor{}}
}

// StateMachine is the state machine behind the log: what may be spent of each budget, by whom. It trusts no proposer: what would
// break a sum is refused here. Only Expire is a steward's word, for the book has no clock.
type StateMachine struct {
	fleetID        string
	epoch          uint64
	maxDrift       float64
	maxLifetime    time.Duration
	bootstrapToken Token  // of a founding whose time before is not over; nothing is granted
	appliedIndex   uint64 // of the last command
	tokenOffset    uint64 // tokens are so much above the index: an older store was put back, and holders know higher ones
	configVersion  uint64
	seenVersion    uint64 // newest version that a holder knows
	config         FleetConfig
	ledgers        map[string]*quotaLedger
	mutations      mutation.Set
}

// NewStateMachine is the book of an empty log.
func NewStateMachine() *StateMachine { return &StateMachine{ledgers: map[string]*quotaLedger{}} }

// SetMutations takes guards out, for the trial of a checker.
func (b *StateMachine) SetMutations(f mutation.Set) { b.mutations = f }

// Bootstrapped is the fleet, and the epoch of its founding; NotFounded before.
func (b *StateMachine) Bootstrapped() (fleet string, epoch uint64, err error) {
	if b.epoch == 0 {
		return "", 0, NotBootstrappedError{}
	}
	return b.fleetID, b.epoch, nil
}

// Config is the configuration and its version.
func (b *StateMachine) Config() (FleetConfig, uint64) { return b.config, b.configVersion }

// AppliedIndex is that of the last command applied.
func (b *StateMachine) AppliedIndex() uint64 { return b.appliedIndex }

// Outstanding is what all together may still spend of a budget, with all floors, and what all buckets may hold.
func (b *StateMachine) Outstanding(budget string) (amount, burst Amount) {
	l := b.ledgers[budget]
	if l == nil {
		return 0, 0
	}
	return l.total.amount + l.reserved.amount, l.total.burst + l.reserved.burst
}

func (b *StateMachine) ledgerOf(budget string) *quotaLedger {
	l := b.ledgers[budget]
	if l == nil {
		l = newQuotaLedger()
		b.ledgers[budget] = l
	}
	return l
}

func (b *StateMachine) entryOf(budget string, k HolderID) *holderEntry {
	if l := b.ledgers[budget]; l != nil {
		return l.entries[k]
	}
	return nil
}

// updateEntry does something to an entry and keeps the sums.
func (b *StateMachine) updateEntry(l *quotaLedger, e *holderEntry, do func()) {
	l.total.sub(e.maxUsage(b.mutations))
	l.current.sub(e.usageSince(b.configVersion, b.mutations))
	do()
	l.total.add(e.maxUsage(b.mutations))
	l.current.add(e.usageSince(b.configVersion, b.mutations))
	if len(e.Leases) == 0 && e.Residual == 0 {
		delete(l.entries, e.HolderID)
	}
}

// Apply applies a command of the log. What is refused changes nothing but the index; the error is one of this package's
// types. Indices must grow.
func (b *StateMachine) Apply(index uint64, c Command) (ApplyResult, error) {
	if index <= b.appliedIndex {
		return ApplyResult{}, InvalidCommandError{fmt.Sprintf("index %d was applied, %d is the last", index, b.appliedIndex)}
	}
	b.appliedIndex = index
	a := ApplyResult{Token: b.nextToken()}
	if c.Batch == nil {
		err := b.apply(c, &a)
		a.Token = b.nextToken()
		return a, err
	}
	for _, one := range c.Batch {
		if err := b.apply(one, &a); err != nil {
			a.Rejected = append(a.Rejected, err)
		}
	}
	a.Token = b.nextToken()
	return a, nil
}

func (b *StateMachine) nextToken() Token { return Token{b.epoch, b.appliedIndex + b.tokenOffset} }

func (b *StateMachine) apply(c Command, a *ApplyResult) error {
	if c.Bootstrap != nil {
		return b.bootstrap(c.Bootstrap, a)
	}
	if b.epoch == 0 {
		return NotBootstrappedError{}
	}
	switch {
	case c.SetQuotas != nil:
		return b.setQuotas(c.SetQuotas)
	case c.Grant != nil:
		return b.grant(*c.Grant, a)
	case c.Expire != nil:
		b.expire(c.Expire)
		return nil
	case c.Ack != nil:
		return b.ack(c.Ack, false, false, a)
	case c.Release != nil:
		return b.ack(&c.Release.Ack, true, c.Release.All, a)
	case c.ObserveConfig != nil:
		return b.observeConfig(c.ObserveConfig)
	case c.GrantBatch != nil:
		b.grantBatch(c.GrantBatch, a)
		return nil
	case c.AckBatch != nil:
		b.ackBatch(c.AckBatch, a)
		return nil
	}
	return InvalidCommandError{"it is empty"}
}

func (b *StateMachine) bootstrap(f *Bootstrap, a *ApplyResult) error {
	switch {
	case b.epoch > 0 && f.FleetID != b.fleetID:
		return FleetMismatchError{b.fleetID, f.FleetID}
	case f.Epoch <= b.epoch:
		return StaleEpochError{f.Epoch, b.epoch}
	case f.FleetID == "" || !(f.MaxDrift >= 0 && f.MaxDrift <= driftLimit) || f.MaxLifetime < minDuration:
		return InvalidCommandError{fmt.Sprintf("fleet %q, drift %v, longest %v", f.FleetID, f.MaxDrift, f.MaxLifetime)}
	case f.MaxLifetime < b.maxLifetime || f.MaxDrift < b.maxDrift:
		return InvalidCommandError{fmt.Sprintf("longest %v or drift %v is less than held before", f.MaxLifetime, f.MaxDrift)}
	}
	b.fleetID, b.epoch, b.maxDrift, b.maxLifetime = f.FleetID, f.Epoch, f.MaxDrift, f.MaxLifetime
	for _, l := range b.ledgers { // they are over when the time before is
		l.entries = map[HolderID]*holderEntry{}
		l.total, l.current = usage{}, usage{}
	}
	b.bootstrapToken = b.nextToken()
	a.Started = append(a.Started, Expiry{Token: b.bootstrapToken, Duration: f.MaxLifetime})
	return nil
}

func (b *StateMachine) setQuotas(s *SetQuotas) error {
	switch {
	case s.Config.FleetID != b.fleetID:
		return FleetMismatchError{b.fleetID, s.Config.FleetID}
	case b.bootstrapToken != Token{}:
		return BootstrapPendingError{b.maxLifetime}
	case s.Version <= max(b.configVersion, b.seenVersion):
		return StaleConfigError{s.Version, max(b.configVersion, b.seenVersion)}
	case s.Config.MaxDrift > b.maxDrift || s.Config.MaxLifetime > b.maxLifetime:
		return InvalidCommandError{fmt.Sprintf("drift %v or longest %v is above what the fleet was founded with", s.Config.MaxDrift, s.Config.MaxLifetime)}
	}
	if err := s.Config.Check(); err != nil {
		return InvalidCommandError{err.Error()}
	}
	after := map[string]*quotaLedger{} // with the floors of the new configuration
	for _, name := range b.quotaNames(&s.Config) {
		now, was := s.Config.Quota(name), b.config.Quota(name)
		l := newQuotaLedger()
		if old := b.ledgers[name]; old != nil {
			*l = *old
			l.floors = maps.Clone(old.floors)
		}
		if now != nil && was != nil && now.Kind != was.Kind && (len(l.entries) > 0 || len(l.floors) > 0) {
			return InvalidCommandError{fmt.Sprintf("%s: its kind cannot change while grants or floors of it are out", name)}
		}
		l.setFloors(now, s.Version, s.RemovedHolders)
		if now != nil {
			// A floor is the holder's with the commit: it needs room now, and grants make room only as they end.
			if had := FromUnits(now.Limit); l.reserved.amount > b.reservedOf(name).amount && l.total.amount+l.reserved.amount > had {
				return LimitExceededError{name, "whole", had, l.total.amount, l.reserved.amount}
			}
			if had := FromUnits(now.Burst); l.reserved.burst > b.reservedOf(name).burst && l.total.burst+l.reserved.burst > had {
				return LimitExceededError{name, "burst", had, l.total.burst, l.reserved.burst}
			}
		}
		after[name] = l
	}
	b.ledgers, b.config, b.configVersion = after, s.Config, s.Version
	for _, l := range b.ledgers {
		l.current = usage{} // nothing is granted under this version yet
	}
	return nil
}

// quotaNames is all budgets of a configuration and of the book, sorted.
func (b *StateMachine) quotaNames(f *FleetConfig) []string {
	all := slices.Collect(maps.Keys(b.ledgers))
	for i := range f.Quotas {
		all = append(all, f.Quotas[i].Name)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func (b *StateMachine) reservedOf(budget string) usage {
	if l := b.ledgers[budget]; l != nil {
		return l.reserved
	}
	return usage{}
}

// setFloors adds the floors of a configuration to those that holders may still go by.
func (l *quotaLedger) setFloors(now *Quota, version uint64, gone []string) {
	for _, holder := range gone {
		delete(l.floors, holder)
	}
	holders := slices.Collect(maps.Keys(l.floors))
	if now != nil {
		holders = slices.AppendSeq(holders, maps.Keys(now.Floors))
	}
	slices.Sort(holders)
	for _, holder := range slices.Compact(holders) {
		f := versionedFloor{ConfigVersion: version}
		if now != nil {
			f.Amount, f.Burst = now.floorOf(holder)
		}
		had := l.floors[holder]
		if n := len(had); n == 0 && f.Amount == 0 || n > 0 && had[n-1].Amount == f.Amount && had[n-1].Burst == f.Burst {
			continue
		}
		l.floors[holder] = append(slices.Clone(had), f)
	}
	l.sumFloors()
}

func (l *quotaLedger) sumFloors() {
	l.reserved = usage{}
	for _, at := range l.floors {
		var c usage
		for _, f := range at {
			c = c.atLeast(usage{f.Amount, f.Burst})
		}
		l.reserved.add(c)
	}
}

func (b *StateMachine) grant(g Lease, a *ApplyResult) error {
	now := b.config.Quota(g.Quota)
	switch {
	case g.FleetID != b.fleetID:
		return FleetMismatchError{b.fleetID, g.FleetID}
	case g.Epoch != b.epoch:
		return StaleEpochError{g.Epoch, b.epoch}
	case b.bootstrapToken != Token{}:
		return BootstrapPendingError{b.maxLifetime}
	case b.seenVersion > b.configVersion:
		return StaleConfigError{b.configVersion, b.seenVersion}
	case now == nil:
		return UnknownQuotaError{g.Quota}
	case g.Kind != now.Kind || g.Duration <= 0 || g.Duration > now.LeaseDuration || g.MaxHoldTime != now.MaxHoldTime || g.Holder == "":
		return InvalidCommandError{fmt.Sprintf("a grant of %s for %q is not of this budget's kind, lease or life", g.Quota, g.Holder)}
	case g.Amount < 0 || g.Burst < 0 || g.Kind == InFlight && (g.Burst != 0 || g.Amount%Unit != 0):
		return InvalidCommandError{fmt.Sprintf("amount %d, burst %d", g.Amount, g.Burst)}
	}
	l := b.ledgerOf(g.Quota)
	e := l.entries[g.HolderID]
	if e == nil {
		e = &holderEntry{HolderID: g.HolderID}
	}
	g.ConfigVersion, g.Token = b.configVersion, b.nextToken()
	if last := e.newestLease(); g.RequestSeq <= e.LastGrant && e.LastGrant > 0 || last != nil && g.Token.Compare(last.Token) <= 0 {
		return StaleTokenError{g.Holder, g.Quota, g.Token, last.tokenOrZero()}
	}

	own := usage{g.Amount, g.Burst}
	sum, fresh := l.total, l.current
	before, beforeFresh := e.maxUsage(b.mutations), e.usageSince(b.configVersion, b.mutations)
	sum.sub(before)
	sum.add(before.atLeast(own))
	if b.mutations.CountNewestLeaseOnly {
		sum = l.total
		sum.sub(before)
		sum.add(own)
		beforeFresh = usage{}
	}
	fresh.sub(e.usageSince(b.configVersion, b.mutations))
	fresh.add(beforeFresh.atLeast(own))
	if err := b.checkLimit(now, l, sum, fresh, own); err != nil && !b.mutations.NoLimitCheck {
		return err
	}
	l.entries[g.HolderID] = e
	b.updateEntry(l, e, func() {
		e.Leases = append(e.Leases, g)
		e.MaxHoldTime = max(e.MaxHoldTime, g.MaxHoldTime)
		e.LastGrant = g.RequestSeq
	})
	length := g.Duration + g.MaxHoldTime
	if b.mutations.ForgetInFlightAtLeaseEnd {
		length = g.Duration
	}
	a.Started = append(a.Started, Expiry{g.HolderID, g.Quota, g.Token, length})
	return nil
}

func (b *StateMachine) grantBatch(gs *GrantBatch, a *ApplyResult) {
	for _, p := range gs.Grants {
		g := Lease{FleetID: gs.FleetID, Epoch: gs.Epoch, HolderID: gs.HolderID, Quota: p.Quota, Amount: p.Amount, Burst: p.Burst, RequestSeq: gs.RequestSeq}
		if now := b.config.Quota(p.Quota); now != nil {
			g.Kind, g.Duration, g.MaxHoldTime = now.Kind, now.LeaseDuration, now.MaxHoldTime
		}
		if err := b.grant(g, a); err != nil {
			a.Rejected = append(a.Rejected, err)
		}
	}
}

func (b *StateMachine) ackBatch(w *AckBatch, a *ApplyResult) {
	for _, p := range w.Acks {
		if err := b.ack(&Ack{w.Epoch, w.HolderID, p.Quota, w.RequestSeq, p.Token, p.InFlight}, p.Ended || w.All, w.All, a); err != nil {
			a.Rejected = append(a.Rejected, err)
		}
	}
}

func (g *Lease) tokenOrZero() Token {
	if g == nil {
		return Token{}
	}
	return g.Token
}

// checkLimit tells whether sums after a grant break the whole. All that is out may be above it after the whole was lowered: then
// it must not grow, and what was granted since must fit by itself; so the whole holds once the last older grant has ended.
func (b *StateMachine) checkLimit(now *Quota, l *quotaLedger, sum, fresh, own usage) error {
	whole, burst := FromUnits(now.Limit)-l.reserved.amount, FromUnits(now.Burst)-l.reserved.burst
	if sum.amount > max(whole, l.total.amount) || fresh.amount > whole && own.amount > 0 {
		return LimitExceededError{now.Name, "whole", FromUnits(now.Limit), l.total.amount + l.reserved.amount, own.amount}
	}
	if sum.burst > max(burst, l.total.burst) || fresh.burst > burst && own.burst > 0 {
		return LimitExceededError{now.Name, "burst", FromUnits(now.Burst), l.total.burst + l.reserved.burst, own.burst}
	}
	return nil
}

func (b *StateMachine) expire(x *Expire) {
	if x.Token == b.bootstrapToken && x.Quota == "" {
		b.bootstrapToken = Token{}
		return
	}
	l, e := b.ledgers[x.Quota], b.entryOf(x.Quota, x.HolderID)
	if e == nil {
		return // it was acked away
	}
	b.updateEntry(l, e, func() {
		e.Leases = slices.DeleteFunc(slices.Clone(e.Leases), func(g Lease) bool { return g.Token == x.Token })
		if e.ResidualToken == x.Token {
			e.Residual, e.ResidualToken = 0, Token{}
		}
	})
}

// ack drops grants that the holder will never go by again. Work in hand above the grant that it goes by was begun under
// older ones and stays counted, for the longest life. Danger: it must be the count of the same ask; hence Seq.
func (b *StateMachine) ack(k *Ack, ended, all bool, a *ApplyResult) error {
	if k.Epoch > b.epoch {
		return StaleEpochError{b.epoch, k.Epoch}
	}
	if k.Token.Epoch == b.epoch && k.Token.Index > b.appliedIndex+b.tokenOffset {
		// This book never gave that token: its store is an older copy. New ones must be above it, or the holder refuses them.
		b.tokenOffset = k.Token.Index - b.appliedIndex
	}
	l, e := b.ledgers[k.Quota], b.entryOf(k.Quota, k.HolderID)
	if e == nil {
		return nil
	}
	if k.RequestSeq <= e.LastAck {
		return StaleTokenError{k.Holder, k.Quota, k.Token, Token{b.epoch, e.LastAck}}
	}
	dropped, goesBy := false, Amount(0)
	keep := make([]Lease, 0, len(e.Leases))
	for _, g := range e.Leases {
		order := g.Token.Compare(k.Token)
		drop := order < 0 || ended && order == 0 || all
		if b.mutations.AckDropsNewest {
			drop = true
		}
		if drop {
			dropped = true
			continue
		}
		if order == 0 && g.MaxHoldTime == e.MaxHoldTime { // else work of a longer life may be among what is in hand
			goesBy = g.Amount
		}
		keep = append(keep, g)
	}
	held := min(k.InFlight.roundUp(), e.maxUsage(b.mutations).amount) // more than is counted cannot be in hand, whatever is said
	if !dropped && held >= e.Residual {
		return nil // nothing that is counted may go
	}
	b.updateEntry(l, e, func() {
		e.LastAck = k.RequestSeq
		e.Leases = keep
		e.Residual, e.ResidualToken = 0, Token{}
		if held > goesBy && e.MaxHoldTime > 0 && !b.mutations.ForgetInFlightAtLeaseEnd {
			e.Residual, e.ResidualToken = held, b.nextToken()
			a.Started = append(a.Started, Expiry{k.HolderID, k.Quota, e.ResidualToken, e.MaxHoldTime})
		}
	})
	return nil
}

// roundUp is the amount in whole units, rounded up.
func (a Amount) roundUp() Amount { return (a + Unit - 1).wholeUnits() }

func (b *StateMachine) observeConfig(k *ObserveConfig) error {
	b.seenVersion = max(b.seenVersion, k.SeenVersion)
	if k.FloorsVersion == 0 {
		return nil
	}
	for _, l := range b.ledgers {
		at := l.floors[k.Holder]
		first := 0
		for i, f := range at {
			if f.ConfigVersion <= k.FloorsVersion {
				first = i
			}
		}
		if first == 0 && (len(at) != 1 || at[0].Amount > 0 || at[0].ConfigVersion > k.FloorsVersion) {
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

// ReplyTo is all that is one process's by this book.
func (b *StateMachine) ReplyTo(k HolderID) Reply {
	r := Reply{FleetID: b.fleetID, Epoch: b.epoch, HolderID: k, ConfigVersion: b.configVersion}
	for _, name := range b.quotaNames(&b.config) {
		if g := b.entryOf(name, k).newestLease(); g != nil {
			r.Leases = append(r.Leases, *g)
		}
		now := b.config.Quota(name)
		if now == nil {
			continue
		}
		if amount, burst := now.floorOf(k.Holder); amount > 0 {
			if r.Floors == nil {
				r.Floors = map[string]Floor{}
			}
			r.Floors[name] = Floor{now.Kind, amount, burst, now.MaxHoldTime}
		}
	}
	return r
}

// PendingExpiries is all that is counted until it is over, as a steward that starts with this book must count it anew.
func (b *StateMachine) PendingExpiries() []Expiry {
	var out []Expiry
	if b.bootstrapToken != (Token{}) {
		out = append(out, Expiry{Token: b.bootstrapToken, Duration: b.maxLifetime})
	}
	for _, name := range slices.Sorted(maps.Keys(b.ledgers)) {
		for _, e := range b.ledgers[name].sortedEntries() {
			for _, g := range e.Leases {
				length := g.Duration + g.MaxHoldTime
				if b.mutations.ForgetInFlightAtLeaseEnd {
					length = g.Duration
				}
				out = append(out, Expiry{e.HolderID, name, g.Token, length})
			}
			if e.Residual > 0 {
				out = append(out, Expiry{e.HolderID, name, e.ResidualToken, e.MaxHoldTime})
			}
		}
	}
	return out
}

// isPending tells whether an item is still counted.
func (b *StateMachine) isPending(i Expiry) bool {
	if i.Quota == "" {
		return b.bootstrapToken == i.Token && b.bootstrapToken != Token{}
	}
	e := b.entryOf(i.Quota, i.HolderID)
	if e == nil {
		return false
	}
	return e.Residual > 0 && e.ResidualToken == i.Token || slices.ContainsFunc(e.Leases, func(g Lease) bool { return g.Token == i.Token })
}

func (l *quotaLedger) sortedEntries() []*holderEntry {
	return slices.SortedFunc(maps.Values(l.entries), func(x, y *holderEntry) int { return x.HolderID.Compare(y.HolderID) })
}

// snapshot is the book in a snapshot.
type snapshot struct {
	FleetID        string                    `json:"Fleet"`
	Epoch          uint64                    `json:"Epoch"`
	MaxDrift       float64                   `json:"Drift"`
	MaxLifetime    time.Duration             `json:"Longest"`
	BootstrapToken Token                     `json:"Past"`
	AppliedIndex   uint64                    `json:"Index"`
	TokenOffset    uint64                    `json:"Lift"`
	ConfigVersion  uint64                    `json:"Version"`
	SeenVersion    uint64                    `json:"Seen"`
	Config         FleetConfig               `json:"Config"`
	Ledgers        map[string]ledgerSnapshot `json:"Ledgers"`
}

type ledgerSnapshot struct {
	Entries []*holderEntry              `json:"Entries"`
	Floors  map[string][]versionedFloor `json:"Floors"`
}

// Snapshot is the book in JSON; equal books give equal bytes.
func (b *StateMachine) Snapshot() ([]byte, error) {
	k := snapshot{b.fleetID, b.epoch, b.maxDrift, b.maxLifetime, b.bootstrapToken, b.appliedIndex, b.tokenOffset, b.configVersion, b.seenVersion, b.config, map[string]ledgerSnapshot{}}
	for name, l := range b.ledgers {
		k.Ledgers[name] = ledgerSnapshot{l.sortedEntries(), l.floors}
	}
	data, err := json.Marshal(k)
	if err != nil {
		return nil, fmt.Errorf("grant: snapshot: %w", err)
	}
	return data, nil
}

// Restore sets the book to a snapshot; what cannot be read changes nothing. The Keeper must be told (Keeper.Restart).
func (b *StateMachine) Restore(data []byte) error {
	var k snapshot
	if err := json.Unmarshal(data, &k); err != nil {
		return fmt.Errorf("grant: restore: %w", err)
	}
	if k.Epoch > 0 && k.ConfigVersion > 0 {
		if err := k.Config.Check(); err != nil {
			return fmt.Errorf("grant: restore: %w", err)
		}
	}
	n := &StateMachine{k.FleetID, k.Epoch, k.MaxDrift, k.MaxLifetime, k.BootstrapToken, k.AppliedIndex, k.TokenOffset, k.ConfigVersion, k.SeenVersion, k.Config, map[string]*quotaLedger{}, b.mutations}
	for name, kl := range k.Ledgers {
		l := newQuotaLedger()
		for _, e := range kl.Entries {
			l.entries[e.HolderID] = e
			l.total.add(e.maxUsage(b.mutations))
			l.current.add(e.usageSince(k.ConfigVersion, b.mutations))
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
func (b *StateMachine) Clone() *StateMachine {
	c := *b
	c.ledgers = make(map[string]*quotaLedger, len(b.ledgers))
	for name, l := range b.ledgers {
		n := *l
		n.entries = make(map[HolderID]*holderEntry, len(l.entries))
		for k, e := range l.entries {
			ne := *e
			ne.Leases = slices.Clone(e.Leases)
			n.entries[k] = &ne
		}
		n.floors = maps.Clone(l.floors) // lists of floors are never changed in place
		c.ledgers[name] = &n
	}
	return &c
}
