// Package client is a proxy's side of the fleet's budgets. One goroutine, the duty, talks to the stewards and holds the grants
// (grant.Holder); engines look at what it publishes (Sight) without a lock. The duty is watched: one that died or is stuck is
// counted and begun anew, and no request ever waits for it. What was published goes on to its end meanwhile.
//
// Between engines and duty there are no queues but two fields for each budget: the cells go one way, the newest takes the place of the
// one before; sums of what was tried go the other way by atomic additions, so they can't be full and nothing of them is lost.
package client

import (
	"cmp"
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/quotalease"
	"lapisspread/internal/supervisor"
)

// Config of a link.
type Config struct {
	File      *api.Config
	ProxyName string // of this proxy: no other may have it
	Logger    *slog.Logger
	Transport http.RoundTripper    // to the stewards; nil is its own, in the clear
	Clock     func() time.Duration // only goes forward; nil is the machine's, with the time that it is suspended
}

const (
	pollInterval       = 50 * time.Millisecond  // between two looks at whether to ask
	minRequestInterval = 100 * time.Millisecond // between two asks at least
	claimRetryInterval = 500 * time.Millisecond // between two tries for a claim that another process has
	releaseTimeout     = 500 * time.Millisecond // for the last word
	faultLogInterval   = 10 * time.Second       // between two log lines of one trouble
)

// QuotaClient is a proxy's side. It is for any goroutine.
type QuotaClient struct {
	config      Config
	quotaConfig quotalease.FleetConfig
	clock       func() time.Duration
	httpClient  *http.Client
	quotas      map[string]*quota // never changes
	floorToken  string
	floorClaim  *floorClaim // nil without a folder
	counters    counters
	mutations   mutations
	worker      supervisor.Task

	mu            sync.Mutex // never held over I/O
	generation    uint64
	server        string
	floorsClaimed bool // the claim
	configVersion uint64
	quotaStatuses map[string]QuotaStatus
	faults        map[string]*Fault
}

type counters struct{ requests, answered, failed, crashes, stalls, expiredBeforeSend atomic.Int64 }

// NewQuotaClient makes a link that holds nothing yet.
func NewQuotaClient(set Config) *QuotaClient {
	if set.Logger == nil {
		set.Logger = slog.New(slog.DiscardHandler)
	}
	if set.Transport == nil {
		set.Transport = api.NewTransport(nil)
	}
	l := &QuotaClient{config: set, quotaConfig: set.File.QuotaConfig(), clock: set.Clock, httpClient: &http.Client{Transport: set.Transport}, quotas: map[string]*quota{},
		floorToken: set.ProxyName + ";" + quotalease.Token{}.String(), quotaStatuses: map[string]QuotaStatus{}, faults: map[string]*Fault{}}
	if l.clock == nil {
		l.clock = supervisor.Boottime
	}
	for _, b := range l.quotaConfig.Quotas {
		l.quotas[b.Name] = &quota{name: b.Name, limit: b.Limit}
	}
	if dir := set.File.StateDir; dir != "" {
		_ = os.MkdirAll(dir, 0o700) // if it can't be, the claim says so
		l.floorClaim = newClaim(filepath.Join(dir, "floors-"+set.ProxyName), set.ProxyName)
	}
	l.worker = supervisor.Task{Clock: l.clock, OnStart: l.beginGeneration, Work: l.runWorker, OnPanic: l.workerCrashed, OnStuck: l.workerStalled, ShutdownGrace: 2 * releaseTimeout}
	return l
}

// Run has the duty done until ctx ends; then it gives all back.
func (l *QuotaClient) Run(ctx context.Context) {
	l.worker.Run(ctx)
	generation := l.beginGeneration() // no duty publishes any more
	for name := range l.quotas {
		l.publish(generation, 0, name, l.clock(), nil, nil)
	}
	if l.floorClaim != nil { // only now may another process of this name spend the floors
		l.floorClaim.release()
	}
	l.httpClient.CloseIdleConnections()
}

// beginGeneration has what the duties before publish count no more.
func (l *QuotaClient) beginGeneration() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation++
	return l.generation
}

func (l *QuotaClient) workerCrashed(cause any, stack []byte) {
	l.counters.crashes.Add(1)
	l.reportFault(WorkerCrashedError{fmt.Sprint(cause)})
	l.config.Logger.Error("a duty of the fleet's died", "cause", cause, "stack", string(stack))
}

