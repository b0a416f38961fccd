package client

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/quotalease"
	"lapisspread/internal/supervisor"
)

const (
	// pollInterval is the time between two checks of whether a request is due.
	pollInterval = 50 * time.Millisecond
	// minRequestInterval is the minimum time from a request for leases to one that a surge in demand triggers.
	minRequestInterval = 100 * time.Millisecond
	// claimRetryInterval is the time between two attempts to claim the floors.
	claimRetryInterval = 500 * time.Millisecond
	// releaseTimeout bounds the request that releases all leases.
	releaseTimeout = 500 * time.Millisecond
	// maxRetryInterval bounds the backoff after a failed request.
	maxRetryInterval = time.Second
	// retryJitter is the fraction by which the backoff is randomized, so that the proxies of a fleet do not retry at
	// the same time.
	retryJitter = .5
	// requestJitter is the fraction by which the time between two requests is randomized, so that the proxies of a
	// fleet do not send requests at the same time.
	requestJitter = .1
	// minCallTimeout and maxCallTimeout bound the timeout of one call.
	minCallTimeout = 100 * time.Millisecond
	maxCallTimeout = 2 * time.Second
	// callsPerLease is the number of calls that may time out, one after another, within the shortest lease.
	callsPerLease = 4
	// maxCallsPerRequest bounds the redirections that one request follows.
	maxCallsPerRequest = 3
)

// quotaWorker is the state of one worker of a QuotaClient. Only its goroutine uses it.
type quotaWorker struct {
	client      *QuotaClient
	generation  uint64
	incarnation uint64 // of the holder
	holder      *quotalease.Holder
	bursts      map[string]leaseBurst // by quota name
	demand      demandMeter

	serverIndex      int           // of the server for the next request
	requestInterval  time.Duration // between requests, with jitter; 0 after a failure
	nextRequestAt    time.Duration // the end of the backoff after a failure; 0 after a success
	retryBackoff     *backoff.ExponentialBackOff
	persistedVersion uint64 // of the floors on disk

	ownsFloors  bool
	nextClaimAt time.Duration
}

// leaseBurst is the burst of the lease with the given token.
type leaseBurst struct {
	token quotalease.Token
	burst quotalease.Amount
}

// runWorker requests leases until ctx ends, and then releases them. The supervisor calls it.
func (c *QuotaClient) runWorker(ctx context.Context, generation uint64) {
	w := c.newWorker(generation)
	for ctx.Err() == nil {
		c.worker.Heartbeat()
		w.claimFloors()
		if w.requestDue() {
			w.requestLeases(ctx)
		}
		w.recordStatus()
		supervisor.Sleep(ctx, pollInterval)
	}
	w.releaseAll()
}

// newWorker returns a worker with a new holder, which starts with the floors on disk.
func (c *QuotaClient) newWorker(generation uint64) *quotaWorker {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = pollInterval
	retryBackoff.MaxInterval = maxRetryInterval
	retryBackoff.RandomizationFactor = retryJitter
	w := &quotaWorker{
		client:       c,
		generation:   generation,
		incarnation:  newIncarnation(),
		bursts:       map[string]leaseBurst{},
		demand:       newDemandMeter(c.clock(), c.quotas),
		serverIndex:  rand.IntN(len(c.config.File.Servers)),
		retryBackoff: retryBackoff,
	}
	settings := quotalease.HolderSettings{
		FleetID:  c.quotaConfig.FleetID,
		HolderID: quotalease.HolderID{Holder: c.config.ProxyName, Incarnation: w.incarnation},
		MaxDrift: c.quotaConfig.MaxDrift,
	}
	if c.floorClaim != nil {
		var err error
		if settings.ConfigVersion, settings.Floors, err = c.floorClaim.load(); err != nil {
			c.reportFault(err)
		}
		w.persistedVersion = settings.ConfigVersion
	}
	w.holder = quotalease.NewHolder(settings)
	return w
}

// newIncarnation returns a random number other than 0 that distinguishes a worker's holder from all others with the
// same proxy name.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// isCurrent reports whether no other worker has replaced this one.
func (w *quotaWorker) isCurrent() bool { return w.client.isCurrent(w.generation) }

// claimFloors tries to claim the floors, at most once per claimRetryInterval, and publishes them once it holds the
// claim.
func (w *quotaWorker) claimFloors() {
	c := w.client
	now := c.clock()
	if c.floorClaim == nil || w.ownsFloors || now < w.nextClaimAt {
		return
	}
	w.nextClaimAt = now + claimRetryInterval
	locked, err := c.floorClaim.tryLock()
	if err != nil {
		c.reportFault(err)
	}
	c.mu.Lock()
	w.ownsFloors = locked && w.generation == c.generation
	c.floorsClaimed = locked
	c.mu.Unlock()
	if w.ownsFloors {
		w.holder.SetFloorClaim(now, true)
		w.publishAll()
	}
}

// publishAll publishes the holder's leases and, if this worker holds the claim to them, its floors.
func (w *quotaWorker) publishAll() {
	now := w.client.clock()
	_, floors := w.holder.Floors()
	for name := range w.client.quotas {
		status := w.holder.Status(now, name)
		var burst quotalease.Amount
		if lease := w.bursts[name]; lease.token == status.Token {
			burst = lease.burst
		}
		lease := w.client.leaseBucket(now, w.incarnation, status, burst)
		var floor *bucket
		if w.ownsFloors {
			floor = w.client.floorBucket(now, floors[name])
		}
		w.client.publish(w.generation, w.incarnation, name, now, lease, floor)
	}
}

