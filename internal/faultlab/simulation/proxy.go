package simulation

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/faultlab/baseline"
	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/model"
)

// proxy is one proxy: its policy, its requests and its connections. In its half of a step it touches nothing of
// any other, and of nodes only what does not change in that half.
type proxy struct {
	no      int
	zone    int
	r       *Run
	policy  baseline.Policy
	rng     *rand.Rand
	now     time.Duration
	dead    bool
	stopped bool
	ending  *ending // it was sent SIGTERM; else nil

	requests map[decision.RequestID]*request
	lastID   decision.RequestID
	due      dueHeap
	seq      uint64
	inbox    []event
	spare    []event // the last step's inbox, whose room is used again
	conns    []conns

	out     []message // to cells
	entries []entry   // for the ledger
	retries []model.Arrival
	probes  int
}

// conns is a proxy's connections to one node.
type conns struct {
	idle int
	life uint32
}

type request struct {
	id       decision.RequestID
	account  uint64
	arrival  model.Arrival
	attempts []*attempt
	closed   bool
	expired  bool // nothing came in time; what comes yet is written down as late
	out      int
}

// owed tells whether a final answer may still be given.
func (q *request) owed() bool { return q != nil && (!q.closed || q.expired) }

type attempt struct {
	req     *request
	no      int
	node    int
	job     *model.Job
	sent    time.Duration
	fresh   bool // over a new connection
	reached bool // the node has taken the connection. Written by the cell's half
	over    bool
}

// event is something that comes to a proxy.
type event struct {
	kind    eventKind
	at      time.Duration
	arrival model.Arrival
	account uint64
	attempt *attempt
	node    int
	answer  model.Answer
	list    decision.EndpointUpdate
	probe   *probe
}

type eventKind uint8

const (
	evArrival eventKind = iota
	evAnswer
	evProbe
	evList
)

// due is something that a proxy has set itself a time for.
type due struct {
	at    time.Duration
	seq   uint64
	kind  dueKind
	token uint64
	req   *request
	try   *attempt
	probe *probe
}

type dueKind uint8

const (
	dueTimer dueKind = iota
	dueUntil
	dueConnect
	dueExpire
	dueLeave
	dueCancelled
	dueProbe
	dueForget
)

// lateFor is how long an answer after the deadline is still waited for, to be written down.
const lateFor = time.Second

type probe struct {
	node int
	job  *model.Job
	sent time.Duration
	over bool
}

type dueHeap []due

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(due)) }
func (h *dueHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = due{}
	*h = old[:len(old)-1]
	return d
}

func (p *proxy) plan(d due) {
	p.seq++
	d.seq = p.seq
	heap.Push(&p.due, d)
}

// message goes from a proxy to a cell.
type message struct {
	at      time.Duration
	proxy   *proxy
	seq     uint64
	kind    messageKind
	node    int
	attempt *attempt
	job     *model.Job
	probe   *probe
	count   int
	step    model.Step
	waited  bool // in the node's queue for connections
}

type messageKind uint8

const (
	msOffer messageKind = iota
	msCancel
	msProbe
	msClose
	msStep
)

func (p *proxy) say(m message) {
	p.seq++
	m.proxy, m.seq = p, p.seq
	p.out = append(p.out, m)
}

// entry is a line for the ledger, written down where it happens and entered in order.
type entry struct {
	kind          entryKind
	at            time.Duration
	account       uint64
	node, attempt int
	end           model.End
	genuine       bool
	work          float64
	fall          *model.Fall
}

type entryKind uint8

const (
	enSent entryKind = iota
	enProved
	enBegan
	enMade
	enAnswered
	enDeparted
	enCrossed
	enWasted
	enFell
	enOpened
	enUnanswered
)

// active tells whether a step has anything to do for the proxy.
func (p *proxy) active(now time.Duration) bool {
	return len(p.inbox) > 0 || len(p.due) > 0 && p.due[0].at <= now
}

// step takes in all that has come by now.
func (p *proxy) step(now time.Duration) {
	p.now = now
	inbox := p.inbox
	p.inbox = p.spare[:0]
	for i := range inbox { // what is still on its way waits for its step
		if e := &inbox[i]; e.at > now {
			p.inbox = append(p.inbox, *e)
		} else {
			p.take(e)
		}
	}
	p.spare = inbox
	for len(p.due) > 0 && p.due[0].at <= now {
		p.elapse(heap.Pop(&p.due).(due))
	}
}

func (p *proxy) take(e *event) {
	switch e.kind {
	case evList:
		p.policy.UpdateEndpoints(p.now, e.list)
	case evArrival:
		if p.ending != nil && p.ending.deaf && e.at >= p.ending.since {
			return // the judge sees that nothing comes
		}
		p.lastID++
		q := &request{id: p.lastID, account: e.account, arrival: e.arrival}
		p.requests[q.id] = q
		p.plan(due{at: e.arrival.Deadline + checker.DefaultSlack, kind: dueExpire, req: q})
		if e.arrival.Leaves > 0 {
			p.plan(due{at: e.arrival.Leaves, kind: dueLeave, req: q})
		}
		p.policy.Request(p.now, decision.Request{ID: q.id, Class: e.arrival.Class, Tenant: e.arrival.Tenant,
			Deadline: e.arrival.Deadline, MarkedRetry: e.arrival.Try > 0})
	case evProbe:
		p.probed(e.probe, e.answer)
	case evAnswer:
		p.answer(e.attempt, e.answer)
	}
}

