package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Answer is what comes of an offered job, now or later.
type Answer uint8

// The answers.
const (
	Taken      Answer = iota // it has begun, waits for a slot, or is in the hands of a node that hangs
	OK                       // it is done
	Failed                   // it ran and ended in an error
	TurnedAway               // queue full or draining: it never ran
	Refused                  // no process there: it never ran
	Broken                   // its connection broke while it was out
	Silence                  // nothing comes back
)

// Done is a job that has ended.
type Done struct {
	At     time.Duration
	Node   *Node
	Job    *Job
	Answer Answer
}

// Fall is a cold node that was pushed over, with the work that each proxy sent it in the window before. All are in requests of
// mean work.
type Fall struct {
	At, Started time.Duration
	Node        *Node
	Sent        float64
	Allowed     float64 // N, by the settings
	Bears       float64 // N and what chance may add to it: see Bears
	ByProxy     map[int32]float64
	Told        float64 // that came from proxies which had been told of its start
}

// Cell is nodes that share a bottleneck. One goroutine at a time may use it.
type Cell struct {
	No    int
	Nodes []*Node

	// OnBegin is told of each request that gets a slot, which is when it runs. It may be nil.
	OnBegin func(at time.Duration, n *Node, j *Job)
	// OnFall is told of each node that falls over. It may be nil.
	OnFall func(Fall)

	limit float64 // of all nodes together, ms of work per ms; 0 is none
	slow  float64 // times slower than usual
	fall  Cold
	mean  float64 // work of a request, ms
	rng   *rand.Rand
	waits waitHeap
	check time.Duration // when rates change by themselves
	done  []Done
}

// Limited tells whether the nodes share a bottleneck.
func (c *Cell) Limited() bool { return c.limit > 0 }

// coldStep is how often the rate of a cold node is set anew.
const coldStep = 50 * time.Millisecond

// rerate brings the service clocks to now and sets their rates for what is in hand.
func (c *Cell) rerate(now time.Duration) {
	var want float64
	cold := false
	for _, n := range c.Nodes {
		n.advance(now)
		want += n.demand(now, c.slow)
		cold = cold || n.Warmth(now) < 1
	}
	part := 1.0
	if c.limit > 0 && want > c.limit/c.slow {
		part = c.limit / c.slow / want
	}
	for _, n := range c.Nodes {
		n.rate = 0
		if len(n.jobs) > 0 && !n.Hangs {
			n.rate = part * n.demand(now, c.slow) / float64(len(n.jobs))
		}
	}
	if cold && (c.check <= now || c.check == Never) {
		c.check = now + coldStep
	} else if !cold {
		c.check = Never
	}
}

// Next is when something happens in the cell by itself.
func (c *Cell) Next() time.Duration {
	at := Never
	if c.check > 0 {
		at = c.check
	}
	if len(c.waits) > 0 {
		at = min(at, c.waits[0].at)
	}
	for _, n := range c.Nodes {
		at = min(at, n.nextDone())
	}
	return at
}

// Advance plays the cell up to and including to, and gives what has ended since the last call, in order. The
// slice holds until the next call.
func (c *Cell) Advance(to time.Duration) []Done {
	for {
		at := c.Next()
		if at > to {
			break
		}
		c.rerate(at)
		for len(c.waits) > 0 && c.waits[0].at <= at {
			j := heap.Pop(&c.waits).(*Job)
			if j.node.Hangs && !(j.Kind == Probing && j.node.ProbesOK) { // nothing leaves a node that hangs
				j.state = limbo
				j.node.waits--
				j.node.limbo = append(j.node.limbo, j)
				continue
			}
			j.node.waits--
			c.end(at, j)
		}
		for _, n := range c.Nodes {
			for len(n.jobs) > 0 && n.rate > 0 && n.jobs[0].until <= n.clock+1e-9 {
				j := heap.Pop(&n.jobs).(*Job)
				if j.Wait > 0 {
					j.state, j.at = waiting, at+j.Wait
					n.waits++
					heap.Push(&c.waits, j)
				} else {
					c.end(at, j)
				}
			}
		}
		c.rerate(at)
	}
	done := c.done
	c.done = c.done[:0]
	return done
}