func (l *QuotaClient) workerStalled(since time.Duration) {
	l.counters.stalls.Add(1)
	l.reportFault(WorkerStalledError{since})
}

// newIncarnation is one that no other process ever has.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // it never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// quotaWorker is one duty's own.
type quotaWorker struct {
	*QuotaClient
	generation       uint64
	incarnation      uint64
	holder           *quotalease.Holder
	bursts           map[string]leaseBurst
	demand           map[string]float64
	requestedAt      time.Duration
	requestInterval  time.Duration
	serverIndex      int // of the stewards
	persistedVersion uint64
	retryBackoff     *backoff.ExponentialBackOff
	nextRequestAt    time.Duration
	ownsFloors       bool
	nextClaimAt      time.Duration
}

type leaseBurst struct {
	token quotalease.Token
	burst quotalease.Amount
}

func (l *QuotaClient) runWorker(ctx context.Context, generation uint64) {
	w := &quotaWorker{QuotaClient: l, generation: generation, incarnation: newIncarnation(), bursts: map[string]leaseBurst{}, demand: map[string]float64{}, requestedAt: l.clock(),
		serverIndex: rand.IntN(len(l.config.File.Servers)), retryBackoff: backoff.NewExponentialBackOff()}
	w.retryBackoff.InitialInterval, w.retryBackoff.MaxInterval, w.retryBackoff.RandomizationFactor = pollInterval, time.Second, .5
	set := quotalease.HolderSettings{FleetID: l.quotaConfig.FleetID, HolderID: quotalease.HolderID{Holder: l.config.ProxyName, Incarnation: w.incarnation}, MaxDrift: l.quotaConfig.MaxDrift}
	if l.floorClaim != nil {
		var err error
		if set.ConfigVersion, set.Floors, err = l.floorClaim.load(); err != nil {
			l.reportFault(err)
		}
		w.persistedVersion = set.ConfigVersion
	}
	w.holder = quotalease.NewHolder(set)
	for name, p := range l.quotas {
		// Nothing is known of the demand: some is asked for, so that the first requests find something, and it goes if none come.
		w.demand[name] = max(p.limit/50, float64(p.attempted.Load()))
	}
	for ctx.Err() == nil {
		l.worker.Heartbeat()
		w.claimFloors()
		if now := l.clock(); now >= w.nextRequestAt && (now-w.requestedAt >= w.requestInterval || w.demandSurged(now)) {
			w.requestLeases(ctx)
		}
		w.recordStatus()
		supervisor.Sleep(ctx, pollInterval)
	}
	w.releaseAll()
}

// claimFloors tries for the claim, and publishes what it holds.
func (w *quotaWorker) claimFloors() {
	now := w.clock()
	if w.floorClaim == nil || w.ownsFloors || now < w.nextClaimAt {
		return
	}
	w.nextClaimAt = now + claimRetryInterval
	held, err := w.floorClaim.tryLock()
	if err != nil {
		w.reportFault(err)
	}
	w.mu.Lock()
	w.ownsFloors = w.generation == w.QuotaClient.generation && held
	w.floorsClaimed = held
	w.mu.Unlock()
	if w.ownsFloors {
		w.holder.SetFloorClaim(now, true)
		w.publishAll()
	}
}

func (w *quotaWorker) publishAll() {
	now := w.clock()
	_, floors := w.holder.Floors()
	for name := range w.quotas {
		has := w.holder.Status(now, name)
		burst := quotalease.Amount(0)
		if b := w.bursts[name]; b.token == has.Token {
			burst = b.burst
		}
		lease, floor := w.bucketsFor(w.holder, w.incarnation, now, name, burst, w.ownsFloors, floors[name])
		w.publish(w.generation, w.incarnation, name, now, lease, floor)
	}
}

// demandSurged tells whether demand has risen so much since the last ask that the next one should not wait.
func (w *quotaWorker) demandSurged(now time.Duration) bool {
	since := now - w.requestedAt
	if since < minRequestInterval {
		return false
	}
	for name, p := range w.quotas {
		if float64(p.attempted.Load())/since.Seconds() > 1.25*max(w.demand[name], 1) {
			return true
		}
	}
	return false
}

