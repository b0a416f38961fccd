package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/budget"
	"lapisspread/internal/engine"
	"lapisspread/internal/figures"
	"lapisspread/internal/route"
	config "lapisspread/internal/services"
)

// service is one engine with its connections, and what the front end needs to know of it.
type service struct {
	name    string
	spec    config.Service // as its file has it; none for the only one
	engine  *engine.Engine
	clock   engine.Clock
	module  decision.Config
	classes map[string]int
	tenants map[string]int
	figures *figures.Figures
	pool    *pool
	roster  *roster

	inHand atomic.Int64 // requests that hold it
	ending atomic.Bool  // it takes no more
	idle   chan struct{}
	cancel context.CancelFunc
	ended  chan struct{}
}

// enter holds the service for a request, unless it ends. Danger: the count goes first; whoever ends the service
// looks at it after it has said so.
func (s *service) enter() bool {
	s.inHand.Add(1)
	if s.ending.Load() {
		s.leave()
		return false
	}
	return true
}

func (s *service) leave() {
	if s.inHand.Add(-1) == 0 && s.ending.Load() {
		select {
		case s.idle <- struct{}{}:
		default:
		}
	}
}

// retire ends the service once nothing holds it, or ctx ends.
func (s *service) retire(ctx context.Context) {
	s.ending.Store(true)
	for s.inHand.Load() > 0 {
		select {
		case <-s.idle:
		case <-ctx.Done():
			return // it ends with the process
		}
	}
	s.cancel()
	<-s.ended
}

// installed is the services and routes of one configuration. It never changes.
type installed struct {
	only   *service // where there is one
	byName map[string]*service
	table  *route.Table
	sticky map[string]string // by route
}

// services are all that run, and the routes to them.
type services struct {
	p       *Proxy
	now     atomic.Pointer[installed]
	limits  *limits
	running sync.WaitGroup

	mu     sync.Mutex // one change at a time
	halved bool
}

func newServices(p *Proxy) *services {
	return &services{p: p, limits: &limits{clock: engine.NewClock(), leaving: map[string]int{}}}
}

// start brings up what the configuration says. ctx ends all of it.
func (s *services) start(ctx context.Context, cfg *Config) error {
	if cfg.Services != "" {
		return s.reload(ctx, cfg)
	}
	only, err := s.newService(ctx, cfg, config.Service{}, cfg.Module, s.p.own)
	if err != nil {
		return err
	}
	s.now.Store(&installed{only: only, byName: map[string]*service{"": only}})
	return nil
}

// reload takes in a new configuration. A bad one changes nothing.
func (s *services) reload(ctx context.Context, cfg *Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.now.Load()
	if old != nil && old.only != nil {
		old.only.moveTo(cfg.Discovery)
		return nil
	}
	file, err := config.Load(s.p.cfg.Services)
	if err != nil {
		return err
	}
	next := &installed{byName: map[string]*service{}, table: file.Table, sticky: map[string]string{}}
	for _, r := range file.File.Routes {
		next.sticky[r.Name] = r.Sticky
	}
	var began []*service
	for _, spec := range file.File.Services {
		module := s.moduleOf(&spec)
		if old != nil {
			// One whose decisions stay the same lives on with what it knows of its servers.
			if svc := old.byName[spec.Name]; svc != nil && svc.keeps(&spec, module) {
				next.byName[spec.Name] = svc
				continue
			}
		}
		classes := make([]string, len(module.Classes))
		for i, c := range module.Classes {
			classes[i] = c.Name
		}
		svc, err := s.newService(ctx, cfg, spec, module, figures.New(classes))
		if err != nil {
			for _, b := range began {
				b.cancel()
			}
			return fmt.Errorf("service %q: %w", spec.Name, err)
		}
		began = append(began, svc)
		next.byName[spec.Name] = svc
	}
	var leaving []string
	if old != nil {
		for name, svc := range old.byName {
			if next.byName[name] != svc {
				leaving = append(leaving, name)
			}
		}
	}
	if err := s.limits.change(file.File, &s.p.cfg, leaving); err != nil {
		for _, b := range began {
			b.cancel()
		}
		return err
	}
	for _, spec := range file.File.Services {
		discovery := spec.Discovery
		if discovery == "" {
			discovery = cfg.Discovery
		}
		next.byName[spec.Name].moveTo(discovery)
	}
	s.now.Store(next) // the one step in which all of it changes
	for _, name := range leaving {
		svc := old.byName[name]
		s.running.Go(func() {
			svc.retire(ctx)
			s.limits.gone(name)
		})
	}
	s.p.log.Info("services", "services", len(next.byName), "routes", next.table.Rules(), "new", len(began))
	return nil
}

