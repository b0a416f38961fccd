package quotalease

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"
)

// testCluster is one steward and some holders without any fault between them.
type testCluster struct {
	*testLog
	allocator *Allocator
	holders   []*Holder
	now       time.Duration
}

func newTestCluster(t testing.TB, names string, change func(*FleetConfig)) *testCluster {
	s := &testCluster{testLog: newTestLog(t, change)}
	s.allocator = NewAllocator(0, 0, s.StateMachine)
	for _, n := range names {
		s.join(string(n), 1)
	}
	return s
}

func (s *testCluster) join(name string, incarnation uint64) *Holder {
	h := NewHolder(HolderSettings{FleetID: "f", HolderID: HolderID{name, incarnation}, MaxDrift: .01})
	s.holders = append(s.holders, h)
	return h
}

// applyPlan commits and applies all that the keeper plans.
func (s *testCluster) applyPlan() {
	for range 3 {
		if c := s.allocator.Plan(s.now); len(c) > 0 {
			a, err := s.apply(Command{Batch: c})
			if err != nil {
				s.Fatal(err)
			}
			s.allocator.ObserveApplied(s.now, a)
		}
	}
}

func (s *testCluster) exchange(h *Holder) {
	s.Helper()
	if err := s.allocator.HandleRequest(s.now, h.NextRequest(s.now)); err != nil {
		s.Fatal(err)
	}
	s.applyPlan()
	if err := h.HandleReply(s.now, s.now, s.ReplyTo(h.settings.HolderID)); err != nil {
		s.Fatal(err)
	}
}

func (s *testCluster) exchangeRounds(rounds int) {
	for range rounds {
		for _, h := range s.holders {
			s.exchange(h)
		}
		s.now += 300 * time.Millisecond
	}
}

func (s *testCluster) wantLeased(h *Holder, budget string, want float64) {
	s.Helper()
	if got := h.Status(s.now, budget).Amount.Units(); math.Abs(got-want) > .01 {
		s.Errorf("%s has %v of %s, not %v", h.settings.Holder, got, budget, want)
	}
}

func TestSharesMoveWithinALease(t *testing.T) {
	s := newTestCluster(t, "ab", nil)
	a, b := s.holders[0], s.holders[1]
	a.SetDemand("r", 20)
	s.exchangeRounds(3)
	s.wantLeased(a, "r", 10) // what is idle is lent
	if end, some := s.allocator.NextExpiry(); a.RequestInterval() != time.Second/3 || !some || end <= s.now-time.Second {
		t.Errorf("asks each %v, next end %v", a.RequestInterval(), end)
	}
	b.SetDemand("r", 20)
	s.exchangeRounds(5)
	s.wantLeased(a, "r", 5) // a join takes from renewals
	s.wantLeased(b, "r", 5)
	a.ReleaseAll()
	s.holders = s.holders[1:]
	s.allocator.HandleRequest(s.now, a.NextRequest(s.now))
	s.applyPlan()
	s.exchangeRounds(2)
	s.wantLeased(b, "r", 10) // a leave gives back at once
	c := s.join("c", 1)
	c.SetDemand("r", 4)
	s.exchangeRounds(4)
	s.wantLeased(b, "r", 6)
	s.holders = []*Holder{b} // c dies
	s.exchangeRounds(7)
	s.wantLeased(b, "r", 10)
}

