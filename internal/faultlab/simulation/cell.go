package simulation

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/faultlab/model"
)

// cell drives one cell of nodes. In its half of a step it touches nothing of any other.
type cell struct {
	*model.Cell
	r       *Run
	rng     *rand.Rand
	inputs  []message
	entries []entry
	out     []posted
	jobs    map[*model.Job]message // those at nodes, with what they came by
}

// posted is an event on its way to a proxy.
type posted struct {
	to    *proxy
	event event
}

func newCell(r *Run, c *model.Cell) *cell {
	w := &cell{Cell: c, r: r, rng: rand.New(rand.NewPCG(r.spec.Seed^0xcab, uint64(c.No))), jobs: map[*model.Job]message{}}
	c.OnBegin = func(at time.Duration, n *model.Node, j *model.Job) {
		w.entries = append(w.entries, entry{kind: enBegan, at: at, account: j.Request, node: r.byID[decision.BackendID(n.ID)], attempt: int(j.Attempt)})
	}
	c.OnFall = func(f model.Fall) {
		w.entries = append(w.entries, entry{kind: enFell, at: f.At, node: r.byID[decision.BackendID(f.Node.ID)], fall: &f})
	}
	return w
}

// step serves up to the end of a tick.
func (c *cell) step(end time.Duration) {
	slices.SortStableFunc(c.inputs, func(a, b message) int {
		if d := cmp.Compare(a.at, b.at); d != 0 {
			return d
		}
		return cmp.Compare(a.rank(), b.rank())
	})
	n := 0
	for i := range c.inputs {
		m := &c.inputs[i]
		if m.at > end {
			break
		}
		n++
		c.finish(c.Advance(m.at))
		c.take(m)
	}
	c.inputs = slices.Delete(c.inputs, 0, n)
	c.finish(c.Advance(end))
}

// rank orders messages of the same time.
func (m *message) rank() uint64 {
	if m.proxy == nil {
		return 0
	}
	return uint64(m.proxy.no+1)<<48 | m.seq
}

func (c *cell) take(m *message) {
	if m.kind == msStep {
		if m.node < 0 {
			c.Apply(m.at, nil, m.step)
		} else {
			c.Apply(m.at, c.r.fleet.Nodes[m.node], m.step)
		}
		return
	}
	n := c.r.fleet.Nodes[m.node]
	switch m.kind {
	case msOffer:
		a := m.attempt
		if a.over { // given up on its way
			c.entries = append(c.entries, entry{kind: enProved, account: m.job.Request, attempt: a.no})
			return
		}
		if a.fresh && !n.Cut && (n.Condition == model.Up || n.Condition == model.Draining) {
			if !m.waited {
				m.waited = true
				if wait := n.Accept(m.at); wait > 0 {
					m.at += wait
					c.inputs = append(c.inputs, *m)
					return
				}
			}
			if n.Conns >= n.ConnCap {
				c.reply(m, m.at, model.Refused)
				return
			}
			n.Conns++
			a.reached = true
			c.Offer(m.at, n, &model.Job{Kind: model.Shaking, Work: n.Shake, Proxy: m.job.Proxy, Told: m.job.Told})
		} else if !a.fresh {
			a.reached = true
		}
		c.offer(m, n)
	case msProbe:
		c.offer(m, n)
	case msCancel:
		c.Cancel(m.at, m.job)
		delete(c.jobs, m.job)
		n.Conns = max(0, n.Conns-m.count)
	case msClose:
		n.Conns = max(0, n.Conns-m.count)
	}
}

func (c *cell) offer(m *message, n *model.Node) {
	switch answer := c.Offer(m.at, n, m.job); answer {
	case model.Taken:
		c.jobs[m.job] = *m
	case model.Silence:
	default:
		c.reply(m, m.at, answer)
	}
}

func (c *cell) finish(done []model.Done) {
	for _, d := range done {
		m, known := c.jobs[d.Job]
		if !known {
			continue
		}
		delete(c.jobs, d.Job)
		if d.Answer == model.OK && d.Job.Kind == model.Request {
			c.entries = append(c.entries, entry{kind: enMade, account: d.Job.Request, node: m.node, attempt: int(d.Job.Attempt)})
		}
		if d.Node.Cut || d.Answer == model.Silence {
			continue
		}
		c.reply(&m, d.At, d.Answer)
	}
}

// reply sends an answer back.
func (c *cell) reply(m *message, at time.Duration, answer model.Answer) {
	if m.kind == msOffer && (answer == model.TurnedAway || answer == model.Refused) {
		c.entries = append(c.entries, entry{kind: enProved, account: m.job.Request, attempt: m.attempt.no})
	}
	at += c.r.way(c.r.fleet.Nodes[m.node].Zone, m.proxy.zone, c.rng)
	e := event{kind: evAnswer, at: at, attempt: m.attempt, node: m.node, answer: answer}
	if m.kind == msProbe {
		e = event{kind: evProbe, at: at, node: m.node, answer: answer, probe: m.probe}
	}
	c.out = append(c.out, posted{m.proxy, e})
}