// demandHeadroom is by how much more is asked for than was tried: demand that grows must be seen to grow.
const demandHeadroom = 1.2

// measureDemand sets what is wanted, by what was tried since the last ask. It rises at once and falls by a third of the way each time.
func (w *quotaWorker) measureDemand(now time.Duration) {
	since := max(now-w.requestedAt, pollInterval)
	for name, p := range w.quotas {
		seen := demandHeadroom * float64(p.attempted.Swap(0)) / since.Seconds()
		want := max(seen, w.demand[name]-(w.demand[name]-seen)/3)
		if want < .01 {
			want = 0
		}
		w.demand[name] = want
		w.holder.SetDemand(name, want)
	}
	w.requestedAt = now
}

// callTimeout is for one call: several fit in a lease.
func (w *quotaWorker) callTimeout() time.Duration {
	least := 2 * time.Second
	for _, b := range w.quotaConfig.Quotas {
		least = min(least, b.LeaseDuration/4)
	}
	return max(least, 100*time.Millisecond)
}

// requestLeases asks one steward, and whom it names instead. Never more than one call is out.
func (w *quotaWorker) requestLeases(ctx context.Context) {
	if version, floors := w.holder.Floors(); w.floorClaim != nil && version > w.persistedVersion {
		// Danger: a process that starts on older floors than the stewards were told of spends what may be another's.
		if err := w.floorClaim.save(version, floors, func() bool { return w.isCurrent() && ctx.Err() == nil }); err != nil {
			w.reportFault(err)
			w.scheduleRetry()
			return
		}
		w.persistedVersion = version
	}
	w.measureDemand(w.clock())
	stewards := w.config.File.Servers
	address := stewards[w.serverIndex%len(stewards)].Address
	for range 3 {
		err := w.callServer(ctx, address)
		if err == nil {
			w.retryBackoff.Reset()
			w.nextRequestAt, w.requestInterval = 0, time.Duration(float64(w.holder.RequestInterval())*(.9+.2*rand.Float64())) // a fleet must not ask in step
			w.mu.Lock()
			w.server = address
			w.mu.Unlock()
			return
		}
		if ctx.Err() != nil {
			return
		}
		w.counters.failed.Add(1)
		var p api.RemoteError
		if errors.As(err, &p) && p.LeaderAddress != "" && p.LeaderAddress != address {
			address = p.LeaderAddress
			w.serverIndex = max(0, slices.IndexFunc(stewards, func(s api.Server) bool { return s.Address == address }))
			continue
		}
		w.reportFault(err)
		break
	}
	w.serverIndex = (w.serverIndex + 1) % len(stewards)
	w.scheduleRetry()
}

// scheduleRetry is when a call has failed: with jitter, so that a fleet doesn't come back in step.
func (w *quotaWorker) scheduleRetry() {
	w.requestInterval = 0
	w.nextRequestAt = w.clock() + w.retryBackoff.NextBackOff()
}

func (w *quotaWorker) callServer(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, w.callTimeout())
	defer cancel()
	w.counters.requests.Add(1)
	sent := w.clock()
	request := w.holder.NextRequest(sent)
	var reply quotalease.Reply
	if err := api.Call(ctx, w.httpClient, address, api.PathLease, request, &reply); err != nil {
		return err
	}
	now := w.clock()
	err := w.holder.HandleReply(sent, now, reply)
	for _, g := range reply.Leases {
		if w.holder.Status(now, g.Quota).Token == g.Token {
			w.bursts[g.Quota] = leaseBurst{g.Token, g.Burst}
		}
	}
	w.publishAll()
	w.counters.answered.Add(1)
	if errors.As(err, &quotalease.FleetMismatchError{}) || errors.As(err, &quotalease.HolderMismatchError{}) || errors.As(err, &quotalease.StaleEpochError{}) {
		return err // nothing of it was taken: ask another
	}
	if err != nil {
		w.reportFault(err)
	}
	return nil
}

func (w *quotaWorker) isCurrent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.generation == w.QuotaClient.generation
}

