package model

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// oneNode is a cell of one plain node: one core of speed 1, two slots, one place to wait.
func oneNode() (*Cell, *Node) {
	n := &Node{ID: 1, Cores: 1, Speed: 1, Slots: 2, Room: 1, ConnCap: 100, crowd: 0.1, crowdFrom: 1000, coldFrom: 0.5, coldFor: time.Second}
	return &Cell{Nodes: []*Node{n}, slow: 1, mean: 10, fall: Cold{From: Range{0.5, 1}, For: Range{1, 10_000}, Fall: time.Second, Multiple: 3}, rng: rand.New(rand.NewPCG(1, 1))}, n
}

func job(id uint64, work float64, wait time.Duration) *Job {
	return &Job{Request: id, Work: work, Wait: wait}
}

// ends plays a cell and gives when each request has ended, and how.
func ends(c *Cell, to time.Duration) map[uint64]Done {
	out := map[uint64]Done{}
	for _, d := range c.Advance(to) {
		out[d.Job.Request] = d
	}
	return out
}

func wantEnd(t *testing.T, got map[uint64]Done, id uint64, at time.Duration, a Answer) {
	t.Helper()
	d, ok := got[id]
	if !ok || d.Answer != a || d.At-at > 10*time.Microsecond || at-d.At > 10*time.Microsecond {
		t.Errorf("request %d ended %v at %v, %v; want %v at %v", id, ok, d.At, d.Answer, a, at)
	}
}

func TestProcessorSharing(t *testing.T) {
	c, n := oneNode()
	c.Offer(0, n, job(1, 10, 0))
	c.Advance(5 * ms)
	c.Offer(5*ms, n, job(2, 10, 0)) // from here on each gets half a core
	got := ends(c, time.Second)
	wantEnd(t, got, 1, 15*ms, OK)
	wantEnd(t, got, 2, 20*ms, OK)
}

func TestWaitsOnOthersHoldASlotButNoCore(t *testing.T) {
	c, n := oneNode()
	c.Offer(0, n, job(1, 10, 50*ms))
	c.Offer(0, n, job(2, 10, 0))
	if got := c.Offer(0, n, job(3, 10, 0)); got != Taken { // waits for a slot
		t.Fatalf("third: %v", got)
	}
	if got := c.Offer(0, n, job(4, 10, 0)); got != TurnedAway {
		t.Fatalf("fourth: %v", got)
	}
	got := ends(c, time.Second)
	wantEnd(t, got, 2, 20*ms, OK)
	wantEnd(t, got, 3, 30*ms, OK) // alone on the core while the first waits
	wantEnd(t, got, 1, 70*ms, OK)
}

func TestSlownessBottleneckAndColdness(t *testing.T) {
	for _, k := range []struct {
		name  string
		setup func(*Cell, *Node)
		want  time.Duration
	}{
		{"twice as slow", func(c *Cell, n *Node) { c.Apply(0, nil, Step{Op: OpSlow, Size: 2}) }, 20 * ms},
		{"half the capacity together", func(c *Cell, n *Node) { c.limit = 0.5 }, 20 * ms},
		{"a full connection table", func(c *Cell, n *Node) { n.tax, n.Conns = 0.2, 100 }, 12500 * time.Microsecond},
		{"crowded", func(c *Cell, n *Node) { n.crowdFrom, n.crowd = 0.5, 1 }, 20 * ms},
	} {
		t.Run(k.name, func(t *testing.T) {
			c, n := oneNode()
			k.setup(c, n)
			c.Offer(0, n, job(1, 10, 0))
			wantEnd(t, ends(c, time.Second), 1, k.want, OK)
		})
	}
	c, n := oneNode()
	c.Apply(0, n, Step{Op: OpKill})
	c.Apply(ms, n, Step{Op: OpStart})
	c.Offer(ms, n, job(1, 100, 0))
	d := ends(c, time.Second)[1]
	if d.At < 160*ms || d.At > 195*ms { // between half and some 60 % of its capacity
		t.Errorf("on a cold node 100 ms of work ended at %v", d.At)
	}
}

func TestCancelFreesTheSlot(t *testing.T) {
	c, n := oneNode()
	first, second, third := job(1, 10, 0), job(2, 10, 0), job(3, 10, 0)
	for _, j := range []*Job{first, second, third} {
		c.Offer(0, n, j)
	}
	c.Cancel(0, first)
	c.Cancel(0, third) // before it had a slot
	got := ends(c, time.Second)
	if len(got) != 1 {
		t.Errorf("ended: %v", got)
	}
	wantEnd(t, got, 2, 10*ms, OK)
	c.Cancel(time.Second, second) // over: nothing happens
	if third.Began != 0 && n.Held() != 0 {
		t.Error("a cancelled job is still held")
	}
}

