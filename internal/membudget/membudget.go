// Package membudget limits the memory that a process holds for its peers. All that is held counts where it is taken, so
// that many peers that each hold a little can't exceed the limit together.
package membudget

import (
	"sync"
	"sync/atomic"
)

const (
	// SmallBytes is the most that an account may hold to count as a small one. Small accounts may use the whole budget.
	SmallBytes = 32 << 10
	// largeShareNumerator and largeShareDenominator are the part of the budget that larger accounts may use: the rest is
	// kept for small ones, so that peers with much to hold do not keep out those with little.
	largeShareNumerator, largeShareDenominator = 3, 4
	// spareDivisor gives the part of the budget that may be used for what is useful but not needed.
	spareDivisor = 2
)

// Budget is a limit on the bytes that all its accounts hold together. It is safe for concurrent use.
type Budget struct {
	limit atomic.Int64
	used  atomic.Int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the limit in bytes. Accounts keep what they hold, also beyond a lower limit.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Used returns the number of bytes that all accounts hold.
func (b *Budget) Used() int64 { return b.used.Load() }

// take adds n bytes to those of an account that holds held bytes, and reports whether the budget allows it.
func (b *Budget) take(held, n int64) bool {
	limit := b.limit.Load()
	if held+n > SmallBytes {
		limit = limit / largeShareDenominator * largeShareNumerator
	}
	return b.takeUpTo(limit, n)
}

// takeUpTo adds n bytes if no more than limit are used then, and reports whether it did.
func (b *Budget) takeUpTo(limit, n int64) bool {
	if b.used.Add(n) > limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Open returns an account that holds nothing yet. b may be nil: the account is then not limited.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// Account is what one request or one connection holds of a Budget. It is safe for concurrent use. A nil account is not
// limited and counts nothing.
type Account struct {
	budget *Budget

	mu     sync.Mutex
	held   int64
	closed bool
}

// Take reports whether n more bytes may be held, and counts them if so. It returns false after Close.
func (a *Account) Take(n int64) bool {
	return a.count(n, func() bool { return a.budget.take(a.held, n) })
}

// TakeSpare is Take for what is useful but not needed: it keeps half of the budget free for what is.
func (a *Account) TakeSpare(n int64) bool {
	return a.count(n, func() bool { return a.budget.takeUpTo(a.budget.limit.Load()/spareDivisor, n) })
}

// count adds n bytes to the account if it is open and take allows it.
func (a *Account) count(n int64, take func() bool) bool {
	if a == nil || a.budget == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || !take() {
		return false
	}
	a.held += n
	return true
}

// Reset gives back all that the account holds. It can be used again.
func (a *Account) Reset() { a.giveBack(false) }

// Close gives back all that the account holds, and forbids it to take more.
func (a *Account) Close() { a.giveBack(true) }

func (a *Account) giveBack(closes bool) {
	if a == nil || a.budget == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = a.closed || closes
	a.budget.used.Add(-a.held)
	a.held = 0
}
