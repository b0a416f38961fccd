package admission

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func ip(a, b, c, d int) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(a), byte(b), byte(c), byte(d)})
}

func newDoor(t testing.TB, s Settings) *ConnLimiter {
	t.Helper()
	d, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// knock has a connection arrive, and closes whom the door names, unless spare says that something stands to be read.
func knock(d *ConnLimiter, now time.Duration, a netip.Addr, gone func(ID), spare func(ID) bool) (ID, Reason) {
	v := d.Arrive(now, a, false)
	for range 4 {
		if v.Evict == 0 {
			break
		}
		if spare != nil && spare(v.Evict) {
			d.EvictionRefused(now, v.Evict)
		} else {
			d.Remove(now, v.Evict, true)
			gone(v.Evict)
		}
		v = d.Arrive(now, a, true)
	}
	return v.Admitted, v.Reason
}

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

// honest is a client that sends its request some ms after it came, and comes again and again.
type honest struct {
	addr  netip.Addr
	think time.Duration
	next  time.Duration
	id    ID
	stage int // 0 away, 1 connected, 2 in hand, 3 idle

	tries, lost int
	why         map[Reason]int
}

// play runs honest clients beside a flood for some time, in steps of a millisecond. Flooders' connections never send a
// whole request.
func play(d *ConnLimiter, clients []*honest, flood func(now time.Duration) []netip.Addr, span time.Duration) {
	by := map[ID]*honest{}
	gone := func(id ID) {
		if h := by[id]; h != nil {
			if h.stage == 1 { // closed before it could show anything
				h.lost++
				h.why[Evicted]++
			}
			h.id, h.stage = 0, 0
			delete(by, id)
		}
	}
	for now := time.Duration(0); now < span; now += ms {
		if flood != nil {
			for _, a := range flood(now) {
				knock(d, now, a, gone, nil)
			}
		}
		for _, h := range clients {
			if now < h.next {
				continue
			}
			switch h.stage {
			case 0:
				h.tries++
				id, why := knock(d, now, h.addr, gone, nil)
				if id == 0 {
					h.lost++
					h.why[why]++
					h.next = now + h.think
					continue
				}
				h.id, h.stage, h.next = id, 1, now+5*ms
				by[id] = h
			case 1, 3:
				if h.stage == 3 {
					h.tries++
				}
				d.RequestStarted(now, h.id)
				d.RequestReceived(now, h.id)
				h.stage, h.next = 2, now+30*ms
			case 2:
				d.RequestDone(now, h.id, true)
				h.stage, h.next = 3, now+h.think
			}
		}
	}
}

func clients(n int, addr func(i int) netip.Addr, think time.Duration) []*honest {
	var out []*honest
	for i := range n {
		out = append(out, &honest{addr: addr(i), think: think, next: time.Duration(i) * think / time.Duration(n), why: map[Reason]int{}})
	}
	return out
}

func lost(all []*honest) (part float64, why map[Reason]int) {
	why = map[Reason]int{}
	tries, lost := 0, 0
	for _, h := range all {
		tries, lost = tries+h.tries, lost+h.lost
		for r, n := range h.why {
			why[r] += n
		}
	}
	return float64(lost) / float64(max(1, tries)), why
}

// Floods of every shape leave honest clients their places: those that keep connections, those that come anew, and many
// behind one address.
func TestFloods(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, k := range []struct {
		name  string
		flood func(now time.Duration) []netip.Addr
	}{
		{"one address, 6,000 a second", func(time.Duration) []netip.Addr {
			return []netip.Addr{ip(10, 0, 0, 1), ip(10, 0, 0, 1), ip(10, 0, 0, 1), ip(10, 0, 0, 1), ip(10, 0, 0, 1), ip(10, 0, 0, 1)}
		}},
		{"a thousand addresses of four nets", func(now time.Duration) []netip.Addr {
			i := int(now / ms)
			return []netip.Addr{ip(10, 0, i%4, i%250), ip(10, 0, i%4, (i+125)%250)}
		}},
		{"each from an address of its own", func(time.Duration) []netip.Addr {
			return []netip.Addr{ip(11, rng.IntN(256), rng.IntN(256), rng.IntN(256)), ip(11, rng.IntN(256), rng.IntN(256), rng.IntN(256))}
		}},
		{"from behind the same address as honest ones", func(time.Duration) []netip.Addr {
			return []netip.Addr{ip(172, 16, 0, 1), ip(172, 16, 0, 1)}
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			d := newDoor(t, Defaults(200))
			all := clients(60, func(i int) netip.Addr { return ip(192, 168, i, 1) }, 400*ms)
			shared := clients(60, func(int) netip.Addr { return ip(172, 16, 0, 1) }, 400*ms)
			play(d, append(all, shared...), k.flood, 4*time.Second)
			if part, why := lost(all); part > 0 {
				t.Errorf("honest clients lost %.1f %%: %v", 100*part, why)
			}
			if part, why := lost(shared); part > 0.03 {
				t.Errorf("those behind one address lost %.1f %%: %v", 100*part, why)
			}
			if open, _ := d.Usage(); open > 200 {
				t.Errorf("%d connections in 200 places", open)
			}
		})
	}
}

// Whom places are refused at the height of a flood is as any other soon after it.
func TestNobodyIsLockedOutForGood(t *testing.T) {
	s := Defaults(100)
	s.MaxConnRate = 50
	d := newDoor(t, s)
	bad := ip(10, 0, 0, 1)
	var held []ID
	for now := time.Duration(0); now < 2*time.Second; now += ms {
		if id, _ := knock(d, now, bad, func(ID) {}, func(ID) bool { return true }); id != 0 {
			held = append(held, id)
		}
	}
	if _, why := knock(d, 2*time.Second, bad, func(ID) {}, nil); why != RateExceeded {
		t.Fatalf("at its height: %v", why)
	}
	for i := range 90 { // the places stay short
		if i < len(held) && i >= 10 {
			d.Remove(2*time.Second, held[i], false)
		}
	}
	for i := range 70 {
		knock(d, 2*time.Second, ip(10, 9, i, 1), func(ID) {}, nil)
	}
	if id, why := knock(d, 12*time.Second, bad, func(ID) {}, nil); id == 0 {
		t.Errorf("ten seconds later: %v", why)
	}
}

func TestBlocks(t *testing.T) {
	d := newDoor(t, Defaults(10))
	net := netip.MustParsePrefix("10.1.0.0/16")
	if err := d.Block(0, net, time.Minute); err != nil {
		t.Fatal(err)
	}
	for at, want := range map[time.Duration]Reason{0: Blocked, 59 * time.Second: Blocked, time.Minute: NoReason} {
		if _, why := knock(d, at, ip(10, 1, 2, 3), func(ID) {}, nil); why != want {
			t.Errorf("at %v: %v", at, why)
		}
	}
	if err := d.Block(0, net, 0); err == nil {
		t.Error("a block without an end was taken")
	}
	if err := d.Block(0, netip.Prefix{}, time.Minute); err == nil {
		t.Error("a block of nothing was taken")
	}
	if !d.Unblock(net) || d.Unblock(net) || d.Blocked(0, ip(10, 1, 2, 3)) {
		t.Error("unblocking")
	}
	for i := range maxBlocks + 1 {
		err := d.Block(0, netip.PrefixFrom(ip(20, 0, i/256, i%256), 32), time.Minute)
		if (err != nil) != (i == maxBlocks) {
			t.Fatalf("block %d: %v", i, err)
		}
	}
	if err := d.Block(time.Hour, net, time.Minute); err != nil { // those that have run out make room
		t.Error(err)
	}
}

// Settings change under way: whom it holds it holds on to, and takes nobody until there is a place.
func TestFewerPlaces(t *testing.T) {
	d := newDoor(t, Defaults(50))
	var ids []ID
	for i := range 30 {
		id, _ := knock(d, 0, ip(10, 0, i, 1), func(ID) {}, nil)
		d.RequestReceived(0, id)
		ids = append(ids, id)
	}
	if err := d.Reconfigure(0, Defaults(10)); err != nil {
		t.Fatal(err)
	}
	if id, why := knock(d, ms, ip(10, 1, 0, 1), func(id ID) { t.Error("one with a request in hand was closed") }, nil); id != 0 || why != NoCapacity {
		t.Errorf("31 of 10: %v", why)
	}
	for _, id := range ids {
		d.Remove(ms, id, false)
	}
	if id, _ := knock(d, ms, ip(10, 1, 0, 1), func(ID) {}, nil); id == 0 {
		t.Error("nobody is taken with all places free")
	}
	if err := d.Reconfigure(0, Settings{}); err == nil {
		t.Error("a bad change was taken")
	}
}

// Any sequence of events keeps the promises of the package.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Defaults(rapid.IntRange(1, 40).Draw(t, "places"))
		s.KnownReserve = rapid.Float64Range(0, 0.9).Draw(t, "reserve")
		s.MaxConnRate, s.MaxTracked = 1e6, 4
		s.MaxCredit = rapid.IntRange(1, 20).Draw(t, "earned")
		s.KnownPrefixes = []netip.Prefix{netip.MustParsePrefix("10.0.9.0/24")}
		d, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		type shadow struct {
			busy bool
			came time.Duration
		}
		open := map[ID]*shadow{}
		var ids []ID
		now := time.Duration(0)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "events"), 1))
		for range 400 {
			now += time.Duration(rng.IntN(40)) * ms
			if rng.IntN(50) == 0 {
				now += time.Minute
			}
			pick := func() (ID, *shadow) {
				if len(ids) == 0 {
					return 0, nil
				}
				id := ids[rng.IntN(len(ids))]
				return id, open[id]
			}
			drop := func(id ID) {
				delete(open, id)
				for i, o := range ids {
					if o == id {
						ids = append(ids[:i], ids[i+1:]...)
						return
					}
				}
			}
			switch rng.IntN(9) {
			case 0, 1, 2, 3:
				a := ip(10, 0, rng.IntN(4), rng.IntN(3))
				if rng.IntN(5) == 0 {
					a = ip(10, 0, 9, rng.IntN(3))
				}
				_, known := d.Usage()
				free := s.MaxConns - len(open)
				is := d.isKnown(now, d.tiers[0].prefix(a), a)
				closed, over, spared := 0, 0.0, false
				for _, tier := range d.tiers {
					tier.refresh(now)
					if g := tier.worst(); g != nil {
						over = max(over, g.excess)
					}
				}
				oldest := time.Duration(0)
				if e := d.unproven.Front(); e != nil {
					oldest = now - e.Value.(*conn).since
				}
				id, why := knock(d, now, a, func(id ID) {
					closed++
					switch c := open[id]; {
					case c == nil:
						t.Fatal("one that it does not hold is to be closed")
					case c.busy:
						t.Fatal("one with a request in hand was closed")
					case now-c.came < s.GracePeriod && over <= graceExcess && oldest >= s.GracePeriod && closed == 1 && !spared:
						t.Fatal("one was closed within the grace, and another was older")
					}
					drop(id)
				}, func(ID) bool {
					spare := rng.IntN(4) == 0
					spared = spared || spare
					return spare
				})
				kept := max(0, int(s.KnownReserve*float64(s.MaxConns))-known)
				switch {
				case id == 0 && is && known < int(s.KnownReserve*float64(s.MaxConns)):
					t.Fatalf("a known client was turned away (%v) with %d known ones of a reserve of %v of %d", why, known, s.KnownReserve, s.MaxConns)
				case id == 0 && free > kept:
					t.Fatalf("turned away (%v) with %d free and %d kept for known clients", why, free, kept)
				case closed > 0 && free > kept:
					t.Fatal("somebody was closed with room left")
				case id != 0:
					if open[id] != nil {
						t.Fatal("an ID is there twice")
					}
					open[id] = &shadow{came: now}
					ids = append(ids, id)
				}
			case 4:
				if id, c := pick(); c != nil {
					d.RequestStarted(now, id)
					d.RequestReceived(now, id)
					c.busy = true
				}
			case 5, 6:
				if id, c := pick(); c != nil && c.busy {
					d.RequestDone(now, id, rng.IntN(4) > 0)
					c.busy, c.came = false, now-s.GracePeriod // the grace is for those that come
				}
			case 7:
				if id, c := pick(); c != nil {
					d.Remove(now, id, false)
					drop(id)
				}
			default:
				d.Remove(now, ID(rng.IntN(1000)+100000), false) // strangers' numbers change nothing
				d.RequestDone(now, ID(rng.IntN(1000)+100000), true)
			}
			all, known := d.Usage()
			if all != len(open) || all > s.MaxConns || known > all {
				t.Fatalf("%d open, %d known, %d by our count, %d places", all, known, len(open), s.MaxConns)
			}
		}
		for _, id := range ids {
			d.Remove(now, id, false)
		}
		for i, tier := range d.tiers {
			if len(tier.byExcess) != 0 || len(tier.groups) != tier.resting.Len() || tier.resting.Len() > s.MaxTracked {
				t.Fatalf("tier %d: with nobody there %d in the heap, %d groups, %d resting of %d", i, len(tier.byExcess), len(tier.groups), tier.resting.Len(), s.MaxTracked)
			}
		}
		if all, known := d.Usage(); all != 0 || known != 0 || d.idle[0].Len()+d.idle[1].Len()+d.unproven.Len() != 0 {
			t.Fatalf("places leak: %d, %d, idle %d and %d", all, known, d.idle[0].Len(), d.idle[1].Len())
		}
	})
}

