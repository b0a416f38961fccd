package proxy

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/admission"
	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/controlplane/freshness"
	"lapisspread/internal/diameter/upstream"
	"lapisspread/internal/discovery"
	"lapisspread/internal/engine"
	"lapisspread/internal/listener"
	"lapisspread/internal/metrics"
	"lapisspread/internal/policy/routetable"
	"lapisspread/internal/processquota"
	"lapisspread/internal/processquota/limiter"
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
	figures *metrics.Counters
	pool    *pool
	roster  *roster
	gate    *processquota.Gate // of its share of the process; nil for the only one

	requests *listener.RequestLimiter // bounds those in hand; nil is no bound
	sight    *freshness.ServiceView   // nil weighs nothing
	diameter *upstream.Upstream       // where its servers speak that; nil is HTTP

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
	limits config.Limits

	policy    *client.InstalledPolicy // that requests are decided under; nil without a fleet
	blocks    *route.Table            // of the policy; nil is none
	otherwise string                  // the file's service for what no route matches

	policyRoutes *routetable.Routes // what table, sticky and blocks are of; nil if the policy doesn't lead requests
}

// services are all that run, and the routes to them.
type services struct {
	p       *Proxy
	now     atomic.Pointer[installed]
	limits  *limiter.Limits
	running sync.WaitGroup

	mu           sync.Mutex // one change at a time
	halved       bool
	policyRoutes bool            // routes come from the fleet's policy, once there is one
	discovery    string          // the process's, as of the last change
	ctx          context.Context // of all services
	registers    *discovery.Registry
	requests     *admission.RequestSettings // of each service; nil is none
}

func newServices(p *Proxy) *services {
	s := &services{p: p, limits: limiter.New(engine.NewClock().Now)}
	s.registers = discovery.NewRegistry(p.cfg.pace.rest, func(addr string) engine.Source { return s.ask(addr, addr) })
	return s
}

// ask gives calls for the list at an address, by the rules of coming back where there are some. Of one name is one register,
// also where it moves.
func (s *services) ask(name, addr string) engine.Source {
	d := newDiscovery(addr, s.p.cfg.pace, s.p.log)
	d.bad = func() { s.p.own.InvalidLists.Add(1) }
	var asked engine.Source = d
	if view := s.p.view.Load(); view != nil { // before the rules of coming back: it weighs what the register said, not what of it is believed
		asked = view.Wrap(viewOf(name), d.pace.hold, d, s.knownAt(addr), s.p.memory.age(addr))
	}
	if s.p.comeback == nil {
		return asked
	}
	w := s.p.comeback.Wrap(name, asked, s.knownAt(addr))
	d.hold = func() time.Duration { return w.WatchTimeout(d.pace.hold) }
	return w
}

// viewOf is the name under which a register is weighed. That of the only service keeps it where it moves.
func viewOf(register string) string { return cmp.Or(register, "discovery") }

// follow has a service's view be that of the register that it asks.
func (s *service) follow(addr string) {
	switch {
	case s.sight == nil:
	case s.name == "":
		s.sight.Follow(viewOf(""))
	default:
		s.sight.Follow(viewOf(addr))
	}
}

// knownAt is the list of a register as it was known at the start.
func (s *services) knownAt(addr string) List {
	if addr != s.p.cfg.Discovery {
		return List{}
	}
	return List{Version: s.p.cfg.Known.Version, Full: true, Endpoints: s.p.cfg.Known.Endpoints}
}

// several tells whether there are routes to services, rather than one that has all.
func (s *services) several() bool {
	now := s.now.Load()
	return now != nil && now.only == nil
}

// start brings up what the configuration says. ctx ends all of it.
func (s *services) start(ctx context.Context, cfg *Config) error {
	s.ctx = ctx
	if cfg.Services != "" {
		return s.reload(ctx, cfg.Discovery)
	}
	s.discovery = cfg.Discovery
	only, err := s.newService(ctx, cfg.Discovery, config.Service{}, cfg.Module, s.p.own)
	if err != nil {
		return err
	}
	s.now.Store(&installed{only: only, byName: map[string]*service{"": only}})
	return nil
}

// reread installs the file of services as it is now, and tells what then holds.
func (s *services) reread() (string, error) {
	if !s.several() {
		return "", errors.New("there is one service, without routes")
	}
	if err := s.reload(s.ctx, ""); err != nil {
		return "", err
	}
	now := s.now.Load()
	return fmt.Sprintf("%d services, %d routes", len(now.byName), now.table.RuleCount()), nil
}

