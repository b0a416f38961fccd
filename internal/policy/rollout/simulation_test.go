package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// minuteSteps are settings with steps of a minute and a high error rate.
func minuteSteps() Settings {
	s := DefaultSettings()
	s.Steps, s.StepDuration, s.LooksPerStep, s.MinRequests, s.ErrorRate, s.SmallFleetErrorRate = []float64{0.03, 0.1,
		0.3, 1}, time.Minute, 4, 2000, 0.02, 0.02
	return s
}

// simulation plays one rollout in a fleet whose proxies differ in their share of bad requests.
type simulation struct {
	n                 int
	extraBadShare     float64 // with the new version
	dyingShare        float64 // of the proxies that adopt it
	requestsPerReport int64   // 0 is no traffic
	mutations         mutation
	seed              uint64
	reportInterval    time.Duration
	leaving           int // proxies that leave
	margin            float64
}

// proxyState is a proxy of a simulation.
type proxyState struct {
	name     string
	badShare float64
	current  Version
	dead     bool
}

// play returns the state at the end, the most proxies that ever had the version, and what must never happen.
func (w *simulation) play() (end State, most int, violation string) {
	rng := rand.New(rand.NewPCG(w.seed, 1))
	r, proxies := w.start(rng)
	sequence := uint64(0)
	for now := time.Duration(0); now < 10*time.Minute; now += w.reportInterval {
		if w.leaving > 0 && len(proxies) > w.n-w.leaving && rng.IntN(3) == 0 {
			left := rng.IntN(len(proxies))
			proxies = slices.Delete(proxies, left, left+1)
			r.SetMembers(now, namesOf(proxies))
		}
		updated := 0
		for _, p := range proxies {
			target := r.Target(p.name)
			if target.Epoch < p.current.Epoch {
				return 0, 0, "a proxy goes back without a rollback"
			}
			if target != p.current {
				p.current = target
				p.dead = rng.Float64() < w.dyingShare
			}
			if target.Epoch == 2 {
				updated++
			}
			if p.dead {
				continue
			}
			sequence++
			bad := w.badRequests(rng, p)
			report := Report{p.name, sequence, p.current, w.requestsPerReport - bad, bad}
			r.Report(now, report)
			r.Report(now, report) // a repeated report counts once
		}
		most = max(most, updated)
		r.Tick(now)
		if state, _ := r.State(); state != InProgress {
			return state, most, ""
		}
	}
	return InProgress, most, ""
}

// start begins a rollout of epoch 2 in a fleet that has epoch 1. Most proxies see few bad requests, some many.
func (w *simulation) start(rng *rand.Rand) (*Rollout, []*proxyState) {
	settings := minuteSteps()
	settings.Margin = w.margin
	old := Version{Epoch: 1, Hash: "old"}
	r, err := New(settings, old)
	if err != nil {
		panic(err)
	}
	r.mutations = w.mutations
	var proxies []*proxyState
	for i := range w.n {
		proxies = append(proxies, &proxyState{
			name:     fmt.Sprint("p", i),
			badShare: 0.01 * rng.ExpFloat64(),
			current:  old,
		})
	}
	r.SetMembers(0, namesOf(proxies))
	if err := r.Start(0, 2, "new", w.seed); err != nil {
		panic(err)
	}
	return r, proxies
}

func namesOf(proxies []*proxyState) (names []string) {
	for _, p := range proxies {
		names = append(names, p.name)
	}
	return names
}

func (w *simulation) badRequests(rng *rand.Rand, p *proxyState) (bad int64) {
	share := min(1, p.badShare)
	if p.current.Epoch == 2 {
		share = min(1, share+w.extraBadShare)
	}
	for i := goodBeforeBad(rng, share); i < w.requestsPerReport; i += 1 + goodBeforeBad(rng, share) {
		bad++
	}
	return bad
}

// goodBeforeBad returns how many requests succeed before the next bad one, from a geometric distribution.
func goodBeforeBad(rng *rand.Rand, share float64) int64 {
	if share <= 0 {
		return math.MaxInt32
	}
	return int64(min(math.MaxInt32, math.Log(1-rng.Float64())/math.Log1p(-min(share, 0.999))))
}
