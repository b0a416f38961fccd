package simulation

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/faultlab/baseline"
	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/model"
)

// Result is what a run has come to.
type Result struct {
	Verdict checker.Verdict
	Events  uint64 // handled by proxies and cells
	Faults  []model.Step
	Ended   time.Duration // virtual time
}

// Run is one world on its way.
type Run struct {
	spec    *model.Spec
	fleet   *model.Fleet
	byID    map[decision.BackendID]int
	reg     *model.Registry
	gen     *model.Generator
	ledger  *checker.Ledger
	proxies []*proxy // by number
	old     []*proxy // that end in order
	cells   []*cell
	named   baseline.Factory
	views   [][]view // what each proxy has been told, by node
	front   *rand.Rand
	retries model.Queue
	routes  [][]int // by zone: proxies that the front layer gives connections to
	seq     uint64
	lines   uint64 // requests that came while some process had connections open after its SIGTERM
	events  uint64
	lists   uint32
	starts  []proxyStart
	kills   []int      // by proxy
	silent  []*silence // by proxy: of its watch; nil is none

	// Memory is how often each proxy writes down what it has learned, which one that starts in its place recalls. 0 is never.
	Memory   time.Duration
	memories []*decision.Snapshot // by proxy; nil is none

	// Progress is told the virtual time once a virtual second. It may be nil.
	Progress func(now time.Duration)
}

type view struct {
	listing model.Listing
	started time.Duration
}

// ending is the time of a process between SIGTERM and SIGKILL.
type ending struct {
	since    time.Duration
	newUntil time.Duration // new connections come until then
	kill     time.Duration
	lines    int  // connections that clients have open to it, and send on
	deaf     bool // it reads no more: see rival.Wire
	succeeds bool // another process is in its place already
}

// openLines is how many connections clients have open to a proxy at its SIGTERM. One closes with the answer that it brings.
const openLines = 20

// silence is of a watch that fell silent and was not opened anew so far.
type silence struct {
	told   time.Duration // what it misses counts as told then
	anew   time.Duration // the proxy opens it anew
	missed []model.News
}

// watchNoticed is how soon a proxy here opens a silent watch anew. The simulator has no calls: it takes this from them.
const watchNoticed = 4 * time.Second

type proxyStart struct {
	at   time.Duration
	no   int
	kill int // the kill that it follows; one that was killed again starts after the last
}

// New makes a run of a spec with a policy in every proxy.
func New(spec *model.Spec, policy baseline.Factory) (*Run, error) {
	if err := spec.Check(); err != nil {
		return nil, err
	}
	r := &Run{spec: spec, fleet: model.Build(spec), byID: map[decision.BackendID]int{}, reg: model.NewRegistry(spec),
		gen: model.NewGenerator(spec), named: policy, front: spec.Stream(6), routes: make([][]int, len(spec.Zones))}
	r.ledger = checker.New(checker.Settings{Classes: spec.Classes, Tenants: spec.Tenants, Proxies: spec.Proxies, Nodes: spec.Nodes,
		Slack: checker.DefaultSlack + Tick})
	for i, n := range r.fleet.Nodes {
		r.byID[decision.BackendID(n.ID)] = i
	}
	for _, c := range r.fleet.Cells {
		r.cells = append(r.cells, newCell(r, c))
	}
	for no := range spec.Proxies {
		views := make([]view, spec.Nodes)
		for i := range views {
			views[i].listing = model.Active
		}
		r.views = append(r.views, views)
		r.proxies, r.kills, r.memories = append(r.proxies, nil), append(r.kills, 0), append(r.memories, nil)
		r.silent = append(r.silent, nil)
		zone := spec.ProxyZone(no)
		r.routes[zone] = append(r.routes[zone], no)
		for node := range spec.Nodes {
			r.ledger.Told(0, no, node, model.Active, 0)
		}
		if err := r.startProxy(0, no); err != nil {
			return nil, fmt.Errorf("proxy %d: %w", no, err)
		}
	}
	return r, nil
}

// rememberer is a policy that can tell what it has learned.
type rememberer interface {
	Snapshot(now time.Duration) decision.Snapshot
	Restore(now time.Duration, m decision.Snapshot)
}

