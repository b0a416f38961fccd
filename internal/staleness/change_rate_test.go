package staleness

import (
	"math"
	"testing"
	"time"
)

func TestChangeRateConvergesFromAnyPrior(t *testing.T) {
	for _, prior := range []Prior{{0.5, time.Second}, {0.5, time.Hour}, DefaultPrior} {
		r := NewChangeRate(prior, 2)
		for i := range 20_000 { // 50 entries, one change each 10 s
			changes := 0
			if i%10 == 0 {
				changes = 1
			}
			r.Observe(time.Second, 50, changes)
		}
		if got := r.LongTerm(); math.Abs(got-.002) > .0005 {
			t.Errorf("prior %+v: LongTerm() = %v changes per second, want .002 (+/- .0005)", prior, got)
		}
		before := r.Current()
		r.Observe(time.Second, 50, 25)
		if r.Current() < 5*before {
			t.Errorf("prior %+v: Current() after a burst of 25 changes = %v, want at least 5 times %v",
				prior, r.Current(), before)
		}
		afterSecond, afterMinute := r.Survival(r.Hazard(time.Second)), r.Survival(r.Hazard(time.Minute))
		if afterMinute >= afterSecond {
			t.Errorf("prior %+v: Survival(hazard of one minute) = %v, want less than %v, that of one second",
				prior, afterMinute, afterSecond)
		}
	}
}
