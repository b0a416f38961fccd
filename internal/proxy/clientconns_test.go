package proxy

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"lapisspread/internal/proxy/rawsocket"
)

// clientPair returns both ends of a client's connection.
func clientPair(t *testing.T, conns *clientConns) (client net.Conn, c *clientConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if client, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	taken, err := (&clientListener{listener, conns}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	return client, taken.(*clientConn)
}

// Bytes that arrive as an idle connection is closed are not served: the client sends them again elsewhere.
func TestClosedBetweenRequestsServesNoMore(t *testing.T) {
	conns := newClientConns(4)
	client, c := clientPair(t, conns)
	_, _ = client.Write([]byte("GET / HTTP/1.1\r\n"))
	if n, err := c.Read(make([]byte, 4)); n != 4 || err != nil {
		t.Fatalf("read %d, %v", n, err)
	}
	later := time.Now().Add(time.Minute)
	if conns.closeIdle(later) != 1 {
		t.Error("closed within a request")
	}
	conns.state(c, http.StateIdle)
	if conns.closeIdle(later) != 1 {
		t.Error("closed though the next request stands to be read")
	}
	if n, err := c.Read(make([]byte, 64)); n != 12 || err != nil {
		t.Fatalf("read %d, %v", n, err)
	}
	conns.state(c, http.StateActive)
	conns.state(c, http.StateIdle)
	if conns.closeIdle(time.Now().Add(-time.Second)) != 1 {
		t.Error("closed right after an answer")
	}
	if conns.closeIdle(later) != 0 {
		t.Error("not closed between two requests")
	}
	_, _ = client.Write([]byte("more"))
	if n, err := c.Read(make([]byte, 4)); n != 0 || err == nil {
		t.Errorf("read %d bytes more, %v", n, err)
	}
}

// silentConns opens connections that send nothing, until no place is left for clients.
func silentConns(t *testing.T, addr string, n int) []net.Conn {
	t.Helper()
	var conns []net.Conn
	for range n {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		conns = append(conns, c)
	}
	return conns
}

// Silent connections take all places and more: other clients are still served at once, on a new connection and on one
// with a request begun.
func TestUnusedConnectionsAreEvicted(t *testing.T) {
	came, leave := make(chan bool, 8), make(chan bool, 8)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			came <- true
			<-leave
			writeText(c, served)
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t),
		func(c *Config) { c.Sockets = 64 })
	answered := make(chan error, 1)
	go func() {
		_, _, err := p.request(t, "hand-in", 15000, "homework")
		answered <- err
	}()
	within(t, came, "the first request did not come")
	silentConns(t, p.addr, 80) // four times the limit
	leave <- true
	leave <- true
	mustRespond(t, 200)(p.request(t, "fetch-work", 15000, ""))
	if err := within(t, answered, "no answer"); err != nil {
		t.Errorf("the request in flight lost its connection: %v", err)
	}
}

// Unused connections are evicted first, then idle ones; one with a request begun stays.
func TestEvictionOrder(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conns := newClientConns(3)
	l := &clientListener{listener, conns}
	accept := func() (*clientConn, net.Conn) {
		t.Helper()
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return c.(*clientConn), client
	}
	begin := func(c *clientConn, client net.Conn) {
		t.Helper()
		_, _ = client.Write([]byte("G"))
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	open := func(want ...*clientConn) {
		t.Helper()
		for _, c := range want {
			if !conns.open[c] {
				t.Error("the wrong connection made place")
			}
		}
		if len(conns.open) != len(want) {
			t.Errorf("%d connections, want %d", len(conns.open), len(want))
		}
	}
	busy, b := accept()
	begin(busy, b)
	idle, i := accept()
	begin(idle, i)
	conns.state(idle, http.StateIdle)
	accept() // silent
	fourth, f := accept()
	open(busy, idle, fourth)
	begin(fourth, f)
	fifth, g := accept()
	open(busy, fourth, fifth)
	begin(fifth, g)
	if conns.admit(idle.Conn) != nil {
		t.Error("a connection with a request begun made place")
	}
}

// The search for a connection to evict is bounded: where all have unread bytes, it does not try each of them.
func TestEvictionSearchIsBounded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	const most = 4 * maxEvictAttempts
	conns := newClientConns(most)
	l := &clientListener{listener, conns}
	for _, client := range silentConns(t, listener.Addr().String(), most) {
		_, _ = client.Write([]byte("G"))
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		for start := time.Now(); rawsocket.Silent(c.(*clientConn).Conn); time.Sleep(time.Millisecond) {
			if time.Since(start) > patience {
				t.Fatal("the byte did not come")
			}
		}
		c.(*clientConn).stateSince = time.Time{}
	}
	for c := range conns.open {
		if conns.admit(c.Conn) != nil {
			t.Error("a connection with something to read made place")
		}
		break
	}
	tried := 0
	for c := range conns.open {
		if !c.stateSince.IsZero() {
			tried++
		}
	}
	if tried > maxEvictAttempts {
		t.Errorf("%d of %d connections were tried", tried, most)
	}
}