// end gives a served job back and its slot on.
func (c *Cell) end(at time.Duration, j *Job) {
	j.state = over
	n := j.node
	if j.Kind != Shaking {
		answer := OK
		if j.Fails {
			answer = Failed
		}
		if j.Kind == Request {
			n.Served++
		}
		c.done = append(c.done, Done{at, n, j, answer})
	}
	c.pull(at, n)
}

// pull gives free slots to those that wait for one.
func (c *Cell) pull(at time.Duration, n *Node) {
	for len(n.queue) > 0 && len(n.jobs)+n.waits < n.Slots {
		j := n.queue[0]
		n.queue = n.queue[1:]
		c.begin(at, n, j)
	}
}

func (c *Cell) begin(at time.Duration, n *Node, j *Job) {
	j.state, j.Began = serving, at
	j.until = n.clock + j.Work
	heap.Push(&n.jobs, j)
	if j.Kind == Request {
		if c.OnBegin != nil {
			c.OnBegin(at, n, j)
		}
		if n.errorRate > 0 && c.rng.Float64() < n.errorRate {
			j.Fails = true
		}
	}
}

// Offer brings a job to a node. Where the answer is Taken, the job comes back by Advance or Break; any other
// answer is final. The cell must have been advanced to now.
func (c *Cell) Offer(now time.Duration, n *Node, j *Job) Answer {
	j.node = n
	switch {
	case n.Cut:
		return Silence
	case n.Condition == Down || n.Condition == Fallen:
		return Refused
	}
	c.rerate(now)
	defer c.rerate(now)
	if j.Kind == Request && c.fall.Warmth(now, n.StartedAt) < 1 {
		c.charge(now, n, j)
		if n.Condition == Fallen {
			return Broken
		}
	}
	switch {
	case j.Kind == Shaking:
		j.state, j.until = serving, n.clock+j.Work
		heap.Push(&n.jobs, j)
		return Taken
	case n.Condition == Draining:
		return TurnedAway
	case n.Hangs && !(j.Kind == Probing && n.ProbesOK):
		j.state = limbo
		n.limbo = append(n.limbo, j)
		return Taken
	case n.Hangs: // a probe answered beside the queue
		j.state, j.at = waiting, now+Ms(j.Work)
		n.waits++
		heap.Push(&c.waits, j)
		return Taken
	case len(n.jobs)+n.waits < n.Slots:
		c.begin(now, n, j)
	case len(n.queue) < n.Room:
		j.state = queued
		n.queue = append(n.queue, j)
	default:
		return TurnedAway
	}
	return Taken
}

