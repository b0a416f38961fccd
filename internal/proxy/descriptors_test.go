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

// narrow is a listener of a process with descriptors for only so many clients.
type narrow struct {
	net.Listener
	conns *clientConns
	most  int
}

func (n narrow) Accept() (net.Conn, error) {
	n.conns.mu.Lock()
	full := len(n.conns.open) >= n.most
	n.conns.mu.Unlock()
	if full {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return n.Listener.Accept()
}

// Where descriptors run out before the configured limit, idle clients are evicted for new ones, and no new one is
// rejected.
func TestIdleClientsAreEvictedWhenDescriptorsRunOut(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := newClientConns(100)
	var turnedAway atomic.Int32
	l := &clientListener{listener.NewListener(narrow{inner, conns, 3}, slog.New(slog.DiscardHandler), conns.evictIdle,
		func() { turnedAway.Add(1) }), conns}
	defer func() { _ = l.Close() }()
	taken := make(chan net.Conn, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			taken <- c
		}
	}()
	for range 20 {
		client := silentConns(t, inner.Addr().String(), 1)[0]
		c := within(t, taken, "a client that comes is not taken")
		defer func() { _ = c.Close() }()
		if got, want := c.RemoteAddr().String(), client.LocalAddr().String(); got != want {
			t.Fatalf("%s is taken, want %s", got, want)
		}
	}
	if n := turnedAway.Load(); n != 0 {
		t.Errorf("%d that came were closed", n)
	}
}

// During a hot restart two processes share the descriptors: idle clients fill half of the places of each, clients in
// use all of them.
func TestIdleClientsKeepToHalfDuringHotRestart(t *testing.T) {
	conns := newClientConns(8)
	begin := func(client net.Conn, c *clientConn) {
		t.Helper()
		_, _ = io.WriteString(client, "G")
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	for range 8 {
		clientPair(t, conns)
	}
	if n := conns.count(); n != 8 {
		t.Fatalf("%d connections alone, want 8", n)
	}
	conns.setShared(true)
	if n := conns.count(); n != 4 {
		t.Errorf("%d idle connections beside another process, want 4", n)
	}
	for i := range 8 { // each evicts an idle one, while there are some
		begin(clientPair(t, conns))
		if n := conns.count(); n != max(4, i+1) {
			t.Errorf("%d connections, %d of them in use, want %d", n, i+1, max(4, i+1))
		}
	}
	conns.setShared(false)
	if n := conns.count(); n != 8 {
		t.Errorf("%d connections in use once alone, want 8", n)
	}
}
