package quotasim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/quotalease"
)

const (
	// warmupTime is when the leases of the start have come round.
	warmupTime = 10 * time.Second

	// partitionLeases is for how many lease durations a partition lasts.
	partitionLeases = 3

	// randomSeed is the second part of the seed of every run.
	randomSeed = 24

	maxDrift = .001
)

// simulation is one run.
type simulation struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	queue    eventQueue
	seq      int // of the last event

	quotaNames []string
	config     quotalease.FleetConfig
	holders    []*holder

	state          *quotalease.StateMachine
	allocator      *quotalease.Allocator
	index          uint64   // of the log
	pendingReplies []func() // that wait for the end of the round
	planning       bool     // a round is under way

	startedAt    time.Duration
	requestCount uint64
	spending     *checker.Spending
	steady       *checker.Spending // after warmupTime
	result       Result
	err          error
}

// Run carries out a run. Equal settings give equal results, but for ComputeTime.
func Run(settings Settings) (Result, error) {
	if err := settings.check(); err != nil {
		return Result{}, err
	}
	s := newSimulation(settings)
	s.bootstrap()
	for range settings.Holders {
		s.startHolder()
	}
	s.schedule(0, s.drawAttempts)
	s.scheduleChanges()
	s.runUntil(s.startedAt + settings.Length)
	for _, rate := range []*float64{
		&s.result.Calls, &s.result.BytesIn, &s.result.BytesOut, &s.result.Entries, &s.result.LogBytes,
	} {
		*rate /= settings.Length.Seconds()
	}
	s.result.Spending = s.spending.Verdict()
	s.result.Utilization = s.steady.Verdict().Used
	return s.result, s.err
}

func newSimulation(settings Settings) *simulation {
	s := &simulation{
		settings: settings,
		rng:      rand.New(rand.NewPCG(settings.Seed, randomSeed)),
		config: quotalease.FleetConfig{
			FleetID: "virtual", MaxDrift: maxDrift, MaxLifetime: settings.LeaseDuration,
		},
		state:  quotalease.NewStateMachine(),
		result: Result{Settings: settings, JoinTime: Never, RecoveryTime: Never},
	}
	limit := settings.UnitsPerHolder * float64(settings.Holders)
	var checked []checker.FleetBudget
	for i := range settings.Quotas {
		name := fmt.Sprintf("b%02d", i)
		s.quotaNames = append(s.quotaNames, name)
		s.config.Quotas = append(s.config.Quotas, quotalease.Quota{
			Name: name, Kind: quotalease.Rate, Limit: limit, Burst: limit, LeaseDuration: settings.LeaseDuration,
		})
		if i < settings.DrivenQuotas {
			limits := []checker.Whole{{Units: limit, Burst: limit}}
			checked = append(checked, checker.FleetBudget{Name: name, Wholes: limits})
		}
	}
	s.spending = checker.NewSpending(2*minDelay, checked)
	s.steady = checker.NewSpending(2*minDelay, checked)
	s.allocator = quotalease.NewAllocator(0, 0, s.state)
	return s
}

// bootstrap bootstraps the fleet, waits until that is over, and sets the quotas.
func (s *simulation) bootstrap() {
	s.apply(quotalease.Command{Bootstrap: &quotalease.Bootstrap{
		FleetID: s.config.FleetID, Epoch: 1, MaxDrift: s.config.MaxDrift, MaxLifetime: s.config.MaxLifetime,
	}})
	s.now = quotalease.StartupSilence(s.config.MaxLifetime, s.config.MaxDrift) + time.Millisecond
	for _, command := range s.allocator.Plan(s.now) {
		s.apply(command)
	}
	s.apply(quotalease.Command{SetQuotas: &quotalease.SetQuotas{Version: 1, Config: s.config}})
	s.startedAt = s.now
}

// scheduleChanges schedules a join, a death and a partition.
func (s *simulation) scheduleChanges() {
	if s.settings.JoinAt > 0 {
		s.schedule(s.settings.JoinAt, func() {
			s.startHolder()
			s.recordWhen(&s.result.JoinTime, s.now, s.newestHasItsShare)
		})
	}
	if s.settings.KillAt > 0 {
		s.schedule(s.settings.KillAt, func() {
			s.holders[0].alive = false
			s.recordWhen(&s.result.RecoveryTime, s.now, s.fullyLeased)
		})
	}
	if s.settings.PartitionAt > 0 {
		healAt := s.settings.PartitionAt + partitionLeases*s.settings.LeaseDuration
		s.schedule(s.settings.PartitionAt, func() { s.setPartitioned(true) })
		s.schedule(healAt, func() { s.setPartitioned(false) })
	}
}

// setPartitioned cuts a third of the holders off from the servers, or ends that.
func (s *simulation) setPartitioned(partitioned bool) {
	for i, h := range s.holders {
		if i%3 == 0 {
			h.partitioned = partitioned
		}
	}
}

// activeCheckers returns those that count now.
func (s *simulation) activeCheckers() []*checker.Spending {
	if s.now < s.startedAt+warmupTime {
		return []*checker.Spending{s.spending}
	}
	return []*checker.Spending{s.spending, s.steady}
}

// recordWhen checks each tick whether something has happened, and records the time that it took.
func (s *simulation) recordWhen(recorded *time.Duration, since time.Duration, happened func() bool) {
	if happened() {
		*recorded = s.now - since
		return
	}
	s.schedule(tickInterval, func() { s.recordWhen(recorded, since, happened) })
}

// newestHasItsShare reports whether the newest holder has nine tenths of an equal share of every quota.
func (s *simulation) newestHasItsShare() bool {
	h := s.holders[len(s.holders)-1]
	due := .9 * s.settings.UnitsPerHolder * float64(s.settings.Holders) / float64(len(s.holders))
	return !slices.ContainsFunc(s.quotaNames, func(name string) bool {
		return h.Status(s.now, name).Amount.Units() < due
	})
}

// fullyLeased reports whether those who live have all of every quota, but for a tenth of an equal share.
func (s *simulation) fullyLeased() bool {
	due := s.settings.UnitsPerHolder * (float64(s.settings.Holders) - .1)
	return !slices.ContainsFunc(s.quotaNames, func(name string) bool {
		sum := 0.0
		for _, h := range s.holders {
			if h.alive {
				sum += h.Status(s.now, name).Amount.Units()
			}
		}
		return sum < due
	})
}
