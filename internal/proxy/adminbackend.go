package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"lapisspread/internal/admission"
	"lapisspread/internal/discovery/guardedsource"
	"lapisspread/internal/listener"
	"lapisspread/internal/metrics"
	"lapisspread/internal/processquota/limiter"
)

// Errors of admin calls that need a feature the proxy was started without. The admin console shows these texts to
// operators, so they must not change.
var (
	// Admission control is off.
	errNoAdmission = errors.New("admission is off: the proxy was started without --admission")
	// Diameter is off.
	errNoDiameter = errors.New("no Diameter is spoken: the proxy was started without --diameter")
	// The endpoint list guard is off.
	errNoListGuard = errors.New("the rules of coming back are off: the proxy was started without --comeback")
	// The proxy has not joined a control plane, so no quotas apply.
	errNoControlPlane = errors.New("no budgets of a fleet hold: the proxy was started without --fleet")
	// Freshness is not monitored: there is no fleet's file, or it has no table [view].
	errNoFreshness = errors.New("the view is not weighed: the proxy was started without --fleet, " +
		"or the fleet's file has no table view")
)

// adminBackend implements the proxy's side of the admin console for package admin. No method waits for an engine's
// loop.
type adminBackend struct{ *Proxy }

// Serving reports whether the proxy serves clients.
func (o adminBackend) Serving() bool { return o.ready.Load() }

// Counters returns what INFO shows: the counters of the only service, or with several services their totals and the
// counters of each.
func (o adminBackend) Counters() json.Marshaler { return o.services.countersReport() }

// StartDraining closes idle client connections, and the others after their next response. New connections are still
// accepted.
func (o adminBackend) StartDraining() { o.conns.setOperatorDrain(true) }

// StopDraining ends the drain that StartDraining began.
func (o adminBackend) StopDraining() { o.conns.setOperatorDrain(false) }

// Detach takes a backend out of use until Attach is called, also in later processes. It returns an error if no backend
// with that ID was ever listed.
func (o adminBackend) Detach(id string) error { return o.setDetached(id, true) }

// Attach puts a detached backend into use again. Its errors are those of Detach.
func (o adminBackend) Attach(id string) error { return o.setDetached(id, false) }

// ReloadRoutes reloads the file of services and returns a summary. Unlike SIGHUP it does not reload the process's own
// settings.
func (o adminBackend) ReloadRoutes() (string, error) {
	text, err := o.services.reloadRoutes()
	if err != nil {
		if o.services.hasRoutes() {
			o.counters.ReloadsFailed.Add(1)
		}
		return "", err
	}
	o.counters.ReloadsOK.Add(1)
	return text, nil
}

// admissionReport is what ADMISSION shows.
type admissionReport struct {
	admission.Report
	ClosedWithoutDescriptors int64                   `json:"closed_without_descriptors"`
	Requests                 map[string]requestLimit `json:"requests,omitempty"` // by service
}

// requestLimit is a service's limit on its requests in flight.
type requestLimit struct {
	Limit    int `json:"limit"`
	InFlight int `json:"in_hand"`
}

// Admission reports which clients hold connections and why the last connections were rejected. The error is
// errNoAdmission if admission control is off.
func (o adminBackend) Admission() (any, error) {
	if o.conns.admission == nil {
		return nil, errNoAdmission
	}
	r := admissionReport{
		Report:                   o.conns.admission.Report(),
		ClosedWithoutDescriptors: o.conns.admission.DescriptorShortages(),
	}
	state := o.services.current.Load()
	if state == nil {
		return r, nil
	}
	for name, svc := range state.byName {
		if svc.requestLimiter == nil {
			continue
		}
		if r.Requests == nil {
			r.Requests = map[string]requestLimit{}
		}
		var limit requestLimit
		limit.Limit, limit.InFlight = svc.requestLimiter.Limit()
		r.Requests[name] = limit
	}
	return r, nil
}