// moduleOf are the settings of a service's decisions: the process's, but for what its file says otherwise.
func (s *services) moduleOf(spec *config.Service) decision.Config {
	m := s.p.cfg.Module
	if len(spec.Classes) > 0 {
		m.Classes = nil
		for _, c := range spec.Classes {
			effect := decision.Unsafe
			if c.Effect == "safe" {
				effect = decision.Safe
			}
			m.Classes = append(m.Classes, decision.Class{Name: plain(c.Name), Aim: time.Duration(c.Aim), GiveUp: time.Duration(c.GiveUp), Effect: effect,
				Group: decision.GroupAll, LateShare: c.Late, Value: c.Worth})
		}
	}
	m.RetryShare = spec.Repeats
	m.Caps.MaxOpen = max(1, int(spec.Share.Cap*float64(m.Caps.MaxOpen)))
	return m
}

// keeps tells whether a service can live on under another configuration.
func (s *service) keeps(spec *config.Service, module decision.Config) bool {
	return slices.Equal(s.spec.Kinds, spec.Kinds) && slices.Equal(s.spec.Cells, spec.Cells) && slices.Equal(s.module.Classes, module.Classes) &&
		s.module.Caps.MaxOpen == module.Caps.MaxOpen && s.module.RetryShare == module.RetryShare
}

func (s *service) moveTo(discovery string) {
	s.engine.Post(func() {
		if discovery != s.engine.Source().Addr() {
			s.engine.MoveTo(s.source(discovery))
		}
	})
}

// source is a discovery, or of what it tells the part that the service uses.
func (s *service) source(addr string) engine.Source {
	d := newDiscovery(addr)
	if len(s.spec.Kinds) == 0 && len(s.spec.Cells) == 0 {
		return d
	}
	return selected{d, s.spec}
}

// selected is the part of a list that a service uses. What of it does not belong to the service is told as gone: a
// server may come to belong to another service.
type selected struct {
	*discovery
	spec config.Service
}

func (s selected) pick(list List) List {
	out := List{Version: list.Version, Full: list.Full}
	for _, m := range list.Members {
		if len(s.spec.Kinds) > 0 && !slices.Contains(s.spec.Kinds, m.Kind) || len(s.spec.Cells) > 0 && !slices.Contains(s.spec.Cells, m.Cell) {
			if list.Full {
				continue
			}
			m.State = decision.Gone
		}
		out.Members = append(out.Members, m)
	}
	return out
}

func (s selected) Fetch(ctx context.Context) (List, error) {
	list, err := s.discovery.Fetch(ctx)
	return s.pick(list), err
}

func (s selected) Watch(ctx context.Context, from uint32, tell func(List)) error {
	return s.discovery.Watch(ctx, from, func(list List) { tell(s.pick(list)) })
}

// newService starts an engine with connections of its own.
func (s *services) newService(ctx context.Context, cfg *Config, spec config.Service, module decision.Config, fig *figures.Figures) (*service, error) {
	svc := &service{name: spec.Name, spec: spec, module: module, classes: map[string]int{}, tenants: map[string]int{}, figures: fig, roster: newRoster(),
		idle: make(chan struct{}, 1), ended: make(chan struct{})}
	for i, c := range module.Classes {
		svc.classes[c.Name] = i
	}
	for i, t := range module.Tenants {
		svc.tenants[t.Name] = i
	}
	idle := module.Caps.ConnIdle
	if spec.Name != "" { // what stands idle here is kept from others: it comes back within the recall time
		idle = min(idle, defaultRecall)
	}
	svc.pool = newPool(s.backendPlaces(), module.Caps.ConnectTimeout, idle)
	svc.pool.attempts = &fig.Attempts
	discovery, known := cfg.Discovery, s.p.cfg.Known
	seed := s.p.cfg.Seed
	if spec.Name != "" {
		svc.pool.share = &share{s.limits, spec.Name}
		seed ^= nameSeed(spec.Name)
		if spec.Discovery != "" {
			discovery, known = spec.Discovery, List{}
		}
	}
	source := svc.source(discovery)
	if sel, ok := source.(selected); ok {
		known = sel.pick(List{Version: known.Version, Full: true, Members: known.Members})
	}
	var err error
	svc.engine, err = engine.New(engine.Options{Module: module, Seed: seed, Known: known, Zones: s.p.cfg.Zones, Kinds: s.p.cfg.Kinds,
		Upstream: svc.pool, Source: source, Log: s.p.log, Out: s.p.store.Out, Wake: svc.roster.wake, Listed: svc.roster.add,
		Census: func(known, excluded int) {
			fig.BackendsKnown.Store(int64(known))
			fig.BackendsExcluded.Store(int64(excluded))
		}})
	if err != nil {
		source.Close()
		return nil, err
	}
	svc.clock = svc.engine.Clock()
	inner, cancel := context.WithCancel(ctx)
	svc.cancel = cancel
	s.running.Go(func() {
		defer close(svc.ended)
		var both sync.WaitGroup
		both.Go(func() { svc.engine.Run(inner) })
		both.Go(func() { svc.pool.runRetire(inner) })
		both.Wait()
	})
	return svc, nil
}

