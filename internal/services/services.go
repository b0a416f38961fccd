// Package services reads deploy/services.toml: which services one process serves, how requests are routed to them,
// and how they share what the process has. The schema is File; it is strict, and an error names file, line where
// there is one, and key.
package services

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"lapisspread/internal/processquota"
	"lapisspread/internal/route"
	"lapisspread/internal/strictconfig"
)

// Version is the form of the file that this program reads.
const Version = 1

// Duration is a time in the file.
type Duration = strictconfig.Duration

// File is the whole configuration.
type File struct {
	Version  int       `toml:"version"` // 1
	Default  string    `toml:"default"` // the service that takes what no route matches; left out, that is answered 404 or 421
	Services []Service `toml:"service"`
	Routes   []Route   `toml:"route"`
	Limits   Limits    `toml:"limits"`
}

// Service is a pool with decisions of its own.
type Service struct {
	Name       string   `toml:"name"`
	Discovery  string   `toml:"discovery"` // host:port; left out, the list of the process's own discovery is used
	Kinds      []string `toml:"kinds"`     // of the list, only these kinds of machine; all if left out
	Cells      []int    `toml:"cells"`     // and only these cells
	Classes    []Class  `toml:"class"`     // left out, those of the process's settings
	Upstream   string   `toml:"upstream"`  // what its servers speak: "http", which is also what it is if left out, or "diameter"
	Share      Share    `toml:"share"`
	RetryRatio float64  `toml:"repeats"` // further attempts, as a share of first tries, 0 to 1; a tenth if left out
}

// Class is a kind of request of a service.
type Class struct {
	Name             string   `toml:"name"`
	LatencyObjective Duration `toml:"aim"`     // an answer within it earns its whole worth
	Timeout          Duration `toml:"give_up"` // how long clients wait
	Effect           string   `toml:"effect"`  // "safe" may be repeated, "unsafe" must never run twice
	PriorityWeight   float64  `toml:"worth"`
	LateValue        float64  `toml:"late"` // share of the worth that a later answer earns, 0 to 1
}

// Share is a service's part of the process's limits. Minimums are parts of the total, and all services' together
// at most 1.
type Share struct {
	Min    float64 `toml:"min"`    // 0 to 1
	Cap    float64 `toml:"cap"`    // 0 to 1; left out, 1
	Weight float64 `toml:"weight"` // of what is over all minimums; left out, 1
}

// Limits are the process's own, shared by its services.
type Limits struct {
	MaxInFlight    int64    `toml:"in_hand"`  // requests
	MaxBodyBytes   int64    `toml:"bytes"`    // of bodies in hand
	MaxAttemptRate float64  `toml:"attempts"` // a second: requests taken, and further attempts; no limit if left out
	LendRatio      float64  `toml:"lend"`     // part of an idle minimum that is lent; 0.75 if left out
	RecallDelay    Duration `toml:"recall"`   // within which what is lent comes back; 3s if left out
}

// Route is a rule: see package route for the order of precedence.
type Route struct {
	Name       string   `toml:"name"`
	Host       string   `toml:"host"`
	Path       string   `toml:"path"`
	PathPrefix string   `toml:"path_prefix"`
	Methods    []string `toml:"methods"`
	Classes    []string `toml:"classes"`
	Tenants    []string `toml:"tenants"`
	Sticky     string   `toml:"sticky"` // what splits hold by: "key", "tenant" or "request"; "key" if left out
	To         []Target `toml:"to"`
}

// Target is a service with its weight.
type Target struct {
	Service string   `toml:"service"`
	Weight  *float64 `toml:"weight"` // 1 if left out
}

// Bounds on a file.
const (
	MaxServices  = 256
	maxFileBytes = 16 << 20 // of the file
)

// Config is a file that was read and found good.
type Config struct {
	File  *File
	Table *route.Table
}