// answer takes what a node has answered to an attempt.
func (p *proxy) answer(a *attempt, answer model.Answer) {
	if a.over {
		if answer == model.OK {
			p.entries = append(p.entries, entry{kind: enWasted, work: a.job.Work})
		}
		return
	}
	var result decision.Result
	switch answer {
	case model.OK:
		result = decision.OK
	case model.Failed:
		result = decision.Error
	case model.TurnedAway:
		result = decision.Rejected
	case model.Refused:
		result = decision.ConnectFailed
	default:
		result = decision.Reset
	}
	if answer == model.OK || answer == model.Failed || answer == model.TurnedAway {
		p.giveBack(a.node)
	}
	p.land(a, result)
}

// probed takes what has come of a probe.
func (p *proxy) probed(pr *probe, answer model.Answer) {
	if pr.over {
		return
	}
	pr.over = true
	result := decision.OK
	switch answer {
	case model.OK:
	case model.TurnedAway:
		result = decision.Rejected
	case model.Refused:
		result = decision.ConnectFailed
	default:
		result = decision.Reset
	}
	p.policy.HealthChecked(p.now, decision.HealthCheckResult{Backend: p.r.backend(pr.node), Result: result, Latency: p.now - pr.sent})
}

// giveBack keeps a connection for the next attempt.
func (p *proxy) giveBack(node int) {
	c := &p.conns[node]
	if life := p.r.fleet.Nodes[node].Life; c.life != life {
		c.idle, c.life = 0, life
	}
	c.idle++
}

// land ends an attempt and tells the policy.
func (p *proxy) land(a *attempt, result decision.Result) {
	a.over = true
	q := a.req
	q.out--
	if result == decision.OK && !q.closed {
		p.close(q, model.Served, true, 0)
	} else if result == decision.OK {
		p.entries = append(p.entries, entry{kind: enWasted, work: a.job.Work})
	}
	final := q.closed
	if q.closed && !q.expired && q.out == 0 {
		delete(p.requests, q.id)
	}
	p.policy.Outcome(p.now, decision.Outcome{ID: q.id, Attempt: a.no, Backend: decision.BackendID(p.r.fleet.Nodes[a.node].ID), Result: result,
		Latency: p.now - a.sent, Final: final})
}

// close enters a request's end.
func (p *proxy) close(q *request, end model.End, genuine bool, retryAfter time.Duration) {
	client := !q.expired
	q.closed, q.expired = true, false
	p.entries = append(p.entries, entry{kind: enAnswered, at: p.now, account: q.account, end: end, genuine: genuine})
	if client {
		p.again(q, end, retryAfter)
	}
	if q.out == 0 {
		delete(p.requests, q.id)
	}
}

// again lets the client try once more.
func (p *proxy) again(q *request, end model.End, retryAfter time.Duration) {
	if a, ok := p.r.spec.Retry(p.now, q.arrival, end, retryAfter, p.rng); ok {
		p.retries = append(p.retries, a)
	}
}

func (p *proxy) elapse(d due) {
	switch d.kind {
	case dueTimer:
		p.policy.Timer(p.now, d.token)
	case dueUntil:
		if !d.try.over {
			p.drop(d.try)
			p.land(d.try, decision.Timeout)
		}
	case dueConnect:
		if !d.try.over && !d.try.reached {
			p.drop(d.try)
			p.entries = append(p.entries, entry{kind: enProved, account: d.try.req.account, attempt: d.try.no})
			p.land(d.try, decision.ConnectFailed)
		}
	case dueCancelled:
		if !d.try.over {
			p.land(d.try, decision.Cancelled)
		}
	case dueExpire:
		if q := d.req; !q.closed {
			q.closed, q.expired = true, true // the ledger sees by itself that nothing has come
			p.plan(due{at: p.now + lateFor, kind: dueForget, req: q})
			p.policy.ClientGone(p.now, q.id)
			p.again(q, model.TimedOut, 0)
		}
	case dueLeave:
		if q := d.req; !q.closed {
			q.closed = true
			p.entries = append(p.entries, entry{kind: enDeparted, account: q.account})
			p.policy.ClientGone(p.now, q.id)
			if q.out == 0 {
				delete(p.requests, q.id)
			}
		}
	case dueForget:
		if q := d.req; q.expired {
			q.expired = false
			if q.out == 0 {
				delete(p.requests, q.id)
			}
		}
	case dueProbe:
		if !d.probe.over {
			d.probe.over = true
			p.say(message{at: p.now + p.way(d.probe.node), kind: msCancel, node: d.probe.node, job: d.probe.job})
			p.policy.HealthChecked(p.now, decision.HealthCheckResult{Backend: p.r.backend(d.probe.node), Result: decision.Timeout, Latency: p.now - d.probe.sent})
		}
	}
}

