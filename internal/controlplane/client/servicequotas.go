package client

import (
	"fmt"
	"slices"
	"time"

	"lapisspread/internal/engine"
	"lapisspread/internal/quotalease"
)

// maxQuotasPerService is the maximum number of quotas that may cover one service.
const maxQuotasPerService = 8

// anyIndex is the class or tenant of a quota that covers every class or tenant.
const anyIndex = -1

// attemptsRetries is the value of a quota filter's Attempts for a quota that covers only retries.
const attemptsRetries = "retries"

// ServiceQuotas applies the quotas that cover the attempts of one service. It implements engine.Quota. It is safe for
// concurrent use, and its methods take no lock and allocate nothing.
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

// ForService returns the quotas that cover a service with the given request classes and tenants, or nil if there are
// none. It fails if more than maxQuotasPerService cover it.
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
		// Operators know quotas as budgets, the name of their key in the configuration file.
		return nil, fmt.Errorf("%d budgets cover service %q; %d are the most",
			len(s.covering), service, maxQuotasPerService)
	}
	return s, nil
}

// filterIndex returns the index of a filter's value in names, or anyIndex for an empty value. ok is false if names does
// not have the value.
func filterIndex(value string, names []string) (index int, ok bool) {
	if value == "" {
		return anyIndex, true
	}
	index = slices.Index(names, value)
	return index, index >= 0
}

// covers reports whether the quota covers an attempt.
func (q *coveringQuota) covers(class, tenant int, first bool) bool {
	if q.class != anyIndex && q.class != class || q.tenant != anyIndex && q.tenant != tenant {
		return false
	}
	return !q.retriesOnly || !first
}

// Acquire takes one unit from each quota that covers an attempt. It returns false, and takes none, if one of the quotas
// has no unit. The engine calls it just before each attempt. class and tenant are indices into the names passed to
// ForService, and first reports whether it is the request's first attempt.
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
		// A rejected first attempt and the rejected retries that follow it count as one unit of demand.
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

// refundAll returns the units that were taken from the buckets; nil buckets are skipped.
func refundAll(taken []*bucket) {
	for _, b := range taken {
		if b != nil {
			b.refund()
		}
	}
}

// Expired reports whether a permit has expired. The engine calls it just before the attempt is sent, because the
// process may have been suspended since Acquire. It cannot detect a lease that expires between this check and the
// sending; see quotalease.Holder.Revalidate.
func (s *ServiceQuotas) Expired(permit engine.Permit) bool {
	if s.client.clock() < permit.Expires {
		return false
	}
	s.client.counters.expiredBeforeSend.Add(1)
	return true
}
