package proxy

import (
	"net/http"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/membudget"
	"lapisspread/internal/processquota"
	"lapisspread/internal/processquota/limiter"
	config "lapisspread/internal/services"
)

const (
	reservedSockets      = 32      // descriptors for everything except connections of clients, peers and backends
	peerSocketFraction   = 1.0 / 3 // of the other descriptors, for Diameter peers at most
	clientSocketFraction = 0.6     // of the other descriptors, for client connections; a client without one loses its request
	openRequestFraction  = 1.0 / 3 // limit on open requests, as a fraction of all descriptors
	bodyMemoryFraction   = 1.0 / 8 // memory for the bodies of requests in flight, as a fraction of all memory

	programMemory      = 18 << 20                         // bytes that the process uses before it holds anything, with the program itself
	maxHeapFraction    = 0.7                              // of all memory; the rest is for what the garbage collector doesn't count
	minHeapFraction    = 0.35                             // of all memory, where that is little more than programMemory
	peerMemoryFraction = 1.0 / 4                          // of the heap, for heads, bodies and responses that are held for peers
	requestMemory      = membudget.SmallBytes - smallBody // bytes for a request beside its body: stacks and buffers
	clientConnMemory   = 24 << 10                         // bytes for a client's connection, beside what is held for its request
)

// HeapLimit returns the limit in bytes for the garbage collector, so that the process keeps to its memory. shared is
// whether another process of this proxy uses the same memory.
func (c *Config) HeapLimit(shared bool) int64 {
	memory := float64(c.MemoryMB) * (1 << 20)
	limit := max(minHeapFraction*memory, min(maxHeapFraction*memory, memory-programMemory))
	if shared {
		limit /= 2
	}
	return int64(limit)
}

// peerMemoryLimit returns the maximum size in bytes of all heads, bodies and responses that are held for peers.
func (c *Config) peerMemoryLimit(shared bool) int64 {
	return int64(peerMemoryFraction * float64(c.HeapLimit(shared)))
}

// bodyMemoryLimit returns the maximum size in bytes of the bodies of all requests in flight.
func bodyMemoryLimit(c *Config) int64 {
	return int64(bodyMemoryFraction * float64(c.MemoryMB) * (1 << 20))
}

// maxPeerConns returns the maximum number of open connections of Diameter peers, of which the peers' file allows a number.
func maxPeerConns(c *Config, allowed int) int {
	return min(allowed, int(peerSocketFraction*float64(c.Sockets-reservedSockets)))
}

// connSockets returns the number of descriptors for the connections of clients and backends.
func connSockets(c *Config) int { return c.Sockets - reservedSockets - c.peerSockets }

// maxClientConns returns the maximum number of open client connections: as many as the descriptors and the memory allow,
// but at least one for each open request.
func maxClientConns(c *Config) int {
	bySockets := int(clientSocketFraction * float64(connSockets(c)))
	byMemory := int(c.peerMemoryLimit(false) / clientConnMemory)
	return min(bySockets, max(byMemory, maxOpenRequests(c)))
}

// maxOpenRequests returns the maximum number of open requests.
func maxOpenRequests(c *Config) int { return int(openRequestFraction * float64(c.Sockets)) }

// maxBackendConns returns the maximum number of open connections to backends.
func (s *serviceSet) maxBackendConns() int {
	limit := connSockets(&s.proxy.cfg) - maxClientConns(&s.proxy.cfg)
	if s.halfCapacity {
		limit /= 2
	}
	return limit
}

// setHalfCapacity limits all services to half of the backend connections, or restores the whole limit.
func (s *serviceSet) setHalfCapacity(half bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.halfCapacity = half
	state := s.current.Load()
	for _, svc := range state.byName {
		svc.pool.setMaxOpen(s.maxBackendConns())
	}
	if state.only != nil {
		return
	}
	if err := s.limits.Resize(s.processLimits(&state.limits)); err != nil {
		s.proxy.log.Error("keeping the old service limits", "err", err)
	}
}

// processLimits returns the limits that all services share: those set in the file of services, and for the others the
// limits of the process.
func (s *serviceSet) processLimits(l *config.Limits) limiter.Totals {
	totals := limiter.Totals{
		Requests: l.MaxInFlight,
		Bytes:    l.MaxBodyBytes,
		Conns:    int64(s.maxBackendConns()),
		Attempts: l.MaxAttemptRate,
	}
	if totals.Requests == 0 {
		totals.Requests = int64(maxOpenRequests(&s.proxy.cfg))
	}
	if totals.Bytes == 0 {
		totals.Bytes = bodyMemoryLimit(&s.proxy.cfg)
	}
	return totals
}

// newGate makes the gate that decides which requests are admitted when a service's quota is nearly used up.
func newGate(m *decision.Config) (*processquota.Gate, error) {
	var classes []processquota.GateClass
	for _, c := range m.Classes {
		classes = append(classes, processquota.GateClass{
			PriorityWeight: c.PriorityWeight,
			HoldTime:       max(c.LatencyObjective, time.Millisecond).Seconds(),
		})
	}
	var weights []float64
	for _, t := range m.Tenants {
		weights = append(weights, t.Share)
	}
	return processquota.NewGate(classes, weights)
}

// ticket is a request that was admitted within its service's limits and holds its part of them until release.
type ticket struct {
	services *serviceSet
	service  *service
	limits   limiter.Request
	tenant   int
}

// admit admits a request within the limits of its service, or rejects it. The caller must release the ticket.
func (s *serviceSet) admit(svc *service, class, tenant int, bytes int64) (ticket, *rejection) {
	t := ticket{services: s, service: svc, tenant: tenant, limits: limiter.Request{
		Service: svc.name,
		Gate:    svc.gate,
		Class:   class,
		Tenant:  tenant,
		Bytes:   bytes,
	}}
	if svc.gate != nil {
		if reason, retryAfter := s.limits.Acquire(t.limits); reason != "" {
			return ticket{}, overLimit(reason, retryAfter)
		}
	}
	if svc.requestLimiter != nil {
		if reason, retryAfter := svc.requestLimiter.Acquire(class, tenant, 0); reason != "" {
			if svc.gate != nil {
				s.limits.Release(t.limits)
			}
			return ticket{}, overLimit(reason, retryAfter)
		}
	}
	return t, nil
}

// overLimit returns a rejection with status 503 for a request beyond a limit.
func overLimit(reason string, retryAfter time.Duration) *rejection {
	return &rejection{status: http.StatusServiceUnavailable, message: reason, retryAfter: retryAfter}
}

// release returns the request's part of the limits. servedIn is the time to a successful response, or 0 without one.
func (t *ticket) release(servedIn time.Duration) {
	if t.service.requestLimiter != nil {
		t.service.requestLimiter.Release(t.tenant, servedIn)
	}
	if t.service.gate != nil {
		t.services.limits.Release(t.limits)
	}
}

// connQuota is a service's share of the limit on connections to backends.
type connQuota struct {
	limits  *limiter.Limits
	service string
}

func (q *connQuota) acquire() bool { return q.limits.AcquireConn(q.service) }
func (q *connQuota) release()      { q.limits.ReleaseConn(q.service) }