// drop has the node learn that an attempt is given up: its connection is closed.
func (p *proxy) drop(a *attempt) {
	p.say(message{at: p.now + p.way(a.node), kind: msCancel, node: a.node, attempt: a, job: a.job, count: 1})
}

// way is how long something takes to a node.
func (p *proxy) way(node int) time.Duration {
	return p.r.way(p.zone, p.r.fleet.Nodes[node].Zone, p.rng)
}

// ---- decision.Host ----

// probeTimeout is how long a probe is waited for.
const probeTimeout = 100 * time.Millisecond

func (p *proxy) Send(id decision.RequestID, to decision.BackendID, until time.Duration) {
	q := p.requests[id]
	node, known := p.r.byID[to]
	if q == nil || !known || q.closed {
		return
	}
	n := p.r.fleet.Nodes[node]
	a := &attempt{req: q, no: len(q.attempts), node: node, sent: p.now}
	a.job = &model.Job{Kind: model.Request, Work: q.arrival.Work, Wait: q.arrival.Wait, Request: q.account, Proxy: int32(p.no),
		Attempt: int32(a.no), Class: int32(q.arrival.Class), Away: n.Zone != p.zone, Told: p.r.toldOfStart(p.no, node)}
	q.attempts = append(q.attempts, a)
	q.out++
	p.entries = append(p.entries, entry{kind: enSent, at: p.now, account: q.account, node: node, attempt: a.no})
	if a.job.Away {
		p.entries = append(p.entries, entry{kind: enCrossed})
	}
	at := p.now + p.way(node)
	c := &p.conns[node]
	if c.life != n.Life {
		c.idle, c.life = 0, n.Life
	}
	if c.idle > 0 {
		c.idle--
	} else {
		a.fresh = true
		p.entries = append(p.entries, entry{kind: enOpened, at: p.now})
		at += time.Duration(2 * n.Rtts * float64(at-p.now))
		p.plan(due{at: p.now + p.r.spec.Conns.ConnectTimeout, kind: dueConnect, try: a})
	}
	p.say(message{at: at, kind: msOffer, node: node, attempt: a, job: a.job})
	if until <= 0 || until > q.arrival.Deadline {
		until = q.arrival.Deadline
	}
	p.plan(due{at: max(until, p.now+1), kind: dueUntil, try: a})
}

func (p *proxy) Reject(id decision.RequestID, retryAfter time.Duration) {
	if q := p.requests[id]; q.owed() {
		p.close(q, model.Rejected, false, retryAfter)
	}
}

func (p *proxy) Fail(id decision.RequestID) {
	if q := p.requests[id]; q.owed() {
		p.close(q, model.Errored, false, 0)
	}
}

// Forge serves what no node made: see rival.Forger.
func (p *proxy) Forge(id decision.RequestID) {
	if q := p.requests[id]; q != nil && !q.closed {
		p.close(q, model.Served, false, 0)
	}
}

// HangUp closes a client's connection with no answer, as if it were a new one: see rival.Hanger.
func (p *proxy) HangUp(id decision.RequestID) {
	q := p.requests[id]
	if q == nil || q.closed {
		return
	}
	q.closed = true
	p.entries = append(p.entries, entry{kind: enUnanswered, at: p.now, account: q.account})
	p.again(q, model.Errored, 0)
	delete(p.requests, id)
}

func (p *proxy) Cancel(id decision.RequestID, no int) {
	q := p.requests[id]
	if q == nil || no < 0 || no >= len(q.attempts) || q.attempts[no].over {
		return
	}
	p.drop(q.attempts[no])
	p.plan(due{at: p.now + 1, kind: dueCancelled, try: q.attempts[no]})
}

func (p *proxy) CheckHealth(b decision.BackendID) {
	node, known := p.r.byID[b]
	if !known {
		return
	}
	p.probes++
	pr := &probe{node: node, sent: p.now, job: &model.Job{Kind: model.Probing, Work: p.r.spec.Probe.Draw(p.rng), Proxy: int32(p.no),
		Request: p.seq, Told: p.r.toldOfStart(p.no, node)}}
	p.say(message{at: p.now + p.way(node), kind: msProbe, node: node, probe: pr, job: pr.job})
	p.plan(due{at: p.now + probeTimeout, kind: dueProbe, probe: pr})
}

func (p *proxy) ReleaseIdleConnections(b decision.BackendID) {
	if node, known := p.r.byID[b]; known && p.conns[node].idle > 0 {
		p.say(message{at: p.now, kind: msClose, node: node, count: p.conns[node].idle})
		p.conns[node].idle = 0
	}
}

func (p *proxy) WatchEndpoints(bool)       {}
func (p *proxy) FetchEndpoints()           {}
func (p *proxy) SendToPeer(uint32, []byte) {}
func (p *proxy) Log(string)                {}
func (p *proxy) StartTimer(d time.Duration, token uint64) {
	p.plan(due{at: p.now + max(d, 1), kind: dueTimer, token: token})
}
