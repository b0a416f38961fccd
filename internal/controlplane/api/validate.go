package api

import (
	"errors"
	"fmt"
	"net"
	"time"

	"lapisspread/internal/staleness"
)

// maxServerID is the maximum ID of a server.
const maxServerID = 1 << 31

// problems collects all errors of a file, so that one check reports all of them.
type problems []error

// addIf adds an error with the formatted text if wrong is true.
func (p *problems) addIf(wrong bool, format string, args ...any) {
	if wrong {
		*p = append(*p, fmt.Errorf(format, args...))
	}
}

// add adds an error unless it is nil.
func (p *problems) add(err error) {
	if err != nil {
		*p = append(*p, err)
	}
}

// validate returns all errors of the configuration, joined; nil if it is valid. Each error names the key
// as the file spells it: stewards are the control-plane servers, budgets the quotas, view the freshness settings, and
// charter the ownership declaration.
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
		"namespaces: charter is missing; it declares what each namespace may set")
	return errors.Join(all...)
}

// validateServers adds the errors of the control-plane servers.
func (c *Config) validateServers(all *problems) {
	all.addIf(len(c.Servers) == 0, "stewards: none is given, at least one is needed")
	all.addIf(len(c.Servers) > 0 && len(c.Servers)%2 == 0,
		"stewards: %d is even; one more or one less tolerates at least as many failures and needs no larger majority",
		len(c.Servers))
	names := map[string]bool{}
	ids := map[uint64]bool{}
	addresses := map[string]bool{}
	for i, s := range c.Servers {
		key := fmt.Sprintf("stewards[%d]", i)
		all.addIf(s.Name == "", "%s: name: it is empty", key)
		all.addIf(names[s.Name], "%s: name: %q is already used", key, s.Name)
		all.addIf(s.ID == 0 || s.ID > maxServerID, "%s: number: %d is not between 1 and 2^31", key, s.ID)
		all.addIf(ids[s.ID], "%s: number: %d is already used", key, s.ID)
		_, port, err := net.SplitHostPort(s.Address)
		all.addIf(err != nil || port == "" || port == "0", "%s: address: %q is not host:port", key, s.Address)
		all.addIf(addresses[s.Address], "%s: address: %q is already used", key, s.Address)
		names[s.Name] = true
		ids[s.ID] = true
		addresses[s.Address] = true
	}
}
