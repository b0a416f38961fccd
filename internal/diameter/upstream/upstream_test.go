package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/diameter"
	"lapisspread/internal/diameter/frontend"
	"lapisspread/internal/diameter/node"
	"lapisspread/internal/engine"
	"lapisspread/internal/engine/enginetest"
	"lapisspread/internal/faultlab/diameterpeer"
)

func claimOf(session string, id uint32) diameter.Message {
	d := diameter.Base()
	m, err := diameter.NewBuilder(nil, diameter.Header{Flags: diameter.Request | diameter.Proxiable, Command: 272, App: 4, EndToEnd: id}).
		Text(d.Named("Session-Id"), session).Text(d.Named("Origin-Host"), "claims.partner.example").Text(d.Named("Origin-Realm"), "partner.example").Message()
	if err != nil {
		panic(err)
	}
	return m
}

// stand starts a server, and an upstream before it.
func stand(t *testing.T, s *diameterpeer.Server, refuses bool) (*Upstream, engine.EndpointList) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Host, s.Realm = "node.kigali.example", "kigali.example"
	if refuses {
		l.Close()
	} else {
		go s.Serve(l)
	}
	n, err := node.New(node.Settings{Host: "proxy.kigali.example", Realm: "kigali.example", Apps: []uint32{4}, Watchdog: 6 * time.Second,
		Reconnect: 10 * time.Millisecond, Handshake: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	u := New(n, time.Second, 2*time.Second)
	t.Cleanup(func() { l.Close(); u.Close(); s.Drop() })
	return u, engine.EndpointList{Version: 1, Full: true, Endpoints: []engine.Endpoint{{ID: "a", Addr: l.Addr().String(), State: decision.Ready}}}
}

func TestDiameterUpstreamConforms(t *testing.T) {
	acts := map[enginetest.Behaviour]diameterpeer.Act{enginetest.ReturnsErrors: diameterpeer.Fails, enginetest.RejectsRequests: diameterpeer.Busy, enginetest.ClosesBeforeResponse: diameterpeer.DropAfter,
		enginetest.ClosesDuringResponse: diameterpeer.HalfAnswer, enginetest.SendsGarbage: diameterpeer.Garbage, enginetest.Stalls: diameterpeer.Stall,
		enginetest.ServesSlowly: diameterpeer.Slowly, enginetest.SendsTrailingBytes: diameterpeer.Stray}
	var last atomic.Uint32
	enginetest.Upstream{
		Start: func(t *testing.T, b enginetest.Behaviour) (engine.Upstream, engine.EndpointList) {
			return stand(t, &diameterpeer.Server{Act: func(int64) diameterpeer.Act { return acts[b] }}, b == enginetest.RefusesConnections)
		},
		Message:           func() engine.Message { id := last.Add(1); return NewMessage(claimOf(fmt.Sprint(id), id)) },
		Body:              func(answer any) []byte { m, _ := answer.(diameter.Message); return frontend.Body(m, diameter.Base()) },
		SharesConnections: true,
	}.Test(t)
}

// A server that mixes up its identifiers gives nobody another's answer; one that answers twice does no harm.
func TestIdentifiersThatAreMixedUp(t *testing.T) {
	var n atomic.Int64
	s := &diameterpeer.Server{Act: func(k int64) diameterpeer.Act {
		n.Store(k)
		return [3]diameterpeer.Act{diameterpeer.Slowly, diameterpeer.Swap, diameterpeer.Twice}[k%3]
	}}
	u, list := stand(t, s, false)
	u.Update(list)
	var all sync.WaitGroup
	for i := range uint32(300) {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			want := fmt.Sprint("s", i)
			result, answer := u.Find(engine.BackendID("a")).Exchange(ctx, engine.Attempt{Message: NewMessage(claimOf(want, 1000+i)), Timeout: time.Second})
			m, _ := answer.(diameter.Message)
			if result != decision.OK {
				t.Errorf("%s: %v", want, result)
				return
			}
			if a, _ := m.Find(0, diameter.Base().Named("Session-Id").Code); string(a.Data) != want {
				t.Errorf("%s has the answer of %s", want, a.Data)
			}
		})
	}
	all.Wait()
	if u.node.Counts.Unknown.Load() == 0 {
		t.Error("no identifier was mixed up")
	}
}

// A thousand in hand of a server that drains by the register: all come back, nothing new goes there, and it is told goodbye.
func TestAServerThatDrains(t *testing.T) {
	s := &diameterpeer.Server{Act: func(int64) diameterpeer.Act { return diameterpeer.Slowly }}
	u, list := stand(t, s, false)
	u.Update(list)
	held := u.Find(engine.BackendID("a"))
	var all sync.WaitGroup
	var served, away atomic.Int64
	send := func(i int) {
		switch result, _ := held.Exchange(context.Background(), engine.Attempt{Message: NewMessage(claimOf("s", uint32(i))), Timeout: time.Second}); {
		case result == decision.OK:
			served.Add(1)
		case result.NeverRan():
			away.Add(1)
		default:
			t.Errorf("%v", result)
		}
	}
	send(0)
	for i := range 1000 {
		all.Go(func() { send(1 + i) })
	}
	time.Sleep(5 * time.Millisecond)
	list.Endpoints[0].State = decision.Draining
	u.Update(list)
	n, _ := s.Claims()
	for i := range 100 {
		all.Go(func() { send(2000 + i) })
	}
	all.Wait()
	after, _ := s.Claims()
	if served.Load() != after || served.Load()+away.Load() != 1101 || away.Load() < 100 {
		t.Errorf("%d served of %d that were read (%d at the drain), %d sent away", served.Load(), after, n, away.Load())
	}
}

// A request that goes out again after it may have run has the T flag; one that never left has not.
func TestRepeatsAreMarked(t *testing.T) {
	s := &diameterpeer.Server{Act: func(n int64) diameterpeer.Act {
		if n == 1 {
			return diameterpeer.Fails
		}
		return diameterpeer.Serve
	}}
	u, list := stand(t, s, false)
	m := NewMessage(claimOf("s", 1))
	u.Update(list)
	p := u.Find(engine.BackendID("a"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got, _ := p.Exchange(ctx, engine.Attempt{Message: m}); got != decision.Cancelled {
		t.Errorf("%v", got)
	}
	for _, want := range []decision.Result{decision.Error, decision.OK} {
		if got, _ := p.Exchange(context.Background(), engine.Attempt{Message: m, Timeout: time.Second}); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
	if n, repeats := s.Claims(); n != 2 || repeats != 1 {
		t.Errorf("%d claims, %d marked as repeats", n, repeats)
	}
}