// remember has the proxies whose time it is write down what they have learned.
func (r *Run) remember(now time.Duration) {
	if r.Memory < Tick {
		return
	}
	for no, p := range r.proxies { // not all in one moment
		phase := (now + r.Memory*time.Duration(no)/time.Duration(len(r.proxies))) % r.Memory
		if m, can := p.policy.(rememberer); can && phase < Tick && !p.dead && !p.stopped {
			learned := m.Snapshot(now)
			r.memories[no] = &learned
		}
	}
}

// startProxy puts a new process in a proxy's place.
func (r *Run) startProxy(now time.Duration, no int) error {
	r.reopen(now, no) // a new process asks anew, and knows all from its first moment on
	r.seq++
	p := &proxy{no: no, zone: r.spec.ProxyZone(no), r: r, now: now, rng: rand.New(rand.NewPCG(r.spec.Seed^0xb0b, r.seq<<16|uint64(no))),
		requests: map[decision.RequestID]*request{}, conns: make([]conns, r.spec.Nodes)}
	policy, err := r.named(ModuleConfig(r.spec, no), p.rng.Uint64(), p)
	if err != nil {
		return err
	}
	p.policy = policy
	r.proxies[no] = p
	policy.Start(now)
	if m, can := policy.(rememberer); can && r.memories[no] != nil {
		m.Restore(now, *r.memories[no])
	}
	r.lists++
	m := decision.EndpointUpdate{Kind: decision.UpdateCached, Version: r.lists}
	for i := range r.fleet.Nodes {
		if b := r.listed(no, i); b.State != decision.Removed {
			m.Backends = append(m.Backends, b)
		}
	}
	policy.UpdateEndpoints(now, m)
	m.Kind = decision.UpdateFull
	policy.UpdateEndpoints(now, m)
	return nil
}

func (r *Run) listed(proxy, node int) decision.Backend {
	n, v := r.fleet.Nodes[node], r.views[proxy][node]
	return decision.Backend{ID: decision.BackendID(n.ID), Zone: n.Zone, Kind: n.Model, Cell: n.CellNo, State: State(v.listing),
		Weight: n.Weight, Started: v.started}
}

func (r *Run) backend(node int) decision.BackendID { return decision.BackendID(r.fleet.Nodes[node].ID) }

// toldOfStart tells whether a node's last start counts as told to a proxy.
func (r *Run) toldOfStart(proxy, node int) bool {
	n := r.fleet.Nodes[node]
	return n.StartedAt > 0 && r.ledger.ToldOfStart(proxy, node, n.StartedAt)
}

// way is how long something takes from zone to zone.
func (r *Run) way(from, to int, rng *rand.Rand) time.Duration {
	w := r.spec.Net.Same
	if from != to {
		w = r.spec.Net.Cross
	}
	return time.Duration(float64(w.DrawMs(rng)) * (1 + r.spec.Net.Jitter*rng.ExpFloat64()))
}

// Run plays the world to its end, or until ctx ends: what was seen so far is then judged.
func (r *Run) Run(ctx context.Context) (Result, error) {
	steps := model.Plan(r.spec, r.fleet)
	faults := slices.Clone(steps)
	next, more := r.gen.Next()
	var longest time.Duration
	for _, c := range r.spec.Classes {
		longest = max(longest, c.GiveUp)
	}
	end := r.spec.Duration + longest + 200*time.Millisecond
	var now time.Duration
	for now = Tick; now <= end; now += Tick {
		if now%time.Second < Tick {
			if err := ctx.Err(); err != nil {
				break
			}
			if r.Progress != nil {
				r.Progress(now)
			}
		}
		for len(steps) > 0 && steps[0].At <= now {
			if err := r.apply(now, steps[0]); err != nil {
				return Result{}, err
			}
			steps = steps[1:]
		}
		for len(r.starts) > 0 && r.starts[0].at <= now {
			if s := r.starts[0]; s.kill == r.kills[s.no] {
				if err := r.startProxy(now, s.no); err != nil {
					return Result{}, err
				}
			}
			r.starts = r.starts[1:]
		}
		for _, n := range r.reg.Due(now) {
			r.news(now, n)
		}
		r.watch(now)
		if err := r.endings(now); err != nil {
			return Result{}, err
		}
		for more && next.At <= now {
			r.ledger.Asked(&next)
			r.arrive(now, next)
			next, more = r.gen.Next()
		}
		for len(r.retries) > 0 && r.retries[0].At <= now {
			r.arrive(now, heap.Pop(&r.retries).(model.Arrival))
		}
		r.decide(now)
		r.remember(now)
		r.serve(now)
		r.ledger.Advance(now)
	}
	r.ledger.Finish()
	return Result{Verdict: r.ledger.Verdict(checker.UsualPrices), Events: r.events, Faults: faults, Ended: now}, ctx.Err()
}