// Load reads a file and checks it whole.
func Load(path string) (*Config, error) {
	text, err := strictconfig.ReadFile(path, "the services", maxFileBytes)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads the text of a file.
func Parse(path string, text []byte) (*Config, error) {
	f := &File{Limits: Limits{LendRatio: 0.75, RecallDelay: Duration(3 * time.Second)}}
	if err := strictconfig.Decode(path, text, f); err != nil {
		return nil, err
	}
	table, err := f.check()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Config{f, table}, nil
}

func (f *File) check() (*route.Table, error) {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	if f.Version != Version {
		return nil, fmt.Errorf("version: %d; this program reads %d", f.Version, Version)
	}
	bad(len(f.Services) == 0, "service: none is given")
	bad(len(f.Services) > MaxServices, "service: %d; %d are the most", len(f.Services), MaxServices)
	names := map[string]bool{}
	for i := range f.Services {
		s := &f.Services[i]
		at := fmt.Sprintf("service[%d] %q", i, s.Name)
		bad(!strictconfig.ValidName(s.Name), "%s: name: wanted small letters, digits and dashes", at)
		bad(names[s.Name], "%s: name: it is there twice", at)
		names[s.Name] = true
		bad(s.Discovery != "" && !strings.Contains(s.Discovery, ":"), "%s: discovery: %q is no host:port", at, s.Discovery)
		bad(!(s.RetryRatio >= 0 && s.RetryRatio <= 1), "%s: repeats: %v is not within 0 and 1", at, s.RetryRatio)
		if s.Share.Cap == 0 {
			s.Share.Cap = 1
		}
		bad(!(s.Share.Min >= 0 && s.Share.Cap <= 1 && s.Share.Min <= s.Share.Cap), "%s: share: min %v and cap %v: wanted 0 <= min <= cap <= 1", at, s.Share.Min, s.Share.Cap)
		bad(!(s.Share.Weight >= 0) || math.IsInf(s.Share.Weight, 0), "%s: share: weight: %v", at, s.Share.Weight)
		classes := map[string]bool{}
		for k, c := range s.Classes {
			at := fmt.Sprintf("%s: class[%d] %q", at, k, c.Name)
			bad(c.Name == "" || classes[c.Name], "%s: name: missing or there twice", at)
			classes[c.Name] = true
			bad(c.LatencyObjective <= 0 || c.Timeout < c.LatencyObjective, "%s: aim %v and give_up %v: wanted 0 < aim <= give_up", at, time.Duration(c.LatencyObjective), time.Duration(c.Timeout))
			bad(c.Effect != "safe" && c.Effect != "unsafe", "%s: effect: %q is neither safe nor unsafe", at, c.Effect)
			bad(!(c.PriorityWeight >= 0) || !(c.LateValue >= 0 && c.LateValue <= 1), "%s: worth %v or late %v is out of range", at, c.PriorityWeight, c.LateValue)
		}
	}
	l := &f.Limits
	bad(l.MaxInFlight < 0 || l.MaxBodyBytes < 0, "limits: in_hand or bytes is negative")
	bad(!(l.MaxAttemptRate >= 0) || math.IsInf(l.MaxAttemptRate, 0), "limits: attempts: %v a second", l.MaxAttemptRate)
	bad(!(l.LendRatio >= 0 && l.LendRatio <= 1), "limits: lend: %v is not within 0 and 1", l.LendRatio)
	bad(l.RecallDelay <= 0, "limits: recall: %v must be above 0", time.Duration(l.RecallDelay))
	if sum := f.minimums(); sum > 1+1e-9 {
		errs = append(errs, fmt.Errorf("share: the minimums of all services come to %.3f; 1 is all there is", sum))
	}
	bad(f.Default != "" && !names[f.Default], "default: there is no service %q", f.Default)
	var rules []route.Rule
	for i, r := range f.Routes {
		at := fmt.Sprintf("route[%d] %q", i, r.Name)
		rule := route.Rule{Name: r.Name, Host: r.Host, Path: r.Path, PathPrefix: r.PathPrefix, Methods: r.Methods, Classes: r.Classes, Tenants: r.Tenants}
		for k, to := range r.To {
			w := 1.0
			if to.Weight != nil {
				w = *to.Weight
			}
			bad(!names[to.Service], "%s: to[%d]: there is no service %q", at, k, to.Service)
			rule.To = append(rule.To, route.Target{Service: to.Service, Weight: w})
		}
		bad(r.Sticky != "" && r.Sticky != "key" && r.Sticky != "tenant" && r.Sticky != "request", "%s: sticky: %q is none of key, tenant, request", at, r.Sticky)
		rules = append(rules, rule)
	}
	bad(len(f.Routes) == 0 && f.Default == "", "route: neither routes nor a default: nothing would be served")
	table, err := route.Compile(rules, f.Default)
	if err != nil {
		errs = append(errs, err)
	}
	return table, errors.Join(errs...)
}

func (f *File) minimums() float64 {
	sum := 0.0
	for _, s := range f.Services {
		sum += max(0, s.Share.Min)
	}
	return sum
}

// Shares gives each service's part of so many units.
func (f *File) Shares(total int64) map[string]processquota.Share {
	out := map[string]processquota.Share{}
	for _, s := range f.Services {
		out[s.Name] = processquota.Share{Min: int64(s.Share.Min * float64(total)), Cap: max(1, int64(math.Ceil(s.Share.Cap*float64(total)))),
			Weight: s.Share.Weight}
	}
	return out
}

// RateShares gives each service's part of so many units a second.
func (f *File) RateShares(total float64) map[string]processquota.RateShare {
	out := map[string]processquota.RateShare{}
	for _, s := range f.Services {
		out[s.Name] = processquota.RateShare{Min: s.Share.Min * total, Cap: s.Share.Cap * total, Weight: s.Share.Weight}
	}
	return out
}

// PoolSettings are the terms on which the services share so many units.
func (f *File) PoolSettings(total int64) processquota.PoolSettings {
	return processquota.PoolSettings{Total: total, Recall: time.Duration(f.Limits.RecallDelay), Lend: f.Limits.LendRatio}
}
