package api

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/quotalease"
	"lapisspread/internal/strictconfig"
)

// FileVersion is the version of the file format that this program reads.
const FileVersion = 1

const (
	maxFileBytes         = 4 << 20 // of deploy/fleet.toml
	defaultMaxDrift      = .001
	defaultLeaseDuration = 3 * time.Second
)

// Config is a fleet's configuration, the content of deploy/fleet.toml.
type Config struct {
	// Version is the version of the file format: FileVersion.
	Version int `toml:"version"`
	// Fleet is the fleet's name. Messages of another fleet are rejected.
	Fleet string `toml:"fleet"`
	// MaxDrift is the fraction by which any clock of the fleet may run fast or slow. Default .001.
	MaxDrift float64 `toml:"drift"`
	// MaxLifetime is the maximum duration of a lease. A server that may have lost state waits this long before it takes
	// part again.
	MaxLifetime strictconfig.Duration `toml:"longest"`
	// StateDir is the directory where a proxy persists its floors. Without it a proxy has no floors.
	StateDir string `toml:"state"`
	// Servers are the control-plane servers. Their number must be odd.
	Servers []Server `toml:"stewards"`
	// Quotas are the limits that the fleet shares.
	Quotas []Quota `toml:"budgets"`
	// TLS secures all calls to and between servers. Nil sends them in the clear.
	TLS *TLSFiles `toml:"tls"`
	// Policy controls how the merged policy of all namespaces is used and rolled out.
	Policy PolicySettings `toml:"policy"`
	// OwnershipFile is the ownership declaration. Only CheckNamespaces reads it.
	OwnershipFile string `toml:"charter"`
	// NamespaceFiles are the rule files of the namespaces. Only CheckNamespaces reads them.
	NamespaceFiles []string `toml:"namespaces"`
	// Freshness controls how proxies estimate whether their endpoint lists are up to date. Nil disables the estimation.
	Freshness *FreshnessSettings `toml:"view"`
}

// Server is one control-plane server.
type Server struct {
	Name string `toml:"name"`
	// ID is the server's Raft ID, above 0. An ID is never reused, not even after its server has left.
	ID      uint64 `toml:"number"`
	Address string `toml:"address"` // host:port
}

// PolicySettings control how the merged policy is used and rolled out.
type PolicySettings struct {
	// RouteByPolicy makes proxies route by the policy as soon as all services that it routes to are configured.
	RouteByPolicy bool `toml:"routes"`
	// StepDuration is the shortest duration of a rollout step. Default 2.5s.
	StepDuration strictconfig.Duration `toml:"step"`
	// WatchDuration is how long the fleet is monitored for a regression after a rollout. Default 1m.
	WatchDuration strictconfig.Duration `toml:"watch"`
	// MinRequests is the minimum number of requests under each of two policies before they are compared. Default 1000.
	MinRequests int64 `toml:"enough"`
	// SilenceTimeout is the time without a report after which a proxy counts as failed. Default 10s.
	SilenceTimeout strictconfig.Duration `toml:"silent"`
}

// Quota is a limit that the whole fleet shares; see quotalease.Quota.
type Quota struct {
	Name string `toml:"name"`
	// Filter selects the attempts that the quota counts.
	Filter AttemptFilter `toml:"of"`
	// Limit is in attempts per second.
	Limit float64 `toml:"whole"`
	// Burst is in attempts; it should be at least the number of proxies.
	Burst float64 `toml:"burst"`
	// LeaseDuration is the duration of each lease. Default 3s.
	LeaseDuration strictconfig.Duration `toml:"lease"`
	// Floors are attempts per second that a proxy may spend without a lease, by the proxy's name.
	Floors map[string]float64 `toml:"floors"`
	// Members are the shares of proxies, by name.
	Members map[string]QuotaShare `toml:"members"`
	// DefaultShare is the share of each proxy that Members does not name.
	DefaultShare QuotaShare `toml:"others"`
}

// QuotaShare limits the part of a quota that a proxy may get; see quotalease.Share. Min and Cap are in attempts per
// second.
type QuotaShare struct {
	Min    float64 `toml:"min"`
	Cap    float64 `toml:"cap"`
	Weight float64 `toml:"weight"`
}

// Values of AttemptFilter.Attempts.
const (
	AllAttempts = "attempts"
	RetriesOnly = "retries" // every attempt of a request except the first
)

// AttemptFilter selects the attempts that a quota counts. An empty Service, Class or Tenant matches all.
type AttemptFilter struct {
	Attempts string `toml:"counts"` // AllAttempts or RetriesOnly
	Service  string `toml:"service"`
	Class    string `toml:"class"`
	Tenant   string `toml:"tenant"`
}

