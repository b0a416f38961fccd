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

// Version is the form of the file that this program reads.
const Version = 1

// mostFile is the longest file that is read, in bytes.
const mostFile = 4 << 20

// File is deploy/fleet.toml.
type File struct {
	Version  int               `toml:"version"` // 1
	Fleet    string            `toml:"fleet"`   // its name; grants of another one are refused
	Drift    float64           `toml:"drift"`   // the part by which any clock may be wrong; .001 if left out
	Longest  strictconfig.Span `toml:"longest"` // no lease is longer
	State    string            `toml:"state"`   // the folder in which a proxy keeps its floors; without it, it has none
	Stewards []Steward         `toml:"stewards"`
	Budgets  []Budget          `toml:"budgets"`
	TLS      *TLS              `toml:"tls"` // nil is in the clear

	Policy Policy `toml:"policy"`

	Charter    string   `toml:"charter"` // read by the check alone; beside this file if it is no whole path
	Namespaces []string `toml:"namespaces"`

	View *View `toml:"view"` // nil has proxies not weigh how old what they hold is
}

// Steward is one of those who divide.
type Steward struct {
	Name    string `toml:"name"`
	Number  uint64 `toml:"number"`  // above 0; never given to another one, not even after it has left
	Address string `toml:"address"` // host:port
}

// Policy says how the merged policy of all teams is used and goes out.
type Policy struct {
	Routes bool              `toml:"routes"` // proxies route by it, once the file of services has all services that it leads to
	Step   strictconfig.Span `toml:"step"`   // of a roll-out, at least; 2.5s if left out
	Watch  strictconfig.Span `toml:"watch"`  // of the fleet after all have a policy; 1m if left out
	Enough int64             `toml:"enough"` // requests that each side must have had before a look; 1000 if left out
	Silent strictconfig.Span `toml:"silent"` // after which a proxy counts as failed; 10s if left out
}

// Rollout is how a policy goes out.
func (f *File) Rollout() rollout.Settings {
	s := rollout.Defaults()
	s.Step = cmp.Or(time.Duration(f.Policy.Step), s.Step)
	s.Watch = cmp.Or(time.Duration(f.Policy.Watch), s.Watch)
	s.Enough = cmp.Or(f.Policy.Enough, s.Enough)
	s.Silent = cmp.Or(time.Duration(f.Policy.Silent), s.Silent)
	return s
}

// Share is what a holder is promised.
type Share struct {
	Min    float64 `toml:"min"`
	Cap    float64 `toml:"cap"`
	Weight float64 `toml:"weight"`
}

// Budget is one whole: see grant.Budget.
type Budget struct {
	Name    string             `toml:"name"`
	Of      Of                 `toml:"of"`
	Whole   float64            `toml:"whole"` // attempts a second
	Burst   float64            `toml:"burst"` // attempts; the number of proxies or more
	Lease   strictconfig.Span  `toml:"lease"` // 3s if left out
	Floors  map[string]float64 `toml:"floors"`
	Members map[string]Share   `toml:"members"`
	Others  Share              `toml:"others"`
}

// Of says which attempts draw on a budget; what is left out is any.
type Of struct {
	Counts  string `toml:"counts"` // "attempts", or "retries": each attempt of a request but its first
	Service string `toml:"service"`
	Class   string `toml:"class"`
	Tenant  string `toml:"tenant"`
}

// Load reads a file. Errors name the file, the line where there is one, and the key.
func Load(path string) (*File, error) {
	return strictconfig.Load(path, "the fleet's file", mostFile, Parse)
}

