package rollout

import (
	"math"
	"time"
)

const (
	// watchIntervals is the number of intervals into which Settings.WatchDuration is divided.
	watchIntervals = 12
	// minIntervals is the minimum number of intervals with requests after a rollout before a regression is reported.
	// Before the rollout twice as many are needed.
	minIntervals = 3
	// maxWatchedRollouts is the maximum number of rollouts that are watched at one time; the oldest are dropped.
	maxWatchedRollouts = 256
	// maxDeviations is how many standard deviations of the intervals before a rollout the rise must exceed, in addition
	// to Settings.Margin.
	maxDeviations = 3
)

// RegressionWatch watches the whole fleet after a rollout, when there are no proxies without the version to compare
// with. It compares the fleet's share of bad requests with that before the rollout. It reports a regression and does
// not act on it, because a fleet can get worse for reasons other than its policy. Like Rollout it is deterministic and
// must be used by one goroutine at a time.
type RegressionWatch struct {
	settings  Settings
	width     time.Duration       // of an interval
	intervals map[int64]*interval // by index: the time divided by width
	newest    int64               // index of the newest interval

	lastChecked int64              // index of the last interval that Tick has checked
	rollouts    []completedRollout // watched rollouts, oldest first
	// ignoreBefore is the index of the first interval that still counts. A regression that began before it has been
	// reported.
	ignoreBefore int64
}

// interval holds the numbers of good and bad requests of the whole fleet in one interval.
type interval struct{ good, bad int64 }

// completedRollout is a rollout that has reached all proxies.
type completedRollout struct {
	epoch       uint64
	completedAt time.Duration
}

// NewRegressionWatch returns a RegressionWatch that watches each rollout for Settings.WatchDuration.
func NewRegressionWatch(settings Settings) *RegressionWatch {
	return &RegressionWatch{
		settings:     settings,
		width:        max(time.Millisecond, settings.WatchDuration/watchIntervals),
		intervals:    map[int64]*interval{},
		ignoreBefore: math.MinInt64,
	}
}

// Report records the good and bad requests of a proxy's report, regardless of the proxy's version. Negative numbers are
// ignored.
func (w *RegressionWatch) Report(now time.Duration, good, bad int64) {
	if good < 0 || bad < 0 {
		return
	}
	index := w.intervalAt(now)
	current := w.intervals[index]
	if current == nil {
		current = &interval{}
		w.intervals[index] = current
		w.newest = max(w.newest, index)
		w.dropOldIntervals()
	}
	current.good += good
	current.bad += bad
}

// intervalAt returns the index of the interval that contains the time.
func (w *RegressionWatch) intervalAt(now time.Duration) int64 { return int64(now / w.width) }

// dropOldIntervals drops the intervals that no comparison needs. Those kept cover Settings.WatchDuration before and
// after a rollout.
func (w *RegressionWatch) dropOldIntervals() {
	for index := range w.intervals {
		if index < w.newest-2*watchIntervals-1 {
			delete(w.intervals, index)
		}
	}
}

// RolloutCompleted records that the rollout of an epoch was completed: all proxies are to have it from now on.
func (w *RegressionWatch) RolloutCompleted(now time.Duration, epoch uint64) {
	if len(w.rollouts) == maxWatchedRollouts {
		w.rollouts = w.rollouts[1:]
	}
	w.rollouts = append(w.rollouts, completedRollout{epoch: epoch, completedAt: now})
}

// Tick checks for a regression whenever an interval has ended. It returns a RegressionError once for each regression,
// and otherwise nil, also while there are too few intervals to decide.
func (w *RegressionWatch) Tick(now time.Duration) error {
	last := w.intervalAt(now) - 1 // the newest complete interval
	if last <= w.lastChecked {
		return nil
	}
	w.lastChecked = last
	for len(w.rollouts) > 0 && now-w.rollouts[0].completedAt > w.settings.WatchDuration {
		w.rollouts = w.rollouts[1:]
	}
	regression, cause, significant := w.greatestDifference(now, last)
	if !significant {
		return nil
	}
	completedAt := w.rollouts[cause].completedAt
	regression.NearbyEpochs = w.nearbyEpochs(cause)
	w.ignoreBefore = w.intervalAt(completedAt) + 1
	w.rollouts = w.rollouts[cause+1:]
	return regression
}

// greatestDifference finds the rollout after which the share of bad requests rose most, because a regression began with
// that rollout. It returns the rise and the index of the rollout, -1 if there is none. The result is significant only
// if that rollout was watched for minIntervals. Otherwise the regression would be attributed to an earlier rollout.
func (w *RegressionWatch) greatestDifference(
	now time.Duration, last int64,
) (regression RegressionError, cause int, significant bool) {
	cause = -1
	for i, rollout := range w.rollouts {
		rolloutInterval := w.intervalAt(rollout.completedAt)
		before := w.badShareOver(max(w.ignoreBefore, rolloutInterval-watchIntervals), rolloutInterval-1)
		after := w.badShareOver(rolloutInterval+1, last)
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
			Ago:    now - rollout.completedAt,
			Before: before.share,
			After:  after.share,
		}
		threshold := w.settings.Margin + maxDeviations*before.deviation
		significant = after.intervals >= minIntervals && difference > threshold
	}
	return regression, cause, significant
}

// nearbyEpochs returns the epochs of the other rollouts that were completed at about the same time as the one with the
// index cause.
func (w *RegressionWatch) nearbyEpochs(cause int) []uint64 {
	completedAt := w.rollouts[cause].completedAt
	var epochs []uint64
	for i, rollout := range w.rollouts {
		distance := max(rollout.completedAt-completedAt, completedAt-rollout.completedAt)
		if i != cause && distance <= minIntervals*w.width {
			epochs = append(epochs, rollout.epoch)
		}
	}
	return epochs
}

// intervalStats summarises a range of intervals.
type intervalStats struct {
	share     float64 // of bad requests, 0 to 1
	deviation float64 // standard deviation of the intervals' shares
	intervals int     // number of intervals with requests
}

// badShareOver returns the statistics of the intervals with indexes from first to last, both included.
func (w *RegressionWatch) badShareOver(first, last int64) intervalStats {
	var good, bad int64
	var sum, squares float64
	var stats intervalStats
	for index := first; index <= last; index++ {
		requests := w.intervals[index]
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
	// With few requests, chance alone makes the shares of the intervals differ by this standard deviation.
	expected := math.Sqrt(stats.share * (1 - stats.share) * count / float64(good+bad))
	stats.deviation = max(observed, expected)
	return stats
}