// Diameter reports the Diameter peers and the state of the idempotency ledger. The error is errNoDiameter if
// Diameter is off.
func (o adminBackend) Diameter() (any, error) {
	if o.diameter == nil {
		return nil, errNoDiameter
	}
	return o.diameter.report(), nil
}

// ListGuard reports which endpoints are retained although the endpoint list no longer has them, and how the calls to
// discovery went. The error is errNoListGuard if the list guard is off.
func (o adminBackend) ListGuard() (any, error) {
	if o.listGuard == nil {
		return nil, errNoListGuard
	}
	r := struct {
		guardedsource.Report
		Memory *snapshotReport `json:"memory,omitempty"`
	}{Report: o.listGuard.Report()}
	if o.snapshots != nil {
		r.Memory = o.snapshots.status()
	}
	return r, nil
}

// QuotaLeases reports this proxy's quota leases and the state of its connection to the control plane.
// The error is errNoControlPlane if the proxy has not joined one.
func (o adminBackend) QuotaLeases() (any, error) {
	quotas := o.quotaClient.Load()
	if quotas == nil {
		return nil, errNoControlPlane
	}
	r := quotas.Status()
	if policies := o.policyClient.Load(); policies != nil {
		status := policies.PolicyStatus()
		r.Policy = &status
	}
	return r, nil
}

// Freshness reports how old this proxy's endpoint lists may be. The error is errNoFreshness if freshness is not
// monitored.
func (o adminBackend) Freshness() (any, error) {
	monitor := o.freshness.Load()
	if monitor == nil {
		return nil, errNoFreshness
	}
	return monitor.Report(), nil
}

// Block rejects connections from an address or a prefix for the given time. It returns an error if admission control is
// off or the prefix is invalid.
func (o adminBackend) Block(prefix string, span time.Duration) error {
	p, err := o.parsePrefix(prefix)
	if err != nil {
		return err
	}
	return o.conns.admission.Block(p, span)
}

// Unblock accepts connections from a blocked address or prefix again. Its errors are those of Block.
func (o adminBackend) Unblock(prefix string) error {
	p, err := o.parsePrefix(prefix)
	if err != nil {
		return err
	}
	return o.conns.admission.Unblock(p)
}

func (o adminBackend) parsePrefix(text string) (netip.Prefix, error) {
	if o.conns.admission == nil {
		return netip.Prefix{}, errNoAdmission
	}
	return listener.ParsePrefix(text)
}

// setDetached stores whether a backend is detached, and notifies the engines. A failure to store it is only logged: the
// change still applies in this process.
func (o adminBackend) setDetached(id string, detached bool) error {
	// A backend that only the previous process had listed is accepted if it is stored as detached.
	if !o.services.knowsEndpoint(id) && !slices.Contains(o.store.Detached(), id) {
		return fmt.Errorf("no backend %.64q was ever listed", id)
	}
	if err := o.store.SetDetached(id, detached); err != nil {
		o.log.Error("detached state could not be stored for the next process", "backend", id, "err", err)
	}
	o.services.notifyAll()
	return nil
}

// countersReport returns the counters of the only service, or with several services their totals and the counters of
// each.
func (s *serviceSet) countersReport() json.Marshaler {
	state := s.current.Load()
	if state == nil || state.only != nil {
		return s.proxy.counters
	}
	return combinedCounters{process: s.proxy.counters, byName: state.byName, limits: s.limits}
}

// combinedCounters are the counters of several services.
type combinedCounters struct {
	process *metrics.Counters
	byName  map[string]*service
	limits  *limiter.Limits
}

// MarshalJSON returns the totals in the form of one service's counters, and with them the counters of each service.
func (a combinedCounters) MarshalJSON() ([]byte, error) {
	services := map[string]*metrics.Counters{}
	for name, svc := range a.byName {
		services[name] = svc.counters
	}
	return metrics.MarshalTotals(a.process, services, a.limits.Report())
}