// Parse reads the text of a file.
func Parse(path string, text []byte) (*File, error) {
	f := &File{}
	if err := strictconfig.Decode(path, text, f); err != nil {
		return nil, err
	}
	if f.Version != Version {
		return nil, fmt.Errorf("%s: version: %d; this program reads %d", path, f.Version, Version)
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	names := []*string{&f.Charter}
	for i := range f.Namespaces {
		names = append(names, &f.Namespaces[i])
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

func (f *File) check() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	names, numbers, addresses := map[string]bool{}, map[uint64]bool{}, map[string]bool{}
	bad(len(f.Stewards) == 0, "stewards: there are none")
	bad(len(f.Stewards) > 0 && len(f.Stewards)%2 == 0, "stewards: %d; one more or less is as safe against losses and needs no larger majority", len(f.Stewards))
	for i, s := range f.Stewards {
		at := fmt.Sprintf("stewards[%d]", i)
		bad(s.Name == "", "%s: name: it has none", at)
		bad(names[s.Name], "%s: name: %q is another's too", at, s.Name)
		bad(s.Number == 0 || s.Number > 1<<31, "%s: number: %d is not within 1 and 2^31", at, s.Number)
		bad(numbers[s.Number], "%s: number: %d is another's too", at, s.Number)
		_, port, err := net.SplitHostPort(s.Address)
		bad(err != nil || port == "" || port == "0", "%s: address: %q is no host:port", at, s.Address)
		bad(addresses[s.Address], "%s: address: %q is another's too", at, s.Address)
		names[s.Name], numbers[s.Number], addresses[s.Address] = true, true, true
	}
	for i, b := range f.Budgets {
		bad(b.Of.Counts != "attempts" && b.Of.Counts != "retries", "budgets[%d]: of: counts: %q is neither attempts nor retries", i, b.Of.Counts)
	}
	g := f.Grants()
	if err := g.Check(); err != nil {
		errs = append(errs, err)
	}
	bad(f.TLS != nil && (f.TLS.Certificate == "" || f.TLS.Key == "" || f.TLS.CA == ""), "tls: certificate, key and ca are all needed")
	if f.View != nil {
		if _, err := staleness.New(f.View.Settings(time.Second)); err != nil {
			errs = append(errs, fmt.Errorf("view: %w", err))
		}
	}
	rules := f.Rollout()
	if err := rules.Check(); err != nil {
		errs = append(errs, fmt.Errorf("policy: %w", err))
	}
	bad(f.Charter == "" && len(f.Namespaces) > 0, "namespaces: without a charter nothing says what they may")
	return errors.Join(errs...)
}

// Grants is the fleet as the stewards divide it.
func (f *File) Grants() quotalease.FleetConfig {
	out := quotalease.FleetConfig{FleetID: f.Fleet, MaxDrift: cmp.Or(f.Drift, .001), MaxLifetime: time.Duration(f.Longest)}
	for _, b := range f.Budgets {
		one := quotalease.Quota{Name: b.Name, Kind: quotalease.Rate, Limit: b.Whole, Burst: b.Burst, LeaseDuration: time.Duration(cmp.Or(b.Lease, strictconfig.Span(3*time.Second))),
			Floors: b.Floors, DefaultShare: quotalease.Share(b.Others)}
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

// Steward is the steward of a name.
func (f *File) Steward(name string) (Steward, error) {
	for _, s := range f.Stewards {
		if s.Name == name {
			return s, nil
		}
	}
	return Steward{}, UnknownSteward{name}
}

// Numbers are the numbers of all stewards, sorted.
func (f *File) Numbers() []uint64 {
	var all []uint64
	for _, s := range f.Stewards {
		all = append(all, s.Number)
	}
	slices.Sort(all)
	return all
}

// CheckTeams reads the charter and the namespaces that the file names, and merges them. The texts tell what of them is held
// back or at odds; an error is what cannot be read at all.
func (f *File) CheckTeams() (texts []string, err error) {
	if f.Charter == "" {
		return nil, nil
	}
	text, err := strictconfig.ReadFile(f.Charter, "the charter", namespace.MostBytes)
	if err != nil {
		return nil, err
	}
	charter, err := namespace.ParseCharter(f.Charter, text)
	if err != nil {
		return nil, err
	}
	wholes := map[string]float64{}
	for _, b := range f.Budgets {
		wholes[b.Name] = b.Whole
	}
	for _, b := range charter.Budgets {
		if whole, ok := wholes[b.Name]; ok && whole != float64(b.Whole) {
			texts = append(texts, fmt.Sprintf("budget %s: its whole is %v here and %v in the charter", b.Name, whole, b.Whole))
		}
	}
	var all []*namespace.Namespace
	var errs []error
	for _, path := range f.Namespaces {
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
		texts = append(texts, Told(c).Error())
	}
	return texts, nil
}

// Words tell what a file comes to.
func (f *File) Words() string {
	floors := "proxies have no floors"
	if f.State != "" {
		floors = "proxies keep their floors in " + f.State
	}
	view := "their view of the register is not weighed"
	if f.View != nil {
		view = "their view of the register is weighed"
		if f.View.Act {
			view += ", and attempts go by it"
		}
	}
	return fmt.Sprintf("fleet %q: %d stewards, %d budgets, no lease over %v; %s; %s", f.Fleet, len(f.Stewards), len(f.Budgets), time.Duration(f.Longest),
		floors, view)
}
