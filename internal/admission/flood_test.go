package admission

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// honest is a client that sends a request 5 ms after it connected, and more on the same connection.
type honest struct {
	addr  netip.Addr
	think time.Duration
	next  time.Duration
	id    ID
	stage stage

	attempts, lost int
	reasons        map[Reason]int // of the lost ones
}

// stage is what an honest client does.
type stage int

const (
	away stage = iota
	connected
	requesting
	idle
)

// play runs honest clients beside a flood for some time, in steps of a millisecond. Flooders' connections never send a
// whole request.
func play(l *ConnLimiter, clients []*honest, flood func(now time.Duration) []netip.Addr, span time.Duration) {
	byID := map[ID]*honest{}
	evicted := func(id ID) {
		if h := byID[id]; h != nil {
			if h.stage == connected { // before it could send a request
				h.lost++
				h.reasons[Evicted]++
			}
			h.id, h.stage = 0, away
			delete(byID, id)
		}
	}
	for now := time.Duration(0); now < span; now += ms {
		if flood != nil {
			for _, a := range flood(now) {
				connect(l, now, a, evicted, nil)
			}
		}
		for _, h := range clients {
			if now < h.next {
				continue
			}
			switch h.stage {
			case away:
				h.attempts++
				id, reason := connect(l, now, h.addr, evicted, nil)
				if id == 0 {
					h.lost++
					h.reasons[reason]++
					h.next = now + h.think
					continue
				}
				h.id = id
				byID[id] = h
				h.stage, h.next = connected, now+5*ms
			case connected, idle:
				if h.stage == idle {
					h.attempts++
				}
				l.RequestStarted(now, h.id)
				l.RequestReceived(now, h.id)
				h.stage, h.next = requesting, now+30*ms
			case requesting:
				l.RequestDone(now, h.id, true)
				h.stage, h.next = idle, now+h.think
			}
		}
	}
}

func clients(n int, addr func(i int) netip.Addr, think time.Duration) []*honest {
	var out []*honest
	for i := range n {
		out = append(out, &honest{
			addr:    addr(i),
			think:   think,
			next:    time.Duration(i) * think / time.Duration(n),
			reasons: map[Reason]int{},
		})
	}
	return out
}

// lost returns the part of the clients' requests that were lost, and their reasons.
func lost(all []*honest) (part float64, reasons map[Reason]int) {
	reasons = map[Reason]int{}
	attempts, lost := 0, 0
	for _, h := range all {
		attempts += h.attempts
		lost += h.lost
		for r, n := range h.reasons {
			reasons[r] += n
		}
	}
	return float64(lost) / float64(max(1, attempts)), reasons
}

// Floods of every shape leave honest clients their connections: those that keep them, those that connect anew, and
// many behind one address.
func TestFloods(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, k := range []struct {
		name  string
		flood func(now time.Duration) []netip.Addr
	}{
		{"one address, 6,000 a second", func(time.Duration) []netip.Addr {
			return slices.Repeat([]netip.Addr{ip(10, 0, 0, 1)}, 6)
		}},
		{"a thousand addresses of four nets", func(now time.Duration) []netip.Addr {
			i := int(now / ms)
			return []netip.Addr{ip(10, 0, i%4, i%250), ip(10, 0, i%4, (i+125)%250)}
		}},
		{"each from an address of its own", func(time.Duration) []netip.Addr {
			drawn := func() netip.Addr { return ip(11, rng.IntN(256), rng.IntN(256), rng.IntN(256)) }
			return []netip.Addr{drawn(), drawn()}
		}},
		{"from behind the same address as honest ones", func(time.Duration) []netip.Addr {
			return []netip.Addr{ip(172, 16, 0, 1), ip(172, 16, 0, 1)}
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			l := newConnLimiter(t, Defaults(200))
			all := clients(60, func(i int) netip.Addr { return ip(192, 168, i, 1) }, 400*ms)
			shared := clients(60, func(int) netip.Addr { return ip(172, 16, 0, 1) }, 400*ms)
			play(l, append(all, shared...), k.flood, 4*time.Second)
			if part, reasons := lost(all); part > 0 {
				t.Errorf("honest clients lost %.1f %%: %v", 100*part, reasons)
			}
			if part, reasons := lost(shared); part > 0.03 {
				t.Errorf("those behind one address lost %.1f %%: %v", 100*part, reasons)
			}
			if open, _ := l.Usage(); open > 200 {
				t.Errorf("%d connections of at most 200", open)
			}
		})
	}
}
