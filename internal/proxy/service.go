package proxy

import (
	"context"
	"hash/fnv"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/controlplane/freshness"
	"lapisspread/internal/diameter/upstream"
	"lapisspread/internal/engine"
	"lapisspread/internal/listener"
	"lapisspread/internal/metrics"
	"lapisspread/internal/processquota"
	"lapisspread/internal/processquota/limiter"
	config "lapisspread/internal/services"
)

// sharedIdleTimeout is the maximum idle timeout of backend connections if there are several services: idle connections
// count against the limit that all services share, but other services can't use them.
const sharedIdleTimeout = 3 * time.Second

// diameterUpstream is the value of a service's upstream setting for backends that speak Diameter.
const diameterUpstream = "diameter"

// service is one engine with its backend connections, and the data that the front ends need to send requests to it.
type service struct {
	name      string
	spec      config.Service // as in the file of services; empty for a single service
	engine    *engine.Engine
	clock     engine.Clock
	module    decision.Config
	classes   map[string]int // numbers by name
	tenants   map[string]int // numbers by name
	counters  *metrics.Counters
	pool      *pool              // connections to HTTP backends
	endpoints *endpointNames     // IDs of the endpoints that discovery has listed so far
	gate      *processquota.Gate // admits requests when the service's quota is nearly used up; nil for a single service

	requestLimiter *listener.RequestLimiter // limits the requests in flight; nil if there is no limit
	freshness      *freshness.ServiceView   // freshness of its endpoint list; nil unless the control plane enables it
	diameter       *upstream.Upstream       // connections to Diameter backends; nil if the backends speak HTTP

	inFlight atomic.Int64  // requests that have acquired the service
	retiring atomic.Bool   // true once no more requests can acquire it
	released chan struct{} // receives when the last request of a retiring service has released it
	cancel   context.CancelFunc
	done     chan struct{} // closed when run has returned
}

// acquire keeps the service running for a request. It returns false if the service is being retired. The count comes
// before the check, because retire sets the flag before it reads the count; so one of the two always sees the other.
func (s *service) acquire() bool {
	s.inFlight.Add(1)
	if s.retiring.Load() {
		s.release()
		return false
	}
	return true
}

// release undoes acquire.
func (s *service) release() {
	if s.inFlight.Add(-1) == 0 && s.retiring.Load() {
		select {
		case s.released <- struct{}{}:
		default:
		}
	}
}

// retire stops the service once all requests that have acquired it have released it. It blocks until then, or until ctx
// ends.
func (s *service) retire(ctx context.Context) {
	s.retiring.Store(true)
	for s.inFlight.Load() > 0 {
		select {
		case <-s.released:
		case <-ctx.Done():
			return // the service ends with the process
		}
	}
	s.cancel()
	<-s.done
}

// canKeep reports whether a running service can be kept under a new configuration, given as its spec and its decision
// settings.
func (s *service) canKeep(spec *config.Service, module decision.Config) bool {
	return s.spec.Upstream == spec.Upstream &&
		slices.Equal(s.spec.Kinds, spec.Kinds) &&
		slices.Equal(s.spec.Cells, spec.Cells) &&
		slices.Equal(s.module.Classes, module.Classes) &&
		s.module.Capabilities.MaxOpenRequests == module.Capabilities.MaxOpenRequests &&
		s.module.RetryBudgetRatio == module.RetryBudgetRatio
}

