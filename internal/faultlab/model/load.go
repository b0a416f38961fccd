package model

import (
	"math"
	"math/rand/v2"
	"time"
)

// Arrival is one try of a client.
type Arrival struct {
	At       time.Duration
	First    time.Duration // the arrival of the client's first try
	Origin   uint64        // the number of that
	Try      int
	Class    int
	Tenant   int
	Zone     int
	Work     float64       // ms at speed 1
	Wait     time.Duration // on others
	Deadline time.Duration // at which this try is given up
	GiveUp   time.Duration // at which the client is
	Worth    float64       // of the whole request, less beyond the tenant's share
	Over     bool          // beyond that share
	Leaves   time.Duration // an impatient client leaves then; 0 is not
}

// OverWorth is what a request beyond its tenant's share is worth, as a share of the usual.
const OverWorth = 0.1

// Generator draws first tries ahead, whatever becomes of them: an open loop.
type Generator struct {
	spec   *Spec
	rng    *rand.Rand
	at     time.Duration
	peak   float64
	pace   float64 // the share of first tries that comes
	origin uint64
	work   []float64 // mean, by class
	cv     []float64
	wait   []float64
	heavy  []struct{ size, share float64 }
	bucket []float64 // of each tenant: requests that it may send within its share
	filled []time.Duration
	usage  []float64
}

// NewGenerator makes the clients of a world.
func NewGenerator(s *Spec) *Generator {
	g := &Generator{spec: s, rng: s.Stream(4), peak: 1, pace: 1}
	draw := s.Stream(5)
	g.work, g.cv, g.wait = s.drawClasses(draw)
	g.heavy = make([]struct{ size, share float64 }, len(s.Classes))
	var sum float64
	for _, t := range s.Tenants {
		u := t.Share * t.Usage.Draw(draw)
		g.usage = append(g.usage, u)
		sum += u
	}
	for i := range g.usage {
		g.usage[i] /= sum
	}
	g.bucket, g.filled = make([]float64, len(s.Tenants)), make([]time.Duration, len(s.Tenants))
	for i, t := range s.Tenants {
		g.bucket[i] = t.Share * s.Load.Quota * s.Load.Rate
	}
	if len(s.Load.Curve) > 0 {
		g.peak = 0
		for _, p := range s.Load.Curve {
			g.peak = max(g.peak, p.Value)
		}
	}
	return g
}

// drawClasses draws what a world's classes are like.
func (s *Spec) drawClasses(draw *rand.Rand) (work, cv, wait []float64) {
	for _, c := range s.Classes {
		work = append(work, c.Work.Draw(draw))
		cv = append(cv, c.CV.Draw(draw))
		wait = append(wait, c.Wait.Draw(draw))
	}
	return work, cv, wait
}

// meanWork is the work of a mean request of the world, ms.
func (s *Spec) meanWork() float64 {
	work, _, _ := s.drawClasses(s.Stream(5))
	var sum, shares float64
	for i, c := range s.Classes {
		sum += c.Share * work[i]
		shares += c.Share
	}
	return sum / shares
}

// Factor is the load curve at a time.
func (l *Load) Factor(at time.Duration) float64 {
	c := l.Curve
	switch {
	case len(c) == 0:
		return 1
	case at <= c[0].At:
		return c[0].Value
	}
	for i := 1; i < len(c); i++ {
		if at < c[i].At {
			part := float64(at-c[i-1].At) / float64(c[i].At-c[i-1].At)
			return c[i-1].Value + part*(c[i].Value-c[i-1].Value)
		}
	}
	return c[len(c)-1].Value
}

// Heavy has a share of a class's requests cost size times their work from now on.
func (g *Generator) Heavy(class int, size, share float64) {
	g.heavy[class] = struct{ size, share float64 }{size, share}
}

// Pace has only a share of the first tries come from now on; 1 is all, as at the start.
func (g *Generator) Pace(share float64) { g.pace = share }

// Next gives the next first try; none after the spec's duration. The curve is followed by thinning a Poisson
// process at the peak rate (Lewis and Shedler, 1979).
func (g *Generator) Next() (Arrival, bool) {
	if g.peak <= 0 {
		return Arrival{}, false
	}
	for {
		g.at += time.Duration(g.rng.ExpFloat64() / (g.spec.Load.Rate * g.peak) * float64(time.Second))
		if g.at >= g.spec.Duration {
			return Arrival{}, false
		}
		if g.rng.Float64()*g.peak < g.pace*g.spec.Load.Factor(g.at) {
			return g.draw(), true
		}
	}
}

