package proxy

import (
	"io"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"lapisspread/internal/listener"
)

// limitedListener fails to accept with EMFILE while maxConns client connections are open.
type limitedListener struct {
	net.Listener
	conns    *clientConns
	maxConns int
}

func (n limitedListener) Accept() (net.Conn, error) {
	n.conns.mu.Lock()
	full := len(n.conns.open) >= n.maxConns
	n.conns.mu.Unlock()
	if full {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return n.Listener.Accept()
}

// If the process runs out of descriptors before it reaches the configured limit, idle clients
// are evicted for new ones, and no new one is rejected.
func TestIdleClientsAreEvictedWhenDescriptorsRunOut(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening: %v", err)
	}
	conns := newClientConns(100)
	var closedUnserved atomic.Int32
	limited := limitedListener{inner, conns, 3}
	l := &clientListener{listener.NewListener(limited, slog.New(slog.DiscardHandler), conns.evictIdle,
		func() { closedUnserved.Add(1) }), conns}
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for range 20 {
		client := silentConns(t, inner.Addr().String(), 1)[0]
		c := within(t, accepted, "the new client was not accepted")
		defer func() { _ = c.Close() }()
		if got, want := c.RemoteAddr().String(), client.LocalAddr().String(); got != want {
			t.Fatalf("accepted the client %s, want %s", got, want)
		}
	}
	if n := closedUnserved.Load(); n != 0 {
		t.Errorf("%d new connections were closed for lack of a descriptor, want 0", n)
	}
}

// During a hot restart two processes share the descriptors: in each, idle connections fill at most half of the limit,
// and connections with requests in flight may fill all of it.
func TestIdleClientsKeepToHalfDuringHotRestart(t *testing.T) {
	conns := newClientConns(8)
	startRequest := func(client net.Conn, c *clientConn) {
		t.Helper()
		_, _ = io.WriteString(client, "G")
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatalf("Read of the request's first byte: %v", err)
		}
	}
	for range 8 {
		clientPair(t, conns)
	}
	if n := conns.count(); n != 8 {
		t.Fatalf("%d idle connections are open without another process, want 8", n)
	}
	conns.setShared(true)
	if n := conns.count(); n != 4 {
		t.Errorf("%d idle connections are open after setShared(true), want 4", n)
	}
	for i := range 8 { // each evicts an idle connection while there is one
		startRequest(clientPair(t, conns))
		if n := conns.count(); n != max(4, i+1) {
			t.Errorf("%d connections are open, of which %d have a request in flight; want %d open", n, i+1, max(4, i+1))
		}
	}
	conns.setShared(false)
	if n := conns.count(); n != 8 {
		t.Errorf("%d connections with requests are open after setShared(false), want 8", n)
	}
}

// Guards against descriptors running out because Diameter peers were counted with nobody: the connections of clients,
// peers and backends and what is kept for all else fit into the descriptors, and clients have places for as many
// requests as may be open.
func TestConnectionLimitsFitIntoDescriptors(t *testing.T) {
	for _, sockets := range []int{64, 256, 1024} {
		cfg := testConfig(t, "null", newCatalog(t))
		cfg.Sockets = sockets
		for _, peers := range []int{0, 64} {
			cfg.peerSockets = maxPeerConns(&cfg, peers)
			clients := maxClientConns(&cfg)
			backends := New(cfg, slog.New(slog.DiscardHandler)).services.maxBackendConns()
			if sum := clients + backends + cfg.peerSockets + reservedSockets; sum > sockets {
				t.Errorf("%d descriptors, %d peers: limits add up to %d, want at most the descriptors", sockets, peers, sum)
			}
			if sockets >= 256 && (clients < maxOpenRequests(&cfg) || cfg.peerSockets != peers || backends < 50) {
				t.Errorf("%d descriptors, %d peers: places for %d clients, %d peers and %d backends, want at least %d, %d and 50",
					sockets, peers, clients, cfg.peerSockets, backends, maxOpenRequests(&cfg), peers)
			}
		}
	}
}

// With Diameter the peers' descriptors are taken from the clients' places.
func TestDiameterTakesPlacesFromClients(t *testing.T) {
	s, _ := startDiameterProxy(t, twoServices, func(c *Config) { c.Sockets = 256 })
	withoutPeers := s.proxy.cfg
	withoutPeers.peerSockets = 0
	s.proxy.conns.mu.Lock()
	defer s.proxy.conns.mu.Unlock()
	if got, all := s.proxy.conns.maxOpen, maxClientConns(&withoutPeers); got >= all {
		t.Errorf("%d places for clients with Diameter, want fewer than the %d without", got, all)
	}
}
