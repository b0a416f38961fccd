package proxy

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"lapisspread/internal/proxy/rawsocket"
)

// clientPair returns both ends of a new client connection: the client's and the proxy's, registered in conns.
func clientPair(t *testing.T, conns *clientConns) (client net.Conn, c *clientConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening: %v", err)
	}
	defer func() { _ = listener.Close() }()
	if client, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatalf("connecting the client: %v", err)
	}
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := (&clientListener{listener, conns}).Accept()
	if err != nil {
		t.Fatalf("clientListener.Accept() = %v, want a connection", err)
	}
	return client, accepted.(*clientConn)
}

// Bytes that arrive while an idle connection is being closed are not served: the client sends that request again on
// another connection.
func TestClosedBetweenRequestsServesNoMore(t *testing.T) {
	conns := newClientConns(4)
	client, c := clientPair(t, conns)
	_, _ = client.Write([]byte("GET / HTTP/1.1\r\n"))
	if n, err := c.Read(make([]byte, 4)); n != 4 || err != nil {
		t.Fatalf("Read of the request's first bytes = %d, %v, want 4, nil", n, err)
	}
	inAMinute := time.Now().Add(time.Minute)
	if conns.closeIdle(inAMinute) != 1 {
		t.Error("closeIdle closed a connection with a request in flight, want it open")
	}
	conns.state(c, http.StateIdle)
	if conns.closeIdle(inAMinute) != 1 {
		t.Error("closeIdle closed a connection with an unread request, want it open")
	}
	if n, err := c.Read(make([]byte, 64)); n != 12 || err != nil {
		t.Fatalf("Read of the request's rest = %d, %v, want 12, nil", n, err)
	}
	conns.state(c, http.StateActive)
	conns.state(c, http.StateIdle)
	if conns.closeIdle(time.Now().Add(-time.Second)) != 1 {
		t.Error("closeIdle closed a connection right after its response, want it open for idleCloseDelay")
	}
	if conns.closeIdle(inAMinute) != 0 {
		t.Error("closeIdle left an idle connection open, want it closed")
	}
	_, _ = client.Write([]byte("more"))
	if n, err := c.Read(make([]byte, 4)); n != 0 || err == nil {
		t.Errorf("Read after closeIdle closed the connection = %d, %v, want 0 and an error", n, err)
	}
}

// silentConns opens n connections that send nothing. They are closed when the test ends.
func silentConns(t *testing.T, addr string, n int) []net.Conn {
	t.Helper()
	var conns []net.Conn
	for range n {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatalf("connecting a silent client: %v", err)
		}
		t.Cleanup(func() { _ = c.Close() })
		conns = append(conns, c)
	}
	return conns
}

// More silent connections than the limit allows must not keep other clients from being served, neither on a new
// connection nor on one with a request in flight.
func TestUnusedConnectionsAreEvicted(t *testing.T) {
	received, release := make(chan bool, 8), make(chan bool, 8)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			received <- true
			<-release
			writeText(c, served)
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t),
		func(c *Config) { c.Sockets = 64 })
	firstResult := make(chan error, 1)
	go func() {
		_, _, err := p.request(t, "hand-in", 15000, "homework")
		firstResult <- err
	}()
	within(t, received, "the backend got no first request")
	silentConns(t, p.addr, 80) // four times the limit
	release <- true
	release <- true
	mustRespond(t, 200)(p.request(t, "fetch-work", 15000, ""))
	if err := within(t, firstResult, "the request in flight got no result"); err != nil {
		t.Errorf("the request in flight while silent connections were opened = %v, want a response", err)
	}
}

// Unused connections are evicted first, then idle ones. A connection with a request in flight is not evicted.
func TestEvictionOrder(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening: %v", err)
	}
	defer func() { _ = listener.Close() }()
	conns := newClientConns(3)
	l := &clientListener{listener, conns}
	accept := func() (*clientConn, net.Conn) {
		t.Helper()
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatalf("connecting a client: %v", err)
		}
		t.Cleanup(func() { _ = client.Close() })
		c, err := l.Accept()
		if err != nil {
			t.Fatalf("clientListener.Accept() = %v, want a connection", err)
		}
		return c.(*clientConn), client
	}
	startRequest := func(c *clientConn, client net.Conn) {
		t.Helper()
		_, _ = client.Write([]byte("G"))
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatalf("Read of the request's first byte: %v", err)
		}
	}
	expectOpen := func(want ...*clientConn) {
		t.Helper()
		for _, c := range want {
			if !conns.open[c] {
				t.Errorf("the connection from %v was evicted, want it open", c.RemoteAddr())
			}
		}
		if len(conns.open) != len(want) {
			t.Errorf("%d connections are open, want %d", len(conns.open), len(want))
		}
	}
	busy, busyClient := accept()
	startRequest(busy, busyClient)
	idle, idleClient := accept()
	startRequest(idle, idleClient)
	conns.state(idle, http.StateIdle)
	accept() // sends nothing, so it is unused
	fourth, fourthClient := accept()
	expectOpen(busy, idle, fourth)
	startRequest(fourth, fourthClient)
	fifth, fifthClient := accept()
	expectOpen(busy, fourth, fifth)
	startRequest(fifth, fifthClient)
	if conns.admit(idle.Conn) != nil {
		t.Error("admit evicted a connection with a request in flight, want the new connection rejected")
	}
}

// The search for a connection to evict is bounded: if all connections have unread bytes, not all of them are tried.
func TestEvictionSearchIsBounded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening: %v", err)
	}
	defer func() { _ = listener.Close() }()
	const connCount = 4 * maxEvictAttempts
	conns := newClientConns(connCount)
	l := &clientListener{listener, conns}
	for _, client := range silentConns(t, listener.Addr().String(), connCount) {
		_, _ = client.Write([]byte("G"))
		c, err := l.Accept()
		if err != nil {
			t.Fatalf("clientListener.Accept() = %v, want a connection", err)
		}
		defer func() { _ = c.Close() }()
		for start := time.Now(); rawsocket.Silent(c.(*clientConn).Conn); time.Sleep(time.Millisecond) {
			if time.Since(start) > patience {
				t.Fatalf("the byte that the client sent did not arrive within %v", patience)
			}
		}
		c.(*clientConn).stateSince = time.Time{}
	}
	for c := range conns.open {
		if conns.admit(c.Conn) != nil {
			t.Error("admit evicted a connection with unread bytes, want the new connection rejected")
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
		t.Errorf("admit tried to evict %d of %d connections, want at most %d", tried, connCount, maxEvictAttempts)
	}
}