// reload takes in a new address of discovery, if it is given, and the file of services. A bad one changes nothing.
func (s *services) reload(ctx context.Context, discovery string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return errors.New("the proxy is ending")
	}
	if discovery == "" {
		discovery = s.discovery
	}
	old := s.now.Load()
	if old != nil && old.only != nil {
		s.discovery = discovery
		s.moveTo(old.only, discovery)
		return nil
	}
	file, err := config.Load(s.p.cfg.Services)
	if err != nil {
		return err
	}
	next := &installed{byName: map[string]*service{}, table: file.Table, sticky: map[string]string{}, limits: file.File.Limits, otherwise: file.File.Default}
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
		svc, err := s.newService(ctx, discovery, spec, module, metrics.New(classes))
		if err != nil {
			for _, b := range began {
				b.cancel()
			}
			return fmt.Errorf("service %q: %w", spec.Name, err)
		}
		began = append(began, svc)
		next.byName[spec.Name] = svc
	}
	if old != nil && old.policy != nil {
		if err := next.decideBy(old.policy, s.policyRoutes); err != nil {
			for _, b := range began {
				b.cancel()
			}
			return fmt.Errorf("the policy that holds: %w", err)
		}
	}
	var leaving []string
	if old != nil {
		for name, svc := range old.byName {
			if next.byName[name] != svc {
				leaving = append(leaving, name)
			}
		}
	}
	if err := s.limits.Reconfigure(file.File, s.totals(&file.File.Limits), leaving); err != nil {
		for _, b := range began {
			b.cancel()
		}
		return err
	}
	s.discovery = discovery
	for _, spec := range file.File.Services {
		addr := spec.Discovery
		if addr == "" {
			addr = discovery
		}
		s.moveTo(next.byName[spec.Name], addr)
	}
	if old != nil { // a process that starts has nobody to serve yet, and its list is fresh
		s.vet(ctx, began)
	}
	s.now.Store(next) // the one step in which all of it changes
	for _, name := range leaving {
		svc := old.byName[name]
		s.running.Go(func() {
			svc.retire(ctx)
			s.limits.RemoveLeaving(name)
		})
	}
	s.p.log.Info("services", "services", len(next.byName), "routes", next.table.RuleCount(), "new", len(began))
	return nil
}

// vetFor is how long a change waits for the first probes of the services that it brings: those who ask at the console
// wait a second.
const vetFor = 600 * time.Millisecond

// vet has new services probe their servers before the routes lead to them.
func (s *services) vet(ctx context.Context, began []*service) {
	ctx, cancel := context.WithTimeout(ctx, vetFor)
	defer cancel()
	var all sync.WaitGroup
	for _, svc := range began {
		all.Go(func() {
			passed, asked := svc.engine.CheckReadiness(ctx)
			s.p.log.Info("a new service begins", "service", svc.name, "probed", asked, "passed", passed)
		})
	}
	all.Wait()
}

// totals are what the services share: what the file says, and else what the process has.
func (s *services) totals(l *config.Limits) limiter.Totals {
	c := &s.p.cfg
	t := limiter.Totals{Requests: l.MaxInFlight, Bytes: l.MaxBodyBytes, Conns: int64(s.backendPlaces()), Attempts: l.MaxAttemptRate}
	if t.Requests == 0 {
		t.Requests = int64(openSockets * float64(c.Sockets))
	}
	if t.Bytes == 0 {
		t.Bytes = bodyRoom(c)
	}
	return t
}

// gateOf is who gets the last of a service's share.
func gateOf(m *decision.Config) (*processquota.Gate, error) {
	var classes []processquota.GateClass
	for _, c := range m.Classes {
		classes = append(classes, processquota.GateClass{PriorityWeight: c.PriorityWeight, HoldTime: max(c.LatencyObjective, time.Millisecond).Seconds()})
	}
	var weights []float64
	for _, t := range m.Tenants {
		weights = append(weights, t.Share)
	}
	return processquota.NewGate(classes, weights)
}

// moduleOf are the settings of a service's decisions: the process's, but for what its file says otherwise.
func (s *services) moduleOf(spec *config.Service) decision.Config {
	m := s.p.cfg.Module
	if len(spec.Classes) > 0 {
		m.Classes = nil
		for _, c := range spec.Classes {
			effect := decision.NotIdempotent
			if c.Effect == "safe" {
				effect = decision.Idempotent
			}
			m.Classes = append(m.Classes, decision.Class{Name: plain(c.Name), LatencyObjective: time.Duration(c.LatencyObjective), ClientTimeout: time.Duration(c.Timeout), Idempotency: effect,
				DeduplicationScope: decision.ScopeAll, LateValueShare: c.LateValue, PriorityWeight: c.PriorityWeight})
		}
	}
	m.RetryBudgetRatio = spec.RetryRatio
	m.Capabilities.MaxOpenRequests = max(1, int(spec.Share.Cap*float64(m.Capabilities.MaxOpenRequests)))
	return m
}

