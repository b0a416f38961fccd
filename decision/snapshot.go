package decision

import (
	"math"
	"time"
)

// Snapshot contains the estimates of a Balancer for its successor in a new process. Times are of the caller's
// clock, which must continue over the restart. It does not contain requests, which are lost with the process,
// nor tail latencies, tallies and means: all clients that waited for the restart come at once, and the
// successor would shed their requests by estimates from before. The JSON keys must not change: earlier
// releases have written them.
type Snapshot struct {
	TakenAt     time.Duration     `json:"at"`
	RequestRate float64           `json:"rate"`  // requests a second
	SharedLimit float64           `json:"limit"` // on the load in flight at all backends; 0 means none
	Classes     []ClassSnapshot   `json:"classes"`
	Backends    []BackendSnapshot `json:"backends"`
}

// ClassSnapshot contains the estimates for a class.
type ClassSnapshot struct {
	Name string `json:"name"`

	// LatencySums are the weighted sums of a linear fit of latency (y) over expected work (x), both in ms:
	// the weights of all points, x, y, x*x and x*y.
	LatencySums [5]float64 `json:"delays"`
}

// BackendSnapshot contains the estimates for a backend in the incarnation that began at Started.
type BackendSnapshot struct {
	ID         BackendID     `json:"id"`
	Started    time.Duration `json:"started"` // according to the endpoint list
	LastStart  time.Duration `json:"cold"`    // known or suspected; 0 means long ago
	Healthy    bool          `json:"healthy"`
	ServedWork float64       `json:"served"` // ms of work, a decaying sum
}

// Snapshot returns the current estimates.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	b.now = now
	s := Snapshot{TakenAt: now, RequestRate: b.requestRate(), SharedLimit: b.sharedLimit.ceiling}
	s.Classes = []ClassSnapshot{}
	for i, c := range b.config.Classes {
		s.Classes = append(s.Classes, ClassSnapshot{c.Name, b.latencyByClass[i].sums()})
	}
	s.Backends = []BackendSnapshot{}
	for _, t := range b.targets {
		if t.State != Removed {
			served := t.servedWork.decay(now, servedWorkIntervals*b.checkInterval)
			s.Backends = append(s.Backends, BackendSnapshot{t.ID, t.Started, t.lastStart, t.healthy, served})
		}
	}
	return s
}

// Restore takes over the estimates of a predecessor. It must be called after Start and before the first
// endpoint update. The older the snapshot is, the less it counts, and the estimates for a backend are ignored
// if the backend has started since. A snapshot from the future is ignored.
func (b *Balancer) Restore(now time.Duration, s Snapshot) {
	b.now = now
	if age := now - s.TakenAt; age < 0 {
		return
	}
	b.predecessor = &s
	keep := b.predecessorWeight()
	// Count as if requests had arrived at the predecessor's rate for a check interval. Otherwise a proxy that
	// has just started would use only a few backends while all clients that waited for it come. Actual
	// requests soon outweigh this.
	b.countedSince = now - b.checkInterval
	b.requestCount = s.RequestRate * keep * 2 * b.checkInterval.Seconds()
	for i, c := range b.config.Classes {
		for _, old := range s.Classes {
			if old.Name == c.Name {
				b.latencyByClass[i] = linearFitFrom(old.LatencySums, keep)
			}
		}
	}
}

// predecessorWeight returns the weight of the predecessor's snapshot, from 0 to 1, by its age.
func (b *Balancer) predecessorWeight() float64 {
	return math.Exp(-float64(b.now-b.predecessor.TakenAt) / float64(maxRateSpan))
}

// restoreTarget sets the estimates of a newly listed backend to the predecessor's, if they are for the same
// incarnation. A suspected start is restored too: the backend may still be warming up although the list does
// not show the start.
func (b *Balancer) restoreTarget(t *target) {
	if b.predecessor == nil {
		return
	}
	for _, old := range b.predecessor.Backends {
		if old.ID != t.ID || old.Started != t.Started {
			continue
		}
		t.healthy = old.Healthy
		t.servedWork = decayingSum{old.ServedWork, b.predecessor.TakenAt}
		b.recordStart(t, old.LastStart)
		if !t.healthy { // it may have recovered: check it soon
			t.nextCheck = b.now
		}
	}
}

// restoredSharedLimit returns the predecessor's shared limit, reduced by the snapshot's age and by the share
// of backends that are no longer listed in the same incarnation. A limit learned with warm backends would be
// too high for backends that are warming up. It returns 0 without a predecessor.
func (b *Balancer) restoredSharedLimit() float64 {
	s, same := b.predecessor, 0
	if s == nil {
		return 0
	}
	for _, old := range s.Backends {
		if t := b.targetsByID[old.ID]; t != nil && t.State == Ready && old.Started == t.Started {
			same++
		}
	}
	return s.SharedLimit * b.predecessorWeight() * float64(same) / float64(max(1, len(s.Backends)))
}

// sums returns the stored form of a fit, see ClassSnapshot.LatencySums.
func (f *linearFit) sums() [5]float64 {
	return [5]float64{f.weight, f.sumX, f.sumY, f.sumXX, f.sumXY}
}

// linearFitFrom returns the fit of a stored form, with its weight multiplied by keep.
func linearFitFrom(sums [5]float64, keep float64) linearFit {
	for i := range sums {
		sums[i] *= keep
	}
	return linearFit{sums[0], sums[1], sums[2], sums[3], sums[4]}
}
