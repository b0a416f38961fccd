package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	watchIntervals     = 12  // that the time of watching is looked at in
	minIntervals       = 3   // after a train, before which nothing is told; twice as many before it
	maxWatchedRollouts = 256 // that are watched at once
	maxDeviations      = 3   // of the parts before a train that those after it must be beyond
)

// RegressionWatch watches the whole fleet after all have a policy: where nobody is left to compare with, its share of bad requests is compared
// with that of the time before. It tells, and does nothing: other things than a policy make a fleet worse. Like Rollout it is pure, and
// callers see to it that one at a time calls.
type RegressionWatch struct {
	settings     Settings
	width        time.Duration
	intervals    map[int64]*interval // by time in widths
	newest       int64
	lastChecked  int64
	rollouts     []completedRollout // that are watched, in the order of their time
	ignoreBefore int64              // parts before it are of no use: what was worse since then was told
}

type interval struct{ good, bad int64 }

type completedRollout struct {
	epoch uint64
	at    time.Duration
}

// NewRegressionWatch watches for the settings' Watch after each train.
func NewRegressionWatch(s Settings) *RegressionWatch {
	return &RegressionWatch{settings: s, width: max(time.Millisecond, s.WatchDuration/watchIntervals), intervals: map[int64]*interval{}, ignoreBefore: math.MinInt64}
}

// Report takes in the requests of a proxy's report, under whatever policy.
func (a *RegressionWatch) Report(now time.Duration, good, bad int64) {
	if good < 0 || bad < 0 {
		return
	}
	at := int64(now / a.width)
	p := a.intervals[at]
	if p == nil {
		p = &interval{}
		a.intervals[at] = p
		a.newest = max(a.newest, at)
		for old := range a.intervals {
			if old < a.newest-2*watchIntervals-1 {
				delete(a.intervals, old)
			}
		}
	}
	p.good += good
	p.bad += bad
}

// RolloutCompleted says that all are to have an epoch from now on.
func (a *RegressionWatch) RolloutCompleted(now time.Duration, epoch uint64) {
	if len(a.rollouts) == maxWatchedRollouts {
		a.rollouts = a.rollouts[1:]
	}
	a.rollouts = append(a.rollouts, completedRollout{epoch, now})
}

// RegressionError says that the fleet does worse since a train than before it.
type RegressionError struct {
	Epoch         uint64 // of the train after which the difference is greatest
	Ago           time.Duration
	Before, After float64  // share of bad requests
	NearbyEpochs  []uint64 // other epochs that came through at about that time
}

func (e RegressionError) Error() string {
	s := fmt.Sprintf("since epoch %d, %v ago, %.2f%% of all requests go bad, %.2f%% before", e.Epoch, e.Ago.Round(time.Second), 100*e.After, 100*e.Before)
	if len(e.NearbyEpochs) > 0 {
		s += fmt.Sprintf("; epochs %v came through at about that time", e.NearbyEpochs)
	}
	return s
}

// Advice is what an operator can do.
func (e RegressionError) Advice() string {
	return "All proxies have it, so nothing goes back by itself. See what else began then. If it is the policy, tell the fleet to go back " +
		"to an epoch before it that is kept, or have the team offer a mended file."
}

// Tick tells WorseAfter once for what became worse; nil is that nothing did, or that it can't be told.
func (a *RegressionWatch) Tick(now time.Duration) error {
	last := int64(now/a.width) - 1 // the newest part that is whole
	if last <= a.lastChecked {
		return nil
	}
	a.lastChecked = last
	for len(a.rollouts) > 0 && now-a.rollouts[0].at > a.settings.WatchDuration {
		a.rollouts = a.rollouts[1:]
	}
	// The difference is greatest at the train after which it began. Until that one has been looked at for long enough, nothing is told: an
	// earlier one would be named.
	worst, at, sure := RegressionError{}, -1, false
	for i, t := range a.rollouts {
		mid := int64(t.at / a.width)
		before, spread, n := a.badShareOver(max(a.ignoreBefore, mid-watchIntervals), mid-1)
		after, _, m := a.badShareOver(mid+1, last)
		if n < 2*minIntervals || m == 0 || at >= 0 && after-before <= worst.After-worst.Before {
			continue
		}
		worst, at = RegressionError{Epoch: t.epoch, Ago: now - t.at, Before: before, After: after}, i
		sure = m >= minIntervals && after-before > a.settings.Margin+maxDeviations*spread
	}
	if !sure {
		return nil
	}
	mid := a.rollouts[at].at
	for i, t := range a.rollouts {
		if i != at && max(t.at-mid, mid-t.at) <= minIntervals*a.width {
			worst.NearbyEpochs = append(worst.NearbyEpochs, t.epoch)
		}
	}
	a.ignoreBefore, a.rollouts = int64(mid/a.width)+1, a.rollouts[at+1:]
	return worst
}

// badShareOver is the share of bad requests in parts, how far the parts are from each other (standard deviation), and how many had requests.
func (a *RegressionWatch) badShareOver(from, to int64) (share, spread float64, n int) {
	good, bad, sum, squares := int64(0), int64(0), 0.0, 0.0
	for i := from; i <= to; i++ {
		p := a.intervals[i]
		if p == nil || p.good+p.bad == 0 {
			continue
		}
		x := float64(p.bad) / float64(p.good+p.bad)
		good, bad, sum, squares, n = good+p.good, bad+p.bad, sum+x, squares+x*x, n+1
	}
	if n == 0 {
		return 0, 0, 0
	}
	share = float64(bad) / float64(good+bad)
	spread = math.Sqrt(max(0, squares/float64(n)-sum/float64(n)*sum/float64(n)))
	// So few requests that chance alone makes a part differ.
	return share, max(spread, math.Sqrt(share*(1-share)*float64(n)/float64(good+bad))), n
}
