package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/quotalease"
	"lapisspread/internal/strictconfig"
	"lapisspread/internal/supervisor"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func file(state string, addresses ...string) *api.Config {
	f := &api.Config{Version: 1, Fleet: "north", MaxDrift: .001, MaxLifetime: strictconfig.Span(10 * time.Second), StateDir: state,
		Quotas: []api.Quota{{Name: "all", Filter: api.AttemptFilter{Attempts: "attempts"}, Limit: 1000, Burst: 100, LeaseDuration: strictconfig.Span(3 * time.Second)},
			{Name: "again", Filter: api.AttemptFilter{Attempts: "retries", Service: "pay"}, Limit: 100, Burst: 10, LeaseDuration: strictconfig.Span(3 * time.Second)}}}
	for i, a := range addresses {
		f.Servers = append(f.Servers, api.Server{Name: fmt.Sprint("s", i+1), ID: uint64(i + 1), Address: a})
	}
	return f
}

// step is a grant that comes after so many milliseconds, of so many units a second for so many milliseconds; a floor if the lease is 0.
type step struct {
	after, amount, burst, lease int64
}

// play has many goroutines take all they can while the clock goes on and grants come and go, beside a Holder that gets the same and is
// drained at each millisecond, which is the most that it could ever allow. It gives the first moment at which more was taken.
func play(t *testing.T, f mutations, steps []step) (over error, taken, allowed int64) {
	var clock atomic.Int64
	l := NewQuotaClient(Config{File: file("", "127.0.0.1:1"), ProxyName: "p1", Clock: func() time.Duration { return time.Duration(clock.Load()) }})
	l.mutations = f
	l.generation = 1
	s, err := l.ForService("web", nil, nil)
	if err != nil || s == nil {
		t.Fatal(s, err)
	}
	key := quotalease.HolderID{Holder: "p1", Incarnation: 7}
	h := quotalease.NewHolder(quotalease.HolderSettings{FleetID: "north", HolderID: key, MaxDrift: .001})
	h.SetFloorClaim(0, true)
	var total, most atomic.Int64
	// take has many take all that there is while something happens.
	take := func(during func()) {
		var takers sync.WaitGroup
		for range 8 {
			takers.Go(func() {
				for range 2 {
					for ok := true; ok; {
						if _, ok = s.Acquire(0, 0, true); ok {
							total.Add(1)
						}
					}
				}
			})
		}
		during()
		takers.Wait()
	}
	version, index, granted := uint64(0), uint64(0), quotalease.Amount(0)
	at := int64(0)
	drain := func() {
		for {
			if _, err := h.Acquire(time.Duration(clock.Load()), "all", 1); err != nil {
				return
			}
			most.Add(1)
		}
	}
	h.SetDemand("all", 1)
	for _, st := range append(steps, step{after: 300}) {
		for range st.after {
			at++
			clock.Store(at * int64(time.Millisecond))
			drain()
			take(func() {})
			if n := total.Load(); n > most.Load() && over == nil {
				over = fmt.Errorf("at %d ms %d are taken, a holder allows %d", at, n, most.Load())
			}
		}
		now := time.Duration(clock.Load())
		r := quotalease.Reply{FleetID: "north", Epoch: 1, HolderID: key, Floors: map[string]quotalease.Floor{}}
		burst := quotalease.FromUnits(float64(st.burst))
		if st.lease > 0 {
			index++
			ask := h.NextRequest(now)
			r.Leases = []quotalease.Lease{{FleetID: "north", Epoch: 1, HolderID: key, Quota: "all", Kind: quotalease.Rate, Amount: quotalease.FromUnits(float64(st.amount)), Burst: burst,
				Duration: time.Duration(st.lease) * time.Millisecond, RequestSeq: ask.Seq, Token: quotalease.Token{Epoch: 1, Index: index}}}
		} else if st.amount > 0 {
			version++
			r.ConfigVersion = version
			r.Floors["all"] = quotalease.Floor{Kind: quotalease.Rate, Amount: quotalease.FromUnits(float64(st.amount)), Burst: burst}
		}
		if err := h.HandleReply(now, now, r); err != nil {
			t.Fatal(err)
		}
		_, floors := h.Floors()
		if st.lease > 0 {
			granted = burst
		}
		lease, floor := l.bucketsFor(h, 7, now, "all", granted, true, floors["all"])
		take(func() { l.publish(1, 7, "all", now, lease, floor) })
		drain()
	}
	return over, total.Load(), most.Load()
}

