package upstream

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/diameter/node"
	"lapisspread/internal/engine"
	"lapisspread/internal/faultlab/diameterpeer"
)

// pipes is a listener whose connections are pipes: they go by a test's own clock.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.done); return nil }
func (p *pipes) Addr() net.Addr { return nil }

func (p *pipes) dial(context.Context, string) (net.Conn, error) {
	a, b := net.Pipe()
	p.conns <- b
	return a, nil
}

func inBubble(t *testing.T, s *diameterpeer.Server, do func(t *testing.T, u *Upstream, send func(id uint32) decision.Result)) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipes{make(chan net.Conn), make(chan struct{})}
		s.Host, s.Realm = "node.kigali.example", "kigali.example"
		go s.Serve(l)
		n, err := node.New(node.Settings{Host: "proxy.kigali.example", Realm: "kigali.example", Apps: []uint32{4}, Watchdog: 6 * time.Second,
			Reopen: 100 * time.Millisecond, Reconnect: 200 * time.Millisecond, Handshake: time.Second, Dial: l.dial})
		if err != nil {
			t.Fatal(err)
		}
		u := New(n, time.Second, time.Second)
		u.Update(engine.EndpointList{Version: 1, Full: true, Endpoints: []engine.Endpoint{{ID: "a", Addr: "a", State: decision.Ready}}})
		do(t, u, func(id uint32) decision.Result {
			result, _ := u.Find(engine.BackendID("a")).Exchange(t.Context(), engine.Attempt{Message: NewMessage(claimOf(fmt.Sprint(id), id)), Timeout: time.Second})
			return result
		})
		u.Close()
		l.Close()
		s.Drop()
		time.Sleep(s.Late + time.Second) // for its last sleep to end
		synctest.Wait()
	})
}

// A server that answers no watchdog gets nothing new within two of them, and its connection is made anew.
func TestAServerThatAnswersNoWatchdog(t *testing.T) {
	inBubble(t, &diameterpeer.Server{Deaf: true}, func(t *testing.T, u *Upstream, send func(uint32) decision.Result) {
		if got := send(1); got != decision.OK {
			t.Fatalf("at first: %v", got)
		}
		began := time.Now()
		for u.node.Counts.Suspects.Load() == 0 {
			if time.Since(began) > 14*time.Second {
				t.Fatal("it is not found out")
			}
			time.Sleep(100 * time.Millisecond)
		}
		if got := send(2); !got.NeverRan() {
			t.Errorf("while it is suspect: %v", got)
		}
		time.Sleep(10 * time.Second)
		if n := u.node.Counts.Connected.Load(); n < 2 {
			t.Errorf("%d connections", n)
		}
		if got := send(3); !got.NeverRan() { // it must answer watchdogs first
			t.Errorf("after it was down: %v", got)
		}
	})
}

// While a server takes its time over the capabilities exchange requests wait, for no longer than a connection may take.
func TestAServerThatIsLateWithItsCapabilities(t *testing.T) {
	for late, want := range map[time.Duration]decision.Result{500 * time.Millisecond: decision.OK, 5 * time.Second: decision.ConnectFailed} {
		inBubble(t, &diameterpeer.Server{Late: late}, func(t *testing.T, _ *Upstream, send func(uint32) decision.Result) {
			began := time.Now()
			if got := send(1); got != want || time.Since(began) > 1100*time.Millisecond {
				t.Errorf("%v late: %v after %v", late, got, time.Since(began))
			}
		})
	}
}
