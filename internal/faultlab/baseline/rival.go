// Package baseline holds what the decision module is compared with and tried against: the plain policies that a team
// would write or take instead, and proxies with one flaw each on which the judge is tried.
package baseline

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lapisspread/decision"
)

// Policy decides for one proxy: the events of the decision module.
type Policy interface {
	Start(now time.Duration)
	UpdateEndpoints(now time.Duration, m decision.EndpointUpdate)
	Request(now time.Duration, q decision.Request)
	Outcome(now time.Duration, o decision.Outcome)
	HealthChecked(now time.Duration, p decision.HealthCheckResult)
	ClientGone(now time.Duration, id decision.RequestID)
	Timer(now time.Duration, token uint64)
}

// Forger is a Host that can also serve an answer which no node made. Only the judge's trial has one.
type Forger interface{ Forge(id decision.RequestID) }

// Hanger is a Host that can also close a new client's connection with no answer. Only the judge's trial has one.
type Hanger interface{ HangUp(id decision.RequestID) }

// Factory makes a policy, as decision.New does.
type Factory func(cfg decision.Config, seed uint64, host decision.Host) (Policy, error)

// Module is the name of the decision module among the policies.
const Module = "module"

// Baselines are the names of the plain policies.
var Baselines = []string{"random", "round-robin", "least-connections", "reverse-proxy"}

// Named gives the policy of a name: the module, a baseline, or a flawed one.
func Named(name string) (Factory, error) {
	if name == Module || name == "" {
		return func(cfg decision.Config, seed uint64, host decision.Host) (Policy, error) {
			return decision.New(cfg, seed, host)
		}, nil
	}
	if slices.Contains(Baselines, name) {
		return func(cfg decision.Config, seed uint64, host decision.Host) (Policy, error) {
			return &plain{cfg: cfg, host: host, kind: name, rng: rand.New(rand.NewPCG(seed, 7)), all: map[decision.BackendID]*backend{},
				open: map[decision.RequestID]*call{}}, nil
		}, nil
	}
	for _, f := range Flaws {
		if f.Name == name {
			return f.factory(), nil
		}
	}
	var flaws []string
	for _, f := range Flaws {
		flaws = append(flaws, f.Name)
	}
	return nil, fmt.Errorf("there is no policy %q; there are %s, %s and, flawed on purpose, %s", name, Module,
		strings.Join(Baselines, ", "), strings.Join(flaws, ", "))
}

// plain picks a backend in one plain way and tries again where that is allowed.
type plain struct {
	cfg   decision.Config
	host  decision.Host
	kind  string
	rng   *rand.Rand
	all   map[decision.BackendID]*backend
	ready []*backend
	next  int
	open  map[decision.RequestID]*call
}

type backend struct {
	decision.Backend
	out int
}

type call struct {
	decision.Request
	tried  []decision.BackendID
	mayRun bool
}

func (p *plain) Start(time.Duration)                                     {}
func (p *plain) HealthChecked(time.Duration, decision.HealthCheckResult) {}
func (p *plain) Timer(time.Duration, uint64)                             {}
func (p *plain) ClientGone(_ time.Duration, id decision.RequestID)       { delete(p.open, id) }
func (p *plain) Request(now time.Duration, q decision.Request)           { p.try(&call{Request: q}) }

func (p *plain) UpdateEndpoints(_ time.Duration, m decision.EndpointUpdate) {
	if m.Kind == decision.UpdateFailed {
		return
	}
	if m.Kind != decision.UpdateDelta {
		for _, b := range p.all {
			b.State = decision.Removed
		}
	}
	for _, e := range m.Backends {
		if b := p.all[e.ID]; b != nil {
			b.Backend = e
		} else {
			p.all[e.ID] = &backend{Backend: e}
		}
	}
	p.ready = p.ready[:0]
	for _, b := range p.all {
		if b.State == decision.Ready {
			p.ready = append(p.ready, b)
		}
	}
	slices.SortFunc(p.ready, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
}

func (p *plain) try(c *call) {
	p.open[c.ID] = c
	var pool []*backend
	for _, b := range p.ready {
		if !slices.Contains(c.tried, b.ID) {
			pool = append(pool, b)
		}
	}
	if len(pool) == 0 {
		p.end(c)
		return
	}
	var b *backend
	switch p.kind {
	case "random":
		b = pool[p.rng.IntN(len(pool))]
	case "least-connections":
		first := p.rng.IntN(len(pool))
		for i := range pool {
			if x := pool[(first+i)%len(pool)]; b == nil || x.out < b.out {
				b = x
			}
		}
	default:
		p.next++
		b = pool[p.next%len(pool)]
	}
	b.out++
	c.tried = append(c.tried, b.ID)
	p.host.Send(c.ID, b.ID, 0)
}

// end answers for good.
func (p *plain) end(c *call) {
	delete(p.open, c.ID)
	if c.mayRun && p.cfg.Classes[c.Class].Idempotency != decision.Idempotent {
		p.host.Fail(c.ID)
	} else if p.kind == "reverse-proxy" && len(c.tried) > 0 {
		p.host.Fail(c.ID) // it answers 502
	} else {
		p.host.Reject(c.ID, 100*time.Millisecond)
	}
}

func (p *plain) Outcome(now time.Duration, o decision.Outcome) {
	if b := p.all[o.Backend]; b != nil {
		b.out--
	}
	c := p.open[o.ID]
	if c == nil {
		return
	}
	if o.Final {
		delete(p.open, o.ID)
		return
	}
	c.mayRun = c.mayRun || !o.Result.NeverRan()
	again := p.kind != "reverse-proxy" && len(c.tried) < p.cfg.Capabilities.MaxAttempts && now < c.Deadline &&
		(!c.mayRun || p.cfg.Classes[c.Class].Idempotency == decision.Idempotent)
	if again {
		p.try(c)
	} else {
		p.end(c)
	}
}
