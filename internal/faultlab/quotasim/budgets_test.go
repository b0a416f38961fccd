package quotasim

import (
	"testing"
	"time"
)

func smallSettings(policy string) Settings {
	return Settings{Policy: policy, Holders: 10, Quotas: 3, DrivenQuotas: 2, Seed: 1, Length: 40 * time.Second, LeaseDuration: 3 * time.Second, UnitsPerHolder: 20, DemandDecay: 1. / 3, Load: 2, PartitionAt: 15 * time.Second}
}

// The judge convicts who spends more than the whole, and acquits who doesn't.
func TestRivalsAreJudged(t *testing.T) {
	for policy, guilty := range map[string]bool{Leases: false, FixedShares: false, FixedSharesOverLimit: true, SpendsExpiredLease: true} {
		for seed := range uint64(4) {
			set := smallSettings(policy)
			set.Seed = seed
			res, err := Run(set)
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
	a, err := Run(smallSettings(Leases))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Run(smallSettings(Leases))
	if err != nil {
		t.Fatal(err)
	}
	if a.Rates != b.Rates || a.Utilization != b.Utilization || a.Calls == 0 || a.LogBytes == 0 {
		t.Errorf("%+v\n%+v", a, b)
	}
}

// A join and a death are made good, and demand that moves is followed by grants more than by fixed shares.
func TestWhatMustComeAtLast(t *testing.T) {
	set := smallSettings(Leases)
	set.PartitionAt, set.JoinAt, set.KillAt, set.Length = 0, 10*time.Second, 25*time.Second, 60*time.Second
	res, err := Run(set)
	if err != nil {
		t.Fatal(err)
	}
	if res.JoinTime == Never || res.RecoveryTime == Never || res.Spending.OverWhole > 0 {
		t.Errorf("joined after %v, whole after %v, %d beyond", res.JoinTime, res.RecoveryTime, res.Spending.OverWhole)
	}
	used := map[string]float64{}
	for _, policy := range []string{Leases, FixedShares} {
		set := smallSettings(policy)
		set.PartitionAt, set.Load, set.DemandShiftInterval, set.LeaseDuration = 0, .9, 5*time.Second, time.Second
		res, err := Run(set)
		if err != nil {
			t.Fatal(err)
		}
		used[policy] = res.Utilization
	}
	if used[Leases] <= used[FixedShares] {
		t.Errorf("%v", used)
	}
	t.Log(used, res.JoinTime, res.RecoveryTime)
}

func TestSettingsAreChecked(t *testing.T) {
	for _, change := range []func(s *Settings){func(s *Settings) { s.Holders = 0 }, func(s *Settings) { s.DrivenQuotas = 4 }, func(s *Settings) { s.LeaseDuration = 0 }} {
		set := smallSettings(Leases)
		change(&set)
		if _, err := Run(set); err == nil {
			t.Errorf("%+v makes a run", set)
		}
	}
}