// arrive hands a client's try to a proxy.
func (r *Run) arrive(now time.Duration, a model.Arrival) {
	pool := r.routes[a.Zone]
	if len(pool) == 0 { // the zone has none: the front of another one takes it
		for _, other := range r.routes {
			if pool = other; len(pool) > 0 {
				break
			}
		}
	}
	if len(pool) == 0 {
		return
	}
	p, away := r.line(now), false
	if p == nil {
		p = r.proxies[pool[r.front.IntN(len(pool))]]
		if p.closed(now) { // the front goes by health
			if i := slices.IndexFunc(r.proxies, func(o *proxy) bool { return !o.closed(now) && !o.dead }); i >= 0 {
				p = r.proxies[i]
			}
		}
		away = p.closed(now)
	}
	if p.dead || p.stopped || away { // the front has not noticed: the connection is refused, and the client comes again
		if again, ok := r.spec.Retry(now, a, model.Rejected, 0, r.front); ok {
			heap.Push(&r.retries, again)
		}
		return
	}
	id := r.ledger.Take(checker.Try{Proxy: p.no, Arrival: a})
	p.inbox = append(p.inbox, event{kind: evArrival, at: a.At, arrival: a, account: id})
}

// closed tells whether no more new connections come to a process that is ending.
func (p *proxy) closed(now time.Duration) bool { return p.ending != nil && now > p.ending.newUntil }

// line gives a process between SIGTERM and SIGKILL on whose open connections the next request comes, if there is one; every second
// request does.
func (r *Run) line(now time.Duration) *proxy {
	for _, p := range append(slices.Clone(r.old), r.proxies...) {
		if e := p.ending; e != nil && e.lines > 0 && !p.dead && !p.stopped {
			if r.lines++; r.lines%2 == 0 {
				return nil
			}
			e.lines--
			return p
		}
	}
	return nil
}

// term is SIGTERM.
func (r *Run) term(now time.Duration, p *proxy, succeeds bool) {
	wire := baseline.WireOf(p.policy)
	p.ending = &ending{since: now, newUntil: now + model.NewAfterTerm.DrawMs(r.front), kill: now + r.spec.KillAfter(), lines: openLines,
		deaf: wire.StopsReading, succeeds: succeeds}
	if wire.EndsAtOnce {
		p.ending.kill = now
	}
}

// endings is SIGKILL for those whose time it is: what they have taken and not answered is lost. A place that has no process then
// gets one.
func (r *Run) endings(now time.Duration) error {
	for _, p := range append(slices.Clone(r.old), r.proxies...) {
		if p.dead || p.ending == nil || now < p.ending.kill {
			continue
		}
		p.dead = true
		ids := slices.Sorted(maps.Keys(p.requests))
		for _, id := range ids {
			if q := p.requests[id]; !q.closed {
				r.ledger.Broke(now, q.account, "SIGKILL")
			}
		}
		for i := range p.inbox {
			if e := &p.inbox[i]; e.kind == evArrival {
				r.ledger.Broke(now, e.account, "SIGKILL")
			}
		}
		p.abandon(now)
		if p.ending.succeeds {
			continue
		}
		r.old = append(r.old, p)
		if err := r.startProxy(now, p.no); err != nil {
			return err
		}
	}
	return nil
}

// news is what the register tells: to a watch, or to one that has fallen silent.
func (r *Run) news(now time.Duration, n model.News) {
	s := r.silent[n.Proxy]
	if s == nil {
		r.tell(now, n)
		return
	}
	s.missed = append(s.missed, n)
	if now >= s.told {
		r.ledger.Told(now, n.Proxy, n.Node, n.Listing, n.Started)
	}
}