// keeps tells whether a service can live on under another configuration.
func (s *service) keeps(spec *config.Service, module decision.Config) bool {
	return s.spec.Upstream == spec.Upstream && slices.Equal(s.spec.Kinds, spec.Kinds) && slices.Equal(s.spec.Cells, spec.Cells) && slices.Equal(s.module.Classes, module.Classes) &&
		s.module.Capabilities.MaxOpenRequests == module.Capabilities.MaxOpenRequests && s.module.RetryBudgetRatio == module.RetryBudgetRatio
}

func (s *services) moveTo(svc *service, discovery string) {
	svc.engine.Post(func() {
		if discovery != svc.engine.Source().Addr() {
			source, _ := s.source(discovery, &svc.spec)
			svc.engine.SwitchSource(source)
			svc.follow(discovery)
		}
	})
}

// source is the register at an address as a service sees it, and the list as far as it is known already. Of several
// services all follow one register by one watch.
func (s *services) source(addr string, spec *config.Service) (engine.Source, List) {
	known := s.knownAt(addr)
	if spec.Name == "" {
		return s.ask("", addr), known
	}
	follower := s.registers.Subscribe(addr, known)
	known, _ = follower.List()
	if len(spec.Kinds) == 0 && len(spec.Cells) == 0 {
		return follower, known
	}
	part := selected{follower, *spec}
	return part, part.pick(known)
}

// newService starts an engine with connections of its own.
func (s *services) newService(ctx context.Context, discovery string, spec config.Service, module decision.Config, fig *metrics.Counters) (*service, error) {
	svc := &service{name: spec.Name, spec: spec, module: module, figures: fig, roster: newRoster(),
		idle: make(chan struct{}, 1), ended: make(chan struct{})}
	var classes, tenants []string
	for _, c := range module.Classes {
		classes = append(classes, c.Name)
	}
	for _, t := range module.Tenants {
		tenants = append(tenants, t.Name)
	}
	told := s.p.cfg.Names
	if len(spec.Classes) > 0 { // its own ones
		told.Classes = nil
	}
	svc.classes, svc.tenants = numbered(classes, told.Classes), numbered(tenants, told.Tenants)
	idle := module.Capabilities.ConnectionIdleTimeout
	if spec.Name != "" { // what stands idle here is kept from others: it comes back within the recall time
		idle = min(idle, defaultRecall)
	}
	svc.pool = newPool(s.backendPlaces(), module.Capabilities.ConnectTimeout, idle)
	svc.pool.attempts = &fig.Attempts
	seed := s.p.cfg.Seed
	var err error
	if spec.Name != "" {
		svc.pool.share = &share{s.limits, spec.Name}
		seed ^= nameSeed(spec.Name)
		if svc.gate, err = gateOf(&module); err != nil {
			return nil, err
		}
		if spec.Discovery != "" {
			discovery = spec.Discovery
		}
	}
	if s.requests != nil {
		gate, err := gateOf(&module) // one of its own: it counts what it lets in
		if err != nil {
			return nil, err
		}
		if svc.requests, err = listener.NewRequestLimiter(*s.requests, gate, len(module.Tenants), seed); err != nil {
			return nil, err
		}
	}
	var up engine.Upstream = svc.pool
	if spec.Upstream == "diameter" {
		if svc.diameter, err = s.p.diameterUpstream(&module); err != nil {
			return nil, err
		}
		up = svc.diameter
	}
	var fleetBudget engine.Quota // stays nil where nothing covers the service
	if link := s.p.fleet.Load(); link != nil {
		svc.pool.fleet = true
		sight, err := link.ForService(spec.Name, classes, tenants)
		if err != nil {
			return nil, err
		}
		if sight != nil {
			fleetBudget = sight
		}
	}
	source, known := s.source(discovery, &spec)
	var view engine.Freshness // stays nil where nothing is weighed
	if link := s.p.view.Load(); link != nil {
		svc.sight = link.ForService(module.Classes)
		svc.follow(discovery)
		view = svc.sight
	}
	var recall *decision.Snapshot
	if s.p.memory != nil {
		recall = s.p.memory.recall(spec.Name)
	}
	svc.engine, err = engine.New(engine.Options{Decision: module, Seed: seed, InitialEndpoints: known, Snapshot: recall, AllowRetry: svc.mayRepeat(s.limits), Quota: fleetBudget, Freshness: view, Zones: s.p.cfg.Zones, Kinds: s.p.cfg.Kinds,
		Upstream: up, Source: source, Log: s.p.log, Detached: s.p.store.Detached, DetachedChanged: svc.roster.wake, OnEndpoints: svc.roster.add,
		OnBackendCount: func(known, excluded int) {
			fig.BackendsKnown.Store(int64(known))
			fig.BackendsExcluded.Store(int64(excluded))
		}})
	if err != nil {
		source.Close()
		if svc.diameter != nil {
			svc.diameter.Close()
		}
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
		if svc.diameter != nil {
			svc.diameter.Close()
		}
	})
	return svc, nil
}

