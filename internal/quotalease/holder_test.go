package quotalease

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"
)

// site is one steward and some holders without any fault between them.
type site struct {
	*log
	keeper  *Keeper
	holders []*Holder
	now     time.Duration
}

func newSite(t testing.TB, names string, change func(*Fleet)) *site {
	s := &site{log: newLog(t, change)}
	s.keeper = NewKeeper(0, 0, s.Book)
	for _, n := range names {
		s.join(string(n), 1)
	}
	return s
}

func (s *site) join(name string, incarnation uint64) *Holder {
	h := NewHolder(HolderSettings{Fleet: "f", Key: Key{name, incarnation}, Drift: .01})
	s.holders = append(s.holders, h)
	return h
}

// plan commits and applies all that the keeper plans.
func (s *site) plan() {
	for range 3 {
		if c := s.keeper.Plan(s.now); len(c) > 0 {
			a, err := s.try(Command{Batch: c})
			if err != nil {
				s.Fatal(err)
			}
			s.keeper.Note(s.now, a)
		}
	}
}

func (s *site) ask(h *Holder) {
	s.Helper()
	if err := s.keeper.Heard(s.now, h.Ask(s.now)); err != nil {
		s.Fatal(err)
	}
	s.plan()
	if err := h.Take(s.now, s.now, s.Tell(h.set.Key)); err != nil {
		s.Fatal(err)
	}
}

func (s *site) round(rounds int) {
	for range rounds {
		for _, h := range s.holders {
			s.ask(h)
		}
		s.now += 300 * time.Millisecond
	}
}

func (s *site) has(h *Holder, budget string, want float64) {
	s.Helper()
	if got := h.Has(s.now, budget).Amount.Units(); math.Abs(got-want) > .01 {
		s.Errorf("%s has %v of %s, not %v", h.set.Holder, got, budget, want)
	}
}

func TestSharesMoveWithinALease(t *testing.T) {
	s := newSite(t, "ab", nil)
	a, b := s.holders[0], s.holders[1]
	a.Want("r", 20)
	s.round(3)
	s.has(a, "r", 10) // what is idle is lent
	if end, some := s.keeper.NextEnd(); a.Every() != time.Second/3 || !some || end <= s.now-time.Second {
		t.Errorf("asks each %v, next end %v", a.Every(), end)
	}
	b.Want("r", 20)
	s.round(5)
	s.has(a, "r", 5) // a join takes from renewals
	s.has(b, "r", 5)
	a.Leave()
	s.holders = s.holders[1:]
	s.keeper.Heard(s.now, a.Ask(s.now))
	s.plan()
	s.round(2)
	s.has(b, "r", 10) // a leave gives back at once
	c := s.join("c", 1)
	c.Want("r", 4)
	s.round(4)
	s.has(b, "r", 6)
	s.holders = []*Holder{b} // c dies
	s.round(7)
	s.has(b, "r", 10)
}

func TestLowerWholeAndFloors(t *testing.T) {
	s := newSite(t, "ab", nil)
	a, b := s.holders[0], s.holders[1]
	a.Want("r", 20)
	b.Want("r", 20)
	s.round(4)
	s.do(Command{SetBudgets: &SetBudgets{Version: 2, Fleet: testFleet(func(f *Fleet) { f.Budgets[0].Whole, f.Budgets[0].Burst = 6, 6 })}})
	s.round(5)
	s.counts("r", 6)
	s.do(Command{SetBudgets: &SetBudgets{Version: 3, Fleet: testFleet(func(f *Fleet) { f.Budgets[0].Floors = map[string]float64{"a": 4} })}})
	a.Claim(s.now, true)
	s.round(4)
	if has := a.Has(s.now, "r"); has.Floor != 4*Unit || has.Amount > 6*Unit {
		t.Errorf("a has %+v", has)
	}
	s.now += time.Minute // cut off from all
	if token, err := a.Allow(s.now, "r", 1); err != nil || token != (Token{}) {
		t.Errorf("cut off, on its floor: %v %v", token, err)
	}
	if _, err := b.Allow(s.now, "r", 1); !errors.As(err, new(GrantEnded)) {
		t.Errorf("cut off, without a floor: %v", err)
	}
	a.Claim(s.now, false) // an upgrade took the name
	if _, err := a.Allow(s.now, "r", 1); !errors.As(err, new(GrantEnded)) {
		t.Errorf("without the claim: %v", err)
	}
}

