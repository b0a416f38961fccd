package proxy

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/admission"
	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/discovery"
	"lapisspread/internal/engine"
	"lapisspread/internal/metrics"
	"lapisspread/internal/processquota/limiter"
	config "lapisspread/internal/services"
)

// readinessWait is how long a reload waits for the first health checks of its new services. It is less than the
// 1 s that an operator's reload command waits for its result.
const readinessWait = 600 * time.Millisecond

// serviceSet holds all running services and the routes to them. There is either a single service without a name, or the
// services of a file. Reads of the current state take no lock.
type serviceSet struct {
	proxy   *Proxy
	current atomic.Pointer[routingState]
	limits  *limiter.Limits // limits that all services share: requests, body bytes, connections and attempts
	running sync.WaitGroup  // goroutines that run services or wait for retired ones to end

	mu                sync.Mutex      // held during a reload; guards the fields below
	halfCapacity      bool            // backend connections are limited to half: another process of this proxy runs
	policyRoutes      bool            // routes come from the control plane's policy once one is installed
	discovery         string          // address of the process's discovery server since the last reload
	ctx               context.Context // all services stop when it ends
	discoveryRegistry *discovery.Registry
	requests          *admission.RequestSettings // limits the requests in flight of each service; nil if there is no limit
}

// newServices returns the service set of a proxy. No service runs before start.
func newServices(p *Proxy) *serviceSet {
	s := &serviceSet{proxy: p, limits: limiter.New(engine.NewClock().Now)}
	s.discoveryRegistry = discovery.NewRegistry(p.cfg.timing.maxBackoff, func(addr string) engine.Source {
		return s.newSource(addr, addr)
	})
	return s
}

// hasRoutes reports whether requests are routed to several services, rather than all to a single service.
func (s *serviceSet) hasRoutes() bool {
	state := s.current.Load()
	return state != nil && state.only == nil
}

// start starts the configured services. All of them stop when ctx ends.
func (s *serviceSet) start(ctx context.Context, cfg *Config) error {
	s.ctx = ctx
	if cfg.Services != "" {
		return s.reload(ctx, cfg.Discovery)
	}
	s.discovery = cfg.Discovery
	only, err := s.newService(ctx, cfg.Discovery, config.Service{}, cfg.Decision, s.proxy.counters)
	if err != nil {
		return err
	}
	s.current.Store(&routingState{only: only, byName: map[string]*service{"": only}})
	return nil
}

// reloadRoutes reloads the file of services and returns a summary of it.
func (s *serviceSet) reloadRoutes() (string, error) {
	if !s.hasRoutes() {
		return "", errors.New("there is one service, without routes")
	}
	if err := s.reload(s.ctx, ""); err != nil {
		return "", err
	}
	state := s.current.Load()
	return fmt.Sprintf("%d services, %d routes", len(state.byName), state.table.RuleCount()), nil
}

// reload applies a new discovery address, unless it is empty, and the current file of services. After an error the old
// state stays in force.
func (s *serviceSet) reload(ctx context.Context, discovery string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return errors.New("the proxy is ending")
	}
	if discovery == "" {
		discovery = s.discovery
	}
	old := s.current.Load()
	if old != nil && old.only != nil {
		s.discovery = discovery
		s.switchDiscovery(old.only, discovery)
		return nil
	}
	file, err := config.Load(s.proxy.cfg.Services)
	if err != nil {
		return err
	}
	next, started, err := s.build(ctx, file, old, discovery)
	if err != nil {
		return err
	}
	retired := retiredServices(old, next)
	names := make([]string, 0, len(retired))
	for name := range retired {
		names = append(names, name)
	}
	if err := s.limits.Reconfigure(file.File, s.processLimits(&file.File.Limits), names); err != nil {
		cancelAll(started)
		return err
	}
	s.discovery = discovery
	for _, spec := range file.File.Services {
		addr := spec.Discovery
		if addr == "" {
			addr = discovery
		}
		s.switchDiscovery(next.byName[spec.Name], addr)
	}
	if old != nil { // no check at startup: there are no clients yet, and the endpoint list is fresh
		s.checkReadiness(ctx, started)
	}
	s.current.Store(next) // requests see the old state or the new one, never a mixture
	for name, svc := range retired {
		s.running.Go(func() {
			svc.retire(ctx)
			s.limits.RemoveLeaving(name)
		})
	}
	s.proxy.log.Info("services loaded",
		"services", len(next.byName), "routes", next.table.RuleCount(), "new", len(started))
	return nil
}

