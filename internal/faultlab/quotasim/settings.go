package quotasim

import (
	"fmt"
	"math"
	"time"

	"lapisspread/internal/faultlab/checker"
)

// Policies say who divides the quotas.
const (
	Leases      = "grants" // servers lease parts of them
	FixedShares = "fixed"  // nobody: each holder has an equal part of each limit

	FixedSharesOverLimit = "fixed-over-whole"  // faulty: each has a tenth more
	SpendsExpiredLease   = "spends-past-lease" // faulty: holders go on by leases that have expired
)

// Settings of a run.
type Settings struct {
	Policy  string
	Holders int
	Quotas  int
	// DrivenQuotas is how many of the quotas attempts draw on. Of the others all holders want the same.
	DrivenQuotas  int
	Seed          uint64
	Length        time.Duration
	LeaseDuration time.Duration
	// UnitsPerHolder is units a second of each limit, for each holder.
	UnitsPerHolder float64
	// DemandDecay is the part of the way by which the measured demand falls at each request. That of
	// quotalease.Holder is a third.
	DemandDecay float64
	// MaxRequestInterval is how often holders request at least; 0 is as often as quotalease.Holder says.
	MaxRequestInterval time.Duration
	// PlanCost is the time that a plan takes the leader for each holder and quota; 0 is none.
	PlanCost time.Duration
	// Load is the part of each limit that all holders together want.
	Load float64
	// DemandShiftInterval is the time after which another fifth of the holders wants hotFactor times what the
	// others do; 0 is all alike, always.
	DemandShiftInterval time.Duration
	JoinAt              time.Duration // when another holder comes; 0 is never
	KillAt              time.Duration // when a holder dies; 0 is never
	// PartitionAt is when a third of the holders is cut off from the servers, for partitionLeases; 0 is never.
	PartitionAt time.Duration
}

// check rejects settings that make no run.
func (s *Settings) check() error {
	counts := s.Holders >= 1 && s.Quotas >= 1 && s.DrivenQuotas >= 0 && s.DrivenQuotas <= s.Quotas
	times := s.LeaseDuration >= 10*tickInterval && s.Length >= s.LeaseDuration
	if counts && times && s.UnitsPerHolder > 0 && s.DemandDecay > 0 && s.DemandDecay <= 1 {
		return nil
	}
	return fmt.Errorf(
		"%d holders, %d budgets, %d played, lease %v, length %v, rate %v and falls %v make no run",
		s.Holders, s.Quotas, s.DrivenQuotas, s.LeaseDuration, s.Length, s.UnitsPerHolder, s.DemandDecay)
}

// usesLeases reports whether there are servers.
func (s *Settings) usesLeases() bool { return s.Policy == Leases || s.Policy == SpendsExpiredLease }

// Rates are per second.
type Rates struct {
	Calls    float64 // of the leader, by holders
	BytesIn  float64 // bodies of requests
	BytesOut float64 // bodies of replies
	Entries  float64 // of the log
	LogBytes float64 // to each other server
}

// Result of a run.
type Result struct {
	Settings
	Rates
	Spending checker.SpendingVerdict
	// JoinTime is the time until the new holder had nine tenths of an equal share of every quota; Never if it had not.
	JoinTime time.Duration
	// RecoveryTime is the time until all quotas were leased in full again after a death; Never if they were not.
	RecoveryTime time.Duration
	// Utilization is the part that was spent of what could be, after warmupTime.
	Utilization float64
	Rounds      int
	// ComputeTime is the real time that the leader took for all its plans.
	ComputeTime time.Duration
}

// Never stands for what has not happened.
const Never = time.Duration(math.MaxInt64)
