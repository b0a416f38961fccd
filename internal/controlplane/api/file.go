// Package api reads the file of a fleet: its stewards, its budgets, and what a proxy draws on; and it holds what stewards and
// those who call them say to each other.
package api

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/quotalease"
	"lapisspread/internal/staleness"
	"lapisspread/internal/strictconfig"
)

// FileVersion is the form of the file that this program reads.
const FileVersion = 1

// maxFileBytes is the longest file that is read, in bytes.
const maxFileBytes = 4 << 20

// Config is deploy/fleet.toml.
type Config struct {
	Version     int               `toml:"version"` // 1
	Fleet       string            `toml:"fleet"`   // its name; grants of another one are refused
	MaxDrift    float64           `toml:"drift"`   // the part by which any clock may be wrong; .001 if left out
	MaxLifetime strictconfig.Span `toml:"longest"` // no lease is longer
	StateDir    string            `toml:"state"`   // the folder in which a proxy keeps its floors; without it, it has none
	Servers     []Server          `toml:"stewards"`
	Quotas      []Quota           `toml:"budgets"`
	TLS         *TLSFiles         `toml:"tls"` // nil is in the clear

	Policy PolicySettings `toml:"policy"`

	OwnershipFile  string   `toml:"charter"` // read by the check alone; beside this file if it is no whole path
	NamespaceFiles []string `toml:"namespaces"`

	Freshness *FreshnessSettings `toml:"view"` // nil has proxies not weigh how old what they hold is
}

// Server is one of those who divide.
type Server struct {
	Name    string `toml:"name"`
	ID      uint64 `toml:"number"`  // above 0; never given to another one, not even after it has left
	Address string `toml:"address"` // host:port
}

// PolicySettings says how the merged policy of all teams is used and goes out.
type PolicySettings struct {
	RouteByPolicy  bool              `toml:"routes"` // proxies route by it, once the file of services has all services that it leads to
	StepDuration   strictconfig.Span `toml:"step"`   // of a roll-out, at least; 2.5s if left out
	WatchDuration  strictconfig.Span `toml:"watch"`  // of the fleet after all have a policy; 1m if left out
	MinRequests    int64             `toml:"enough"` // requests that each side must have had before a look; 1000 if left out
	SilenceTimeout strictconfig.Span `toml:"silent"` // after which a proxy counts as failed; 10s if left out
}

// RolloutSettings is how a policy goes out.
func (f *Config) RolloutSettings() rollout.Settings {
	s := rollout.DefaultSettings()
	s.StepDuration = cmp.Or(time.Duration(f.Policy.StepDuration), s.StepDuration)
	s.WatchDuration = cmp.Or(time.Duration(f.Policy.WatchDuration), s.WatchDuration)
	s.MinRequests = cmp.Or(f.Policy.MinRequests, s.MinRequests)
	s.SilenceTimeout = cmp.Or(time.Duration(f.Policy.SilenceTimeout), s.SilenceTimeout)
	return s
}

// QuotaShare is what a holder is promised.
type QuotaShare struct {
	Min    float64 `toml:"min"`
	Cap    float64 `toml:"cap"`
	Weight float64 `toml:"weight"`
}

// Quota is one whole: see grant.Budget.
type Quota struct {
	Name          string                `toml:"name"`
	Filter        AttemptFilter         `toml:"of"`
	Limit         float64               `toml:"whole"` // attempts a second
	Burst         float64               `toml:"burst"` // attempts; the number of proxies or more
	LeaseDuration strictconfig.Span     `toml:"lease"` // 3s if left out
	Floors        map[string]float64    `toml:"floors"`
	Members       map[string]QuotaShare `toml:"members"`
	DefaultShare  QuotaShare            `toml:"others"`
}

// AttemptFilter says which attempts draw on a budget; what is left out is any.
type AttemptFilter struct {
	Attempts string `toml:"counts"` // "attempts", or "retries": each attempt of a request but its first
	Service  string `toml:"service"`
	Class    string `toml:"class"`
	Tenant   string `toml:"tenant"`
}

// Load reads a file. Errors name the file, the line where there is one, and the key.
func Load(path string) (*Config, error) {
	return strictconfig.Load(path, "the fleet's file", maxFileBytes, Parse)
}

// Parse reads the text of a file.
func Parse(path string, text []byte) (*Config, error) {
	f := &Config{}
	if err := strictconfig.Decode(path, text, f); err != nil {
		return nil, err
	}
	if f.Version != FileVersion {
		return nil, fmt.Errorf("%s: version: %d; this program reads %d", path, f.Version, FileVersion)
	}
	if err := f.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	names := []*string{&f.OwnershipFile}
	for i := range f.NamespaceFiles {
		names = append(names, &f.NamespaceFiles[i])
	}
	if f.TLS != nil {
		names = append(names, &f.TLS.Certificate, &f.TLS.Key, &f.TLS.CA)
	}
	for _, name := range names {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(filepath.Dir(path), *name)
		}
	}
	return f, nil
}

