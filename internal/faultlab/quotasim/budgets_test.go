package quotasim

import (
	"testing"
	"time"
)

func small(policy string) Settings {
	return Settings{Policy: policy, Holders: 10, Budgets: 3, Played: 2, Seed: 1, Length: 40 * time.Second, Lease: 3 * time.Second, Rate: 20, Falls: 1. / 3, Load: 2, Cut: 15 * time.Second}
}

// The judge convicts who spends more than the whole, and acquits who doesn't.
func TestRivalsAreJudged(t *testing.T) {
	for policy, guilty := range map[string]bool{Grants: false, Fixed: false, FixedOver: true, AfterLease: true} {
		for seed := range uint64(4) {
			set := small(policy)
			set.Seed = seed
			res, err := Play(set)
			if err != nil {
				t.Fatal(err)
			}
			if v := res.Spending; (v.OverWhole > 0) != guilty || v.Budgets[0].Took == 0 {
				t.Errorf("%s, seed %d: %+v", policy, seed, v)
			}
		}
	}
}

func TestTheSameSeedGivesTheSameRun(t *testing.T) {
	a, err := Play(small(Grants))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Play(small(Grants))
	if err != nil {
		t.Fatal(err)
	}
	if a.Rates != b.Rates || a.Used != b.Used || a.Calls == 0 || a.LogBytes == 0 {
		t.Errorf("%+v\n%+v", a, b)
	}
}

// A join and a death are made good, and demand that moves is followed by grants more than by fixed shares.
func TestWhatMustComeAtLast(t *testing.T) {
	set := small(Grants)
	set.Cut, set.Join, set.Death, set.Length = 0, 10*time.Second, 25*time.Second, 60*time.Second
	res, err := Play(set)
	if err != nil {
		t.Fatal(err)
	}
	if res.Joined == Never || res.Healed == Never || res.Spending.OverWhole > 0 {
		t.Errorf("joined after %v, whole after %v, %d beyond", res.Joined, res.Healed, res.Spending.OverWhole)
	}
	used := map[string]float64{}
	for _, policy := range []string{Grants, Fixed} {
		set := small(policy)
		set.Cut, set.Load, set.Moves, set.Lease = 0, .9, 5*time.Second, time.Second
		res, err := Play(set)
		if err != nil {
			t.Fatal(err)
		}
		used[policy] = res.Used
	}
	if used[Grants] <= used[Fixed] {
		t.Errorf("%v", used)
	}
	t.Log(used, res.Joined, res.Healed)
}

func TestSettingsAreChecked(t *testing.T) {
	for _, change := range []func(s *Settings){func(s *Settings) { s.Holders = 0 }, func(s *Settings) { s.Played = 4 }, func(s *Settings) { s.Lease = 0 }} {
		set := small(Grants)
		change(&set)
		if _, err := Play(set); err == nil {
			t.Errorf("%+v makes a run", set)
		}
	}
}
