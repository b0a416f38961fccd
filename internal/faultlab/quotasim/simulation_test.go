package quotasim

import (
	"testing"
	"time"
)

func smallSettings(policy string) Settings {
	return Settings{
		Policy: policy, Holders: 10, Quotas: 3, DrivenQuotas: 2, Seed: 1, Length: 40 * time.Second,
		LeaseDuration: 3 * time.Second, UnitsPerHolder: 20, DemandDecay: 1. / 3, Load: 2, PartitionAt: 15 * time.Second,
	}
}

func mustRun(t *testing.T, settings Settings) Result {
	t.Helper()
	result, err := Run(settings)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// The checker finds who spends more than the limit, and nobody else.
func TestFaultyPoliciesAreFound(t *testing.T) {
	for policy, faulty := range map[string]bool{
		Leases: false, FixedShares: false, FixedSharesOverLimit: true, SpendsExpiredLease: true,
	} {
		for seed := range uint64(4) {
			settings := smallSettings(policy)
			settings.Seed = seed
			result := mustRun(t, settings)
			if v := result.Spending; (v.OverWhole > 0) != faulty || v.Budgets[0].Took == 0 {
				t.Errorf("%s, seed %d: %+v", policy, seed, v)
			}
		}
	}
}

func TestTheSameSeedGivesTheSameRun(t *testing.T) {
	a := mustRun(t, smallSettings(Leases))
	b := mustRun(t, smallSettings(Leases))
	if a.Rates != b.Rates || a.Utilization != b.Utilization || a.Calls == 0 || a.LogBytes == 0 {
		t.Errorf("%+v\n%+v", a, b)
	}
}

// A join and a death are made good, and leases follow demand that shifts better than fixed shares.
func TestQuotasFollowChanges(t *testing.T) {
	settings := smallSettings(Leases)
	settings.PartitionAt = 0
	settings.JoinAt = 10 * time.Second
	settings.KillAt = 25 * time.Second
	settings.Length = 60 * time.Second
	result := mustRun(t, settings)
	if result.JoinTime == Never || result.RecoveryTime == Never || result.Spending.OverWhole > 0 {
		t.Errorf("join after %v, recovery after %v, %d beyond the limit",
			result.JoinTime, result.RecoveryTime, result.Spending.OverWhole)
	}
	utilization := map[string]float64{}
	for _, policy := range []string{Leases, FixedShares} {
		settings := smallSettings(policy)
		settings.PartitionAt = 0
		settings.Load = .9
		settings.DemandShiftInterval = 5 * time.Second
		settings.LeaseDuration = time.Second
		utilization[policy] = mustRun(t, settings).Utilization
	}
	if utilization[Leases] <= utilization[FixedShares] {
		t.Errorf("%v", utilization)
	}
	t.Log(utilization, result.JoinTime, result.RecoveryTime)
}

func TestSettingsAreChecked(t *testing.T) {
	for _, change := range []func(s *Settings){
		func(s *Settings) { s.Holders = 0 },
		func(s *Settings) { s.DrivenQuotas = 4 },
		func(s *Settings) { s.LeaseDuration = 0 },
	} {
		settings := smallSettings(Leases)
		change(&settings)
		if _, err := Run(settings); err == nil {
			t.Errorf("%+v makes a run", settings)
		}
	}
}