// Bears is how many requests of mean work a cold node takes in a window where the settings allow it n: two standard deviations
// of a Poisson count more, and two.
func Bears(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// Warmth is the share of its capacity that the settings give a node by its age: what a proxy is told, and so the least that any
// node has.
func (c *Cold) Warmth(now, started time.Duration) float64 {
	long := Ms(c.For.Hi)
	if started <= 0 || now >= started+long {
		return 1
	}
	return c.From.Lo + (1-c.From.Lo)*float64(now-started)/float64(long)
}

// charge books work that comes to a cold node, and pushes it over where it is more than it bears.
func (c *Cell) charge(now time.Duration, n *Node, j *Job) {
	for len(n.window) > 0 && n.window[0].at < now-c.fall.Fall {
		n.spent -= n.window[0].work
		n.window = n.window[1:]
	}
	n.window = append(n.window, sentWork{now, j.Work / c.mean, j.Proxy, j.Told})
	n.spent += j.Work / c.mean
	allowed := c.fall.Multiple * n.Speed * float64(n.Cores) * c.fall.Warmth(now, n.StartedAt) * Millis(c.fall.Fall) / c.mean
	if n.spent <= Bears(allowed) {
		return
	}
	f := Fall{At: now, Started: n.StartedAt, Node: n, Sent: n.spent, Allowed: allowed, Bears: Bears(allowed), ByProxy: map[int32]float64{}}
	for _, w := range n.window {
		f.ByProxy[w.proxy] += w.work
		if w.told {
			f.Told += w.work
		}
	}
	n.Condition = Fallen
	c.break_(now, n)
	if c.OnFall != nil {
		c.OnFall(f)
	}
}

// Cancel takes a job back whose proxy has given it up.
func (c *Cell) Cancel(now time.Duration, j *Job) {
	n := j.node
	if n == nil || n.Cut {
		return
	}
	c.rerate(now)
	switch j.state {
	case queued:
		n.queue = slices.DeleteFunc(n.queue, func(o *Job) bool { return o == j })
	case limbo:
		n.limbo = slices.DeleteFunc(n.limbo, func(o *Job) bool { return o == j })
	case serving:
		heap.Remove(&n.jobs, j.place)
	case waiting:
		heap.Remove(&c.waits, j.place)
		n.waits--
	}
	j.state = over
	c.pull(now, n)
	c.rerate(now)
}

// break_ ends all that a node has in hand: its process died.
func (c *Cell) break_(now time.Duration, n *Node) {
	lost := slices.Concat(n.limbo, n.queue, []*Job(n.jobs))
	for _, j := range c.waits {
		if j.node == n {
			lost = append(lost, j)
		}
	}
	c.waits = slices.DeleteFunc(c.waits, func(j *Job) bool { return j.node == n })
	for i, j := range c.waits {
		j.place = i
	}
	heap.Init(&c.waits)
	n.limbo, n.queue, n.jobs, n.waits, n.Conns = nil, nil, nil, 0, 0
	n.window, n.spent = nil, 0
	for _, j := range lost {
		j.state = over
		if j.Kind != Shaking {
			answer := Broken
			if n.Cut {
				answer = Silence
			}
			c.done = append(c.done, Done{now, n, j, answer})
		}
	}
}

// Apply carries out one step of a fault's time line.
func (c *Cell) Apply(now time.Duration, n *Node, s Step) {
	c.rerate(now)
	switch s.Op {
	case OpHang:
		n.Hangs, n.ProbesOK, n.Swallows = true, s.Flag, s.Size > 0
	case OpUnhang:
		n.Hangs = false
		held := n.limbo
		n.limbo = nil
		for _, j := range held {
			switch {
			case n.Swallows:
				j.state = over
			case j.Began > 0: // it had run; its answer leaves now
				c.end(now, j)
			case len(n.jobs)+n.waits < n.Slots:
				c.begin(now, n, j)
			default:
				j.state = queued
				n.queue = append(n.queue, j)
			}
		}
	case OpSlow:
		if n != nil {
			n.slowed = s.Size
		} else {
			c.slow = s.Size
		}
	case OpCut:
		n.Cut = true
	case OpUncut:
		n.Cut = false
	case OpDrain:
		if n.Condition == Up {
			n.Condition = Draining
		}
	case OpKill:
		n.Condition = Down
		n.Hangs = false
		c.break_(now, n)
	case OpStart:
		if n.Condition != Up {
			n.Condition = Up
			n.Hangs = false
			n.StartedAt, n.Life = max(now, 1), n.Life+1
			n.clock, n.clockAt = 0, now
		}
	}
	c.rerate(now)
}

// Rewind sets the cell's clock back to the start of a run: what it has in hand goes on from there.
func (c *Cell) Rewind() {
	for _, n := range c.Nodes {
		n.clockAt = 0
	}
	for _, j := range c.waits {
		j.at = 0
	}
	c.check = 0
}