func TestHolderTakesNothingThatItMustNot(t *testing.T) {
	s := newSite(t, "ab", nil)
	a := s.holders[0]
	a.Want("r", 4)
	s.round(1)
	old := s.Tell(Key{"a", 1})
	a.Want("r", 8)
	s.round(1)
	for _, tt := range []struct {
		name  string
		spoil func(*Reply)
		want  any
	}{
		{"another fleet", func(r *Reply) { r.Fleet = "g" }, new(OtherFleet)},
		{"another fleet within", func(r *Reply) { r.Grants[0].Fleet = "g" }, new(OtherFleet)},
		{"another process", func(r *Reply) { r.Key = Key{"a", 2} }, new(OtherHolder)},
		{"an older epoch", func(r *Reply) { r.Epoch = 0 }, new(OldEpoch)},
		{"an older token", func(r *Reply) { r.Grants = old.Grants }, new(OldToken)},
		{"an ask that it never sent", func(r *Reply) { r.Grants[0].Token.Index, r.Grants[0].Ask = 1e6, 1e6 }, new(GrantEnded)},
		{"after its lease", func(r *Reply) {
			r.Grants[0].Token.Index, r.Grants[0].Ask, r.Grants[0].Lease = 1e6, 1, time.Second/2
		}, new(GrantEnded)},
	} {
		r := s.Tell(Key{"a", 1})
		tt.spoil(&r)
		before := a.Has(s.now, "r")
		if err := a.Take(s.now, s.now, r); err == nil || !errors.As(err, tt.want) {
			t.Errorf("%s: %v", tt.name, err)
		}
		if after := a.Has(s.now, "r"); after != before {
			t.Errorf("%s: has %+v after it, %+v before", tt.name, after, before)
		}
	}
	if err := a.Take(s.now, s.now, s.Tell(Key{"a", 1})); err != nil {
		t.Errorf("told again: %v", err)
	}
}

// What a holder spends in any time is at most its rate in that time and one burst, and a share that arrives brings nothing.
func TestBucketArrivesEmpty(t *testing.T) {
	s := newSite(t, "a", nil)
	a := s.holders[0]
	a.Want("r", 10)
	s.ask(a)
	if _, err := a.Allow(s.now, "r", 1); !errors.As(err, new(Spent)) {
		t.Fatalf("spent at once: %v", err)
	}
	spent := 0
	for range 100 {
		s.now += 10 * time.Millisecond
		if int(s.now/(10*time.Millisecond))%30 == 0 {
			s.ask(a)
		}
		if _, err := a.Allow(s.now, "r", 1); err == nil {
			spent++
		}
	}
	if spent < 8 || spent > 10 {
		t.Errorf("%d spent in a second of a rate of 10", spent)
	}
}

func TestWorkInHand(t *testing.T) {
	s := newSite(t, "ab", nil)
	a, b := s.holders[0], s.holders[1]
	a.Want("h", 10)
	s.round(1)
	var tokens []Token
	for range 10 {
		token, err := a.Allow(s.now, "h", 1)
		if err != nil {
			t.Fatal(err)
		}
		tokens = append(tokens, token)
	}
	if _, err := a.Allow(s.now, "h", 1); !errors.As(err, new(Spent)) {
		t.Errorf("an eleventh: %v", err)
	}
	b.Want("h", 10)
	s.round(3)
	s.has(a, "h", 5)
	s.has(b, "h", 0) // a still has ten in hand
	s.counts("h", 10)
	for _, token := range tokens[:7] {
		a.Done("h", token, 1)
	}
	s.round(2)
	s.has(b, "h", 5)
	if err := a.Done("h", tokens[0], 4); !errors.As(err, new(BadCommand)) {
		t.Errorf("more given back than was taken: %v", err)
	}
	if _, err := a.Send(s.now+time.Minute, "h", tokens[0]); !errors.As(err, new(GrantEnded)) || a.Stopped() != 1 {
		t.Errorf("sent after the lease: %v", err)
	}
}