// defaultRecall is within what time idle connections of one of several services are given back.
const defaultRecall = 3 * time.Second

// nameSeed sets the chance of one service apart from the others'.
func nameSeed(name string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, name)
	return h.Sum64()
}

// backendPlaces is how many connections to backends there may be.
func (s *services) backendPlaces() int {
	most := s.p.cfg.Sockets - spareSockets - clientPlaces(&s.p.cfg)
	if s.halved {
		most /= 2
	}
	return most
}

// halve has all keep to half of the connections, or to all of them again.
func (s *services) halve(half bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.halved = half
	for _, svc := range s.now.Load().byName {
		svc.pool.limitOpen(s.backendPlaces())
	}
}

// wait waits until all services have ended.
func (s *services) wait() { s.running.Wait() }

// route gives the service for a request, held until it leaves it.
func (s *services) route(r *http.Request) (*service, error) {
	for {
		now := s.now.Load()
		svc := now.only
		if svc == nil {
			var err error
			if svc, err = now.find(r); err != nil {
				return nil, err
			}
		}
		if svc.enter() {
			return svc, nil
		}
		if s.now.Load() == now { // it ends with the process
			return nil, &rejection{http.StatusServiceUnavailable, "the service is ending"}
		}
	}
}

func (n *installed) find(r *http.Request) (*service, error) {
	q := route.Request{Host: r.Host, Path: r.URL.Path, Method: r.Method, Class: r.Header.Get("X-Priority-Class"), Tenant: r.Header.Get("X-Tenant-Id")}
	rule, verdict := n.table.Lookup(&q)
	switch verdict {
	case route.Found:
	case route.WrongHost:
		return nil, &rejection{http.StatusMisdirectedRequest, verdict.String()}
	case route.Unclear:
		return nil, malformed("%v", verdict)
	default:
		return nil, &rejection{http.StatusNotFound, verdict.String()}
	}
	by := ""
	if len(rule.To) > 1 {
		switch n.sticky[rule.Name] {
		case "tenant":
			by = q.Tenant
		case "request":
			by = r.Header.Get("X-Request-Id")
		default:
			if by = r.URL.Query().Get("key"); by == "" {
				by = r.Header.Get("X-Request-Id")
			}
		}
	}
	svc := n.byName[rule.Pick(nameSeed(by))]
	if svc == nil {
		return nil, &rejection{http.StatusNotFound, "the route's service is not there"}
	}
	return svc, nil
}

// longest is the longest that a client waits.
func (s *services) longest() time.Duration {
	most := time.Duration(0)
	for _, svc := range s.now.Load().byName {
		for _, c := range svc.module.Classes {
			most = max(most, c.GiveUp)
		}
	}
	return most
}

// listed tells whether a backend of that name was ever listed to any service.
func (s *services) listed(id string) bool {
	now := s.now.Load()
	if now == nil {
		return false
	}
	for _, svc := range now.byName {
		if svc.roster.listed(id) {
			return true
		}
	}
	return false
}

// wake has all services look at the orders by hand.
func (s *services) wake() {
	if now := s.now.Load(); now != nil {
		for _, svc := range now.byName {
			svc.roster.wakeLoop()
		}
	}
}

// figures are what INFO shows: of the one service, or of all together and by service.
func (s *services) figures() json.Marshaler {
	now := s.now.Load()
	if now == nil || now.only != nil {
		return s.p.own
	}
	return allFigures{s.p.own, now.byName, s.limits}
}

