package decision

import (
	"math"
	"time"
)

// Snapshot is what a Balancer has learned, for one that starts in its place. Times are of the caller's
// clock, which must go on over the restart. Requests are not part of it: they are lost with the process.
// Nor are tails, tallies and means: they would make the successor shed by how it was before the clients
// that wait for it came together. The JSON keys are those that earlier releases have written and stay as they
// are.
type Snapshot struct {
	TakenAt     time.Duration     `json:"at"`
	RequestRate float64           `json:"rate"`  // a second
	SharedLimit float64           `json:"limit"` // on what is in flight at all backends; 0 is none
	Classes     []ClassSnapshot   `json:"classes"`
	Backends    []BackendSnapshot `json:"backends"`
}

// ClassSnapshot is what was learned of a class.
type ClassSnapshot struct {
	Name string `json:"name"`

	// LatencySums are the sums of a linear fit of latencies over expected work, both in ms: the weight of
	// all points, x, y, x*x and x*y.
	LatencySums [5]float64 `json:"delays"`
}

// BackendSnapshot is what was learned of a backend in the incarnation that began at Started.
type BackendSnapshot struct {
	ID         BackendID     `json:"id"`
	Started    time.Duration `json:"started"` // as the list said
	LastStart  time.Duration `json:"cold"`    // known or suspected; 0 is long ago
	Healthy    bool          `json:"healthy"`
	ServedWork float64       `json:"served"` // ms, decaying
}

// Snapshot returns what has been learned.
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

// Restore takes over what a predecessor has learned, after Start and before the first endpoint list. It is a
// prior: its weight decays with its age, and what it says of a backend is void if that has started since.
func (b *Balancer) Restore(now time.Duration, s Snapshot) {
	b.now = now
	if age := now - s.TakenAt; age < 0 {
		return
	}
	b.predecessor = &s
	keep := b.predecessorWeight()
	// As if requests had come at that rate for an interval: a proxy that has just started would use a few
	// backends only, while all clients that waited for it come. What comes now soon says more.
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

// predecessorWeight is the weight of the predecessor's snapshot by its age.
func (b *Balancer) predecessorWeight() float64 {
	return math.Exp(-float64(b.now-b.predecessor.TakenAt) / float64(maxRateSpan))
}

// restoreTarget sets for a backend that the list names for the first time what the predecessor learned in
// the same incarnation. A suspected start is no incarnation that the list knows of: the backend warms up
// though the proxy is new.
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
		if !t.healthy { // it may have recovered by now
			t.nextCheck = b.now
		}
	}
}

// restoredSharedLimit is what the predecessor's limit for all backends counts for, as far as they are the
// same in the same incarnation. One that was learned on warm backends would let too much out at cold ones.
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

// sums are the stored form of a fit.
func (f *linearFit) sums() [5]float64 {
	return [5]float64{f.weight, f.sumX, f.sumY, f.sumXX, f.sumXY}
}

// linearFitFrom is a fit from its stored form, with a share of its weight.
func linearFitFrom(sums [5]float64, keep float64) linearFit {
	for i := range sums {
		sums[i] *= keep
	}
	return linearFit{sums[0], sums[1], sums[2], sums[3], sums[4]}
}