func TestLowerWholeAndFloors(t *testing.T) {
	s := newTestCluster(t, "ab", nil)
	a, b := s.holders[0], s.holders[1]
	a.SetDemand("r", 20)
	b.SetDemand("r", 20)
	s.exchangeRounds(4)
	s.mustApply(Command{SetQuotas: &SetQuotas{Version: 2, Config: testConfig(func(f *FleetConfig) { f.Quotas[0].Limit, f.Quotas[0].Burst = 6, 6 })}})
	s.exchangeRounds(5)
	s.wantOutstanding("r", 6)
	s.mustApply(Command{SetQuotas: &SetQuotas{Version: 3, Config: testConfig(func(f *FleetConfig) { f.Quotas[0].Floors = map[string]float64{"a": 4} })}})
	a.SetFloorClaim(s.now, true)
	s.exchangeRounds(4)
	if has := a.Status(s.now, "r"); has.Floor != 4*Unit || has.Amount > 6*Unit {
		t.Errorf("a has %+v", has)
	}
	s.now += time.Minute // cut off from all
	if token, err := a.Acquire(s.now, "r", 1); err != nil || token != (Token{}) {
		t.Errorf("cut off, on its floor: %v %v", token, err)
	}
	if _, err := b.Acquire(s.now, "r", 1); !errors.As(err, new(LeaseExpiredError)) {
		t.Errorf("cut off, without a floor: %v", err)
	}
	a.SetFloorClaim(s.now, false) // an upgrade took the name
	if _, err := a.Acquire(s.now, "r", 1); !errors.As(err, new(LeaseExpiredError)) {
		t.Errorf("without the claim: %v", err)
	}
}

func TestHolderTakesNothingThatItMustNot(t *testing.T) {
	s := newTestCluster(t, "ab", nil)
	a := s.holders[0]
	a.SetDemand("r", 4)
	s.exchangeRounds(1)
	old := s.ReplyTo(HolderID{"a", 1})
	a.SetDemand("r", 8)
	s.exchangeRounds(1)
	for _, tt := range []struct {
		name  string
		spoil func(*Reply)
		want  any
	}{
		{"another fleet", func(r *Reply) { r.FleetID = "g" }, new(FleetMismatchError)},
		{"another fleet within", func(r *Reply) { r.Leases[0].FleetID = "g" }, new(FleetMismatchError)},
		{"another process", func(r *Reply) { r.HolderID = HolderID{"a", 2} }, new(HolderMismatchError)},
		{"an older epoch", func(r *Reply) { r.Epoch = 0 }, new(StaleEpochError)},
		{"an older token", func(r *Reply) { r.Leases = old.Leases }, new(StaleTokenError)},
		{"an ask that it never sent", func(r *Reply) { r.Leases[0].Token.Index, r.Leases[0].RequestSeq = 1e6, 1e6 }, new(LeaseExpiredError)},
		{"after its lease", func(r *Reply) {
			r.Leases[0].Token.Index, r.Leases[0].RequestSeq, r.Leases[0].Duration = 1e6, 1, time.Second/2
		}, new(LeaseExpiredError)},
	} {
		r := s.ReplyTo(HolderID{"a", 1})
		tt.spoil(&r)
		before := a.Status(s.now, "r")
		if err := a.HandleReply(s.now, s.now, r); err == nil || !errors.As(err, tt.want) {
			t.Errorf("%s: %v", tt.name, err)
		}
		if after := a.Status(s.now, "r"); after != before {
			t.Errorf("%s: has %+v after it, %+v before", tt.name, after, before)
		}
	}
	if err := a.HandleReply(s.now, s.now, s.ReplyTo(HolderID{"a", 1})); err != nil {
		t.Errorf("told again: %v", err)
	}
}

// What a holder spends in any time is at most its rate in that time and one burst, and a share that arrives brings nothing.
func TestBucketArrivesEmpty(t *testing.T) {
	s := newTestCluster(t, "a", nil)
	a := s.holders[0]
	a.SetDemand("r", 10)
	s.exchange(a)
	if _, err := a.Acquire(s.now, "r", 1); !errors.As(err, new(ExhaustedError)) {
		t.Fatalf("spent at once: %v", err)
	}
	spent := 0
	for range 100 {
		s.now += 10 * time.Millisecond
		if int(s.now/(10*time.Millisecond))%30 == 0 {
			s.exchange(a)
		}
		if _, err := a.Acquire(s.now, "r", 1); err == nil {
			spent++
		}
	}
	if spent < 8 || spent > 10 {
		t.Errorf("%d spent in a second of a rate of 10", spent)
	}
}