// An estimate is never too low, and seldom too high by more than it says.
func TestSketch(t *testing.T) {
	s := newSketch(7)
	rng := rand.New(rand.NewPCG(3, 4))
	exact := map[uint64]float64{}
	for range 200_000 {
		k := rng.Uint64() % 50_000
		if rng.IntN(10) == 0 {
			k = rng.Uint64() % 10 // few that come often
		}
		key := s.key(netip.PrefixFrom(ip(10, int(k>>16), int(k>>8), int(k)), 32))
		exact[key]++
		s.add(0, key)
	}
	wrong := 0
	for key, n := range exact {
		est := s.estimate(key)
		if est < n-0.5 {
			t.Fatalf("an estimate of %.1f for %v", est, n)
		}
		if est > n+s.error() {
			wrong++
		}
	}
	if part := float64(wrong) / float64(len(exact)); part > 0.02 {
		t.Errorf("%.2f %% are off by more than %.1f", 100*part, s.error())
	}
	var some uint64
	for key := range exact {
		some = key
		break
	}
	before := s.estimate(some)
	for now := time.Second; now <= 100*time.Second; now += time.Second {
		s.fade(now)
	}
	if after := s.estimate(some); after > before*1e-6 || s.total > 1 {
		t.Errorf("%v has faded to %v in 100 s", before, after)
	}
}

