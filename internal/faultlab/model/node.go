package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// Never is a time that does not come.
const Never = time.Duration(math.MaxInt64)

// Condition is what a node's process and machine do.
type Condition uint8

// The conditions.
const (
	Up       Condition = iota
	Draining           // finishes what it has, turns the rest away
	Down               // no process: connections are refused
	Fallen             // it started cold, was pushed over and stays down until its next start
)

func (c Condition) String() string { return [...]string{"up", "draining", "down", "fallen"}[c] }

// Kind says what a piece of work is.
type Kind uint8

// The kinds of work.
const (
	Request Kind = iota
	Probing
	Shaking // a handshake: work that nobody waits for
)

// Job is a piece of work at a node.
type Job struct {
	Kind    Kind
	Work    float64       // ms at speed 1
	Wait    time.Duration // on others, after the work
	Request uint64        // the judge's number of the request
	Proxy   int32
	Attempt int32
	Told    bool // the proxy had been told of the node's last start
	Class   int32
	Away    bool // from another zone
	Fails   bool // it ends in an error after it ran

	Began time.Duration // it had a slot from then on; 0 is not yet
	node  *Node
	until float64 // the node's service clock at which its work is done
	at    time.Duration
	state jobState
	place int // in the heap that holds it
}

type jobState uint8

const (
	queued jobState = iota
	serving
	waiting
	limbo // at a node that hangs
	over
)

// Node is a server. Only its Cell changes it.
type Node struct {
	ID     uint32
	Zone   int
	CellNo int
	Model  int
	Cores  int
	Speed  float64
	Weight float64 // as the register tells it

	Slots, Room, ConnCap  int
	Shake                 float64 // work of a handshake, ms
	accepts               float64 // connections a second that it lets in; 0 is no bound
	acceptAt              time.Duration
	Rtts                  float64
	crowd, crowdFrom, tax float64
	coldFrom              float64
	coldFor               time.Duration
	errorRate             float64

	Condition Condition
	Hangs     bool // takes requests and answers nothing
	ProbesOK  bool // while it hangs, probes pass
	Swallows  bool // what it took while it hung never runs
	Cut       bool // the network carries nothing to it or from it
	StartedAt time.Duration
	Life      uint32 // counts its starts
	Conns     int
	Served    uint64
	slowed    float64 // it alone is so many times slower; 0 is not

	clock   float64 // service that each job in work has had, ms of work
	clockAt time.Duration
	rate    float64 // of that clock, ms per ms
	jobs    jobHeap
	queue   []*Job
	limbo   []*Job
	waits   int
	window  []sentWork
	spent   float64 // work in the window, in requests of mean work
}

type sentWork struct {
	at    time.Duration
	work  float64 // in requests of mean work
	proxy int32
	told  bool
}

// acceptBurst is how many connections a node lets in at once before it keeps to its rate.
const acceptBurst = 4

// Accept takes a connection into the queue of those that the node lets in, and tells how long it waits there.
func (n *Node) Accept(now time.Duration) time.Duration {
	if n.accepts == 0 {
		return 0
	}
	each := time.Duration(float64(time.Second) / n.accepts)
	n.acceptAt = max(n.acceptAt, now-acceptBurst*each) + each
	return max(0, n.acceptAt-now)
}

// Held is how many requests have a slot at the node or wait for one.
func (n *Node) Held() int { return len(n.jobs) + n.waits + len(n.queue) + len(n.limbo) }

// Warmth is the share of its capacity that the node has by its age.
func (n *Node) Warmth(now time.Duration) float64 {
	if n.StartedAt <= 0 || now >= n.StartedAt+n.coldFor {
		return 1
	}
	return n.coldFrom + (1-n.coldFrom)*float64(now-n.StartedAt)/float64(n.coldFor)
}

// capacity is what the node could do now, ms of work per ms, alone in its cell.
func (n *Node) capacity(now time.Duration, slow float64) float64 {
	v := n.Speed * float64(n.Cores) * n.Warmth(now) / slow
	if n.slowed > 0 {
		v /= n.slowed
	}
	if over := float64(n.Held()) - n.crowdFrom; over > 0 {
		v /= 1 + n.crowd*over/n.crowdFrom
	}
	return v * (1 - n.tax*min(1, float64(n.Conns)/float64(max(1, n.ConnCap))))
}

// demand is what its jobs in work could use of it.
func (n *Node) demand(now time.Duration, slow float64) float64 {
	if len(n.jobs) == 0 {
		return 0
	}
	return n.capacity(now, slow) * min(1, float64(len(n.jobs))/float64(n.Cores))
}

