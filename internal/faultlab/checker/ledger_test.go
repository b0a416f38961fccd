package checker

import (
	"math"
	"runtime"
	"slices"
	"testing"
	"time"

	"lapisspread/internal/faultlab/model"
)

const ms = time.Millisecond

// scene is a ledger with one safe (0) and one unsafe (1) class, two proxies and three nodes.
func scene() *Ledger {
	return New(Settings{Proxies: 2, Nodes: 3, Tenants: []model.Tenant{{Name: "t"}}, Classes: []model.Class{
		{Name: "safe", Aim: 100 * ms, GiveUp: time.Second, Safe: true, Worth: 2, Late: 0.5},
		{Name: "payout", Aim: 100 * ms, GiveUp: time.Second, Worth: 10, Late: 0.25}}})
}

func ask(l *Ledger, class int, at time.Duration) uint64 {
	a := model.Arrival{At: at, First: at, Class: class, Deadline: at + 500*ms, GiveUp: at + time.Second, Worth: l.set.Classes[class].Worth, Work: 10}
	l.Asked(&a)
	return l.Take(Try{Proxy: 1, Arrival: a})
}

// serve is an attempt that runs and serves.
func serve(l *Ledger, id uint64, at time.Duration) {
	l.Sent(at, id, 1, 0, 0)
	l.Began(at, id, 0, 0)
	l.Made(id, 0, 0)
	l.Answered(at+20*ms, id, model.Served, true)
}

// sendForNobody has attempts begin at that time for so many clients, all of which left at 10 ms while their requests waited.
func sendForNobody(l *Ledger, n int, at time.Duration) {
	var ids []uint64
	for range n {
		ids = append(ids, ask(l, 0, 0))
		l.Departed(10*ms, ids[len(ids)-1])
	}
	for _, id := range ids {
		l.Sent(at, id, 1, 0, 0)
	}
}

// Of the requests whose client left while they waited for their first attempt a quarter may be sent on later than 0.3 s.
func TestWhatWaitedForTheGone(t *testing.T) {
	for _, k := range []struct {
		waited, sent int
		at           time.Duration
		want         int
	}{{20, 5, 311 * ms, 0}, {19, 5, 311 * ms, 1}, {19, 5, 310 * ms, 0}, {4, 4, 311 * ms, 0}, {20, 7, 311 * ms, 1}} {
		l := scene()
		for range k.waited - k.sent {
			l.Departed(10*ms, ask(l, 0, 0))
		}
		sendForNobody(l, k.sent, k.at)
		count := 0
		l.Finish()
		for _, b := range l.Verdict(UsualPrices).Breaches {
			if b.What == "too many of those whose client left while they waited were sent on" {
				count++
			}
		}
		if count != k.want {
			t.Errorf("%d waited, %d of them sent on at %v: %d breaches, want %d", k.waited, k.sent, k.at, count, k.want)
		}
	}
}