// watch counts as told what silent watches have missed, and opens them anew, each when it is time.
func (r *Run) watch(now time.Duration) {
	for no, s := range r.silent {
		if s == nil {
			continue
		}
		if s.told > now-Tick && s.told <= now {
			for _, n := range s.missed {
				r.ledger.Told(now, no, n.Node, n.Listing, n.Started)
			}
		}
		if now >= s.anew {
			r.reopen(now, no)
		}
	}
}

// reopen tells a proxy what its silent watch has missed.
func (r *Run) reopen(now time.Duration, no int) {
	s := r.silent[no]
	if s == nil {
		return
	}
	r.silent[no] = nil
	for _, n := range s.missed {
		r.tell(now, n)
	}
}

// tell brings news to a proxy.
func (r *Run) tell(now time.Duration, n model.News) {
	v := &r.views[n.Proxy][n.Node]
	v.listing = n.Listing
	v.started = max(v.started, n.Started)
	r.ledger.Told(now, n.Proxy, n.Node, n.Listing, n.Started)
	p := r.proxies[n.Proxy]
	if p == nil || p.dead {
		return
	}
	r.lists++
	list := event{kind: evList, at: now, list: decision.EndpointUpdate{Kind: decision.UpdateDelta, Version: r.lists,
		Backends: []decision.Backend{r.listed(n.Proxy, n.Node)}}}
	p.inbox = append(p.inbox, list)
	for _, o := range r.old { // an old process beside it has a watch of its own
		if o.no == n.Proxy && o != p && !o.dead {
			o.inbox = append(o.inbox, list)
		}
	}
}

// proxyAway is how long a proxy that was killed takes to come back.
const proxyAway = 2500 * time.Millisecond

// apply carries out a step of the faults' time line.
func (r *Run) apply(now time.Duration, s model.Step) error {
	switch s.Op {
	case model.OpRegister:
		r.reg.Stale(now, !s.Flag)
	case model.OpHeavy:
		share := s.Extra
		if s.Size == 1 {
			share = 0
		}
		r.gen.Heavy(s.Node, s.Size, share)
	case model.OpMoveRegister, model.OpChangeServices, model.OpLink, model.OpRegisterBusy, model.OpRegisterLost, model.OpState:
		// there are neither addresses nor calls nor files here
	case model.OpSlow:
		for _, c := range r.cells {
			if s.Node < 0 || r.fleet.Nodes[s.Node].CellNo == c.No {
				c.inputs = append(c.inputs, message{at: now, kind: msStep, node: s.Node, step: s})
			}
		}
	case model.OpKillProxy:
		p := r.proxies[s.Node]
		p.dead = true
		r.ledger.ProxyDied(s.Node)
		p.abandon(now)
		away := proxyAway
		if s.Extra > 0 {
			away = time.Duration(s.Extra * float64(time.Second))
		}
		r.kills[s.Node]++
		r.starts = append(r.starts, proxyStart{now + away, s.Node, r.kills[s.Node]})
		slices.SortStableFunc(r.starts, func(a, b proxyStart) int { return cmp.Compare(a.at, b.at) })
	case model.OpStopProxy, model.OpGoOnProxy: // what it had in hand, and what came since, is nobody's fault
		stopped := s.Op == model.OpStopProxy
		r.ledger.ProxyStopped(s.Node, stopped)
		r.proxies[s.Node].stopped = stopped
	case model.OpSilentWatch:
		if !s.Flag {
			r.reopen(now, s.Node)
			break
		}
		if r.silent[s.Node] != nil || r.proxies[s.Node].dead {
			break
		}
		anew := now + watchNoticed
		if baseline.WireOf(r.proxies[s.Node].policy).KeepsSilentWatch {
			anew = model.Never
		}
		r.silent[s.Node] = &silence{told: model.Missed(now, 0), anew: anew}
	case model.OpUpgradeProxy, model.OpRestartProxy:
		p, succeeds := r.proxies[s.Node], s.Op == model.OpUpgradeProxy
		if p.dead || p.ending != nil {
			break
		}
		r.term(now, p, succeeds)
		if succeeds {
			r.old = append(r.old, p)
			return r.startProxy(now, s.Node)
		}
	default:
		n := r.fleet.Nodes[s.Node]
		r.cells[n.CellNo].inputs = append(r.cells[n.CellNo].inputs, message{at: now, kind: msStep, node: s.Node, step: s})
		started := n.StartedAt
		if s.Op == model.OpStart {
			started = now
		}
		r.reg.Step(now, s, started)
	}
	return nil
}