func TestALookNeverAllowsMoreThanAHolder(t *testing.T) {
	steps := []step{{10, 500, 20, 200}, {150, 900, 60, 200}, {100, 100, 10, 100}, {250, 700, 40, 300}, {90, 30, 5, 0}, {100, 300, 40, 150}, {300, 60, 8, 0}}
	for _, c := range []struct {
		name string
		mutations
		over bool
	}{{"as it is", mutations{}, false}, {"a share arrives full", mutations{startFull: true}, true}, {"leases do not end", mutations{neverExpire: true}, true}} {
		t.Run(c.name, func(t *testing.T) {
			over, taken, allowed := play(t, c.mutations, steps)
			if (over != nil) != c.over {
				t.Errorf("over: %v, want %v", over, c.over)
			}
			if taken < 100 || taken < allowed*95/100 {
				t.Errorf("%d were taken of %d", taken, allowed)
			}
		})
	}
}

// replaced publishes a cell after another, and gives both.
func replaced(l *QuotaClient, at, until, next time.Duration) (a, b *bucket) {
	l.generation = 1
	make := func(now, ends time.Duration, index uint64) *bucket {
		c := newBucket(now, quotalease.FromUnits(100), quotalease.FromUnits(10), .001)
		c.incarnation, c.expiresAt, c.token = 7, int64(ends), quotalease.Token{Epoch: 1, Index: index}
		l.publish(1, 7, "all", now, c, nil)
		return c
	}
	return make(at, until, 1), make(next, next+time.Second, 2)
}

func TestWhoeverHoldsAnOldCellGetsNothing(t *testing.T) {
	for _, c := range []struct {
		mutations
		old, late bool
	}{{mutations{}, false, false}, {mutations{keepReplacedOpen: true}, true, false}, {mutations{reuseExpired: true}, false, true}} {
		l := NewQuotaClient(Config{File: file("", "127.0.0.1:1"), ProxyName: "p1"})
		l.mutations = c.mutations
		a, b := replaced(l, 0, time.Second, 200*time.Millisecond)
		if got := a.take(int64(300 * time.Millisecond)); got != c.old {
			t.Errorf("%+v: of a cell that was replaced: %v", c.mutations, got)
		}
		if !b.take(int64(300 * time.Millisecond)) {
			t.Error("the level of a lease that goes on is lost")
		}
		// The lease had ended before the next came: what was left in its bucket may be another's by now.
		_, b = replaced(l, time.Second, 2*time.Second, 3*time.Second)
		if got := b.take(int64(3 * time.Second)); got != c.late {
			t.Errorf("%+v: of a share that came anew: %v", c.mutations, got)
		}
		l.publish(1, 8, "all", 3200*time.Millisecond, nil, nil)
		if !b.take(int64(3300 * time.Millisecond)) {
			t.Error("a lease ended because another duty was begun")
		}
		if l.publish(1, 0, "all", 3400*time.Millisecond, nil, nil); b.take(int64(3900 * time.Millisecond)) {
			t.Error("a lease goes on after all was given back")
		}
		if l.publish(0, 7, "all", 4*time.Second, nil, nil) {
			t.Error("a duty that was given up has published")
		}
	}
}

func TestAnAttemptDrawsOnAllThatCoverItOrOnNone(t *testing.T) {
	now := time.Duration(0)
	l := NewQuotaClient(Config{File: file("", "127.0.0.1:1"), ProxyName: "p1", Clock: func() time.Duration { return now }})
	l.generation = 1
	s, err := l.ForService("pay", []string{"a"}, []string{"t"})
	if err != nil {
		t.Fatal(err)
	}
	floor := func(name string) {
		l.publish(1, 7, name, 0, nil, newBucket(0, quotalease.FromUnits(10), quotalease.FromUnits(1), 0))
	}
	floor("all")
	now = time.Second
	for range 5 { // a retry without its own budget must not use up the other
		if _, ok := s.Acquire(0, 0, false); ok {
			t.Fatal("a retry went out without a budget")
		}
	}
	if p, ok := s.Acquire(0, 0, true); !ok || p.Token != "p1;0.0" || s.Expired(p) {
		t.Errorf("a first attempt: %+v, %v", p, ok)
	}
	if _, ok := s.Acquire(0, 0, true); ok {
		t.Error("a bucket of one gave two")
	}
	if allocs := testing.AllocsPerRun(1000, func() { now += time.Second; s.Acquire(0, 0, true) }); allocs > 0 {
		t.Errorf("a look allocates %v times", allocs)
	}
}