func TestRules(t *testing.T) {
	const payout, safe = 1, 0
	for _, k := range []struct {
		name string
		do   func(l *Ledger)
		want []Rule // one breach of each
	}{
		{"served", func(l *Ledger) { serve(l, ask(l, payout, 0), ms) }, nil},
		{"never answered", func(l *Ledger) { ask(l, safe, 0) }, []Rule{Lost}},
		{"half a second late", func(l *Ledger) { l.Answered(1000*ms, ask(l, safe, 0), model.Errored, false) }, nil},
		{"a microsecond more", func(l *Ledger) { l.Answered(1000*ms+time.Microsecond, ask(l, safe, 0), model.Errored, false) }, []Rule{Lost}},
		{"answered twice", func(l *Ledger) {
			id := ask(l, safe, 0)
			l.Answered(ms, id, model.Errored, false)
			l.Answered(2*ms, id, model.Errored, false)
		}, []Rule{Lost}},
		{"served what no node made", func(l *Ledger) { l.Answered(ms, ask(l, safe, 0), model.Served, true) }, []Rule{Lost}},
		{"served with another's bytes", func(l *Ledger) {
			id := ask(l, safe, 0)
			l.Sent(ms, id, 1, 0, 0)
			l.Made(id, 0, 0)
			l.Answered(2*ms, id, model.Served, false)
		}, []Rule{Lost}},
		{"the client left", func(l *Ledger) { l.Departed(ms, ask(l, safe, 0)) }, nil},
		{"attempts for three who left, in time", func(l *Ledger) {
			for range 9 {
				id := ask(l, safe, 0)
				l.Departed(10*ms, id)
				l.Sent(110*ms, id, 1, 0, 0)
			}
		}, nil},
		{"attempts for two who left", func(l *Ledger) { sendForNobody(l, 2, 111*ms) }, nil},
		{"attempts for three who left", func(l *Ledger) { sendForNobody(l, 3, 111*ms) }, []Rule{Departed}},
		{"a further attempt for three who left", func(l *Ledger) {
			for range 3 {
				id := ask(l, safe, 0)
				l.Sent(ms, id, 1, 0, 0)
				l.Departed(10*ms, id)
				l.Sent(111*ms, id, 1, 1, 1)
			}
		}, []Rule{Departed}},
		{"its proxy was killed", func(l *Ledger) { ask(l, payout, 0); l.ProxyDied(1) }, nil},
		{"another proxy was killed", func(l *Ledger) { ask(l, payout, 0); l.ProxyDied(0) }, []Rule{Lost}},
		{"its connection broke", func(l *Ledger) { l.Broke(ms, ask(l, safe, 0), "reset") }, []Rule{Lost}},
		{"a payout repeated", func(l *Ledger) {
			id := ask(l, payout, 0)
			l.Sent(ms, id, 1, 0, 0)
			serveOn(l, id, 1, 1)
		}, []Rule{Duplicate}},
		{"a payout repeated after proof", func(l *Ledger) {
			id := ask(l, payout, 0)
			l.Sent(ms, id, 1, 0, 0)
			l.Proved(id, 0)
			serveOn(l, id, 1, 1)
		}, nil},
		{"woken, it sends before it reads what it was told while it was stopped", func(l *Ledger) {
			l.Told(0, 1, 2, model.Leaving, 0)
			l.ProxyStopped(1, true)
			l.ProxyStopped(1, false)
			id := ask(l, safe, 2*time.Second)
			l.Sent(2*time.Second, id, 1, 2, 0)
			l.Began(2*time.Second, id, 2, 0)
			l.Made(id, 2, 0)
			l.Answered(2*time.Second+20*ms, id, model.Served, true)
		}, []Rule{Drain}},
		{"a safe one repeated", func(l *Ledger) {
			id := ask(l, safe, 0)
			l.Sent(ms, id, 1, 0, 0)
			l.Began(ms, id, 0, 0)
			serveOn(l, id, 1, 1)
		}, nil},
		{"a payout that ran twice", func(l *Ledger) {
			id := ask(l, payout, 0)
			serve(l, id, ms)
			l.Began(30*ms, id, 1, 0)
		}, []Rule{Duplicate}},
		{"a payout called harmless", func(l *Ledger) {
			id := ask(l, payout, 0)
			l.Sent(ms, id, 1, 0, 0)
			l.Answered(2*ms, id, model.Rejected, false)
		}, []Rule{Duplicate}},
		{"a payout refused unsent", func(l *Ledger) { l.Answered(ms, ask(l, payout, 0), model.Rejected, false) }, nil},
		{"a send within the grace", func(l *Ledger) {
			l.Told(0, 1, 0, model.Leaving, 0)
			serve(l, ask(l, safe, 400*ms), 500*ms)
		}, nil},
		{"a send after the grace", func(l *Ledger) {
			l.Told(0, 1, 0, model.Leaving, 0)
			l.Told(300*ms, 1, 0, model.Left, 0) // the grace counts from the first word
			serve(l, ask(l, safe, 400*ms), 501*ms)
		}, []Rule{Drain}},
		{"told another proxy", func(l *Ledger) {
			l.Told(0, 0, 0, model.Leaving, 0)
			serve(l, ask(l, safe, 400*ms), 600*ms)
		}, nil},
		{"back in the list", func(l *Ledger) {
			l.Told(0, 1, 0, model.Left, 0)
			l.Told(550*ms, 1, 0, model.Active, 500*ms)
			serve(l, ask(l, safe, 400*ms), 600*ms)
		}, nil},
		{"pushed over by those told", func(l *Ledger) {
			l.Fell(model.Fall{Sent: 90, Told: 70, Bears: 30, ByProxy: map[int32]float64{0: 20, 1: 70}}, 2)
		}, []Rule{Cold}},
		{"pushed over by those not told", func(l *Ledger) {
			l.Fell(model.Fall{Sent: 90, Told: 60, Bears: 30, ByProxy: map[int32]float64{1: 90}}, 2) // two thirds, and not more
		}, nil},
		{"one new connection in 200 without an answer", func(l *Ledger) {
			for range 199 {
				serve(l, ask(l, safe, 0), ms)
			}
			l.Unanswered(ms, ask(l, payout, 0), "closed")
		}, nil},
		{"two in 201", func(l *Ledger) {
			for range 199 {
				serve(l, ask(l, safe, 0), ms)
			}
			l.Unanswered(ms, ask(l, safe, 0), "closed")
			l.Unanswered(ms, ask(l, safe, 0), "closed")
		}, []Rule{Lost}},
		{"sent on, and its new connection closed", func(l *Ledger) {
			for range 200 {
				serve(l, ask(l, safe, 0), ms)
			}
			id := ask(l, safe, 0)
			l.Sent(ms, id, 1, 0, 0)
			l.Unanswered(2*ms, id, "closed")
		}, []Rule{Lost}},
		{"a new process is told anew", func(l *Ledger) {
			l.Told(0, 1, 0, model.Left, 0)
			l.Forget(1)
			l.Told(400*ms, 1, 0, model.Left, 0)
			serve(l, ask(l, safe, 800*ms), 900*ms)
		}, nil},
	} {
		t.Run(k.name, func(t *testing.T) {
			l := scene()
			k.do(l)
			l.Finish()
			v := l.Verdict(UsualPrices)
			if got := v.Broken(); !slices.Equal(got, k.want) || v.RulesBroken != len(k.want) {
				t.Errorf("broken: %v, %d times; want %v\n%+v", got, v.RulesBroken, k.want, v.Breaches)
			}
			for _, b := range v.Breaches {
				if len(b.Evidence) == 0 {
					t.Errorf("%s: no evidence", b.What)
				}
			}
		})
	}
}

