package admission

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// ip returns the IPv4 address a.b.c.d; only the low 8 bits of each number are used.
func ip(a, b, c, d int) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(a), byte(b), byte(c), byte(d)})
}

func newConnLimiter(t testing.TB, s Settings) *ConnLimiter {
	t.Helper()
	l, err := New(s)
	if err != nil {
		t.Fatalf("New(%+v): %v", s, err)
	}
	return l
}

// connect calls Arrive for a new connection, and evicts up to four connections that the verdicts name. It reports an
// eviction as refused if refuse returns true, as if the connection had unread bytes; a nil refuse permits all
// evictions. onEvict is called for each evicted connection.
func connect(l *ConnLimiter, now time.Duration, a netip.Addr, onEvict func(ID), refuse func(ID) bool) (ID, Reason) {
	v := l.Arrive(now, a, false)
	for range 4 {
		if v.Evict == 0 {
			break
		}
		if refuse != nil && refuse(v.Evict) {
			l.EvictionRefused(now, v.Evict)
		} else {
			l.Remove(now, v.Evict, true)
			onEvict(v.Evict)
		}
		v = l.Arrive(now, a, true)
	}
	return v.Admitted, v.Reason
}

// ignoreEviction is the onEvict callback of tests that do not check evictions.
func ignoreEviction(ID) {}

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
			t.Errorf("New with an invalid setting: error %v, want one that contains %q", err, want)
		}
	}
}

// An address that is rejected for its connection rate during a flood is admitted again soon after the flood ends.
func TestRateRejectionIsNotPermanent(t *testing.T) {
	s := Defaults(100)
	s.MaxConnRate = 50
	l := newConnLimiter(t, s)
	flooder := ip(10, 0, 0, 1)
	var open []ID
	for now := time.Duration(0); now < 2*time.Second; now += ms {
		if id, _ := connect(l, now, flooder, ignoreEviction, func(ID) bool { return true }); id != 0 {
			open = append(open, id)
		}
	}
	if _, reason := connect(l, 2*time.Second, flooder, ignoreEviction, nil); reason != RateExceeded {
		t.Fatalf("Arrive of the flooding address after 2 s of flood: reason %v, want %v", reason, RateExceeded)
	}
	for i := range 90 { // close up to 80; the next loop opens 70, so that connections stay scarce
		if i < len(open) && i >= 10 {
			l.Remove(2*time.Second, open[i], false)
		}
	}
	for i := range 70 {
		connect(l, 2*time.Second, ip(10, 9, i, 1), ignoreEviction, nil)
	}
	if id, reason := connect(l, 12*time.Second, flooder, ignoreEviction, nil); id == 0 {
		t.Errorf("Arrive of the address 10 s after its flood: rejected with reason %v, want admitted", reason)
	}
}

// When MaxConns is lowered below the number of open connections, the limiter keeps them, and admits no other until
// enough are removed.
func TestReconfigureWithFewerConns(t *testing.T) {
	l := newConnLimiter(t, Defaults(50))
	var ids []ID
	for i := range 30 {
		id, _ := connect(l, 0, ip(10, 0, i, 1), ignoreEviction, nil)
		l.RequestReceived(0, id)
		ids = append(ids, id)
	}
	if err := l.Reconfigure(0, Defaults(10)); err != nil {
		t.Fatalf("Reconfigure from 50 to 10 connections: %v", err)
	}
	onEvict := func(id ID) { t.Errorf("Arrive evicts connection %d, which has a request in flight", id) }
	if id, reason := connect(l, ms, ip(10, 1, 0, 1), onEvict, nil); id != 0 || reason != NoCapacity {
		t.Errorf("Arrive with 30 open and MaxConns 10: ID %d, reason %v, want ID 0, reason %v", id, reason, NoCapacity)
	}
	for _, id := range ids {
		l.Remove(ms, id, false)
	}
	if id, _ := connect(l, ms, ip(10, 1, 0, 1), ignoreEviction, nil); id == 0 {
		t.Error("Arrive with no connection open: rejected, want admitted")
	}
	if err := l.Reconfigure(0, Settings{}); err == nil {
		t.Error("Reconfigure with zero Settings = nil, want an error")
	}
}

// The number of remembered groups stays bounded however many addresses connect.
func TestManyAddresses(t *testing.T) {
	s := Defaults(500)
	s.MaxTracked = 1000
	l := newConnLimiter(t, s)
	for i := range 300_000 {
		now := time.Duration(i) * 100 * time.Microsecond
		id, _ := connect(l, now, ip(10+i>>24, i>>16, i>>8, i), ignoreEviction, nil)
		if id != 0 && i%3 == 0 { // every third connection earns credit
			l.RequestReceived(now, id)
			l.RequestDone(now, id, true)
		}
	}
	for i, tier := range l.tiers {
		if n := len(tier.groups); n > s.MaxConns+s.MaxTracked {
			t.Errorf("tier %d (0 addresses, 1 networks) holds %d groups, want at most MaxConns+MaxTracked = %d",
				i, n, s.MaxConns+s.MaxTracked)
		}
	}
	if r := l.Report(30 * time.Second); len(r.Top) > maxBusiest || r.Open > 500 || r.Rejected["room"] == 0 {
		t.Errorf("Report: %d top addresses, %d open, %d evicted, want at most %d, at most 500, more than 0",
			len(r.Top), r.Open, r.Rejected["room"], maxBusiest)
	}
}

func TestReportListsTheBusiest(t *testing.T) {
	l := newConnLimiter(t, Defaults(20))
	for i := range 400 {
		now := time.Duration(i) * ms
		connect(l, now, ip(10, 0, i%200, 7), ignoreEviction, nil)
		connect(l, now, ip(10, 9, 9, 9), ignoreEviction, nil)
	}
	r := l.Report(400 * ms)
	if len(r.Top) == 0 || r.Top[0].Prefix != "10.9.9.9/32" || r.Top[0].Rate < 200 || r.Top[0].Rejected == 0 {
		t.Errorf("first addresses of Report = %+v, want 10.9.9.9/32 first, with a rate of at least 200 and rejections",
			r.Top[:min(3, len(r.Top))])
	}
}

func BenchmarkArrive(b *testing.B) {
	for _, maxConns := range []int{230, 600, 10000} {
		b.Run(fmt.Sprint(maxConns, " connections, all open, one address per connection"), func(b *testing.B) {
			l := newConnLimiter(b, Defaults(maxConns))
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				connect(l, time.Duration(i)*time.Millisecond, ip(10+i>>24, i>>16, i>>8, i), ignoreEviction, nil)
			}
		})
	}
}