// Memory is bounded whatever the number of addresses.
func TestManyAddresses(t *testing.T) {
	s := Defaults(500)
	s.MaxTracked = 1000
	d := newDoor(t, s)
	for i := range 300_000 {
		now := time.Duration(i) * 100 * time.Microsecond
		id, _ := knock(d, now, ip(10+i>>24, i>>16, i>>8, i), func(ID) {}, nil)
		if id != 0 && i%3 == 0 { // some of them earn something
			d.RequestReceived(now, id)
			d.RequestDone(now, id, true)
		}
	}
	for i, tier := range d.tiers {
		if n := len(tier.groups); n > s.MaxConns+s.MaxTracked {
			t.Errorf("tier %d: %d groups", i, n)
		}
	}
	if r := d.Report(30 * time.Second); len(r.Top) > maxBusiest || r.Open > 500 || r.Rejected["room"] == 0 {
		t.Errorf("%+v", r)
	}
}

func TestReportNamesTheBusiest(t *testing.T) {
	d := newDoor(t, Defaults(20))
	for i := range 400 {
		now := time.Duration(i) * ms
		knock(d, now, ip(10, 0, i%200, 7), func(ID) {}, nil)
		knock(d, now, ip(10, 9, 9, 9), func(ID) {}, nil)
	}
	r := d.Report(400 * ms)
	if len(r.Top) == 0 || r.Top[0].Prefix != "10.9.9.9/32" || r.Top[0].Rate < 200 || r.Top[0].Rejected == 0 {
		t.Errorf("%+v", r.Top[:min(3, len(r.Top))])
	}
}