// The fake clock goes on whenever all wait.
func TestADutyThatDiedOrIsStuckIsBegunAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		l := NewQuotaClient(Config{File: file("", "127.0.0.1:1"), ProxyName: "p1", Clock: func() time.Duration { return time.Since(begun) }})
		release := make(chan struct{})
		var began, alive, worst atomic.Int64
		l.worker.Work = func(ctx context.Context, generation uint64) {
			worst.Store(max(worst.Load(), alive.Add(1)))
			defer alive.Add(-1)
			switch n := began.Add(1); {
			case n <= 2:
				panic("by the test")
			case n <= 20:
				<-release // without a look at ctx
			default:
				for ctx.Err() == nil {
					l.worker.Heartbeat()
					supervisor.Sleep(ctx, pollInterval)
				}
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { l.Run(ctx); close(ended) }()
		time.Sleep(10 * time.Minute)
		if l.counters.crashes.Load() != 2 || worst.Load() != supervisor.MaxStuck+1 || l.counters.stalls.Load() != supervisor.MaxStuck+1 {
			t.Errorf("%d died, %d stuck, %d at once", l.counters.crashes.Load(), l.counters.stalls.Load(), worst.Load())
		}
		close(release)
		time.Sleep(10 * time.Minute)
		if alive.Load() != 1 {
			t.Errorf("%d duties are alive", alive.Load())
		}
		was := began.Load()
		time.Sleep(10 * time.Minute)
		if began.Load() != was {
			t.Error("a duty that beats was begun anew")
		}
		r := l.Status()
		for _, tr := range r.Faults {
			if tr.Advice == "" {
				t.Errorf("%q has no advice", tr.Error)
			}
		}
		if len(r.Faults) != 2 {
			t.Errorf("%+v", r.Faults)
		}
		cancel()
		<-ended
	})
}

func TestTwoOfOneNameNeverHoldOneClaim(t *testing.T) {
	path := filepath.Join(t.TempDir(), "floors-p1")
	a, b := newClaim(path, "p1"), newClaim(path, "p1")
	if ok, err := a.tryLock(); !ok || err != nil {
		t.Fatal(ok, err)
	}
	var taken quotalease.FloorClaimedError
	if ok, err := b.tryLock(); ok || !errors.As(err, &taken) {
		t.Fatal(ok, err)
	}
	yes := func() bool { return true }
	floors := map[string]quotalease.Floor{"all": {Kind: quotalease.Rate, Amount: quotalease.Unit, Burst: quotalease.Unit}}
	if err := errors.Join(a.save(2, floors, yes), a.save(1, nil, yes)); err != nil {
		t.Fatal(err)
	}
	a.release()
	if ok, err := b.tryLock(); !ok || err != nil {
		t.Fatal(ok, err)
	}
	defer b.release()
	if v, f, err := b.load(); v != 2 || f["all"] != floors["all"] || err != nil {
		t.Errorf("an older save went over a newer: %d, %v, %v", v, f, err)
	}
	if err := b.save(3, nil, func() bool { return false }); !errors.As(err, &FloorsNotPersistedError{}) {
		t.Errorf("a duty that was given up saves: %v", err)
	}
	if err := os.WriteFile(path, []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, f, err := b.load(); len(f) > 0 || !errors.As(err, &FloorsNotPersistedError{}) {
		t.Errorf("damaged: %v, %v", f, err)
	}
}

func TestRepliesOfAnotherFleetGiveNothing(t *testing.T) {
	var out atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if out.Add(1) > 1 {
			t.Error("two calls are out at once")
		}
		defer out.Add(-1)
		var in quotalease.Request
		if err := api.DecodeBody(r.Body, &in); err != nil {
			t.Error(err)
		}
		g := quotalease.Lease{FleetID: "south", Epoch: 9, HolderID: in.HolderID, Quota: "all", Kind: quotalease.Rate, Amount: quotalease.FromUnits(500), Burst: quotalease.FromUnits(50), Duration: time.Hour,
			RequestSeq: in.Seq, Token: quotalease.Token{Epoch: 9, Index: 9}}
		api.WriteReply(w, http.StatusOK, quotalease.Reply{FleetID: "south", Epoch: 9, HolderID: in.HolderID, ConfigVersion: 9, Leases: []quotalease.Lease{g},
			Floors: map[string]quotalease.Floor{"all": {Kind: quotalease.Rate, Amount: quotalease.FromUnits(500), Burst: quotalease.FromUnits(50)}}})
	}))
	defer server.Close()
	l := NewQuotaClient(Config{File: file(t.TempDir(), server.Listener.Addr().String()), ProxyName: "p1"})
	s, _ := l.ForService("web", nil, nil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { l.Run(ctx); close(ended) }()
	for end := time.Now().Add(20 * time.Second); l.counters.failed.Load() < 3 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if _, ok := s.Acquire(0, 0, true); ok {
			t.Fatal("another fleet's grant was spent")
		}
	}
	if r := l.Status(); len(r.Faults) != 1 || r.Faults[0].Advice != (quotalease.FleetMismatchError{}).Advice() || !r.FloorsClaimed {
		t.Errorf("%+v", r)
	}
	cancel()
	<-ended
}

func BenchmarkDraw(b *testing.B) {
	l := NewQuotaClient(Config{File: file("", "127.0.0.1:1"), ProxyName: "p1"})
	l.generation = 1
	s, _ := l.ForService("web", nil, nil)
	l.publish(1, 7, "all", l.clock(), nil, newBucket(l.clock(), quotalease.FromUnits(1e9), quotalease.FromUnits(1e9), 0))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Acquire(0, 0, true)
		}
	})
}