func (g *Generator) draw() Arrival {
	s := g.spec
	g.origin++
	a := Arrival{At: g.at, First: g.at, Origin: g.origin, Class: pick(g.rng, len(s.Classes), func(i int) float64 { return s.Classes[i].Share }),
		Tenant: -1}
	if len(s.Tenants) > 0 {
		a.Tenant = pick(g.rng, len(s.Tenants), func(i int) float64 { return g.usage[i] })
	}
	if n := len(s.Zones); n > 1 {
		first := (1 + s.Load.Skew) / float64(n)
		if g.rng.Float64() >= first {
			a.Zone = 1 + g.rng.IntN(n-1)
		}
	}
	c := &s.Classes[a.Class]
	// Log-normal with the class's mean and coefficient of variation.
	sigma := math.Sqrt(math.Log(1 + g.cv[a.Class]*g.cv[a.Class]))
	a.Work = g.work[a.Class] * math.Exp(sigma*g.rng.NormFloat64()-sigma*sigma/2)
	if h := g.heavy[a.Class]; h.share > 0 && g.rng.Float64() < h.share {
		a.Work *= h.size
	}
	a.Wait = Ms(g.wait[a.Class] * (0.5 + g.rng.Float64()))
	a.GiveUp = a.At + c.GiveUp
	a.Deadline = a.At + s.patience(c, g.rng)
	if s.Clients.Impatient > 0 && g.rng.Float64() < s.Clients.Impatient {
		a.Leaves = a.At + time.Duration((0.3+0.6*g.rng.Float64())*float64(a.Deadline-a.At))
	}
	a.Worth = c.Worth
	if i := a.Tenant; i >= 0 && s.Load.Quota > 0 {
		quota := s.Tenants[i].Share * s.Load.Quota * s.Load.Rate
		g.bucket[i] = min(quota, g.bucket[i]+quota*(a.At-g.filled[i]).Seconds())
		g.filled[i] = a.At
		if g.bucket[i] >= 1 {
			g.bucket[i]--
		} else {
			a.Over = true
			a.Worth *= OverWorth
		}
	}
	return a
}

func pick(rng *rand.Rand, n int, share func(int) float64) int {
	var sum float64
	for i := range n {
		sum += share(i)
	}
	x := rng.Float64() * sum
	for i := range n {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// End is how a try ended for its client.
type End uint8

// The ends.
const (
	Served   End = iota
	Rejected     // 429 or 503: trying again is harmless
	Errored      // any other answer, or a connection that broke
	TimedOut     // the client's patience with this try was over
	Departed     // the client left
)

// Retry tells whether and how a client tries again. What was rejected is tried again whatever it is; what failed
// or timed out only if it is safe, for a client knows its class too.
func (s *Spec) Retry(now time.Duration, a Arrival, end End, retryAfter time.Duration, rng *rand.Rand) (Arrival, bool) {
	c := &s.Classes[a.Class]
	if end == Served || end == Departed || end != Rejected && !c.Safe || a.Try >= s.Clients.Retries {
		return Arrival{}, false
	}
	wait := Ms(s.Clients.Backoff.Draw(rng) * float64(int(1)<<a.Try))
	if retryAfter > wait && rng.Float64() < s.Clients.Honour {
		wait = retryAfter
	}
	a.Try++
	a.At, a.Leaves = now+wait, 0
	if a.At >= a.GiveUp-20*time.Millisecond {
		return Arrival{}, false
	}
	a.Deadline = min(a.GiveUp, a.At+s.patience(c, rng))
	return a, true
}

// patience is how long a client waits for one try, in whole milliseconds as the protocol's header tells it.
func (s *Spec) patience(c *Class, rng *rand.Rand) time.Duration {
	return time.Duration(s.Clients.TryShare.Draw(rng) * float64(c.GiveUp)).Truncate(time.Millisecond)
}

// Queue is arrivals by time, for container/heap; the origin breaks ties.
type Queue []Arrival

func (q Queue) Len() int { return len(q) }
func (q Queue) Less(i, j int) bool {
	if q[i].At != q[j].At {
		return q[i].At < q[j].At
	}
	return q[i].Origin < q[j].Origin
}
func (q Queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *Queue) Push(x any)   { *q = append(*q, x.(Arrival)) }
func (q *Queue) Pop() any {
	old := *q
	a := old[len(old)-1]
	*q = old[:len(old)-1]
	return a
}