// requestDue reports whether it is time to request leases: regularly, at once if demand has surged, and never before
// the end of the backoff after a failure.
func (w *quotaWorker) requestDue() bool {
	now := w.client.clock()
	if now < w.nextRequestAt {
		return false
	}
	return w.demand.elapsed(now) >= w.requestInterval || w.demand.surged(now)
}

// requestLeases sends a request to one server and, if that server names another leader, to the leader. Calls are
// sequential. After a failure the next request is deferred and goes to another server.
func (w *quotaWorker) requestLeases(ctx context.Context) {
	if err := w.persistFloors(ctx); err != nil {
		w.client.reportFault(err)
		w.scheduleRetry()
		return
	}
	w.demand.measure(w.client.clock(), w.holder)
	servers := w.client.config.File.Servers
	address := servers[w.serverIndex%len(servers)].Address
	for range maxCallsPerRequest {
		err := w.callServer(ctx, address)
		if err == nil {
			w.requestSucceeded(address)
			return
		}
		if ctx.Err() != nil {
			return
		}
		w.client.counters.failed.Add(1)
		leader := redirectedTo(err, address)
		if leader == "" {
			w.client.reportFault(err)
			break
		}
		address = leader
		index := slices.IndexFunc(servers, func(s api.Server) bool { return s.Address == address })
		w.serverIndex = max(0, index)
	}
	w.serverIndex = (w.serverIndex + 1) % len(servers)
	w.scheduleRetry()
}

// persistFloors writes the floors to disk before the next request confirms them to the servers. Otherwise a process
// that starts with older floors than the confirmed ones could use units that belong to another holder.
func (w *quotaWorker) persistFloors(ctx context.Context) error {
	version, floors := w.holder.Floors()
	if w.client.floorClaim == nil || version <= w.persistedVersion {
		return nil
	}
	mayWrite := func() bool { return w.isCurrent() && ctx.Err() == nil }
	if err := w.client.floorClaim.save(version, floors, mayWrite); err != nil {
		return err
	}
	w.persistedVersion = version
	return nil
}

// requestSucceeded resets the backoff and schedules the next request.
func (w *quotaWorker) requestSucceeded(address string) {
	w.retryBackoff.Reset()
	w.nextRequestAt = 0
	jitter := 1 - requestJitter + 2*requestJitter*rand.Float64()
	w.requestInterval = time.Duration(float64(w.holder.RequestInterval()) * jitter)
	w.client.setServer(address)
}

// scheduleRetry defers the next request until the end of the backoff.
func (w *quotaWorker) scheduleRetry() {
	w.requestInterval = 0
	w.nextRequestAt = w.client.clock() + w.retryBackoff.NextBackOff()
}

// callTimeout returns the timeout of one call: a part of the shortest lease duration, so that several calls can fail
// before a lease expires.
func (w *quotaWorker) callTimeout() time.Duration {
	timeout := maxCallTimeout
	for _, q := range w.client.quotaConfig.Quotas {
		timeout = min(timeout, q.LeaseDuration/callsPerLease)
	}
	return max(timeout, minCallTimeout)
}

// callServer sends the holder's request to a server and publishes the leases and floors that the holder has after the
// reply. If it returns an error, the holder has ignored the reply or there was none.
func (w *quotaWorker) callServer(ctx context.Context, address string) error {
	c := w.client
	ctx, cancel := context.WithTimeout(ctx, w.callTimeout())
	defer cancel()
	c.counters.requests.Add(1)
	sentAt := c.clock()
	request := w.holder.NextRequest(sentAt)
	var reply quotalease.Reply
	if err := api.Call(ctx, c.httpClient, address, api.PathLease, request, &reply); err != nil {
		return err
	}
	now := c.clock()
	err := w.holder.HandleReply(sentAt, now, reply)
	for _, lease := range reply.Leases {
		if w.holder.Status(now, lease.Quota).Token == lease.Token {
			w.bursts[lease.Quota] = leaseBurst{lease.Token, lease.Burst}
		}
	}
	w.publishAll()
	c.counters.answered.Add(1)
	if isForeignReply(err) {
		return err
	}
	if err != nil {
		c.reportFault(err)
	}
	return nil
}

// isForeignReply reports whether a reply was for another fleet or another holder, or of an earlier epoch, so that
// another server must be called.
func isForeignReply(err error) bool {
	return errors.As(err, &quotalease.FleetMismatchError{}) || errors.As(err, &quotalease.HolderMismatchError{}) ||
		errors.As(err, &quotalease.StaleEpochError{})
}

// releaseAll stops using all leases and tries for at most releaseTimeout to release them at the server that answered
// last. If that fails, the leases expire.
func (w *quotaWorker) releaseAll() {
	if !w.isCurrent() {
		return
	}
	c := w.client
	for name := range c.quotas {
		c.publish(w.generation, 0, name, c.clock(), nil, nil)
	}
	w.holder.ReleaseAll()
	leader := c.lastServer()
	if leader == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = api.Call(ctx, c.httpClient, leader, api.PathLease, w.holder.NextRequest(c.clock()), nil)
}
