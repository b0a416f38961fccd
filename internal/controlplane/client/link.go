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

// Settings of a link.
type Settings struct {
	File  *api.File
	Name  string // of this proxy: no other may have it
	Log   *slog.Logger
	Via   http.RoundTripper    // to the stewards; nil is its own, in the clear
	Clock func() time.Duration // only goes forward; nil is the machine's, with the time that it is suspended
}

const (
	poll       = 50 * time.Millisecond  // between two looks at whether to ask
	leastAsk   = 100 * time.Millisecond // between two asks at least
	claimEvery = 500 * time.Millisecond // between two tries for a claim that another process has
	leaveTime  = 500 * time.Millisecond // for the last word
	tellEvery  = 10 * time.Second       // between two log lines of one trouble
)

// Link is a proxy's side. It is for any goroutine.
type Link struct {
	set       Settings
	grants    quotalease.FleetConfig
	clock     func() time.Duration
	client    *http.Client
	pots      map[string]*pot // never changes
	floorText string
	claim     *claim // nil without a folder
	counts    counts
	flaws     flaws
	duty      supervisor.Task

	mu         sync.Mutex // never held over I/O
	generation uint64
	leader     string
	held       bool // the claim
	version    uint64
	stand      map[string]Standing
	troubles   map[string]*Trouble
}

type counts struct{ asks, answered, failed, died, stuck, stopped atomic.Int64 }

// New makes a link that holds nothing yet.
func New(set Settings) *Link {
	if set.Log == nil {
		set.Log = slog.New(slog.DiscardHandler)
	}
	if set.Via == nil {
		set.Via = api.Transport(nil)
	}
	l := &Link{set: set, grants: set.File.Grants(), clock: set.Clock, client: &http.Client{Transport: set.Via}, pots: map[string]*pot{},
		floorText: set.Name + ";" + quotalease.Token{}.String(), stand: map[string]Standing{}, troubles: map[string]*Trouble{}}
	if l.clock == nil {
		l.clock = supervisor.Boottime
	}
	for _, b := range l.grants.Quotas {
		l.pots[b.Name] = &pot{name: b.Name, whole: b.Limit}
	}
	if dir := set.File.State; dir != "" {
		_ = os.MkdirAll(dir, 0o700) // if it can't be, the claim says so
		l.claim = newClaim(filepath.Join(dir, "floors-"+set.Name), set.Name)
	}
	l.duty = supervisor.Task{Clock: l.clock, OnStart: l.begin, Work: l.work, OnPanic: l.died, OnStuck: l.stuck, ShutdownGrace: 2 * leaveTime}
	return l
}

// Run has the duty done until ctx ends; then it gives all back.
func (l *Link) Run(ctx context.Context) {
	l.duty.Run(ctx)
	generation := l.begin() // no duty publishes any more
	for name := range l.pots {
		l.publish(generation, 0, name, l.clock(), nil, nil)
	}
	if l.claim != nil { // only now may another process of this name spend the floors
		l.claim.release()
	}
	l.client.CloseIdleConnections()
}

// begin has what the duties before publish count no more.
func (l *Link) begin() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation++
	return l.generation
}

func (l *Link) died(cause any, stack []byte) {
	l.counts.died.Add(1)
	l.trouble(DutyDied{fmt.Sprint(cause)})
	l.set.Log.Error("a duty of the fleet's died", "cause", cause, "stack", string(stack))
}

func (l *Link) stuck(since time.Duration) {
	l.counts.stuck.Add(1)
	l.trouble(DutyStuck{since})
}

// incarnation is one that no other process ever has.
func incarnation() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // it never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// worker is one duty's own.
type worker struct {
	*Link
	generation uint64
	by         uint64
	holder     *quotalease.Holder
	bursts     map[string]burstOf
	wants      map[string]float64
	asked      time.Duration
	every      time.Duration
	at         int // of the stewards
	kept       uint64
	wait       *backoff.ExponentialBackOff
	next       time.Duration
	claimed    bool
	nextClaim  time.Duration
}

type burstOf struct {
	token quotalease.Token
	burst quotalease.Amount
}

func (l *Link) work(ctx context.Context, generation uint64) {
	w := &worker{Link: l, generation: generation, by: incarnation(), bursts: map[string]burstOf{}, wants: map[string]float64{}, asked: l.clock(),
		at: rand.IntN(len(l.set.File.Stewards)), wait: backoff.NewExponentialBackOff()}
	w.wait.InitialInterval, w.wait.MaxInterval, w.wait.RandomizationFactor = poll, time.Second, .5
	set := quotalease.HolderSettings{FleetID: l.grants.FleetID, HolderID: quotalease.HolderID{Holder: l.set.Name, Incarnation: w.by}, MaxDrift: l.grants.MaxDrift}
	if l.claim != nil {
		var err error
		if set.ConfigVersion, set.Floors, err = l.claim.load(); err != nil {
			l.trouble(err)
		}
		w.kept = set.ConfigVersion
	}
	w.holder = quotalease.NewHolder(set)
	for name, p := range l.pots {
		// Nothing is known of the demand: some is asked for, so that the first requests find something, and it goes if none come.
		w.wants[name] = max(p.whole/50, float64(p.tried.Load()))
	}
	for ctx.Err() == nil {
		l.duty.Heartbeat()
		w.claimFloors()
		if now := l.clock(); now >= w.next && (now-w.asked >= w.every || w.hungry(now)) {
			w.ask(ctx)
		}
		w.note()
		supervisor.Sleep(ctx, poll)
	}
	w.leave()
}

