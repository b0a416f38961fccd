package admission

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func ip(a, b, c, d int) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(a), byte(b), byte(c), byte(d)})
}

func newConnLimiter(t testing.TB, s Settings) *ConnLimiter {
	t.Helper()
	l, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// connect has a connection arrive, and evicts those that the verdicts name, unless refuse says that one has bytes to
// be read.
func connect(l *ConnLimiter, now time.Duration, a netip.Addr, evicted func(ID), refuse func(ID) bool) (ID, Reason) {
	v := l.Arrive(now, a, false)
	for range 4 {
		if v.Evict == 0 {
			break
		}
		if refuse != nil && refuse(v.Evict) {
			l.EvictionRefused(now, v.Evict)
		} else {
			l.Remove(now, v.Evict, true)
			evicted(v.Evict)
		}
		v = l.Arrive(now, a, true)
	}
	return v.Admitted, v.Reason
}

// ignore is for evictions that a test does not look at.
func ignore(ID) {}

func TestErrorsNameTheSetting(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"places: 0":     func(s *Settings) { s.MaxConns = 0 },
		"reserve: 0.95": func(s *Settings) { s.KnownReserve = 0.95 },
		"grace: 1m":     func(s *Settings) { s.GracePeriod = time.Minute },
		"half_life: 0s": func(s *Settings) { s.HalfLife = 0 },
		"earned: 0":     func(s *Settings) { s.MaxCredit = 0 },
		"rate: -1":      func(s *Settings) { s.MaxConnRate = -1 },
		"short: 2":      func(s *Settings) { s.ScarceBelow = 2 },
		"tracked: 0":    func(s *Settings) { s.MaxTracked = 0 },
		"known[0]":      func(s *Settings) { s.KnownPrefixes = make([]netip.Prefix, 1) },
	} {
		s := Defaults(100)
		change(&s)
		if _, err := New(s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// An address that is rejected at the height of its flood is admitted soon after it.
func TestRateRejectionIsNotPermanent(t *testing.T) {
	s := Defaults(100)
	s.MaxConnRate = 50
	l := newConnLimiter(t, s)
	bad := ip(10, 0, 0, 1)
	var open []ID
	for now := time.Duration(0); now < 2*time.Second; now += ms {
		if id, _ := connect(l, now, bad, ignore, func(ID) bool { return true }); id != 0 {
			open = append(open, id)
		}
	}
	if _, reason := connect(l, 2*time.Second, bad, ignore, nil); reason != RateExceeded {
		t.Fatalf("at its height: %v", reason)
	}
	for i := range 90 { // connections stay scarce
		if i < len(open) && i >= 10 {
			l.Remove(2*time.Second, open[i], false)
		}
	}
	for i := range 70 {
		connect(l, 2*time.Second, ip(10, 9, i, 1), ignore, nil)
	}
	if id, reason := connect(l, 12*time.Second, bad, ignore, nil); id == 0 {
		t.Errorf("ten seconds later: %v", reason)
	}
}

// With fewer connections than it holds, the limiter keeps them, and admits none until enough are removed.
func TestReconfigureWithFewerConns(t *testing.T) {
	l := newConnLimiter(t, Defaults(50))
	var ids []ID
	for i := range 30 {
		id, _ := connect(l, 0, ip(10, 0, i, 1), ignore, nil)
		l.RequestReceived(0, id)
		ids = append(ids, id)
	}
	if err := l.Reconfigure(0, Defaults(10)); err != nil {
		t.Fatal(err)
	}
	evicted := func(ID) { t.Error("a connection with a request in flight was evicted") }
	if id, reason := connect(l, ms, ip(10, 1, 0, 1), evicted, nil); id != 0 || reason != NoCapacity {
		t.Errorf("31 of 10: %v", reason)
	}
	for _, id := range ids {
		l.Remove(ms, id, false)
	}
	if id, _ := connect(l, ms, ip(10, 1, 0, 1), ignore, nil); id == 0 {
		t.Error("rejected with no connection open")
	}
	if err := l.Reconfigure(0, Settings{}); err == nil {
		t.Error("invalid settings were accepted")
	}
}

// Memory is bounded whatever the number of addresses.
func TestManyAddresses(t *testing.T) {
	s := Defaults(500)
	s.MaxTracked = 1000
	l := newConnLimiter(t, s)
	for i := range 300_000 {
		now := time.Duration(i) * 100 * time.Microsecond
		id, _ := connect(l, now, ip(10+i>>24, i>>16, i>>8, i), ignore, nil)
		if id != 0 && i%3 == 0 { // some of them earn credit
			l.RequestReceived(now, id)
			l.RequestDone(now, id, true)
		}
	}
	for i, tier := range l.tiers {
		if n := len(tier.groups); n > s.MaxConns+s.MaxTracked {
			t.Errorf("tier %d: %d groups", i, n)
		}
	}
	if r := l.Report(30 * time.Second); len(r.Top) > maxBusiest || r.Open > 500 || r.Rejected["room"] == 0 {
		t.Errorf("%+v", r)
	}
}

func TestReportListsTheBusiest(t *testing.T) {
	l := newConnLimiter(t, Defaults(20))
	for i := range 400 {
		now := time.Duration(i) * ms
		connect(l, now, ip(10, 0, i%200, 7), ignore, nil)
		connect(l, now, ip(10, 9, 9, 9), ignore, nil)
	}
	r := l.Report(400 * ms)
	if len(r.Top) == 0 || r.Top[0].Prefix != "10.9.9.9/32" || r.Top[0].Rate < 200 || r.Top[0].Rejected == 0 {
		t.Errorf("%+v", r.Top[:min(3, len(r.Top))])
	}
}

func BenchmarkArrive(b *testing.B) {
	for _, maxConns := range []int{230, 600, 10000} {
		b.Run(fmt.Sprint(maxConns, " connections, all in use, an address each"), func(b *testing.B) {
			l := newConnLimiter(b, Defaults(maxConns))
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				connect(l, time.Duration(i)*time.Millisecond, ip(10+i>>24, i>>16, i>>8, i), ignore, nil)
			}
		})
	}
}