func serveOn(l *Ledger, id uint64, node, attempt int) {
	l.Sent(3*ms, id, 1, node, attempt)
	l.Began(3*ms, id, node, attempt)
	l.Made(id, node, attempt)
	l.Answered(20*ms, id, model.Served, true)
}

func TestWorth(t *testing.T) {
	l := scene()
	serve(l, ask(l, 1, 0), 10*ms)                                               // 10 of 10
	serve(l, ask(l, 1, 0), 100*ms)                                              // past its aim: 2.5 of 10
	l.Answered(400*ms, ask(l, 0, 0), model.Rejected, false)                     // 0 of 2, kept back without an attempt
	l.Answered(15*time.Second, ask(l, 0, 15*time.Second), model.Errored, false) // 0 of 2, in another window, and as good as refused
	serve(l, ask(l, 0, 15*time.Second), 15500*ms)                               // 0 of 2: it ends late, and earns nothing
	l.Finish()
	v := l.Verdict(UsualPrices)
	if v.RulesBroken != 0 || v.Refused != 2 || v.Failed != 1 || v.OK != 2 {
		t.Errorf("%d broken, %d ok, %d refused, %d failed", v.RulesBroken, v.OK, v.Refused, v.Failed)
	}
	w := v.Worth
	near := func(name string, got, want float64) {
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
	near("whole", w.Whole, 12.5/26)
	near("worst class", w.WorstClass, 0)
	near("worst window", w.WorstWindow, 0)
	near("late failures", w.LateFail, 0.05*11.5/26)
	near("held back", w.HeldBack, 0.3*2/26)
}

// Ten million requests are a matter of the command line (self-check --ledger); here a tenth of that.
func TestMemoryFollowsWhatIsOpen(t *testing.T) {
	l := scene()
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	var early uint64
	const n = 1_000_000
	for i := range n {
		at := time.Duration(i) * 100 * time.Microsecond
		serve(l, ask(l, i%2, at), at+ms)
		if i%100 == 0 {
			l.Advance(at)
		}
		if i == n/4 {
			early = heap()
		}
	}
	if late := heap(); late > early+4<<20 {
		t.Errorf("%d bytes after a quarter, %d at the end", early, late)
	}
	if l.Peak() > 50_000 {
		t.Errorf("%d requests were held at once; 10,000 a second for 3.5 s come to 35,000", l.Peak())
	}
	l.Finish()
	if v := l.Verdict(UsualPrices); v.OK != n || v.RulesBroken != 0 || v.Unjudged != 0 {
		t.Errorf("%d ok, %d broken, %d unjudged", v.OK, v.RulesBroken, v.Unjudged)
	}
}