// claimFloors tries for the claim, and publishes what it holds.
func (w *worker) claimFloors() {
	now := w.clock()
	if w.claim == nil || w.claimed || now < w.nextClaim {
		return
	}
	w.nextClaim = now + claimEvery
	held, err := w.claim.try()
	if err != nil {
		w.trouble(err)
	}
	w.mu.Lock()
	w.claimed = w.generation == w.Link.generation && held
	w.held = held
	w.mu.Unlock()
	if w.claimed {
		w.holder.SetFloorClaim(now, true)
		w.publishAll()
	}
}

func (w *worker) publishAll() {
	now := w.clock()
	_, floors := w.holder.Floors()
	for name := range w.pots {
		has := w.holder.Status(now, name)
		burst := quotalease.Amount(0)
		if b := w.bursts[name]; b.token == has.Token {
			burst = b.burst
		}
		lease, floor := w.cellsOf(w.holder, w.by, now, name, burst, w.claimed, floors[name])
		w.publish(w.generation, w.by, name, now, lease, floor)
	}
}

// hungry tells whether demand has risen so much since the last ask that the next one should not wait.
func (w *worker) hungry(now time.Duration) bool {
	since := now - w.asked
	if since < leastAsk {
		return false
	}
	for name, p := range w.pots {
		if float64(p.tried.Load())/since.Seconds() > 1.25*max(w.wants[name], 1) {
			return true
		}
	}
	return false
}

// headroom is by how much more is asked for than was tried: demand that grows must be seen to grow.
const headroom = 1.2

// measure sets what is wanted, by what was tried since the last ask. It rises at once and falls by a third of the way each time.
func (w *worker) measure(now time.Duration) {
	since := max(now-w.asked, poll)
	for name, p := range w.pots {
		seen := headroom * float64(p.tried.Swap(0)) / since.Seconds()
		want := max(seen, w.wants[name]-(w.wants[name]-seen)/3)
		if want < .01 {
			want = 0
		}
		w.wants[name] = want
		w.holder.SetDemand(name, want)
	}
	w.asked = now
}

// callTime is for one call: several fit in a lease.
func (w *worker) callTime() time.Duration {
	least := 2 * time.Second
	for _, b := range w.grants.Quotas {
		least = min(least, b.LeaseDuration/4)
	}
	return max(least, 100*time.Millisecond)
}

// ask asks one steward, and whom it names instead. Never more than one call is out.
func (w *worker) ask(ctx context.Context) {
	if version, floors := w.holder.Floors(); w.claim != nil && version > w.kept {
		// Danger: a process that starts on older floors than the stewards were told of spends what may be another's.
		if err := w.claim.save(version, floors, func() bool { return w.current() && ctx.Err() == nil }); err != nil {
			w.trouble(err)
			w.later()
			return
		}
		w.kept = version
	}
	w.measure(w.clock())
	stewards := w.set.File.Stewards
	address := stewards[w.at%len(stewards)].Address
	for range 3 {
		err := w.call(ctx, address)
		if err == nil {
			w.wait.Reset()
			w.next, w.every = 0, time.Duration(float64(w.holder.RequestInterval())*(.9+.2*rand.Float64())) // a fleet must not ask in step
			w.mu.Lock()
			w.leader = address
			w.mu.Unlock()
			return
		}
		if ctx.Err() != nil {
			return
		}
		w.counts.failed.Add(1)
		var p api.Problem
		if errors.As(err, &p) && p.Leader != "" && p.Leader != address {
			address = p.Leader
			w.at = max(0, slices.IndexFunc(stewards, func(s api.Steward) bool { return s.Address == address }))
			continue
		}
		w.trouble(err)
		break
	}
	w.at = (w.at + 1) % len(stewards)
	w.later()
}

// later is when a call has failed: with jitter, so that a fleet doesn't come back in step.
func (w *worker) later() {
	w.every = 0
	w.next = w.clock() + w.wait.NextBackOff()
}

