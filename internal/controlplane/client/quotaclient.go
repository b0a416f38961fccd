package client

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"lapisspread/internal/quotalease"
)

// QuotaClient holds a proxy's quota leases. It is safe for concurrent use.
type QuotaClient struct {
	connection
	quotaConfig quotalease.FleetConfig
	quotas      map[string]*quota // by name; it never changes
	floorToken  string            // as it goes out with attempts that no lease covers
	floorClaim  *floorClaim       // nil without a state directory
	mutations   mutations

	// Guarded by connection.mu.
	floorsClaimed bool
	configVersion uint64
	quotaStatuses map[string]QuotaStatus
}

// NewQuotaClient makes a client that holds nothing yet. Run has it request leases.
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
		_ = os.MkdirAll(dir, 0o700) // if it can't be made, the claim says so
		c.floorClaim = newFloorClaim(filepath.Join(dir, "floors-"+config.ProxyName), config.ProxyName)
	}
	return c
}

// Run requests leases until ctx ends, and then gives all back. It is called once.
func (c *QuotaClient) Run(ctx context.Context) {
	c.worker.Run(ctx)
	generation := c.beginGeneration() // no worker publishes any more
	for name := range c.quotas {
		c.publish(generation, 0, name, c.clock(), nil, nil)
	}
	if c.floorClaim != nil { // only now may another process of this name spend the floors
		c.floorClaim.release()
	}
	c.httpClient.CloseIdleConnections()
}

// publish puts the buckets of what a worker holds in the place of those before. It returns false, and publishes
// nothing, for a worker that is not the newest.
//
// The incarnation is that of the worker's holder. The lease of a worker before stays in force until it expires
// while the new one has none; incarnation 0 ends it too.
func (c *QuotaClient) publish(
	generation, incarnation uint64, name string, now time.Duration, lease, floor *bucket,
) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.quotas[name]
	if q == nil || generation != c.generation {
		return q == nil
	}
	before := q.buckets.Load()
	if before == nil {
		before = &bucketPair{}
	}
	if lease == nil && before.lease != nil && incarnation > 0 && before.lease.incarnation != incarnation {
		lease = before.lease
	}
	next := &bucketPair{
		floor: c.replaceBucket(before.floor, floor, now),
		lease: c.replaceBucket(before.lease, lease, now),
	}
	if *next != *before {
		q.buckets.Store(next)
	}
	return true
}

// replaceBucket closes a bucket and returns the one that takes its place. The level goes over if the lease goes on.
func (c *QuotaClient) replaceBucket(before, next *bucket, now time.Duration) *bucket {
	switch {
	case before == nil || before == next:
		return next
	case next == nil:
		before.close()
		return nil
	case before.sameLease(next):
		return before
	case before.incarnation == next.incarnation && (int64(now) < before.expiresAt || c.mutations.reuseExpired):
		emptyAt := before.emptyAt.Load()
		next.inheritLevel(before, now)
		if c.mutations.keepReplacedOpen {
			before.emptyAt.Store(emptyAt)
		}
	default:
		before.close()
	}
	return next
}

// mutations take a guard out, so that tests can show that it is needed.
type mutations struct {
	reuseExpired     bool // the level of an expired lease goes over to the next one
	keepReplacedOpen bool // a bucket that was replaced still gives units
	startFull        bool // the bucket of a new lease is full
	neverExpire      bool // leases don't expire
}

// leaseBucket makes the bucket of a lease; nil if the holder has none.
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

// floorBucket makes the bucket of a floor; nil if there is none.
func (c *QuotaClient) floorBucket(now time.Duration, floor quotalease.Floor) *bucket {
	return newBucket(now, floor.Amount, floor.Burst, c.quotaConfig.MaxDrift)
}