// build makes the routing state of a file of services. A service whose decision settings stay the same is kept, with
// what it has learned about its backends; the others are started. After an error the started ones are cancelled. The
// lock must be held.
func (s *serviceSet) build(ctx context.Context, file *config.Config, old *routingState, discovery string) (
	next *routingState, started []*service, err error,
) {
	defer func() {
		if err != nil {
			cancelAll(started)
		}
	}()
	next = newRoutingState(file)
	for _, spec := range file.File.Services {
		module := s.decisionConfig(&spec)
		if old != nil {
			if svc := old.byName[spec.Name]; svc != nil && svc.canKeep(&spec, module) {
				next.byName[spec.Name] = svc
				continue
			}
		}
		svc, err := s.newService(ctx, discovery, spec, module, metrics.New(classNames(&module)))
		if err != nil {
			return nil, started, fmt.Errorf("service %q: %w", spec.Name, err)
		}
		started = append(started, svc)
		next.byName[spec.Name] = svc
	}
	if old != nil && old.policy != nil {
		if err := next.applyPolicy(old.policy, s.policyRoutes); err != nil {
			return nil, started, fmt.Errorf("the policy that holds: %w", err)
		}
	}
	return next, started, nil
}

// retiredServices returns the services of old that next no longer has, by name.
func retiredServices(old, next *routingState) map[string]*service {
	retired := map[string]*service{}
	if old == nil {
		return retired
	}
	for name, svc := range old.byName {
		if next.byName[name] != svc {
			retired[name] = svc
		}
	}
	return retired
}

// cancelAll stops services without waiting for their requests.
func cancelAll(services []*service) {
	for _, svc := range services {
		svc.cancel()
	}
}

// checkReadiness makes new services check the health of their backends before requests are routed to them. It blocks
// for at most readinessWait.
func (s *serviceSet) checkReadiness(ctx context.Context, started []*service) {
	ctx, cancel := context.WithTimeout(ctx, readinessWait)
	defer cancel()
	var checks sync.WaitGroup
	for _, svc := range started {
		checks.Go(func() {
			passed, checked := svc.engine.CheckReadiness(ctx)
			s.proxy.log.Info("service started", "service", svc.name, "checked", checked, "passed", passed)
		})
	}
	checks.Wait()
}

// installPolicy routes new requests by a new policy. After an error the old one stays in force. Requests in flight
// keep the policy that routed them.
func (s *serviceSet) installPolicy(policy *client.InstalledPolicy) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if old == nil {
		return errors.New("the proxy does not serve yet")
	}
	next := *old
	if err := next.applyPolicy(policy, s.policyRoutes); err != nil {
		return err
	}
	s.current.Store(&next)
	return nil
}

// wait blocks until all services have ended. Their context must have been cancelled, so that no reload can start.
func (s *serviceSet) wait() {
	s.waitForReload()
	s.running.Wait()
}

// waitForReload blocks while a reload is in progress.
func (s *serviceSet) waitForReload() {
	s.mu.Lock()
	defer s.mu.Unlock()
}

// decisionConfig returns the decision settings of a service: those of the process, except for what the service's spec
// overrides.
func (s *serviceSet) decisionConfig(spec *config.Service) decision.Config {
	m := s.proxy.cfg.Decision
	if len(spec.Classes) > 0 {
		m.Classes = nil
		for _, c := range spec.Classes {
			idempotency := decision.NotIdempotent
			if c.Effect == "safe" {
				idempotency = decision.Idempotent
			}
			m.Classes = append(m.Classes, decision.Class{
				Name:               normalizeName(c.Name),
				LatencyObjective:   time.Duration(c.LatencyObjective),
				ClientTimeout:      time.Duration(c.Timeout),
				Idempotency:        idempotency,
				DeduplicationScope: decision.ScopeAll,
				LateValueShare:     c.LateValue,
				PriorityWeight:     c.PriorityWeight,
			})
		}
	}
	m.RetryBudgetRatio = spec.RetryRatio
	m.Capabilities.MaxOpenRequests = max(1, int(spec.Share.Cap*float64(m.Capabilities.MaxOpenRequests)))
	return m
}

// classNames returns the normalized names of the classes, by number.
func classNames(m *decision.Config) []string {
	names := make([]string, len(m.Classes))
	for i, c := range m.Classes {
		names[i] = c.Name
	}
	return names
}

// maxClientTimeout returns the longest timeout of any class of any service.
func (s *serviceSet) maxClientTimeout() time.Duration {
	longest := time.Duration(0)
	for _, svc := range s.current.Load().byName {
		for _, c := range svc.module.Classes {
			longest = max(longest, c.ClientTimeout)
		}
	}
	return longest
}

// knowsEndpoint reports whether any service has ever had a backend with that ID in its endpoint list.
func (s *serviceSet) knowsEndpoint(id string) bool {
	state := s.current.Load()
	if state == nil {
		return false
	}
	for _, svc := range state.byName {
		if svc.endpoints.contains(id) {
			return true
		}
	}
	return false
}

// notifyAll makes all services read again which backends an operator has detached.
func (s *serviceSet) notifyAll() {
	state := s.current.Load()
	if state == nil {
		return
	}
	for _, svc := range state.byName {
		svc.endpoints.notify()
	}
}
