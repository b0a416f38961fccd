package proxy

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/diameter"
	"lapisspread/internal/diameter/claim"
	"lapisspread/internal/diameter/frontend"
	"lapisspread/internal/diameter/upstream"
	"lapisspread/internal/engine"
	"lapisspread/internal/metrics"
	"lapisspread/internal/route"
)

// diameterOutcomes maps the engine's outcomes to those that the counters use.
var diameterOutcomes = map[engine.Outcome]metrics.Outcome{
	engine.Served:   metrics.Served,
	engine.Rejected: metrics.Rejected,
	engine.Failed:   metrics.Failed,
}

// requestID returns the ID of a Diameter request, for its backends and for routes that split traffic by request.
func requestID(a *claim.Ask) string { return fmt.Sprintf("%s/%08x", a.Name.Origin, a.Name.ID) }

// route finds the service for a Diameter request and admits the request within the service's limits. The error is a
// *frontend.Turned with the answer for the peer.
func (d *diameterService) route(a *claim.Ask, bytes int64) (*frontend.Service, error) {
	s := d.p.services
	svc, policy, err := s.acquireService(func(state *routingState) (*service, error) {
		q := route.Request{Host: a.Realm, Path: a.Path, Method: http.MethodPost, Class: a.Class, Tenant: a.Tenant}
		return state.lookup(&q, func() string { return a.Session }, requestID(a))
	})
	if err != nil {
		policy.CountRequest(false)
		return nil, &frontend.Turned{What: err.Error(), Code: diameter.UnableToDeliver}
	}
	class, known := svc.classes[a.Class]
	if !known {
		svc.release()
		what := fmt.Sprintf("the service knows no class %q", a.Class)
		return nil, &frontend.Turned{What: what, Code: diameter.UnableToDeliver}
	}
	tenant := svc.tenants[a.Tenant]
	ticket, rejected := s.admit(svc, class, tenant, bytes)
	if rejected != nil {
		svc.counters.CountRequest(class, metrics.Rejected)
		policy.CountRequest(false)
		svc.release()
		return nil, &frontend.Turned{What: rejected.message, After: max(rejected.retryAfter, time.Second)}
	}
	memory := d.p.memory.Open()
	if !memory.Take(requestMemory + bytes) {
		ticket.release(0)
		svc.counters.CountRequest(class, metrics.Rejected)
		policy.CountRequest(false)
		svc.release()
		return nil, &frontend.Turned{What: "too many bytes are in hand", After: time.Second}
	}
	svc.counters.InFlight.Add(1)
	var servedIn time.Duration
	out := &frontend.Service{
		Engine: svc.engine,
		Class:  class,
		Tenant: tenant,
		Unsafe: svc.module.Classes[class].Idempotency != decision.Idempotent,
		Ended: func(end engine.Outcome, took time.Duration) {
			servedIn = took
			policy.CountRequest(end == engine.Served)
			svc.counters.CountRequest(class, diameterOutcomes[end])
		},
		Leave: func() {
			svc.counters.InFlight.Add(-1)
			memory.Close()
			ticket.release(servedIn)
			svc.release()
		},
		Message: func(a *claim.Ask, wire diameter.Message) (engine.Message, error) {
			m, err := d.httpMessage(a, wire)
			if err != nil {
				return nil, err
			}
			m.memory = memory
			return m, nil
		},
	}
	if svc.diameter != nil {
		out.Message = func(_ *claim.Ask, wire diameter.Message) (engine.Message, error) {
			return upstream.NewMessage(wire), nil
		}
	}
	return out, nil
}

// hasUnsafeClass reports whether a service has a class of this name whose requests must not run twice. A name that no
// service has counts as one.
func (s *serviceSet) hasUnsafeClass(name string) bool {
	known := false
	for _, svc := range s.current.Load().byName {
		class, found := svc.classes[name]
		if found && svc.module.Classes[class].Idempotency != decision.Idempotent {
			return true
		}
		known = known || found
	}
	return !known
}

// httpMessage converts a Diameter request to a request for an HTTP server. Its body is a JSON object of the AVPs by
// name.
func (d *diameterService) httpMessage(a *claim.Ask, wire diameter.Message) (*message, error) {
	body, err := d.rules.Dictionary().JSON(wire.AVPs())
	if err != nil {
		return nil, err
	}
	if len(body) > maxBufferedBody {
		// The text means: the request's JSON body exceeds the limit of maxBufferedBody bytes.
		return nil, fmt.Errorf("a claim of %d bytes; %d are the most", len(body), maxBufferedBody)
	}
	id := requestID(a)
	if len(id) > maxRequestIDBytes {
		id = fmt.Sprintf("%016x/%08x", hashName(a.Name.Origin), a.Name.ID)
	}
	h := http.Header{
		"Content-Type":     {"application/json"},
		"X-Request-Id":     {id},
		"Idempotency-Key":  {id},
		"X-Priority-Class": {a.Class},
		"User-Agent":       nil,
	}
	if a.Tenant != "" {
		h.Set("X-Tenant-Id", a.Tenant)
	}
	if a.Repeat {
		h.Set("X-Retried", "1")
	}
	target := url.URL{Path: a.Path, RawQuery: "key=" + url.QueryEscape(a.Session)}
	return &message{method: http.MethodPost, host: a.Realm, url: target, header: h, body: body}, nil
}