func TestANodeThatHangs(t *testing.T) {
	for _, k := range []struct {
		name    string
		swallow float64
		runs    int
	}{{"runs late", 0, 2}, {"never runs", 1, 1}} {
		t.Run(k.name, func(t *testing.T) {
			c, n := oneNode()
			runs := 0
			c.OnBegin = func(time.Duration, *Node, *Job) { runs++ }
			c.Offer(0, n, job(1, 10, 0))
			c.Advance(5 * ms)
			c.Apply(5*ms, n, Step{Op: OpHang, Size: k.swallow, Flag: true})
			if got := c.Offer(6*ms, n, job(2, 10, 0)); got != Taken {
				t.Fatalf("a node that hangs answers %v", got)
			}
			probe := &Job{Kind: Probing, Work: 1, Request: 99}
			c.Offer(6*ms, n, probe)
			got := ends(c, 500*ms)
			if len(got) != 1 {
				t.Errorf("while it hangs, ended: %v", got)
			}
			wantEnd(t, got, 99, 7*ms, OK)
			c.Apply(500*ms, n, Step{Op: OpUnhang})
			got = ends(c, time.Second)
			if d, ok := got[1]; !ok || d.At < 500*ms {
				t.Errorf("what had begun: %v, %v", d, ok)
			}
			if runs != k.runs {
				t.Errorf("%d ran, want %d", runs, k.runs)
			}
		})
	}
}

func TestDeathAndSilence(t *testing.T) {
	c, n := oneNode()
	for id := range uint64(3) {
		c.Offer(0, n, job(id+1, 10, 50*ms))
	}
	c.Advance(30 * ms) // one waits on others, one works, one waits for a slot
	c.Apply(30*ms, n, Step{Op: OpKill})
	got := ends(c, 40*ms)
	for id := range uint64(3) {
		wantEnd(t, got, id+1, 30*ms, Broken)
	}
	if a := c.Offer(40*ms, n, job(9, 1, 0)); a != Refused {
		t.Errorf("a dead node answers %v", a)
	}
	c.Apply(41*ms, n, Step{Op: OpStart})
	c.Apply(42*ms, n, Step{Op: OpCut})
	if a := c.Offer(43*ms, n, job(10, 1, 0)); a != Silence {
		t.Errorf("a node that is cut off answers %v", a)
	}
	c.Apply(44*ms, n, Step{Op: OpUncut})
	c.Apply(44*ms, n, Step{Op: OpDrain})
	if a := c.Offer(45*ms, n, job(11, 1, 0)); a != TurnedAway {
		t.Errorf("a draining node answers %v", a)
	}
}

// A cold node bears three times what it can do in a second, and falls over beyond.
func TestAColdNodeFallsOver(t *testing.T) {
	// It may have 150 requests of 10 ms in its first second, and bears 150 + 2 x 12.2 + 2 = 176.5; its warmth adds 9 in a second.
	for _, k := range []struct {
		name  string
		work  float64 // ms, every 10 ms for a second
		falls bool
	}{{"within the budget", 14, false}, {"within what chance adds", 17, false}, {"beyond that", 19.5, true}} {
		t.Run(k.name, func(t *testing.T) {
			c, n := oneNode()
			n.Slots, n.coldFor = 1000, 10*time.Second
			var fall *Fall
			c.OnFall = func(f Fall) { fall = &f }
			c.Apply(0, n, Step{Op: OpKill})
			c.Apply(ms, n, Step{Op: OpStart})
			last := Taken
			for at := 2 * ms; at < time.Second; at += 10 * ms {
				c.Advance(at)
				last = c.Offer(at, n, &Job{Request: uint64(at), Work: k.work, Proxy: 4, Told: true})
			}
			if (fall != nil) != k.falls {
				t.Fatalf("fell: %v, want %v", fall, k.falls)
			}
			if k.falls && (last != Refused || fall.ByProxy[4] != fall.Sent || fall.Told != fall.Sent || n.Condition != Fallen) {
				t.Errorf("after it: %v, %+v", last, fall)
			}
		})
	}
}

func TestRegistry(t *testing.T) {
	s := Default()
	s.Proxies = 2
	r := NewRegistry(&s)
	r.Change(0, 3, Leaving, 0, false)
	r.Change(time.Second, 3, Left, 0, false)
	var seen []Listing
	for at := time.Duration(0); at < 10*time.Second; at += 10 * ms {
		for _, n := range r.Due(at) {
			if n.Proxy == 0 {
				seen = append(seen, n.Listing)
			}
		}
	}
	if len(seen) != 2 || seen[0] != Leaving || seen[1] != Left {
		t.Errorf("told %v", seen)
	}
	// A death that a start follows at once is never told; stale news comes once the register speaks again.
	r.Change(11*time.Second, 3, Left, 0, false)
	r.Change(11*time.Second+700*ms, 3, Active, 11*time.Second+700*ms, false)
	r.Stale(11*time.Second, true)
	if got := r.Due(30 * time.Second); len(got) != 0 {
		t.Errorf("a stale register tells %v", got)
	}
	r.Stale(30*time.Second, false)
	for _, n := range r.Due(30 * time.Second) {
		if n.Listing != Active || n.Started == 0 {
			t.Errorf("told %+v", n)
		}
	}
}
