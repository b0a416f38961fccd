package decision

import "time"

// Snapshot is what a Balancer has learned, for one that starts in its place. Times are of the
// caller's clock, which
// must go on over the restart. It holds no request: what was in hand is lost with the process. Of
// all that is learned
// it holds what was seen to help: delays and limits of single backends, tails, tallies and means
// make the next one
// refuse by how it was before the crowd that waits for it came together.
type Snapshot struct {
	TakenAt     time.Duration     `json:"at"`    // when it was taken
	RequestRate float64           `json:"rate"`  // requests a second
	SharedLimit float64           `json:"limit"` // on what is out at all backends; 0 is none
	Classes     []ClassSnapshot   `json:"classes"`
	Backends    []BackendSnapshot `json:"backends"`
}

// ClassSnapshot is what was learned of a class.
type ClassSnapshot struct {
	Name string `json:"name"`
	// sums of a line through cost hints and delays in ms: n, x, y, xx, xy
	LatencySums [5]float64 `json:"delays"`
}

// BackendSnapshot is what was learned of a backend in the life that it began at Started.
type BackendSnapshot struct {
	ID         BackendID     `json:"id"`
	Started    time.Duration `json:"started"` // as the list said
	LastStart  time.Duration `json:"cold"`    // its last start, known or suspected; 0 is long ago
	Healthy    bool          `json:"healthy"`
	ServedWork float64       `json:"served"` // work, ms, as it fades
}

// Snapshot tells what has been learned.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	b.now = now
	m := Snapshot{TakenAt: now, RequestRate: b.requestRate(), SharedLimit: b.sharedLimit.limit}
	m.Classes, m.Backends = []ClassSnapshot{}, []BackendSnapshot{}
	for i, c := range b.config.Classes {
		l := b.latencyByClass[i]
		m.Classes = append(m.Classes, ClassSnapshot{c.Name, [5]float64{l.n, l.x, l.y, l.xx, l.xy}})
	}
	for _, t := range b.targets {
		if t.State != Removed {
			served := t.servedWork.decay(now, servedWorkIntervals*b.checkInterval)
			m.Backends = append(m.Backends, BackendSnapshot{t.ID, t.Started, t.lastStart, t.healthy, served})
		}
	}
	return m
}
