package membudget

import (
	"sync"
	"testing"
)

// Large accounts leave a quarter of the budget to small ones, and what is given back can be taken again.
func TestLargeAccountsLeaveRoomForSmallOnes(t *testing.T) {
	const limit = 16 * SmallBytes
	b := New(limit)
	large := b.Open()
	for i := range 12 {
		if !large.Take(SmallBytes) {
			t.Fatalf("Take of part %d of 12, three quarters of the budget, = false", i)
		}
	}
	if large.Take(1) || b.Open().Take(SmallBytes+1) {
		t.Error("Take for a large account beyond three quarters of the budget = true")
	}
	small := make([]*Account, 4)
	for i := range small {
		if small[i] = b.Open(); !small[i].Take(SmallBytes) {
			t.Errorf("Take of the small account %d of 4 = false", i)
		}
	}
	if b.Open().Take(1) || b.Used() != limit {
		t.Errorf("Take beyond the limit = true, or Used() = %d, want %d", b.Used(), limit)
	}
	large.Reset()
	if !large.Take(SmallBytes) {
		t.Error("Take after Reset = false")
	}
	b.SetLimit(SmallBytes)
	if b.Open().Take(1) {
		t.Error("Take beyond a limit that was lowered = true")
	}
}

// What is useful but not needed gets only a half of the budget, whoever uses that.
func TestTakeSpareLeavesHalf(t *testing.T) {
	b := New(8 * SmallBytes)
	first, second := b.Open(), b.Open()
	if !first.Take(3*SmallBytes) || !second.TakeSpare(SmallBytes) {
		t.Fatal("Take or TakeSpare within half of the budget = false")
	}
	if second.TakeSpare(1) {
		t.Error("TakeSpare beyond half of the budget = true")
	}
	if !second.Take(SmallBytes) {
		t.Error("Take beyond half of the budget = false")
	}
	first.Close()
	second.Close()
	if b.Used() != 0 || first.TakeSpare(1) {
		t.Errorf("Used() = %d after the accounts were closed, or TakeSpare() = true; want 0, false", b.Used())
	}
}

// A closed account holds nothing, however its calls interleave; a nil account and one without a budget are not limited.
func TestClosedAccountsHoldNothing(t *testing.T) {
	b := New(1 << 30)
	var all sync.WaitGroup
	for range 100 {
		a := b.Open()
		all.Go(func() {
			for a.Take(7) {
			}
		})
		all.Go(func() { a.Reset(); a.Close() })
	}
	all.Wait()
	if b.Used() != 0 {
		t.Errorf("Used() = %d after all accounts were closed, want 0", b.Used())
	}
	var none *Account
	none.Reset()
	none.Close()
	if !none.Take(1) || !(*Budget)(nil).Open().Take(1) {
		t.Error("Take without an account or a budget = false")
	}
}