func TestWorkInHand(t *testing.T) {
	s := newTestCluster(t, "ab", nil)
	a, b := s.holders[0], s.holders[1]
	a.SetDemand("h", 10)
	s.exchangeRounds(1)
	var tokens []Token
	for range 10 {
		token, err := a.Acquire(s.now, "h", 1)
		if err != nil {
			t.Fatal(err)
		}
		tokens = append(tokens, token)
	}
	if _, err := a.Acquire(s.now, "h", 1); !errors.As(err, new(ExhaustedError)) {
		t.Errorf("an eleventh: %v", err)
	}
	b.SetDemand("h", 10)
	s.exchangeRounds(3)
	s.wantLeased(a, "h", 5)
	s.wantLeased(b, "h", 0) // a still has ten in hand
	s.wantOutstanding("h", 10)
	for _, token := range tokens[:7] {
		a.Release("h", token, 1)
	}
	s.exchangeRounds(2)
	s.wantLeased(b, "h", 5)
	if err := a.Release("h", tokens[0], 4); !errors.As(err, new(InvalidCommandError)) {
		t.Errorf("more given back than was taken: %v", err)
	}
	if _, err := a.Revalidate(s.now+time.Minute, "h", tokens[0]); !errors.As(err, new(LeaseExpiredError)) || a.RevalidationFailures() != 1 {
		t.Errorf("sent after the lease: %v", err)
	}
}

// A steward that starts is silent; one that takes over counts everything from its own time.
func TestKeeperIsSilentAndCountsAnew(t *testing.T) {
	s := newTestCluster(t, "ab", nil)
	a, b := s.holders[0], s.holders[1]
	a.SetDemand("r", 10)
	b.SetDemand("r", 10)
	s.exchange(a)
	silence := StartupSilence(10*time.Second, .01)
	s.allocator = NewAllocator(s.now, silence, s.StateMachine)
	s.allocator.HandleRequest(s.now, b.NextRequest(s.now))
	if c := s.allocator.Plan(s.now + silence - 1); c != nil || !s.allocator.Silent(s.now+silence-1) {
		t.Errorf("planned in its silence: %v", c)
	}
	s.now += time.Second / 2 // within the lease by the holder's clock
	s.allocator = NewAllocator(s.now, 0, s.StateMachine)
	s.now += withDriftMargin(time.Second, .01) - 1
	s.applyPlan()
	s.wantOutstanding("r", 10)
	s.now++
	s.applyPlan()
	s.wantOutstanding("r", 0)
}

func TestDemandIsMeasured(t *testing.T) {
	s := newTestCluster(t, "a", nil)
	a := s.holders[0]
	a.NextRequest(0)
	for i := range 30 {
		a.Acquire(time.Duration(i)*10*time.Millisecond, "r", 1) // unknown yet
	}
	a.SetDemand("r", 1)
	s.exchange(a)
	a.quotas["r"].wantedIsSet = false
	for i := range 60 {
		s.now += 10 * time.Millisecond
		a.Acquire(s.now, "r", int64(i%2))
	}
	if got := a.NextRequest(s.now).Quotas[0].Wanted.Units(); got < 50 || got > 75 {
		t.Errorf("50 a second were tried, %v are asked for", got)
	}
	for range 30 {
		s.now += time.Second
		a.NextRequest(s.now)
	}
	if got := a.NextRequest(s.now).Quotas[0].Wanted; got != 0 {
		t.Errorf("nothing was tried, %v are asked for", got.Units())
	}
}