// releaseAll ends all that is held, and says so if that takes no time.
func (w *quotaWorker) releaseAll() {
	if !w.isCurrent() {
		return
	}
	for name := range w.quotas {
		w.publish(w.generation, 0, name, w.clock(), nil, nil)
	}
	w.holder.ReleaseAll()
	w.mu.Lock()
	leader := w.server
	w.mu.Unlock()
	if leader == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = api.Call(ctx, w.httpClient, leader, api.PathLease, w.holder.NextRequest(w.clock()), nil) // else its leases end by themselves
}

// QuotaStatus is how a budget stands.
type QuotaStatus struct {
	Granted         float64 `json:"granted"` // units a second
	Floor           float64 `json:"floor"`
	Wanted          float64 `json:"wanted"`
	LeaseLeftMillis int64   `json:"lease_left_ms"`
	Token           string  `json:"token"`
	Attempted       int64   `json:"tried"` // since the last ask
	Admitted        int64   `json:"allowed"`
	Rejected        int64   `json:"refused"`
}

// Fault is an error that came up, how often, and what an operator can do.
type Fault struct {
	Error  string `json:"error"`
	Advice string `json:"advice"`
	Count  int64  `json:"count"`

	loggedAt time.Duration
}

// Status is what the console shows.
type Status struct {
	Fleet             string                 `json:"fleet"`
	Proxy             string                 `json:"proxy"`
	Server            string                 `json:"steward"` // that answered last
	FloorsClaimed     bool                   `json:"floors_claimed"`
	ConfigVersion     uint64                 `json:"budgets_version"`
	Requests          int64                  `json:"asks"`
	Answered          int64                  `json:"answered"`
	Failed            int64                  `json:"failed"`
	WorkersCrashed    int64                  `json:"duties_died"`
	WorkersStalled    int64                  `json:"duties_stuck"`
	ExpiredBeforeSend int64                  `json:"stopped_before_send"`
	Quotas            map[string]QuotaStatus `json:"budgets"`
	Faults            []Fault                `json:"troubles,omitempty"`
	Policy            *PolicyStatus          `json:"policy,omitempty"`
}

// recordStatus keeps how things stand, for the console.
func (w *quotaWorker) recordStatus() {
	now := w.clock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.generation != w.QuotaClient.generation {
		return
	}
	for name := range w.quotas {
		has := w.holder.Status(now, name)
		w.configVersion = has.ConfigVersion
		w.quotaStatuses[name] = QuotaStatus{Granted: has.Amount.Units(), Floor: has.Floor.Units(), Wanted: w.demand[name], LeaseLeftMillis: has.Remaining.Milliseconds(), Token: has.Token.String()}
	}
}

// Status tells how the link stands. It waits for nobody.
func (l *QuotaClient) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &l.counters
	r := Status{Fleet: l.quotaConfig.FleetID, Proxy: l.config.ProxyName, Server: l.server, FloorsClaimed: l.floorsClaimed, ConfigVersion: l.configVersion, Requests: c.requests.Load(), Answered: c.answered.Load(),
		Failed: c.failed.Load(), WorkersCrashed: c.crashes.Load(), WorkersStalled: c.stalls.Load(), ExpiredBeforeSend: c.expiredBeforeSend.Load(), Quotas: map[string]QuotaStatus{}}
	for name, p := range l.quotas {
		s := l.quotaStatuses[name]
		s.Attempted, s.Admitted, s.Rejected = p.attempted.Load(), p.admitted.Load(), p.rejected.Load()
		r.Quotas[name] = s
	}
	for _, name := range slices.Sorted(maps.Keys(l.faults)) {
		r.Faults = append(r.Faults, *l.faults[name])
	}
	return r
}

// reportFault counts an error by its kind, and logs it now and then.
func (l *QuotaClient) reportFault(err error) {
	name := api.RemoteErrorOf(err).Code
	now := l.clock()
	l.mu.Lock()
	t := l.faults[name]
	if t == nil {
		t = &Fault{loggedAt: now - faultLogInterval}
		l.faults[name] = t
	}
	t.Count++
	t.Error, t.Advice = err.Error(), operatorerror.Of(err)
	tell := now-t.loggedAt >= faultLogInterval
	if tell {
		t.loggedAt = now
	}
	count := t.Count
	l.mu.Unlock()
	if tell {
		l.config.Logger.Warn("the fleet", "err", err, "advice", cmp.Or(operatorerror.Of(err), "none"), "count", count)
	}
}