type allFigures struct {
	own    *figures.Figures
	byName map[string]*service
	limits *limits
}

// MarshalJSON gives the sums in the form of one service, and each service's own beside them.
func (a allFigures) MarshalJSON() ([]byte, error) {
	all := map[string]*figures.Figures{}
	for name, svc := range a.byName {
		all[name] = svc.figures
	}
	return figures.Sum(a.own, all, a.limits.report())
}

// limits are what the services share of the process. Where there is one service they bind nothing.
type limits struct {
	clock engine.Clock

	mu      sync.Mutex
	pools   *pools         // nil for one service
	leaving map[string]int // services that take no more and have not ended, by name
	file    *config.File   // the pools' own
	cfg     *Config
}

type pools struct{ requests, bytes, conns *budget.Pool }

// change sets the limits of a file. Services that are leaving keep a share until they have left: what they have in
// hand may need connections yet. A bad change changes nothing.
func (l *limits) change(f *config.File, cfg *Config, leaving []string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range leaving {
		l.leaving[name]++
	}
	err := l.set(f, cfg)
	if err != nil {
		for _, name := range leaving {
			l.left(name)
		}
		return err
	}
	l.file, l.cfg = f, cfg
	return nil
}

// gone notes that a service which was leaving has left.
func (l *limits) gone(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left(name)
	_ = l.set(l.file, l.cfg) // they were good before, and one less asks for less
}

func (l *limits) left(name string) {
	if l.leaving[name]--; l.leaving[name] <= 0 {
		delete(l.leaving, name)
	}
}

// set brings the pools to a file. The lock is held.
func (l *limits) set(f *config.File, cfg *Config) error {
	requests := f.Limits.InHand
	if requests == 0 {
		requests = int64(openSockets * float64(cfg.Sockets))
	}
	bytes := f.Limits.Bytes
	if bytes == 0 {
		bytes = int64(inHandPart * float64(cfg.MemoryMB) * (1 << 20))
	}
	conns := int64(cfg.Sockets - spareSockets - clientPlaces(cfg))
	next := pools{}
	if l.pools != nil {
		next = *l.pools
	}
	for _, k := range []struct {
		pool  **budget.Pool
		total int64
	}{{&next.requests, requests}, {&next.bytes, bytes}, {&next.conns, conns}} { // the same shares: all are good or none
		shares := f.Shares(k.total)
		for name := range l.leaving {
			if _, stays := shares[name]; !stays {
				shares[name] = budget.Share{}
			}
		}
		var err error
		if *k.pool == nil {
			*k.pool, err = budget.NewPool(f.Terms(k.total), shares)
		} else {
			err = (*k.pool).Change(f.Terms(k.total), shares)
		}
		if err != nil {
			return fmt.Errorf("limits: %w", err)
		}
	}
	l.pools = &next
	return nil
}

// take takes a request and its body's bytes.
func (l *limits) take(name string, bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return true
	}
	now := l.clock.Now()
	if !l.pools.requests.Take(now, name, 1) {
		return false
	}
	if !l.pools.bytes.Take(now, name, bytes) {
		_ = l.pools.requests.Give(name, 1) // it was taken just now
		return false
	}
	return true
}

// give ends what take began. Danger: it must be asked for what take was granted only.
func (l *limits) give(name string, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools != nil {
		_ = l.pools.requests.Give(name, 1)
		_ = l.pools.bytes.Give(name, bytes)
	}
}

// report is how the services stand with what they share.
func (l *limits) report() map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return nil
	}
	out := map[string]any{}
	now := l.clock.Now()
	for name, p := range map[string]*budget.Pool{"requests": l.pools.requests, "bytes": l.pools.bytes, "connections": l.pools.conns} {
		total, used := p.Total()
		by := map[string]int64{}
		for member, u := range p.Used(now) {
			by[member] = u.Used
		}
		out[name] = map[string]any{"total": total, "used": used, "by_service": by}
	}
	return out
}

// share is a service's part of the connections to backends.
type share struct {
	limits *limits
	name   string
}

func (s *share) take() bool {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	return s.limits.pools == nil || s.limits.pools.conns.Take(s.limits.clock.Now(), s.name, 1)
}

func (s *share) give() {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	if s.limits.pools != nil {
		_ = s.limits.pools.conns.Give(s.name, 1)
	}
}
