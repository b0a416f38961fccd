package admission

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Any sequence of events keeps the invariants of ConnLimiter.
func TestConnLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Defaults(rapid.IntRange(1, 40).Draw(t, "connections"))
		s.KnownReserve = rapid.Float64Range(0, 0.9).Draw(t, "reserve")
		s.MaxConnRate, s.MaxTracked = 1e6, 4
		s.MaxCredit = rapid.IntRange(1, 20).Draw(t, "credit")
		s.KnownPrefixes = []netip.Prefix{netip.MustParsePrefix("10.0.9.0/24")}
		l, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		type modelConn struct {
			busy    bool
			arrived time.Duration
		}
		open := map[ID]*modelConn{}
		var ids []ID
		now := time.Duration(0)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "events"), 1))
		for range 400 {
			now += time.Duration(rng.IntN(40)) * ms
			if rng.IntN(50) == 0 {
				now += time.Minute
			}
			pick := func() (ID, *modelConn) {
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
				_, known := l.Usage()
				free := s.MaxConns - len(open)
				isKnown := l.isKnown(now, a)
				evictions, refusedAny := 0, false
				excess := 0.0
				for _, tier := range l.tiers {
					tier.refresh(now)
					if g := tier.worst(); g != nil {
						excess = max(excess, g.excess)
					}
				}
				oldest := time.Duration(0)
				if e := l.unproven.Front(); e != nil {
					oldest = now - e.Value.(*conn).since
				}
				id, reason := connect(l, now, a, func(id ID) {
					evictions++
					c := open[id]
					switch {
					case c == nil:
						t.Fatal("the victim is not held")
					case c.busy:
						t.Fatal("a connection with a request in flight was evicted")
					}
					inGrace := now-c.arrived < s.GracePeriod && excess <= graceExcess
					if inGrace && oldest >= s.GracePeriod && evictions == 1 && !refusedAny {
						t.Fatal("a connection was evicted within its grace period, and another was older")
					}
					drop(id)
				}, func(ID) bool {
					refuse := rng.IntN(4) == 0
					refusedAny = refusedAny || refuse
					return refuse
				})
				reserve := int(s.KnownReserve * float64(s.MaxConns))
				reserved := max(0, reserve-known)
				switch {
				case id == 0 && isKnown && known < reserve:
					t.Fatalf("a known client was rejected (%v) with %d known ones of a reserve of %v of %d",
						reason, known, s.KnownReserve, s.MaxConns)
				case id == 0 && free > reserved:
					t.Fatalf("rejected (%v) with %d free and %d reserved for known clients", reason, free, reserved)
				case evictions > 0 && free > reserved:
					t.Fatal("a connection was evicted with capacity left")
				case id != 0:
					if open[id] != nil {
						t.Fatal("an ID was given twice")
					}
					open[id] = &modelConn{arrived: now}
					ids = append(ids, id)
				}
			case 4:
				if id, c := pick(); c != nil {
					l.RequestStarted(now, id)
					l.RequestReceived(now, id)
					c.busy = true
				}
			case 5, 6:
				if id, c := pick(); c != nil && c.busy {
					l.RequestDone(now, id, rng.IntN(4) > 0)
					c.busy = false
					c.arrived = now - s.GracePeriod // only new connections have one
				}
			case 7:
				if id, c := pick(); c != nil {
					l.Remove(now, id, false)
					drop(id)
				}
			default:
				l.Remove(now, ID(rng.IntN(1000)+100000), false) // unknown IDs change nothing
				l.RequestDone(now, ID(rng.IntN(1000)+100000), true)
			}
			all, known := l.Usage()
			if all != len(open) || all > s.MaxConns || known > all {
				t.Fatalf("%d open, %d known, %d by the test's count, %d at most", all, known, len(open), s.MaxConns)
			}
		}
		for _, id := range ids {
			l.Remove(now, id, false)
		}
		for i, tier := range l.tiers {
			inHeap, groups, resting := len(tier.byExcess), len(tier.groups), tier.resting.Len()
			if inHeap != 0 || groups != resting || resting > s.MaxTracked {
				t.Fatalf("tier %d: without connections %d in the heap, %d groups, %d resting of %d",
					i, inHeap, groups, resting, s.MaxTracked)
			}
		}
		all, known := l.Usage()
		idleUnknown, idleKnown := l.idle[idleUnknown].Len(), l.idle[idleKnown].Len()
		if all != 0 || known != 0 || idleUnknown+idleKnown+l.unproven.Len() != 0 {
			t.Fatalf("connections leak: %d, %d, idle %d and %d", all, known, idleUnknown, idleKnown)
		}
	})
}