func (w *worker) call(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, w.callTime())
	defer cancel()
	w.counts.asks.Add(1)
	sent := w.clock()
	request := w.holder.NextRequest(sent)
	var reply quotalease.Reply
	if err := api.Call(ctx, w.client, address, api.PathAsk, request, &reply); err != nil {
		return err
	}
	now := w.clock()
	err := w.holder.HandleReply(sent, now, reply)
	for _, g := range reply.Leases {
		if w.holder.Status(now, g.Quota).Token == g.Token {
			w.bursts[g.Quota] = burstOf{g.Token, g.Burst}
		}
	}
	w.publishAll()
	w.counts.answered.Add(1)
	if errors.As(err, &quotalease.FleetMismatchError{}) || errors.As(err, &quotalease.HolderMismatchError{}) || errors.As(err, &quotalease.StaleEpochError{}) {
		return err // nothing of it was taken: ask another
	}
	if err != nil {
		w.trouble(err)
	}
	return nil
}

func (w *worker) current() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.generation == w.Link.generation
}

// leave ends all that is held, and says so if that takes no time.
func (w *worker) leave() {
	if !w.current() {
		return
	}
	for name := range w.pots {
		w.publish(w.generation, 0, name, w.clock(), nil, nil)
	}
	w.holder.ReleaseAll()
	w.mu.Lock()
	leader := w.leader
	w.mu.Unlock()
	if leader == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	_ = api.Call(ctx, w.client, leader, api.PathAsk, w.holder.NextRequest(w.clock()), nil) // else its leases end by themselves
}

// Standing is how a budget stands.
type Standing struct {
	Granted float64 `json:"granted"` // units a second
	Floor   float64 `json:"floor"`
	Wanted  float64 `json:"wanted"`
	Left    int64   `json:"lease_left_ms"`
	Token   string  `json:"token"`
	Tried   int64   `json:"tried"` // since the last ask
	Allowed int64   `json:"allowed"`
	Refused int64   `json:"refused"`
}

// Trouble is an error that came up, how often, and what an operator can do.
type Trouble struct {
	Error  string `json:"error"`
	Advice string `json:"advice"`
	Count  int64  `json:"count"`

	told time.Duration
}

// Report is what the console shows.
type Report struct {
	Fleet    string              `json:"fleet"`
	Proxy    string              `json:"proxy"`
	Steward  string              `json:"steward"` // that answered last
	Claim    bool                `json:"floors_claimed"`
	Version  uint64              `json:"budgets_version"`
	Asks     int64               `json:"asks"`
	Answered int64               `json:"answered"`
	Failed   int64               `json:"failed"`
	Died     int64               `json:"duties_died"`
	Stuck    int64               `json:"duties_stuck"`
	Stopped  int64               `json:"stopped_before_send"`
	Budgets  map[string]Standing `json:"budgets"`
	Troubles []Trouble           `json:"troubles,omitempty"`
	Policy   *PolicyReport       `json:"policy,omitempty"`
}

// note keeps how things stand, for the console.
func (w *worker) note() {
	now := w.clock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.generation != w.Link.generation {
		return
	}
	for name := range w.pots {
		has := w.holder.Status(now, name)
		w.version = has.ConfigVersion
		w.stand[name] = Standing{Granted: has.Amount.Units(), Floor: has.Floor.Units(), Wanted: w.wants[name], Left: has.Remaining.Milliseconds(), Token: has.Token.String()}
	}
}

// Report tells how the link stands. It waits for nobody.
func (l *Link) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &l.counts
	r := Report{Fleet: l.grants.FleetID, Proxy: l.set.Name, Steward: l.leader, Claim: l.held, Version: l.version, Asks: c.asks.Load(), Answered: c.answered.Load(),
		Failed: c.failed.Load(), Died: c.died.Load(), Stuck: c.stuck.Load(), Stopped: c.stopped.Load(), Budgets: map[string]Standing{}}
	for name, p := range l.pots {
		s := l.stand[name]
		s.Tried, s.Allowed, s.Refused = p.tried.Load(), p.allowed.Load(), p.refused.Load()
		r.Budgets[name] = s
	}
	for _, name := range slices.Sorted(maps.Keys(l.troubles)) {
		r.Troubles = append(r.Troubles, *l.troubles[name])
	}
	return r
}

// trouble counts an error by its kind, and logs it now and then.
func (l *Link) trouble(err error) {
	name := api.ProblemOf(err).Name
	now := l.clock()
	l.mu.Lock()
	t := l.troubles[name]
	if t == nil {
		t = &Trouble{told: now - tellEvery}
		l.troubles[name] = t
	}
	t.Count++
	t.Error, t.Advice = err.Error(), operatorerror.Of(err)
	tell := now-t.told >= tellEvery
	if tell {
		t.told = now
	}
	count := t.Count
	l.mu.Unlock()
	if tell {
		l.set.Log.Warn("the fleet", "err", err, "advice", cmp.Or(operatorerror.Of(err), "none"), "count", count)
	}
}
