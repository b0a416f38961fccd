package rollout

import (
	"math"
	"time"
)

const (
	watchIntervals     = 12  // that WatchDuration is divided into
	minIntervals       = 3   // after a rollout before anything is reported; before it, twice as many
	maxWatchedRollouts = 256 // at one time
	maxDeviations      = 3   // standard deviations of the intervals before a rollout that the difference must exceed
)

// RegressionWatch watches the whole fleet after a rollout. Where nobody is left to compare with, it compares the
// fleet's share of bad requests with that before the rollout. It reports a regression and does not act on it, because
// other things than a policy make a fleet worse. Like Rollout it is deterministic and for one goroutine at a time.
type RegressionWatch struct {
	settings  Settings
	width     time.Duration       // of an interval
	intervals map[int64]*interval // by time in widths
	newest    int64

	lastChecked int64              // interval
	rollouts    []completedRollout // that are watched, the oldest first
	// ignoreBefore is the first interval that still counts: a regression in earlier ones was reported.
	ignoreBefore int64
}

// interval has the requests of the whole fleet in one interval.
type interval struct{ good, bad int64 }

type completedRollout struct {
	epoch uint64
	at    time.Duration
}

// NewRegressionWatch returns a watch of Settings.WatchDuration after each rollout.
func NewRegressionWatch(settings Settings) *RegressionWatch {
	return &RegressionWatch{
		settings:     settings,
		width:        max(time.Millisecond, settings.WatchDuration/watchIntervals),
		intervals:    map[int64]*interval{},
		ignoreBefore: math.MinInt64,
	}
}

// Report records the requests of a proxy's report, under whatever version.
func (w *RegressionWatch) Report(now time.Duration, good, bad int64) {
	if good < 0 || bad < 0 {
		return
	}
	at := w.intervalAt(now)
	current := w.intervals[at]
	if current == nil {
		current = &interval{}
		w.intervals[at] = current
		w.newest = max(w.newest, at)
		w.dropOldIntervals()
	}
	current.good += good
	current.bad += bad
}

func (w *RegressionWatch) intervalAt(now time.Duration) int64 { return int64(now / w.width) }

// dropOldIntervals keeps those of one WatchDuration before and after a rollout.
func (w *RegressionWatch) dropOldIntervals() {
	for at := range w.intervals {
		if at < w.newest-2*watchIntervals-1 {
			delete(w.intervals, at)
		}
	}
}

// RolloutCompleted records that all proxies are to have an epoch from now on.
func (w *RegressionWatch) RolloutCompleted(now time.Duration, epoch uint64) {
	if len(w.rollouts) == maxWatchedRollouts {
		w.rollouts = w.rollouts[1:]
	}
	w.rollouts = append(w.rollouts, completedRollout{epoch: epoch, at: now})
}

// Tick returns a RegressionError, once for each regression. Nil means that there is none, or that it is too early to
// tell.
func (w *RegressionWatch) Tick(now time.Duration) error {
	last := w.intervalAt(now) - 1 // the newest complete interval
	if last <= w.lastChecked {
		return nil
	}
	w.lastChecked = last
	for len(w.rollouts) > 0 && now-w.rollouts[0].at > w.settings.WatchDuration {
		w.rollouts = w.rollouts[1:]
	}
	regression, cause, significant := w.greatestDifference(now, last)
	if !significant {
		return nil
	}
	at := w.rollouts[cause].at
	regression.NearbyEpochs = w.nearbyEpochs(cause)
	w.ignoreBefore = w.intervalAt(at) + 1
	w.rollouts = w.rollouts[cause+1:]
	return regression
}

// greatestDifference returns the rollout after which the share of bad requests rose most, which is the one after which
// the regression began. Until that rollout was watched for long enough the result is not significant: otherwise an
// earlier one would be blamed.
func (w *RegressionWatch) greatestDifference(
	now time.Duration, last int64,
) (regression RegressionError, cause int, significant bool) {
	cause = -1
	for i, rollout := range w.rollouts {
		middle := w.intervalAt(rollout.at)
		before := w.badShareOver(max(w.ignoreBefore, middle-watchIntervals), middle-1)
		after := w.badShareOver(middle+1, last)
		if before.intervals < 2*minIntervals || after.intervals == 0 {
			continue
		}
		difference := after.share - before.share
		if cause >= 0 && difference <= regression.After-regression.Before {
			continue
		}
		cause = i
		regression = RegressionError{
			Epoch:  rollout.epoch,
			Ago:    now - rollout.at,
			Before: before.share,
			After:  after.share,
		}
		threshold := w.settings.Margin + maxDeviations*before.deviation
		significant = after.intervals >= minIntervals && difference > threshold
	}
	return regression, cause, significant
}

// nearbyEpochs returns the other epochs whose rollouts ended at about the time of one.
func (w *RegressionWatch) nearbyEpochs(cause int) []uint64 {
	at := w.rollouts[cause].at
	var epochs []uint64
	for i, rollout := range w.rollouts {
		distance := max(rollout.at-at, at-rollout.at)
		if i != cause && distance <= minIntervals*w.width {
			epochs = append(epochs, rollout.epoch)
		}
	}
	return epochs
}

// intervalStats describes a range of intervals.
type intervalStats struct {
	share     float64 // of bad requests, 0 to 1
	deviation float64 // standard deviation of the intervals' shares
	intervals int     // with requests
}

// badShareOver describes the intervals of a range, both ends included.
func (w *RegressionWatch) badShareOver(from, to int64) intervalStats {
	var good, bad int64
	var sum, squares float64
	var stats intervalStats
	for at := from; at <= to; at++ {
		requests := w.intervals[at]
		if requests == nil || requests.good+requests.bad == 0 {
			continue
		}
		share := float64(requests.bad) / float64(requests.good+requests.bad)
		good += requests.good
		bad += requests.bad
		sum += share
		squares += share * share
		stats.intervals++
	}
	if stats.intervals == 0 {
		return stats
	}
	count := float64(stats.intervals)
	stats.share = float64(bad) / float64(good+bad)
	observed := math.Sqrt(max(0, squares/count-sum/count*sum/count))
	// With few requests, chance alone makes intervals differ by this much.
	expected := math.Sqrt(stats.share * (1 - stats.share) * count / float64(good+bad))
	stats.deviation = max(observed, expected)
	return stats
}
