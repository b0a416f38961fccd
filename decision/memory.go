package decision

import "time"

// Memory is what a Balancer has learned, for one that starts in its place. Times are of the
// caller's clock, which
// must go on over the restart. It holds no request: what was in hand is lost with the process. Of
// all that is learned
// it holds what was seen to help: delays and limits of single backends, tails, tallies and means
// make the next one
// refuse by how it was before the crowd that waits for it came together.
type Memory struct {
	At       time.Duration  `json:"at"`    // when it was taken
	Rate     float64        `json:"rate"`  // requests a second
	Limit    float64        `json:"limit"` // on what is out at all backends; 0 is none
	Classes  []ClassMemory  `json:"classes"`
	Backends []TargetMemory `json:"backends"`
}

// ClassMemory is what was learned of a class.
type ClassMemory struct {
	Name   string     `json:"name"`
	Delays [5]float64 `json:"delays"` // sums of a line through cost hints and delays in ms: n, x, y, xx, xy
}

// TargetMemory is what was learned of a backend in the life that it began at Started.
type TargetMemory struct {
	ID      BackendID     `json:"id"`
	Started time.Duration `json:"started"` // as the list said
	Cold    time.Duration `json:"cold"`    // its last start, known or suspected; 0 is long ago
	Healthy bool          `json:"healthy"`
	Served  float64       `json:"served"` // work, ms, as it fades
}

// Remember tells what has been learned.
func (b *Balancer) Remember(now time.Duration) Memory {
	b.now = now
	m := Memory{At: now, Rate: b.rate(), Limit: b.shared.limit}
	m.Classes, m.Backends = []ClassMemory{}, []TargetMemory{}
	for i, c := range b.cfg.Classes {
		l := b.classes[i]
		m.Classes = append(m.Classes, ClassMemory{c.Name, [5]float64{l.n, l.x, l.y, l.xx, l.xy}})
	}
	for _, t := range b.targets {
		if t.State != Gone {
			served := t.served.fade(now, servedOver*b.interval)
			m.Backends = append(m.Backends, TargetMemory{t.ID, t.Started, t.coldSince, t.healthy, served})
		}
	}
	return m
}