func BenchmarkArrive(b *testing.B) {
	for _, places := range []int{230, 600, 10000} {
		b.Run(fmt.Sprint(places, " places, all taken, an address each"), func(b *testing.B) {
			d := newDoor(b, Defaults(places))
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				knock(d, time.Duration(i)*time.Millisecond, ip(10+i>>24, i>>16, i>>8, i), func(ID) {}, nil)
			}
		})
	}
}

// Bytes of bodies: while they are short an address has its part and what it has earned, and one that holds nothing always
// gets one body in; nothing that ends leaves anything behind.
func TestBytesOfAnAddress(t *testing.T) {
	s := Defaults(100)
	s.MaxBodyBytes, s.KnownPrefixes = 1<<20, []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}
	d, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	take := func(a netip.Addr) ID {
		id, why := knock(d, 0, a, nil, nil)
		if id == 0 {
			t.Fatalf("%v: %v", a, why)
		}
		return id
	}
	var held []ID
	for range 12 { // three quarters: there is room yet, anybody may hold it
		id := take(ip(10, 0, 0, 1))
		held = append(held, id)
		if !d.AcquireBody(0, id, 64<<10) {
			t.Fatal("refused while there was room")
		}
	}
	if d.AcquireBody(0, take(ip(10, 0, 0, 1)), 64<<10) {
		t.Error("one address has more than its part while bytes are short")
	}
	other := take(ip(10, 1, 0, 1))
	if !d.AcquireBody(0, other, 100<<10) {
		t.Error("an address that holds nothing is refused its first")
	}
	d.RequestDone(0, other, true) // and has earned room for one more beside its part
	if !d.AcquireBody(0, other, 64<<10) || !d.AcquireBody(0, take(ip(10, 1, 0, 1)), 200<<10) {
		t.Error("what was earned does not count")
	}
	d.settings.MaxBodyPart = 0.01 // so little that its net has too much by itself
	if neighbour := take(ip(10, 0, 0, 77)); !d.AcquireBody(0, neighbour, 10<<10) || d.AcquireBody(0, neighbour, 100<<10) {
		t.Error("an address is refused its first for its neighbours, or has all that it asks for")
	}
	if known := take(ip(10, 9, 0, 1)); !d.AcquireBody(0, known, 300<<10) || !d.AcquireBody(0, known, 300<<10) {
		t.Error("a listed address is bounded")
	}
	if r := d.Report(0); r.BodyRejections != 2 || r.Bytes != int64(12*64+64+200+10+600)<<10 {
		t.Errorf("%+v", r)
	}
	for i, id := range held {
		if i%2 == 0 {
			d.RequestDone(0, id, false)
		}
		d.Remove(0, id, false)
	}
	for id := range d.conns {
		d.Remove(0, id, false)
	}
	if d.bytes != 0 || d.tiers[0].groups[d.tiers[0].prefix(ip(10, 1, 0, 1))].bytes != 0 {
		t.Errorf("%d bytes are left", d.bytes)
	}
}