// newService starts a service: an engine with its own backend connections. An empty name in spec means a single
// service. discovery is the address of the discovery server, unless spec has its own.
func (s *serviceSet) newService(
	ctx context.Context, discovery string, spec config.Service, module decision.Config, counters *metrics.Counters,
) (*service, error) {
	svc := &service{
		name:      spec.Name,
		spec:      spec,
		module:    module,
		counters:  counters,
		endpoints: newEndpointNames(),
		released:  make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
	tenants := svc.numberNames(&s.proxy.cfg.Names)
	svc.pool = s.newServicePool(svc)
	seed := s.proxy.cfg.Seed
	if spec.Name != "" {
		seed ^= hashName(spec.Name)
		if spec.Discovery != "" {
			discovery = spec.Discovery
		}
	}
	if err := s.openLimits(svc, seed); err != nil {
		return nil, err
	}
	var backends engine.Upstream = svc.pool
	if spec.Upstream == diameterUpstream {
		var err error
		svc.diameter, err = s.proxy.diameterUpstream(&module)
		if err != nil {
			return nil, err
		}
		backends = svc.diameter
	}
	quota, err := s.fleetQuota(svc, tenants)
	if err != nil {
		return nil, err
	}
	source, known := s.subscribe(discovery, &spec)
	options := engine.Options{
		Decision:         module,
		Seed:             seed,
		InitialEndpoints: known,
		Quota:            quota,
		Freshness:        s.openFreshness(svc, discovery),
		Upstream:         backends,
		Source:           source,
	}
	if err := s.startEngine(ctx, svc, options); err != nil {
		source.Close()
		if svc.diameter != nil {
			svc.diameter.Close()
		}
		return nil, err
	}
	return svc, nil
}

// numberNames assigns numbers to the names of the service's classes and tenants, and returns the tenants' normalized
// names.
func (s *service) numberNames(given *Names) (tenants []string) {
	for _, t := range s.module.Tenants {
		tenants = append(tenants, t.Name)
	}
	givenClasses := given.Classes
	if len(s.spec.Classes) > 0 { // the service defines its own classes
		givenClasses = nil
	}
	s.classes = numberNames(classNames(&s.module), givenClasses)
	s.tenants = numberNames(tenants, given.Tenants)
	return tenants
}

// newServicePool makes the pool of a service's connections to HTTP backends.
func (s *serviceSet) newServicePool(svc *service) *pool {
	caps := &svc.module.Capabilities
	idleTimeout := caps.ConnectionIdleTimeout
	if svc.name != "" {
		idleTimeout = min(idleTimeout, sharedIdleTimeout)
	}
	p := newPool(s.maxBackendConns(), caps.ConnectTimeout, idleTimeout)
	p.attempts = &svc.counters.Attempts
	if svc.name != "" {
		p.quota = &connQuota{limits: s.limits, service: svc.name}
	}
	return p
}

// openLimits sets up the gate of a service's part of the process's quota, and its limit on the requests in flight.
func (s *serviceSet) openLimits(svc *service, seed uint64) error {
	if svc.name != "" {
		var err error
		svc.gate, err = newGate(&svc.module)
		if err != nil {
			return err
		}
	}
	if s.requests == nil {
		return nil
	}
	gate, err := newGate(&svc.module) // a separate gate: each counts the requests that it admits
	if err != nil {
		return err
	}
	svc.requestLimiter, err = listener.NewRequestLimiter(*s.requests, gate, len(svc.module.Tenants), seed)
	return err
}

// fleetQuota returns the control plane's quota for a service, or nil if there is none.
func (s *serviceSet) fleetQuota(svc *service, tenants []string) (engine.Quota, error) {
	quotaClient := s.proxy.quotaClient.Load()
	if quotaClient == nil {
		return nil, nil
	}
	svc.pool.fleetHeaders = true
	quota, err := quotaClient.ForService(svc.name, classNames(&svc.module), tenants)
	if err != nil || quota == nil { // returning quota itself would make a non-nil interface
		return nil, err
	}
	return quota, nil
}

// openFreshness starts to monitor the freshness of a service's endpoint list. It returns nil if the proxy does not
// monitor freshness.
func (s *serviceSet) openFreshness(svc *service, discovery string) engine.Freshness {
	monitor := s.proxy.freshness.Load()
	if monitor == nil {
		return nil // a nil *ServiceView in the interface would not compare equal to nil
	}
	svc.freshness = monitor.ForService(svc.module.Classes)
	svc.followFreshness(discovery)
	return svc.freshness
}

// startEngine completes the options and starts the engine in a goroutine, which runs until ctx ends or the service is
// cancelled.
func (s *serviceSet) startEngine(ctx context.Context, svc *service, options engine.Options) error {
	p := s.proxy
	if p.snapshots != nil {
		options.Snapshot = p.snapshots.takeSnapshot(svc.name)
	}
	options.AllowRetry = svc.allowRetry(s.limits)
	options.AnswerBy = p.conns.answerBy
	options.Zones = p.cfg.Zones
	options.Kinds = p.cfg.Kinds
	options.Log = p.log
	options.Detached = p.store.Detached
	options.DetachedChanged = svc.endpoints.changed
	options.OnEndpoints = svc.endpoints.add
	options.OnBackendCount = func(known, excluded int) {
		svc.counters.BackendsKnown.Store(int64(known))
		svc.counters.BackendsExcluded.Store(int64(excluded))
	}
	var err error
	svc.engine, err = engine.New(options)
	if err != nil {
		return err
	}
	svc.clock = svc.engine.Clock()
	inner, cancel := context.WithCancel(ctx)
	svc.cancel = cancel
	s.running.Go(func() { svc.run(inner) })
	return nil
}

// run runs the service and blocks until ctx ends and its goroutines have ended.
func (s *service) run(ctx context.Context) {
	defer close(s.done)
	var running sync.WaitGroup
	running.Go(func() { s.engine.Run(ctx) })
	running.Go(func() { s.pool.runCleanup(ctx) })
	running.Wait()
	if s.diameter != nil {
		s.diameter.Close()
	}
}

// allowRetry returns the check that the engine calls before each retry; nil allows all retries.
func (s *service) allowRetry(l *limiter.Limits) func() bool {
	if s.name == "" {
		return nil
	}
	return func() bool { return l.AcquireRetry(s.name) }
}

// hashName hashes a name, so that services of one process draw different random numbers.
func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return h.Sum64()
}
