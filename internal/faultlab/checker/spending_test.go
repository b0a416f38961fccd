package checker

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A spender sends as fast as a share of the whole allows, after a transit that is drawn. Who stays within the whole is
// acquitted, whatever the transit; who spends more is convicted, by each kind of excess.
func TestSpendingIsJudged(t *testing.T) {
	const whole, burst, transit, length = 100.0, 20.0, 50 * ms, 20 * time.Second
	for name, c := range map[string]struct {
		rate, burst float64
		stands      time.Duration // holds back all for so long, then sends it in one moment
		guilty      bool
	}{
		"the whole":                     {whole, burst, 0, false},
		"half":                          {whole / 2, burst / 2, 0, false},
		"two hundredths more":           {whole * 1.02, burst, 0, true},
		"a fifth more":                  {whole * 1.2, burst, 0, true},
		"the burst of two":              {whole, 2 * burst, 0, true},
		"held back as long as transit":  {whole, burst, transit, false},
		"held back longer than transit": {whole, burst, 500 * ms, true},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			s := NewSpending(transit, []FleetBudget{{Name: "attempts", Wholes: []Whole{{0, whole, burst}}}})
			level, id := c.burst, uint64(0)
			for at := time.Duration(0); at < length; at += ms {
				level = min(c.burst, level+c.rate*ms.Seconds())
				for ; level >= 1; level-- {
					id++
					arrives := at + time.Duration(rng.Int64N(int64(transit)))
					if c.stands > 0 {
						arrives = at - at%c.stands + c.stands
					}
					s.Wanted(at, 0, id)
					s.Took(arrives, 0, id, false)
				}
			}
			v := s.Verdict()
			if guilty := v.OverWhole > 0; guilty != c.guilty {
				t.Errorf("over the whole: %d of %d, most in a second %v of %v", v.OverWhole, v.Budgets[0].Took, v.Budgets[0].Most, v.Budgets[0].May)
			}
			if c.rate <= whole && (v.Used < .99 || v.Used > 1.01) {
				t.Errorf("used %v of what came, and a central counter would have let through as much", v.Used)
			}
		})
	}
}

func TestALowerWholeIsJudgedFromItsTimeOn(t *testing.T) {
	for name, c := range map[string]struct {
		lower  time.Duration // when it holds
		guilty bool
	}{"as it is obeyed": {5 * time.Second, false}, "two seconds before": {3 * time.Second, true}} {
		s := NewSpending(10*ms, []FleetBudget{{Name: "b", Wholes: []Whole{{0, 100, 5}}}})
		s.Change(0, Whole{c.lower, 50, 5})
		for at := time.Duration(0); at < 10*time.Second; at += 10 * ms {
			if at < 5*time.Second || at%(20*ms) == 0 {
				s.Took(at, 0, uint64(at), false)
			}
		}
		if v := s.Verdict(); (v.OverWhole > 0) != c.guilty {
			t.Errorf("%s: %d beyond", name, v.OverWhole)
		}
	}
}

func TestWorkInHandIsJudged(t *testing.T) {
	for name, c := range map[string]struct {
		at     [][2]time.Duration // begin and end
		gaveUp bool
		want   int
	}{
		"one after the other":               {[][2]time.Duration{{0, 10 * ms}, {10 * ms, 20 * ms}, {15 * ms, 30 * ms}}, false, 0},
		"three at once":                     {[][2]time.Duration{{0, 10 * ms}, {1 * ms, 10 * ms}, {2 * ms, 10 * ms}}, false, 1},
		"heard of the end within a transit": {[][2]time.Duration{{0, 30 * ms}, {1 * ms, 30 * ms}, {25 * ms, 40 * ms}}, true, 0},
		"heard of the end later":            {[][2]time.Duration{{0, 40 * ms}, {1 * ms, 40 * ms}, {25 * ms, 40 * ms}}, true, 1},
	} {
		s := NewSpending(10*ms, []FleetBudget{{Name: "hand", InHand: true, Wholes: []Whole{{0, 2, 0}}}})
		for i, x := range c.at {
			s.Ended(x[1], 0, s.Took(x[0], 0, uint64(i), false), c.gaveUp)
		}
		if v := s.Verdict(); v.OverWhole != c.want {
			t.Errorf("%s: %d beyond, want %d", name, v.OverWhole, c.want)
		}
	}
}

// What a part of the demand that is let through comes to is told beside one central counter.
func TestUsedIsOfACentralCounter(t *testing.T) {
	s := NewSpending(0, []FleetBudget{{Name: "b", Wholes: []Whole{{0, 10, 1}}}})
	for at := time.Duration(0); at < 100*time.Second; at += 50 * ms { // twice what may be
		s.Wanted(at, 0, uint64(at))
		if at%(200*ms) == 0 { // half of what may be, each twice
			s.Took(at, 0, uint64(at), false)
			s.Took(at+100*ms, 0, uint64(at), false)
		}
	}
	if v := s.Verdict(); v.Used < .49 || v.Used > .51 || v.OverWhole > 0 {
		t.Errorf("%+v", v)
	}
}
