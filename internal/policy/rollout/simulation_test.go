package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// minuteSteps returns settings with steps of a minute and a high error rate.
func minuteSteps() Settings {
	settings := DefaultSettings()
	settings.Steps = []float64{0.03, 0.1, 0.3, 1}
	settings.StepDuration = time.Minute
	settings.LooksPerStep = 4
	settings.MinRequests = 2000
	settings.ErrorRate = 0.02
	settings.SmallFleetErrorRate = 0.02
	return settings
}

// simulation runs one rollout in a fleet whose proxies differ in their share of bad requests.
type simulation struct {
	n                 int     // proxies at the start
	extraBadShare     float64 // added to the share of bad requests by the new version
	failingShare      float64 // probability that a proxy fails when it adopts a version
	requestsPerReport int64   // 0 means no traffic
	mutations         mutation
	seed              uint64
	reportInterval    time.Duration
	leaving           int     // proxies that leave during the rollout
	margin            float64 // Settings.Margin
}

// proxyState is the state of one proxy in a simulation.
type proxyState struct {
	name     string
	badShare float64 // share of bad requests with the old version, 0 to 1
	current  Version
	failed   bool // sends no more reports
}

// run simulates up to ten minutes. It returns the state at the end, the maximum number of proxies that were to have the
// new version, and a description of a violated rule, "" if there is none.
func (s *simulation) run() (end State, maxUpdated int, violation string) {
	rng := rand.New(rand.NewPCG(s.seed, 1))
	r, proxies := s.start(rng)
	sequence := uint64(0)
	for now := time.Duration(0); now < 10*time.Minute; now += s.reportInterval {
		if s.leaving > 0 && len(proxies) > s.n-s.leaving && rng.IntN(3) == 0 {
			leavingIndex := rng.IntN(len(proxies))
			proxies = slices.Delete(proxies, leavingIndex, leavingIndex+1)
			r.SetMembers(now, namesOf(proxies))
		}
		updated := 0
		for _, p := range proxies {
			target := r.Target(p.name)
			if target.Epoch < p.current.Epoch {
				return 0, 0, fmt.Sprintf("Target(%s) goes back from %+v to %+v without a rollback",
					p.name, p.current, target)
			}
			if target != p.current {
				p.current = target
				p.failed = rng.Float64() < s.failingShare
			}
			if target.Epoch == 2 {
				updated++
			}
			if p.failed {
				continue
			}
			sequence++
			bad := s.badRequests(rng, p)
			report := Report{p.name, sequence, p.current, s.requestsPerReport - bad, bad}
			r.Report(now, report)
			r.Report(now, report) // a repeated report counts once
		}
		maxUpdated = max(maxUpdated, updated)
		r.Tick(now)
		if state, _ := r.State(); state != InProgress {
			return state, maxUpdated, ""
		}
	}
	return InProgress, maxUpdated, ""
}

// start starts a rollout of epoch 2 in a fleet that has epoch 1. Most proxies see few bad requests, some many.
func (s *simulation) start(rng *rand.Rand) (*Rollout, []*proxyState) {
	settings := minuteSteps()
	settings.Margin = s.margin
	old := Version{Epoch: 1, Hash: "old"}
	r, err := New(settings, old)
	if err != nil {
		panic(fmt.Sprintf("New(minuteSteps()) failed: %v", err))
	}
	r.mutations = s.mutations
	var proxies []*proxyState
	for i := range s.n {
		proxies = append(proxies, &proxyState{
			name:     fmt.Sprint("p", i),
			badShare: 0.01 * rng.ExpFloat64(),
			current:  old,
		})
	}
	r.SetMembers(0, namesOf(proxies))
	if err := r.Start(0, 2, "new", s.seed); err != nil {
		panic(fmt.Sprintf("Start(epoch 2) failed: %v", err))
	}
	return r, proxies
}

// namesOf returns the names of the proxies.
func namesOf(proxies []*proxyState) (names []string) {
	for _, p := range proxies {
		names = append(names, p.name)
	}
	return names
}

// badRequests draws how many requests of a proxy's next report are bad.
func (s *simulation) badRequests(rng *rand.Rand, p *proxyState) (bad int64) {
	share := min(1, p.badShare)
	if p.current.Epoch == 2 {
		share = min(1, share+s.extraBadShare)
	}
	for i := goodBeforeBad(rng, share); i < s.requestsPerReport; i += 1 + goodBeforeBad(rng, share) {
		bad++
	}
	return bad
}

// goodBeforeBad draws from a geometric distribution how many requests succeed before the next bad one, if the given
// share of all requests is bad.
func goodBeforeBad(rng *rand.Rand, share float64) int64 {
	if share <= 0 {
		return math.MaxInt32
	}
	return int64(min(math.MaxInt32, math.Log(1-rng.Float64())/math.Log1p(-min(share, 0.999))))
}