// advance moves the service clock to now.
func (n *Node) advance(now time.Duration) {
	if now > n.clockAt {
		n.clock += n.rate * Millis(now-n.clockAt)
		n.clockAt = now
	}
}

// nextDone is when the first job's work is done at the present rate.
func (n *Node) nextDone() time.Duration {
	if len(n.jobs) == 0 || n.rate <= 0 {
		return Never
	}
	left := max(0, n.jobs[0].until-n.clock) / n.rate
	if left > 1e9 {
		return Never
	}
	return n.clockAt + time.Duration(math.Ceil(left*float64(time.Millisecond)))
}

// jobHeap orders jobs by the service at which they are done; Attempt and Request break ties.
type jobHeap []*Job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	if h[i].until != h[j].until {
		return h[i].until < h[j].until
	}
	if h[i].Request != h[j].Request {
		return h[i].Request < h[j].Request
	}
	return h[i].Attempt < h[j].Attempt
}
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].place, h[j].place = i, j }
func (h *jobHeap) Push(x any)   { j := x.(*Job); j.place = len(*h); *h = append(*h, j) }
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

// waitHeap orders jobs that wait on others by time.
type waitHeap []*Job

func (h waitHeap) Len() int { return len(h) }
func (h waitHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	if h[i].Request != h[j].Request {
		return h[i].Request < h[j].Request
	}
	return h[i].Attempt < h[j].Attempt
}
func (h waitHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].place, h[j].place = i, j }
func (h *waitHeap) Push(x any)   { j := x.(*Job); j.place = len(*h); *h = append(*h, j) }
func (h *waitHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

var _, _ heap.Interface = (*jobHeap)(nil), (*waitHeap)(nil)

// Fleet is all nodes of a world, by cell. Cells share nothing and may be driven apart from each other.
type Fleet struct {
	Cells []*Cell
	Nodes []*Node // by number; Node.ID is opaque
}

// Build draws the fleet of a spec.
func Build(s *Spec) *Fleet {
	rng := s.Stream(1)
	f := &Fleet{}
	mean := s.meanWork()
	used := map[uint32]bool{}
	for i := range s.Nodes {
		zone := i * len(s.Zones) / s.Nodes
		model := drawModel(s.Models, rng)
		m := s.Models[model]
		n := &Node{Zone: zone, Model: model, Cores: m.Cores, Speed: m.Speed.Draw(rng),
			Slots: int(m.Slots.Draw(rng)) * m.Cores, Room: int(m.Room.Draw(rng)) * m.Cores,
			ConnCap: int(s.Conns.Cap.Draw(rng)) * m.Cores, Shake: s.Conns.Handshake.Draw(rng), accepts: s.Conns.Accepts, Rtts: s.Conns.Rtts.Draw(rng),
			crowd: m.Crowd.Draw(rng), crowdFrom: m.CrowdFrom.Draw(rng), tax: s.Conns.FullTax.Draw(rng),
			coldFrom: s.Cold.From.Draw(rng), coldFor: s.Cold.For.DrawMs(rng), errorRate: m.ErrorRate.Draw(rng)}
		n.Weight = n.Speed * float64(n.Cores)
		for n.ID = rng.Uint32(); used[n.ID] || n.ID == 0; n.ID = rng.Uint32() {
		}
		used[n.ID] = true
		f.Nodes = append(f.Nodes, n)
	}
	for zone := range s.Zones { // a cell lies within a zone
		var members []*Node
		for _, n := range f.Nodes {
			if n.Zone == zone {
				members = append(members, n)
			}
		}
		for len(members) > 0 {
			size := min(len(members), max(1, int(s.Cells.Size.Draw(rng)+0.5)))
			c := &Cell{No: len(f.Cells), Nodes: members[:size], fall: s.Cold, mean: mean, slow: 1,
				rng: rand.New(rand.NewPCG(s.Seed^0xce11, uint64(len(f.Cells))))}
			for _, n := range c.Nodes {
				n.CellNo = c.No
			}
			if rng.Float64() < s.Cells.Limited {
				share := s.Cells.Limit.Draw(rng)
				for _, n := range c.Nodes {
					c.limit += share * n.Speed * float64(n.Cores)
				}
			}
			f.Cells = append(f.Cells, c)
			members = members[size:]
		}
	}
	return f
}

func drawModel(models []Model, rng *rand.Rand) int {
	x := rng.Float64()
	for i, m := range models {
		if x -= m.Share; x < 0 {
			return i
		}
	}
	return len(models) - 1
}