func (f *Config) validate() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	names, numbers, addresses := map[string]bool{}, map[uint64]bool{}, map[string]bool{}
	bad(len(f.Servers) == 0, "stewards: there are none")
	bad(len(f.Servers) > 0 && len(f.Servers)%2 == 0, "stewards: %d; one more or less is as safe against losses and needs no larger majority", len(f.Servers))
	for i, s := range f.Servers {
		at := fmt.Sprintf("stewards[%d]", i)
		bad(s.Name == "", "%s: name: it has none", at)
		bad(names[s.Name], "%s: name: %q is another's too", at, s.Name)
		bad(s.ID == 0 || s.ID > 1<<31, "%s: number: %d is not within 1 and 2^31", at, s.ID)
		bad(numbers[s.ID], "%s: number: %d is another's too", at, s.ID)
		_, port, err := net.SplitHostPort(s.Address)
		bad(err != nil || port == "" || port == "0", "%s: address: %q is no host:port", at, s.Address)
		bad(addresses[s.Address], "%s: address: %q is another's too", at, s.Address)
		names[s.Name], numbers[s.ID], addresses[s.Address] = true, true, true
	}
	for i, b := range f.Quotas {
		bad(b.Filter.Attempts != "attempts" && b.Filter.Attempts != "retries", "budgets[%d]: of: counts: %q is neither attempts nor retries", i, b.Filter.Attempts)
	}
	g := f.QuotaConfig()
	if err := g.Check(); err != nil {
		errs = append(errs, err)
	}
	bad(f.TLS != nil && (f.TLS.Certificate == "" || f.TLS.Key == "" || f.TLS.CA == ""), "tls: certificate, key and ca are all needed")
	if f.Freshness != nil {
		if _, err := staleness.New(f.Freshness.StalenessSettings(time.Second)); err != nil {
			errs = append(errs, fmt.Errorf("view: %w", err))
		}
	}
	rules := f.RolloutSettings()
	if err := rules.Validate(); err != nil {
		errs = append(errs, fmt.Errorf("policy: %w", err))
	}
	bad(f.OwnershipFile == "" && len(f.NamespaceFiles) > 0, "namespaces: without a charter nothing says what they may")
	return errors.Join(errs...)
}

// QuotaConfig is the fleet as the stewards divide it.
func (f *Config) QuotaConfig() quotalease.FleetConfig {
	out := quotalease.FleetConfig{FleetID: f.Fleet, MaxDrift: cmp.Or(f.MaxDrift, .001), MaxLifetime: time.Duration(f.MaxLifetime)}
	for _, b := range f.Quotas {
		one := quotalease.Quota{Name: b.Name, Kind: quotalease.Rate, Limit: b.Limit, Burst: b.Burst, LeaseDuration: time.Duration(cmp.Or(b.LeaseDuration, strictconfig.Span(3*time.Second))),
			Floors: b.Floors, DefaultShare: quotalease.Share(b.DefaultShare)}
		for name, s := range b.Members {
			if one.Members == nil {
				one.Members = map[string]quotalease.Share{}
			}
			one.Members[name] = quotalease.Share(s)
		}
		out.Quotas = append(out.Quotas, one)
	}
	return out
}

// Server is the steward of a name.
func (f *Config) Server(name string) (Server, error) {
	for _, s := range f.Servers {
		if s.Name == name {
			return s, nil
		}
	}
	return Server{}, UnknownServerError{name}
}

// ServerIDs are the numbers of all stewards, sorted.
func (f *Config) ServerIDs() []uint64 {
	var all []uint64
	for _, s := range f.Servers {
		all = append(all, s.ID)
	}
	slices.Sort(all)
	return all
}

// CheckNamespaces reads the charter and the namespaces that the file names, and merges them. The texts tell what of them is held
// back or at odds; an error is what cannot be read at all.
func (f *Config) CheckNamespaces() (texts []string, err error) {
	if f.OwnershipFile == "" {
		return nil, nil
	}
	text, err := strictconfig.ReadFile(f.OwnershipFile, "the charter", namespace.MostBytes)
	if err != nil {
		return nil, err
	}
	charter, err := namespace.ParseCharter(f.OwnershipFile, text)
	if err != nil {
		return nil, err
	}
	wholes := map[string]float64{}
	for _, b := range f.Quotas {
		wholes[b.Name] = b.Limit
	}
	for _, b := range charter.Budgets {
		if whole, ok := wholes[b.Name]; ok && whole != float64(b.Whole) {
			texts = append(texts, fmt.Sprintf("budget %s: its whole is %v here and %v in the charter", b.Name, whole, b.Whole))
		}
	}
	var all []*namespace.Namespace
	var errs []error
	for _, path := range f.NamespaceFiles {
		text, err := os.ReadFile(path)
		if err == nil {
			var n *namespace.Namespace
			if n, err = namespace.Parse(path, text); err == nil {
				all = append(all, n)
				continue
			}
		}
		errs = append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	for _, c := range namespace.Merge(charter, nil, all).Held {
		texts = append(texts, WithAdvice(c).Error())
	}
	return texts, nil
}

// Summary tell what a file comes to.
func (f *Config) Summary() string {
	floors := "proxies have no floors"
	if f.StateDir != "" {
		floors = "proxies keep their floors in " + f.StateDir
	}
	view := "their view of the register is not weighed"
	if f.Freshness != nil {
		view = "their view of the register is weighed"
		if f.Freshness.Enforce {
			view += ", and attempts go by it"
		}
	}
	return fmt.Sprintf("fleet %q: %d stewards, %d budgets, no lease over %v; %s; %s", f.Fleet, len(f.Servers), len(f.Quotas), time.Duration(f.MaxLifetime),
		floors, view)
}