// A steward that starts is silent; one that takes over counts everything from its own time.
func TestKeeperIsSilentAndCountsAnew(t *testing.T) {
	s := newSite(t, "ab", nil)
	a, b := s.holders[0], s.holders[1]
	a.Want("r", 10)
	b.Want("r", 10)
	s.ask(a)
	silence := Silence(10*time.Second, .01)
	s.keeper = NewKeeper(s.now, silence, s.Book)
	s.keeper.Heard(s.now, b.Ask(s.now))
	if c := s.keeper.Plan(s.now + silence - 1); c != nil || !s.keeper.Quiet(s.now+silence-1) {
		t.Errorf("planned in its silence: %v", c)
	}
	s.now += time.Second / 2 // within the lease by the holder's clock
	s.keeper = NewKeeper(s.now, 0, s.Book)
	s.now += stretch(time.Second, .01) - 1
	s.plan()
	s.counts("r", 10)
	s.now++
	s.plan()
	s.counts("r", 0)
}

func TestDemandIsMeasured(t *testing.T) {
	s := newSite(t, "a", nil)
	a := s.holders[0]
	a.Ask(0)
	for i := range 30 {
		a.Allow(time.Duration(i)*10*time.Millisecond, "r", 1) // unknown yet
	}
	a.Want("r", 1)
	s.ask(a)
	a.draws["r"].set = false
	for i := range 60 {
		s.now += 10 * time.Millisecond
		a.Allow(s.now, "r", int64(i%2))
	}
	if got := a.Ask(s.now).Wants[0].Units.Units(); got < 50 || got > 75 {
		t.Errorf("50 a second were tried, %v are asked for", got)
	}
	for range 30 {
		s.now += time.Second
		a.Ask(s.now)
	}
	if got := a.Ask(s.now).Wants[0].Units; got != 0 {
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
		if (err == nil) != tt.passes || err != nil && !errors.As(err, new(OldToken)) {
			t.Errorf("%d: %+v: %v", i, tt, err)
		}
	}
}

func BenchmarkAllow(b *testing.B) {
	for _, budget := range []string{"r", "h"} {
		b.Run(budget, func(b *testing.B) {
			s := newSite(b, "a", nil)
			s.longest = 2 * time.Hour
			a := s.holders[0]
			a.Want(budget, 1e8)
			s.do(Command{SetBudgets: &SetBudgets{Version: 2, Fleet: testFleet(func(f *Fleet) {
				f.Budgets[0].Whole, f.Budgets[0].Burst = 1e8, 1e8
				f.Budgets[0].Lease, f.Budgets[1].Lease, f.Longest = time.Hour, time.Hour, 2*time.Hour
			})}})
			s.ask(a)
			b.ReportAllocs()
			now := s.now
			for b.Loop() {
				now += 30
				if token, err := a.Allow(now, budget, 1); err == nil {
					a.Done(budget, token, 1)
				}
			}
		})
	}
}

func BenchmarkDivide(b *testing.B) {
	budget := rateBudget()
	var demands []Demand
	for i := range 1000 {
		demands = append(demands, Demand{Key{fmt.Sprintf("proxy-%04d", i), 1}, Of(float64(i%7) / 10), Of(float64(i%5) / 10)})
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
			f := Fleet{ID: "f", Drift: .01, Longest: 10 * time.Second}
			for i := range 50 {
				f.Budgets = append(f.Budgets, Budget{Name: fmt.Sprintf("budget-%02d", i), Kind: Rate, Whole: 10000, Burst: 2000, Lease: 3 * time.Second})
			}
			s := newSite(b, "", nil)
			s.do(Command{SetBudgets: &SetBudgets{Version: 2, Fleet: f}})
			for i := range n {
				h := s.join(fmt.Sprintf("proxy-%04d", i), 1)
				for j := range f.Budgets {
					h.Want(f.Budgets[j].Name, float64((i*7+j)%40))
				}
			}
			asks, logged := 0, 0
			for b.Loop() {
				for _, h := range s.holders {
					asks++
					r := h.Ask(s.now)
					s.keeper.Heard(s.now, r)
				}
				for range 2 {
					c := s.keeper.Plan(s.now)
					if len(c) == 0 {
						break
					}
					data, _ := json.Marshal(c)
					logged += len(data)
					a, err := s.try(Command{Batch: c})
					if err != nil {
						b.Fatal(err)
					}
					s.keeper.Note(s.now, a)
				}
				for _, h := range s.holders {
					if err := h.Take(s.now, s.now, s.Tell(h.set.Key)); err != nil {
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
