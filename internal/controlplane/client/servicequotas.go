package client

import (
	"fmt"
	"slices"
	"time"

	"lapisspread/internal/engine"
	"lapisspread/internal/quotalease"
)

// maxQuotasPerService is how many quotas may cover one service.
const maxQuotasPerService = 8

// anyIndex stands for any class or any tenant.
const anyIndex = -1

// attemptsRetries is the value of a quota's filter that counts retries only.
const attemptsRetries = "retries"

// ServiceQuotas are the quotas that cover the attempts of a service. It is safe for concurrent use; its methods
// take no lock and allocate nothing.
type ServiceQuotas struct {
	client   *QuotaClient
	covering []coveringQuota
}

// coveringQuota is a quota and the attempts that it covers.
type coveringQuota struct {
	quota       *quota
	class       int // an index, or anyIndex
	tenant      int // an index, or anyIndex
	retriesOnly bool
}

var _ engine.Quota = (*ServiceQuotas)(nil)

// ForService returns the quotas that cover a service; nil if there is none. It fails if there are more than one
// attempt can draw on.
func (c *QuotaClient) ForService(service string, classes, tenants []string) (*ServiceQuotas, error) {
	s := &ServiceQuotas{client: c}
	for _, q := range c.config.File.Quotas {
		class, classExists := filterIndex(q.Filter.Class, classes)
		tenant, tenantExists := filterIndex(q.Filter.Tenant, tenants)
		serviceMatches := q.Filter.Service == "" || q.Filter.Service == service
		if !classExists || !tenantExists || !serviceMatches {
			continue
		}
		s.covering = append(s.covering, coveringQuota{
			quota:       c.quotas[q.Name],
			class:       class,
			tenant:      tenant,
			retriesOnly: q.Filter.Attempts == attemptsRetries,
		})
	}
	if len(s.covering) == 0 {
		return nil, nil
	}
	if len(s.covering) > maxQuotasPerService {
		return nil, fmt.Errorf("%d budgets cover service %q; %d are the most",
			len(s.covering), service, maxQuotasPerService)
	}
	return s, nil
}

// filterIndex is where a filter's value stands among names; the empty value is any.
func filterIndex(value string, names []string) (index int, ok bool) {
	if value == "" {
		return anyIndex, true
	}
	index = slices.Index(names, value)
	return index, index >= 0
}

// covers reports whether an attempt draws on the quota.
func (q *coveringQuota) covers(class, tenant int, first bool) bool {
	if q.class != anyIndex && q.class != class || q.tenant != anyIndex && q.tenant != tenant {
		return false
	}
	return !q.retriesOnly || !first
}

// Acquire takes a unit of each quota that covers an attempt, or of none. It is called for each attempt, just before
// it is made; class and tenant are indices into the names that ForService was given.
func (s *ServiceQuotas) Acquire(class, tenant int, first bool) (engine.Permit, bool) {
	now := int64(s.client.clock())
	permit := engine.Permit{Token: s.client.floorToken, Expires: never}
	var taken [maxQuotasPerService]*bucket
	var newest quotalease.Token
	for i := range s.covering {
		covering := &s.covering[i]
		if !covering.covers(class, tenant, first) {
			continue
		}
		b := covering.quota.take(now)
		// A rejected first attempt and the retries that follow it are one demand.
		if b != nil || first || covering.retriesOnly {
			covering.quota.attempted.Add(1)
		}
		if b == nil {
			covering.quota.rejected.Add(1)
			refundAll(taken[:i])
			return engine.Permit{}, false
		}
		covering.quota.admitted.Add(1)
		taken[i] = b
		if b.expiresAt == never {
			continue
		}
		permit.Expires = min(permit.Expires, time.Duration(b.expiresAt))
		if b.token.Compare(newest) > 0 {
			newest = b.token
			permit.Token = b.tokenText
		}
	}
	return permit, true
}

func refundAll(taken []*bucket) {
	for _, b := range taken {
		if b != nil {
			b.refund()
		}
	}
}

// Expired checks a permit once more just before the attempt is sent: the process may have been stopped since
// Acquire. It can't see a lease that expires between this check and the network; see quotalease.Holder.Revalidate.
func (s *ServiceQuotas) Expired(permit engine.Permit) bool {
	if s.client.clock() < permit.Expires {
		return false
	}
	s.client.counters.expiredBeforeSend.Add(1)
	return true
}