// Load reads and checks a fleet's file. Errors name the file, the key and, where known, the line.
func Load(path string) (*Config, error) {
	return strictconfig.Load(path, "the fleet's file", maxFileBytes, Parse)
}

// Parse reads and checks the text of a fleet's file. Relative file names in it are relative to the directory of path.
func Parse(path string, text []byte) (*Config, error) {
	c := &Config{}
	if err := strictconfig.Decode(path, text, c); err != nil {
		return nil, err
	}
	if c.Version != FileVersion {
		return nil, fmt.Errorf("%s: version: %d; this program reads %d", path, c.Version, FileVersion)
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.resolveFileNames(filepath.Dir(path))
	return c, nil
}

// resolveFileNames makes relative file names in the configuration relative to dir.
func (c *Config) resolveFileNames(dir string) {
	names := []*string{&c.OwnershipFile}
	for i := range c.NamespaceFiles {
		names = append(names, &c.NamespaceFiles[i])
	}
	if c.TLS != nil {
		names = append(names, &c.TLS.Certificate, &c.TLS.Key, &c.TLS.CA)
	}
	for _, name := range names {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}

// Server returns the server with a name, or an UnknownServerError.
func (c *Config) Server(name string) (Server, error) {
	for _, s := range c.Servers {
		if s.Name == name {
			return s, nil
		}
	}
	return Server{}, UnknownServerError{Name: name}
}

// ServerIDs returns the IDs of all servers in ascending order.
func (c *Config) ServerIDs() []uint64 {
	var ids []uint64
	for _, s := range c.Servers {
		ids = append(ids, s.ID)
	}
	slices.Sort(ids)
	return ids
}

// QuotaConfig returns the quotas in the form that the servers store in the Raft log, with defaults filled in.
func (c *Config) QuotaConfig() quotalease.FleetConfig {
	out := quotalease.FleetConfig{
		FleetID:     c.Fleet,
		MaxDrift:    cmp.Or(c.MaxDrift, defaultMaxDrift),
		MaxLifetime: time.Duration(c.MaxLifetime),
	}
	for i := range c.Quotas {
		out.Quotas = append(out.Quotas, c.Quotas[i].toLeaseQuota())
	}
	return out
}

// toLeaseQuota converts a quota, with defaults filled in.
func (q *Quota) toLeaseQuota() quotalease.Quota {
	out := quotalease.Quota{
		Name:          q.Name,
		Kind:          quotalease.Rate,
		Limit:         q.Limit,
		Burst:         q.Burst,
		LeaseDuration: cmp.Or(time.Duration(q.LeaseDuration), defaultLeaseDuration),
		Floors:        q.Floors,
		DefaultShare:  q.DefaultShare.toLeaseShare(),
	}
	if len(q.Members) > 0 {
		out.Members = make(map[string]quotalease.Share, len(q.Members))
	}
	for name, share := range q.Members {
		out.Members[name] = share.toLeaseShare()
	}
	return out
}

// toLeaseShare converts a share.
func (s QuotaShare) toLeaseShare() quotalease.Share {
	return quotalease.Share{Min: s.Min, Cap: s.Cap, Weight: s.Weight}
}

// RolloutSettings returns the settings of policy rollouts, with defaults filled in.
func (c *Config) RolloutSettings() rollout.Settings {
	s := rollout.DefaultSettings()
	s.StepDuration = cmp.Or(time.Duration(c.Policy.StepDuration), s.StepDuration)
	s.WatchDuration = cmp.Or(time.Duration(c.Policy.WatchDuration), s.WatchDuration)
	s.MinRequests = cmp.Or(c.Policy.MinRequests, s.MinRequests)
	s.SilenceTimeout = cmp.Or(time.Duration(c.Policy.SilenceTimeout), s.SilenceTimeout)
	return s
}

// Summary describes the configuration in one line, for an operator.
func (c *Config) Summary() string {
	floors := "proxies have no floors"
	if c.StateDir != "" {
		floors = "proxies keep their floors in " + c.StateDir
	}
	freshness := "the freshness of their endpoint lists is not tracked"
	if c.Freshness != nil {
		freshness = "the freshness of their endpoint lists is tracked"
		if c.Freshness.Enforce {
			freshness += ", and attempts that need a fresher list are refused"
		}
	}
	return fmt.Sprintf("fleet %q: %d stewards, %d budgets, leases of at most %v; %s; %s",
		c.Fleet, len(c.Servers), len(c.Quotas), time.Duration(c.MaxLifetime), floors, freshness)
}
