package client

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"lapisspread/internal/quotalease"
)

// QuotaClient requests and holds a proxy's quota leases. It is safe for concurrent use.
type QuotaClient struct {
	connection
	quotaConfig quotalease.FleetConfig
	quotas      map[string]*quota // by name; the map never changes
	floorToken  string            // the token sent with attempts that are covered by floors only
	floorClaim  *floorClaim       // nil without a state directory
	mutations   mutations

	// Guarded by connection.mu.
	floorsClaimed bool
	configVersion uint64
	quotaStatuses map[string]QuotaStatus
}

// NewQuotaClient returns a client without leases. It requests leases once Run is called.
func NewQuotaClient(config Config) *QuotaClient {
	c := &QuotaClient{
		quotaConfig:   config.File.QuotaConfig(),
		quotas:        map[string]*quota{},
		floorToken:    config.ProxyName + ";" + quotalease.Token{}.String(),
		quotaStatuses: map[string]QuotaStatus{},
	}
	c.initialize(config, c.runWorker)
	for _, q := range c.quotaConfig.Quotas {
		c.quotas[q.Name] = &quota{limit: q.Limit}
	}
	if dir := config.File.StateDir; dir != "" {
		_ = os.MkdirAll(dir, 0o700) // if this fails, claiming the floors reports an error
		c.floorClaim = newFloorClaim(filepath.Join(dir, "floors-"+config.ProxyName), config.ProxyName)
	}
	return c
}

// Run requests leases until ctx ends, and then releases all of them. It blocks; call it once.
func (c *QuotaClient) Run(ctx context.Context) {
	c.worker.Run(ctx)
	generation := c.beginGeneration() // a worker that is still running can no longer publish
	for name := range c.quotas {
		c.publish(generation, 0, name, c.clock(), nil, nil)
	}
	if c.floorClaim != nil { // from here on another process with the same proxy name may use the floors
		c.floorClaim.release()
	}
	c.httpClient.CloseIdleConnections()
}

// publish replaces the buckets of the quota called name. lease and floor are nil if the worker holds none. It returns
// false, and publishes nothing, for a worker that is not the current generation.
//
// incarnation is that of the worker's holder. A lease of a previous worker stays in force until it expires, as long as
// the new worker has none. Incarnation 0 ends that lease too.
func (c *QuotaClient) publish(
	generation, incarnation uint64, name string, now time.Duration, lease, floor *bucket,
) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.quotas[name]
	if q == nil || generation != c.generation {
		return q == nil
	}
	previous := q.buckets.Load()
	if previous == nil {
		previous = &bucketPair{}
	}
	if lease == nil && previous.lease != nil && incarnation > 0 && previous.lease.incarnation != incarnation {
		lease = previous.lease
	}
	next := &bucketPair{
		floor: c.replaceBucket(previous.floor, floor, now),
		lease: c.replaceBucket(previous.lease, lease, now),
	}
	if *next != *previous {
		q.buckets.Store(next)
	}
	return true
}

// replaceBucket closes the previous bucket and returns the one to use in its place. The next bucket inherits the level
// if the lease was renewed before it expired. If both are of the same lease, the previous bucket stays open and in use.
func (c *QuotaClient) replaceBucket(previous, next *bucket, now time.Duration) *bucket {
	switch {
	case previous == nil || previous == next:
		return next
	case next == nil:
		previous.close()
		return nil
	case previous.sameLease(next):
		return previous
	case previous.incarnation == next.incarnation && (int64(now) < previous.expiresAt || c.mutations.reuseExpired):
		emptyAt := previous.emptyAt.Load()
		next.inheritLevel(previous, now)
		if c.mutations.keepReplacedOpen {
			previous.emptyAt.Store(emptyAt)
		}
	default:
		previous.close()
	}
	return next
}

// mutations disable checks, so that tests can show that each check is needed. Production code sets none.
type mutations struct {
	reuseExpired     bool // the next lease inherits the level of an expired one
	keepReplacedOpen bool // a bucket that was replaced still gives units
	startFull        bool // the bucket of a new lease is full
	neverExpire      bool // leases don't expire
}

// leaseBucket returns a new bucket for the lease in the holder's status; nil if the holder has no lease. burst is that
// of the lease, and incarnation that of the holder.
func (c *QuotaClient) leaseBucket(
	now time.Duration, incarnation uint64, status quotalease.HolderStatus, burst quotalease.Amount,
) *bucket {
	lease := newBucket(now, status.Amount, burst, c.quotaConfig.MaxDrift)
	if lease == nil {
		return nil
	}
	lease.expiresAt = int64(now + status.Remaining)
	lease.incarnation = incarnation
	lease.token = status.Token
	lease.tokenText = fmt.Sprintf("%s;%v", c.config.ProxyName, status.Token)
	if c.mutations.startFull {
		lease.emptyAt.Add(-lease.capacity)
	}
	if c.mutations.neverExpire {
		lease.expiresAt = never - 1
	}
	return lease
}

// floorBucket returns a new bucket for a floor; nil if the floor is 0.
func (c *QuotaClient) floorBucket(now time.Duration, floor quotalease.Floor) *bucket {
	return newBucket(now, floor.Amount, floor.Burst, c.quotaConfig.MaxDrift)
}
