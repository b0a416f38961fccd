package api

import (
	"errors"
	"fmt"
	"net"
	"time"

	"lapisspread/internal/staleness"
)

// maxServerID is the greatest ID of a server.
const maxServerID = 1 << 31

// problems collects everything that is wrong with a file, so that one reading tells all of it.
type problems []error

func (p *problems) addIf(wrong bool, format string, args ...any) {
	if wrong {
		*p = append(*p, fmt.Errorf(format, args...))
	}
}

func (p *problems) add(err error) {
	if err != nil {
		*p = append(*p, err)
	}
}

// validate returns all problems of the configuration, by key.
func (c *Config) validate() error {
	var all problems
	c.validateServers(&all)
	for i, q := range c.Quotas {
		kind := q.Filter.Attempts
		all.addIf(kind != AllAttempts && kind != RetriesOnly,
			"budgets[%d]: of: counts: %q is neither attempts nor retries", i, kind)
	}
	quotas := c.QuotaConfig()
	all.add(quotas.Check())
	all.addIf(c.TLS != nil && (c.TLS.Certificate == "" || c.TLS.Key == "" || c.TLS.CA == ""),
		"tls: certificate, key and ca are all needed")
	if c.Freshness != nil {
		_, err := staleness.New(c.Freshness.StalenessSettings(time.Second))
		all.addIf(err != nil, "view: %w", err)
	}
	rolloutSettings := c.RolloutSettings()
	err := rolloutSettings.Validate()
	all.addIf(err != nil, "policy: %w", err)
	all.addIf(c.OwnershipFile == "" && len(c.NamespaceFiles) > 0,
		"namespaces: without a charter nothing says what they may")
	return errors.Join(all...)
}

func (c *Config) validateServers(all *problems) {
	all.addIf(len(c.Servers) == 0, "stewards: there are none")
	all.addIf(len(c.Servers) > 0 && len(c.Servers)%2 == 0,
		"stewards: %d; one more or less is as safe against losses and needs no larger majority", len(c.Servers))
	names := map[string]bool{}
	ids := map[uint64]bool{}
	addresses := map[string]bool{}
	for i, s := range c.Servers {
		key := fmt.Sprintf("stewards[%d]", i)
		all.addIf(s.Name == "", "%s: name: it has none", key)
		all.addIf(names[s.Name], "%s: name: %q is another's too", key, s.Name)
		all.addIf(s.ID == 0 || s.ID > maxServerID, "%s: number: %d is not within 1 and 2^31", key, s.ID)
		all.addIf(ids[s.ID], "%s: number: %d is another's too", key, s.ID)
		_, port, err := net.SplitHostPort(s.Address)
		all.addIf(err != nil || port == "" || port == "0", "%s: address: %q is no host:port", key, s.Address)
		all.addIf(addresses[s.Address], "%s: address: %q is another's too", key, s.Address)
		names[s.Name] = true
		ids[s.ID] = true
		addresses[s.Address] = true
	}
}
