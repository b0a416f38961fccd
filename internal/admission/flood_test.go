package admission

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// legitimateClient simulates a client that sends a request 5 ms after it connected, and further requests on the same
// connection.
type legitimateClient struct {
	addr      netip.Addr
	thinkTime time.Duration // between an answer and the next request, or between two connection attempts
	nextEvent time.Duration // when the client acts again
	id        ID            // of its connection; 0 while disconnected
	stage     clientStage

	requests    int            // requests attempted, including those lost
	lost        int            // requests not sent, because their connection was rejected or evicted first
	lossReasons map[Reason]int // number of lost requests by reason
}

// clientStage is the stage of a simulated client in its life cycle.
type clientStage int

const (
	disconnected clientStage = iota
	connected
	requesting
	idle
)

// simulateFlood runs legitimate clients and a flood for a duration, in steps of a millisecond. flood returns the
// addresses that connect in a step; their connections never send a whole request.
func simulateFlood(
	l *ConnLimiter, clients []*legitimateClient, flood func(now time.Duration) []netip.Addr, duration time.Duration,
) {
	byID := map[ID]*legitimateClient{}
	onEvict := func(id ID) {
		if c := byID[id]; c != nil {
			if c.stage == connected { // evicted before it could send its request
				c.lost++
				c.lossReasons[Evicted]++
			}
			c.id, c.stage = 0, disconnected
			delete(byID, id)
		}
	}
	for now := time.Duration(0); now < duration; now += ms {
		if flood != nil {
			for _, a := range flood(now) {
				connect(l, now, a, onEvict, nil)
			}
		}
		for _, c := range clients {
			if now < c.nextEvent {
				continue
			}
			switch c.stage {
			case disconnected:
				c.requests++
				id, reason := connect(l, now, c.addr, onEvict, nil)
				if id == 0 {
					c.lost++
					c.lossReasons[reason]++
					c.nextEvent = now + c.thinkTime
					continue
				}
				c.id = id
				byID[id] = c
				c.stage, c.nextEvent = connected, now+5*ms
			case connected, idle:
				if c.stage == idle {
					c.requests++
				}
				l.RequestStarted(now, c.id)
				l.RequestReceived(now, c.id)
				c.stage, c.nextEvent = requesting, now+30*ms
			case requesting:
				l.RequestDone(now, c.id, true)
				c.stage, c.nextEvent = idle, now+c.thinkTime
			}
		}
	}
}

// newClients returns n clients whose first requests are spread evenly over one think time.
func newClients(n int, addr func(i int) netip.Addr, thinkTime time.Duration) []*legitimateClient {
	var clients []*legitimateClient
	for i := range n {
		clients = append(clients, &legitimateClient{
			addr:        addr(i),
			thinkTime:   thinkTime,
			nextEvent:   time.Duration(i) * thinkTime / time.Duration(n),
			lossReasons: map[Reason]int{},
		})
	}
	return clients
}

// lossRatio returns the ratio of lost requests to all requests of the clients, and the number of lost requests by
// reason.
func lossRatio(clients []*legitimateClient) (ratio float64, reasons map[Reason]int) {
	reasons = map[Reason]int{}
	requests, lost := 0, 0
	for _, c := range clients {
		requests += c.requests
		lost += c.lost
		for r, n := range c.lossReasons {
			reasons[r] += n
		}
	}
	return float64(lost) / float64(max(1, requests)), reasons
}

// During a connection flood, legitimate clients can still connect and keep their connections: clients that keep a
// connection open, clients that reconnect, and many clients that share one address.
func TestFloods(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, tc := range []struct {
		name  string
		flood func(now time.Duration) []netip.Addr
	}{
		{"6000 connections per second from one address", func(time.Duration) []netip.Addr {
			return slices.Repeat([]netip.Addr{ip(10, 0, 0, 1)}, 6)
		}},
		{"1000 addresses in four networks", func(now time.Duration) []netip.Addr {
			i := int(now / ms)
			return []netip.Addr{ip(10, 0, i%4, i%250), ip(10, 0, i%4, (i+125)%250)}
		}},
		{"a random address for each connection", func(time.Duration) []netip.Addr {
			randomAddr := func() netip.Addr { return ip(11, rng.IntN(256), rng.IntN(256), rng.IntN(256)) }
			return []netip.Addr{randomAddr(), randomAddr()}
		}},
		{"an address shared with legitimate clients", func(time.Duration) []netip.Addr {
			return []netip.Addr{ip(172, 16, 0, 1), ip(172, 16, 0, 1)}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newConnLimiter(t, Defaults(200))
			separate := newClients(60, func(i int) netip.Addr { return ip(192, 168, i, 1) }, 400*ms)
			shared := newClients(60, func(int) netip.Addr { return ip(172, 16, 0, 1) }, 400*ms)
			simulateFlood(l, append(separate, shared...), tc.flood, 4*time.Second)
			if ratio, reasons := lossRatio(separate); ratio > 0 {
				t.Errorf("clients with an address each lost %.1f %% of requests, want none; lost by reason: %v",
					100*ratio, reasons)
			}
			if ratio, reasons := lossRatio(shared); ratio > 0.03 {
				t.Errorf("clients behind one address lost %.1f %% of requests, want at most 3 %%; lost by reason: %v",
					100*ratio, reasons)
			}
			if open, _ := l.Usage(); open > 200 {
				t.Errorf("Usage: %d open connections, want at most 200", open)
			}
		})
	}
}
