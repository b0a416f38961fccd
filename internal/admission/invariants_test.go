package admission

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Random sequences of events must keep the invariants of ConnLimiter that the package comment lists.
func TestConnLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Defaults(rapid.IntRange(1, 40).Draw(t, "connections"))
		s.KnownReserve = rapid.Float64Range(0, 0.9).Draw(t, "reserve")
		s.MaxConnRate, s.MaxTracked = 1e6, 4
		s.MaxCredit = rapid.IntRange(1, 20).Draw(t, "credit")
		s.KnownPrefixes = []netip.Prefix{netip.MustParsePrefix("10.0.9.0/24")}
		l, err := New(s)
		if err != nil {
			t.Fatalf("New(%+v): %v", s, err)
		}
		type modelConn struct {
			busy           bool
			graceStartedAt time.Duration // when its grace period started
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
			randomConn := func() (ID, *modelConn) {
				if len(ids) == 0 {
					return 0, nil
				}
				id := ids[rng.IntN(len(ids))]
				return id, open[id]
			}
			forget := func(id ID) {
				delete(open, id)
				for i, other := range ids {
					if other == id {
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
				addressKnown := l.isKnown(now, a)
				evictions, anyRefused := 0, false
				maxExcess := 0.0
				for _, tier := range l.tiers {
					tier.refresh(now)
					if g := tier.maxExcessGroup(); g != nil {
						maxExcess = max(maxExcess, g.excess)
					}
				}
				oldestAge := time.Duration(0) // of an unproven connection
				if e := l.unproven.Front(); e != nil {
					oldestAge = now - e.Value.(*conn).graceStartedAt
				}
				id, reason := connect(l, now, a, func(id ID) {
					evictions++
					c := open[id]
					switch {
					case c == nil:
						t.Fatalf("Arrive evicts connection %d, which is not open", id)
					case c.busy:
						t.Fatalf("Arrive evicts connection %d, which has a request in flight", id)
					}
					inGrace := now-c.graceStartedAt < s.GracePeriod && maxExcess <= graceExcess
					if inGrace && oldestAge >= s.GracePeriod && evictions == 1 && !anyRefused {
						t.Fatalf("Arrive evicts connection %d of age %v (grace period %v) before one of age %v",
							id, now-c.graceStartedAt, s.GracePeriod, oldestAge)
					}
					forget(id)
				}, func(ID) bool {
					refuse := rng.IntN(4) == 0
					anyRefused = anyRefused || refuse
					return refuse
				})
				reserve := int(s.KnownReserve * float64(s.MaxConns))
				reserved := max(0, reserve-known)
				switch {
				case id == 0 && addressKnown && known < reserve:
					t.Fatalf("Arrive of a known client: rejected with reason %v, want admitted: "+
						"known clients hold %d connections, and %d of %d are reserved for them",
						reason, known, reserve, s.MaxConns)
				case id == 0 && free > reserved:
					t.Fatalf("Arrive: rejected with reason %v, want admitted: "+
						"%d connections are free, %d of them reserved for known clients", reason, free, reserved)
				case evictions > 0 && free > reserved:
					t.Fatalf("Arrive evicted %d connections, want 0: "+
						"%d connections are free, %d of them reserved for known clients", evictions, free, reserved)
				case id != 0:
					if open[id] != nil {
						t.Fatalf("Arrive admitted a connection with ID %d, which an open connection has", id)
					}
					open[id] = &modelConn{graceStartedAt: now}
					ids = append(ids, id)
				}
			case 4:
				if id, c := randomConn(); c != nil {
					l.RequestStarted(now, id)
					l.RequestReceived(now, id)
					c.busy = true
				}
			case 5, 6:
				if id, c := randomConn(); c != nil && c.busy {
					l.RequestDone(now, id, rng.IntN(4) > 0)
					c.busy = false
					c.graceStartedAt = now - s.GracePeriod // a finished request ends the grace period
				}
			case 7:
				if id, c := randomConn(); c != nil {
					l.Remove(now, id, false)
					forget(id)
				}
			default:
				l.Remove(now, ID(rng.IntN(1000)+100000), false) // unknown IDs change nothing
				l.RequestDone(now, ID(rng.IntN(1000)+100000), true)
			}
			all, known := l.Usage()
			if all != len(open) || all > s.MaxConns || known > all {
				t.Fatalf("Usage = %d connections, %d known; want %d connections (MaxConns %d), at most as many known",
					all, known, len(open), s.MaxConns)
			}
		}
		for _, id := range ids {
			l.Remove(now, id, false)
		}
		for i, tier := range l.tiers {
			inHeap, groups, unconnected := len(tier.byExcess), len(tier.groups), tier.unconnected.Len()
			if inHeap != 0 || groups != unconnected || unconnected > s.MaxTracked {
				t.Fatalf("tier %d (0 addresses, 1 networks) after all connections were removed: "+
					"%d groups in the heap, want 0; "+
					"%d groups of which %d are in the unconnected list, want all, and at most MaxTracked %d",
					i, inHeap, groups, unconnected, s.MaxTracked)
			}
		}
		all, known := l.Usage()
		idleUnknown, idleKnown := l.idle[idleUnknown].Len(), l.idle[idleKnown].Len()
		if all != 0 || known != 0 || idleUnknown+idleKnown+l.unproven.Len() != 0 {
			t.Fatalf("after all connections were removed: %d connections, %d known, %d idle of unknown clients, "+
				"%d idle of known clients, %d unproven, want 0 of each",
				all, known, idleUnknown, idleKnown, l.unproven.Len())
		}
	})
}