// mayRepeat is asked before each further attempt.
func (s *service) mayRepeat(l *limiter.Limits) func() bool {
	if s.name == "" {
		return nil
	}
	return func() bool { return l.AcquireRetry(s.name) }
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
	now := s.now.Load()
	for _, svc := range now.byName {
		svc.pool.limitOpen(s.backendPlaces())
	}
	if now.only == nil {
		if err := s.limits.Resize(s.totals(&now.limits)); err != nil {
			s.p.log.Error("the services' limits stay", "err", err)
		}
	}
}

// wait waits until all services have ended. Their context has ended before: no change begins any more.
func (s *services) wait() {
	s.mu.Lock() // one that is under way
	s.mu.Unlock()
	s.running.Wait()
}

// route gives the service for a request, held until it leaves it.
func (s *services) route(r *http.Request) (*service, *client.InstalledPolicy, error) {
	return s.pick(func(now *installed) (*service, error) { return now.find(r) })
}

// pick gives the service that find names, where there are several, held until it is left.
// The policy that it was decided under comes with it, and with an error too.
func (s *services) pick(find func(now *installed) (*service, error)) (*service, *client.InstalledPolicy, error) {
	for {
		now := s.now.Load()
		svc := now.only
		if svc == nil {
			var err error
			if svc, err = find(now); err != nil {
				return nil, now.policy, err
			}
		}
		if svc.enter() {
			return svc, now.policy, nil
		}
		if s.now.Load() == now { // it ends with the process
			return nil, now.policy, &rejection{status: http.StatusServiceUnavailable, text: "the service is ending"}
		}
	}
}

func (n *installed) find(r *http.Request) (*service, error) {
	q := route.Request{Host: r.Host, Path: r.URL.Path, Method: r.Method, Class: r.Header.Get("X-Priority-Class"), Tenant: r.Header.Get("X-Tenant-Id")}
	svc, err := n.lookup(&q, func() string { return r.URL.Query().Get("key") }, r.Header.Get("X-Request-Id"))
	if err == nil && svc.diameter != nil {
		return nil, &rejection{status: http.StatusNotImplemented, text: "the servers behind this route speak Diameter"}
	}
	return svc, err
}

// lookup finds a request's service by the routes; key and id are what a route that splits may go by.
func (n *installed) lookup(q *route.Request, key func() string, id string) (*service, error) {
	if err := n.blocked(q); err != nil {
		return nil, err
	}
	rule, verdict := n.table.Lookup(q)
	switch verdict {
	case route.Found:
	case route.UnknownHost:
		return nil, &rejection{status: http.StatusMisdirectedRequest, text: verdict.String()}
	case route.AmbiguousPath:
		return nil, malformed("%v", verdict)
	default:
		return nil, &rejection{status: http.StatusNotFound, text: verdict.String()}
	}
	by := ""
	if len(rule.To) > 1 {
		switch n.sticky[rule.Name] {
		case "tenant":
			by = q.Tenant
		case "request":
			by = id
		default:
			if by = key(); by == "" {
				by = id
			}
		}
	}
	svc := n.byName[rule.Pick(nameSeed(by))]
	if svc == nil {
		return nil, &rejection{status: http.StatusNotFound, text: "the route's service is not there"}
	}
	return svc, nil
}

// longest is the longest that a client waits.
func (s *services) longest() time.Duration {
	most := time.Duration(0)
	for _, svc := range s.now.Load().byName {
		for _, c := range svc.module.Classes {
			most = max(most, c.ClientTimeout)
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
	own    *metrics.Counters
	byName map[string]*service
	limits *limiter.Limits
}

// MarshalJSON gives the sums in the form of one service, and each service's own beside them.
func (a allFigures) MarshalJSON() ([]byte, error) {
	all := map[string]*metrics.Counters{}
	for name, svc := range a.byName {
		all[name] = svc.figures
	}
	return metrics.MarshalTotals(a.own, all, a.limits.Report())
}

// share is a service's part of the connections to backends.
type share struct {
	limits *limiter.Limits
	name   string
}

func (s *share) take() bool { return s.limits.AcquireConn(s.name) }
func (s *share) give()      { s.limits.ReleaseConn(s.name) }