// abandon closes all connections of a proxy that was killed. Its clients see a reset and come again if they may.
func (p *proxy) abandon(now time.Duration) {
	p.now = now
	ids := make([]decision.RequestID, 0, len(p.requests))
	for id := range p.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := p.requests[id]
		if !q.closed {
			q.closed = true
			p.again(q, model.Errored, 0)
		}
		for _, a := range q.attempts {
			if !a.over {
				a.over = true
				p.drop(a)
			}
		}
	}
	p.due, p.inbox = nil, nil
	p.requests = map[decision.RequestID]*request{}
}

// decide is the proxies' half of a step.
func (r *Run) decide(now time.Duration) {
	all := append(slices.Clone(r.proxies), r.old...)
	busy := all[:0]
	for _, p := range all {
		if !p.dead && !p.stopped && p.active(now) || len(p.out)+len(p.retries) > 0 {
			busy = append(busy, p)
			r.events += uint64(len(p.inbox))
		}
	}
	each(busy, func(p *proxy) {
		if !p.dead && !p.stopped {
			p.step(now)
		}
	})
	for _, p := range busy {
		for i := range p.out {
			m := &p.out[i]
			c := r.cells[r.fleet.Nodes[m.node].CellNo]
			c.inputs = append(c.inputs, *m)
		}
		p.out = p.out[:0]
		r.enter(p.no, p.entries)
		p.entries = p.entries[:0]
		for _, a := range p.retries {
			heap.Push(&r.retries, a)
		}
		p.retries = p.retries[:0]
	}
	for _, p := range r.proxies {
		if p.probes > 0 {
			r.ledger.Probed(now, p.probes)
			p.probes = 0
		}
	}
	r.old = slices.DeleteFunc(r.old, func(p *proxy) bool { return p.dead && len(p.out) == 0 })
}

// serve is the cells' half of a step.
func (r *Run) serve(now time.Duration) {
	busy := make([]*cell, 0, len(r.cells))
	for _, c := range r.cells {
		if len(c.inputs) > 0 || c.Next() <= now {
			busy = append(busy, c)
			r.events += uint64(len(c.inputs))
		}
	}
	each(busy, func(c *cell) { c.step(now) })
	for _, c := range busy {
		r.enter(-1, c.entries)
		c.entries = c.entries[:0]
		for _, o := range c.out {
			if !o.to.dead {
				o.to.inbox = append(o.to.inbox, o.event)
			}
		}
		c.out = c.out[:0]
	}
}

// enter writes into the ledger.
func (r *Run) enter(proxy int, entries []entry) {
	for i := range entries {
		e := &entries[i]
		switch e.kind {
		case enSent:
			r.ledger.Sent(e.at, e.account, proxy, e.node, e.attempt)
		case enProved:
			r.ledger.Proved(e.account, e.attempt)
		case enBegan:
			r.ledger.Began(e.at, e.account, e.node, e.attempt)
		case enMade:
			r.ledger.Made(e.account, e.node, e.attempt)
		case enAnswered:
			r.ledger.Answered(e.at, e.account, e.end, e.genuine)
		case enDeparted:
			r.ledger.Departed(e.at, e.account)
		case enCrossed:
			r.ledger.Crossed()
		case enWasted:
			r.ledger.Wasted(e.work)
		case enFell:
			r.ledger.Fell(*e.fall, e.node)
		case enOpened:
			r.ledger.Opened(e.at)
		case enUnanswered:
			r.ledger.Unanswered(e.at, e.account, "hung up")
		}
	}
}

// each calls do for all of list, on as many cores as there are. The order in which they are done is open, so do
// must touch nothing that another item's does.
func each[T any](list []T, do func(T)) {
	workers := min(runtime.GOMAXPROCS(0), len(list)/2)
	if workers < 2 {
		for _, x := range list {
			do(x)
		}
		return
	}
	var next atomic.Int64
	work := func() {
		for {
			i := int(next.Add(1)) - 1
			if i >= len(list) {
				return
			}
			do(list[i])
		}
	}
	var wg sync.WaitGroup
	for range workers - 1 {
		wg.Go(work)
	}
	work()
	wg.Wait()
}
