package services

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"lapisspread/internal/route"
	"lapisspread/internal/strictconfig"
)

// sumTolerance is how much the sum of the minimums may exceed 1, because of rounding errors.
const sumTolerance = 1e-9

// validator collects the errors of a file.
type validator struct{ errs []error }

// addIf adds an error if invalid is true.
func (v *validator) addIf(invalid bool, format string, args ...any) {
	if invalid {
		v.errs = append(v.errs, fmt.Errorf(format, args...))
	}
}

// validate sets the defaults of keys that are left out, and returns the compiled routes, or an error that names each
// invalid key.
func (f *File) validate() (*route.Table, error) {
	if f.Version != Version {
		return nil, fmt.Errorf("version: %d; this program reads %d", f.Version, Version)
	}
	v := &validator{}
	names := v.services(f.Services)
	v.limits(&f.Limits)
	sum := f.minSum()
	v.addIf(sum > 1+sumTolerance, "share: the minimums of all services come to %.3f; 1 is all there is", sum)
	v.addIf(f.Default != "" && !names[f.Default], "default: there is no service %q", f.Default)
	rules := v.routes(f.Routes, names)
	v.addIf(len(f.Routes) == 0 && f.Default == "", "route: neither routes nor a default: nothing would be served")
	table, err := route.Compile(rules, f.Default)
	if err != nil {
		v.errs = append(v.errs, err)
	}
	return table, errors.Join(v.errs...)
}

// services checks all services and returns the set of their names.
func (v *validator) services(services []Service) map[string]bool {
	v.addIf(len(services) == 0, "service: none is given")
	// The reply to the admin command ROUTES can contain these texts, which must not change.
	v.addIf(len(services) > MaxServices, "service: %d; %d are the most", len(services), MaxServices)
	names := map[string]bool{}
	for i := range services {
		s := &services[i]
		location := fmt.Sprintf("service[%d] %q", i, s.Name)
		v.addIf(!strictconfig.ValidName(s.Name), "%s: name: wanted small letters, digits and dashes", location)
		v.addIf(names[s.Name], "%s: name: it is there twice", location)
		names[s.Name] = true
		v.service(location, s)
	}
	return names
}

// service checks one service and sets its defaults. Errors start with location, its position in the file.
func (v *validator) service(location string, s *Service) {
	v.addIf(s.Discovery != "" && !strings.Contains(s.Discovery, ":"),
		"%s: discovery: %q is no host:port", location, s.Discovery)
	v.addIf(!isRatio(s.RetryRatio), "%s: repeats: %v is not within 0 and 1", location, s.RetryRatio)
	share := &s.Share
	if share.Cap == 0 {
		share.Cap = defaultShareCap
	}
	v.addIf(!(share.Min >= 0 && share.Cap <= 1 && share.Min <= share.Cap),
		"%s: share: min %v and cap %v: wanted 0 <= min <= cap <= 1", location, share.Min, share.Cap)
	v.addIf(!(share.Weight >= 0) || math.IsInf(share.Weight, 0), "%s: share: weight: %v", location, share.Weight)
	names := map[string]bool{}
	for i := range s.Classes {
		c := &s.Classes[i]
		classLocation := fmt.Sprintf("%s: class[%d] %q", location, i, c.Name)
		v.addIf(c.Name == "" || names[c.Name], "%s: name: missing or there twice", classLocation)
		names[c.Name] = true
		v.class(classLocation, c)
	}
}

// class checks one class. Errors start with location, its position in the file.
func (v *validator) class(location string, c *Class) {
	v.addIf(c.LatencyObjective <= 0 || c.Timeout < c.LatencyObjective,
		"%s: aim %v and give_up %v: wanted 0 < aim <= give_up",
		location, time.Duration(c.LatencyObjective), time.Duration(c.Timeout))
	v.addIf(c.Effect != EffectSafe && c.Effect != EffectUnsafe,
		"%s: effect: %q is neither safe nor unsafe", location, c.Effect)
	v.addIf(!(c.PriorityWeight >= 0) || !isRatio(c.LateValue),
		"%s: worth %v or late %v is out of range", location, c.PriorityWeight, c.LateValue)
}

// limits checks the limits of the process.
func (v *validator) limits(l *Limits) {
	v.addIf(l.MaxInFlight < 0 || l.MaxBodyBytes < 0, "limits: in_hand or bytes is negative")
	v.addIf(!(l.MaxAttemptRate >= 0) || math.IsInf(l.MaxAttemptRate, 0),
		"limits: attempts: %v a second", l.MaxAttemptRate)
	v.addIf(!isRatio(l.LendRatio), "limits: lend: %v is not within 0 and 1", l.LendRatio)
	v.addIf(l.RecallDelay <= 0, "limits: recall: %v must be above 0", time.Duration(l.RecallDelay))
}

// routes checks all routes against the names of the services, and returns the routes as rules of package route.
func (v *validator) routes(routes []Route, services map[string]bool) []route.Rule {
	rules := make([]route.Rule, 0, len(routes))
	for i := range routes {
		r := &routes[i]
		location := fmt.Sprintf("route[%d] %q", i, r.Name)
		rule := route.Rule{
			Name:       r.Name,
			Host:       r.Host,
			Path:       r.Path,
			PathPrefix: r.PathPrefix,
			Methods:    r.Methods,
			Classes:    r.Classes,
			Tenants:    r.Tenants,
		}
		for k, to := range r.To {
			weight := float64(defaultTargetWeight)
			if to.Weight != nil {
				weight = *to.Weight
			}
			v.addIf(!services[to.Service], "%s: to[%d]: there is no service %q", location, k, to.Service)
			rule.To = append(rule.To, route.Target{Service: to.Service, Weight: weight})
		}
		switch r.Sticky {
		case "", StickyByKey, StickyByTenant, StickyByRequest:
		default:
			v.addIf(true, "%s: sticky: %q is none of key, tenant, request", location, r.Sticky)
		}
		rules = append(rules, rule)
	}
	return rules
}

// isRatio reports whether a value is within 0 and 1.
func isRatio(x float64) bool { return x >= 0 && x <= 1 }