func TestFence(t *testing.T) {
	f := NewFence(2)
	for i, tt := range []struct {
		holder, budget string
		index          uint64
		passes         bool
	}{
		{"a", "r", 5, true}, {"a", "r", 5, true}, {"a", "r", 4, false}, {"a", "h", 3, true}, {"a", "r", 0, true},
		{"b", "r", 9, true}, // the lowest, 3, is forgotten
		{"a", "h", 3, false}, {"a", "r", 4, false}, {"a", "r", 6, true}, {"c", "r", 2, false}, {"c", "r", 10, true},
		{"a", "r", 6, false}, {"a", "r", 7, true},
	} {
		token := Token{1, tt.index}
		if tt.index == 0 {
			token = Token{}
		}
		err := f.Admit(tt.holder, tt.budget, token)
		if (err == nil) != tt.passes || err != nil && !errors.As(err, new(StaleTokenError)) {
			t.Errorf("%d: %+v: %v", i, tt, err)
		}
	}
}

func BenchmarkAllow(b *testing.B) {
	for _, budget := range []string{"r", "h"} {
		b.Run(budget, func(b *testing.B) {
			s := newTestCluster(b, "a", nil)
			s.maxLifetime = 2 * time.Hour
			a := s.holders[0]
			a.SetDemand(budget, 1e8)
			s.mustApply(Command{SetQuotas: &SetQuotas{Version: 2, Config: testConfig(func(f *FleetConfig) {
				f.Quotas[0].Limit, f.Quotas[0].Burst = 1e8, 1e8
				f.Quotas[0].LeaseDuration, f.Quotas[1].LeaseDuration, f.MaxLifetime = time.Hour, time.Hour, 2*time.Hour
			})}})
			s.exchange(a)
			b.ReportAllocs()
			now := s.now
			for b.Loop() {
				now += 30
				if token, err := a.Acquire(now, budget, 1); err == nil {
					a.Release(budget, token, 1)
				}
			}
		})
	}
}

func BenchmarkDivide(b *testing.B) {
	budget := rateQuota()
	var demands []Demand
	for i := range 1000 {
		demands = append(demands, Demand{HolderID{fmt.Sprintf("proxy-%04d", i), 1}, FromUnits(float64(i%7) / 10), FromUnits(float64(i%5) / 10)})
	}
	for b.Loop() {
		for range 50 {
			Divide(budget, demands)
		}
	}
}

// One round of asks of a whole fleet: heard, planned, and applied by one steward.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{30, 300, 1000} {
		b.Run(fmt.Sprintf("%d holders x 50 budgets", n), func(b *testing.B) {
			f := FleetConfig{FleetID: "f", MaxDrift: .01, MaxLifetime: 10 * time.Second}
			for i := range 50 {
				f.Quotas = append(f.Quotas, Quota{Name: fmt.Sprintf("budget-%02d", i), Kind: Rate, Limit: 10000, Burst: 2000, LeaseDuration: 3 * time.Second})
			}
			s := newTestCluster(b, "", nil)
			s.mustApply(Command{SetQuotas: &SetQuotas{Version: 2, Config: f}})
			for i := range n {
				h := s.join(fmt.Sprintf("proxy-%04d", i), 1)
				for j := range f.Quotas {
					h.SetDemand(f.Quotas[j].Name, float64((i*7+j)%40))
				}
			}
			asks, logged := 0, 0
			for b.Loop() {
				for _, h := range s.holders {
					asks++
					r := h.NextRequest(s.now)
					s.allocator.HandleRequest(s.now, r)
				}
				for range 2 {
					c := s.allocator.Plan(s.now)
					if len(c) == 0 {
						break
					}
					data, _ := json.Marshal(c)
					logged += len(data)
					a, err := s.apply(Command{Batch: c})
					if err != nil {
						b.Fatal(err)
					}
					s.allocator.ObserveApplied(s.now, a)
				}
				for _, h := range s.holders {
					if err := h.HandleReply(s.now, s.now, s.ReplyTo(h.settings.HolderID)); err != nil {
						b.Fatal(err)
					}
				}
				s.now += time.Second
			}
			b.ReportMetric(float64(logged)/float64(asks), "logbytes/ask")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(asks), "us/ask")
		})
	}
}
